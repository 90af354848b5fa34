//! Estimates of run times and event rates from observed values.

/// Run time assumed before any run has been recorded, in microseconds.
const PRIOR_US: f32 = 300_000.0;
/// Limit on a recorded run time, as a multiple of the mean, so that a hanging task barely shifts
/// it.
const OUTLIER_FACTOR: f32 = 16.0;
/// Number of runs after which each new run has a constant weight in the mean.
const WINDOW_RUNS: u32 = 256;
/// Number of buckets for declared run times. The first holds work without a declaration.
pub const BUCKETS: usize = 8;
/// Upper bound of the lowest bucket of declared run times, in milliseconds. The bound of each
/// further bucket is four times the previous one.
const LOWEST_BUCKET_MS: u32 = 16;
/// Number of runs after which the estimate of a kind or of a single bucket is used.
const LEARNED_RUNS: u32 = 16;
/// Time constant of the decay of rates, in microseconds. With 1 s, rates of about 30 per second
/// would fluctuate by a fifth.
const RATE_DECAY_US: f32 = 3_000_000.0;

/// Mean run time that gives older runs less weight and clamps outliers.
#[derive(Debug, Clone, Copy)]
pub struct Estimate {
    runs: u32,
    mean_us: f32,
}

impl Default for Estimate {
    fn default() -> Self {
        Self { runs: 0, mean_us: PRIOR_US }
    }
}

impl Estimate {
    /// Records the duration of a run, in microseconds.
    pub fn record(&mut self, run_us: u32) {
        self.runs = (self.runs + 1).min(WINDOW_RUNS);
        let limited_us = (run_us as f32).min(self.mean_us * OUTLIER_FACTOR).max(1.0);
        self.mean_us += (limited_us - self.mean_us) / self.runs as f32;
    }

    /// Returns the mean run time, in microseconds.
    pub fn mean_us(&self) -> u32 {
        self.mean_us as u32
    }
}

/// Returns the bucket of a declared run time.
pub fn bucket(declared_ms: Option<u32>) -> u8 {
    let Some(declared_ms) = declared_ms else {
        return 0;
    };
    let mut bucket = 1;
    let mut limit_ms = LOWEST_BUCKET_MS;
    while declared_ms >= limit_ms && usize::from(bucket) < BUCKETS - 1 {
        bucket += 1;
        limit_ms *= 4;
    }
    bucket
}

/// Run times of one kind, both overall and by bucket of the declared run time.
///
/// Callers' declarations are often far off, so they only classify the runs from which the actual
/// run times are learned. If declarations carry no information, all buckets converge to the same
/// mean.
#[derive(Debug, Clone, Default)]
pub struct Durations {
    /// All runs of the kind.
    pub all: Estimate,
    buckets: [Estimate; BUCKETS],
}

impl Durations {
    /// Records the duration of a run in a bucket, in microseconds.
    pub fn record(&mut self, bucket: u8, run_us: u32) {
        self.all.record(run_us);
        self.buckets[usize::from(bucket)].record(run_us);
    }

    /// Returns true once enough runs were recorded to predict the duration of others.
    pub fn is_learned(&self) -> bool {
        self.all.runs >= LEARNED_RUNS
    }

    /// Returns the mean run time of a bucket, in microseconds. Falls back to the mean of the kind
    /// until the bucket has enough runs.
    pub fn mean_us(&self, bucket: u8) -> u32 {
        let bucket = &self.buckets[usize::from(bucket)];
        if bucket.runs < LEARNED_RUNS {
            return self.all.mean_us();
        }
        bucket.mean_us()
    }
}

/// Rate of events, averaged over a few seconds with exponential decay.
#[derive(Debug, Clone, Copy, Default)]
pub struct Rate {
    count: f32,
    at_us: u64,
}

impl Rate {
    /// Records one event.
    pub fn record(&mut self, now_us: u64) {
        self.count = self.decayed(now_us) + 1.0;
        self.at_us = now_us;
    }

    /// Returns the number of events per second.
    pub fn per_second(&self, now_us: u64) -> f32 {
        self.decayed(now_us) * 1_000_000.0 / RATE_DECAY_US
    }

    /// Returns the number of events per second since recording began at `since_us`. `per_second`
    /// would treat the time before that as time without events.
    pub fn per_second_since(&self, since_us: u64, now_us: u64) -> f32 {
        let age_us = now_us.saturating_sub(since_us).max(1) as f32;
        self.per_second(now_us) / (1.0 - (-age_us / RATE_DECAY_US).exp())
    }

    fn decayed(&self, now_us: u64) -> f32 {
        let age_us = now_us.saturating_sub(self.at_us) as f32;
        self.count * (-age_us / RATE_DECAY_US).exp()
    }
}
