//! Selection of the kind whose waiting task starts next.
//!
//! Kinds that use fewer slots than their guaranteed share go first, ordered by urgency. Slots that
//! these leave are borrowed by the kind that has received the least slot time relative to its share
//! (start-time fair queueing).

use crate::document::Urgency;

/// Bound on how far a kind's virtual time may run ahead of the queue's, in microseconds of slot
/// time per percent of share. It limits how long a kind is set back for having used capacity that
/// no other kind wanted.
const MAX_LEAD_US: f64 = 2_000_000.0;

/// Use beyond the share, in percent of the slots, up to which a kind may still use the slots that
/// are reserved from borrowed work. Random variation alone takes a kind that far; only a flood
/// exceeds it.
const SLACK_PERCENT: u32 = 10;

/// Share and use of one kind.
#[derive(Debug, Clone)]
pub struct Class {
    /// Urgency, which orders kinds that are within their share.
    pub urgency: Urgency,
    /// Guaranteed share of the slots, in percent.
    pub share_percent: u8,
    /// Number of tasks waiting at this entry.
    pub waiting: u32,
    /// Number of starts of this entry without an outcome.
    pub outstanding: u32,
    virtual_us: f64,
}

/// Kind selected to start a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pick {
    /// Index of the kind.
    pub class: usize,
    /// True if the kind is within its guaranteed share; otherwise it borrows the slot.
    pub within_share: bool,
}

/// Shares and use of all kinds.
#[derive(Debug, Default)]
pub struct Queue {
    /// Share and use of each kind.
    pub classes: Vec<Class>,
    /// Number of tasks of other entries by kind, as last reported.
    pub remote: Vec<u32>,
    virtual_time_us: f64,
}

impl Class {
    /// Creates a kind without work.
    pub fn new(urgency: Urgency, share_percent: u8) -> Self {
        Self { urgency, share_percent, waiting: 0, outstanding: 0, virtual_us: 0.0 }
    }

    fn weight(&self) -> f64 {
        f64::from(self.share_percent.max(1))
    }
}

impl Queue {
    /// Adds a kind and returns its index.
    pub fn add(&mut self, class: Class) -> usize {
        self.classes.push(class);
        self.remote.push(0);
        self.classes.len() - 1
    }

    /// Returns true if one more task of the kind is still within its share of this many slots.
    pub fn is_within_share(&self, class: usize, slots: u32) -> bool {
        let guaranteed = slots * u32::from(self.classes[class].share_percent);
        (self.classes[class].outstanding + self.remote[class]) * 100 < guaranteed
    }

    /// Returns true if one more task of the kind must leave the headroom free.
    pub fn must_leave_headroom(&self, class: usize, slots: u32) -> bool {
        let percent = u32::from(self.classes[class].share_percent) + SLACK_PERCENT;
        (self.classes[class].outstanding + self.remote[class]) * 100 >= slots * percent
    }

    /// Returns the kind whose task should start next on a fleet with this many slots.
    pub fn next(&self, slots: u32) -> Option<Pick> {
        let mut best: Option<(Pick, &Class)> = None;
        for (index, class) in self.classes.iter().enumerate() {
            if class.waiting == 0 {
                continue;
            }
            let pick = Pick { class: index, within_share: self.is_within_share(index, slots) };
            let better =
                best.is_none_or(|(other_pick, other)| precedes(pick, class, other_pick, other));
            if better {
                best = Some((pick, class));
            }
        }
        best.map(|(pick, _)| pick)
    }

    /// Charges a kind for a start with this expected slot time.
    pub fn charge(&mut self, class: usize, cost_us: u32) {
        let virtual_time_us = self.virtual_time_us;
        let class = &mut self.classes[class];
        let start_us = class.virtual_us.clamp(virtual_time_us, virtual_time_us + MAX_LEAD_US);
        class.virtual_us = start_us + f64::from(cost_us) / class.weight();
        self.advance_virtual_time();
    }

    /// Replaces a charge by the measured slot time.
    pub fn correct(&mut self, class: usize, charged_us: u32, run_us: u32) {
        let class = &mut self.classes[class];
        let error_us = f64::from(run_us) - f64::from(charged_us);
        class.virtual_us += error_us / class.weight();
    }

    /// Advances the queue's virtual time to the least among the kinds with waiting tasks.
    fn advance_virtual_time(&mut self) {
        let waiting = self.classes.iter().filter(|class| class.waiting > 0);
        let least_us = waiting.map(|class| class.virtual_us).reduce(f64::min);
        if let Some(least_us) = least_us {
            self.virtual_time_us = self.virtual_time_us.max(least_us);
        }
    }
}

fn precedes(pick: Pick, class: &Class, other_pick: Pick, other: &Class) -> bool {
    if pick.within_share != other_pick.within_share {
        return pick.within_share;
    }
    if pick.within_share && class.urgency != other.urgency {
        return class.urgency > other.urgency;
    }
    class.virtual_us < other.virtual_us
}
