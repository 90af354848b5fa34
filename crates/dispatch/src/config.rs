//! Which revision of each service's document is in force; never a lower one.

use std::sync::Arc;

use displaydoc::Display;
use rustc_hash::FxHashMap;

use crate::document::{check_envelope, Envelope, Fault};

/// How long a starting process listens to its peers before it takes the highest revision that they
/// report, in milliseconds. Covers two intervals of announcements and digests.
pub const SETTLE_MS: u64 = 2_500;
/// How long a peer has to answer a fetch before another peer is asked, in milliseconds.
pub const FETCH_TIMEOUT_MS: u64 = 500;
/// Entries that watch the store at a time; the second covers the failure of the first.
pub const WATCHERS: usize = 2;

/// A revision with the text that was stored.
#[derive(Debug, Clone, PartialEq)]
pub struct Version {
    /// The parsed text.
    pub envelope: Arc<Envelope>,
    /// The stored JSON text, as it is passed on to peers.
    pub text: Arc<str>,
}

impl Version {
    /// Checks and parses a stored text.
    ///
    /// # Errors
    ///
    /// The first fault of the envelope or of its document.
    pub fn parse(text: &str) -> Result<Self, Fault> {
        let envelope = Arc::new(check_envelope(text)?);
        Ok(Self { envelope, text: text.into() })
    }

    /// Revision of the document.
    pub fn revision(&self) -> u64 {
        self.envelope.revision
    }
}

/// Where a document came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// Read from the store, which has the newest revision.
    Store,
    /// Sent by another process, which may have an older one.
    Peer,
}

/// What became of a document that arrived.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// in force
    Applied,
    /// kept until the settle time has passed
    Kept,
    /// not newer than the revision in force
    Stale,
}

/// A document to ask a peer for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fetch {
    /// Name of the service.
    pub service: String,
    /// Name of the peer, the entry or sidecar that reported the revision.
    pub peer: String,
    /// Revision that the peer reported.
    pub revision: u64,
}

/// A request to a peer that has not been answered yet.
#[derive(Debug)]
struct Asked {
    peer: String,
    at_ms: u64,
}

#[derive(Debug, Default)]
struct Service {
    held: Option<Version>,
    /// Newest document received from a peer while settling.
    kept: Option<Version>,
    /// Revision last reported by each peer.
    reported: FxHashMap<String, u64>,
    asked: Option<Asked>,
}

impl Service {
    fn revision(&self) -> u64 {
        self.held.as_ref().map_or(0, Version::revision)
    }

    fn newest_reported(&self) -> u64 {
        self.reported.values().copied().max().unwrap_or(0)
    }

    /// True if `held` was newer and is now in force.
    fn raise(&mut self, held: Version) -> bool {
        let newer = held.revision() > self.revision();
        if newer {
            self.held = Some(held);
            self.asked = None;
        }
        newer
    }

    /// Peer to ask next: one that reported the highest revision, after the one asked last.
    fn next_peer(&self, revision: u64) -> Option<&str> {
        let mut peers: Vec<&str> = self
            .reported
            .iter()
            .filter(|(_, reported)| **reported == revision)
            .map(|(peer, _)| peer.as_str())
            .collect();
        peers.sort_unstable();
        let after = self.asked.as_ref().map_or("", |asked| &asked.peer);
        peers.iter().find(|peer| **peer > after).or(peers.first()).copied()
    }
}

/// Documents in force at this process, and what its peers are known to have.
#[derive(Debug)]
pub struct Store {
    services: FxHashMap<String, Service>,
    settled_at_ms: u64,
    /// True once the store has answered; nothing newer is then to be expected from peers alone.
    store_read: bool,
    /// Peers whose report ends the settling of a service early.
    peers: usize,
}

impl Store {
    /// Starts without documents. `peers` is the number of other processes that will report; once
    /// all of them have reported a revision of a service, that service has settled. With 0 only
    /// the settle time counts.
    pub fn open(now_ms: u64, settle_ms: u64, peers: usize) -> Self {
        let settled_at_ms = now_ms.saturating_add(settle_ms);
        Self { services: FxHashMap::default(), settled_at_ms, store_read: false, peers }
    }

    /// Notes that the store answered a read of all documents, which ends the settling.
    pub fn note_store_read(&mut self) {
        self.store_read = true;
    }

    /// The document in force.
    pub fn current(&self, service: &str) -> Option<&Version> {
        self.services.get(service)?.held.as_ref()
    }

    /// Revision in force; 0 if there is none.
    pub fn revision(&self, service: &str) -> u64 {
        self.services.get(service).map_or(0, Service::revision)
    }

    /// Services with the revision in force, in order of name.
    pub fn revisions(&self) -> Vec<(&str, u64)> {
        let mut all: Vec<(&str, u64)> = self
            .services
            .iter()
            .filter(|(_, service)| service.held.is_some())
            .map(|(name, service)| (name.as_str(), service.revision()))
            .collect();
        all.sort_unstable();
        all
    }

