//! Utilization of the upstreams' slots.

use serde::Serialize;

use super::{ledger::Start, workload::Workload};

/// Utilization of all slots in one phase.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Utilization {
    /// Name of the phase.
    pub phase: String,
    /// Time in which slots ran tasks, in percent of the phase's length times the number of slots.
    pub percent: f64,
}

/// Computes the slot utilization in each phase except warm-ups. `origin_us` is the start of the run
/// on the clock of `starts`. A start without an end counts as running until the end of the run.
pub fn by_phase(workload: &Workload, starts: &[Start], origin_us: u64) -> Vec<Utilization> {
    let mut from_us = origin_us;
    let mut rows = Vec::new();
    for phase in &workload.phases {
        let to_us = from_us + (phase.seconds * 1e6) as u64;
        if !phase.warm_up {
            let busy_us: u64 = starts.iter().map(|start| overlap_us(start, from_us, to_us)).sum();
            let available_us = (to_us - from_us) as f64 * f64::from(workload.slots);
            let percent = busy_us as f64 / available_us * 100.0;
            rows.push(Utilization { phase: phase.name.clone(), percent });
        }
        from_us = to_us;
    }
    rows
}

fn overlap_us(start: &Start, from_us: u64, to_us: u64) -> u64 {
    let end_us = start.end_us.unwrap_or(u64::MAX).min(to_us);
    end_us.saturating_sub(start.start_us.max(from_us))
}
