//! Connections of entries, by their key at the gate and by their link.

use std::collections::HashMap;

use kingcup_dispatch::gate;
use slotmap::SecondaryMap;

use crate::link::Id;

/// One connected entry.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Name of the entry.
    pub entry: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its link.
    pub link: Id,
}

/// Connected entries.
#[derive(Debug, Default)]
pub struct Peers {
    rows: SecondaryMap<gate::Peer, Peer>,
    keys: HashMap<Id, gate::Peer>,
}

impl Peers {
    /// Adds a connection that the gate accepted.
    pub fn insert(&mut self, key: gate::Peer, peer: Peer) {
        self.keys.insert(peer.link, key);
        self.rows.insert(key, peer);
    }

    /// The gate's key of a link.
    pub fn key(&self, link: Id) -> Option<gate::Peer> {
        self.keys.get(&link).copied()
    }

    /// A connection by the gate's key.
    pub fn get(&self, key: gate::Peer) -> Option<&Peer> {
        self.rows.get(key)
    }

    /// Link of the entry's newest connection.
    pub fn link_of(&self, entry: &str) -> Option<Id> {
        let found = self.rows.values().filter(|peer| peer.entry == entry);
        found.max_by_key(|peer| peer.incarnation).map(|peer| peer.link)
    }

    /// Removes a link.
    pub fn remove(&mut self, link: Id) -> Option<(gate::Peer, Peer)> {
        let key = self.keys.remove(&link)?;
        Some((key, self.rows.remove(key)?))
    }

    /// All connections.
    pub fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.rows.values()
    }
}
