//! Start records of one entry incarnation.
//!
//! A sequence at or below the highest seen never starts again. A sequence without a record was
//! never started, unless it lies in the range whose records were discarded.

use std::{collections::VecDeque, sync::Arc};

use crate::gate::message::{Outcome, Slot};

/// Limit on the records of one entry incarnation. A long task holds the watermark back while short
/// ones end: 8 slots of 50 ms tasks behind one task of 20 s leave 3,200 records.
pub(crate) const MAX_RECORDS: usize = 4096;

/// Outcome and answer of an ended task.
#[derive(Debug, Clone)]
pub(crate) struct Answer {
    pub outcome: Outcome,
    pub queue_us: u32,
    pub run_us: u32,
    pub body: Arc<Vec<u8>>,
}

/// State of one start.
#[derive(Debug)]
pub(crate) enum State {
    Queued,
    Running(Slot),
    Finished(Answer),
    NotRun,
}

/// Result of looking up a sequence.
#[derive(Debug)]
pub(crate) enum Lookup<'a> {
    /// The sequence has a record.
    Found(&'a State),
    /// The sequence was never started.
    NeverStarted,
    /// The record is no longer kept, so the task may have run.
    Discarded,
}

#[derive(Debug)]
struct Row {
    sequence: u64,
    state: State,
}

/// Start records of one entry incarnation, in ascending order of sequence.
#[derive(Debug, Default)]
pub(crate) struct Records {
    rows: VecDeque<Row>,
    highest: u64,
    settled: u64,
    discarded_through: u64,
    awaits_first_start: bool,
    body_bytes: usize,
}

impl Records {
    /// Creates the records of an incarnation that may have been evicted earlier. Whether sequences
    /// below its next start were started is unknown.
    pub fn after_eviction() -> Self {
        Self { awaits_first_start: true, discarded_through: u64::MAX, ..Self::default() }
    }

    /// Returns the number of records kept.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns true if another start can be recorded.
    pub fn has_capacity(&self) -> bool {
        self.rows.len() < MAX_RECORDS
    }

    /// Returns the size of all answers kept, in bytes.
    pub fn body_bytes(&self) -> usize {
        self.body_bytes
    }

    /// Returns true if the sequence may still start.
    pub fn may_start(&self, sequence: u64) -> bool {
        sequence > self.highest
    }

    /// Prevents a sequence, and all below it, from starting from now on.
    pub fn fence(&mut self, sequence: u64) {
        self.highest = self.highest.max(sequence);
    }

    /// Records that a new sequence was received.
    pub fn observe(&mut self, sequence: u64) {
        if self.awaits_first_start {
            self.awaits_first_start = false;
            self.discarded_through = sequence.saturating_sub(1).max(self.highest);
        }
        self.fence(sequence);
    }

    /// Adds the record of the sequence received last.
    pub fn push(&mut self, sequence: u64, state: State) {
        debug_assert!(self.rows.back().is_none_or(|row| row.sequence < sequence));
        self.rows.push_back(Row { sequence, state });
    }

    fn position(&self, sequence: u64) -> Option<usize> {
        self.rows.binary_search_by_key(&sequence, |row| row.sequence).ok()
    }

    /// Looks up a sequence.
    pub fn find(&self, sequence: u64) -> Lookup<'_> {
        match self.position(sequence) {
            Some(at) => match &self.rows[at].state {
                State::NotRun => Lookup::NeverStarted,
                state => Lookup::Found(state),
            },
            None if sequence <= self.discarded_through.max(self.settled) => Lookup::Discarded,
            None => Lookup::NeverStarted,
        }
    }

    /// Changes the state of a recorded start.
    pub fn set(&mut self, sequence: u64, state: State) {
        let Some(at) = self.position(sequence) else {
            return;
        };
        if let State::Finished(answer) = &state {
            self.body_bytes += answer.body.len();
        }
        self.rows[at].state = state;
        self.trim();
    }

    /// Drops the answers up to the watermark and prevents sequences up to it from starting. A lower
    /// watermark than the current one has no effect.
    pub fn settle(&mut self, settled: u64) {
        if settled > self.settled {
            self.settled = settled;
            self.fence(settled);
            self.trim();
        }
    }

    /// Drops the records of ended starts at or below the watermark, up to the first start that has
    /// not ended.
    fn trim(&mut self) {
        while let Some(row) = self.rows.front() {
            let ended = matches!(row.state, State::Finished(_) | State::NotRun);
            if !ended || row.sequence > self.settled {
                return;
            }
            if let State::Finished(answer) = &row.state {
                self.body_bytes -= answer.body.len();
            }
            self.rows.pop_front();
        }
    }

    /// Discards the bodies of the oldest answers until at most `limit` bytes are kept. The outcome
    /// of these answers becomes `expired`.
    pub fn discard_bodies(&mut self, limit: usize, expired: Outcome) {
        for row in &mut self.rows {
            if self.body_bytes <= limit {
                return;
            }
            let State::Finished(answer) = &mut row.state else {
                continue;
            };
            if answer.body.is_empty() {
                continue;
            }
            self.body_bytes -= answer.body.len();
            answer.outcome = expired;
            answer.body = Arc::default();
        }
    }

    /// Discards all records of ended starts. Whether sequences seen so far without a record were
    /// started is unknown from then on.
    pub fn discard_ended(&mut self) {
        self.rows.retain(|row| matches!(row.state, State::Queued | State::Running(_)));
        self.body_bytes = 0;
        self.discarded_through = self.discarded_through.max(self.highest);
    }
}
