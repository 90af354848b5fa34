//! Membership of sidecars and entries, with a failure detector based on silence.

pub mod announce;
pub mod row;

use std::collections::BTreeMap;

use slotmap::SlotMap;

pub use announce::Announcer;
pub use row::{region, Announcement, Answer, Contact, Event, Id, Member, Report, Role};

use crate::rendezvous;

/// Maximum number of sidecars in the table: four times the target scale. Further ones are ignored.
pub const MAX_SIDECARS: usize = 4_096;
/// Maximum number of entries in the table and in the address book. Further ones are ignored.
pub const MAX_ENTRIES: usize = 256;
/// Maximum number of services whose newest revision is recorded.
pub const MAX_SERVICES: usize = 1_024;
/// Minimum interval between announcements, and the interval between digests, in microseconds.
pub const MIN_INTERVAL_US: u64 = 1_000_000;
/// Maximum interval that an entry requests from an announcer, in microseconds.
pub const MAX_INTERVAL_US: u64 = 60_000_000;
/// Rate of announcements that an entry requests from all sidecars together, in bytes per second.
///
/// The limit on what an entry receives is 4,000 bytes per second. Jitter shortens intervals by a
/// twentieth on average, and retries after a lost announcement or answer add a third at 30% loss.
pub const ANNOUNCE_BYTES_PER_S: u64 = 2_800;
/// Number of intervals without a message after which a member is suspected.
pub const SUSPECT_INTERVALS: u64 = 3;
/// Number of intervals without a message after which a member is removed.
pub const REMOVE_INTERVALS: u64 = 10;
/// Time between two ticks from which this process itself counts as having been paused, in
/// microseconds. A pause does not count as silence of the members.
pub const PAUSE_THRESHOLD_US: u64 = 500_000;
/// Age from which the table is considered complete, in microseconds.
pub const SETTLED_US: u64 = 5_000_000;
/// Number of entries up to which a sidecar announces itself to all of them.
pub const MAX_BROADCAST_ENTRIES: usize = 8;
/// Number of entries per region to which a sidecar announces itself if there are more than
/// `MAX_BROADCAST_ENTRIES`.
pub const SUBSET_PER_REGION: usize = 4;
/// Number of entries that watch the configuration store.
pub const WATCHERS: usize = 2;

/// Number of replaced incarnations that are recorded for each name.
const MAX_REPLACED: usize = 4;

/// Table of the sidecars and entries known to a process, with the failure detector.
///
/// A row uses about 400 bytes with names of typical length, and a table at all its limits about 2
/// MB.
#[derive(Debug)]
pub struct Members {
    name: String,
    zone: String,
    rows: SlotMap<Id, Member>,
    sidecars: BTreeMap<String, Id>,
    entries: BTreeMap<String, Id>,
    address_book: BTreeMap<String, Listing>,
    revisions: BTreeMap<String, u64>,
    /// Moving average of the size of an announcement; 0 before the first one.
    mean_datagram_bytes: u64,
    started: u64,
    last_tick: u64,
}

/// An entry in the address book, from which nothing may have been received yet.
#[derive(Debug)]
struct Listing {
    contact: Contact,
    /// Time at which another process last mentioned it; `None` if it is listed in the settings.
    last_mentioned: Option<u64>,
    /// True if it was removed as silent and no process has mentioned it since.
    removed: bool,
}

