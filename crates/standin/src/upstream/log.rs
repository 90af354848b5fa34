//! Log of the starts and ends of tasks.

use std::io;

use serde::{Deserialize, Serialize};

/// Limit on recorded starts; later ones are only counted.
const MAX_ROWS: usize = 2_000_000;

/// Start of a task, and its end once it has ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Job ID from the header `Kingcup-Job`; empty if it is absent.
    pub job: String,
    /// Index of the task from the header `Kingcup-Task`; `None` if it is absent or not a number.
    pub task: Option<u16>,
    /// `echo` of the task's body if it is a short string. Identifies the work independently of the
    /// job ID.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub echo: Option<String>,
    /// Time of the start, in microseconds of the system's monotonic clock.
    pub start_us: u64,
    /// Time of the end on the same clock; `None` while the task runs or if it was left without a
    /// response.
    pub end_us: Option<u64>,
    /// HTTP status of the response; `None` if there was none so far.
    pub status: Option<u16>,
}

/// All recorded starts, as served at `/starts`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Starts {
    /// Starts ordered by time.
    pub starts: Vec<Row>,
    /// Number of starts that were not recorded because the log was full.
    pub unrecorded: u64,
}

/// Position of a recorded start; invalid once the log is cleared.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Position {
    index: usize,
    epoch: u64,
}

/// Log of starts. The epoch counts how often it was cleared.
#[derive(Debug, Default)]
pub(crate) struct Log {
    starts: Starts,
    epoch: u64,
}

impl Log {
    /// Records a start. Returns `None` if the log is full.
    pub fn start(
        &mut self,
        job: String,
        task: Option<u16>,
        echo: Option<String>,
    ) -> Option<Position> {
        if self.starts.starts.len() >= MAX_ROWS {
            self.starts.unrecorded += 1;
            return None;
        }
        let row = Row { job, task, echo, start_us: monotonic_us(), end_us: None, status: None };
        self.starts.starts.push(row);
        Some(Position { index: self.starts.starts.len() - 1, epoch: self.epoch })
    }

    /// Records the end of a task. A start from before the last `clear` is ignored.
    pub fn end(&mut self, position: Option<Position>, status: u16) {
        let Some(position) = position.filter(|position| position.epoch == self.epoch) else {
            return;
        };
        let row = &mut self.starts.starts[position.index];
        row.end_us = Some(monotonic_us());
        row.status = Some(status);
    }

    /// Returns the recorded starts.
    pub fn starts(&self) -> &Starts {
        &self.starts
    }

    /// Deletes the recorded starts.
    pub fn clear(&mut self) {
        self.starts = Starts::default();
        self.epoch += 1;
    }
}

/// Returns the time of the system's monotonic clock, which all processes of a machine share, in
/// microseconds.
pub(crate) fn monotonic_us() -> u64 {
    let mut time = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: the call writes only to the structure that it is given.
    let result = unsafe { libc::clock_gettime(libc::CLOCK_MONOTONIC, &mut time) };
    assert_eq!(result, 0, "clock_gettime failed: {}", io::Error::last_os_error());
    time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000
}
