//! Membership messages in datagrams: announcements of sidecars and digests of entries.

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
/// Size of the IP and UDP headers of a datagram, in bytes.
const HEADER_BYTES: u32 = 28;
/// Maximum number of entries mentioned in an acknowledgement or digest. With names of maximum
/// length, a datagram holds no more.
const MAX_MENTIONED: usize = 4;
/// Number of rows by which the lists are rotated from one digest to the next if not all rows fit.
const ROTATION_STEP: usize = 5;
/// Maximum size of a row in a digest, in bytes, without the characters of its name: the length of
/// the name and a number.
const ROW_OVERHEAD_BYTES: usize = 11;
/// Maximum size of the lists in a digest, in bytes. The remaining fields of the datagram fit beside
/// them.
const LISTS_BYTES: usize = 750;

fn to_contact(entry: &EntryInfo<'_>) -> Contact {
    Contact {
        name: entry.name.to_owned(),
        incarnation: entry.incarnation,
        address: entry.address.to_owned(),
        zone: String::new(),
    }
}

fn to_info(contact: &Contact) -> EntryInfo<'_> {
    EntryInfo { name: &contact.name, incarnation: contact.incarnation, address: &contact.address }
}

/// Returns the rows that fit into `free` bytes, and subtracts their size from it. If not all fit,
/// the rows are rotated by the number of the digest, so that successive digests cover all of them.
fn select_rows<T>(
    mut rows: Vec<T>,
    bytes: impl Fn(&T) -> usize,
    free: &mut usize,
    digest: u64,
) -> Vec<T> {
    if rows.iter().map(&bytes).sum::<usize>() > *free && !rows.is_empty() {
        let start = digest as usize * ROTATION_STEP % rows.len();
        rows.rotate_left(start);
    }
    let mut selected = Vec::new();
    for row in rows {
        let Some(rest) = free.checked_sub(bytes(&row)) else { break };
        *free = rest;
        selected.push(row);
    }
    selected
}

impl Entry {
    /// Reads and handles the datagrams that have arrived.
    pub(super) fn receive_datagrams(&mut self, cx: CX![], _: Ready) {
        let now_us = reactor::now_us(cx);
        let mut buffer = Vec::new();
        while let Some(from) = self.port.receive(&mut buffer) {
            let Some(frame) = self.port.decode(&buffer) else { continue };
            self.metrics.received(&frame);
            match frame {
                Frame::Announce(announce) => {
                    let bytes = buffer.len() as u32 + HEADER_BYTES;
                    self.handle_announcement(&announce, from, bytes, now_us);
                }
                Frame::Digest(digest) => self.handle_digest(&digest, now_us),
                _ => log::debug!("event=datagram_ignored from={from}"),
            }
        }
        self.apply_and_flush(now_us);
    }

