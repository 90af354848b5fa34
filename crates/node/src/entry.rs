//! The entry: callers' HTTP, admission, job coordination and routing.

pub mod api;

use std::{collections::HashMap, io, net::SocketAddr, time::Duration};

use kingcup_dispatch::code::Code;
use kingcup_wire::{
    Announce, AnnounceAck, Entry as EntryInfo, Finish, Frame, Hello, Key, Outcome, Refuse, Role,
    Start, Welcome,
};
use stakker::{actor, after, call, fwd_to, ret_shutdown, stop, sync::ChannelGuard, Stakker, CX};
use stakker_mio::Ready;

use crate::{
    datagram::Port,
    http::{self, Answer, Reply},
    link::{Closed, Id, Input, Table},
    reactor,
    settings::entry::Settings,
};

/// Interval of the entry's housekeeping.
const TICK: Duration = Duration::from_millis(200);
/// Announcements are wanted this often, in milliseconds.
const ANNOUNCE_INTERVAL_MS: u32 = 1_000;

/// A sidecar as this entry sees it.
#[derive(Debug)]
struct Sidecar {
    incarnation: u64,
    service: String,
    address: SocketAddr,
    link: Option<Id>,
    ready: bool,
    closing: bool,
    generation: u32,
    sequence: u64,
    starts: HashMap<u64, (u64, u16)>,
}

/// A job in progress.
struct Job {
    id: String,
    answers: Vec<Option<Vec<u8>>>,
    reply: Reply,
}

/// A running entry.
pub struct Entry {
    settings: Settings,
    incarnation: u64,
    links: Table,
    port: Port,
    address: SocketAddr,
    sidecars: HashMap<String, Sidecar>,
    by_link: HashMap<Id, String>,
    jobs: HashMap<u64, Job>,
    next_job: u64,
    clients: u64,
    closing: bool,
    _signals: ChannelGuard,
}

/// Starts the entry's actor in the loop.
pub fn spawn(stakker: &mut Stakker, settings: Settings) -> stakker::ActorOwn<Entry> {
    actor!(stakker, Entry::init(settings), ret_shutdown!(stakker))
}

impl Entry {
    fn init(cx: CX![], settings: Settings) -> Option<Self> {
        match Self::open(cx, settings) {
            Ok(entry) => Some(entry),
            Err(error) => {
                log::error!("event=start_failed error={error:?}");
                stakker::fail!(cx, "{}", error);
                None
            }
        }
    }

    fn open(cx: CX![], settings: Settings) -> io::Result<Self> {
        let key = Key::derive(&settings.process.secret);
        let datagrams = fwd_to!([cx], datagrams() as (Ready));
        let port = Port::bind(cx, settings.internal, key.clone(), datagrams)?;
        let callers = fwd_to!([cx], callers() as (http::Call));
        let limit = settings.body_bytes as usize;
        let refusal = |fault| api::refusal(api::code_of(fault), 0);
        http::bind(cx, settings.callers, limit, refusal, callers)?;
        let admin = fwd_to!([cx], admin() as (http::Call));
        http::bind(cx, settings.admin, 64 << 10, refusal, admin)?;
        let signal = fwd_to!([cx], signal() as (i32));
        let signals = reactor::signals(cx, signal)?;
        after!(TICK, [cx], tick());
        let incarnation = reactor::incarnation();
        let address = settings.internal;
        log::info!("event=started role=entry incarnation={incarnation:x} internal={address}");
        Ok(Self {
            settings,
            incarnation,
            links: Table::open(key),
            port,
            address,
            sidecars: HashMap::new(),
            by_link: HashMap::new(),
            jobs: HashMap::new(),
            next_job: 0,
            clients: 0,
            closing: false,
            _signals: signals,
        })
    }

    fn tick(&mut self, cx: CX![]) {
        after!(TICK, [cx], tick());
        let names: Vec<String> = self
            .sidecars
            .iter()
            .filter(|(_, sidecar)| sidecar.link.is_none() && !sidecar.closing)
            .map(|(name, _)| name.clone())
            .collect();
        for name in names {
            self.dial(cx, &name);
        }
        self.flush(cx);
    }

    fn datagrams(&mut self, cx: CX![], _: Ready) {
        let mut buffer = Vec::new();
        while let Some(from) = self.port.receive(&mut buffer) {
            if let Some(Frame::Announce(announce)) = self.port.decode(&buffer) {
                self.announced(cx, &announce, from);
            }
        }
        self.flush(cx);
    }

