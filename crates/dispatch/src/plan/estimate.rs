//! Run times learned from ends.

/// Weight of a new run time in the mean of its queue.
const MEAN_WEIGHT: f64 = 0.02;

/// Run time of a queue's tasks.
#[derive(Debug, Default)]
pub(super) struct Estimate {
    mean_us: Option<f64>,
}

impl Estimate {
    /// Takes the run time of a task that was completed on a worker of this slowness.
    pub fn learn(&mut self, ran_us: u64, slowness: f64) {
        let ran = ran_us as f64 / slowness;
        let mean = self.mean_us.get_or_insert(ran);
        *mean += (ran - *mean) * MEAN_WEIGHT;
    }

    /// Expected run time of a task, in microseconds. What callers declare is off by up to half, so it
    /// counts as much as the mean of the queue.
    pub fn expect_us(&self, declared_us: u64) -> u64 {
        match self.mean_us {
            Some(mean) if declared_us > 0 => (mean * declared_us as f64).sqrt() as u64,
            Some(mean) => mean as u64,
            None => declared_us,
        }
    }
}
