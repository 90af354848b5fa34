//! Changes to services' documents in the store.
//!
//! A change is written by compare-and-swap under an ID that the envelope then carries, so that a
//! write whose answer was lost is found by reading and no change is accepted twice.

use std::{
    thread,
    time::{Duration, Instant},
};

use displaydoc::Display;
use kingcup_dispatch::{
    code::Code,
    document::{
        check_envelope, Change, Document, Envelope, Fault as Invalid, Problem, MAX_CHANGES,
        MAX_DOCUMENT_BYTES,
    },
};

use crate::store::{Client, Fault as StoreFault, Stored, Swap, SERVICES};

/// Longest change ID and longest author, in bytes. Keeps the history in an envelope short.
pub const LABEL_BYTES: usize = 64;
/// First wait before a call to the store is repeated, in milliseconds; it doubles each time.
const PAUSE_MS: u64 = 50;
/// Longest wait before a call to the store is repeated, in milliseconds.
const LONGEST_PAUSE_MS: u64 = 1_000;

/// A change to be written.
#[derive(Debug, Clone, Copy)]
pub struct Proposal<'a> {
    /// The new document.
    pub document: &'a Document,
    /// ID of the change; the same for each try of one change.
    pub id: &'a str,
    /// Who makes it.
    pub author: &'a str,
    /// Revision that the change was made from, if known; otherwise the one found at the start.
    pub base: Option<u64>,
}

/// A change that is in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Accepted {
    /// Revision that the change made.
    pub revision: u64,
    /// True if the change was found in the store and not written by an answered call.
    pub found: bool,
}

/// A document in the store.
#[derive(Debug, Clone, PartialEq)]
pub struct Snapshot {
    /// The document with its history.
    pub envelope: Envelope,
    /// Revision of the store at which it was written.
    pub mod_revision: u64,
}

/// Why a change was not accepted.
#[derive(Debug, Display, Clone, PartialEq)]
pub enum Fault {
    /// {0}
    Invalid(Invalid),
    /// {place}: {found:?} is not valid; allowed: 1 to 64 printable ASCII characters without spaces
    Label {
        /// `change_id` or `author`.
        place: &'static str,
        /// The value.
        found: String,
    },
    /// change ID is already in use for another document, accepted as revision {revision}
    Reused {
        /// Revision of the other document.
        revision: u64,
    },
    /// not written: made from revision {base}, but revision {found} is stored, {by}
    Conflict {
        /// Revision that the change was made from.
        base: u64,
        /// Revision that is stored; 0 if there is none.
        found: u64,
        /// The change that made it, with its author.
        by: String,
        /// What is stored.
        present: Box<Option<Snapshot>>,
    },
    /// stored document cannot be read: {0}
    Unread(StoreFault),
    /// not written: {0}
    Unavailable(StoreFault),
    /// may have been written as revision {revision}: {reason}
    Unknown {
        /// Revision that the change makes if it was written.
        revision: u64,
        /// Why this is unknown.
        reason: String,
    },
    /// stored document of service {service} is not valid: {fault}
    Corrupt {
        /// Name of the service.
        service: String,
        /// What is wrong with it.
        fault: Invalid,
    },
}

impl std::error::Error for Fault {}

impl Fault {
    /// Result code of the fault.
    pub fn code(&self) -> Code {
        match self {
            Self::Invalid(_) | Self::Label { .. } | Self::Corrupt { .. } => Code::DocumentInvalid,
            Self::Reused { .. } | Self::Conflict { .. } => Code::Conflict,
            Self::Unread(_) | Self::Unavailable(_) => Code::StoreUnavailable,
            Self::Unknown { .. } => Code::ChangeUnknown,
        }
    }
}

fn key(service: &str) -> String {
    format!("{SERVICES}{service}")
}

fn revision(snapshot: Option<&Snapshot>) -> u64 {
    snapshot.map_or(0, |snapshot| snapshot.envelope.revision)
}

