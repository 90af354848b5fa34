//! Invariants 2 and 3: responses are whole and go to their own caller.

use kingcup_dispatch::code::Execution;

use super::{
    index::{End, Index, Try, Work},
    report, Rule, Violation,
};

pub(super) fn check(index: &Index<'_>, found: &mut Vec<Violation>) {
    for (name, work) in &index.works {
        for attempt in &work.tries {
            check_answers(name, attempt, found);
            if !index.records_lost {
                check_ran(name, work, attempt, found);
            }
        }
    }
}

fn check_answers(name: &str, attempt: &Try<'_>, found: &mut Vec<Violation>) {
    let End::Answered(_, response) = attempt.end else { return };
    let number = attempt.attempt.number;
    let expected = &attempt.attempt.expected;
    if response.code.execution() != Execution::Complete {
        if !response.answers.is_empty() {
            let count = response.answers.len();
            let what = format!("{name} attempt {number}: {} with {count} answers", response.code);
            report(found, Rule::Whole, what);
        }
        return;
    }
    if response.answers.len() != expected.len() {
        let (had, wanted) = (response.answers.len(), expected.len());
        let what = format!("{name} attempt {number}: complete with {had} of {wanted} answers");
        report(found, Rule::Whole, what);
        return;
    }
    let pairs = response.answers.iter().zip(expected).enumerate();
    for (task, (had, wanted)) in pairs.filter(|(_, (had, wanted))| had != wanted) {
        let what = format!("{name} attempt {number} task {task}: got {had:?}, not {wanted:?}");
        report(found, Rule::Own, what);
    }
}

/// A complete response must rest on a run of each task that ended before the response.
fn check_ran(name: &str, work: &Work<'_>, attempt: &Try<'_>, found: &mut Vec<Violation>) {
    let End::Answered(at_us, response) = attempt.end else { return };
    if response.code.execution() != Execution::Complete {
        return;
    }
    for task in 0..attempt.attempt.expected.len() {
        let ended = |end_us: Option<u64>| end_us.is_some_and(|end_us| end_us <= at_us);
        if !work.runs.iter().any(|run| usize::from(run.task) == task && ended(run.end_us)) {
            let number = attempt.attempt.number;
            let what = format!("{name} attempt {number}: complete, but task {task} had not ended");
            report(found, Rule::Whole, what);
        }
    }
}
