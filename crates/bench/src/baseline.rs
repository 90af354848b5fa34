//! Plain baseline: each task goes at once to a random upstream and waits there, first-in first-out.

use std::{cmp::Reverse, collections::BinaryHeap};

use crate::{
    report::{Figures, Tally},
    work::Arrival,
    world::{Plan, DELAY_US},
};

/// Runs the arrivals through one queue, first-in first-out, before all slots of the fleet: what no
/// division over entries and upstreams can beat without knowing run times.
pub fn central(plan: &Plan, arrivals: &[Arrival]) -> Figures {
    let slots = plan.fleet_slots() as u16;
    run(&Plan { upstreams: 1, slots, ..plan.clone() }, arrivals)
}

/// Runs the arrivals through the baseline.
pub fn run(plan: &Plan, arrivals: &[Arrival]) -> Figures {
    let mut rng = fastrand::Rng::with_seed(plan.seed);
    let idle = || (0..plan.slots).map(|_| Reverse(0u64)).collect::<BinaryHeap<_>>();
    let mut upstreams: Vec<_> = (0..plan.upstreams).map(|_| idle()).collect();
    let mut figures = Figures::default();
    figures.flows.resize_with(plan.flows.len(), Tally::default);
    let mut used_us = 0;
    for arrival in arrivals {
        let mut answer_us = 0;
        for &run_us in &arrival.runs_us {
            let slots = &mut upstreams[rng.usize(..plan.upstreams)];
            let Reverse(free_us) = slots.pop().expect("an upstream has slots");
            let begin_us = free_us.max(arrival.at_us + DELAY_US);
            let end_us = begin_us + u64::from(run_us);
            slots.push(Reverse(end_us));
            answer_us = answer_us.max(end_us + DELAY_US);
            used_us += plan.overlap_us(begin_us, end_us);
            figures.began += 1;
            figures.messages += 2;
        }
        if arrival.at_us < plan.warmup_us || answer_us > plan.until_us {
            continue;
        }
        let flow = &mut figures.flows[arrival.flow];
        flow.offered += arrival.runs_us.len() as u64;
        flow.completed += arrival.runs_us.len() as u64;
        flow.record(answer_us - arrival.at_us, arrival.ideal_us());
    }
    figures.busy = plan.busy(used_us);
    figures
}
