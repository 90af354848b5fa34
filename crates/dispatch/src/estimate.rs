//! Learned run times and rates.

/// Run time assumed before the first run, in microseconds.
const PRIOR_US: f32 = 300_000.0;
/// A run counts for at most this many times the mean, so that a hanging task does not move it much.
const OUTLIER_FACTOR: f32 = 16.0;
/// Runs over which a mean is averaged.
const MEMORY: u32 = 256;
/// Groups of declared run times; the first is for work without one.
pub const BANDS: usize = 8;
/// Upper end of the lowest group of declared run times, in milliseconds; each is four times as wide
/// as the one before.
const LOWEST_BAND_MS: u32 = 16;
/// Runs after which an estimate is used, of a kind or of a group's own.
const LEARNED_RUNS: u32 = 16;
/// Time constant of a rate, in microseconds. Over 1 s, rates of about 30 a second vary by a fifth.
const RATE_US: f32 = 3_000_000.0;

/// Mean run time, in which old runs lose weight and outliers are limited.
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
    /// Adds a run, in microseconds.
    pub fn record(&mut self, run_us: u32) {
        self.runs = (self.runs + 1).min(MEMORY);
        let limited_us = (run_us as f32).min(self.mean_us * OUTLIER_FACTOR).max(1.0);
        self.mean_us += (limited_us - self.mean_us) / self.runs as f32;
    }

    /// Mean run time in microseconds.
    pub fn mean_us(&self) -> u32 {
        self.mean_us as u32
    }
}

/// Group of a declared run time.
pub fn band(declared_ms: Option<u32>) -> u8 {
    let Some(declared_ms) = declared_ms else {
        return 0;
    };
    let mut band = 1;
    let mut limit_ms = LOWEST_BAND_MS;
    while declared_ms >= limit_ms && usize::from(band) < BANDS - 1 {
        band += 1;
        limit_ms *= 4;
    }
    band
}

/// Run times of one kind: of all runs, and by what was declared.
///
/// Callers' declarations are often far off. They are only a feature by which run times are learned:
/// a group of declarations that says nothing has the same mean as the others.
#[derive(Debug, Clone, Default)]
pub struct Runs {
    /// All runs of the kind.
    pub all: Estimate,
    bands: [Estimate; BANDS],
}

impl Runs {
    /// Adds a run of a group, in microseconds.
    pub fn record(&mut self, band: u8, run_us: u32) {
        self.all.record(run_us);
        self.bands[usize::from(band)].record(run_us);
    }

    /// True once enough runs have ended to tell how long others take.
    pub fn is_learned(&self) -> bool {
        self.all.runs >= LEARNED_RUNS
    }

    /// Mean run time of a group in microseconds; of the kind until the group has had enough runs.
    pub fn mean_us(&self, band: u8) -> u32 {
        let band = &self.bands[usize::from(band)];
        if band.runs < LEARNED_RUNS {
            return self.all.mean_us();
        }
        band.mean_us()
    }
}

/// Events a second, averaged over a few seconds.
#[derive(Debug, Clone, Copy, Default)]
pub struct Rate {
    count: f32,
    at_us: u64,
}

impl Rate {
    /// Counts one event.
    pub fn record(&mut self, now_us: u64) {
        self.count = self.decayed(now_us) + 1.0;
        self.at_us = now_us;
    }

    /// Events a second.
    pub fn per_second(&self, now_us: u64) -> f32 {
        self.decayed(now_us) * 1_000_000.0 / RATE_US
    }

    /// Events a second since a time from which all were counted. Without this the time before it would
    /// count as time without events.
    pub fn per_second_since(&self, since_us: u64, now_us: u64) -> f32 {
        let age_us = now_us.saturating_sub(since_us).max(1) as f32;
        self.per_second(now_us) / (1.0 - (-age_us / RATE_US).exp())
    }

    fn decayed(&self, now_us: u64) -> f32 {
        let age_us = now_us.saturating_sub(self.at_us) as f32;
        self.count * (-age_us / RATE_US).exp()
    }
}
