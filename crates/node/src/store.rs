//! Client of the platform's key-value store, which it calls through the etcd v3 JSON gateway.

mod client;
mod gateway;
mod watch;

pub use client::{is_unsent, Client, Limits};
pub use watch::Watch;

use displaydoc::Display;

/// Prefix of all keys of the system.
pub const ROOT: &str = "/kingcup/";
/// Prefix of the keys under which the documents of services are stored.
pub const SERVICES: &str = "/kingcup/services/";
/// Prefix of the keys that order the evacuation of the zones that they name.
pub const EVACUATIONS: &str = "/kingcup/evacuations/";

/// Key-value pair in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stored {
    /// Key. Bytes that are not UTF-8 are replaced.
    pub key: String,
    /// Value.
    pub value: Value,
    /// Revision of the store at which the value was written. Revisions are unique and increase with
    /// each write.
    pub mod_revision: u64,
}

/// Value of a key. Other writers may leave bytes of any kind, which must not hold up the values of
/// other keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Value {
    /// Text.
    Text(String),
    /// Bytes that are not UTF-8 text.
    Unreadable,
    /// The key was deleted; only in a watch.
    Deleted,
}

impl Stored {
    /// Returns the value if it is text.
    pub fn text(&self) -> Option<&str> {
        match &self.value {
            Value::Text(text) => Some(text),
            Value::Unreadable | Value::Deleted => None,
        }
    }
}

/// All values whose keys have a common prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// Values, ordered by key.
    pub values: Vec<Stored>,
    /// Revision of the store at the time of the read; a watch continues from it.
    pub revision: u64,
}

/// Result of a compare-and-swap that the store answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Swap {
    /// The value was written or deleted; contains the new revision of the store.
    Written(u64),
    /// Nothing was written because the stored value has another revision; contains the stored
    /// value, if there is one.
    Changed(Option<Stored>),
}

/// Reason why a call to the store failed. For a write it tells whether the value may have been
/// written.
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
    /// Returns true if a write that failed with this fault may have taken effect.
    pub fn may_have_written(&self) -> bool {
        matches!(self, Self::Unanswered(_))
    }
}
