//! Invariants 6 and 7: upstreams that leave and processes that stop.

use kingcup_dispatch::code::{Code, Execution};

use super::{
    index::{End, Index, Stop, Try},
    report, Rule, Violation,
};
use crate::history::Event;

/// An upstream that is leaving may receive new work for this long, in microseconds.
pub const LEAVE_US: u64 = 3_000_000;

pub(super) fn check(index: &Index<'_>, found: &mut Vec<Violation>) {
    check_leaving(index, found);
    for stop in &index.stops {
        check_exit(stop, found);
        check_in_flight(index, stop, found);
        check_running(index, stop, found);
    }
}

fn check_leaving(index: &Index<'_>, found: &mut Vec<Violation>) {
    for event in index.events {
        let Event::Leaving { at_us, upstream } = event else { continue };
        let joined_us = index.events.iter().filter_map(|event| match event {
            Event::Joined { at_us: joined_us, upstream: name } if name == upstream => {
                Some(*joined_us)
            }
            _ => None,
        });
        let back_us = joined_us.filter(|joined_us| joined_us > at_us).min().unwrap_or(u64::MAX);
        let late = at_us + LEAVE_US..back_us;
        for (name, work) in &index.works {
            let runs = work.runs.iter().filter(|run| run.upstream == upstream);
            for run in runs.filter(|run| late.contains(&run.start_us)) {
                let after_ms = (run.start_us - at_us) / 1_000;
                let what =
                    format!("{upstream} received {name} task {} after {after_ms} ms", run.task);
                report(found, Rule::Leaving, what);
            }
        }
    }
}

fn check_exit(stop: &Stop<'_>, found: &mut Vec<Violation>) {
    match stop.ended {
        Some((_, Some(0))) => {}
        Some((_, code)) => {
            let what = format!("{} ended with {code:?} after it was asked to stop", stop.process);
            report(found, Rule::PlannedStop, what);
        }
        None => {
            let what = format!("{} did not end after it was asked to stop", stop.process);
            report(found, Rule::PlannedStop, what);
        }
    }
}

/// Attempts in flight when the stop began must end as they would have without it.
///
/// Once an unplanned fault was injected, a failed attempt has another possible cause, so only
/// histories without one are judged.
fn check_in_flight(index: &Index<'_>, stop: &Stop<'_>, found: &mut Vec<Violation>) {
    for (name, work) in &index.works {
        for attempt in work.tries.iter().filter(|attempt| attempt.sent_us < stop.at_us) {
            let Some((end_us, how)) = interruption(attempt, stop) else { continue };
            if end_us < stop.at_us || index.faulty_before(end_us) {
                continue;
            }
            let number = attempt.attempt.number;
            let what = format!("{name} attempt {number}: {how} when {} stopped", stop.process);
            report(found, Rule::PlannedStop, what);
        }
    }
}

fn interruption(attempt: &Try<'_>, stop: &Stop<'_>) -> Option<(u64, String)> {
    let here = attempt.attempt.process == stop.process;
    match attempt.end {
        End::Broken(at_us) if here => Some((at_us, "connection lost".to_owned())),
        End::Answered(at_us, response) => {
            let code = response.code;
            let lost = code.execution() == Execution::MayHaveRun && code != Code::InProgress;
            let turned_away = code == Code::Closing && here;
            (lost || turned_away).then(|| (at_us, format!("answered \"{code}\"")))
        }
        _ => None,
    }
}

/// Tasks that run behind a stopping sidecar must end.
fn check_running(index: &Index<'_>, stop: &Stop<'_>, found: &mut Vec<Violation>) {
    let (Some(upstream), Some((stopped_us, _))) = (stop.upstream, stop.ended) else { return };
    if index.faulty_before(stopped_us) {
        return;
    }
    for (name, work) in &index.works {
        let runs = work.runs.iter().filter(|run| run.upstream == upstream);
        let started =
            runs.filter(|run| run.start_us < stopped_us && run.start_us + LEAVE_US > stop.at_us);
        for run in started.filter(|run| run.end_us.is_none_or(|end_us| end_us > stopped_us)) {
            let what = format!("{name} task {} still ran when {} ended", run.task, stop.process);
            report(found, Rule::PlannedStop, what);
        }
    }
}
