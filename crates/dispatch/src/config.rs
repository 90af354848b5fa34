//! Tracks the revision in force of each service's document, which never decreases.

use std::sync::Arc;

use displaydoc::Display;
use rustc_hash::FxHashMap;

use crate::document::{check_envelope, Envelope, Fault};

/// Time for which a starting process waits for reports of its peers before it applies the highest
/// revision that they report, in milliseconds. Covers two intervals of announcements and digests.
pub const SETTLE_MS: u64 = 2_500;
/// Time after which an unanswered fetch goes to another peer, in milliseconds.
pub const FETCH_TIMEOUT_MS: u64 = 500;
/// Number of entries that watch the store at a time. The second one covers a failure of the first.
pub const WATCHERS: usize = 2;

/// A revision of a document with its stored text.
#[derive(Debug, Clone, PartialEq)]
pub struct Version {
    /// Parsed form of the text.
    pub envelope: Arc<Envelope>,
    /// Stored JSON text, as it is sent to peers.
    pub text: Arc<str>,
}

impl Version {
    /// Validates and parses a stored text.
    ///
    /// # Errors
    ///
    /// Returns the first fault of the envelope or of its document.
    pub fn parse(text: &str) -> Result<Self, Fault> {
        let envelope = Arc::new(check_envelope(text)?);
        Ok(Self { envelope, text: text.into() })
    }

    /// Returns the revision of the document.
    pub fn revision(&self) -> u64 {
        self.envelope.revision
    }
}

/// Source of a document.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The store, which has the newest revision.
    Store,
    /// Another process, which may have an older revision.
    Peer,
}

/// Result of offering a document.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// in force
    Applied,
    /// kept until the settle time has passed
    Kept,
    /// not newer than the revision in force
    Stale,
}

/// A document to request from a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fetch {
    /// Name of the service.
    pub service: String,
    /// Name of the peer: the entry or sidecar that reported the revision.
    pub peer: String,
    /// Revision that the peer reported.
    pub revision: u64,
}

/// An unanswered request to a peer.
#[derive(Debug)]
struct Request {
    peer: String,
    sent_ms: u64,
}

#[derive(Debug, Default)]
struct Service {
    /// Version in force.
    current: Option<Version>,
    /// Newest version received from a peer during the settle time.
    kept: Option<Version>,
    /// Revision last reported by each peer.
    reported: FxHashMap<String, u64>,
    /// Request for the newest reported revision.
    pending: Option<Request>,
}

impl Service {
    fn revision(&self) -> u64 {
        self.current.as_ref().map_or(0, Version::revision)
    }

    fn newest_reported(&self) -> u64 {
        self.reported.values().copied().max().unwrap_or(0)
    }

    /// Puts a version in force if it is newer. Returns true if it was.
    fn apply(&mut self, version: Version) -> bool {
        let newer = version.revision() > self.revision();
        if newer {
            self.current = Some(version);
            self.pending = None;
        }
        newer
    }

    /// Returns the peer to ask next: of those that reported `revision`, the next in order of name
    /// after the one asked last.
    fn next_peer(&self, revision: u64) -> Option<&str> {
        let mut peers: Vec<&str> = self
            .reported
            .iter()
            .filter(|(_, reported)| **reported == revision)
            .map(|(peer, _)| peer.as_str())
            .collect();
        peers.sort_unstable();
        let last = self.pending.as_ref().map_or("", |request| &request.peer);
        peers.iter().find(|peer| **peer > last).or(peers.first()).copied()
    }
}

/// Documents in force at this process, and the revisions that its peers have reported.
#[derive(Debug)]
pub struct Store {
    services: FxHashMap<String, Service>,
    settled_at_ms: u64,
    /// True once the store has answered, since peers then have nothing newer.
    store_read: bool,
    /// Number of peers whose reports end the settle time of a service early; 0 for never.
    peers: usize,
}

impl Store {
    /// Creates a store without documents.
    ///
    /// `peers` is the number of other processes that will report. Once all of them have reported a
    /// revision of a service, that service has settled. With 0, only the settle time counts.
    pub fn open(now_ms: u64, settle_ms: u64, peers: usize) -> Self {
        let settled_at_ms = now_ms.saturating_add(settle_ms);
        Self { services: FxHashMap::default(), settled_at_ms, store_read: false, peers }
    }

    /// Records that the store answered a read of all documents, which ends the settle time.
    pub fn note_store_read(&mut self) {
        self.store_read = true;
    }

    /// Returns the version in force of a service's document.
    pub fn current(&self, service: &str) -> Option<&Version> {
        self.services.get(service)?.current.as_ref()
    }

    /// Returns the revision in force; 0 if there is none.
    pub fn revision(&self, service: &str) -> u64 {
        self.services.get(service).map_or(0, Service::revision)
    }

