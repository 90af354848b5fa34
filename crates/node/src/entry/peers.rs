//! Links to the other entries. Calls go out on connections that this entry opened; what arrives on
//! accepted connections is answered there.

use std::net::SocketAddr;

use kingcup_dispatch::member;
use kingcup_wire::{Frame, Hello, Load, Role, Welcome};
use rustc_hash::FxHashMap;
use slotmap::{new_key_type, SlotMap};
use stakker::CX;
use stakker_mio::Ready;

use super::{
    contact::{Contact, Step},
    Entry, Owner,
};
use crate::{link::Id, reactor};

/// Entries whose records one peer has taken over that are remembered.
const ADOPTED: usize = 64;
/// Accepted connections.
const VISITORS: usize = 256;
/// Time in which an accepted connection has to say `Hello`, in microseconds.
const HELLO_US: u64 = 2_000_000;

new_key_type! {
    /// Names a peer in its table.
    pub struct Key;
}

/// Another entry.
#[derive(Debug)]
pub struct Row {
    /// Name.
    pub name: String,
    /// Incarnation, once it is known.
    pub incarnation: u64,
    /// Connection.
    pub contact: Contact,
    /// Digests of it arrive.
    pub live: bool,
    /// Entries whose records it has taken over, the newest first.
    pub adopted: Vec<String>,
}

/// An accepted connection.
#[derive(Debug, Clone, Copy)]
pub struct Visitor {
    /// When it was accepted, in microseconds.
    pub since_us: u64,
    /// `Hello` has arrived.
    pub greeted: bool,
}

/// All other entries.
#[derive(Debug, Default)]
pub struct Table {
    rows: SlotMap<Key, Row>,
    names: FxHashMap<String, Key>,
}

impl Table {
    /// Finds a peer by name.
    pub fn find(&self, name: &str) -> Option<Key> {
        self.names.get(name).copied()
    }

    /// The peer.
    pub fn get(&self, key: Key) -> Option<&Row> {
        self.rows.get(key)
    }

    /// The peer.
    pub fn get_mut(&mut self, key: Key) -> Option<&mut Row> {
        self.rows.get_mut(key)
    }

    /// All peers.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &Row)> {
        self.rows.iter()
    }

    /// Adds a peer, or finds the one of this name.
    pub fn ensure(&mut self, name: &str, address: SocketAddr, now_us: u64) -> Key {
        if let Some(key) = self.find(name) {
            return key;
        }
        let key = self.rows.insert(Row {
            name: name.to_owned(),
            incarnation: 0,
            contact: Contact::open(address, now_us),
            live: false,
            adopted: Vec::new(),
        });
        self.names.insert(name.to_owned(), key);
        key
    }

    fn remove(&mut self, key: Key) -> Option<Row> {
        let row = self.rows.remove(key)?;
        self.names.remove(&row.name);
        Some(row)
    }
}

impl Entry {
    /// Opens, probes and gives up connections to peers, and drops silent visitors.
    pub(super) fn tick_peers(&mut self, cx: CX![], now_us: u64) {
        let due: Vec<(Key, Step)> =
            self.peers.iter().map(|(key, row)| (key, self.peer_step(key, row, now_us))).collect();
        for (key, step) in due {
            match step {
                Step::Wait => {}
                Step::Dial => self.dial_peer(cx, key, now_us),
                Step::Probe => self.probe_peer(key, now_us),
                Step::Drop => self.drop_peer(key, "silent", now_us),
            }
            self.note_peer_traffic(key);
        }
        self.drop_visitors(now_us);
    }

    fn peer_step(&self, key: Key, row: &Row, now_us: u64) -> Step {
        let link = row.contact.link.and_then(|id| self.links.get(id));
        let heard_us = link.map_or(0, |link| link.heard_us);
        let step = row.contact.step(heard_us, self.forwards.any_sent(key), now_us);
        let wanted = row.live || self.forwards.any(key);
        match step {
            Step::Dial if !wanted => Step::Wait,
            step => step,
        }
    }

    fn dial_peer(&mut self, cx: CX![], key: Key, now_us: u64) {
        let Some(row) = self.peers.get_mut(key) else { return };
        let generation = row.contact.next_generation(now_us);
        let Ok(id) = self.links.dial(cx, row.contact.address, now_us, Self::ready) else {
            return row.contact.closed(&mut self.rng, now_us);
        };
        row.contact.dialled(id, now_us);
        self.owners.insert(id, Owner::Peer(key));
        let hello = Hello {
            role: Role::Entry,
            name: &self.settings.process.name,
            incarnation: self.incarnation,
            generation,
            settled: 0,
        };
        self.metrics.sent(&Frame::Hello(hello.clone()));
        self.links.send(id, &Frame::Hello(hello));
    }

