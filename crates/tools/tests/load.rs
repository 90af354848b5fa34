//! Tests of the load tool: workloads, schedules, the baseline and reports.

use std::{net::SocketAddr, process::Command, time::Duration};

use kingcup_dispatch::code::Code;
use kingcup_standin::upstream::{Control, Server};
use kingcup_tools::load::{
    baseline::{self, Limits},
    busy,
    client::{Clock, Sample},
    ledger::{self, Ledger, Start},
    metrics::{self, Count, Reading},
    report::{Comparison, Measurements, Report},
    schedule::{draw, Arrival},
    workload::Workload,
    Options,
};
use rstest::rstest;

const WORKLOAD: &str = r#"{
    "service": "log-desk", "seed": 7, "slots": 10,
    "kinds": [
        {"name": "correction", "urgency": "normal", "rate_per_s": 50, "min_tasks": 2, "max_tasks": 4,
         "run_ms": [{"weight": 9, "min": 50, "max": 1000}, {"weight": 1, "min": 2000, "max": 5000}]},
        {"name": "retraction", "urgency": "critical", "rate_per_s": 10, "single": true,
         "run_ms": [{"weight": 1, "min": 100, "max": 100}]}
    ],
    "phases": [
        {"name": "steady", "seconds": 20},
        {"name": "flood", "seconds": 10, "factors": [{"kind": "correction", "factor": 10}]}
    ]
}"#;

fn workload() -> Workload {
    Workload::read(WORKLOAD).unwrap()
}

fn count(arrivals: &[Arrival], phase: usize, kind: usize) -> usize {
    arrivals.iter().filter(|arrival| arrival.phase == phase && arrival.kind == kind).count()
}

/// Guards against arrivals that depend on anything but the seed.
#[test]
fn draws_are_repeatable() {
    assert_eq!(draw(&workload()), draw(&workload()));
    let other = Workload { seed: 8, ..workload() };
    assert_ne!(draw(&workload()), draw(&other));
}

/// Guards against wrong rates, and against a flood that changes the other kinds' rates.
#[test]
fn rates_follow_phases_and_factors() {
    let arrivals = draw(&workload());
    let is_near = |count: usize, mean: f64| (count as f64 - mean).abs() < 5.0 * mean.sqrt();
    assert!(is_near(count(&arrivals, 0, 0), 1_000.0));
    assert!(is_near(count(&arrivals, 1, 0), 5_000.0));
    assert!(is_near(count(&arrivals, 0, 1), 200.0));
    assert!(is_near(count(&arrivals, 1, 1), 100.0));
    assert!(arrivals.is_sorted_by_key(|arrival| arrival.at_us));
}

/// Guards against sizes and run times outside the workload's ranges, and against a range that is
/// never drawn.
#[test]
fn sizes_and_run_times_follow_the_workload() {
    let arrivals = draw(&workload());
    let corrections: Vec<_> = arrivals.iter().filter(|arrival| arrival.kind == 0).collect();
    for size in 2..=4 {
        assert!(corrections.iter().any(|arrival| arrival.run_us.len() == size));
    }
    let runs: Vec<_> = corrections.iter().flat_map(|arrival| &arrival.run_us).copied().collect();
    let long = runs.iter().filter(|run_us| (2_000_000..=5_000_000).contains(*run_us)).count();
    let short = runs.iter().filter(|run_us| (50_000..=1_000_000).contains(*run_us)).count();
    assert_eq!(long + short, runs.len());
    let long_share = long as f64 / runs.len() as f64;
    assert!((0.08..0.12).contains(&long_share), "{long_share}");
}

/// Guards against an ideal time that is too short for any system to reach, or longer than
/// necessary.
#[rstest]
#[case::one_task(vec![300], 10, 300)]
#[case::longest_task(vec![100, 300, 200], 10, 300)]
#[case::more_tasks_than_slots(vec![100; 30], 10, 300)]
#[case::one_slot(vec![100, 300], 1, 400)]
fn ideal_is_the_longest_task_or_the_work_per_slot(
    #[case] run_us: Vec<u64>,
    #[case] slots: u32,
    #[case] ideal_us: u64,
) {
    let arrival = Arrival { at_us: 0, phase: 0, kind: 0, run_us };
    assert_eq!(arrival.ideal_us(slots), ideal_us);
}

