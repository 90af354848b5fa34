//! Breakdown of jobs and lost work by cause, computed from the logs of entries and sidecars.

mod line;
mod report;

use std::collections::HashMap;

pub use report::Report;

use self::line::Line;

/// A refusal within this time counts as decided on arrival, in microseconds. A job that capacity
/// prices exclude still waits about 5 ms for spare capacity before it is refused.
const IMMEDIATE_REFUSAL_US: u64 = 10_000;
/// Refusals within this time after an entry has started are attributed to the start, in
/// microseconds.
const STARTUP_US: u64 = 1_000_000;
/// Part of the time over its target that a late job must have waited to count as `LateWaited`.
const MAIN_CAUSE_SHARE: f64 = 0.5;

/// How a job ended, and why it was late or refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Cause {
    /// Complete within its target time.
    InTime,
    /// Late: it waited for capacity.
    LateWaited,
    /// Late: a run failed and was repeated.
    LateFailed,
    /// Late: a run was lost with its upstream, or stopped to move it from a slow one.
    LateMoved,
    /// Late for no other reason: its tasks ran longer than expected.
    LateRan,
    /// Refused within `STARTUP_US` after its entry had started, or while the configuration or all
    /// workers were missing.
    RefusedAfterStart,
    /// Refused by an entry that was stopping or had just resumed from a suspension.
    RefusedStopping,
    /// Refused on arrival because the capacity price was too high.
    RefusedDear,
    /// Refused after it had waited in the queue.
    RefusedWaited,
    /// Given up after a run was lost or failed.
    GaveUpLost,
    /// Given up for another reason.
    GaveUpLate,
    /// A task failed on its last permitted attempt.
    Failed,
    /// The caller disconnected before the answer.
    CallerLeft,
    /// The logs end without an answer, as when its entry was killed.
    EntryLost,
}

/// State of a job that has no answer yet.
#[derive(Debug, Default)]
struct Job {
    first_seen_us: u64,
    waited_us: u64,
    failed: bool,
    moved: bool,
    /// End time and duration of each run, in microseconds.
    runs: Vec<(u64, u64)>,
}

/// Work and capacity in one window of time, in core-seconds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Window {
    /// Work of the jobs that arrived.
    pub requested: f64,
    /// Work of the jobs that were complete in time.
    pub in_time: f64,
    /// Measured core time of the runs that ended, which can differ from the expected work.
    pub busy: f64,
    /// Core time of the upstreams that accepted work.
    pub capacity: f64,
}

/// Accumulates log lines. The lines of each process must be in the order of their time; those of
/// different processes may be interleaved or follow each other.
#[derive(Debug, Default)]
pub struct Account {
    window_us: u64,
    jobs: HashMap<String, Job>,
    started: HashMap<String, u64>,
    capacity_changes: HashMap<String, Vec<(u64, u64)>>,
    causes: HashMap<Cause, (u64, f64)>,
    windows: HashMap<u64, Window>,
    last_us: u64,
}

impl Account {
    /// Creates an account without jobs. `window_us` is the length of a window, in microseconds.
    pub fn open(window_us: u64) -> Self {
        Self { window_us: window_us.max(1), ..Self::default() }
    }

    /// Records one line; ignores lines without an event.
    pub fn record(&mut self, text: &str) {
        let Some(line) = Line::parse(text) else { return };
        self.last_us = self.last_us.max(line.time_us);
        match line.event {
            "started" => {
                self.started.insert(line.process.to_owned(), line.time_us);
                self.record_capacity(line.process, line.time_us, 0);
            }
            "profile" => {
                let accepting = line.get("accepting") == Some("true");
                let cores = if accepting { line.number("cores") } else { 0 };
                self.record_capacity(line.process, line.time_us, cores);
            }
            "stopped" => self.record_capacity(line.process, line.time_us, 0),
            "start_sent" => {
                let job = self.job(line.get("job"), line.time_us);
                job.waited_us = line.number("waited_us");
            }
            "run_ended" => {
                // Runs that end after the answer of their job no longer affect its cause; ignores
                // them.
                let id = line.get("task").and_then(|task| task.split('.').next());
                let Some(job) = id.and_then(|id| self.jobs.get_mut(id)) else { return };
                job.runs.push((line.time_us, line.number("ran_us")));
                match line.get("how") {
                    Some("Failed") => job.failed = true,
                    Some("Lost" | "Stopped") => job.moved = true,
                    _ => {}
                }
            }
            "job_refused" => self.record_refusal(&line),
            "caller_left" => self.close_job(&line, Cause::CallerLeft),
            "job_answered" => self.record_answer(&line),
            _ => {}
        }
    }

