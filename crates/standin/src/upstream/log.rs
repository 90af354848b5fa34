//! Record of starts and ends.

use std::io;

use serde::{Deserialize, Serialize};

/// Most starts recorded; later ones are counted.
const ROWS: usize = 2_000_000;

/// One start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Job ID from `Kingcup-Job`; empty without the header.
    pub job: String,
    /// Task from `Kingcup-Task`; none without the header or if it is not a number.
    pub task: Option<u16>,
    /// What the task's body asks to be returned, if it is a short text. Names the work independently
    /// of the job ID.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub echo: Option<String>,
    /// Time of the start, in microseconds of the system's monotonic clock.
    pub start_us: u64,
    /// Time of the end; none while it runs or if it was left without an answer.
    pub end_us: Option<u64>,
    /// HTTP status of the answer.
    pub status: Option<u16>,
}

/// All starts, as served on `/starts`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Starts {
    /// Starts in order of their time.
    pub starts: Vec<Row>,
    /// Starts that were not recorded because there were too many.
    pub unrecorded: u64,
}

/// Names a recorded start.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Place {
    at: usize,
    epoch: u64,
}

/// The record.
#[derive(Debug, Default)]
pub(crate) struct Log {
    starts: Starts,
    epoch: u64,
}

impl Log {
    /// Records a start.
    pub fn start(&mut self, job: String, task: Option<u16>, echo: Option<String>) -> Option<Place> {
        if self.starts.starts.len() >= ROWS {
            self.starts.unrecorded += 1;
            return None;
        }
        let row = Row { job, task, echo, start_us: monotonic_us(), end_us: None, status: None };
        self.starts.starts.push(row);
        Some(Place { at: self.starts.starts.len() - 1, epoch: self.epoch })
    }

    /// Records the end of a start. One from before `clear` is ignored.
    pub fn end(&mut self, place: Option<Place>, status: u16) {
        let Some(place) = place.filter(|place| place.epoch == self.epoch) else {
            return;
        };
        let row = &mut self.starts.starts[place.at];
        row.end_us = Some(monotonic_us());
        row.status = Some(status);
    }

    /// The starts so far.
    pub fn starts(&self) -> &Starts {
        &self.starts
    }

    /// Forgets the starts so far.
    pub fn clear(&mut self) {
        self.starts = Starts::default();
        self.epoch += 1;
    }
}

/// The system's monotonic clock, which all processes of a machine share, in microseconds.
pub(crate) fn monotonic_us() -> u64 {
    let mut time = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: the call only writes to the structure it is given.
    let result = unsafe { libc::clock_gettime(libc::CLOCK_MONOTONIC, &mut time) };
    assert_eq!(result, 0, "no monotonic clock: {}", io::Error::last_os_error());
    time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000
}
