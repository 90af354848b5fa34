//! Links to sidecars: connection, probes, reconnection with the inquiry about starts in flight.

use std::net::SocketAddr;

use kingcup_dispatch::{code::Code, member, route::Upstream};
use kingcup_wire::{Fate, Finish, Frame, Hello, Inquire, Load, Refuse, Role, Welcome};
use rustc_hash::FxHashMap;
use slotmap::{new_key_type, SlotMap};
use stakker::CX;

use super::{
    contact::{Contact, Phase, Step, DIALLING},
    services, translate, Entry, Owner, TICK_US,
};
use crate::link::Id;

/// Time after which a sidecar that refuses connections is lost, in microseconds. It covers a restart
/// of a middlebox; a new incarnation of the sidecar is recognised at once.
const REFUSED_US: u64 = 2_000_000;
/// Time after which a sidecar that does not answer is lost, in microseconds: ten intervals of
/// announcements.
const SILENT_US: u64 = 10_000_000;

new_key_type! {
    /// Names a sidecar in its table.
    pub struct Key;
}

/// A sidecar as this entry sees it.
#[derive(Debug)]
pub struct Row {
    /// Name.
    pub name: String,
    /// Service whose upstream it fronts.
    pub service: services::Id,
    /// Incarnation that answered last; 0 before the first answer.
    pub incarnation: u64,
    /// Connection.
    pub contact: Contact,
    /// Row in the engine, while there is one.
    pub upstream: Option<Upstream>,
    /// Added to the engine's sequences on the way to the sidecar. It starts at the present time in
    /// microseconds, so that a sidecar that left and came back does not see a sequence twice.
    pub base: u64,
    /// It takes no new work.
    pub closing: bool,
}

/// All sidecars.
#[derive(Debug, Default)]
pub struct Table {
    rows: SlotMap<Key, Row>,
    names: FxHashMap<String, Key>,
}

impl Table {
    /// Finds a sidecar by name.
    pub fn find(&self, name: &str) -> Option<Key> {
        self.names.get(name).copied()
    }

    /// The sidecar.
    pub fn get(&self, key: Key) -> Option<&Row> {
        self.rows.get(key)
    }

    /// The sidecar.
    pub fn get_mut(&mut self, key: Key) -> Option<&mut Row> {
        self.rows.get_mut(key)
    }

    /// All sidecars.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &Row)> {
        self.rows.iter()
    }

    /// Number of sidecars.
    pub fn count(&self) -> usize {
        self.rows.len()
    }

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

    fn dialling(&self) -> usize {
        let greeting = |row: &&Row| matches!(row.contact.phase, Phase::Greeting(_));
        self.rows.values().filter(greeting).count()
    }
}

impl Entry {
    /// Takes over where a sidecar is, from its announcement. A moved one is dialled anew.
    pub(super) fn sidecar_place(&mut self, member: member::Id, now_us: u64) {
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
        let Some(service) = self.ensure_service(service) else {
            return log::warn!("event=sidecar_rejected sidecar={name} reason=services");
        };
        let row = Row {
            name: name.to_owned(),
            service,
            incarnation: 0,
            contact: Contact::open(address, now_us),
            upstream: None,
            base: now_us,
            closing,
        };
        if self.sidecars.insert(row).is_none() {
            log::warn!("event=sidecar_rejected sidecar={name} reason=count");
        }
    }

