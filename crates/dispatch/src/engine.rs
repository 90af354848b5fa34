//! Dispatching engine of one service at one entry: admission control, waiting tasks, routing and
//! jobs in progress.
//!
//! Every input carries the current time in microseconds. The engine appends the resulting actions
//! to a list that the caller drains.

mod action;
mod admit;
mod evacuate;
mod member;
mod outcome;
mod place;

pub use action::{
    Action, Answer, Decision, End, Finish, Reason, Recall, Refusal, Report, Settings, Start,
    Status, Submission,
};

use std::sync::Arc;

use crate::{
    code::Code,
    document::Document,
    estimate::{Durations, Rate},
    evacuation,
    fair::{Class, Queue},
    health::Health,
    job,
    retry::Budget,
    route::{Fleet, Upstream},
};

/// Age of a load report, in microseconds, after which tasks of other entries are assumed to
/// end.
const STALE_US: u64 = 1_000_000;
/// Number of upstreams whose load reports are checked for their age in each tick.
const AGED_PER_TICK: usize = 32;
/// Run time assumed for a late job when waiting jobs are ranked, in microseconds. It is shorter
/// than any real run time, so that late jobs come first.
const LATE_RUN_US: u32 = 1;
/// Overhead of every task in addition to waiting and running, in microseconds.
const ROUND_TRIP_US: u64 = 2_000;

/// State of a kind of work at this entry.
#[derive(Debug)]
struct Kind {
    name: Arc<str>,
    deadline_ms: u32,
    max_waiting: u32,
    idempotent: bool,
    /// True if the document in effect does not contain the kind.
    retired: bool,
    durations: Durations,
    starts: Rate,
    backlog: Option<Backlog>,
}

/// Uninterrupted period during which a kind has had waiting tasks.
#[derive(Debug, Clone, Copy)]
struct Backlog {
    since_us: u64,
    /// Rate of starts since then.
    starts: Rate,
    /// Number of starts since then.
    count: u32,
}

/// Totals of an engine, for metrics and tests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Number of jobs in progress, including answered ones with starts that have no outcome yet.
    pub jobs: usize,
    /// Number of waiting tasks.
    pub waiting: usize,
    /// Number of starts without an outcome.
    pub sent: usize,
    /// Number of upstreams.
    pub upstreams: usize,
    /// Size of the payloads and responses held, in bytes.
    pub bytes: usize,
    /// Number of slots of all upstreams that accept work.
    pub slots: u32,
    /// Number of slots that this entry believes to be free.
    pub free: u32,
}

/// Dispatching engine of one service at one entry.
#[derive(Debug)]
pub struct Engine {
    settings: Settings,
    rng: fastrand::Rng,
    document: Option<Document>,
    revision: u64,
    kinds: Vec<Kind>,
    /// Maps the position of a kind in the document to its index in `kinds`.
    order: Vec<u16>,
    queue: Queue,
    fleet: Fleet,
    evacuations: evacuation::Table,
    jobs: job::Table,
    health: Health<Upstream>,
    /// Ejected upstreams, which receive only probes.
    ejected: Vec<Upstream>,
    retries: Budget,
    sent: usize,
    /// When the first upstream connected, in microseconds.
    first_connected_us: Option<u64>,
    actions: Vec<Action>,
    /// Upstreams with starts to recall when the actions are next drained.
    pending_recalls: Vec<Upstream>,
}

fn empty_body() -> Arc<[u8]> {
    Arc::from(&[][..])
}

impl Engine {
    /// Creates an engine without a document or upstreams. All random choices derive from the seed.
    pub fn open(settings: Settings, seed: u64) -> Self {
        let fleet = Fleet::new(&settings.zone);
        Self {
            settings,
            rng: fastrand::Rng::with_seed(seed),
            document: None,
            revision: 0,
            kinds: Vec::new(),
            order: Vec::new(),
            queue: Queue::default(),
            fleet,
            evacuations: evacuation::Table::default(),
            jobs: job::Table::default(),
            health: Health::new(0),
            ejected: Vec::new(),
            retries: Budget::new(),
            sent: 0,
            first_connected_us: None,
            actions: Vec::new(),
            pending_recalls: Vec::new(),
        }
    }

    /// Returns the pending actions for the caller to drain.
    ///
    /// Recalls are collected until this call, so that a burst of cancellations produces only one
    /// recall per sidecar.
    pub fn actions(&mut self) -> &mut Vec<Action> {
        for upstream in std::mem::take(&mut self.pending_recalls) {
            let sequences = self.fleet.take_recalls(upstream);
            if !sequences.is_empty() {
                self.actions.push(Action::Recall(Recall { upstream, sequences, stop: true }));
            }
        }
        &mut self.actions
    }

    /// Returns the upstreams of the service.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Returns the jobs in progress.
    pub fn jobs(&self) -> &job::Table {
        &self.jobs
    }

    /// Returns the health of the upstreams.
    pub fn health(&self) -> &Health<Upstream> {
        &self.health
    }

    /// Returns the guaranteed shares and current usage of the kinds.
    pub fn shares(&self) -> &Queue {
        &self.queue
    }

    /// Returns the name of a kind by its index, as used in `Decision::class`.
    pub fn kind_name(&self, class: u16) -> Option<&Arc<str>> {
        self.kinds.get(usize::from(class)).map(|kind| &kind.name)
    }

