//! The entry, which accepts jobs from callers, places their tasks on workers and keeps the
//! configuration up to date.

mod callers;
mod cancel;
mod config;
mod evacuation;
mod explain;
mod hold;
mod links;

use std::{collections::HashMap, io, net::SocketAddr, sync::Arc, time::Duration};

use kingcup_dispatch::{
    cancel::Cancels,
    plan::{Effect, Job, Patience, Places, Planner, Worker, MAX_SLEEP_US},
};
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

use super::{
    document::{Call, Document},
    evacuation::Orders,
    mesh::{Identity, Mesh},
    metrics, protocol,
    refusal::Reason,
    settings,
};
use crate::{
    link::{self, Id, Table},
    reactor,
    web::{message::Limits, server, Client, Server},
};

/// Time without data from a sidecar after which its link is closed, in microseconds. A sidecar
/// sends ten grants a second.
const SIDECAR_TIMEOUT_US: u64 = 800_000;
/// Time without data from another entry after which its link is closed, in microseconds.
const ENTRY_TIMEOUT_US: u64 = 3_500_000;
/// Interval at which the list of entries is checked for changes, in microseconds. Other entries get
/// a message each time, by which they notice that this one is alive.
const PEERS_INTERVAL_US: u64 = 1_000_000;
/// Longest time between two messages with the list of entries, in microseconds.
const LIST_INTERVAL_US: u64 = 4_000_000;
/// Time from connecting to an entry until the list of entries is sent, in microseconds. After an
/// outage several entries come back at nearly the same time, so that one list covers them.
const PEERS_DELAY_US: u64 = 30_000;
/// Time from applying a configuration until its version is announced to other entries, in
/// microseconds. All entries read it from the store; those that cannot must receive it well within
/// the two seconds that the platform allows.
const ANNOUNCE_DELAY_US: u64 = 200_000;
/// Shortest time between two lease renewals at a sidecar, in microseconds. Grants, which also
/// report the load, arrive more often than leases need to be renewed.
const RENEW_INTERVAL_US: u64 = 60_000;
/// Shortest time between two renewals at a sidecar that holds no runs of this entry, in
/// microseconds. No lease depends on them; they show the sidecar that this entry is alive.
const IDLE_RENEW_INTERVAL_US: u64 = 250_000;
/// Shortest duration of a shutdown, in microseconds. The load balancer checks readiness once a
/// second and opens no new connections after two failed checks.
const STOP_MIN_US: u64 = 2_500_000;
/// Time from the start of a shutdown until callers' connections are closed after their next
/// response, in microseconds. By then the load balancer directs callers that reconnect to other
/// entries.
const STOP_CLOSE_DELAY_US: u64 = 2_200_000;
/// Time without submissions after which a shutdown may end, in microseconds.
const STOP_IDLE_US: u64 = 300_000;
/// Time reserved at the end of a shutdown for the last answers to reach the callers, in
/// microseconds.
const STOP_MARGIN_US: u64 = 200_000;
/// Maximum number of connections of callers.
const CALLER_CONNECTIONS: usize = 3_000;
/// Maximum number of connections at each of the other addresses.
const OTHER_CONNECTIONS: usize = 64;
/// Time without requests after which a caller's connection is closed, in microseconds.
const IDLE_TIMEOUT_US: u64 = 60_000_000;
/// Limits on requests, in bytes.
const LIMITS: Limits = Limits { head_bytes: 16 << 10, body_bytes: 256 << 10 };
/// Limits on responses of the store, in bytes. A configuration has at most a megabyte, encoded in
/// base64.
const STORE_LIMITS: Limits = Limits { head_bytes: 16 << 10, body_bytes: 4 << 20 };

/// Data about a job that start messages and log lines need and the planner does not keep.
#[derive(Debug)]
pub(super) struct Detail {
    pub id: Arc<str>,
    pub queue: Arc<str>,
    /// Number of starts sent so far.
    pub starts: usize,
    pub spec: Arc<str>,
    pub cores: u32,
    pub memory_mb: u32,
    pub tasks: u16,
    /// Expected run time of a task.
    pub work_us: u64,
    /// Objective for the time from arrival to answer.
    pub target_us: u64,
    pub arrived_us: u64,
}