impl Members {
    /// Creates the table of a process that starts at `now`, with the entries in its settings.
    pub fn new(
        name: &str,
        zone: &str,
        settings: impl IntoIterator<Item = Contact>,
        now: u64,
    ) -> Self {
        let contacts = settings.into_iter().filter(|contact| contact.name != name);
        let address_book = contacts
            .map(|contact| {
                (contact.name.clone(), Listing { contact, last_mentioned: None, removed: false })
            })
            .collect();
        Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            rows: SlotMap::with_key(),
            sidecars: BTreeMap::new(),
            entries: BTreeMap::new(),
            address_book,
            revisions: BTreeMap::new(),
            mean_datagram_bytes: 0,
            started: now,
            last_tick: now,
        }
    }

    /// Handles a sidecar's announcement. Ignores it if it is out of date or a duplicate.
    ///
    /// The answer to the sidecar requests the `interval_us` of its row.
    pub fn handle_announcement(&mut self, announcement: &Announcement<'_>, now: u64) -> Vec<Event> {
        let mut events = Vec::new();
        self.mean_datagram_bytes = match self.mean_datagram_bytes {
            0 => u64::from(announcement.bytes),
            mean => (mean * 15 + u64::from(announcement.bytes)).div_ceil(16),
        };
        let sender = Sender {
            role: Role::Sidecar,
            name: announcement.name,
            incarnation: announcement.incarnation,
            sequence: announcement.sequence,
            closing: announcement.closing,
        };
        let Some(id) = self.admit(&sender, now, &mut events) else {
            return events;
        };
        let needed = self.interval_us();
        let row = &mut self.rows[id];
        row.interval_us = needed.max(row.interval_us / 5 * 4);
        assign(&mut row.address, announcement.address);
        assign(&mut row.zone, announcement.zone);
        assign(&mut row.service, announcement.service);
        row.slots = announcement.slots;
        row.revisions.clear();
        row.revisions.push((announcement.service.to_owned(), announcement.revision));
        self.note_revision(id, announcement.service, announcement.revision, &mut events);
        events
    }

    /// Handles another entry's digest. Ignores it if it is out of date or a duplicate.
    pub fn handle_digest(&mut self, report: &Report<'_>, now: u64) -> Vec<Event> {
        let mut events = Vec::new();
        if report.from.name == self.name {
            return events;
        }
        let sender = Sender {
            role: Role::Entry,
            name: &report.from.name,
            incarnation: report.from.incarnation,
            sequence: report.sequence,
            closing: report.closing,
        };
        let Some(id) = self.admit(&sender, now, &mut events) else {
            return events;
        };
        let row = &mut self.rows[id];
        row.revisions.clear();
        let revisions = report.revisions.iter().take(MAX_SERVICES);
        row.revisions.extend(revisions.map(|(service, revision)| (service.to_string(), *revision)));
        row.adopted.clear();
        let adopted = report.adopted.iter().take(crate::key::MAX_ADOPTED);
        row.adopted.extend(adopted.map(|(name, incarnation)| (name.to_string(), *incarnation)));
        for (service, revision) in report.revisions {
            self.note_revision(id, service, *revision, &mut events);
        }
        self.set_address(id, &report.from, now);
        report.entries.iter().for_each(|contact| self.learn_address(contact, now));
        events
    }

    /// Handles an entry's answer to an announcement, at a sidecar.
    pub fn handle_answer(&mut self, answer: &Answer<'_>, now: u64) -> Vec<Event> {
        let mut events = Vec::new();
        let from = &answer.from;
        let known = self.entries.get(&from.name).and_then(|id| self.rows.get(*id));
        let current = known.filter(|row| row.incarnation == from.incarnation);
        let sender = Sender {
            role: Role::Entry,
            name: &from.name,
            incarnation: from.incarnation,
            sequence: current.map_or(1, |row| row.sequence + 1),
            closing: false,
        };
        let Some(id) = self.admit(&sender, now, &mut events) else {
            return events;
        };
        let row = &mut self.rows[id];
        row.interval_us = answer.interval_us.max(row.interval_us / 5 * 4);
        self.set_address(id, from, now);
        self.note_revision(id, answer.service, answer.revision, &mut events);
        answer.entries.iter().for_each(|contact| self.learn_address(contact, now));
        events
    }

    /// Records that a message arrived from a member, over any connection or datagram.
    pub fn note_received(&mut self, id: Id, now: u64) -> Option<Event> {
        let row = self.rows.get_mut(id)?;
        row.last_received = row.last_received.max(now);
        let was_suspected = row.suspected;
        row.suspected = false;
        was_suspected.then_some(Event::Joined(id))
    }

    /// Records whether this process's own link to a member is up.
    pub fn set_link(&mut self, id: Id, up: bool) {
        if let Some(row) = self.rows.get_mut(id) {
            row.link = Some(up);
        }
    }

    /// Runs the failure detector. Must be called at least every 250 ms.
    pub fn tick(&mut self, now: u64) -> Vec<Event> {
        let gap = now.saturating_sub(self.last_tick);
        let paused = (gap >= PAUSE_THRESHOLD_US).then_some(gap);
        self.last_tick = now;
        let mut events = Vec::new();
        let mut expired = Vec::new();
        for (id, row) in &mut self.rows {
            row.last_received += paused.unwrap_or(0);
            let silence = now.saturating_sub(row.last_received);
            if silence >= REMOVE_INTERVALS * row.interval_us {
                expired.push(id);
            } else if silence >= SUSPECT_INTERVALS * row.interval_us && !row.suspected {
                row.suspected = true;
                events.push(Event::Suspected(id));
            }
        }
        events.extend(expired.into_iter().filter_map(|id| self.remove(id)));
        let recent = |at: u64| now.saturating_sub(at) < REMOVE_INTERVALS * MIN_INTERVAL_US;
        self.address_book.retain(|name, listing| {
            listing.last_mentioned.is_none_or(recent) || self.entries.contains_key(name)
        });
        events
    }

    /// Returns the interval to request from announcers, in microseconds, which keeps all of them
    /// together within `ANNOUNCE_BYTES_PER_S`.
    pub fn interval_us(&self) -> u64 {
        let bytes = self.sidecars.len() as u64 * self.mean_datagram_bytes;
        let needed = (bytes * 1_000_000).div_ceil(ANNOUNCE_BYTES_PER_S);
        needed.clamp(MIN_INTERVAL_US, MAX_INTERVAL_US)
    }

    /// Returns a member's row.
    pub fn get(&self, id: Id) -> Option<&Member> {
        self.rows.get(id)
    }

    /// Returns a member by its name.
    pub fn find(&self, role: Role, name: &str) -> Option<Id> {
        self.index(role).get(name).copied()
    }

    /// Returns whether a member with this role is in an availability zone.
    pub fn has_zone(&self, role: Role, zone: &str) -> bool {
        self.iter(role).any(|(_, row)| row.zone == zone)
    }

    /// Iterates over the members with this role in order of name.
    pub fn iter(&self, role: Role) -> impl Iterator<Item = (Id, &Member)> {
        self.index(role).values().map(|id| (*id, &self.rows[*id]))
    }

    /// Returns true if this process can reach the member.
    ///
    /// This depends on its own link if there is one, and otherwise on the messages that it has
    /// received itself. The views of other processes are not used.
    pub fn reachable(&self, id: Id) -> bool {
        self.rows.get(id).is_some_and(|row| row.link.unwrap_or(!row.suspected))
    }

    /// Returns the entries to send to: those in the settings and those mentioned by others.
    pub fn contacts(&self) -> impl Iterator<Item = &Contact> {
        self.address_book.values().map(|listing| &listing.contact)
    }

    /// Returns the entries to mention to other processes.
    ///
    /// These are only entries whose messages arrive here directly and that are not suspected.
    /// Otherwise processes could keep a dead entry in their address books by mentioning it to each
    /// other.
    pub fn live_contacts(&self) -> impl Iterator<Item = Contact> + '_ {
        let live = self.iter(Role::Entry).filter(|(_, row)| !row.suspected);
        live.map(|(_, row)| row.contact())
    }

    /// Returns the names of the entries to which a sidecar announces itself.
    ///
    /// These are all entries if there are at most `MAX_BROADCAST_ENTRIES`. Otherwise they are those
    /// with the highest rendezvous hash in each region, so that every entry gets an equal share of
    /// the sidecars and a joining entry changes few choices. The next entry in order replaces one
    /// that was removed as silent, until another entry mentions that one again.
    pub fn subset(&self) -> Vec<&str> {
        if self.address_book.len() <= MAX_BROADCAST_ENTRIES {
            return self.address_book.keys().map(String::as_str).collect();
        }
        let mut regions: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        for (name, listing) in self.address_book.iter().filter(|(_, listing)| !listing.removed) {
            regions.entry(region(&listing.contact.zone)).or_default().push(name);
        }
        let ranked = |names| rendezvous::subset(&self.name, names, SUBSET_PER_REGION);
        regions.into_values().flat_map(ranked).collect()
    }

    /// Returns the candidates to take over this entry's records when it stops, best first.
    ///
    /// These are the reachable entries that accept new work. Entries in the same region come first,
    /// because the records are large. Until the final part is built, the next candidate can be
    /// tried if one fails.
    pub fn successors(&self) -> Vec<Id> {
        let eligible =
            |(id, row): &(Id, &Member)| !row.closing && !row.suspected && self.reachable(*id);
        let mut found: Vec<(Id, &Member)> = self.iter(Role::Entry).filter(eligible).collect();
        let own_region = region(&self.zone);
        found.sort_by_cached_key(|(_, row)| {
            let other_region = region(&row.zone) != own_region;
            (other_region, std::cmp::Reverse(rendezvous::hash([self.name.as_str(), &row.name])))
        });
        found.into_iter().map(|(id, _)| id).collect()
    }

    /// Returns true if this entry watches the store, as the live entries with the lowest names do.
    pub fn watches_store(&self) -> bool {
        let live = |(_, row): &(Id, &Member)| !row.suspected && !row.closing;
        let lower = |(_, row): &(Id, &Member)| row.name < self.name;
        self.iter(Role::Entry).filter(live).filter(lower).count() < WATCHERS
    }

    /// Returns true once the table is old enough to treat an upstream that is not in it as absent.
    pub fn is_settled(&self, now: u64) -> bool {
        now.saturating_sub(self.started) >= SETTLED_US
    }

    /// Returns the newest revision of a service that any member has reported; 0 if none.
    pub fn newest_revision(&self, service: &str) -> u64 {
        self.revisions.get(service).copied().unwrap_or(0)
    }

    /// Returns the members that have at least this revision of a service.
    pub fn holders<'a>(&'a self, service: &'a str, at_least: u64) -> impl Iterator<Item = Id> + 'a {
        let holds = move |row: &Member| row.revision(service) >= at_least;
        self.rows.iter().filter(move |(_, row)| holds(row)).map(|(id, _)| id)
    }

    /// Returns the entry that has announced ownership of the job IDs of another entry's
    /// incarnation.
    pub fn adopter(&self, entry: &str, incarnation: u64) -> Option<Id> {
        let adopts = |row: &Member| {
            row.adopted.iter().any(|(name, adopted)| *adopted == incarnation && name == entry)
        };
        self.iter(Role::Entry).find(|(_, row)| adopts(row)).map(|(id, _)| id)
    }

    fn index(&self, role: Role) -> &BTreeMap<String, Id> {
        match role {
            Role::Sidecar => &self.sidecars,
            Role::Entry => &self.entries,
        }
    }

    /// Returns the row of a message's sender, which it adds if necessary, and updates the row.
    ///
    /// Returns `None` if the message is out of date or a duplicate, or if the table is full.
    fn admit(&mut self, sender: &Sender<'_>, now: u64, events: &mut Vec<Event>) -> Option<Id> {
        let Some(id) = self.find(sender.role, sender.name) else {
            return self.insert(sender, now, events);
        };
        let row = &mut self.rows[id];
        if row.incarnation != sender.incarnation {
            if row.replaced.contains(&sender.incarnation) {
                return None;
            }
            let old = std::mem::replace(&mut row.incarnation, sender.incarnation);
            row.replaced.truncate(MAX_REPLACED - 1);
            row.replaced.insert(0, old);
            row.link = None;
            row.closing = false;
            row.suspected = false;
            events.push(Event::Restarted { id, old });
        } else if sender.sequence <= row.sequence {
            return None;
        }
        row.sequence = sender.sequence;
        events.extend(self.note_received(id, now));
        let row = &mut self.rows[id];
        if sender.closing && !row.closing {
            row.closing = true;
            events.push(Event::Closing(id));
        }
        Some(id)
    }

    fn insert(&mut self, sender: &Sender<'_>, now: u64, events: &mut Vec<Event>) -> Option<Id> {
        let (index, max) = match sender.role {
            Role::Sidecar => (&mut self.sidecars, MAX_SIDECARS),
            Role::Entry => (&mut self.entries, MAX_ENTRIES),
        };
        if index.len() >= max {
            return None;
        }
        let row = Member::new(sender.role, sender.name, sender.incarnation, sender.sequence, now);
        let id = self.rows.insert(row);
        index.insert(sender.name.to_owned(), id);
        events.push(Event::Joined(id));
        if sender.closing {
            self.rows[id].closing = true;
            events.push(Event::Closing(id));
        }
        Some(id)
    }

    fn remove(&mut self, id: Id) -> Option<Event> {
        let row = self.rows.remove(id)?;
        match row.role {
            Role::Sidecar => drop(self.sidecars.remove(&row.name)),
            Role::Entry => {
                self.entries.remove(&row.name);
                self.address_book
                    .get_mut(&row.name)
                    .into_iter()
                    .for_each(|listing| listing.removed = true);
            }
        }
        Some(Event::Left { id, role: row.role, name: row.name, incarnation: row.incarnation })
    }

    /// Records a revision that a member reported, with an event if it is the newest one.
    fn note_revision(&mut self, from: Id, service: &str, revision: u64, events: &mut Vec<Event>) {
        if revision <= self.newest_revision(service) {
            return;
        }
        if self.revisions.len() >= MAX_SERVICES && !self.revisions.contains_key(service) {
            return;
        }
        self.revisions.insert(service.to_owned(), revision);
        events.push(Event::Revision { from, service: service.to_owned(), revision });
    }

    /// Stores the address and zone that an entry reports of itself.
    fn set_address(&mut self, id: Id, from: &Contact, now: u64) {
        let row = &mut self.rows[id];
        assign(&mut row.address, &from.address);
        if !from.zone.is_empty() {
            assign(&mut row.zone, &from.zone);
        }
        let contact = row.contact();
        self.add_contact(contact, now);
    }

    /// Stores the address and zone of an entry that another process mentioned. Those that the entry
    /// reports itself take precedence.
    fn learn_address(&mut self, contact: &Contact, now: u64) {
        if contact.name != self.name && !self.entries.contains_key(&contact.name) {
            self.add_contact(contact.clone(), now);
        }
    }

    /// Adds a contact to the address book, or updates it there.
    fn add_contact(&mut self, contact: Contact, now: u64) {
        let full = self.address_book.len() >= MAX_ENTRIES;
        match self.address_book.get_mut(&contact.name) {
            Some(listing) => {
                listing.contact = contact;
                listing.removed = false;
                listing.last_mentioned = listing.last_mentioned.map(|_| now);
            }
            None if full => {}
            None => {
                let name = contact.name.clone();
                self.address_book
                    .insert(name, Listing { contact, last_mentioned: Some(now), removed: false });
            }
        }
    }
}

/// Sender of an announcement, a digest or an answer.
struct Sender<'a> {
    role: Role,
    name: &'a str,
    incarnation: u64,
    sequence: u64,
    closing: bool,
}

/// Assigns a text, which is copied only if it differs.
fn assign(text: &mut String, value: &str) {
    if text != value {
        value.clone_into(text);
    }
}
