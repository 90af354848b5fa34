//! The sidecar process: accepts work from entries on behalf of one upstream, which receives calls
//! from it alone.

pub mod entries;
mod evacuations;
mod metrics;
pub mod peers;
pub mod status;
pub mod translate;
pub mod upstream;

use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use kingcup_dispatch::{
    code::Code,
    config::{self, Source, Store, Verdict, Version},
    evacuation,
    gate::{self, Effect, Gate},
    member::announce::Due,
};
use kingcup_wire::{Announce, Document, Finish, Frame, Hello, Key, Refuse, Role, Welcome};
use stakker::{
    actor, after, call, fwd_to, ret_shutdown, stop, sync::ChannelGuard, timer_min, MinTimerKey,
    Stakker, CX,
};
use stakker_mio::{mio::net::TcpListener, MioSource, Ready};

use crate::{
    datagram::Port,
    http::{self, Answer},
    link::{self, Closed, Id, Input, Table},
    reactor,
    settings::sidecar::Settings,
    sidecar::{
        entries::Entries,
        metrics::Metrics,
        peers::{Peer, Peers},
    },
};

/// Interval at which due announcements and document fetches are sent and links are checked for
/// silence.
const TICK: Duration = Duration::from_millis(100);
/// Maximum number of open links. Each entry has one, and a second while it replaces the first.
const MAX_LINKS: usize = 1024;
/// Time after which a link on which no `Hello` has arrived is closed, in milliseconds.
const HELLO_TIMEOUT_MS: u64 = 5_000;
/// Time after which a link is closed if its entry has neither sent bytes on it nor acknowledged an
/// announcement, in milliseconds. It covers ten announcement intervals when entries ask for longer
/// ones.
const SILENCE_TIMEOUT_MS: u64 = 30_000;
/// Time for which links stay open after the final answer, so that entries read it before the
/// connection ends.
const LINGER: Duration = Duration::from_millis(300);
/// Maximum size of a request body at the operators' address, in bytes.
const MAX_ADMIN_BODY_BYTES: usize = 64 << 10;

/// Actor of the sidecar process.
pub struct Sidecar {
    settings: Settings,
    gate: Gate,
    gate_timer: MinTimerKey,
    config: Store,
    evacuations: evacuation::Table,
    upstream_path: Arc<str>,
    links: Table,
    peers: Peers,
    entries: Entries,
    listener: MioSource<TcpListener>,
    address: SocketAddr,
    port: Port,
    upstream: upstream::Pool,
    metrics: Metrics,
    stopping: bool,
    lingering: bool,
    _signals: ChannelGuard,
}

/// Spawns the sidecar's actor on the event loop.
pub fn spawn(stakker: &mut Stakker, settings: Settings) -> stakker::ActorOwn<Sidecar> {
    actor!(stakker, Sidecar::init(settings), ret_shutdown!(stakker))
}

impl Sidecar {
    fn init(cx: CX![], settings: Settings) -> Option<Self> {
        match Self::open(cx, settings) {
            Ok(sidecar) => Some(sidecar),
            Err(error) => {
                log::error!("event=start_failed error={error:?}");
                stakker::fail!(cx, "{}", error);
                None
            }
        }
    }

    fn open(cx: CX![], settings: Settings) -> io::Result<Self> {
        let key = Key::derive(&settings.process.secret);
        let accept = fwd_to!([cx], accept() as (Ready));
        let listener = link::listen(cx, settings.internal, accept)?;
        let address = listener.local_addr()?;
        let datagrams = fwd_to!([cx], receive_datagrams() as (Ready));
        let port = Port::bind(cx, address, key.clone(), datagrams)?;
        let admin = fwd_to!([cx], handle_admin_request() as (http::Call));
        http::bind(cx, settings.admin, MAX_ADMIN_BODY_BYTES, |_| Answer::text(503, ""), admin)?;
        let finished = fwd_to!([cx], handle_completion() as (upstream::Completion));
        let upstream = upstream::spawn(cx, settings.upstream, settings.slots, finished)?;
        let signal = fwd_to!([cx], handle_signal() as (i32));
        let signals = reactor::signals(cx, &[reactor::SIGTERM, reactor::SIGINT], signal)?;
        call!([cx], tick());
        let incarnation = reactor::incarnation();
        log::info!(
            "event=started role=sidecar service={} incarnation={incarnation:x} internal={address}",
            settings.service
        );
        let peers = settings.entries.len();
        Ok(Self {
            gate: Gate::open(gate::Settings::with_slots(settings.slots), incarnation),
            gate_timer: MinTimerKey::default(),
            config: Store::open(now_ms(cx), config::SETTLE_MS, peers),
            evacuations: evacuation::Table::default(),
            upstream_path: Arc::from("/"),
            links: Table::open(key),
            peers: Peers::default(),
            entries: Entries::open(&settings, reactor::now_us(cx)),
            listener,
            address,
            port,
            upstream,
            metrics: Metrics::open()?,
            stopping: false,
            lingering: false,
            _signals: signals,
            settings,
        })
    }

