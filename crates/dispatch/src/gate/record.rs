//! Start records of one entry incarnation.
//!
//! A sequence at or below the highest seen never starts again. One without a record was never
//! started, unless it lies in the range whose records are gone.

use std::{collections::VecDeque, sync::Arc};

use crate::gate::message::{Outcome, Slot};

/// Most records of one entry incarnation. One long task holds the watermark back while short ones
/// end: 8 slots of 50 ms tasks behind one task of 20 s leave 3,200 records.
pub(crate) const RECORDS: usize = 4096;

/// How a task ended.
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
    Never,
}

/// What the records say about a sequence.
#[derive(Debug)]
pub(crate) enum Lookup<'a> {
    /// Its record.
    Found(&'a State),
    /// Never started.
    Never,
    /// Its record is no longer kept: it may have run.
    Gone,
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
    forgotten: u64,
    unseen: bool,
    body_bytes: usize,
}

impl Records {
    /// Records of an incarnation that may have been known before and forgotten since. What it
    /// started before its next start is unknown.
    pub fn after_eviction() -> Self {
        Self { unseen: true, forgotten: u64::MAX, ..Self::default() }
    }

    /// Number of records kept.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// True if another start can be recorded.
    pub fn has_room(&self) -> bool {
        self.rows.len() < RECORDS
    }

    /// Bytes of the answers kept.
    pub fn body_bytes(&self) -> usize {
        self.body_bytes
    }

    /// True if the sequence may still start.
    pub fn is_fresh(&self, sequence: u64) -> bool {
        sequence > self.highest
    }

    /// Excludes a sequence, and all below it, from starting.
    pub fn fence(&mut self, sequence: u64) {
        self.highest = self.highest.max(sequence);
    }

    /// Notes that a fresh sequence has arrived.
    pub fn see(&mut self, sequence: u64) {
        if self.unseen {
            self.unseen = false;
            self.forgotten = sequence.saturating_sub(1).max(self.highest);
        }
        self.fence(sequence);
    }

    /// Adds the record of the sequence seen last.
    pub fn push(&mut self, sequence: u64, state: State) {
        debug_assert!(self.rows.back().is_none_or(|row| row.sequence < sequence));
        self.rows.push_back(Row { sequence, state });
    }

    fn position(&self, sequence: u64) -> Option<usize> {
        self.rows.binary_search_by_key(&sequence, |row| row.sequence).ok()
    }

    /// What became of a sequence.
    pub fn find(&self, sequence: u64) -> Lookup<'_> {
        match self.position(sequence) {
            Some(at) => match &self.rows[at].state {
                State::Never => Lookup::Never,
                state => Lookup::Found(state),
            },
            None if sequence <= self.forgotten.max(self.settled) => Lookup::Gone,
            None => Lookup::Never,
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

    /// Drops the answers up to the watermark, and excludes what lies below it from starting. An
    /// older watermark changes nothing.
    pub fn settle(&mut self, settled: u64) {
        if settled > self.settled {
            self.settled = settled;
            self.fence(settled);
            self.trim();
        }
    }

    /// Drops ended records at or below the watermark, up to the first that has not ended.
    fn trim(&mut self) {
        while let Some(row) = self.rows.front() {
            let ended = matches!(row.state, State::Finished(_) | State::Never);
            if !ended || row.sequence > self.settled {
                return;
            }
            if let State::Finished(answer) = &row.state {
                self.body_bytes -= answer.body.len();
            }
            self.rows.pop_front();
        }
    }

    /// Drops the oldest answers' bodies until at most `limit` bytes are kept; their outcome becomes
    /// `expired`.
    pub fn shed(&mut self, limit: usize, expired: Outcome) {
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

    /// Drops all ended records. Sequences seen so far without a record are then unknown.
    pub fn forget(&mut self) {
        self.rows.retain(|row| matches!(row.state, State::Queued | State::Running(_)));
        self.body_bytes = 0;
        self.forgotten = self.forgotten.max(self.highest);
    }
}
