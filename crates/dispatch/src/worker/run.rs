//! Runs and their states.

use std::sync::Arc;

use slotmap::new_key_type;

use super::{entry::Entry, STOP_RETRY_US};

new_key_type! {
    /// Names a run at its sidecar.
    pub struct Key;
}

/// A start that an entry asks for.
#[derive(Debug, Clone)]
pub struct Start {
    /// Number of the run; only grows for one entry incarnation.
    pub run: u64,
    /// Name of the task at the upstream.
    pub task: Arc<str>,
    /// Which start of the task it is, from 1.
    pub attempt: u32,
    /// What the upstream is told about the job.
    pub spec: Arc<str>,
    /// Cores, in thousandths.
    pub cores: u32,
    /// Memory, in megabytes.
    pub memory_mb: u32,
    /// Newest grant that the entry had.
    pub grant: u64,
    /// Latest time to start, from now, in microseconds: the order of the queue.
    pub slack_us: u64,
    /// Longest wait for room, in microseconds.
    pub wait_us: u64,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The task is complete.
    Done,
    /// The task failed.
    Failed,
    /// It was stopped before its end.
    Stopped,
    /// The upstream was lost, or its lease ran out.
    Lost,
}

/// A run that ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct End {
    /// Number of the run.
    pub run: u64,
    /// How it ended.
    pub outcome: Outcome,
    /// Time from its start to its end, in microseconds.
    pub ran_us: u64,
}

/// How far a run has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Progress {
    /// Number of the run.
    pub run: u64,
    /// Time since its start, in microseconds.
    pub elapsed_us: u64,
    /// Part of its work that is done.
    pub percent: u32,
}

/// State of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum State {
    /// Waits for room until a time.
    Waiting { until_us: u64 },
    /// The start was sent.
    Starting { tries: u32 },
    /// The upstream has it. `look` is the last look before that was known.
    Running { look: u64 },
    /// It is being stopped. `look` is the last look sent before the stop was answered.
    Stopping { sent_us: u64, look: Option<u64> },
}

/// One run.
#[derive(Debug)]
pub(super) struct Run {
    pub entry: Entry,
    pub number: u64,
    pub task: Arc<str>,
    pub attempt: u32,
    pub spec: Arc<str>,
    pub cores: u32,
    pub memory_mb: u32,
    /// Latest time to start.
    pub rank_us: u64,
    pub started_us: u64,
    pub percent: u32,
    /// Time of the look that gave the percent.
    pub percent_us: u64,
    pub state: State,
    /// A copy of its start was not answered, and may be carried out later.
    pub unsure: bool,
}

impl Run {
    /// True unless its start has not been sent.
    pub fn takes_room(&self) -> bool {
        !matches!(self.state, State::Waiting { .. })
    }

    /// Time at which it ends if it goes on as it did until its progress was last seen.
    pub fn expected_end_us(&self) -> Option<u64> {
        let known = self.percent > 0 && matches!(self.state, State::Running { .. });
        let elapsed_us = self.percent_us.saturating_sub(self.started_us);
        known.then(|| self.started_us + elapsed_us * 100 / u64::from(self.percent))
    }

    /// Time at which something is to be done about it.
    pub fn due_us(&self) -> u64 {
        match self.state {
            State::Waiting { until_us } => until_us,
            State::Stopping { sent_us, .. } => sent_us + STOP_RETRY_US,
            State::Starting { .. } | State::Running { .. } => u64::MAX,
        }
    }
}