    fn announced(&mut self, cx: CX![], announce: &Announce<'_>, from: SocketAddr) {
        let address = self.address.to_string();
        let name = self.settings.process.name.clone();
        let ack = Frame::AnnounceAck(AnnounceAck {
            from: EntryInfo { name: &name, incarnation: self.incarnation, address: &address },
            sequence: announce.sequence,
            revision: 0,
            interval_ms: ANNOUNCE_INTERVAL_MS,
            entries: Vec::new(),
        });
        let _ = self.port.send(from, &ack);
        let Ok(address) = announce.address.parse() else { return };
        let known = self.sidecars.get(announce.name);
        if known.is_some_and(|known| known.incarnation == announce.incarnation) {
            return;
        }
        if known.is_some() {
            self.lost(announce.name);
        }
        let sidecar = Sidecar {
            incarnation: announce.incarnation,
            service: announce.service.to_owned(),
            address,
            link: None,
            ready: false,
            closing: announce.closing,
            generation: 0,
            sequence: 0,
            starts: HashMap::new(),
        };
        log::info!("event=sidecar_joined sidecar={} address={address}", announce.name);
        self.sidecars.insert(announce.name.to_owned(), sidecar);
        self.dial(cx, announce.name);
    }

    fn dial(&mut self, cx: CX![], name: &str) {
        let now_us = reactor::now_us(cx);
        let Some(sidecar) = self.sidecars.get_mut(name) else { return };
        sidecar.generation += 1;
        let (address, generation) = (sidecar.address, sidecar.generation);
        let Ok(id) = self.links.dial(cx, address, now_us, Self::ready) else { return };
        sidecar.link = Some(id);
        self.by_link.insert(id, name.to_owned());
        let hello = Hello {
            role: Role::Entry,
            name: &self.settings.process.name,
            incarnation: self.incarnation,
            generation,
            settled: 0,
        };
        self.links.send(id, &Frame::Hello(hello));
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
        self.flush(cx);
    }

    fn frames(&mut self, id: Id, input: &mut Input) {
        while let Some(frame) = input.take_frame() {
            match frame {
                Frame::Welcome(welcome) => self.welcomed(id, &welcome),
                Frame::Finish(finish) => self.finished(id, &finish),
                Frame::Refuse(refuse) => self.refused(id, &refuse),
                Frame::Closing => self.sidecar_closing(id),
                _ => log::debug!("event=frame_ignored"),
            }
        }
    }

    fn welcomed(&mut self, id: Id, welcome: &Welcome<'_>) {
        let Some(sidecar) = self.sidecar(id) else { return };
        if sidecar.incarnation == welcome.incarnation {
            sidecar.ready = true;
            sidecar.closing |= welcome.closing;
        }
    }

    fn sidecar(&mut self, id: Id) -> Option<&mut Sidecar> {
        self.sidecars.get_mut(self.by_link.get(&id)?)
    }

    fn sidecar_closing(&mut self, id: Id) {
        if let Some(sidecar) = self.sidecar(id) {
            sidecar.closing = true;
        }
    }

    fn finished(&mut self, id: Id, finish: &Finish<'_>) {
        let Some(sidecar) = self.sidecar(id) else { return };
        let Some((job, task)) = sidecar.starts.remove(&finish.sequence) else { return };
        match finish.outcome {
            Outcome::Done => self.task_done(job, task, finish.body),
            Outcome::Failed(code) | Outcome::Unknown(code) => {
                self.fail(job, Code::from_number(code).unwrap_or(Code::UpstreamLost));
            }
        }
    }

    fn refused(&mut self, id: Id, refuse: &Refuse<'_>) {
        let Some(sidecar) = self.sidecar(id) else { return };
        let Some((job, _)) = sidecar.starts.remove(&refuse.sequence) else { return };
        let single = self.jobs.get(&job).is_some_and(|job| job.answers.len() == 1);
        let code = Code::from_number(refuse.code).filter(|_| single);
        self.fail(job, code.unwrap_or(Code::SiblingFailed));
    }

    fn task_done(&mut self, number: u64, task: u16, body: &[u8]) {
        let Some(job) = self.jobs.get_mut(&number) else { return };
        job.answers[usize::from(task)] = Some(body.to_vec());
        if job.answers.iter().all(Option::is_some) {
            if let Some(job) = self.jobs.remove(&number) {
                let answers: Vec<Vec<u8>> = job.answers.into_iter().flatten().collect();
                job.reply.send(api::complete(&job.id, &answers));
            }
        }
    }

    fn fail(&mut self, number: u64, code: Code) {
        if let Some(job) = self.jobs.remove(&number) {
            job.reply.send(api::refusal(code, 0));
        }
    }

