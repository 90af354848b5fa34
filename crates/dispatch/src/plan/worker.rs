//! Workers as an entry knows them: late, and shared with other entries.

use std::sync::Arc;

use slotmap::new_key_type;

use super::{Effect, Job, Planner, GONE_US, SETTLE_US};
use crate::worker::Profile;

/// Slowness from which a worker gets only what it can still end in time, and its runs are moved.
const SLOW: f64 = 1.8;
/// Bounds of one measurement of slowness.
const MIN_RATIO: f64 = 0.3;
const MAX_RATIO: f64 = 10.0;
/// Time in which a slowness that is not measured again returns to a third, in microseconds.
const FORGET_US: f64 = 4_000_000.0;
/// Weight of one end in a worker's share of failures.
const FAILURE_WEIGHT: f64 = 0.3;
/// Share of failures at which a worker gets one task at a time.
const FAILING_SHARE: f64 = 0.5;
/// Time between two tasks at a failing worker, in microseconds.
const PROBE_INTERVAL_US: u64 = 500_000;
/// Time for which a worker that refused a start gets no new work, in microseconds.
const REFUSED_US: u64 = 5_000;

new_key_type! {
    /// Names a worker at one entry, from a connection to its sidecar until its runs are gone.
    pub struct Worker;
}

/// Load that a sidecar reported.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Highest run of this entry that it includes.
    pub last_run: u64,
    /// Free cores, in thousandths.
    pub free_cores: i32,
    /// Free memory, in megabytes.
    pub free_memory_mb: i32,
    /// Time until room is expected for one more start, in microseconds.
    pub available_in_us: Option<u32>,
}

/// One worker.
#[derive(Debug)]
pub(super) struct Member {
    pub name: Arc<str>,
    pub incarnation: u64,
    pub generation: u64,
    pub profile: Profile,
    pub load: Load,
    loaded_us: u64,
    /// Runs that were sent and are not in the load.
    pub unseen: Vec<(u64, u32, u32)>,
    pub connected: bool,
    /// Time at which the runs of an unreachable worker have certainly ended.
    pub gone_us: Option<u64>,
    /// Run time as a multiple of the mean over all workers, at `measured_us`.
    slowness: f64,
    measured_us: u64,
    /// Share of starts that failed lately.
    failures: f64,
    /// Last job that failed here: its further failures say nothing new.
    failed_job: Option<Job>,
    pub avoid_until_us: u64,
}

impl Member {
    /// Cores that are free as far as is known, in thousandths.
    pub fn free_cores(&self) -> i64 {
        let unseen: i64 = self.unseen.iter().map(|(_, cores, _)| i64::from(*cores)).sum();
        i64::from(self.load.free_cores) - unseen
    }

    fn free_memory_mb(&self) -> i64 {
        let unseen: i64 = self.unseen.iter().map(|(_, _, memory)| i64::from(*memory)).sum();
        i64::from(self.load.free_memory_mb) - unseen
    }

    /// True if a task fits now.
    pub fn fits(&self, cores: u32, memory_mb: u32, now_us: u64) -> bool {
        self.connected
            && self.profile.ready
            && now_us >= self.avoid_until_us
            && self.free_cores() >= i64::from(cores)
            && self.free_memory_mb() >= i64::from(memory_mb)
    }

    /// True if nothing is known to wait there for room, and some is expected within this time.
    pub fn takes_ahead(&self, wait_us: u64, now_us: u64) -> bool {
        let open = self.connected && self.profile.ready && now_us >= self.avoid_until_us;
        let soon = self.room_us(now_us) <= wait_us;
        open && !self.is_failing() && self.free_cores() >= 0 && soon
    }

    /// Time until room is expected for one more task.
    pub fn room_us(&self, now_us: u64) -> u64 {
        let expected_us = self.load.available_in_us.map_or(u64::MAX, u64::from);
        expected_us.saturating_sub(now_us.saturating_sub(self.loaded_us))
    }

    /// True if nearly all that it starts fails.
    pub fn is_failing(&self) -> bool {
        self.failures >= FAILING_SHARE
    }

    pub fn sent(&mut self, run: u64, cores: u32, memory_mb: u32, now_us: u64) {
        self.unseen.push((run, cores, memory_mb));
        if self.is_failing() {
            self.avoid_until_us = now_us + PROBE_INTERVAL_US;
        }
    }

    pub fn refused(&mut self, run: u64, now_us: u64) {
        self.unseen.retain(|(unseen, _, _)| *unseen != run);
        self.avoid_until_us = self.avoid_until_us.max(now_us + REFUSED_US);
    }

    /// A run has ended well.
    pub fn completed(&mut self) {
        self.failures *= 1.0 - FAILURE_WEIGHT;
    }

    /// Takes a run time as a multiple of what was expected.
    pub fn measured(&mut self, ratio: f64, weight: f64, now_us: u64) {
        let slowness = self.slowness(now_us);
        let ratio = ratio.clamp(MIN_RATIO, MAX_RATIO);
        self.slowness = slowness + (ratio - slowness) * weight;
        self.measured_us = now_us;
    }

    /// Run time as a multiple of the mean over all workers. Without measurements it returns to one, so
    /// that a worker that was slow is tried again.
    pub fn slowness(&self, now_us: u64) -> f64 {
        let age = now_us.saturating_sub(self.measured_us) as f64;
        1.0 + (self.slowness - 1.0) * (-age / FORGET_US).exp()
    }

