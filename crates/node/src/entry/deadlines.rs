//! Deadlines that callers have set for their jobs.

use std::{cmp::Reverse, collections::BinaryHeap};

use kingcup_dispatch::job;

use super::services::{Handle, Id};

/// A deadline of a job, ordered by time.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Row {
    deadline_us: u64,
    service: usize,
    job: job::Key,
}

/// Deadlines of jobs. Those of jobs that have ended remain until they pass; the user of the table
/// skips them.
#[derive(Debug, Default)]
pub struct Table {
    rows: BinaryHeap<Reverse<Row>>,
}

impl Table {
    /// Adds a job's deadline.
    pub fn push(&mut self, deadline_us: u64, place: Handle) {
        let Handle { service: Id(service), job } = place;
        self.rows.push(Reverse(Row { deadline_us, service, job }));
    }

    /// Removes and returns a job whose deadline has passed.
    pub fn pop(&mut self, now_us: u64) -> Option<Handle> {
        let Reverse(row) = self.rows.peek()?;
        if row.deadline_us > now_us {
            return None;
        }
        let Reverse(row) = self.rows.pop()?;
        Some(Handle { service: Id(row.service), job: row.job })
    }
}
