//! Which upstream is ejected, probed and readmitted.
//!
//! An upstream is ejected for failing tasks of many jobs while the rest of the fleet does not. A job
//! that fails at many upstreams is taken for the cause itself and counts against none of them.

use std::{
    collections::{BTreeMap, VecDeque},
    hash::Hash,
};

use rustc_hash::FxHashMap;

/// Failed tasks by which an upstream that fails every task is ejected.
pub const FAILED_TASKS: u32 = 20;
/// Distinct jobs that must have failed at an upstream before it is ejected.
pub const DISTINCT_JOBS: u32 = 4;
/// Most of the fleet that is ejected at a time, in percent.
pub const EJECTED_PERCENT: usize = 30;
/// Interval between probes of an ejected upstream, in microseconds.
pub const PROBE_US: u64 = 5_000_000;
/// Half-life of the counts of failed and succeeded tasks, in microseconds.
pub const HALF_LIFE_US: u64 = 10_000_000;
/// Upstreams at which a job must fail to be taken for the cause.
pub const JOB_UPSTREAMS: usize = 3;
/// Jobs that are remembered, about 100 bytes each; the oldest are forgotten.
pub const JOBS: usize = 4_096;

/// Failing jobs that are remembered for an upstream.
const BLAMES: usize = 8;
/// Natural logarithm of the probability (1e-10) below which a run of failures is not chance.
///
/// At 1,000 tasks a second an accidental ejection is then expected about three times a year.
const CHANCE_LN: f64 = -23.0;
/// Failure ratio of the fleet that is assumed at least, so that short runs never eject.
const RATIO_FLOOR: f64 = 0.05;
/// Failure ratio of the fleet above which no run of failures ejects: then the work is at fault.
const RATIO_CEILING: f64 = 0.3;
/// How far an upstream's failure ratio must exceed the fleet's.
const RATIO_EXCESS: f64 = 0.2;
/// The same in standard deviations of a binomial count.
const DEVIATIONS: f64 = 6.0;
/// Error of the fleet's own ratio that is allowed for, in standard deviations of one upstream's.
const FLEET_DEVIATIONS: f64 = 2.0;
/// Tasks that an upstream must have ended lately to count as part of the fleet.
const SAMPLES: f64 = 3.0;

/// State of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// Gets work up to its slots, or fewer while a run of failures lasts.
    Healthy,
    /// Gets one task from this time on, in microseconds.
    Ejected {
        /// Earliest time of the next probe.
        probe_at: u64,
    },
    /// Gets up to this many tasks, one more with each success.
    Recovering {
        /// Tasks that may be outstanding.
        level: u16,
    },
}

/// What changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The upstream is ejected, or again so after a failure on its return.
    Ejected,
    /// A probe succeeded; the upstream returns gradually.
    Recovering,
    /// The upstream is fully readmitted.
    Readmitted,
}

/// Failures of one job at an upstream.
#[derive(Debug)]
struct Blame {
    job: u64,
    failed: f64,
    in_run: u32,
}

#[derive(Debug)]
struct Row {
    state: State,
    failed: f64,
    succeeded: f64,
    /// Failures since the last success.
    run: u32,
    blames: Vec<Blame>,
}

/// Where a job failed, and how often it succeeded.
#[derive(Debug)]
struct JobRow<K> {
    failed_at: Vec<K>,
    failed: u32,
    succeeded: u32,
}

/// Health of the upstreams of one service, as one entry sees it.
///
/// A row takes about 300 bytes; jobs take at most about 400 KB.
#[derive(Debug)]
pub struct Health<K> {
    rows: FxHashMap<K, Row>,
    jobs: BTreeMap<u64, JobRow<K>>,
    order: VecDeque<u64>,
    ejected: usize,
    decayed: u64,
}

impl<K: Copy + Eq + Hash> Health<K> {
    /// Makes an empty table.
    pub fn new(now: u64) -> Self {
        Self {
            rows: FxHashMap::default(),
            jobs: BTreeMap::new(),
            order: VecDeque::new(),
            ejected: 0,
            decayed: now,
        }
    }

    /// Adds an upstream. One that is known keeps its state.
    pub fn add(&mut self, upstream: K) {
        self.rows.entry(upstream).or_insert_with(Row::new);
    }

