//! Faults that the proxy injects, and the random draw that selects them.

use std::time::Duration;

use fastrand::Rng;
use serde::{Deserialize, Serialize};

/// Upper bound of the extra delay of a reordered datagram, in milliseconds.
const MAX_REORDER_MS: u64 = 20;

/// Direction of forwarding, named by the receiving side.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Side {
    /// From the client to the target.
    ToTarget,
    /// From the target to the client.
    ToClient,
}

/// Fault probabilities from 0 to 1, each applied to every chunk of a stream or every datagram.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rates {
    /// Probability that it is lost.
    pub drop: f64,
    /// Probability that it is forwarded twice.
    pub duplicate: f64,
    /// Probability that one of its bits is flipped.
    pub damage: f64,
    /// Probability that a datagram is held back, so that later ones overtake it. The order within
    /// a stream is kept.
    pub reorder: f64,
    /// Probability that it is delayed. In a stream, everything behind it waits as well.
    pub delay: f64,
    /// Lower bound of the delay, in milliseconds.
    pub delay_min_ms: u64,
    /// Upper bound of the delay, in milliseconds.
    pub delay_max_ms: u64,
}

/// Faults in force.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Rates for chunks of TCP streams.
    pub tcp: Rates,
    /// Rates for datagrams.
    pub udp: Rates,
    /// Direction in which nothing is forwarded: datagrams are lost, and streams are held back
    /// until the fault is cleared, as with retransmission.
    pub one_way: Option<Side>,
    /// Only direction in which chunks of streams are delayed; both if absent.
    pub delay_side: Option<Side>,
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
    /// Draws the faults of one chunk or datagram. Makes the same number of draws whatever the rates
    /// are.
    pub(super) fn draw(&self, rng: &mut Rng) -> Draw {
        let drop = rng.f64() < self.drop;
        let duplicate = rng.f64() < self.duplicate;
        let damage = rng.f64() < self.damage;
        let reorder = rng.f64() < self.reorder;
        let delay = rng.f64() < self.delay;
        let reorder_ms = rng.u64(1..=MAX_REORDER_MS);
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

/// Flips one random bit; does nothing if there are no bytes.
pub(super) fn flip_bit(bytes: &mut [u8], rng: &mut Rng) {
    if bytes.is_empty() {
        return;
    }
    let index = rng.usize(..bytes.len());
    bytes[index] ^= 1 << rng.u32(..8);
}
