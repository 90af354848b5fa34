//! Jobs at an entry: truthful answers, runs elsewhere, and what is known of workers.

use kingcup_dispatch::{
    plan::{Answer, Effect, Load, Planner, Submission, Worker, GONE_US},
    worker::{End, Outcome, Profile},
};
use rstest::rstest;

const CORES: i32 = 8_000;
const NOW_US: u64 = 10_000_000;

fn planner(workers: usize) -> (Planner, Vec<Worker>) {
    let mut planner = Planner::new(1);
    let workers = (0..workers).map(|index| join(&mut planner, index)).collect();
    planner.drain();
    (planner, workers)
}

fn join(planner: &mut Planner, index: usize) -> Worker {
    let worker = planner.connected(&format!("sidecar-{index}"), 1, 1, &[], NOW_US);
    let worker = worker.expect("the first connection is the newest");
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
    worker
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
    }
}

fn starts(planner: &mut Planner) -> Vec<(Worker, u64)> {
    let effects = planner.drain();
    let starts = effects.into_iter().filter_map(|effect| match effect {
        Effect::Start { worker, run, .. } => Some((worker, run)),
        _ => None,
    });
    starts.collect()
}

fn answers(planner: &mut Planner) -> Vec<Answer> {
    let effects = planner.drain();
    let answers = effects.into_iter().filter_map(|effect| match effect {
        Effect::Answer { answer, .. } => Some(answer),
        _ => None,
    });
    answers.collect()
}

fn end(run: u64, how: Outcome) -> End {
    End { run, outcome: how, ran_us: 200_000 }
}

/// Guards against an answer before all tasks have ended.
#[test]
fn a_job_is_complete_with_its_last_task() {
    let (mut planner, _) = planner(2);
    planner.submit(submission("a", 3), NOW_US);
    let runs = starts(&mut planner);
    assert_eq!(runs.len(), 3);
    for (_, run) in &runs[..2] {
        planner.ended(&end(*run, Outcome::Done), NOW_US);
        assert!(answers(&mut planner).is_empty());
    }
    planner.ended(&end(runs[2].1, Outcome::Done), NOW_US);
    assert_eq!(answers(&mut planner), [Answer::Completed]);
}

/// Guards against "not run" for a job of which a task has begun, and against the contrary for one that
/// was only waiting.
#[rstest]
#[case::refused(None, true)]
#[case::stopped(Some(Outcome::Stopped), false)]
#[case::done(Some(Outcome::Done), false)]
fn what_became_of_the_starts_decides_the_answer(
    #[case] how: Option<Outcome>,
    #[case] not_run: bool,
) {
    let (mut planner, _) = planner(1);
    planner.submit(submission("a", 1), NOW_US);
    let runs = starts(&mut planner);
    // The caller leaves no more time.
    let late_us = NOW_US + 3_000_000;
    planner.tick(late_us);
    let stops = planner.drain();
    assert!(matches!(stops[..], [Effect::Stop { .. }]), "{stops:?}");
    match how {
        Some(how) => planner.ended(&end(runs[0].1, how), late_us),
        None => planner.refused(runs[0].1, late_us),
    }
    let answers = answers(&mut planner);
    assert_eq!(matches!(answers[..], [Answer::NotRun { .. }]), not_run, "{answers:?}");
    assert_eq!(answers.len(), 1);
}

/// Guards against an answer that waits for a sidecar that does not answer.
#[test]
fn a_job_that_is_given_up_is_answered_without_its_sidecar() {
    let (mut planner, _) = planner(1);
    planner.submit(submission("a", 1), NOW_US);
    planner.drain();
    let late_us = NOW_US + 3_000_000;
    planner.tick(late_us);
    planner.tick(late_us + 30_000);
    assert_eq!(answers(&mut planner), [Answer::GaveUp]);
}

/// Guards against a job that is cut although its caller waits and nobody needs its room, and against one
/// that keeps room from others when it is too late.
#[rstest]
#[case::alone(false)]
#[case::others_wait(true)]
fn a_job_that_is_late_gives_way_only_to_others(#[case] pressed: bool) {
    let (mut planner, _) = planner(1);
    planner.submit(submission("a", 2), NOW_US);
    let runs = starts(&mut planner);
    assert_eq!(runs.len(), 2);
    let late_us = NOW_US + 3 * (320_000 + 60_000);
    if pressed {
        planner.submit(submission("b", 1), late_us - 1);
    }
    planner.tick(late_us);
    let stops = planner.drain();
    let stopped = stops.iter().any(|effect| matches!(effect, Effect::Stop { .. }));
    assert_eq!(stopped, pressed, "{stops:?}");
}

