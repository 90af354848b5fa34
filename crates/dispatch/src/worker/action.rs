//! What the sidecar's decisions ask for, and what comes back.

use std::sync::Arc;

use super::{entry::Entry, run};

/// One thing to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Call the upstream about one run.
    Order {
        /// Names the run in the reply.
        key: run::Key,
        /// The call.
        order: Order,
        /// Time after which it counts as unanswered, in microseconds.
        timeout_us: u64,
    },
    /// Ask the upstream what runs there, and renew its lease.
    Poll {
        /// Number to return with the reply.
        number: u64,
        /// End of the lease on the upstream's clock, in milliseconds; `None` before its clock is
        /// known.
        deadline_ms: Option<u64>,
        /// Fencing token.
        fence: u64,
        /// Ends up to this number are known.
        last_end: u64,
        /// Time that the upstream may wait for an end, in milliseconds.
        wait_ms: u32,
    },
    /// Tell an entry its lease and the load.
    Grant {
        /// Receiver.
        entry: Entry,
        /// Lease and load.
        grant: Grant,
    },
    /// Tell an entry that a run ended.
    Ended {
        /// Receiver.
        entry: Entry,
        /// Name of the task at the upstream.
        task: Arc<str>,
        /// The end.
        end: run::End,
    },
    /// Tell an entry how far its runs have come.
    Progress {
        /// Receiver.
        entry: Entry,
        /// The runs.
        runs: Vec<run::Progress>,
    },
    /// Tell an entry that a start was not carried out and never will be.
    Refused {
        /// Receiver.
        entry: Entry,
        /// Name of the task at the upstream.
        task: Arc<str>,
        /// Number of the run.
        run: u64,
        /// Why.
        reason: Reason,
    },
    /// Tell all entries what the upstream is.
    Profile,
}

/// Lease and load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grant {
    /// Time of issue on the sidecar's clock, in microseconds.
    pub number: u64,
    /// Highest run of the receiver that has arrived.
    pub highest_run: u64,
    /// Cores that are free, in thousandths; negative when more waits than fits.
    pub free_cores: i32,
    /// Memory that is free, in megabytes.
    pub free_memory_mb: i32,
    /// Time until room is expected for one more start, in microseconds.
    pub expected_wait_us: Option<u32>,
}

/// A call to the upstream about one run.
#[derive(Debug, Clone, PartialEq)]
pub enum Order {
    /// Start it.
    Start {
        /// Name of the task at the upstream.
        task: Arc<str>,
        /// Which start of the task it is.
        attempt: u32,
        /// What the upstream is told about the job.
        spec: Arc<str>,
        /// Time on the upstream's clock after which the start is rejected and, unless the lease is
        /// renewed, everything ends, in milliseconds.
        deadline_ms: u64,
        /// Fencing token.
        fence: u64,
    },
    /// Stop it, or never start it.
    Stop {
        /// Name of the task at the upstream.
        task: Arc<str>,
        /// Which start of the task it is.
        attempt: u32,
        /// Fencing token.
        fence: u64,
    },
}

/// What an upstream answered to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reply {
    /// Carried out, now or before.
    Done,
    /// Rejected: a higher fencing token was seen.
    Fence,
    /// Rejected: a start of this task with this number or a higher one has ended.
    Old,
    /// Rejected: the deadline has passed.
    Late,
    /// Rejected: no room.
    Room,
    /// Rejected: the upstream is not healthy and has done nothing.
    Unhealthy,
    /// Rejected: another life of the upstream was meant.
    OtherLife,
    /// Rejected for another reason, for good.
    Invalid,
    /// No connection could be opened: the upstream does not run.
    Down,
    /// No answer: it may be carried out later.
    Unanswered,
}

/// Why a start was refused or a run stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The entry asked for it.
    Asked,
    /// The start names a grant that has run out.
    StaleGrant,
    /// The entry's lease has run out.
    EntryLease,
    /// No room within the time that the start may wait.
    NoRoom,
    /// The upstream takes no new work.
    NotAccepting,
    /// The upstream rejected it.
    Rejected,
    /// The start stayed unanswered.
    Unanswered,
}
