//! Retry budget: decides whether a request that was not run or failed is sent again.

use crate::code::{Code, Execution};

/// Length of the window over which attempts and retries are counted, in seconds.
pub const WINDOW_S: usize = 10;
/// Number of retries allowed per 100 first attempts.
pub const RETRY_PERCENT: u64 = 10;
/// Number of retries allowed within the window without any first attempt, so that a service with
/// little traffic can retry too.
pub const BUDGET_FLOOR: u64 = 5;
/// Limit on the retries of one request.
pub const MAX_RETRIES: u32 = 2;

const SECOND_US: u64 = 1_000_000;

/// A request or task that may be sent again.
#[derive(Debug, Clone, Copy)]
pub struct Attempt {
    /// True for a single request of an idempotent kind, false for a task of a job.
    pub idempotent: bool,
    /// Number of retries so far.
    pub retries: u32,
}

/// Counts of one second.
#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    second: u64,
    first: u64,
    retries: u64,
    ended: u64,
    succeeded: u64,
}

/// Retry budget of one service at one entry; its size is fixed and below 500 bytes.
///
/// Within any window it allows `BUDGET_FLOOR` retries plus `RETRY_PERCENT` of the first attempts.
/// The percentage is scaled by the ratio of attempts that succeed: when all fail, only the floor
/// remains.
#[derive(Debug, Default)]
pub struct Budget {
    buckets: [Bucket; WINDOW_S],
}

impl Budget {
    /// Creates a budget without counts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a first attempt.
    pub fn record_first(&mut self, now: u64) {
        self.bucket(now).first += 1;
    }

    /// Counts the end of an attempt, whether a first attempt or a retry.
    pub fn record_end(&mut self, succeeded: bool, now: u64) {
        let bucket = self.bucket(now);
        bucket.ended += 1;
        bucket.succeeded += u64::from(succeeded);
    }

    /// Returns true if the attempt that ended with this code may be sent again now, and counts the
    /// retry in that case.
    pub fn try_retry(&mut self, attempt: Attempt, code: Code, now: u64) -> bool {
        if attempt.retries >= MAX_RETRIES || !is_safe(attempt, code) {
            return false;
        }
        if self.used(now) >= self.allowed(now) {
            return false;
        }
        self.bucket(now).retries += 1;
        true
    }

    fn allowed(&self, now: u64) -> u64 {
        let sum = |field: fn(&Bucket) -> u64| self.recent(now).map(field).sum::<u64>();
        let earned = sum(|bucket| bucket.first) * RETRY_PERCENT / 100;
        let (ended, succeeded) = (sum(|bucket| bucket.ended), sum(|bucket| bucket.succeeded));
        BUDGET_FLOOR + (earned * succeeded).checked_div(ended).unwrap_or(earned)
    }

    fn used(&self, now: u64) -> u64 {
        self.recent(now).map(|bucket| bucket.retries).sum()
    }

    fn recent(&self, now: u64) -> impl Iterator<Item = &Bucket> {
        let second = now / SECOND_US;
        let is_recent = move |bucket: &&Bucket| bucket.second + WINDOW_S as u64 > second;
        self.buckets.iter().filter(is_recent)
    }

    fn bucket(&mut self, now: u64) -> &mut Bucket {
        let second = now / SECOND_US;
        let bucket = &mut self.buckets[second as usize % WINDOW_S];
        if bucket.second != second {
            *bucket = Bucket { second, ..Bucket::default() };
        }
        bucket
    }
}

/// Returns true if another attempt cannot run non-idempotent work twice and may have another
/// result.
fn is_safe(attempt: Attempt, code: Code) -> bool {
    match code.execution() {
        Execution::NotRun => {
            matches!(code, Code::Busy | Code::Closing | Code::Fenced | Code::HomeUnreachable)
        }
        Execution::MayHaveRun => {
            attempt.idempotent
                && matches!(code, Code::UpstreamLost | Code::UpstreamTimeout | Code::HomeSilent)
        }
        Execution::Failed => attempt.idempotent && code == Code::TaskFailed,
        Execution::Complete => false,
    }
}
