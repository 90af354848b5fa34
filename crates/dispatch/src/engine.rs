//! The state of one service at one entry: admission, waiting tasks, routing and jobs in progress.
//!
//! Inputs come with the present time in microseconds. What has to be done in consequence is
//! appended to a list of actions that the caller drains.

mod action;

pub use action::{
    Action, Answer, Decision, End, Finish, Held, Reason, Recall, Refusal, Report, Settings, Start,
    Submission,
};

use std::sync::Arc;

use slotmap::Key as _;

use crate::{
    admission::{retry_ms, Demand, Verdict},
    code::{Code, Fate},
    document::{Document, JOB_TASKS},
    estimate::{band, Rate, Runs},
    fair::{Class, Pick, Queue},
    health::{self, Health},
    job::{self, Place},
    retry::{Attempt, Budget},
    route::{Choice, Fleet, Flight, Load, State, Upstream},
};

/// Membership is complete enough to judge what can never run after this time, in microseconds.
const MEMBERSHIP_US: u64 = 5_000_000;
/// Time without a report after which other entries' tasks are assumed to end, in microseconds.
const STALE_US: u64 = 1_000_000;
/// Upstreams whose reports are checked for age in each tick.
const AGE_VISITS: usize = 32;
/// A start may wait in a gate's queue for so many times the expected interval between two ends there
/// while the fleet is full: being refused and sent elsewhere would cost two messages and gain little.
const FULL_GAPS: f32 = 2.0;
/// The same for work within its share, which another upstream's kept slot may serve sooner.
const SHARE_GAPS: f32 = 1.0;
/// The same while other upstreams have free slots.
const FREE_GAPS: f32 = 0.4;
/// Part of the fleet's slots that must be free for `FREE_GAPS`, as a divisor.
const FREE_PART: u32 = 10;
/// A kind with waiting tasks for this long is served at its measured rate, in microseconds.
const BACKLOG_US: u64 = 1_000_000;
/// Run time by which the wait of a late job is divided, in microseconds; shorter than any real one.
const LATE_US: u32 = 1;
/// Time that every task needs beside waiting and running, in microseconds.
const ROUND_TRIP_US: u64 = 2_000;
/// Retry hint while there is no upstream or no document, in milliseconds.
const ABSENT_RETRY_MS: f32 = 1_000.0;

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
    /// Since when tasks of the kind have been waiting without interruption.
    backlog_us: Option<u64>,
}