    /// Returns the services with their revisions in force, in order of name.
    pub fn revisions(&self) -> Vec<(&str, u64)> {
        let mut all: Vec<(&str, u64)> = self
            .services
            .iter()
            .filter(|(_, service)| service.current.is_some())
            .map(|(name, service)| (name.as_str(), service.revision()))
            .collect();
        all.sort_unstable();
        all
    }

    /// Records the revision in force at a peer. A peer that reports 0 has none.
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

    /// Removes the reports of a peer that has left the membership. A starting process then no
    /// longer waits for a revision that only this peer had.
    pub fn forget(&mut self, peer: &str) {
        for row in self.services.values_mut() {
            row.reported.remove(peer);
        }
    }

    /// Handles a version that arrived. It comes into force only if it is newer than the current one
    /// and, if it is from a peer, once the service has settled.
    pub fn offer(&mut self, version: Version, source: Source, now_ms: u64) -> Verdict {
        let name = version.envelope.document.service.clone();
        let settled = source == Source::Store || self.has_settled(&name, now_ms);
        let row = self.services.entry(name).or_default();
        if version.revision() <= row.revision() {
            return Verdict::Stale;
        }
        // A process without a current version must not apply one that is known to be superseded.
        let superseded = row.current.is_none() && version.revision() < row.newest_reported();
        if source == Source::Store || (settled && !superseded) {
            row.apply(version);
            return Verdict::Applied;
        }
        let kept = row.kept.as_ref().map_or(0, Version::revision);
        if version.revision() > kept {
            row.kept = Some(version);
        }
        Verdict::Kept
    }

    /// Puts in force the versions kept during the settle time, and returns the names of the
    /// services that changed.
    pub fn tick(&mut self, now_ms: u64) -> Vec<String> {
        let mut changed = Vec::new();
        let names: Vec<String> = self.services_with_kept().map(str::to_owned).collect();
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
            if row.apply(kept) {
                changed.push(name);
            }
        }
        changed
    }

    /// Returns the documents to request from peers now. A request that is not answered within
    /// `FETCH_TIMEOUT_MS` goes to the next peer that reported the same revision.
    pub fn fetches(&mut self, now_ms: u64) -> Vec<Fetch> {
        let mut fetches = Vec::new();
        let names: Vec<String> = self.services_behind().map(str::to_owned).collect();
        for name in names {
            if !self.has_settled(&name, now_ms) {
                continue;
            }
            let Some(row) = self.services.get_mut(&name) else {
                continue;
            };
            let in_time =
                |request: &Request| now_ms < request.sent_ms.saturating_add(FETCH_TIMEOUT_MS);
            if row.pending.as_ref().is_some_and(in_time) {
                continue;
            }
            let revision = row.newest_reported();
            let Some(peer) = row.next_peer(revision).map(str::to_owned) else {
                continue;
            };
            row.pending = Some(Request { peer: peer.clone(), sent_ms: now_ms });
            fetches.push(Fetch { service: name, peer, revision });
        }
        fetches.sort_unstable_by(|a, b| a.service.cmp(&b.service));
        fetches
    }

    /// Records that a request could not be sent, so that the next peer is asked without delay.
    pub fn note_unreachable(&mut self, service: &str, peer: &str) {
        let Some(row) = self.services.get_mut(service) else {
            return;
        };
        if let Some(request) = row.pending.as_mut().filter(|request| request.peer == peer) {
            request.sent_ms = 0;
        }
    }

    fn has_settled(&self, service: &str, now_ms: u64) -> bool {
        let Some(row) = self.services.get(service) else {
            return self.store_read || now_ms >= self.settled_at_ms;
        };
        let all_reported = self.peers > 0 && row.reported.len() >= self.peers;
        row.current.is_some() || self.store_read || now_ms >= self.settled_at_ms || all_reported
    }

    /// Returns the services with a version that waits for the end of the settle time.
    fn services_with_kept(&self) -> impl Iterator<Item = &str> {
        let kept = self.services.iter().filter(|(_, row)| row.kept.is_some());
        kept.map(|(name, _)| name.as_str())
    }

    /// Returns the services of which a peer has a newer revision.
    fn services_behind(&self) -> impl Iterator<Item = &str> {
        let behind = self.services.iter().filter(|(_, row)| row.newest_reported() > row.revision());
        behind.map(|(name, _)| name.as_str())
    }
}

/// Returns the entries that watch the store: the live ones with the lowest names.
pub fn watchers<'a>(live: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let mut names: Vec<&str> = live.into_iter().collect();
    names.sort_unstable();
    names.dedup();
    names.truncate(WATCHERS);
    names
}

/// Returns true if the entry `name` must watch the store. `live` are the other live entries.
pub fn is_watcher<'a>(name: &'a str, live: impl IntoIterator<Item = &'a str>) -> bool {
    watchers(live.into_iter().chain([name])).contains(&name)
}
