//! Connections to entries whose addresses are known from settings or from other entries.

use std::{collections::BTreeMap, io, net::SocketAddr};

use crate::link::Id;

/// Time between two attempts to connect to one entry, in microseconds.
const DIAL_INTERVAL_US: u64 = 100_000;
/// An attempt that was not answered is given up after this time, in microseconds. A VM that is off does
/// not answer, and the kernel repeats the opening packet only after a second.
const CONNECT_US: u64 = 150_000;
/// Time from the last contact from which that time doubles with each attempt, in microseconds: longer
/// than most outages, and short enough not to try VMs that were removed for long.
const STEADY_US: u64 = 4_000_000;
/// Longest time for an attempt, and for the greeting of an entry that has accepted the connection, in
/// microseconds.
const MAX_CONNECT_US: u64 = 1_200_000;
/// An entry that is not in the settings is forgotten when it has not been reached for this time, in
/// microseconds.
const FORGET_US: u64 = 15_000_000;

#[derive(Debug)]
struct Contact {
    seed: bool,
    link: Option<Id>,
    dialled_us: u64,
    established: bool,
    greeted: bool,
    reached_us: u64,
    connect_us: u64,
}

impl Contact {
    /// Time at which an attempt without a greeting is given up.
    fn give_up_us(&self) -> u64 {
        let wait_us = if self.established { MAX_CONNECT_US } else { self.connect_us };
        self.dialled_us + wait_us
    }
}

/// Entries to be connected to.
#[derive(Debug)]
pub struct Mesh {
    own: SocketAddr,
    contacts: BTreeMap<SocketAddr, Contact>,
}

impl Mesh {
    /// Starts with the entries of the settings; `own` is left out.
    pub fn open(own: SocketAddr, seeds: &[SocketAddr], now_us: u64) -> Self {
        let mut mesh = Self { own, contacts: BTreeMap::new() };
        mesh.set_seeds(seeds, now_us);
        mesh
    }

    /// Takes the entries of changed settings.
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

    /// Takes an entry that another process reaches. If it could not be reached from here, it is tried
    /// again at once.
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
            reached_us: now_us,
            connect_us: CONNECT_US,
        });
        contact.connect_us = CONNECT_US;
    }

    /// Entries to connect to now. Those that cannot be reached for long are forgotten.
    pub fn due(&mut self, now_us: u64) -> Vec<SocketAddr> {
        self.contacts.retain(|_, contact| {
            contact.seed || contact.link.is_some() || contact.reached_us + FORGET_US > now_us
        });
        let due = self.contacts.iter().filter(|(_, contact)| {
            contact.link.is_none() && contact.dialled_us + DIAL_INTERVAL_US <= now_us
        });
        due.map(|(address, _)| *address).collect()
    }

    /// A connection is being opened.
    ///
    /// Without a link, which the kernel then refused, the next attempt follows as after any other.
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

    /// The other side has accepted the connection.
    pub fn established(&mut self, link: Id) {
        if let Some(contact) = self.find(link) {
            contact.established = true;
        }
    }

    /// The other side has greeted. True if the connection was opened here.
    pub fn greeted(&mut self, link: Id, now_us: u64) -> bool {
        let Some(contact) = self.find(link) else { return false };
        contact.greeted = true;
        contact.connect_us = CONNECT_US;
        contact.reached_us = now_us;
        true
    }

    fn find(&mut self, link: Id) -> Option<&mut Contact> {
        self.contacts.values_mut().find(|contact| contact.link == Some(link))
    }

    /// A connection is closed.
    pub fn closed(&mut self, link: Id, now_us: u64) {
        let Some(contact) = self.find(link) else { return };
        contact.link = None;
        if contact.greeted {
            contact.reached_us = now_us;
        } else if contact.reached_us + STEADY_US < now_us {
            contact.connect_us = (contact.connect_us * 2).min(MAX_CONNECT_US);
        }
    }

    /// Connections on which no greeting came in time.
    pub fn silent(&self, now_us: u64) -> Vec<Id> {
        let waiting = self.contacts.values().filter(|contact| !contact.greeted);
        let silent = waiting.filter(|contact| contact.give_up_us() <= now_us);
        silent.filter_map(|contact| contact.link).collect()
    }

    /// Time at which `due` or `silent` has something, or `u64::MAX`.
    pub fn next_due(&self, now_us: u64) -> u64 {
        let times = self.contacts.values().map(|contact| match contact.link {
            None => (contact.dialled_us + DIAL_INTERVAL_US).max(now_us),
            Some(_) if !contact.greeted => contact.give_up_us(),
            Some(_) => u64::MAX,
        });
        times.min().unwrap_or(u64::MAX)
    }

    /// Addresses of entries that are connected.
    pub fn reached(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        let reached = self.contacts.iter().filter(|(_, c)| c.link.is_some() && c.greeted);
        reached.map(|(address, _)| *address)
    }
}
