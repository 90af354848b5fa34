//! What stands between the daemons and the protocols of callers, upstreams and the store.

use kingcup_dispatch::{
    plan::{Answer, Submission},
    routes::Table,
    worker::{Listing, Order, Profile, Reply},
};

use crate::web::{Fault, Request, Response};

/// How a call ended.
pub type Outcome = Result<Response, Fault>;

/// What an upstream replied, with its clock in milliseconds.
pub type Replied = (Reply, Option<u64>);

/// What a caller asks for.
#[derive(Debug)]
pub enum Ask {
    /// Run a job and answer with its result. The token of the submission is set by the entry.
    Submit {
        /// The job.
        submission: Submission,
        /// What upstreams are told about the job.
        spec: String,
    },
    /// A job of a kind that is not carried out.
    Unsupported(&'static str),
    /// The state of a job.
    State {
        /// Name of the job.
        id: String,
    },
    /// End a job.
    Cancel {
        /// Name of the job.
        id: String,
    },
    /// The number of jobs in a queue that wait.
    Pending {
        /// Name of the queue.
        queue: String,
    },
    /// No queue has this path.
    NoQueue,
    /// The request cannot be read.
    Invalid(String),
}

/// What a caller is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Told {
    /// The outcome of a job.
    Answer(Answer),
    /// The job that was asked for runs or waits here.
    Running,
    /// The job was cancelled.
    Cancelled,
    /// The job is not known.
    Unknown,
    /// The number of jobs that wait.
    Pending(usize),
    /// There is no such queue.
    NoQueue,
    /// There is no configuration yet, or the entry is stopping: return after this time, in
    /// milliseconds.
    Unavailable(u64),
    /// The request is not valid.
    Invalid,
    /// Such jobs are not carried out.
    Unsupported,
}

/// What the store answered about the configuration.
#[derive(Debug, PartialEq, Eq)]
pub enum Stored {
    /// A configuration, as of this revision of the store.
    Text {
        /// Document.
        text: Vec<u8>,
        /// Revision from which to watch.
        revision: u64,
    },
    /// Nothing newer, as of this revision of the store.
    Nothing {
        /// Revision from which to watch.
        revision: u64,
    },
    /// The history from which to watch is gone.
    Compacted,
    /// The store did not answer, or rejected the call.
    Failed(String),
}

/// Protocols of an entry.
#[derive(Debug, Clone, Copy)]
pub struct Entry {
    /// Reads a caller's request.
    pub ask: fn(&Request, &Table) -> Ask,
    /// Writes a response.
    pub tell: fn(Told) -> Response,
    /// Reads a configuration.
    pub config: fn(&[u8]) -> Result<Table, String>,
    /// Call that reads the configuration.
    pub read_config: fn() -> Request,
    /// Call that waits for a configuration after a revision, for so many milliseconds.
    pub watch_config: fn(u64, u64) -> Request,
    /// Reads the answer to either call.
    pub stored: fn(&Outcome) -> Stored,
}

/// What an upstream tells its sidecar.
#[derive(Debug)]
pub enum Heard {
    /// A report about itself.
    Report {
        /// What it is.
        profile: Profile,
        /// Rises with each report of one life.
        sequence: u64,
        /// Its clock, in milliseconds.
        clock_ms: u64,
    },
    /// It ends.
    Leave,
    /// Something that names no usable upstream.
    Unusable(String),
}

/// Protocols of a sidecar.
#[derive(Debug, Clone, Copy)]
pub struct Sidecar {
    /// Reads a call of the upstream.
    pub hear: fn(&Request) -> Heard,
    /// Name of a task at the upstream, from its job, step and index.
    pub task: fn(&str, u16, u16) -> String,
    /// Call that carries out an order at the upstream of this name.
    pub order: fn(&str, &Order) -> Request,
    /// Reads the answer to an order, with the upstream's clock in milliseconds.
    pub order_reply: fn(&Outcome) -> Replied,
    /// Call that looks at what runs: lease deadline, fencing token, last known end, wait.
    pub look: fn(Option<u64>, u64, u64, u32) -> Request,
    /// Reads the answer to a look, or how it failed with the upstream's clock in milliseconds.
    pub look_reply: fn(&Outcome) -> Result<Listing, Replied>,
}
