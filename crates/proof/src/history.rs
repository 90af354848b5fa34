//! History of a test run: the events that callers, upstreams and operators observed.
//!
//! All times are microseconds of the monotonic clock that the processes of one machine share.

use kingcup_dispatch::code::Code;

/// Returns the time of the shared monotonic clock, in microseconds.
pub fn now_us() -> u64 {
    let mut time = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: the pointer is to a valid `timespec`.
    unsafe { libc::clock_gettime(libc::CLOCK_MONOTONIC, &raw mut time) };
    time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000
}

/// How the caller submitted its work, which determines how often the work may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Form {
    /// A job, under a job ID.
    Job,
    /// A single request of a non-idempotent kind, which must not run twice.
    Request,
    /// A single request of an idempotent kind, which may be run again after an unknown outcome.
    IdempotentRequest,
}

/// One submission of work by a caller. Resubmissions are further attempts at the same work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Attempt {
    /// Number of the attempt, unique in the history.
    pub number: u64,
    /// Name that all attempts at the same work share: the job ID, the idempotency key, or a unique
    /// name for a request without a key.
    pub work: String,
    /// How the work was submitted.
    pub form: Form,
    /// Name of the process to which the caller sent the attempt.
    pub process: String,
    /// Answers that a complete response must contain, in the order of the tasks.
    pub expected: Vec<String>,
}

/// A response that a caller received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// Result code of the job or request.
    pub code: Code,
    /// Answers in the order of the tasks; empty unless the code is `Complete`.
    pub answers: Vec<String>,
}

/// An event that was observed from outside the system.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A caller sent an attempt.
    Sent {
        /// Time before the first byte was sent.
        at_us: u64,
        /// The attempt.
        attempt: Attempt,
    },
    /// A caller received a whole and valid response.
    Answered {
        /// Time after the final byte was received.
        at_us: u64,
        /// Number of the attempt.
        attempt: u64,
        /// The response.
        response: Response,
    },
    /// A caller received no valid response: the connection broke, the caller timed out or the
    /// response was malformed.
    Broken {
        /// Time at which the caller noticed.
        at_us: u64,
        /// Number of the attempt.
        attempt: u64,
    },
    /// An upstream ran a task.
    Ran {
        /// Name of the upstream.
        upstream: String,
        /// Name of the work, as in `Attempt`.
        work: String,
        /// Index of the task in its job; 0 for a single request.
        task: u16,
        /// Time at which the task started.
        start_us: u64,
        /// Time at which the task ended; `None` if it never ended.
        end_us: Option<u64>,
    },
    /// An upstream lost its list of starts, so that a missing start proves nothing.
    RecordsLost {
        /// Name of the upstream.
        upstream: String,
    },
    /// An operator made an upstream leave, by draining or stopping its sidecar.
    Leaving {
        /// Time at which a drain was accepted, or before a stop was requested.
        at_us: u64,
        /// Name of the upstream.
        upstream: String,
    },
    /// An upstream joined, or joined again, as its sidecar was started.
    Joined {
        /// Time before the sidecar was started.
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
        /// Name of the upstream of the process, if the process is a sidecar.
        upstream: Option<String>,
    },
    /// A process ended after it was asked to stop.
    Stopped {
        /// Time at which the end was noticed.
        at_us: u64,
        /// Name of the process.
        process: String,
        /// Exit code; `None` if a signal ended the process.
        exit_code: Option<i32>,
    },
    /// An unplanned fault was injected: a kill, a pause, a cut or silent connection, an outage.
    Fault {
        /// Time before the fault was injected.
        at_us: u64,
        /// Description of the fault, for the report.
        what: String,
    },
    /// The store became unreachable.
    StoreDown {
        /// Time before the store became unreachable.
        at_us: u64,
    },
    /// The store became reachable again.
    StoreUp {
        /// Time after the store became reachable.
        at_us: u64,
    },
    /// An operator's change of a service's document was accepted.
    Accepted {
        /// Time at which the operator received the acceptance.
        at_us: u64,
        /// Name of the service.
        service: String,
        /// Revision that the change created.
        revision: u64,
        /// ID of the change.
        change: String,
    },
    /// A running process reported which revision it has in effect.
    Observed {
        /// Time before it was asked.
        asked_us: u64,
        /// Time at which it answered.
        at_us: u64,
        /// Name of the process.
        process: String,
        /// Name of the service.
        service: String,
        /// The revision; 0 if the process has none.
        revision: u64,
    },
}
