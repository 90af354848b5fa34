//! Membership by datagrams: sidecars' announcements and the entries' digests.

use std::net::SocketAddr;

use kingcup_dispatch::{
    config::SETTLE_MS,
    member::{Announcement, Contact, Event, Id, Member, Report, Role},
};
use kingcup_wire::{Announce, AnnounceAck, Digest, Entry as EntryInfo, Frame, Usage};
use stakker::CX;
use stakker_mio::Ready;

use super::{quotas::Demand, Entry};
use crate::reactor;

/// Interval of digests, in microseconds.
const DIGEST_US: u64 = 1_000_000;
/// Bytes of the IP and UDP headers of a datagram.
const HEADER_BYTES: u32 = 28;
/// Entries that an answer or digest mentions; the datagram holds no more at the longest names.
const MENTIONS: usize = 4;
/// Rows by which the lists of a digest move on when they do not fit as a whole.
const TURN: usize = 5;
/// Most bytes of a name and a number in a digest, besides the characters of the name.
const ROW_BYTES: usize = 11;
/// Bytes of a digest's lists, which leave room for the rest of the datagram.
const LISTS_BYTES: usize = 750;

fn contact(entry: &EntryInfo<'_>) -> Contact {
    Contact {
        name: entry.name.to_owned(),
        incarnation: entry.incarnation,
        address: entry.address.to_owned(),
        zone: String::new(),
    }
}

fn info(contact: &Contact) -> EntryInfo<'_> {
    EntryInfo { name: &contact.name, incarnation: contact.incarnation, address: &contact.address }
}

/// Takes as many rows as fit the room, in bytes, and reduces it by them. If not all fit, successive
/// digests go through all of them.
fn fit<T>(mut rows: Vec<T>, bytes: impl Fn(&T) -> usize, room: &mut usize, turn: u64) -> Vec<T> {
    if rows.iter().map(&bytes).sum::<usize>() > *room && !rows.is_empty() {
        let start = turn as usize * TURN % rows.len();
        rows.rotate_left(start);
    }
    let mut taken = Vec::new();
    for row in rows {
        let Some(rest) = room.checked_sub(bytes(&row)) else { break };
        *room = rest;
        taken.push(row);
    }
    taken
}

impl Entry {
    /// Handles datagrams that have arrived.
    pub(super) fn datagrams(&mut self, cx: CX![], _: Ready) {
        let now_us = reactor::now_us(cx);
        let mut buffer = Vec::new();
        while let Some(from) = self.port.receive(&mut buffer) {
            let Some(frame) = self.port.decode(&buffer) else { continue };
            self.metrics.received(&frame);
            match frame {
                Frame::Announce(announce) => {
                    let bytes = buffer.len() as u32 + HEADER_BYTES;
                    self.announced(&announce, from, bytes, now_us);
                }
                Frame::Digest(digest) => self.reported(&digest, now_us),
                _ => log::debug!("event=datagram_ignored from={from}"),
            }
        }
        self.settle(now_us);
    }

    fn announced(&mut self, announce: &Announce<'_>, from: SocketAddr, bytes: u32, now_us: u64) {
        let heard = Announcement {
            name: announce.name,
            incarnation: announce.incarnation,
            sequence: announce.sequence,
            service: announce.service,
            zone: announce.zone,
            address: announce.address,
            slots: announce.slots,
            closing: announce.closing,
            revision: announce.revision,
            bytes,
        };
        let events = self.members.handle_announcement(&heard, now_us);
        self.documents.report(announce.name, announce.service, announce.revision);
        self.member_events(events, now_us);
        if let Some(id) = self.members.find(Role::Sidecar, announce.name) {
            self.sidecar_place(id, now_us);
            self.acknowledge(id, announce, from);
        }
    }

    fn acknowledge(&mut self, id: Id, announce: &Announce<'_>, to: SocketAddr) {
        let Some(row) = self.members.get(id) else { return };
        let interval_ms = (row.interval_us / 1_000) as u32;
        let address = self.address.to_string();
        let entries: Vec<Contact> = self.members.live_contacts().take(MENTIONS).collect();
        let frame = Frame::AnnounceAck(AnnounceAck {
            from: EntryInfo {
                name: &self.settings.process.name,
                incarnation: self.incarnation,
                address: &address,
            },
            sequence: announce.sequence,
            revision: self.documents.revision(announce.service),
            interval_ms,
            entries: entries.iter().map(info).collect(),
        });
        self.metrics.sent(&frame);
        let _ = self.port.send(to, &frame);
    }

    fn reported(&mut self, digest: &Digest<'_>, now_us: u64) {
        if digest.from.name == self.settings.process.name {
            if digest.from.incarnation > self.incarnation {
                log::warn!("event=replaced incarnation={:x}", digest.from.incarnation);
                self.ledger.mark_replaced();
            }
            return;
        }
        let entries: Vec<Contact> = digest.entries.iter().map(contact).collect();
        let heard = Report {
            from: contact(&digest.from),
            sequence: digest.sequence,
            closing: digest.closing,
            revisions: &digest.revisions,
            adopted: &digest.adopted,
            entries: &entries,
        };
        let events = self.members.handle_digest(&heard, now_us);
        for (service, revision) in &digest.revisions {
            self.documents.report(digest.from.name, service, *revision);
        }
        self.member_events(events, now_us);
        let demand = |row: &Usage<'_>| Demand { team: row.team.to_owned(), asked: row.asked };
        let demands: Vec<Demand> = digest.usage.iter().map(demand).collect();
        self.quotas.reported(digest.from.name, &demands, now_us);
        if let Some(id) = self.members.find(Role::Entry, digest.from.name) {
            self.peer_place(id, now_us);
            self.peer_adopted(digest.from.name, &digest.adopted);
        }
    }

