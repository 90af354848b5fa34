//! The sidecar, which accepts runs from entries and is the only process that calls its upstream.

mod evacuation;
mod links;
mod upstream;

use std::{collections::HashMap, io, time::Duration};

use kingcup_dispatch::worker::{Effect, Supervisor};
use kingcup_wire::{run::Message, Frame, Key};
use stakker::{
    actor, call, fwd_to, ret_shutdown, stop, sync::ChannelGuard, timer_min, MinTimerKey, Stakker,
    CX,
};
use stakker_mio::Ready;

use self::{links::Peer, upstream::Token};
use super::{
    evacuation::Orders,
    mesh::{Identity, Mesh},
    metrics,
    protocol::{self, Notification},
    settings, translate,
};
use crate::{
    link::{Id, Table},
    reactor,
    web::{message::Limits, server, Client, Event, Response, Server},
};

/// Longest time between two ticks, in microseconds.
const MAX_SLEEP_US: u64 = 100_000;
/// Time without data from an entry after which its link is closed and opened again, in
/// microseconds. An entry renews its lease every 250 ms or, at the next grant, 350 ms if no runs
/// depend on it, and more often otherwise.
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

/// A running sidecar.
pub struct Sidecar {
    settings: settings::Sidecar,
    protocol: protocol::Sidecar,
    supervisor: Supervisor,
    orders: Orders,
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
    /// Version of the configuration that was requested last.
    requested_version: u64,
    /// Time of that request.
    requested_us: u64,
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
            orders: Orders::open(settings.process.apply_ms.is_some()),
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
            requested_version: 0,
            requested_us: 0,
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
                Effect::Restarted { incarnation } => {
                    log::info!("event=upstream_restarted incarnation={incarnation}");
                }
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
            self.metrics.evacuated(&self.orders);
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
