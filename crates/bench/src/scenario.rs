//! The measurements, one table for each target.

use kingcup_dispatch::document::Urgency;
use serde_json::{json, Value};

use crate::{
    baseline,
    report::{Figures, Table},
    work::Flow,
    world::{self, Plan},
};

const SECOND_US: u64 = 1_000_000;
/// Load of the flooding kind, as a multiple of all slots.
const FLOOD: f64 = 10.0;

/// What every measurement shares.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Decides all random choices.
    pub seed: u64,
    /// Counted length of a run, in seconds.
    pub seconds: u64,
}

/// A measurement.
pub type Measure = fn(Options) -> Table;

/// All measurements in virtual time, by name.
pub const ALL: [(&str, Measure); 5] = [
    ("response", response),
    ("flood", flood),
    ("declared", declared),
    ("failing", failing),
    ("cancelled", cancelled),
];

/// Three kinds within their shares that add up to a load: single requests of two urgencies, and
/// jobs of four tasks.
pub fn flows(load: f64) -> Vec<Flow> {
    let flow = |name, urgency, share_percent, tasks, part: f64| Flow {
        name,
        urgency,
        share_percent,
        deadline_ms: 2_000,
        tasks,
        load: load * part,
        declared: None,
    };
    vec![
        flow("lookup", Urgency::High, 40, 1, 0.45),
        flow("pricing", Urgency::Normal, 35, 4, 0.3),
        flow("clarify", Urgency::Low, 25, 1, 0.25),
    ]
}

fn plan(options: Options, flows: Vec<Flow>) -> Plan {
    let warmup_us = 5 * SECOND_US;
    Plan {
        seed: options.seed,
        entries: 3,
        upstreams: 10,
        slots: 8,
        flows,
        warmup_us,
        until_us: warmup_us + options.seconds * SECOND_US,
        failing: None,
        cancel_us: None,
    }
}