    /// Notes the revision that a peer has in force. A peer that reports 0 has none.
    pub fn report(&mut self, peer: &str, service: &str, revision: u64) {
        if revision == 0 && !self.services.contains_key(service) {
            return;
        }
        let row = self.services.entry(service.to_owned()).or_default();
        if revision == 0 {
            row.reported.remove(peer);
        } else if row.reported.get(peer) != Some(&revision) {
            row.reported.insert(peer.to_owned(), revision);
        }
    }

    /// Forgets what a peer reported; called when the membership drops it. A starting process no
    /// longer waits for a revision that only this peer had.
    pub fn forget(&mut self, peer: &str) {
        for row in self.services.values_mut() {
            row.reported.remove(peer);
        }
    }

    /// Takes a document that arrived. It comes into force only if it is newer than the one in force
    /// and, from a peer, once the service has settled.
    pub fn offer(&mut self, held: Version, source: Source, now_ms: u64) -> Verdict {
        let name = held.envelope.document.service.clone();
        let settled = source == Source::Store || self.has_settled(&name, now_ms);
        let row = self.services.entry(name).or_default();
        if held.revision() <= row.revision() {
            return Verdict::Stale;
        }
        // A process with nothing in force does not start on a revision known to be superseded.
        let superseded = row.held.is_none() && held.revision() < row.newest_reported();
        if source == Source::Store || (settled && !superseded) {
            row.raise(held);
            return Verdict::Applied;
        }
        let kept = row.kept.as_ref().map_or(0, Version::revision);
        if held.revision() > kept {
            row.kept = Some(held);
        }
        Verdict::Kept
    }

    /// Puts in force what was kept while settling, and gives the names of services that changed.
    pub fn tick(&mut self, now_ms: u64) -> Vec<String> {
        let mut changed = Vec::new();
        let names: Vec<String> = self.unsettled().map(str::to_owned).collect();
        for name in names {
            if !self.has_settled(&name, now_ms) {
                continue;
            }
            let Some(row) = self.services.get_mut(&name) else {
                continue;
            };
            let newest = row.newest_reported();
            let Some(kept) = row.kept.take_if(|kept| kept.revision() >= newest) else {
                continue;
            };
            if row.raise(kept) {
                changed.push(name);
            }
        }
        changed
    }

    /// Documents to ask peers for now. A request that is not answered within `FETCH_TIMEOUT_MS`
    /// goes to the next peer that reported the same revision.
    pub fn fetches(&mut self, now_ms: u64) -> Vec<Fetch> {
        let mut fetches = Vec::new();
        let names: Vec<String> = self.behind().map(str::to_owned).collect();
        for name in names {
            if !self.has_settled(&name, now_ms) {
                continue;
            }
            let Some(row) = self.services.get_mut(&name) else {
                continue;
            };
            let waiting = |asked: &Asked| now_ms < asked.at_ms.saturating_add(FETCH_TIMEOUT_MS);
            if row.asked.as_ref().is_some_and(waiting) {
                continue;
            }
            let revision = row.newest_reported();
            let Some(peer) = row.next_peer(revision).map(str::to_owned) else {
                continue;
            };
            row.asked = Some(Asked { peer: peer.clone(), at_ms: now_ms });
            fetches.push(Fetch { service: name, peer, revision });
        }
        fetches.sort_unstable_by(|a, b| a.service.cmp(&b.service));
        fetches
    }

    /// Notes that a request could not be sent, so that the next peer is asked at once.
    pub fn note_unreachable(&mut self, service: &str, peer: &str) {
        let Some(row) = self.services.get_mut(service) else {
            return;
        };
        if let Some(asked) = row.asked.as_mut().filter(|asked| asked.peer == peer) {
            asked.at_ms = 0;
        }
    }

    fn has_settled(&self, service: &str, now_ms: u64) -> bool {
        let Some(row) = self.services.get(service) else {
            return self.store_read || now_ms >= self.settled_at_ms;
        };
        let all_reported = self.peers > 0 && row.reported.len() >= self.peers;
        row.held.is_some() || self.store_read || now_ms >= self.settled_at_ms || all_reported
    }

    fn unsettled(&self) -> impl Iterator<Item = &str> {
        let kept = self.services.iter().filter(|(_, row)| row.kept.is_some());
        kept.map(|(name, _)| name.as_str())
    }

    fn behind(&self) -> impl Iterator<Item = &str> {
        let behind = self.services.iter().filter(|(_, row)| row.newest_reported() > row.revision());
        behind.map(|(name, _)| name.as_str())
    }
}

/// Entries that watch the store: the live ones with the lowest names.
pub fn watchers<'a>(live: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let mut names: Vec<&str> = live.into_iter().collect();
    names.sort_unstable();
    names.dedup();
    names.truncate(WATCHERS);
    names
}

/// True if the entry `name` is to watch the store. `live` are the other live entries.
pub fn is_watcher<'a>(name: &'a str, live: impl IntoIterator<Item = &'a str>) -> bool {
    watchers(live.into_iter().chain([name])).contains(&name)
}
