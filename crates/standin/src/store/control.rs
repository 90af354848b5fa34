//! Faults of the store that a test can switch on, and counters of the calls received.

use serde::{Deserialize, Serialize};

/// How calls are handled.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Mode {
    /// Calls are answered.
    #[default]
    Up,
    /// Calls are answered with status 503 and take no effect; watches end.
    Refuse,
    /// Calls wait until the mode changes and then take effect; watches send nothing meanwhile.
    Hang,
}

/// What a caller sees when the response to a write is lost.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Lost {
    /// A response that breaks off.
    #[default]
    Cut,
    /// No response, while the connection stays open.
    Silent,
}

/// Body of `POST /control`. An absent field leaves the setting unchanged.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Control {
    /// How calls are handled.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub mode: Option<Mode>,
    /// Delay before each call takes effect, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub delay_ms: Option<u64>,
    /// Number of future writes that take effect but whose responses are lost.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lose_writes: Option<u64>,
    /// What the callers of these writes see.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lost: Option<Lost>,
}

/// Faults in force.
#[derive(Debug, Default)]
pub(super) struct Faults {
    pub mode: Mode,
    pub delay_ms: u64,
    pub lose_writes: u64,
    pub lost: Lost,
}

impl Faults {
    pub(super) fn apply(&mut self, control: &Control) {
        self.mode = control.mode.unwrap_or(self.mode);
        self.delay_ms = control.delay_ms.unwrap_or(self.delay_ms);
        self.lose_writes = control.lose_writes.unwrap_or(self.lose_writes);
        self.lost = control.lost.unwrap_or(self.lost);
    }

    /// Decrements the number of responses to lose, and returns what the caller sees; `None` if no
    /// response is to be lost.
    pub(super) fn consume_loss(&mut self) -> Option<Lost> {
        let remaining = self.lose_writes.checked_sub(1)?;
        self.lose_writes = remaining;
        Some(self.lost)
    }
}

/// Calls received by type, whether answered or not. A watch counts once, however many events it
/// sends.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Calls to `/v3/kv/range`.
    pub range: u64,
    /// Calls to `/v3/kv/txn`.
    pub txn: u64,
    /// Calls to `/v3/lease/grant`.
    pub lease_grant: u64,
    /// Calls to `/v3/lease/keepalive`.
    pub lease_keepalive: u64,
    /// Calls to `/v3/watch`.
    pub watch: u64,
    /// Transactions that put a value.
    pub writes: u64,
}
