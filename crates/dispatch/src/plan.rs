//! Scheduling at an entry: queues jobs, refuses those that cannot be served, and sends their tasks
//! to sidecars.
//!
//! Jobs wait at the entry, ordered by urgency and then by arrival. A task is sent to a sidecar only
//! when free capacity is known there, so that a wrong choice costs one round trip instead of a
//! wait. Only urgent tasks may wait at full sidecars, which order the starts of all entries.

mod absence;
pub mod action;
mod admission;
mod arrival;
mod cost;
mod estimate;
mod evacuation;
pub mod explain;
mod job;
mod late;
mod locality;
mod place;
mod progress;
mod retry;
mod speed;
mod worker;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};

use slotmap::SlotMap;

pub use action::{Answer, Effect};
pub use cost::Cost;
pub use job::{Key as Job, Submission};
pub use locality::{Patience, Places};
pub use worker::{Load, Worker};

use self::{
    absence::Absence, admission::Kinds, estimate::Estimate, job::Record, retry::Wait,
    worker::Member,
};
use crate::{evacuation::Table, worker as sidecar};

/// Time from this entry's last renewal until a run at an unreachable sidecar has certainly ended,
/// in microseconds: the entry's lease at the sidecar, the sidecar's lease at its upstream as
/// measured by a slow clock, and the time of a stop.
pub const RUN_EXPIRY_US: u64 = sidecar::ENTRY_LEASE_US
    + sidecar::UPSTREAM_LEASE_US * (1000 + sidecar::SLOW_CLOCK_PERMILLE) / 1000
    + sidecar::STOP_US;
/// Longest wait of a start at a sidecar, in microseconds. It covers a race of several entries for
/// the same capacity; after that, the entry has newer load reports and chooses again.
pub const SIDECAR_WAIT_US: u64 = 5_000;
/// Longest wait of an urgent start at a full sidecar, in microseconds. Of about ten tasks of a few
/// tenths of a second, one is likely to end in this time, and it is within the slack of an urgent
/// job.
pub const URGENT_WAIT_US: u64 = 80_000;
/// Multiple of a job's objective after which its completion earns nothing, by the platform's rules.
const LATE_FACTOR: u64 = 3;

/// Time from the last change of the workers after which admission relies on their number even if
/// few of them are known, in microseconds: several times the 150 ms between two connection attempts
/// of a sidecar.
const SETTLE_US: u64 = 500_000;

/// Time without a change of the workers after which their number counts as the usual one, in
/// microseconds: longer than most outages.
const STABLE_US: u64 = 5_000_000;

/// Time without an event after which the VM is taken to have been suspended, in microseconds: this
/// entry's lease plus the longest time between two events.
const SUSPENDED_US: u64 = sidecar::ENTRY_LEASE_US + MAX_SLEEP_US;
/// Longest time between two events of an entry, in microseconds.
pub const MAX_SLEEP_US: u64 = 100_000;

/// Time for which an entry counts as waiting for capacity after its last waiting task was sent, in
/// microseconds. It keeps the sidecars from being told of each short wait.
const WAITING_HOLD_US: u64 = 300_000;

/// Identifies one task of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Item {
    job: Job,
    task: u16,
}

/// A start that was sent and has neither ended nor been refused.
#[derive(Debug)]
struct Start {
    item: Item,
    worker: Worker,
    /// Time at which the start was sent.
    sent_us: u64,
    /// Run time extrapolated from the last report on its progress, in microseconds.
    total_us: Option<u64>,
    /// True if the run is being stopped so that the task can run elsewhere.
    moving: bool,
    /// Run time there as a multiple of that near the job's data and group.
    distance: f64,
    /// True once the worker's slowness has been measured by the progress of this run.
    measured: bool,
}

/// Schedules the jobs of one entry.
#[derive(Debug)]
pub struct Planner {
    workers: SlotMap<Worker, Member>,
    jobs: SlotMap<Job, Record>,
    by_id: HashMap<Arc<str>, Job>,
    /// Jobs with waiting tasks, by rank and serial number.
    queue: BTreeSet<(u64, u64, Job)>,
    /// Starts by number of the run.
    runs: BTreeMap<u64, Start>,
    next_run: u64,
    next_job: u64,
    /// Estimated run times by queue.
    estimates: HashMap<Arc<str>, Estimate>,
    kinds: Kinds,
    /// Slowness of a usual worker: the mean over those that accept work.
    usual: f64,
    /// Settings of places, if they are enabled.
    places: Option<Places>,
    /// Places by number.
    place_states: Vec<locality::Place>,
    /// Recent mean of the backlog and the time of its last update, by service and end of a class
    /// of ranks.
    backlog_means: HashMap<(Arc<str>, u64), (f64, u64)>,
    /// Time from which the connected workers are taken to be all workers.
    settled_us: u64,
    /// Highest number of workers that have accepted work at the same time since the start, or since
    /// the workers had not changed for `STABLE_US`.
    max_accepting: usize,
    /// Time of the last change of the workers.
    workers_changed_us: u64,
    absence: Absence,
    /// Expected waits by service, for refusals.
    waits: HashMap<Arc<str>, Wait>,
    /// Time until which this entry counts as having jobs that wait for capacity.
    waiting_until_us: u64,
    last_event_us: u64,
    /// Evacuated availability zones, whose workers get no starts.
    evacuations: Table,
    random: fastrand::Rng,
    effects: Vec<Effect>,
}

