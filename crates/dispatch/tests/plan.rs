//! Jobs at an entry: answers that match what ran, replaced runs, and admission by worker load.

use kingcup_dispatch::{
    evacuation::Table,
    plan::{Answer, Effect, Load, Planner, Submission, Worker, RUN_EXPIRY_US},
    worker::{End, Outcome, Profile},
};
use rstest::rstest;

const CORES: i32 = 8_000;
const NOW_US: u64 = 10_000_000;

fn planner(workers: usize) -> (Planner, Vec<Worker>) {
    let mut planner = Planner::open(1);
    let workers = (0..workers).map(|index| connect(&mut planner, index)).collect();
    planner.drain();
    (planner, workers)
}

fn connect(planner: &mut Planner, index: usize) -> Worker {
    let worker = planner.connected(&format!("sidecar-{index}"), 1, 1, &[], NOW_US);
    let worker = worker.expect("the first connection is the newest");
    accept(planner, worker);
    worker
}

/// Lets a worker accept work, all of whose capacity is free.
fn accept(planner: &mut Planner, worker: Worker) {
    let profile = Profile {
        name: "upstream".into(),
        service: "service".into(),
        cores: CORES as u32,
        memory_mb: 1_000,
        ready: true,
        ..Profile::default()
    };
    planner.profile(worker, profile, NOW_US);
    planner.load(
        worker,
        Load { free_cores: CORES, free_memory_mb: 1_000, ..Load::default() },
        NOW_US,
    );
}

fn submission(id: &str, tasks: u16) -> Submission {
    Submission {
        id: id.into(),
        token: 7,
        queue: "queue".into(),
        service: "service".into(),
        priority: 1,
        tasks,
        cores: 3_000,
        memory_mb: 64,
        declared_us: 200_000,
        stretch_permille: 1_600,
        allowance_us: 60_000,
        attempts: 2,
        timeout_us: 3_000_000,
        initial_timeout_us: 1_500_000,
        requires: None,
        near: None,
        together: false,
    }
}

/// Drains all effects and returns the worker and run of each start.
fn take_starts(planner: &mut Planner) -> Vec<(Worker, u64)> {
    let effects = planner.drain();
    let starts = effects.into_iter().filter_map(|effect| match effect {
        Effect::Start { worker, run, .. } => Some((worker, run)),
        _ => None,
    });
    starts.collect()
}

/// Drains all effects and returns the answers.
fn take_answers(planner: &mut Planner) -> Vec<Answer> {
    let effects = planner.drain();
    let answers = effects.into_iter().filter_map(|effect| match effect {
        Effect::Answer { answer, .. } => Some(answer),
        _ => None,
    });
    answers.collect()
}

fn end(run: u64, outcome: Outcome) -> End {
    End { run, outcome, ran_us: 200_000 }
}

/// Guards against an answer before all tasks have ended.
#[test]
fn a_job_is_complete_when_its_last_task_ends() {
    let (mut planner, _) = planner(2);
    planner.submit(submission("a", 3), NOW_US);
    let runs = take_starts(&mut planner);
    assert_eq!(runs.len(), 3);
    for (_, run) in &runs[..2] {
        planner.ended(&end(*run, Outcome::Done), NOW_US);
        assert!(take_answers(&mut planner).is_empty());
    }
    planner.ended(&end(runs[2].1, Outcome::Done), NOW_US);
    assert_eq!(take_answers(&mut planner), [Answer::Completed]);
}

