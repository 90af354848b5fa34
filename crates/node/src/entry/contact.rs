//! State of the outgoing connection to one process: dialling, silence, reconnection.

use std::net::SocketAddr;

use crate::link::Id;

/// Silence after something was sent, before a probe is sent, in microseconds.
pub const PROBE_US: u64 = 500_000;
/// Silence since the last bytes, before a probe is sent, while answers to earlier frames are still due;
/// in microseconds. With the wait for the answer and two ticks, silence is found within 2 s. Most tasks
/// end sooner, so that few need a probe.
pub const OWED_US: u64 = 800_000;
/// Wait for the answer to a probe before the connection is given up, in microseconds.
pub const PROBE_WAIT_US: u64 = 1_000_000;
/// Wait for `Welcome` on a new connection, in microseconds.
pub const GREETING_US: u64 = 1_000_000;
/// Connections that are being established at once.
pub const DIALLING: usize = 50;
/// A reconnection waits for a random time up to this, in microseconds.
pub const JITTER_US: u64 = 200_000;
/// Longest wait between attempts to connect, in microseconds.
pub const BACKOFF_US: u64 = 2_000_000;

/// Unit of the time from which connections are numbered, in microseconds; shorter than the time
/// between two connections of one contact on average, and 32 bits last for a year.
const GENERATION_US: u64 = 10_000;

/// Where the connection is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// No connection before this time, in microseconds.
    Idle(u64),
    /// `Hello` was sent at this time, in microseconds.
    Greeting(u64),
    /// `Welcome` has arrived.
    Open,
}

/// What has to be done with a connection now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Nothing.
    Wait,
    /// Open a new connection.
    Dial,
    /// Send a probe.
    Probe,
    /// Close the connection: it is silent.
    Drop,
}

/// The outgoing connection to one process.
#[derive(Debug)]
pub struct Contact {
    /// Internal address of the process.
    pub address: SocketAddr,
    /// The newest connection.
    pub link: Option<Id>,
    /// Where it is.
    pub phase: Phase,
    /// Number of the newest connection.
    pub generation: u32,
    /// Time of the oldest frame that was sent since the last one that was received, in microseconds.
    asked_us: Option<u64>,
    probed_us: Option<u64>,
    failures: u32,
    /// Since when there has been no working connection, in microseconds.
    pub down_us: Option<u64>,
    /// The last attempt was rejected rather than left without an answer.
    pub refused: bool,
}

impl Contact {
    /// A process that has not been dialled yet.
    pub fn open(address: SocketAddr, now_us: u64) -> Self {
        Self {
            address,
            link: None,
            phase: Phase::Idle(now_us),
            generation: 0,
            asked_us: None,
            probed_us: None,
            failures: 0,
            down_us: Some(now_us),
            refused: false,
        }
    }

    /// True if frames can be sent.
    pub fn is_open(&self) -> bool {
        self.phase == Phase::Open
    }

    /// Number of the connection that is opened now. It follows the time, so that it also grows for a
    /// process that was forgotten and came back.
    pub fn next_generation(&mut self, now_us: u64) -> u32 {
        let by_time = (now_us / GENERATION_US) as u32;
        self.generation = by_time.max(self.generation + 1);
        self.generation
    }

    /// Records a new connection on which `Hello` is sent.
    pub fn dialled(&mut self, link: Id, now_us: u64) {
        self.link = Some(link);
        self.phase = Phase::Greeting(now_us);
        self.asked_us = None;
        self.probed_us = None;
    }

    /// Records that `Welcome` has arrived.
    pub fn welcomed(&mut self) {
        self.phase = Phase::Open;
        self.failures = 0;
        self.down_us = None;
        self.refused = false;
    }

    /// Records that a frame was sent that the other side answers.
    pub fn note_sent(&mut self, now_us: u64) {
        self.asked_us.get_or_insert(now_us);
    }

    /// Records that bytes have arrived.
    pub fn note_received(&mut self) {
        self.asked_us = None;
        self.probed_us = None;
    }

    /// Records that a probe was sent.
    pub fn probed(&mut self, now_us: u64) {
        self.probed_us = Some(now_us);
    }

    /// Records that the connection is gone, and schedules the next one.
    pub fn closed(&mut self, rng: &mut fastrand::Rng, now_us: u64) {
        self.refused = matches!(self.phase, Phase::Greeting(since_us)
            if now_us.saturating_sub(since_us) < GREETING_US);
        let backoff_us = (JITTER_US << self.failures.min(4)).min(BACKOFF_US);
        self.failures += 1;
        self.phase = Phase::Idle(now_us + rng.u64(0..=backoff_us));
        self.link = None;
        self.asked_us = None;
        self.probed_us = None;
        self.down_us.get_or_insert(now_us);
    }

    /// Brings the next attempt forward.
    pub fn dial_now(&mut self, now_us: u64) {
        if let Phase::Idle(dial_us) = &mut self.phase {
            *dial_us = now_us.min(*dial_us);
        }
    }

    /// Decides what to do. `heard_us` is when bytes last arrived; `expecting` is true while the other
    /// side owes an answer to earlier frames.
    pub fn step(&self, heard_us: u64, expecting: bool, now_us: u64) -> Step {
        match self.phase {
            Phase::Idle(dial_us) if now_us >= dial_us => Step::Dial,
            Phase::Idle(_) => Step::Wait,
            Phase::Greeting(since_us) if now_us >= since_us + GREETING_US => Step::Drop,
            Phase::Greeting(_) => Step::Wait,
            Phase::Open => self.silence(heard_us, expecting, now_us),
        }
    }

    fn silence(&self, heard_us: u64, expecting: bool, now_us: u64) -> Step {
        if let Some(probed_us) = self.probed_us {
            let over = now_us >= probed_us + PROBE_WAIT_US;
            return if over { Step::Drop } else { Step::Wait };
        }
        let due_us = match self.asked_us {
            Some(asked_us) => asked_us.max(heard_us) + PROBE_US,
            None if expecting => heard_us + OWED_US,
            None => return Step::Wait,
        };
        if now_us >= due_us {
            Step::Probe
        } else {
            Step::Wait
        }
    }
}
