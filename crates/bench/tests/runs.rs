//! Load patterns and faults against entries and sidecars in virtual time.

use kingcup_bench::runs::{
    load::{self, Arrival, Burst},
    world::{Fault, Outcome, Process, Size, World},
};
use kingcup_dispatch::plan::Answer;
use rstest::rstest;

/// The users' entries and upstreams today.
const SIZE: Size = Size::even(4, 11, 32_000, 4);
const TIME_US: u64 = 12_000_000;
const TAIL_US: u64 = 16_000_000;
/// Part of the worth that the users ask for on days with trouble; from their second milestone.
const TARGET: f64 = 0.85;
/// Time after which a caller that was lost submits again, in microseconds; from the platform's settings.
const RESUBMIT_US: u64 = 1_300_000;

fn play(rate: f64, bursts: &[Burst], faults: Vec<(u64, Fault)>) -> (Vec<Arrival>, Outcome) {
    let arrivals = load::draw(&load::kinds(3_100), bursts, rate, TIME_US, 7);
    World::open(SIZE, arrivals, faults, 7).run(TIME_US + TAIL_US)
}

/// Part of the worth of a kind that was served; late answers count a fifth.
fn served(arrivals: &[Arrival], outcome: &Outcome, kind: usize) -> f64 {
    let (mut owed, mut earned) = (0.0, 0.0);
    for (index, arrival) in arrivals.iter().enumerate().filter(|(_, a)| a.kind == kind) {
        owed += 1.0;
        if let Some((at_us, Answer::Completed)) = outcome.answers.get(&index) {
            let late = at_us - arrival.at_us > arrival.objective_us();
            earned += if late { 0.2 } else { 1.0 };
        }
    }
    earned / owed
}

fn assert_rules(outcome: &Outcome) {
    assert_eq!((outcome.overlaps, outcome.overfull, outcome.untrue), (0, 0, 0));
}

fn flood(kind: usize, factor: f64) -> Vec<Burst> {
    vec![Burst { kind, factor, from_us: 3_000_000, to_us: 9_000_000 }]
}

/// Guards against refusals and late answers while there is room for everything.
#[test]
fn a_calm_load_is_served_in_time() {
    let (arrivals, outcome) = play(0.8, &[], vec![]);
    for kind in 0..3 {
        assert!(served(&arrivals, &outcome, kind) > 0.99, "kind {kind}");
    }
    assert_rules(&outcome);
}

/// Guards against a flood of one kind that takes the room of the others.
#[rstest]
#[case::of_large_jobs(1)]
#[case::of_urgent_jobs(0)]
#[case::of_plain_jobs(2)]
fn a_flood_leaves_the_other_kinds_their_service(#[case] kind: usize) {
    let (arrivals, outcome) = play(1.0, &flood(kind, 2.4), vec![]);
    for other in (0..3).filter(|other| *other != kind) {
        let kept = served(&arrivals, &outcome, other);
        assert!(kept >= TARGET, "kind {other} keeps {kept}");
    }
    assert_rules(&outcome);
}

/// The users' large fleet, with callers spread unevenly over the entries.
const LARGE: Size = Size { skewed: true, ..Size::even(35, 160, 32_000, 6) };

/// Plays 4 s of load on the large fleet; bursts last from 1 s to 3 s.
fn play_large(rate: f64, burst: Option<(usize, f64)>) -> (Vec<Arrival>, Outcome) {
    let burst =
        burst.map(|(kind, factor)| Burst { kind, factor, from_us: 1_000_000, to_us: 3_000_000 });
    let bursts: Vec<Burst> = burst.into_iter().collect();
    let arrivals = load::draw(&load::kinds(5_000), &bursts, 9.0 * rate, 4_000_000, 7);
    World::open(LARGE, arrivals, [], 7).run(8_000_000)
}

/// Guards against a large fleet in which an entry knows too few workers for its callers, or so many
/// entries know the same workers that they get in each other's way.
#[rstest]
#[case::usual(1.0, None, 0.99)]
#[case::high(1.2, None, 0.95)]
#[case::flood_of_large_jobs(1.0, Some((1, 2.4)), TARGET)]
#[case::flood_of_urgent_jobs(1.0, Some((0, 2.4)), TARGET)]
fn a_large_fleet_with_uneven_callers_keeps_its_service(
    #[case] rate: f64,
    #[case] burst: Option<(usize, f64)>,
    #[case] least: f64,
) {
    let (arrivals, outcome) = play_large(rate, burst);
    for kind in (0..3).filter(|kind| burst.is_none_or(|(flooding, _)| flooding != *kind)) {
        let kept = served(&arrivals, &outcome, kind);
        assert!(kept >= least, "kind {kind} keeps {kept}");
    }
    assert_rules(&outcome);
}