/// Guards against the answer that nothing ran for a job of which a task has begun, and against any
/// other answer for a job whose only start was refused.
#[rstest]
#[case::refused(None, true)]
#[case::stopped(Some(Outcome::Stopped), false)]
#[case::done(Some(Outcome::Done), false)]
fn the_answer_depends_on_whether_a_task_began(
    #[case] outcome: Option<Outcome>,
    #[case] not_run: bool,
) {
    let (mut planner, _) = planner(1);
    planner.submit(submission("a", 1), NOW_US);
    let runs = take_starts(&mut planner);
    // The caller's timeout has passed.
    let late_us = NOW_US + 3_000_000;
    planner.tick(late_us);
    let effects = planner.drain();
    assert!(matches!(effects[..], [Effect::Stop { .. }]), "{effects:?}");
    match outcome {
        Some(outcome) => planner.ended(&end(runs[0].1, outcome), late_us),
        None => planner.refused(runs[0].1, late_us),
    }
    let answers = take_answers(&mut planner);
    assert_eq!(matches!(answers[..], [Answer::NotRun { .. }]), not_run, "{answers:?}");
    assert_eq!(answers.len(), 1);
}

/// Guards against an answer that waits without limit for a sidecar that does not reply to a stop.
#[test]
fn a_job_that_is_given_up_is_answered_without_a_report_from_its_sidecar() {
    let (mut planner, _) = planner(1);
    planner.submit(submission("a", 1), NOW_US);
    planner.drain();
    let late_us = NOW_US + 3_000_000;
    planner.tick(late_us);
    planner.tick(late_us + 30_000);
    assert_eq!(take_answers(&mut planner), [Answer::GaveUp]);
}

/// Guards against a late job that is stopped although its caller still waits and no other job needs
/// the capacity, and against a late job that keeps capacity from others.
#[rstest]
#[case::alone(false)]
#[case::others_wait(true)]
fn a_late_job_is_stopped_only_if_others_wait(#[case] others_wait: bool) {
    let (mut planner, _) = planner(1);
    planner.submit(submission("a", 2), NOW_US);
    let runs = take_starts(&mut planner);
    assert_eq!(runs.len(), 2);
    let late_us = NOW_US + 3 * (320_000 + 60_000);
    if others_wait {
        planner.submit(submission("b", 1), late_us - 1);
    }
    planner.tick(late_us);
    let effects = planner.drain();
    let stopped = effects.iter().any(|effect| matches!(effect, Effect::Stop { .. }));
    assert_eq!(stopped, others_wait, "{effects:?}");
}

/// Guards against a second run of a task while the first may continue at an unreachable sidecar.
#[test]
fn a_run_at_an_unreachable_sidecar_is_replaced_only_after_it_has_expired() {
    let (mut planner, workers) = planner(2);
    planner.submit(Submission { declared_us: 2_000_000, ..submission("a", 1) }, NOW_US);
    let runs = take_starts(&mut planner);
    assert!(workers.contains(&runs[0].0));
    planner.disconnected(runs[0].0, NOW_US);
    planner.tick(NOW_US + RUN_EXPIRY_US - 1);
    assert!(take_starts(&mut planner).is_empty());
    planner.tick(NOW_US + RUN_EXPIRY_US);
    assert_eq!(take_starts(&mut planner).len(), 1);
}

/// Guards against leases that are not renewed while runs depend on them, and against renewals that
/// nothing depends on, which grow with the number of sidecars.
#[test]
fn a_lease_is_needed_while_a_run_has_neither_ended_nor_been_refused() {
    let (mut planner, workers) = planner(2);
    planner.submit(submission("a", 1), NOW_US);
    let (busy, run) = take_starts(&mut planner)[0];
    let needed = |planner: &Planner| -> Vec<Worker> {
        workers.iter().copied().filter(|worker| planner.has_runs(*worker)).collect()
    };
    assert_eq!(needed(&planner), [busy]);
    planner.refused(run, NOW_US + 1_000);
    let (other, run) = take_starts(&mut planner)[0];
    assert_eq!(needed(&planner), [other]);
    planner.ended(&End { run, outcome: Outcome::Done, ran_us: 100_000 }, NOW_US + 102_000);
    assert!(needed(&planner).is_empty());
}

