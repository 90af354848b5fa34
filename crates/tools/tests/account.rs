//! The account of lost work from log lines.

use kingcup_tools::account::{Account, Cause, Report};
use rstest::rstest;

const START_US: u64 = 1_000_000_000;

fn answered(at_us: u64, answer: &str, took_us: u64) -> String {
    format!(
        "  12.3 edge-1 time_us={} level=info process=edge-1 module=m event=job_answered job=7f \
         queue=q answer={answer} took_us={took_us} target_us=100000 starts=2 tasks=2 cores=1000 \
         work_us=50000 config=3",
        START_US + at_us
    )
}

fn event(at_us: u64, process: &str, rest: &str) -> String {
    format!("time_us={} level=info process={process} module=m event={rest}", START_US + at_us)
}

fn report(lines: &[String]) -> Report {
    let mut account = Account::open(1_000_000);
    for line in lines {
        account.take(line);
    }
    account.finish()
}

/// Guards against losses that are put down to another cause.
#[rstest]
#[case("Completed", 90_000, "start_sent job=7f waited_us=10", Cause::InTime)]
#[case("Completed", 300_000, "start_sent job=7f waited_us=150000", Cause::LateWaited)]
#[case("Completed", 300_000, "start_sent job=7f waited_us=9000", Cause::LateRan)]
#[case("Completed", 300_000, "run_ended task=7f.0.0.1 run=2 how=Failed", Cause::LateFailed)]
#[case("Completed", 300_000, "run_ended task=7f.0.0.1 run=2 how=Lost", Cause::LateMoved)]
#[case("NotRun", 5_000, "nothing", Cause::RefusedDear)]
#[case("NotRun", 80_000, "nothing", Cause::RefusedWaited)]
#[case("GaveUp", 800_000, "run_ended task=7f.0.0.1 run=2 how=Lost", Cause::GaveUpLost)]
#[case("GaveUp", 800_000, "nothing", Cause::GaveUpLate)]
#[case("Failed", 80_000, "nothing", Cause::Failed)]
fn each_job_has_one_cause(
    #[case] answer: &str,
    #[case] took_us: u64,
    #[case] before: &str,
    #[case] cause: Cause,
) {
    let sent = event(1_900_000, "edge-1", "start_sent job=7f waited_us=0");
    let lines = [sent, event(2_000_000, "side-1", before), answered(2_500_000, answer, took_us)];
    let report = report(&lines);
    let causes: Vec<(Cause, u64)> =
        report.causes.iter().map(|(c, (jobs, _))| (*c, *jobs)).collect();
    assert_eq!(causes, [(cause, 1)]);
}

/// Guards against refusals that are put down to the price of room while an entry starts.
#[test]
fn refusals_after_a_start_stand_apart() {
    let lines = [event(0, "edge-1", "started role=entry"), answered(600_000, "NotRun", 4_000)];
    assert!(report(&lines).causes.contains_key(&Cause::RefusedAfterStart));
}

/// Guards against a bound that counts room of upstreams that took no work.
#[test]
fn the_bound_counts_only_room_that_took_work() {
    let lines = [
        event(0, "side-1", "profile name=u cores=100 accepting=true"),
        event(500_000, "side-1", "profile name=u cores=100 accepting=false"),
        answered(900_000, "NotRun", 100),
        event(1_000_000, "side-1", "stopped runs=0"),
    ];
    let report = report(&lines);
    // 0.1 core-seconds asked, 0.05 of room.
    assert!((report.bound() - 0.5).abs() < 1e-9, "{}", report.bound());
    assert_eq!(report.in_time(), 0.0);
}

/// Guards against a comparison of expected work with room, where runs take longer than expected.
#[test]
fn busy_time_is_that_of_the_runs() {
    let lines = [
        event(100_000, "edge-1", "start_sent job=7f waited_us=0"),
        event(600_000, "side-1", "run_ended task=7f.0.0.1 run=2 how=Done ran_us=500000"),
        answered(700_000, "Completed", 90_000),
        event(800_000, "side-1", "run_ended task=7f.0.0.2 run=3 how=Stopped ran_us=500000"),
    ];
    let report = report(&lines);
    let busy: f64 = report.spans.iter().map(|(_, span)| span.busy).sum();
    assert!((busy - 0.5).abs() < 1e-9, "{busy}");
    assert_eq!(report.causes.len(), 1);
}

/// Guards against jobs that vanish from the account with their entry.
#[test]
fn jobs_without_an_answer_are_lost_with_their_entry() {
    let lines = [event(0, "edge-1", "start_sent job=7f waited_us=1")];
    assert_eq!(report(&lines).causes[&Cause::EntryLost].0, 1);
}
