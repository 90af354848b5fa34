//! Handling of callers' HTTP requests: each is answered here or forwarded to the entry that keeps
//! its record.

use kingcup_dispatch::{
    code::{Code, Execution},
    id::Job,
};
use stakker::CX;

use super::{
    api::{self, Headers, Identity, Refusal},
    forward::Request,
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

/// Minimum wait before a retry, in milliseconds. A random time of up to the same length is added.
const MIN_RETRY_MS: u32 = 500;

/// Operation that is requested from the home of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verb {
    /// Run a job.
    Submit,
    /// Run a single request.
    Request,
    /// Show a job.
    Show,
    /// Cancel one job or the jobs of a list.
    Cancel,
}

/// Location of a submission's record.
enum Home {
    /// This entry.
    Local,
    /// Another entry.
    Peer(peers::Key),
    /// Unknown or not reachable; the request is refused with this code.
    Refused(Code),
}

impl Verb {
    const ALL: [Self; 4] = [Self::Submit, Self::Request, Self::Show, Self::Cancel];

    /// Returns the name of the verb in messages.
    pub fn name(self) -> &'static str {
        match self {
            Self::Submit => "submit",
            Self::Request => "request",
            Self::Show => "show",
            Self::Cancel => "cancel",
        }
    }

    /// Returns the verb with this name, if there is one.
    pub fn find(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|verb| verb.name() == name)
    }
}

impl Entry {
    /// Handles a caller's request.
    pub(super) fn caller_request(&mut self, cx: CX![], call: Call) {
        let now_us = reactor::now_us(cx);
        match (call.method.as_str(), call.path.as_str()) {
            ("GET", "/v1/home") => self.issue_home(call, now_us),
            ("POST", "/v1/jobs") => self.submit(call, Verb::Submit, now_us),
            ("POST", "/v1/requests") => self.submit(call, Verb::Request, now_us),
            ("POST", "/v1/cancel") => self.cancel(call, now_us),
            ("GET", path) if path.starts_with(JOBS) => self.control(call, Verb::Show, now_us),
            ("DELETE", path) if path.starts_with(JOBS) => self.control(call, Verb::Cancel, now_us),
            _ => {
                let refusal =
                    Refusal::invalid(format!("no such path: {} {}", call.method, call.path));
                self.refuse(Waiter::Caller(call.reply), "", &refusal);
            }
        }
        self.apply_and_flush(now_us);
    }

    /// Issues a home token.
    fn issue_home(&mut self, call: Call, now_us: u64) {
        if self.stop.has_exported() {
            let refusal = Refusal::new(Code::Closing);
            return self.refuse(Waiter::Caller(call.reply), "", &refusal);
        }
        let home = self.ledger.issue_home(now_us);
        call.reply.send(Answer::json(200, format!("{{\"home\":\"{home}\"}}")));
    }

    /// Starts a submission here, or forwards it to the entry that keeps its record.
    fn submit(&mut self, call: Call, verb: Verb, now_us: u64) {
        let headers = match api::headers(&call) {
            Ok(headers) => headers,
            Err(refusal) => return self.refuse(Waiter::Caller(call.reply), "", &refusal),
        };
        let Headers { identity, first } = headers;
        let waiter = Waiter::Caller(call.reply);
        let single = verb == Verb::Request;
        let (name, home) = match identity {
            Identity::Plain => {
                self.plain_submissions += 1;
                (Name::Plain(self.plain_submissions), Home::Local)
            }
            Identity::Job(job) => {
                let home = self.locate_job(&job, now_us);
                (Name::Job(job), home)
            }
            Identity::Key(key) => {
                let service = match api::submission(&call.body, single) {
                    Ok(submission) => submission.service,
                    Err(refusal) => return self.refuse(waiter, &key, &refusal),
                };
                let key = format!("{service}/{key}");
                let home = self.locate_key(&key);
                (Name::Key(key), home)
            }
        };
        match home {
            Home::Local => {
                let claim = Claim { first, peers: self.ledger.owners().digest() };
                self.submit_home(waiter, name, claim, &call.body, single, now_us);
            }
            Home::Peer(peer) => {
                let request = Request::submission(&name, verb, first, call.body);
                self.forward(peer, request, waiter, now_us);
            }
            Home::Refused(code) => {
                let claim = Claim { first, peers: 0 };
                let code = claim.refusal_code(&name, code);
                let request = Request::submission(&name, verb, first, Vec::new());
                self.refuse(waiter, &request.job, &Refusal::new(code));
            }
        }
    }