/// Guards against an entry that is not told of free capacity while its jobs wait, and against one
/// that claims to wait for good.
#[test]
fn an_entry_waits_while_its_tasks_find_no_capacity() {
    let (mut planner, workers) = planner(1);
    planner.submit(submission("a", 2), NOW_US);
    assert!(!planner.is_waiting(NOW_US));
    planner.submit(submission("b", 1), NOW_US);
    assert!(planner.is_waiting(NOW_US));
    for (_, run) in take_starts(&mut planner) {
        planner.ended(&End { run, outcome: Outcome::Done, ran_us: 100_000 }, NOW_US + 100_000);
    }
    let load = Load { free_cores: CORES, free_memory_mb: 1_000, last_run: 2, ..Load::default() };
    planner.load(workers[0], load, NOW_US + 100_000);
    assert_eq!(take_starts(&mut planner).len(), 1);
    assert!(!planner.is_waiting(NOW_US + 1_000_000));
}

/// Guards against an entry that was once connected to most workers, as one named in the settings is
/// after a start, and then admits all jobs whenever one of its fewer workers comes or goes.
#[test]
fn admission_relies_on_fewer_workers_once_they_have_not_changed_for_some_time() {
    let (mut planner, workers) = planner(12);
    for worker in &workers[3..] {
        planner.disconnected(*worker, NOW_US);
    }
    let mut now_us = NOW_US;
    while now_us < NOW_US + 8_000_000 {
        now_us += 100_000;
        planner.wake(now_us);
        planner.tick(now_us);
    }
    planner.disconnected(workers[0], now_us);
    for number in 0..200 {
        planner.submit(submission(&format!("{number}"), 1), now_us);
    }
    let mut answers = Vec::new();
    for _ in 0..4 {
        now_us += 20_000;
        planner.tick(now_us);
        answers.extend(take_answers(&mut planner));
    }
    let refused = answers.iter().filter(|answer| matches!(answer, Answer::NotRun { .. }));
    assert!(refused.count() > 100, "{answers:?}");
}

/// Guards against tasks that never end because their sidecar reconnects without their runs.
#[test]
fn a_run_that_a_reconnected_sidecar_does_not_list_is_replaced() {
    let (mut planner, _) = planner(1);
    planner.submit(submission("a", 2), NOW_US);
    let runs = take_starts(&mut planner);
    planner.disconnected(runs[0].0, NOW_US);
    planner.connected("sidecar-0", 1, 2, &[runs[1].1], NOW_US + 1_000);
    let load = Load {
        last_run: runs[1].1,
        free_cores: 5_000,
        free_memory_mb: 900,
        available_in_us: None,
        entries: 1,
    };
    planner.load(runs[0].0, load, NOW_US + 1_000);
    assert_eq!(take_starts(&mut planner).len(), 1);
}

/// Guards against runs that continue after their caller left while their sidecar was unreachable:
/// the stops that were sent then are lost.
#[test]
fn a_run_of_a_cancelled_job_is_stopped_when_its_sidecar_reconnects() {
    let (mut planner, _) = planner(1);
    let job = planner.submit(submission("a", 1), NOW_US);
    let runs = take_starts(&mut planner);
    planner.disconnected(runs[0].0, NOW_US);
    planner.cancel(job, NOW_US);
    planner.drain();
    planner.connected("sidecar-0", 1, 2, &[runs[0].1], NOW_US + 100_000);
    let stop = Effect::Stop { worker: runs[0].0, run: runs[0].1 };
    assert!(planner.drain().contains(&stop));
}

/// Guards against a second run of a task: a list that was delayed on an older connection lacks the
/// first run, which was sent later.
#[test]
fn a_list_of_runs_on_an_older_connection_is_ignored() {
    let (mut planner, _) = planner(1);
    assert!(planner.connected("sidecar-0", 1, 3, &[], NOW_US).is_some());
    planner.submit(submission("a", 1), NOW_US);
    assert_eq!(take_starts(&mut planner).len(), 1);
    assert!(planner.connected("sidecar-0", 1, 2, &[], NOW_US).is_none());
    planner.tick(NOW_US + 1_000);
    assert!(take_starts(&mut planner).is_empty());
}

