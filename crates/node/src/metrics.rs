//! Metrics that both daemons have, by `opentelemetry`, in the text form of Prometheus.

use std::{io, mem};

use kingcup_wire::Frame;
use opentelemetry::{
    metrics::{Counter, Meter, MeterProvider as _},
    KeyValue,
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// Names of the message types, in the order of `index`.
const TYPES: [&str; 23] = [
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
];

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
    }
}

/// Messages since the last scrape, counted in plain numbers on the hot path.
#[derive(Debug, Default)]
pub struct Tally {
    sent: [u64; TYPES.len()],
    received: [u64; TYPES.len()],
}

impl Tally {
    /// Counts a message that was sent.
    pub fn sent(&mut self, frame: &Frame<'_>) {
        self.sent[index(frame)] += 1;
    }

    /// Counts a message that was received.
    pub fn received(&mut self, frame: &Frame<'_>) {
        self.received[index(frame)] += 1;
    }

    /// Adds the messages to their counter, by type and direction, and starts again at zero.
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

/// Counter of messages, with the name and description that all daemons use.
pub fn messages(meter: &Meter) -> Counter<u64> {
    let counter = meter.u64_counter("kingcup_messages");
    counter.with_description("Messages between the system's processes").build()
}

/// Counter of the bytes of datagrams, with the name and description that all daemons use.
pub fn control_bytes(meter: &Meter) -> Counter<u64> {
    meter.u64_counter("kingcup_control_bytes").with_description("Bytes of datagrams").build()
}

/// Last value that was added to a counter whose source keeps a total.
#[derive(Debug, Default)]
pub struct Total(u64);

impl Total {
    /// Growth since the last call.
    pub fn increase(&mut self, total: u64) -> u64 {
        let before = mem::replace(&mut self.0, total);
        total.saturating_sub(before)
    }
}

/// Registry of a daemon's metrics.
pub struct Exporter {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl Exporter {
    /// Opens an empty registry.
    ///
    /// # Errors
    ///
    /// The error of the exporter.
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

    /// Makes the daemon's instruments.
    pub fn meter(&self) -> Meter {
        self.provider.meter("kingcup")
    }

    /// Text for a scrape.
    pub fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::warn!("event=metrics_failed error={error:?}");
        }
        text
    }
}
