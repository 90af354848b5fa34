//! Account of lost work by cause, from the logs of entries and sidecars.

mod line;
mod report;

use std::collections::HashMap;

pub use report::Report;

use self::line::Line;

/// Answers within this time are decided on arrival, in microseconds: a job that is too dear waits about
/// 5 ms for room to spare.
const ON_ARRIVAL_US: u64 = 10_000;
/// Time after the start of an entry in which what it refuses is put down to the start, in microseconds.
const AFTER_START_US: u64 = 1_000_000;
/// Part of a late job's time for which one cause has to stand.
const MAIN_PART: f64 = 0.5;

/// What became of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Cause {
    /// Complete in time.
    InTime,
    /// Late: it waited for room.
    LateWaited,
    /// Late: a run failed and was repeated.
    LateFailed,
    /// Late: a run was lost with its upstream, or moved from a slow one.
    LateMoved,
    /// Late: its tasks ran longer than expected.
    LateRan,
    /// Refused just after its entry had started.
    RefusedAfterStart,
    /// Refused by an entry that stops, or that woke from a suspension.
    RefusedStopping,
    /// Refused on arrival because room was dear.
    RefusedDear,
    /// Refused after it had waited.
    RefusedWaited,
    /// Given up after a run was lost or failed.
    GaveUpLost,
    /// Given up for another reason.
    GaveUpLate,
    /// A task failed as often as it may.
    Failed,
    /// The caller left.
    CallerLeft,
    /// Its entry ended without an answer.
    EntryLost,
}

/// A job as the logs tell of it.
#[derive(Debug, Default)]
struct Job {
    first_us: u64,
    waited_us: u64,
    failed: bool,
    moved: bool,
    /// End and length of each run.
    runs: Vec<(u64, u64)>,
}

/// Work in a span of time, in core-seconds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Span {
    /// Work that was asked for.
    pub asked: f64,
    /// Work of jobs that were complete in time.
    pub in_time: f64,
    /// Core time of the runs that ended, whatever they were expected to take.
    pub busy: f64,
    /// Core time of the upstreams that took work.
    pub room: f64,
}

/// Takes log lines in the order of their time, process by process or mixed.
#[derive(Debug, Default)]
pub struct Account {
    window_us: u64,
    jobs: HashMap<String, Job>,
    started: HashMap<String, u64>,
    upstreams: HashMap<String, Vec<(u64, u64)>>,
    causes: HashMap<Cause, (u64, f64)>,
    spans: HashMap<u64, Span>,
    last_us: u64,
}

impl Account {
    /// Starts without jobs; spans have this length, in microseconds.
    pub fn open(window_us: u64) -> Self {
        Self { window_us: window_us.max(1), ..Self::default() }
    }

    /// Takes one line; lines without an event are passed over.
    pub fn take(&mut self, text: &str) {
        let Some(line) = Line::read(text) else { return };
        self.last_us = self.last_us.max(line.time_us);
        match line.event {
            "started" => {
                self.started.insert(line.process.to_owned(), line.time_us);
                self.room_changes(line.process, line.time_us, 0);
            }
            "profile" => {
                let takes = line.get("accepting") == Some("true");
                let cores = if takes { line.number("cores") } else { 0 };
                self.room_changes(line.process, line.time_us, cores);
            }
            "stopped" => self.room_changes(line.process, line.time_us, 0),
            "start_sent" => {
                let job = self.job(line.get("job"), line.time_us);
                job.waited_us = line.number("waited_us");
            }
            "run_ended" => {
                // Runs that end after the answer say nothing more.
                let id = line.get("task").and_then(|task| task.split('.').next());
                let Some(job) = id.and_then(|id| self.jobs.get_mut(id)) else { return };
                job.runs.push((line.time_us, line.number("ran_us")));
                match line.get("how") {
                    Some("Failed") => job.failed = true,
                    Some("Lost" | "Stopped") => job.moved = true,
                    _ => {}
                }
            }
            "job_refused" => self.close(&line, Cause::RefusedStopping),
            "caller_left" => self.close(&line, Cause::CallerLeft),
            "job_answered" => self.answered(&line),
            _ => {}
        }
    }

