//! Links to the other entries.
//!
//! Each entry sends its requests on connections that it has opened itself, and answers requests of
//! others on the accepted connections on which they arrive.

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

/// Maximum number of entries recorded for each peer whose records it has taken over.
const MAX_ADOPTED: usize = 64;
/// Maximum number of accepted connections.
const MAX_INBOUND: usize = 256;
/// Time without `Hello` after which an accepted connection is closed, in microseconds.
const HELLO_TIMEOUT_US: u64 = 2_000_000;

new_key_type! {
    /// Identifies a peer in the table.
    pub struct Key;
}

/// Another entry.
#[derive(Debug)]
pub struct Row {
    /// Name of the entry.
    pub name: String,
    /// Incarnation of its last `Welcome`; 0 before the first one.
    pub incarnation: u64,
    /// Outgoing connection.
    pub contact: Contact,
    /// True if its digests arrive.
    pub live: bool,
    /// Names of the entries whose records it has taken over, newest first.
    pub adopted: Vec<String>,
}

/// An accepted connection, on which another entry sends requests.
#[derive(Debug, Clone, Copy)]
pub struct Inbound {
    /// Time at which it was accepted, in microseconds.
    pub accepted_us: u64,
    /// True if `Hello` has arrived.
    pub greeted: bool,
}

/// Table of the other entries.
#[derive(Debug, Default)]
pub struct Table {
    rows: SlotMap<Key, Row>,
    names: FxHashMap<String, Key>,
}

impl Table {
    /// Returns the key of the peer of this name.
    pub fn find(&self, name: &str) -> Option<Key> {
        self.names.get(name).copied()
    }

    /// Returns a peer.
    pub fn get(&self, key: Key) -> Option<&Row> {
        self.rows.get(key)
    }

    /// Returns a peer for modification.
    pub fn get_mut(&mut self, key: Key) -> Option<&mut Row> {
        self.rows.get_mut(key)
    }