fn mod_revision(snapshot: Option<&Snapshot>) -> u64 {
    snapshot.map_or(0, |snapshot| snapshot.mod_revision)
}

fn parse(service: &str, stored: &Stored) -> Result<Snapshot, Fault> {
    let envelope = check_envelope(&stored.value)
        .map_err(|fault| Fault::Corrupt { service: service.to_owned(), fault })?;
    Ok(Snapshot { envelope, mod_revision: stored.mod_revision })
}

/// Reads the stored document of a service.
///
/// # Errors
///
/// `Unread` if the store does not answer, `Corrupt` if what it holds cannot be used.
pub fn read(store: &Client, service: &str) -> Result<Option<Snapshot>, Fault> {
    let stored = store.get(&key(service)).map_err(Fault::Unread)?;
    stored.map(|stored| parse(service, &stored)).transpose()
}

fn check_label(place: &'static str, text: &str) -> Result<(), Fault> {
    let allowed = !text.is_empty() && text.len() <= LABEL_BYTES;
    if allowed && text.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Ok(());
    }
    Err(Fault::Label { place, found: text.to_owned() })
}

fn encode(proposal: &Proposal<'_>, base: Option<&Snapshot>) -> Result<String, Fault> {
    let revision = revision(base) + 1;
    let mut changes = base.map_or_else(Vec::new, |base| base.envelope.changes.clone());
    changes.push(Change {
        id: proposal.id.to_owned(),
        revision,
        author: proposal.author.to_owned(),
    });
    let surplus = changes.len().saturating_sub(MAX_CHANGES);
    changes.drain(..surplus);
    let document = proposal.document.clone();
    let text = serde_json::to_string(&Envelope { revision, changes, document })
        .map_err(|error| Fault::Unavailable(StoreFault::Rejected(error.to_string())))?;
    if text.len() > MAX_DOCUMENT_BYTES {
        let problem = Problem::Size { bytes: text.len(), limit: MAX_DOCUMENT_BYTES };
        return Err(Fault::Invalid(Invalid { location: "document".to_owned(), problem }));
    }
    Ok(text)
}

/// Looks for the proposal among the accepted changes.
fn find(proposal: &Proposal<'_>, present: Option<&Snapshot>) -> Result<Option<Accepted>, Fault> {
    let Some(envelope) = present.map(|present| &present.envelope) else {
        return Ok(None);
    };
    let Some(change) = envelope.changes.iter().find(|change| change.id == proposal.id) else {
        return Ok(None);
    };
    let revision = change.revision;
    if revision == envelope.revision && envelope.document != *proposal.document {
        return Err(Fault::Reused { revision });
    }
    Ok(Some(Accepted { revision, found: true }))
}

/// True if a change made from `base` would no longer be in the history if it had been accepted.
fn is_forgotten(base: u64, present: Option<&Snapshot>) -> bool {
    revision(present) >= base + 1 + MAX_CHANGES as u64
}

/// State of one application over its tries.
struct Attempt<'a> {
    store: &'a Client,
    proposal: &'a Proposal<'a>,
    /// What was stored at the first read; the write compares with it at each try.
    base: Option<Option<Snapshot>>,
    /// Why the outcome of an earlier write is unknown.
    unanswered: Option<String>,
}