/// Guards against workloads that are accepted although they are inconsistent.
#[rstest]
#[case::unknown_field("\"seed\": 7", "\"seed\": 7, \"sead\": 8")]
#[case::unknown_kind_in_a_factor("\"kind\": \"correction\"", "\"kind\": \"corection\"")]
#[case::too_many_tasks("\"max_tasks\": 4", "\"max_tasks\": 111")]
#[case::no_tasks("\"min_tasks\": 2", "\"min_tasks\": 0")]
#[case::range_reversed("\"min\": 50", "\"min\": 5000")]
#[case::negative_rate("\"rate_per_s\": 50", "\"rate_per_s\": -1")]
#[case::no_slots("\"slots\": 10", "\"slots\": 0")]
#[case::empty_phase("\"seconds\": 20", "\"seconds\": 0")]
fn rejects_wrong_workloads(#[case] from: &str, #[case] to: &str) {
    assert!(WORKLOAD.contains(from));
    assert!(Workload::read(&WORKLOAD.replacen(from, to, 1)).is_err());
}

/// Guards against a sum that includes comments or metrics of other names.
#[test]
fn sums_one_metric_over_its_labels() {
    let text = "# HELP sent_total messages\n# TYPE sent_total counter\n\
                sent_total{frame=\"start\",to=\"a}b\"} 5\nsent_total{frame=\"finish\"} 2.5 1700000\n\
                sent_total 1\nsent_totals 100\nsent_total_bytes{x=\"y\"} 100\n";
    assert!((metrics::sum(text, "sent_total", |_| true) - 8.5).abs() < 1e-9);
}

/// Guards against counting messages between entries at both ends, and against leaving out those
/// from sidecars.
#[test]
fn messages_are_counted_once() {
    let text = "kingcup_messages_total{direction=\"sent\",type=\"start\"} 10\n\
                kingcup_messages_total{direction=\"received\",type=\"finish\"} 9\n\
                kingcup_messages_total{direction=\"sent\",type=\"forward\"} 4\n\
                kingcup_messages_total{direction=\"received\",type=\"forward\"} 4\n\
                kingcup_messages_total{direction=\"received\",type=\"digest\"} 7\n";
    assert!((metrics::messages(text) - 23.0).abs() < 1e-9);
}

fn sample(arrival: usize, job: &str, response_us: u64, code: Option<Code>) -> Sample {
    let (job, late_us) = (job.to_owned(), 0);
    Sample { arrival, job, tasks: 2, late_us, response_us, code, wrong: false }
}

fn start(job: &str, task: u16) -> Start {
    Start { job: job.to_owned(), task: Some(task), start_us: 0, end_us: Some(1) }
}

/// Guards against repeated starts, missing starts, untrue refusals, lost responses and wrong
/// answers that aren't counted.
#[test]
fn ledger_counts_each_violation() {
    let starts =
        [start("a", 0), start("a", 1), start("a", 1), start("b", 0), start("c", 0), start("d", 0)];
    let samples = [
        sample(0, "a", 1, Some(Code::Complete)),
        sample(1, "b", 1, Some(Code::Complete)),
        sample(2, "c", 1, Some(Code::QueueFull)),
        sample(3, "d", 1, Some(Code::UpstreamLost)),
        sample(4, "e", 1, None),
        Sample { wrong: true, ..sample(5, "a", 1, Some(Code::Complete)) },
        sample(6, "f", 1, Some(Code::QueueFull)),
    ];
    let expected = Ledger {
        starts: 6,
        doubles: 1,
        missing: 1,
        untrue_refusals: 1,
        losses: 1,
        wrong_answers: 1,
    };
    assert_eq!(Ledger::open(&starts, &samples), expected);
}

/// Guards against a report that mixes phases, kinds or outcomes.
#[test]
fn report_separates_phases_kinds_and_outcomes() {
    let workload = workload();
    let arrival = |phase, kind| Arrival { at_us: 0, phase, kind, run_us: vec![100_000, 50_000] };
    let arrivals = [arrival(0, 0), arrival(0, 0), arrival(1, 0), arrival(1, 0), arrival(0, 1)];
    let samples = [
        sample(0, "a", 100_000, Some(Code::Complete)),
        sample(1, "b", 200_000, Some(Code::Complete)),
        sample(2, "c", 300_000, Some(Code::Complete)),
        sample(3, "d", 5_000, Some(Code::QueueFull)),
        sample(4, "e", 150_000, None),
    ];
    let ledger = Some(Ledger { starts: 6, ..Ledger::default() });
    let measurements = Measurements { messages: Some(12.0), ledger, ..Measurements::default() };
    let report = Report::open(&workload, &arrivals, &samples, measurements);
    let row = |phase: &str, kind: &str| {
        report.rows.iter().find(|row| row.phase == phase && row.kind == kind).unwrap()
    };
    let steady = row("steady", "correction");
    assert_eq!((steady.offered, steady.complete, steady.complete_tasks), (2, 2, 4));
    assert!((steady.ratio_p50 - 1.0).abs() < 0.01 && (steady.ratio_max - 2.0).abs() < 0.01);
    let flood = row("flood", "correction");
    assert_eq!((flood.offered, flood.complete, flood.not_run), (2, 1, 1));
    assert!((flood.refusal_p50_ms - 5.0).abs() < 0.1);
    assert_eq!(row("steady", "retraction").broken, 1);
    assert_eq!(row("steady", "all").offered, 3);
    let kept = report.kept.iter().find(|kept| kept.kind == "correction").unwrap();
    assert!((kept.complete - 0.5).abs() < 1e-9);
    assert!((kept.ratio_p99 - 1.5).abs() < 0.02);
    assert_eq!(report.messages_per_start, Some(2.0));
}