    /// Iterates over all peers.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &Row)> {
        self.rows.iter()
    }

    /// Returns the key of the peer of this name, and adds the peer if it is missing.
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
    /// Opens, probes and closes connections to peers, and closes accepted connections without
    /// `Hello`.
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
            self.update_peer_link(key);
        }
        self.drop_silent_inbound(now_us);
    }

    /// Returns the step that a peer's connection requires. No connection is opened to a peer
    /// without digests and without calls.
    fn peer_step(&self, key: Key, row: &Row, now_us: u64) -> Step {
        let link = row.contact.link.and_then(|id| self.links.get(id));
        let received_us = link.map_or(0, |link| link.last_received_us);
        let step = row.contact.step(received_us, self.forwards.has_sent_calls(key), now_us);
        let wanted = row.live || self.forwards.has_calls(key);
        match step {
            Step::Dial if !wanted => Step::Wait,
            step => step,
        }
    }

    fn dial_peer(&mut self, cx: CX![], key: Key, now_us: u64) {
        let Some(row) = self.peers.get_mut(key) else { return };
        let generation = row.contact.next_generation(now_us);
        let Ok(id) = self.links.dial(cx, row.contact.address, now_us, Self::ready) else {
            return row.contact.note_closed(&mut self.rng, now_us);
        };
        row.contact.note_dialled(id, now_us);
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
        row.contact.note_probe(now_us);
        if let Some(id) = row.contact.link {
            self.send(id, &Frame::Probe(now_us));
        }
    }

    /// Closes the connection to a peer. Calls that were sent on it are answered as possibly run,
    /// and a handover to the peer is interrupted.
    pub(super) fn drop_peer(&mut self, key: Key, reason: &str, now_us: u64) {
        let Some(row) = self.peers.get_mut(key) else { return };
        let was_open = row.contact.is_open();
        if let Some(id) = row.contact.link {
            self.links.close(id);
            self.owners.remove(id);
        }
        row.contact.note_closed(&mut self.rng, now_us);
        if was_open {
            log::info!("event=link_closed peer={} reason={reason}", row.name);
        }
        self.fail_sent_forwards(key);
        self.handover_interrupted(key, now_us);
    }

    /// Reports to the failure detector whether the link to a peer is open.
    fn update_peer_link(&mut self, key: Key) {
        let Some(row) = self.peers.get(key) else { return };
        if let Some(member) = self.members.find(member::Role::Entry, &row.name) {
            self.members.set_link(member, row.contact.is_open());
        }
    }

    /// Records the address of a peer from its digest, and closes a connection to another address.
    pub(super) fn update_peer_address(&mut self, member: member::Id, now_us: u64) {
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

    /// Records the entries whose records a peer has taken over.
    pub(super) fn note_adopted(&mut self, name: &str, adopted: &[(&str, u64)]) {
        let Some(row) = self.peers.find(name).and_then(|key| self.peers.get_mut(key)) else {
            return;
        };
        for (entry, _) in adopted {
            if !row.adopted.iter().any(|adopted| adopted == entry) {
                row.adopted.truncate(MAX_ADOPTED - 1);
                row.adopted.insert(0, (*entry).to_owned());
            }
        }
    }

    /// Handles a peer's change to a new incarnation: closes the connection to the old one and
    /// connects to the new one.
    pub(super) fn peer_restarted(&mut self, name: &str, now_us: u64) {
        let Some(key) = self.peers.find(name) else { return };
        self.drop_peer(key, "restarted", now_us);
        // The records that the old incarnation had taken over ended with it.
        if let Some(row) = self.peers.get_mut(key) {
            row.adopted.clear();
            row.contact.dial_now(now_us);
        }
    }

    /// Handles the removal of a peer from which nothing was received for ten intervals. Its row
    /// stays if it is in the settings or calls to it are pending.
    pub(super) fn peer_left(&mut self, name: &str, now_us: u64) {
        let Some(key) = self.peers.find(name) else { return };
        log::warn!("event=peer_left peer={name}");
        self.documents.forget(name);
        self.quotas.remove_peer(name, now_us);
        self.drop_peer(key, "left", now_us);
        if self.settings.entries.iter().any(|peer| peer.name == name)
            || self.forwards.has_calls(key)
        {
            if let Some(row) = self.peers.get_mut(key) {
                row.live = false;
            }
        } else {
            self.peers.remove(key);
        }
    }

    /// Returns the peer that owns an incarnation's records according to the digests: the one that
    /// has taken them over, or else that incarnation itself.
    pub(super) fn record_owner(&self, entry: &str, incarnation: u64) -> Option<Key> {
        let own = self
            .members
            .find(member::Role::Entry, entry)
            .filter(|id| self.members.get(*id).is_some_and(|row| row.incarnation == incarnation));
        let id = self.members.adopter(entry, incarnation).or(own)?;
        self.peers.find(&self.members.get(id)?.name)
    }

    /// Returns a peer that has taken over records of any incarnation of an entry.
    pub(super) fn successor_of(&self, entry: &str) -> Option<Key> {
        let adopted = |row: &Row| row.live && row.adopted.iter().any(|name| name == entry);
        self.peers.iter().find(|(_, row)| adopted(row)).map(|(key, _)| key)
    }

    /// Handles a frame from a peer on a connection that this entry opened. Returns false if the
    /// connection is to be closed.
    pub(super) fn peer_frame(&mut self, key: Key, id: Id, frame: &Frame<'_>, now_us: u64) -> bool {
        let Some(row) = self.peers.get_mut(key) else { return false };
        row.contact.note_received();
        if !row.contact.is_open() && !matches!(frame, Frame::Welcome(_)) {
            return false;
        }
        match frame {
            Frame::Welcome(welcome) => return self.peer_welcomed(key, id, welcome, now_us),
            Frame::Forwarded(forwarded) => self.forward_answered(key, id, forwarded),
            Frame::Document(document) => {
                let name = row.name.clone();
                self.receive_document(&name, document, now_us);
            }
            Frame::Evacuations(evacuations) => {
                let name = row.name.clone();
                self.receive_evacuations(id, &name, evacuations, now_us);
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

    /// Handles `Welcome`: opens the link and sends the calls that were waiting for it. Returns
    /// false if another process has answered.
    fn peer_welcomed(&mut self, key: Key, id: Id, welcome: &Welcome<'_>, now_us: u64) -> bool {
        let Some(row) = self.peers.get_mut(key) else { return false };
        if welcome.name != row.name || !welcome.service.is_empty() || row.contact.is_open() {
            log::warn!("event=welcome_rejected peer={} from={}", row.name, welcome.name);
            return false;
        }
        row.contact.note_welcome();
        row.incarnation = welcome.incarnation;
        log::info!("event=peer_connected peer={} incarnation={:x}", row.name, row.incarnation);
        self.send_evacuations(id);
        self.send_forwards(key, now_us);
        true
    }

    /// Accepts connections of other entries.
    pub(super) fn accept(&mut self, cx: CX![], _: Ready) {
        let now_us = reactor::now_us(cx);
        while let Ok((stream, address)) = self.listener.accept() {
            if self.inbound_count >= MAX_INBOUND {
                log::warn!("event=accept_refused peer={address} reason=count");
                continue;
            }
            match self.links.accept(cx, stream, address, now_us, Self::ready) {
                Ok(id) => {
                    let inbound = Inbound { accepted_us: now_us, greeted: false };
                    self.owners.insert(id, Owner::Inbound(inbound));
                    self.inbound_count += 1;
                }
                Err(error) => log::warn!("event=accept_failed peer={address} error={error:?}"),
            }
        }
    }

    /// Handles a frame on an accepted connection. Returns false if the connection is to be closed.
    pub(super) fn inbound_frame(
        &mut self,
        inbound: Inbound,
        id: Id,
        frame: &Frame<'_>,
        now_us: u64,
    ) -> bool {
        if !inbound.greeted {
            return match frame {
                Frame::Hello(hello) => self.handle_hello(inbound, id, hello),
                _ => false,
            };
        }
        match frame {
            Frame::Forward(forward) => self.forward_received(id, forward, now_us),
            Frame::Fetch(service) => self.send_document(id, service),
            Frame::Document(document) => self.receive_document("", document, now_us),
            Frame::Evacuations(evacuations) => {
                self.receive_evacuations(id, "peer", evacuations, now_us);
            }
            Frame::Handover(handover) => return self.handover_received(id, handover, now_us),
            Frame::Probe(value) => {
                self.send(id, &Frame::ProbeAck(*value));
            }
            _ => return false,
        }
        true
    }

    /// Handles `Hello` on an accepted connection and answers it with `Welcome`. Returns false for a
    /// process that is no entry or has this entry's name.
    fn handle_hello(&mut self, inbound: Inbound, id: Id, hello: &Hello<'_>) -> bool {
        if hello.role != Role::Entry || hello.name == self.settings.process.name {
            return false;
        }
        self.owners.insert(id, Owner::Inbound(Inbound { greeted: true, ..inbound }));
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
        let sent = self.send(id, &Frame::Welcome(welcome));
        self.send_evacuations(id);
        sent
    }

    /// Closes accepted connections on which `Hello` is overdue.
    fn drop_silent_inbound(&mut self, now_us: u64) {
        let is_overdue = |owner: &Owner| {
            matches!(owner, Owner::Inbound(inbound)
                if !inbound.greeted
                    && now_us.saturating_sub(inbound.accepted_us) > HELLO_TIMEOUT_US)
        };
        let overdue: Vec<Id> =
            self.owners.iter().filter(|(_, owner)| is_overdue(owner)).map(|(id, _)| id).collect();
        for id in overdue {
            self.close(id, "no hello", now_us);
        }
    }
}