/// Guards against control messages that grow with the product of entries and sidecars: at three
/// times the entries and sidecars, a start costs about as many.
#[test]
fn control_messages_of_a_start_do_not_grow_with_the_fleet() {
    let per_start = |entries, sidecars| {
        let size = Size { entries, sidecars, skewed: false, ..LARGE };
        let rate = 9.0 * sidecars as f64 / LARGE.sidecars as f64;
        let arrivals = load::draw(&load::kinds(5_000), &[], rate, 3_000_000, 7);
        let (_, outcome) = World::open(size, arrivals, [], 7).run(3_000_000);
        let messages = outcome.messages.grants + outcome.messages.renewals;
        messages as f64 / outcome.starts as f64
    };
    let (small, large) = (per_start(12, 53), per_start(35, 160));
    assert!(large <= small * 1.2, "{large} messages a start instead of {small}");
}

/// Guards against jobs that are all admitted and then all late.
#[test]
fn a_flood_of_all_kinds_ends_in_refusals_and_not_in_late_answers() {
    let (arrivals, outcome) = play(1.6, &[], vec![]);
    let completed = outcome.answers.iter().filter(|(_, (_, a))| *a == Answer::Completed);
    let (mut in_time, mut late) = (0, 0);
    for (index, (at_us, _)) in completed {
        let arrival = &arrivals[*index];
        match at_us - arrival.at_us > arrival.objective_us() {
            true => late += 1,
            false => in_time += 1,
        }
    }
    assert!(late * 10 < in_time, "{late} late, {in_time} in time");
    assert_rules(&outcome);
}

/// Guards against a bad worker that takes its share of the jobs for as long as it is bad.
#[rstest]
#[case::slow(Fault::Slow(0, 5.0))]
#[case::standing_still(Fault::Hang(0, true))]
#[case::failing(Fault::Fail(0, true))]
fn one_bad_worker_costs_little(#[case] fault: Fault) {
    let (arrivals, outcome) = play(0.9, &[], vec![(2_000_000, fault)]);
    for kind in 0..3 {
        let kept = served(&arrivals, &outcome, kind);
        assert!(kept >= 0.9, "kind {kind} keeps {kept}");
    }
    assert_rules(&outcome);
}

/// Guards against runs that overlap, or bring an upstream over its cores, when orders are carried out
/// seconds after they were given up.
#[rstest]
#[case::few(0.05)]
#[case::many(0.5)]
fn orders_that_are_carried_out_late_start_nothing_twice(#[case] share: f64) {
    let faults = vec![(2_000_000, Fault::Delay(share)), (8_000_000, Fault::Delay(0.0))];
    let (_, outcome) = play(1.0, &flood(1, 2.0), faults);
    assert_rules(&outcome);
}

/// Jobs whose runs outlast the time after which a caller submits again.
fn long_jobs() -> Vec<Arrival> {
    let mut kind = load::kinds(3_100).remove(1);
    kind.per_s = 6.0;
    kind.work_us = 2_500_000.0;
    kind.priority = 0;
    load::draw(&[kind], &[], 1.0, TIME_US, 7)
}

/// Callers that have lost their entry at a time and submit again at another one.
fn submit_again(arrivals: &[Arrival], lost_us: u64, faults: &mut Vec<(u64, Fault)>) {
    for (index, arrival) in arrivals.iter().enumerate() {
        let left_us = lost_us.max(arrival.at_us + 1);
        if arrival.at_us < lost_us + 2_000_000 && arrival.at_us + 3_000_000 > lost_us {
            faults.push((left_us, Fault::Leave(index)));
            faults.push((left_us + RESUBMIT_US, Fault::Resubmit(index)));
        }
    }
}

