//! Graceful shutdown: reports not ready, refuses new work, completes work in flight, hands over the
//! records and exits.

use kingcup_dispatch::code::Code;
use stakker::{stop, CX};

use super::{
    api::{self, Refusal},
    callers::Verb,
    forward::Request,
    handover::Handover,
    peers,
    services::{Handle, Name},
    waiter::Waiter,
    Entry,
};
use crate::http::Answer;

/// Microseconds in a millisecond.
const MS_US: u64 = 1_000;
/// Maximum wait for the answers of jobs that were cancelled because they did not end in time, in
/// microseconds.
const CANCEL_TIMEOUT_US: u64 = 1_000_000;
/// Maximum duration of the handover of records, in microseconds.
pub const HANDOVER_TIMEOUT_US: u64 = 5_000_000;
/// Time between the end of the handover and the exit, in microseconds. In this time the writer
/// threads send their queued answers, and the peers learn from a digest of the successor that it
/// has the records.
const EXIT_DELAY_US: u64 = 1_200_000;

/// Maximum time that a submission waits for the successor, in microseconds.
const DEFER_TIMEOUT_US: u64 = 5_000_000;
/// Maximum number of submissions that wait for the successor.
const MAX_DEFERRED: usize = 1_024;
/// Maximum additional time that the exit waits for answers of the successor, in microseconds.
const ANSWER_TIMEOUT_US: u64 = 10_000_000;

/// A submission that waits for the successor.
struct Submission {
    waiter: Waiter,
    request: Request,
    /// Time at which it is refused, in microseconds.
    until_us: u64,
}

/// Phase of the shutdown.
#[derive(Debug, Default)]
enum Phase {
    #[default]
    Running,
    /// Reports not ready, but still accepts new work until this time.
    Delaying(u64),
    /// Waits for work in flight to complete.
    Draining,
    /// Has cancelled the remaining work, and waits for its answers until this time.
    Cancelling(u64),
    /// Transfers the records to a successor.
    HandingOver(Handover),
    /// Is done, and exits at this time.
    Exiting(u64),
}

/// State of the shutdown.
#[derive(Default)]
pub struct Stop {
    phase: Phase,
    /// Time at which the wait for work in flight ends, in microseconds.
    until_us: u64,
    /// Peer that owns the records after the handover.
    successor: Option<peers::Key>,
    /// Submissions that wait for the successor.
    deferred: Vec<Submission>,
}

impl Stop {
    /// Returns true once a stop was requested.
    pub fn is_closing(&self) -> bool {
        !matches!(self.phase, Phase::Running)
    }

    /// Returns true if new work is refused.
    pub fn refuses_new(&self) -> bool {
        !matches!(self.phase, Phase::Running | Phase::Delaying(_))
    }

    /// Returns true once the handover of the records has begun.
    pub fn has_exported(&self) -> bool {
        matches!(self.phase, Phase::HandingOver(_) | Phase::Exiting(_))
    }

    /// Returns the peer that owns the records after the handover.
    pub fn successor(&self) -> Option<peers::Key> {
        self.successor
    }

    /// Returns the handover while it is in progress.
    pub fn handover(&mut self) -> Option<&mut Handover> {
        match &mut self.phase {
            Phase::HandingOver(handover) => Some(handover),
            _ => None,
        }
    }
}

impl Entry {
    /// Begins the shutdown. Has no effect if it has begun already.
    pub(super) fn stop(&mut self, reason: &str, now_us: u64) {
        if self.stop.is_closing() {
            return;
        }
        log::info!("event=stopping reason={reason} jobs={}", self.services.job_count());
        let delay_us = self.settings.drain_delay_ms * MS_US;
        self.stop.phase = Phase::Delaying(now_us + delay_us);
        self.stop.until_us = now_us + delay_us + self.settings.stop_timeout_ms * MS_US;
        self.send_digests();
    }

    /// Enters the next phase of the shutdown if it is due.
    pub(super) fn tick_stop(&mut self, cx: CX![], now_us: u64) {
        match &self.stop.phase {
            Phase::Delaying(until_us) if now_us >= *until_us => {
                log::info!("event=draining jobs={}", self.services.job_count());
                self.stop.phase = Phase::Draining;
            }
            Phase::Draining if self.is_idle() => self.begin_handover(now_us),
            Phase::Draining if now_us >= self.stop.until_us => self.cancel_all(now_us),
            Phase::Cancelling(until_us) if self.is_idle() || now_us >= *until_us => {
                self.abandon_all(now_us);
                self.begin_handover(now_us);
            }
            Phase::HandingOver(_) => self.tick_handover(now_us),
            Phase::Exiting(until_us) if self.may_exit(*until_us, now_us) => {
                log::info!("event=stopped");
                stop!(cx);
            }
            _ => {}
        }
        self.refuse_deferred(now_us);
    }

