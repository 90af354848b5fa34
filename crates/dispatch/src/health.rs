//! Outlier detection: decides which upstreams are ejected, probed and readmitted.
//!
//! An upstream is ejected when tasks of many jobs fail there but not on the rest of the fleet. A
//! job that fails at many upstreams is considered faulty itself and counts against none of them.

use std::{
    collections::{BTreeMap, VecDeque},
    hash::Hash,
};

use rustc_hash::FxHashMap;

/// Number of failed tasks within which an upstream that fails every task is ejected.
pub const FAILED_TASKS: u32 = 20;
/// Number of distinct jobs that must have failed at an upstream before it is ejected.
pub const DISTINCT_JOBS: u32 = 4;
/// Limit on the ejected part of the fleet, in percent.
pub const EJECTED_PERCENT: usize = 30;
/// Interval between probes of an ejected upstream, in microseconds.
pub const PROBE_US: u64 = 5_000_000;
/// Half-life of the counts of failed and succeeded tasks, in microseconds.
pub const HALF_LIFE_US: u64 = 10_000_000;
/// Number of upstreams at which a job must fail to be considered faulty itself.
pub const JOB_UPSTREAMS: usize = 3;
/// Limit on the jobs kept, about 100 bytes each; the oldest are dropped.
pub const MAX_JOBS: usize = 4_096;

/// Limit on the failing jobs kept per upstream.
const MAX_FAILING_JOBS: usize = 8;
/// Natural logarithm of the probability (1e-10) below which consecutive failures are not attributed
/// to chance.
///
/// At 1,000 tasks per second, an accidental ejection is then expected about three times a year.
const CHANCE_LN: f64 = -23.0;
/// Lower bound of the fleet's assumed failure ratio, so that a few consecutive failures never
/// eject.
const RATIO_FLOOR: f64 = 0.05;
/// Failure ratio of the fleet above which consecutive failures do not eject, because the work
/// itself is considered faulty.
const RATIO_CEILING: f64 = 0.3;
/// Least difference between the failure ratios of an ejected upstream and the fleet.
const RATIO_EXCESS: f64 = 0.2;
/// Least difference between an ejected upstream's failure count and the count expected from the
/// fleet's ratio, in standard deviations of a binomial distribution.
const MIN_DEVIATIONS: f64 = 6.0;
/// Margin for the error of the fleet's own ratio, in standard deviations of one upstream's ratio.
const FLEET_DEVIATIONS: f64 = 2.0;
/// Number of recently ended tasks from which an upstream counts towards the fleet's ratio.
const MIN_SAMPLES: f64 = 3.0;

/// State of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// Gets tasks up to its number of slots, or fewer while its last tasks failed.
    Healthy,
    /// Gets no task until the probe, and one task at a time from then on.
    Ejected {
        /// Earliest time of the next probe, in microseconds.
        probe_at: u64,
    },
    /// Gets up to `level` tasks, one more after each success.
    Recovering {
        /// Number of tasks that may be outstanding.
        level: u16,
    },
}

/// Change of an upstream's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The upstream was ejected, for the first time or again after a failure during recovery.
    Ejected,
    /// A probe succeeded or the ejected upstream restarted; its allowance now grows gradually.
    Recovering,
    /// The upstream has recovered and may use all its slots.
    Readmitted,
}

/// Failures of one job at one upstream.
#[derive(Debug)]
struct Failures {
    job: u64,
    failed: f64,
    in_streak: u32,
}

/// State and counts of one upstream.
#[derive(Debug)]
struct Row {
    state: State,
    failed: f64,
    succeeded: f64,
    /// Number of failures since the last success.
    streak: u32,
    failing_jobs: Vec<Failures>,
}

/// Upstreams at which a job failed, and counts of its failed and succeeded tasks.
#[derive(Debug)]
struct JobRow<K> {
    failed_at: Vec<K>,
    failed: u32,
    succeeded: u32,
}

/// Health of the upstreams of one service, from the outcomes that one entry receives.
///
/// An upstream takes about 300 bytes; jobs take at most about 400 KB.
#[derive(Debug)]
pub struct Health<K> {
    rows: FxHashMap<K, Row>,
    jobs: BTreeMap<u64, JobRow<K>>,
    order: VecDeque<u64>,
    ejected: usize,
    decayed_us: u64,
}

impl<K: Copy + Eq + Hash> Health<K> {
    /// Creates an empty table.
    pub fn new(now: u64) -> Self {
        Self {
            rows: FxHashMap::default(),
            jobs: BTreeMap::new(),
            order: VecDeque::new(),
            ejected: 0,
            decayed_us: now,
        }
    }

    /// Adds an upstream. An existing one keeps its state.
    pub fn add(&mut self, upstream: K) {
        self.rows.entry(upstream).or_insert_with(Row::new);
    }

    /// Removes an upstream.
    pub fn remove(&mut self, upstream: K) {
        if let Some(row) = self.rows.remove(&upstream) {
            self.ejected -= usize::from(row.is_ejected());
        }
    }

