//! The sidecar, which accepts runs from entries and is the only process that calls its upstream.

mod upstream;

use std::{collections::HashMap, io, sync::Arc, time::Duration};

use kingcup_dispatch::worker::{Effect, End, Entry, Start, Supervisor};
use kingcup_wire::{
    run::{self, Message},
    Frame, Key, Role,
};
use stakker::{
    actor, call, fwd_to, ret_shutdown, stop, sync::ChannelGuard, timer_min, MinTimerKey, Stakker,
    CX,
};
use stakker_mio::Ready;

use self::upstream::Token;
use super::{
    input::{self, Read},
    mesh::{Identity, Mesh},
    metrics,
    protocol::{self, Notification},
    settings, translate,
};
use crate::{
    link::{Id, Input, Table},
    reactor,
    web::{message::Limits, server, Client, Event, Response, Server},
};

/// Longest time between two ticks, in microseconds.
const MAX_SLEEP_US: u64 = 100_000;
/// Time without data from an entry after which its link is closed and opened again, in
/// microseconds. An entry responds to each regular grant, ten a second.
const ENTRY_TIMEOUT_US: u64 = 800_000;
/// Time between two checks for connections that are not needed, in microseconds. After a start or
/// an outage, the list of entries is complete well before the first check.
const SURPLUS_INTERVAL_US: u64 = 1_000_000;
/// Least time from the notice that an entry may send no more starts until its connection is closed,
/// in microseconds: several round trips, so that no start is under way.
const LEAVE_US: u64 = 300_000;
/// Time after which a configuration that was requested is requested from another entry, in
/// microseconds.
const REQUEST_TIMEOUT_US: u64 = 500_000;
/// Limits on the upstream's messages, in bytes; lists of runs and ends are the largest.
const LIMITS: Limits = Limits { head_bytes: 16 << 10, body_bytes: 1 << 20 };
/// Maximum number of connections at the control address, and at the metrics address.
const CONTROL_CONNECTIONS: usize = 64;

/// An entry that has sent its greeting on a link.
struct Peer {
    entry: Entry,
    name: String,
    /// Highest version of the configuration that the entry is known to have.
    config: u64,
    /// Time since which the connection is not needed any more.
    leaving_since_us: Option<u64>,
}

impl Peer {
    /// Returns whether the entry may send starts.
    fn may_start(&self) -> bool {
        self.leaving_since_us.is_none()
    }
}

/// A running sidecar.
pub struct Sidecar {
    settings: settings::Sidecar,
    protocol: protocol::Sidecar,
    supervisor: Supervisor,
    client: Client<Token>,
    control: Server,
    metrics_server: Server,
    metrics: metrics::Sidecar,
    links: Table,
    mesh: Mesh,
    peers: HashMap<Id, Peer>,
    incarnation: u64,
    /// Number of greetings sent so far.
    generation: u64,
    /// Version and text of the newest configuration that an entry has sent; version 0 if none has.
    config: (u64, Vec<u8>),
    /// Version of the configuration that was requested last, and the time of the request.
    requested: (u64, u64),
    /// Time at which surplus connections are looked for next.
    surplus_due_us: u64,
    timer: MinTimerKey,
    stop_deadline_us: Option<u64>,
    _signals: ChannelGuard,
}

/// Starts the sidecar's actor in the event loop.
pub fn spawn(
    stakker: &mut Stakker,
    settings: settings::Sidecar,
    protocol: protocol::Sidecar,
) -> stakker::ActorOwn<Sidecar> {
    actor!(stakker, Sidecar::init(settings, protocol), ret_shutdown!(stakker))
}

impl Sidecar {
    fn init(cx: CX![], settings: settings::Sidecar, protocol: protocol::Sidecar) -> Option<Self> {
        match Self::open(cx, settings, protocol) {
            Ok(sidecar) => Some(sidecar),
            Err(error) => {
                log::error!("event=start_failed error={error:?}");
                stakker::fail!(cx, "{}", error);
                None
            }
        }
    }

