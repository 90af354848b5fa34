//! Metrics of the entry, recorded with `opentelemetry` and exposed in the Prometheus text format.

use std::sync::Arc;

use kingcup_dispatch::code::Code;
use kingcup_wire::Frame;
use opentelemetry::{
    metrics::{Counter, Gauge, Histogram, Meter},
    KeyValue,
};

use crate::metrics::{control_bytes, messages, Exporter, Tally, Total};

/// Bucket boundaries of the time histograms, in seconds.
const BOUNDS_S: [f64; 14] =
    [0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0];
/// Microseconds in a second.
const SECOND_US: f64 = 1_000_000.0;

/// A gauge's value at the time of a scrape.
#[derive(Debug, Clone)]
pub struct Sample {
    /// Value of the gauge's label: the name of a table, kind or service.
    pub label: Arc<str>,
    /// Value of the gauge.
    pub value: u64,
}

/// Values that are read from the entry's tables at a scrape.
#[derive(Debug, Default)]
pub struct Scrape {
    /// Number of rows or bytes of each table.
    pub tables: Vec<Sample>,
    /// Number of running tasks of each service and kind.
    pub running: Vec<Sample>,
    /// Number of waiting tasks of each service and kind.
    pub waiting: Vec<Sample>,
    /// Revision in force of each service.
    pub revisions: Vec<Sample>,
    /// Number of evacuated zones.
    pub evacuated_zones: u64,
    /// Number of bytes sent in datagrams since the start.
    pub sent_bytes: u64,
    /// Number of bytes received in datagrams since the start.
    pub received_bytes: u64,
    /// Number of datagrams rejected since the start.
    pub rejected: u64,
}

/// Instruments of the entry, and the totals already added to its counters.
pub struct Metrics {
    exporter: Exporter,
    accepted: Counter<u64>,
    refused: Counter<u64>,
    answered: Counter<u64>,
    response_s: Histogram<f64>,
    queue_s: Histogram<f64>,
    messages: Counter<u64>,
    control_bytes: Counter<u64>,
    rejected: Counter<u64>,
    tables: Gauge<u64>,
    running: Gauge<u64>,
    waiting: Gauge<u64>,
    revisions: Gauge<u64>,
    evacuated_zones: Gauge<u64>,
    tally: Tally,
    sent_bytes: Total,
    received_bytes: Total,
    rejected_total: Total,
}

fn time_histogram(meter: &Meter, name: &'static str, description: &'static str) -> Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_description(description)
        .with_unit("s")
        .with_boundaries(BOUNDS_S.to_vec())
        .build()
}

impl Metrics {
    /// Registers all instruments.
    ///
    /// # Errors
    ///
    /// Returns the error of opening the exporter.
    pub fn open() -> std::io::Result<Self> {
        let exporter = Exporter::open()?;
        let meter = exporter.meter();
        let counter =
            |name, description| meter.u64_counter(name).with_description(description).build();
        let gauge = |name, description| meter.u64_gauge(name).with_description(description).build();
        Ok(Self {
            accepted: counter("kingcup_accepted", "Jobs and requests accepted"),
            refused: counter("kingcup_refused", "Jobs and requests refused, by code"),
            answered: counter("kingcup_answered", "Jobs and requests answered, by code"),
            response_s: time_histogram(&meter, "kingcup_response", "From acceptance to the answer"),
            queue_s: time_histogram(&meter, "kingcup_queue", "From acceptance to the first start"),
            messages: messages(&meter),
            control_bytes: control_bytes(&meter),
            rejected: counter("kingcup_datagrams_rejected", "Damaged or foreign datagrams"),
            tables: gauge("kingcup_table_size", "Rows or bytes of each table"),
            running: gauge("kingcup_running", "Tasks of this entry without outcome"),
            waiting: gauge("kingcup_waiting", "Tasks that wait at this entry"),
            revisions: gauge("kingcup_revision", "Revision of the document in force"),
            evacuated_zones: gauge("kingcup_evacuated_zones", "Zones that get no new starts"),
            exporter,
            tally: Tally::default(),
            sent_bytes: Total::default(),
            received_bytes: Total::default(),
            rejected_total: Total::default(),
        })
    }

    /// Counts an accepted submission of a kind.
    pub fn accepted(&self, kind: &Arc<str>) {
        self.accepted.add(1, &[KeyValue::new("kind", kind.clone())]);
    }

    /// Counts a submission refused with a code.
    pub fn refused(&self, code: Code) {
        self.refused.add(1, &[KeyValue::new("code", i64::from(code.number()))]);
    }

    /// Counts the answer to an accepted submission and records the time since its acceptance.
    pub fn answered(&self, kind: &Arc<str>, code: Code, taken_us: u64) {
        let kind = KeyValue::new("kind", kind.clone());
        self.response_s.record(taken_us as f64 / SECOND_US, std::slice::from_ref(&kind));
        self.answered.add(1, &[kind, KeyValue::new("code", i64::from(code.number()))]);
    }

    /// Records the time from a job's acceptance to its first start.
    pub fn queued(&self, kind: &Arc<str>, waited_us: u64) {
        let kind = KeyValue::new("kind", kind.clone());
        self.queue_s.record(waited_us as f64 / SECOND_US, &[kind]);
    }

    /// Counts a sent message by its type.
    pub fn sent(&mut self, frame: &Frame<'_>) {
        self.tally.sent(frame);
    }

    /// Counts a received message by its type.
    pub fn received(&mut self, frame: &Frame<'_>) {
        self.tally.received(frame);
    }

    /// Updates all instruments and returns them in the text format.
    pub fn text(&mut self, scrape: &Scrape) -> Vec<u8> {
        self.tally.add_to(&self.messages);
        self.add_datagrams(scrape);
        record(&self.tables, "table", &scrape.tables);
        record(&self.running, "kind", &scrape.running);
        record(&self.waiting, "kind", &scrape.waiting);
        record(&self.revisions, "service", &scrape.revisions);
        self.evacuated_zones.record(scrape.evacuated_zones, &[]);
        self.exporter.text()
    }

    /// Adds what was sent, received and rejected since the last scrape to the datagram counters.
    fn add_datagrams(&mut self, scrape: &Scrape) {
        let sent = self.sent_bytes.increase(scrape.sent_bytes);
        self.control_bytes.add(sent, &[KeyValue::new("direction", "sent")]);
        let received = self.received_bytes.increase(scrape.received_bytes);
        self.control_bytes.add(received, &[KeyValue::new("direction", "received")]);
        self.rejected.add(self.rejected_total.increase(scrape.rejected), &[]);
    }
}

fn record(gauge: &Gauge<u64>, label: &'static str, samples: &[Sample]) {
    for sample in samples {
        gauge.record(sample.value, &[KeyValue::new(label, sample.label.clone())]);
    }
}
