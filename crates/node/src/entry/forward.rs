//! Forwarding of requests to other entries, and delivery of their answers.

use std::collections::BTreeMap;

use kingcup_dispatch::{code::Code, id::Job};
use kingcup_wire::{Forward, Forwarded, Frame};

use super::{
    api::{self, Refusal},
    callers::Verb,
    peers::Key,
    records::Claim,
    services::Name,
    waiter::Waiter,
    Entry,
};
use crate::{http::Answer, link::Id};

/// Maximum number of unanswered calls.
const MAX_CALLS: usize = 65_536;
/// Maximum time that a call waits for a connection, in microseconds.
const SEND_TIMEOUT_US: u64 = 1_500_000;

/// A request to another entry.
#[derive(Debug, Clone)]
pub struct Request {
    /// Requested operation.
    pub verb: Verb,
    /// Job ID; empty if there is none.
    pub job: String,
    /// Idempotency key, prefixed with the service's name; empty if there is none.
    pub key: String,
    /// True if the caller marked this as its first attempt.
    pub first: bool,
    /// Body of the request.
    pub body: Vec<u8>,
}

impl Request {
    /// Builds the request that forwards a submission.
    pub fn submission(name: &Name, verb: Verb, first: bool, body: Vec<u8>) -> Self {
        let (job, key) = match name {
            Name::Job(job) => (job.to_string(), String::new()),
            Name::Key(key) => (String::new(), key.clone()),
            Name::Plain(_) => (String::new(), String::new()),
        };
        Self { verb, job, key, first, body }
    }

    /// Returns the code with which to refuse a request that was not sent.
    ///
    /// As in `Claim::refusal_code`, a submission that is not marked as a first attempt gets a code
    /// that says "may have run". Showing or cancelling runs nothing, so its code is unchanged.
    pub fn refusal_code(&self, code: Code) -> Code {
        let submits = matches!(self.verb, Verb::Submit | Verb::Request);
        match (self.first, submits, self.key.is_empty()) {
            (false, true, true) => Code::HomeLost,
            (false, true, false) => Code::RecordExpired,
            _ => code,
        }
    }
}

/// A forwarded request that has not been answered.
struct Call {
    peer: Key,
    /// Connection on which it was sent; `None` while it waits for one.
    sent: Option<Id>,
    waiter: Waiter,
    request: Request,
    /// Time at which it was added, in microseconds.
    added_us: u64,
}

/// Unanswered calls, by number.
#[derive(Default)]
pub struct Table {
    rows: BTreeMap<u64, Call>,
    next: u64,
}

impl Table {
    /// Returns the number of unanswered calls.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns true if there is no unanswered call.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns true if there is an unanswered call to the peer, sent or not.
    pub fn has_calls(&self, peer: Key) -> bool {
        self.rows.values().any(|row| row.peer == peer)
    }

    /// Returns true if an unanswered call was sent to the peer.
    pub fn has_sent_calls(&self, peer: Key) -> bool {
        self.rows.values().any(|row| row.peer == peer && row.sent.is_some())
    }

    /// Removes and returns the calls that match.
    fn remove(&mut self, test: impl Fn(&Call) -> bool) -> Vec<Call> {
        let numbers: Vec<u64> =
            self.rows.iter().filter(|(_, row)| test(row)).map(|(number, _)| *number).collect();
        numbers.iter().filter_map(|number| self.rows.remove(number)).collect()
    }
}

impl Entry {
    /// Forwards a request to a peer, now or once it is connected.
    pub(super) fn forward(&mut self, peer: Key, request: Request, waiter: Waiter, now_us: u64) {
        if self.forwards.rows.len() >= MAX_CALLS {
            let code = request.refusal_code(Code::HomeUnreachable);
            return self.refuse(waiter, &request.job, &Refusal::new(code));
        }
        self.forwards.next += 1;
        let call = self.forwards.next;
        let pending = Call { peer, sent: None, waiter, request, added_us: now_us };
        self.forwards.rows.insert(call, pending);
        let open = self.peers.get(peer).is_some_and(|row| row.contact.is_open());
        if open {
            self.send_forward(call, now_us);
        } else if let Some(row) = self.peers.get_mut(peer) {
            row.contact.dial_now(now_us);
        }
    }

