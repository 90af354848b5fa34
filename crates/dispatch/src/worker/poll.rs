//! Polls of the upstream, which return its running and ended runs and renew the sidecar's lease.

use std::sync::Arc;

use super::{
    action::Effect,
    run::{self, Outcome, State},
    Phase, Reply, Supervisor, IDLE_POLL_WAIT_MS, POLL_RETRY_US, POLL_WAIT_MS, STOP_RETRY_US,
};

/// Time between two polls while unknown runs are being stopped, in microseconds.
const CLEARING_POLL_US: u64 = 10_000;

/// Answer of an upstream to a poll.
#[derive(Debug, Clone, Default)]
pub struct Listing {
    /// Incarnation of the upstream.
    pub incarnation: u64,
    /// Time on the upstream's clock, in milliseconds.
    pub clock_ms: u64,
    /// Task, attempt and progress in percent of all active runs.
    pub running: Vec<(Arc<str>, u32, u32)>,
    /// Number of the end, task, attempt and outcome of the runs that ended after the `last_end` of
    /// the poll.
    pub ended: Vec<(u64, Arc<str>, u32, Outcome)>,
}

impl Supervisor {
    /// Sends a poll if one is due and none is pending.
    pub(super) fn poll(&mut self, now_us: u64) {
        if self.poll_pending || now_us < self.poll_due_us {
            return;
        }
        self.poll_pending = true;
        self.poll_sent_us = now_us;
        self.poll_number += 1;
        let idle = self.runs.values().all(|run| !run.uses_capacity());
        let is_known = self.phase != Phase::Unknown && !self.in_doubt;
        let may_renew = is_known && !self.has_unanswered_stop();
        let deadline_ms = if may_renew { self.renew_lease(now_us) } else { None };
        self.poll_renews = deadline_ms.is_some();
        self.poll_wait_ms = match (self.phase, idle) {
            (Phase::Known, true) if is_known => IDLE_POLL_WAIT_MS,
            (Phase::Known, false) if is_known => POLL_WAIT_MS,
            _ => 0,
        };
        self.effects.push(Effect::Poll {
            number: self.poll_number,
            deadline_ms,
            fence: self.fence,
            last_end: self.last_end,
            wait_ms: self.poll_wait_ms,
        });
    }

    /// Lets the next poll be sent at once. A pending poll that the upstream may hold is given up; its
    /// answer will be ignored, and the next one lists all that it would have listed.
    pub(super) fn poll_now(&mut self, now_us: u64) {
        self.poll_due_us = now_us;
        self.poll_pending &= self.poll_wait_ms == 0;
    }

    /// Handles the answer to a poll: ends runs that have ended or are no longer listed, records
    /// progress, and stops runs that this sidecar did not start. An answer of an earlier
    /// incarnation is ignored.
    pub fn poll_answered(&mut self, number: u64, listing: Listing, now_us: u64) {
        if number != self.poll_number {
            return;
        }
        self.poll_pending = false;
        self.poll_due_us = now_us;
        if self.missed_polls > 0 {
            self.missed_polls = 0;
            self.announce_load();
        }
        // A lower incarnation is an earlier one only if the poll was sent before the present one was
        // known. Otherwise a report of the present one was false, or the upstream has restarted after
        // its time of day was set back.
        let is_current = listing.incarnation != 0 && self.incarnation_known_us < self.poll_sent_us;
        if listing.incarnation < self.incarnation && !is_current {
            self.update(now_us);
            return;
        }
        if listing.incarnation != self.incarnation {
            self.upstream_restarted(listing.incarnation, now_us);
        }
        self.clock.record(listing.clock_ms, now_us);
        self.in_doubt = false;
        // The token may equal one of an earlier sidecar, whose late calls a higher one rejects.
        if self.fence == 0 || self.fence_step > 0 {
            self.fence = listing.clock_ms.max(self.fence + 1);
            self.fence_step = 0;
            self.update(now_us);
            return;
        }
        for (number, task, attempt, outcome) in listing.ended {
            if number <= self.last_end {
                continue;
            }
            self.last_end = number;
            self.unknown_runs.remove(&(task.clone(), attempt));
            if let Some(key) = self.find_run(&task, attempt) {
                self.end_run(key, outcome, now_us);
            }
        }
        let mut listed = Vec::with_capacity(listing.running.len());
        let mut unknown_runs = Vec::new();
        for (task, attempt, percent) in listing.running {
            match self.find_run(&task, attempt) {
                Some(key) => {
                    listed.push(key);
                    let run = &mut self.runs[key];
                    run.percent = percent;
                    run.percent_at_us = now_us;
                    if matches!(run.state, State::Starting { .. } | State::Retrying { .. }) {
                        run.state = State::Running { last_poll: number };
                    }
                }
                None => unknown_runs.push((task, attempt)),
            }
        }
        self.end_unlisted(number, &listed, now_us);
        self.stop_unknown_runs(unknown_runs, now_us);
        self.update(now_us);
    }

    /// Handles a poll that was not answered or was rejected.
    pub fn poll_failed(&mut self, number: u64, reply: Reply, clock_ms: Option<u64>, now_us: u64) {
        if number != self.poll_number {
            return;
        }
        self.poll_pending = false;
        // A poll that timed out is repeated at once. One that failed immediately is not, since that
        // would call the upstream in a busy loop.
        self.poll_due_us = now_us.max(self.poll_sent_us + POLL_RETRY_US);
        match reply {
            Reply::Fence => {
                if let Some(clock_ms) = clock_ms {
                    self.record_clock(clock_ms, now_us);
                }
                self.raise_fence(clock_ms, now_us);
            }
            Reply::Down => {
                self.missed_polls = u32::MAX / 2;
                self.mark_lost(|_| true, now_us);
                self.phase = Phase::Unknown;
            }
            _ => {
                if self.missed_polls == 0 {
                    self.announce_load();
                }
                self.missed_polls += 1;
                self.in_doubt = true;
                // The next incarnation may have received the deadline of this poll.
                if self.poll_renews {
                    self.doubt_incarnation(now_us);
                }
            }
        }
        self.update(now_us);
    }

    /// Returns the run of this task and attempt that uses capacity.
    fn find_run(&self, task: &str, attempt: u32) -> Option<run::Key> {
        let matches =
            |run: &run::Run| run.uses_capacity() && *run.task == *task && run.attempt == attempt;
        self.runs.iter().find(|(_, run)| matches(run)).map(|(key, _)| key)
    }

    /// Stops runs that this sidecar did not start. Nothing else starts until they have ended, since
    /// the capacity that they use is unknown.
    fn stop_unknown_runs(&mut self, unknown_runs: Vec<(Arc<str>, u32)>, now_us: u64) {
        self.unknown_runs.retain(|name, _| unknown_runs.contains(name));
        self.phase = if unknown_runs.is_empty() { Phase::Known } else { Phase::Clearing };
        for name in unknown_runs {
            let last_sent = self.unknown_runs.get(&name);
            if last_sent.is_some_and(|sent_us| now_us < sent_us + STOP_RETRY_US) {
                continue;
            }
            let order =
                super::Order::Stop { task: name.0.clone(), attempt: name.1, fence: self.fence };
            let (key, timeout_us) = (run::Key::default(), STOP_RETRY_US);
            self.effects.push(Effect::Order { key, order, timeout_us });
            self.unknown_runs.insert(name, now_us);
        }
        if self.phase == Phase::Clearing {
            self.poll_due_us = now_us + CLEARING_POLL_US;
        }
    }
}