    /// Records that an upstream has restarted. If it was ejected, it now recovers gradually.
    pub fn restarted(&mut self, upstream: K) -> Option<Change> {
        let row = self.rows.get_mut(&upstream)?;
        let was_ejected = row.is_ejected();
        *row = Row::new();
        if was_ejected {
            self.ejected -= 1;
            row.state = State::Recovering { level: 1 };
        }
        was_ejected.then_some(Change::Recovering)
    }

    /// Counts a failed task of a job at an upstream.
    ///
    /// The caller gives every job its own number and starts no more tasks of a job that has failed.
    /// The limit `FAILED_TASKS` depends on this.
    pub fn failed(&mut self, upstream: K, job: u64, now: u64) -> Option<Change> {
        let is_job_fault = self.record_job_failure(upstream, job);
        let row = self.rows.get_mut(&upstream)?;
        if row.is_ejected() {
            row.state = State::Ejected { probe_at: now + PROBE_US };
            return None;
        }
        if is_job_fault {
            return None;
        }
        row.record_failure(job);
        if let State::Recovering { level } = row.state {
            row.state = State::Recovering { level: (level / 2).max(1) };
            return (level == 1).then(|| self.eject(upstream, now)).flatten();
        }
        let candidate = row.streak >= DISTINCT_JOBS || row.failed >= f64::from(FAILED_TASKS);
        if candidate && self.should_eject(upstream) {
            return self.eject(upstream, now);
        }
        None
    }

    /// Counts a succeeded task of a job at an upstream with this many slots.
    ///
    /// An ejected upstream recovers only by a success after the time of the probe: an earlier one
    /// belongs to a task that was outstanding at the ejection.
    pub fn succeeded(&mut self, upstream: K, job: u64, slots: u16, now: u64) -> Option<Change> {
        self.job_row(job).succeeded += 1;
        let row = self.rows.get_mut(&upstream)?;
        row.succeeded += 1.0;
        row.streak = 0;
        row.failing_jobs.iter_mut().for_each(|failures| failures.in_streak = 0);
        match row.state {
            State::Healthy => None,
            State::Ejected { probe_at } if now < probe_at => None,
            State::Ejected { .. } => {
                *row = Row { state: State::Recovering { level: 1 }, ..Row::new() };
                self.ejected -= 1;
                Some(Change::Recovering)
            }
            State::Recovering { level } if level + 1 >= slots => {
                row.state = State::Healthy;
                Some(Change::Readmitted)
            }
            State::Recovering { level } => {
                row.state = State::Recovering { level: level + 1 };
                None
            }
        }
    }

    /// Returns the number of tasks that may be outstanding at an upstream with this many slots, or
    /// 0 for an unknown upstream.
    ///
    /// With consecutive failures the number shrinks, so that they can still come from enough
    /// distinct jobs within the limit of failed tasks even if each job fails as often as it can.
    /// One success restores it. When all work fails everywhere, the number is small at every
    /// upstream.
    pub fn allowance(&self, upstream: K, slots: u16, now: u64) -> u16 {
        let Some(row) = self.rows.get(&upstream) else {
            return 0;
        };
        match row.state {
            State::Ejected { probe_at } => u16::from(now >= probe_at).min(slots),
            State::Recovering { level } => level.min(slots),
            State::Healthy if row.streak == 0 => slots,
            State::Healthy => {
                let jobs_left = DISTINCT_JOBS.saturating_sub(row.jobs_in_streak()).max(1);
                let tasks_left = FAILED_TASKS.saturating_sub(row.streak);
                slots.min((tasks_left / jobs_left).max(1) as u16)
            }
        }
    }

    /// Returns the state of an upstream, or `None` if it is unknown.
    pub fn state(&self, upstream: K) -> Option<State> {
        self.rows.get(&upstream).map(|row| row.state)
    }

    /// Returns the number of ejected upstreams.
    pub fn ejected(&self) -> usize {
        self.ejected
    }

    /// Decays old counts. The caller calls this at least once per half-life.
    pub fn tick(&mut self, now: u64) {
        while now.saturating_sub(self.decayed_us) >= HALF_LIFE_US {
            self.decayed_us += HALF_LIFE_US;
            self.rows.values_mut().for_each(Row::decay);
        }
    }

    /// Ejects an upstream, unless this would exceed `EJECTED_PERCENT` of the fleet. An upstream
    /// that stays for that reason gets a single task at a time.
    fn eject(&mut self, upstream: K, now: u64) -> Option<Change> {
        if (self.ejected + 1) * 100 > self.rows.len() * EJECTED_PERCENT {
            return None;
        }
        let row = self.rows.get_mut(&upstream)?;
        *row = Row { state: State::Ejected { probe_at: now + PROBE_US }, ..Row::new() };
        self.ejected += 1;
        Some(Change::Ejected)
    }