    /// Returns the revision of the document in effect, or 0 if there is none.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the totals of the engine.
    pub fn counts(&self) -> Counts {
        Counts {
            jobs: self.jobs.len(),
            waiting: self.queue.classes.iter().map(|class| class.waiting as usize).sum(),
            sent: self.sent,
            upstreams: self.fleet.len(),
            bytes: self.jobs.bytes(),
            slots: self.fleet.slots(),
            free: self.fleet.free(),
        }
    }

    /// Puts a document into effect if its revision is higher than the current one.
    ///
    /// Kinds are matched by name. Waiting work of a removed kind still runs, but without a
    /// guaranteed share.
    pub fn apply(&mut self, document: &Document, revision: u64, now_us: u64) {
        if revision <= self.revision && self.document.is_some() {
            return;
        }
        self.revision = revision;
        self.document = Some(document.clone());
        self.order.clear();
        for (class, kind) in self.kinds.iter_mut().enumerate() {
            kind.retired = true;
            self.queue.classes[class].share_percent = 0;
        }
        for kind in &document.kinds {
            let class = self.class_for(&kind.name);
            self.order.push(class as u16);
            self.queue.classes[class].urgency = kind.urgency;
            self.queue.classes[class].share_percent = kind.share_percent;
            let state = &mut self.kinds[class];
            state.retired = false;
            state.deadline_ms = kind.deadline_ms;
            state.max_waiting = kind.max_waiting;
            state.idempotent = kind.idempotent;
        }
        self.dispatch_waiting(now_us);
    }

    /// Returns the index for a kind of this name: its existing index, that of a retired idle kind
    /// to be replaced, or a new one.
    fn class_for(&mut self, name: &str) -> usize {
        let known = self.kinds.iter().position(|kind| *kind.name == *name);
        if let Some(class) = known {
            return class;
        }
        let idle = (0..self.kinds.len()).find(|&class| self.is_idle(class));
        let class = idle.unwrap_or_else(|| {
            let class = Class::new(crate::document::Urgency::Low, 0);
            self.jobs.add_class();
            self.kinds.push(Kind::new(name));
            self.queue.add(class)
        });
        self.kinds[class] = Kind::new(name);
        class
    }

    /// Returns true if a kind is retired and has neither waiting tasks nor starts without an
    /// outcome.
    fn is_idle(&self, class: usize) -> bool {
        let usage = &self.queue.classes[class];
        let referenced = self.order.contains(&(class as u16));
        self.kinds[class].retired && !referenced && usage.waiting == 0 && usage.outstanding == 0
    }

    /// Cancels a job. The answer is emitted once it is certain whether anything ran.
    pub fn cancel(&mut self, job: job::Key, now_us: u64) {
        self.fail(job, Code::Cancelled, None, empty_body());
        self.dispatch_waiting(now_us);
    }

    /// Fails waiting jobs past their deadline, ages health data and load reports, and sends the
    /// waiting tasks that can be placed.
    pub fn tick(&mut self, now_us: u64) {
        for class in 0..self.kinds.len() {
            while let Some(job) = self.overdue(class, now_us) {
                self.fail(job, Code::Expired, None, empty_body());
            }
        }
        self.health.tick(now_us);
        self.fleet.age_reports(&mut self.queue.remote, STALE_US, AGED_PER_TICK, now_us);
        self.dispatch_waiting(now_us);
    }

    /// Returns a waiting job of the kind that is past its deadline, if there is one. Jobs of a
    /// bucket wait in the order of their deadlines, so only the first job of each bucket is
    /// checked.
    fn overdue(&self, class: usize, now_us: u64) -> Option<job::Key> {
        let mut oldest = self.jobs.oldest(class);
        oldest.find(|(_, row)| row.deadline_us < now_us).map(|(job, _)| job)
    }

    /// Returns the waiting job of a kind with the highest ratio of waiting time to expected run
    /// time. A job past half of its deadline precedes all younger jobs.
    fn next_job(&self, class: usize, now_us: u64) -> Option<(job::Key, &job::Row)> {
        let durations = &self.kinds[class].durations;
        let mut best: Option<(f32, (job::Key, &job::Row))> = None;
        for (job, row) in self.jobs.oldest(class) {
            let waited_us = now_us.saturating_sub(row.accepted_us) + ROUND_TRIP_US;
            let late =
                (now_us.saturating_sub(row.accepted_us)) * 2 > row.deadline_us - row.accepted_us;
            let expected_us = if late { LATE_RUN_US } else { durations.mean_us(row.bucket).max(1) };
            let ratio = waited_us as f32 / expected_us as f32;
            if best.as_ref().is_none_or(|(highest, _)| ratio > *highest) {
                best = Some((ratio, (job, row)));
            }
        }
        best.map(|(_, next)| next)
    }

    /// Counts tasks of a kind as waiting, and begins a backlog if there is none.
    fn add_waiting(&mut self, class: usize, count: u32, now_us: u64) {
        self.queue.classes[class].waiting += count;
        let backlog = &mut self.kinds[class].backlog;
        backlog.get_or_insert(Backlog { since_us: now_us, starts: Rate::default(), count: 0 });
    }

    /// Counts tasks of a kind as no longer waiting, and ends the backlog with the last one.
    fn remove_waiting(&mut self, class: usize, count: u32) {
        let usage = &mut self.queue.classes[class];
        usage.waiting -= count;
        if usage.waiting == 0 {
            self.kinds[class].backlog = None;
        }
    }
}

impl Kind {
    fn new(name: &str) -> Self {
        Self {
            name: name.into(),
            deadline_ms: 0,
            max_waiting: 0,
            idempotent: false,
            retired: false,
            durations: Durations::default(),
            starts: Rate::default(),
            backlog: None,
        }
    }
}
