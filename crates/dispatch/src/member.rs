//! Membership: which sidecars and entries exist, and which of them are silent.

pub mod announce;
pub mod row;

use std::collections::BTreeMap;

use slotmap::SlotMap;

pub use announce::Announcer;
pub use row::{region, Announcement, Answer, Contact, Event, Id, Member, Report, Role};

use crate::rendezvous;

/// Most sidecars in the table; four times the target scale. Further ones are ignored.
pub const MAX_SIDECARS: usize = 4_096;
/// Most entries in the table and in the address book. Further ones are ignored.
pub const MAX_ENTRIES: usize = 256;
/// Most services whose newest revision is remembered.
pub const MAX_SERVICES: usize = 1_024;
/// Shortest interval between announcements, and the interval of digests, in microseconds.
pub const MIN_INTERVAL_US: u64 = 1_000_000;
/// Longest interval that is asked of an announcer, in microseconds.
pub const MAX_INTERVAL_US: u64 = 60_000_000;
/// Announcements that an entry asks for, in bytes a second.
///
/// The limit on what it receives is 4,000. Jitter shortens intervals by a twentieth, and repetitions
/// after a lost announcement or answer add a third at 30% loss.
pub const ANNOUNCE_BYTES_PER_S: u64 = 2_800;
/// Intervals of silence after which a member is suspected.
pub const SUSPECT_INTERVALS: u64 = 3;
/// Intervals of silence after which a member is removed.
pub const REMOVE_INTERVALS: u64 = 10;
/// Time between two ticks from which the observer itself counts as paused, in microseconds.
/// Such a time is not counted as the members' silence.
pub const PAUSE_THRESHOLD_US: u64 = 500_000;
/// Age from which the table is taken as complete, in microseconds.
pub const SETTLED_US: u64 = 5_000_000;
/// Entries up to this number all get every announcement.
pub const MAX_BROADCAST_ENTRIES: usize = 8;
/// Entries of each region that a sidecar announces itself to, when there are more than that.
pub const SUBSET_PER_REGION: usize = 4;
/// Entries that watch the configuration store.
pub const WATCHERS: usize = 2;

/// Incarnations of one name that are remembered as replaced.
const REPLACED: usize = 4;

/// Table of the sidecars and entries that a process knows, with the failure detector.
///
/// A row takes about 400 bytes with names of usual length; all bounds together allow about 2 MB.
#[derive(Debug)]
pub struct Members {
    name: String,
    zone: String,
    rows: SlotMap<Id, Member>,
    sidecars: BTreeMap<String, Id>,
    entries: BTreeMap<String, Id>,
    book: BTreeMap<String, Listed>,
    revisions: BTreeMap<String, u64>,
    datagram_bytes: u64,
    opened: u64,
    ticked: u64,
}

/// An entry in the address book: it may not have been heard from.
#[derive(Debug)]
struct Listed {
    contact: Contact,
    /// When someone last mentioned it; `None` if it stands in the settings.
    mentioned: Option<u64>,
    /// It was removed as silent, and nobody has mentioned it since.
    gone: bool,
}