/// Guards against a second run while the first may go on at a sidecar that cannot be reached.
#[test]
fn a_run_at_an_unreachable_sidecar_is_repeated_only_when_it_is_gone() {
    let (mut planner, workers) = planner(2);
    planner.submit(Submission { declared_us: 2_000_000, ..submission("a", 1) }, NOW_US);
    let runs = starts(&mut planner);
    assert!(workers.contains(&runs[0].0));
    planner.disconnected(runs[0].0, NOW_US);
    planner.tick(NOW_US + GONE_US - 1);
    assert!(starts(&mut planner).is_empty());
    planner.tick(NOW_US + GONE_US);
    assert_eq!(starts(&mut planner).len(), 1);
}

/// Guards against runs that are forgotten when a sidecar comes back without them.
#[test]
fn a_run_that_a_sidecar_no_longer_holds_is_repeated() {
    let (mut planner, _) = planner(1);
    planner.submit(submission("a", 2), NOW_US);
    let runs = starts(&mut planner);
    planner.disconnected(runs[0].0, NOW_US);
    planner.connected("sidecar-0", 1, 2, &[runs[1].1], NOW_US + 1_000);
    let load =
        Load { last_run: runs[1].1, free_cores: 5_000, free_memory_mb: 900, available_in_us: None };
    planner.load(runs[0].0, load, NOW_US + 1_000);
    assert_eq!(starts(&mut planner).len(), 1);
}

/// Guards against runs that go on although their caller left while their sidecar could not be reached.
#[test]
fn a_run_whose_job_is_gone_is_stopped_when_its_sidecar_returns() {
    let (mut planner, _) = planner(1);
    let job = planner.submit(submission("a", 1), NOW_US);
    let runs = starts(&mut planner);
    planner.disconnected(runs[0].0, NOW_US);
    planner.cancel(job, NOW_US);
    planner.drain();
    planner.connected("sidecar-0", 1, 2, &[runs[0].1], NOW_US + 100_000);
    let stop = Effect::Stop { worker: runs[0].0, run: runs[0].1 };
    assert!(planner.drain().contains(&stop));
}

/// Guards against a second run because a list that was held up on an older connection does not name the
/// first one.
#[test]
fn a_list_of_runs_on_an_older_connection_is_ignored() {
    let (mut planner, _) = planner(1);
    assert!(planner.connected("sidecar-0", 1, 3, &[], NOW_US).is_some());
    planner.submit(submission("a", 1), NOW_US);
    assert_eq!(starts(&mut planner).len(), 1);
    assert!(planner.connected("sidecar-0", 1, 2, &[], NOW_US).is_none());
    planner.tick(NOW_US + 1_000);
    assert!(starts(&mut planner).is_empty());
}

/// Guards against a start that was decided for an older connection and goes out on the new one, beside
/// the start that replaces it.
#[test]
fn a_start_that_was_not_sent_before_a_new_connection_is_not_sent_twice() {
    let (mut planner, _) = planner(1);
    planner.submit(submission("a", 1), NOW_US);
    let runs = starts(&mut planner);
    planner.ended(&end(runs[0].1, Outcome::Stopped), NOW_US);
    planner.connected("sidecar-0", 1, 2, &[], NOW_US);
    assert_eq!(starts(&mut planner).len(), 1);
}

/// Guards against a retry at the worker that has just failed the task.
#[test]
fn a_failed_task_goes_to_another_worker_and_fails_its_job_in_the_end() {
    let (mut planner, _) = planner(2);
    planner.submit(submission("a", 1), NOW_US);
    let first = starts(&mut planner);
    planner.ended(&end(first[0].1, Outcome::Failed), NOW_US);
    let second = starts(&mut planner);
    assert_ne!(first[0].0, second[0].0);
    planner.ended(&end(second[0].1, Outcome::Failed), NOW_US);
    assert_eq!(answers(&mut planner), [Answer::Failed]);
}

/// Guards against work for a caller that has left.
#[test]
fn a_caller_that_leaves_stops_its_runs() {
    let (mut planner, _) = planner(2);
    let job = planner.submit(submission("a", 2), NOW_US);
    starts(&mut planner);
    planner.cancel(job, NOW_US);
    let effects = planner.drain();
    let stops = effects.iter().filter(|effect| matches!(effect, Effect::Stop { .. })).count();
    assert_eq!(stops, 2);
    assert_eq!(planner.unanswered(), 0);
}

/// Guards against a second set of runs for a job that is submitted again while it is here.
#[test]
fn a_job_that_is_submitted_again_goes_on_for_its_new_caller() {
    let (mut planner, _) = planner(2);
    let job = planner.submit(submission("a", 1), NOW_US);
    let runs = starts(&mut planner);
    let again = planner.submit(Submission { token: 8, ..submission("a", 1) }, NOW_US + 1_000);
    assert_eq!(job, again);
    assert!(starts(&mut planner).is_empty());
    planner.ended(&end(runs[0].1, Outcome::Done), NOW_US + 2_000);
    let effects = planner.drain();
    assert!(effects.contains(&Effect::Answer { token: 8, answer: Answer::Completed }));
}

