//! Cost of the gate's decisions, against a plain first-come queue in the same run.

use std::{
    collections::{HashMap, VecDeque},
    hint::black_box,
    time::Instant,
};

use hdrhistogram::Histogram;
use kingcup_dispatch::{
    document::{Document, Kind, Urgency},
    gate::{Effect, Gate, Outcome, Peer, Settings, Slot, Start},
};

/// Slots of the upstream.
const SLOTS: u16 = 8;
/// Payload of each start, in bytes.
const PAYLOAD: [u8; 256] = [7; 256];
/// Answer of each task, in bytes.
const BODY_BYTES: usize = 256;
/// Starts measured together, so that reading the clock does not count.
const BATCH: usize = 64;
/// Interval between starts, in microseconds; eight slots of 100 ms at 70% load.
const INTERVAL_US: u64 = 17_857;

/// One workload.
#[derive(Debug, Clone, Copy)]
pub struct Case {
    /// Name in the report.
    pub name: &'static str,
    /// Connected entries.
    pub entries: usize,
    /// Kinds in the document.
    pub kinds: usize,
    /// Starts sent for each task that ends; more than one is an overload.
    pub starts_per_end: usize,
}

/// Workloads of the report.
pub const CASES: [Case; 5] = [
    Case { name: "3 entries, 3 kinds, free slots", entries: 3, kinds: 3, starts_per_end: 1 },
    Case { name: "3 entries, 32 kinds, free slots", entries: 3, kinds: 32, starts_per_end: 1 },
    Case {
        name: "3 entries, 3 kinds, ten times capacity",
        entries: 3,
        kinds: 3,
        starts_per_end: 10,
    },
    Case {
        name: "32 entries, 32 kinds, ten times capacity",
        entries: 32,
        kinds: 32,
        starts_per_end: 10,
    },
    Case {
        name: "1000 entries, 32 kinds, free slots",
        entries: 1000,
        kinds: 32,
        starts_per_end: 1,
    },
];

/// Cost of one start, with its end, in nanoseconds.
#[derive(Debug, Clone, Copy)]
pub struct Cost {
    /// Mean over all starts.
    pub mean_ns: f64,
    /// Median over batches.
    pub median_ns: u64,
    /// 99th percentile over batches.
    pub p99_ns: u64,
}

/// Something that takes starts and ends of tasks.
trait Subject {
    fn start(&mut self, entry: usize, start: &Start<'_>, now: u64);
    fn end(&mut self, now: u64);
    fn running(&self) -> usize;
}

struct Measured {
    gate: Gate,
    peers: Vec<Peer>,
    running: VecDeque<Slot>,
}

impl Measured {
    fn drain(&mut self) {
        for effect in self.gate.drain() {
            if let Effect::Call { slot, .. } = &effect {
                self.running.push_back(*slot);
            }
            black_box(&effect);
        }
    }
}

impl Subject for Measured {
    fn start(&mut self, entry: usize, start: &Start<'_>, now: u64) {
        self.gate.start(self.peers[entry], start, now);
        self.drain();
    }

    fn end(&mut self, now: u64) {
        if let Some(slot) = self.running.pop_front() {
            self.gate.finished(slot, Outcome::Done, vec![0; BODY_BYTES], now);
            self.drain();
        }
    }

    fn running(&self) -> usize {
        self.running.len()
    }
}

/// A first-come queue with a record of each start, without shares, windows or fencing.
#[derive(Default)]
struct Plain {
    waiting: VecDeque<(usize, u64, String, Vec<u8>)>,
    running: VecDeque<(usize, u64)>,
    records: HashMap<(usize, u64), Vec<u8>>,
}

impl Plain {
    fn fill(&mut self) {
        while self.running.len() < usize::from(SLOTS) {
            let Some((entry, sequence, job, payload)) = self.waiting.pop_front() else { return };
            black_box((job, payload));
            self.running.push_back((entry, sequence));
        }
    }
}

impl Subject for Plain {
    fn start(&mut self, entry: usize, start: &Start<'_>, _: u64) {
        self.records.remove(&(entry, start.settled));
        if self.waiting.len() < usize::from(SLOTS) {
            let (job, payload) = (start.job.to_owned(), start.payload.to_vec());
            self.waiting.push_back((entry, start.sequence, job, payload));
            self.fill();
        }
    }

