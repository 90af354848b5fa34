//! Starts and stops: the queue for room, orders to the upstream and their replies.

use super::{
    action::{Effect, Order, Reason, Reply},
    entry::Entry,
    run::{self, Outcome, Run, Start, State},
    Phase, Supervisor, ENTRY_LEASE_US, MAX_ORDER_TIMEOUT_US, ORDER_TIMEOUT_US, SLOW_CLOCK_PERMILLE,
    START_TRIES, STOP_RETRY_US, STOP_US, UPSTREAM_LEASE_US,
};

impl Supervisor {
    /// An entry asks for a run.
    pub fn start(&mut self, entry: Entry, start: Start, now_us: u64) {
        if !self.arrived(entry, start.run) {
            return;
        }
        self.renew(entry, start.grant);
        let refused = if start.grant.saturating_add(ENTRY_LEASE_US) <= now_us {
            Some(Reason::StaleGrant)
        } else if !self.is_accepting() {
            Some(Reason::NotAccepting)
        } else {
            None
        };
        if let Some(reason) = refused {
            let Start { run, task, .. } = start;
            self.effects.push(Effect::Refused { entry, task, run, reason });
            return;
        }
        self.load_changed = true;
        self.runs.insert(Run {
            entry,
            number: start.run,
            task: start.task,
            attempt: start.attempt,
            spec: start.spec,
            cores: start.cores,
            memory_mb: start.memory_mb,
            rank_us: now_us + start.slack_us,
            started_us: now_us,
            percent: 0,
            percent_us: 0,
            state: State::Waiting { until_us: now_us + start.wait_us },
            unsure: false,
        });
    }

    /// An entry no longer wants a run.
    pub fn stop(&mut self, entry: Entry, number: u64, now_us: u64) {
        let mut found = None;
        for (key, run) in &self.runs {
            if run.entry == entry && run.number == number {
                found = Some(key);
            }
        }
        if let Some(key) = found {
            self.stop_run(key, Reason::Asked, now_us);
        }
    }

    /// The upstream has answered an order, or has not.
    pub fn replied(
        &mut self,
        key: run::Key,
        order: &Order,
        reply: Reply,
        clock_ms: Option<u64>,
        now_us: u64,
    ) {
        if let Some(clock_ms) = clock_ms {
            self.clock.read(clock_ms, now_us);
        }
        if reply == Reply::Fence {
            self.raise_fence(clock_ms, now_us);
        }
        match order {
            Order::Start { .. } => self.start_replied(key, reply, now_us),
            Order::Stop { .. } => self.stop_replied(key, reply),
        }
        self.settle(now_us);
    }

    fn start_replied(&mut self, key: run::Key, reply: Reply, now_us: u64) {
        let look = self.look_number;
        let Some(run) = self.runs.get_mut(key) else { return };
        let State::Starting { tries } = run.state else { return };
        let unsure = run.unsure;
        match reply {
            Reply::Done => run.state = State::Running { look },
            // A copy of this start ran and has ended; the next look lists its end.
            Reply::Old if unsure => run.state = State::Running { look },
            Reply::Old if tries < START_TRIES => {
                run.attempt += 1;
                self.send_start(key, tries + 1, now_us);
            }
            Reply::Fence | Reply::Late if tries < START_TRIES => {
                self.send_start(key, tries + 1, now_us);
            }
            Reply::Unanswered if tries < START_TRIES => {
                run.unsure = true;
                self.send_start(key, tries + 1, now_us);
            }
            Reply::Unanswered => {
                run.unsure = true;
                self.stop_run(key, Reason::Unanswered, now_us);
            }
            // An earlier copy of this start may still be on its way.
            _ if unsure => self.stop_run(key, Reason::Rejected, now_us),
            _ => self.refuse(key, Reason::Rejected),
        }
    }

    fn stop_replied(&mut self, key: run::Key, reply: Reply) {
        let number = self.look_number;
        let Some(run) = self.runs.get_mut(key) else { return };
        if let (State::Stopping { look, .. }, Reply::Done) = (&mut run.state, reply) {
            look.get_or_insert(number);
        }
    }

    /// Another process has used a higher fencing token: takes one above it and looks again.
    fn raise_fence(&mut self, clock_ms: Option<u64>, now_us: u64) {
        // Without a clock in the reply the next reply tells whether one more is enough.
        self.fence = clock_ms.map_or(self.fence + 1, |clock_ms| clock_ms.max(self.fence + 1));
        self.phase = Phase::Unknown;
        self.look_due_us = now_us;
    }

