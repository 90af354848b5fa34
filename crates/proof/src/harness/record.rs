//! Collects the history while the programs run.

use std::{
    collections::HashMap,
    sync::{
        atomic::{AtomicU64, Ordering},
        Condvar, Mutex, MutexGuard, PoisonError,
    },
    time::{Duration, Instant},
};

use kingcup_dispatch::code::Code;

use super::{Fault, Result, LONG};
use crate::history::{now_us, Attempt, Event, Form, Response};

/// Counts of what callers saw.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tally {
    /// Attempts sent.
    pub sent: u64,
    /// Complete responses.
    pub complete: u64,
    /// Answers that say "not run".
    pub refused: u64,
    /// Answers that say "may have run" or "ran and failed".
    pub failed: u64,
    /// Attempts without a whole response.
    pub broken: u64,
    /// Those of the broken attempts for which the caller waited in vain.
    pub unanswered: u64,
}

#[derive(Debug, Default)]
struct State {
    events: Vec<Event>,
    tally: Tally,
    /// Work by the marker of its task, for single requests.
    work_of: HashMap<String, String>,
    /// Answers that break the callers' protocol.
    malformed: Vec<String>,
}

/// Shared by all that observe.
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

    /// Adds an event.
    pub fn add(&self, event: Event) {
        self.lock().events.push(event);
        self.changed.notify_all();
    }

    /// Notes an unplanned fault, just before it is injected.
    pub fn fault(&self, what: impl Into<String>) {
        let what = what.into();
        println!("{} fault: {what}", now_us());
        self.add(Event::Fault { at_us: now_us(), what });
    }

    /// Notes that an attempt is sent; returns its number.
    pub fn sent(&self, work: &str, form: Form, process: &str, expected: &[String]) -> u64 {
        let number = self.attempts.fetch_add(1, Ordering::Relaxed) + 1;
        let (work, process) = (work.to_owned(), process.to_owned());
        let attempt = Attempt { number, work, form, process, expected: expected.to_vec() };
        let mut state = self.lock();
        if form != Form::Job {
            let markers = expected.iter().cloned();
            state.work_of.extend(markers.map(|marker| (marker, attempt.work.clone())));
        }
        state.tally.sent += 1;
        state.events.push(Event::Sent { at_us: now_us(), attempt });
        number
    }

    /// Notes an answer.
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

    /// Notes that an attempt got no whole response, and whether the caller waited in vain for it.
    pub fn broken(&self, attempt: u64, unanswered: bool) {
        let mut state = self.lock();
        state.tally.broken += 1;
        state.tally.unanswered += u64::from(unanswered);
        state.events.push(Event::Broken { at_us: now_us(), attempt });
        drop(state);
        self.changed.notify_all();
    }

    /// Notes an answer that breaks the callers' protocol.
    pub fn malformed(&self, what: impl Into<String>) {
        self.lock().malformed.push(what.into());
    }

    /// What callers saw so far.
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
        let end = Instant::now() + LONG;
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

    /// The work of a start: that of the single request with its marker, or else its job ID.
    pub fn work_of(&self, job: &str, marker: Option<&str>) -> String {
        let state = self.lock();
        let named = marker.and_then(|marker| state.work_of.get(marker)).cloned();
        named.unwrap_or_else(|| job.to_owned())
    }

    /// All events so far.
    pub fn events(&self) -> Vec<Event> {
        self.lock().events.clone()
    }

    /// Answers that broke the callers' protocol.
    pub fn faulty_answers(&self) -> Vec<String> {
        self.lock().malformed.clone()
    }

    /// Codes of all answers so far, with how often each came.
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
