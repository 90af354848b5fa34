//! Behaviour that is changed from outside.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Changes of behaviour, as posted to `/control`. What is left out stays as it is.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Control {
    /// Fail every task.
    pub fail: Option<bool>,
    /// Leave every task without an answer. `false` also closes the connections of those left.
    pub hang: Option<bool>,
    /// No task goes on or ends for this time, in milliseconds.
    pub stall_ms: Option<u64>,
    /// Multiplies the time that tasks take.
    pub slow: Option<f64>,
    /// Open connections are closed and new ones refused for this time, in milliseconds. Tasks that
    /// run go on.
    pub refuse_ms: Option<u64>,
    /// Forget the recorded starts.
    pub clear: Option<bool>,
}

/// Behaviour in force.
#[derive(Debug)]
pub(crate) struct Behaviour {
    pub fail: bool,
    pub hang: bool,
    pub slow: f64,
    pub stalled_until: Option<Instant>,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self { fail: false, hang: false, slow: 1.0, stalled_until: None }
    }
}

impl Behaviour {
    /// Applies the changes that concern tasks.
    pub fn apply(&mut self, control: &Control, now: Instant) {
        self.fail = control.fail.unwrap_or(self.fail);
        self.hang = control.hang.unwrap_or(self.hang);
        self.slow = control.slow.unwrap_or(self.slow);
        if let Some(ms) = control.stall_ms {
            self.stalled_until = Some(now + Duration::from_millis(ms));
        }
    }
}
