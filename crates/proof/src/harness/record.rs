//! Records the history while the programs run.

use std::{
    collections::HashMap,
    sync::{
        atomic::{AtomicU64, Ordering},
        Condvar, Mutex, MutexGuard, PoisonError,
    },
    time::{Duration, Instant},
};

use kingcup_dispatch::code::Code;

use super::{Fault, Result, TIMEOUT};
use crate::history::{now_us, Attempt, Event, Form, Response};

/// Counts of the callers' attempts by result.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tally {
    /// Attempts that were sent.
    pub sent: u64,
    /// Responses that report complete execution.
    pub complete: u64,
    /// Responses that report "not run".
    pub refused: u64,
    /// Responses that report "may have run" or "ran and failed".
    pub failed: u64,
    /// Attempts without a valid response.
    pub broken: u64,
    /// Broken attempts whose caller timed out.
    pub unanswered: u64,
}

#[derive(Debug, Default)]
struct State {
    events: Vec<Event>,
    tally: Tally,
    /// Name of the work of each single request, by the marker of its task.
    work_by_marker: HashMap<String, String>,
    /// Descriptions of responses that violate the callers' protocol.
    malformed: Vec<String>,
}

/// Collects the events of all threads that observe a deployment.
#[derive(Debug, Default)]
pub struct Recorder {
    state: Mutex<State>,
    changed: Condvar,
    attempts: AtomicU64,
}

impl Recorder {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records an event.
    pub fn add(&self, event: Event) {
        self.lock().events.push(event);
        self.changed.notify_all();
    }

    /// Records an unplanned fault; to be called just before the fault is injected.
    pub fn fault(&self, what: impl Into<String>) {
        let what = what.into();
        println!("{} fault: {what}", now_us());
        self.add(Event::Fault { at_us: now_us(), what });
    }

    /// Records that an attempt is being sent and returns its number.
    pub fn sent(&self, work: &str, form: Form, process: &str, expected: &[String]) -> u64 {
        let number = self.attempts.fetch_add(1, Ordering::Relaxed) + 1;
        let (work, process) = (work.to_owned(), process.to_owned());
        let attempt = Attempt { number, work, form, process, expected: expected.to_vec() };
        let mut state = self.lock();
        if form != Form::Job {
            let markers = expected.iter().cloned();
            state.work_by_marker.extend(markers.map(|marker| (marker, attempt.work.clone())));
        }
        state.tally.sent += 1;
        state.events.push(Event::Sent { at_us: now_us(), attempt });
        number
    }

    /// Records a response.
    pub fn answered(&self, attempt: u64, response: Response) {
        use kingcup_dispatch::code::Execution;
        let at_us = now_us();
        let mut state = self.lock();
        match response.code.execution() {
            Execution::Complete => state.tally.complete += 1,
            Execution::NotRun => state.tally.refused += 1,
            Execution::MayHaveRun | Execution::Failed => state.tally.failed += 1,
        }
        state.events.push(Event::Answered { at_us, attempt, response });
        drop(state);
        self.changed.notify_all();
    }

    /// Records that an attempt got no valid response, and whether the caller timed out.
    pub fn broken(&self, attempt: u64, unanswered: bool) {
        let mut state = self.lock();
        state.tally.broken += 1;
        state.tally.unanswered += u64::from(unanswered);
        state.events.push(Event::Broken { at_us: now_us(), attempt });
        drop(state);
        self.changed.notify_all();
    }

    /// Records a response that violates the callers' protocol.
    pub fn malformed(&self, what: impl Into<String>) {
        self.lock().malformed.push(what.into());
    }

    /// Returns the counts so far.
    pub fn tally(&self) -> Tally {
        self.lock().tally
    }

    /// Waits until this many more complete responses have arrived.
    ///
    /// # Errors
    ///
    /// `Timeout`.
    pub fn wait_complete(&self, more: u64) -> Result<()> {
        let target = self.tally().complete + more;
        self.wait(&format!("{more} complete responses"), |tally| tally.complete >= target)
    }

    /// Waits until the counts satisfy a condition.
    ///
    /// # Errors
    ///
    /// `Timeout`.
    pub fn wait(&self, what: &str, reached: impl Fn(&Tally) -> bool) -> Result<()> {
        let end = Instant::now() + TIMEOUT;
        let mut state = self.lock();
        while !reached(&state.tally) {
            let left = end.saturating_duration_since(Instant::now());
            if left == Duration::ZERO {
                return Err(Fault::Timeout(format!("{what}; so far {:?}", state.tally)));
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        Ok(())
    }

    /// Returns the name of the work to which a start belongs: that of the single request with the
    /// same marker, or else the job ID.
    pub fn work_of(&self, job: &str, marker: Option<&str>) -> String {
        let state = self.lock();
        let request_work = marker.and_then(|marker| state.work_by_marker.get(marker)).cloned();
        request_work.unwrap_or_else(|| job.to_owned())
    }

    /// Returns all events so far.
    pub fn events(&self) -> Vec<Event> {
        self.lock().events.clone()
    }

    /// Returns descriptions of the responses that violated the callers' protocol.
    pub fn malformed_answers(&self) -> Vec<String> {
        self.lock().malformed.clone()
    }

    /// Returns the result codes of all responses so far, with the number of responses for each.
    pub fn codes(&self) -> Vec<(Code, u64)> {
        let mut counts = Vec::<(Code, u64)>::new();
        for event in &self.lock().events {
            let Event::Answered { response, .. } = event else { continue };
            match counts.iter_mut().find(|(code, _)| *code == response.code) {
                Some((_, count)) => *count += 1,
                None => counts.push((response.code, 1)),
            }
        }
        counts
    }
}
