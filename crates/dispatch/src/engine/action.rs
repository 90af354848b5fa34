//! Inputs of the engine and the actions that it requests from its caller.

use std::sync::Arc;

use crate::{
    code::Code,
    job,
    route::{Choice, Load, Upstream},
};

/// Settings of an engine, which never change.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Availability zone of this entry.
    pub zone: String,
    /// Maximum size of the payloads and responses held for jobs in progress, in bytes.
    pub max_bytes: usize,
}

/// A submitted job or single request.
#[derive(Debug, Clone, Copy)]
pub struct Submission<'a> {
    /// Name of the kind of work.
    pub kind: &'a str,
    /// True for a single request, which may be retried if its kind is idempotent.
    pub single: bool,
    /// Inputs of the tasks.
    pub payloads: &'a [Arc<[u8]>],
    /// Declared run time of a task, in milliseconds. It is a hint and not trusted.
    pub declared_ms: Option<u32>,
    /// Declared processor demand of a task, in thousandths of a core.
    pub milli_cpus: Option<u32>,
    /// Declared memory demand of a task, in megabytes.
    pub memory_mb: Option<u32>,
}

/// Rejection of a submission. None of its tasks will run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Reason for the rejection.
    pub code: Code,
    /// Suggested delay before a retry, in milliseconds, or 0 if a retry cannot succeed.
    pub retry_ms: u32,
}

/// How a task ended at a sidecar.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The task ran and succeeded.
    Done,
    /// The task ran and failed.
    Failed(Code),
    /// The task may have run.
    Unknown(Code),
}

/// Result of a task, as reported by a sidecar.
#[derive(Debug, Clone)]
pub struct Finish<'a> {
    /// Sequence number of the start.
    pub sequence: u64,
    /// How the task ended.
    pub end: End,
    /// Time spent in the gate's queue, in microseconds.
    pub queue_us: u32,
    /// Time spent in a slot, in microseconds.
    pub run_us: u32,
    /// Load of the sidecar after the task ended.
    pub load: Load<'a>,
    /// Response, or the error body that the upstream returned.
    pub body: Arc<[u8]>,
}

/// State of a start at a gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Held {
    /// The start has not run and never will.
    Never,
    /// The start waits in the gate's queue.
    Queued,
    /// The start occupies a slot.
    Running,
    /// The start has ended, and its result was reported before.
    Finished,
}

/// Reported state of one start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// Sequence number of the start.
    pub sequence: u64,
    /// State of the start at the gate.
    pub held: Held,
}

/// Instruction to run one task at an upstream.
#[derive(Debug, Clone)]
pub struct Start {
    /// Upstream that runs the task.
    pub upstream: Upstream,
    /// Sequence number of the start, which increases with every start sent to the same sidecar.
    pub sequence: u64,
    /// Highest sequence number up to which all starts have a final outcome.
    pub settled: u64,
    /// Job that the task belongs to.
    pub job: job::Key,
    /// Index of the task in its job.
    pub task: u16,
    /// Name of the kind of work.
    pub kind: Arc<str>,
    /// Number of slots that must stay free at the upstream once this task runs.
    pub headroom: u8,
    /// True if work within its share waits that could not be placed.
    pub more: bool,
    /// Maximum time that the start may wait in the gate's queue, in milliseconds.
    pub wait_ms: u32,
    /// Input of the task.
    pub payload: Arc<[u8]>,
}

/// Instruction to return starts that are still queued.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Recall {
    /// Upstream whose sidecar holds the starts.
    pub upstream: Upstream,
    /// Sequence numbers of the starts, in ascending order.
    pub sequences: Vec<u64>,
    /// True if running tasks are to be stopped as well.
    pub stop: bool,
}

/// The response to a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// Job that is answered.
    pub job: job::Key,
    /// Final result of the job.
    pub outcome: job::Outcome,
}

/// Why an upstream was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// It has the most free slots, and the kind is within its guaranteed share.
    Share,
    /// It has the most free slots apart from the headroom, and the kind borrows a slot beyond its
    /// share.
    Borrowed,
    /// No upstream is known to have a free slot, so a random one is tried.
    NoneFree,
    /// It is ejected and receives a probe.
    Probe,
}

/// A routing decision, to be logged in one line.
#[derive(Debug, Clone, Copy)]
pub struct Decision {
    /// Job that the task belongs to.
    pub job: job::Key,
    /// Index of the task in its job.
    pub task: u16,
    /// Index of the kind among all kinds known to the engine.
    pub class: u16,
    /// Why the upstream was chosen.
    pub reason: Reason,
    /// The chosen upstream and the alternatives.
    pub choice: Choice,
    /// Number of free slots in the fleet before the start.
    pub fleet_free: u32,
    /// Number of tasks of the kind that are still waiting.
    pub waiting: u32,
    /// Time since the job was accepted, in microseconds.
    pub waited_us: u64,
}

/// An action that the caller has to carry out.
#[derive(Debug, Clone)]
pub enum Action {
    /// Send a start to a sidecar.
    Start(Start),
    /// Send a recall to a sidecar.
    Recall(Recall),
    /// Answer the caller of a job.
    Answer(Answer),
    /// Log a routing decision.
    Decision(Decision),
}
