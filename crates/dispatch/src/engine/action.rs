//! What goes into the engine and what it asks its caller to do.

use std::sync::Arc;

use crate::{
    code::Code,
    job,
    route::{Choice, Load, Upstream},
};

/// Fixed properties of an engine.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Availability zone of this entry.
    pub zone: String,
    /// Most bytes of payloads and responses held for jobs in progress.
    pub max_bytes: usize,
}

/// A job or a single request.
#[derive(Debug, Clone, Copy)]
pub struct Submission<'a> {
    /// Name of the kind of work.
    pub kind: &'a str,
    /// A single request and not a job; it may be run again if its kind is idempotent.
    pub single: bool,
    /// Input of each task.
    pub payloads: &'a [Arc<[u8]>],
    /// Declared run time of a task, in milliseconds; not trusted.
    pub declared_ms: Option<u32>,
    /// Declared processors of a task, in thousandths of a core.
    pub milli_cpus: Option<u32>,
    /// Declared memory of a task, in megabytes.
    pub memory_mb: Option<u32>,
}

/// A submission was not accepted; nothing of it will run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub code: Code,
    /// Suggested wait before another try, in milliseconds; 0 if trying again makes no sense.
    pub retry_ms: u32,
}

/// How a task ended at a sidecar.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// It ran and succeeded.
    Done,
    /// It ran and failed.
    Failed(Code),
    /// It may have run.
    Unknown(Code),
}

/// A task ended.
#[derive(Debug, Clone)]
pub struct Finish<'a> {
    /// The start's sequence.
    pub sequence: u64,
    /// How it ended.
    pub end: End,
    /// Time in the gate's queue, in microseconds.
    pub queue_us: u32,
    /// Time in the slot, in microseconds.
    pub run_us: u32,
    /// Load after the end.
    pub load: Load<'a>,
    /// Response, or what the upstream said of the failure.
    pub body: Arc<[u8]>,
}

/// State of a start at a gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Held {
    /// Not run, and never will be.
    Never,
    /// In the gate's queue.
    Queued,
    /// In a slot.
    Running,
    /// Ended; reported before.
    Finished,
}

/// What became of one start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// The start's sequence.
    pub sequence: u64,
    /// Its state.
    pub held: Held,
}

/// Run one task.
#[derive(Debug, Clone)]
pub struct Start {
    /// Where.
    pub upstream: Upstream,
    /// Number of this start; only grows on the way to one sidecar.
    pub sequence: u64,
    /// All starts up to this sequence have their final outcome.
    pub settled: u64,
    /// The job.
    pub job: job::Key,
    /// Index of the task in its job.
    pub task: u16,
    /// Name of the kind.
    pub kind: Arc<str>,
    /// Slots that must stay free at the upstream once this task runs.
    pub headroom: u8,
    /// More work waits than can be placed.
    pub more: bool,
    /// How long the start may wait in the gate's queue, in milliseconds.
    pub wait_ms: u32,
    /// Input of the task.
    pub payload: Arc<[u8]>,
}

/// Give back what has not started.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Recall {
    /// Where.
    pub upstream: Upstream,
    /// Sequences of the starts, ascending.
    pub sequences: Vec<u64>,
    /// Also stop those that run.
    pub stop: bool,
}

/// The response to a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The job.
    pub job: job::Key,
    /// Its outcome.
    pub outcome: job::Outcome,
}

/// Why an upstream was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// It has the most free slots; the kind is within its share.
    Share,
    /// It has the most free slots above the headroom; the slot is lent.
    Borrowed,
    /// No upstream is known to be free; this one is asked.
    NoneFree,
    /// It is ejected and gets a probe.
    Probe,
}

/// A routing decision, for one log line.
#[derive(Debug, Clone, Copy)]
pub struct Decision {
    /// The job.
    pub job: job::Key,
    /// Index of the task in its job.
    pub task: u16,
    /// Index of the kind among all kinds that the engine knows.
    pub class: u16,
    /// Why this upstream.
    pub reason: Reason,
    /// The chosen upstream and the alternatives.
    pub choice: Choice,
    /// Free slots of the fleet before the start.
    pub fleet_free: u32,
    /// Tasks of the kind that still wait.
    pub waiting: u32,
    /// Time since the job was accepted, in microseconds.
    pub waited_us: u64,
}

/// Something that the caller has to do.
#[derive(Debug, Clone)]
pub enum Action {
    /// Send a start.
    Start(Start),
    /// Send a recall.
    Recall(Recall),
    /// Answer a caller.
    Answer(Answer),
    /// Log a decision.
    Decision(Decision),
}
