//! Cancellations of many jobs, gathered from their homes.

use kingcup_dispatch::code::Code;
use rustc_hash::FxHashMap;

use super::{
    api::{self, State},
    waiter::Waiter,
    Entry,
};
use crate::http::Answer;

/// A list of cancellations whose answer is not complete.
struct Row {
    waiter: Waiter,
    states: Vec<State>,
    places: FxHashMap<String, usize>,
    expected: usize,
}

/// All such lists.
#[derive(Default)]
pub struct Table {
    rows: FxHashMap<u64, Row>,
    next: u64,
}

impl Table {
    /// Adds a list. A job whose home does not answer keeps the code that says it may have run.
    pub fn open(&mut self, waiter: Waiter, jobs: &[String]) -> u64 {
        self.next += 1;
        let code = Code::HomeSilent.number();
        let states = jobs.iter().map(|job| State { job: job.clone(), code }).collect();
        let places = jobs.iter().enumerate().map(|(at, job)| (job.clone(), at)).collect();
        self.rows.insert(self.next, Row { waiter, states, places, expected: 0 });
        self.next
    }

    /// Records the state of one job of a list.
    pub fn note(&mut self, id: u64, job: &str, code: u16) {
        let Some(row) = self.rows.get_mut(&id) else { return };
        if let Some(&at) = row.places.get(job) {
            row.states[at].code = code;
        }
    }

    /// Records how many homes were asked.
    pub fn expect(&mut self, id: u64, homes: usize) {
        if let Some(row) = self.rows.get_mut(&id) {
            row.expected = homes;
        }
    }
}

impl Entry {
    /// Records the answer of one home.
    pub(super) fn cancellation_answered(&mut self, id: u64, body: &[u8]) {
        for state in api::states(body) {
            self.cancellations.note(id, &state.job, state.code);
        }
        if let Some(row) = self.cancellations.rows.get_mut(&id) {
            row.expected = row.expected.saturating_sub(1);
        }
        self.finish_cancellation(id);
    }

    /// Answers the caller once all homes have answered.
    pub(super) fn finish_cancellation(&mut self, id: u64) {
        if self.cancellations.rows.get(&id).is_none_or(|row| row.expected > 0) {
            return;
        }
        let Some(row) = self.cancellations.rows.remove(&id) else { return };
        let status = Code::Complete.status();
        self.answer(row.waiter, Answer::json(status, api::cancelled(&row.states)));
    }
}