impl Planner {
    /// Creates a planner without workers and jobs.
    pub fn open(seed: u64) -> Self {
        Self {
            workers: SlotMap::with_key(),
            jobs: SlotMap::with_key(),
            by_id: HashMap::new(),
            queue: BTreeSet::new(),
            runs: BTreeMap::new(),
            next_run: 1,
            next_job: 1,
            estimates: HashMap::new(),
            kinds: Kinds::new(),
            usual: 1.0,
            places: None,
            place_states: Vec::new(),
            backlog_means: HashMap::new(),
            settled_us: 0,
            max_accepting: 0,
            workers_changed_us: 0,
            absence: Absence::default(),
            waits: HashMap::new(),
            waiting_until_us: 0,
            last_event_us: 0,
            evacuations: Table::default(),
            random: fastrand::Rng::with_seed(seed),
            effects: Vec::new(),
        }
    }

    /// Records that an event is being handled, and returns true if the VM was suspended for longer
    /// than the leases of this entry. Sidecars then stop all its runs and callers may have
    /// submitted their jobs elsewhere, so all jobs are given up.
    pub fn wake(&mut self, now_us: u64) -> bool {
        let idle_us = now_us.saturating_sub(std::mem::replace(&mut self.last_event_us, now_us));
        let is_first = idle_us == now_us;
        if is_first {
            self.settled_us = now_us + SETTLE_US;
        }
        let was_suspended = !is_first && idle_us > SUSPENDED_US;
        if was_suspended {
            self.give_up_all(now_us);
        }
        was_suspended
    }

    /// Gives up all jobs. Each is answered once it is known whether it ran, or after a short wait.
    pub fn give_up_all(&mut self, now_us: u64) {
        let jobs: Vec<Job> = self.jobs.keys().collect();
        for job in jobs {
            self.give_up(job, now_us);
        }
    }

    /// Returns the number of connected workers that accept work.
    pub fn accepting(&self) -> usize {
        self.workers.values().filter(|member| member.is_accepting()).count()
    }

    /// Returns whether jobs wait for capacity here, or did so until a moment ago.
    pub fn is_waiting(&self, now_us: u64) -> bool {
        now_us < self.waiting_until_us
    }

    /// Returns the number of jobs that have no answer yet.
    pub fn unanswered(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the number of jobs of a queue whose tasks have certainly not begun.
    pub fn pending(&self, queue: &str) -> usize {
        let is_pending = |job: &&Record| &*job.submission.queue == queue && job.is_untouched();
        self.jobs.values().filter(is_pending).count()
    }

    /// Returns the effects requested since the last call.
    pub fn drain(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Removes expired workers, handles jobs that are due, and sends waiting tasks.
    pub fn tick(&mut self, now_us: u64) {
        let expired: Vec<Worker> = self
            .workers
            .iter()
            .filter(|(_, member)| member.expires_us.is_some_and(|expires_us| expires_us <= now_us))
            .map(|(key, _)| key)
            .collect();
        for worker in expired {
            self.lose_runs(worker, |_| true, now_us);
            self.workers.remove(worker);
        }
        if self.workers_changed_us + STABLE_US <= now_us {
            self.max_accepting = self.accepting();
        }
        self.usual = self.mean_slowness(now_us);
        let due: Vec<Job> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.due_us() <= now_us)
            .map(|(key, _)| key)
            .collect();
        for job in due {
            self.job_due(job, now_us);
        }
        self.dispatch(now_us);
    }

    /// Returns the time at which `tick` has something to do, or `u64::MAX`.
    pub fn next_tick(&self) -> u64 {
        let jobs = self.jobs.values().map(Record::due_us);
        let workers = self.workers.values().filter_map(|member| member.expires_us);
        jobs.chain(workers).min().unwrap_or(u64::MAX)
    }
}
