//! Settings that change how the upstream treats tasks while it runs.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Body of `POST /control`. An absent field leaves the setting unchanged.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Control {
    /// Makes every task fail.
    pub fail: Option<bool>,
    /// Leaves every task without a response. `false` also closes the connections of the tasks
    /// that were left without one.
    pub hang: Option<bool>,
    /// Time during which no task starts its sleep or ends, in milliseconds.
    pub stall_ms: Option<u64>,
    /// Factor that multiplies the sleep of tasks.
    pub slow: Option<f64>,
    /// Time during which new connections are refused, in milliseconds. Open connections are closed;
    /// running tasks continue.
    pub refuse_ms: Option<u64>,
    /// Deletes the recorded starts.
    pub clear: Option<bool>,
}

/// Settings in force.
#[derive(Debug)]
pub(crate) struct Behaviour {
    pub fail: bool,
    pub hang: bool,
    pub slowdown: f64,
    pub stalled_until: Option<Instant>,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self { fail: false, hang: false, slowdown: 1.0, stalled_until: None }
    }
}

impl Behaviour {
    /// Applies the changes that concern tasks; the others are up to the server.
    pub fn apply(&mut self, control: &Control, now: Instant) {
        self.fail = control.fail.unwrap_or(self.fail);
        self.hang = control.hang.unwrap_or(self.hang);
        self.slowdown = control.slow.unwrap_or(self.slowdown);
        if let Some(ms) = control.stall_ms {
            self.stalled_until = Some(now + Duration::from_millis(ms));
        }
    }
}
