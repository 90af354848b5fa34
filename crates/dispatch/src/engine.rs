//! The state of one service at one entry: admission, waiting tasks, routing and jobs in progress.
//!
//! Inputs come with the present time in microseconds. What has to be done in consequence is
//! appended to a list of actions that the caller drains.

mod action;
mod admit;
mod member;
mod outcome;
mod place;

pub use action::{
    Action, Answer, Decision, End, Finish, Held, Reason, Recall, Refusal, Report, Settings, Start,
    Submission,
};

use std::sync::Arc;

use crate::{
    code::Code,
    document::Document,
    estimate::{Rate, Runs},
    fair::{Class, Queue},
    health::Health,
    job,
    retry::Budget,
    route::{Fleet, Upstream},
};

/// Time without a report after which other entries' tasks are assumed to end, in microseconds.
const STALE_US: u64 = 1_000_000;
/// Upstreams whose reports are checked for age in each tick.
const AGE_VISITS: usize = 32;
/// Run time by which the wait of a late job is divided, in microseconds; shorter than any real one.
const LATE_US: u32 = 1;
/// Time that every task needs beside waiting and running, in microseconds.
const ROUND_TRIP_US: u64 = 2_000;

/// A kind of work at this entry.
#[derive(Debug)]
struct Kind {
    name: Arc<str>,
    deadline_ms: u32,
    max_waiting: u32,
    idempotent: bool,
    retired: bool,
    run: Runs,
    starts: Rate,
    backlog: Option<Backlog>,
}

/// Tasks of a kind that have been waiting without interruption.
#[derive(Debug, Clone, Copy)]
struct Backlog {
    since_us: u64,
    /// Starts since then.
    starts: Rate,
    count: u32,
}

/// Numbers for metrics and for tests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Jobs in progress, including answered ones whose starts have no outcome yet.
    pub jobs: usize,
    /// Tasks that wait.
    pub waiting: usize,
    /// Starts without outcome.
    pub sent: usize,
    /// Upstreams.
    pub upstreams: usize,
    /// Bytes of payloads and responses held.
    pub bytes: usize,
    /// Slots of upstreams that may get work.
    pub slots: u32,
    /// Free slots, as far as this entry knows.
    pub free: u32,
}

/// The state of one service at one entry.
#[derive(Debug)]
pub struct Engine {
    settings: Settings,
    rng: fastrand::Rng,
    document: Option<Document>,
    revision: u64,
    kinds: Vec<Kind>,
    /// Index of each kind of the document, in the document's order.
    order: Vec<u16>,
    queue: Queue,
    fleet: Fleet,
    jobs: job::Table,
    health: Health<Upstream>,
    /// Ejected upstreams, to which probes are sent.
    ejected: Vec<Upstream>,
    retries: Budget,
    sent: usize,
    /// When the first upstream was connected.
    member_us: Option<u64>,
    actions: Vec<Action>,
    /// Upstreams with starts to be recalled.
    recalling: Vec<Upstream>,
}

fn empty() -> Arc<[u8]> {
    Arc::from(&[][..])
}

