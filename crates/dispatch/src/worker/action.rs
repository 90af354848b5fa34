//! Effects that the supervisor asks for, and the upstream's replies to orders.

use std::sync::Arc;

use super::{entry::Entry, run};

/// An action for the sidecar to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send the upstream an order about one run.
    Order {
        /// Identifies the run when the reply is passed to `Supervisor::replied`.
        key: run::Key,
        /// Order to send.
        order: Order,
        /// Time after which the order counts as unanswered, in microseconds.
        timeout_us: u64,
    },
    /// Ask the upstream for its list of runs, and renew the sidecar's lease there.
    Poll {
        /// Number to pass on with the answer.
        number: u64,
        /// End of the lease on the upstream's clock, in milliseconds; `None` while that clock is
        /// unknown.
        deadline_ms: Option<u64>,
        /// Fencing token.
        fence: u64,
        /// Highest number of an end that the sidecar has received.
        last_end: u64,
        /// Time that the upstream may hold the poll until a run ends, in milliseconds.
        wait_ms: u32,
    },
    /// Send an entry a new grant.
    Grant {
        /// Recipient.
        entry: Entry,
        /// Grant to send.
        grant: Grant,
    },
    /// Notify an entry that a run ended.
    Ended {
        /// Recipient.
        entry: Entry,
        /// Name of the task at the upstream.
        task: Arc<str>,
        /// Number, outcome and duration of the run.
        end: run::End,
    },
    /// Report the progress of its runs to an entry.
    Progress {
        /// Recipient.
        entry: Entry,
        /// Progress of each run.
        runs: Vec<run::Progress>,
    },
    /// Notify an entry that a start was not carried out and never will be.
    Refused {
        /// Recipient.
        entry: Entry,
        /// Name of the task at the upstream.
        task: Arc<str>,
        /// Number of the run.
        run: u64,
        /// Reason for the refusal.
        reason: Reason,
    },
    /// Send the upstream's profile to all entries.
    Profile,
    /// Log that the upstream has restarted.
    Restarted {
        /// Its new incarnation.
        incarnation: u64,
    },
}

/// Renewable lease of an entry at this sidecar, with the sidecar's load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grant {
    /// Time of issue on the sidecar's clock, in microseconds. The entry returns it to renew its
    /// lease.
    pub number: u64,
    /// Highest run number that the sidecar has received from this entry; the load includes its runs
    /// up to this number.
    pub highest_run: u64,
    /// Free cores, in thousandths; negative if waiting starts need more than is free.
    pub free_cores: i32,
    /// Free memory, in megabytes; negative if waiting starts need more than is free.
    pub free_memory_mb: i32,
    /// Time until capacity is expected for one more start, in microseconds; `None` if unknown.
    pub expected_wait_us: Option<u32>,
    /// Number of entries that share the upstream: those connected to this sidecar.
    pub entries: usize,
}

/// An order to the upstream about one run.
#[derive(Debug, Clone, PartialEq)]
pub enum Order {
    /// Start the run.
    Start {
        /// Name of the task at the upstream.
        task: Arc<str>,
        /// Number of this attempt to run the task.
        attempt: u32,
        /// Description of the job for the upstream.
        spec: Arc<str>,
        /// Time on the upstream's clock, in milliseconds, after which the upstream rejects the
        /// start and, unless the lease is renewed, ends all runs.
        deadline_ms: u64,
        /// Fencing token.
        fence: u64,
    },
    /// Stop the run, or never start it if it has not started.
    Stop {
        /// Name of the task at the upstream.
        task: Arc<str>,
        /// Number of the attempt to stop.
        attempt: u32,
        /// Fencing token.
        fence: u64,
    },
}

impl Order {
    /// Returns the fencing token.
    pub fn fence(&self) -> u64 {
        let (Self::Start { fence, .. } | Self::Stop { fence, .. }) = self;
        *fence
    }
}

/// Reply of an upstream to an order or a poll.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reply {
    /// The order has been carried out, now or earlier.
    Done,
    /// Rejected: the upstream has received a higher fencing token.
    Fence,
    /// Rejected: an attempt of this task with the same or a higher number has ended.
    Old,
    /// Rejected: the deadline has passed.
    Late,
    /// Rejected: the upstream lacks the cores or memory.
    Room,
    /// Rejected: the upstream is not healthy and has done nothing.
    Unhealthy,
    /// Rejected: the order was addressed to another incarnation of the upstream.
    OtherLife,
    /// Rejected for another reason; a retry would not help.
    Invalid,
    /// The connection was refused: the upstream is not running.
    Down,
    /// No answer: the order may still be carried out later.
    Unanswered,
}

/// Reason why a start was refused or a run was stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The entry requested it.
    Asked,
    /// The grant that the start refers to has expired.
    StaleGrant,
    /// The entry's lease has expired, or the entry has restarted.
    EntryLease,
    /// No capacity became free within the longest wait of the start.
    NoRoom,
    /// The upstream accepts no new work.
    NotAccepting,
    /// The availability zone is evacuated.
    Evacuated,
    /// The upstream rejected the start.
    Rejected,
    /// The last try of the start order was not answered.
    Unanswered,
}
