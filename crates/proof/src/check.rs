//! Checks a history against the eight invariants of the design page.
//!
//! The checker uses only what callers, upstreams and operators observed. It needs no access to the
//! system, and the order of the events does not matter. It accepts a history if at least one
//! explanation of it violates no invariant.

mod answer;
mod change;
mod index;
mod refusal;
mod start;
mod stop;

use displaydoc::Display;

use crate::history::Event;

pub use change::PROPAGATION_LIMIT_US;
pub use stop::DRAIN_LIMIT_US;

/// An invariant, by its number on the design page.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Invariant {
    /// 1: each task of a submission starts at most once
    OneStart = 1,
    /// 2: a job's response is complete or failed, never partial
    CompleteResponse = 2,
    /// 3: a caller gets the whole response to its own request
    OwnResponse = 3,
    /// 4: a refusal that says "not run" is true
    TrueRefusal = 4,
    /// 5: a non-idempotent request runs at most once
    OneRun = 5,
    /// 6: an upstream that is leaving receives no new work after a few seconds
    Leaving = 6,
    /// 7: a planned stop is graceful and interrupts no request in flight
    PlannedStop = 7,
    /// 8: an accepted configuration is in effect everywhere within seconds and never reverts
    Configuration = 8,
}

/// A violation of an invariant.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
#[displaydoc("invariant {invariant}: {what}")]
pub struct Violation {
    /// The violated invariant.
    pub invariant: Invariant,
    /// The affected work, process or service, and what was observed.
    pub what: String,
}

/// Returns all violations in a history, ordered by invariant.
pub fn violations(events: &[Event]) -> Vec<Violation> {
    let index = index::Index::new(events);
    let mut found = Vec::new();
    start::check(&index, &mut found);
    answer::check(&index, &mut found);
    refusal::check(&index, &mut found);
    stop::check(&index, &mut found);
    change::check(&index, &mut found);
    found.sort_by_key(|violation| violation.invariant);
    found
}

fn report(found: &mut Vec<Violation>, invariant: Invariant, what: impl Into<String>) {
    found.push(Violation { invariant, what: what.into() });
}
