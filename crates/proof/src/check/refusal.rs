//! Invariant 4: "not run" is true.

use super::{
    index::{Index, Run, Try, Work},
    report, Invariant, Violation,
};

pub(super) fn check(index: &Index<'_>, found: &mut Vec<Violation>) {
    for (name, work) in &index.works {
        for attempt in &work.tries {
            let Some(refused_us) = attempt.refused_us() else { continue };
            if let Some(run) = work.runs.iter().find(|run| belies(work, attempt, run)) {
                let number = attempt.attempt.number;
                let what = format!(
                    "{name} attempt {number}: \"not run\" at {refused_us}, but task {} started on {} at {}",
                    run.task, run.upstream, run.start_us
                );
                report(found, Invariant::TrueRefusal, what);
            }
        }
    }
}

/// True if the start makes the refusal of the attempt untrue.
///
/// A start before the attempt was sent does in any case: the work had run when the caller was told
/// that it had not. A later start does unless another attempt, one that was not itself refused
/// before the start, can have caused it.
fn belies(work: &Work<'_>, refused: &Try<'_>, run: &Run<'_>) -> bool {
    if run.start_us < refused.sent_us {
        return true;
    }
    let other = |attempt: &&Try<'_>| attempt.attempt.number != refused.attempt.number;
    let sent = |attempt: &&Try<'_>| attempt.sent_us <= run.start_us;
    let can_cause = |attempt: &Try<'_>| attempt.refused_us().is_none();
    !work.tries.iter().filter(other).filter(sent).any(can_cause)
}
