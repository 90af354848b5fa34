//! Choice of the entries to which a sidecar connects.
//!
//! If every sidecar were connected to every entry, leases and load reports would grow with the
//! product of both numbers. With a subset of fixed size they grow with their sum. A sidecar ranks
//! the entries by a hash of both names, so that sidecars choose evenly without agreement, and an
//! entry that comes or goes changes no other choice. Half of the places are for entries of the
//! sidecar's own availability zone, which keeps messages there; the other half gives every entry
//! workers in other zones, for a zone whose callers or workers are out of proportion.

use std::cmp::Reverse;

use crate::rendezvous;

/// Most entries to which a sidecar stays connected.
pub const SIZE: usize = 6;
/// Places that entries of the sidecar's own availability zone have first.
pub const LOCAL_SIZE: usize = 3;

/// An entry that a sidecar may connect to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate<T> {
    /// Identifies the entry.
    pub id: T,
    /// Preference of the sidecar for the entry; see `weight`.
    pub weight: u64,
    /// True if the entry is in the sidecar's availability zone.
    pub local: bool,
}

/// Returns the preference of a sidecar for an entry.
pub fn weight(sidecar: &str, entry: &str) -> u64 {
    rendezvous::hash([sidecar, entry])
}

/// Returns the entries to connect to: all of them up to `SIZE`; otherwise the preferred ones of the
/// own availability zone up to `LOCAL_SIZE`, and then the preferred ones of all others.
pub fn choose<T: Copy + Ord>(candidates: impl IntoIterator<Item = Candidate<T>>) -> Vec<T> {
    let mut ranked: Vec<Candidate<T>> = candidates.into_iter().collect();
    if ranked.len() > SIZE {
        ranked.sort_by_key(|candidate| Reverse((candidate.weight, candidate.id)));
        let mut local_places = LOCAL_SIZE;
        let (mut chosen, others): (Vec<_>, Vec<_>) = ranked.into_iter().partition(|candidate| {
            let has_place = candidate.local && local_places > 0;
            local_places -= usize::from(has_place);
            has_place
        });
        chosen.extend(others);
        chosen.truncate(SIZE);
        ranked = chosen;
    }
    ranked.into_iter().map(|candidate| candidate.id).collect()
}