    fn handle_announcement(
        &mut self,
        announce: &Announce<'_>,
        from: SocketAddr,
        bytes: u32,
        now_us: u64,
    ) {
        let announcement = Announcement {
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
        let events = self.members.handle_announcement(&announcement, now_us);
        self.documents.report(announce.name, announce.service, announce.revision);
        self.handle_member_events(events, now_us);
        if let Some(id) = self.members.find(Role::Sidecar, announce.name) {
            self.update_sidecar_address(id, now_us);
            self.acknowledge(id, announce, from);
        }
    }

    /// Acknowledges an announcement. The answer carries the revision in force, the interval to use,
    /// and entries that the sidecar may not know.
    fn acknowledge(&mut self, id: Id, announce: &Announce<'_>, to: SocketAddr) {
        let Some(row) = self.members.get(id) else { return };
        let interval_ms = (row.interval_us / 1_000) as u32;
        let address = self.address.to_string();
        let entries: Vec<Contact> = self.members.live_contacts().take(MAX_MENTIONED).collect();
        let frame = Frame::AnnounceAck(AnnounceAck {
            from: EntryInfo {
                name: &self.settings.process.name,
                incarnation: self.incarnation,
                address: &address,
            },
            sequence: announce.sequence,
            revision: self.documents.revision(announce.service),
            interval_ms,
            entries: entries.iter().map(to_info).collect(),
        });
        self.metrics.sent(&frame);
        let _ = self.port.send(to, &frame);
    }

    /// Handles another entry's digest. A digest with this entry's own name and a later incarnation
    /// shows that another process has replaced this one, which must not accept new keys any more.
    fn handle_digest(&mut self, digest: &Digest<'_>, now_us: u64) {
        if digest.from.name == self.settings.process.name {
            if digest.from.incarnation > self.incarnation {
                log::warn!("event=replaced incarnation={:x}", digest.from.incarnation);
                self.ledger.mark_replaced();
            }
            return;
        }
        let entries: Vec<Contact> = digest.entries.iter().map(to_contact).collect();
        let report = Report {
            from: to_contact(&digest.from),
            sequence: digest.sequence,
            closing: digest.closing,
            revisions: &digest.revisions,
            adopted: &digest.adopted,
            entries: &entries,
        };
        let events = self.members.handle_digest(&report, now_us);
        for (service, revision) in &digest.revisions {
            self.documents.report(digest.from.name, service, *revision);
        }
        self.handle_member_events(events, now_us);
        let demand = |row: &Usage<'_>| Demand { team: row.team.to_owned(), requested: row.asked };
        let demands: Vec<Demand> = digest.usage.iter().map(demand).collect();
        self.quotas.record_demand(digest.from.name, &demands, now_us);
        if let Some(id) = self.members.find(Role::Entry, digest.from.name) {
            self.update_peer_address(id, now_us);
            self.note_adopted(digest.from.name, &digest.adopted);
        }
    }

    /// Handles the membership changes that the failure detector has reported.
    pub(super) fn handle_member_events(&mut self, events: Vec<Event>, now_us: u64) {
        for event in events {
            match event {
                Event::Joined(id) => self.member_joined(id, now_us),
                Event::Restarted { id, old } => self.member_restarted(id, old, now_us),
                Event::Closing(id) => self.member_closing(id, now_us),
                Event::Left { role: Role::Sidecar, name, .. } => self.sidecar_left(&name, now_us),
                Event::Left { role: Role::Entry, name, .. } => self.peer_left(&name, now_us),
                // The state of the link to the sidecar determines whether work is sent to it, and
                // `documents` records the revisions.
                Event::Suspected(_) | Event::Revision { .. } => {}
            }
        }
    }

    fn member_joined(&mut self, id: Id, now_us: u64) {
        let Some(row) = self.members.get(id) else { return };
        log::info!("event=member_joined member={} incarnation={:x}", row.name, row.incarnation);
        match row.role {
            Role::Sidecar => self.update_sidecar_address(id, now_us),
            Role::Entry => {
                self.update_peer_address(id, now_us);
                self.expedite_digest(now_us);
            }
        }
    }

    /// Makes the next digest due now. An entry that has just started needs it to learn which entry
    /// owns which records.
    fn expedite_digest(&mut self, now_us: u64) {
        self.next_digest_us = self.next_digest_us.min(now_us);
    }

    /// Returns true once all entries in the settings are members, or the settling time has passed.
    pub(super) fn knows_peers(&self, now_us: u64) -> bool {
        let is_known = |name: &str| self.members.find(Role::Entry, name).is_some();
        let own = &self.settings.process.name;
        let mut others = self.settings.entries.iter().filter(|peer| peer.name != *own);
        now_us >= SETTLE_MS * 1_000 || others.all(|peer| is_known(&peer.name))
    }

    fn member_restarted(&mut self, id: Id, old: u64, now_us: u64) {
        let Some(Member { role, name, incarnation, .. }) = self.members.get(id) else { return };
        log::info!("event=member_restarted member={name} incarnation={incarnation:x} old={old:x}");
        let (role, name, incarnation) = (*role, name.clone(), *incarnation);
        match role {
            Role::Sidecar => self.sidecar_restarted(&name, incarnation, now_us),
            Role::Entry => {
                self.peer_restarted(&name, now_us);
                self.expedite_digest(now_us);
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

    /// Runs the failure detector, and sends digests if they are due.
    pub(super) fn tick_members(&mut self, now_us: u64) {
        let events = self.members.tick(now_us);
        self.handle_member_events(events, now_us);
        if now_us >= self.next_digest_us {
            self.next_digest_us = now_us + DIGEST_US;
            self.demand = self.quotas.publish_demand(now_us);
            self.send_digests();
        }
    }

    /// Sends a digest of this entry's state to all other entries.
    pub(super) fn send_digests(&mut self) {
        self.digests_sent += 1;
        let address = self.address.to_string();
        let digest = self.digests_sent;
        let free = &mut { LISTS_BYTES };
        let demand = select_rows(
            self.demand.clone(),
            |row| row.team.len() + ROW_OVERHEAD_BYTES,
            free,
            digest,
        );
        let row_bytes = |row: &(&str, u64)| row.0.len() + ROW_OVERHEAD_BYTES;
        let adopted = select_rows(self.ledger.adopted().collect(), row_bytes, free, digest);
        let revisions = select_rows(self.documents.revisions(), row_bytes, free, digest);
        let usage =
            demand.iter().map(|row| Usage { team: &row.team, asked: row.requested }).collect();
        let entries: Vec<Contact> = self.members.live_contacts().take(MAX_MENTIONED).collect();
        let frame = Frame::Digest(Digest {
            from: EntryInfo {
                name: &self.settings.process.name,
                incarnation: self.incarnation,
                address: &address,
            },
            sequence: self.digests_sent,
            closing: self.stop.is_closing(),
            revisions,
            usage,
            adopted,
            entries: entries.iter().map(to_info).collect(),
        });
        for contact in self.members.contacts() {
            let Ok(to) = contact.address.parse() else { continue };
            self.metrics.sent(&frame);
            if let Err(fault) = self.port.send(to, &frame) {
                log::warn!("event=digest_failed to={to} fault=\"{fault}\"");
            }
        }
    }

    /// Returns the revision that a sidecar has in force according to its announcements.
    pub(super) fn sidecar_revision(&self, name: &str) -> u64 {
        let id = self.members.find(Role::Sidecar, name);
        let row = id.and_then(|id| self.members.get(id));
        row.map_or(0, |row| row.revision(&row.service))
    }

    /// Returns the availability zone of a sidecar according to its announcements.
    pub(super) fn sidecar_zone(&self, name: &str) -> &str {
        let id = self.members.find(Role::Sidecar, name);
        id.and_then(|id| self.members.get(id)).map_or("", |row| &row.zone)
    }

    /// Returns true if a peer is stopping according to its digests.
    pub(super) fn peer_closing(&self, name: &str) -> bool {
        let id = self.members.find(Role::Entry, name);
        id.and_then(|id| self.members.get(id)).is_some_and(|row| row.closing)
    }
}
