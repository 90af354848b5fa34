//! When a sidecar announces itself, and to which entries.

use std::collections::BTreeMap;

use super::{Contact, Members, MAX_INTERVAL_US, MIN_INTERVAL_US, REMOVE_INTERVALS};

/// Time after which an announcement without an answer is repeated, in microseconds; longer than a
/// round trip between regions.
pub const RETRY_US: u64 = 250_000;
/// Repetitions within one interval.
///
/// Three intervals then hold at least nine attempts. At 30% loss each way an entry hears none of
/// them with a probability of 0.00002, and a sidecar gets no answer with one of 0.0023; with single
/// attempts these would be 0.03 and 0.13.
pub const MAX_RETRIES: u32 = 3;

/// An announcement that is due.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Due {
    /// Name of the entry.
    pub entry: String,
    /// Its address, as text.
    pub address: String,
    /// Sequence that the announcement carries.
    pub sequence: u64,
}

/// Schedule of a sidecar's announcements; one row for each entry that it announces itself to.
#[derive(Debug, Default)]
pub struct Announcer {
    targets: BTreeMap<String, Target>,
    sequence: u64,
}

#[derive(Debug)]
struct Target {
    address: String,
    interval_us: u64,
    /// When the present interval ends.
    next: u64,
    /// When to repeat within the interval.
    repeat: Option<u64>,
    repeats: u32,
    unanswered: u64,
}

impl Announcer {
    /// Makes an empty schedule.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the entries to announce to from the table. New ones are due at random within one
    /// interval, so that an entry that all learn of at once is not flooded.
    pub fn sync(&mut self, members: &Members, now: u64, rng: &mut fastrand::Rng) {
        let chosen = members.subset();
        self.targets.retain(|name, _| chosen.contains(&name.as_str()));
        for Contact { name, address, .. } in members.contacts() {
            if !chosen.contains(&name.as_str()) {
                continue;
            }
            if let Some(target) = self.targets.get_mut(name) {
                address.clone_into(&mut target.address);
                continue;
            }
            let target = Target {
                address: address.clone(),
                interval_us: MIN_INTERVAL_US,
                next: now + rng.u64(0..MIN_INTERVAL_US),
                repeat: None,
                repeats: 0,
                unanswered: 0,
            };
            self.targets.insert(name.clone(), target);
        }
    }

    /// Announcements to send now.
    pub fn due(&mut self, now: u64, rng: &mut fastrand::Rng) -> Vec<Due> {
        let mut due = Vec::new();
        for (entry, target) in &mut self.targets {
            if !target.advance(now, rng) {
                continue;
            }
            self.sequence += 1;
            let (entry, address) = (entry.clone(), target.address.clone());
            due.push(Due { entry, address, sequence: self.sequence });
        }
        due
    }

    /// Takes an entry's answer: no repetition is needed, and it asks for this interval.
    pub fn handle_answer(&mut self, entry: &str, interval_us: u64) {
        if let Some(target) = self.targets.get_mut(entry) {
            target.interval_us = interval_us.clamp(MIN_INTERVAL_US, MAX_INTERVAL_US);
            target.repeat = None;
            target.unanswered = 0;
        }
    }

    /// Makes an announcement to every entry due now, because its contents have changed.
    pub fn announce_now(&mut self, now: u64) {
        self.targets.values_mut().for_each(|target| target.next = now);
    }

    /// When the next announcement is due; `None` if there are no entries.
    pub fn next_due(&self) -> Option<u64> {
        let next = |target: &Target| target.repeat.map_or(target.next, |at| at.min(target.next));
        self.targets.values().map(next).min()
    }
}

impl Target {
    /// True if an announcement is due; sets the time of the next.
    fn advance(&mut self, now: u64, rng: &mut fastrand::Rng) -> bool {
        if now >= self.next {
            let jitter = rng.u64(0..self.interval_us / 10);
            self.next = now + self.interval_us - jitter;
            self.unanswered += 1;
            self.repeats = 0;
            // An entry that has not answered for long is probably gone; it is not repeated to.
            let repeat = self.unanswered <= REMOVE_INTERVALS;
            self.repeat = repeat.then_some(now + RETRY_US);
            return true;
        }
        if self.repeat.is_none_or(|at| now < at) {
            return false;
        }
        self.repeats += 1;
        self.repeat = (self.repeats < MAX_RETRIES).then_some(now + RETRY_US);
        true
    }
}
