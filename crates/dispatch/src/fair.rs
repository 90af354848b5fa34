//! Which kind's waiting task is next.
//!
//! Kinds that run on fewer slots than their guaranteed share go first, the most urgent first. What
//! they leave is lent to the kind that has received the least slot time for its share (start-time
//! fair queueing).

use crate::document::Urgency;

/// Bound on how far a kind's virtual time may run ahead of the clock, in microseconds of slot time
/// per percent of share. It limits how long a kind pays for capacity that nobody else wanted.
const AHEAD_LIMIT_US: f64 = 2_000_000.0;

/// Use beyond the share, in percent of the slots, up to which a kind may also take the slots that
/// are kept from lent work. Random variation alone takes a kind that far; only a flood goes beyond.
const SLACK_PERCENT: u32 = 10;

/// Share and use of one kind.
#[derive(Debug, Clone)]
pub struct Class {
    /// Urgency within the share.
    pub urgency: Urgency,
    /// Guaranteed share of the slots, in percent.
    pub share_percent: u8,
    /// Tasks waiting at this entry.
    pub waiting: u32,
    /// Starts of this entry that have no outcome yet.
    pub outstanding: u32,
    virtual_us: f64,
}

/// The next kind to be served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pick {
    /// Index of the kind.
    pub class: usize,
    /// The kind is within its guaranteed share; otherwise the slot is lent.
    pub within_share: bool,
}

/// Shares and use of all kinds.
#[derive(Debug, Default)]
pub struct Queue {
    /// The kinds.
    pub classes: Vec<Class>,
    /// Tasks of other entries by kind, as last reported.
    pub remote: Vec<u32>,
    clock_us: f64,
}

impl Class {
    /// A kind without work.
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

    /// True if one more task of the kind would still be within its share of so many slots.
    pub fn is_within_share(&self, class: usize, slots: u32) -> bool {
        let guaranteed = slots * u32::from(self.classes[class].share_percent);
        (self.classes[class].outstanding + self.remote[class]) * 100 < guaranteed
    }

    /// True if one more task of the kind must leave the headroom free.
    pub fn must_leave_headroom(&self, class: usize, slots: u32) -> bool {
        let percent = u32::from(self.classes[class].share_percent) + SLACK_PERCENT;
        (self.classes[class].outstanding + self.remote[class]) * 100 >= slots * percent
    }

    /// The kind whose task should start next on a fleet of so many slots.
    pub fn next(&self, slots: u32) -> Option<Pick> {
        let mut best: Option<(Pick, &Class)> = None;
        for (index, class) in self.classes.iter().enumerate() {
            if class.waiting == 0 {
                continue;
            }
            let pick = Pick { class: index, within_share: self.is_within_share(index, slots) };
            let better = best.is_none_or(|(old, other)| goes_before(pick, class, old, other));
            if better {
                best = Some((pick, class));
            }
        }
        best.map(|(pick, _)| pick)
    }

    /// Charges a kind for a start that is expected to take so much slot time.
    pub fn charge(&mut self, class: usize, cost_us: u32) {
        let clock_us = self.clock_us;
        let class = &mut self.classes[class];
        let start_us = class.virtual_us.clamp(clock_us, clock_us + AHEAD_LIMIT_US);
        class.virtual_us = start_us + f64::from(cost_us) / class.weight();
        self.advance();
    }

    /// Corrects a charge once the slot time is known.
    pub fn correct(&mut self, class: usize, charged_us: u32, run_us: u32) {
        let class = &mut self.classes[class];
        let error_us = f64::from(run_us) - f64::from(charged_us);
        class.virtual_us += error_us / class.weight();
    }

    /// The clock is the least virtual time among kinds that want service.
    fn advance(&mut self) {
        let waiting = self.classes.iter().filter(|class| class.waiting > 0);
        let least_us = waiting.map(|class| class.virtual_us).reduce(f64::min);
        if let Some(least_us) = least_us {
            self.clock_us = self.clock_us.max(least_us);
        }
    }
}

fn goes_before(pick: Pick, class: &Class, old: Pick, other: &Class) -> bool {
    if pick.within_share != old.within_share {
        return pick.within_share;
    }
    if pick.within_share && class.urgency != other.urgency {
        return class.urgency > other.urgency;
    }
    class.virtual_us < other.virtual_us
}
