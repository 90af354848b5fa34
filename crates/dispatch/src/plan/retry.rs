//! Times after which refused callers are asked to retry.

use std::sync::Arc;

use super::Planner;
use crate::hold;

/// Least expected time until capacity is back, in microseconds. It spreads the retries of callers
/// that are refused while little work waits.
const MIN_EXPECTED_US: u64 = 100_000;
/// Expected time until capacity is back when no worker is known, in microseconds: the time in which
/// sidecars connect to an entry that has restarted.
const NO_WORKER_US: u64 = 500_000;
/// Time for which an expected wait is used again, in microseconds. Many jobs are refused at once
/// when an entry stops, and the queue is read for each computation.
const REUSE_US: u64 = 10_000;

/// Expected time until the waiting work of a service is done, and the time of its computation.
#[derive(Debug, Clone, Copy)]
pub(super) struct Wait {
    computed_us: u64,
    expected_us: u64,
}

impl Planner {
    /// Returns a random time after which the caller of a refused job of a service may retry, spread
    /// around the time at which capacity is expected back.
    pub(super) fn retry_ms(&mut self, service: &Arc<str>, now_us: u64) -> u64 {
        let known = self.waits.get(service).filter(|wait| now_us < wait.computed_us + REUSE_US);
        let expected_us = match known {
            Some(wait) => wait.expected_us,
            None => {
                let expected_us = self.expected_wait_us(service).unwrap_or(NO_WORKER_US);
                let wait = Wait { computed_us: now_us, expected_us };
                self.waits.insert(service.clone(), wait);
                expected_us
            }
        };
        hold::retry_ms(expected_us.max(MIN_EXPECTED_US), &mut self.random)
    }
}
