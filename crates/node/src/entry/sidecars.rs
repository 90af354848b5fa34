//! Links to sidecars: connecting, probing, and reconnecting with an inquiry about starts in flight.

use std::net::SocketAddr;

use kingcup_dispatch::{code::Code, member, route::Upstream};
use kingcup_wire::{Finish, Frame, Hello, Inquire, Load, Refuse, Report, Role, Welcome};
use rustc_hash::FxHashMap;
use slotmap::{new_key_type, SlotMap};
use stakker::CX;

use super::{
    contact::{Contact, Phase, Step, MAX_CONNECTING},
    services, translate, Entry, Owner, TICK_US,
};
use crate::link::Id;

/// Time after which a sidecar that refuses connections is considered lost, in microseconds.
///
/// It is long enough for the restart of a middlebox. A new incarnation of the sidecar is recognised
/// without this delay.
const REFUSED_TIMEOUT_US: u64 = 2_000_000;
/// Time after which a sidecar that does not answer is considered lost, in microseconds: ten
/// intervals of announcements.
const SILENT_TIMEOUT_US: u64 = 10_000_000;

new_key_type! {
    /// Identifies a sidecar in the table.
    pub struct Key;
}

/// A sidecar and this entry's connection to it.
#[derive(Debug)]
pub struct Row {
    /// Name of the sidecar.
    pub name: String,
    /// Service of its upstream.
    pub service: services::Id,
    /// Incarnation of its last `Welcome`; 0 before the first one.
    pub incarnation: u64,
    /// Outgoing connection.
    pub contact: Contact,
    /// Its upstream in the engine; `None` while the engine has none.
    pub upstream: Option<Upstream>,
    /// Offset added to the engine's sequences in messages to the sidecar.
    ///
    /// It starts at the current time in microseconds, so that a sidecar that was removed and joins
    /// again never receives the same sequence twice.
    pub sequence_offset: u64,
    /// True if it accepts no new work.
    pub closing: bool,
}

/// Table of the sidecars.
#[derive(Debug, Default)]
pub struct Table {
    rows: SlotMap<Key, Row>,
    names: FxHashMap<String, Key>,
}

impl Table {
    /// Returns the key of the sidecar of this name.
    pub fn find(&self, name: &str) -> Option<Key> {
        self.names.get(name).copied()
    }

    /// Returns a sidecar.
    pub fn get(&self, key: Key) -> Option<&Row> {
        self.rows.get(key)
    }

    /// Returns a sidecar for modification.
    pub fn get_mut(&mut self, key: Key) -> Option<&mut Row> {
        self.rows.get_mut(key)
    }

    /// Iterates over all sidecars.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &Row)> {
        self.rows.iter()
    }

    /// Returns the number of sidecars.
    pub fn count(&self) -> usize {
        self.rows.len()
    }

    /// Adds a sidecar. Returns `None` if there are too many.
    fn insert(&mut self, row: Row) -> Option<Key> {
        if self.rows.len() >= member::MAX_SIDECARS {
            return None;
        }
        let name = row.name.clone();
        let key = self.rows.insert(row);
        self.names.insert(name, key);
        Some(key)
    }

    fn remove(&mut self, key: Key) -> Option<Row> {
        let row = self.rows.remove(key)?;
        self.names.remove(&row.name);
        Some(row)
    }

    /// Returns the number of connections that are being established.
    fn connecting(&self) -> usize {
        let greeting = |row: &&Row| matches!(row.contact.phase, Phase::Greeting(_));
        self.rows.values().filter(greeting).count()
    }
}

impl Entry {
    /// Records the address of a sidecar from its announcement, and adds a new sidecar. Reconnects
    /// if the address has changed.
    pub(super) fn update_sidecar_address(&mut self, member: member::Id, now_us: u64) {
        let Some(row) = self.members.get(member) else { return };
        let Ok(address) = row.address.parse::<SocketAddr>() else { return };
        let Some(key) = self.sidecars.find(&row.name) else {
            let (name, service) = (row.name.clone(), row.service.clone());
            return self.sidecar_joined(&name, &service, row.closing, address, now_us);
        };
        let Some(row) = self.sidecars.get_mut(key) else { return };
        if row.contact.address != address {
            row.contact.address = address;
            self.redial_sidecar(key, "moved", now_us);
        }
    }