    /// Returns the report on all recorded lines. Counts jobs without an answer as `EntryLost`.
    pub fn finish(mut self) -> Report {
        let unanswered = self.jobs.len() as u64;
        if unanswered > 0 {
            self.causes.insert(Cause::EntryLost, (unanswered, 0.0));
        }
        self.add_capacity();
        Report::new(self.causes, self.windows, self.window_us)
    }

    fn job(&mut self, id: Option<&str>, now_us: u64) -> &mut Job {
        let id = id.unwrap_or_default().to_owned();
        self.jobs.entry(id).or_insert(Job { first_seen_us: now_us, ..Job::default() })
    }

    /// Records the number of cores, in thousandths, that an upstream offers from now on.
    fn record_capacity(&mut self, sidecar: &str, now_us: u64, cores: u64) {
        self.capacity_changes.entry(sidecar.to_owned()).or_default().push((now_us, cores));
    }

    /// Determines the cause of a refusal without a job, and counts those before it that have no line.
    fn record_refusal(&mut self, line: &Line<'_>) {
        let cause = match line.get("reason") {
            Some("invalid" | "no_queue") => return,
            Some("no_config" | "no_worker" | "hold_full") => Cause::RefusedAfterStart,
            _ => Cause::RefusedStopping,
        };
        self.close_job(line, cause);
        self.causes.entry(cause).or_default().0 += line.number("suppressed");
    }

    /// Determines the cause of an answered job.
    fn record_answer(&mut self, line: &Line<'_>) {
        let job = &*self.job(line.get("job"), line.time_us);
        let (failed, moved, waited_us) = (job.failed, job.moved, job.waited_us);
        let (took_us, target_us) = (line.number("took_us"), line.number("target_us"));
        let over_us = took_us.saturating_sub(target_us) as f64;
        let started_us = self.started.get(line.process).copied().unwrap_or(0);
        let cause = match line.get("answer") {
            Some("Completed") if took_us <= target_us => Cause::InTime,
            Some("Completed") if failed => Cause::LateFailed,
            Some("Completed") if moved => Cause::LateMoved,
            Some("Completed") if waited_us as f64 >= over_us * MAIN_CAUSE_SHARE => {
                Cause::LateWaited
            }
            Some("Completed") => Cause::LateRan,
            Some("Failed") => Cause::Failed,
            Some("GaveUp") if failed || moved => Cause::GaveUpLost,
            Some("GaveUp") => Cause::GaveUpLate,
            _ if line.time_us < started_us + STARTUP_US => Cause::RefusedAfterStart,
            _ if took_us <= IMMEDIATE_REFUSAL_US => Cause::RefusedDear,
            _ => Cause::RefusedWaited,
        };
        self.close_job(line, cause);
    }

    /// Adds a finished job and its work to the totals.
    fn close_job(&mut self, line: &Line<'_>, cause: Cause) {
        let job = line.get("job").and_then(|id| self.jobs.remove(id));
        let cores = line.number("cores") as f64 / 1e3;
        let work = line.number("tasks") as f64 * cores * line.number("work_us") as f64 / 1e6;
        for (end_us, ran_us) in job.iter().flat_map(|job| &job.runs) {
            let window = self.windows.entry(end_us / self.window_us).or_default();
            window.busy += cores * *ran_us as f64 / 1e6;
        }
        let (count, total_work) = self.causes.entry(cause).or_default();
        *count += 1;
        *total_work += work;
        let arrived_us = line.time_us - line.number("took_us").min(line.time_us);
        let first_seen_us = job.map_or(arrived_us, |job| job.first_seen_us.min(arrived_us));
        let window = self.windows.entry(first_seen_us / self.window_us).or_default();
        window.requested += work;
        if cause == Cause::InTime {
            window.in_time += work;
        }
    }

    /// Adds the core time of each upstream to the windows in which it accepted work.
    fn add_capacity(&mut self) {
        for changes in self.capacity_changes.values() {
            let ends = changes.iter().skip(1).map(|(at_us, _)| *at_us).chain([self.last_us]);
            for ((from_us, cores), to_us) in changes.iter().zip(ends) {
                let mut at_us = *from_us;
                while at_us < to_us {
                    let window = at_us / self.window_us;
                    let end_us = to_us.min((window + 1) * self.window_us);
                    let capacity = *cores as f64 / 1e3 * (end_us - at_us) as f64 / 1e6;
                    if let Some(window) = self.windows.get_mut(&window) {
                        window.capacity += capacity;
                    }
                    at_us = end_us;
                }
            }
        }
    }
}
