//! Decisions of an entry: which jobs wait, which are refused, and where their tasks go.
//!
//! Jobs wait at the entry, the most urgent kind first and then by arrival. Tasks go to sidecars when room is
//! known to be free, so that a wrong choice costs one round trip and not a wait. Only urgent tasks may wait
//! at full sidecars, which order what all entries send them.

pub mod action;
mod admission;
mod estimate;
mod job;
mod place;
mod progress;
mod worker;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};

use slotmap::SlotMap;

pub use action::{Answer, Effect};
pub use job::{Key as Job, Submission};
pub use worker::{Load, Worker};

use self::{admission::Kinds, estimate::Estimate, job::Record, worker::Member};
use crate::worker as sidecar;

/// Time after the last renewal that this entry sent until a run at an unreachable sidecar has
/// certainly ended, in microseconds: the entry's lease there, then the sidecar's lease at its
/// upstream on a clock that is slow, then the time of a stop.
pub const GONE_US: u64 = sidecar::ENTRY_LEASE_US
    + sidecar::UPSTREAM_LEASE_US * (1000 + sidecar::SLOW_CLOCK_PERMILLE) / 1000
    + sidecar::STOP_US;
/// Longest wait of a start at a sidecar, in microseconds. It covers a race of several entries for the
/// same room; beyond it the entry knows better.
pub const SIDECAR_WAIT_US: u64 = 5_000;
/// Longest wait of an urgent start at a sidecar that is full, in microseconds: the time in which one of
/// some ten tasks of a few tenths of a second is likely to end, within the slack of an urgent job.
pub const URGENT_WAIT_US: u64 = 80_000;
/// Time after which a job that cannot be done in time is too late to earn anything, as a multiple of
/// its objective; from the platform's rules.
const LATE_FACTOR: u64 = 3;
/// Shortest and longest time after which a refused caller is told to return, in milliseconds.
const RETRY_MS: (u64, u64) = (50, 1_000);

/// Time from the last change of the workers after which their number counts in admission, in microseconds,
/// when few of them are known: several times the 150 ms between two attempts of a sidecar to connect.
const SETTLE_US: u64 = 500_000;

/// Time without an event after which the VM was suspended, in microseconds: the lease of this entry,
/// and the longest sleep between two events.
const SUSPENDED_US: u64 = sidecar::ENTRY_LEASE_US + MAX_SLEEP_US;
/// Longest time between two events of an entry, in microseconds.
pub const MAX_SLEEP_US: u64 = 100_000;

/// Where a task of a job is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Place {
    job: Job,
    task: u16,
}

/// A start that was sent.
#[derive(Debug)]
struct Sent {
    place: Place,
    worker: Worker,
    /// It is being stopped to run elsewhere.
    moving: bool,
    /// Its progress has been measured.
    measured: bool,
}

/// Plans the jobs of one entry.
#[derive(Debug)]
pub struct Planner {
    workers: SlotMap<Worker, Member>,
    jobs: SlotMap<Job, Record>,
    by_name: HashMap<Arc<str>, Job>,
    /// Jobs with tasks that wait, by rank.
    queue: BTreeSet<(u64, u64, Job)>,
    runs: BTreeMap<u64, Sent>,
    next_run: u64,
    next_job: u64,
    estimates: HashMap<Arc<str>, Estimate>,
    kinds: Kinds,
    /// By service and end of a class of ranks, the mean work that waited lately, and its time.
    queued: HashMap<(Arc<str>, u64), (f64, u64)>,
    /// Time from which the workers that are connected are taken to be all.
    settled_us: u64,
    /// Most workers that have taken work at one time since the start.
    most_accepting: usize,
    /// Entries that share the workers, this one included.
    entries: u64,
    woke_us: u64,
    random: fastrand::Rng,
    effects: Vec<Effect>,
}

impl Planner {
    /// Starts without workers and jobs.
    pub fn new(seed: u64) -> Self {
        Self {
            workers: SlotMap::with_key(),
            jobs: SlotMap::with_key(),
            by_name: HashMap::new(),
            queue: BTreeSet::new(),
            runs: BTreeMap::new(),
            next_run: 1,
            next_job: 1,
            estimates: HashMap::new(),
            kinds: Kinds::new(),
            queued: HashMap::new(),
            settled_us: 0,
            most_accepting: 0,
            entries: 1,
            woke_us: 0,
            random: fastrand::Rng::with_seed(seed),
            effects: Vec::new(),
        }
    }

    /// Notes that an event is being handled. True after a suspension of the VM that was longer than the
    /// leases of this entry: all its runs are being stopped, their callers may have submitted them
    /// elsewhere, and all jobs are given up.
    pub fn wake(&mut self, now_us: u64) -> bool {
        let slept_us = now_us.saturating_sub(std::mem::replace(&mut self.woke_us, now_us));
        let first = slept_us == now_us;
        if first {
            self.settled_us = now_us + SETTLE_US;
        }
        let suspended = !first && slept_us > SUSPENDED_US;
        if suspended {
            self.give_up_all(now_us);
        }
        suspended
    }

    /// Gives up all jobs: their answers follow once it is known whether they ran.
    pub fn give_up_all(&mut self, now_us: u64) {
        let jobs: Vec<Job> = self.jobs.keys().collect();
        for job in jobs {
            self.give_up(job, now_us);
        }
    }

    /// Number of entries that share the workers, this one included.
    pub fn set_entries(&mut self, entries: usize) {
        self.entries = entries.max(1) as u64;
    }

    /// Number of workers that take work.
    pub fn accepting(&self) -> usize {
        self.workers.values().filter(|member| member.connected && member.profile.ready).count()
    }

    /// Number of jobs that have no answer yet.
    pub fn unanswered(&self) -> usize {
        self.jobs.len()
    }

    /// Number of jobs of a queue whose tasks all wait.
    pub fn pending(&self, queue: &str) -> usize {
        let waits = |job: &&Record| &*job.submission.queue == queue && job.is_untouched();
        self.jobs.values().filter(waits).count()
    }

    /// Takes what was decided since the last call.
    pub fn drain(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Does what is due at this time.
    pub fn tick(&mut self, now_us: u64) {
        let gone: Vec<Worker> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.gone_us.is_some_and(|gone_us| gone_us <= now_us))
            .map(|(key, _)| key)
            .collect();
        for worker in gone {
            self.lose_runs(worker, |_| true, now_us);
            self.workers.remove(worker);
        }
        let late: Vec<Job> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.due_us() <= now_us)
            .map(|(key, _)| key)
            .collect();
        for job in late {
            self.job_due(job, now_us);
        }
        self.dispatch(now_us);
    }

    /// Time at which `tick` has something to do.
    pub fn next_tick(&self) -> u64 {
        let jobs = self.jobs.values().map(Record::due_us);
        let workers = self.workers.values().filter_map(|worker| worker.gone_us);
        jobs.chain(workers).min().unwrap_or(u64::MAX)
    }
}