    /// Returns true if the exit is due and the successor has answered what was forwarded to it, or
    /// the wait for its answers is over.
    fn may_exit(&self, until_us: u64, now_us: u64) -> bool {
        let answered = self.forwards.is_empty() || now_us >= until_us + ANSWER_TIMEOUT_US;
        now_us >= until_us && answered
    }

    /// Forwards a new submission that arrives while the entry stops to the successor, if necessary
    /// once the handover is complete.
    pub(super) fn defer(
        &mut self,
        waiter: Waiter,
        name: Name,
        first: bool,
        body: &[u8],
        single: bool,
        now_us: u64,
    ) {
        let verb = if single { Verb::Request } else { Verb::Submit };
        let request = Request::submission(&name, verb, first, body.to_vec());
        if let Some(successor) = self.stop.successor() {
            return self.forward(successor, request, waiter, now_us);
        }
        let exiting = matches!(self.stop.phase, Phase::Exiting(_));
        let plain = matches!(name, Name::Plain(_));
        if plain || exiting || self.stop.deferred.len() >= MAX_DEFERRED {
            return self.refuse(waiter, &request.job, &Refusal::new(Code::Closing));
        }
        self.stop.deferred.push(Submission {
            waiter,
            request,
            until_us: now_us + DEFER_TIMEOUT_US,
        });
    }

    /// Refuses submissions that have waited too long for the successor. They were not run.
    fn refuse_deferred(&mut self, now_us: u64) {
        while let Some(index) = self.stop.deferred.iter().position(|row| now_us >= row.until_us) {
            let row = self.stop.deferred.remove(index);
            self.refuse(row.waiter, &row.request.job, &Refusal::new(Code::Closing));
        }
    }

    /// Returns true if no job is in progress and no forwarded request is unanswered.
    fn is_idle(&self) -> bool {
        self.services.job_count() == 0 && self.forwards.is_empty()
    }

    /// Returns the jobs in progress.
    fn unfinished_jobs(&self) -> Vec<Handle> {
        let jobs_of = |service| {
            let keys = self.services.get(service).running.keys();
            keys.map(move |job| Handle { service, job })
        };
        self.services.ids().flat_map(jobs_of).collect()
    }

    /// Cancels the jobs that have not ended in time, so that those that have not started are
    /// answered as "not run".
    fn cancel_all(&mut self, now_us: u64) {
        log::warn!("event=stop_timeout jobs={}", self.services.job_count());
        for place in self.unfinished_jobs() {
            self.services.get_mut(place.service).engine.cancel(place.job, now_us);
        }
        self.stop.phase = Phase::Cancelling(now_us + CANCEL_TIMEOUT_US);
    }

    /// Answers the jobs that are still in progress: they may have run.
    fn abandon_all(&mut self, _now_us: u64) {
        for place in self.unfinished_jobs() {
            let Some(running) = self.services.remove(place) else { continue };
            let code = Code::HomeLost;
            let body = api::failed(&running.label, code, "entry has stopped");
            for waiter in running.waiters {
                self.answer(waiter, Answer::json(code.status(), body.clone()));
            }
        }
    }

    fn begin_handover(&mut self, now_us: u64) {
        let handover = Handover::new(now_us + HANDOVER_TIMEOUT_US);
        self.stop.phase = Phase::HandingOver(handover);
        self.tick_handover(now_us);
    }

    /// Ends the handover. `successor` is the peer that has adopted the records, if there is one.
    pub(super) fn end_handover(&mut self, successor: Option<peers::Key>, now_us: u64) {
        self.stop.successor = successor;
        self.stop.phase = Phase::Exiting(now_us + EXIT_DELAY_US);
        for row in std::mem::take(&mut self.stop.deferred) {
            match successor {
                Some(peer) => self.forward(peer, row.request, row.waiter, now_us),
                None => self.refuse(row.waiter, &row.request.job, &Refusal::new(Code::Closing)),
            }
        }
    }
}