    fn probe_peer(&mut self, key: Key, now_us: u64) {
        let Some(row) = self.peers.get_mut(key) else { return };
        row.contact.probed(now_us);
        if let Some(id) = row.contact.link {
            self.send(id, &Frame::Probe(now_us));
        }
    }

    /// Closes the connection to a peer; the callers of calls that were sent are told.
    pub(super) fn drop_peer(&mut self, key: Key, reason: &str, now_us: u64) {
        let Some(row) = self.peers.get_mut(key) else { return };
        let open = row.contact.is_open();
        if let Some(id) = row.contact.link {
            self.links.close(id);
            self.owners.remove(id);
        }
        row.contact.closed(&mut self.rng, now_us);
        if open {
            log::info!("event=link_closed peer={} reason={reason}", row.name);
        }
        self.forwards_broken(key);
        self.handover_broken(key, now_us);
    }

    fn note_peer_traffic(&mut self, key: Key) {
        let Some(row) = self.peers.get(key) else { return };
        if let Some(member) = self.members.find(member::Role::Entry, &row.name) {
            self.members.set_link(member, row.contact.is_open());
        }
    }

    /// Takes over where a peer is, from its digest.
    pub(super) fn peer_place(&mut self, member: member::Id, now_us: u64) {
        let Some(row) = self.members.get(member) else { return };
        let Ok(address) = row.address.parse::<SocketAddr>() else { return };
        let key = self.peers.ensure(&row.name, address, now_us);
        let Some(peer) = self.peers.get_mut(key) else { return };
        peer.live = true;
        if peer.contact.address != address {
            peer.contact.address = address;
            self.drop_peer(key, "moved", now_us);
        }
    }

    /// Records whose records a peer has taken over.
    pub(super) fn peer_adopted(&mut self, name: &str, adopted: &[(&str, u64)]) {
        let Some(row) = self.peers.find(name).and_then(|key| self.peers.get_mut(key)) else {
            return;
        };
        for (entry, _) in adopted {
            if !row.adopted.iter().any(|known| known == entry) {
                row.adopted.truncate(ADOPTED - 1);
                row.adopted.insert(0, (*entry).to_owned());
            }
        }
    }

    /// A peer runs under a new incarnation; the connection to the old one is of no use.
    pub(super) fn peer_restarted(&mut self, name: &str, now_us: u64) {
        let Some(key) = self.peers.find(name) else { return };
        self.drop_peer(key, "restarted", now_us);
        // Only the old incarnation had the records that it took over.
        if let Some(row) = self.peers.get_mut(key) {
            row.adopted.clear();
            row.contact.hurry(now_us);
        }
    }

    /// Nothing was heard of a peer for ten intervals.
    pub(super) fn peer_left(&mut self, name: &str, now_us: u64) {
        let Some(key) = self.peers.find(name) else { return };
        log::warn!("event=peer_left peer={name}");
        self.documents.forget(name);
        self.quotas.left(name, now_us);
        self.drop_peer(key, "left", now_us);
        if self.settings.entries.iter().any(|peer| peer.name == name) || self.forwards.any(key) {
            if let Some(row) = self.peers.get_mut(key) {
                row.live = false;
            }
        } else {
            self.peers.remove(key);
        }
    }

    /// The peer that owns an incarnation's records, by the digests.
    pub(super) fn record_owner(&self, entry: &str, incarnation: u64) -> Option<Key> {
        let own = self
            .members
            .find(member::Role::Entry, entry)
            .filter(|id| self.members.get(*id).is_some_and(|row| row.incarnation == incarnation));
        let id = self.members.adopter(entry, incarnation).or(own)?;
        self.peers.find(&self.members.get(id)?.name)
    }

    /// The peer that has taken over records of any incarnation of an entry.
    pub(super) fn successor_of(&self, entry: &str) -> Option<Key> {
        let adopted = |row: &Row| row.live && row.adopted.iter().any(|name| name == entry);
        self.peers.iter().find(|(_, row)| adopted(row)).map(|(key, _)| key)
    }

