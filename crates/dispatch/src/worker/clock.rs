//! An upstream's clock as seen from the sidecar.

/// Estimate of another clock that is never ahead of it, but for its drift since the last reading.
#[derive(Debug, Clone, Copy, Default)]
pub struct Clock {
    reading: Option<(u64, u64)>,
}

impl Clock {
    /// Takes a reading that arrived at `now_us`.
    pub fn read(&mut self, clock_ms: u64, now_us: u64) {
        let newer = match self.at_ms(now_us) {
            Some(estimate) => clock_ms >= estimate || estimate - clock_ms > MAX_DRIFT_MS,
            None => true,
        };
        if newer {
            self.reading = Some((clock_ms, now_us));
        }
    }

    /// Time on the other clock, in milliseconds; `None` before the first reading.
    pub fn at_ms(&self, now_us: u64) -> Option<u64> {
        let (clock_ms, read_us) = self.reading?;
        Some(clock_ms + now_us.saturating_sub(read_us) / 1000)
    }
}

/// Difference at which an older estimate gives way to a reading that is behind it, in milliseconds:
/// the other clock is slow, or the answer that carried the reading was.
const MAX_DRIFT_MS: u64 = 20;
