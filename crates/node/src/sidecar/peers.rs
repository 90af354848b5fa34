//! Connections of entries, indexed by the gate's key and by link.

use std::collections::HashMap;

use kingcup_dispatch::gate;
use slotmap::SecondaryMap;

use crate::link::Id;

/// One connected entry.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Name of the entry.
    pub entry: String,
    /// Incarnation of the entry.
    pub incarnation: u64,
    /// Link of the connection.
    pub link: Id,
}

/// All connections that the gate has accepted.
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

    /// Returns the gate's key of a link.
    pub fn key(&self, link: Id) -> Option<gate::Peer> {
        self.keys.get(&link).copied()
    }

    /// Returns the connection with this key of the gate.
    pub fn get(&self, key: gate::Peer) -> Option<&Peer> {
        self.rows.get(key)
    }

    /// Returns the link of an entry: of several connections that of the highest incarnation.
    pub fn link_of(&self, entry: &str) -> Option<Id> {
        let found = self.rows.values().filter(|peer| peer.entry == entry);
        found.max_by_key(|peer| peer.incarnation).map(|peer| peer.link)
    }

    /// Removes a connection and returns it with the gate's key.
    pub fn remove(&mut self, link: Id) -> Option<(gate::Peer, Peer)> {
        let key = self.keys.remove(&link)?;
        Some((key, self.rows.remove(key)?))
    }

    /// Iterates over all connections.
    pub fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.rows.values()
    }
}