    /// Acts on changes of membership.
    pub(super) fn member_events(&mut self, events: Vec<Event>, now_us: u64) {
        for event in events {
            match event {
                Event::Joined(id) => self.member_joined(id, now_us),
                Event::Restarted { id, old } => self.member_restarted(id, old, now_us),
                Event::Closing(id) => self.member_closing(id, now_us),
                Event::Left { role: Role::Sidecar, name, .. } => self.sidecar_left(&name, now_us),
                Event::Left { role: Role::Entry, name, .. } => self.peer_left(&name, now_us),
                // The own link decides whether work is sent; revisions are kept in `documents`.
                Event::Suspected(_) | Event::Revision { .. } => {}
            }
        }
    }

    fn member_joined(&mut self, id: Id, now_us: u64) {
        let Some(row) = self.members.get(id) else { return };
        log::info!("event=member_joined member={} incarnation={:x}", row.name, row.incarnation);
        match row.role {
            Role::Sidecar => self.sidecar_place(id, now_us),
            Role::Entry => {
                self.peer_place(id, now_us);
                self.greet_with_digest(now_us);
            }
        }
    }

    /// Brings the next digest forward: an entry that has just started needs to know who has which
    /// records.
    fn greet_with_digest(&mut self, now_us: u64) {
        self.next_digest_us = self.next_digest_us.min(now_us);
    }

    /// True once all entries of the settings have been heard, or are not going to be soon.
    pub(super) fn knows_peers(&self, now_us: u64) -> bool {
        let heard = |name: &str| self.members.find(Role::Entry, name).is_some();
        let own = &self.settings.process.name;
        let mut others = self.settings.entries.iter().filter(|peer| peer.name != *own);
        now_us >= SETTLE_MS * 1_000 || others.all(|peer| heard(&peer.name))
    }

    fn member_restarted(&mut self, id: Id, old: u64, now_us: u64) {
        let Some(Member { role, name, incarnation, .. }) = self.members.get(id) else { return };
        log::info!("event=member_restarted member={name} incarnation={incarnation:x} old={old:x}");
        let (role, name, incarnation) = (*role, name.clone(), *incarnation);
        match role {
            Role::Sidecar => self.sidecar_restarted(&name, incarnation, now_us),
            Role::Entry => {
                self.peer_restarted(&name, now_us);
                self.greet_with_digest(now_us);
            }
        }
    }

    fn member_closing(&mut self, id: Id, now_us: u64) {
        let Some(row) = self.members.get(id) else { return };
        log::info!("event=member_closing member={}", row.name);
        if row.role == Role::Sidecar {
            if let Some(key) = self.sidecars.find(&row.name) {
                self.sidecar_closing(key, now_us);
            }
        }
    }

    /// Runs the failure detector and sends digests.
    pub(super) fn tick_members(&mut self, now_us: u64) {
        let events = self.members.tick(now_us);
        self.member_events(events, now_us);
        if now_us >= self.next_digest_us {
            self.next_digest_us = now_us + DIGEST_US;
            self.demand = self.quotas.publish(now_us);
            self.send_digests();
        }
    }

    /// Sends this entry's state to all others.
    pub(super) fn send_digests(&mut self) {
        self.digests += 1;
        let address = self.address.to_string();
        let turn = self.digests;
        let room = &mut { LISTS_BYTES };
        let demand = fit(self.demand.clone(), |row| row.team.len() + ROW_BYTES, room, turn);
        let named = |row: &(&str, u64)| row.0.len() + ROW_BYTES;
        let adopted = fit(self.ledger.adopted().collect(), named, room, turn);
        let revisions = fit(self.documents.revisions(), named, room, turn);
        let usage = demand.iter().map(|row| Usage { team: &row.team, asked: row.asked }).collect();
        let entries: Vec<Contact> = self.members.live_contacts().take(MENTIONS).collect();
        let frame = Frame::Digest(Digest {
            from: EntryInfo {
                name: &self.settings.process.name,
                incarnation: self.incarnation,
                address: &address,
            },
            sequence: self.digests,
            closing: self.stop.is_closing(),
            revisions,
            usage,
            adopted,
            entries: entries.iter().map(info).collect(),
        });
        for contact in self.members.contacts() {
            let Ok(to) = contact.address.parse() else { continue };
            self.metrics.sent(&frame);
            if let Err(fault) = self.port.send(to, &frame) {
                log::warn!("event=digest_failed to={to} fault=\"{fault}\"");
            }
        }
    }

    /// Revision that a sidecar has in force, by its announcements.
    pub(super) fn sidecar_revision(&self, name: &str) -> u64 {
        let id = self.members.find(Role::Sidecar, name);
        let row = id.and_then(|id| self.members.get(id));
        row.map_or(0, |row| row.revision(&row.service))
    }

    /// True if a peer is stopping, by its digests.
    pub(super) fn peer_closing(&self, name: &str) -> bool {
        let id = self.members.find(Role::Entry, name);
        id.and_then(|id| self.members.get(id)).is_some_and(|row| row.closing)
    }
}
