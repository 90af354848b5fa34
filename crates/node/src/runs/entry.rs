//! The entry: callers' jobs, their placement, and the configuration.

mod callers;
mod config;
mod links;

use std::{collections::HashMap, io, sync::Arc, time::Duration};

use kingcup_dispatch::plan::{Effect, Job, Planner, Submission, Worker, MAX_SLEEP_US};
use kingcup_wire::{
    run::{self, Message},
    Frame, Key,
};
use slotmap::SecondaryMap;
use stakker::{
    actor, call, fwd_to, ret_shutdown, stop, sync::ChannelGuard, timer_min, MinTimerKey, Stakker,
    CX,
};
use stakker_mio::{mio::net::TcpListener, MioSource, Ready};

use super::{border, document::Document, mesh::Mesh, metrics, settings};
use crate::{
    link::{self, Id, Table},
    reactor,
    web::{message::Limits, server, Client, Server},
};

/// A sidecar that is silent for this time is given up, in microseconds. It sends ten grants a second.
const SILENT_US: u64 = 800_000;
/// An entry that is silent for this time is given up, in microseconds.
const ENTRY_SILENT_US: u64 = 3_500_000;
/// Time between two lists of entries to each process, in microseconds.
const PEERS_INTERVAL_US: u64 = 1_000_000;
/// Time from the contact with an entry until all processes are told of it, in microseconds: after an
/// outage, entries come back together.
const PEERS_DELAY_US: u64 = 30_000;
/// Time from a new configuration until other entries are told of it, in microseconds. All read it from
/// the store; those that cannot must have it well within the two seconds that the platform allows.
const ANNOUNCE_US: u64 = 200_000;
/// Shortest time between two renewals to one sidecar, in microseconds: load reports come more often
/// than leases need renewing.
const RENEW_US: u64 = 60_000;
/// Least time from the signal to stop to the end, in microseconds. The balancer checks readiness once a
/// second and opens no new connections after two misses.
const STOP_LEAST_US: u64 = 2_500_000;
/// Time from the signal to stop until connections are closed after a response, in microseconds: the
/// balancer then sends callers that connect again to other entries.
const STOP_CLOSE_US: u64 = 2_200_000;
/// Time without requests after which a stopping entry ends, in microseconds.
const STOP_QUIET_US: u64 = 300_000;
/// Time for the way of a job's last answers before the end of this entry, in microseconds.
const STOP_MARGIN_US: u64 = 200_000;
/// Connections of callers.
const CALLERS: usize = 3_000;
/// Connections at the other addresses.
const OTHERS: usize = 64;
/// Idle time after which a caller's connection is closed, in microseconds.
const IDLE_US: u64 = 60_000_000;
/// Limits on requests and on answers of the store, in bytes. A configuration has at most a megabyte,
/// in base64.
const LIMITS: Limits = Limits { head_bytes: 16 << 10, body_bytes: 256 << 10 };
const STORE_LIMITS: Limits = Limits { head_bytes: 16 << 10, body_bytes: 4 << 20 };

/// What a start needs beside the plan.
#[derive(Debug)]
pub(super) struct Detail {
    pub id: Arc<str>,
    pub queue: Arc<str>,
    /// Starts that were sent so far.
    pub starts: usize,
    pub spec: Arc<str>,
    pub cores: u32,
    pub memory_mb: u32,
    pub tasks: u16,
    /// Expected run time of a task.
    pub work_us: u64,
    /// Time in which the job meets its objective.
    pub target_us: u64,
    pub arrived_us: u64,
}

/// Tasks of one job that start at one worker.
struct Batch {
    worker: Worker,
    job: Job,
    slack_us: u64,
    wait_us: u64,
    tasks: Vec<run::Task>,
}

