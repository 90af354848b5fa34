//! The checker itself: for each invariant, histories that it must reject and such that it must
//! accept.

use kingcup_dispatch::code::Code;
use kingcup_proof::{
    check::{violations, Invariant, DRAIN_LIMIT_US, PROPAGATION_LIMIT_US},
    history::{Attempt, Event, Form, Response},
};
use rstest::rstest;

const WORK: &str = "entry1-5-1-1";
const ENTRY: &str = "entry1";
const UPSTREAM: &str = "upstream1";
const SECOND_US: u64 = 1_000_000;

fn sent(at_us: u64, number: u64, form: Form, expected: &[&str]) -> Event {
    let attempt = Attempt {
        number,
        work: WORK.to_owned(),
        form,
        process: ENTRY.to_owned(),
        expected: expected.iter().map(|text| (*text).to_owned()).collect(),
    };
    Event::Sent { at_us, attempt }
}

fn job(at_us: u64, number: u64) -> Event {
    sent(at_us, number, Form::Job, &["a", "b"])
}

fn answered(at_us: u64, attempt: u64, code: Code, answers: &[&str]) -> Event {
    let answers = answers.iter().map(|text| (*text).to_owned()).collect();
    Event::Answered { at_us, attempt, response: Response { code, answers } }
}

fn complete(at_us: u64, attempt: u64) -> Event {
    answered(at_us, attempt, Code::Complete, &["a", "b"])
}

fn refused(at_us: u64, attempt: u64) -> Event {
    answered(at_us, attempt, Code::QueueFull, &[])
}

fn broken(at_us: u64, attempt: u64) -> Event {
    Event::Broken { at_us, attempt }
}

fn ran(task: u16, start_us: u64, end_us: u64) -> Event {
    let (upstream, work) = (UPSTREAM.to_owned(), WORK.to_owned());
    Event::Ran { upstream, work, task, start_us, end_us: Some(end_us) }
}

fn hung(task: u16, start_us: u64) -> Event {
    let (upstream, work) = (UPSTREAM.to_owned(), WORK.to_owned());
    Event::Ran { upstream, work, task, start_us, end_us: None }
}

fn leaving(at_us: u64) -> Event {
    Event::Leaving { at_us, upstream: UPSTREAM.to_owned() }
}

fn joined(at_us: u64) -> Event {
    Event::Joined { at_us, upstream: UPSTREAM.to_owned() }
}

fn stopping(at_us: u64, process: &str, upstream: Option<&str>) -> Event {
    let upstream = upstream.map(str::to_owned);
    Event::Stopping { at_us, process: process.to_owned(), upstream }
}

fn stopped(at_us: u64, process: &str, exit_code: Option<i32>) -> Event {
    Event::Stopped { at_us, process: process.to_owned(), exit_code }
}

fn fault(at_us: u64) -> Event {
    Event::Fault { at_us, what: "kill".to_owned() }
}

fn accepted(at_us: u64, revision: u64, change: &str) -> Event {
    let (service, change) = ("log-desk".to_owned(), change.to_owned());
    Event::Accepted { at_us, service, revision, change }
}

fn observed(at_us: u64, process: &str, revision: u64) -> Event {
    let (process, service) = (process.to_owned(), "log-desk".to_owned());
    Event::Observed { asked_us: at_us, at_us: at_us + 10, process, service, revision }
}

