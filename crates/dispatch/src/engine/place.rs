//! Placement: which waiting task goes next, to which upstream, with which limits.

use crate::{
    engine::{Action, Decision, Engine, Reason, Start},
    fair::Pick,
    job::{self, Phase},
    route::{Choice, Dispatch, Upstream},
};

/// A start may wait in a gate's queue for so many times the expected interval between two ends there
/// while the fleet is full: being refused and sent elsewhere would cost two messages and gain little.
const FULL_GAPS: f32 = 2.0;
/// The same for work within its share, which another upstream's kept slot may serve sooner.
const SHARE_GAPS: f32 = 1.0;
/// The same while other upstreams have free slots.
const FREE_GAPS: f32 = 0.4;
/// Part of the fleet's slots that must be free for `FREE_GAPS`, as a divisor.
const FREE_PART: u32 = 10;

impl Engine {
    /// Places waiting tasks while there is an upstream for the next one.
    pub(super) fn pump(&mut self, now_us: u64) {
        let from = self.actions.len();
        while let Some(pick) = self.queue.next(self.fleet.slots()) {
            let Some((choice, reason)) = self.choose(pick, now_us) else {
                self.ask_for_slots(pick, from);
                return;
            };
            self.start(pick, &choice, reason, now_us);
        }
    }

    /// Marks the starts just made: work within its share waits that could not be placed. Lent work
    /// does not ask to be told of free slots, since most of those are kept from it.
    pub(super) fn ask_for_slots(&mut self, pick: Pick, from: usize) {
        if !pick.within_share {
            return;
        }
        for action in &mut self.actions[from..] {
            if let Action::Start(start) = action {
                start.more = true;
            }
        }
    }

    pub(super) fn choose(&mut self, pick: Pick, now_us: u64) -> Option<(Choice, Reason)> {
        if let Some(choice) = self.probe(now_us) {
            return Some((choice, Reason::Probe));
        }
        let reason = if pick.within_share { Reason::Share } else { Reason::Borrowed };
        let lent = self.queue.must_leave_headroom(pick.class, self.fleet.slots());
        let first = self.first(pick.class, now_us);
        let choice = match first.and_then(|(_, row)| row.avoid) {
            Some(upstream) => self.fleet.choose_other(upstream, lent, &mut self.rng),
            None => self.fleet.choose(lent, &mut self.rng),
        };
        if let Some(choice) = choice {
            return Some((choice, reason));
        }
        // Without any start of its own, the entry would not learn of a free slot.
        if self.sent > 0 {
            return None;
        }
        self.fleet.choose_full(&mut self.rng).map(|choice| (choice, Reason::NoneFree))
    }

    /// An ejected upstream whose probe is due.
    pub(super) fn probe(&self, now_us: u64) -> Option<Choice> {
        let due = |upstream: &&Upstream| self.health.allowance(**upstream, 1, now_us) > 0;
        self.ejected.iter().filter(due).find_map(|&upstream| self.fleet.probe(upstream))
    }

    pub(super) fn start(&mut self, pick: Pick, choice: &Choice, reason: Reason, now_us: u64) {
        let class = pick.class;
        let lent = self.queue.must_leave_headroom(class, self.fleet.slots());
        let Some((job, task)) = self.take_waiting(class, now_us) else {
            return;
        };
        let Some(row) = self.jobs.get(job) else {
            return;
        };
        let (accepted_us, deadline_us) = (row.accepted_us, row.deadline_us);
        let payload = row.tasks[usize::from(task)].bytes.clone();
        let cost_us = self.kinds[class].run.all.mean_us();
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
        let left_ms = deadline_us.saturating_sub(now_us) / 1_000;
        let gate_ms = self.gate_wait_ms(upstream, pick.within_share, fleet_free);
        let headroom = self.fleet.get(upstream).map_or(0, |row| row.headroom);
        self.actions.push(Action::Start(Start {
            upstream,
            sequence,
            settled: self.settled(upstream),
            job,
            task,
            kind: self.kinds[class].name.clone(),
            headroom: if lent { headroom } else { 0 },
            more: false,
            wait_ms: gate_ms.min(left_ms as u32),
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

    /// How long a start may wait at an upstream's gate, in milliseconds.
    pub(super) fn gate_wait_ms(&self, upstream: Upstream, within: bool, fleet_free: u32) -> u32 {
        let slots = self.fleet.get(upstream).map_or(1, |row| row.slots.max(1));
        let gap_ms = self.queue_mean_us() / 1_000.0 / f32::from(slots);
        let plenty = fleet_free * FREE_PART > self.fleet.slots();
        let gaps = match (plenty, within) {
            (true, _) => FREE_GAPS,
            (false, true) => SHARE_GAPS,
            (false, false) => FULL_GAPS,
        };
        (gap_ms * gaps) as u32
    }

    /// Mean run time over the kinds, by their starts, in microseconds.
    pub(super) fn queue_mean_us(&self) -> f32 {
        let (mut sum_us, mut starts) = (0.0, 0.0);
        for (kind, class) in self.kinds.iter().zip(&self.queue.classes) {
            let weight = class.outstanding as f32;
            sum_us += weight * kind.run.all.mean_us() as f32;
            starts += weight;
        }
        sum_us / f32::max(starts, 1.0)
    }

    pub(super) fn take_waiting(&mut self, class: usize, now_us: u64) -> Option<(job::Key, u16)> {
        let (job, _) = self.first(class, now_us)?;
        let task = self.jobs.take_waiting(job)?;
        self.remove_waiting(class, 1);
        Some((job, task))
    }
}