    /// A sidecar announces a new incarnation: the old one is lost unless it answers once more.
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
            row.contact.hurry(now_us);
        }
    }

    /// Nothing was heard of a sidecar for ten intervals.
    pub(super) fn sidecar_left(&mut self, name: &str, now_us: u64) {
        let Some(key) = self.sidecars.find(name) else { return };
        log::warn!("event=sidecar_left sidecar={name}");
        self.drop_sidecar(key, "left", now_us);
        self.lose_upstream(key, now_us);
        self.sidecars.remove(key);
        self.documents.forget(name);
    }

    /// Opens, probes and gives up connections.
    pub(super) fn tick_sidecars(&mut self, cx: CX![], now_us: u64) {
        let mut free = DIALLING.saturating_sub(self.sidecars.dialling());
        let due: Vec<(Key, Step)> =
            self.sidecars.iter().map(|(key, row)| (key, self.sidecar_step(row, now_us))).collect();
        for (key, step) in due {
            match step {
                Step::Wait => {}
                Step::Dial if free == 0 => {}
                Step::Dial => {
                    free -= 1;
                    self.dial_sidecar(cx, key, now_us);
                }
                Step::Probe => self.probe_sidecar(key, now_us),
                Step::Drop => self.drop_sidecar(key, "silent", now_us),
            }
            self.expire_sidecar(key, now_us);
            self.note_traffic(key, now_us);
        }
    }

    /// Tells the failure detector of data traffic since the last tick.
    fn note_traffic(&mut self, key: Key, now_us: u64) {
        let Some(row) = self.sidecars.get(key) else { return };
        let Some(link) = row.contact.link.and_then(|id| self.links.get(id)) else { return };
        let Some(member) = self.members.find(member::Role::Sidecar, &row.name) else { return };
        self.members.set_link(member, row.contact.is_open());
        if link.heard_us + TICK_US >= now_us && row.contact.is_open() {
            let event = self.members.note_received(member, link.heard_us);
            self.member_events(event.into_iter().collect(), now_us);
        }
    }

    fn sidecar_step(&self, row: &Row, now_us: u64) -> Step {
        let link = row.contact.link.and_then(|id| self.links.get(id));
        let heard_us = link.map_or(0, |link| link.heard_us);
        row.contact.step(heard_us, self.flights(row) > 0, now_us)
    }

    /// Starts without outcome at a sidecar.
    pub(super) fn flights(&self, row: &Row) -> usize {
        let fleet = self.services.get(row.service).engine.fleet();
        let upstream = row.upstream.and_then(|upstream| fleet.get(upstream));
        upstream.map_or(0, |upstream| upstream.in_flight.len())
    }

    fn dial_sidecar(&mut self, cx: CX![], key: Key, now_us: u64) {
        let Some(row) = self.sidecars.get_mut(key) else { return };
        let generation = row.contact.next_generation(now_us);
        let Ok(id) = self.links.dial(cx, row.contact.address, now_us, Self::ready) else {
            return row.contact.closed(&mut self.rng, now_us);
        };
        row.contact.dialled(id, now_us);
        let (service, upstream, base) = (row.service, row.upstream, row.base);
        let engine = &self.services.get(service).engine;
        let settled = base + upstream.map_or(0, |upstream| engine.settled(upstream));
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
        row.contact.probed(now_us);
        if let Some(id) = row.contact.link {
            self.send(id, &Frame::Probe(now_us));
        }
    }

    /// Closes the connection to a sidecar. The outcome of its starts is unknown until the next one.
    pub(super) fn drop_sidecar(&mut self, key: Key, reason: &str, now_us: u64) {
        let Some(row) = self.sidecars.get_mut(key) else { return };
        let open = row.contact.is_open();
        if let Some(id) = row.contact.link {
            self.links.close(id);
            self.owners.remove(id);
        }
        row.contact.closed(&mut self.rng, now_us);
        if open {
            log::info!("event=link_closed sidecar={} reason={reason}", row.name);
        }
        if let Some(upstream) = row.upstream {
            let engine = &mut self.services.get_mut(row.service).engine;
            engine.suspended(upstream, now_us);
        }
    }

    /// Gives up the starts at a sidecar that has had no connection for too long.
    fn expire_sidecar(&mut self, key: Key, now_us: u64) {
        let Some(row) = self.sidecars.get(key) else { return };
        let Some(down_us) = row.contact.down_us.filter(|_| row.upstream.is_some()) else { return };
        let down_for_us = now_us.saturating_sub(down_us);
        if down_for_us > SILENT_US || (row.contact.refused && down_for_us > REFUSED_US) {
            log::warn!("event=sidecar_lost sidecar={} down_us={down_for_us}", row.name);
            self.lose_upstream(key, now_us);
        }
    }

    /// Gives up an upstream's starts. Later ones get higher sequences even if the same incarnation
    /// of the sidecar comes back.
    fn lose_upstream(&mut self, key: Key, now_us: u64) {
        let Some(row) = self.sidecars.get_mut(key) else { return };
        let Some(upstream) = row.upstream.take() else { return };
        let service = self.services.get_mut(row.service);
        row.base += service.engine.fleet().get(upstream).map_or(0, |row| row.sequence);
        service.engine.lost(upstream, now_us);
        service.upstreams.remove(upstream);
    }

    /// Handles a frame from a sidecar. False if the connection is to be closed.
    pub(super) fn sidecar_frame(
        &mut self,
        key: Key,
        id: Id,
        frame: &Frame<'_>,
        now_us: u64,
    ) -> bool {
        let Some(row) = self.sidecars.get_mut(key) else { return false };
        row.contact.heard();
        if !row.contact.is_open() && !matches!(frame, Frame::Welcome(_)) {
            return false;
        }
        match frame {
            Frame::Welcome(welcome) => return self.sidecar_welcomed(key, id, welcome, now_us),
            Frame::Finish(finish) => self.sidecar_finished(key, finish, now_us),
            Frame::Refuse(refuse) => self.sidecar_refused(key, refuse, now_us),
            Frame::Recalled(fates) | Frame::Fates(fates) => self.sidecar_fates(key, fates, now_us),
            Frame::Load(load) => self.sidecar_load(key, load, now_us),
            Frame::Closing => self.sidecar_closing(key, now_us),
            Frame::Probe(value) => {
                self.send(id, &Frame::ProbeAck(*value));
            }
            Frame::ProbeAck(_) => {}
            Frame::Fetch(service) => self.send_document(id, service),
            Frame::Document(document) => {
                self.document_from(&self.sidecar_name(key), document, now_us);
            }
            _ => return false,
        }
        true
    }

    fn sidecar_name(&self, key: Key) -> String {
        self.sidecars.get(key).map_or_else(String::new, |row| row.name.clone())
    }

    fn sidecar_welcomed(&mut self, key: Key, id: Id, welcome: &Welcome<'_>, now_us: u64) -> bool {
        let Some(row) = self.sidecars.get_mut(key) else { return false };
        let service_name = &self.services.get(row.service).name;
        if welcome.name != row.name || welcome.service != service_name || row.contact.is_open() {
            log::warn!("event=welcome_rejected sidecar={} from={}", row.name, welcome.name);
            return false;
        }
        row.contact.welcomed();
        let restarted = row.incarnation != welcome.incarnation;
        row.incarnation = welcome.incarnation;
        row.closing = welcome.closing;
        if restarted {
            self.lose_upstream(key, now_us);
        }
        log::info!(
            "event=sidecar_connected sidecar={} incarnation={:x} slots={}",
            welcome.name,
            welcome.incarnation,
            welcome.slots
        );
        self.enter_upstream(key, id, welcome, now_us);
        if welcome.closing {
            self.sidecar_closing(key, now_us);
        }
        true
    }

    /// Tells the engine of a connected upstream, and asks the sidecar about starts in flight.
    fn enter_upstream(&mut self, key: Key, id: Id, welcome: &Welcome<'_>, now_us: u64) {
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
        let own = service.engine.resumed(upstream, welcome.incarnation, now_us);
        service.engine.load(upstream, &load, now_us);
        let sequences = translate::sequences(&own, row.base);
        if !sequences.is_empty() {
            self.send(id, &Frame::Inquire(Inquire { sequences }));
        }
    }

    fn sidecar_finished(&mut self, key: Key, finish: &Finish<'_>, now_us: u64) {
        let Some(row) = self.sidecars.get(key) else { return };
        let Some(upstream) = row.upstream else { return };
        if let Some(finish) = translate::finish(finish, row.base) {
            let engine = &mut self.services.get_mut(row.service).engine;
            engine.finish(upstream, &finish, now_us);
        }
    }

    fn sidecar_refused(&mut self, key: Key, refuse: &Refuse<'_>, now_us: u64) {
        let Some(row) = self.sidecars.get(key) else { return };
        let Some(upstream) = row.upstream else { return };
        let Some(sequence) = translate::sequence(refuse.sequence, row.base) else { return };
        let engine = &mut self.services.get_mut(row.service).engine;
        let code = translate::refusal(refuse.code);
        engine.refuse(upstream, sequence, code, &translate::load(&refuse.load), now_us);
        if code == Code::Closing {
            self.sidecar_closing(key, now_us);
        }
    }

    fn sidecar_fates(&mut self, key: Key, fates: &[Fate], now_us: u64) {
        let Some(row) = self.sidecars.get(key) else { return };
        let Some(upstream) = row.upstream else { return };
        let reports = translate::reports(fates, row.base);
        self.services.get_mut(row.service).engine.handle_reports(upstream, &reports, now_us);
    }

    fn sidecar_load(&mut self, key: Key, load: &Load<'_>, now_us: u64) {
        let Some(row) = self.sidecars.get(key) else { return };
        let Some(upstream) = row.upstream else { return };
        let engine = &mut self.services.get_mut(row.service).engine;
        engine.load(upstream, &translate::load(load), now_us);
    }

    /// A sidecar takes no new work.
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
