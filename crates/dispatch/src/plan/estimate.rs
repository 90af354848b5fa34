//! Estimates of run times from completed tasks.

/// Weight of a new run time in the mean of its queue.
const MEAN_WEIGHT: f64 = 0.02;

/// Estimated run time of the tasks of one queue.
#[derive(Debug, Default)]
pub(super) struct Estimate {
    /// Number of the queue.
    pub kind: usize,
    /// Mean run time on a worker of average speed.
    mean_us: Option<f64>,
}

impl Estimate {
    /// Opens the estimate of the queue with this number.
    pub fn open(kind: usize) -> Self {
        Self { kind, mean_us: None }
    }

    /// Records the run time of a task that was completed on a worker of this slowness.
    pub fn record(&mut self, ran_us: u64, slowness: f64) {
        let ran = ran_us as f64 / slowness;
        let mean = self.mean_us.get_or_insert(ran);
        *mean += (ran - *mean) * MEAN_WEIGHT;
    }

    /// Returns the expected run time of a task, in microseconds. Declared run times are off by up
    /// to half, so the declaration has the same weight as the mean of the queue.
    pub fn expected_run_us(&self, declared_us: u64) -> u64 {
        match self.mean_us {
            Some(mean) if declared_us > 0 => (mean * declared_us as f64).sqrt() as u64,
            Some(mean) => mean as u64,
            None => declared_us,
        }
    }
}
