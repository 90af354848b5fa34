//! Graceful shutdown: readiness off, no new work, work in flight, handover, exit.

use kingcup_dispatch::code::Code;
use stakker::{stop, CX};

use super::{
    api::{self, Refusal},
    callers::Verb,
    forward::Ask,
    handover::Handover,
    peers,
    services::{Handle, Name},
    waiter::Waiter,
    Entry,
};
use crate::http::Answer;

/// Microseconds in a millisecond.
const MS_US: u64 = 1_000;
/// Time for cancelled jobs to be answered once the wait for work in flight is over, in microseconds.
const CANCEL_US: u64 = 1_000_000;
/// Longest time for the handover of records, in microseconds.
pub const HANDOVER_US: u64 = 5_000_000;
/// Time between the last answer and the exit, in microseconds: the writers' threads send what they
/// have, and peers hear from a digest of the successor who has the records.
const LINGER_US: u64 = 1_200_000;

/// Longest time that a submission waits for the successor, in microseconds.
const HELD_US: u64 = 5_000_000;
/// Submissions that wait for the successor.
const HELD: usize = 1_024;
/// Longest time that the exit waits for answers of the successor, in microseconds.
const ANSWERS_US: u64 = 10_000_000;

/// A submission that waits for the successor.
struct Held {
    waiter: Waiter,
    ask: Ask,
    until_us: u64,
}

/// How far the shutdown is.
#[derive(Debug, Default)]
enum Phase {
    #[default]
    Running,
    /// Not ready, but new work is still taken until this time.
    Delaying(u64),
    /// Work in flight completes.
    Draining,
    /// What is left was cancelled; its answers are awaited until this time.
    Cancelling(u64),
    /// Records are passed on.
    Handing(Handover),
    /// Everything is done; the process ends at this time.
    Lingering(u64),
}

/// The state of the shutdown.
#[derive(Default)]
pub struct Stop {
    phase: Phase,
    /// When the wait for work in flight ends, in microseconds.
    until_us: u64,
    successor: Option<peers::Key>,
    held: Vec<Held>,
}

impl Stop {
    /// True from the moment that a stop was asked for.
    pub fn is_closing(&self) -> bool {
        !matches!(self.phase, Phase::Running)
    }

    /// True if new work is refused.
    pub fn refuses_new(&self) -> bool {
        !matches!(self.phase, Phase::Running | Phase::Delaying(_))
    }

    /// True once the records are on their way to a successor.
    pub fn has_exported(&self) -> bool {
        matches!(self.phase, Phase::Handing(_) | Phase::Lingering(_))
    }

    /// Peer that owns the records after the handover.
    pub fn successor(&self) -> Option<peers::Key> {
        self.successor
    }

    /// The handover, while it is in progress.
    pub fn handover(&mut self) -> Option<&mut Handover> {
        match &mut self.phase {
            Phase::Handing(handover) => Some(handover),
            _ => None,
        }
    }
}

impl Entry {
    /// Begins the shutdown.
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

    /// Takes the next step of the shutdown when it is due.
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
            Phase::Handing(_) => self.tick_handover(now_us),
            Phase::Lingering(until_us) if self.may_exit(*until_us, now_us) => {
                log::info!("event=stopped");
                stop!(cx);
            }
            _ => {}
        }
        self.refuse_held(now_us);
    }

    fn may_exit(&self, until_us: u64, now_us: u64) -> bool {
        let answered = self.forwards.is_empty() || now_us >= until_us + ANSWERS_US;
        now_us >= until_us && answered
    }

    /// Keeps a submission that arrives while the entry stops, and passes it to the successor.
    pub(super) fn hold(
        &mut self,
        waiter: Waiter,
        name: Name,
        first: bool,
        body: &[u8],
        single: bool,
        now_us: u64,
    ) {
        let verb = if single { Verb::Request } else { Verb::Submit };
        let ask = Ask::submission(&name, verb, first, body.to_vec());
        if let Some(successor) = self.stop.successor() {
            return self.forward(successor, ask, waiter, now_us);
        }
        let lingering = matches!(self.stop.phase, Phase::Lingering(_));
        let plain = matches!(name, Name::Plain(_));
        if plain || lingering || self.stop.held.len() >= HELD {
            return self.refuse(waiter, &ask.job, &Refusal::of(Code::Closing));
        }
        self.stop.held.push(Held { waiter, ask, until_us: now_us + HELD_US });
    }

    /// Refuses held submissions that have waited too long. They were not run.
    fn refuse_held(&mut self, now_us: u64) {
        while let Some(at) = self.stop.held.iter().position(|held| now_us >= held.until_us) {
            let held = self.stop.held.remove(at);
            self.refuse(held.waiter, &held.ask.job, &Refusal::of(Code::Closing));
        }
    }

    fn is_idle(&self) -> bool {
        self.services.job_count() == 0 && self.forwards.is_empty()
    }

    fn jobs_left(&self) -> Vec<Handle> {
        let of = |service| {
            let keys = self.services.get(service).running.keys();
            keys.map(move |job| Handle { service, job })
        };
        self.services.ids().flat_map(of).collect()
    }

    /// Cancels what has not ended in time, so that what has not started is answered as "not run".
    fn cancel_all(&mut self, now_us: u64) {
        log::warn!("event=stop_timeout jobs={}", self.services.job_count());
        for place in self.jobs_left() {
            self.services.get_mut(place.service).engine.cancel(place.job, now_us);
        }
        self.stop.phase = Phase::Cancelling(now_us + CANCEL_US);
    }

    /// Answers what is still left: it may have run.
    fn abandon_all(&mut self, _now_us: u64) {
        for place in self.jobs_left() {
            let Some(running) = self.services.remove(place) else { continue };
            let code = Code::HomeLost;
            let body = api::failed(&running.label, code, "entry has stopped");
            for waiter in running.waiters {
                self.answer(waiter, Answer::json(code.status(), body.clone()));
            }
        }
    }

    fn begin_handover(&mut self, now_us: u64) {
        let handover = Handover::begin(now_us + HANDOVER_US);
        self.stop.phase = Phase::Handing(handover);
        self.tick_handover(now_us);
    }

    /// Ends the handover, with the peer that has taken the records if there is one.
    pub(super) fn end_handover(&mut self, successor: Option<peers::Key>, now_us: u64) {
        self.stop.successor = successor;
        self.stop.phase = Phase::Lingering(now_us + LINGER_US);
        for held in std::mem::take(&mut self.stop.held) {
            match successor {
                Some(peer) => self.forward(peer, held.ask, held.waiter, now_us),
                None => self.refuse(held.waiter, &held.ask.job, &Refusal::of(Code::Closing)),
            }
        }
    }
}