/// Tasks of one job to start at the same worker with the same longest wait.
struct Batch {
    worker: Worker,
    job: Job,
    slack_us: u64,
    wait_us: u64,
    tasks: Vec<run::Task>,
}

/// The process at the other end of a link.
#[derive(Debug)]
enum Peer {
    /// It has sent no greeting yet. `connection` is the number of the connection among those that
    /// this entry has accepted, or 0 if it has opened it.
    Unknown { connection: u64 },
    /// A sidecar, with its worker in the planner once it has sent its list of held runs.
    Sidecar {
        name: String,
        incarnation: u64,
        connection: u64,
        worker: Option<Worker>,
        grant: u64,
        renewed_us: u64,
    },
    /// Another entry.
    Entry { name: String },
}

/// A running entry.
pub struct Entry {
    settings: settings::Entry,
    protocol: protocol::Entry,
    planner: Planner,
    cancels: Cancels<Id, server::Id>,
    document: Document,
    orders: Orders,
    /// Time at which to log evacuated zones in which no worker is known.
    zones_due_us: Option<u64>,
    callers: Server,
    readiness_server: Server,
    control: Server,
    metrics_server: Server,
    metrics: metrics::Entry,
    holding: hold::Holding,
    explanations: explain::Limiter,
    details: SecondaryMap<Job, Detail>,
    job_by_caller: HashMap<server::Id, Job>,
    client: Client<Call>,
    links: Table,
    listener: MioSource<TcpListener>,
    mesh: Mesh,
    peers: HashMap<Id, Peer>,
    link_by_worker: HashMap<Worker, Id>,
    incarnation: u64,
    timer: MinTimerKey,
    /// Whether sidecars were told that jobs wait for capacity here.
    announced_waiting: bool,
    /// Number of connections accepted so far.
    accepted: u64,
    /// Time at which the end of the last long suspension was noticed, in microseconds; 0 if there
    /// was none.
    resumed_us: u64,
    /// Time of the last submission, in microseconds.
    last_submission_us: u64,
    peers_due_us: u64,
    /// Entries in the list that was sent last, and the time at which it was sent.
    listed: Vec<SocketAddr>,
    listed_us: u64,
    announce_due_us: Option<u64>,
    stop_began_us: Option<u64>,
    /// True once all jobs were given up because the shutdown is about to end.
    gave_up: bool,
    _signals: ChannelGuard,
}

/// Starts the entry's actor in the event loop.
pub fn spawn(
    stakker: &mut Stakker,
    settings: settings::Entry,
    protocol: protocol::Entry,
) -> stakker::ActorOwn<Entry> {
    actor!(stakker, Entry::init(settings, protocol), ret_shutdown!(stakker))
}

impl Entry {
    fn init(cx: CX![], settings: settings::Entry, protocol: protocol::Entry) -> Option<Self> {
        match Self::open(cx, settings, protocol) {
            Ok(entry) => Some(entry),
            Err(error) => {
                log::error!("event=start_failed error={error:?}");
                stakker::fail!(cx, "{}", error);
                None
            }
        }
    }

