//! Conversions between the gate's types and wire messages.

use kingcup_dispatch::gate;
use kingcup_wire::{Fate, Held, Load, Outcome, Start};

/// Converts a start frame for the gate.
pub fn start<'a>(start: &Start<'a>) -> gate::Start<'a> {
    gate::Start {
        sequence: start.sequence,
        settled: start.settled,
        job: start.job,
        task: start.task,
        kind: start.kind,
        headroom: start.headroom,
        has_backlog: start.more,
        wait_ms: start.wait_ms,
        payload: start.payload,
    }
}

/// Converts a load report of the gate.
pub fn load(load: &gate::Load) -> Load<'_> {
    Load {
        revision: load.revision,
        running: load.running(),
        queued: load.queued,
        window: load.window,
    }
}

/// Converts the outcome of a call.
pub fn outcome(outcome: gate::Outcome) -> Outcome {
    match outcome {
        gate::Outcome::Done => Outcome::Done,
        gate::Outcome::Failed(code) => Outcome::Failed(code.number()),
        // The gate refuses starts whose call did not run, so `NotRun` does not occur here.
        gate::Outcome::Unknown(code) | gate::Outcome::NotRun(code) => {
            Outcome::Unknown(code.number())
        }
    }
}

/// Converts reports on the status of starts.
pub fn reports(reports: &[gate::Report]) -> Vec<Fate> {
    reports
        .iter()
        .map(|report| Fate { sequence: report.sequence, held: held(report.status) })
        .collect()
}

fn held(status: gate::Status) -> Held {
    match status {
        gate::Status::NotRun => Held::Never,
        gate::Status::Queued => Held::Queued,
        gate::Status::Running => Held::Running,
        gate::Status::Finished => Held::Finished,
    }
}