fn ours_and_baseline(plan: &Plan) -> [(&'static str, Figures); 2] {
    let arrivals = plan.arrivals();
    [("engine", world::run(plan, &arrivals)), ("baseline", baseline::run(plan, &arrivals))]
}

/// Response time over ideal and messages at loads below capacity.
pub fn response(options: Options) -> Table {
    let columns = [
        "load",
        "policy",
        "p50",
        "p99",
        "single p50",
        "single p99",
        "job p50",
        "job p99",
        "messages/start",
        "refused by gate %",
        "busy",
    ];
    let mut table = Table::new("Response time over ideal", &columns);
    for load in [0.7, 0.9] {
        let plan = plan(options, flows(load));
        let central = baseline::central(&plan, &plan.arrivals());
        let mut declared = plan.clone();
        declared.flows.iter_mut().for_each(|flow| flow.declared = Some([1.0, 1.0]));
        let declared = world::run(&declared, &declared.arrivals());
        let others = [("engine, declared", declared), ("one queue", central)];
        let policies = ours_and_baseline(&plan).into_iter().chain(others);
        for (policy, figures) in policies {
            let (single, job) = (&figures.flows[0], &figures.flows[1]);
            let refused = figures.refusals as f64 * 100.0 / figures.starts.max(1) as f64;
            table.rows.push(vec![
                json!(load),
                json!(policy),
                json!(figures.ratio_at(0.5)),
                json!(figures.ratio_at(0.99)),
                json!(single.ratio_at(0.5)),
                json!(single.ratio_at(0.99)),
                json!(job.ratio_at(0.5)),
                json!(job.ratio_at(0.99)),
                json!(figures.messages_per_start()),
                json!(refused),
                json!(figures.busy),
            ]);
        }
    }
    table
}

/// A tenfold flood of the least and of the most urgent kind, against no flood and the baseline.
pub fn flood(options: Options) -> Table {
    let columns = [
        "flood",
        "policy",
        "kind",
        "offered",
        "completed",
        "retained %",
        "p50",
        "p99",
        "p99 ratio",
        "given up",
        "failed",
        "refusal p50 ms",
        "refusal p99 ms",
        "messages/start",
        "busy",
    ];
    let mut table = Table::new("Flood of ten times capacity, other load 65%", &columns);
    let calm_plan = plan(options, flows(0.65));
    let calm = ours_and_baseline(&calm_plan);
    for flooding in [None, Some(2), Some(0)] {
        let mut plan = calm_plan.clone();
        if let Some(flow) = flooding {
            plan.flows[flow].load = FLOOD;
        }
        let name = flooding.map_or("none", |flow| plan.flows[flow].name);
        for ((policy, figures), (_, calm)) in ours_and_baseline(&plan).iter().zip(&calm) {
            for (index, flow) in plan.flows.iter().enumerate() {
                table.rows.push(flood_row(name, policy, flow.name, index, figures, calm));
            }
        }
    }
    table
}

fn flood_row(
    flood: &str,
    policy: &str,
    kind: &str,
    index: usize,
    figures: &Figures,
    calm: &Figures,
) -> Vec<Value> {
    let (flow, before) = (&figures.flows[index], &calm.flows[index]);
    let retained = flow.completed as f64 * 100.0 / before.completed.max(1) as f64;
    vec![
        json!(flood),
        json!(policy),
        json!(kind),
        json!(flow.offered),
        json!(flow.completed),
        json!(retained),
        json!(flow.ratio_at(0.5)),
        json!(flow.ratio_at(0.99)),
        json!(flow.ratio_at(0.99) / before.ratio_at(0.99)),
        json!(flow.given_up),
        json!(flow.failed),
        json!(flow.refusal_ms_at(0.5)),
        json!(flow.refusal_ms_at(0.99)),
        json!(figures.messages_per_start()),
        json!(figures.busy),
    ]
}

/// Factors by which declared run times are wrong: of every other job.
const DECLARED: [(&str, Option<[f64; 2]>); 5] = [
    ("none", None),
    ("right", Some([1.0, 1.0])),
    ("x10", Some([10.0, 10.0])),
    ("/10", Some([0.1, 0.1])),
    ("x10 or /10", Some([10.0, 0.1])),
];

/// Declared run times off by ten both ways, at 90% load and in a flood.
pub fn declared(options: Options) -> Table {
    let columns = ["declared", "load", "kind", "completed %", "p50", "p99", "given up", "busy"];
    let mut table = Table::new("Declared run times off by ten", &columns);
    for (name, factor) in DECLARED {
        for flooded in [false, true] {
            let mut plan = plan(options, flows(if flooded { 0.65 } else { 0.9 }));
            plan.flows.iter_mut().for_each(|flow| flow.declared = factor);
            if flooded {
                plan.flows[2].load = FLOOD;
            }
            let figures = world::run(&plan, &plan.arrivals());
            for (flow, spec) in figures.flows.iter().zip(&plan.flows) {
                table.rows.push(vec![
                    json!(name),
                    json!(if flooded { "flood" } else { "90%" }),
                    json!(spec.name),
                    json!(flow.completed as f64 * 100.0 / flow.offered.max(1) as f64),
                    json!(flow.ratio_at(0.5)),
                    json!(flow.ratio_at(0.99)),
                    json!(flow.given_up),
                    json!(figures.busy),
                ]);
            }
        }
    }
    table
}

/// A worker that fails everything it starts, within 2 ms.
pub fn failing(options: Options) -> Table {
    let columns = [
        "load",
        "failed at worker by entry",
        "of these in last 30 s",
        "failed tasks",
        "p50",
        "p99",
    ];
    let mut table = Table::new("A worker that fails every task", &columns);
    for load in [0.3, 0.7] {
        let mut plan = plan(options, flows(load));
        plan.failing = Some(4);
        let figures = world::run(&plan, &plan.arrivals());
        table.rows.push(vec![
            json!(load),
            json!(format!("{:?}", figures.bad_runs)),
            json!(figures.late_bad_runs),
            json!(figures.flows.iter().map(|flow| flow.failed).sum::<u64>()),
            json!(figures.ratio_at(0.5)),
            json!(figures.ratio_at(0.99)),
        ]);
    }
    table
}

/// All jobs of a flooding kind cancelled every 2 s.
pub fn cancelled(options: Options) -> Table {
    let columns = [
        "kind",
        "offered",
        "completed",
        "cancelled, not run",
        "cancelled, may have run",
        "p50",
        "p99",
        "messages/start",
        "recalls",
    ];
    let mut table = Table::new("All jobs of a flooding kind cancelled every 2 s", &columns);
    let mut plan = plan(options, flows(0.65));
    plan.flows[2].load = 2.0;
    plan.cancel_us = Some(2 * SECOND_US);
    let figures = world::run(&plan, &plan.arrivals());
    for (flow, spec) in figures.flows.iter().zip(&plan.flows) {
        table.rows.push(vec![
            json!(spec.name),
            json!(flow.offered),
            json!(flow.completed),
            json!(flow.given_up),
            json!(flow.failed),
            json!(flow.ratio_at(0.5)),
            json!(flow.ratio_at(0.99)),
            json!(figures.messages_per_start()),
            json!(figures.recalls),
        ]);
    }
    table
}
