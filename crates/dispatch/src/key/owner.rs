//! Assigns idempotency keys to the entries that own them.

use crate::rendezvous;

/// Entries listed in the settings, each of which owns a share of the idempotency keys.
#[derive(Debug, Clone)]
pub struct Owners {
    entries: Vec<String>,
    digest: u64,
}

impl Owners {
    /// Creates the owners from the settings' list of entry names. Order and duplicates do not
    /// matter.
    pub fn new(entries: impl IntoIterator<Item = String>) -> Self {
        let mut entries: Vec<String> = entries.into_iter().collect();
        entries.sort_unstable();
        entries.dedup();
        let digest = rendezvous::hash(entries.iter().map(String::as_str));
        Self { entries, digest }
    }

    /// Returns the digest of the list. Processes whose digests differ may disagree on a key's
    /// owner.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the name of the entry that owns a key; `None` if the list is empty.
    pub fn owner(&self, key: &str) -> Option<&str> {
        rendezvous::owner(key, self.entries.iter().map(String::as_str))
    }
}
