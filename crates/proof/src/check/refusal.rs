//! Checks invariant 4: work whose response says "not run" did not run.

use super::{
    index::{Index, Run, Submission, Work},
    report, Invariant, Violation,
};

pub(super) fn check(index: &Index<'_>, found: &mut Vec<Violation>) {
    for (name, work) in &index.work {
        for submission in &work.submissions {
            let Some(refused_us) = submission.refused_us() else { continue };
            if let Some(run) = work.runs.iter().find(|run| contradicts(work, submission, run)) {
                let number = submission.attempt.number;
                let what = format!(
                    "{name} attempt {number}: \"not run\" at {refused_us}, but task {} started on {} at {}",
                    run.task, run.upstream, run.start_us
                );
                report(found, Invariant::TrueRefusal, what);
            }
        }
    }
}

/// Returns true if the run contradicts the refusal of the attempt.
///
/// A run that started before the attempt was sent always contradicts it, as the work had run when
/// the caller received "not run". A later run contradicts it unless another attempt can have caused
/// the run: one that was sent before the run started and was not refused itself.
fn contradicts(work: &Work<'_>, refused: &Submission<'_>, run: &Run<'_>) -> bool {
    if run.start_us < refused.sent_us {
        return true;
    }
    let other = |submission: &&Submission<'_>| submission.attempt.number != refused.attempt.number;
    let sent = |submission: &&Submission<'_>| submission.sent_us <= run.start_us;
    let can_cause = |submission: &Submission<'_>| submission.refused_us().is_none();
    !work.submissions.iter().filter(other).filter(sent).any(can_cause)
}
