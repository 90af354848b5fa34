//! Which entry owns an idempotency key.

use crate::rendezvous;

/// Entries listed in the settings, which divide the idempotency keys among them.
#[derive(Debug, Clone)]
pub struct Owners {
    entries: Vec<String>,
    digest: u64,
}

impl Owners {
    /// Takes the settings' list of entry names; order and repetition do not matter.
    pub fn new(entries: impl IntoIterator<Item = String>) -> Self {
        let mut entries: Vec<String> = entries.into_iter().collect();
        entries.sort_unstable();
        entries.dedup();
        let digest = rendezvous::hash(entries.iter().map(String::as_str));
        Self { entries, digest }
    }

    /// Digest of the list. Entries with different digests may disagree on a key's owner.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Name of the entry that owns a key; `None` if the list is empty.
    pub fn owner(&self, key: &str) -> Option<&str> {
        rendezvous::owner(key, self.entries.iter().map(String::as_str))
    }
}
