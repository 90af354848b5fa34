//! Effects that the planner requests from its entry, and answers to callers.

use super::{Job, Worker};

/// An action that the entry must carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Ask a sidecar to start a task.
    Start {
        /// Worker that runs the task.
        worker: Worker,
        /// Job of the task.
        job: Job,
        /// Index of the task in its job.
        task: u16,
        /// Number of the run.
        run: u64,
        /// Number of this start among those of the task, from 1.
        attempt: u32,
        /// Slack that orders the sidecar's queue, least first, in microseconds.
        slack_us: u64,
        /// Longest wait for capacity at the sidecar, in microseconds.
        wait_us: u64,
    },
    /// Ask a sidecar to stop a run, or not to start it if it still waits.
    Stop {
        /// Worker that has the run.
        worker: Worker,
        /// Number of the run.
        run: u64,
    },
    /// Discard the state of a job that the planner has removed.
    Closed {
        /// The removed job.
        job: Job,
    },
    /// Answer the caller of a job.
    Answer {
        /// Token of the submission, which identifies the caller.
        token: u64,
        /// Answer to send.
        answer: Answer,
    },
}

/// Result of a job as reported to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// All tasks were completed.
    Completed,
    /// A task failed the highest permitted number of times.
    Failed,
    /// No task was started and none will be. The caller may submit the job again later.
    NotRun {
        /// Time after which to submit the job again, in milliseconds.
        retry_ms: u64,
    },
    /// A task may have run. All remaining runs are being stopped.
    GaveUp,
}
