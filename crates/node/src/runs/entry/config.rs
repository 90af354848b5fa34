//! The entry's configuration: from the store, and from and to other processes.

use kingcup_wire::{
    run::{self, Message},
    Frame,
};
use stakker::CX;
use stakker_mio::Ready;

use super::{Entry, Peer, ANNOUNCE_US};
use crate::{
    link::Id,
    runs::document::{Call, CALL_MS, WATCH_MS},
    web::{client, Fault, Response},
};

impl Entry {
    pub(super) fn call_store(&mut self, cx: CX![], now_us: u64) {
        let Some(call) = self.document.next_call(now_us) else { return };
        let (request, wait_ms) = match call {
            Call::Read => ((self.protocol.read_config)(), 0),
            Call::Watch(revision) => ((self.protocol.watch_config)(revision, WATCH_MS), WATCH_MS),
        };
        let due = now_us + (wait_ms + CALL_MS) * 1000;
        let to = self.settings.store;
        if let Err((_, result)) = self.client.call(cx, to, &request, due, (), Self::store_ready) {
            self.store_answered(&result, now_us);
        }
    }

    fn store_ready(&mut self, cx: CX![], id: client::Id, _: Ready) {
        let now_us = self.wake();
        if let Some((_, result)) = self.client.ready(id) {
            self.store_answered(&result, now_us);
            self.call_store(cx, now_us);
        }
        self.settle(cx, now_us);
    }

    pub(super) fn store_answered(&mut self, result: &Result<Response, Fault>, now_us: u64) {
        let stored = (self.protocol.config_reply)(result);
        if let Some(text) = self.document.answered(stored, now_us) {
            self.offer_config(&text, "store", now_us);
        }
    }

    /// Puts a configuration into force if it is newer, and hands it on.
    pub(super) fn offer_config(&mut self, text: &[u8], source: &str, now_us: u64) {
        let table = match (self.protocol.parse_config)(text) {
            Ok(table) => table,
            Err(reason) => {
                log::warn!("event=config_rejected source={source} reason=\"{reason}\"");
                return;
            }
        };
        let (version, routes) = (table.version(), table.len());
        if self.document.offer(table, text) {
            log::info!("event=config_in_force version={version} routes={routes} source={source}");
            self.announce_due_us = Some(now_us + ANNOUNCE_US);
        }
    }

    /// Tells other entries the version in force, and hands the configuration to this entry's share of
    /// the sidecars. A while after a change nearly all entries have it from the store, and hear only the
    /// version.
    pub(super) fn announce_config(&mut self) {
        let version = self.document.version();
        let mut names: Vec<&str> = vec![&self.settings.process.name];
        for peer in self.peers.values() {
            if let Peer::Entry { name } = peer {
                names.push(name);
            }
        }
        names.sort_unstable();
        names.dedup();
        let own = names.iter().position(|name| *name == self.settings.process.name);
        let mut shares = Vec::new();
        let mut links = Vec::new();
        for (link, peer) in &self.peers {
            match peer {
                Peer::Entry { .. } => links.push(*link),
                Peer::Sidecar { name, .. } => {
                    let sum: usize = name.bytes().map(usize::from).sum();
                    if Some(sum % names.len()) == own {
                        shares.push(*link);
                    }
                }
                Peer::Unknown => {}
            }
        }
        for link in links {
            self.links.send(link, &Frame::Run(Message::Version(version)));
        }
        for link in shares {
            self.send_config(link);
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
