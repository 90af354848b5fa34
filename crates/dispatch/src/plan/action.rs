//! What the entry's decisions ask for.

use super::{Job, Worker};

/// One thing to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Ask a sidecar to start a task.
    Start {
        /// Where.
        worker: Worker,
        /// The job.
        job: Job,
        /// Index of the task.
        task: u16,
        /// Number of the run.
        run: u64,
        /// Which start of the task it is, from 1.
        attempt: u32,
        /// Time until the latest start that meets the objective, in microseconds.
        slack_us: u64,
        /// Longest wait for room at the sidecar, in microseconds.
        wait_us: u64,
    },
    /// Ask a sidecar to stop a run or never to start it.
    Stop {
        /// Where.
        worker: Worker,
        /// Number of the run.
        run: u64,
    },
    /// The job is forgotten.
    Closed {
        /// The job.
        job: Job,
    },
    /// Answer a caller.
    Answer {
        /// The caller's name for the job.
        token: u64,
        /// The answer.
        answer: Answer,
    },
}

/// What a caller is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// All tasks are complete.
    Completed,
    /// A task failed as often as it may.
    Failed,
    /// No task was started and none will be; the caller may return after this time, in milliseconds.
    NotRun {
        /// Time after which to return, in milliseconds.
        retry_ms: u64,
    },
    /// Some task may have run; all that runs is being stopped.
    GaveUp,
}
