//! Records on their way from a stopping entry to its successor.
//!
//! Times are ages, because the two processes' clocks need not agree.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::window::Window;

/// Most bytes of a client's row in `postcard`: 32 words of at most 10 bytes and its numbers.
pub const CLIENT_BYTES: usize = 360;
/// Most bytes of a record's row in `postcard`, besides its key and body.
pub const ROW_BYTES: usize = 80;
/// Most bytes of a part's header in `postcard`.
pub const HEADER_BYTES: usize = 96;

/// One part of the records.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Part {
    /// Name of the entry that stops.
    pub entry: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// Grows with every export; parts of an older one are discarded.
    pub round: u32,
    /// Number of this part, from 0.
    pub number: u32,
    /// Clients, the least recently used first.
    pub clients: Vec<ClientRow>,
    /// Records of jobs.
    pub jobs: Vec<JobRow>,
    /// Records of idempotency keys.
    pub keys: Vec<KeyRow>,
    /// Set in the final part, which passes ownership.
    pub last: Option<Last>,
}

/// What the final part adds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Last {
    /// Name of the entry that becomes the owner.
    pub successor: String,
    /// Its incarnation. A restarted successor must not adopt a copy of the part: its predecessor
    /// may have started submissions of which the copy knows nothing.
    pub successor_incarnation: u64,
    /// Incarnations whose job IDs pass to the successor; rows refer to them by `number`.
    pub homes: Vec<HomeRow>,
    /// How far back the sender's records of its own keys reach, in microseconds.
    pub reach_us: u64,
}

/// An incarnation whose IDs the sender owns.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HomeRow {
    /// Number that the rows use.
    pub number: u32,
    /// Name of the entry.
    pub entry: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// First client number that was never issued.
    pub next_client: u64,
}

/// A client of one of the homes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClientRow {
    /// Number of the home.
    pub home: u32,
    /// Number of the client.
    pub number: u64,
    /// Its sequences.
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
    /// Answer; `None` if it is no longer kept.
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
    /// Its answer.
    pub answer: Answer,
}

/// A submission under an idempotency key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KeyRow {
    /// The key.
    pub key: Arc<str>,
    /// Its answer.
    pub answer: Answer,
}
