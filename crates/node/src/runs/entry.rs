//! The entry: callers' jobs, their placement, and the configuration.

use std::{collections::HashMap, io, net::SocketAddr, sync::Arc, time::Duration};

use kingcup_dispatch::plan::{
    Effect, Job, Planner, Submission, Worker, MAX_SLEEP_US, SIDECAR_WAIT_US,
};
use kingcup_wire::{
    run::{self, Message},
    Frame, Key, Role,
};
use slotmap::SecondaryMap;
use stakker::{
    actor, call, fwd_to, ret_shutdown, stop, sync::ChannelGuard, timer_min, MinTimerKey, Stakker,
    CX,
};
use stakker_mio::{mio::net::TcpListener, MioSource, Ready};

use super::{
    border,
    document::{Call, Document, CALL_MS, WATCH_MS},
    mesh::Mesh,
    metrics, settings, translate,
};
use crate::{
    link::{self, Id, Input, Table},
    reactor,
    web::{client, message::Limits, server, Client, Fault, Response, Server},
};

/// A sidecar that is silent for this time is given up, in microseconds. It sends ten grants a second.
const SILENT_US: u64 = 800_000;
/// An entry that is silent for this time is given up, in microseconds.
const ENTRY_SILENT_US: u64 = 3_500_000;
/// Time between two lists of entries to each process, in microseconds.
const PEERS_INTERVAL_US: u64 = 1_000_000;
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
    pub arrived_us: u64,
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
    pub(super) border: border::Entry,
    pub(super) planner: Planner,
    pub(super) document: Document,
    pub(super) callers: Server,
    pub(super) balancer: Server,
    pub(super) control: Server,
    pub(super) metrics: Server,
    pub(super) meter: metrics::Entry,
    pub(super) details: SecondaryMap<Job, Detail>,
    pub(super) waiting: HashMap<server::Id, Job>,
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
    pub(super) asked_us: u64,
    peers_due_us: u64,
    announce_due_us: Option<u64>,
    stopping_us: Option<u64>,
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
            planner: Planner::open(incarnation),
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
            settings,
            border,
            _signals: signals,
        })
    }

    /// Present time at the start of an event. Jobs that a suspension made void are given up.
    pub(super) fn wake(&mut self) -> u64 {
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
    pub(super) fn refuses(&self, submission: &Submission, now_us: u64) -> bool {
        let thawing = self.thawed_us != 0 && now_us < self.thawed_us + MAX_SLEEP_US;
        let ends_us = now_us + self.planner.expect_us(submission) * 3 / 2 + STOP_MARGIN_US;
        thawing || self.stop_by_us().is_some_and(|stop_by_us| ends_us > stop_by_us)
    }

    fn stop_by_us(&self) -> Option<u64> {
        self.stopping_us.map(|at| at + self.settings.stop_timeout_ms * 1000)
    }

    pub(super) fn is_ready(&self) -> bool {
        self.stopping_us.is_none() && self.document.version() > 0 && !self.by_worker.is_empty()
    }

    fn tick(&mut self, cx: CX![]) {
        let now_us = self.wake();
        for address in self.mesh.due(now_us) {
            let link = self.links.dial(cx, address, now_us, Self::link_ready).ok();
            self.mesh.dialled(address, link, now_us);
            if let Some(link) = link {
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

    fn call_store(&mut self, cx: CX![], now_us: u64) {
        let Some(call) = self.document.next_call(now_us) else { return };
        let (request, wait_ms) = match call {
            Call::Read => ((self.border.read_config)(), 0),
            Call::Watch(revision) => ((self.border.watch_config)(revision, WATCH_MS), WATCH_MS),
        };
        let due = now_us + (wait_ms + CALL_MS) * 1000;
        let to = self.settings.store;
        if let Err((_, result)) = self.client.call(cx, to, &request, due, (), Self::store_ready) {
            self.store_answered(&result, now_us);
        }
    }

    fn store_ready(&mut self, cx: CX![], id: client::Id, _: Ready) {
        let now_us = self.wake();
        if let Some((_, result)) = self.client.ready(id) {
            self.store_answered(&result, now_us);
            self.call_store(cx, now_us);
        }
        self.settle(cx, now_us);
    }

    fn store_answered(&mut self, result: &Result<Response, Fault>, now_us: u64) {
        let stored = (self.border.stored)(result);
        if let Some(text) = self.document.answered(stored, now_us) {
            self.offer_config(&text, "store", now_us);
        }
    }

    /// Puts a configuration into force if it is newer, and hands it on.
    fn offer_config(&mut self, text: &[u8], source: &str, now_us: u64) {
        let table = match (self.border.config)(text) {
            Ok(table) => table,
            Err(reason) => {
                log::warn!("event=config_rejected source={source} reason=\"{reason}\"");
                return;
            }
        };
        let (version, routes) = (table.version(), table.len());
        if self.document.offer(table, text) {
            log::info!("event=config_in_force version={version} routes={routes} source={source}");
            self.announce_due_us = Some(now_us + ANNOUNCE_US);
        }
    }

    /// Tells other entries the version in force, and hands the configuration to this entry's share of
    /// the sidecars. A while after a change nearly all entries have it from the store, and hear only the
    /// version.
    fn announce_config(&mut self) {
        let version = self.document.version();
        let mut names: Vec<&str> = vec![&self.settings.process.name];
        for peer in self.peers.values() {
            if let Peer::Entry { name } = peer {
                names.push(name);
            }
        }
        names.sort_unstable();
        names.dedup();
        let own = names.iter().position(|name| *name == self.settings.process.name);
        let mut shares = Vec::new();
        let mut links = Vec::new();
        for (link, peer) in &self.peers {
            match peer {
                Peer::Entry { .. } => links.push(*link),
                Peer::Sidecar { name, .. } => {
                    let sum: usize = name.bytes().map(usize::from).sum();
                    if Some(sum % names.len()) == own {
                        shares.push(*link);
                    }
                }
                Peer::Unknown => {}
            }
        }
        for link in links {
            self.links.send(link, &Frame::Run(Message::Version(version)));
        }
        for link in shares {
            self.send_config(link);
        }
    }

    fn send_config(&mut self, link: Id) {
        let version = self.document.version();
        if version > 0 {
            let config = run::Config { version, text: self.document.text() };
            self.links.send(link, &Frame::Run(Message::Config(config)));
        }
    }

    fn greet(&mut self, link: Id) {
        let greeting = run::Greeting {
            role: Role::Entry,
            name: &self.settings.process.name,
            address: self.settings.process.address(),
            incarnation: self.incarnation,
            generation: 0,
            config: self.document.version(),
        };
        self.links.send(link, &Frame::Run(Message::Greeting(greeting)));
    }

    fn send_peers(&mut self) {
        let mut known: Vec<SocketAddr> = self.mesh.reached().collect();
        known.push(self.settings.process.address());
        let frame = Frame::Run(Message::Peers(known));
        for (link, peer) in &self.peers {
            if !matches!(peer, Peer::Unknown) {
                self.links.send(*link, &frame);
            }
        }
        let entries: std::collections::BTreeSet<&str> = self
            .peers
            .values()
            .filter_map(|peer| match peer {
                Peer::Entry { name } => Some(name.as_str()),
                _ => None,
            })
            .collect();
        self.planner.set_entries(entries.len() + 1);
    }

    fn close_silent(&mut self, now_us: u64) {
        let limit = |peer: Option<&Peer>| match peer {
            Some(Peer::Entry { .. }) => ENTRY_SILENT_US,
            _ => SILENT_US,
        };
        let links = self.links.iter();
        let silent: Vec<Id> = links
            .filter(|(id, link)| link.heard_us + limit(self.peers.get(id)) < now_us)
            .map(|(id, _)| id)
            .collect();
        for link in silent.into_iter().chain(self.mesh.silent(now_us)) {
            self.close(link, "silent", now_us);
        }
    }

    fn close(&mut self, link: Id, reason: &str, now_us: u64) {
        self.links.close(link);
        self.mesh.closed(link, now_us);
        match self.peers.remove(&link) {
            Some(Peer::Sidecar { name, worker, renewed_us, .. }) => {
                log::info!("event=sidecar_lost sidecar={name} reason={reason}");
                let Some(worker) = worker else { return };
                if self.by_worker.get(&worker) == Some(&link) {
                    self.by_worker.remove(&worker);
                    self.planner.left(worker, renewed_us);
                }
            }
            Some(Peer::Entry { name }) => {
                log::info!("event=entry_lost entry={name} reason={reason}");
            }
            Some(Peer::Unknown) | None => {}
        }
    }

    fn accept_link(&mut self, cx: CX![], _: Ready) {
        let now_us = self.wake();
        while let Ok((stream, address)) = self.listener.accept() {
            match self.links.accept(cx, stream, address, now_us, Self::link_ready) {
                Ok(link) => {
                    self.peers.insert(link, Peer::Unknown);
                    self.greet(link);
                }
                Err(error) => log::warn!("event=accept_failed peer={address} error={error:?}"),
            }
        }
        self.settle(cx, now_us);
    }

    fn link_ready(&mut self, cx: CX![], link: Id, ready: Ready) {
        let now_us = self.wake();
        if ready.is_writable() && !self.links.writable(link) {
            self.close(link, "write", now_us);
            return self.settle(cx, now_us);
        }
        let Some(mut input) = self.links.read(link, now_us) else { return };
        let sound = self.messages(link, &mut input, now_us);
        match self.links.put_back(link, input) {
            Some(closed) => self.close(link, &format!("\"{closed:?}\""), now_us),
            None if !sound => self.close(link, "unexpected_message", now_us),
            None => {}
        }
        self.settle(cx, now_us);
    }

    /// Handles the messages of one read; false if the connection is to be closed.
    fn messages(&mut self, link: Id, input: &mut Input, now_us: u64) -> bool {
        while let Some(frame) = input.take_frame() {
            let Frame::Run(message) = frame else { return false };
            let Some(peer) = self.peers.get_mut(&link) else { return false };
            match (message, peer) {
                (Message::Greeting(greeting), Peer::Unknown) => {
                    self.greeted(link, &greeting, now_us);
                }
                (
                    Message::Held(held),
                    Peer::Sidecar { name, incarnation, generation, worker, .. },
                ) => {
                    let joined =
                        self.planner.joined(name, *incarnation, *generation, &held, now_us);
                    let Some(key) = joined else {
                        log::info!("event=connection_overtaken sidecar={name}");
                        return false;
                    };
                    *worker = Some(key);
                    self.by_worker.insert(key, link);
                }
                (Message::Profile(profile), Peer::Sidecar { name, worker: Some(worker), .. }) => {
                    let profile = translate::profile_in(&profile, name);
                    log::info!("event=worker worker={name} accepting={}", profile.ready);
                    self.planner.profile(*worker, profile, now_us);
                }
                (
                    Message::Grant(grant),
                    Peer::Sidecar { worker, grant: newest, renewed_us, .. },
                ) => {
                    *newest = grant.number;
                    if *renewed_us + RENEW_US <= now_us {
                        *renewed_us = now_us;
                        self.links.send(link, &Frame::Run(Message::Renew(grant.number)));
                    }
                    if let Some(worker) = *worker {
                        self.planner.load(worker, translate::load_in(&grant), now_us);
                    }
                }
                (Message::Ended(ends), Peer::Sidecar { .. }) => {
                    for end in &ends {
                        self.planner.ended(&translate::end_in(end), now_us);
                    }
                }
                (Message::Progress(runs), Peer::Sidecar { .. }) => {
                    for progress in &runs {
                        self.planner.progress(&translate::progress_in(progress), now_us);
                    }
                }
                (Message::Refused(runs), Peer::Sidecar { .. }) => {
                    for run in runs {
                        self.planner.refused(run, now_us);
                    }
                }
                (Message::Config(config), Peer::Entry { .. }) => {
                    self.offer_config(config.text, "entry", now_us);
                }
                (Message::Config(config), Peer::Sidecar { .. }) => {
                    self.offer_config(config.text, "sidecar", now_us);
                }
                (Message::Version(version), Peer::Entry { .. }) => {
                    if version > self.document.version() {
                        self.links.send(link, &Frame::Run(Message::Fetch));
                    }
                }
                (Message::Fetch, Peer::Entry { .. }) => self.send_config(link),
                (Message::Peers(peers), Peer::Entry { .. }) => {
                    for peer in peers {
                        self.mesh.learn(peer, now_us);
                    }
                }
                _ => return false,
            }
        }
        true
    }

    fn greeted(&mut self, link: Id, greeting: &run::Greeting<'_>, now_us: u64) {
        let name = greeting.name.to_owned();
        log::info!(
            "event=greeted peer={name} role={:?} incarnation={:x} config={}",
            greeting.role,
            greeting.incarnation,
            greeting.config
        );
        let peer = match greeting.role {
            Role::Sidecar => Peer::Sidecar {
                name,
                incarnation: greeting.incarnation,
                generation: greeting.generation,
                worker: None,
                grant: 0,
                renewed_us: 0,
            },
            Role::Entry => {
                self.mesh.greeted(link, now_us);
                self.mesh.learn(greeting.address, now_us);
                if greeting.config > self.document.version() {
                    self.links.send(link, &Frame::Run(Message::Fetch));
                }
                Peer::Entry { name }
            }
        };
        self.peers.insert(link, peer);
    }

    /// Carries out what was decided, sends what is queued and sets the timer.
    pub(super) fn settle(&mut self, cx: CX![], now_us: u64) {
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
        let sleep = due.saturating_sub(now_us).clamp(1_000, MAX_SLEEP_US);
        let at = cx.now() + Duration::from_micros(sleep);
        timer_min!(&mut self.timer, at, [cx], tick());
    }

    fn carry_out(&mut self, effects: Vec<Effect>, now_us: u64) {
        let mut starts: Vec<(Worker, Job, u64, Vec<run::Task>)> = Vec::new();
        let mut stops: HashMap<Worker, Vec<u64>> = HashMap::new();
        let mut closed = Vec::new();
        let mut answers = Vec::new();
        for effect in effects {
            match effect {
                Effect::Start { worker, job, task, run, attempt, slack_us } => {
                    let task = run::Task { run, index: task, attempt };
                    match starts.iter_mut().find(|start| (start.0, start.1) == (worker, job)) {
                        Some(start) => start.3.push(task),
                        None => starts.push((worker, job, slack_us, vec![task])),
                    }
                }
                Effect::Stop { worker, run } => stops.entry(worker).or_default().push(run),
                Effect::Closed { job } => closed.push(job),
                Effect::Answer { token, answer } => answers.push((token, answer)),
            }
        }
        for (worker, job, slack_us, tasks) in starts {
            self.send_start(worker, job, slack_us, tasks, now_us);
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

    fn send_start(
        &mut self,
        worker: Worker,
        job: Job,
        slack_us: u64,
        tasks: Vec<run::Task>,
        now_us: u64,
    ) {
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
            wait_ms: (SIDECAR_WAIT_US / 1000) as u32,
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
