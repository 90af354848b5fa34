//! Starts and stops: the queue of starts that wait for capacity, orders to the upstream and their
//! replies.

use super::{
    action::{Effect, Order, Reason, Reply},
    entry::Entry,
    run::{self, Outcome, Run, Start, State},
    Phase, Supervisor, ENTRY_LEASE_US, MAX_FENCE, MAX_ORDER_TIMEOUT_US, MAX_START_TRIES,
    ORDER_TIMEOUT_US, STOP_RETRY_US,
};

impl Supervisor {
    /// Queues or refuses a start that an entry requests. The grant that it names also renews the
    /// entry's lease.
    pub fn start(&mut self, entry: Entry, start: Start, now_us: u64) {
        if !self.record_arrival(entry, start.run) {
            return;
        }
        self.renew(entry, start.grant);
        let refused = if start.grant.saturating_add(ENTRY_LEASE_US) <= now_us {
            Some(Reason::StaleGrant)
        } else if !self.is_accepting() {
            Some(self.refusal_reason())
        } else {
            None
        };
        if let Some(reason) = refused {
            let Start { run, task, .. } = start;
            self.effects.push(Effect::Refused { entry, task, run, reason });
            return;
        }
        self.runs.insert(Run {
            entry,
            number: start.run,
            task: start.task,
            attempt: start.attempt,
            spec: start.spec,
            cores: start.cores,
            memory_mb: start.memory_mb,
            latest_start_us: now_us + start.slack_us,
            started_us: now_us,
            percent: 0,
            percent_at_us: 0,
            state: State::Waiting { until_us: now_us + start.wait_us },
            has_unanswered_start: false,
        });
    }

    /// Stops a run at the request of its entry.
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

    /// Handles the reply to an order, or its absence. `clock_ms` is the time on the upstream's
    /// clock if the reply carried it.
    pub fn replied(
        &mut self,
        key: run::Key,
        order: &Order,
        reply: Reply,
        clock_ms: Option<u64>,
        now_us: u64,
    ) {
        if let Some(clock_ms) = clock_ms {
            self.record_clock(clock_ms, now_us);
        }
        // Other orders under the same token may have been rejected before.
        if reply == Reply::Fence && order.fence() == self.fence {
            self.raise_fence(clock_ms, now_us);
        }
        match order {
            Order::Start { .. } => self.start_replied(key, reply, now_us),
            Order::Stop { task, attempt, .. } => self.stop_replied(key, task, *attempt, reply),
        }
        self.update(now_us);
    }

    /// Handles the reply to a start: records the run as active, tries again, stops or refuses it.
    fn start_replied(&mut self, key: run::Key, reply: Reply, now_us: u64) {
        let last_poll = self.poll_number;
        let Some(run) = self.runs.get_mut(key) else { return };
        let State::Starting { tries } = run.state else { return };
        run.has_unanswered_start |= reply == Reply::Unanswered;
        let has_unanswered_start = run.has_unanswered_start;
        match reply {
            Reply::Done => run.state = State::Running { last_poll },
            // An earlier copy of this start has run and ended; the next poll returns its end.
            Reply::Old if has_unanswered_start => run.state = State::Running { last_poll },
            Reply::Old if tries < MAX_START_TRIES => {
                run.attempt += 1;
                run.state = State::Retrying { tries };
            }
            Reply::Fence | Reply::Late | Reply::Unanswered if tries < MAX_START_TRIES => {
                run.state = State::Retrying { tries };
            }
            Reply::Unanswered => self.stop_run(key, Reason::Unanswered, now_us),
            // An earlier copy of this start may still be carried out.
            _ if has_unanswered_start => self.stop_run(key, Reason::Rejected, now_us),
            _ => self.refuse(key, Reason::Rejected),
        }
        if reply == Reply::Unanswered {
            self.doubt_incarnation(now_us);
            self.poll_now(now_us);
        }
    }

    /// Handles the reply to a stop: a later poll that does not list the run then ends it.
    fn stop_replied(&mut self, key: run::Key, task: &str, attempt: u32, reply: Reply) {
        if reply != Reply::Done {
            return;
        }
        self.unanswered_start_stopped(task, attempt);
        let number = self.poll_number;
        let Some(run) = self.runs.get_mut(key) else { return };
        if let State::Stopping { last_poll, .. } = &mut run.state {
            last_poll.get_or_insert(number);
        }
    }

    /// Raises the fencing token above one that another process has used, and polls again before
    /// anything starts. The clock may be behind that token, if the upstream received it in a call
    /// that was meant for an earlier incarnation; the steps double so that few calls suffice.
    pub(super) fn raise_fence(&mut self, clock_ms: Option<u64>, now_us: u64) {
        self.fence_step = (self.fence_step * 2).clamp(1, MAX_FENCE);
        self.phase = Phase::Unknown;
        if self.fence < MAX_FENCE {
            let raised = self.fence.saturating_add(self.fence_step).min(MAX_FENCE);
            self.fence = raised.max(clock_ms.unwrap_or(0));
            self.poll_now(now_us);
        }
    }

    /// Sends the start orders again that failed, once the incarnation of the upstream is known. In an
    /// evacuated zone they are ended instead.
    pub(super) fn retry_starts(&mut self, now_us: u64) {
        if self.evacuated {
            return self.abandon_retries(now_us);
        }
        if self.in_doubt || self.phase != Phase::Known {
            return;
        }
        let retrying: Vec<(run::Key, u32)> = self
            .runs
            .iter()
            .filter_map(|(key, run)| match run.state {
                State::Retrying { tries } => Some((key, tries)),
                _ => None,
            })
            .collect();
        for (key, tries) in retrying {
            self.send_start(key, tries + 1, now_us);
        }
    }

