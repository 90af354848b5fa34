//! The entries known to the sidecar, to which it announces its upstream.

use kingcup_dispatch::member::{announce::Due, Announcer, Answer, Contact, Event, Members, Role};
use kingcup_wire::{AnnounceAck, Entry};

use crate::settings::sidecar::Settings;

/// Known entries and the schedule of announcements to them. Times are in microseconds.
#[derive(Debug)]
pub struct Entries {
    members: Members,
    announcer: Announcer,
    rng: fastrand::Rng,
    service: String,
}

impl Entries {
    /// Creates the table with the entries of the settings, which are never forgotten.
    pub fn open(settings: &Settings, now: u64) -> Self {
        let contact = |peer: &crate::settings::Peer| Contact {
            name: peer.name.clone(),
            incarnation: 0,
            address: peer.address.to_string(),
            zone: String::new(),
        };
        let process = &settings.process;
        let contacts = settings.entries.iter().map(contact);
        let members = Members::new(&process.name, &process.zone, contacts, now);
        let mut entries = Self {
            members,
            announcer: Announcer::new(),
            rng: fastrand::Rng::new(),
            service: settings.service.clone(),
        };
        entries.announcer.sync(&entries.members, now, &mut entries.rng);
        entries
    }

    /// Handles an acknowledgement of an announcement: updates the sender's address and announcement
    /// interval, and adds the entries that the sender knows.
    pub fn handle_ack(&mut self, ack: &AnnounceAck<'_>, now: u64) {
        let interval_us = u64::from(ack.interval_ms) * 1000;
        let entries: Vec<Contact> = ack.entries.iter().map(contact).collect();
        let answer = Answer {
            from: contact(&ack.from),
            interval_us,
            service: &self.service,
            revision: ack.revision,
            entries: &entries,
        };
        let events = self.members.handle_answer(&answer, now);
        self.log(&events);
        self.announcer.handle_answer(ack.from.name, interval_us);
        self.announcer.sync(&self.members, now, &mut self.rng);
    }

    /// Returns the announcements to send now and schedules the next ones.
    pub fn due(&mut self, now: u64) -> Vec<Due> {
        self.announcer.due(now, &mut self.rng)
    }

    /// Makes the announcement to every entry due now.
    pub fn announce_now(&mut self, now: u64) {
        self.announcer.announce_now(now);
    }

    /// Runs the failure detector. Returns the names of the entries that it now suspects or has
    /// removed.
    pub fn tick(&mut self, now: u64) -> Vec<String> {
        let events = self.members.tick(now);
        self.log(&events);
        self.announcer.sync(&self.members, now, &mut self.rng);
        let unreachable = events.into_iter().filter_map(|event| match event {
            Event::Suspected(id) => self.members.get(id).map(|row| row.name.clone()),
            Event::Left { name, .. } => Some(name),
            _ => None,
        });
        unreachable.collect()
    }

    fn log(&self, events: &[Event]) {
        for event in events {
            let (name, id) = match event {
                Event::Joined(id) => ("entry_heard", id),
                Event::Restarted { id, .. } => ("entry_restarted", id),
                Event::Suspected(id) => ("entry_silent", id),
                Event::Left { name, .. } => {
                    log::info!("event=entry_left entry={name}");
                    continue;
                }
                _ => continue,
            };
            if let Some(row) = self.members.get(*id) {
                log::info!("event={name} entry={} incarnation={:x}", row.name, row.incarnation);
            }
        }
    }

    /// Returns the time at which the entry last acknowledged an announcement, or 0 if it never did.
    pub fn last_received(&self, name: &str) -> u64 {
        let found = self.members.find(Role::Entry, name);
        found.and_then(|id| self.members.get(id)).map_or(0, |row| row.last_received)
    }

    /// Returns the names of the entries, each with the time of its last acknowledgement.
    pub fn iter(&self) -> impl Iterator<Item = (&str, u64)> {
        self.members
            .contacts()
            .map(|contact| (contact.name.as_str(), self.last_received(&contact.name)))
    }
}

fn contact(entry: &Entry<'_>) -> Contact {
    Contact {
        name: entry.name.to_owned(),
        incarnation: entry.incarnation,
        address: entry.address.to_owned(),
        zone: String::new(),
    }
}
