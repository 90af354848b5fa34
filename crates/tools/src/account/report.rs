//! The account as tables.

use std::{
    collections::{BTreeMap, HashMap},
    fmt,
};

use super::{Cause, Span};

/// Jobs and work by cause, and the work that the room would have held.
#[derive(Debug, Clone)]
pub struct Report {
    /// By cause: jobs, and their work in core-seconds.
    pub causes: BTreeMap<Cause, (u64, f64)>,
    /// By time from the first: what was asked, done in time, and could have been done.
    pub spans: Vec<(f64, Span)>,
}

impl Report {
    pub(super) fn of(
        causes: HashMap<Cause, (u64, f64)>,
        spans: HashMap<u64, Span>,
        window_us: u64,
    ) -> Self {
        let sorted: BTreeMap<u64, Span> = spans.into_iter().collect();
        let first = sorted.keys().next().copied().unwrap_or(0);
        let spans = sorted
            .into_iter()
            .map(|(at, span)| ((at - first) as f64 * window_us as f64 / 1e6, span))
            .collect();
        Self { causes: causes.into_iter().collect(), spans }
    }

    /// Share of the work asked for that was done in time.
    pub fn in_time(&self) -> f64 {
        self.share(|span| span.in_time)
    }

    /// Share of the work asked for that any policy could have done, were every core busy and every job
    /// small. Work that waits from one span to the next is left out.
    pub fn bound(&self) -> f64 {
        self.share(|span| span.asked.min(span.room))
    }

    fn share(&self, part: impl Fn(&Span) -> f64) -> f64 {
        let asked: f64 = self.spans.iter().map(|(_, span)| span.asked).sum();
        let done: f64 = self.spans.iter().map(|(_, span)| part(span)).sum();
        done / asked.max(f64::MIN_POSITIVE)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let asked: f64 = self.causes.values().map(|(_, work)| work).sum();
        writeln!(f, "{:<20} {:>8} {:>12} {:>7}", "cause", "jobs", "core-seconds", "share")?;
        for (cause, (jobs, work)) in &self.causes {
            let share = work / asked.max(f64::MIN_POSITIVE);
            writeln!(f, "{:<20} {jobs:>8} {work:>12.1} {share:>7.4}", format!("{cause:?}"))?;
        }
        writeln!(f, "in time {:.4}, room would hold {:.4}", self.in_time(), self.bound())?;
        writeln!(f, "{:>8} {:>8} {:>8} {:>8} {:>8}", "second", "asked", "in time", "busy", "room")?;
        for (second, Span { asked, in_time, busy, room }) in &self.spans {
            writeln!(f, "{second:>8.1} {asked:>8.1} {in_time:>8.1} {busy:>8.1} {room:>8.1}")?;
        }
        Ok(())
    }
}