/// The process on a link.
#[derive(Debug)]
enum Peer {
    /// Nothing is known yet.
    Unknown,
    /// A sidecar, and its worker once it has told what it holds.
    Sidecar {
        name: String,
        incarnation: u64,
        generation: u64,
        worker: Option<Worker>,
        grant: u64,
        renewed_us: u64,
    },
    /// An entry.
    Entry { name: String },
}

/// A running entry.
pub struct Entry {
    settings: settings::Entry,
    border: border::Entry,
    planner: Planner,
    document: Document,
    callers: Server,
    balancer: Server,
    control: Server,
    metrics: Server,
    meter: metrics::Entry,
    details: SecondaryMap<Job, Detail>,
    waiting: HashMap<server::Id, Job>,
    client: Client<()>,
    links: Table,
    listener: MioSource<TcpListener>,
    mesh: Mesh,
    peers: HashMap<Id, Peer>,
    by_worker: HashMap<Worker, Id>,
    incarnation: u64,
    timer: MinTimerKey,
    thawed_us: u64,
    /// Time of the last submission.
    asked_us: u64,
    peers_due_us: u64,
    announce_due_us: Option<u64>,
    stopping_us: Option<u64>,
    /// The time to stop is nearly over, and all jobs were given up.
    closing: bool,
    _signals: ChannelGuard,
}

/// Starts the entry's actor in the loop.
pub fn spawn(
    stakker: &mut Stakker,
    settings: settings::Entry,
    border: border::Entry,
) -> stakker::ActorOwn<Entry> {
    actor!(stakker, Entry::init(settings, border), ret_shutdown!(stakker))
}

impl Entry {
    fn init(cx: CX![], settings: settings::Entry, border: border::Entry) -> Option<Self> {
        match Self::open(cx, settings, border) {
            Ok(entry) => Some(entry),
            Err(error) => {
                log::error!("event=start_failed error={error:?}");
                stakker::fail!(cx, "{}", error);
                None
            }
        }
    }

    fn open(cx: CX![], settings: settings::Entry, border: border::Entry) -> io::Result<Self> {
        let now_us = super::now_us();
        let fwd = fwd_to!([cx], accept_callers() as (Ready));
        let callers = Server::bind(cx, settings.callers, LIMITS, CALLERS, fwd)?;
        let fwd = fwd_to!([cx], accept_ready() as (Ready));
        let balancer = Server::bind(cx, settings.ready, LIMITS, OTHERS, fwd)?;
        let fwd = fwd_to!([cx], accept_control() as (Ready));
        let control = Server::bind(cx, settings.control, LIMITS, OTHERS, fwd)?;
        let fwd = fwd_to!([cx], accept_metrics() as (Ready));
        let page = Server::bind(cx, settings.process.metrics, LIMITS, OTHERS, fwd)?;
        let fwd = fwd_to!([cx], accept_link() as (Ready));
        let listener = link::listen(cx, settings.process.internal, fwd)?;
        let signal = fwd_to!([cx], signal() as (i32));
        let signals = reactor::signals(cx, &super::SIGNALS, signal)?;
        let incarnation = reactor::incarnation();
        log::info!(
            "event=started role=entry incarnation={incarnation:x} internal={} entries={:?}",
            settings.process.internal,
            settings.process.entries
        );
        call!([cx], tick());
        Ok(Self {
            planner: Planner::new(incarnation),
            document: Document::default(),
            callers,
            balancer,
            control,
            metrics: page,
            meter: metrics::Entry::open()?,
            details: SecondaryMap::new(),
            waiting: HashMap::new(),
            client: Client::open(STORE_LIMITS),
            links: Table::open(Key::derive(&settings.process.secret)),
            listener,
            mesh: Mesh::open(settings.process.address(), &settings.process.entries, now_us),
            peers: HashMap::new(),
            by_worker: HashMap::new(),
            incarnation,
            timer: MinTimerKey::default(),
            thawed_us: 0,
            asked_us: 0,
            peers_due_us: now_us,
            announce_due_us: None,
            stopping_us: None,
            closing: false,
            settings,
            border,
            _signals: signals,
        })
    }