/// Guards against bytes of an ended sidecar process that arrive after its successor has connected: the
/// entry would take the successor for the old process, start its runs elsewhere while they go on, and
/// use it no more. The incarnations are ordered by the time of day, which may have been set back.
#[rstest]
#[case::in_order(1, 2)]
#[case::clock_set_back(2, 1)]
fn late_bytes_of_an_ended_sidecar_process_do_not_displace_its_successor(
    #[case] ended: u64,
    #[case] successor: u64,
) {
    let mut planner = Planner::open(1);
    let worker = planner.connected("sidecar-0", successor, 2, &[], NOW_US).expect("it is new");
    accept(&mut planner, worker);
    planner.submit(submission("a", 1), NOW_US);
    assert_eq!(take_starts(&mut planner).len(), 1);
    let late_us = NOW_US + 100_000;
    assert!(planner.connected("sidecar-0", ended, 1, &[], late_us).is_none());
    for step in 1..=2 {
        planner.tick(late_us + step * RUN_EXPIRY_US);
    }
    assert!(take_starts(&mut planner).is_empty(), "the run goes on");
    planner.submit(submission("b", 1), late_us);
    assert_eq!(take_starts(&mut planner).len(), 1, "the worker is still used");
}

/// Guards against a profile of an ended sidecar process that arrives after its successor has connected:
/// the entry would remove the successor instead of the ended process.
#[test]
fn a_late_profile_of_an_ended_sidecar_process_does_not_remove_its_successor() {
    let mut planner = Planner::open(1);
    let ended = planner.connected("sidecar-0", 1, 1, &[], NOW_US).expect("it is new");
    let successor = planner.connected("sidecar-0", 2, 2, &[], NOW_US).expect("it is newer");
    accept(&mut planner, ended);
    accept(&mut planner, successor);
    planner.submit(submission("a", 1), NOW_US);
    assert_eq!(take_starts(&mut planner).first().map(|(worker, _)| *worker), Some(successor));
}

/// Guards against a sidecar that is not used after its restart because the time of day was set back.
#[test]
fn a_sidecar_that_restarts_with_an_earlier_time_of_day_replaces_its_earlier_process() {
    let mut planner = Planner::open(1);
    let ended = planner.connected("sidecar-0", 2, 1, &[], NOW_US).expect("it is new");
    accept(&mut planner, ended);
    let successor = planner.connected("sidecar-0", 1, 2, &[], NOW_US).expect("it is newer");
    accept(&mut planner, successor);
    planner.submit(submission("a", 1), NOW_US);
    assert_eq!(take_starts(&mut planner).first().map(|(worker, _)| *worker), Some(successor));
}

/// Guards against two starts of a task on a new connection: one that was decided for the previous
/// connection but not sent, and the one that replaces it.
#[test]
fn an_unsent_start_is_discarded_on_a_new_connection() {
    let (mut planner, _) = planner(1);
    planner.submit(submission("a", 1), NOW_US);
    let runs = take_starts(&mut planner);
    planner.ended(&end(runs[0].1, Outcome::Stopped), NOW_US);
    planner.connected("sidecar-0", 1, 2, &[], NOW_US);
    assert_eq!(take_starts(&mut planner).len(), 1);
}

/// Guards against a retry on the worker on which the task has just failed.
#[test]
fn a_failed_task_is_retried_on_another_worker_and_then_fails_its_job() {
    let (mut planner, _) = planner(2);
    planner.submit(submission("a", 1), NOW_US);
    let first = take_starts(&mut planner);
    planner.ended(&end(first[0].1, Outcome::Failed), NOW_US);
    let second = take_starts(&mut planner);
    assert_ne!(first[0].0, second[0].0);
    planner.ended(&end(second[0].1, Outcome::Failed), NOW_US);
    assert_eq!(take_answers(&mut planner), [Answer::Failed]);
}

