//! A service's document, with the settings that a team chooses for its service.

mod check;

pub use check::{
    check, check_envelope, Fault, Problem, MAX_DEADLINE_MS, MAX_MEMORY_MB, MAX_MILLI_CPUS,
    MAX_PATH_BYTES, MAX_QUOTA_PER_S, MAX_TIMEOUT_MS, MAX_WAITING,
};

use serde::{Deserialize, Serialize};

/// Maximum size of a stored document, in bytes. The platform's store accepts values up to one
/// megabyte.
pub const MAX_DOCUMENT_BYTES: usize = 1_000_000;
/// Maximum number of kinds in a document. Load reports contain a byte for each kind.
pub const MAX_KINDS: usize = 32;
/// Maximum number of tasks in a job.
pub const MAX_JOB_TASKS: usize = 110;

/// Urgency of a kind of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Urgency {
    /// Background work that can wait.
    Low,
    /// Work without special urgency.
    Normal,
    /// Work for which a person is waiting.
    High,
    /// Work that starts before all other work within its share.
    Critical,
}

/// One kind of work.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Name, which is unique in the document.
    pub name: String,
    /// Urgency within its share.
    pub urgency: Urgency,
    /// Guaranteed share of the service's slots, in percent.
    pub share_percent: u8,
    /// Maximum time from acceptance to start, in milliseconds.
    pub deadline_ms: u32,
    /// Maximum run time at the upstream, in milliseconds.
    pub timeout_ms: u32,
    /// Maximum number of tasks that wait at one entry.
    pub max_waiting: u32,
    /// True if a single request may be run again when its outcome is unknown.
    #[serde(default)]
    pub idempotent: bool,
}

/// Settings that a team chooses for its service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Name of the service.
    pub service: String,
    /// Team that owns the document.
    pub team: String,
    /// Path of the upstream's HTTP endpoint, such as `/run`.
    pub upstream_path: String,
    /// Maximum number of task starts per second over all entries; 0 for no limit.
    #[serde(default)]
    pub quota_per_s: u32,
    /// Maximum number of processors that a task may request, in thousandths of a core.
    #[serde(default = "default_milli_cpus")]
    pub max_milli_cpus: u32,
    /// Maximum memory that a task may request, in megabytes.
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

/// A stored document with its recent changes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Envelope {
    /// Revision of the document, which grows by one with every accepted change.
    pub revision: u64,
    /// Newest accepted changes, oldest first; at most `MAX_CHANGES`.
    pub changes: Vec<Change>,
    /// The document.
    pub document: Document,
}

/// Maximum number of changes in an envelope.
pub const MAX_CHANGES: usize = 64;

/// An accepted change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// ID that the operator's tool assigned to the change.
    pub id: String,
    /// Revision that the change created.
    pub revision: u64,
    /// Author of the change.
    pub author: String,
}
