//! Requests that are passed on to another entry, and their answers.

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

/// Calls without answer.
const CALLS: usize = 65_536;
/// Longest time that a call waits to be sent, in microseconds.
const UNSENT_US: u64 = 1_500_000;

/// What is asked of another entry.
#[derive(Debug, Clone)]
pub struct Ask {
    /// What is to be done.
    pub verb: Verb,
    /// Job ID, or empty.
    pub job: String,
    /// Idempotency key after the service's name, or empty.
    pub key: String,
    /// The caller marked this as its first attempt.
    pub first: bool,
    /// The request's body.
    pub body: Vec<u8>,
}

impl Ask {
    /// What is passed on for a submission.
    pub fn submission(name: &Name, verb: Verb, first: bool, body: Vec<u8>) -> Self {
        let (job, key) = match name {
            Name::Job(job) => (job.to_string(), String::new()),
            Name::Key(key) => (String::new(), key.clone()),
            Name::Plain(_) => (String::new(), String::new()),
        };
        Self { verb, job, key, first, body }
    }

    /// Code for a request that was not passed on, as for `Claim`. To show or cancel runs nothing.
    pub fn truthful(&self, code: Code) -> Code {
        let submits = matches!(self.verb, Verb::Submit | Verb::Request);
        match (self.first, submits, self.key.is_empty()) {
            (false, true, true) => Code::HomeLost,
            (false, true, false) => Code::RecordExpired,
            _ => code,
        }
    }
}

/// A call without answer.
struct Pending {
    peer: Key,
    /// Connection on which it was sent.
    sent: Option<Id>,
    waiter: Waiter,
    ask: Ask,
    since_us: u64,
}

/// Calls without answer, by number.
#[derive(Default)]
pub struct Table {
    rows: BTreeMap<u64, Pending>,
    next: u64,
}

impl Table {
    /// Number of calls without answer.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// True if there is no call without answer.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// True if there is a call to the peer.
    pub fn any(&self, peer: Key) -> bool {
        self.rows.values().any(|row| row.peer == peer)
    }

    /// True if a call was sent to the peer.
    pub fn any_sent(&self, peer: Key) -> bool {
        self.rows.values().any(|row| row.peer == peer && row.sent.is_some())
    }

    fn take(&mut self, test: impl Fn(&Pending) -> bool) -> Vec<Pending> {
        let calls: Vec<u64> =
            self.rows.iter().filter(|(_, row)| test(row)).map(|(call, _)| *call).collect();
        calls.iter().filter_map(|call| self.rows.remove(call)).collect()
    }
}

impl Entry {
    /// Passes a request on to a peer.
    pub(super) fn forward(&mut self, peer: Key, ask: Ask, waiter: Waiter, now_us: u64) {
        if self.forwards.rows.len() >= CALLS {
            let code = ask.truthful(Code::HomeUnreachable);
            return self.refuse(waiter, &ask.job, &Refusal::of(code));
        }
        self.forwards.next += 1;
        let call = self.forwards.next;
        let pending = Pending { peer, sent: None, waiter, ask, since_us: now_us };
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
        let ask = &pending.ask;
        let frame = Forward {
            call,
            job: &ask.job,
            key: &ask.key,
            first: ask.first,
            peers,
            verb: ask.verb.name(),
            body: &ask.body,
        };
        let frame = Frame::Forward(frame);
        if self.links.send(id, &frame) {
            self.metrics.sent(&frame);
            pending.sent = Some(id);
            pending.ask.body = Vec::new();
            row.contact.note_sent(now_us);
        }
    }

    /// Sends the calls that waited for the connection.
    pub(super) fn send_forwards(&mut self, peer: Key, now_us: u64) {
        let unsent = |row: &Pending| row.peer == peer && row.sent.is_none();
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

    /// The connection to a peer broke: what was sent on it may have run.
    pub(super) fn forwards_broken(&mut self, peer: Key) {
        for row in self.forwards.take(|row| row.peer == peer && row.sent.is_some()) {
            self.refuse(row.waiter, &row.ask.job, &Refusal::of(Code::HomeSilent));
        }
    }

    /// Gives up calls that could not be sent: they were not run.
    pub(super) fn tick_forwards(&mut self, now_us: u64) {
        let late =
            |row: &Pending| row.sent.is_none() && now_us.saturating_sub(row.since_us) > UNSENT_US;
        for row in self.forwards.take(late) {
            let code = row.ask.truthful(Code::HomeUnreachable);
            self.refuse(row.waiter, &row.ask.job, &Refusal::of(code));
        }
    }

    /// Passes on the answer of a peer. One that does not belong to a call on this connection is
    /// dropped.
    pub(super) fn forwarded(&mut self, peer: Key, id: Id, forwarded: &Forwarded<'_>) {
        let matches = |row: &Pending| row.peer == peer && row.sent == Some(id);
        if !self.forwards.rows.get(&forwarded.call).is_some_and(matches) {
            return log::warn!("event=answer_unmatched call={}", forwarded.call);
        }
        let Some(row) = self.forwards.rows.remove(&forwarded.call) else { return };
        let answer = Answer::json(forwarded.status, forwarded.body);
        self.answer(row.waiter, Answer { retry_ms: forwarded.retry_ms, ..answer });
    }

    /// Handles a request that a peer has passed on. It is answered here, and passed on again only by an
    /// entry that has handed its records over.
    pub(super) fn forward_arrived(&mut self, id: Id, forward: &Forward<'_>, now_us: u64) {
        let waiter = Waiter::Peer { link: id, call: forward.call };
        let Some(verb) = Verb::find(forward.verb) else {
            return self.refuse(waiter, forward.job, &Refusal::bad("unknown verb"));
        };
        if let Some(successor) = self.stop.successor() {
            let ask = Ask {
                verb,
                job: forward.job.to_owned(),
                key: forward.key.to_owned(),
                first: forward.first,
                body: forward.body.to_vec(),
            };
            return self.forward(successor, ask, waiter, now_us);
        }
        match (verb, name(forward)) {
            (Verb::Submit | Verb::Request, Ok(name)) => {
                let claim = Claim { first: forward.first, peers: forward.peers };
                let single = verb == Verb::Request;
                self.submit_home(waiter, name, claim, forward.body, single, now_us);
            }
            (Verb::Show, Ok(Name::Job(job))) => self.show_home(waiter, &job, now_us),
            (Verb::Cancel, Ok(Name::Job(job))) => self.cancel_one(waiter, &job, now_us),
            (Verb::Cancel, _) => self.cancel_home(waiter, forward.body, now_us),
            (_, Err(refusal)) => self.refuse(waiter, forward.job, &refusal),
            (Verb::Show, Ok(_)) => self.refuse(waiter, forward.job, &Refusal::bad("job ID")),
        }
    }
}

fn name(forward: &Forward<'_>) -> Result<Name, Refusal> {
    match (forward.job, forward.key) {
        ("", key) if !key.is_empty() => Ok(Name::Key(key.to_owned())),
        (job, "") if !job.is_empty() => {
            let job: Job = api::job_id(job)?;
            Ok(Name::Job(job))
        }
        _ => Err(Refusal::bad("job ID or key")),
    }
}