    fn sidecar_joined(
        &mut self,
        name: &str,
        service: &str,
        closing: bool,
        address: SocketAddr,
        now_us: u64,
    ) {
        let Some(service) = self.ensure_service(service, now_us) else {
            return log::warn!("event=sidecar_rejected sidecar={name} reason=services");
        };
        let row = Row {
            name: name.to_owned(),
            service,
            incarnation: 0,
            contact: Contact::open(address, now_us),
            upstream: None,
            sequence_offset: now_us,
            closing,
        };
        if self.sidecars.insert(row).is_none() {
            log::warn!("event=sidecar_rejected sidecar={name} reason=count");
        }
    }

    /// Handles the announcement of a new incarnation of a sidecar by reconnecting. The upstream of
    /// the old one is dropped when the new one answers, and kept if the old one answers once more.
    pub(super) fn sidecar_restarted(&mut self, name: &str, incarnation: u64, now_us: u64) {
        let Some(key) = self.sidecars.find(name) else { return };
        let Some(row) = self.sidecars.get_mut(key) else { return };
        if row.incarnation != incarnation {
            row.closing = false;
            self.redial_sidecar(key, "restarted", now_us);
        }
    }

    fn redial_sidecar(&mut self, key: Key, reason: &str, now_us: u64) {
        self.drop_sidecar(key, reason, now_us);
        if let Some(row) = self.sidecars.get_mut(key) {
            row.contact.dial_now(now_us);
        }
    }

    /// Removes a sidecar from which nothing was received for ten intervals.
    pub(super) fn sidecar_left(&mut self, name: &str, now_us: u64) {
        let Some(key) = self.sidecars.find(name) else { return };
        log::warn!("event=sidecar_left sidecar={name}");
        self.drop_sidecar(key, "left", now_us);
        self.drop_upstream(key, now_us);
        self.sidecars.remove(key);
        self.documents.forget(name);
    }

    /// Opens, probes and closes connections to sidecars, and drops the upstreams of lost sidecars.
    pub(super) fn tick_sidecars(&mut self, cx: CX![], now_us: u64) {
        let mut remaining = MAX_CONNECTING.saturating_sub(self.sidecars.connecting());
        let due: Vec<(Key, Step)> =
            self.sidecars.iter().map(|(key, row)| (key, self.sidecar_step(row, now_us))).collect();
        for (key, step) in due {
            match step {
                Step::Wait => {}
                Step::Dial if remaining == 0 => {}
                Step::Dial => {
                    remaining -= 1;
                    self.dial_sidecar(cx, key, now_us);
                }
                Step::Probe => self.probe_sidecar(key, now_us),
                Step::Drop => self.drop_sidecar(key, "silent", now_us),
            }
            self.expire_sidecar(key, now_us);
            self.report_traffic(key, now_us);
        }
    }

    /// Reports the state of the link and the bytes received since the last tick to the failure
    /// detector.
    fn report_traffic(&mut self, key: Key, now_us: u64) {
        let Some(row) = self.sidecars.get(key) else { return };
        let Some(link) = row.contact.link.and_then(|id| self.links.get(id)) else { return };
        let Some(member) = self.members.find(member::Role::Sidecar, &row.name) else { return };
        self.members.set_link(member, row.contact.is_open());
        if link.last_received_us + TICK_US >= now_us && row.contact.is_open() {
            let event = self.members.note_received(member, link.last_received_us);
            self.handle_member_events(event.into_iter().collect(), now_us);
        }
    }

    fn sidecar_step(&self, row: &Row, now_us: u64) -> Step {
        let link = row.contact.link.and_then(|id| self.links.get(id));
        let received_us = link.map_or(0, |link| link.last_received_us);
        row.contact.step(received_us, self.in_flight(row) > 0, now_us)
    }

    /// Returns the number of starts at a sidecar without an outcome.
    pub(super) fn in_flight(&self, row: &Row) -> usize {
        let fleet = self.services.get(row.service).engine.fleet();
        let upstream = row.upstream.and_then(|upstream| fleet.get(upstream));
        upstream.map_or(0, |upstream| upstream.in_flight.len())
    }

    fn dial_sidecar(&mut self, cx: CX![], key: Key, now_us: u64) {
        let Some(row) = self.sidecars.get_mut(key) else { return };
        let generation = row.contact.next_generation(now_us);
        let Ok(id) = self.links.dial(cx, row.contact.address, now_us, Self::ready) else {
            return row.contact.note_closed(&mut self.rng, now_us);
        };
        row.contact.note_dialled(id, now_us);
        let (service, upstream, offset) = (row.service, row.upstream, row.sequence_offset);
        let engine = &self.services.get(service).engine;
        let settled = offset + upstream.map_or(0, |upstream| engine.settled(upstream));
        self.owners.insert(id, Owner::Sidecar(key));
        let hello = Hello {
            role: Role::Entry,
            name: &self.settings.process.name,
            incarnation: self.incarnation,
            generation,
            settled,
        };
        self.metrics.sent(&Frame::Hello(hello.clone()));
        self.links.send(id, &Frame::Hello(hello));
    }

