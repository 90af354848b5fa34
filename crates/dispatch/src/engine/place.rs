//! Placement: selects the next waiting task, its upstream and the limits of its start.

use crate::{
    engine::{Action, Decision, Engine, Reason, Start},
    fair::Pick,
    job::{self, Phase},
    route::{Choice, Dispatch, Upstream},
};

/// Maximum wait of a start in a gate's queue while the fleet is full, as a multiple of the expected
/// interval between two task completions there. Being refused and sent to another upstream instead
/// would cost two messages and gain little.
const FULL_INTERVALS: f32 = 2.0;
/// Like `FULL_INTERVALS`, for work within its share, which may start sooner in a reserved slot of
/// another upstream.
const SHARE_INTERVALS: f32 = 1.0;
/// Like `FULL_INTERVALS`, while other upstreams have enough free slots.
const FREE_INTERVALS: f32 = 0.4;
/// Divisor of the fleet's slots. `FREE_INTERVALS` applies if more than this part is free.
const FREE_DIVISOR: u32 = 10;

impl Engine {
    /// Sends waiting tasks as long as there is an upstream for the next one.
    pub(super) fn dispatch_waiting(&mut self, now_us: u64) {
        let first_action = self.actions.len();
        while let Some(pick) = self.queue.next(self.fleet.slots()) {
            let Some((choice, reason)) = self.choose(pick, now_us) else {
                self.request_slot_reports(pick, first_action);
                return;
            };
            self.start(pick, &choice, reason, now_us);
        }
    }

    /// Marks the new starts if work within its share could not be placed, so that their sidecars
    /// report free slots. Borrowed work does not request such reports, since it may not use most of
    /// those slots.
    pub(super) fn request_slot_reports(&mut self, pick: Pick, first_action: usize) {
        if !pick.within_share {
            return;
        }
        for action in &mut self.actions[first_action..] {
            if let Action::Start(start) = action {
                start.more = true;
            }
        }
    }

    /// Selects the upstream for the next task of a kind. Probes that are due go first.
    pub(super) fn choose(&mut self, pick: Pick, now_us: u64) -> Option<(Choice, Reason)> {
        if let Some(choice) = self.probe(now_us) {
            return Some((choice, Reason::Probe));
        }
        let reason = if pick.within_share { Reason::Share } else { Reason::Borrowed };
        let leaves_headroom = self.queue.must_leave_headroom(pick.class, self.fleet.slots());
        let next = self.next_job(pick.class, now_us);
        let choice = match next.and_then(|(_, row)| row.avoid) {
            Some(upstream) => self.fleet.choose_other(upstream, leaves_headroom, &mut self.rng),
            None => self.fleet.choose(leaves_headroom, &mut self.rng),
        };
        if let Some(choice) = choice {
            return Some((choice, reason));
        }
        // Without a start in flight, the entry would never be notified of a free slot.
        if self.sent > 0 {
            return None;
        }
        self.fleet.choose_any(&mut self.rng).map(|choice| (choice, Reason::NoneFree))
    }

    /// Selects an ejected upstream for which a probe is due.
    pub(super) fn probe(&self, now_us: u64) -> Option<Choice> {
        let due = |upstream: &&Upstream| self.health.allowance(**upstream, 1, now_us) > 0;
        self.ejected.iter().filter(due).find_map(|&upstream| self.fleet.choose_probe(upstream))
    }

    /// Sends the next task of a kind to the selected upstream.
    pub(super) fn start(&mut self, pick: Pick, choice: &Choice, reason: Reason, now_us: u64) {
        let class = pick.class;
        let leaves_headroom = self.queue.must_leave_headroom(class, self.fleet.slots());
        let Some((job, task)) = self.take_waiting(class, now_us) else {
            return;
        };
        let Some(row) = self.jobs.get(job) else {
            return;
        };
        let (accepted_us, deadline_us) = (row.accepted_us, row.deadline_us);
        let payload = row.tasks[usize::from(task)].bytes.clone();
        let cost_us = self.kinds[class].durations.all.mean_us();
        self.queue.charge(class, cost_us);
        let kind = &mut self.kinds[class];
        kind.starts.record(now_us);
        if let Some(backlog) = &mut kind.backlog {
            backlog.starts.record(now_us);
            backlog.count += 1;
        }
        let upstream = choice.upstream;
        let fleet_free = self.fleet.free();
        let dispatch = Dispatch {
            sequence: 0,
            job,
            task,
            class: class as u16,
            sent_us: now_us,
            charged_us: cost_us,
        };
        let sequence = self.fleet.start(upstream, dispatch);
        self.sent += 1;
        self.queue.classes[class].outstanding += 1;
        if let Some(row) = self.jobs.get_mut(job) {
            row.tasks[usize::from(task)].phase = Phase::Sent { upstream, sequence };
            row.sent += 1;
        }
        let remaining_ms = deadline_us.saturating_sub(now_us) / 1_000;
        let gate_ms = self.gate_wait_ms(upstream, pick.within_share, fleet_free);
        let headroom = self.fleet.get(upstream).map_or(0, |row| row.headroom);
        self.actions.push(Action::Start(Start {
            upstream,
            sequence,
            settled: self.settled(upstream),
            job,
            task,
            kind: self.kinds[class].name.clone(),
            headroom: if leaves_headroom { headroom } else { 0 },
            more: false,
            wait_ms: gate_ms.min(remaining_ms as u32),
            payload,
        }));
        self.actions.push(Action::Decision(Decision {
            job,
            task,
            class: class as u16,
            reason,
            choice: *choice,
            fleet_free,
            waiting: self.queue.classes[class].waiting,
            waited_us: now_us.saturating_sub(accepted_us),
        }));
    }

    /// Returns how long a start may wait in an upstream's gate, in milliseconds.
    pub(super) fn gate_wait_ms(&self, upstream: Upstream, within: bool, fleet_free: u32) -> u32 {
        let slots = self.fleet.get(upstream).map_or(1, |row| row.slots.max(1));
        let interval_ms = self.mean_run_us() / 1_000.0 / f32::from(slots);
        let many_free = fleet_free * FREE_DIVISOR > self.fleet.slots();
        let intervals = match (many_free, within) {
            (true, _) => FREE_INTERVALS,
            (false, true) => SHARE_INTERVALS,
            (false, false) => FULL_INTERVALS,
        };
        (interval_ms * intervals) as u32
    }

    /// Returns the mean run time over all kinds, weighted by their starts in flight, in
    /// microseconds.
    pub(super) fn mean_run_us(&self) -> f32 {
        let (mut sum_us, mut starts) = (0.0, 0.0);
        for (kind, class) in self.kinds.iter().zip(&self.queue.classes) {
            let weight = class.outstanding as f32;
            sum_us += weight * kind.durations.all.mean_us() as f32;
            starts += weight;
        }
        sum_us / f32::max(starts, 1.0)
    }

    /// Removes the next task of a kind from the waiting ones.
    pub(super) fn take_waiting(&mut self, class: usize, now_us: u64) -> Option<(job::Key, u16)> {
        let (job, _) = self.next_job(class, now_us)?;
        let task = self.jobs.take_waiting(job)?;
        self.remove_waiting(class, 1);
        Some((job, task))
    }
}
