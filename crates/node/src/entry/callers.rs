//! Callers' HTTP: which request goes where.

use kingcup_dispatch::{
    code::{Code, Execution},
    id::Job,
};
use stakker::CX;

use super::{
    api::{self, Head, Identity, Refusal},
    forward::Ask,
    peers,
    records::Claim,
    services::Name,
    waiter::Waiter,
    Entry,
};
use crate::{
    http::{Answer, Call},
    reactor,
};

/// Shortest wait that a caller is told, in milliseconds.
const RETRY_MS: u32 = 500;

/// What is asked of the home of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verb {
    /// Run a job.
    Submit,
    /// Run a single request.
    Request,
    /// Show a job.
    Show,
    /// Cancel the jobs of a list.
    Cancel,
}

/// Where the record of a submission is.
enum Home {
    Here,
    Peer(peers::Key),
    Refused(Code),
}

impl Verb {
    const ALL: [Self; 4] = [Self::Submit, Self::Request, Self::Show, Self::Cancel];

    /// Name of the verb in messages.
    pub fn name(self) -> &'static str {
        match self {
            Self::Submit => "submit",
            Self::Request => "request",
            Self::Show => "show",
            Self::Cancel => "cancel",
        }
    }

    /// Finds a verb by name.
    pub fn find(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|verb| verb.name() == name)
    }
}

impl Entry {
    /// Handles a caller's request.
    pub(super) fn callers(&mut self, cx: CX![], call: Call) {
        let now_us = reactor::now_us(cx);
        match (call.method.as_str(), call.path.as_str()) {
            ("GET", "/v1/home") => self.home(call, now_us),
            ("POST", "/v1/jobs") => self.submit(call, Verb::Submit, now_us),
            ("POST", "/v1/requests") => self.submit(call, Verb::Request, now_us),
            ("POST", "/v1/cancel") => self.cancel(call, now_us),
            ("GET", path) if path.starts_with(JOBS) => self.ask_home(call, Verb::Show, now_us),
            ("DELETE", path) if path.starts_with(JOBS) => self.ask_home(call, Verb::Cancel, now_us),
            _ => {
                let refusal = Refusal::bad(format!("no such path: {} {}", call.method, call.path));
                self.refuse(Waiter::Caller(call.reply), "", &refusal);
            }
        }
        self.settle(now_us);
    }

    fn home(&mut self, call: Call, now_us: u64) {
        if self.stop.has_exported() {
            let refusal = Refusal::of(Code::Closing);
            return self.refuse(Waiter::Caller(call.reply), "", &refusal);
        }
        let home = self.ledger.issue_home(now_us);
        call.reply.send(Answer::json(200, format!("{{\"home\":\"{home}\"}}")));
    }

    fn submit(&mut self, call: Call, verb: Verb, now_us: u64) {
        let head = match api::head(&call) {
            Ok(head) => head,
            Err(refusal) => return self.refuse(Waiter::Caller(call.reply), "", &refusal),
        };
        let Head { identity, first } = head;
        let waiter = Waiter::Caller(call.reply);
        let single = verb == Verb::Request;
        let (name, home) = match identity {
            Identity::Plain => {
                self.plain += 1;
                (Name::Plain(self.plain), Home::Here)
            }
            Identity::Job(job) => {
                let home = self.home_of(&job, now_us);
                (Name::Job(job), home)
            }
            Identity::Key(key) => {
                let service = match api::submission(&call.body, single) {
                    Ok(submission) => submission.service,
                    Err(refusal) => return self.refuse(waiter, &key, &refusal),
                };
                let key = format!("{service}/{key}");
                let home = self.owner_of(&key);
                (Name::Key(key), home)
            }
        };
        match home {
            Home::Here => {
                let claim = Claim { first, peers: self.ledger.owners().digest() };
                self.submit_home(waiter, name, claim, &call.body, single, now_us);
            }
            Home::Peer(peer) => {
                let ask = Ask::submission(&name, verb, first, call.body);
                self.forward(peer, ask, waiter, now_us);
            }
            Home::Refused(code) => {
                let claim = Claim { first, peers: 0 };
                let code = claim.truthful(&name, code);
                let label = Ask::submission(&name, verb, first, Vec::new());
                self.refuse(waiter, &label.job, &Refusal::of(code));
            }
        }
    }