    /// Removes an upstream.
    pub fn remove(&mut self, upstream: K) {
        if let Some(row) = self.rows.remove(&upstream) {
            self.ejected -= usize::from(row.is_ejected());
        }
    }

    /// Notes that an upstream has restarted: if it was ejected, it returns gradually.
    pub fn restarted(&mut self, upstream: K) -> Option<Change> {
        let row = self.rows.get_mut(&upstream)?;
        let returns = row.is_ejected();
        *row = Row::new();
        if returns {
            self.ejected -= 1;
            row.state = State::Recovering { level: 1 };
        }
        returns.then_some(Change::Recovering)
    }

    /// Counts a task of a job that failed at an upstream.
    ///
    /// The caller gives every job its own number and starts no more tasks of a job that has failed;
    /// on that the bound of failed tasks rests.
    pub fn failed(&mut self, upstream: K, job: u64, now: u64) -> Option<Change> {
        let cause = self.job_failed(upstream, job);
        let row = self.rows.get_mut(&upstream)?;
        if row.is_ejected() {
            row.state = State::Ejected { probe_at: now + PROBE_US };
            return None;
        }
        if cause {
            return None;
        }
        row.blame(job);
        if let State::Recovering { level } = row.state {
            row.state = State::Recovering { level: (level / 2).max(1) };
            return (level == 1).then(|| self.eject(upstream, now)).flatten();
        }
        let suspect = row.run >= DISTINCT_JOBS || row.failed >= f64::from(FAILED_TASKS);
        if suspect && self.deserves_ejection(upstream) {
            return self.eject(upstream, now);
        }
        None
    }