    fn open(cx: CX![], settings: settings::Entry, protocol: protocol::Entry) -> io::Result<Self> {
        let now_us = super::now_us();
        let handler = fwd_to!([cx], accept_callers() as (Ready));
        let callers = Server::bind(cx, settings.callers, LIMITS, CALLER_CONNECTIONS, handler)?;
        let handler = fwd_to!([cx], accept_readiness() as (Ready));
        let readiness_server =
            Server::bind(cx, settings.ready, LIMITS, OTHER_CONNECTIONS, handler)?;
        let handler = fwd_to!([cx], accept_control() as (Ready));
        let control = Server::bind(cx, settings.control, LIMITS, OTHER_CONNECTIONS, handler)?;
        let handler = fwd_to!([cx], accept_metrics() as (Ready));
        let metrics_server =
            Server::bind(cx, settings.process.metrics, LIMITS, OTHER_CONNECTIONS, handler)?;
        let handler = fwd_to!([cx], accept_link() as (Ready));
        let listener = link::listen(cx, settings.process.internal, handler)?;
        let handler = fwd_to!([cx], signal() as (i32));
        let signals = reactor::signals(cx, &super::SIGNALS, handler)?;
        let incarnation = reactor::incarnation();
        log::info!(
            "event=started role=entry incarnation={incarnation:x} internal={} entries={:?}",
            settings.process.internal,
            settings.process.entries
        );
        call!([cx], tick());
        let mut planner = Planner::open(incarnation);
        planner.set_hold(settings.hold_ms * 1000);
        planner.set_places(Places {
            remote_factor: settings.remote_factor,
            place: protocol.place,
            patience: Patience::Priced,
        });
        Ok(Self {
            planner,
            cancels: Cancels::default(),
            document: Document::open(settings.process.apply_ms),
            orders: Orders::open(settings.process.apply_ms.is_some()),
            zones_due_us: None,
            callers,
            readiness_server,
            control,
            metrics_server,
            metrics: metrics::Entry::open()?,
            holding: hold::Holding::open(settings.hold_ms, incarnation, now_us),
            explanations: explain::Limiter::default(),
            details: SecondaryMap::new(),
            job_by_caller: HashMap::new(),
            client: Client::open(STORE_LIMITS),
            links: Table::open(Key::derive(&settings.process.secret)),
            listener,
            mesh: Mesh::open(
                settings.process.address(),
                Identity { name: &settings.process.name, zone: &settings.process.zone },
                &settings.process.entries,
                now_us,
            ),
            peers: HashMap::new(),
            link_by_worker: HashMap::new(),
            incarnation,
            timer: MinTimerKey::default(),
            announced_waiting: false,
            accepted: 0,
            resumed_us: 0,
            last_submission_us: 0,
            peers_due_us: now_us,
            listed: Vec::new(),
            listed_us: 0,
            announce_due_us: None,
            stop_began_us: None,
            gave_up: false,
            settings,
            protocol,
            _signals: signals,
        })
    }

    /// Returns the current time, at the start of an event. If the VM was suspended for so long that
    /// the entry's leases expired, gives up all jobs.
    fn begin_event(&mut self) -> u64 {
        let now_us = super::now_us();
        let jobs = self.planner.unanswered();
        if self.planner.wake(now_us) {
            log::warn!("event=suspended jobs={jobs} held={}", self.holding.len());
            self.resumed_us = now_us;
            self.refuse_all_held(Reason::Suspended, now_us);
        }
        now_us
    }

    /// Returns whether a request may have arrived before a suspension that has just ended.
    fn has_just_resumed(&self, now_us: u64) -> bool {
        self.resumed_us != 0 && now_us < self.resumed_us + MAX_SLEEP_US
    }

    fn stop_deadline_us(&self) -> Option<u64> {
        self.stop_began_us.map(|began_us| began_us + self.settings.stop_timeout_ms * 1000)
    }

    fn is_ready(&self) -> bool {
        self.stop_began_us.is_none() && self.is_configured() && !self.link_by_worker.is_empty()
    }

    fn tick(&mut self, cx: CX![]) {
        let now_us = self.begin_event();
        for address in self.mesh.due(now_us) {
            let link = self.links.dial(cx, address, now_us, Self::link_ready);
            if let Some(link) = self.mesh.dialled(address, link, now_us) {
                self.peers.insert(link, Peer::Unknown { connection: 0 });
                self.send_greeting(link);
            }
        }
        self.close_unresponsive(now_us);
        if self.announce_due_us.is_some_and(|due_us| due_us <= now_us) {
            self.announce_due_us = None;
            self.announce_config();
        }
        if now_us >= self.peers_due_us {
            self.peers_due_us = now_us + PEERS_INTERVAL_US;
            self.send_peers(now_us);
            self.callers.close_idle(IDLE_TIMEOUT_US, now_us);
            self.report_refused_cancels();
        }
        self.check_zones(now_us);
        for (call, result) in self.client.expire(now_us) {
            self.handle_store_response(&call, &result, now_us);
        }
        self.call_store(cx, now_us);
        self.planner.tick(now_us);
        self.cancels.tick(now_us);
        self.finish_event(cx, now_us);
    }

