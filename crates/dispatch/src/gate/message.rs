//! What the gate is told and what it asks its caller to do.

use std::sync::Arc;

use slotmap::new_key_type;

use crate::{code::Code, document::KINDS};

new_key_type! {
    /// One connection of an entry. Never reused, so a late call under an old key has no effect.
    pub struct Peer;
    /// One call to the upstream. Never reused, so a late end of an old call has no effect.
    pub struct Slot;
}

/// Sizes of one sidecar.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Tasks that the upstream runs at the same time.
    pub slots: u16,
    /// Starts that wait at the gate, beyond the one place that every kind always has.
    pub queue: u16,
}

impl Settings {
    /// Settings for an upstream of this many slots, with a queue of the same length.
    pub fn with_slots(slots: u16) -> Self {
        Self { slots, queue: slots }
    }
}

/// Run one task.
#[derive(Debug, Clone, Copy)]
pub struct Start<'a> {
    /// Number of this start; only grows for one entry incarnation.
    pub sequence: u64,
    /// All starts up to this sequence have their final outcome at the entry.
    pub settled: u64,
    /// Job ID.
    pub job: &'a str,
    /// Index of the task in its job.
    pub task: u16,
    /// Kind of work, by its name in the document.
    pub kind: &'a str,
    /// Slots that must stay free once this task runs.
    pub headroom: u8,
    /// The entry has more waiting than it can place.
    pub has_backlog: bool,
    /// How long the start may wait in the queue, in milliseconds.
    pub wait_ms: u32,
    /// Input of the task.
    pub payload: &'a [u8],
}

/// How a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It ran and succeeded; the body is its answer.
    Done,
    /// It ran and failed.
    Failed(Code),
    /// It may have run.
    Unknown(Code),
    /// The call failed before anything was sent to the upstream.
    NotRun(Code),
}

/// State of a start at the gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// Not run, and never will be.
    NotRun,
    /// In the gate's queue.
    Queued,
    /// In a slot.
    Running,
    /// Ended; an `Effect::Finish` says how.
    Finished,
}

/// What became of one start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// The start's sequence.
    pub sequence: u64,
    /// Its state.
    pub status: Status,
}

/// Load of the gate, as reported to one entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Revision of the document whose order of kinds `running` follows; 0 if there is none.
    pub revision: u64,
    /// Starts in the queue.
    pub queued: u16,
    /// Starts that the entry may have outstanding here.
    pub window: u16,
    pub(crate) counts: [u8; KINDS],
    pub(crate) kinds: u8,
}

impl Load {
    /// Running tasks by kind, in the document's order.
    pub fn running(&self) -> &[u8] {
        &self.counts[..usize::from(self.kinds)]
    }
}

/// Something the caller of the gate has to do.
#[derive(Debug, Clone)]
pub enum Effect {
    /// Call the upstream, and report the end of the call with `Gate::finished`.
    Call {
        /// Names the call.
        slot: Slot,
        /// Connection that the start came on; it may be closed.
        peer: Peer,
        /// The start's sequence.
        sequence: u64,
        /// Job ID.
        job: String,
        /// Index of the task in its job.
        task: u16,
        /// Kind of work.
        kind: Arc<str>,
        /// Longest run time, in milliseconds.
        timeout_ms: u32,
        /// Input of the task.
        payload: Vec<u8>,
    },
    /// Tell the entry that a task ended.
    Finish {
        /// Connection to send on.
        peer: Peer,
        /// The start's sequence.
        sequence: u64,
        /// How it ended; never `Outcome::NotRun`.
        outcome: Outcome,
        /// Time in the queue, in microseconds.
        queue_us: u32,
        /// Time in the slot, in microseconds.
        run_us: u32,
        /// Load after the end.
        load: Load,
        /// Answer, or what the upstream said of the failure.
        body: Arc<Vec<u8>>,
    },
    /// Tell the entry that a task was not run and will not be.
    Refuse {
        /// Connection to send on.
        peer: Peer,
        /// The start's sequence.
        sequence: u64,
        /// Why; a code whose fate is "not run".
        code: Code,
        /// Load at the refusal.
        load: Load,
    },
    /// Answer to `Gate::recall`.
    Recalled {
        /// Connection to send on.
        peer: Peer,
        /// What became of each start, in the order asked.
        reports: Vec<Report>,
    },
    /// Answer to `Gate::inquire`; the finishes of ended tasks come before it.
    Reports {
        /// Connection to send on.
        peer: Peer,
        /// What became of each start, in the order asked.
        reports: Vec<Report>,
    },
    /// Tell the entry, which has more waiting, that a slot is free.
    Load {
        /// Connection to send on.
        peer: Peer,
        /// Load at this moment.
        load: Load,
    },
    /// Abandon a call. The slot stays taken until `Gate::finished` reports its end.
    Stop {
        /// The call.
        slot: Slot,
    },
    /// Close a connection that a newer one of the same entry has replaced.
    Close {
        /// The replaced connection.
        peer: Peer,
    },
}
