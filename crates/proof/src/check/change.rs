//! Checks invariant 8: an accepted configuration takes effect everywhere and never reverts.

use std::collections::BTreeMap;

use super::{index::Index, report, Invariant, Violation};
use crate::history::Event;

/// Maximum time from the acceptance of a change until it is in effect everywhere, in microseconds.
pub const PROPAGATION_LIMIT_US: u64 = 9_000_000;

/// The revision that a process reported, as in `Event::Observed`.
struct Observation<'a> {
    asked_us: u64,
    at_us: u64,
    process: &'a str,
    service: &'a str,
    revision: u64,
}

pub(super) fn check(index: &Index<'_>, found: &mut Vec<Violation>) {
    let mut observed = observations(index.events);
    observed.sort_by_key(|observation| observation.asked_us);
    check_unique(index.events, found);
    check_effect(index.events, &observed, found);
    check_monotonic(&observed, found);
}

fn observations(events: &[Event]) -> Vec<Observation<'_>> {
    let observed = events.iter().filter_map(|event| match event {
        Event::Observed { asked_us, at_us, process, service, revision } => Some(Observation {
            asked_us: *asked_us,
            at_us: *at_us,
            process,
            service,
            revision: *revision,
        }),
        _ => None,
    });
    observed.collect()
}

/// Reports two accepted changes with the same revision: one of them overwrote the other.
fn check_unique(events: &[Event], found: &mut Vec<Violation>) {
    let mut changes = BTreeMap::<(&str, u64), &str>::new();
    for event in events {
        let Event::Accepted { service, revision, change, .. } = event else { continue };
        let first = changes.entry((service, *revision)).or_insert(change);
        if first != change {
            let what = format!("{service} revision {revision} is both {first} and {change}");
            report(found, Invariant::Configuration, what);
        }
    }
}

/// Reports processes that have an older revision in effect after the time limit of a change.
fn check_effect(events: &[Event], observed: &[Observation<'_>], found: &mut Vec<Violation>) {
    let outages = outages(events);
    for event in events {
        let Event::Accepted { at_us, service, revision, .. } = event else { continue };
        let due_us = due_us(*at_us, &outages);
        let late = observed.iter().filter(|o| o.service == service && o.asked_us >= due_us);
        for observation in late.filter(|o| o.revision < *revision) {
            let (process, has) = (observation.process, observation.revision);
            let after_ms = (observation.asked_us - at_us) / 1_000;
            let what = format!(
                "{process} has revision {has} of {service} {after_ms} ms after {revision} was accepted"
            );
            report(found, Invariant::Configuration, what);
        }
    }
}

/// Returns the start and end of each store outage; one without an end lasts for ever.
fn outages(events: &[Event]) -> Vec<(u64, u64)> {
    let downs = events.iter().filter_map(|event| match event {
        Event::StoreDown { at_us } => Some(*at_us),
        _ => None,
    });
    let up_after = |down_us: u64| {
        let ups = events.iter().filter_map(|event| match event {
            Event::StoreUp { at_us } if *at_us >= down_us => Some(*at_us),
            _ => None,
        });
        ups.min().unwrap_or(u64::MAX)
    };
    downs.map(|down_us| (down_us, up_after(down_us))).collect()
}

/// Returns the time at which a change must be in effect everywhere. A store outage within the time
/// limit restarts the limit at the end of the outage.
fn due_us(accepted_us: u64, outages: &[(u64, u64)]) -> u64 {
    let mut due_us = accepted_us + PROPAGATION_LIMIT_US;
    let mut ordered = outages.to_vec();
    ordered.sort_unstable();
    for (down_us, up_us) in ordered {
        if down_us < due_us && up_us > accepted_us {
            due_us = due_us.max(up_us.saturating_add(PROPAGATION_LIMIT_US));
        }
    }
    due_us
}

/// Reports a process that has a lower revision than before, also after a restart. Revision 0 is no
/// reversal: a process without a configuration refuses work.
fn check_monotonic(observed: &[Observation<'_>], found: &mut Vec<Violation>) {
    for (position, later) in observed.iter().enumerate() {
        let earlier = observed[..position].iter().filter(|o| {
            (o.process, o.service) == (later.process, later.service) && o.at_us <= later.asked_us
        });
        let highest = earlier.map(|o| o.revision).max().unwrap_or(0);
        if later.revision != 0 && later.revision < highest {
            let Observation { process, service, revision, .. } = later;
            let what =
                format!("{process} went back from revision {highest} of {service} to {revision}");
            report(found, Invariant::Configuration, what);
        }
    }
}
