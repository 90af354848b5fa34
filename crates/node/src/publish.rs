//! Publication of changes to the documents of services in the store.
//!
//! A change is written by compare-and-swap, and the envelope records its ID. A write whose response
//! was lost can therefore be found by a read, and no change is accepted twice.

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

/// Maximum length of change IDs and authors, in bytes. Limits the size of an envelope's history.
pub const MAX_LABEL_BYTES: usize = 64;
/// Initial delay before a call to the store is retried, in milliseconds. Doubles with each retry.
pub(crate) const INITIAL_BACKOFF_MS: u64 = 50;
/// Maximum delay before a call to the store is retried, in milliseconds.
pub(crate) const MAX_BACKOFF_MS: u64 = 1_000;

/// Change to be written.
#[derive(Debug, Clone, Copy)]
pub struct Proposal<'a> {
    /// New document.
    pub document: &'a Document,
    /// ID of the change. Must stay the same when the change is retried.
    pub id: &'a str,
    /// Author of the change.
    pub author: &'a str,
    /// Revision on which the change is based; `None` for the revision that is stored when the call
    /// begins.
    pub base: Option<u64>,
}

/// Change that is in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Accepted {
    /// Revision that the change created.
    pub revision: u64,
    /// True if a read found the change; false if the store confirmed the write of this call.
    pub found: bool,
}

/// Stored document of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Snapshot {
    /// Document with its history of changes.
    pub envelope: Envelope,
    /// Revision of the store at which the document was written.
    pub mod_revision: u64,
}

/// Reason why a change was not accepted.
#[derive(Debug, Display, Clone, PartialEq)]
pub enum Fault {
    /// {0}
    Invalid(Invalid),
    /// {place}: {found:?} is not valid; allowed: 1 to 64 printable ASCII characters without spaces
    Label {
        /// Name of the value: `change_id` or `author`.
        place: &'static str,
        /// Rejected value.
        found: String,
    },
    /// change ID is already in use for another document, accepted as revision {revision}
    Reused {
        /// Revision of the other document.
        revision: u64,
    },
    /// not written: made from revision {base}, but revision {found} is stored, {by}
    Conflict {
        /// Revision on which the change was based.
        base: u64,
        /// Stored revision; 0 if there is none.
        found: u64,
        /// ID and author of the change that created the stored revision.
        by: String,
        /// Stored document.
        present: Box<Option<Snapshot>>,
    },
    /// stored document cannot be read: {0}
    ReadFailed(StoreFault),
    /// not written: {0}
    Unavailable(StoreFault),
    /// may have been written as revision {revision}: {reason}
    Unknown {
        /// Revision of the change if it was written.
        revision: u64,
        /// Reason why the outcome is unknown.
        reason: String,
    },
    /// stored document of service {service} is not UTF-8 text
    Unreadable {
        /// Name of the service.
        service: String,
    },
    /// stored document of service {service} is not valid: {fault}
    Corrupt {
        /// Name of the service.
        service: String,
        /// Fault in the stored document.
        fault: Invalid,
    },
}

impl std::error::Error for Fault {}