/// Numbers for metrics and for tests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Census {
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
    pub fn census(&self) -> Census {
        Census {
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
        self.kinds[class].retired && !referenced && use_of.waiting == 0 && use_of.own == 0
    }

    /// Adds an upstream whose sidecar has answered on a link. A known name with a new incarnation
    /// means that the old one is lost.
    pub fn connected(
        &mut self,
        name: &str,
        zone: &str,
        incarnation: u64,
        slots: u16,
        load: &Load<'_>,
        now_us: u64,
    ) -> Upstream {
        let known = self.fleet.find(name);
        if let Some(upstream) = known {
            let same = self.fleet.get(upstream).is_some_and(|row| row.incarnation == incarnation);
            if same {
                self.load(upstream, load, now_us);
                return upstream;
            }
            self.lost(upstream, now_us);
        }
        self.member_us.get_or_insert(now_us);
        let upstream = self.fleet.add(name, zone, incarnation, slots);
        self.health.add(upstream);
        self.load(upstream, load, now_us);
        upstream
    }

    /// Records a reported load.
    pub fn load(&mut self, upstream: Upstream, load: &Load<'_>, now_us: u64) {
        self.report(upstream, load, now_us);
        self.pump(now_us);
    }

    fn report(&mut self, upstream: Upstream, load: &Load<'_>, now_us: u64) {
        let order = if load.revision == self.revision { &self.order[..] } else { &[] };
        self.fleet.report(upstream, load, order, &mut self.queue.others, now_us);
    }

    /// Accepts or refuses a job or a single request as a whole.
    ///
    /// # Errors
    ///
    /// A refusal means that nothing of the submission will run.
    pub fn submit(
        &mut self,
        submission: &Submission<'_>,
        now_us: u64,
    ) -> Result<job::Key, Refusal> {
        let class = self.runnable(submission, now_us)?;
        self.admit(class, submission, now_us)?;
        let kind = &self.kinds[class];
        let deadline_us = now_us + u64::from(kind.deadline_ms) * 1_000;
        let mut row = job::Row::new(class as u16, submission.payloads, now_us, deadline_us);
        row.retryable = submission.single && kind.idempotent;
        if row.retryable {
            self.retries.first(now_us);
        }
        row.band = band(submission.declared_ms);
        let waiting = u32::from(row.waiting);
        let key = self.jobs.add(row);
        self.add_waiting(class, waiting, now_us);
        self.pump(now_us);
        Ok(key)
    }

    /// Finds the kind, and refuses what can never run.
    fn runnable(&mut self, submission: &Submission<'_>, now_us: u64) -> Result<usize, Refusal> {
        let Some(document) = &self.document else {
            return Err(self.refusal(Code::NoDocument, Some(ABSENT_RETRY_MS)));
        };
        let known = self.kinds.iter().position(|kind| *kind.name == *submission.kind);
        let Some(class) = known.filter(|&class| !self.kinds[class].retired) else {
            return Err(self.refusal(Code::UnknownKind, None));
        };
        let tasks = submission.payloads.len();
        let malformed = tasks == 0 || (submission.single && tasks > 1);
        if malformed {
            return Err(self.refusal(Code::BadRequest, None));
        }
        if tasks > JOB_TASKS {
            return Err(self.refusal(Code::TooLarge, None));
        }
        let too_big = submission.milli_cpus.is_some_and(|cpus| cpus > document.max_milli_cpus)
            || submission.memory_mb.is_some_and(|memory| memory > document.max_memory_mb);
        let age_us = self.member_us.map_or(0, |since_us| now_us.saturating_sub(since_us));
        let capacity = self.kinds[class].max_waiting + self.fleet.slots();
        let never_fits = tasks as u32 > capacity && age_us >= MEMBERSHIP_US;
        if too_big || never_fits {
            return Err(self.refusal(Code::NeverRunnable, None));
        }
        Ok(class)
    }

    fn admit(
        &mut self,
        class: usize,
        submission: &Submission<'_>,
        now_us: u64,
    ) -> Result<(), Refusal> {
        if self.fleet.slots() == 0 {
            return Err(self.refusal(Code::NoUpstream, Some(ABSENT_RETRY_MS)));
        }
        let bytes: usize = submission.payloads.iter().map(|payload| payload.len()).sum();
        if self.jobs.bytes() + bytes > self.settings.max_bytes {
            return Err(self.refusal(Code::Overloaded, Some(ABSENT_RETRY_MS)));
        }
        let demand = Demand {
            tasks: submission.payloads.len() as u32,
            waiting: self.queue.classes[class].waiting,
            max_waiting: self.kinds[class].max_waiting,
            free: self.usable_free(class),
            rate: self.rate(class, band(submission.declared_ms), now_us),
            deadline_ms: self.kinds[class].deadline_ms,
        };
        match demand.judge() {
            Verdict::Accept => Ok(()),
            Verdict::Refuse { code, after_ms } => Err(self.refusal(code, Some(after_ms))),
        }
    }

    fn refusal(&mut self, code: Code, after_ms: Option<f32>) -> Refusal {
        let retry_ms = after_ms.map_or(0, |after_ms| retry_ms(after_ms, &mut self.rng));
        Refusal { code, retry_ms }
    }

    /// Free slots that a kind may use now.
    fn usable_free(&self, class: usize) -> u32 {
        let slots = self.fleet.slots();
        if !self.queue.leaves_headroom(class, slots) {
            return self.fleet.free();
        }
        let reserved = slots * crate::route::HEADROOM_SLOTS / crate::route::HEADROOM_OF_SLOTS;
        self.fleet.free().saturating_sub(reserved)
    }

    /// Starts a second that a kind can count on here. Once it has been waiting for a while, this is
    /// the measured rate; before, its share and free slots may
    /// give it more than it has used.
    fn rate(&self, class: usize, band: u8, now_us: u64) -> f32 {
        let kind = &self.kinds[class];
        let measured = kind.starts.per_second(now_us);
        let backlogged =
            kind.backlog_us.is_some_and(|since_us| now_us.saturating_sub(since_us) > BACKLOG_US);
        if backlogged {
            return measured;
        }
        let share = f32::from(self.queue.classes[class].share_percent.max(1)) / 100.0;
        let lent = self.queue.classes[class].own + self.usable_free(class);
        let slots = (share * self.fleet.slots() as f32).max(lent as f32);
        let run_us = kind.run.mean_us(band).max(1);
        measured.max(slots * 1_000_000.0 / run_us as f32)
    }

    /// A task ended at a sidecar.
    pub fn finish(&mut self, upstream: Upstream, finish: &Finish<'_>, now_us: u64) {
        let flight = self.land(upstream, finish.sequence);
        if let Some(flight) = flight {
            let class = usize::from(flight.class);
            let beyond_us = u64::from(finish.queue_us) + u64::from(finish.run_us);
            let total_us = now_us.saturating_sub(flight.sent_us);
            self.fleet.measure(upstream, total_us.saturating_sub(beyond_us));
            self.queue.settle(class, flight.charged_us, finish.run_us);
            if finish.end == End::Done {
                let band = self.jobs.get(flight.job).map_or(0, |row| row.band);
                self.kinds[class].run.record(band, finish.run_us);
            }
        }
        self.report(upstream, &finish.load, now_us);
        if let Some(flight) = flight {
            self.judge(upstream, flight.job, finish.end, now_us);
            self.end(upstream, &flight, finish.end, finish.body.clone(), now_us);
        }
        self.pump(now_us);
    }

    /// Counts for or against an upstream how a task ended there.
    fn judge(&mut self, upstream: Upstream, job: job::Key, end: End, now_us: u64) {
        let slots = self.fleet.get(upstream).map_or(0, |row| row.slots);
        let job = job.data().as_ffi();
        match end {
            End::Done => {
                self.health.succeeded(upstream, job, slots, now_us);
            }
            End::Failed(Code::TaskFailed) | End::Unknown(Code::UpstreamTimeout) => {
                self.health.failed(upstream, job, now_us);
            }
            End::Failed(_) | End::Unknown(_) => return,
        }
        self.apply_health(upstream, now_us);
    }

    /// Lets routing follow an upstream's health.
    fn apply_health(&mut self, upstream: Upstream, now_us: u64) {
        let Some(row) = self.fleet.get(upstream) else {
            return;
        };
        let (slots, state, allowance) = (row.slots, row.state, row.allowance);
        let ejected = matches!(self.health.state(upstream), Some(health::State::Ejected { .. }));
        let wanted = if ejected { State::Ejected } else { State::Open };
        let may_change = matches!(state, State::Open | State::Ejected);
        if may_change && state != wanted {
            self.ejected.retain(|&other| other != upstream);
            if ejected {
                self.ejected.push(upstream);
            }
            self.fleet.set_state(upstream, wanted);
        }
        let permitted = self.health.allowance(upstream, slots, now_us);
        // Health counts slots, the window also the gate's queue.
        let permitted = if permitted >= slots { u16::MAX } else { permitted };
        if permitted != allowance {
            self.fleet.set_allowance(upstream, permitted);
        }
    }

    /// A start was refused; it was not run and will not be.
    pub fn refuse(
        &mut self,
        upstream: Upstream,
        sequence: u64,
        code: Code,
        load: &Load<'_>,
        now_us: u64,
    ) {
        let flight = self.land(upstream, sequence);
        self.report(upstream, load, now_us);
        if code == Code::Closing {
            self.fleet.set_state(upstream, State::Closing);
        }
        if let Some(flight) = flight {
            self.not_run(&flight, now_us);
        }
        self.pump(now_us);
    }

    /// What became of recalled starts or of those that were inquired about.
    pub fn fates(&mut self, upstream: Upstream, reports: &[Report], now_us: u64) {
        for report in reports {
            match report.held {
                Held::Never => {
                    if let Some(flight) = self.land(upstream, report.sequence) {
                        self.not_run(&flight, now_us);
                    }
                }
                Held::Running => self.runs(upstream, report.sequence),
                Held::Queued => {}
                Held::Finished => {
                    // The finish comes first; without it, only this much is known.
                    if let Some(flight) = self.land(upstream, report.sequence) {
                        self.end(
                            upstream,
                            &flight,
                            End::Unknown(Code::UpstreamLost),
                            empty(),
                            now_us,
                        );
                    }
                }
            }
        }
        self.pump(now_us);
    }

    /// A start is known to run; a job that was cancelled can be answered.
    fn runs(&mut self, upstream: Upstream, sequence: u64) {
        let Some(row) = self.fleet.get(upstream) else {
            return;
        };
        let found = row.flights.binary_search_by_key(&sequence, |flight| flight.sequence);
        let Ok(index) = found else {
            return;
        };
        let job = row.flights[index].job;
        if let Some(row) = self.jobs.get_mut(job) {
            row.unknown |= row.is_failing();
        }
        self.conclude(job);
    }

    /// The link to an upstream is lost. Nothing is sent until it is back; outcomes are unknown.
    pub fn suspended(&mut self, upstream: Upstream, _now_us: u64) {
        self.fleet.discount(upstream, &mut self.queue.others);
        self.fleet.set_state(upstream, State::Suspended);
    }

    /// The link is back. Returns the sequences of the starts whose outcome has to be inquired. With
    /// a new incarnation of the sidecar, its old starts may have run and there is nothing to ask. The
    /// upstream may get work at once; if its sidecar is closing, the caller reports that again.
    pub fn resumed(&mut self, upstream: Upstream, incarnation: u64, now_us: u64) -> Vec<u64> {
        let Some(row) = self.fleet.get(upstream) else {
            return Vec::new();
        };
        if row.incarnation != incarnation {
            self.abandon(upstream, now_us);
            self.fleet.set_incarnation(upstream, incarnation);
            self.health.restarted(upstream);
        }
        self.fleet.set_state(upstream, State::Open);
        self.apply_health(upstream, now_us);
        let sequences = self.recall_failed(upstream);
        self.pump(now_us);
        sequences
    }

    /// Recalls the starts of jobs that failed while the link was lost. Returns all sequences
    /// without outcome.
    fn recall_failed(&mut self, upstream: Upstream) -> Vec<u64> {
        let Some(row) = self.fleet.get(upstream) else {
            return Vec::new();
        };
        let failed = |flight: &&Flight| self.jobs.get(flight.job).is_some_and(job::Row::is_failing);
        let recalled: Vec<u64> =
            row.flights.iter().filter(failed).map(|flight| flight.sequence).collect();
        let sequences = row.flights.iter().map(|flight| flight.sequence).collect();
        self.add_recalls(upstream, &recalled);
        sequences
    }

    /// An upstream's incarnation is gone; its starts may have run.
    pub fn lost(&mut self, upstream: Upstream, now_us: u64) {
        self.fleet.set_state(upstream, State::Suspended);
        self.abandon(upstream, now_us);
        self.fleet.discount(upstream, &mut self.queue.others);
        self.fleet.remove(upstream);
        self.health.remove(upstream);
        self.ejected.retain(|&other| other != upstream);
        self.pump(now_us);
    }

    fn abandon(&mut self, upstream: Upstream, now_us: u64) {
        let row = self.fleet.get(upstream);
        let sequences: Vec<u64> =
            row.map_or_else(Vec::new, |row| row.flights.iter().map(|f| f.sequence).collect());
        for sequence in sequences {
            if let Some(flight) = self.land(upstream, sequence) {
                self.end(upstream, &flight, End::Unknown(Code::UpstreamLost), empty(), now_us);
            }
        }
    }

    /// An upstream takes no new work; what has started will end.
    pub fn closing(&mut self, upstream: Upstream, now_us: u64) {
        self.fleet.set_state(upstream, State::Closing);
        self.pump(now_us);
    }

    /// All starts at an upstream up to this sequence have their final outcome.
    pub fn settled(&self, upstream: Upstream) -> u64 {
        self.fleet.get(upstream).map_or(0, |row| row.settled())
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
        self.fleet.age(&mut self.queue.others, STALE_US, AGE_VISITS, now_us);
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

    /// Takes a start out of those without outcome.
    fn land(&mut self, upstream: Upstream, sequence: u64) -> Option<Flight> {
        let flight = self.fleet.land(upstream, sequence)?;
        self.sent -= 1;
        self.queue.classes[usize::from(flight.class)].own -= 1;
        Some(flight)
    }

    /// A start was definitely not run: it is placed again, unless its job has failed.
    fn not_run(&mut self, flight: &Flight, now_us: u64) {
        self.queue.settle(usize::from(flight.class), flight.charged_us, 0);
        let Some(row) = self.jobs.get(flight.job) else {
            return;
        };
        if row.is_failing() {
            self.jobs.end(flight.job, flight.task, Fate::NotRun, empty());
            self.conclude(flight.job);
        } else {
            self.jobs.put_back(flight.job, flight.task);
            self.add_waiting(usize::from(flight.class), 1, now_us);
        }
    }

    fn end(&mut self, upstream: Upstream, flight: &Flight, end: End, body: Arc<[u8]>, now_us: u64) {
        let (fate, code) = match end {
            End::Done => (Fate::Complete, None),
            End::Failed(code) => (Fate::Failed, Some(code)),
            End::Unknown(code) => (Fate::MayHaveRun, Some(code)),
        };
        if self.run_again(upstream, flight, code, now_us) {
            return;
        }
        let said = if code.is_some() { body.clone() } else { empty() };
        self.jobs.end(flight.job, flight.task, fate, body);
        match code {
            Some(code) => self.fail(flight.job, code, Some(flight.task), said),
            None => self.conclude(flight.job),
        }
    }

    /// Puts a single idempotent request that failed back among the waiting ones, within the budget.
    fn run_again(
        &mut self,
        upstream: Upstream,
        flight: &Flight,
        code: Option<Code>,
        now_us: u64,
    ) -> bool {
        let Some(row) = self.jobs.get_mut(flight.job).filter(|row| row.retryable) else {
            return false;
        };
        self.retries.ended(code.is_none(), now_us);
        let Some(code) = code else {
            return false;
        };
        let attempt = Attempt { idempotent: true, retries: u32::from(row.reruns) };
        if row.is_failing() || !self.retries.retry(attempt, code, now_us) {
            return false;
        }
        row.reruns += 1;
        row.avoid = Some(upstream);
        row.ran |= code.fate() == Fate::Failed;
        row.unknown |= code.fate() == Fate::MayHaveRun;
        self.jobs.put_back(flight.job, flight.task);
        self.add_waiting(usize::from(flight.class), 1, now_us);
        true
    }

    /// Fails a job whole: waiting tasks are given up and sent ones recalled.
    fn fail(&mut self, job: job::Key, code: Code, task: Option<u16>, body: Arc<[u8]>) {
        let Some(row) = self.jobs.get(job) else {
            return;
        };
        if row.is_failing() {
            self.conclude(job);
            return;
        }
        let class = usize::from(row.class);
        let waiting = self.jobs.fail(job, code, task, body);
        self.remove_waiting(class, u32::from(waiting));
        self.recall(job);
        self.conclude(job);
    }

    /// Recalls the job's starts. Where the link is lost, this is done when it is back.
    fn recall(&mut self, job: job::Key) {
        let Some(row) = self.jobs.get(job) else {
            return;
        };
        let place = |task: &job::Task| match task.place {
            Place::Sent { upstream, sequence } => Some((upstream, sequence)),
            Place::Waiting | Place::Ended(_) => None,
        };
        let mut starts: Vec<(Upstream, u64)> = row.tasks.iter().filter_map(place).collect();
        starts.sort_unstable();
        for chunk in starts.chunk_by(|one, other| one.0 == other.0) {
            let sequences: Vec<u64> = chunk.iter().map(|&(_, sequence)| sequence).collect();
            self.add_recalls(chunk[0].0, &sequences);
        }
    }

    fn add_recalls(&mut self, upstream: Upstream, sequences: &[u64]) {
        if self.fleet.add_recalls(upstream, sequences.iter().copied()) {
            self.recalling.push(upstream);
        }
    }

    /// Answers a job once its outcome is certain, and forgets it once nothing refers to it.
    fn conclude(&mut self, job: job::Key) {
        let Some(row) = self.jobs.get_mut(job) else {
            return;
        };
        if !row.answered {
            let Some(outcome) = row.outcome() else {
                return;
            };
            row.answered = true;
            self.actions.push(Action::Answer(Answer { job, outcome }));
        }
        if row.sent == 0 {
            self.jobs.remove(job);
        }
    }

    fn add_waiting(&mut self, class: usize, count: u32, now_us: u64) {
        self.queue.classes[class].waiting += count;
        self.kinds[class].backlog_us.get_or_insert(now_us);
    }

    fn remove_waiting(&mut self, class: usize, count: u32) {
        let class_use = &mut self.queue.classes[class];
        class_use.waiting -= count;
        if class_use.waiting == 0 {
            self.kinds[class].backlog_us = None;
        }
    }

    /// Places waiting tasks while there is an upstream for the next one.
    fn pump(&mut self, now_us: u64) {
        let from = self.actions.len();
        while let Some(pick) = self.queue.next(self.fleet.slots()) {
            let Some((choice, reason)) = self.choose(pick, now_us) else {
                self.ask_for_slots(pick, from);
                return;
            };
            self.start(pick, &choice, reason, now_us);
        }
    }

    /// Marks the starts just made: work within its share waits that could not be placed. Lent work
    /// does not ask to be told of free slots, since most of those are kept from it.
    fn ask_for_slots(&mut self, pick: Pick, from: usize) {
        if !pick.within {
            return;
        }
        for action in &mut self.actions[from..] {
            if let Action::Start(start) = action {
                start.more = true;
            }
        }
    }

    fn choose(&mut self, pick: Pick, now_us: u64) -> Option<(Choice, Reason)> {
        if let Some(choice) = self.probe(now_us) {
            return Some((choice, Reason::Probe));
        }
        let reason = if pick.within { Reason::Share } else { Reason::Lent };
        let lent = self.queue.leaves_headroom(pick.class, self.fleet.slots());
        let first = self.first(pick.class, now_us);
        let choice = match first.and_then(|(_, row)| row.avoid) {
            Some(upstream) => self.fleet.choose_other(upstream, lent, &mut self.rng),
            None => self.fleet.choose(lent, &mut self.rng),
        };
        if let Some(choice) = choice {
            return Some((choice, reason));
        }
        // Without any start of its own, the entry would not learn of a free slot.
        if self.sent > 0 {
            return None;
        }
        self.fleet.choose_full(&mut self.rng).map(|choice| (choice, Reason::Ask))
    }

    /// An ejected upstream whose probe is due.
    fn probe(&self, now_us: u64) -> Option<Choice> {
        let due = |upstream: &&Upstream| self.health.allowance(**upstream, 1, now_us) > 0;
        self.ejected.iter().filter(due).find_map(|&upstream| self.fleet.probe(upstream))
    }

    fn start(&mut self, pick: Pick, choice: &Choice, reason: Reason, now_us: u64) {
        let class = pick.class;
        let lent = self.queue.leaves_headroom(class, self.fleet.slots());
        let Some((job, task)) = self.take_waiting(class, now_us) else {
            return;
        };
        let Some(row) = self.jobs.get(job) else {
            return;
        };
        let (accepted_us, deadline_us) = (row.accepted_us, row.deadline_us);
        let payload = row.tasks[usize::from(task)].bytes.clone();
        let cost_us = self.kinds[class].run.all.mean_us();
        self.queue.charge(class, cost_us);
        self.kinds[class].starts.record(now_us);
        let upstream = choice.upstream;
        let fleet_free = self.fleet.free();
        let flight = Flight {
            sequence: 0,
            job,
            task,
            class: class as u16,
            sent_us: now_us,
            charged_us: cost_us,
        };
        let sequence = self.fleet.start(upstream, flight);
        self.sent += 1;
        self.queue.classes[class].own += 1;
        if let Some(row) = self.jobs.get_mut(job) {
            row.tasks[usize::from(task)].place = Place::Sent { upstream, sequence };
            row.sent += 1;
        }
        let left_ms = deadline_us.saturating_sub(now_us) / 1_000;
        let gate_ms = self.gate_wait_ms(upstream, pick.within, fleet_free);
        let headroom = self.fleet.get(upstream).map_or(0, |row| row.headroom);
        self.actions.push(Action::Start(Start {
            upstream,
            sequence,
            settled: self.settled(upstream),
            job,
            task,
            kind: self.kinds[class].name.clone(),
            headroom: if lent { headroom } else { 0 },
            more: false,
            wait_ms: gate_ms.min(left_ms as u32),
            payload,
        }));
        self.actions.push(Action::Decision(Decision {
            job,
            task,
            class: class as u16,
            reason,
            choice: *choice,
            fleet_free,
            waiting: self.queue.classes[class].waiting,
            waited_us: now_us.saturating_sub(accepted_us),
        }));
    }

    /// How long a start may wait at an upstream's gate, in milliseconds.
    fn gate_wait_ms(&self, upstream: Upstream, within: bool, fleet_free: u32) -> u32 {
        let slots = self.fleet.get(upstream).map_or(1, |row| row.slots.max(1));
        let gap_ms = self.queue_mean_us() / 1_000.0 / f32::from(slots);
        let plenty = fleet_free * FREE_PART > self.fleet.slots();
        let gaps = match (plenty, within) {
            (true, _) => FREE_GAPS,
            (false, true) => SHARE_GAPS,
            (false, false) => FULL_GAPS,
        };
        (gap_ms * gaps) as u32
    }

    /// Mean run time over the kinds, by their starts, in microseconds.
    fn queue_mean_us(&self) -> f32 {
        let (mut sum_us, mut starts) = (0.0, 0.0);
        for (kind, class) in self.kinds.iter().zip(&self.queue.classes) {
            let weight = class.own as f32;
            sum_us += weight * kind.run.all.mean_us() as f32;
            starts += weight;
        }
        sum_us / f32::max(starts, 1.0)
    }

    fn take_waiting(&mut self, class: usize, now_us: u64) -> Option<(job::Key, u16)> {
        let (job, _) = self.first(class, now_us)?;
        let task = self.jobs.take_waiting(job)?;
        self.remove_waiting(class, 1);
        Some((job, task))
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
            backlog_us: None,
        }
    }
}