    /// Handles a frame from a peer on a connection that this entry opened. False if the connection is
    /// to be closed.
    pub(super) fn peer_frame(&mut self, key: Key, id: Id, frame: &Frame<'_>, now_us: u64) -> bool {
        let Some(row) = self.peers.get_mut(key) else { return false };
        row.contact.heard();
        if !row.contact.is_open() && !matches!(frame, Frame::Welcome(_)) {
            return false;
        }
        match frame {
            Frame::Welcome(welcome) => return self.peer_welcomed(key, welcome, now_us),
            Frame::Forwarded(forwarded) => self.forwarded(key, id, forwarded),
            Frame::Document(document) => {
                let name = row.name.clone();
                self.document_from(&name, document, now_us);
            }
            Frame::HandoverAck(part) => self.handover_acked(key, *part, now_us),
            Frame::Probe(value) => {
                self.send(id, &Frame::ProbeAck(*value));
            }
            Frame::ProbeAck(_) | Frame::Closing => {}
            _ => return false,
        }
        true
    }

    fn peer_welcomed(&mut self, key: Key, welcome: &Welcome<'_>, now_us: u64) -> bool {
        let Some(row) = self.peers.get_mut(key) else { return false };
        if welcome.name != row.name || !welcome.service.is_empty() || row.contact.is_open() {
            log::warn!("event=welcome_rejected peer={} from={}", row.name, welcome.name);
            return false;
        }
        row.contact.welcomed();
        row.incarnation = welcome.incarnation;
        log::info!("event=peer_connected peer={} incarnation={:x}", row.name, row.incarnation);
        self.send_forwards(key, now_us);
        true
    }

    /// Accepts connections of peers.
    pub(super) fn accept(&mut self, cx: CX![], _: Ready) {
        let now_us = reactor::now_us(cx);
        while let Ok((stream, address)) = self.listener.accept() {
            if self.visitors >= VISITORS {
                log::warn!("event=accept_refused peer={address} reason=count");
                continue;
            }
            match self.links.accept(cx, stream, address, now_us, Self::ready) {
                Ok(id) => {
                    let visitor = Visitor { since_us: now_us, greeted: false };
                    self.owners.insert(id, Owner::Visitor(visitor));
                    self.visitors += 1;
                }
                Err(error) => log::warn!("event=accept_failed peer={address} error={error:?}"),
            }
        }
    }

    /// Handles a frame on an accepted connection. False if the connection is to be closed.
    pub(super) fn visitor_frame(
        &mut self,
        visitor: Visitor,
        id: Id,
        frame: &Frame<'_>,
        now_us: u64,
    ) -> bool {
        if !visitor.greeted {
            return match frame {
                Frame::Hello(hello) => self.visitor_greeted(visitor, id, hello),
                _ => false,
            };
        }
        match frame {
            Frame::Forward(forward) => self.forward_arrived(id, forward, now_us),
            Frame::Fetch(service) => self.send_document(id, service),
            Frame::Document(document) => self.document_from("", document, now_us),
            Frame::Handover(handover) => return self.handover_arrived(id, handover, now_us),
            Frame::Probe(value) => {
                self.send(id, &Frame::ProbeAck(*value));
            }
            _ => return false,
        }
        true
    }

    fn visitor_greeted(&mut self, visitor: Visitor, id: Id, hello: &Hello<'_>) -> bool {
        if hello.role != Role::Entry || hello.name == self.settings.process.name {
            return false;
        }
        self.owners.insert(id, Owner::Visitor(Visitor { greeted: true, ..visitor }));
        let name = self.settings.process.name.clone();
        let zone = self.settings.process.zone.clone();
        let welcome = Welcome {
            name: &name,
            incarnation: self.incarnation,
            service: "",
            zone: &zone,
            slots: 0,
            closing: self.stop.is_closing(),
            load: Load::default(),
        };
        self.send(id, &Frame::Welcome(welcome))
    }

    /// Drops connections that were accepted and have not said `Hello` in time.
    fn drop_visitors(&mut self, now_us: u64) {
        let late = |owner: &Owner| {
            matches!(owner, Owner::Visitor(visitor)
                if !visitor.greeted && now_us.saturating_sub(visitor.since_us) > HELLO_US)
        };
        let late: Vec<Id> =
            self.owners.iter().filter(|(_, owner)| late(owner)).map(|(id, _)| id).collect();
        for id in late {
            self.close(id, "no hello", now_us);
        }
    }
}