    /// True if it is slower than the usual differences between workers and measurements explain.
    pub fn is_slow(&self, now_us: u64) -> bool {
        self.slowness(now_us) >= SLOW
    }

    /// Expected run time of a task of this work.
    pub fn run_us(&self, work_us: u64, now_us: u64) -> u64 {
        (work_us as f64 * self.slowness(now_us)) as u64
    }

    /// A run of a job has failed.
    pub fn failed(&mut self, job: Job) {
        if self.failed_job.replace(job) != Some(job) {
            self.failures += (1.0 - self.failures) * FAILURE_WEIGHT;
        }
    }
}

impl Planner {
    /// A connection to a sidecar is open. `held` are the runs that it has of this entry; others that
    /// were sent there are gone. `generation` rises with the connections of one incarnation; a list that was
    /// held up on an older one says nothing of what was sent since, and gives nothing.
    pub fn connected(
        &mut self,
        name: &str,
        incarnation: u64,
        generation: u64,
        held: &[u64],
        now_us: u64,
    ) -> Option<Worker> {
        let old: Vec<Worker> = self
            .workers
            .iter()
            .filter(|(_, member)| *member.name == *name && member.incarnation != incarnation)
            .map(|(key, _)| key)
            .collect();
        let known = self
            .workers
            .iter()
            .find(|(_, member)| *member.name == *name && member.incarnation == incarnation);
        let known = known.map(|(key, _)| key);
        if known.is_some_and(|key| self.workers[key].generation > generation) {
            return None;
        }
        if known.is_none() {
            self.unsettle(now_us);
        }
        let key = known.unwrap_or_else(|| {
            self.workers.insert(Member {
                name: name.into(),
                incarnation,
                generation,
                profile: Profile::default(),
                load: Load::default(),
                loaded_us: now_us,
                unseen: Vec::new(),
                connected: true,
                gone_us: None,
                slowness: 1.0,
                measured_us: now_us,
                failures: 0.0,
                failed_job: None,
                avoid_until_us: 0,
            })
        });
        // A new incarnation takes work only after it has ended what the old one left.
        for worker in old {
            if let Some(member) = self.workers.get_mut(worker) {
                member.connected = false;
                member.gone_us.get_or_insert(now_us + GONE_US);
            }
        }
        let member = &mut self.workers[key];
        member.connected = true;
        member.generation = generation;
        member.gone_us = None;
        member.unseen.clear();
        // Starts that were decided before are not sent on this connection: their runs are lost with the
        // others and decided again.
        self.effects
            .retain(|effect| !matches!(effect, Effect::Start { worker, .. } if *worker == key));
        self.lose_runs(key, |run| !held.contains(&run), now_us);
        // Stops that were sent to a sidecar that could not be reached are lost.
        let unwanted = held.iter().copied().filter(|run| !self.is_wanted(*run));
        let stops: Vec<Effect> = unwanted.map(|run| Effect::Stop { worker: key, run }).collect();
        self.effects.extend(stops);
        Some(key)
    }

    /// True if a run belongs to a job that still needs it.
    fn is_wanted(&self, run: u64) -> bool {
        let sent = self.runs.get(&run).filter(|sent| !sent.moving);
        let job = sent.and_then(|sent| self.jobs.get(sent.place.job));
        job.is_some_and(|job| job.ending_us.is_none())
    }

    /// The connection to a sidecar is lost. What runs there may go on until its leases end.
    pub fn disconnected(&mut self, worker: Worker, renewed_us: u64) {
        if let Some(member) = self.workers.get_mut(worker) {
            member.connected = false;
            member.gone_us = Some(renewed_us + GONE_US);
            self.unsettle(renewed_us);
        }
    }

    /// The workers have changed. If fewer than half of them are known, others are expected to follow and
    /// admission waits for them; single ones that come and go change the room too little.
    fn unsettle(&mut self, changed_us: u64) {
        let few = self.accepting() * 2 < self.most_accepting;
        if few || changed_us < self.settled_us {
            self.settled_us = self.settled_us.max(changed_us + SETTLE_US);
        }
    }

    /// A sidecar has told what its upstream is.
    pub fn profile(&mut self, worker: Worker, profile: Profile, now_us: u64) {
        let Some(member) = self.workers.get_mut(worker) else { return };
        let name = member.name.clone();
        let accepting = profile.ready;
        member.profile = profile;
        self.most_accepting = self.most_accepting.max(self.accepting());
        // The incarnation has ended what an earlier one left before it accepts work.
        if accepting {
            let old: Vec<Worker> = self
                .workers
                .iter()
                .filter(|(key, member)| *key != worker && member.name == name)
                .map(|(key, _)| key)
                .collect();
            for key in old {
                self.lose_runs(key, |_| true, now_us);
                self.workers.remove(key);
            }
        }
        self.dispatch(now_us);
    }

    /// A sidecar has told its load.
    pub fn load(&mut self, worker: Worker, load: Load, now_us: u64) {
        let Some(member) = self.workers.get_mut(worker) else { return };
        let rose = load.free_cores > member.load.free_cores;
        member.load = load;
        member.loaded_us = now_us;
        member.unseen.retain(|(run, _, _)| *run > load.last_run);
        if rose {
            self.dispatch(now_us);
        }
    }

    /// Cores of all workers of a service that take work, in thousandths.
    pub(super) fn capacity(&self, service: &str) -> u64 {
        self.workers
            .values()
            .filter(|member| member.connected && member.profile.ready)
            .filter(|member| *member.profile.service == *service)
            .map(|member| u64::from(member.profile.cores))
            .sum()
    }
}
