//! The sidecar's lease at its upstream, which ends all runs there if it is not renewed.

use super::{
    run::{self, Outcome, Run, State},
    Phase, Supervisor, MAX_UPSTREAM_LEASE_US, SLOW_CLOCK_PERMILLE, STOP_US, UPSTREAM_LEASE_US,
};

/// Shortest remaining lease with which a start is sent while the lease cannot be renewed, in
/// milliseconds. With less, the run would probably expire with the lease.
const MIN_START_LEASE_MS: u64 = UPSTREAM_LEASE_US / 2000;

impl Supervisor {
    /// Returns whether a run is to end whose stop the upstream has not answered. The lease is not
    /// renewed meanwhile, so that the run ends with it if the stops do not arrive.
    pub(super) fn has_unanswered_stop(&self) -> bool {
        let is_unanswered =
            |run: &Run| matches!(run.state, State::Stopping { last_poll: None, .. });
        !self.unknown_runs.is_empty() || self.runs.values().any(is_unanswered)
    }

    /// Returns the deadline by which the next call renews the lease, in milliseconds on the
    /// upstream's clock; `None` while that clock is unknown.
    pub(super) fn renew_lease(&mut self, now_us: u64) -> Option<u64> {
        let deadline_ms = self.clock.at_ms(now_us)? + UPSTREAM_LEASE_US / 1000;
        self.extend_lease(UPSTREAM_LEASE_US, now_us);
        self.deadline_ms = self.deadline_ms.max(deadline_ms);
        Some(deadline_ms)
    }

    /// Returns the deadline for a start. While a stop is unanswered it is the present end of the
    /// lease; `None` if that is too near.
    pub(super) fn start_deadline_ms(&mut self, now_us: u64) -> Option<u64> {
        if !self.has_unanswered_stop() {
            return self.renew_lease(now_us);
        }
        (!self.is_lease_expiring(now_us)).then_some(self.deadline_ms)
    }

    /// Returns whether the lease cannot be renewed and is about to expire, or has expired.
    pub(super) fn is_lease_expiring(&self, now_us: u64) -> bool {
        let is_near = |clock_ms| self.deadline_ms < clock_ms + MIN_START_LEASE_MS;
        self.has_unanswered_stop() && self.clock.at_ms(now_us).is_none_or(is_near)
    }

    /// Records the latest time by which the upstream has ended all runs if it receives nothing
    /// more: after a lease from now, measured by a slow clock, and the time to stop the runs.
    pub(super) fn extend_lease(&mut self, lease_us: u64, now_us: u64) {
        let drift_us = lease_us * SLOW_CLOCK_PERMILLE / 1000;
        self.lease_end_us = self.lease_end_us.max(now_us + lease_us + drift_us + STOP_US);
    }

    /// Records that the upstream may have restarted: a call was not answered, or an answer has the
    /// clock of another incarnation. Until an answer shows which incarnation it is, nothing starts
    /// and no lease is renewed.
    pub(super) fn doubt_incarnation(&mut self, now_us: u64) {
        self.in_doubt = true;
        self.extend_lease(MAX_UPSTREAM_LEASE_US, now_us);
    }

    /// Ends runs that use capacity as lost, if they match. To be called only when the upstream has
    /// certainly ended them.
    pub(super) fn mark_lost(&mut self, matches: impl Fn(&Run) -> bool, now_us: u64) {
        let is_lost = |run: &Run| run.uses_capacity() && matches(run);
        let keys: Vec<run::Key> =
            self.runs.iter().filter(|(_, run)| is_lost(run)).map(|(key, _)| key).collect();
        for key in keys {
            self.end_run(key, Outcome::Lost, now_us);
        }
    }

    /// Ends the runs of an upstream that does not answer and whose lease has expired.
    pub(super) fn expire_lease(&mut self, now_us: u64) {
        let lease_end_us = self.lease_end_us;
        if self.missed_polls == 0 || now_us < lease_end_us {
            return;
        }
        self.mark_lost(|run| run.has_expired(lease_end_us, now_us), now_us);
        self.phase = Phase::Unknown;
    }
}