    fn callers(&mut self, cx: CX![], call: http::Call) {
        match (call.method.as_str(), call.path.as_str()) {
            ("GET", "/v1/home") => self.home(call),
            ("POST", "/v1/jobs" | "/v1/requests") => self.submit(cx, call),
            _ => call.reply.send(api::refusal(Code::BadRequest, 0)),
        }
        self.flush(cx);
    }

    fn home(&mut self, call: http::Call) {
        self.clients += 1;
        let home = kingcup_dispatch::id::Home {
            entry: self.settings.process.name.clone(),
            incarnation: self.incarnation,
            client: self.clients,
        };
        call.reply.send(Answer::json(200, format!("{{\"home\":\"{home}\"}}")));
    }

    fn submit(&mut self, _cx: CX![], call: http::Call) {
        let submission = match api::parse(&call) {
            Ok(submission) => submission,
            Err(code) => return call.reply.send(api::refusal(code, 0)),
        };
        if self.closing {
            return call.reply.send(api::refusal(Code::Closing, 0));
        }
        if self.pick(&submission.service).is_none() {
            return call.reply.send(api::refusal(Code::NoUpstream, 0));
        }
        self.next_job += 1;
        let number = self.next_job;
        let id = format!("{}-{:x}-0-{number:x}", self.settings.process.name, self.incarnation);
        let answers = vec![None; submission.tasks.len()];
        self.jobs.insert(number, Job { id: id.clone(), answers, reply: call.reply });
        for (task, input) in submission.tasks.iter().enumerate() {
            self.place(number, &id, task as u16, &submission.service, input);
        }
    }

    fn pick(&self, service: &str) -> Option<String> {
        let fit = |sidecar: &&Sidecar| {
            sidecar.service == service
                && sidecar.ready
                && !sidecar.closing
                && sidecar.link.is_some()
        };
        self.sidecars
            .iter()
            .filter(|(_, sidecar)| fit(sidecar))
            .min_by_key(|(_, sidecar)| sidecar.starts.len())
            .map(|(name, _)| name.clone())
    }

    fn place(&mut self, number: u64, job: &str, task: u16, service: &str, input: &api::Task) {
        let Some(name) = self.pick(service) else { return self.fail(number, Code::NoUpstream) };
        let Some(sidecar) = self.sidecars.get_mut(&name) else { return };
        sidecar.sequence += 1;
        sidecar.starts.insert(sidecar.sequence, (number, task));
        let waiting = sidecar.starts.len();
        log::info!(
            "event=routed job={job} task={task} kind={} upstream={name} outstanding={waiting}",
            input.kind
        );
        let start = Start {
            sequence: sidecar.sequence,
            settled: 0,
            job,
            task,
            kind: &input.kind,
            headroom: 0,
            more: false,
            wait_ms: 0,
            payload: &input.payload,
        };
        if let Some(id) = sidecar.link {
            self.links.send(id, &Frame::Start(start));
        }
    }

    fn flush(&mut self, _cx: CX![]) {
        for id in self.links.flush() {
            self.close(id, &Closed::End);
        }
    }

    fn close(&mut self, id: Id, closed: &Closed) {
        self.links.close(id);
        let Some(name) = self.by_link.remove(&id) else { return };
        log::info!("event=link_closed sidecar={name} reason={closed:?}");
        self.lost(&name);
    }

    fn lost(&mut self, name: &str) {
        let Some(sidecar) = self.sidecars.get_mut(name) else { return };
        sidecar.ready = false;
        if let Some(id) = sidecar.link.take() {
            self.by_link.remove(&id);
            self.links.close(id);
        }
        let starts = std::mem::take(&mut sidecar.starts);
        for (job, _) in starts.into_values() {
            self.fail(job, Code::UpstreamLost);
        }
    }

    fn admin(&mut self, _cx: CX![], call: http::Call) {
        let answer = match call.path.as_str() {
            "/healthz" => Answer::text(200, "ok\n"),
            "/readyz" if self.closing => Answer::text(503, "closing\n"),
            "/readyz" if !self.sidecars.values().any(|sidecar| sidecar.ready) => {
                Answer::text(503, "no upstream\n")
            }
            "/readyz" => Answer::text(200, "ready\n"),
            _ => Answer::text(404, "not found\n"),
        };
        call.reply.send(answer);
    }

    fn signal(&mut self, cx: CX![], signal: i32) {
        if std::mem::replace(&mut self.closing, true) {
            return;
        }
        log::info!("event=stopping signal={signal}");
        call!([cx], stop_if_idle());
    }

    fn stop_if_idle(&mut self, cx: CX![]) {
        if self.jobs.is_empty() {
            log::info!("event=stopped");
            return stop!(cx);
        }
        after!(TICK, [cx], stop_if_idle());
    }
}