impl Members {
    /// Makes the table of a process that starts now, with the entries in its settings.
    pub fn new(
        name: &str,
        zone: &str,
        settings: impl IntoIterator<Item = Contact>,
        now: u64,
    ) -> Self {
        let listed = settings.into_iter().filter(|contact| contact.name != name);
        let book = listed
            .map(|contact| (contact.name.clone(), Listed { contact, mentioned: None, gone: false }))
            .collect();
        Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            rows: SlotMap::with_key(),
            sidecars: BTreeMap::new(),
            entries: BTreeMap::new(),
            book,
            revisions: BTreeMap::new(),
            datagram_bytes: 0,
            opened: now,
            ticked: now,
        }
    }

    /// Takes a sidecar's announcement. Older and repeated ones are ignored.
    ///
    /// The answer to send is `interval_us` of the sidecar's row.
    pub fn handle_announcement(&mut self, heard: &Announcement<'_>, now: u64) -> Vec<Event> {
        let mut events = Vec::new();
        self.datagram_bytes = match self.datagram_bytes {
            0 => u64::from(heard.bytes),
            mean => (mean * 15 + u64::from(heard.bytes)).div_ceil(16),
        };
        let who = Speaker {
            role: Role::Sidecar,
            name: heard.name,
            incarnation: heard.incarnation,
            sequence: heard.sequence,
            closing: heard.closing,
        };
        let Some(id) = self.admit(&who, now, &mut events) else {
            return events;
        };
        let needed = self.interval_us();
        let row = &mut self.rows[id];
        row.interval_us = needed.max(row.interval_us / 5 * 4);
        replace(&mut row.address, heard.address);
        replace(&mut row.zone, heard.zone);
        replace(&mut row.service, heard.service);
        row.slots = heard.slots;
        row.revisions.clear();
        row.revisions.push((heard.service.to_owned(), heard.revision));
        self.note(id, heard.service, heard.revision, &mut events);
        events
    }

    /// Takes another entry's digest. Older and repeated ones are ignored.
    pub fn handle_digest(&mut self, heard: &Report<'_>, now: u64) -> Vec<Event> {
        let mut events = Vec::new();
        if heard.from.name == self.name {
            return events;
        }
        let who = Speaker {
            role: Role::Entry,
            name: &heard.from.name,
            incarnation: heard.from.incarnation,
            sequence: heard.sequence,
            closing: heard.closing,
        };
        let Some(id) = self.admit(&who, now, &mut events) else {
            return events;
        };
        let row = &mut self.rows[id];
        row.revisions.clear();
        let revisions = heard.revisions.iter().take(MAX_SERVICES);
        row.revisions.extend(revisions.map(|(service, revision)| (service.to_string(), *revision)));
        row.adopted.clear();
        let adopted = heard.adopted.iter().take(crate::key::MAX_ADOPTED);
        row.adopted.extend(adopted.map(|(name, incarnation)| (name.to_string(), *incarnation)));
        for (service, revision) in heard.revisions {
            self.note(id, service, *revision, &mut events);
        }
        self.place(id, &heard.from, now);
        heard.entries.iter().for_each(|contact| self.learn(contact, now));
        events
    }

    /// Takes an entry's answer to an announcement, at a sidecar.
    pub fn handle_answer(&mut self, heard: &Answer<'_>, now: u64) -> Vec<Event> {
        let mut events = Vec::new();
        let from = &heard.from;
        let known = self.entries.get(&from.name).and_then(|id| self.rows.get(*id));
        let same = known.filter(|row| row.incarnation == from.incarnation);
        let who = Speaker {
            role: Role::Entry,
            name: &from.name,
            incarnation: from.incarnation,
            sequence: same.map_or(1, |row| row.sequence + 1),
            closing: false,
        };
        let Some(id) = self.admit(&who, now, &mut events) else {
            return events;
        };
        let row = &mut self.rows[id];
        row.interval_us = heard.interval_us.max(row.interval_us / 5 * 4);
        self.place(id, from, now);
        self.note(id, heard.service, heard.revision, &mut events);
        heard.entries.iter().for_each(|contact| self.learn(contact, now));
        events
    }

    /// Notes that something arrived from a member, by whatever way.
    pub fn note_received(&mut self, id: Id, now: u64) -> Option<Event> {
        let row = self.rows.get_mut(id)?;
        row.last_received = row.last_received.max(now);
        let back = row.suspected;
        row.suspected = false;
        back.then_some(Event::Joined(id))
    }

    /// Notes whether this process's own link to a member works.
    pub fn set_link(&mut self, id: Id, up: bool) {
        if let Some(row) = self.rows.get_mut(id) {
            row.link = Some(up);
        }
    }

    /// Runs the failure detector. To be called at least every 250 ms.
    pub fn tick(&mut self, now: u64) -> Vec<Event> {
        let gap = now.saturating_sub(self.ticked);
        let paused = (gap >= PAUSE_THRESHOLD_US).then_some(gap);
        self.ticked = now;
        let mut events = Vec::new();
        let mut gone = Vec::new();
        for (id, row) in &mut self.rows {
            row.last_received += paused.unwrap_or(0);
            let silence = now.saturating_sub(row.last_received);
            if silence >= REMOVE_INTERVALS * row.interval_us {
                gone.push(id);
            } else if silence >= SUSPECT_INTERVALS * row.interval_us && !row.suspected {
                row.suspected = true;
                events.push(Event::Suspected(id));
            }
        }
        events.extend(gone.into_iter().filter_map(|id| self.remove(id)));
        let lately = |at: u64| now.saturating_sub(at) < REMOVE_INTERVALS * MIN_INTERVAL_US;
        self.book.retain(|name, listed| {
            listed.mentioned.is_none_or(lately) || self.entries.contains_key(name)
        });
        events
    }

    /// Interval to ask of announcers, in microseconds, so that all together keep to the limit.
    pub fn interval_us(&self) -> u64 {
        let bytes = self.sidecars.len() as u64 * self.datagram_bytes;
        let needed = (bytes * 1_000_000).div_ceil(ANNOUNCE_BYTES_PER_S);
        needed.clamp(MIN_INTERVAL_US, MAX_INTERVAL_US)
    }

    /// A member's row.
    pub fn get(&self, id: Id) -> Option<&Member> {
        self.rows.get(id)
    }

    /// Finds a member by name.
    pub fn find(&self, role: Role, name: &str) -> Option<Id> {
        self.index(role).get(name).copied()
    }

    /// All members in order of name.
    pub fn iter(&self, role: Role) -> impl Iterator<Item = (Id, &Member)> {
        self.index(role).values().map(|id| (*id, &self.rows[*id]))
    }

    /// True if this process can reach the member: by its own link if there is one, otherwise by
    /// what it has heard itself. Other processes' views are not used.
    pub fn reachable(&self, id: Id) -> bool {
        self.rows.get(id).is_some_and(|row| row.link.unwrap_or(!row.suspected))
    }

    /// Entries to write to: those of the settings and those learned of.
    pub fn contacts(&self) -> impl Iterator<Item = &Contact> {
        self.book.values().map(|listed| &listed.contact)
    }

    /// Entries to mention to others: only those heard from directly and not silent, so that a dead
    /// one is not kept alive by mutual mention.
    pub fn live_contacts(&self) -> impl Iterator<Item = Contact> + '_ {
        let alive = self.iter(Role::Entry).filter(|(_, row)| !row.suspected);
        alive.map(|(_, row)| row.contact())
    }

    /// Names of the entries that a sidecar announces itself to.
    ///
    /// All of them when few. Otherwise the highest by rendezvous hash in each region, so that every
    /// entry gets an equal part of the fleet and a joining entry changes few choices. An entry that
    /// was removed as silent gives its place to the next until another entry mentions it again.
    pub fn subset(&self) -> Vec<&str> {
        if self.book.len() <= MAX_BROADCAST_ENTRIES {
            return self.book.keys().map(String::as_str).collect();
        }
        let mut regions: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        for (name, listed) in self.book.iter().filter(|(_, listed)| !listed.gone) {
            regions.entry(region(&listed.contact.zone)).or_default().push(name);
        }
        let ranked = |names| rendezvous::subset(&self.name, names, SUBSET_PER_REGION);
        regions.into_values().flat_map(ranked).collect()
    }

    /// Candidates to take over a stopping entry's records, the best first.
    ///
    /// Entries that take work and are reachable; those of the own region first, since the records
    /// are large. Before the final part is made the next candidate may be tried.
    pub fn successors(&self) -> Vec<Id> {
        let fit = |(id, row): &(Id, &Member)| !row.closing && !row.suspected && self.reachable(*id);
        let mut found: Vec<(Id, &Member)> = self.iter(Role::Entry).filter(fit).collect();
        let home = region(&self.zone);
        found.sort_by_cached_key(|(_, row)| {
            let abroad = region(&row.zone) != home;
            (abroad, std::cmp::Reverse(rendezvous::hash([self.name.as_str(), &row.name])))
        });
        found.into_iter().map(|(id, _)| id).collect()
    }

    /// True if this entry is one of those that watch the store: the live ones with the lowest names.
    pub fn watches_store(&self) -> bool {
        let live = |(_, row): &(Id, &Member)| !row.suspected && !row.closing;
        let lower = |(_, row): &(Id, &Member)| row.name < self.name;
        self.iter(Role::Entry).filter(live).filter(lower).count() < WATCHERS
    }

    /// True once the table is old enough to conclude from an upstream's absence.
    pub fn is_settled(&self, now: u64) -> bool {
        now.saturating_sub(self.opened) >= SETTLED_US
    }

    /// Newest revision of a service that anyone has named; 0 if none.
    pub fn newest_revision(&self, service: &str) -> u64 {
        self.revisions.get(service).copied().unwrap_or(0)
    }

    /// Members that have this revision of a service or a higher one.
    pub fn holders<'a>(&'a self, service: &'a str, at_least: u64) -> impl Iterator<Item = Id> + 'a {
        let holds = move |row: &Member| row.revision(service) >= at_least;
        self.rows.iter().filter(move |(_, row)| holds(row)).map(|(id, _)| id)
    }

    /// Entry that has announced that it owns the job IDs of another's incarnation.
    pub fn adopter(&self, entry: &str, incarnation: u64) -> Option<Id> {
        let adopts =
            |row: &Member| row.adopted.iter().any(|(name, of)| *of == incarnation && name == entry);
        self.iter(Role::Entry).find(|(_, row)| adopts(row)).map(|(id, _)| id)
    }

    fn index(&self, role: Role) -> &BTreeMap<String, Id> {
        match role {
            Role::Sidecar => &self.sidecars,
            Role::Entry => &self.entries,
        }
    }

    /// Finds or makes the speaker's row; `None` if the message is old or the table full.
    fn admit(&mut self, who: &Speaker<'_>, now: u64, events: &mut Vec<Event>) -> Option<Id> {
        let Some(id) = self.find(who.role, who.name) else {
            return self.insert(who, now, events);
        };
        let row = &mut self.rows[id];
        if row.incarnation != who.incarnation {
            if row.replaced.contains(&who.incarnation) {
                return None;
            }
            let old = std::mem::replace(&mut row.incarnation, who.incarnation);
            row.replaced.truncate(REPLACED - 1);
            row.replaced.insert(0, old);
            row.link = None;
            row.closing = false;
            row.suspected = false;
            events.push(Event::Restarted { id, old });
        } else if who.sequence <= row.sequence {
            return None;
        }
        row.sequence = who.sequence;
        events.extend(self.note_received(id, now));
        let row = &mut self.rows[id];
        if who.closing && !row.closing {
            row.closing = true;
            events.push(Event::Closing(id));
        }
        Some(id)
    }

    fn insert(&mut self, who: &Speaker<'_>, now: u64, events: &mut Vec<Event>) -> Option<Id> {
        let (index, most) = match who.role {
            Role::Sidecar => (&mut self.sidecars, MAX_SIDECARS),
            Role::Entry => (&mut self.entries, MAX_ENTRIES),
        };
        if index.len() >= most {
            return None;
        }
        let row = Member::new(who.role, who.name, who.incarnation, who.sequence, now);
        let id = self.rows.insert(row);
        index.insert(who.name.to_owned(), id);
        events.push(Event::Joined(id));
        if who.closing {
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
                self.book.get_mut(&row.name).into_iter().for_each(|listed| listed.gone = true);
            }
        }
        Some(Event::Left { id, role: row.role, name: row.name, incarnation: row.incarnation })
    }

    fn note(&mut self, from: Id, service: &str, revision: u64, events: &mut Vec<Event>) {
        if revision <= self.newest_revision(service) {
            return;
        }
        if self.revisions.len() >= MAX_SERVICES && !self.revisions.contains_key(service) {
            return;
        }
        self.revisions.insert(service.to_owned(), revision);
        events.push(Event::Revision { from, service: service.to_owned(), revision });
    }

    /// Stores where an entry is, as it says itself.
    fn place(&mut self, id: Id, from: &Contact, now: u64) {
        let row = &mut self.rows[id];
        replace(&mut row.address, &from.address);
        if !from.zone.is_empty() {
            replace(&mut row.zone, &from.zone);
        }
        let contact = row.contact();
        self.list(contact, now);
    }

    /// Stores where an entry is, as another says. What it says itself takes precedence.
    fn learn(&mut self, contact: &Contact, now: u64) {
        if contact.name != self.name && !self.entries.contains_key(&contact.name) {
            self.list(contact.clone(), now);
        }
    }

    fn list(&mut self, contact: Contact, now: u64) {
        let full = self.book.len() >= MAX_ENTRIES;
        match self.book.get_mut(&contact.name) {
            Some(listed) => {
                listed.contact = contact;
                listed.gone = false;
                listed.mentioned = listed.mentioned.map(|_| now);
            }
            None if full => {}
            None => {
                let name = contact.name.clone();
                self.book.insert(name, Listed { contact, mentioned: Some(now), gone: false });
            }
        }
    }
}

/// Who sent a message that counts for the table.
struct Speaker<'a> {
    role: Role,
    name: &'a str,
    incarnation: u64,
    sequence: u64,
    closing: bool,
}

fn replace(text: &mut String, with: &str) {
    if text != with {
        with.clone_into(text);
    }
}
