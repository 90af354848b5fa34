//! Metrics of the entry and the sidecar that exchange runs.

use std::io;

use kingcup_dispatch::{
    cancel::Verdict,
    plan::{Answer, Planner},
    worker::{Outcome, Reason, Reply, Supervisor},
};
use opentelemetry::{
    metrics::{Counter, Gauge, Histogram},
    KeyValue,
};

use super::{evacuation::Orders, refusal};
use crate::metrics::Exporter;

/// Bucket boundaries of the duration histograms, in milliseconds: from an urgent task to the
/// longest job.
const BOUNDS_MS: [f64; 12] =
    [5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 400.0, 800.0, 1_500.0, 3_000.0, 6_000.0, 12_000.0];

/// Metrics of an entry.
pub struct Entry {
    exporter: Exporter,
    jobs: Counter<u64>,
    job_ms: Histogram<f64>,
    starts: Counter<u64>,
    refusals: Counter<u64>,
    held: Gauge<u64>,
    cancels: Counter<u64>,
    cancel_messages: Counter<u64>,
    cancel_questions: Gauge<u64>,
    tombstones: Gauge<u64>,
    unanswered: Gauge<u64>,
    workers: Gauge<u64>,
    connections: Gauge<u64>,
    version: Gauge<u64>,
    evacuations: Evacuations,
}

/// Metrics of a sidecar.
pub struct Sidecar {
    exporter: Exporter,
    ends: Counter<u64>,
    run_ms: Histogram<f64>,
    refusals: Counter<u64>,
    orders: Counter<u64>,
    running: Gauge<u64>,
    waiting: Gauge<u64>,
    entries: Gauge<u64>,
    evacuations: Evacuations,
}

/// Metrics of orders to evacuate zones.
struct Evacuations {
    zones: Gauge<u64>,
    revision: Gauge<u64>,
}

impl Evacuations {
    fn open(exporter: &Exporter) -> Self {
        let meter = exporter.meter();
        let gauge = |name, description| meter.u64_gauge(name).with_description(description).build();
        Self {
            zones: gauge("kingcup_evacuated_zones", "Evacuated availability zones"),
            revision: gauge(
                "kingcup_evacuation_revision",
                "Revision of the store whose orders to evacuate zones are in force",
            ),
        }
    }

    /// Updates the gauges. A process that follows no orders has no values.
    fn record(&self, orders: &Orders) {
        if orders.is_enabled() {
            self.zones.record(orders.table().zones().len() as u64, &[]);
            self.revision.record(orders.table().revision(), &[]);
        }
    }
}

impl Entry {
    /// Creates the exporter and registers all metrics.
    ///
    /// # Errors
    ///
    /// Returns the error of the exporter.
    pub fn open() -> io::Result<Self> {
        let exporter = Exporter::open()?;
        let meter = exporter.meter();
        let counter =
            |name, description| meter.u64_counter(name).with_description(description).build();
        let gauge = |name, description| meter.u64_gauge(name).with_description(description).build();
        let job_ms = meter
            .f64_histogram("kingcup_job_ms")
            .with_description("Time from a job's arrival to its answer, in milliseconds, by answer")
            .with_boundaries(BOUNDS_MS.to_vec());
        Ok(Self {
            jobs: counter("kingcup_jobs", "Jobs that were answered, by answer"),
            job_ms: job_ms.build(),
            starts: counter("kingcup_starts_sent", "Starts that were sent to sidecars"),
            refusals: counter("kingcup_refusals", "Requests refused without a job, by reason"),
            held: gauge("kingcup_held", "Requests held until they can be handled"),
            cancels: counter("kingcup_cancels", "Cancels that were answered, by answer"),
            cancel_messages: counter(
                "kingcup_cancel_messages",
                "Messages to and from other entries about cancels, by message",
            ),
            cancel_questions: gauge(
                "kingcup_cancel_questions",
                "Questions to other entries about cancels that are open",
            ),
            tombstones: gauge("kingcup_tombstones", "Cancels that refuse jobs arriving later"),
            unanswered: gauge("kingcup_jobs_unanswered", "Jobs without an answer"),
            workers: gauge("kingcup_workers", "Workers that take work"),
            connections: gauge("kingcup_connections", "Connections of callers"),
            version: gauge("kingcup_config_version", "Version of the configuration in force"),
            evacuations: Evacuations::open(&exporter),
            exporter,
        })
    }