    fn open(
        cx: CX![],
        settings: settings::Sidecar,
        protocol: protocol::Sidecar,
    ) -> io::Result<Self> {
        let now_us = super::now_us();
        let handler = fwd_to!([cx], accept_control() as (Ready));
        let control = Server::bind(cx, settings.control, LIMITS, CONTROL_CONNECTIONS, handler)?;
        let handler = fwd_to!([cx], accept_metrics() as (Ready));
        let metrics_server =
            Server::bind(cx, settings.process.metrics, LIMITS, CONTROL_CONNECTIONS, handler)?;
        let handler = fwd_to!([cx], signal() as (i32));
        let signals = reactor::signals(cx, &super::SIGNALS, handler)?;
        let incarnation = reactor::incarnation();
        log::info!(
            "event=started role=sidecar incarnation={incarnation:x} upstream={} entries={:?}",
            settings.upstream,
            settings.process.entries
        );
        call!([cx], tick());
        Ok(Self {
            supervisor: Supervisor::open(),
            client: Client::open(LIMITS),
            control,
            metrics_server,
            metrics: metrics::Sidecar::open()?,
            links: Table::open(Key::derive(&settings.process.secret)),
            mesh: Mesh::open_limited(
                settings.process.address(),
                Identity { name: &settings.process.name, zone: &settings.process.zone },
                &settings.process.entries,
                now_us,
            ),
            peers: HashMap::new(),
            incarnation,
            generation: 0,
            config: (0, Vec::new()),
            requested: (0, 0),
            surplus_due_us: now_us + SURPLUS_INTERVAL_US,
            timer: MinTimerKey::default(),
            stop_deadline_us: None,
            settings,
            protocol,
            _signals: signals,
        })
    }

    /// Returns the current time, at the start of an event.
    fn begin_event(&self) -> u64 {
        super::now_us()
    }

    fn tick(&mut self, cx: CX![]) {
        let now_us = self.begin_event();
        self.expire_calls(now_us);
        for address in self.mesh.due(now_us) {
            let link = self.links.dial(cx, address, now_us, Self::link_ready);
            if let Some(link) = self.mesh.dialled(address, link, now_us) {
                self.send_greeting(link);
            }
        }
        self.close_unresponsive(now_us);
        if now_us >= self.surplus_due_us {
            self.surplus_due_us = now_us + SURPLUS_INTERVAL_US;
            self.leave_surplus(now_us);
        }
        self.close_left(now_us);
        self.finish_event(cx, now_us);
    }

    /// Tells the entries whose connections are not needed to send no more starts, and those whose
    /// connections are needed again that they may.
    fn leave_surplus(&mut self, now_us: u64) {
        let surplus = self.mesh.surplus();
        let mut changed = Vec::new();
        for (link, peer) in &mut self.peers {
            let is_surplus = surplus.contains(link);
            if is_surplus == peer.may_start() {
                peer.leaving_since_us = is_surplus.then_some(now_us);
                changed.push(*link);
            }
        }
        for link in changed {
            self.send_profile(link);
        }
    }