/// Guards against runs that continue for a caller that has left.
#[test]
fn cancelling_a_job_stops_its_runs() {
    let (mut planner, _) = planner(2);
    let job = planner.submit(submission("a", 2), NOW_US);
    take_starts(&mut planner);
    planner.cancel(job, NOW_US);
    let effects = planner.drain();
    let stops = effects.iter().filter(|effect| matches!(effect, Effect::Stop { .. })).count();
    assert_eq!(stops, 2);
    assert_eq!(planner.unanswered(), 0);
}

/// Guards against a second set of runs for a job that is submitted again before its answer.
#[test]
fn a_resubmitted_job_continues_for_its_new_caller() {
    let (mut planner, _) = planner(2);
    let job = planner.submit(submission("a", 1), NOW_US);
    let runs = take_starts(&mut planner);
    let resubmitted = planner.submit(Submission { token: 8, ..submission("a", 1) }, NOW_US + 1_000);
    assert_eq!(job, resubmitted);
    assert!(take_starts(&mut planner).is_empty());
    planner.ended(&end(runs[0].1, Outcome::Done), NOW_US + 2_000);
    let effects = planner.drain();
    assert!(effects.contains(&Effect::Answer { token: 8, answer: Answer::Completed }));
}

/// Guards against runs of jobs that their callers submitted elsewhere while the VM was suspended.
#[test]
fn a_suspension_gives_up_all_jobs() {
    let (mut planner, _) = planner(1);
    planner.wake(NOW_US);
    planner.submit(submission("a", 1), NOW_US);
    planner.submit(submission("b", 4), NOW_US);
    take_starts(&mut planner);
    assert!(!planner.wake(NOW_US + 90_000));
    assert!(planner.wake(NOW_US + 2_000_000));
    planner.tick(NOW_US + 2_100_000);
    assert_eq!(planner.unanswered(), 0);
    assert!(take_starts(&mut planner).is_empty());
}

/// Guards against jobs of callers that have tried before, whose objectives have passed, taking
/// capacity from others.
#[test]
fn a_repeated_submission_gets_only_spare_capacity() {
    let (mut planner, _) = planner(1);
    let retried = |id| Submission { timeout_us: 700_000, ..submission(id, 2) };
    planner.submit(retried("a"), NOW_US);
    assert_eq!(take_starts(&mut planner).len(), 2);
    planner.submit(retried("b"), NOW_US);
    let answers = take_answers(&mut planner);
    assert!(matches!(answers[..], [Answer::NotRun { .. }]), "{answers:?}");
}

/// Guards against refused callers that all retry at the same moment.
#[test]
fn refused_callers_get_different_retry_times() {
    let mut planner = Planner::open(1);
    planner.wake(NOW_US);
    for id in ["a", "b", "c", "d"] {
        planner.submit(submission(id, 1), NOW_US + 600_000);
    }
    let mut times: Vec<u64> = take_answers(&mut planner)
        .into_iter()
        .filter_map(|answer| match answer {
            Answer::NotRun { retry_ms } => Some(retry_ms),
            _ => None,
        })
        .collect();
    times.sort_unstable();
    times.dedup();
    assert_eq!(times.len(), 4, "{times:?}");
}

/// Guards against a job that waits although no worker accepts work.
#[test]
fn a_job_without_workers_is_refused_at_once() {
    let mut planner = Planner::open(1);
    planner.wake(NOW_US);
    // Sidecars may still be connecting.
    planner.submit(submission("a", 1), NOW_US);
    assert_eq!(planner.unanswered(), 1);
    planner.submit(submission("b", 1), NOW_US + 600_000);
    let answers = take_answers(&mut planner);
    assert!(matches!(answers[..], [Answer::NotRun { .. }]), "{answers:?}");
}

/// Guards against a job that waits until its deadline although it can no longer end in time.
#[test]
fn a_job_that_cannot_end_in_time_is_refused_before_its_deadline() {
    let mut planner = Planner::open(1);
    planner.wake(NOW_US);
    planner.submit(submission("a", 1), NOW_US);
    let mut now_us = NOW_US;
    while planner.unanswered() > 0 {
        now_us = planner.next_tick().max(now_us + 1);
        planner.tick(now_us);
    }
    let answers = take_answers(&mut planner);
    assert!(matches!(answers[..], [Answer::NotRun { .. }]), "{answers:?}");
    assert!(now_us < NOW_US + 3 * 380_000);
}

