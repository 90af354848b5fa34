//! Tables of jobs and work by cause and by time.

use std::{
    collections::{BTreeMap, HashMap},
    fmt,
};

use super::{Cause, Window};

/// Jobs and work by cause, and the work that the capacity would have allowed.
#[derive(Debug, Clone)]
pub struct Report {
    /// By cause: number of jobs, and their work in core-seconds.
    pub causes: BTreeMap<Cause, (u64, f64)>,
    /// Windows in the order of time, each with its start in seconds after that of the first.
    pub windows: Vec<(f64, Window)>,
}

impl Report {
    pub(super) fn new(
        causes: HashMap<Cause, (u64, f64)>,
        windows: HashMap<u64, Window>,
        window_us: u64,
    ) -> Self {
        let sorted: BTreeMap<u64, Window> = windows.into_iter().collect();
        let first = sorted.keys().next().copied().unwrap_or(0);
        let windows = sorted
            .into_iter()
            .map(|(index, window)| ((index - first) as f64 * window_us as f64 / 1e6, window))
            .collect();
        Self { causes: causes.into_iter().collect(), windows }
    }

    /// Returns the share of the requested work that was done in time.
    pub fn in_time(&self) -> f64 {
        self.share(|window| window.in_time)
    }

    /// Returns an estimate of the highest share of the requested work that any policy could have
    /// done, with every core busy and only small jobs. Does not count work that waits from one
    /// window to the next.
    pub fn upper_bound(&self) -> f64 {
        self.share(|window| window.requested.min(window.capacity))
    }

    fn share(&self, work: impl Fn(&Window) -> f64) -> f64 {
        let requested: f64 = self.windows.iter().map(|(_, window)| window.requested).sum();
        let counted: f64 = self.windows.iter().map(|(_, window)| work(window)).sum();
        counted / requested.max(f64::MIN_POSITIVE)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let requested: f64 = self.causes.values().map(|(_, work)| work).sum();
        writeln!(f, "{:<20} {:>8} {:>12} {:>7}", "cause", "jobs", "core-seconds", "share")?;
        for (cause, (jobs, work)) in &self.causes {
            let share = work / requested.max(f64::MIN_POSITIVE);
            writeln!(f, "{:<20} {jobs:>8} {work:>12.1} {share:>7.4}", format!("{cause:?}"))?;
        }
        writeln!(f, "in time {:.4}, room would hold {:.4}", self.in_time(), self.upper_bound())?;
        writeln!(f, "{:>8} {:>8} {:>8} {:>8} {:>8}", "second", "asked", "in time", "busy", "room")?;
        for (second, Window { requested, in_time, busy, capacity }) in &self.windows {
            writeln!(
                f,
                "{second:>8.1} {requested:>8.1} {in_time:>8.1} {busy:>8.1} {capacity:>8.1}"
            )?;
        }
        Ok(())
    }
}
