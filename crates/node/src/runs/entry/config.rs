//! Reading of the configuration from the store, and its exchange with other processes.

use kingcup_wire::{
    run::{self, Message},
    Frame,
};
use stakker::CX;
use stakker_mio::Ready;

use super::{Entry, Peer, ANNOUNCE_DELAY_US};
use crate::{
    link::Id,
    runs::document::{Call, CALL_MS},
    web::{client, Fault, Response},
};

impl Entry {
    /// Reads or watches the configuration in the store, if a call is due.
    pub(super) fn call_store(&mut self, cx: CX![], now_us: u64) {
        let Some(call) = self.document.next_call(now_us) else { return };
        let evacuations = &self.protocol.evacuations;
        let watch_ms = self.document.watch_ms(self.mesh.position(), now_us);
        let (request, wait_ms) = match &call {
            Call::Read => ((self.protocol.read_config)(), 0),
            Call::Watch(revision) => ((self.protocol.watch_config)(*revision, watch_ms), watch_ms),
            Call::List(after) => ((evacuations.list)(after.as_deref()), 0),
            Call::WatchAll(revision) => ((evacuations.watch)(*revision, watch_ms), watch_ms),
        };
        let deadline_us = now_us + (wait_ms + CALL_MS) * 1000;
        let address = self.settings.store;
        if let Err((call, result)) =
            self.client.call(cx, address, &request, deadline_us, call, Self::store_ready)
        {
            self.handle_store_response(&call, &result, now_us);
        }
    }

    fn store_ready(&mut self, cx: CX![], id: client::Id, ready: Ready) {
        let now_us = self.begin_event();
        if let Some((call, result)) = self.client.ready(id, ready) {
            self.handle_store_response(&call, &result, now_us);
            self.call_store(cx, now_us);
        }
        self.finish_event(cx, now_us);
    }

    pub(super) fn handle_store_response(
        &mut self,
        call: &Call,
        result: &Result<Response, Fault>,
        now_us: u64,
    ) {
        let evacuations = &self.protocol.evacuations;
        let (text, orders) = match call {
            Call::Read | Call::Watch(_) => {
                let fetch = (self.protocol.config_reply)(result);
                (self.document.finish_call(fetch, now_us), None)
            }
            Call::List(_) => {
                let page = (evacuations.list_reply)(result);
                (None, self.document.finish_page(page, now_us))
            }
            Call::WatchAll(_) => {
                let watch = (evacuations.watch_reply)(result);
                self.document.finish_watch(watch, now_us)
            }
        };
        if let Some(orders) = orders {
            self.apply_stored_orders(&orders, now_us);
        }
        if let Some(text) = text {
            self.apply_config(&text, "store", now_us);
        }
    }

    /// Applies a configuration if it is newer than the one in force, and schedules its
    /// announcement.
    pub(super) fn apply_config(&mut self, text: &[u8], source: &str, now_us: u64) {
        let table = match (self.protocol.parse_config)(text) {
            Ok(table) => table,
            Err(reason) => {
                log::warn!("event=config_rejected source={source} reason=\"{reason}\"");
                return;
            }
        };
        let (version, routes) = (table.version(), table.len());
        let is_first = self.document.version() == 0;
        if self.document.apply(table, text) {
            log::info!("event=config_in_force version={version} routes={routes} source={source}");
            // An entry that announces a configuration has had it for `ANNOUNCE_DELAY_US`.
            let delay_us = if source == "entry" { ANNOUNCE_DELAY_US } else { 0 };
            self.document.align(now_us.saturating_sub(delay_us));
            self.announce_due_us = Some(now_us + ANNOUNCE_DELAY_US);
            if is_first && self.settings.hold_ms > 0 {
                self.announce_to_entries();
            }
        }
    }

    /// Announces the version in force to entries. After an outage, others hold requests until they
    /// have it, and may not retry the store for another quarter of a second.
    fn announce_to_entries(&mut self) {
        let version = self.document.version();
        for (link, peer) in &self.peers {
            if matches!(peer, Peer::Entry { .. }) {
                self.links.send(*link, &Frame::Run(Message::Version(version)));
            }
        }
    }

    /// Announces the version in force to entries and sidecars. Those that lack it request it. Nearly
    /// all entries have read it from the store by then, and a sidecar requests it from one entry.
    pub(super) fn announce_config(&mut self) {
        let version = self.document.version();
        for (link, peer) in &self.peers {
            if !matches!(peer, Peer::Unknown { .. }) {
                self.links.send(*link, &Frame::Run(Message::Version(version)));
            }
        }
    }

    pub(super) fn send_config(&mut self, link: Id) {
        let version = self.document.version();
        if version > 0 {
            let config = run::Config { version, text: self.document.text() };
            self.links.send(link, &Frame::Run(Message::Config(config)));
        }
    }
}
