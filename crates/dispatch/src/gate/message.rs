//! Input and output types of the gate.

use std::sync::Arc;

use slotmap::new_key_type;

use crate::{code::Code, document::MAX_KINDS};

new_key_type! {
    /// Key of one connection of an entry. Keys are never reused, so a late message under an old key
    /// has no effect.
    pub struct Peer;
    /// Key of one call to the upstream. Keys are never reused, so a late end of an old call has no
    /// effect.
    pub struct Slot;
}

/// Capacity of one sidecar.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Number of tasks that the upstream runs at the same time.
    pub slots: u16,
    /// Limit on queued starts. Every kind may queue at least one start even when it is reached.
    pub queue: u16,
}

impl Settings {
    /// Returns the settings for an upstream with this many slots and a queue limit of the same
    /// size.
    pub fn with_slots(slots: u16) -> Self {
        Self { slots, queue: slots }
    }
}

/// Request of an entry to run one task.
#[derive(Debug, Clone, Copy)]
pub struct Start<'a> {
    /// Sequence number of this start; it increases within one entry incarnation.
    pub sequence: u64,
    /// Watermark: the entry has the final outcome of every start up to this sequence.
    pub settled: u64,
    /// Job ID.
    pub job: &'a str,
    /// Index of the task in its job.
    pub task: u16,
    /// Name of the task's kind in the document.
    pub kind: &'a str,
    /// Number of slots that must stay free once this task runs.
    pub headroom: u8,
    /// True if the entry has more waiting tasks than it can place.
    pub has_backlog: bool,
    /// Longest time that the start may wait in the queue, in milliseconds.
    pub wait_ms: u32,
    /// Input of the task.
    pub payload: &'a [u8],
}

/// Outcome of a call to the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The task ran and succeeded; the body is its answer.
    Done,
    /// The task ran and failed.
    Failed(Code),
    /// The task may have run.
    Unknown(Code),
    /// The call failed before anything was sent to the upstream.
    NotRun(Code),
}

/// Status of a start at the gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// Has not run and never will.
    NotRun,
    /// Waits in the gate's queue.
    Queued,
    /// Occupies a slot.
    Running,
    /// Has ended; an `Effect::Finish` carries the outcome.
    Finished,
}

/// Status report on one start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// Sequence number of the start.
    pub sequence: u64,
    /// Status of the start.
    pub status: Status,
}

/// Load of the gate, as reported to one entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Revision of the document whose order of kinds `running` uses; 0 if there is none.
    pub revision: u64,
    /// Number of queued starts.
    pub queued: u16,
    /// Number of starts that the entry may have outstanding at this gate.
    pub window: u16,
    pub(crate) counts: [u8; MAX_KINDS],
    pub(crate) kinds: u8,
}

impl Load {
    /// Returns the number of running tasks of each kind, in the document's order.
    pub fn running(&self) -> &[u8] {
        &self.counts[..usize::from(self.kinds)]
    }
}

/// Action that the caller of the gate must carry out.
#[derive(Debug, Clone)]
pub enum Effect {
    /// Call the upstream, and report the end of the call with `Gate::finished`.
    Call {
        /// Key of the call.
        slot: Slot,
        /// Connection that the start was received on; it may be closed by now.
        peer: Peer,
        /// Sequence number of the start.
        sequence: u64,
        /// Job ID.
        job: String,
        /// Index of the task in its job.
        task: u16,
        /// Name of the task's kind.
        kind: Arc<str>,
        /// Longest run time, in milliseconds.
        timeout_ms: u32,
        /// Input of the task.
        payload: Vec<u8>,
    },
    /// Report the end of a task to the entry.
    Finish {
        /// Connection to send on.
        peer: Peer,
        /// Sequence number of the start.
        sequence: u64,
        /// Outcome of the task; never `Outcome::NotRun`.
        outcome: Outcome,
        /// Time in the queue, in microseconds.
        queue_us: u32,
        /// Time in the slot, in microseconds.
        run_us: u32,
        /// Load after the end of the task.
        load: Load,
        /// The answer, or the upstream's description of the failure.
        body: Arc<Vec<u8>>,
    },
    /// Report to the entry that a task has not run and never will.
    Refuse {
        /// Connection to send on.
        peer: Peer,
        /// Sequence number of the start.
        sequence: u64,
        /// Reason for the refusal; its execution status is "not run".
        code: Code,
        /// Load at the time of the refusal.
        load: Load,
    },
    /// Answer a call of `Gate::recall`.
    Recalled {
        /// Connection to send on.
        peer: Peer,
        /// Status of each start, in the order of the request.
        reports: Vec<Report>,
    },
    /// Answer a call of `Gate::inquire`; an `Effect::Finish` for each ended task precedes it.
    Reports {
        /// Connection to send on.
        peer: Peer,
        /// Status of each start, in the order of the request.
        reports: Vec<Report>,
    },
    /// Report a free slot to an entry with a backlog.
    Load {
        /// Connection to send on.
        peer: Peer,
        /// Current load.
        load: Load,
    },
    /// Abandon a call. The slot stays occupied until `Gate::finished` reports the end of the call.
    Stop {
        /// Key of the call.
        slot: Slot,
    },
    /// Close a connection that a newer one of the same entry has replaced.
    Close {
        /// The replaced connection.
        peer: Peer,
    },
}
