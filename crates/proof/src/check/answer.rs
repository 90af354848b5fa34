//! Checks invariants 2 and 3: responses are never partial and answer the caller's own request.

use kingcup_dispatch::code::Execution;

use super::{
    index::{End, Index, Submission, Work},
    report, Invariant, Violation,
};

pub(super) fn check(index: &Index<'_>, found: &mut Vec<Violation>) {
    for (name, work) in &index.work {
        for submission in &work.submissions {
            check_answers(name, submission, found);
            if !index.records_lost {
                check_ran(name, work, submission, found);
            }
        }
    }
}

/// Reports answers that are missing, unexpected or those of another task.
fn check_answers(name: &str, submission: &Submission<'_>, found: &mut Vec<Violation>) {
    let End::Answered(_, response) = submission.end else { return };
    let number = submission.attempt.number;
    let expected = &submission.attempt.expected;
    if response.code.execution() != Execution::Complete {
        if !response.answers.is_empty() {
            let count = response.answers.len();
            let what = format!("{name} attempt {number}: {} with {count} answers", response.code);
            report(found, Invariant::CompleteResponse, what);
        }
        return;
    }
    if response.answers.len() != expected.len() {
        let (received, required) = (response.answers.len(), expected.len());
        let what =
            format!("{name} attempt {number}: complete with {received} of {required} answers");
        report(found, Invariant::CompleteResponse, what);
        return;
    }
    let pairs = response.answers.iter().zip(expected).enumerate();
    for (task, (received, required)) in
        pairs.filter(|(_, (received, required))| received != required)
    {
        let what =
            format!("{name} attempt {number} task {task}: got {received:?}, not {required:?}");
        report(found, Invariant::OwnResponse, what);
    }
}

/// Reports a complete response unless each task had a run that ended before the response.
fn check_ran(name: &str, work: &Work<'_>, submission: &Submission<'_>, found: &mut Vec<Violation>) {
    let End::Answered(at_us, response) = submission.end else { return };
    if response.code.execution() != Execution::Complete {
        return;
    }
    for task in 0..submission.attempt.expected.len() {
        let ended = |end_us: Option<u64>| end_us.is_some_and(|end_us| end_us <= at_us);
        if !work.runs.iter().any(|run| usize::from(run.task) == task && ended(run.end_us)) {
            let number = submission.attempt.number;
            let what = format!("{name} attempt {number}: complete, but task {task} had not ended");
            report(found, Invariant::CompleteResponse, what);
        }
    }
}