impl Engine {
    /// An engine without document and upstreams. The seed decides all random choices.
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
            jobs: job::Table::default(),
            health: Health::new(0),
            ejected: Vec::new(),
            retries: Budget::new(),
            sent: 0,
            member_us: None,
            actions: Vec::new(),
            recalling: Vec::new(),
        }
    }

    /// The actions since the last call. The list is the caller's to drain.
    ///
    /// Recalls are collected until then, so that a wave of cancellations costs each sidecar one.
    pub fn actions(&mut self) -> &mut Vec<Action> {
        for upstream in std::mem::take(&mut self.recalling) {
            let sequences = self.fleet.take_recalls(upstream);
            if !sequences.is_empty() {
                self.actions.push(Action::Recall(Recall { upstream, sequences, stop: true }));
            }
        }
        &mut self.actions
    }

    /// The upstreams.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// The jobs in progress.
    pub fn jobs(&self) -> &job::Table {
        &self.jobs
    }

    /// Health of the upstreams.
    pub fn health(&self) -> &Health<Upstream> {
        &self.health
    }

    /// Shares and use of the kinds.
    pub fn shares(&self) -> &Queue {
        &self.queue
    }

    /// Name of a kind by its index in a decision.
    pub fn kind_name(&self, class: u16) -> Option<&Arc<str>> {
        self.kinds.get(usize::from(class)).map(|kind| &kind.name)
    }

    /// Revision of the document in effect; 0 if there is none.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Counts of what is held.
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

    /// Puts a document into effect unless its revision is not higher than the present one. Kinds
    /// are matched by name; waiting work of a removed kind is still done, outside any share.
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
            let own = &mut self.kinds[class];
            own.retired = false;
            own.deadline_ms = kind.deadline_ms;
            own.max_waiting = kind.max_waiting;
            own.idempotent = kind.idempotent;
        }
        self.pump(now_us);
    }

    /// Index of the kind of this name: its present one, one of a retired idle kind, or a new one.
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

    fn is_idle(&self, class: usize) -> bool {
        let use_of = &self.queue.classes[class];
        let referenced = self.order.contains(&(class as u16));
        self.kinds[class].retired && !referenced && use_of.waiting == 0 && use_of.outstanding == 0
    }

    /// Cancels a job. Its answer follows once it is certain whether anything ran.
    pub fn cancel(&mut self, job: job::Key, now_us: u64) {
        self.fail(job, Code::Cancelled, None, empty());
        self.pump(now_us);
    }

    /// Gives up waiting tasks past their deadline and places what can be placed.
    pub fn tick(&mut self, now_us: u64) {
        for class in 0..self.kinds.len() {
            while let Some(job) = self.overdue(class, now_us) {
                self.fail(job, Code::Expired, None, empty());
            }
        }
        self.health.tick(now_us);
        self.fleet.age(&mut self.queue.remote, STALE_US, AGE_VISITS, now_us);
        self.pump(now_us);
    }

    /// Jobs of a group wait in the order of their deadlines, so that the first decides.
    fn overdue(&self, class: usize, now_us: u64) -> Option<job::Key> {
        let mut first = self.jobs.first(class);
        first.find(|(_, row)| row.deadline_us < now_us).map(|(job, _)| job)
    }

    /// The waiting job of a kind whose wait is the longest in relation to its expected run time. Past
    /// half of its deadline a job goes before all that are younger.
    fn first(&self, class: usize, now_us: u64) -> Option<(job::Key, &job::Row)> {
        let run = &self.kinds[class].run;
        let mut best: Option<(f32, (job::Key, &job::Row))> = None;
        for (job, row) in self.jobs.first(class) {
            let waited_us = now_us.saturating_sub(row.accepted_us) + ROUND_TRIP_US;
            let late =
                (now_us.saturating_sub(row.accepted_us)) * 2 > row.deadline_us - row.accepted_us;
            let expected_us = if late { LATE_US } else { run.mean_us(row.band).max(1) };
            let ratio = waited_us as f32 / expected_us as f32;
            if best.as_ref().is_none_or(|(least, _)| ratio > *least) {
                best = Some((ratio, (job, row)));
            }
        }
        best.map(|(_, first)| first)
    }

    fn add_waiting(&mut self, class: usize, count: u32, now_us: u64) {
        self.queue.classes[class].waiting += count;
        let backlog = &mut self.kinds[class].backlog;
        backlog.get_or_insert(Backlog { since_us: now_us, starts: Rate::default(), count: 0 });
    }

    fn remove_waiting(&mut self, class: usize, count: u32) {
        let class_use = &mut self.queue.classes[class];
        class_use.waiting -= count;
        if class_use.waiting == 0 {
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
            run: Runs::default(),
            starts: Rate::default(),
            backlog: None,
        }
    }
}