/// Guards against a rule that lets its violation pass.
#[rstest]
#[case::task_of_a_job_started_twice(
    Invariant::OneStart,
    vec![job(0, 1), ran(0, 10, 20), ran(1, 10, 20), ran(1, 30, 40), complete(50, 1)]
)]
#[case::resubmission_starts_a_task_again(
    Invariant::OneStart,
    vec![job(0, 1), hung(0, 10), broken(20, 1), job(30, 2), ran(0, 40, 50), broken(60, 2)]
)]
#[case::start_nobody_sent_is_doubled(Invariant::OneStart, vec![ran(0, 10, 20), ran(0, 30, 40)])]
#[case::complete_with_an_answer_missing(
    Invariant::CompleteResponse,
    vec![
        job(0, 1), ran(0, 10, 20), ran(1, 10, 20),
        answered(50, 1, Code::Complete, &["a"]),
    ]
)]
#[case::failed_with_answers(
    Invariant::CompleteResponse,
    vec![job(0, 1), ran(0, 10, 20), answered(50, 1, Code::TaskFailed, &["a"])]
)]
#[case::complete_though_a_task_never_ran(
    Invariant::CompleteResponse,
    vec![job(0, 1), ran(0, 10, 20), complete(50, 1)]
)]
#[case::complete_before_a_task_ended(
    Invariant::CompleteResponse,
    vec![job(0, 1), ran(0, 10, 20), ran(1, 10, 60), complete(50, 1)]
)]
#[case::answers_of_another_request(
    Invariant::OwnResponse,
    vec![
        job(0, 1), ran(0, 10, 20), ran(1, 10, 20),
        answered(50, 1, Code::Complete, &["a", "other"]),
    ]
)]
#[case::answers_of_two_tasks_exchanged(
    Invariant::OwnResponse,
    vec![
        job(0, 1), ran(0, 10, 20), ran(1, 10, 20),
        answered(50, 1, Code::Complete, &["b", "a"]),
    ]
)]
#[case::not_run_after_the_start(Invariant::TrueRefusal, vec![job(0, 1), ran(0, 10, 20), refused(30, 1)])]
#[case::not_run_before_the_start(Invariant::TrueRefusal, vec![job(0, 1), refused(5, 1), ran(0, 10, 20)])]
#[case::not_run_for_work_that_an_earlier_attempt_ran(
    Invariant::TrueRefusal,
    vec![job(0, 1), ran(0, 10, 20), broken(30, 1), job(40, 2), refused(50, 2)]
)]
#[case::both_attempts_not_run(
    Invariant::TrueRefusal,
    vec![job(0, 1), refused(5, 1), job(6, 2), ran(0, 10, 20), refused(30, 2)]
)]
#[case::request_run_twice(
    Invariant::OneRun,
    vec![
        sent(0, 1, Form::Request, &["a"]), ran(0, 10, 20), ran(0, 30, 40),
        answered(50, 1, Code::Complete, &["a"]),
    ]
)]
#[case::work_after_the_drain(
    Invariant::Leaving,
    vec![leaving(0), job(0, 1), ran(0, DRAIN_LIMIT_US + 1, DRAIN_LIMIT_US + 2)]
)]
#[case::work_after_the_second_drain(
    Invariant::Leaving,
    vec![leaving(0), joined(SECOND_US), leaving(2 * SECOND_US), hung(0, DRAIN_LIMIT_US + 3 * SECOND_US)]
)]
#[case::planned_stop_ends_with_an_error(
    Invariant::PlannedStop,
    vec![stopping(0, ENTRY, None), stopped(10, ENTRY, Some(1))]
)]
#[case::planned_stop_ends_by_signal(
    Invariant::PlannedStop,
    vec![stopping(0, ENTRY, None), stopped(10, ENTRY, None)]
)]
#[case::planned_stop_never_ends(Invariant::PlannedStop, vec![stopping(0, ENTRY, None)])]
#[case::planned_stop_breaks_a_connection(
    Invariant::PlannedStop,
    vec![job(0, 1), stopping(5, ENTRY, None), broken(9, 1), stopped(10, ENTRY, Some(0))]
)]
#[case::planned_stop_turns_away_a_request_in_flight(
    Invariant::PlannedStop,
    vec![
        job(0, 1), stopping(5, ENTRY, None),
        answered(9, 1, Code::Closing, &[]), stopped(10, ENTRY, Some(0)),
    ]
)]
#[case::planned_stop_of_a_sidecar_loses_a_task(
    Invariant::PlannedStop,
    vec![
        job(0, 1), ran(0, 1, 2), stopping(5, "sidecar1", Some(UPSTREAM)),
        answered(9, 1, Code::UpstreamLost, &[]), stopped(10, "sidecar1", Some(0)),
    ]
)]
#[case::planned_stop_of_a_sidecar_leaves_a_task_running(
    Invariant::PlannedStop,
    vec![hung(0, 1), stopping(5, "sidecar1", Some(UPSTREAM)), stopped(10, "sidecar1", Some(0))]
)]
#[case::change_not_in_effect(
    Invariant::Configuration,
    vec![accepted(0, 2, "c2"), observed(PROPAGATION_LIMIT_US + 1, ENTRY, 1)]
)]
#[case::change_not_in_effect_after_the_outage(
    Invariant::Configuration,
    vec![
        accepted(0, 2, "c2"), Event::StoreDown { at_us: 5 }, Event::StoreUp { at_us: 90 },
        observed(2 * PROPAGATION_LIMIT_US, ENTRY, 1),
    ]
)]
#[case::process_goes_back(
    Invariant::Configuration,
    vec![accepted(0, 2, "c2"), observed(20, ENTRY, 2), observed(40, ENTRY, 1)]
)]
#[case::change_overwritten(
    Invariant::Configuration,
    vec![accepted(0, 2, "c2"), accepted(5, 2, "other")]
)]
fn rejects(#[case] rule: Invariant, #[case] history: Vec<Event>) {
    let found = violations(&history);
    assert!(found.iter().any(|violation| violation.invariant == rule), "{rule:?} not in {found:?}");
    assert!(
        found.iter().all(|violation| violation.invariant == rule),
        "only {rule:?} in {found:?}"
    );
}

