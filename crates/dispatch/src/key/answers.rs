//! Records of running and finished submissions, bounded in time, number and bytes.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use super::{Digest, Limits, Record};
use crate::code::Code;

/// What a record costs besides its body: the row, its share of the tree and its queue slot. About
/// 190 were measured.
pub const RECORD_BYTES: usize = 200;

/// Name of a record.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Name {
    /// A job: number of its home in the ledger, client, sequence.
    Job(u32, u64, u64),
    /// An idempotency key.
    Key(Arc<str>),
}

/// State of a record.
#[derive(Debug, Clone)]
pub enum State {
    /// Submitted and not finished.
    Running,
    /// Finished, with its answer.
    Done(Record),
    /// Finished or lost; the answer is not kept, and this code is answered instead. Only keys stay
    /// in this state.
    Dropped(Code),
}

/// A record.
#[derive(Debug, Clone)]
pub struct Row {
    /// Digest of the submission's body.
    pub digest: Digest,
    /// When it finished, in microseconds.
    pub at: u64,
    /// State.
    pub state: State,
}

#[derive(Debug)]
struct Slot {
    at: u64,
    name: Name,
}

/// Table of records.
#[derive(Debug, Default)]
pub struct Answers {
    rows: BTreeMap<Name, Row>,
    done: VecDeque<Slot>,
    dropped: VecDeque<Slot>,
    bytes: usize,
    running: usize,
    keys: usize,
}

impl Answers {
    /// Finds a record.
    pub fn get(&self, name: &Name) -> Option<&Row> {
        self.rows.get(name)
    }

    /// All records in order of name.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, &Row)> {
        self.rows.iter()
    }

    /// Bytes that finished records take, as counted against the limit.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Number of running submissions.
    pub fn running(&self) -> usize {
        self.running
    }

    /// True if there is room for one more running submission under this name.
    pub fn has_room(&self, name: &Name, limits: &Limits) -> bool {
        let key_room = matches!(name, Name::Job(..)) || self.keys < limits.keys;
        self.running < limits.running && key_room
    }

    /// Adds a running submission.
    pub fn start(&mut self, name: Name, digest: Digest) {
        self.running += 1;
        self.keys += usize::from(matches!(name, Name::Key(_)));
        self.rows.insert(name, Row { digest, at: 0, state: State::Running });
    }

    /// Removes a running submission; false if there is none.
    pub fn cancel(&mut self, name: &Name) -> bool {
        let running = matches!(self.rows.get(name), Some(Row { state: State::Running, .. }));
        if running {
            self.rows.remove(name);
            self.running -= 1;
            self.keys -= usize::from(matches!(name, Name::Key(_)));
        }
        running
    }

    /// Stores the answer of a running submission; false if there is none.
    pub fn finish(&mut self, name: &Name, record: Record, now: u64) -> bool {
        let Some(row) = self.rows.get_mut(name) else {
            return false;
        };
        if !matches!(row.state, State::Running) {
            return false;
        }
        self.running -= 1;
        self.bytes += RECORD_BYTES + record.body.len();
        *row = Row { digest: row.digest, at: now, state: State::Done(record) };
        self.done.push_back(Slot { at: now, name: name.clone() });
        true
    }

    /// Takes finished records from another process; those already known are left as they are.
    pub fn merge(&mut self, rows: impl IntoIterator<Item = (Name, Row)>) {
        for (name, row) in rows {
            if self.rows.contains_key(&name) {
                continue;
            }
            let slot = Slot { at: row.at, name: name.clone() };
            match &row.state {
                State::Running => continue,
                State::Done(record) => {
                    self.bytes += RECORD_BYTES + record.body.len();
                    self.done.push_back(slot);
                }
                State::Dropped(_) => self.dropped.push_back(slot),
            }
            self.keys += usize::from(matches!(name, Name::Key(_)));
            self.rows.insert(name, row);
        }
        self.done.make_contiguous().sort_by_key(|slot| slot.at);
        self.dropped.make_contiguous().sort_by_key(|slot| slot.at);
    }

    /// Drops what is older than the retention, and the oldest answers above the limit of bytes.
    ///
    /// A key stays known without its answer until its retention ends, because nothing else tells
    /// that it ran. A job's window tells that it ran.
    pub fn expire(&mut self, limits: &Limits, now: u64) {
        let old = |at: u64| now.saturating_sub(at) >= limits.retention_us;
        while let Some(slot) = self.done.front() {
            if !old(slot.at) && self.bytes <= limits.answer_bytes {
                break;
            }
            let Some(slot) = self.done.pop_front() else { break };
            self.drop_answer(slot);
        }
        while self.dropped.front().is_some_and(|slot| old(slot.at)) {
            let Some(slot) = self.dropped.pop_front() else { break };
            self.rows.remove(&slot.name);
            self.keys -= 1;
        }
    }

    fn drop_answer(&mut self, slot: Slot) {
        let Some(row) = self.rows.get_mut(&slot.name) else {
            return;
        };
        if let State::Done(record) = &row.state {
            self.bytes -= RECORD_BYTES + record.body.len();
            row.state = State::Dropped(record.expired());
        }
        match slot.name {
            Name::Job(..) => drop(self.rows.remove(&slot.name)),
            Name::Key(_) => self.dropped.push_back(slot),
        }
    }
}
