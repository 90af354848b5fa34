//! Requests that are held until the configuration and workers are known, and refusals of requests
//! without a job.

use kingcup_dispatch::{
    hold::{self, Held, Limits, Queue, Refusal},
    plan::Submission,
};
use slotmap::{Key as _, KeyData};

use super::Entry;
use crate::{
    runs::{
        protocol::{Operation, Status},
        refusal::{Limiter, Reason},
    },
    web::{server, Request},
};

/// Maximum number of held requests: several times what arrives at an entry in a second.
const MAX_HELD: usize = 1_000;
/// Maximum size of all held requests, in bytes.
const MAX_HELD_BYTES: usize = 4 << 20;
/// Least expected time until an entry can accept requests, in microseconds: the interval at which
/// it retries the store.
const MIN_RETURN_US: u64 = 250_000;

/// A held request and what it waits for.
pub(super) struct Waiting {
    request: Request,
    reason: Reason,
}

/// State of the requests that this entry holds.
pub(super) struct Holding {
    queue: Queue<Waiting>,
    limiter: Limiter,
    random: fastrand::Rng,
    opened_us: u64,
    /// Configuration and number of workers at the last attempt to release requests.
    tried: (u64, usize),
}

impl Holding {
    pub(super) fn open(hold_ms: u64, seed: u64, now_us: u64) -> Self {
        let limits = Limits { hold_us: hold_ms * 1000, requests: MAX_HELD, bytes: MAX_HELD_BYTES };
        Self {
            queue: Queue::open(limits),
            limiter: Limiter::default(),
            random: fastrand::Rng::with_seed(seed),
            opened_us: now_us,
            tried: (0, 0),
        }
    }

    pub(super) fn next_due(&self) -> u64 {
        self.queue.next_due()
    }

    pub(super) fn len(&self) -> usize {
        self.queue.len()
    }
}

/// Returns the memory that a request takes, in bytes.
fn size(request: &Request) -> usize {
    let headers = request.headers.iter().map(|(name, value)| name.len() + value.len());
    request.method.len() + request.path.len() + request.body.len() + headers.sum::<usize>()
}

impl Entry {
    /// Holds a request that arrived at `arrived_us` until it can be handled, or refuses it.
    pub(super) fn hold(
        &mut self,
        id: server::Id,
        request: Request,
        reason: Reason,
        arrived_us: u64,
        now_us: u64,
    ) {
        if self.stop_began_us.is_some() {
            return self.refuse(id, Reason::Stopping, arrived_us, "", now_us);
        }
        if self.has_just_resumed(now_us) {
            return self.refuse(id, Reason::Suspended, arrived_us, "", now_us);
        }
        let held = Held {
            token: id.data().as_ffi(),
            arrived_us,
            timeout_us: (self.protocol.timeout_ms)(&request) * 1000,
            bytes: size(&request),
            request: Waiting { request, reason },
        };
        match self.holding.queue.hold(held, now_us) {
            Ok(()) => {}
            Err(Refusal::Full) => self.refuse(id, Reason::HoldFull, arrived_us, "", now_us),
            Err(Refusal::Disabled | Refusal::Expired) => {
                self.refuse(id, reason, arrived_us, "", now_us);
            }
        }
    }

    /// Returns whether a submission is to be held until workers of its service return.
    pub(super) fn awaits_workers(&mut self, submission: &Submission, now_us: u64) -> bool {
        self.planner.find(&submission.id).is_none()
            && self.planner.expects_workers(&submission.service, now_us)
    }

    /// Drops the held request of a caller that has left.
    pub(super) fn drop_held(&mut self, id: server::Id) {
        if self.holding.queue.remove(id.data().as_ffi()).is_some() {
            log::info!("event=held_caller_left held={}", self.holding.len());
        }
    }

    /// Refuses the held requests whose time is over, and handles those that can be handled now.
    pub(super) fn release_held(&mut self, now_us: u64) {
        if self.holding.queue.is_empty() {
            return;
        }
        for held in self.holding.queue.expire(now_us) {
            let reason = held.request.reason;
            self.refuse_held(&held, reason, now_us);
        }
        let state = (self.document.version(), self.planner.accepting());
        if !self.is_configured() || std::mem::replace(&mut self.holding.tried, state) == state {
            return;
        }
        let (protocol, table, planner) = (&self.protocol, self.document.table(), &self.planner);
        let released = self.holding.queue.release(|waiting| {
            match (protocol.parse_request)(&waiting.request, table) {
                Operation::Submit { submission, .. } => {
                    let is_known = planner.find(&submission.id).is_some();
                    let can_run = is_known || planner.has_workers(&submission.service);
                    // A request that waits for its configuration only is refused or held again.
                    let is_new = waiting.reason == Reason::NoConfig;
                    (can_run || is_new).then_some(submission.priority)
                }
                _ => Some(0),
            }
        });
        if !released.is_empty() {
            let held_us = released.iter().map(|held| now_us - held.arrived_us).max().unwrap_or(0);
            log::info!(
                "event=held_released requests={} longest_us={held_us} config={} workers={}",
                released.len(),
                state.0,
                state.1
            );
        }
        for held in released {
            let id = server::Id::from(KeyData::from_ffi(held.token));
            self.handle_request(id, held.request.request, held.arrived_us, now_us);
            let event = self.callers.next(id);
            self.handle_events(id, event, now_us);
        }
    }

    /// Refuses all held requests.
    pub(super) fn refuse_all_held(&mut self, reason: Reason, now_us: u64) {
        for held in self.holding.queue.clear() {
            self.refuse_held(&held, reason, now_us);
        }
    }

    fn refuse_held(&mut self, held: &Held<Waiting>, reason: Reason, now_us: u64) {
        let id = server::Id::from(KeyData::from_ffi(held.token));
        self.refuse(id, reason, held.arrived_us, "", now_us);
        let event = self.callers.next(id);
        self.handle_events(id, event, now_us);
    }

    /// Refuses a request that has no job. `detail` follows the other fields of the log line.
    pub(super) fn refuse(
        &mut self,
        id: server::Id,
        reason: Reason,
        arrived_us: u64,
        detail: &str,
        now_us: u64,
    ) {
        self.metrics.refused(reason);
        let status = match reason {
            Reason::NoQueue => Status::NoQueue,
            Reason::Invalid => Status::Invalid,
            Reason::Unsupported => Status::Unsupported,
            _ => Status::Unavailable(self.retry_ms(now_us)),
        };
        if let Some(suppressed) = self.holding.limiter.admit(reason, now_us) {
            let retry_ms = match status {
                Status::Unavailable(retry_ms) => retry_ms,
                _ => 0,
            };
            log::info!(
                "event=job_refused reason={} held_us={} retry_ms={retry_ms} \
                 suppressed={suppressed}{detail}",
                reason.name(),
                now_us - arrived_us
            );
        }
        self.respond(id, status);
    }

    /// Returns a random time after which a refused caller may retry. An entry that has no
    /// configuration is expected to get it after about the time for which it has waited so far.
    fn retry_ms(&mut self, now_us: u64) -> u64 {
        let expected_us = match self.document.version() {
            0 => (now_us - self.holding.opened_us).max(MIN_RETURN_US),
            _ => MIN_RETURN_US,
        };
        hold::retry_ms(expected_us, &mut self.holding.random)
    }
}
