//! Checks invariants 1 and 5: no task starts twice, except that of an idempotent request.

use std::collections::BTreeMap;

use super::{
    index::{Index, Run},
    report, Invariant, Violation,
};
use crate::history::Form;

pub(super) fn check(index: &Index<'_>, found: &mut Vec<Violation>) {
    for (name, work) in &index.work {
        let invariant = match work.form() {
            Some(Form::IdempotentRequest) => continue,
            Some(Form::Request) => Invariant::OneRun,
            // Starts of work that no caller submitted are checked like those of a job: a second
            // start of a task is a violation.
            Some(Form::Job) | None => Invariant::OneStart,
        };
        let mut by_task = BTreeMap::<u16, Vec<&Run<'_>>>::new();
        for run in &work.runs {
            by_task.entry(run.task).or_default().push(run);
        }
        for (task, runs) in by_task {
            if runs.len() > 1 {
                let starts: Vec<_> = runs
                    .iter()
                    .map(|run| format!("{} at {}", run.upstream, run.start_us))
                    .collect();
                report(
                    found,
                    invariant,
                    format!("{name} task {task} started on {}", starts.join(", ")),
                );
            }
        }
    }
}
