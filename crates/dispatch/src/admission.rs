//! Admission control: decides whether a whole job is accepted or refused.

use crate::code::Code;

/// Shortest suggested wait before a retry, in milliseconds.
const MIN_RETRY_MS: f32 = 50.0;
/// Longest suggested wait before a retry, in milliseconds.
const MAX_RETRY_MS: f32 = 30_000.0;

/// Fraction of the deadline that the estimated wait may take. Run times vary: if jobs were accepted
/// up to the deadline itself, a fifth of them would miss it.
const DEADLINE_FRACTION: f32 = 0.6;

/// Demand of a job on a kind's queue, and the state of that queue.
#[derive(Debug, Clone, Copy)]
pub struct Demand {
    /// Number of tasks of the job.
    pub tasks: u32,
    /// Number of tasks of the kind that wait already.
    pub waiting: u32,
    /// Limit on waiting tasks of the kind.
    pub max_waiting: u32,
    /// Number of free slots that the kind may use.
    pub free_slots: u32,
    /// Expected rate of starts of the kind at this entry, per second.
    pub starts_per_s: f32,
    /// False while the rate is based on an assumed run time.
    pub rate_known: bool,
    /// Longest time from acceptance to start, in milliseconds.
    pub deadline_ms: u32,
}

/// Decision on a job.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Verdict {
    /// The job is accepted.
    Accept,
    /// The job is refused; a retry may succeed after about `after_ms` milliseconds.
    Refuse {
        /// Reason for the refusal.
        code: Code,
        /// Expected time until the reason no longer applies, without jitter, in milliseconds.
        after_ms: f32,
    },
}

impl Demand {
    /// Returns the estimated time until the job's last task starts, in milliseconds.
    pub fn wait_ms(&self) -> f32 {
        let queued = (self.waiting + self.tasks).saturating_sub(self.free_slots);
        if queued == 0 {
            return 0.0;
        }
        queued as f32 * 1_000.0 / self.starts_per_s.max(0.001)
    }

    /// Decides whether to accept the job.
    pub fn decide(&self) -> Verdict {
        let wait_ms = self.wait_ms();
        let queued = (self.waiting + self.tasks).saturating_sub(self.free_slots);
        if queued > self.max_waiting {
            let excess = queued - self.max_waiting;
            let after_ms = excess as f32 * 1_000.0 / self.starts_per_s.max(0.001);
            return Verdict::Refuse { code: Code::QueueFull, after_ms };
        }
        let limit_ms = self.deadline_ms as f32 * DEADLINE_FRACTION;
        // A rate based on an assumed run time must not refuse a job. The limit on waiting tasks
        // above applies in any case.
        if self.rate_known && wait_ms > limit_ms {
            let after_ms = wait_ms - limit_ms;
            return Verdict::Refuse { code: Code::DeadlineUnreachable, after_ms };
        }
        Verdict::Accept
    }
}

/// Returns the suggested wait in milliseconds, jittered so that refused callers do not retry at the
/// same time.
pub fn retry_ms(after_ms: f32, rng: &mut fastrand::Rng) -> u32 {
    let bounded_ms = after_ms.clamp(MIN_RETRY_MS, MAX_RETRY_MS);
    (bounded_ms * (0.75 + rng.f32() * 0.5)) as u32
}
