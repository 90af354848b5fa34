//! Services without a worker that accepts work.

use std::{collections::HashMap, sync::Arc};

use super::{Planner, SETTLE_US};

/// Services that have no worker that accepts work.
#[derive(Debug, Default)]
pub(super) struct Absence {
    /// Time for which the workers of a service are expected back after their loss, in microseconds;
    /// 0 if they are not expected.
    hold_us: u64,
    /// Time at which the last worker of each service was lost, or at which it was noticed that none
    /// is known.
    since_us: HashMap<Arc<str>, u64>,
}

impl Absence {
    /// Returns whether workers are expected back after their loss.
    pub fn is_enabled(&self) -> bool {
        self.hold_us > 0
    }
}

impl Planner {
    /// Sets the time for which the workers of a service are expected back after all of them were
    /// lost, in microseconds. 0, the default, means that they are not, and also keeps the earlier
    /// rules on late jobs.
    pub fn set_hold(&mut self, hold_us: u64) {
        self.absence.hold_us = hold_us;
    }

    /// Returns whether no worker of a service accepts work, but some are expected back soon: they
    /// were lost as a whole, or found missing, a moment ago. Jobs of a service that has been
    /// without workers for longer are refused at once.
    pub fn expects_workers(&mut self, service: &Arc<str>, now_us: u64) -> bool {
        if self.absence.is_enabled() && !self.has_workers(service) {
            self.absence.since_us.entry(service.clone()).or_insert(now_us);
        }
        self.has_expected_workers(service, now_us)
    }

    /// Returns the same as `expects_workers`, without recording that workers are missing.
    pub(super) fn has_expected_workers(&self, service: &str, now_us: u64) -> bool {
        if !self.absence.is_enabled() || self.has_workers(service) {
            return false;
        }
        let since_us = self.absence.since_us.get(service).copied().unwrap_or(now_us);
        now_us < since_us + self.absence.hold_us
    }

    /// Returns true if a worker of a service accepts work.
    pub fn has_workers(&self, service: &str) -> bool {
        self.capacity(service).cores > 0
    }

    /// Records whether any worker of a service accepts work, after a change of one of them. The
    /// first worker that returns is not all of the capacity, so admission waits for the others.
    pub(super) fn note_absence(&mut self, service: &Arc<str>, now_us: u64) {
        if !self.absence.is_enabled() || service.is_empty() {
            return;
        }
        if !self.has_workers(service) {
            self.absence.since_us.entry(service.clone()).or_insert(now_us);
        } else if self.absence.since_us.remove(service).is_some() {
            self.settled_us = self.settled_us.max(now_us + SETTLE_US);
        }
    }
}
