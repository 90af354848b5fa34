//! Teams' quotas at this entry, and the demand that entries tell each other.

use std::collections::{BTreeMap, BTreeSet};

use kingcup_dispatch::{
    document::Document,
    quota::{Quota, Verdict},
};
use rustc_hash::FxHashMap;

/// Microseconds in a millisecond.
const MS_US: u64 = 1_000;

/// Demand of a team, as it is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Demand {
    /// Name of the team.
    pub team: String,
    /// Starts asked for in a second.
    pub requested: u32,
}

/// What a service's document says of the quota.
#[derive(Debug)]
struct Claim {
    team: String,
    rate_per_s: u32,
}

/// All teams.
#[derive(Debug, Default)]
pub struct Table {
    /// Entries by the settings.
    entries: usize,
    services: FxHashMap<String, Claim>,
    teams: BTreeMap<String, Quota>,
}

impl Table {
    /// No teams yet. `entries` is their number by the settings.
    pub fn open(entries: usize) -> Self {
        Self { entries, ..Self::default() }
    }

    /// Takes over a document. A team's rate is the sum over its services; none if one has no limit.
    pub fn apply(&mut self, document: &Document, now_us: u64) {
        let (team, rate_per_s) = (document.team.clone(), document.quota_per_s);
        self.services.insert(document.service.clone(), Claim { team, rate_per_s });
        let names: BTreeSet<&str> =
            self.services.values().map(|claim| claim.team.as_str()).collect();
        self.teams.retain(|team, _| names.contains(team.as_str()));
        for name in names {
            let of_team = |claim: &&Claim| claim.team == name;
            let rates = || self.services.values().filter(of_team).map(|claim| claim.rate_per_s);
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

    fn of(&mut self, service: &str) -> Option<&mut Quota> {
        self.teams.get_mut(&self.services.get(service)?.team)
    }

    /// Decides on a whole job.
    ///
    /// # Errors
    ///
    /// The wait before another try, in milliseconds, if the quota is used up.
    pub fn admit(&mut self, service: &str, tasks: u32, now_us: u64) -> Result<(), u32> {
        match self.of(service).map(|quota| quota.admit(tasks, now_us)) {
            None | Some(Verdict::Accepted) => Ok(()),
            Some(Verdict::Refused { retry_us }) => Err((retry_us / MS_US).max(1) as u32),
        }
    }

    /// Returns the tasks of a job that was refused for another reason.
    pub fn refund(&mut self, service: &str, tasks: u32) {
        if let Some(quota) = self.of(service) {
            quota.refund(tasks);
        }
    }

    /// Demand at this entry in the last second, without teams that asked for nothing.
    pub fn publish_demand(&mut self, now_us: u64) -> Vec<Demand> {
        let published = self.teams.iter_mut().map(|(team, quota)| Demand {
            team: team.clone(),
            requested: quota.publish_demand(now_us),
        });
        published.filter(|demand| demand.requested > 0).collect()
    }

    /// Takes a peer's demand. Teams that it does not mention asked for nothing there.
    pub fn record_demand(&mut self, peer: &str, demands: &[Demand], now_us: u64) {
        for (team, quota) in &mut self.teams {
            let asked = demands.iter().find(|demand| demand.team == *team);
            quota.record_demand(peer, asked.map_or(0, |demand| demand.requested), now_us);
        }
    }

    /// Removes a peer that is no longer a member.
    pub fn remove_peer(&mut self, peer: &str, now_us: u64) {
        for quota in self.teams.values_mut() {
            quota.remove_peer(peer, now_us);
        }
    }
}
