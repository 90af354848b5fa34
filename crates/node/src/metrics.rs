//! Metrics common to all daemons, recorded by `opentelemetry` and exported in the text format of
//! Prometheus.

use std::{io, mem};

use kingcup_wire::Frame;
use opentelemetry::{
    metrics::{Counter, Meter, MeterProvider as _},
    KeyValue,
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// Values of the `type` label for message types, in the order of `index`.
const TYPES: [&str; 24] = [
    "hello",
    "welcome",
    "start",
    "finish",
    "refuse",
    "recall",
    "recalled",
    "inquire",
    "fates",
    "probe",
    "probe_ack",
    "load",
    "closing",
    "fetch",
    "document",
    "forward",
    "forwarded",
    "handover",
    "handover_ack",
    "announce",
    "announce_ack",
    "digest",
    "run",
    "evacuations",
];

/// Returns the index of a message type in `TYPES`.
fn index(frame: &Frame<'_>) -> usize {
    match frame {
        Frame::Hello(_) => 0,
        Frame::Welcome(_) => 1,
        Frame::Start(_) => 2,
        Frame::Finish(_) => 3,
        Frame::Refuse(_) => 4,
        Frame::Recall(_) => 5,
        Frame::Recalled(_) => 6,
        Frame::Inquire(_) => 7,
        Frame::Reports(_) => 8,
        Frame::Probe(_) => 9,
        Frame::ProbeAck(_) => 10,
        Frame::Load(_) => 11,
        Frame::Closing => 12,
        Frame::Fetch(_) => 13,
        Frame::Document(_) => 14,
        Frame::Forward(_) => 15,
        Frame::Forwarded(_) => 16,
        Frame::Handover(_) => 17,
        Frame::HandoverAck(_) => 18,
        Frame::Announce(_) => 19,
        Frame::AnnounceAck(_) => 20,
        Frame::Digest(_) => 21,
        Frame::Run(_) => 22,
        Frame::Evacuations(_) => 23,
    }
}

/// Numbers of messages since the last scrape. Plain integers keep counting cheap on the hot path.
#[derive(Debug, Default)]
pub struct Tally {
    sent: [u64; TYPES.len()],
    received: [u64; TYPES.len()],
}

impl Tally {
    /// Counts a sent message.
    pub fn sent(&mut self, frame: &Frame<'_>) {
        self.sent[index(frame)] += 1;
    }

    /// Counts a received message.
    pub fn received(&mut self, frame: &Frame<'_>) {
        self.received[index(frame)] += 1;
    }

    /// Adds the numbers to `counter`, by type and direction, and resets them to zero.
    pub fn add_to(&mut self, counter: &Counter<u64>) {
        let tally = mem::take(self);
        for (direction, counts) in [("sent", tally.sent), ("received", tally.received)] {
            for (name, count) in TYPES.iter().zip(counts).filter(|(_, count)| *count > 0) {
                let labels = [KeyValue::new("type", *name), KeyValue::new("direction", direction)];
                counter.add(count, &labels);
            }
        }
    }
}

/// Creates the counter of messages, with the name and description that all daemons use.
pub fn messages(meter: &Meter) -> Counter<u64> {
    let counter = meter.u64_counter("kingcup_messages");
    counter.with_description("Messages between the system's processes").build()
}

/// Creates the counter of datagram bytes, with the name and description that all daemons use.
pub fn control_bytes(meter: &Meter) -> Counter<u64> {
    meter.u64_counter("kingcup_control_bytes").with_description("Bytes of datagrams").build()
}

/// Last total reported by a source that counts monotonically.
#[derive(Debug, Default)]
pub struct Total(u64);

impl Total {
    /// Returns the increase of the total since the last call.
    pub fn increase(&mut self, total: u64) -> u64 {
        let previous = mem::replace(&mut self.0, total);
        total.saturating_sub(previous)
    }
}

/// Registry and exporter of a daemon's metrics.
pub struct Exporter {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl Exporter {
    /// Creates an exporter with an empty registry.
    ///
    /// # Errors
    ///
    /// Returns an error if the exporter cannot be created.
    pub fn open() -> io::Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .map_err(io::Error::other)?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self { registry, provider })
    }

    /// Returns the meter that creates the daemon's instruments.
    pub fn meter(&self) -> Meter {
        self.provider.meter("kingcup")
    }

    /// Returns the current values in the text format of Prometheus.
    pub fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::warn!("event=metrics_failed error={error:?}");
        }
        text
    }
}