    fn probe_sidecar(&mut self, key: Key, now_us: u64) {
        let Some(row) = self.sidecars.get_mut(key) else { return };
        row.contact.note_probe(now_us);
        if let Some(id) = row.contact.link {
            self.send(id, &Frame::Probe(now_us));
        }
    }

    /// Closes the connection to a sidecar. Its upstream is suspended in the engine, and the
    /// outcomes of its starts remain unknown until the next connection.
    pub(super) fn drop_sidecar(&mut self, key: Key, reason: &str, now_us: u64) {
        let Some(row) = self.sidecars.get_mut(key) else { return };
        let was_open = row.contact.is_open();
        if let Some(id) = row.contact.link {
            self.links.close(id);
            self.owners.remove(id);
        }
        row.contact.note_closed(&mut self.rng, now_us);
        if was_open {
            log::info!("event=link_closed sidecar={} reason={reason}", row.name);
        }
        if let Some(upstream) = row.upstream {
            let engine = &mut self.services.get_mut(row.service).engine;
            engine.suspended(upstream, now_us);
        }
    }

    /// Drops the upstream of a sidecar that has been without a connection for too long.
    fn expire_sidecar(&mut self, key: Key, now_us: u64) {
        let Some(row) = self.sidecars.get(key) else { return };
        let Some(since_us) = row.contact.down_since_us.filter(|_| row.upstream.is_some()) else {
            return;
        };
        let down_us = now_us.saturating_sub(since_us);
        if down_us > SILENT_TIMEOUT_US || (row.contact.refused && down_us > REFUSED_TIMEOUT_US) {
            log::warn!("event=sidecar_lost sidecar={} down_us={down_us}", row.name);
            self.drop_upstream(key, now_us);
        }
    }

    /// Removes the upstream of a lost sidecar from the engine, with its starts.
    ///
    /// The offset grows, so that later starts get higher sequences even if the same incarnation of
    /// the sidecar connects again.
    fn drop_upstream(&mut self, key: Key, now_us: u64) {
        let Some(row) = self.sidecars.get_mut(key) else { return };
        let Some(upstream) = row.upstream.take() else { return };
        let service = self.services.get_mut(row.service);
        row.sequence_offset += service.engine.fleet().get(upstream).map_or(0, |row| row.sequence);
        service.engine.lost(upstream, now_us);
        service.upstreams.remove(upstream);
    }

    /// Handles a frame from a sidecar. Returns false if the connection is to be closed.
    pub(super) fn sidecar_frame(
        &mut self,
        key: Key,
        id: Id,
        frame: &Frame<'_>,
        now_us: u64,
    ) -> bool {
        let Some(row) = self.sidecars.get_mut(key) else { return false };
        row.contact.note_received();
        if !row.contact.is_open() && !matches!(frame, Frame::Welcome(_)) {
            return false;
        }
        match frame {
            Frame::Welcome(welcome) => return self.sidecar_welcomed(key, id, welcome, now_us),
            Frame::Finish(finish) => self.sidecar_finished(key, finish, now_us),
            Frame::Refuse(refuse) => self.sidecar_refused(key, refuse, now_us),
            Frame::Recalled(reports) | Frame::Reports(reports) => {
                self.handle_reports(key, reports, now_us);
            }
            Frame::Load(load) => self.sidecar_load(key, load, now_us),
            Frame::Closing => self.sidecar_closing(key, now_us),
            Frame::Probe(value) => {
                self.send(id, &Frame::ProbeAck(*value));
            }
            Frame::ProbeAck(_) => {}
            Frame::Fetch(service) => self.send_document(id, service),
            Frame::Document(document) => {
                self.receive_document(&self.sidecar_name(key), document, now_us);
            }
            Frame::Evacuations(evacuations) => {
                self.receive_evacuations(id, &self.sidecar_name(key), evacuations, now_us);
            }
            _ => return false,
        }
        true
    }

    fn sidecar_name(&self, key: Key) -> String {
        self.sidecars.get(key).map_or_else(String::new, |row| row.name.clone())
    }