    fn send_forward(&mut self, call: u64, now_us: u64) {
        let peers = self.ledger.owners().digest();
        let Some(pending) = self.forwards.rows.get_mut(&call) else { return };
        let Some(row) = self.peers.get_mut(pending.peer) else { return };
        let Some(id) = row.contact.link else { return };
        let request = &pending.request;
        let frame = Forward {
            call,
            job: &request.job,
            key: &request.key,
            first: request.first,
            peers,
            verb: request.verb.name(),
            body: &request.body,
        };
        let frame = Frame::Forward(frame);
        if self.links.send(id, &frame) {
            self.metrics.sent(&frame);
            pending.sent = Some(id);
            pending.request.body = Vec::new();
            row.contact.note_sent(now_us);
        }
    }

    /// Sends the calls that have waited for a connection to the peer.
    pub(super) fn send_forwards(&mut self, peer: Key, now_us: u64) {
        let unsent = |row: &Call| row.peer == peer && row.sent.is_none();
        let calls: Vec<u64> = self
            .forwards
            .rows
            .iter()
            .filter(|(_, row)| unsent(row))
            .map(|(call, _)| *call)
            .collect();
        for call in calls {
            self.send_forward(call, now_us);
        }
    }

    /// Refuses the calls that were sent on a broken connection to the peer: they may have run.
    pub(super) fn fail_sent_forwards(&mut self, peer: Key) {
        for row in self.forwards.remove(|row| row.peer == peer && row.sent.is_some()) {
            self.refuse(row.waiter, &row.request.job, &Refusal::new(Code::HomeSilent));
        }
    }

    /// Refuses calls that could not be sent in time. These attempts did not run anything; an
    /// earlier attempt may have.
    pub(super) fn tick_forwards(&mut self, now_us: u64) {
        let late = |row: &Call| {
            row.sent.is_none() && now_us.saturating_sub(row.added_us) > SEND_TIMEOUT_US
        };
        for row in self.forwards.remove(late) {
            let code = row.request.refusal_code(Code::HomeUnreachable);
            self.refuse(row.waiter, &row.request.job, &Refusal::new(code));
        }
    }

    /// Delivers the answer of a peer. An answer that matches no call on this connection is dropped.
    pub(super) fn forward_answered(&mut self, peer: Key, id: Id, forwarded: &Forwarded<'_>) {
        let matches = |row: &Call| row.peer == peer && row.sent == Some(id);
        if !self.forwards.rows.get(&forwarded.call).is_some_and(matches) {
            return log::warn!("event=answer_unmatched call={}", forwarded.call);
        }
        let Some(row) = self.forwards.rows.remove(&forwarded.call) else { return };
        let answer = Answer::json(forwarded.status, forwarded.body);
        self.answer(row.waiter, Answer { retry_ms: forwarded.retry_ms, ..answer });
    }

    /// Handles a request that a peer has forwarded. It is answered here; only an entry that has
    /// handed over its records forwards it once more, to its successor.
    pub(super) fn forward_received(&mut self, id: Id, forward: &Forward<'_>, now_us: u64) {
        let waiter = Waiter::Peer { link: id, call: forward.call };
        let Some(verb) = Verb::find(forward.verb) else {
            return self.refuse(waiter, forward.job, &Refusal::invalid("unknown verb"));
        };
        if let Some(successor) = self.stop.successor() {
            let request = Request {
                verb,
                job: forward.job.to_owned(),
                key: forward.key.to_owned(),
                first: forward.first,
                body: forward.body.to_vec(),
            };
            return self.forward(successor, request, waiter, now_us);
        }
        match (verb, parse_name(forward)) {
            (Verb::Submit | Verb::Request, Ok(name)) => {
                let claim = Claim { first: forward.first, peers: forward.peers };
                let single = verb == Verb::Request;
                self.submit_home(waiter, name, claim, forward.body, single, now_us);
            }
            (Verb::Show, Ok(Name::Job(job))) => self.show_home(waiter, &job, now_us),
            (Verb::Cancel, Ok(Name::Job(job))) => self.cancel_one(waiter, &job, now_us),
            (Verb::Cancel, _) => self.cancel_home(waiter, forward.body, now_us),
            (_, Err(refusal)) => self.refuse(waiter, forward.job, &refusal),
            (Verb::Show, Ok(_)) => self.refuse(waiter, forward.job, &Refusal::invalid("job ID")),
        }
    }
}

/// Parses the job ID or the idempotency key of a forwarded request.
fn parse_name(forward: &Forward<'_>) -> Result<Name, Refusal> {
    match (forward.job, forward.key) {
        ("", key) if !key.is_empty() => Ok(Name::Key(key.to_owned())),
        (job, "") if !job.is_empty() => {
            let job: Job = api::job_id(job)?;
            Ok(Name::Job(job))
        }
        _ => Err(Refusal::invalid("job ID or key")),
    }
}
