//! Records of running and finished submissions, bounded in time, number and bytes.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use super::{Digest, Limits, Record};
use crate::code::Code;

/// Memory that a record uses besides its body, in bytes: the row, its share of the tree and its
/// queue entry. About 190 bytes were measured.
pub const RECORD_BYTES: usize = 200;

/// Key of a record in the table.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Name {
    /// A job: number of its home in the ledger, number of the client, sequence.
    Job(u32, u64, u64),
    /// An idempotency key.
    Key(Arc<str>),
}

/// State of a record.
#[derive(Debug, Clone)]
pub enum State {
    /// Started and not finished.
    Running,
    /// Finished, with its answer.
    Done(Record),
    /// Finished, or of unknown outcome. The answer is not kept, and this code is answered instead.
    /// Only records of keys remain in this state.
    Dropped(Code),
}

/// A record of a submission.
#[derive(Debug, Clone)]
pub struct Row {
    /// Digest of the submission's body.
    pub digest: Digest,
    /// Time at which it finished, in microseconds; 0 while it runs.
    pub finished_at: u64,
    /// State of the submission.
    pub state: State,
}

/// A finished record in one of the queues, which are ordered by finish time.
#[derive(Debug)]
struct Item {
    finished_at: u64,
    name: Name,
}

/// Table of records.
#[derive(Debug, Default)]
pub struct Answers {
    rows: BTreeMap<Name, Row>,
    /// Records with an answer.
    done: VecDeque<Item>,
    /// Records of keys whose answer was dropped.
    dropped: VecDeque<Item>,
    bytes: usize,
    running: usize,
    keys: usize,
}

impl Answers {
    /// Returns a record.
    pub fn get(&self, name: &Name) -> Option<&Row> {
        self.rows.get(name)
    }

    /// Iterates over all records in order of name.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, &Row)> {
        self.rows.iter()
    }

    /// Returns the size of the finished records, in bytes, as counted against the limit.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the number of running submissions.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Returns true if the limits allow one more running submission under this name.
    pub fn has_capacity(&self, name: &Name, limits: &Limits) -> bool {
        let key_fits = matches!(name, Name::Job(..)) || self.keys < limits.keys;
        self.running < limits.running && key_fits
    }

    /// Adds a running submission.
    pub fn start(&mut self, name: Name, digest: Digest) {
        self.running += 1;
        self.keys += usize::from(matches!(name, Name::Key(_)));
        self.rows.insert(name, Row { digest, finished_at: 0, state: State::Running });
    }

    /// Removes a running submission. Returns false if there is none.
    pub fn cancel(&mut self, name: &Name) -> bool {
        let running = matches!(self.rows.get(name), Some(Row { state: State::Running, .. }));
        if running {
            self.rows.remove(name);
            self.running -= 1;
            self.keys -= usize::from(matches!(name, Name::Key(_)));
        }
        running
    }

    /// Stores the outcome of a running submission. Returns false if it is not running.
    pub fn finish(&mut self, name: &Name, record: Record, now: u64) -> bool {
        let Some(row) = self.rows.get_mut(name) else {
            return false;
        };
        if !matches!(row.state, State::Running) {
            return false;
        }
        self.running -= 1;
        self.bytes += RECORD_BYTES + record.body.len();
        *row = Row { digest: row.digest, finished_at: now, state: State::Done(record) };
        self.done.push_back(Item { finished_at: now, name: name.clone() });
        true
    }

    /// Adds finished records of another process. Records that exist already are left unchanged.
    pub fn merge(&mut self, rows: impl IntoIterator<Item = (Name, Row)>) {
        for (name, row) in rows {
            if self.rows.contains_key(&name) {
                continue;
            }
            let item = Item { finished_at: row.finished_at, name: name.clone() };
            match &row.state {
                State::Running => continue,
                State::Done(record) => {
                    self.bytes += RECORD_BYTES + record.body.len();
                    self.done.push_back(item);
                }
                State::Dropped(_) => self.dropped.push_back(item),
            }
            self.keys += usize::from(matches!(name, Name::Key(_)));
            self.rows.insert(name, row);
        }
        self.done.make_contiguous().sort_by_key(|item| item.finished_at);
        self.dropped.make_contiguous().sort_by_key(|item| item.finished_at);
    }

    /// Removes records older than the retention, and drops the oldest answers above the size limit.
    ///
    /// The record of a key stays without its answer until the retention ends, because nothing else
    /// shows that the key ran. For a job, the client's window shows it.
    pub fn expire(&mut self, limits: &Limits, now: u64) {
        let expired = |at: u64| now.saturating_sub(at) >= limits.retention_us;
        while let Some(item) = self.done.front() {
            if !expired(item.finished_at) && self.bytes <= limits.answer_bytes {
                break;
            }
            let Some(item) = self.done.pop_front() else { break };
            self.drop_answer(item);
        }
        while self.dropped.front().is_some_and(|item| expired(item.finished_at)) {
            let Some(item) = self.dropped.pop_front() else { break };
            self.rows.remove(&item.name);
            self.keys -= 1;
        }
    }

    /// Drops the answer of a record: removes the record of a job and keeps that of a key.
    fn drop_answer(&mut self, item: Item) {
        let Some(row) = self.rows.get_mut(&item.name) else {
            return;
        };
        if let State::Done(record) = &row.state {
            self.bytes -= RECORD_BYTES + record.body.len();
            row.state = State::Dropped(record.expired());
        }
        match item.name {
            Name::Job(..) => drop(self.rows.remove(&item.name)),
            Name::Key(_) => self.dropped.push_back(item),
        }
    }
}
