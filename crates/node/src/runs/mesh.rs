//! Connections to entries whose addresses come from the settings or from other entries.

use std::{collections::BTreeMap, io, net::SocketAddr};

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
/// Time since an entry was last connected after which it is removed unless the settings name it, in
/// microseconds.
const REMOVE_AFTER_US: u64 = 15_000_000;

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
    connect_timeout_us: u64,
}

impl Contact {
    /// Returns the time at which an attempt that has brought no greeting times out.
    fn times_out_at_us(&self) -> u64 {
        let timeout_us =
            if self.established { MAX_CONNECT_TIMEOUT_US } else { self.connect_timeout_us };
        self.dialled_us + timeout_us
    }
}

/// Entries that this process connects to.
#[derive(Debug)]
pub struct Mesh {
    own: SocketAddr,
    contacts: BTreeMap<SocketAddr, Contact>,
}

impl Mesh {
    /// Returns a mesh with the entries that the settings name, except the process's own address
    /// `own`.
    pub fn open(own: SocketAddr, seeds: &[SocketAddr], now_us: u64) -> Self {
        let mut mesh = Self { own, contacts: BTreeMap::new() };
        mesh.set_seeds(seeds, now_us);
        mesh
    }

    /// Replaces the entries that the settings name.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr], now_us: u64) {
        for contact in self.contacts.values_mut() {
            contact.seed = false;
        }
        for seed in seeds {
            self.learn(*seed, now_us);
            if let Some(contact) = self.contacts.get_mut(seed) {
                contact.seed = true;
            }
        }
    }

    /// Adds an entry that another process is connected to. If it is known already, its timeout
    /// returns to the shortest, so that a connection is attempted again soon.
    pub fn learn(&mut self, address: SocketAddr, now_us: u64) {
        if address == self.own {
            return;
        }
        let contact = self.contacts.entry(address).or_insert(Contact {
            seed: false,
            link: None,
            dialled_us: 0,
            established: false,
            greeted: false,
            last_connected_us: now_us,
            connect_timeout_us: CONNECT_TIMEOUT_US,
        });
        contact.connect_timeout_us = CONNECT_TIMEOUT_US;
    }

    /// Returns the entries to connect to now, and removes those that have been unreachable for too
    /// long.
    pub fn due(&mut self, now_us: u64) -> Vec<SocketAddr> {
        self.contacts.retain(|_, contact| {
            contact.seed
                || contact.link.is_some()
                || contact.last_connected_us + REMOVE_AFTER_US > now_us
        });
        let due = self.contacts.iter().filter(|(_, contact)| {
            contact.link.is_none() && contact.dialled_us + DIAL_INTERVAL_US <= now_us
        });
        due.map(|(address, _)| *address).collect()
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
        }
        link
    }

    /// Records that the other side has accepted the connection.
    pub fn established(&mut self, link: Id) {
        if let Some(contact) = self.find(link) {
            contact.established = true;
        }
    }

    /// Records the greeting of the other side. Returns whether this process opened the connection.
    pub fn greeted(&mut self, link: Id, now_us: u64) -> bool {
        let Some(contact) = self.find(link) else { return false };
        contact.greeted = true;
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
            None => (contact.dialled_us + DIAL_INTERVAL_US).max(now_us),
            Some(_) if !contact.greeted => contact.times_out_at_us(),
            Some(_) => u64::MAX,
        });
        times.min().unwrap_or(u64::MAX)
    }

    /// Returns the addresses of the entries that are connected and have sent their greeting.
    pub fn connected(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        let connected = self.contacts.iter().filter(|(_, c)| c.link.is_some() && c.greeted);
        connected.map(|(address, _)| *address)
    }
}
