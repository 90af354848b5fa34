//! Task of a request, and the answer to it.

use std::{
    thread,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Upper bound of the interval at which a stalled task checks whether the stall has ended, in
/// milliseconds.
const MAX_STALL_STEP_MS: u64 = 10;

/// Limit on the length of an `echo` that is recorded, in bytes.
const MAX_ECHO_BYTES: usize = 128;

/// What the body of a task asks for. Unknown fields are ignored.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Task {
    pub sleep_ms: f64,
    pub echo: Value,
    pub fail: bool,
    pub hang: bool,
    pub status: Option<u16>,
}

/// Body of the response to a task that has ended.
#[derive(Debug, Serialize)]
pub(crate) struct Answer<'a> {
    pub echo: &'a Value,
    pub job: &'a str,
    pub task: Option<u16>,
}

impl Task {
    /// Parses a body; an empty one stands for the defaults.
    pub fn parse(body: &[u8]) -> Result<Self, serde_json::Error> {
        if body.is_empty() {
            return Ok(Self::default());
        }
        serde_json::from_slice(body)
    }

    /// Returns `echo` if it is a short string.
    pub fn short_echo(&self) -> Option<String> {
        self.echo.as_str().filter(|text| text.len() <= MAX_ECHO_BYTES).map(str::to_owned)
    }

    /// Returns the HTTP status of the response.
    pub fn status(&self, fail_all: bool) -> u16 {
        let failed = self.fail || fail_all;
        self.status.unwrap_or(if failed { 500 } else { 200 })
    }

    /// Sleeps for the task's time multiplied by `slowdown`. Waits out a stall before and after it.
    pub fn sleep(&self, slowdown: f64, stalled_until: impl Fn() -> Option<Instant>) {
        wait_while_stalled(&stalled_until);
        let seconds = (self.sleep_ms.max(0.0) * slowdown.max(0.0)) / 1000.0;
        if let Ok(time) = Duration::try_from_secs_f64(seconds) {
            thread::sleep(time);
        }
        wait_while_stalled(&stalled_until);
    }
}

fn wait_while_stalled(stalled_until: impl Fn() -> Option<Instant>) {
    while let Some(remaining) =
        stalled_until().and_then(|until| until.checked_duration_since(Instant::now()))
    {
        thread::sleep(remaining.min(Duration::from_millis(MAX_STALL_STEP_MS)));
    }
}
