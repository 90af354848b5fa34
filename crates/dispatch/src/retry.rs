//! Whether a request that was not run or failed is sent again.

use crate::code::{Code, Fate};

/// Seconds over which attempts and retries are counted.
pub const WINDOW_S: usize = 10;
/// Retries allowed for 100 first attempts.
pub const RETRY_PERCENT: u64 = 10;
/// Retries allowed within the window without any first attempt, so that a quiet service has some.
pub const BUDGET_FLOOR: u64 = 5;
/// Retries of one request.
pub const MAX_RETRIES: u32 = 2;

const SECOND_US: u64 = 1_000_000;

/// A request or task that may be sent again.
#[derive(Debug, Clone, Copy)]
pub struct Attempt {
    /// It is a single request of an idempotent kind, not a task of a job.
    pub idempotent: bool,
    /// Retries that it has had.
    pub retries: u32,
}

#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    second: u64,
    first: u64,
    retries: u64,
    ended: u64,
    succeeded: u64,
}

/// Budget of retries of one service at one entry; a fixed size of less than 500 bytes.
///
/// In any window there are at most `BUDGET_FLOOR` retries and `RETRY_PERCENT` of the first attempts, and the
/// percentage shrinks with the share of attempts that succeed: when everything fails, only the floor
/// is left.
#[derive(Debug, Default)]
pub struct Budget {
    buckets: [Bucket; WINDOW_S],
}

impl Budget {
    /// Makes an empty budget.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a first attempt.
    pub fn record_first(&mut self, now: u64) {
        self.bucket(now).first += 1;
    }

    /// Counts the end of any attempt, first or not.
    pub fn record_end(&mut self, succeeded: bool, now: u64) {
        let bucket = self.bucket(now);
        bucket.ended += 1;
        bucket.succeeded += u64::from(succeeded);
    }

    /// True if the attempt that ended with this code may be sent again now; it is then counted.
    pub fn try_retry(&mut self, attempt: Attempt, code: Code, now: u64) -> bool {
        if attempt.retries >= MAX_RETRIES || !is_safe(attempt, code) {
            return false;
        }
        if self.spent(now) >= self.allowed(now) {
            return false;
        }
        self.bucket(now).retries += 1;
        true
    }

    fn allowed(&self, now: u64) -> u64 {
        let sum = |field: fn(&Bucket) -> u64| self.live(now).map(field).sum::<u64>();
        let earned = sum(|bucket| bucket.first) * RETRY_PERCENT / 100;
        let (ended, succeeded) = (sum(|bucket| bucket.ended), sum(|bucket| bucket.succeeded));
        BUDGET_FLOOR + (earned * succeeded).checked_div(ended).unwrap_or(earned)
    }

    fn spent(&self, now: u64) -> u64 {
        self.live(now).map(|bucket| bucket.retries).sum()
    }

    fn live(&self, now: u64) -> impl Iterator<Item = &Bucket> {
        let second = now / SECOND_US;
        let live = move |bucket: &&Bucket| bucket.second + WINDOW_S as u64 > second;
        self.buckets.iter().filter(live)
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

/// True if another attempt cannot run the work twice, and may have another result.
fn is_safe(attempt: Attempt, code: Code) -> bool {
    match code.fate() {
        Fate::NotRun => {
            matches!(code, Code::Busy | Code::Closing | Code::Fenced | Code::HomeUnreachable)
        }
        Fate::MayHaveRun => {
            attempt.idempotent
                && matches!(code, Code::UpstreamLost | Code::UpstreamTimeout | Code::HomeSilent)
        }
        Fate::Failed => attempt.idempotent && code == Code::TaskFailed,
        Fate::Complete => false,
    }
}
