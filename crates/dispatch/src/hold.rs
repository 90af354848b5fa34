//! Requests that an entry holds while it cannot know how to handle them.
//!
//! A request is held for a bounded time, and the number and size of all held requests are bounded.
//! It leaves the queue when it can be handled, when its time is over or when its caller leaves.

use std::collections::BTreeMap;

/// Part of the time for which a caller waits after which its request is no longer held, in percent.
/// Less than half, so that the rest suffices for a job or for another attempt of the caller.
const CALLER_SHARE_PERCENT: u64 = 45;

/// Shortest and longest time after which a refused caller is asked to retry, in milliseconds.
const RETRY_RANGE_MS: (u64, u64) = (50, 5_000);

/// Returns a random time after which a refused caller may retry, in milliseconds, when it is
/// expected to be served after this time. Times are spread from half of it to one and a half times
/// it, so that callers do not all retry at the same moment.
pub fn retry_ms(expected_us: u64, random: &mut fastrand::Rng) -> u64 {
    let expected_ms = expected_us / 1000;
    let retry_ms = random.u64(expected_ms / 2..=expected_ms.saturating_add(expected_ms / 2));
    retry_ms.clamp(RETRY_RANGE_MS.0, RETRY_RANGE_MS.1)
}

/// Bounds on held requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Longest time for which a request is held, in microseconds; 0 if none is held.
    pub hold_us: u64,
    /// Maximum number of held requests.
    pub requests: usize,
    /// Maximum size of all held requests, in bytes.
    pub bytes: usize,
}

/// Why a request is not held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// Requests are not held.
    Disabled,
    /// The time for which the request may be held is over.
    Expired,
    /// The bound on the number or on the size of held requests is reached.
    Full,
}

/// A request to hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Held<T> {
    /// Identifies the caller, which has at most one request at a time.
    pub token: u64,
    /// Time at which the request arrived, in microseconds.
    pub arrived_us: u64,
    /// Time for which the caller waits from the arrival on, in microseconds.
    pub timeout_us: u64,
    /// Size of the request, in bytes.
    pub bytes: usize,
    /// The request.
    pub request: T,
}

impl<T> Held<T> {
    /// Returns the time until which the request may be held.
    fn due_us(&self, hold_us: u64) -> u64 {
        self.arrived_us + hold_us.min(self.timeout_us * CALLER_SHARE_PERCENT / 100)
    }
}

/// Held requests of one entry.
#[derive(Debug)]
pub struct Queue<T> {
    limits: Limits,
    /// Requests by caller.
    held: BTreeMap<u64, Held<T>>,
    bytes: usize,
}

impl<T> Queue<T> {
    /// Creates an empty queue.
    pub fn open(limits: Limits) -> Self {
        Self { limits, held: BTreeMap::new(), bytes: 0 }
    }

    /// Holds a request.
    ///
    /// # Errors
    ///
    /// Returns the reason why the request is not held.
    pub fn hold(&mut self, held: Held<T>, now_us: u64) -> Result<(), Refusal> {
        if self.limits.hold_us == 0 {
            return Err(Refusal::Disabled);
        }
        if held.due_us(self.limits.hold_us) <= now_us {
            return Err(Refusal::Expired);
        }
        self.remove(held.token);
        if self.held.len() >= self.limits.requests || self.bytes + held.bytes > self.limits.bytes {
            return Err(Refusal::Full);
        }
        self.bytes += held.bytes;
        self.held.insert(held.token, held);
        Ok(())
    }

    /// Removes the request of a caller.
    pub fn remove(&mut self, token: u64) -> Option<Held<T>> {
        let held = self.held.remove(&token)?;
        self.bytes -= held.bytes;
        Some(held)
    }

    /// Removes the requests whose time is over, in order of arrival.
    pub fn expire(&mut self, now_us: u64) -> Vec<Held<T>> {
        let hold_us = self.limits.hold_us;
        let is_due = |held: &Held<T>| (held.due_us(hold_us) <= now_us).then_some(0);
        self.take(is_due)
    }

    /// Removes the requests that can be handled now, lowest rank first and then in order of
    /// arrival. `rank` returns `None` for a request that still cannot be handled. Requests whose
    /// time is over must have been removed before.
    pub fn release(&mut self, rank: impl Fn(&T) -> Option<u32>) -> Vec<Held<T>> {
        self.take(|held| rank(&held.request))
    }

    /// Removes all requests, in order of arrival.
    pub fn clear(&mut self) -> Vec<Held<T>> {
        self.take(|_| Some(0))
    }

    /// Removes the requests with a rank, ordered by rank and arrival.
    fn take(&mut self, rank: impl Fn(&Held<T>) -> Option<u32>) -> Vec<Held<T>> {
        let ranked = self.held.values().filter_map(|held| {
            let rank = rank(held)?;
            Some((rank, held.arrived_us, held.token))
        });
        let mut ranked: Vec<(u32, u64, u64)> = ranked.collect();
        ranked.sort_unstable();
        ranked.into_iter().filter_map(|(.., token)| self.remove(token)).collect()
    }

    /// Returns the time at which `expire` has something to do, or `u64::MAX`.
    pub fn next_due(&self) -> u64 {
        let due = self.held.values().map(|held| held.due_us(self.limits.hold_us));
        due.min().unwrap_or(u64::MAX)
    }

    /// Returns the number of held requests.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Returns true if no request is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }
}
