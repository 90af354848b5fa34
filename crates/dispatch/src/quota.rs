//! A team's rate of task starts, divided between the entries.
//!
//! Entries tell each other once a second what was asked of them. Each takes its share by these
//! published numbers, its own included, so that entries with the same numbers take the whole rate
//! between them and no more.
//!
//! With `n` entries, the sum of shares exceeds the team's rate
//! - by at most `START_PERCENT / n` of the rate when an entry joins, until its first digest arrives;
//! - by at most the whole rate when digests are lost both ways between any entries: shares rise at
//!   `1 / 2n` of the rate a second, and stop rising when a peer's digest is two seconds old;
//! - up to the rate times the number of sides when a partition outlasts the removal of members.
//!
//! When an entry dies its share stays unused until it is removed. Beyond the rate, each entry's
//! starts exceed its share by at most one second's worth and one job.

use std::collections::BTreeMap;

/// Part of the rate that is divided equally, in percent, so that an entry that was idle can start.
pub const EQUAL_PERCENT: f64 = 10.0;
/// Part of an equal share that a new entry takes until it has heard from the others, in percent.
pub const START_PERCENT: f64 = 10.0;
/// Age from which a peer's report does not permit a larger share, in microseconds: two digests.
pub const FRESH_US: u64 = 2_000_000;
/// Most peers that are counted; further ones are ignored.
pub const PEERS: usize = 256;
/// Seconds that a share takes to grow by an equal share.
pub const GROWTH_S: f64 = 2.0;
/// Bound of unused starts that are saved up, in seconds of the share.
pub const BURST_S: f64 = 1.0;

const SECOND_US: f64 = 1_000_000.0;
/// Weight of the last second in the published demand.
const SMOOTHING: f64 = 0.5;

/// Whether a job is within the quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It is; its tasks are counted.
    Accepted,
    /// It is not.
    Refused {
        /// When another attempt can succeed, in microseconds from now; the caller adds jitter.
        retry_us: u64,
    },
}

#[derive(Debug)]
struct Peer {
    asked: f64,
    heard: u64,
}

/// One team's quota at one entry; about 100 bytes and 80 for each peer.
#[derive(Debug)]
pub struct Quota {
    rate_per_s: f64,
    share_per_s: f64,
    tokens: f64,
    counted: u64,
    opened: u64,
    asked: u32,
    demand: f64,
    peers: BTreeMap<String, Peer>,
}

impl Quota {
    /// Makes the quota of an entry that starts now, one of `entries` by its settings.
    ///
    /// A rate of 0 means no limit.
    pub fn new(rate_per_s: u32, entries: usize, now: u64) -> Self {
        let rate = f64::from(rate_per_s);
        let share = rate / entries.max(1) as f64 * START_PERCENT / 100.0;
        Self {
            rate_per_s: rate,
            share_per_s: share,
            tokens: share * BURST_S,
            counted: now,
            opened: now,
            asked: 0,
            demand: 0.0,
            peers: BTreeMap::new(),
        }
    }

    /// Sets the team's rate from a new document; the share keeps its proportion.
    pub fn set_rate(&mut self, rate_per_s: u32, now: u64) {
        self.refill(now);
        let rate = f64::from(rate_per_s);
        self.share_per_s = match self.rate_per_s > 0.0 {
            true => self.share_per_s * rate / self.rate_per_s,
            false => rate / (self.peers.len() + 1) as f64,
        };
        self.rate_per_s = rate;
        self.tokens = self.tokens.min(self.burst());
    }

    /// Decides on a whole job.
    ///
    /// Any job is accepted while the bucket is not in debt, and its tasks then are the debt. Every
    /// size of job has the same chance, and none is refused for ever.
    pub fn admit(&mut self, tasks: u32, now: u64) -> Verdict {
        self.asked = self.asked.saturating_add(tasks);
        if self.rate_per_s == 0.0 {
            return Verdict::Accepted;
        }
        self.refill(now);
        if self.tokens > 0.0 {
            self.tokens -= f64::from(tasks);
            return Verdict::Accepted;
        }
        let wait_s = (-self.tokens + 1.0) / self.share_per_s.max(f64::MIN_POSITIVE);
        Verdict::Refused { retry_us: (wait_s.min(3_600.0) * SECOND_US) as u64 }
    }

    /// Returns an accepted job's tasks that were not started after all.
    pub fn refund(&mut self, tasks: u32) {
        self.tokens = (self.tokens + f64::from(tasks)).min(self.burst());
    }

    /// Demand to publish, in starts asked for in a second. To be called once a second, when the
    /// digest is sent.
    pub fn publish_demand(&mut self, now: u64) -> u32 {
        self.refill(now);
        let asked = std::mem::take(&mut self.asked);
        self.demand += (f64::from(asked) - self.demand) * SMOOTHING;
        // The share goes by the rounded number, as the peers see it.
        self.demand = self.demand.round();
        self.demand as u32
    }

    /// Takes a peer's published demand.
    pub fn record_demand(&mut self, peer: &str, asked: u32, now: u64) {
        self.refill(now);
        let asked = f64::from(asked);
        if let Some(known) = self.peers.get_mut(peer) {
            *known = Peer { asked, heard: now };
        } else if self.peers.len() < PEERS {
            self.peers.insert(peer.to_owned(), Peer { asked, heard: now });
        }
    }

    /// Removes a peer that is no longer a member.
    pub fn remove_peer(&mut self, peer: &str, now: u64) {
        self.refill(now);
        self.peers.remove(peer);
    }

    /// This entry's share at present, in starts a second.
    pub fn share_per_s(&mut self, now: u64) -> f64 {
        self.refill(now);
        self.share_per_s
    }

    fn burst(&self) -> f64 {
        (self.share_per_s * BURST_S).max(1.0)
    }

    /// Share by the published numbers.
    fn target(&self) -> f64 {
        let count = (self.peers.len() + 1) as f64;
        let total = self.demand + self.peers.values().map(|peer| peer.asked).sum::<f64>();
        if total == 0.0 {
            return self.rate_per_s / count;
        }
        let equal = EQUAL_PERCENT / 100.0;
        self.rate_per_s * (equal / count + (1.0 - equal) * self.demand / total)
    }

    fn refill(&mut self, now: u64) {
        let elapsed_s = now.saturating_sub(self.counted) as f64 / SECOND_US;
        self.counted = self.counted.max(now);
        let target = self.target();
        let fresh = |peer: &Peer| now.saturating_sub(peer.heard) < FRESH_US;
        let may_grow =
            now.saturating_sub(self.opened) >= FRESH_US && self.peers.values().all(fresh);
        if target <= self.share_per_s {
            self.share_per_s = target;
        } else if may_grow {
            let equal = self.rate_per_s / (self.peers.len() + 1) as f64;
            let grown = self.share_per_s + equal / GROWTH_S * elapsed_s.min(1.0);
            self.share_per_s = grown.min(target);
        }
        self.tokens = (self.tokens + self.share_per_s * elapsed_s).min(self.burst());
    }
}