impl Fault {
    /// Returns the result code of the fault.
    pub fn code(&self) -> Code {
        match self {
            Self::Invalid(_)
            | Self::Label { .. }
            | Self::Unreadable { .. }
            | Self::Corrupt { .. } => Code::DocumentInvalid,
            Self::Reused { .. } | Self::Conflict { .. } => Code::Conflict,
            Self::ReadFailed(_) | Self::Unavailable(_) => Code::StoreUnavailable,
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
    let text = stored.text().ok_or_else(|| Fault::Unreadable { service: service.to_owned() })?;
    let envelope = check_envelope(text)
        .map_err(|fault| Fault::Corrupt { service: service.to_owned(), fault })?;
    Ok(Snapshot { envelope, mod_revision: stored.mod_revision })
}

/// Reads the stored document of a service; `None` if there is none.
///
/// # Errors
///
/// Returns `ReadFailed` if the call to the store fails and `Corrupt` if the stored document is not
/// valid.
pub fn read(store: &Client, service: &str) -> Result<Option<Snapshot>, Fault> {
    let stored = store.get(&key(service)).map_err(Fault::ReadFailed)?;
    stored.map(|stored| parse(service, &stored)).transpose()
}

/// Returns whether a text can be a change ID or an author.
pub(crate) fn is_label(text: &str) -> bool {
    let allowed = !text.is_empty() && text.len() <= MAX_LABEL_BYTES;
    allowed && text.bytes().all(|byte| byte.is_ascii_graphic())
}

fn check_label(place: &'static str, text: &str) -> Result<(), Fault> {
    match is_label(text) {
        true => Ok(()),
        false => Err(Fault::Label { place, found: text.to_owned() }),
    }
}

/// Encodes the envelope of the proposal's document, with the change added to the history.
fn encode(proposal: &Proposal<'_>, base: Option<&Snapshot>) -> Result<String, Fault> {
    let revision = revision(base) + 1;
    let mut changes = base.map_or_else(Vec::new, |base| base.envelope.changes.clone());
    changes.push(Change {
        id: proposal.id.to_owned(),
        revision,
        author: proposal.author.to_owned(),
    });
    let excess = changes.len().saturating_sub(MAX_CHANGES);
    changes.drain(..excess);
    let document = proposal.document.clone();
    let text = serde_json::to_string(&Envelope { revision, changes, document })
        .map_err(|error| Fault::Unavailable(StoreFault::Rejected(error.to_string())))?;
    if text.len() > MAX_DOCUMENT_BYTES {
        let problem = Problem::Size { bytes: text.len(), limit: MAX_DOCUMENT_BYTES };
        return Err(Fault::Invalid(Invalid { location: "document".to_owned(), problem }));
    }
    Ok(text)
}

/// Searches the history of the stored document for the proposed change.
fn find_accepted(
    proposal: &Proposal<'_>,
    present: Option<&Snapshot>,
) -> Result<Option<Accepted>, Fault> {
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

/// Returns true if a change that was accepted on `base` would no longer be in the stored history.
fn is_beyond_history(base: u64, present: Option<&Snapshot>) -> bool {
    revision(present) >= base + 1 + MAX_CHANGES as u64
}

/// State of one call of `apply` across its retries.
struct Attempt<'a> {
    store: &'a Client,
    proposal: &'a Proposal<'a>,
    /// Document found by the first read, or `Some(None)` if there was none. Each write compares
    /// with it.
    base: Option<Option<Snapshot>>,
    /// Reason why the outcome of an earlier write is unknown, if there was such a write.
    unanswered: Option<String>,
}

impl Attempt<'_> {
    /// Returns the fault to report when the call is not retried any more.
    fn final_fault(&self, fault: StoreFault) -> Fault {
        let base = self.base.as_ref().and_then(Option::as_ref);
        match &self.unanswered {
            Some(reason) => Fault::Unknown { revision: revision(base) + 1, reason: reason.clone() },
            None => Fault::Unavailable(fault),
        }
    }

    /// Returns the fault to report when another revision than `base` is stored.
    fn conflict(&self, base: u64, present: Option<Snapshot>) -> Fault {
        // If the caller gave the base, an earlier call may have written the same change.
        let may_be_written = self.unanswered.is_some() || self.proposal.base.is_some();
        if may_be_written && is_beyond_history(base, present.as_ref()) {
            let reason = "too many other changes were accepted since".to_owned();
            return Fault::Unknown { revision: base + 1, reason };
        }
        let found = revision(present.as_ref());
        let last = present.as_ref().and_then(|snapshot| snapshot.envelope.changes.last());
        let by = last.map_or_else(
            || "without a recorded change".to_owned(),
            |change| format!("by {} (change {})", change.author, change.id),
        );
        Fault::Conflict { base, found, by, present: Box::new(present) }
    }

    /// Reads the stored document and writes the change unless it is already accepted or conflicts.
    fn run(&mut self) -> Result<Accepted, Failure> {
        let present = match read(self.store, &self.proposal.document.service) {
            Ok(present) => present,
            Err(Fault::ReadFailed(fault)) => return Err(Failure::Retryable(fault)),
            Err(fault) => return Err(Failure::Permanent(fault)),
        };
        if let Some(accepted) = find_accepted(self.proposal, present.as_ref())? {
            return Ok(accepted);
        }
        let expected = self.proposal.base.unwrap_or_else(|| revision(present.as_ref()));
        if self.base.is_none() && expected != revision(present.as_ref()) {
            return Err(self.conflict(expected, present).into());
        }
        let base = self.base.get_or_insert_with(|| present.clone());
        if mod_revision(base.as_ref()) != mod_revision(present.as_ref()) {
            // A write that is still in flight compares with `base` and can no longer take effect.
            let base = revision(base.as_ref());
            return Err(self.conflict(base, present).into());
        }
        self.write(present.as_ref())
    }

    fn write(&mut self, base: Option<&Snapshot>) -> Result<Accepted, Failure> {
        let service = &self.proposal.document.service;
        let text = encode(self.proposal, base)?;
        match self.store.put_if(&key(service), &text, mod_revision(base)) {
            Ok(Swap::Written(_)) => Ok(Accepted { revision: revision(base) + 1, found: false }),
            Ok(Swap::Changed(present)) => {
                let present = present.map(|stored| parse(service, &stored)).transpose()?;
                if let Some(accepted) = find_accepted(self.proposal, present.as_ref())? {
                    return Ok(accepted);
                }
                Err(self.conflict(revision(base), present).into())
            }
            Err(fault) => {
                if fault.may_have_written() {
                    self.unanswered = Some(fault.to_string());
                }
                Err(Failure::Retryable(fault))
            }
        }
    }
}

/// Reason why one attempt failed.
enum Failure {
    /// A retry may succeed.
    Retryable(StoreFault),
    /// No retry can succeed.
    Permanent(Fault),
}

impl From<Fault> for Failure {
    fn from(fault: Fault) -> Self {
        Self::Permanent(fault)
    }
}

/// Writes a change and retries calls that fail until `timeout` has passed. Blocks the thread.
///
/// # Errors
///
/// Returns `Unknown` if the change may have been written. After any other fault, this call did not
/// write it.
pub fn apply(
    store: &Client,
    proposal: &Proposal<'_>,
    timeout: Duration,
) -> Result<Accepted, Fault> {
    check_label("change_id", proposal.id)?;
    check_label("author", proposal.author)?;
    let started = Instant::now();
    let mut attempt = Attempt { store, proposal, base: None, unanswered: None };
    let mut backoff_ms = INITIAL_BACKOFF_MS;
    loop {
        let fault = match attempt.run() {
            Ok(accepted) => return Ok(accepted),
            Err(Failure::Permanent(fault)) => return Err(fault),
            Err(Failure::Retryable(fault)) => fault,
        };
        let delay = Duration::from_millis(backoff_ms / 2 + fastrand::u64(0..=backoff_ms / 2));
        let rejected = matches!(fault, StoreFault::Rejected(_));
        if rejected || started.elapsed() + delay >= timeout {
            return Err(attempt.final_fault(fault));
        }
        log::warn!("change {}: {fault}; retrying", proposal.id);
        thread::sleep(delay);
        backoff_ms = (backoff_ms * 2).min(MAX_BACKOFF_MS);
    }
}