    /// Finds the entry that keeps the record of a job: the one that issued the job's ID, or the one
    /// that has taken over the records of that incarnation.
    fn locate_job(&self, job: &Job, now_us: u64) -> Home {
        let (entry, incarnation) = (job.home.entry.as_str(), job.home.incarnation);
        let issued_here = entry == self.settings.process.name && incarnation == self.incarnation;
        if issued_here || self.ledger.adopted().any(|adopted| adopted == (entry, incarnation)) {
            return self.stop.successor().map_or(Home::Local, Home::Peer);
        }
        if let Some(peer) = self.record_owner(entry, incarnation) {
            return Home::Peer(peer);
        }
        // A recently started entry may not have received the home's digest yet.
        if self.members.is_settled(now_us) {
            Home::Refused(Code::HomeLost)
        } else {
            Home::Refused(Code::HomeUnreachable)
        }
    }

    /// Finds the entry that keeps the record of an idempotency key: its owner, or the entry that
    /// has taken over the records of an owner that cannot be reached.
    fn locate_key(&self, key: &str) -> Home {
        let owner = self.ledger.owners().owner(key).unwrap_or_default();
        if owner == self.settings.process.name {
            return self.stop.successor().map_or(Home::Local, Home::Peer);
        }
        let peer = self.peers.find(owner);
        let connected =
            peer.and_then(|peer| self.peers.get(peer)).is_some_and(|row| row.contact.is_open());
        if !connected && self.ledger.adopted().any(|(entry, _)| entry == owner) {
            return Home::Local;
        }
        let successor = self.successor_of(owner).filter(|_| !connected);
        successor.or(peer).map_or(Home::Refused(Code::HomeUnreachable), Home::Peer)
    }

    /// Shows or cancels the job whose ID is in the path, here or at its home.
    fn control(&mut self, call: Call, verb: Verb, now_us: u64) {
        let job = path_job(&call);
        let waiter = Waiter::Caller(call.reply);
        let job = match job {
            Ok(job) => job,
            Err(refusal) => return self.refuse(waiter, "", &refusal),
        };
        match self.locate_job(&job, now_us) {
            Home::Local if verb == Verb::Cancel => self.cancel_one(waiter, &job, now_us),
            Home::Local => self.show_home(waiter, &job, now_us),
            Home::Peer(peer) => {
                let request = control_request(verb, job.to_string(), Vec::new());
                self.forward(peer, request, waiter, now_us);
            }
            Home::Refused(code) => self.refuse(waiter, &job.to_string(), &Refusal::new(code)),
        }
    }

    /// Cancels a list of jobs: those of this entry directly, the others with one forwarded request
    /// to each home.
    fn cancel(&mut self, call: Call, now_us: u64) {
        let waiter = Waiter::Caller(call.reply);
        let list = match api::cancellation(&call.body) {
            Ok(list) => list,
            Err(refusal) => return self.refuse(waiter, "", &refusal),
        };
        let id = self.cancellations.open(waiter, &list.jobs);
        let mut local = Vec::new();
        let mut remote: Vec<(peers::Key, Vec<String>)> = Vec::new();
        for text in list.jobs {
            let home = text.parse().map(|job| self.locate_job(&job, now_us));
            match home {
                Ok(Home::Local) | Err(_) => local.push(text),
                Ok(Home::Refused(code)) => self.cancellations.record(id, &text, code.number()),
                Ok(Home::Peer(peer)) => match remote.iter_mut().find(|(other, _)| *other == peer) {
                    Some((_, jobs)) => jobs.push(text),
                    None => remote.push((peer, vec![text])),
                },
            }
        }
        for state in self.cancel_list(local, now_us) {
            self.cancellations.record(id, &state.job, state.code);
        }
        self.cancellations.set_expected(id, remote.len());
        for (peer, jobs) in remote {
            let body = crate::http::encode(&api::CancelBody { jobs });
            let request = control_request(Verb::Cancel, String::new(), body);
            self.forward(peer, request, Waiter::Cancellation(id), now_us);
        }
        self.finish_cancellation(id);
    }

    /// Answers a request with a refusal, including a wait if a retry may succeed.
    pub(super) fn refuse(&mut self, waiter: Waiter, job: &str, refusal: &Refusal) {
        let retry_ms = if is_temporary(refusal.code) { self.retry_ms() } else { 0 };
        self.metrics.refused(refusal.code);
        self.answer(waiter, api::refusal(job, refusal, retry_ms));
    }

    /// Returns a randomised wait before a retry, in milliseconds.
    pub(super) fn retry_ms(&mut self) -> u32 {
        MIN_RETRY_MS + self.rng.u32(0..MIN_RETRY_MS)
    }
}

/// Prefix of the paths of single jobs.
const JOBS: &str = "/v1/jobs/";

/// Returns true if the same request may succeed later.
fn is_temporary(code: Code) -> bool {
    code.execution() == Execution::NotRun && matches!(code.status(), 429 | 503)
}

/// Builds a request to show or cancel jobs.
fn control_request(verb: Verb, job: String, body: Vec<u8>) -> Request {
    Request { verb, job, key: String::new(), first: false, body }
}

/// Parses the job ID in a request's path.
fn path_job(call: &Call) -> Result<Job, Refusal> {
    api::job_id(call.path.strip_prefix(JOBS).unwrap_or_default())
}