    fn end(&mut self, _: u64) {
        if let Some(start) = self.running.pop_front() {
            self.records.insert(start, vec![0; BODY_BYTES]);
            self.fill();
        }
    }

    fn running(&self) -> usize {
        self.running.len()
    }
}

/// Measures the gate and the plain queue with the same starts.
pub fn measure(case: &Case, starts: usize) -> (Cost, Cost) {
    let names: Vec<String> = (0..case.kinds).map(|kind| format!("kind-{kind}")).collect();
    let mut gate = Gate::open(Settings::with_slots(SLOTS), 1);
    gate.apply(&document(&names), 1, 0);
    let open = |entry| gate.hello(&format!("e{entry}"), 1, 1, 0, 0).expect("first connection");
    let peers = (0..case.entries).map(open).collect();
    let gate = Measured { gate, peers, running: VecDeque::new() };
    (run(gate, case, &names, starts), run(Plain::default(), case, &names, starts))
}

fn run(mut subject: impl Subject, case: &Case, names: &[String], starts: usize) -> Cost {
    let mut histogram: Histogram<u64> = Histogram::new(3).expect("three digits are supported");
    let mut sequences = vec![0_u64; case.entries];
    let mut rng = fastrand::Rng::with_seed(1);
    let mut now = 0;
    let mut total_ns = 0;
    for _ in 0..starts / BATCH {
        let picks: Vec<(usize, usize)> =
            (0..BATCH).map(|_| (rng.usize(..case.entries), rng.usize(..case.kinds))).collect();
        let begun = Instant::now();
        for (at, (entry, kind)) in picks.into_iter().enumerate() {
            now += INTERVAL_US / case.starts_per_end as u64;
            sequences[entry] += 1;
            let sequence = sequences[entry];
            let start = Start {
                sequence,
                settled: sequence.saturating_sub(40),
                job: "entry1-5f3a9c2b7e11-4d2-1a0",
                task: at as u16,
                kind: &names[kind],
                headroom: 0,
                has_backlog: case.starts_per_end > 1,
                wait_ms: 200,
                payload: &PAYLOAD,
            };
            subject.start(entry, &start, now);
            if at % case.starts_per_end == 0 && subject.running() > usize::from(SLOTS) / 2 {
                subject.end(now);
            }
        }
        let batch_ns = begun.elapsed().as_nanos() as u64;
        total_ns += batch_ns;
        histogram.saturating_record(batch_ns / BATCH as u64);
    }
    Cost {
        mean_ns: total_ns as f64 / (starts / BATCH * BATCH) as f64,
        median_ns: histogram.value_at_quantile(0.5),
        p99_ns: histogram.value_at_quantile(0.99),
    }
}

fn document(names: &[String]) -> Document {
    let urgencies = [Urgency::Low, Urgency::Normal, Urgency::High, Urgency::Critical];
    let kind = |(at, name): (usize, &String)| Kind {
        name: name.clone(),
        urgency: urgencies[at % urgencies.len()],
        share_percent: (100 / names.len()) as u8,
        deadline_ms: 1000,
        timeout_ms: 5000,
        max_waiting: 100,
        idempotent: false,
    };
    Document {
        service: "ruilbeurs".to_owned(),
        team: "tapijtrest".to_owned(),
        upstream_path: "/run".to_owned(),
        quota_per_s: 0,
        max_milli_cpus: 1,
        max_memory_mb: 1,
        kinds: names.iter().enumerate().map(kind).collect(),
    }
}