    /// Handles `Welcome`: opens the link, and drops the upstream of an older incarnation. Returns
    /// false if another process has answered.
    fn sidecar_welcomed(&mut self, key: Key, id: Id, welcome: &Welcome<'_>, now_us: u64) -> bool {
        let Some(row) = self.sidecars.get_mut(key) else { return false };
        let service_name = &self.services.get(row.service).name;
        if welcome.name != row.name || welcome.service != service_name || row.contact.is_open() {
            log::warn!("event=welcome_rejected sidecar={} from={}", row.name, welcome.name);
            return false;
        }
        row.contact.note_welcome();
        let restarted = row.incarnation != welcome.incarnation;
        row.incarnation = welcome.incarnation;
        row.closing = welcome.closing;
        if restarted {
            self.drop_upstream(key, now_us);
        }
        log::info!(
            "event=sidecar_connected sidecar={} incarnation={:x} slots={}",
            welcome.name,
            welcome.incarnation,
            welcome.slots
        );
        // The first frame after the greeting, so that the sidecar knows the table before any start.
        self.send_evacuations(id);
        self.connect_upstream(key, id, welcome, now_us);
        if welcome.closing {
            self.sidecar_closing(key, now_us);
        }
        true
    }

    /// Adds a connected upstream to the engine, or resumes it there and inquires at the sidecar
    /// about its starts in flight.
    fn connect_upstream(&mut self, key: Key, id: Id, welcome: &Welcome<'_>, now_us: u64) {
        let Some(row) = self.sidecars.get_mut(key) else { return };
        let service = self.services.get_mut(row.service);
        let load = translate::load(&welcome.load);
        let Some(upstream) = row.upstream else {
            let (name, zone, slots) = (welcome.name, welcome.zone, welcome.slots);
            let incarnation = welcome.incarnation;
            let upstream = service.engine.connected(name, zone, incarnation, slots, &load, now_us);
            row.upstream = Some(upstream);
            service.upstreams.insert(upstream, key);
            return;
        };
        let in_flight = service.engine.resumed(upstream, welcome.incarnation, now_us);
        service.engine.load(upstream, &load, now_us);
        let sequences = translate::sequences(&in_flight, row.sequence_offset);
        if !sequences.is_empty() {
            self.send(id, &Frame::Inquire(Inquire { sequences }));
        }
    }

    fn sidecar_finished(&mut self, key: Key, finish: &Finish<'_>, now_us: u64) {
        let Some(row) = self.sidecars.get(key) else { return };
        let Some(upstream) = row.upstream else { return };
        if let Some(finish) = translate::finish(finish, row.sequence_offset) {
            let engine = &mut self.services.get_mut(row.service).engine;
            engine.finish(upstream, &finish, now_us);
        }
    }

    fn sidecar_refused(&mut self, key: Key, refuse: &Refuse<'_>, now_us: u64) {
        let Some(row) = self.sidecars.get(key) else { return };
        let Some(upstream) = row.upstream else { return };
        let Some(sequence) = translate::sequence(refuse.sequence, row.sequence_offset) else {
            return;
        };
        let engine = &mut self.services.get_mut(row.service).engine;
        let code = translate::refusal_code(refuse.code);
        engine.refuse(upstream, sequence, code, &translate::load(&refuse.load), now_us);
        if code == Code::Closing {
            self.sidecar_closing(key, now_us);
        }
    }

    fn handle_reports(&mut self, key: Key, reports: &[Report], now_us: u64) {
        let Some(row) = self.sidecars.get(key) else { return };
        let Some(upstream) = row.upstream else { return };
        let reports = translate::reports(reports, row.sequence_offset);
        self.services.get_mut(row.service).engine.handle_reports(upstream, &reports, now_us);
    }

    fn sidecar_load(&mut self, key: Key, load: &Load<'_>, now_us: u64) {
        let Some(row) = self.sidecars.get(key) else { return };
        let Some(upstream) = row.upstream else { return };
        let engine = &mut self.services.get_mut(row.service).engine;
        engine.load(upstream, &translate::load(load), now_us);
    }

    /// Records that a sidecar accepts no new work, and closes its upstream in the engine.
    pub(super) fn sidecar_closing(&mut self, key: Key, now_us: u64) {
        let Some(row) = self.sidecars.get_mut(key) else { return };
        if !std::mem::replace(&mut row.closing, true) {
            log::info!("event=sidecar_closing sidecar={}", row.name);
        }
        if let Some(upstream) = row.upstream {
            self.services.get_mut(row.service).engine.closing(upstream, now_us);
        }
    }
}