/// Returns the load of a worker that has no capacity for a task and expects it after this time.
fn full_load(available_in_us: Option<u32>) -> Load {
    Load { last_run: 0, free_cores: 1_000, free_memory_mb: 500, available_in_us, entries: 1 }
}

/// Guards against an urgent job that waits at one entry under overload while the entry that is
/// notified first uses the capacity that a worker frees.
#[rstest]
#[case::urgent(0, 1)]
#[case::less_urgent(1, 0)]
fn only_an_urgent_task_waits_at_a_full_worker(
    #[case] priority: u32,
    #[case] expected_starts: usize,
) {
    let (mut planner, workers) = planner(1);
    planner.load(workers[0], full_load(Some(10_000)), NOW_US);
    planner.submit(Submission { priority, ..submission("job", 2) }, NOW_US);
    assert_eq!(take_starts(&mut planner).len(), expected_starts, "one task waits there at a time");
}

/// Guards against an urgent task that waits at a worker with long remaining runs while another
/// worker is about to have capacity, and against one that waits although no worker is.
#[rstest]
#[case(Some(200_000), Some(20_000), Some(1))]
#[case(Some(5_000), Some(20_000), Some(0))]
#[case(Some(200_000), None, None)]
fn an_urgent_task_waits_where_capacity_is_expected_first(
    #[case] first_available_us: Option<u32>,
    #[case] second_available_us: Option<u32>,
    #[case] expected_worker: Option<usize>,
) {
    let (mut planner, workers) = planner(2);
    planner.load(workers[0], full_load(first_available_us), NOW_US);
    planner.load(workers[1], full_load(second_available_us), NOW_US);
    planner.submit(Submission { priority: 0, ..submission("job", 1) }, NOW_US);
    let workers_used: Vec<Worker> =
        take_starts(&mut planner).iter().map(|(worker, _)| *worker).collect();
    assert_eq!(workers_used.first().copied(), expected_worker.map(|index| workers[index]));
}

/// Guards against an entry that accepts every job for half a second after each restart of a
/// sidecar. When sidecars restarted in turn under overload, it gave up most of these jobs late.
#[test]
fn a_restarted_sidecar_does_not_disable_admission() {
    let (mut planner, workers) = planner(4);
    planner.wake(NOW_US);
    let later_us = NOW_US + 2_000_000;
    planner.wake(later_us);
    for worker in &workers {
        planner.load(*worker, full_load(None), later_us);
    }
    for number in 0..40 {
        planner.submit(submission(&format!("job-{number}"), 4), later_us);
    }
    planner.drain();
    planner.connected("sidecar-0", 2, 1, &[], later_us).expect("a new incarnation");
    planner.submit(submission("last", 4), later_us);
    planner.tick(later_us + 10_000);
    let refused = planner
        .drain()
        .iter()
        .any(|effect| matches!(effect, Effect::Answer { answer: Answer::NotRun { .. }, .. }));
    assert!(refused);
    assert!(planner.find("last").is_none());
}

/// Returns a planner with one worker in each of zones a and b.
fn planner_in_two_zones() -> (Planner, [Worker; 2]) {
    let mut planner = Planner::open(1);
    let workers = ["a", "b"].map(|zone| {
        let worker = planner.connected(&format!("sidecar-{zone}"), 1, 1, &[], NOW_US);
        let worker = worker.expect("the first connection is the newest");
        join(&mut planner, worker, zone);
        worker
    });
    planner.drain();
    (planner, workers)
}

