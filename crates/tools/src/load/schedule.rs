//! Draws the arrivals of a workload before the run.

use fastrand::Rng;

use super::workload::{Kind, Range, Workload};

/// One submission to send.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// Time from the start of the run, in microseconds.
    pub at_us: u64,
    /// Index of the phase.
    pub phase: usize,
    /// Index of the kind.
    pub kind: usize,
    /// Run time of each task, in microseconds.
    pub run_us: Vec<u64>,
}

impl Arrival {
    /// Returns a lower bound of the response time on this many slots, in microseconds: the run time
    /// of the longest task, or of all tasks divided evenly among the slots if that is longer.
    pub fn ideal_us(&self, slots: u32) -> u64 {
        let longest_us = self.run_us.iter().copied().max().unwrap_or(0);
        let total_us: u64 = self.run_us.iter().sum();
        longest_us.max(total_us / u64::from(slots.max(1))).max(1)
    }
}

/// Draws the arrivals, sorted by time. Each kind is a Poisson process with its own random
/// generator, so that the rate of one kind doesn't change the arrivals of another.
pub fn draw(workload: &Workload) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    for (kind_index, kind) in workload.kinds.iter().enumerate() {
        let mut rng = Rng::with_seed(workload.seed.wrapping_add(kind_index as u64));
        let mut from_s = 0.0;
        for (phase_index, phase) in workload.phases.iter().enumerate() {
            let rate_per_s = kind.rate_per_s * phase.factor(&kind.name);
            let mut at_s = from_s;
            loop {
                at_s += interarrival_s(rate_per_s, &mut rng);
                if at_s >= from_s + phase.seconds {
                    break;
                }
                let run_us = run_times_us(kind, &mut rng);
                let at_us = (at_s * 1e6) as u64;
                arrivals.push(Arrival { at_us, phase: phase_index, kind: kind_index, run_us });
            }
            from_s += phase.seconds;
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at_us);
    arrivals
}

/// Draws the time to the next arrival, which is exponentially distributed.
fn interarrival_s(rate_per_s: f64, rng: &mut Rng) -> f64 {
    match rate_per_s > 0.0 {
        true => -(1.0 - rng.f64()).ln() / rate_per_s,
        false => f64::INFINITY,
    }
}

fn run_times_us(kind: &Kind, rng: &mut Rng) -> Vec<u64> {
    let tasks = rng.usize(kind.min_tasks..=kind.max_tasks);
    (0..tasks).map(|_| run_time_us(&kind.run_ms, rng)).collect()
}

fn run_time_us(ranges: &[Range], rng: &mut Rng) -> u64 {
    let total: f64 = ranges.iter().map(|range| range.weight).sum();
    let mut drawn = rng.f64() * total;
    let mut chosen = &ranges[0];
    for range in ranges {
        chosen = range;
        if drawn < range.weight {
            break;
        }
        drawn -= range.weight;
    }
    let ms = chosen.min + rng.f64() * (chosen.max - chosen.min);
    (ms * 1e3) as u64
}
