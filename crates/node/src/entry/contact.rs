//! State machine of the outgoing connection to one process: connecting, detection of silent
//! connections, and reconnection with backoff.

use std::net::SocketAddr;

use crate::link::Id;

/// Time for which an answer to a frame is awaited before a probe is sent, in microseconds.
pub const PROBE_DELAY_US: u64 = 500_000;
/// Time since the last received bytes after which a probe is sent while answers to earlier frames
/// are outstanding, in microseconds.
///
/// With `PROBE_TIMEOUT_US` and two ticks added, a silent connection is detected within 2 s. Most
/// tasks end sooner, so that few of them need a probe.
pub const AWAITING_PROBE_US: u64 = 800_000;
/// Time without an answer to a probe after which the connection is closed, in microseconds.
pub const PROBE_TIMEOUT_US: u64 = 1_000_000;
/// Time without `Welcome` after which a new connection is closed, in microseconds.
pub const WELCOME_TIMEOUT_US: u64 = 1_000_000;
/// Maximum number of connections to sidecars that are being established at the same time.
pub const MAX_CONNECTING: usize = 50;
/// Upper bound of the random delay before the first reconnection, in microseconds. It doubles with
/// each failed attempt.
pub const JITTER_US: u64 = 200_000;
/// Maximum delay between two attempts to connect, in microseconds.
pub const MAX_BACKOFF_US: u64 = 2_000_000;

/// Resolution of the clock from which the numbers of connections are derived, in microseconds.
///
/// It is shorter than the average time between two connections to one process, so that the numbers
/// don't get ahead of the clock, and long enough that 32 bits last for a year.
const GENERATION_US: u64 = 10_000;

/// State of the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Not connected. The next attempt is due at this time, in microseconds.
    Idle(u64),
    /// The connection was opened and `Hello` queued at this time, in microseconds; `Welcome` has
    /// not arrived yet.
    Greeting(u64),
    /// `Welcome` has arrived, so that frames can be sent.
    Open,
}

/// Next step that a connection requires.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Do nothing.
    Wait,
    /// Open a new connection.
    Dial,
    /// Send a probe.
    Probe,
    /// Close the connection, as an answer on it is overdue.
    Drop,
}

/// The outgoing connection to one process.
#[derive(Debug)]
pub struct Contact {
    /// Internal address of the process.
    pub address: SocketAddr,
    /// Current connection, if there is one.
    pub link: Option<Id>,
    /// State of the connection.
    pub phase: Phase,
    /// Number of the newest connection; higher than those of all earlier ones.
    pub generation: u32,
    /// Time at which the oldest frame was sent that requires an answer, in microseconds; `None` if
    /// a frame has arrived since then.
    unanswered_since_us: Option<u64>,
    /// Time at which a probe was sent that has not been answered yet, in microseconds.
    probed_us: Option<u64>,
    /// Number of connections that have failed or were closed since the last `Welcome`.
    failures: u32,
    /// Time since which there has been no open connection, in microseconds; `None` while one is
    /// open.
    pub down_since_us: Option<u64>,
    /// True if the last connection closed before `Welcome` and before its timeout, as one that the
    /// other process refuses does.
    pub refused: bool,
}

impl Contact {
    /// Creates the state for a process to which no connection has been opened yet.
    pub fn open(address: SocketAddr, now_us: u64) -> Self {
        Self {
            address,
            link: None,
            phase: Phase::Idle(now_us),
            generation: 0,
            unanswered_since_us: None,
            probed_us: None,
            failures: 0,
            down_since_us: Some(now_us),
            refused: false,
        }
    }

    /// Returns true if frames can be sent.
    pub fn is_open(&self) -> bool {
        self.phase == Phase::Open
    }

    /// Returns the number of a connection that is being opened.
    ///
    /// It is derived from the clock, so that it is also higher than before for a process that was
    /// removed from the table and has joined again.
    pub fn next_generation(&mut self, now_us: u64) -> u32 {
        let by_time = (now_us / GENERATION_US) as u32;
        self.generation = by_time.max(self.generation + 1);
        self.generation
    }

    /// Records that a new connection is being established, on which `Hello` is sent.
    pub fn note_dialled(&mut self, link: Id, now_us: u64) {
        self.link = Some(link);
        self.phase = Phase::Greeting(now_us);
        self.unanswered_since_us = None;
        self.probed_us = None;
    }

    /// Records that `Welcome` has arrived.
    pub fn note_welcome(&mut self) {
        self.phase = Phase::Open;
        self.failures = 0;
        self.down_since_us = None;
        self.refused = false;
    }

    /// Records that a frame was sent that requires an answer.
    pub fn note_sent(&mut self, now_us: u64) {
        self.unanswered_since_us.get_or_insert(now_us);
    }

    /// Records that a frame has arrived.
    pub fn note_received(&mut self) {
        self.unanswered_since_us = None;
        self.probed_us = None;
    }

    /// Records that a probe was sent.
    pub fn note_probe(&mut self, now_us: u64) {
        self.probed_us = Some(now_us);
    }

    /// Records that the connection was closed, and schedules the next attempt.
    pub fn note_closed(&mut self, rng: &mut fastrand::Rng, now_us: u64) {
        self.refused = matches!(self.phase, Phase::Greeting(since_us)
            if now_us.saturating_sub(since_us) < WELCOME_TIMEOUT_US);
        let backoff_us = (JITTER_US << self.failures.min(4)).min(MAX_BACKOFF_US);
        self.failures += 1;
        self.phase = Phase::Idle(now_us + rng.u64(0..=backoff_us));
        self.link = None;
        self.unanswered_since_us = None;
        self.probed_us = None;
        self.down_since_us.get_or_insert(now_us);
    }

    /// Makes the next attempt to connect due now, without waiting for the backoff to end.
    pub fn dial_now(&mut self, now_us: u64) {
        if let Phase::Idle(dial_us) = &mut self.phase {
            *dial_us = now_us.min(*dial_us);
        }
    }

    /// Returns the step that is due now. `received_us` is the time at which bytes last arrived.
    /// `awaiting` is true while answers to earlier frames are outstanding, such as outcomes of
    /// tasks.
    pub fn step(&self, received_us: u64, awaiting: bool, now_us: u64) -> Step {
        match self.phase {
            Phase::Idle(dial_us) if now_us >= dial_us => Step::Dial,
            Phase::Idle(_) => Step::Wait,
            Phase::Greeting(since_us) if now_us >= since_us + WELCOME_TIMEOUT_US => Step::Drop,
            Phase::Greeting(_) => Step::Wait,
            Phase::Open => self.open_step(received_us, awaiting, now_us),
        }
    }

    /// Returns the step that is due on an open connection.
    fn open_step(&self, received_us: u64, awaiting: bool, now_us: u64) -> Step {
        if let Some(probed_us) = self.probed_us {
            let timed_out = now_us >= probed_us + PROBE_TIMEOUT_US;
            return if timed_out { Step::Drop } else { Step::Wait };
        }
        let due_us = match self.unanswered_since_us {
            Some(since_us) => since_us.max(received_us) + PROBE_DELAY_US,
            None if awaiting => received_us + AWAITING_PROBE_US,
            None => return Step::Wait,
        };
        if now_us >= due_us {
            Step::Probe
        } else {
            Step::Wait
        }
    }
}
