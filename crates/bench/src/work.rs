//! The work that is offered: kinds, run times, arrivals.

use kingcup_dispatch::document::{Document, Kind, Urgency};

/// Shortest run time of a task, in microseconds.
const SHORT_US: f64 = 50_000.0;
/// Longest run time of an ordinary task, in microseconds.
const LONG_US: f64 = 1_000_000.0;
/// Every so many tasks, one takes several seconds.
const RARE: u32 = 50;
/// Shortest run time of a rare task, in microseconds.
const RARE_LOW_US: u64 = 2_000_000;
/// Longest run time of a rare task, in microseconds.
const RARE_HIGH_US: u64 = 5_000_000;

/// One kind of work and how much of it is offered.
#[derive(Debug, Clone)]
pub struct Flow {
    /// Name of the kind.
    pub name: &'static str,
    /// Its urgency.
    pub urgency: Urgency,
    /// Its guaranteed share in percent.
    pub share_percent: u8,
    /// Longest wait in milliseconds.
    pub deadline_ms: u32,
    /// Tasks of a job; 1 for single requests.
    pub tasks: usize,
    /// Offered load, as a fraction of all slots.
    pub load: f64,
    /// Factors by which declared run times are wrong, of every other job; `None` if none are declared.
    pub declared: Option<[f64; 2]>,
}

/// A job that arrives.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// When, in microseconds.
    pub at_us: u64,
    /// Index of its flow.
    pub flow: usize,
    /// Entry at which it arrives.
    pub entry: usize,
    /// Run time of each task in microseconds.
    pub runs_us: Vec<u32>,
}

impl Arrival {
    /// Response time without any waiting or messages.
    pub fn ideal_us(&self) -> u32 {
        self.runs_us.iter().copied().max().unwrap_or(1)
    }
}

/// Mean run time in microseconds.
pub fn mean_us() -> f64 {
    let ordinary = (LONG_US - SHORT_US) / (LONG_US / SHORT_US).ln();
    let rare = (RARE_LOW_US + RARE_HIGH_US) as f64 / 2.0;
    let part = 1.0 / f64::from(RARE);
    ordinary * (1.0 - part) + rare * part
}

fn run_us(rng: &mut fastrand::Rng) -> u32 {
    if rng.u32(..RARE) == 0 {
        return rng.u64(RARE_LOW_US..RARE_HIGH_US) as u32;
    }
    (SHORT_US * (LONG_US / SHORT_US).powf(rng.f64())) as u32
}

/// Arrivals of all flows until a time, in order. Each flow has its own random numbers, so that one
/// flow's arrivals do not depend on another's load.
pub fn arrivals(
    flows: &[Flow],
    slots: usize,
    entries: usize,
    until_us: u64,
    seed: u64,
) -> Vec<Arrival> {
    let mut all = Vec::new();
    for (flow, spec) in flows.iter().enumerate() {
        let mut rng = fastrand::Rng::with_seed(seed.wrapping_mul(31).wrapping_add(flow as u64));
        let tasks_per_us = spec.load * slots as f64 / mean_us();
        let interval_us = spec.tasks as f64 / tasks_per_us;
        let mut at_us = 0.0;
        if spec.load <= 0.0 {
            continue;
        }
        loop {
            at_us -= (1.0 - rng.f64()).ln() * interval_us;
            if at_us >= until_us as f64 {
                break;
            }
            let entry = rng.usize(..entries);
            let runs_us = (0..spec.tasks).map(|_| run_us(&mut rng)).collect();
            all.push(Arrival { at_us: at_us as u64, flow, entry, runs_us });
        }
    }
    all.sort_by_key(|arrival| arrival.at_us);
    all
}

/// Document with a kind for each flow.
pub fn document(flows: &[Flow]) -> Document {
    let kind = |flow: &Flow| Kind {
        name: flow.name.to_owned(),
        urgency: flow.urgency,
        share_percent: flow.share_percent,
        deadline_ms: flow.deadline_ms,
        timeout_ms: 20_000,
        max_waiting: 1_000,
        idempotent: false,
    };
    Document {
        service: "bench".to_owned(),
        team: "bench".to_owned(),
        upstream_path: "/run".to_owned(),
        quota_per_s: 0,
        max_milli_cpus: 16_000,
        max_memory_mb: 64_000,
        kinds: flows.iter().map(kind).collect(),
    }
}
