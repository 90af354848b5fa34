//! Translation between the messages on the wire and the types of the dispatching engine.
//!
//! The engine numbers the starts at each of its upstreams from 1, and begins again when an upstream
//! is dropped and added. A sidecar requires sequences that only grow during one incarnation of this
//! entry. Messages to a sidecar therefore add an offset to the engine's sequences.

use std::sync::Arc;

use kingcup_dispatch::{
    code::Code,
    engine::{self, End, Held, Report},
    route::Load,
};
use kingcup_wire as wire;

/// Translates a load report for the engine.
pub fn load<'a>(load: &wire::Load<'a>) -> Load<'a> {
    Load {
        revision: load.revision,
        running: load.running,
        queued: load.queued,
        window: load.window,
    }
}

/// Translates a sequence from a sidecar for the engine. Returns `None` if it belongs to an upstream
/// that has been dropped from the engine.
pub fn sequence(sequence: u64, offset: u64) -> Option<u64> {
    sequence.checked_sub(offset).filter(|sequence| *sequence > 0)
}

/// Translates the end of a task for the engine. Returns `None` if it belongs to an upstream that
/// has been dropped from the engine.
pub fn finish<'a>(finish: &wire::Finish<'a>, offset: u64) -> Option<engine::Finish<'a>> {
    Some(engine::Finish {
        sequence: sequence(finish.sequence, offset)?,
        end: end(finish.outcome),
        queue_us: finish.queue_us,
        run_us: finish.run_us,
        load: load(&finish.load),
        body: Arc::from(finish.body),
    })
}

/// Translates the outcome of a task. A code that this version doesn't know is replaced by a general
/// one of the same outcome.
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

/// Returns the code of a refused start. A number that this version doesn't know becomes `Busy`,
/// which also means that the task has not run.
pub fn refusal_code(number: u16) -> Code {
    Code::from_number(number).unwrap_or(Code::Busy)
}

/// Translates a sidecar's reports on starts, without those of upstreams that have been dropped from
/// the engine.
pub fn reports(fates: &[wire::Fate], offset: u64) -> Vec<Report> {
    let report = |fate: &wire::Fate| {
        let held = match fate.held {
            wire::Held::Never => Held::Never,
            wire::Held::Queued => Held::Queued,
            wire::Held::Running => Held::Running,
            wire::Held::Finished => Held::Finished,
        };
        Some(Report { sequence: sequence(fate.sequence, offset)?, held })
    };
    fates.iter().filter_map(report).collect()
}

/// Translates a start for the sidecar.
pub fn start<'a>(start: &'a engine::Start, job: &'a str, offset: u64) -> wire::Start<'a> {
    wire::Start {
        sequence: start.sequence + offset,
        settled: start.settled + offset,
        job,
        task: start.task,
        kind: &start.kind,
        headroom: start.headroom,
        more: start.more,
        wait_ms: start.wait_ms,
        payload: &start.payload,
    }
}

/// Translates the engine's sequences for the sidecar.
pub fn sequences(sequences: &[u64], offset: u64) -> Vec<u64> {
    sequences.iter().map(|sequence| sequence + offset).collect()
}
