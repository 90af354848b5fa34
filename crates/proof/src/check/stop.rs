//! Checks invariants 6 and 7: leaving upstreams and planned stops.

use kingcup_dispatch::code::{Code, Execution};

use super::{
    index::{End, Index, Stop, Submission},
    report, Invariant, Violation,
};
use crate::history::Event;

/// How long a leaving upstream may still receive new work, in microseconds.
pub const DRAIN_LIMIT_US: u64 = 3_000_000;

pub(super) fn check(index: &Index<'_>, found: &mut Vec<Violation>) {
    check_leaving(index, found);
    for stop in &index.stops {
        check_exit(stop, found);
        check_in_flight(index, stop, found);
        check_running(index, stop, found);
    }
}

/// Reports starts at a leaving upstream after the time limit and before it joined again.
fn check_leaving(index: &Index<'_>, found: &mut Vec<Violation>) {
    for event in index.events {
        let Event::Leaving { at_us, upstream } = event else { continue };
        let joined_us = index.events.iter().filter_map(|event| match event {
            Event::Joined { at_us: joined_us, upstream: name } if name == upstream => {
                Some(*joined_us)
            }
            _ => None,
        });
        let rejoined_us = joined_us.filter(|joined_us| joined_us > at_us).min().unwrap_or(u64::MAX);
        let forbidden = at_us + DRAIN_LIMIT_US..rejoined_us;
        for (name, work) in &index.work {
            let runs = work.runs.iter().filter(|run| run.upstream == upstream);
            for run in runs.filter(|run| forbidden.contains(&run.start_us)) {
                let after_ms = (run.start_us - at_us) / 1_000;
                let what =
                    format!("{upstream} received {name} task {} after {after_ms} ms", run.task);
                report(found, Invariant::Leaving, what);
            }
        }
    }
}

/// Reports a stopped process that did not end, or not with exit code 0.
fn check_exit(stop: &Stop<'_>, found: &mut Vec<Violation>) {
    match stop.ended {
        Some((_, Some(0))) => {}
        Some((_, code)) => {
            let what = format!("{} ended with {code:?} after it was asked to stop", stop.process);
            report(found, Invariant::PlannedStop, what);
        }
        None => {
            let what = format!("{} did not end after it was asked to stop", stop.process);
            report(found, Invariant::PlannedStop, what);
        }
    }
}

/// Reports attempts in flight at the start of a stop that the stop interrupted.
///
/// After an unplanned fault a failed attempt has another possible cause, so attempts that ended
/// after one are not checked.
fn check_in_flight(index: &Index<'_>, stop: &Stop<'_>, found: &mut Vec<Violation>) {
    for (name, work) in &index.work {
        for submission in
            work.submissions.iter().filter(|submission| submission.sent_us < stop.at_us)
        {
            let Some((end_us, result)) = interruption(submission, stop) else { continue };
            if end_us < stop.at_us || index.has_fault_by(end_us) {
                continue;
            }
            let number = submission.attempt.number;
            let what = format!("{name} attempt {number}: {result} when {} stopped", stop.process);
            report(found, Invariant::PlannedStop, what);
        }
    }
}

/// Returns the time and a description of the end of an attempt that the stop can have interrupted.
fn interruption(submission: &Submission<'_>, stop: &Stop<'_>) -> Option<(u64, String)> {
    let same_process = submission.attempt.process == stop.process;
    match submission.end {
        End::Broken(at_us) if same_process => Some((at_us, "connection lost".to_owned())),
        End::Answered(at_us, response) => {
            let code = response.code;
            let lost = code.execution() == Execution::MayHaveRun && code != Code::InProgress;
            let refused = code == Code::Closing && same_process;
            (lost || refused).then(|| (at_us, format!("answered \"{code}\"")))
        }
        _ => None,
    }
}

/// Reports tasks at the upstream of a stopped sidecar that still ran when the sidecar ended.
fn check_running(index: &Index<'_>, stop: &Stop<'_>, found: &mut Vec<Violation>) {
    let (Some(upstream), Some((stopped_us, _))) = (stop.upstream, stop.ended) else { return };
    if index.has_fault_by(stopped_us) {
        return;
    }
    for (name, work) in &index.work {
        let runs = work.runs.iter().filter(|run| run.upstream == upstream);
        let started = runs
            .filter(|run| run.start_us < stopped_us && run.start_us + DRAIN_LIMIT_US > stop.at_us);
        for run in started.filter(|run| run.end_us.is_none_or(|end_us| end_us > stopped_us)) {
            let what = format!("{name} task {} still ran when {} ended", run.task, stop.process);
            report(found, Invariant::PlannedStop, what);
        }
    }
}
