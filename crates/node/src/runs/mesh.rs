//! Connections to entries whose addresses come from the settings or from other entries.
//!
//! Entries connect to all entries, sidecars to a subset of them.

use std::{
    collections::{BTreeMap, BTreeSet},
    io,
    net::SocketAddr,
};

use kingcup_dispatch::{
    cancel,
    subset::{self, Candidate},
    watch::Position,
};

use crate::link::Id;

/// Shortest time between two attempts to connect to the same entry, in microseconds.
const DIAL_INTERVAL_US: u64 = 100_000;
/// Timeout of an attempt to connect, in microseconds. A VM that is off does not respond, and the
/// kernel retransmits the SYN only after a second, so new attempts find a VM that has come back
/// sooner.
const CONNECT_TIMEOUT_US: u64 = 150_000;
/// Time since an entry was last connected after which the timeout doubles with each failed attempt,
/// in microseconds: longer than most outages, and short enough that removed VMs are not dialled
/// often for a long time.
const BACKOFF_AFTER_US: u64 = 4_000_000;
/// Longest timeout of an attempt to connect, and timeout of the greeting of an entry that has
/// accepted the connection, in microseconds.
const MAX_CONNECT_TIMEOUT_US: u64 = 1_200_000;
/// Time since an entry was last connected, or named by another entry, after which it is removed
/// unless the settings name it, in microseconds.
const REMOVE_AFTER_US: u64 = 15_000_000;
/// Time without a connection in spite of attempts after which another entry takes the place of this
/// one in a subset, in microseconds: a few attempts.
const REPLACE_AFTER_US: u64 = 500_000;

/// An entry and the state of the connection to it.
#[derive(Debug)]
struct Contact {
    /// The settings name the entry.
    seed: bool,
    link: Option<Id>,
    dialled_us: u64,
    established: bool,
    greeted: bool,
    /// Time of the last greeting or of the end of the last connection after one; initially the time
    /// at which the entry was added.
    last_connected_us: u64,
    /// Time at which another entry last named this one.
    named_us: u64,
    /// Time of the first attempt since the last connection, or since another entry named this one.
    tried_us: Option<u64>,
    connect_timeout_us: u64,
    /// Preference of this process for the entry.
    weight: u64,
    /// Availability zone of the entry; empty while unknown.
    zone: String,
    /// True if this process is to be connected to the entry.
    wanted: bool,
}

impl Contact {
    /// Returns the time at which an attempt that has brought no greeting times out.
    fn times_out_at_us(&self) -> u64 {
        let timeout_us =
            if self.established { MAX_CONNECT_TIMEOUT_US } else { self.connect_timeout_us };
        self.dialled_us + timeout_us
    }

    fn is_connected(&self) -> bool {
        self.link.is_some() && self.greeted
    }

    /// Returns false if attempts to connect have failed for some time.
    fn is_reachable(&self, now_us: u64) -> bool {
        self.is_connected()
            || self.tried_us.is_none_or(|tried_us| now_us < tried_us + REPLACE_AFTER_US)
    }

    fn candidate(&self, address: SocketAddr, zone: &str) -> Candidate<SocketAddr> {
        Candidate { id: address, weight: self.weight, local: *self.zone == *zone }
    }
}

/// Name and availability zone by which a process ranks entries.
#[derive(Debug, Clone, Copy)]
pub struct Identity<'a> {
    /// Name of the process.
    pub name: &'a str,
    /// Availability zone of the process.
    pub zone: &'a str,
}

/// Entries that this process knows, all or some of which it connects to.
#[derive(Debug)]
pub struct Mesh {
    own: SocketAddr,
    name: String,
    zone: String,
    /// True if this process connects to a subset of the entries.
    limited: bool,
    contacts: BTreeMap<SocketAddr, Contact>,
}