    fn tick(&mut self, cx: CX![]) {
        after!(TICK, [cx], tick());
        let now_ms = now_ms(cx);
        self.announce(reactor::now_us(cx));
        for name in self.entries.tick(reactor::now_us(cx)) {
            self.config.forget(&name);
        }
        if self.config.tick(now_ms).contains(&self.settings.service) {
            self.apply_document(reactor::now_us(cx));
        }
        self.fetch(now_ms);
        self.close_unresponsive(cx);
        self.finish_event(cx);
    }

    /// Announces the upstream to the entries whose announcement is due.
    fn announce(&mut self, now: u64) {
        let due = self.entries.due(now);
        if due.is_empty() {
            return;
        }
        let address = self.settings.advertise.unwrap_or(self.address).to_string();
        for Due { address: to, sequence, .. } in due {
            let Ok(to) = to.parse() else { continue };
            let frame = Frame::Announce(Announce {
                name: &self.settings.process.name,
                incarnation: self.gate.incarnation(),
                sequence,
                service: &self.settings.service,
                zone: &self.settings.process.zone,
                address: &address,
                slots: self.settings.slots,
                closing: self.gate.is_closing(),
                revision: self.gate.revision(),
            });
            self.metrics.sent(&frame);
            let _ = self.port.send(to, &frame);
        }
    }

    fn receive_datagrams(&mut self, cx: CX![], _: Ready) {
        let now_ms = now_ms(cx);
        let mut buffer = Vec::new();
        while self.port.receive(&mut buffer).is_some() {
            let Some(frame) = self.port.decode(&buffer) else { continue };
            self.metrics.received(&frame);
            if let Frame::AnnounceAck(ack) = frame {
                self.entries.handle_ack(&ack, reactor::now_us(cx));
                self.config.report(ack.from.name, &self.settings.service, ack.revision);
            }
        }
        self.fetch(now_ms);
        self.finish_event(cx);
    }

    /// Requests newer documents from the entries that reported them.
    fn fetch(&mut self, now_ms: u64) {
        for fetch in self.config.fetches(now_ms) {
            match self.peers.link_of(&fetch.peer) {
                Some(link) => self.send(link, &Frame::Fetch(&fetch.service)),
                None => self.config.note_unreachable(&fetch.service, &fetch.peer),
            }
        }
    }

    /// Records the revision that an entry reports, and fetches the document if it is newer than the
    /// one in force.
    fn handle_notice(&mut self, peer: gate::Peer, notice: &Document<'_>, now_ms: u64) {
        if notice.service != self.settings.service || notice.revision == 0 {
            return;
        }
        let Some(peer) = self.peers.get(peer) else { return };
        self.config.report(&peer.entry, notice.service, notice.revision);
        self.fetch(now_ms);
    }

    fn handle_document(&mut self, document: &Document<'_>, cx: CX![]) {
        if document.service != self.settings.service || document.revision == 0 {
            return;
        }
        let version = match Version::parse(document.text) {
            Ok(version) => version,
            Err(fault) => return log::warn!("event=document_rejected fault=\"{fault}\""),
        };
        if version.envelope.document.service != self.settings.service {
            return;
        }
        let verdict = self.config.offer(version, Source::Peer, now_ms(cx));
        log::info!("event=document revision={} verdict=\"{verdict}\"", document.revision);
        if verdict == Verdict::Applied {
            self.apply_document(reactor::now_us(cx));
        }
    }

    fn apply_document(&mut self, now: u64) {
        let Some(version) = self.config.current(&self.settings.service) else { return };
        let document = &version.envelope.document;
        if self.gate.apply(document, version.revision(), now) {
            self.upstream_path = Arc::from(document.upstream_path.as_str());
            log::info!("event=document_in_force revision={}", version.revision());
        }
    }

