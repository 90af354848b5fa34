//! Faults that the stand-in is told to show, and what it counted.

use serde::{Deserialize, Serialize};

/// Whether calls are answered.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Mode {
    /// Calls are answered.
    #[default]
    Up,
    /// Calls are answered with status 503 and take no effect; watches end.
    Refuse,
    /// Calls wait until the mode changes and then take effect; watches fall silent.
    Hang,
}

/// What a caller sees when the answer of a write is lost.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Lost {
    /// An answer that breaks off.
    #[default]
    Cut,
    /// No answer, on an open connection.
    Silent,
}

/// Body of `POST /control`. Fields that are absent stay as they are.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Control {
    /// Whether calls are answered.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub mode: Option<Mode>,
    /// Delay before each call takes effect, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub delay_ms: Option<u64>,
    /// Number of coming writes that take effect and whose answers are lost.
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
    pub(super) fn set(&mut self, control: &Control) {
        self.mode = control.mode.unwrap_or(self.mode);
        self.delay_ms = control.delay_ms.unwrap_or(self.delay_ms);
        self.lose_writes = control.lose_writes.unwrap_or(self.lose_writes);
        self.lost = control.lost.unwrap_or(self.lost);
    }

    /// Takes one write off the count of answers to lose.
    pub(super) fn take_loss(&mut self) -> Option<Lost> {
        let left = self.lose_writes.checked_sub(1)?;
        self.lose_writes = left;
        Some(self.lost)
    }
}

/// Calls received, by type, whether answered or not. A watch counts once.
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
