//! Slowness of a worker, overall and by kind of work, as measured by its runs.

/// Lower bound of a single measurement of slowness.
const MIN_RATIO: f64 = 0.3;
/// Upper bound of a single measurement of slowness.
const MAX_RATIO: f64 = 10.0;
/// Time after the last measurement from which a slowness decays, in microseconds. A worker that
/// runs tasks is measured several times in it, so a lasting difference is not forgotten.
const HOLD_US: u64 = 2_000_000;
/// Time in which the deviation of a slowness from 1 then decays to about a third, in microseconds.
const DECAY_US: f64 = 4_000_000.0;
/// Number of measurements of a kind at which its own slowness counts as much as the overall one.
const EQUAL_COUNT: f64 = 16.0;
/// Most measurements of a kind that count.
const MAX_COUNT: f64 = 64.0;
/// Number of kinds with their own slowness. Work of others uses the overall one, so that the names
/// that callers choose do not take memory at each worker.
const MAX_KINDS: usize = 16;

/// Slowness: run time of tasks as a multiple of the expected one.
#[derive(Debug, Clone, Copy)]
struct Ratio {
    value: f64,
    count: f64,
    measured_us: u64,
}

impl Ratio {
    /// Returns the slowness 1 without measurements.
    fn usual(now_us: u64) -> Self {
        Self { value: 1.0, count: 0.0, measured_us: now_us }
    }

    /// Returns the slowness, which decays to 1 so that a worker that was slow is tried again.
    fn at(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.measured_us).saturating_sub(HOLD_US);
        match age_us {
            0 => self.value,
            _ => 1.0 + (self.value - 1.0) * (-(age_us as f64) / DECAY_US).exp(),
        }
    }

    /// Records a measurement.
    fn record(&mut self, ratio: f64, weight: f64, now_us: u64) {
        let value = self.at(now_us);
        self.value = value + (ratio - value) * weight;
        self.count = (self.count + 1.0).min(MAX_COUNT);
        self.measured_us = now_us;
    }
}

/// Slowness of one worker.
#[derive(Debug)]
pub(super) struct Speed {
    overall: Ratio,
    /// By number of the kind.
    kinds: Vec<Ratio>,
}

impl Speed {
    /// Returns the usual speed.
    pub fn usual(now_us: u64) -> Self {
        Self { overall: Ratio::usual(now_us), kinds: Vec::new() }
    }

    /// Records a run time of a kind of work as a multiple of the expected one.
    pub fn record(&mut self, kind: usize, ratio: f64, weight: f64, now_us: u64) {
        let ratio = ratio.clamp(MIN_RATIO, MAX_RATIO);
        self.overall.record(ratio, weight, now_us);
        if kind < MAX_KINDS {
            while self.kinds.len() <= kind {
                self.kinds.push(Ratio::usual(now_us));
            }
            let overall = self.overall.at(now_us);
            let own = &mut self.kinds[kind];
            if own.count == 0.0 {
                own.value = overall;
            }
            own.record(ratio, weight, now_us);
        }
    }

    /// Returns the time of the last measurement, preferably of a kind of work, if there is one.
    pub fn measured_us(&self, kind: usize) -> Option<u64> {
        let own = self.kinds.get(kind).filter(|own| own.count > 0.0);
        own.or(Some(&self.overall).filter(|all| all.count > 0.0)).map(|ratio| ratio.measured_us)
    }

    /// Returns the slowness over all kinds of work.
    pub fn overall(&self, now_us: u64) -> f64 {
        self.overall.at(now_us)
    }

    /// Returns the slowness for a kind of work: its own by the number of its measurements, and the
    /// overall one.
    pub fn of_kind(&self, kind: usize, now_us: u64) -> f64 {
        let overall = self.overall.at(now_us);
        let Some(own) = self.kinds.get(kind).filter(|own| own.count > 0.0) else { return overall };
        let weight = own.count / (own.count + EQUAL_COUNT);
        overall + (own.at(now_us) - overall) * weight
    }
}