    /// Closes the connections that are not needed, once the entries have no runs here.
    fn close_left(&mut self, now_us: u64) {
        let left: Vec<Id> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.leaving_since_us.is_some_and(|us| us + LEAVE_US <= now_us))
            .filter(|(_, peer)| !self.supervisor.has_runs(peer.entry))
            .map(|(link, _)| *link)
            .collect();
        for link in left {
            self.close(link, "surplus", now_us);
        }
    }

    fn send_greeting(&mut self, link: Id) {
        self.generation += 1;
        let greeting = run::Greeting {
            role: Role::Sidecar,
            name: &self.settings.process.name,
            address: self.settings.process.address(),
            zone: &self.settings.process.zone,
            incarnation: self.incarnation,
            generation: self.generation,
            config: self.config.0,
        };
        self.links.send(link, &Frame::Run(Message::Greeting(greeting)));
    }

    /// Closes the links to entries that have sent nothing or no greeting for too long.
    fn close_unresponsive(&mut self, now_us: u64) {
        let links = self.links.iter();
        let mut unresponsive: Vec<Id> = links
            .filter(|(id, link)| {
                self.peers.contains_key(id) && link.last_received_us + ENTRY_TIMEOUT_US < now_us
            })
            .map(|(id, _)| id)
            .collect();
        unresponsive.extend(self.mesh.timed_out(now_us));
        for link in unresponsive {
            self.close(link, "silent", now_us);
        }
    }

    fn close(&mut self, link: Id, reason: &str, now_us: u64) {
        self.links.close(link);
        self.mesh.closed(link, now_us);
        if let Some(peer) = self.peers.remove(&link) {
            log::info!("event=entry_lost entry={} reason={reason}", peer.name);
            let reconnected = self.peers.values().any(|other| other.entry == peer.entry);
            if !reconnected {
                self.supervisor.disconnected(peer.entry);
            }
        }
    }

    fn link_ready(&mut self, cx: CX![], link: Id, ready: Ready) {
        let now_us = self.begin_event();
        match input::read(&mut self.links, &mut self.mesh, link, ready, now_us) {
            Read::Nothing => return,
            Read::Failed => self.close(link, "write", now_us),
            Read::Messages(mut input) => {
                let expected = self.handle_messages(link, &mut input, now_us);
                if let Some(reason) = input::finish(&mut self.links, link, input, expected) {
                    self.close(link, &reason, now_us);
                }
            }
        }
        self.finish_event(cx, now_us);
    }

    /// Handles the messages of one read. Returns false if the connection is to be closed.
    fn handle_messages(&mut self, link: Id, input: &mut Input, now_us: u64) -> bool {
        while let Some(frame) = input.take_frame() {
            let Frame::Run(message) = frame else { return false };
            let entry = self.peers.get(&link).map(|peer| peer.entry);
            match (message, entry) {
                (Message::Greeting(greeting), None) => self.register_entry(link, &greeting, now_us),
                (Message::Renew(number), Some(entry)) => self.supervisor.renew(entry, number),
                (Message::Waiting(waiting), Some(entry)) => {
                    self.supervisor.set_waiting(entry, waiting);
                }
                (Message::Start(start), Some(entry)) => self.handle_start(entry, &start, now_us),
                (Message::Stop(runs), Some(entry)) => {
                    for run in runs {
                        self.supervisor.stop(entry, run, now_us);
                    }
                }
                (Message::Config(config), Some(_)) => {
                    if config.version > self.config.0 {
                        self.config = (config.version, config.text.to_vec());
                    }
                }
                (Message::Version(version), Some(_)) => self.offered(link, version, now_us),
                (Message::Peers(peers), Some(_)) => {
                    for peer in peers {
                        self.mesh.learn(peer.address, Some(peer.zone), now_us);
                    }
                }
                _ => return false,
            }
        }
        true
    }

    /// Handles the version of an entry's configuration: requests it if it is newer than the one kept
    /// here and no other entry has been asked for it.
    fn offered(&mut self, link: Id, version: u64, now_us: u64) {
        if let Some(peer) = self.peers.get_mut(&link) {
            peer.config = peer.config.max(version);
        }
        let (requested, requested_us) = self.requested;
        let is_pending = version <= requested && now_us < requested_us + REQUEST_TIMEOUT_US;
        if version > self.config.0 && !is_pending {
            self.requested = (version, now_us);
            self.links.send(link, &Frame::Run(Message::Fetch));
        }
    }

    /// Registers an entry by its greeting, replacing an older link to it, and sends it the held
    /// runs, the profile and the configuration.
    fn register_entry(&mut self, link: Id, greeting: &run::Greeting<'_>, now_us: u64) {
        self.mesh.greeted(link, greeting.zone, now_us);
        let previous = self.peers.iter().find(|(_, peer)| peer.name == greeting.name);
        if let Some(previous) = previous.map(|(id, _)| *id) {
            self.close(previous, "replaced", now_us);
        }
        let (entry, held) = self.supervisor.connected(greeting.name, greeting.incarnation, now_us);
        log::info!(
            "event=entry_connected entry={} incarnation={:x} held={}",
            greeting.name,
            greeting.incarnation,
            held.len()
        );
        let peer = Peer {
            entry,
            name: greeting.name.to_owned(),
            config: greeting.config,
            leaving_since_us: None,
        };
        self.peers.insert(link, peer);
        self.flush_ends();
        self.links.send(link, &Frame::Run(Message::Held(held)));
        self.send_profile(link);
        self.send_config(link);
        self.offered(link, greeting.config, now_us);
    }

    /// Sends the newest configuration to an entry that has an older one.
    fn send_config(&mut self, link: Id) {
        let Some(peer) = self.peers.get_mut(&link) else { return };
        let (version, text) = &self.config;
        if *version > peer.config {
            peer.config = *version;
            let config = run::Config { version: *version, text };
            self.links.send(link, &Frame::Run(Message::Config(config)));
        }
    }

    fn handle_start(&mut self, entry: Entry, start: &run::Start<'_>, now_us: u64) {
        let spec: Arc<str> = start.spec.into();
        for task in &start.tasks {
            let name = (self.protocol.task_name)(start.job, start.step, task.index);
            let start = Start {
                run: task.run,
                task: name.into(),
                attempt: task.attempt,
                spec: spec.clone(),
                cores: start.cores,
                memory_mb: start.memory_mb,
                grant: start.grant,
                slack_us: start.rank,
                wait_us: u64::from(start.wait_ms) * 1000,
            };
            self.supervisor.start(entry, start, now_us);
        }
    }

    fn send_profile(&mut self, link: Id) {
        let may_start = self.peers.get(&link).is_some_and(Peer::may_start);
        if let Some(mut profile) = self.supervisor.profile() {
            profile.ready &= may_start;
            let profile = translate::profile_to_wire(&profile);
            self.links.send(link, &Frame::Run(Message::Profile(profile)));
        }
    }

    fn link_of(&self, entry: Entry) -> Option<Id> {
        self.peers.iter().find(|(_, peer)| peer.entry == entry).map(|(id, _)| *id)
    }

    /// Sends the ends among the pending effects ahead of the list of held runs: an entry treats a
    /// run that is missing from this list as lost unless it has received the run's end before.
    fn flush_ends(&mut self) {
        let effects = self.supervisor.drain();
        let mut ends: Vec<(Entry, End)> = Vec::new();
        for effect in effects {
            match effect {
                Effect::Ended { entry, end, .. } => ends.push((entry, end)),
                other => self.supervisor.put_back(other),
            }
        }
        self.send_ends(&ends);
    }

    fn send_ends(&mut self, ends: &[(Entry, End)]) {
        let mut by_link: HashMap<Id, Vec<run::End>> = HashMap::new();
        for (entry, end) in ends {
            if let Some(link) = self.link_of(*entry) {
                by_link.entry(link).or_default().push(translate::end_to_wire(end));
            }
        }
        for (link, list) in by_link {
            self.links.send(link, &Frame::Run(Message::Ended(list)));
        }
    }

    /// Carries out the supervisor's effects, sends queued messages and sets the timer. Called at
    /// the end of each event.
    fn finish_event(&mut self, cx: CX![], now_us: u64) {
        self.supervisor.tick(now_us);
        // Calls that fail immediately lead to further effects.
        loop {
            let effects = self.supervisor.drain();
            if effects.is_empty() {
                break;
            }
            self.execute(cx, effects, now_us);
        }
        for link in self.links.flush() {
            self.close(link, "flush", now_us);
        }
        if self.stop_if_idle(cx, now_us) {
            return;
        }
        let due_us = self.supervisor.next_tick(now_us).min(self.client.next_deadline());
        let due_us = due_us.min(self.mesh.next_due(now_us));
        let sleep_us = due_us.saturating_sub(now_us).clamp(1_000, MAX_SLEEP_US);
        let at = cx.now() + Duration::from_micros(sleep_us);
        timer_min!(&mut self.timer, at, [cx], tick());
    }

    fn execute(&mut self, cx: CX![], effects: Vec<Effect>, now_us: u64) {
        let mut ends = Vec::new();
        let mut refusals: HashMap<Id, Vec<u64>> = HashMap::new();
        let mut grants = Vec::new();
        let mut profile = false;
        for effect in effects {
            match effect {
                Effect::Order { key, order, timeout_us } => {
                    self.send_order(cx, key, order, timeout_us, now_us);
                }
                Effect::Poll { .. } => self.send_poll(cx, &effect, now_us),
                Effect::Ended { entry, task, end } => {
                    log::info!(
                        "event=run_ended task={task} run={} how={:?} ran_us={}",
                        end.run,
                        end.outcome,
                        end.ran_us
                    );
                    self.metrics.ended(end.outcome, end.ran_us);
                    ends.push((entry, end));
                }
                Effect::Refused { entry, task, run, reason } => {
                    log::info!("event=start_refused task={task} run={run} reason={reason:?}");
                    self.metrics.refused(reason);
                    if let Some(link) = self.link_of(entry) {
                        refusals.entry(link).or_default().push(run);
                    }
                }
                Effect::Progress { entry, runs } => {
                    if let Some(link) = self.link_of(entry) {
                        let runs = runs.iter().map(translate::progress_to_wire).collect();
                        self.links.send(link, &Frame::Run(Message::Progress(runs)));
                    }
                }
                Effect::Grant { entry, grant } => grants.push((entry, grant)),
                Effect::Profile => profile = true,
            }
        }
        if profile {
            if let Some(profile) = self.supervisor.profile() {
                log::info!(
                    "event=profile name={} cores={} accepting={}",
                    profile.name,
                    profile.cores,
                    profile.ready
                );
            }
            let links: Vec<Id> = self.peers.keys().copied().collect();
            for link in links {
                self.send_profile(link);
            }
        }
        self.send_ends(&ends);
        for (link, runs) in refusals {
            self.links.send(link, &Frame::Run(Message::Refused(runs)));
        }
        for (entry, grant) in grants {
            if let Some(link) = self.link_of(entry) {
                let grant = translate::grant_to_wire(&grant);
                self.links.send(link, &Frame::Run(Message::Grant(grant)));
            }
        }
    }

    fn accept_control(&mut self, cx: CX![], _: Ready) {
        let now_us = self.begin_event();
        self.control.accept(cx, now_us, Self::control_ready);
    }

    fn control_ready(&mut self, cx: CX![], id: server::Id, ready: Ready) {
        let now_us = self.begin_event();
        let mut event = self.control.read(id, ready, now_us);
        while let Some(Event::Request(request)) = event {
            let status = match (self.protocol.parse_notification)(&request) {
                Notification::Report { profile, sequence, clock_ms } => {
                    log::debug!("event=report sequence={sequence} ready={}", profile.ready);
                    if !self.supervisor.report(profile, sequence, clock_ms, now_us) {
                        log::info!("event=report_ignored sequence={sequence} clock_ms={clock_ms}");
                    }
                    200
                }
                Notification::Leave { name } => {
                    log::info!("event=upstream_leaves upstream={name}");
                    self.supervisor.upstream_leaving(&name, now_us);
                    200
                }
                Notification::Invalid(reason) => {
                    log::warn!("event=report_rejected reason=\"{reason}\"");
                    400
                }
            };
            self.control.respond(id, &Response::of(status, "application/json", "{}"));
            event = self.control.next(id);
        }
        self.finish_event(cx, now_us);
    }

    fn accept_metrics(&mut self, cx: CX![], _: Ready) {
        let now_us = self.begin_event();
        self.metrics_server.accept(cx, now_us, Self::metrics_ready);
    }

    fn metrics_ready(&mut self, _: CX![], id: server::Id, ready: Ready) {
        let now_us = self.begin_event();
        let mut event = self.metrics_server.read(id, ready, now_us);
        while let Some(Event::Request(_)) = event {
            let text = self.metrics.text(&self.supervisor, self.peers.len());
            self.metrics_server.respond(id, &Response::of(200, "text/plain", text));
            event = self.metrics_server.next(id);
        }
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
        if self.stop_deadline_us.is_none() {
            log::info!("event=stopping signal={signal} running={}", self.supervisor.running());
            self.stop_deadline_us = Some(now_us + self.settings.stop_timeout_ms * 1000);
            self.supervisor.stop_accepting(now_us);
        }
        self.finish_event(cx, now_us);
    }

    fn stop_if_idle(&mut self, cx: CX![], now_us: u64) -> bool {
        let Some(stop_deadline_us) = self.stop_deadline_us else { return false };
        let idle = self.supervisor.running() == 0 && self.links.unsent() == 0;
        if !idle && now_us < stop_deadline_us {
            return false;
        }
        log::info!("event=stopped running={}", self.supervisor.running());
        stop!(cx);
        true
    }
}