    /// Finds the home of a job: this incarnation, one whose records it has taken over, or a peer.
    fn home_of(&self, job: &Job, now_us: u64) -> Home {
        let (entry, incarnation) = (job.home.entry.as_str(), job.home.incarnation);
        let own = entry == self.settings.process.name && incarnation == self.incarnation;
        if own || self.ledger.adopted().any(|adopted| adopted == (entry, incarnation)) {
            return self.stop.successor().map_or(Home::Here, Home::Peer);
        }
        if let Some(peer) = self.record_owner(entry, incarnation) {
            return Home::Peer(peer);
        }
        // An entry that started just now may not have heard of the home yet.
        if self.members.is_settled(now_us) {
            Home::Refused(Code::HomeLost)
        } else {
            Home::Refused(Code::HomeUnreachable)
        }
    }

    /// Finds the entry that holds the record of an idempotency key.
    fn owner_of(&self, key: &str) -> Home {
        let owner = self.ledger.owners().owner(key).unwrap_or_default();
        if owner == self.settings.process.name {
            return self.stop.successor().map_or(Home::Here, Home::Peer);
        }
        let peer = self.peers.find(owner);
        let up =
            peer.and_then(|peer| self.peers.get(peer)).is_some_and(|row| row.contact.is_open());
        if !up && self.ledger.adopted().any(|(entry, _)| entry == owner) {
            return Home::Here;
        }
        let successor = self.successor_of(owner).filter(|_| !up);
        successor.or(peer).map_or(Home::Refused(Code::HomeUnreachable), Home::Peer)
    }

    /// Shows or cancels the job that the path names, here or at its home.
    fn ask_home(&mut self, call: Call, verb: Verb, now_us: u64) {
        let job = path_job(&call);
        let waiter = Waiter::Caller(call.reply);
        let job = match job {
            Ok(job) => job,
            Err(refusal) => return self.refuse(waiter, "", &refusal),
        };
        match self.home_of(&job, now_us) {
            Home::Here if verb == Verb::Cancel => self.cancel_one(waiter, &job, now_us),
            Home::Here => self.show_home(waiter, &job, now_us),
            Home::Peer(peer) => {
                let ask = ask(verb, job.to_string(), Vec::new());
                self.forward(peer, ask, waiter, now_us);
            }
            Home::Refused(code) => self.refuse(waiter, &job.to_string(), &Refusal::of(code)),
        }
    }

    /// Cancels a list of jobs: those of this entry at once, the others by one call to each home.
    fn cancel(&mut self, call: Call, now_us: u64) {
        let waiter = Waiter::Caller(call.reply);
        let list = match api::cancellation(&call.body) {
            Ok(list) => list,
            Err(refusal) => return self.refuse(waiter, "", &refusal),
        };
        let wave = self.waves.open(waiter, &list.jobs);
        let mut here = Vec::new();
        let mut away: Vec<(peers::Key, Vec<String>)> = Vec::new();
        for text in list.jobs {
            let home = text.parse().map(|job| self.home_of(&job, now_us));
            match home {
                Ok(Home::Here) | Err(_) => here.push(text),
                Ok(Home::Refused(code)) => self.waves.note(wave, &text, code.number()),
                Ok(Home::Peer(peer)) => match away.iter_mut().find(|(other, _)| *other == peer) {
                    Some((_, jobs)) => jobs.push(text),
                    None => away.push((peer, vec![text])),
                },
            }
        }
        for state in self.cancel_list(here, now_us) {
            self.waves.note(wave, &state.job, state.code);
        }
        self.waves.expect(wave, away.len());
        for (peer, jobs) in away {
            let body = crate::http::encode(&api::CancelBody { jobs });
            let ask = ask(Verb::Cancel, String::new(), body);
            self.forward(peer, ask, Waiter::Wave(wave), now_us);
        }
        self.wave_done(wave);
    }

    /// Refuses a request with its code, and with a wait before another try if one makes sense.
    pub(super) fn refuse(&mut self, waiter: Waiter, job: &str, refusal: &Refusal) {
        let retry_ms = if is_temporary(refusal.code) { self.retry_ms() } else { 0 };
        self.metrics.refused(refusal.code);
        self.answer(waiter, api::refusal(job, refusal, retry_ms));
    }

    /// A jittered wait before another try, in milliseconds.
    pub(super) fn retry_ms(&mut self) -> u32 {
        RETRY_MS + self.rng.u32(0..RETRY_MS)
    }
}

/// Prefix of the paths of jobs.
const JOBS: &str = "/v1/jobs/";

/// True if the same request may succeed later.
fn is_temporary(code: Code) -> bool {
    code.execution() == Execution::NotRun && matches!(code.status(), 429 | 503)
}

fn ask(verb: Verb, job: String, body: Vec<u8>) -> Ask {
    Ask { verb, job, key: String::new(), first: false, body }
}

fn path_job(call: &Call) -> Result<Job, Refusal> {
    api::job_id(call.path.strip_prefix(JOBS).unwrap_or_default())
}
