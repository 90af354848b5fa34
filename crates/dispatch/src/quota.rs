//! Rate limit on a team's task starts, divided between the entries.
//!
//! Once a second, each entry publishes its demand in a digest and derives its share of the rate
//! from all published demands, its own included. Entries with the same numbers thus use the whole
//! rate and never more.
//!
//! With `n` entries, the sum of shares exceeds the team's rate
//! - by at most `INITIAL_SHARE_PERCENT / n` of the rate when an entry joins, until its first digest
//!   arrives;
//! - by at most the whole rate when digests are lost in both directions between any entries: shares
//!   rise by `1 / 2n` of the rate per second, and stop when a peer's digest is two seconds old;
//! - up to the rate times the number of sides when a partition outlasts the removal of members.
//!
//! When an entry fails, its share stays unused until it is removed. Beyond the rate, each entry's
//! starts exceed its share by at most one second's worth and one job.

use std::collections::BTreeMap;

/// Part of the rate that is divided equally, in percent, so that an idle entry can start tasks at
/// once.
pub const EQUAL_SHARE_PERCENT: f64 = 10.0;
/// Part of an equal share that a new entry uses until it has received the others' digests, in
/// percent.
pub const INITIAL_SHARE_PERCENT: f64 = 10.0;
/// Age of a peer's digest from which this entry's share may not grow, in microseconds: two digest
/// intervals.
pub const REPORT_FRESH_US: u64 = 2_000_000;
/// Limit on the number of peers; further ones are ignored.
pub const MAX_PEERS: usize = 256;
/// Time that a share takes to grow by an equal share, in seconds.
pub const SHARE_GROWTH_S: f64 = 2.0;
/// Limit on unused starts that accumulate, in seconds of the share.
pub const BURST_S: f64 = 1.0;

const SECOND_US: f64 = 1_000_000.0;
/// Weight of the last second in the smoothed demand.
const DEMAND_SMOOTHING: f64 = 0.5;

/// Decision on a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The job is within the quota; its tasks were deducted.
    Accepted,
    /// The job exceeds the quota.
    Refused {
        /// Time until a retry can succeed, in microseconds, without jitter.
        retry_us: u64,
    },
}

/// Demand that another entry published, and when it was received.
#[derive(Debug)]
struct Peer {
    demand: f64,
    received_us: u64,
}

/// Quota of one team at one entry. It takes about 100 bytes, and 80 bytes per peer.
#[derive(Debug)]
pub struct Quota {
    rate_per_s: f64,
    share_per_s: f64,
    tokens: f64,
    refilled_us: u64,
    created_us: u64,
    requested: u32,
    demand: f64,
    peers: BTreeMap<String, Peer>,
}

impl Quota {
    /// Creates the quota of an entry that starts now, one of `entries` according to its settings.
    ///
    /// A rate of 0 means no limit.
    pub fn new(rate_per_s: u32, entries: usize, now: u64) -> Self {
        let rate = f64::from(rate_per_s);
        let share = rate / entries.max(1) as f64 * INITIAL_SHARE_PERCENT / 100.0;
        Self {
            rate_per_s: rate,
            share_per_s: share,
            tokens: share * BURST_S,
            refilled_us: now,
            created_us: now,
            requested: 0,
            demand: 0.0,
            peers: BTreeMap::new(),
        }
    }

    /// Sets the team's rate from a new document. The share keeps its proportion of the rate.
    pub fn set_rate(&mut self, rate_per_s: u32, now: u64) {
        self.refill(now);
        let rate = f64::from(rate_per_s);
        self.share_per_s = match self.rate_per_s > 0.0 {
            true => self.share_per_s * rate / self.rate_per_s,
            false => rate / (self.peers.len() + 1) as f64,
        };
        self.rate_per_s = rate;
        self.tokens = self.tokens.min(self.max_tokens());
    }

    /// Decides on a whole job.
    ///
    /// Any job is accepted while the token bucket holds a positive amount, even if its tasks make
    /// the balance negative. Jobs of every size thus have the same chance, and none is refused
    /// forever.
    pub fn admit(&mut self, tasks: u32, now: u64) -> Verdict {
        self.requested = self.requested.saturating_add(tasks);
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

    /// Gives back the tokens of an accepted job's tasks that were not started.
    pub fn refund(&mut self, tasks: u32) {
        self.tokens = (self.tokens + f64::from(tasks)).min(self.max_tokens());
    }

    /// Returns the demand to publish, in requested starts per second. The caller calls this once a
    /// second, when it sends the digest.
    pub fn publish_demand(&mut self, now: u64) -> u32 {
        self.refill(now);
        let requested = std::mem::take(&mut self.requested);
        self.demand += (f64::from(requested) - self.demand) * DEMAND_SMOOTHING;
        // The share is computed from the rounded number, because that is what the peers receive.
        self.demand = self.demand.round();
        self.demand as u32
    }

    /// Records a peer's published demand.
    pub fn record_demand(&mut self, peer: &str, demand: u32, now: u64) {
        self.refill(now);
        let demand = f64::from(demand);
        if let Some(existing) = self.peers.get_mut(peer) {
            *existing = Peer { demand, received_us: now };
        } else if self.peers.len() < MAX_PEERS {
            self.peers.insert(peer.to_owned(), Peer { demand, received_us: now });
        }
    }

    /// Removes a peer that is no longer a member.
    pub fn remove_peer(&mut self, peer: &str, now: u64) {
        self.refill(now);
        self.peers.remove(peer);
    }

    /// Returns this entry's current share, in starts per second.
    pub fn share_per_s(&mut self, now: u64) -> f64 {
        self.refill(now);
        self.share_per_s
    }

    /// Returns the capacity of the token bucket.
    fn max_tokens(&self) -> f64 {
        (self.share_per_s * BURST_S).max(1.0)
    }

    /// Returns the share that follows from the published demands.
    fn target_share(&self) -> f64 {
        let count = (self.peers.len() + 1) as f64;
        let total = self.demand + self.peers.values().map(|peer| peer.demand).sum::<f64>();
        if total == 0.0 {
            return self.rate_per_s / count;
        }
        let equal = EQUAL_SHARE_PERCENT / 100.0;
        self.rate_per_s * (equal / count + (1.0 - equal) * self.demand / total)
    }

    /// Updates the share, then adds the tokens of the time since the last call.
    fn refill(&mut self, now: u64) {
        let elapsed_s = now.saturating_sub(self.refilled_us) as f64 / SECOND_US;
        self.refilled_us = self.refilled_us.max(now);
        let target = self.target_share();
        let fresh = |peer: &Peer| now.saturating_sub(peer.received_us) < REPORT_FRESH_US;
        let may_grow = now.saturating_sub(self.created_us) >= REPORT_FRESH_US
            && self.peers.values().all(fresh);
        if target <= self.share_per_s {
            self.share_per_s = target;
        } else if may_grow {
            let equal = self.rate_per_s / (self.peers.len() + 1) as f64;
            let grown = self.share_per_s + equal / SHARE_GROWTH_S * elapsed_s.min(1.0);
            self.share_per_s = grown.min(target);
        }
        self.tokens = (self.tokens + self.share_per_s * elapsed_s).min(self.max_tokens());
    }
}
