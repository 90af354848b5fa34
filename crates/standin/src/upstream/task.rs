//! One task.

use std::{
    thread,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Longest sleep between looks at a stall, in milliseconds.
const STALL_STEP_MS: u64 = 10;

/// Longest text to be returned that is recorded, in bytes.
const ECHO_BYTES: usize = 128;

/// What a task's body asks for; anything else in it is ignored.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Task {
    pub sleep_ms: f64,
    pub echo: Value,
    pub fail: bool,
    pub hang: bool,
    pub status: Option<u16>,
}

/// Answer to a task that succeeded.
#[derive(Debug, Serialize)]
pub(crate) struct Answer<'a> {
    pub echo: &'a Value,
    pub job: &'a str,
    pub task: Option<u16>,
}

impl Task {
    /// Reads a body; an empty one asks for nothing.
    pub fn parse(body: &[u8]) -> Result<Self, serde_json::Error> {
        if body.is_empty() {
            return Ok(Self::default());
        }
        serde_json::from_slice(body)
    }

    /// What is to be returned, if it is a short text.
    pub fn short_echo(&self) -> Option<String> {
        self.echo.as_str().filter(|text| text.len() <= ECHO_BYTES).map(str::to_owned)
    }

    /// HTTP status of the answer.
    pub fn status(&self, fail_all: bool) -> u16 {
        let failed = self.fail || fail_all;
        self.status.unwrap_or(if failed { 500 } else { 200 })
    }

    /// Sleeps for the task's time, longer by `slow`, and while a stall lasts.
    pub fn sleep(&self, slow: f64, stalled_until: impl Fn() -> Option<Instant>) {
        wait_while_stalled(&stalled_until);
        let seconds = (self.sleep_ms.max(0.0) * slow.max(0.0)) / 1000.0;
        if let Ok(time) = Duration::try_from_secs_f64(seconds) {
            thread::sleep(time);
        }
        wait_while_stalled(&stalled_until);
    }
}

fn wait_while_stalled(stalled_until: impl Fn() -> Option<Instant>) {
    while let Some(left) =
        stalled_until().and_then(|until| until.checked_duration_since(Instant::now()))
    {
        thread::sleep(left.min(Duration::from_millis(STALL_STEP_MS)));
    }
}
