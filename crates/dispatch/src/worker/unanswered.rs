//! Start orders without an answer, which the upstream may carry out after their runs have ended.

use std::sync::Arc;

use super::{
    action::{Effect, Order},
    run::{self, Run, State},
    Supervisor, MAX_ORDER_DELAY_US, STOP_RETRY_US,
};

/// A start order without an answer, of a run that has ended.
#[derive(Debug)]
pub(super) struct Start {
    task: Arc<str>,
    attempt: u32,
    /// Time at which the run ended.
    ended_us: u64,
    /// Time at which a stop is to be sent; `None` if the present incarnation of the upstream rejects
    /// the start, because the run ended in it or a stop was answered.
    stop_due_us: Option<u64>,
}

impl Supervisor {
    /// Keeps the start order of a run that ends, if it may still be carried out.
    pub(super) fn keep_unanswered_start(&mut self, run: &Run, now_us: u64) {
        if !run.may_start_late() {
            return;
        }
        let is_stop_unanswered = matches!(run.state, State::Stopping { last_poll: None, .. });
        self.unanswered_starts.push(Start {
            task: run.task.clone(),
            attempt: run.attempt,
            ended_us: now_us,
            stop_due_us: is_stop_unanswered.then_some(now_us),
        });
    }

    /// Lets a stop be sent for each start, since the upstream has restarted and rejects none of them.
    pub(super) fn stop_unanswered_starts(&mut self, now_us: u64) {
        for start in &mut self.unanswered_starts {
            start.stop_due_us = Some(now_us);
        }
    }

    /// Records that the upstream has answered the stop of a run.
    pub(super) fn unanswered_start_stopped(&mut self, task: &str, attempt: u32) {
        for start in &mut self.unanswered_starts {
            if *start.task == *task && start.attempt == attempt {
                start.stop_due_us = None;
            }
        }
    }

    /// Returns the time at which the next stop is to be sent.
    pub(super) fn unanswered_due_us(&self) -> u64 {
        if self.in_doubt {
            return u64::MAX;
        }
        let due = self.unanswered_starts.iter().filter_map(|start| start.stop_due_us);
        due.min().unwrap_or(u64::MAX)
    }

    /// Sends the stops that are due, and forgets starts that the upstream cannot carry out any more.
    pub(super) fn send_due_stops(&mut self, now_us: u64) {
        self.unanswered_starts.retain(|start| start.ended_us + MAX_ORDER_DELAY_US >= now_us);
        if self.in_doubt {
            return;
        }
        let fence = self.fence;
        for start in &mut self.unanswered_starts {
            if start.stop_due_us.is_some_and(|due_us| due_us <= now_us) {
                start.stop_due_us = Some(now_us + STOP_RETRY_US);
                let (task, attempt) = (start.task.clone(), start.attempt);
                let order = Order::Stop { task, attempt, fence };
                let (key, timeout_us) = (run::Key::default(), STOP_RETRY_US);
                self.effects.push(Effect::Order { key, order, timeout_us });
            }
        }
    }
}