    /// Starts what fits, most urgent first.
    pub(super) fn fill(&mut self, now_us: u64) {
        if !self.is_accepting() {
            return;
        }
        let mut waiting: Vec<(u64, u64, run::Key)> = self
            .runs
            .iter()
            .filter(|(_, run)| !run.takes_room())
            .map(|(key, run)| (run.rank_us, run.number, key))
            .collect();
        waiting.sort_unstable();
        for (_, _, key) in waiting {
            if !self.fits(key) {
                break;
            }
            if !self.is_running_already(key) {
                self.runs[key].started_us = now_us;
                self.send_start(key, 1, now_us);
            }
        }
    }

    fn fits(&self, key: run::Key) -> bool {
        let Some(profile) = &self.profile else { return false };
        let taken = self.runs.values().filter(|run| run.takes_room());
        let (cores, memory) = taken.fold((0_u64, 0_u64), |(cores, memory), run| {
            (cores + u64::from(run.cores), memory + u64::from(run.memory_mb))
        });
        let run = &self.runs[key];
        cores + u64::from(run.cores) <= u64::from(profile.cores)
            && memory + u64::from(run.memory_mb) <= u64::from(profile.memory_mb)
    }

    /// True while another run of the same task takes room, such as one that is being stopped.
    fn is_running_already(&self, key: run::Key) -> bool {
        let task = &self.runs[key].task;
        self.runs.values().any(|run| run.takes_room() && run.task == *task)
    }

    fn send_start(&mut self, key: run::Key, tries: u32, now_us: u64) {
        let Some(clock_ms) = self.clock.at_ms(now_us) else { return };
        self.extend_lease(now_us);
        let Some(run) = self.runs.get_mut(key) else { return };
        run.state = State::Starting { tries };
        let order = Order::Start {
            task: run.task.clone(),
            attempt: run.attempt,
            spec: run.spec.clone(),
            deadline_ms: clock_ms + UPSTREAM_LEASE_US / 1000,
            fence: self.fence,
        };
        let timeout_us = (ORDER_TIMEOUT_US << (tries - 1)).min(MAX_ORDER_TIMEOUT_US);
        self.effects.push(Effect::Order { key, order, timeout_us });
    }

    /// Notes the latest time at which the upstream ends everything if it hears nothing further.
    pub(super) fn extend_lease(&mut self, now_us: u64) {
        let slow = UPSTREAM_LEASE_US * SLOW_CLOCK_PERMILLE / 1000;
        self.lease_end_us = now_us + UPSTREAM_LEASE_US + slow + STOP_US;
    }

    /// Ends a run, or refuses it if it has not begun.
    pub(super) fn stop_run(&mut self, key: run::Key, reason: Reason, now_us: u64) {
        let Some(run) = self.runs.get(key) else { return };
        match run.state {
            State::Waiting { .. } => self.refuse(key, reason),
            State::Starting { .. } | State::Running { .. } => self.send_stop(key, None, now_us),
            State::Stopping { .. } => {}
        }
    }

    pub(super) fn send_stop(&mut self, key: run::Key, look: Option<u64>, now_us: u64) {
        let Some(run) = self.runs.get_mut(key) else { return };
        run.state = State::Stopping { sent_us: now_us, look };
        let order = Order::Stop { task: run.task.clone(), attempt: run.attempt, fence: self.fence };
        self.effects.push(Effect::Order { key, order, timeout_us: STOP_RETRY_US });
    }

    /// Does what is due about one run.
    pub(super) fn run_due(&mut self, key: run::Key, now_us: u64) {
        let Some(run) = self.runs.get(key) else { return };
        match run.state {
            State::Waiting { .. } => self.refuse(key, Reason::NoRoom),
            State::Stopping { look, .. } => self.send_stop(key, look, now_us),
            State::Starting { .. } | State::Running { .. } => {}
        }
    }

    pub(super) fn refuse_waiting(&mut self) {
        let waiting: Vec<run::Key> =
            self.runs.iter().filter(|(_, run)| !run.takes_room()).map(|(key, _)| key).collect();
        for key in waiting {
            self.refuse(key, Reason::NotAccepting);
        }
    }

    /// Ends the runs that a look shows to be gone.
    pub(super) fn end_unlisted(&mut self, number: u64, listed: &[run::Key], now_us: u64) {
        let gone: Vec<(run::Key, Outcome)> = self
            .runs
            .iter()
            .filter(|(key, _)| !listed.contains(key))
            .filter_map(|(key, run)| match run.state {
                State::Running { look } if look < number => Some((key, Outcome::Lost)),
                State::Stopping { look: Some(look), .. } if look < number => {
                    Some((key, Outcome::Stopped))
                }
                _ => None,
            })
            .collect();
        for (key, outcome) in gone {
            self.end(key, outcome, now_us);
        }
    }
}
