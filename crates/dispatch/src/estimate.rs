//! Learned run times and rates.

/// Buckets of the histogram of run times; four per octave from `LOWEST_US`.
const BUCKETS: usize = 68;
/// Upper end of the lowest bucket, in microseconds.
const LOWEST_US: f32 = 1_000.0;
/// Growth of a sample's weight from one sample to the next; the newest 256 samples dominate.
const GROWTH: f32 = 1.0 + 1.0 / 256.0;
/// Weight at which all weights are scaled down, well inside the range of `f32`.
const WEIGHT_LIMIT: f32 = 1e20;
/// Run time assumed before the first run, in microseconds.
const PRIOR_US: f32 = 300_000.0;
/// Groups of declared run times; the first is for work without one.
pub const BANDS: usize = 8;
/// Upper end of the lowest group of declared run times, in milliseconds; each is four times as wide
/// as the one before.
const LOWEST_BAND_MS: u32 = 16;
/// Runs after which a group's own estimate is used.
const BAND_RUNS: u32 = 16;
/// Runs over which a group's mean is averaged.
const BAND_MEMORY: u32 = 256;
/// Time constant of a rate, in microseconds. Over 1 s, rates of about 30 a second vary by a fifth.
const RATE_US: f32 = 3_000_000.0;

/// Run time of one kind of work, as a histogram in which old samples lose weight.
#[derive(Debug, Clone)]
pub struct Estimate {
    weights: [f32; BUCKETS],
    total: f32,
    step: f32,
    mean_us: f32,
}

impl Default for Estimate {
    fn default() -> Self {
        let mut new = Self { weights: [0.0; BUCKETS], total: 0.0, step: 1.0, mean_us: PRIOR_US };
        new.add(PRIOR_US);
        new
    }
}

fn bucket(run_us: f32) -> usize {
    let index = (run_us / LOWEST_US).max(1.0).log2() * 4.0;
    (index as usize).min(BUCKETS - 1)
}

fn middle_us(bucket: usize) -> f32 {
    LOWEST_US * ((bucket as f32 + 0.5) / 4.0).exp2()
}

impl Estimate {
    /// Adds a run, in microseconds.
    pub fn record(&mut self, run_us: u32) {
        self.add(run_us as f32);
    }

    fn add(&mut self, run_us: f32) {
        let bucket = bucket(run_us);
        self.step *= GROWTH;
        self.weights[bucket] += self.step;
        let old = self.total;
        self.total += self.step;
        self.mean_us = (self.mean_us * old + middle_us(bucket) * self.step) / self.total;
        if self.step > WEIGHT_LIMIT {
            self.rescale();
        }
    }

    fn rescale(&mut self) {
        for weight in &mut self.weights {
            *weight /= WEIGHT_LIMIT;
        }
        self.total = self.weights.iter().sum();
        self.step /= WEIGHT_LIMIT;
    }

    /// Mean run time in microseconds. A run longer than the histogram counts as its last bucket.
    pub fn mean_us(&self) -> u32 {
        self.mean_us as u32
    }

    /// Run time in microseconds that the given fraction of runs does not exceed.
    pub fn quantile_us(&self, fraction: f32) -> u32 {
        let target = self.total * fraction;
        let mut sum = 0.0;
        for (index, weight) in self.weights.iter().enumerate() {
            sum += weight;
            if sum >= target && sum > 0.0 {
                return middle_us(index) as u32;
            }
        }
        middle_us(BUCKETS - 1) as u32
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
    bands: [Band; BANDS],
}

#[derive(Debug, Clone, Copy, Default)]
struct Band {
    runs: u32,
    mean_us: f32,
}

impl Runs {
    /// Adds a run of a group, in microseconds.
    pub fn record(&mut self, band: u8, run_us: u32) {
        self.all.record(run_us);
        let band = &mut self.bands[usize::from(band)];
        band.runs = (band.runs + 1).min(BAND_MEMORY);
        band.mean_us += (run_us as f32 - band.mean_us) / band.runs as f32;
    }

    /// Mean run time of a group in microseconds; of the kind until the group has had enough runs.
    pub fn mean_us(&self, band: u8) -> u32 {
        let band = &self.bands[usize::from(band)];
        if band.runs < BAND_RUNS {
            return self.all.mean_us();
        }
        band.mean_us as u32
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

    fn decayed(&self, now_us: u64) -> f32 {
        let age_us = now_us.saturating_sub(self.at_us) as f32;
        self.count * (-age_us / RATE_US).exp()
    }
}