/// Guards against runs of jobs whose callers have gone elsewhere while the VM was suspended.
#[test]
fn a_suspension_gives_up_all_jobs() {
    let (mut planner, _) = planner(1);
    planner.wake(NOW_US);
    planner.submit(submission("a", 1), NOW_US);
    planner.submit(submission("b", 4), NOW_US);
    starts(&mut planner);
    assert!(!planner.wake(NOW_US + 90_000));
    assert!(planner.wake(NOW_US + 2_000_000));
    planner.tick(NOW_US + 2_100_000);
    assert_eq!(planner.unanswered(), 0);
    assert!(starts(&mut planner).is_empty());
}

/// Guards against callers that have tried before, whose objective has passed, taking room from others.
#[test]
fn a_repeated_submission_is_served_only_with_room_to_spare() {
    let (mut planner, _) = planner(1);
    let again = |id| Submission { timeout_us: 700_000, ..submission(id, 2) };
    planner.submit(again("a"), NOW_US);
    assert_eq!(starts(&mut planner).len(), 2);
    planner.submit(again("b"), NOW_US);
    let answers = answers(&mut planner);
    assert!(matches!(answers[..], [Answer::NotRun { .. }]), "{answers:?}");
}

/// Guards against refused callers that all return at once.
#[test]
fn refused_callers_are_told_different_times() {
    let mut planner = Planner::new(1);
    planner.wake(NOW_US);
    for id in ["a", "b", "c", "d"] {
        planner.submit(submission(id, 1), NOW_US + 600_000);
    }
    let mut times: Vec<u64> = answers(&mut planner)
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

/// Guards against a job that waits although no worker can take it.
#[test]
fn a_job_without_workers_is_refused_at_once() {
    let mut planner = Planner::new(1);
    planner.wake(NOW_US);
    // Sidecars may still be connecting.
    planner.submit(submission("a", 1), NOW_US);
    assert_eq!(planner.unanswered(), 1);
    planner.submit(submission("b", 1), NOW_US + 600_000);
    let answers = answers(&mut planner);
    assert!(matches!(answers[..], [Answer::NotRun { .. }]), "{answers:?}");
}

/// Guards against a job that waits to the end although it can no longer end in time.
#[test]
fn a_job_that_cannot_end_in_time_is_refused_before_its_deadline() {
    let mut planner = Planner::new(1);
    planner.wake(NOW_US);
    planner.submit(submission("a", 1), NOW_US);
    let mut now_us = NOW_US;
    while planner.unanswered() > 0 {
        now_us = planner.next_tick().max(now_us + 1);
        planner.tick(now_us);
    }
    let answers = answers(&mut planner);
    assert!(matches!(answers[..], [Answer::NotRun { .. }]), "{answers:?}");
    assert!(now_us < NOW_US + 3 * 380_000);
}

/// Load of a worker without room for a task, and the time until it expects some.
fn full(room_us: Option<u32>) -> Load {
    Load { last_run: 0, free_cores: 1_000, free_memory_mb: 500, available_in_us: room_us }
}

/// A rush beyond the room: guards against room that is freed at one worker and taken by whoever is told
/// first, while an urgent job waits at another entry.
#[rstest]
#[case::urgent(0, 1)]
#[case::less_urgent(1, 0)]
fn in_a_rush_an_urgent_task_waits_at_a_full_worker(#[case] priority: u32, #[case] sent: usize) {
    let (mut planner, workers) = planner(1);
    planner.load(workers[0], full(Some(10_000)), NOW_US);
    planner.submit(Submission { priority, ..submission("job", 2) }, NOW_US);
    assert_eq!(starts(&mut planner).len(), sent, "one task waits there at a time");
}

/// Long runs in the way: guards against an urgent task that waits at a worker whose runs have long to go,
/// while another is about to have room, and against one that waits although none is.
#[rstest]
#[case(Some(200_000), Some(20_000), Some(1))]
#[case(Some(5_000), Some(20_000), Some(0))]
#[case(Some(200_000), None, None)]
fn an_urgent_task_waits_where_room_is_expected_first(
    #[case] first_us: Option<u32>,
    #[case] second_us: Option<u32>,
    #[case] chosen: Option<usize>,
) {
    let (mut planner, workers) = planner(2);
    planner.load(workers[0], full(first_us), NOW_US);
    planner.load(workers[1], full(second_us), NOW_US);
    planner.submit(Submission { priority: 0, ..submission("job", 1) }, NOW_US);
    let sent: Vec<Worker> = starts(&mut planner).iter().map(|(worker, _)| *worker).collect();
    assert_eq!(sent.first().copied(), chosen.map(|index| workers[index]));
}

/// Sidecars that restart in turn during a rush: guards against an entry that takes every job for half a
/// second after each of them, and gives most of them up late.
#[test]
fn a_restarted_sidecar_does_not_switch_admission_off() {
    let (mut planner, workers) = planner(4);
    planner.wake(NOW_US);
    let later_us = NOW_US + 2_000_000;
    planner.wake(later_us);
    for worker in &workers {
        planner.load(*worker, full(None), later_us);
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
