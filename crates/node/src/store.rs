//! Access to the platform's key-value store, through its etcd v3 JSON gateway.

mod client;
mod gateway;
mod watch;

pub use client::{is_unsent, Client, Limits};
pub use watch::Watch;

use displaydoc::Display;

/// Prefix of the keys of services' documents.
pub const SERVICES: &str = "/kingcup/services/";

/// A value as the store holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stored {
    /// The key.
    pub key: String,
    /// The value.
    pub value: String,
    /// Revision of the store at which the value was written; unique and increasing.
    pub mod_revision: u64,
}

/// All values under a prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// The values, in order of key.
    pub values: Vec<Stored>,
    /// Revision of the store at the read; a watch goes on from here.
    pub revision: u64,
}

/// Result of a compare-and-swap that was answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Swap {
    /// The value was written, at this revision of the store.
    Written(u64),
    /// Nothing was written; this is the present value.
    Changed(Option<Stored>),
}

/// Why a call failed, and what that says about a write.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Fault {
    /// store cannot be reached: {0}
    Unavailable(String),
    /// store rejected the call: {0}
    Rejected(String),
    /// store was called but gave no usable answer: {0}
    Unanswered(String),
}

impl std::error::Error for Fault {}

impl Fault {
    /// True if a write that failed in this way may have taken effect.
    pub fn may_have_written(&self) -> bool {
        matches!(self, Self::Unanswered(_))
    }
}
