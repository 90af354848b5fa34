//! Orders of evacuation in the store, as an operator's tool writes and reads them.
//!
//! An order stands while the key of its zone exists. It is written and deleted by
//! compare-and-swap, and its value records the change, so that a write whose answer was lost is
//! found by a read.

use std::{
    thread,
    time::{Duration, Instant},
};

use displaydoc::Display;
use kingcup_dispatch::{
    code::Code,
    evacuation::{check_name, Fault as Invalid},
};
use serde::{Deserialize, Serialize};

use crate::{
    publish::{is_label, INITIAL_BACKOFF_MS, MAX_BACKOFF_MS},
    store::{Client, Fault as StoreFault, Stored, Swap, EVACUATIONS},
};

/// Value of an order's key. Only the existence of the key counts, so that an order with another
/// value stands too.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
struct Note {
    author: String,
    change: String,
}

/// Order that stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Order {
    /// Name of the zone.
    pub zone: String,
    /// Name recorded with the order; empty if the value is not one of this tool.
    pub author: String,
    /// ID of the change that wrote the order; empty if the value is not one of this tool.
    pub change: String,
    /// Revision of the store at which the order was written.
    pub revision: u64,
}

/// All orders at one revision of the store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Orders {
    /// Orders that stand, by zone.
    pub orders: Vec<Order>,
    /// Keys without the name of a zone, which have no effect.
    pub unusable: Vec<String>,
}

/// Change of the order on one zone.
#[derive(Debug, Clone, Copy)]
pub struct Proposal<'a> {
    /// Name of the zone.
    pub zone: &'a str,
    /// Whether the zone is to be evacuated.
    pub evacuated: bool,
    /// ID of the change. Must stay the same when the change is retried.
    pub id: &'a str,
    /// Author of the change.
    pub author: &'a str,
}

/// State in the store that is as proposed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Accepted {
    /// Revision of the store from which on the state stands; 0 if it is not known.
    pub revision: u64,
    /// True if a read found the state; false if the store confirmed the write of this call.
    pub found: bool,
    /// The order that stands, if one does.
    pub order: Option<Order>,
    /// Whether a write of this call may have led to the state.
    pub may_be_own: bool,
}

/// Reason why the state in the store is not known to be as proposed.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Fault {
    /// zone {zone:?}: {fault}
    Zone {
        /// Rejected name.
        zone: String,
        /// Reason.
        fault: Invalid,
    },
    /// {place}: {found:?} is not valid; allowed: 1 to 64 printable ASCII characters without spaces
    Label {
        /// Name of the value: `change_id` or `author`.
        place: &'static str,
        /// Rejected value.
        found: String,
    },
    /// the order on zone {zone} was written again meanwhile, by {author} (change {change}), and stands
    Conflict {
        /// Name of the zone.
        zone: String,
        /// Author of the order that stands.
        author: String,
        /// Change that wrote it.
        change: String,
    },
    /// orders cannot be read: {0}
    ReadFailed(StoreFault),
    /// not written: {0}
    Unavailable(StoreFault),
    /// may have been written: {0}
    Unknown(String),
}

impl std::error::Error for Fault {}

impl Fault {
    /// Returns the result code of the fault.
    pub fn code(&self) -> Code {
        match self {
            Self::Zone { .. } | Self::Label { .. } => Code::SettingsInvalid,
            Self::Conflict { .. } => Code::Conflict,
            Self::ReadFailed(_) | Self::Unavailable(_) => Code::StoreUnavailable,
            Self::Unknown(_) => Code::ChangeUnknown,
        }
    }
}

impl Order {
    fn parse(zone: &str, stored: &Stored) -> Self {
        let note = stored.text().and_then(|text| serde_json::from_str::<Note>(text).ok());
        let Note { author, change } = note.unwrap_or_default();
        Self { zone: zone.to_owned(), author, change, revision: stored.mod_revision }
    }
}

fn key(zone: &str) -> String {
    format!("{EVACUATIONS}{zone}")
}

/// Reads all orders.
///
/// # Errors
///
/// Returns `ReadFailed` if the call to the store fails.
pub fn read(store: &Client) -> Result<Orders, Fault> {
    let listing = store.list(EVACUATIONS).map_err(Fault::ReadFailed)?;
    let mut found = Orders::default();
    for stored in &listing.values {
        let zone = stored.key.strip_prefix(EVACUATIONS).unwrap_or_default();
        match check_name(zone) {
            Ok(()) => found.orders.push(Order::parse(zone, stored)),
            Err(_) => found.unusable.push(stored.key.clone()),
        }
    }
    Ok(found)
}

