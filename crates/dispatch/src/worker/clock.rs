//! Estimate of an upstream's clock.

/// Estimate of another process's clock. It lags by the age of each reading on arrival, so it is
/// never ahead of that clock except for drift since the last reading.
#[derive(Debug, Clone, Copy, Default)]
pub struct Clock {
    reading: Option<(u64, u64)>,
}

impl Clock {
    /// Records a reading of the other clock that arrived at `now_us`.
    ///
    /// A reading behind the estimate by at most `MAX_DRIFT_MS` is taken as delayed and ignored.
    pub fn record(&mut self, clock_ms: u64, now_us: u64) {
        let newer = match self.at_ms(now_us) {
            Some(estimate) => clock_ms >= estimate || estimate - clock_ms > MAX_DRIFT_MS,
            None => true,
        };
        if newer {
            self.reading = Some((clock_ms, now_us));
        }
    }

    /// Returns the estimated time on the other clock, in milliseconds; `None` before the first
    /// reading.
    pub fn at_ms(&self, now_us: u64) -> Option<u64> {
        let (clock_ms, read_us) = self.reading?;
        Some(clock_ms + now_us.saturating_sub(read_us) / 1000)
    }
}

/// Difference above which a reading behind the estimate replaces it, in milliseconds: either the
/// other clock runs slow, or the answer that carried the reading was slow to arrive.
const MAX_DRIFT_MS: u64 = 20;
