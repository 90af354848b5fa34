//! Runs and their states.

use std::sync::Arc;

use slotmap::new_key_type;

use super::{entry::Entry, MAX_ORDER_DELAY_US, STOP_RETRY_US};

new_key_type! {
    /// Identifies a run at its sidecar.
    pub struct Key;
}

/// Request of an entry to start a run.
#[derive(Debug, Clone)]
pub struct Start {
    /// Number of the run; grows with each start within one incarnation of the entry.
    pub run: u64,
    /// Name of the task at the upstream.
    pub task: Arc<str>,
    /// Number of this attempt to run the task, from 1.
    pub attempt: u32,
    /// Description of the job for the upstream.
    pub spec: Arc<str>,
    /// Cores that the run uses, in thousandths.
    pub cores: u32,
    /// Memory that the run uses, in megabytes.
    pub memory_mb: u32,
    /// Number of the newest grant that the entry had received.
    pub grant: u64,
    /// Latest intended start as an offset from the arrival of the request, in microseconds. It
    /// decides the order of the starts that wait for capacity.
    pub slack_us: u64,
    /// Longest wait for capacity, in microseconds.
    pub wait_us: u64,
}

/// Outcome of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The task completed.
    Done,
    /// The task failed.
    Failed,
    /// The run was stopped before it completed.
    Stopped,
    /// The upstream was lost, or the sidecar's lease there expired.
    Lost,
}

/// A run that ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct End {
    /// Number of the run.
    pub run: u64,
    /// Outcome of the run.
    pub outcome: Outcome,
    /// Time from the start to the end of the run, in microseconds.
    pub ran_us: u64,
}

/// Progress of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Progress {
    /// Number of the run.
    pub run: u64,
    /// Time from the start of the run to the poll that returned the progress, in microseconds.
    pub elapsed_us: u64,
    /// Completed part of the work, in percent.
    pub percent: u32,
}

/// State of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum State {
    /// Waits for capacity, and is refused at `until_us` if there is none by then.
    Waiting { until_us: u64 },
    /// The start order has been sent `tries` times.
    Starting { tries: u32 },
    /// The last of `tries` start orders failed. The next one is sent once the incarnation of the
    /// upstream is known.
    Retrying { tries: u32 },
    /// The upstream has accepted the start. `last_poll` is the newest poll that was sent before
    /// the sidecar knew this; if the answer to a later poll omits the run, it is lost.
    Running { last_poll: u64 },
    /// A stop has been sent. `last_poll` is the newest poll that was sent before the stop was
    /// answered, or `None` before that answer.
    Stopping { sent_us: u64, last_poll: Option<u64> },
}

/// A run that waits for capacity or uses it.
#[derive(Debug)]
pub(super) struct Run {
    pub entry: Entry,
    pub number: u64,
    pub task: Arc<str>,
    pub attempt: u32,
    pub spec: Arc<str>,
    pub cores: u32,
    pub memory_mb: u32,
    /// Latest intended start; waiting runs are started in this order.
    pub latest_start_us: u64,
    pub started_us: u64,
    pub percent: u32,
    /// Time of the poll answer that reported `percent`; 0 before the first.
    pub percent_at_us: u64,
    pub state: State,
    /// Whether a start order of this run was left unanswered; it may be carried out later.
    pub has_unanswered_start: bool,
}

impl Run {
    /// Returns whether the run uses capacity: its start has been sent.
    pub fn uses_capacity(&self) -> bool {
        !matches!(self.state, State::Waiting { .. })
    }

    /// Returns whether a start order of this run may be carried out later: one was left unanswered,
    /// or the answer to the last one is missing.
    pub fn may_start_late(&self) -> bool {
        self.has_unanswered_start || matches!(self.state, State::Starting { .. })
    }

    /// Returns whether the run has ended at a time, if the upstream ended all runs at `lease_end_us`. One
    /// that may start late has not until its start can no longer be carried out, as a deadline on the
    /// clock of an earlier incarnation does not prevent this.
    pub fn has_expired(&self, lease_end_us: u64, at_us: u64) -> bool {
        let delay_us = if self.may_start_late() { MAX_ORDER_DELAY_US } else { 0 };
        lease_end_us + delay_us <= at_us
    }

    /// Returns the time at which the run ends if it continues at its average rate so far; `None`
    /// before any progress.
    pub fn expected_end_us(&self) -> Option<u64> {
        let known = self.percent > 0 && matches!(self.state, State::Running { .. });
        let elapsed_us = self.percent_at_us.saturating_sub(self.started_us);
        known.then(|| self.started_us + elapsed_us * 100 / u64::from(self.percent))
    }

    /// Returns the time at which `Supervisor::handle_due_run` is to be called for this run.
    pub fn due_us(&self) -> u64 {
        match self.state {
            State::Waiting { until_us } => until_us,
            State::Stopping { sent_us, .. } => sent_us + STOP_RETRY_US,
            State::Starting { .. } | State::Retrying { .. } | State::Running { .. } => u64::MAX,
        }
    }
}
