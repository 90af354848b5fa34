//! Connections to entries whose addresses are known from settings or from other entries.

use std::{collections::BTreeMap, io, net::SocketAddr};

use crate::link::Id;

/// Time between two attempts to connect to one entry, in microseconds.
const DIAL_INTERVAL_US: u64 = 100_000;
/// A connection on which no greeting has arrived is closed after this time, in microseconds. A VM that
/// is off does not answer, and the opening packet is repeated only after a second; the time doubles
/// with each failure, for entries that are slow.
const GREETING_US: u64 = 150_000;
/// Longest time that a greeting may take, in microseconds.
const MAX_GREETING_US: u64 = 1_200_000;
/// An entry that is not in the settings is forgotten when it has not been reached for this time, in
/// microseconds.
const FORGET_US: u64 = 15_000_000;

#[derive(Debug)]
struct Contact {
    seed: bool,
    link: Option<Id>,
    dialled_us: u64,
    greeted: bool,
    reached_us: u64,
    greeting_us: u64,
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

    /// Takes an entry that another process knows.
    pub fn learn(&mut self, address: SocketAddr, now_us: u64) {
        if address != self.own {
            self.contacts.entry(address).or_insert(Contact {
                seed: false,
                link: None,
                dialled_us: 0,
                greeted: false,
                reached_us: now_us,
                greeting_us: GREETING_US,
            });
        }
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
            contact.greeted = false;
            contact.dialled_us = now_us;
        }
        link
    }

    /// The other side has greeted.
    pub fn greeted(&mut self, link: Id, now_us: u64) {
        if let Some(contact) = self.contacts.values_mut().find(|c| c.link == Some(link)) {
            contact.greeted = true;
            contact.greeting_us = GREETING_US;
            contact.reached_us = now_us;
        }
    }

    /// A connection is closed.
    pub fn closed(&mut self, link: Id, now_us: u64) {
        if let Some(contact) = self.contacts.values_mut().find(|c| c.link == Some(link)) {
            contact.link = None;
            if contact.greeted {
                contact.reached_us = now_us;
            } else {
                contact.greeting_us = (contact.greeting_us * 2).min(MAX_GREETING_US);
            }
        }
    }

    /// Connections on which no greeting came in time.
    pub fn silent(&self, now_us: u64) -> Vec<Id> {
        let silent = self.contacts.values().filter(|contact| {
            !contact.greeted && contact.dialled_us + contact.greeting_us <= now_us
        });
        silent.filter_map(|contact| contact.link).collect()
    }

    /// Addresses of entries that are connected.
    pub fn reached(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        let reached = self.contacts.iter().filter(|(_, c)| c.link.is_some() && c.greeted);
        reached.map(|(address, _)| *address)
    }
}
