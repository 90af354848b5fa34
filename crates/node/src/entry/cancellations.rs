//! Lists of jobs to cancel, whose answers are collected from the jobs' homes.

use kingcup_dispatch::code::Code;
use rustc_hash::FxHashMap;

use super::{
    api::{self, State},
    waiter::Waiter,
    Entry,
};
use crate::http::Answer;

/// A list whose answer is not complete.
struct Row {
    waiter: Waiter,
    /// States of the jobs, in the order of the list.
    states: Vec<State>,
    /// Position of each job ID in the list.
    positions: FxHashMap<String, usize>,
    /// Number of homes that have not answered.
    expected: usize,
}

/// Lists whose answers are not complete, by number.
#[derive(Default)]
pub struct Table {
    rows: FxHashMap<u64, Row>,
    next: u64,
}

impl Table {
    /// Adds a list and returns its number. The code of a job whose home does not answer remains
    /// `HomeSilent`, which says that the job may have run.
    pub fn open(&mut self, waiter: Waiter, jobs: &[String]) -> u64 {
        self.next += 1;
        let code = Code::HomeSilent.number();
        let states = jobs.iter().map(|job| State { job: job.clone(), code }).collect();
        let positions = jobs.iter().enumerate().map(|(index, job)| (job.clone(), index)).collect();
        self.rows.insert(self.next, Row { waiter, states, positions, expected: 0 });
        self.next
    }

    /// Records the state of one job of a list.
    pub fn record(&mut self, id: u64, job: &str, code: u16) {
        let Some(row) = self.rows.get_mut(&id) else { return };
        if let Some(&index) = row.positions.get(job) {
            row.states[index].code = code;
        }
    }

    /// Sets the number of homes whose answers are expected.
    pub fn set_expected(&mut self, id: u64, homes: usize) {
        if let Some(row) = self.rows.get_mut(&id) {
            row.expected = homes;
        }
    }
}

impl Entry {
    /// Records the answer of one home.
    pub(super) fn cancellation_answered(&mut self, id: u64, body: &[u8]) {
        for state in api::parse_states(body) {
            self.cancellations.record(id, &state.job, state.code);
        }
        if let Some(row) = self.cancellations.rows.get_mut(&id) {
            row.expected = row.expected.saturating_sub(1);
        }
        self.finish_cancellation(id);
    }

    /// Answers a list if all homes have answered.
    pub(super) fn finish_cancellation(&mut self, id: u64) {
        if self.cancellations.rows.get(&id).is_none_or(|row| row.expected > 0) {
            return;
        }
        let Some(row) = self.cancellations.rows.remove(&id) else { return };
        let status = Code::Complete.status();
        self.answer(row.waiter, Answer::json(status, api::cancelled(&row.states)));
    }
}