impl Attempt<'_> {
    fn give_up(&self, fault: StoreFault) -> Fault {
        let base = self.base.as_ref().and_then(Option::as_ref);
        match &self.unanswered {
            Some(reason) => Fault::Unknown { revision: revision(base) + 1, reason: reason.clone() },
            None => Fault::Unavailable(fault),
        }
    }

    fn conflict(&self, base: u64, present: Option<Snapshot>) -> Fault {
        // With a base from the caller, an earlier run may have written under the same change ID.
        let tried = self.unanswered.is_some() || self.proposal.base.is_some();
        if tried && is_forgotten(base, present.as_ref()) {
            let reason = "too many other changes were accepted since".to_owned();
            return Fault::Unknown { revision: base + 1, reason };
        }
        let found = revision(present.as_ref());
        let last = present.as_ref().and_then(|one| one.envelope.changes.last());
        let by = last.map_or_else(
            || "without a recorded change".to_owned(),
            |change| format!("by {} (change {})", change.author, change.id),
        );
        Fault::Conflict { base, found, by, present: Box::new(present) }
    }

    /// Reads, then writes unless the read decides.
    fn run(&mut self) -> Result<Accepted, Try> {
        let present = match read(self.store, &self.proposal.document.service) {
            Ok(present) => present,
            Err(Fault::Unread(fault)) => return Err(Try::Again(fault)),
            Err(fault) => return Err(Try::Final(fault)),
        };
        if let Some(accepted) = find(self.proposal, present.as_ref())? {
            return Ok(accepted);
        }
        let wanted = self.proposal.base.unwrap_or_else(|| revision(present.as_ref()));
        if self.base.is_none() && wanted != revision(present.as_ref()) {
            return Err(self.conflict(wanted, present).into());
        }
        let base = self.base.get_or_insert_with(|| present.clone());
        if mod_revision(base.as_ref()) != mod_revision(present.as_ref()) {
            // A write that is still on its way compares with `base` and cannot take effect now.
            let base = revision(base.as_ref());
            return Err(self.conflict(base, present).into());
        }
        self.write(present.as_ref())
    }

    fn write(&mut self, base: Option<&Snapshot>) -> Result<Accepted, Try> {
        let service = &self.proposal.document.service;
        let text = encode(self.proposal, base)?;
        match self.store.put_if(&key(service), &text, mod_revision(base)) {
            Ok(Swap::Written(_)) => Ok(Accepted { revision: revision(base) + 1, found: false }),
            Ok(Swap::Changed(present)) => {
                let present = present.map(|stored| parse(service, &stored)).transpose()?;
                if let Some(accepted) = find(self.proposal, present.as_ref())? {
                    return Ok(accepted);
                }
                Err(self.conflict(revision(base), present).into())
            }
            Err(fault) => {
                if fault.may_have_written() {
                    self.unanswered = Some(fault.to_string());
                }
                Err(Try::Again(fault))
            }
        }
    }
}

/// Why a try did not succeed.
enum Try {
    /// The next one may.
    Again(StoreFault),
    /// No other one will.
    Final(Fault),
}

impl From<Fault> for Try {
    fn from(fault: Fault) -> Self {
        Self::Final(fault)
    }
}

/// Writes a change, repeating calls that fail until `patience` has passed. Blocks meanwhile.
///
/// # Errors
///
/// `Unknown` if the change may have been written; otherwise this call did not write it.
pub fn apply(
    store: &Client,
    proposal: &Proposal<'_>,
    patience: Duration,
) -> Result<Accepted, Fault> {
    check_label("change_id", proposal.id)?;
    check_label("author", proposal.author)?;
    let started = Instant::now();
    let mut attempt = Attempt { store, proposal, base: None, unanswered: None };
    let mut pause_ms = PAUSE_MS;
    loop {
        let fault = match attempt.run() {
            Ok(accepted) => return Ok(accepted),
            Err(Try::Final(fault)) => return Err(fault),
            Err(Try::Again(fault)) => fault,
        };
        let pause = Duration::from_millis(pause_ms / 2 + fastrand::u64(0..=pause_ms / 2));
        let rejected = matches!(fault, StoreFault::Rejected(_));
        if rejected || started.elapsed() + pause >= patience {
            return Err(attempt.give_up(fault));
        }
        log::warn!("change {}: {fault}; trying again", proposal.id);
        thread::sleep(pause);
        pause_ms = (pause_ms * 2).min(LONGEST_PAUSE_MS);
    }
}
