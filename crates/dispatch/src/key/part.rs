//! Encoding of the records that a stopping entry hands over to its successor.
//!
//! Times are encoded as ages, because the clocks of the two processes may differ.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::window::Window;

/// Maximum size of a client's row in `postcard`, in bytes: 32 words of at most 10 bytes each, and
/// its numbers.
pub const CLIENT_BYTES: usize = 360;
/// Maximum size of a record's row in `postcard`, in bytes, without its key and body.
pub const ROW_BYTES: usize = 80;
/// Maximum size of a part's header in `postcard`, in bytes.
pub const HEADER_BYTES: usize = 96;

/// One part of an export of records.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Part {
    /// Name of the stopping entry.
    pub entry: String,
    /// Incarnation of the stopping entry.
    pub incarnation: u64,
    /// Number of the export, which grows with each export. Parts of older exports are discarded.
    pub round: u32,
    /// Number of this part, counted from 0.
    pub number: u32,
    /// Clients, least recently used first.
    pub clients: Vec<ClientRow>,
    /// Records of jobs.
    pub jobs: Vec<JobRow>,
    /// Records of idempotency keys.
    pub keys: Vec<KeyRow>,
    /// Set in the final part only, which transfers ownership.
    pub last: Option<Last>,
}

/// Transfer of ownership in the final part.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Last {
    /// Name of the entry that becomes the owner of the IDs.
    pub successor: String,
    /// Incarnation of the successor. A restarted successor must not adopt a copy of the part,
    /// because its earlier incarnation may have started submissions that the copy does not contain.
    pub successor_incarnation: u64,
    /// Incarnations whose job IDs the successor takes over. Rows refer to them by `number`.
    pub homes: Vec<HomeRow>,
    /// Time, up to the export, for which the sender's records of its own keys are complete, in
    /// microseconds.
    pub coverage_us: u64,
}

/// An entry incarnation whose job IDs the sender owns.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HomeRow {
    /// Number by which the rows refer to it.
    pub number: u32,
    /// Name of the entry.
    pub entry: String,
    /// Incarnation of the entry.
    pub incarnation: u64,
    /// Lowest client number that was never issued.
    pub next_client: u64,
}

/// A client of one of the homes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClientRow {
    /// Number of the home.
    pub home: u32,
    /// Number of the client.
    pub number: u64,
    /// States of the client's sequences.
    pub window: Window,
}

/// A finished submission.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// Digest of the submission's body.
    pub digest: u128,
    /// Time since it finished, in microseconds.
    pub age_us: u64,
    /// Number of the result code.
    pub code: u16,
    /// Body of the answer; `None` if it is no longer kept.
    pub body: Option<Arc<[u8]>>,
}

/// A finished job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRow {
    /// Number of the home.
    pub home: u32,
    /// Number of the client.
    pub client: u64,
    /// Sequence of the job.
    pub sequence: u64,
    /// Answer of the job.
    pub answer: Answer,
}

/// A submission under an idempotency key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KeyRow {
    /// The idempotency key.
    pub key: Arc<str>,
    /// Answer of the submission.
    pub answer: Answer,
}