    /// Present time at the start of an event. Jobs that a suspension made void are given up.
    fn wake(&mut self) -> u64 {
        let now_us = super::now_us();
        let jobs = self.planner.unanswered();
        if self.planner.wake(now_us) {
            log::warn!("event=suspended jobs={jobs}");
            self.thawed_us = now_us;
        }
        now_us
    }

    /// True while requests may have arrived before a suspension that has just ended, and for a job that
    /// may not end before this entry does.
    fn refuses(&self, submission: &Submission, now_us: u64) -> bool {
        let thawing = self.thawed_us != 0 && now_us < self.thawed_us + MAX_SLEEP_US;
        let ends_us = now_us + self.planner.expected_run_us(submission) * 3 / 2 + STOP_MARGIN_US;
        thawing || self.stop_by_us().is_some_and(|stop_by_us| ends_us > stop_by_us)
    }

    fn stop_by_us(&self) -> Option<u64> {
        self.stopping_us.map(|at| at + self.settings.stop_timeout_ms * 1000)
    }

    fn is_ready(&self) -> bool {
        self.stopping_us.is_none() && self.document.version() > 0 && !self.by_worker.is_empty()
    }

    fn tick(&mut self, cx: CX![]) {
        let now_us = self.wake();
        for address in self.mesh.due(now_us) {
            let link = self.links.dial(cx, address, now_us, Self::link_ready);
            if let Some(link) = self.mesh.dialled(address, link, now_us) {
                self.peers.insert(link, Peer::Unknown);
                self.greet(link);
            }
        }
        self.close_silent(now_us);
        if self.announce_due_us.is_some_and(|due_us| due_us <= now_us) {
            self.announce_due_us = None;
            self.announce_config();
        }
        if now_us >= self.peers_due_us {
            self.peers_due_us = now_us + PEERS_INTERVAL_US;
            self.send_peers();
            self.callers.close_idle(IDLE_US, now_us);
        }
        for (_, result) in self.client.expire(now_us) {
            self.store_answered(&result, now_us);
        }
        self.call_store(cx, now_us);
        self.planner.tick(now_us);
        self.settle(cx, now_us);
    }

    /// Carries out what was decided, sends what is queued and sets the timer.
    fn settle(&mut self, cx: CX![], now_us: u64) {
        self.close_jobs(now_us);
        // An answer can be followed by the caller's next request.
        loop {
            let effects = self.planner.drain();
            if effects.is_empty() {
                break;
            }
            self.carry_out(effects, now_us);
        }
        for link in self.links.flush() {
            self.close(link, "flush", now_us);
        }
        if self.stop_if_idle(cx, now_us) {
            return;
        }
        let due = self.planner.next_tick().min(self.client.next_deadline());
        let due = due.min(self.mesh.next_due(now_us)).min(self.peers_due_us);
        let sleep = due.saturating_sub(now_us).clamp(1_000, MAX_SLEEP_US);
        let at = cx.now() + Duration::from_micros(sleep);
        timer_min!(&mut self.timer, at, [cx], tick());
    }

    fn carry_out(&mut self, effects: Vec<Effect>, now_us: u64) {
        let mut batches: Vec<Batch> = Vec::new();
        let mut stops: HashMap<Worker, Vec<u64>> = HashMap::new();
        let mut closed = Vec::new();
        let mut answers = Vec::new();
        for effect in effects {
            match effect {
                Effect::Start { worker, job, task, run, attempt, slack_us, wait_us } => {
                    let task = run::Task { run, index: task, attempt };
                    let same = |batch: &&mut Batch| {
                        (batch.worker, batch.job, batch.wait_us) == (worker, job, wait_us)
                    };
                    match batches.iter_mut().find(same) {
                        Some(batch) => batch.tasks.push(task),
                        None => {
                            let tasks = vec![task];
                            batches.push(Batch { worker, job, slack_us, wait_us, tasks });
                        }
                    }
                }
                Effect::Stop { worker, run } => stops.entry(worker).or_default().push(run),
                Effect::Closed { job } => closed.push(job),
                Effect::Answer { token, answer } => answers.push((token, answer)),
            }
        }
        for batch in batches {
            self.send_start(batch, now_us);
        }
        for (worker, runs) in stops {
            if let Some(link) = self.by_worker.get(&worker) {
                self.links.send(*link, &Frame::Run(Message::Stop(runs)));
            }
        }
        for (token, answer) in answers {
            self.answer(token, answer, now_us);
        }
        for job in closed {
            self.details.remove(job);
        }
    }