/// Guards against a rule that reports what is lawful.
#[rstest]
#[case::empty(vec![])]
#[case::plain_job(vec![job(0, 1), ran(0, 10, 20), ran(1, 12, 22), complete(50, 1)])]
#[case::resubmission_answered_from_the_record(
    vec![
        job(0, 1), ran(0, 10, 20), ran(1, 12, 22), broken(30, 1), job(40, 2), complete(50, 2),
    ]
)]
#[case::idempotent_request_run_again(
    vec![
        sent(0, 1, Form::IdempotentRequest, &["a"]), hung(0, 10), ran(0, 30, 40),
        answered(50, 1, Code::Complete, &["a"]),
    ]
)]
#[case::failed_without_answers(
    vec![job(0, 1), ran(0, 10, 20), answered(50, 1, Code::TaskFailed, &[])]
)]
#[case::complete_though_records_were_lost(
    vec![job(0, 1), complete(50, 1), Event::RecordsLost { upstream: UPSTREAM.to_owned() }]
)]
#[case::answers_of_another_attempt_at_the_same_work(
    vec![job(0, 1), ran(0, 10, 20), ran(1, 10, 20), job(15, 2), complete(30, 2), complete(31, 1)]
)]
#[case::not_run_and_then_run_by_a_second_attempt(
    vec![
        job(0, 1), refused(5, 1), job(6, 2), ran(0, 10, 20), ran(1, 10, 20), complete(30, 2),
    ]
)]
#[case::not_run_while_a_concurrent_attempt_runs(
    vec![
        job(0, 1), job(1, 2), refused(30, 2), ran(0, 10, 20), ran(1, 10, 20), complete(50, 1),
    ]
)]
#[case::may_have_run_and_did_not(vec![job(0, 1), answered(9, 1, Code::UpstreamLost, &[])])]
#[case::request_lost(vec![sent(0, 1, Form::Request, &["a"]), hung(0, 10), broken(20, 1)])]
#[case::work_during_the_first_seconds_of_a_drain(
    vec![leaving(0), ran(0, DRAIN_LIMIT_US - 1, DRAIN_LIMIT_US + 1)]
)]
#[case::work_after_the_upstream_is_back(
    vec![leaving(0), joined(DRAIN_LIMIT_US + 5), ran(0, DRAIN_LIMIT_US + 9, DRAIN_LIMIT_US + 11)]
)]
#[case::graceful_stop(
    vec![
        job(0, 1), ran(0, 10, 20), stopping(15, ENTRY, None), ran(1, 18, 22), complete(25, 1),
        stopped(30, ENTRY, Some(0)),
    ]
)]
#[case::graceful_stop_of_a_sidecar(
    vec![ran(0, 1, 9), stopping(5, "sidecar1", Some(UPSTREAM)), stopped(10, "sidecar1", Some(0))]
)]
#[case::connection_to_another_entry_lost_during_a_stop(
    vec![
        job(0, 1), fault(3), stopping(5, "entry2", None), broken(9, 1),
        stopped(10, "entry2", Some(0)),
    ]
)]
#[case::refused_after_the_stop_began(
    vec![
        stopping(5, ENTRY, None), job(6, 1), answered(7, 1, Code::Closing, &[]),
        stopped(10, ENTRY, Some(0)),
    ]
)]
#[case::fault_before_the_loss_explains_it(
    vec![
        job(0, 1), fault(2), stopping(5, ENTRY, None), broken(9, 1), stopped(10, ENTRY, Some(0)),
    ]
)]
#[case::change_takes_effect(
    vec![
        observed(1, ENTRY, 1), accepted(5, 2, "c2"), observed(10, ENTRY, 1),
        observed(PROPAGATION_LIMIT_US + 20, ENTRY, 2),
    ]
)]
#[case::change_waits_for_the_store(
    vec![
        accepted(0, 2, "c2"), Event::StoreDown { at_us: 5 },
        observed(2 * PROPAGATION_LIMIT_US, ENTRY, 1), Event::StoreUp { at_us: 3 * PROPAGATION_LIMIT_US },
        observed(5 * PROPAGATION_LIMIT_US, ENTRY, 2),
    ]
)]
#[case::restarted_process_has_none_at_first(
    vec![accepted(0, 2, "c2"), observed(10, ENTRY, 2), observed(20, ENTRY, 0)]
)]
#[case::one_change_acknowledged_twice(vec![accepted(0, 2, "c2"), accepted(5, 2, "c2")])]
#[case::newer_change_in_effect(
    vec![
        accepted(0, 2, "c2"), accepted(5, 3, "c3"), observed(PROPAGATION_LIMIT_US + 20, ENTRY, 3),
    ]
)]
fn accepts(#[case] history: Vec<Event>) {
    assert_eq!(violations(&history), []);
}

/// Guards against a checker that depends on the order in which the events were collected.
#[test]
fn order_of_events_does_not_matter() {
    let mut history = vec![
        job(0, 1),
        ran(0, 10, 20),
        ran(1, 12, 22),
        broken(30, 1),
        job(40, 2),
        complete(50, 2),
        stopping(60, ENTRY, None),
        stopped(70, ENTRY, Some(0)),
    ];
    history.reverse();
    assert_eq!(violations(&history), []);
}
