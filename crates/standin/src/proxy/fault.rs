//! What can go wrong, and the draw that decides whether it does.

use std::time::Duration;

use fastrand::Rng;
use serde::{Deserialize, Serialize};

/// Longest extra delay of a reordered datagram, in milliseconds.
const REORDER_MS: u64 = 20;

/// Direction of travel, by the receiving side.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Side {
    /// From the client to the target.
    ToTarget,
    /// From the target to the client.
    ToClient,
}

/// Probabilities from 0 to 1 for each chunk of a stream or each datagram.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rates {
    /// It is lost.
    pub drop: f64,
    /// It is forwarded twice.
    pub duplicate: f64,
    /// One of its bits is flipped.
    pub damage: f64,
    /// It is forwarded after later ones. Has no effect on a stream.
    pub reorder: f64,
    /// It is delayed. In a stream, everything behind it waits too.
    pub delay: f64,
    /// Shortest delay, in milliseconds.
    pub delay_min_ms: u64,
    /// Longest delay, in milliseconds.
    pub delay_max_ms: u64,
}

/// All faults in force.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// For chunks of TCP streams.
    pub tcp: Rates,
    /// For datagrams.
    pub udp: Rates,
    /// Nothing travels in this direction: datagrams are lost, and streams are held back until the
    /// loss ends, as retransmission would do.
    pub one_way: Option<Side>,
}

/// Result of the draw for one chunk or datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Draw {
    pub drop: bool,
    pub duplicate: bool,
    pub damage: bool,
    pub delay: Duration,
}

impl Rates {
    /// Draws what happens to one chunk or datagram. Takes a fixed number of draws.
    pub(super) fn draw(&self, rng: &mut Rng) -> Draw {
        let drop = rng.f64() < self.drop;
        let duplicate = rng.f64() < self.duplicate;
        let damage = rng.f64() < self.damage;
        let reorder = rng.f64() < self.reorder;
        let delay = rng.f64() < self.delay;
        let reorder_ms = rng.u64(1..=REORDER_MS);
        let delay_max_ms = self.delay_max_ms.max(self.delay_min_ms);
        let delay_ms = rng.u64(self.delay_min_ms..=delay_max_ms);
        let mut total_ms = 0;
        if reorder {
            total_ms += reorder_ms;
        }
        if delay {
            total_ms += delay_ms;
        }
        Draw { drop, duplicate, damage, delay: Duration::from_millis(total_ms) }
    }
}

/// Flips one bit.
pub(super) fn flip(bytes: &mut [u8], rng: &mut Rng) {
    if bytes.is_empty() {
        return;
    }
    let index = rng.usize(..bytes.len());
    bytes[index] ^= 1 << rng.u32(..8);
}