/// Guards against a second run of a task that a caller submits again elsewhere, 1.3 s after it lost its
/// entry: wherever processes stand still, the first run has ended by then.
#[rstest]
#[case::an_entry(1, 0)]
#[case::sidecars(0, 5)]
#[case::both(1, 5)]
fn a_job_submitted_again_never_overlaps_its_first_runs(
    #[case] entries: usize,
    #[case] sidecars: usize,
    #[values(1_200_000, 4_000_000)] for_us: u64,
    #[values(0, 150_000, 390_000, 410_000, 700_000)] apart_us: u64,
) {
    let at_us = 4_000_000;
    let arrivals = long_jobs();
    let mut faults = Vec::new();
    for entry in 0..entries {
        faults.push((at_us, Fault::Freeze(Process::Entry(entry), for_us)));
    }
    for sidecar in 0..sidecars {
        faults.push((at_us + apart_us, Fault::Freeze(Process::Sidecar(sidecar), for_us)));
    }
    submit_again(&arrivals, at_us, &mut faults);
    let (_, outcome) = World::open(SIZE, arrivals, faults, 7).run(TIME_US + TAIL_US);
    assert_eq!((outcome.overlaps, outcome.overfull), (0, 0));
}

/// Guards against a second run of a task that a caller submits again elsewhere while the stops of its
/// first runs are left unanswered and the polls that renew the lease are answered.
#[rstest]
fn a_job_submitted_again_never_overlaps_runs_whose_stops_are_late(
    #[values(1, 2, 3)] seed: u64,
    #[values(0.5, 0.9)] share: f64,
) {
    let at_us = 4_000_000;
    let arrivals = long_jobs();
    let mut faults = vec![(at_us, Fault::Delay(share)), (at_us + 4_000_000, Fault::Delay(0.0))];
    submit_again(&arrivals, at_us, &mut faults);
    let (_, outcome) = World::open(SIZE, arrivals, faults, seed).run(TIME_US + TAIL_US);
    assert_eq!((outcome.overlaps, outcome.overfull), (0, 0));
}

/// Guards against starts that were held up in a cut and take effect after it heals.
#[rstest]
fn starts_that_were_held_up_in_a_cut_start_nothing(
    #[values(600_000, 1_600_000, 2_500_000)] for_us: u64,
) {
    let at_us = 4_000_000;
    let arrivals = long_jobs();
    let mut faults: Vec<(u64, Fault)> =
        (0..SIZE.sidecars).map(|sidecar| (at_us, Fault::Cut(0, sidecar, for_us))).collect();
    submit_again(&arrivals, at_us, &mut faults);
    let (_, outcome) = World::open(SIZE, arrivals, faults, 7).run(TIME_US + TAIL_US);
    assert_eq!((outcome.overlaps, outcome.overfull), (0, 0));
}

/// Plays losses of power of one upstream after another under jobs whose runs outlast an outage. Each upstream returns under its name with `cores`, and reports after `report_us`.
fn play_outages(seed: u64, report_us: u64, cores: u32) -> Outcome {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut faults = Vec::new();
    for (index, at_us) in (1_000_000..TIME_US).step_by(250_000).enumerate() {
        let for_us = rng.u64(20_000..1_500_000);
        let sidecar = index % SIZE.sidecars;
        faults.push((at_us, Fault::Outage { sidecar, for_us, report_us, cores }));
    }
    let (_, outcome) = World::open(SIZE, long_jobs(), faults, seed).run(TIME_US + TAIL_US);
    outcome
}

/// Guards against a task that starts elsewhere while it runs on an upstream that lost power: its next
/// incarnation carries out a start order that was meant for the earlier one, and rejects the stop and
/// the polls that follow.
#[rstest]
fn a_start_that_reaches_the_next_incarnation_overlaps_no_other_run_of_its_task(
    #[values(1, 2, 3, 4, 5, 6)] seed: u64,
    #[values(12_000, 30_000)] report_us: u64,
) {
    let outcome = play_outages(seed, report_us, SIZE.cores);
    assert_eq!(outcome.overlaps, 0);
    assert!(outcome.starts > 0);
}

/// Guards against starts by the capacity of an upstream's earlier incarnation that bring a smaller one
/// over its cores.
#[rstest]
fn a_smaller_next_incarnation_is_not_brought_over_its_cores(
    #[values(1, 2, 3, 4, 5, 6)] seed: u64,
    #[values(12_000, 300_000)] report_us: u64,
) {
    let outcome = play_outages(seed, report_us, 8_000);
    assert_eq!((outcome.overlaps, outcome.overfull), (0, 0));
}
