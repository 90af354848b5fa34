//! Translation between messages on the wire and the plain types of the decision library.
//!
//! The engine numbers the starts at each of its upstream rows from 1. A sidecar requires sequences
//! that only grow for the whole life of this entry, so each contact with a sidecar adds a base.

use std::sync::Arc;

use kingcup_dispatch::{
    code::Code,
    engine::{self, End, Held, Report},
    route::Load,
};
use kingcup_wire as wire;

/// Load as the engine takes it.
pub fn load<'a>(load: &wire::Load<'a>) -> Load<'a> {
    Load {
        revision: load.revision,
        running: load.running,
        queued: load.queued,
        window: load.window,
    }
}

/// A sidecar's sequence as the engine knows it; `None` if it belongs to an earlier row.
pub fn sequence(sequence: u64, base: u64) -> Option<u64> {
    sequence.checked_sub(base).filter(|sequence| *sequence > 0)
}

/// A task's end as the engine takes it; `None` if it belongs to an earlier row.
pub fn finish<'a>(finish: &wire::Finish<'a>, base: u64) -> Option<engine::Finish<'a>> {
    Some(engine::Finish {
        sequence: sequence(finish.sequence, base)?,
        end: end(finish.outcome),
        queue_us: finish.queue_us,
        run_us: finish.run_us,
        load: load(&finish.load),
        body: Arc::from(finish.body),
    })
}

/// How a task ended. A number that this version does not know keeps its outcome.
pub fn end(outcome: wire::Outcome) -> End {
    match outcome {
        wire::Outcome::Done => End::Done,
        wire::Outcome::Failed(number) => {
            End::Failed(Code::from_number(number).unwrap_or(Code::TaskFailed))
        }
        wire::Outcome::Unknown(number) => {
            End::Unknown(Code::from_number(number).unwrap_or(Code::UpstreamLost))
        }
    }
}

/// Code of a refused start. A number that this version does not know still means "not run".
pub fn refusal(number: u16) -> Code {
    Code::from_number(number).unwrap_or(Code::Busy)
}

/// What became of starts, without those of earlier rows.
pub fn reports(fates: &[wire::Report], base: u64) -> Vec<Report> {
    let report = |fate: &wire::Report| {
        let held = match fate.status {
            wire::Status::NotRun => Held::Never,
            wire::Status::Queued => Held::Queued,
            wire::Status::Running => Held::Running,
            wire::Status::Finished => Held::Finished,
        };
        Some(Report { sequence: sequence(fate.sequence, base)?, held })
    };
    fates.iter().filter_map(report).collect()
}

/// A start as the sidecar takes it.
pub fn start<'a>(start: &'a engine::Start, job: &'a str, base: u64) -> wire::Start<'a> {
    wire::Start {
        sequence: start.sequence + base,
        settled: start.settled + base,
        job,
        task: start.task,
        kind: &start.kind,
        headroom: start.headroom,
        has_backlog: start.more,
        wait_ms: start.wait_ms,
        payload: &start.payload,
    }
}

/// Sequences as the sidecar knows them.
pub fn sequences(own: &[u64], base: u64) -> Vec<u64> {
    own.iter().map(|sequence| sequence + base).collect()
}