    fn accept(&mut self, cx: CX![], _: Ready) {
        let now_us = reactor::now_us(cx);
        while let Ok((stream, address)) = self.listener.accept() {
            if self.links.len() >= MAX_LINKS {
                log::warn!("event=accept_refused peer={address} reason=too_many_links");
                continue;
            }
            if let Err(error) = self.links.accept(cx, stream, address, now_us, Self::ready) {
                log::warn!("event=accept_failed peer={address} error={error:?}");
            }
        }
    }

    fn ready(&mut self, cx: CX![], id: Id, ready: Ready) {
        if ready.is_writable() && !self.links.writable(id) {
            self.close(id, &Closed::End, reactor::now_us(cx));
            return self.finish_event(cx);
        }
        let Some(mut input) = self.links.read(id, ready, reactor::now_us(cx)) else { return };
        let valid = self.handle_frames(cx, id, &mut input);
        match self.links.put_back(id, input) {
            Some(closed) => self.close(id, &closed, reactor::now_us(cx)),
            None if !valid => self.close(id, &Closed::End, reactor::now_us(cx)),
            None => {}
        }
        self.finish_event(cx);
    }

    /// Handles the frames of one read. Returns false if the connection must be closed.
    fn handle_frames(&mut self, cx: CX![], id: Id, input: &mut Input) -> bool {
        let now = reactor::now_us(cx);
        while let Some(frame) = input.take_frame() {
            self.metrics.received(&frame);
            let peer = self.peers.key(id);
            match (frame, peer) {
                (Frame::Hello(hello), None) => {
                    if !self.handle_hello(id, &hello, now) {
                        return false;
                    }
                }
                (Frame::Probe(value), _) => self.send(id, &Frame::ProbeAck(value)),
                (Frame::Start(start), Some(peer)) => {
                    self.gate.start(peer, &translate::start(&start), now);
                }
                (Frame::Recall(recall), Some(peer)) => {
                    self.gate.recall(peer, &recall.sequences, recall.stop, now);
                }
                (Frame::Inquire(inquire), Some(peer)) => {
                    self.gate.inquire(peer, &inquire.sequences, now);
                }
                (Frame::Fetch(service), Some(_)) => self.send_document(id, service),
                (Frame::Document(notice), Some(peer)) if notice.text.is_empty() => {
                    self.handle_notice(peer, &notice, now_ms(cx));
                }
                (Frame::Document(document), Some(_)) => self.handle_document(&document, cx),
                (Frame::Evacuations(evacuations), Some(peer)) => {
                    let entry = self.entry_of(peer).0.to_owned();
                    self.receive_evacuations(id, &entry, &evacuations, now);
                }
                (Frame::ProbeAck(_) | Frame::Closing, Some(_)) => {}
                (_, _) => {
                    log::warn!("event=frame_unexpected greeted={}", peer.is_some());
                    return false;
                }
            }
            self.apply_effects();
        }
        true
    }

    /// Registers an entry's connection with the gate and answers with `Welcome`. Returns false if
    /// the connection must be closed.
    fn handle_hello(&mut self, id: Id, hello: &Hello<'_>, now: u64) -> bool {
        let Hello { name: entry, incarnation, generation, settled, .. } = *hello;
        if hello.role != Role::Entry {
            return false;
        }
        let key = match self.gate.hello(entry, incarnation, generation, settled, now) {
            Ok(key) => key,
            Err(code) => {
                log::info!(
                    "event=entry_refused entry={entry} incarnation={incarnation:x} \
                     generation={generation} code={}",
                    code.number()
                );
                return false;
            }
        };
        log::info!(
            "event=entry_connected entry={entry} incarnation={incarnation:x} \
             generation={generation}"
        );
        self.peers.insert(key, Peer { entry: entry.to_owned(), incarnation, link: id });
        let Some(load) = self.gate.load(key, now) else { return false };
        let name = self.settings.process.name.clone();
        let service = self.settings.service.clone();
        let zone = self.settings.process.zone.clone();
        let welcome = Frame::Welcome(Welcome {
            name: &name,
            incarnation: self.gate.incarnation(),
            service: &service,
            zone: &zone,
            slots: self.settings.slots,
            closing: self.gate.is_closing(),
            load: translate::load(&load),
        });
        self.send(id, &welcome);
        self.send_evacuations(id);
        true
    }

    fn send_document(&mut self, id: Id, service: &str) {
        let version = self.config.current(service).cloned();
        let (revision, text) =
            version.as_ref().map_or((0, ""), |version| (version.revision(), &version.text));
        self.send(id, &Frame::Document(Document { service, revision, text }));
    }