    fn should_eject(&self, upstream: K) -> bool {
        let Some(row) = self.rows.get(&upstream) else {
            return false;
        };
        let median = self.fleet_ratio(upstream).max(RATIO_FLOOR);
        let streak_bound = (CHANCE_LN / median.ln()).ceil().min(f64::from(FAILED_TASKS));
        let long_streak =
            f64::from(row.streak) >= streak_bound && row.jobs_in_streak() >= DISTINCT_JOBS;
        if long_streak && median <= RATIO_CEILING {
            return true;
        }
        let ended = row.failed + row.succeeded;
        // The fleet's ratio is estimated from about as many tasks of each upstream, so it has an
        // error of its own.
        let margin = FLEET_DEVIATIONS * (median * (1.0 - median) / ended.max(1.0)).sqrt();
        let fleet = (median + margin).min(1.0);
        let chance_bound = ended * fleet + MIN_DEVIATIONS * (ended * fleet * (1.0 - fleet)).sqrt();
        row.failed >= f64::from(FAILED_TASKS).max(chance_bound)
            && row.failed >= (median + RATIO_EXCESS) * ended
            && row.failing_jobs.len() >= DISTINCT_JOBS as usize
    }

    /// Returns the median failure ratio of the other upstreams, which a few bad ones do not affect.
    ///
    /// Pseudocounts keep it high while there are few samples, so that chance does not make the
    /// fleet look better than it is. Without samples it is `RATIO_CEILING`: no upstream is known to
    /// be better.
    fn fleet_ratio(&self, excluded: K) -> f64 {
        let others = self.rows.iter().filter(|(upstream, _)| **upstream != excluded);
        let sampled = others.filter(|(_, row)| row.failed + row.succeeded >= MIN_SAMPLES);
        let mut ratios: Vec<f64> = sampled
            .map(|(_, row)| (row.failed + 1.0) / (row.failed + row.succeeded + 4.0))
            .collect();
        if ratios.is_empty() {
            return RATIO_CEILING;
        }
        let middle = ratios.len() / 2;
        *ratios.select_nth_unstable_by(middle, f64::total_cmp).1
    }

    /// Counts a failure of a job. Returns true if the job itself is considered faulty; its failures
    /// are then removed from the upstreams' counts.
    fn record_job_failure(&mut self, upstream: K, job: u64) -> bool {
        let row = self.job_row(job);
        row.failed += 1;
        if row.failed_at.len() < JOB_UPSTREAMS && !row.failed_at.contains(&upstream) {
            row.failed_at.push(upstream);
        }
        let is_job_fault = row.failed_at.len() >= JOB_UPSTREAMS && row.failed > row.succeeded;
        if is_job_fault {
            for upstream in row.failed_at.clone() {
                if let Some(row) = self.rows.get_mut(&upstream) {
                    row.retract_failures(job);
                }
            }
        }
        is_job_fault
    }

    fn job_row(&mut self, job: u64) -> &mut JobRow<K> {
        if self.order.len() >= MAX_JOBS && !self.jobs.contains_key(&job) {
            if let Some(oldest) = self.order.pop_front() {
                self.jobs.remove(&oldest);
            }
        }
        self.jobs.entry(job).or_insert_with(|| {
            self.order.push_back(job);
            JobRow { failed_at: Vec::new(), failed: 0, succeeded: 0 }
        })
    }
}

impl Row {
    fn new() -> Self {
        Self {
            state: State::Healthy,
            failed: 0.0,
            succeeded: 0.0,
            streak: 0,
            failing_jobs: Vec::new(),
        }
    }

    fn is_ejected(&self) -> bool {
        matches!(self.state, State::Ejected { .. })
    }

    fn jobs_in_streak(&self) -> u32 {
        self.failing_jobs.iter().filter(|failures| failures.in_streak > 0).count() as u32
    }

    fn record_failure(&mut self, job: u64) {
        self.failed += 1.0;
        self.streak += 1;
        if let Some(failures) = self.failing_jobs.iter_mut().find(|failures| failures.job == job) {
            failures.failed += 1.0;
            failures.in_streak += 1;
            return;
        }
        if self.failing_jobs.len() >= MAX_FAILING_JOBS {
            self.failing_jobs.remove(0);
        }
        self.failing_jobs.push(Failures { job, failed: 1.0, in_streak: 1 });
    }

    fn retract_failures(&mut self, job: u64) {
        if let Some(at) = self.failing_jobs.iter().position(|failures| failures.job == job) {
            let failures = self.failing_jobs.remove(at);
            self.failed = (self.failed - failures.failed).max(0.0);
            self.streak = self.streak.saturating_sub(failures.in_streak);
        }
    }

    fn decay(&mut self) {
        self.failed /= 2.0;
        self.succeeded /= 2.0;
        self.failing_jobs.iter_mut().for_each(|failures| failures.failed /= 2.0);
        self.failing_jobs.retain(|failures| failures.in_streak > 0 || failures.failed >= 0.1);
    }
}
