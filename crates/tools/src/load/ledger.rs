//! Compares what upstreams ran with what callers were told.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use kingcup_dispatch::code::Execution;
use serde::{Deserialize, Serialize};

use super::{client::Sample, metrics, Fault};

/// Longest wait for starts to end after the last response.
const END_WAIT: Duration = Duration::from_secs(15);
/// Time between two looks at whether starts have ended.
const END_INTERVAL: Duration = Duration::from_millis(500);

/// A start as an upstream stand-in reports it.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Start {
    /// Job ID.
    pub job: String,
    /// Index of the task; none if the sidecar did not send it.
    pub task: Option<u16>,
    /// Time of the start on the system's monotonic clock, in microseconds.
    pub start_us: u64,
    /// Time of the end; none while it runs.
    pub end_us: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct Starts {
    starts: Vec<Start>,
    unrecorded: u64,
}

/// Counts from the comparison.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Ledger {
    /// Starts at all upstreams.
    pub starts: u64,
    /// Starts of a task beyond its first.
    pub doubles: u64,
    /// Tasks of complete jobs that no upstream started.
    pub missing: u64,
    /// Jobs answered "not run" of which a task started.
    pub untrue_refusals: u64,
    /// Submissions without any whole response.
    pub losses: u64,
    /// Complete responses that lack answers or carry those of other tasks.
    pub wrong_answers: u64,
}

/// Reads the starts of all upstreams.
///
/// # Errors
///
/// `Unreachable` if one cannot be read.
pub fn read_all(upstreams: &[SocketAddr]) -> Result<Vec<Start>, Fault> {
    let mut starts = Vec::new();
    for upstream in upstreams {
        let text = metrics::get(*upstream, "/starts")?;
        let more: Starts = serde_json::from_str(&text)
            .map_err(|error| Fault::Unreachable(*upstream, error.to_string()))?;
        if more.unrecorded > 0 {
            let what = format!("{} starts were not recorded", more.unrecorded);
            return Err(Fault::Unreachable(*upstream, what));
        }
        starts.extend(more.starts);
    }
    Ok(starts)
}

/// Reads the starts of all upstreams once they have ended, or at most `END_WAIT` later: a task may
/// outlast the answer to its job.
///
/// # Errors
///
/// `Unreachable` if one cannot be read.
pub fn read_ended(upstreams: &[SocketAddr]) -> Result<Vec<Start>, Fault> {
    let begun = Instant::now();
    loop {
        let starts = read_all(upstreams)?;
        let ended = starts.iter().all(|start| start.end_us.is_some());
        if ended || begun.elapsed() >= END_WAIT {
            return Ok(starts);
        }
        thread::sleep(END_INTERVAL);
    }
}

impl Ledger {
    /// Compares starts with responses. Starts of other callers' jobs count as starts and doubles.
    pub fn open(starts: &[Start], samples: &[Sample]) -> Self {
        let mut by_task = BTreeMap::<(&str, Option<u16>), u64>::new();
        let mut by_job = BTreeMap::<&str, u64>::new();
        for start in starts {
            *by_task.entry((&start.job, start.task)).or_default() += 1;
            *by_job.entry(&start.job).or_default() += 1;
        }
        let mut ledger = Self { starts: starts.len() as u64, ..Self::default() };
        ledger.doubles = by_task.values().map(|count| count - 1).sum();
        for sample in samples {
            let job = sample.job.as_str();
            match sample.code.map(|code| code.execution()) {
                None => ledger.losses += 1,
                Some(Execution::Complete) => {
                    let ran = |task: &usize| by_task.contains_key(&(job, Some(*task as u16)));
                    ledger.missing += (0..sample.tasks).filter(|task| !ran(task)).count() as u64;
                    ledger.wrong_answers += u64::from(sample.wrong);
                }
                Some(Execution::NotRun) => {
                    ledger.untrue_refusals += u64::from(by_job.contains_key(job));
                }
                Some(Execution::MayHaveRun | Execution::Failed) => {}
            }
        }
        ledger
    }
}
