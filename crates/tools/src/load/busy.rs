//! How busy the slots of the upstreams were.

use serde::Serialize;

use super::{ledger::Start, workload::Workload};

/// Use of all slots in one phase.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Busy {
    /// Name of the phase.
    pub phase: String,
    /// Time in which slots ran tasks, in percent of the phase's length times all slots.
    pub percent: f64,
}

/// Computes the use of slots in each phase that counts. `origin_us` is the start of the run on the
/// clock of the starts. A start without an end counts as running to the end of the run.
pub fn by_phase(workload: &Workload, starts: &[Start], origin_us: u64) -> Vec<Busy> {
    let mut from_us = origin_us;
    let mut rows = Vec::new();
    for phase in &workload.phases {
        let to_us = from_us + (phase.seconds * 1e6) as u64;
        if !phase.warm_up {
            let busy_us: u64 = starts.iter().map(|start| overlap_us(start, from_us, to_us)).sum();
            let whole_us = (to_us - from_us) as f64 * f64::from(workload.slots);
            let percent = busy_us as f64 / whole_us * 100.0;
            rows.push(Busy { phase: phase.name.clone(), percent });
        }
        from_us = to_us;
    }
    rows
}

fn overlap_us(start: &Start, from_us: u64, to_us: u64) -> u64 {
    let end_us = start.end_us.unwrap_or(u64::MAX).min(to_us);
    end_us.saturating_sub(start.start_us.max(from_us))
}