/// Guards against sample workloads that the tool rejects.
#[rstest]
#[case::flood(include_str!("../workloads/flood.json"))]
#[case::load_70(include_str!("../workloads/load-70.json"))]
#[case::load_90(include_str!("../workloads/load-90.json"))]
#[case::flood_least_urgent(include_str!("../workloads/flood-least-urgent.json"))]
#[case::flood_most_urgent(include_str!("../workloads/flood-most-urgent.json"))]
fn sample_workload_is_valid(#[case] text: &str) {
    let workload = Workload::read(text).unwrap();
    assert!(!draw(&workload).is_empty());
}

/// Returns the mean load that a workload offers in a phase, as a fraction of all slots.
fn offered_load(workload: &Workload, phase: usize) -> f64 {
    let slots = workload.kinds.iter().map(|kind| {
        let weight: f64 = kind.run_ms.iter().map(|range| range.weight).sum();
        let run_ms = kind.run_ms.iter().map(|range| range.weight * (range.min + range.max) / 2.0);
        let tasks = (kind.min_tasks + kind.max_tasks) as f64 / 2.0;
        let rate_per_s = kind.rate_per_s * workload.phases[phase].factor(&kind.name);
        rate_per_s * tasks * run_ms.sum::<f64>() / weight / 1e3
    });
    slots.sum::<f64>() / f64::from(workload.slots)
}

/// Guards against workload files whose load doesn't match their name.
#[rstest]
#[case::load_70(include_str!("../workloads/load-70.json"), 1, 0.7)]
#[case::load_90(include_str!("../workloads/load-90.json"), 1, 0.9)]
#[case::flood_least_urgent(include_str!("../workloads/flood-least-urgent.json"), 2, 10.0)]
#[case::flood_most_urgent(include_str!("../workloads/flood-most-urgent.json"), 2, 10.0)]
fn workload_offers_its_nominal_load(
    #[case] text: &str,
    #[case] phase: usize,
    #[case] nominal: f64,
) {
    let load = offered_load(&Workload::read(text).unwrap(), phase);
    assert!((load / nominal - 1.0).abs() < 0.01, "{load}");
}

/// Guards against slot utilization that includes time outside a phase or in the warm-up.
#[test]
fn utilization_counts_only_time_within_each_phase() {
    let mut workload = workload();
    workload.phases[0].warm_up = true;
    let run = |start_us, end_us| Start { start_us, end_us, ..start("a", 0) };
    let second_us = 1_000_000;
    let starts = [
        run(105 * second_us, Some(125 * second_us)),
        run(122 * second_us, Some(124 * second_us)),
        run(129 * second_us, None),
        run(140 * second_us, Some(150 * second_us)),
    ];
    let busy = busy::by_phase(&workload, &starts, 100 * second_us);
    assert_eq!(busy.len(), 1);
    assert_eq!(busy[0].phase, "flood");
    assert!((busy[0].percent - 8.0).abs() < 1e-9, "{}", busy[0].percent);
}

/// Guards against counts by type that include messages from before the run.
#[test]
fn messages_by_type_count_from_the_start_of_the_run() {
    let count = |name: &str, messages| Count { name: name.to_owned(), messages };
    let before =
        Reading { messages: 5.0, by_type: vec![count("finish", 2.0), count("hello", 3.0)] };
    let by_type = vec![count("finish", 6.0), count("hello", 3.0), count("start", 4.0)];
    let after = Reading { messages: 13.0, by_type };
    assert_eq!(after.since(&before), [count("finish", 4.0), count("start", 4.0)]);
}

/// Returns simultaneous jobs of one kind, each with `tasks` tasks that run for `run_ms`.
fn burst(jobs: usize, tasks: usize, run_ms: u64) -> Vec<Arrival> {
    let run_us = vec![run_ms * 1_000; tasks];
    vec![Arrival { at_us: 0, phase: 0, kind: 0, run_us }; jobs]
}

