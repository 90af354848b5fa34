//! A service's document: what a team sets for its service.

mod check;

pub use check::{
    check, check_envelope, Fault, Problem, MAX_DEADLINE_MS, MAX_MEMORY_MB, MAX_MILLI_CPUS,
    MAX_PATH_BYTES, MAX_QUOTA_PER_S, MAX_TIMEOUT_MS, MAX_WAITING,
};

use serde::{Deserialize, Serialize};

/// Largest stored document, in bytes; the platform's store holds values up to one megabyte.
pub const MAX_DOCUMENT_BYTES: usize = 1_000_000;
/// Most kinds in a document; load reports carry a byte for each.
pub const MAX_KINDS: usize = 32;
/// Most tasks in a job.
pub const MAX_JOB_TASKS: usize = 110;

/// How urgent a kind of work is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Urgency {
    /// Can wait.
    Low,
    /// Ordinary.
    Normal,
    /// Someone waits for it.
    High,
    /// Goes before everything else within its share.
    Critical,
}

/// One kind of work.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Name, unique in the document.
    pub name: String,
    /// Urgency within its share.
    pub urgency: Urgency,
    /// Guaranteed share of the service's slots, in percent.
    pub share_percent: u8,
    /// Longest time from acceptance to start, in milliseconds.
    pub deadline_ms: u32,
    /// Longest run time at the upstream, in milliseconds.
    pub timeout_ms: u32,
    /// Most tasks that wait at one entry.
    pub max_waiting: u32,
    /// A single request may be run again after an unknown outcome.
    #[serde(default)]
    pub idempotent: bool,
}

/// What a team sets for its service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Name of the service.
    pub service: String,
    /// Team that owns the document.
    pub team: String,
    /// Path of the upstream's HTTP endpoint, such as `/run`.
    pub upstream_path: String,
    /// Most task starts a second over all entries; 0 for no limit.
    #[serde(default)]
    pub quota_per_s: u32,
    /// Most processors that a task may ask for, in thousandths of a core.
    #[serde(default = "default_milli_cpus")]
    pub max_milli_cpus: u32,
    /// Most memory that a task may ask for, in megabytes.
    #[serde(default = "default_memory_mb")]
    pub max_memory_mb: u32,
    /// Kinds of work.
    pub kinds: Vec<Kind>,
}

fn default_milli_cpus() -> u32 {
    16_000
}

fn default_memory_mb() -> u32 {
    64_000
}

/// A stored document with its history.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Envelope {
    /// Grows by one with every accepted change.
    pub revision: u64,
    /// The newest accepted changes, oldest first, at most `MAX_CHANGES`.
    pub changes: Vec<Change>,
    /// The document.
    pub document: Document,
}

/// Changes that an envelope remembers.
pub const MAX_CHANGES: usize = 64;

/// An accepted change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// ID that the operator's tool gave the change.
    pub id: String,
    /// Revision that it made.
    pub revision: u64,
    /// Who made it.
    pub author: String,
}
