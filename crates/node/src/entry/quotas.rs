//! Quotas of teams at this entry, and the demand that entries publish to each other.

use std::collections::{BTreeMap, BTreeSet};

use kingcup_dispatch::{
    document::Document,
    quota::{Quota, Verdict},
};
use rustc_hash::FxHashMap;

/// Microseconds in a millisecond.
const MS_US: u64 = 1_000;

/// Published demand of a team.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Demand {
    /// Name of the team.
    pub team: String,
    /// Requested starts per second, before the quota was applied.
    pub requested: u32,
}

/// Quota that a service's document states.
#[derive(Debug)]
struct Limit {
    team: String,
    /// Starts per second; 0 for no limit.
    rate_per_s: u32,
}

/// Quotas of all teams.
#[derive(Debug, Default)]
pub struct Table {
    /// Number of entries in the settings.
    entries: usize,
    services: FxHashMap<String, Limit>,
    teams: BTreeMap<String, Quota>,
}

impl Table {
    /// Creates a table without teams. `entries` is the number of entries in the settings.
    pub fn open(entries: usize) -> Self {
        Self { entries, ..Self::default() }
    }

    /// Applies a document. The rate of a team is the sum over its services; it has no limit if one
    /// of them has none.
    pub fn apply(&mut self, document: &Document, now_us: u64) {
        let (team, rate_per_s) = (document.team.clone(), document.quota_per_s);
        self.services.insert(document.service.clone(), Limit { team, rate_per_s });
        let names: BTreeSet<&str> =
            self.services.values().map(|limit| limit.team.as_str()).collect();
        self.teams.retain(|team, _| names.contains(team.as_str()));
        for name in names {
            let belongs = |limit: &&Limit| limit.team == name;
            let rates = || self.services.values().filter(belongs).map(|limit| limit.rate_per_s);
            let limited = rates().all(|rate| rate > 0);
            let rate = if limited { rates().fold(0, u32::saturating_add) } else { 0 };
            match self.teams.get_mut(name) {
                Some(quota) => quota.set_rate(rate, now_us),
                None => {
                    let quota = Quota::new(rate, self.entries, now_us);
                    self.teams.insert(name.to_owned(), quota);
                }
            }
        }
    }

    /// Returns the quota of a service's team.
    fn quota(&mut self, service: &str) -> Option<&mut Quota> {
        self.teams.get_mut(&self.services.get(service)?.team)
    }

    /// Decides on a whole job, and deducts its tasks from the quota.
    ///
    /// # Errors
    ///
    /// Returns the wait before a retry, in milliseconds, if the quota is used up.
    pub fn admit(&mut self, service: &str, tasks: u32, now_us: u64) -> Result<(), u32> {
        match self.quota(service).map(|quota| quota.admit(tasks, now_us)) {
            None | Some(Verdict::Accepted) => Ok(()),
            Some(Verdict::Refused { retry_us }) => Err((retry_us / MS_US).max(1) as u32),
        }
    }

    /// Gives back the tasks of an admitted job that was then refused for another reason.
    pub fn refund(&mut self, service: &str, tasks: u32) {
        if let Some(quota) = self.quota(service) {
            quota.refund(tasks);
        }
    }

    /// Returns the demand to publish: that of this entry in the last second. Leaves out teams that
    /// requested no starts.
    pub fn publish_demand(&mut self, now_us: u64) -> Vec<Demand> {
        let published = self.teams.iter_mut().map(|(team, quota)| Demand {
            team: team.clone(),
            requested: quota.publish_demand(now_us),
        });
        published.filter(|demand| demand.requested > 0).collect()
    }

    /// Records a peer's published demand. Teams that it leaves out requested no starts there.
    pub fn record_demand(&mut self, peer: &str, demands: &[Demand], now_us: u64) {
        for (team, quota) in &mut self.teams {
            let demand = demands.iter().find(|demand| demand.team == *team);
            quota.record_demand(peer, demand.map_or(0, |demand| demand.requested), now_us);
        }
    }

    /// Removes a peer that is no longer a member.
    pub fn remove_peer(&mut self, peer: &str, now_us: u64) {
        for quota in self.teams.values_mut() {
            quota.remove_peer(peer, now_us);
        }
    }
}
