//! The sidecar: the only gate through which an upstream gets work.

pub mod upstream;

use std::{
    collections::{HashMap, VecDeque},
    io,
    net::SocketAddr,
    time::Duration,
};

use kingcup_dispatch::code::Code;
use kingcup_wire::{Announce, Finish, Frame, Hello, Key, Load, Outcome, Refuse, Start, Welcome};
use stakker::{actor, after, call, fwd_to, ret_shutdown, stop, sync::ChannelGuard, Stakker, CX};
use stakker_mio::{mio::net::TcpListener, MioSource, Ready};

use crate::{
    datagram::Port,
    http::{self, Answer},
    link::{self, Closed, Id, Input, Table},
    reactor,
    settings::sidecar::Settings,
};

/// Interval of announcements, until an entry asks for another.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Starts that wait for a slot.
const QUEUE: usize = 64;

/// Identity of an entry's connection.
#[derive(Debug)]
struct Peer {
    name: String,
    incarnation: u64,
}

/// A start that waits for a slot.
#[derive(Debug)]
struct Waiting {
    link: Id,
    sequence: u64,
    call: upstream::Call,
}

/// A running sidecar.
pub struct Sidecar {
    settings: Settings,
    incarnation: u64,
    links: Table,
    peers: HashMap<Id, Peer>,
    listener: MioSource<TcpListener>,
    address: SocketAddr,
    port: Port,
    announced: u64,
    callers: upstream::Callers,
    running: HashMap<u64, (Id, u64)>,
    next_call: u64,
    waiting: VecDeque<Waiting>,
    closing: bool,
    _signals: ChannelGuard,
}