/// Sends arrivals by the baseline to two upstreams with two slots each; returns samples and starts.
fn run_baseline(arrivals: &[Arrival], queue_per_upstream: usize) -> (Vec<Sample>, Vec<Start>) {
    let servers: Vec<_> =
        (0..2).map(|_| Server::open(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap()).collect();
    let upstreams: Vec<_> = servers.iter().map(Server::address).collect();
    let timeout = Duration::from_secs(30);
    let options = Options { upstreams, timeout, ..Options::default() };
    let limits = Limits { slots_per_upstream: 2, queue_per_upstream };
    let sent = baseline::send(&workload(), &options, &limits, arrivals, Clock::start()).unwrap();
    (sent, ledger::read_ended(&options.upstreams).unwrap())
}

/// Guards against a baseline that loses or repeats tasks, that answers before all tasks of a job
/// have ended, or that runs more tasks at once than it has slots.
#[test]
fn baseline_runs_each_task_once_within_its_slots() {
    let arrivals = burst(10, 3, 20);
    let (samples, starts) = run_baseline(&arrivals, 1_000);
    assert_eq!(samples.len(), 10);
    assert!(samples.iter().all(|sample| sample.code == Some(Code::Complete) && !sample.wrong));
    assert!(samples.iter().all(|sample| sample.response_us >= 20_000));
    assert!(starts.iter().all(|start| baseline::is_own_job(&start.job)));
    let expected = Ledger { starts: 30, ..Ledger::default() };
    assert_eq!(Ledger::open(&starts, &samples), expected);
    let concurrent = starts.iter().map(|start| {
        let runs_at_start = |other: &&Start| {
            other.start_us <= start.start_us && start.start_us < other.end_us.unwrap()
        };
        starts.iter().filter(runs_at_start).count()
    });
    assert!(concurrent.max() <= Some(4));
}

/// Guards against a baseline with unbounded queues, and against one that runs tasks of refused
/// jobs.
#[test]
fn baseline_refuses_whole_jobs_when_a_queue_is_full() {
    let arrivals = burst(40, 2, 100);
    let (samples, starts) = run_baseline(&arrivals, 4);
    let count = |code| samples.iter().filter(|sample| sample.code == Some(code)).count();
    let (complete, refused) = (count(Code::Complete), count(Code::QueueFull));
    assert_eq!(complete + refused, 40);
    assert!(complete > 0 && refused > 0, "{complete} complete, {refused} refused");
    let expected = Ledger { starts: 2 * complete as u64, ..Ledger::default() };
    assert_eq!(Ledger::open(&starts, &samples), expected);
}

/// Guards against a baseline that reports failed tasks as complete jobs.
#[test]
fn baseline_reports_failures() {
    let server = Server::open(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    server.control(&Control { fail: Some(true), ..Control::default() });
    let upstreams = vec![server.address()];
    let timeout = Duration::from_secs(30);
    let options = Options { upstreams, timeout, ..Options::default() };
    let limits = Limits { slots_per_upstream: 2, queue_per_upstream: 10 };
    let arrivals = burst(1, 2, 1);
    let sent = baseline::send(&workload(), &options, &limits, &arrivals, Clock::start()).unwrap();
    assert_eq!(sent.len(), 1);
    assert_eq!(sent[0].code, Some(Code::TaskFailed));
}

/// Guards against a report that drops or mislabels the baseline, in text or in JSON.
#[test]
fn report_shows_the_baseline_beside_the_system() {
    let arrivals = burst(1, 2, 100);
    let report = |response_us| {
        let samples = [sample(0, "a", response_us, Some(Code::Complete))];
        Report::open(&workload(), &arrivals, &samples, Measurements::default())
    };
    let both = Comparison { ours: report(110_000), baseline: Some(report(200_000)) };
    let text = both.to_string();
    let ours = text.lines().position(|line| line.contains("correction") && line.contains("ours"));
    let line = text.lines().nth(ours.unwrap() + 1).unwrap();
    assert!(line.contains("correction") && line.contains("baseline"), "{line}");
    let json = serde_json::to_value(&both).unwrap();
    let ratio = |report: &serde_json::Value| report["rows"][0]["ratio_p50"].as_f64().unwrap();
    assert!(ratio(&json) < 1.2 && ratio(&json["baseline"]) > 1.9, "{json}");
}

/// Guards against a `--help` that fails because required options are missing.
#[test]
fn help_needs_no_other_option() {
    let program = env!("CARGO_BIN_EXE_kingcup-load");
    let output = Command::new(program).arg("--help").output().unwrap();
    assert!(output.status.success());
    assert!(String::from_utf8(output.stdout).unwrap().contains("--baseline"));
    let output = Command::new(program).output().unwrap();
    assert!(!output.status.success());
}
