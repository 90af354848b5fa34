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
        let is_ahead = self.at_ms(now_us).is_none_or(|estimate| clock_ms >= estimate);
        if is_ahead || self.is_behind(clock_ms, now_us) {
            self.reading = Some((clock_ms, now_us));
        }
    }

    /// Returns whether a reading that arrived at `now_us` is too far behind the estimate for a slow
    /// answer.
    pub fn is_behind(&self, clock_ms: u64, now_us: u64) -> bool {
        self.at_ms(now_us).is_some_and(|estimate| clock_ms + MAX_DRIFT_MS < estimate)
    }

    /// Returns the estimated time on the other clock, in milliseconds; `None` before the first
    /// reading.
    pub fn at_ms(&self, now_us: u64) -> Option<u64> {
        let (clock_ms, read_us) = self.reading?;
        Some(clock_ms + now_us.saturating_sub(read_us) / 1000)
    }
}

/// Largest difference, in milliseconds, for which a reading behind the estimate is attributed to a
/// slow answer and ignored. A reading further behind replaces the estimate, as the other clock may
/// run slow.
const MAX_DRIFT_MS: u64 = 20;