/// Starts the sidecar's actor in the loop.
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
        let datagrams = fwd_to!([cx], datagrams() as (Ready));
        let port = Port::bind(cx, address, key.clone(), datagrams)?;
        let admin = fwd_to!([cx], admin() as (http::Call));
        http::bind(cx, settings.admin, 64 << 10, |_| Answer::text(503, ""), admin)?;
        let finished = fwd_to!([cx], finished() as (upstream::Done));
        let callers = upstream::spawn(cx, settings.upstream, settings.slots, finished)?;
        let signal = fwd_to!([cx], signal() as (i32));
        let signals = reactor::signals(cx, signal)?;
        call!([cx], announce());
        let incarnation = reactor::incarnation();
        log::info!(
            "event=started role=sidecar service={} incarnation={incarnation:x} internal={address}",
            settings.service
        );
        Ok(Self {
            settings,
            incarnation,
            links: Table::open(key),
            peers: HashMap::new(),
            listener,
            address,
            port,
            announced: 0,
            callers,
            running: HashMap::new(),
            next_call: 0,
            waiting: VecDeque::new(),
            closing: false,
            _signals: signals,
        })
    }

    fn announce(&mut self, cx: CX![]) {
        after!(ANNOUNCE_INTERVAL, [cx], announce());
        self.announced += 1;
        let address = self.address.to_string();
        let frame = Frame::Announce(Announce {
            name: &self.settings.process.name,
            incarnation: self.incarnation,
            sequence: self.announced,
            service: &self.settings.service,
            zone: &self.settings.process.zone,
            address: &address,
            slots: self.settings.slots,
            closing: self.closing,
            revision: 0,
        });
        for peer in &self.settings.entries {
            let _ = self.port.send(peer.address, &frame);
        }
    }

    fn datagrams(&mut self, _cx: CX![], _: Ready) {
        let mut buffer = Vec::new();
        while self.port.receive(&mut buffer).is_some() {
            let _ = self.port.decode(&buffer);
        }
    }

    fn accept(&mut self, cx: CX![], _: Ready) {
        let now_us = reactor::now_us(cx);
        while let Ok((stream, address)) = self.listener.accept() {
            if let Err(error) = self.links.accept(cx, stream, address, now_us, Self::ready) {
                log::warn!("event=accept_failed peer={address} error={error:?}");
            }
        }
    }

    fn ready(&mut self, cx: CX![], id: Id, ready: Ready) {
        if ready.is_writable() && !self.links.writable(id) {
            return self.close(id, &Closed::End);
        }
        let Some(mut input) = self.links.read(id, reactor::now_us(cx)) else { return };
        self.frames(id, &mut input);
        if let Some(closed) = self.links.put_back(id, input) {
            self.close(id, &closed);
        }
        self.flush();
    }

    fn frames(&mut self, id: Id, input: &mut Input) {
        while let Some(frame) = input.take_frame() {
            match frame {
                Frame::Hello(hello) => self.hello(id, &hello),
                Frame::Start(start) => self.start(id, &start),
                Frame::Probe(value) => {
                    self.links.send(id, &Frame::ProbeAck(value));
                }
                _ => log::debug!("event=frame_ignored"),
            }
        }
    }

    fn hello(&mut self, id: Id, hello: &Hello<'_>) {
        let peer = Peer { name: hello.name.to_owned(), incarnation: hello.incarnation };
        log::info!("event=entry_connected entry={} incarnation={:x}", peer.name, peer.incarnation);
        self.peers.insert(id, peer);
        let welcome = Frame::Welcome(Welcome {
            name: &self.settings.process.name,
            incarnation: self.incarnation,
            service: &self.settings.service,
            zone: &self.settings.process.zone,
            slots: self.settings.slots,
            closing: self.closing,
            load: Load::default(),
        });
        self.links.send(id, &welcome);
    }

    fn start(&mut self, id: Id, start: &Start<'_>) {
        let refused = if !self.peers.contains_key(&id) {
            Some(Code::BadRequest)
        } else if self.closing {
            Some(Code::Closing)
        } else if self.waiting.len() >= QUEUE {
            Some(Code::Busy)
        } else {
            None
        };
        if let Some(code) = refused {
            let (sequence, code) = (start.sequence, code.number());
            self.links.send(id, &Frame::Refuse(Refuse { sequence, code, load: Load::default() }));
            return;
        }
        let call = upstream::Call {
            number: 0,
            path: "/run".to_owned(),
            job: start.job.to_owned(),
            task: start.task,
            timeout: Duration::from_secs(30),
            payload: start.payload.to_vec(),
        };
        self.waiting.push_back(Waiting { link: id, sequence: start.sequence, call });
        self.fill();
    }

    fn fill(&mut self) {
        while self.running.len() < usize::from(self.settings.slots) {
            let Some(waiting) = self.waiting.pop_front() else { return };
            self.next_call += 1;
            let mut call = waiting.call;
            call.number = self.next_call;
            log::info!("event=task_started job={} task={}", call.job, call.task);
            self.running.insert(self.next_call, (waiting.link, waiting.sequence));
            self.callers.call(call);
        }
    }

    fn finished(&mut self, cx: CX![], done: upstream::Done) {
        let Some((id, sequence)) = self.running.remove(&done.number) else { return };
        self.links.send(
            id,
            &Frame::Finish(Finish {
                sequence,
                outcome: done.outcome,
                queue_us: 0,
                run_us: done.run_us,
                load: Load::default(),
                body: &done.body,
            }),
        );
        self.fill();
        self.flush();
        self.stop_if_idle(cx);
    }

    fn flush(&mut self) {
        for id in self.links.flush() {
            self.close(id, &Closed::End);
        }
    }

    fn close(&mut self, id: Id, closed: &Closed) {
        log::info!("event=link_closed reason={closed:?}");
        self.peers.remove(&id);
        self.links.close(id);
    }

    fn admin(&mut self, _cx: CX![], call: http::Call) {
        let answer = match call.path.as_str() {
            "/healthz" => Answer::text(200, "ok\n"),
            "/readyz" if self.closing => Answer::text(503, "closing\n"),
            "/readyz" => Answer::text(200, "ready\n"),
            _ => Answer::text(404, "not found\n"),
        };
        call.reply.send(answer);
    }

    fn signal(&mut self, cx: CX![], signal: i32) {
        log::info!("event=stopping signal={signal}");
        self.closing = true;
        let waiting = std::mem::take(&mut self.waiting);
        for Waiting { link, sequence, .. } in waiting {
            let code = Code::Closing.number();
            let refuse = Refuse { sequence, code, load: Load::default() };
            self.links.send(link, &Frame::Refuse(refuse));
        }
        let links: Vec<Id> = self.peers.keys().copied().collect();
        for id in links {
            self.links.send(id, &Frame::Closing);
        }
        self.flush();
        self.stop_if_idle(cx);
    }

    fn stop_if_idle(&mut self, cx: CX![]) {
        if self.closing && self.running.is_empty() {
            log::info!("event=stopped");
            stop!(cx);
        }
    }
}

/// Outcome of a task whose code says whether it ran.
pub(crate) fn outcome(code: Code) -> Outcome {
    use kingcup_dispatch::code::Fate;
    match code.fate() {
        Fate::Complete => Outcome::Done,
        Fate::Failed => Outcome::Failed(code.number()),
        Fate::NotRun | Fate::MayHaveRun => Outcome::Unknown(code.number()),
    }
}
