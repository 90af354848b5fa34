//! Metrics of the sidecar process.

use std::io;

use kingcup_dispatch::{code::Code, evacuation::Table, gate::Gate};
use kingcup_wire::Frame;
use opentelemetry::{
    metrics::{Counter, Gauge},
    KeyValue,
};

use crate::{
    datagram::Port,
    metrics::{control_bytes, messages, Exporter, Tally, Total},
};

/// Instruments of the sidecar, with the totals that they have exported so far.
pub struct Metrics {
    exporter: Exporter,
    calls: Counter<u64>,
    refused: Counter<u64>,
    messages: Counter<u64>,
    control_bytes: Counter<u64>,
    rejected: Counter<u64>,
    running: Gauge<u64>,
    queued: Gauge<u64>,
    records: Gauge<u64>,
    revision: Gauge<u64>,
    evacuated_zones: Gauge<u64>,
    tally: Tally,
    sent_bytes: Total,
    received_bytes: Total,
    rejected_total: Total,
}

impl Metrics {
    /// Registers all metrics.
    ///
    /// # Errors
    ///
    /// The error of the exporter.
    pub fn open() -> io::Result<Self> {
        let exporter = Exporter::open()?;
        let meter = exporter.meter();
        let counter = |name, about| meter.u64_counter(name).with_description(about).build();
        let gauge = |name, about| meter.u64_gauge(name).with_description(about).build();
        Ok(Self {
            calls: counter("kingcup_calls", "Calls made to the upstream"),
            refused: counter("kingcup_starts_refused", "Starts refused as not run, by code"),
            messages: messages(&meter),
            control_bytes: control_bytes(&meter),
            rejected: counter("kingcup_datagrams_rejected", "Damaged or foreign datagrams"),
            running: gauge("kingcup_running", "Calls that have not ended"),
            queued: gauge("kingcup_queued", "Starts that wait for a slot"),
            records: gauge("kingcup_records", "Start records kept"),
            revision: gauge("kingcup_revision", "Revision of the document in force"),
            evacuated_zones: gauge("kingcup_evacuated_zones", "Zones that get no new starts"),
            exporter,
            tally: Tally::default(),
            sent_bytes: Total::default(),
            received_bytes: Total::default(),
            rejected_total: Total::default(),
        })
    }

    /// Counts a call to the upstream.
    pub fn called(&self) {
        self.calls.add(1, &[]);
    }

    /// Counts a refused start.
    pub fn refused(&self, code: Code) {
        self.refused.add(1, &[KeyValue::new("code", i64::from(code.number()))]);
    }

    /// Counts a message that was sent.
    pub fn sent(&mut self, frame: &Frame<'_>) {
        self.tally.sent(frame);
    }

    /// Counts a message that was received.
    pub fn received(&mut self, frame: &Frame<'_>) {
        self.tally.received(frame);
    }

    /// Returns all metrics in the text format of a scrape.
    pub fn text(&mut self, gate: &Gate, evacuations: &Table, port: &Port) -> Vec<u8> {
        self.tally.add_to(&self.messages);
        let sent = self.sent_bytes.increase(port.sent_bytes);
        self.control_bytes.add(sent, &[KeyValue::new("direction", "sent")]);
        let received = self.received_bytes.increase(port.received_bytes);
        self.control_bytes.add(received, &[KeyValue::new("direction", "received")]);
        self.rejected.add(self.rejected_total.increase(port.rejected), &[]);
        self.running.record(gate.running() as u64, &[]);
        self.queued.record(gate.queued() as u64, &[]);
        self.records.record(gate.records() as u64, &[]);
        self.revision.record(gate.revision(), &[]);
        self.evacuated_zones.record(evacuations.zones().len() as u64, &[]);
        self.exporter.text()
    }
}