    /// The account of what was taken. Jobs without an answer are lost with their entry.
    pub fn finish(mut self) -> Report {
        let open = self.jobs.len() as u64;
        if open > 0 {
            self.causes.insert(Cause::EntryLost, (open, 0.0));
        }
        self.add_room();
        Report::of(self.causes, self.spans, self.window_us)
    }

    fn job(&mut self, id: Option<&str>, now_us: u64) -> &mut Job {
        let id = id.unwrap_or_default().to_owned();
        self.jobs.entry(id).or_insert(Job { first_us: now_us, ..Job::default() })
    }

    fn room_changes(&mut self, sidecar: &str, now_us: u64, cores: u64) {
        self.upstreams.entry(sidecar.to_owned()).or_default().push((now_us, cores));
    }

    fn answered(&mut self, line: &Line<'_>) {
        let job = &*self.job(line.get("job"), line.time_us);
        let (failed, moved, waited_us) = (job.failed, job.moved, job.waited_us);
        let (took_us, target_us) = (line.number("took_us"), line.number("target_us"));
        let over_us = took_us.saturating_sub(target_us) as f64;
        let started_us = self.started.get(line.process).copied().unwrap_or(0);
        let cause = match line.get("answer") {
            Some("Completed") if took_us <= target_us => Cause::InTime,
            Some("Completed") if failed => Cause::LateFailed,
            Some("Completed") if moved => Cause::LateMoved,
            Some("Completed") if waited_us as f64 >= over_us * MAIN_PART => Cause::LateWaited,
            Some("Completed") => Cause::LateRan,
            Some("Failed") => Cause::Failed,
            Some("GaveUp") if failed || moved => Cause::GaveUpLost,
            Some("GaveUp") => Cause::GaveUpLate,
            _ if line.time_us < started_us + AFTER_START_US => Cause::RefusedAfterStart,
            _ if took_us <= ON_ARRIVAL_US => Cause::RefusedDear,
            _ => Cause::RefusedWaited,
        };
        self.close(line, cause);
    }

    /// Counts a job whose fate is known.
    fn close(&mut self, line: &Line<'_>, cause: Cause) {
        let known = line.get("job").and_then(|id| self.jobs.remove(id));
        let cores = line.number("cores") as f64 / 1e3;
        let work = line.number("tasks") as f64 * cores * line.number("work_us") as f64 / 1e6;
        for (end_us, ran_us) in known.iter().flat_map(|job| &job.runs) {
            let span = self.spans.entry(end_us / self.window_us).or_default();
            span.busy += cores * *ran_us as f64 / 1e6;
        }
        let (count, sum) = self.causes.entry(cause).or_default();
        *count += 1;
        *sum += work;
        let arrived_us = line.time_us - line.number("took_us").min(line.time_us);
        let first_us = known.map_or(arrived_us, |job| job.first_us.min(arrived_us));
        let span = self.spans.entry(first_us / self.window_us).or_default();
        span.asked += work;
        if cause == Cause::InTime {
            span.in_time += work;
        }
    }

    /// Spreads the cores of each upstream over the spans in which it took work.
    fn add_room(&mut self) {
        for changes in self.upstreams.values() {
            let ends = changes.iter().skip(1).map(|(at_us, _)| *at_us).chain([self.last_us]);
            for ((from_us, cores), to_us) in changes.iter().zip(ends) {
                let mut at_us = *from_us;
                while at_us < to_us {
                    let span = at_us / self.window_us;
                    let end_us = to_us.min((span + 1) * self.window_us);
                    let room = *cores as f64 / 1e3 * (end_us - at_us) as f64 / 1e6;
                    if let Some(span) = self.spans.get_mut(&span) {
                        span.room += room;
                    }
                    at_us = end_us;
                }
            }
        }
    }
}