fn join(planner: &mut Planner, worker: Worker, zone: &str) {
    let profile = Profile {
        name: "upstream".into(),
        service: "service".into(),
        zone: zone.into(),
        cores: CORES as u32,
        memory_mb: 1_000,
        ready: true,
        ..Profile::default()
    };
    planner.profile(worker, profile, NOW_US);
    let load = Load { free_cores: CORES, free_memory_mb: 1_000, ..Load::default() };
    planner.load(worker, load, NOW_US);
}

fn evacuate(planner: &mut Planner, revision: u64, zones: &[&str]) {
    planner.set_evacuations(Table::open(revision, zones.iter().copied()).0, NOW_US);
}

/// Guards against starts in an evacuated zone, against stops of the runs there, and against a zone
/// that stays without work once the order has ended.
#[test]
fn an_evacuated_zone_gets_no_starts_and_keeps_its_runs() {
    let (mut planner, [worker_a, worker_b]) = planner_in_two_zones();
    planner.submit(submission("a", 4), NOW_US);
    let starts = take_starts(&mut planner);
    let is_on = |worker: Worker| starts.iter().any(|(other, _)| *other == worker);
    assert!(is_on(worker_a) && is_on(worker_b));
    evacuate(&mut planner, 5, &["a"]);
    assert_eq!(planner.drain(), []);
    assert_eq!(planner.accepting(), 1);
    for (_, run) in starts {
        planner.ended(&end(run, Outcome::Done), NOW_US);
    }
    assert_eq!(take_answers(&mut planner), [Answer::Completed]);
    for worker in [worker_a, worker_b] {
        join(&mut planner, worker, if worker == worker_a { "a" } else { "b" });
    }
    planner.submit(submission("b", 4), NOW_US);
    let starts = take_starts(&mut planner);
    assert_eq!(starts.len(), 2);
    assert!(starts.iter().all(|(worker, _)| *worker == worker_b));
    evacuate(&mut planner, 6, &[]);
    let starts = take_starts(&mut planner);
    assert!(starts.len() == 2 && starts.iter().all(|(worker, _)| *worker == worker_a));
}

/// Guards against starts at a worker that joins, or whose sidecar restarts, while its zone is
/// evacuated.
#[test]
fn a_worker_that_joins_an_evacuated_zone_gets_no_starts() {
    let mut planner = Planner::open(1);
    evacuate(&mut planner, 5, &["a"]);
    let worker = planner.connected("sidecar-a", 1, 1, &[], NOW_US).expect("the newest connection");
    join(&mut planner, worker, "a");
    planner.submit(submission("a", 1), NOW_US);
    assert_eq!(take_starts(&mut planner), []);
    assert!(planner.knows_zone("a") && !planner.knows_zone("b"));
}

/// Guards against urgent starts that wait at full workers of an evacuated zone.
#[test]
fn no_start_waits_in_an_evacuated_zone() {
    let (mut planner, [worker_a, worker_b]) = planner_in_two_zones();
    planner.load(worker_a, full_load(Some(1_000)), NOW_US);
    planner.load(worker_b, full_load(Some(20_000)), NOW_US);
    evacuate(&mut planner, 5, &["a"]);
    planner.submit(Submission { priority: 0, ..submission("a", 1) }, NOW_US);
    let starts = take_starts(&mut planner);
    assert!(matches!(starts[..], [(worker, _)] if worker == worker_b), "{starts:?}");
}

/// Guards against jobs that are admitted for capacity in evacuated zones, and against admission that
/// is suspended after an order, as it is after an outage of most workers.
#[test]
fn admission_leaves_out_the_capacity_of_evacuated_zones() {
    let (mut planner, _) = planner_in_two_zones();
    planner.wake(NOW_US);
    let now_us = NOW_US + 20_000_000;
    planner.wake(now_us);
    planner.set_evacuations(Table::open(5, ["a", "b"]).0, now_us);
    let late = planner.connected("sidecar-c", 1, 1, &[], now_us).expect("the newest connection");
    planner.disconnected(late, now_us);
    planner.submit(submission("a", 1), now_us);
    assert!(matches!(take_answers(&mut planner)[..], [Answer::NotRun { .. }]));
}
