//! Schedule of a sidecar's announcements to entries.

use std::collections::BTreeMap;

use super::{Contact, Members, MAX_INTERVAL_US, MIN_INTERVAL_US, REMOVE_INTERVALS};

/// Time after which an unanswered announcement is sent again, in microseconds; longer than a round
/// trip between regions.
pub const RETRY_US: u64 = 250_000;
/// Maximum number of retries within one interval.
///
/// Three intervals then contain at least nine attempts. At 30% loss each way, the probability that
/// an entry receives none of them is 0.00002, and that the sidecar receives no answer is 0.0023.
/// With a single attempt per interval these would be 0.03 and 0.13.
pub const MAX_RETRIES: u32 = 3;

/// An announcement that is due.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Due {
    /// Name of the entry.
    pub entry: String,
    /// Address of the entry, as text.
    pub address: String,
    /// Sequence number of the announcement.
    pub sequence: u64,
}

/// Schedule of a sidecar's announcements, with a target for each entry that receives them.
#[derive(Debug, Default)]
pub struct Announcer {
    targets: BTreeMap<String, Target>,
    sequence: u64,
}

#[derive(Debug)]
struct Target {
    address: String,
    interval_us: u64,
    /// Time at which the current interval ends.
    next: u64,
    /// Time of the next retry within the interval.
    retry_at: Option<u64>,
    retries: u32,
    /// Number of intervals since the last answer.
    unanswered: u64,
}

impl Announcer {
    /// Creates an empty schedule.
    pub fn new() -> Self {
        Self::default()
    }

    /// Updates the targets from the membership table.
    ///
    /// The first announcement to a new target is due at a random time within one interval, because
    /// otherwise all sidecars that learn of an entry at once would flood it.
    pub fn sync(&mut self, members: &Members, now: u64, rng: &mut fastrand::Rng) {
        let subset = members.subset();
        self.targets.retain(|name, _| subset.contains(&name.as_str()));
        for Contact { name, address, .. } in members.contacts() {
            if !subset.contains(&name.as_str()) {
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
                retry_at: None,
                retries: 0,
                unanswered: 0,
            };
            self.targets.insert(name.clone(), target);
        }
    }

    /// Returns the announcements to send now.
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

    /// Handles an entry's answer, which ends the retries and requests an interval.
    pub fn handle_answer(&mut self, entry: &str, interval_us: u64) {
        if let Some(target) = self.targets.get_mut(entry) {
            target.interval_us = interval_us.clamp(MIN_INTERVAL_US, MAX_INTERVAL_US);
            target.retry_at = None;
            target.unanswered = 0;
        }
    }

    /// Makes an announcement to every target due now, because its contents have changed.
    pub fn announce_now(&mut self, now: u64) {
        self.targets.values_mut().for_each(|target| target.next = now);
    }

    /// Returns the time at which the next announcement is due; `None` if there are no targets.
    pub fn next_due(&self) -> Option<u64> {
        let next = |target: &Target| target.retry_at.map_or(target.next, |at| at.min(target.next));
        self.targets.values().map(next).min()
    }
}

impl Target {
    /// Returns true if an announcement is due, and then sets the time of the next.
    fn advance(&mut self, now: u64, rng: &mut fastrand::Rng) -> bool {
        if now >= self.next {
            let jitter = rng.u64(0..self.interval_us / 10);
            self.next = now + self.interval_us - jitter;
            self.unanswered += 1;
            self.retries = 0;
            // An entry that has not answered for this long is probably dead, so it gets no retries.
            let retry = self.unanswered <= REMOVE_INTERVALS;
            self.retry_at = retry.then_some(now + RETRY_US);
            return true;
        }
        if self.retry_at.is_none_or(|at| now < at) {
            return false;
        }
        self.retries += 1;
        self.retry_at = (self.retries < MAX_RETRIES).then_some(now + RETRY_US);
        true
    }
}