/// State of one call of `change` across its retries.
struct Attempt<'a> {
    store: &'a Client,
    proposal: &'a Proposal<'a>,
    key: String,
    /// Order found by the first read, which an end deletes.
    base: Option<Order>,
    /// Reason why the outcome of an earlier write is unknown, if there was such a write.
    unanswered: Option<String>,
}

/// Reason why one attempt failed.
enum Failure {
    /// A retry may succeed.
    Retryable(StoreFault),
    /// No retry can succeed.
    Permanent(Fault),
}

impl Attempt<'_> {
    fn run(&mut self) -> Result<Accepted, Failure> {
        if self.proposal.evacuated {
            self.begin()
        } else {
            self.end()
        }
    }

    fn parse(&self, stored: &Stored) -> Order {
        Order::parse(self.proposal.zone, stored)
    }

    /// Writes the order unless one stands.
    fn begin(&mut self) -> Result<Accepted, Failure> {
        let Proposal { id, author, .. } = *self.proposal;
        let note = Note { author: author.to_owned(), change: id.to_owned() };
        let value = serde_json::to_string(&note).unwrap_or_default();
        let swap = self.store.put_if(&self.key, &value, 0);
        match swap.map_err(|fault| self.note_failed(fault))? {
            Swap::Written(revision) => {
                Ok(Accepted { revision, found: false, order: None, may_be_own: true })
            }
            Swap::Changed(Some(stored)) => {
                let order = self.parse(&stored);
                let may_be_own = order.change == id;
                let revision = order.revision;
                Ok(Accepted { revision, found: true, order: Some(order), may_be_own })
            }
            Swap::Changed(None) => {
                let reason = "no order stands, but the store did not write one".to_owned();
                Err(Failure::Retryable(StoreFault::Unanswered(reason)))
            }
        }
    }

    /// Deletes the order that stood when the call began. One that was written since then is another
    /// operator's newer decision, and stays.
    fn end(&mut self) -> Result<Accepted, Failure> {
        let stored = self.store.get(&self.key).map_err(Failure::Retryable)?;
        let Some(order) = stored.map(|stored| self.parse(&stored)) else {
            return Ok(self.already_ended());
        };
        let base = self.base.get_or_insert_with(|| order.clone()).revision;
        if base != order.revision {
            return Err(conflict(order));
        }
        let swap = self.store.delete_if(&self.key, base);
        match swap.map_err(|fault| self.note_failed(fault))? {
            Swap::Written(revision) => {
                Ok(Accepted { revision, found: false, order: None, may_be_own: true })
            }
            Swap::Changed(None) => Ok(self.already_ended()),
            Swap::Changed(Some(stored)) => Err(conflict(self.parse(&stored))),
        }
    }

    fn already_ended(&self) -> Accepted {
        let may_be_own = self.unanswered.is_some();
        Accepted { revision: 0, found: true, order: None, may_be_own }
    }

    fn note_failed(&mut self, fault: StoreFault) -> Failure {
        if fault.may_have_written() {
            self.unanswered = Some(fault.to_string());
        }
        Failure::Retryable(fault)
    }

    /// Returns the fault to report when the call is not retried any more.
    fn final_fault(&self, fault: StoreFault) -> Fault {
        match &self.unanswered {
            Some(reason) => Fault::Unknown(reason.clone()),
            None => Fault::Unavailable(fault),
        }
    }
}

fn conflict(order: Order) -> Failure {
    let or_dash = |text: String| if text.is_empty() { "-".to_owned() } else { text };
    let (zone, author, change) = (order.zone, or_dash(order.author), or_dash(order.change));
    Failure::Permanent(Fault::Conflict { zone, author, change })
}

fn check(proposal: &Proposal<'_>) -> Result<(), Fault> {
    let zone = proposal.zone;
    check_name(zone).map_err(|fault| Fault::Zone { zone: zone.to_owned(), fault })?;
    let labels = [("change_id", proposal.id), ("author", proposal.author)];
    match labels.into_iter().find(|(_, text)| !is_label(text)) {
        Some((place, found)) => Err(Fault::Label { place, found: found.to_owned() }),
        None => Ok(()),
    }
}

/// Writes or deletes the order on a zone, and retries calls that fail until `timeout` has passed.
/// Blocks the thread.
///
/// An order whose write was not answered and that does not stand is written again: it was either
/// lost, or ended by another operator while this call was in progress. The two operators' changes
/// then have no order of their own.
///
/// # Errors
///
/// Returns `Unknown` if the change may have been written. After any other fault, this call did not
/// write it.
pub fn change(
    store: &Client,
    proposal: &Proposal<'_>,
    timeout: Duration,
) -> Result<Accepted, Fault> {
    check(proposal)?;
    let started = Instant::now();
    let key = key(proposal.zone);
    let mut attempt = Attempt { store, proposal, key, base: None, unanswered: None };
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