    fn send_start(&mut self, batch: Batch, now_us: u64) {
        let Batch { worker, job, slack_us, wait_us, tasks } = batch;
        let Some(detail) = self.details.get_mut(job) else { return };
        // Without a connection the planner learns that these runs are lost.
        let Some(link) = self.by_worker.get(&worker) else { return };
        let Some(Peer::Sidecar { name, grant, renewed_us, .. }) = self.peers.get_mut(link) else {
            return;
        };
        *renewed_us = now_us;
        detail.starts += tasks.len();
        self.meter.started(tasks.len());
        let runs: Vec<u64> = tasks.iter().map(|task| task.run).collect();
        log::info!(
            "event=start_sent job={} sidecar={name} runs={runs:?} waited_us={} grant={grant}",
            detail.id,
            now_us - detail.arrived_us
        );
        let start = run::Start {
            grant: *grant,
            job: &detail.id,
            spec: &detail.spec,
            step: 0,
            cores: detail.cores,
            memory_mb: detail.memory_mb,
            rank: slack_us,
            wait_ms: (wait_us / 1000) as u32,
            tasks,
        };
        self.links.send(*link, &Frame::Run(Message::Start(start)));
    }

    /// Takes the entries that the settings file names now. Other settings need a restart.
    fn reload(&mut self, now_us: u64) {
        match self.settings.process.reload() {
            Ok(entries) => {
                log::info!("event=reloaded entries={entries:?}");
                self.mesh.set_seeds(&entries, now_us);
            }
            Err(fault) => log::error!("event=reload_failed fault=\"{fault}\""),
        }
    }

    fn signal(&mut self, cx: CX![], signal: i32) {
        let now_us = self.wake();
        if signal == reactor::SIGHUP {
            self.reload(now_us);
            return self.settle(cx, now_us);
        }
        if self.stopping_us.is_none() {
            log::info!("event=stopping signal={signal} jobs={}", self.planner.unanswered());
            self.stopping_us = Some(now_us);
        }
        self.settle(cx, now_us);
    }

    /// Gives up all jobs shortly before the time to stop is over, so that each caller gets an answer
    /// instead of a closed connection.
    fn close_jobs(&mut self, now_us: u64) {
        let due = self.stop_by_us().is_some_and(|by_us| now_us + STOP_MARGIN_US >= by_us);
        if due && !std::mem::replace(&mut self.closing, true) {
            log::info!("event=stop_due jobs={}", self.planner.unanswered());
            self.planner.give_up_all(now_us);
        }
    }

    fn stop_if_idle(&mut self, cx: CX![], now_us: u64) -> bool {
        let (Some(at), Some(stop_by_us)) = (self.stopping_us, self.stop_by_us()) else {
            return false;
        };
        if now_us >= at + STOP_CLOSE_US {
            self.callers.close_after_responses();
        }
        let quiet = self.asked_us + STOP_QUIET_US <= now_us;
        let idle = self.planner.unanswered() == 0 && at + STOP_LEAST_US <= now_us && quiet;
        if !idle && now_us < stop_by_us {
            return false;
        }
        log::info!("event=stopped jobs={}", self.planner.unanswered());
        stop!(cx);
        true
    }
}
