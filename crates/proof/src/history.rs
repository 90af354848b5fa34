//! What callers, upstreams and operators saw, as a list of events.
//!
//! All times are microseconds of the monotonic clock that the processes of one machine share.

use kingcup_dispatch::code::Code;

/// Reads the shared monotonic clock, in microseconds.
pub fn now_us() -> u64 {
    let mut time = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: the pointer is to a valid `timespec`.
    unsafe { libc::clock_gettime(libc::CLOCK_MONOTONIC, &raw mut time) };
    time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000
}

/// How the caller submitted its work, which decides what may happen to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Form {
    /// A job, under a job ID.
    Job,
    /// A single request of a kind that must not run twice.
    Request,
    /// A single request of an idempotent kind, which may be run again after an unknown outcome.
    IdempotentRequest,
}

/// One attempt of a caller to have work done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Attempt {
    /// Number of the attempt, unique in the history.
    pub number: u64,
    /// Name under which the caller counts attempts as the same work: its job ID, its idempotency
    /// key, or a name of its own for a plain request.
    pub work: String,
    /// How the work was submitted.
    pub form: Form,
    /// Process that the caller sent it to.
    pub process: String,
    /// The answers that a complete response must carry, by task.
    pub expected: Vec<String>,
}

/// A caller's response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// Result code of the whole.
    pub code: Code,
    /// Answers by task; empty unless complete.
    pub answers: Vec<String>,
}

/// An event that someone outside the system saw.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A caller sent an attempt.
    Sent {
        /// Time before the first byte was sent.
        at_us: u64,
        /// The attempt.
        attempt: Attempt,
    },
    /// A caller received a whole response.
    Answered {
        /// Time after the final byte was received.
        at_us: u64,
        /// Number of the attempt.
        attempt: u64,
        /// The response.
        response: Response,
    },
    /// A caller's connection broke, or the caller gave up waiting.
    Broken {
        /// Time at which the caller knew.
        at_us: u64,
        /// Number of the attempt.
        attempt: u64,
    },
    /// An upstream ran a task.
    Ran {
        /// Name of the upstream.
        upstream: String,
        /// The work, named as in `Attempt`.
        work: String,
        /// Index of the task in its job; 0 for a single request.
        task: u16,
        /// Time at which the task started.
        start_us: u64,
        /// Time at which it ended; none if it never did.
        end_us: Option<u64>,
    },
    /// An upstream lost its list of starts, so that a missing start proves nothing.
    RecordsLost {
        /// Name of the upstream.
        upstream: String,
    },
    /// An operator had an upstream leave.
    Leaving {
        /// Time at which the operator's request was accepted.
        at_us: u64,
        /// Name of the upstream.
        upstream: String,
    },
    /// An upstream came back.
    Joined {
        /// Time before it was started.
        at_us: u64,
        /// Name of the upstream.
        upstream: String,
    },
    /// An operator asked a process to stop.
    Stopping {
        /// Time before the request was sent.
        at_us: u64,
        /// Name of the process.
        process: String,
        /// Upstream behind the process, if it is a sidecar.
        upstream: Option<String>,
    },
    /// A process that was asked to stop ended.
    Stopped {
        /// Time at which its end was seen.
        at_us: u64,
        /// Name of the process.
        process: String,
        /// Its exit code; none if a signal ended it.
        exit_code: Option<i32>,
    },
    /// An unplanned fault was injected: a kill, a pause, a cut or silent connection, an outage.
    Fault {
        /// Time before it was injected.
        at_us: u64,
        /// What was done, for the report.
        what: String,
    },
    /// The store became unreachable.
    StoreDown {
        /// Time before it did.
        at_us: u64,
    },
    /// The store became reachable again.
    StoreUp {
        /// Time after it did.
        at_us: u64,
    },
    /// An operator's change of a service's document was accepted.
    Accepted {
        /// Time at which the operator learned so.
        at_us: u64,
        /// Name of the service.
        service: String,
        /// The revision that the change made.
        revision: u64,
        /// ID of the change.
        change: String,
    },
    /// A running process said which revision it has in effect.
    Observed {
        /// Time before it was asked.
        asked_us: u64,
        /// Time at which it answered.
        at_us: u64,
        /// Name of the process.
        process: String,
        /// Name of the service.
        service: String,
        /// The revision; 0 if it has none.
        revision: u64,
    },
}
