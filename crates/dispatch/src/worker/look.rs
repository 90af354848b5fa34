//! Looks at the upstream: what runs there, what ended, and the renewal of its lease.

use std::sync::Arc;

use super::{
    action::Effect,
    run::{self, Outcome, State},
    Phase, Reply, Supervisor, IDLE_WAIT_MS, LOOK_RETRY_US, LOOK_WAIT_MS, STOP_RETRY_US,
    UPSTREAM_LEASE_US,
};

/// Time between two looks while unknown runs are being stopped, in microseconds.
const CLEARING_LOOK_US: u64 = 10_000;

/// What an upstream lists.
#[derive(Debug, Clone, Default)]
pub struct Listing {
    /// Life of the upstream.
    pub incarnation: u64,
    /// Its clock, in milliseconds.
    pub clock_ms: u64,
    /// Task, attempt and progress in percent of all that runs.
    pub running: Vec<(Arc<str>, u32, u32)>,
    /// Number, task, attempt and end of what ended after the last number that was told.
    pub ended: Vec<(u64, Arc<str>, u32, Outcome)>,
}

impl Supervisor {
    /// Sends a look unless one is on its way.
    pub(super) fn look(&mut self, now_us: u64) {
        if self.looking || now_us < self.look_due_us {
            return;
        }
        self.looking = true;
        self.look_sent_us = now_us;
        self.look_number += 1;
        let idle = self.runs.values().all(|run| !run.takes_room());
        let clock_ms = self.clock.at_ms(now_us).filter(|_| self.phase != Phase::Unknown);
        if clock_ms.is_some() {
            self.extend_lease(now_us);
        }
        self.effects.push(Effect::Poll {
            number: self.look_number,
            deadline_ms: clock_ms.map(|clock_ms| clock_ms + UPSTREAM_LEASE_US / 1000),
            fence: self.fence,
            last_end: self.last_end,
            wait_ms: match (self.phase, idle) {
                (Phase::Open, true) => IDLE_WAIT_MS,
                (Phase::Open, false) => LOOK_WAIT_MS,
                _ => 0,
            },
        });
    }

    /// The upstream has answered a look.
    pub fn poll_answered(&mut self, number: u64, look: Listing, now_us: u64) {
        if number != self.look_number {
            return;
        }
        self.looking = false;
        self.look_due_us = now_us;
        self.missed_looks = 0;
        if look.incarnation < self.incarnation {
            self.settle(now_us);
            return;
        }
        if look.incarnation > self.incarnation {
            self.restarted(look.incarnation, now_us);
        }
        self.clock.read(look.clock_ms, now_us);
        if self.fence == 0 {
            self.fence = look.clock_ms.max(1);
            self.settle(now_us);
            return;
        }
        for (number, task, attempt, outcome) in look.ended {
            if number <= self.last_end {
                continue;
            }
            self.last_end = number;
            self.strangers.remove(&(task.clone(), attempt));
            if let Some(key) = self.find(&task, attempt) {
                self.end(key, outcome, now_us);
            }
        }
        let mut listed = Vec::with_capacity(look.running.len());
        let mut strangers = Vec::new();
        for (task, attempt, percent) in look.running {
            match self.find(&task, attempt) {
                Some(key) => {
                    listed.push(key);
                    let run = &mut self.runs[key];
                    run.percent = percent;
                    run.percent_us = now_us;
                    if matches!(run.state, State::Starting { .. }) {
                        run.state = State::Running { look: number };
                    }
                }
                None => strangers.push((task, attempt)),
            }
        }
        self.end_unlisted(number, &listed, now_us);
        self.evict(strangers, now_us);
        self.settle(now_us);
    }

    /// A look was not answered, or was rejected.
    pub fn poll_failed(&mut self, number: u64, reply: Reply, clock_ms: Option<u64>, now_us: u64) {
        if number != self.look_number {
            return;
        }
        self.looking = false;
        // An answer that was lost is asked for at once, but not one that was refused at once.
        self.look_due_us = now_us.max(self.look_sent_us + LOOK_RETRY_US);
        match (reply, clock_ms) {
            (Reply::Fence, Some(clock_ms)) => {
                self.clock.read(clock_ms, now_us);
                self.fence = clock_ms.max(self.fence + 1);
                self.look_due_us = now_us;
            }
            (Reply::Down, _) => {
                self.missed_looks = u32::MAX / 2;
                self.lose_all(now_us);
                self.phase = Phase::Unknown;
            }
            _ => self.missed_looks += 1,
        }
        self.settle(now_us);
    }

    fn find(&self, task: &str, attempt: u32) -> Option<run::Key> {
        let same =
            |run: &run::Run| run.takes_room() && *run.task == *task && run.attempt == attempt;
        self.runs.iter().find(|(_, run)| same(run)).map(|(key, _)| key)
    }

    /// Stops runs that this sidecar did not start. Until they are gone their room is not known, so
    /// nothing else starts.
    fn evict(&mut self, strangers: Vec<(Arc<str>, u32)>, now_us: u64) {
        self.strangers.retain(|name, _| strangers.contains(name));
        self.phase = if strangers.is_empty() { Phase::Open } else { Phase::Clearing };
        for name in strangers {
            let told = self.strangers.get(&name);
            if told.is_some_and(|told_us| now_us < told_us + STOP_RETRY_US) {
                continue;
            }
            let order =
                super::Order::Stop { task: name.0.clone(), attempt: name.1, fence: self.fence };
            let (key, timeout_us) = (run::Key::default(), STOP_RETRY_US);
            self.effects.push(Effect::Order { key, order, timeout_us });
            self.strangers.insert(name, now_us);
        }
        if self.phase == Phase::Clearing {
            self.look_due_us = now_us + CLEARING_LOOK_US;
        }
    }
}
