//! Whether a whole job is accepted or refused.

use crate::code::Code;

/// Shortest suggested wait before another try, in milliseconds.
const RETRY_LOW_MS: f32 = 50.0;
/// Longest suggested wait before another try, in milliseconds.
const RETRY_HIGH_MS: f32 = 30_000.0;

/// Part of the deadline that the estimated wait may take. Service varies, so that of the jobs
/// accepted up to the deadline itself a fifth would miss it.
const DEADLINE_PART: f32 = 0.6;

/// What a job asks of a kind's queue, and the queue's state.
#[derive(Debug, Clone, Copy)]
pub struct Demand {
    /// Tasks of the job.
    pub tasks: u32,
    /// Tasks of the kind that wait already.
    pub waiting: u32,
    /// Bound on waiting tasks.
    pub max_waiting: u32,
    /// Slots that are free and may be used by the kind.
    pub free_slots: u32,
    /// Starts a second that the kind can count on at this entry.
    pub starts_per_s: f32,
    /// False while the rate rests on a run time that is assumed.
    pub rate_known: bool,
    /// Longest time from acceptance to start, in milliseconds.
    pub deadline_ms: u32,
}

/// Acceptance or refusal of a job.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Verdict {
    /// The job is accepted.
    Accept,
    /// It is refused; trying again makes sense after about so many milliseconds.
    Refuse {
        /// Why.
        code: Code,
        /// Time until the obstacle should be gone, not jittered.
        after_ms: f32,
    },
}

impl Demand {
    /// Estimated time until the job's last task starts, in milliseconds.
    pub fn wait_ms(&self) -> f32 {
        let queued = (self.waiting + self.tasks).saturating_sub(self.free_slots);
        if queued == 0 {
            return 0.0;
        }
        queued as f32 * 1_000.0 / self.starts_per_s.max(0.001)
    }

    /// Judges the job.
    pub fn decide(&self) -> Verdict {
        let wait_ms = self.wait_ms();
        let queued = (self.waiting + self.tasks).saturating_sub(self.free_slots);
        if queued > self.max_waiting {
            let excess = queued - self.max_waiting;
            let after_ms = excess as f32 * 1_000.0 / self.starts_per_s.max(0.001);
            return Verdict::Refuse { code: Code::QueueFull, after_ms };
        }
        let limit_ms = self.deadline_ms as f32 * DEADLINE_PART;
        // A refusal has to rest on what is known; the bound on waiting tasks holds all the same.
        if self.rate_known && wait_ms > limit_ms {
            let after_ms = wait_ms - limit_ms;
            return Verdict::Refuse { code: Code::DeadlineUnreachable, after_ms };
        }
        Verdict::Accept
    }
}

/// Suggested wait with jitter, in milliseconds, so that refused callers do not return together.
pub fn retry_ms(after_ms: f32, rng: &mut fastrand::Rng) -> u32 {
    let bounded_ms = after_ms.clamp(RETRY_LOW_MS, RETRY_HIGH_MS);
    (bounded_ms * (0.75 + rng.f32() * 0.5)) as u32
}