    /// Counts an answer to a job and records its duration.
    pub fn answered(&self, answer: Answer, took_us: u64) {
        let name = match answer {
            Answer::Completed => "completed",
            Answer::Failed => "failed",
            Answer::NotRun { .. } => "not_run",
            Answer::GaveUp => "gave_up",
        };
        let labels = [KeyValue::new("answer", name)];
        self.jobs.add(1, &labels);
        self.job_ms.record(took_us as f64 / 1000.0, &labels);
    }

    /// Counts starts that were sent.
    pub fn started(&self, tasks: usize) {
        self.starts.add(tasks as u64, &[]);
    }

    /// Updates the gauges of orders to evacuate zones.
    pub fn evacuated(&self, orders: &Orders) {
        self.evacuations.record(orders);
    }

    /// Counts a request that was refused without a job.
    pub fn refused(&self, reason: refusal::Reason) {
        self.refusals.add(1, &[KeyValue::new("reason", reason.name())]);
    }

    /// Updates the number of held requests.
    pub fn set_held(&self, held: usize) {
        self.held.record(held as u64, &[]);
    }

    /// Counts the answer to a cancel.
    pub fn cancelled(&self, verdict: Verdict) {
        let name = match verdict {
            Verdict::Cancelled => "cancelled",
            Verdict::Unknown => "unknown",
            Verdict::Uncertain { .. } => "uncertain",
        };
        self.cancels.add(1, &[KeyValue::new("answer", name)]);
    }

    /// Counts messages about cancels: `asked` and `answered` by this entry's questions, `received`
    /// by those of others.
    pub fn cancel_messages(&self, message: &'static str, count: usize) {
        self.cancel_messages.add(count as u64, &[KeyValue::new("message", message)]);
    }

    /// Updates the gauges of cancels.
    pub fn cancel_state(&self, open_questions: usize, tombstones: usize) {
        self.cancel_questions.record(open_questions as u64, &[]);
        self.tombstones.record(tombstones as u64, &[]);
    }

    /// Updates the gauges and returns all metrics as text for a scrape.
    pub fn text(&self, planner: &Planner, connections: usize, version: u64) -> Vec<u8> {
        self.unanswered.record(planner.unanswered() as u64, &[]);
        self.workers.record(planner.accepting() as u64, &[]);
        self.connections.record(connections as u64, &[]);
        self.version.record(version, &[]);
        self.exporter.text()
    }
}

impl Sidecar {
    /// Creates the exporter and registers all metrics.
    ///
    /// # Errors
    ///
    /// Returns the error of the exporter.
    pub fn open() -> io::Result<Self> {
        let exporter = Exporter::open()?;
        let meter = exporter.meter();
        let counter =
            |name, description| meter.u64_counter(name).with_description(description).build();
        let gauge = |name, description| meter.u64_gauge(name).with_description(description).build();
        let run_ms = meter
            .f64_histogram("kingcup_run_ms")
            .with_description("Time from a run's start to its end, in milliseconds, by end")
            .with_boundaries(BOUNDS_MS.to_vec());
        Ok(Self {
            ends: counter("kingcup_runs", "Runs that ended, by end"),
            run_ms: run_ms.build(),
            refusals: counter("kingcup_starts_refused", "Starts that were refused, by reason"),
            orders: counter("kingcup_orders", "Orders to the upstream, by reply"),
            running: gauge("kingcup_running", "Runs that take room"),
            waiting: gauge("kingcup_waiting", "Starts that wait for room"),
            entries: gauge("kingcup_entries", "Entries that are connected"),
            evacuations: Evacuations::open(&exporter),
            exporter,
        })
    }

    /// Counts a run that ended and records its duration.
    pub fn ended(&self, outcome: Outcome, ran_us: u64) {
        let labels = [KeyValue::new("end", format!("{outcome:?}").to_lowercase())];
        self.ends.add(1, &labels);
        self.run_ms.record(ran_us as f64 / 1000.0, &labels);
    }

    /// Counts a refused start.
    pub fn refused(&self, reason: Reason) {
        self.refusals.add(1, &[KeyValue::new("reason", format!("{reason:?}"))]);
    }

    /// Counts the reply to an order.
    pub fn replied(&self, reply: Reply) {
        self.orders.add(1, &[KeyValue::new("reply", format!("{reply:?}"))]);
    }

    /// Updates the gauges of orders to evacuate zones.
    pub fn evacuated(&self, orders: &Orders) {
        self.evacuations.record(orders);
    }

    /// Updates the gauges and returns all metrics as text for a scrape.
    pub fn text(&self, supervisor: &Supervisor, entries: usize) -> Vec<u8> {
        self.running.record(supervisor.running() as u64, &[]);
        self.waiting.record(supervisor.waiting() as u64, &[]);
        self.entries.record(entries as u64, &[]);
        self.exporter.text()
    }
}