    /// Counts a task of a job that succeeded at an upstream with this many slots.
    ///
    /// At an ejected upstream only a success after the time of the probe counts: an earlier one is
    /// of a task that was outstanding when it was ejected.
    pub fn succeeded(&mut self, upstream: K, job: u64, slots: u16, now: u64) -> Option<Change> {
        self.job(job).succeeded += 1;
        let row = self.rows.get_mut(&upstream)?;
        row.succeeded += 1.0;
        row.run = 0;
        row.blames.iter_mut().for_each(|blame| blame.in_run = 0);
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

    /// How many tasks may be outstanding at an upstream with this many slots. 0 for an unknown one.
    ///
    /// During a run of failures the number shrinks so that the run can still reach enough distinct
    /// jobs within the bound of failed tasks, even if each job fails as often as it can. One success
    /// restores it. When all work fails everywhere the number is small at every upstream.
    pub fn allowance(&self, upstream: K, slots: u16, now: u64) -> u16 {
        let Some(row) = self.rows.get(&upstream) else {
            return 0;
        };
        match row.state {
            State::Ejected { probe_at } => u16::from(now >= probe_at).min(slots),
            State::Recovering { level } => level.min(slots),
            State::Healthy if row.run == 0 => slots,
            State::Healthy => {
                let jobs_left = DISTINCT_JOBS.saturating_sub(row.jobs_in_run()).max(1);
                let tasks_left = FAILED_TASKS.saturating_sub(row.run);
                slots.min((tasks_left / jobs_left).max(1) as u16)
            }
        }
    }

    /// State of an upstream; `None` if it is unknown.
    pub fn state(&self, upstream: K) -> Option<State> {
        self.rows.get(&upstream).map(|row| row.state)
    }

    /// Number of ejected upstreams.
    pub fn ejected(&self) -> usize {
        self.ejected
    }

    /// Lets old counts decay. To be called at least once in a half-life.
    pub fn tick(&mut self, now: u64) {
        while now.saturating_sub(self.decayed) >= HALF_LIFE_US {
            self.decayed += HALF_LIFE_US;
            self.rows.values_mut().for_each(Row::decay);
        }
    }

    /// Ejects an upstream unless too many are. One that stays gets a single task at a time.
    fn eject(&mut self, upstream: K, now: u64) -> Option<Change> {
        if (self.ejected + 1) * 100 > self.rows.len() * EJECTED_PERCENT {
            return None;
        }
        let row = self.rows.get_mut(&upstream)?;
        *row = Row { state: State::Ejected { probe_at: now + PROBE_US }, ..Row::new() };
        self.ejected += 1;
        Some(Change::Ejected)
    }

    fn deserves_ejection(&self, upstream: K) -> bool {
        let Some(row) = self.rows.get(&upstream) else {
            return false;
        };
        let median = self.fleet_ratio(upstream).max(RATIO_FLOOR);
        let run = (CHANCE_LN / median.ln()).ceil().min(f64::from(FAILED_TASKS));
        let runs = f64::from(row.run) >= run && row.jobs_in_run() >= DISTINCT_JOBS;
        if runs && median <= RATIO_CEILING {
            return true;
        }
        let ended = row.failed + row.succeeded;
        // The fleet's ratio is known from about as many tasks of each upstream, so it may be off too.
        let error = FLEET_DEVIATIONS * (median * (1.0 - median) / ended.max(1.0)).sqrt();
        let fleet = (median + error).min(1.0);
        let chance = ended * fleet + DEVIATIONS * (ended * fleet * (1.0 - fleet)).sqrt();
        row.failed >= f64::from(FAILED_TASKS).max(chance)
            && row.failed >= (median + RATIO_EXCESS) * ended
            && row.blames.len() >= DISTINCT_JOBS as usize
    }

    /// Median failure ratio of the other upstreams; a few bad ones do not move it.
    ///
    /// Added counts keep it high while there are few samples, so that chance in these does not make
    /// the fleet look better than it is. Without samples nothing is known to be better.
    fn fleet_ratio(&self, except: K) -> f64 {
        let others = self.rows.iter().filter(|(upstream, _)| **upstream != except);
        let sampled = others.filter(|(_, row)| row.failed + row.succeeded >= SAMPLES);
        let mut ratios: Vec<f64> = sampled
            .map(|(_, row)| (row.failed + 1.0) / (row.failed + row.succeeded + 4.0))
            .collect();
        if ratios.is_empty() {
            return RATIO_CEILING;
        }
        let middle = ratios.len() / 2;
        *ratios.select_nth_unstable_by(middle, f64::total_cmp).1
    }

    /// True if the job itself is the cause. Once it is, its earlier failures are forgiven.
    fn job_failed(&mut self, upstream: K, job: u64) -> bool {
        let row = self.job(job);
        row.failed += 1;
        if row.failed_at.len() < JOB_UPSTREAMS && !row.failed_at.contains(&upstream) {
            row.failed_at.push(upstream);
        }
        let cause = row.failed_at.len() >= JOB_UPSTREAMS && row.failed > row.succeeded;
        if cause {
            for upstream in row.failed_at.clone() {
                if let Some(row) = self.rows.get_mut(&upstream) {
                    row.forgive(job);
                }
            }
        }
        cause
    }

    fn job(&mut self, job: u64) -> &mut JobRow<K> {
        if self.order.len() >= JOBS && !self.jobs.contains_key(&job) {
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
        Self { state: State::Healthy, failed: 0.0, succeeded: 0.0, run: 0, blames: Vec::new() }
    }

    fn is_ejected(&self) -> bool {
        matches!(self.state, State::Ejected { .. })
    }

    fn jobs_in_run(&self) -> u32 {
        self.blames.iter().filter(|blame| blame.in_run > 0).count() as u32
    }

    fn blame(&mut self, job: u64) {
        self.failed += 1.0;
        self.run += 1;
        if let Some(blame) = self.blames.iter_mut().find(|blame| blame.job == job) {
            blame.failed += 1.0;
            blame.in_run += 1;
            return;
        }
        if self.blames.len() >= BLAMES {
            self.blames.remove(0);
        }
        self.blames.push(Blame { job, failed: 1.0, in_run: 1 });
    }

    fn forgive(&mut self, job: u64) {
        if let Some(at) = self.blames.iter().position(|blame| blame.job == job) {
            let blame = self.blames.remove(at);
            self.failed = (self.failed - blame.failed).max(0.0);
            self.run = self.run.saturating_sub(blame.in_run);
        }
    }

    fn decay(&mut self) {
        self.failed /= 2.0;
        self.succeeded /= 2.0;
        self.blames.iter_mut().for_each(|blame| blame.failed /= 2.0);
        self.blames.retain(|blame| blame.in_run > 0 || blame.failed >= 0.1);
    }
}