    fn send(&mut self, id: Id, frame: &Frame<'_>) {
        if self.links.send(id, frame) {
            self.metrics.sent(frame);
        }
    }

    fn send_to(&mut self, peer: gate::Peer, frame: &Frame<'_>) {
        if let Some(link) = self.peers.get(peer).map(|peer| peer.link) {
            self.send(link, frame);
        }
    }

    /// Applies the effects that the gate has decided since the last call.
    fn apply_effects(&mut self) {
        let effects: Vec<Effect> = self.gate.drain().collect();
        for effect in effects {
            self.apply_effect(effect);
        }
    }

    fn apply_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Call { slot, peer, sequence, job, task, kind, timeout_ms, payload } => {
                self.metrics.called();
                let (entry, incarnation) = self.entry_of(peer);
                log::info!(
                    "event=start decision=call job={job} task={task} kind={kind} entry={entry} \
                     incarnation={incarnation:x} sequence={sequence} running={} queued={}",
                    self.gate.running(),
                    self.gate.queued()
                );
                let timeout = Duration::from_millis(u64::from(timeout_ms));
                let path = self.upstream_path.clone();
                self.upstream.call(upstream::Call { slot, path, job, task, timeout, payload });
            }
            Effect::Finish { peer, sequence, outcome, queue_us, run_us, load, body } => {
                let outcome = translate::outcome(outcome);
                let load = translate::load(&load);
                let body = &body;
                let finish = Finish { sequence, outcome, queue_us, run_us, load, body };
                self.send_to(peer, &Frame::Finish(finish));
            }
            Effect::Refuse { peer, sequence, code, load } => {
                self.metrics.refused(code);
                let (entry, incarnation) = self.entry_of(peer);
                log::info!(
                    "event=start decision=refuse code={} reason=\"{code}\" entry={entry} \
                     incarnation={incarnation:x} sequence={sequence} running={} queued={}",
                    code.number(),
                    self.gate.running(),
                    self.gate.queued()
                );
                let load = translate::load(&load);
                let refuse = Refuse { sequence, code: code.number(), load };
                self.send_to(peer, &Frame::Refuse(refuse));
            }
            Effect::Recalled { peer, reports } => {
                self.send_to(peer, &Frame::Recalled(translate::reports(&reports)));
            }
            Effect::Reports { peer, reports } => {
                self.send_to(peer, &Frame::Reports(translate::reports(&reports)));
            }
            Effect::Load { peer, load } => {
                self.send_to(peer, &Frame::Load(translate::load(&load)));
            }
            // A call on a thread cannot be interrupted. The gate drops its answer.
            Effect::Stop { .. } => log::info!("event=call_abandoned"),
            Effect::Close { peer } => {
                if let Some(link) = self.peers.get(peer).map(|peer| peer.link) {
                    log::info!("event=link_closed reason=replaced");
                    self.peers.remove(link);
                    self.links.close(link);
                }
            }
        }
    }

    fn entry_of(&self, peer: gate::Peer) -> (&str, u64) {
        self.peers.get(peer).map_or(("-", 0), |peer| (&peer.entry, peer.incarnation))
    }

    fn handle_completion(&mut self, cx: CX![], completion: upstream::Completion) {
        self.gate.finished(
            completion.slot,
            completion.outcome,
            completion.body,
            reactor::now_us(cx),
        );
        self.finish_event(cx);
    }

    fn tick_gate(&mut self, cx: CX![]) {
        self.gate.tick(reactor::now_us(cx));
        self.finish_event(cx);
    }

    /// Applies the gate's effects, flushes the links, sets the gate's timer and stops the sidecar
    /// if that is due. Every event ends with it.
    fn finish_event(&mut self, cx: CX![]) {
        self.apply_effects();
        for id in self.links.flush() {
            self.close(id, &Closed::End, reactor::now_us(cx));
        }
        if let Some(due) = self.gate.next_tick() {
            let due = cx.start_instant() + Duration::from_micros(due);
            // The timer must lie in the future: the loop's clock only moves forward, and never past
            // the present.
            let due = due.max(cx.now() + Duration::from_millis(1));
            self.set_gate_timer(cx, due);
        }
        self.stop_if_idle(cx);
    }

    fn set_gate_timer(&mut self, cx: CX![], due: Instant) {
        timer_min!(&mut self.gate_timer, due, [cx], tick_gate());
    }

    fn close(&mut self, id: Id, closed: &Closed, now: u64) {
        self.links.close(id);
        let Some((key, peer)) = self.peers.remove(id) else { return };
        let entry = peer.entry;
        log::info!("event=link_closed entry={entry} reason={closed:?}");
        self.gate.disconnected(key, now);
    }

    /// Closes links of entries that were lost without closing them, and those without a `Hello`.
    fn close_unresponsive(&mut self, cx: CX![]) {
        let now_us = reactor::now_us(cx);
        let is_silent = |id: Id, last_received_us: u64| {
            let last_received_ms = last_received_us / 1000;
            let peer = self.peers.key(id).and_then(|key| self.peers.get(key));
            match peer {
                Some(peer) => {
                    let last_received_ms =
                        last_received_ms.max(self.entries.last_received(&peer.entry) / 1000);
                    now_us / 1000 >= last_received_ms + SILENCE_TIMEOUT_MS
                }
                None => now_us / 1000 >= last_received_ms + HELLO_TIMEOUT_MS,
            }
        };
        let links = self.links.iter();
        let silent: Vec<Id> = links
            .filter(|(id, link)| is_silent(*id, link.last_received_us))
            .map(|(id, _)| id)
            .collect();
        for id in silent {
            self.close(id, &Closed::End, now_us);
        }
    }

    fn handle_admin_request(&mut self, cx: CX![], call: http::Call) {
        let answer = match (call.method.as_str(), call.path.as_str()) {
            ("GET", "/healthz") => Answer::text(200, "ok\n"),
            ("GET", "/readyz") => self.readiness(),
            ("GET", "/status") => self.status(now_ms(cx)),
            ("GET", "/metrics") => Answer::text(200, self.scrape()),
            ("POST", "/drain") => {
                self.drain(cx);
                self.status(now_ms(cx))
            }
            (_, "/healthz" | "/readyz" | "/status" | "/metrics" | "/drain") => {
                Answer::text(405, "method not allowed\n")
            }
            _ => Answer::text(404, "not found\n"),
        };
        call.reply.send(answer);
        self.finish_event(cx);
    }

    fn scrape(&mut self) -> Vec<u8> {
        self.metrics.text(&self.gate, &self.evacuations, &self.port)
    }

    fn readiness(&self) -> Answer {
        if self.gate.is_closing() {
            return Answer::text(503, "closing\n");
        }
        if self.gate.revision() == 0 {
            return Answer::text(503, format!("{}\n", Code::NoDocument));
        }
        Answer::text(200, "ready\n")
    }

    fn status(&self, now_ms: u64) -> Answer {
        let Self { settings, gate, evacuations, entries, peers, .. } = self;
        let status = status::status(settings, gate, evacuations, entries, peers, now_ms);
        match serde_json::to_vec(&status) {
            Ok(body) => Answer::json(200, body),
            Err(error) => Answer::text(500, error.to_string()),
        }
    }

    /// Closes the gate and notifies the entries, on their links and by announcement.
    fn drain(&mut self, cx: CX![]) {
        if self.gate.is_closing() {
            return;
        }
        log::info!("event=draining running={} queued={}", self.gate.running(), self.gate.queued());
        self.gate.close(reactor::now_us(cx));
        let links: Vec<Id> = self.peers.iter().map(|peer| peer.link).collect();
        for id in links {
            self.send(id, &Frame::Closing);
        }
        let now = reactor::now_us(cx);
        self.entries.announce_now(now);
        self.announce(now);
    }

    fn handle_signal(&mut self, cx: CX![], signal: i32) {
        if std::mem::replace(&mut self.stopping, true) {
            return;
        }
        log::info!("event=stopping signal={signal}");
        self.drain(cx);
        after!(Duration::from_millis(self.settings.stop_timeout_ms), [cx], stop_on_timeout());
        self.finish_event(cx);
    }

    fn stop_if_idle(&mut self, cx: CX![]) {
        let idle = self.gate.running() == 0 && self.links.unsent() == 0;
        if self.stopping && idle && !self.lingering {
            self.lingering = true;
            after!(LINGER, [cx], stop());
        }
    }

    fn stop(&mut self, cx: CX![]) {
        log::info!("event=stopped");
        stop!(cx);
    }

    fn stop_on_timeout(&mut self, cx: CX![]) {
        log::warn!("event=stopped reason=stop_timeout running={}", self.gate.running());
        stop!(cx);
    }
}

/// Returns the time since the event loop was opened, in milliseconds.
fn now_ms(core: &stakker::Core) -> u64 {
    reactor::now_us(core) / 1000
}