    /// Starts waiting runs in order of urgency until one does not fit. A run whose task already has
    /// an active run is passed over.
    pub(super) fn start_waiting(&mut self, now_us: u64) {
        if !self.is_accepting() || self.in_doubt {
            return;
        }
        let mut waiting: Vec<(u64, u64, run::Key)> = self
            .runs
            .iter()
            .filter(|(_, run)| !run.uses_capacity())
            .map(|(key, run)| (run.latest_start_us, run.number, key))
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

    /// Returns whether the upstream has free capacity for a run.
    fn fits(&self, key: run::Key) -> bool {
        let Some(profile) = &self.profile else { return false };
        let active = self.runs.values().filter(|run| run.uses_capacity());
        let (cores, memory) = active.fold((0_u64, 0_u64), |(cores, memory), run| {
            (cores + u64::from(run.cores), memory + u64::from(run.memory_mb))
        });
        let run = &self.runs[key];
        cores + u64::from(run.cores) <= u64::from(profile.cores)
            && memory + u64::from(run.memory_mb) <= u64::from(profile.memory_mb)
    }

    /// Returns whether another run of the same task uses capacity, such as one that is being
    /// stopped.
    fn is_running_already(&self, key: run::Key) -> bool {
        let task = &self.runs[key].task;
        self.runs.values().any(|run| run.uses_capacity() && run.task == *task)
    }

    /// Sends a start, which also renews the sidecar's lease at the upstream. Does nothing if the lease
    /// cannot be renewed and is about to expire.
    fn send_start(&mut self, key: run::Key, tries: u32, now_us: u64) {
        let Some(deadline_ms) = self.start_deadline_ms(now_us) else { return };
        let Some(run) = self.runs.get_mut(key) else { return };
        run.state = State::Starting { tries };
        let order = Order::Start {
            task: run.task.clone(),
            attempt: run.attempt,
            spec: run.spec.clone(),
            deadline_ms,
            fence: self.fence,
        };
        let timeout_us = (ORDER_TIMEOUT_US << (tries - 1)).min(MAX_ORDER_TIMEOUT_US);
        self.effects.push(Effect::Order { key, order, timeout_us });
    }

    /// Stops a run, or refuses it if its start has not been sent.
    pub(super) fn stop_run(&mut self, key: run::Key, reason: Reason, now_us: u64) {
        let Some(run) = self.runs.get(key) else { return };
        match run.state {
            State::Waiting { .. } => self.refuse(key, reason),
            State::Retrying { .. } if !run.has_unanswered_start => self.refuse(key, reason),
            State::Starting { .. } | State::Retrying { .. } | State::Running { .. } => {
                self.send_stop(key, None, now_us);
            }
            State::Stopping { .. } => {}
        }
    }

    /// Sends a stop. `last_poll` is set if an earlier stop has been answered.
    pub(super) fn send_stop(&mut self, key: run::Key, last_poll: Option<u64>, now_us: u64) {
        let Some(run) = self.runs.get_mut(key) else { return };
        run.has_unanswered_start = run.may_start_late();
        run.state = State::Stopping { sent_us: now_us, last_poll };
        let order = Order::Stop { task: run.task.clone(), attempt: run.attempt, fence: self.fence };
        self.effects.push(Effect::Order { key, order, timeout_us: STOP_RETRY_US });
    }

    /// Refuses a start that has waited its longest time, or repeats a stop that has timed out.
    pub(super) fn handle_due_run(&mut self, key: run::Key, now_us: u64) {
        let Some(run) = self.runs.get(key) else { return };
        match run.state {
            State::Waiting { .. } => self.refuse(key, Reason::NoRoom),
            State::Stopping { last_poll, .. } => self.send_stop(key, last_poll, now_us),
            State::Starting { .. } | State::Retrying { .. } | State::Running { .. } => {}
        }
    }

    /// Refuses all starts that wait for capacity.
    pub(super) fn refuse_waiting(&mut self) {
        let waiting: Vec<run::Key> =
            self.runs.iter().filter(|(_, run)| !run.uses_capacity()).map(|(key, _)| key).collect();
        for key in waiting {
            self.refuse(key, self.refusal_reason());
        }
    }

    /// Ends the runs that the answer to a poll does not list, if the poll was sent after the
    /// upstream had confirmed their start or stop, or after the lease had expired.
    pub(super) fn end_unlisted(&mut self, number: u64, listed: &[run::Key], now_us: u64) {
        let has_expired = |run: &Run| run.has_expired(self.lease_end_us, self.poll_sent_us);
        let ended: Vec<(run::Key, Outcome)> = self
            .runs
            .iter()
            .filter(|(key, _)| !listed.contains(key))
            .filter_map(|(key, run)| match run.state {
                State::Stopping { last_poll: None, .. } if has_expired(run) => {
                    Some((key, Outcome::Lost))
                }
                State::Running { last_poll } if last_poll < number => Some((key, Outcome::Lost)),
                State::Stopping { last_poll: Some(last_poll), .. } if last_poll < number => {
                    Some((key, Outcome::Stopped))
                }
                _ => None,
            })
            .collect();
        for (key, outcome) in ended {
            self.end_run(key, outcome, now_us);
        }
    }
}