impl Mesh {
    /// Returns a mesh that connects to all entries. It starts with those that the settings name,
    /// except the process's own address `own`.
    pub fn open(
        own: SocketAddr,
        identity: Identity<'_>,
        seeds: &[SocketAddr],
        now_us: u64,
    ) -> Self {
        let mut mesh = Self {
            own,
            name: identity.name.to_owned(),
            zone: identity.zone.to_owned(),
            limited: false,
            contacts: BTreeMap::new(),
        };
        mesh.set_seeds(seeds, now_us);
        mesh
    }

    /// Returns a mesh that connects to a subset of the entries.
    pub fn open_limited(
        own: SocketAddr,
        identity: Identity<'_>,
        seeds: &[SocketAddr],
        now_us: u64,
    ) -> Self {
        Self { limited: true, ..Self::open(own, identity, seeds, now_us) }
    }

    /// Replaces the entries that the settings name.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr], now_us: u64) {
        for contact in self.contacts.values_mut() {
            contact.seed = false;
        }
        for seed in seeds {
            self.learn(*seed, None, now_us);
            if let Some(contact) = self.contacts.get_mut(seed) {
                contact.seed = true;
            }
        }
    }

    /// Adds an entry that another process is connected to, with its availability zone if that is
    /// known. If the entry is known already, its timeout returns to the shortest, so that a
    /// connection is attempted again soon.
    pub fn learn(&mut self, address: SocketAddr, zone: Option<&str>, now_us: u64) {
        if address == self.own {
            return;
        }
        let weight = || subset::weight(&self.name, &address.to_string());
        let contact = self.contacts.entry(address).or_insert_with(|| Contact {
            seed: false,
            link: None,
            dialled_us: 0,
            established: false,
            greeted: false,
            last_connected_us: now_us,
            named_us: now_us,
            tried_us: None,
            connect_timeout_us: CONNECT_TIMEOUT_US,
            weight: weight(),
            zone: String::new(),
            wanted: true,
        });
        contact.named_us = now_us;
        contact.tried_us = None;
        contact.connect_timeout_us = CONNECT_TIMEOUT_US;
        if let Some(zone) = zone {
            zone.clone_into(&mut contact.zone);
        }
    }

    /// Returns the entries to connect to now, and removes those that have been unreachable for too
    /// long.
    pub fn due(&mut self, now_us: u64) -> Vec<SocketAddr> {
        self.contacts.retain(|_, contact| {
            contact.seed
                || contact.link.is_some()
                || contact.last_connected_us.max(contact.named_us) + REMOVE_AFTER_US > now_us
        });
        if self.limited {
            self.update_wanted(now_us);
        }
        let due = self.contacts.iter().filter(|(_, contact)| {
            contact.wanted
                && contact.link.is_none()
                && contact.dialled_us + DIAL_INTERVAL_US <= now_us
        });
        due.map(|(address, _)| *address).collect()
    }

    /// Chooses the entries to connect to: the subset of all entries, and the subset of those that
    /// can be reached, which replaces the others until they return.
    fn update_wanted(&mut self, now_us: u64) {
        let mut wanted: BTreeSet<SocketAddr> = self.choose(|_| true).into_iter().collect();
        wanted.extend(self.choose(|contact| contact.is_reachable(now_us)));
        for (address, contact) in &mut self.contacts {
            contact.wanted = wanted.contains(address);
        }
    }

    fn choose(&self, suits: impl Fn(&Contact) -> bool) -> Vec<SocketAddr> {
        let suitable = self.contacts.iter().filter(|(_, contact)| suits(contact));
        subset::choose(suitable.map(|(address, contact)| contact.candidate(*address, &self.zone)))
    }

    /// Returns the connections that this process does not need, because it is connected to enough
    /// entries that it prefers.
    pub fn surplus(&self) -> Vec<Id> {
        if !self.limited {
            return Vec::new();
        }
        let needed = self.choose(Contact::is_connected);
        let connected = self.contacts.iter().filter(|(_, contact)| contact.is_connected());
        let surplus = connected.filter(|(address, _)| !needed.contains(address));
        surplus.filter_map(|(_, contact)| contact.link).collect()
    }

    /// Records an attempt to connect and returns its link. If the kernel refused the attempt, there
    /// is no link, and the next attempt follows after the usual interval.
    pub fn dialled(
        &mut self,
        address: SocketAddr,
        link: io::Result<Id>,
        now_us: u64,
    ) -> Option<Id> {
        let link = match link {
            Ok(link) => Some(link),
            Err(error) => {
                log::warn!("event=dial_failed address={address} error={error:?}");
                None
            }
        };
        if let Some(contact) = self.contacts.get_mut(&address) {
            contact.link = link;
            contact.established = false;
            contact.greeted = false;
            contact.dialled_us = now_us;
            contact.tried_us.get_or_insert(now_us);
        }
        link
    }

    /// Records that the other side has accepted the connection.
    pub fn established(&mut self, link: Id) {
        if let Some(contact) = self.find(link) {
            contact.established = true;
        }
    }

    /// Records the greeting of the other side and its availability zone. Returns whether this process
    /// opened the connection.
    pub fn greeted(&mut self, link: Id, zone: &str, now_us: u64) -> bool {
        let Some(contact) = self.find(link) else { return false };
        contact.greeted = true;
        zone.clone_into(&mut contact.zone);
        contact.tried_us = None;
        contact.connect_timeout_us = CONNECT_TIMEOUT_US;
        contact.last_connected_us = now_us;
        true
    }

    fn find(&mut self, link: Id) -> Option<&mut Contact> {
        self.contacts.values_mut().find(|contact| contact.link == Some(link))
    }

    /// Records that a connection was closed.
    pub fn closed(&mut self, link: Id, now_us: u64) {
        let Some(contact) = self.find(link) else { return };
        contact.link = None;
        if contact.greeted {
            contact.last_connected_us = now_us;
        } else if contact.last_connected_us + BACKOFF_AFTER_US < now_us {
            contact.connect_timeout_us =
                (contact.connect_timeout_us * 2).min(MAX_CONNECT_TIMEOUT_US);
        }
    }

    /// Returns the connections on which no greeting arrived in time.
    pub fn timed_out(&self, now_us: u64) -> Vec<Id> {
        let waiting = self.contacts.values().filter(|contact| !contact.greeted);
        let timed_out = waiting.filter(|contact| contact.times_out_at_us() <= now_us);
        timed_out.filter_map(|contact| contact.link).collect()
    }

    /// Returns the time at which `due` or `timed_out` will return something, or `u64::MAX`.
    pub fn next_due(&self, now_us: u64) -> u64 {
        let times = self.contacts.values().map(|contact| match contact.link {
            None if !contact.wanted => u64::MAX,
            None => (contact.dialled_us + DIAL_INTERVAL_US).max(now_us),
            Some(_) if !contact.greeted => contact.times_out_at_us(),
            Some(_) => u64::MAX,
        });
        times.min().unwrap_or(u64::MAX)
    }

    /// Returns the position of this entry among those that it is connected to.
    pub fn position(&self) -> Position {
        let rank = self.connected().filter(|(address, _)| *address < self.own).count();
        Position { rank, entries: self.connected().count() + 1 }
    }

    /// Returns all known entries, as the asking side of a cancel sees them.
    pub fn contacts(&self) -> impl Iterator<Item = cancel::Contact<Id>> + '_ {
        self.contacts.values().map(|contact| match contact.link.filter(|_| contact.greeted) {
            Some(link) => cancel::Contact::Connected(link),
            None => {
                cancel::Contact::Lost { since_us: contact.last_connected_us.max(contact.named_us) }
            }
        })
    }

    /// Returns the addresses and availability zones of the entries that are connected and have sent
    /// their greeting.
    pub fn connected(&self) -> impl Iterator<Item = (SocketAddr, &str)> + '_ {
        let connected = self.contacts.iter().filter(|(_, contact)| contact.is_connected());
        connected.map(|(address, contact)| (*address, contact.zone.as_str()))
    }
}