    /// Carries out the planner's effects, sends queued messages and sets the timer. Called at the
    /// end of each event.
    fn finish_event(&mut self, cx: CX![], now_us: u64) {
        self.give_up_at_deadline(now_us);
        self.release_held(now_us);
        // The caller's next request may follow an answer immediately and lead to further effects.
        loop {
            let effects = self.planner.drain();
            // Replies to cancels follow the stops of their jobs.
            if effects.is_empty() && !self.execute_cancels(now_us) {
                break;
            }
            self.execute(effects, now_us);
        }
        self.announce_waiting(now_us);
        for link in self.links.flush() {
            self.close(link, "flush", now_us);
        }
        if self.stop_if_idle(cx, now_us) {
            return;
        }
        let due_us = self.planner.next_tick().min(self.client.next_deadline());
        let due_us = due_us.min(self.mesh.next_due(now_us)).min(self.peers_due_us);
        let due_us = due_us.min(self.holding.next_due());
        let due_us = due_us.min(self.cancels.next_tick());
        let due_us = due_us.min(self.announce_due_us.unwrap_or(u64::MAX));
        let sleep_us = due_us.saturating_sub(now_us).clamp(1_000, MAX_SLEEP_US);
        let at = cx.now() + Duration::from_micros(sleep_us);
        timer_min!(&mut self.timer, at, [cx], tick());
    }

    fn execute(&mut self, effects: Vec<Effect>, now_us: u64) {
        let mut batches: Vec<Batch> = Vec::new();
        let mut stops: HashMap<Worker, Vec<u64>> = HashMap::new();
        let mut closed = Vec::new();
        let mut answers = Vec::new();
        for effect in effects {
            match effect {
                Effect::Start { worker, job, task, run, attempt, slack_us, wait_us } => {
                    let task = run::Task { run, index: task, attempt };
                    let same_batch = |batch: &&mut Batch| {
                        (batch.worker, batch.job, batch.wait_us) == (worker, job, wait_us)
                    };
                    match batches.iter_mut().find(same_batch) {
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
            if let Some(link) = self.link_by_worker.get(&worker) {
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
        // If the link has been closed, the planner has been notified and counts these runs as lost.
        let Some(link) = self.link_by_worker.get(&worker) else { return };
        let Some(Peer::Sidecar { name, grant, renewed_us, .. }) = self.peers.get_mut(link) else {
            return;
        };
        *renewed_us = now_us;
        detail.starts += tasks.len();
        self.metrics.started(tasks.len());
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

    /// Applies the entries that the settings file names now. Other settings require a restart.
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
        let now_us = self.begin_event();
        if signal == reactor::SIGHUP {
            self.reload(now_us);
            return self.finish_event(cx, now_us);
        }
        if self.stop_began_us.is_none() {
            log::info!(
                "event=stopping signal={signal} jobs={} held={}",
                self.planner.unanswered(),
                self.holding.len()
            );
            self.stop_began_us = Some(now_us);
            self.refuse_all_held(Reason::Stopping, now_us);
        }
        self.finish_event(cx, now_us);
    }

    /// Gives up all jobs shortly before the deadline of a shutdown, so that each caller gets an
    /// answer instead of a closed connection.
    fn give_up_at_deadline(&mut self, now_us: u64) {
        let due = self
            .stop_deadline_us()
            .is_some_and(|deadline_us| now_us + STOP_MARGIN_US >= deadline_us);
        if due && !std::mem::replace(&mut self.gave_up, true) {
            log::info!("event=stop_due jobs={}", self.planner.unanswered());
            self.planner.give_up_all(now_us);
        }
    }

    fn stop_if_idle(&mut self, cx: CX![], now_us: u64) -> bool {
        let (Some(began_us), Some(stop_deadline_us)) =
            (self.stop_began_us, self.stop_deadline_us())
        else {
            return false;
        };
        if now_us >= began_us + STOP_CLOSE_DELAY_US {
            self.callers.close_after_responses();
        }
        let no_submissions = self.last_submission_us + STOP_IDLE_US <= now_us;
        let is_answered = self.planner.unanswered() == 0 && self.cancels.open_questions() == 0;
        let idle = is_answered && began_us + STOP_MIN_US <= now_us && no_submissions;
        if !idle && now_us < stop_deadline_us {
            return false;
        }
        log::info!("event=stopped jobs={}", self.planner.unanswered());
        stop!(cx);
        true
    }
}
