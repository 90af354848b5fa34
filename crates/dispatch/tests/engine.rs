//! Tests of the engine in individual situations.

mod common;

use std::{collections::VecDeque, sync::Arc};

use common::{engine, idle, job, payloads};
use kingcup_dispatch::{
    code::Code,
    engine::{Action, Answer, End, Engine, Finish, Held, Recall, Report, Start, Submission},
    job::Outcome,
    route::{Load, Upstream},
};
use rstest::rstest;

fn starts(actions: &[Action]) -> Vec<Start> {
    let extract = |action: &Action| match action {
        Action::Start(start) => Some(start.clone()),
        _ => None,
    };
    actions.iter().filter_map(extract).collect()
}

fn recalls(actions: &[Action]) -> Vec<Recall> {
    let extract = |action: &Action| match action {
        Action::Recall(recall) => Some(recall.clone()),
        _ => None,
    };
    actions.iter().filter_map(extract).collect()
}

fn answers(actions: &[Action]) -> Vec<Answer> {
    let extract = |action: &Action| match action {
        Action::Answer(answer) => Some(answer.clone()),
        _ => None,
    };
    actions.iter().filter_map(extract).collect()
}

fn failed_with(answers: &[Answer]) -> Option<Code> {
    match answers.first()?.outcome {
        Outcome::Failed { code, .. } => Some(code),
        Outcome::Complete(_) => None,
    }
}

fn finish(sequence: u64, end: End) -> Finish<'static> {
    Finish {
        sequence,
        end,
        queue_us: 0,
        run_us: 100_000,
        load: idle(8),
        body: Arc::from(&b"y"[..]),
    }
}

fn connect(engine: &mut Engine, names: &[&str], slots: u16) -> Vec<Upstream> {
    let connect = |name: &&str| engine.connected(name, "a", 1, slots, &idle(slots), 0);
    names.iter().map(connect).collect()
}

/// Guards against missing bodies and against bodies in the order of completion.
#[test]
fn a_job_answer_contains_all_bodies_in_task_order() {
    let mut engine = engine(1);
    connect(&mut engine, &["u"], 8);
    let input = payloads(2);
    let key = engine.submit(&job("retraction", &input), 0).expect("accepted");
    let sent = starts(&std::mem::take(engine.actions()));
    for start in sent.iter().rev() {
        let mut finish = finish(start.sequence, End::Done);
        finish.body = Arc::from(&[start.task as u8][..]);
        engine.finish(start.upstream, &finish, 100_000);
    }
    let bodies = vec![Arc::from(&[0u8][..]), Arc::from(&[1u8][..])];
    let expected = Answer { job: key, outcome: Outcome::Complete(bodies) };
    assert_eq!(answers(engine.actions()), [expected]);
    assert_eq!(engine.counts().jobs, 0);
}

/// Guards against refusals based on the run time that is assumed before any task of a kind has
/// ended. At 300 ms per task, 6 waiting tasks on 2 slots would take 0.9 s of a 1 s deadline.
#[test]
fn no_job_is_refused_before_run_times_are_learned() {
    let mut engine = engine(1);
    connect(&mut engine, &["u"], 2);
    let input = payloads(8);
    assert!(engine.submit(&job("retraction", &input), 0).is_ok());
}

/// Guards against refusals based on a rate that includes the idle time before a burst. At 20 starts
/// per second, 10 waiting tasks take 0.5 s of a 1 s deadline.
#[test]
fn the_rate_of_a_new_backlog_excludes_idle_time() {
    const INTERVAL_US: u64 = 100_000;
    let mut engine = engine(1);
    connect(&mut engine, &["u"], 2);
    let mut now_us = 1_000_000;
    let batch = payloads(4);
    for _ in 0..3 {
        engine.submit(&job("retraction", &batch), now_us).expect("accepted");
    }
    let mut sent: VecDeque<Start> = starts(&std::mem::take(engine.actions())).into();
    let next = payloads(1);
    for end in 0..24 {
        let start = sent.pop_front().expect("two tasks are running");
        if end % 2 == 0 {
            now_us += INTERVAL_US;
        }
        engine.finish(start.upstream, &finish(start.sequence, End::Done), now_us);
        sent.extend(starts(&std::mem::take(engine.actions())));
        let result = engine.submit(&job("retraction", &next), now_us);
        assert!(result.is_ok(), "refused after {end} ends: {result:?}");
    }
}

/// Guards against refusals with a retry delay of 30 s from an entry that got no slot for a second
/// because another entry was faster. The absence of starts over so short a time says little about
/// the rate.
#[test]
fn an_entry_without_starts_for_a_second_still_accepts() {
    let mut engine = engine(1);
    connect(&mut engine, &["u"], 2);
    let one = payloads(1);
    let half_used = Load { revision: 2, running: &[1, 0], queued: 0, window: 2 };
    for run in 0..20 {
        let now_us = run * 100_000;
        engine.submit(&job("retraction", &one), now_us).expect("accepted");
        let start = starts(&std::mem::take(engine.actions())).remove(0);
        let mut finish = finish(start.sequence, End::Done);
        if run == 19 {
            finish.load = half_used;
        }
        engine.finish(start.upstream, &finish, now_us + 100_000);
        engine.actions().clear();
    }
    engine.submit(&job("retraction", &one), 2_050_000).expect("accepted");
    assert_eq!(
        starts(&std::mem::take(engine.actions())).len(),
        1,
        "the kind uses its guaranteed slot"
    );
    for now_us in [2_100_000, 3_300_000] {
        let result = engine.submit(&job("retraction", &one), now_us);
        assert!(result.is_ok(), "refused at {now_us}: {result:?}");
        assert!(starts(&std::mem::take(engine.actions())).is_empty(), "no slot is free");
    }
}

/// Guards against a failed job whose remaining tasks keep waiting or running.
#[test]
fn a_failed_task_fails_its_job_and_recalls_the_rest() {
    let mut engine = engine(1);
    connect(&mut engine, &["u", "v"], 3);
    let input = payloads(8);
    engine.submit(&job("retraction", &input), 0).expect("accepted");
    let sent = starts(&std::mem::take(engine.actions()));
    let end = End::Failed(Code::TaskFailed);
    engine.finish(sent[0].upstream, &finish(sent[0].sequence, end), 1_000);
    assert_eq!(failed_with(&answers(engine.actions())), Some(Code::TaskFailed));
    let recalled = recalls(engine.actions());
    assert_eq!(recalled.len(), 2, "one recall for each sidecar");
    assert_eq!(recalled.iter().map(|recall| recall.sequences.len()).sum::<usize>(), sent.len() - 1);
    assert_eq!(engine.counts().waiting, 0);
}

/// Guards against the status "not run" for a cancelled job with a task that ran, and against a
/// delayed answer for one without.
#[rstest]
#[case(Held::Never, Code::Cancelled)]
#[case(Held::Running, Code::Stopped)]
fn the_answer_to_a_cancelled_job_reports_whether_it_ran(
    #[case] held: Held,
    #[case] expected: Code,
) {
    let mut engine = engine(1);
    connect(&mut engine, &["u"], 8);
    let input = payloads(1);
    let key = engine.submit(&job("retraction", &input), 0).expect("accepted");
    let sent = starts(&std::mem::take(engine.actions()));
    engine.cancel(key, 1_000);
    assert_eq!(answers(engine.actions()), []);
    engine.handle_reports(sent[0].upstream, &[Report { sequence: sent[0].sequence, held }], 2_000);
    assert_eq!(failed_with(&answers(engine.actions())), Some(expected));
}

/// Guards against losing a task after a definite refusal or sending it to the same full gate again.
#[test]
fn a_refused_start_goes_to_another_upstream() {
    let mut engine = engine(1);
    connect(&mut engine, &["u", "v"], 2);
    let input = payloads(1);
    engine.submit(&job("retraction", &input), 0).expect("accepted");
    let first = starts(&std::mem::take(engine.actions())).remove(0);
    let full = Load { revision: 1, running: &[2, 0], queued: 0, window: 2 };
    engine.refuse(first.upstream, first.sequence, Code::Busy, &full, 10_000);
    let second = starts(engine.actions()).remove(0);
    assert_ne!(second.upstream, first.upstream);
    assert_eq!(engine.settled(first.upstream), first.sequence);
}

/// Guards against new work on a lost link and against a second run of tasks sent to the previous
/// incarnation of a sidecar.
#[rstest]
#[case(1, 1)]
#[case(2, 0)]
fn starts_are_inquired_only_for_the_same_incarnation(
    #[case] incarnation: u64,
    #[case] inquired: usize,
) {
    let mut engine = engine(1);
    let upstreams = connect(&mut engine, &["u"], 8);
    let input = payloads(1);
    engine.submit(&job("retraction", &input), 0).expect("accepted");
    engine.suspended(upstreams[0], 1_000);
    engine.actions().clear();
    assert_eq!(
        engine.submit(&job("retraction", &input), 1_000).map_err(|refusal| refusal.code),
        Err(Code::NoUpstream)
    );
    assert_eq!(engine.resumed(upstreams[0], incarnation, 2_000).len(), inquired);
    let lost = (inquired == 0).then_some(Code::UpstreamLost);
    assert_eq!(failed_with(&answers(engine.actions())), lost);
}

/// Guards against accepting work that cannot run, and against codes that rule out a retry although
/// it may succeed.
#[rstest]
#[case("nonesuch", 1, None, 0, Code::UnknownKind)]
#[case("retraction", 0, None, 0, Code::BadRequest)]
#[case("retraction", 111, None, 0, Code::TooLarge)]
#[case("retraction", 1, Some(2_000), 0, Code::NeverRunnable)]
#[case("retraction", 100, None, 0, Code::QueueFull)]
#[case("retraction", 100, None, 6_000_000, Code::NeverRunnable)]
fn a_submission_is_refused_as_a_whole(
    #[case] kind: &str,
    #[case] tasks: usize,
    #[case] memory_mb: Option<u32>,
    #[case] now_us: u64,
    #[case] expected: Code,
) {
    let mut engine = engine(1);
    connect(&mut engine, &["u"], 8);
    let input = payloads(tasks);
    let submission = Submission { memory_mb, ..job(kind, &input) };
    let refusal = engine.submit(&submission, now_us).expect_err("refused");
    assert_eq!(refusal.code, expected);
    assert!(engine.actions().is_empty());
    assert_eq!(engine.counts().jobs, 0);
}

/// Guards against a flood of one kind that occupies the slots guaranteed to another kind.
#[test]
fn borrowed_work_leaves_headroom_for_a_kind_within_its_share() {
    let mut engine = engine(1);
    connect(&mut engine, &["u"], 8);
    let input = payloads(20);
    engine.submit(&job("clarification", &input), 0).expect("accepted");
    assert_eq!(starts(&std::mem::take(engine.actions())).len(), 7);
    let one = payloads(1);
    engine.submit(&job("retraction", &one), 0).expect("accepted");
    let sent = starts(&std::mem::take(engine.actions()));
    assert_eq!(&*sent[0].kind, "retraction");
}

/// Guards against work that waits past its deadline without being answered.
#[test]
fn waiting_work_expires_after_its_deadline() {
    let mut engine = engine(1);
    let upstreams = connect(&mut engine, &["u"], 8);
    let input = payloads(1);
    engine.submit(&job("clarification", &input), 0).expect("accepted");
    let sent = starts(&std::mem::take(engine.actions())).remove(0);
    engine.closing(upstreams[0], 0);
    engine.refuse(upstreams[0], sent.sequence, Code::Closing, &idle(8), 10);
    engine.tick(1_000_000);
    assert!(answers(engine.actions()).is_empty());
    engine.tick(1_000_001);
    assert_eq!(failed_with(&answers(engine.actions())), Some(Code::Expired));
}

/// Guards against an upstream that fails tasks quickly and thereby attracts all work, and against
/// an unlimited number of probes.
#[test]
fn an_upstream_that_fails_every_task_is_ejected_and_probed() {
    let mut engine = engine(1);
    let upstreams = connect(&mut engine, &["u", "v", "w", "x", "y"], 8);
    let input = payloads(1);
    let mut failed_at = Vec::new();
    let mut running = VecDeque::new();
    for step in 0..4_000 {
        let now_us = step * 10_000;
        if running.len() > 28 {
            let completed: Start = running.pop_front().expect("not empty");
            engine.finish(completed.upstream, &finish(completed.sequence, End::Done), now_us);
        }
        engine.submit(&job("retraction", &input), now_us).expect("accepted");
        for start in starts(&std::mem::take(engine.actions())) {
            if start.upstream != upstreams[0] {
                running.push_back(start);
                continue;
            }
            let end = End::Failed(Code::TaskFailed);
            engine.finish(start.upstream, &finish(start.sequence, end), now_us);
            failed_at.push(now_us);
        }
    }
    let ejected_us = failed_at.iter().position(|&at_us| at_us > 5_000_000).expect("probed");
    assert!(ejected_us <= 20, "{ejected_us} tasks failed before the ejection");
    assert!(failed_at[ejected_us..].windows(2).all(|pair| pair[1] - pair[0] >= 5_000_000));
}

/// Guards against retries of tasks of a job, of kinds that are not idempotent, or at the upstream
/// that failed.
#[rstest]
#[case(true, true, 1)]
#[case(true, false, 0)]
#[case(false, true, 0)]
fn only_single_idempotent_requests_are_retried(
    #[case] idempotent: bool,
    #[case] single: bool,
    #[case] retries: usize,
) {
    let mut engine = engine(1);
    let mut document = common::document();
    document.kinds[0].idempotent = idempotent;
    engine.apply(&document, 2, 0);
    connect(&mut engine, &["u", "v"], 8);
    let input = payloads(1);
    engine.submit(&Submission { single, ..job("retraction", &input) }, 0).expect("accepted");
    let first = starts(&std::mem::take(engine.actions())).remove(0);
    let end = End::Failed(Code::TaskFailed);
    engine.finish(first.upstream, &finish(first.sequence, end), 1_000);
    let second = starts(engine.actions());
    assert_eq!(second.len(), retries);
    assert!(second.iter().all(|start| start.upstream != first.upstream));
    assert_eq!(answers(engine.actions()).len(), 1 - retries);
}

/// Guards against losing waiting work when a new document removes its kind.
#[test]
fn waiting_work_of_a_removed_kind_still_runs() {
    let mut engine = engine(1);
    connect(&mut engine, &["u"], 2);
    let input = payloads(3);
    engine.submit(&job("clarification", &input), 0).expect("accepted");
    let mut document = common::document();
    document.kinds.remove(1);
    engine.apply(&document, 2, 0);
    let refusal = engine.submit(&job("clarification", &input), 0).expect_err("refused");
    assert_eq!(refusal.code, Code::UnknownKind);
    for step in 1..10 {
        for start in starts(&std::mem::take(engine.actions())) {
            engine.finish(start.upstream, &finish(start.sequence, End::Done), step * 100_000);
        }
    }
    assert_eq!(engine.counts().jobs, 0);
}

/// Guards against starvation of a long task by short ones, and against a task that was declared as
/// short waiting behind long ones.
#[rstest]
#[case(100_000, 100)]
#[case(600_000, 1_000)]
fn waiting_jobs_are_ranked_by_learned_run_times(
    #[case] submission_gap_us: u64,
    #[case] first_ms: u32,
) {
    let mut engine = engine(1);
    let upstreams = connect(&mut engine, &["u"], 1);
    let input = payloads(1);
    let declared = |ms| Submission { declared_ms: Some(ms), ..job("retraction", &input) };
    for step in 0..40 {
        let ms = if step % 2 == 0 { 100 } else { 1_000 };
        engine.submit(&declared(ms), 0).expect("accepted");
        let start = starts(&std::mem::take(engine.actions())).remove(0);
        let run_us = ms * 1_000;
        engine.finish(upstreams[0], &Finish { run_us, ..finish(start.sequence, End::Done) }, 0);
    }
    engine.submit(&declared(100), 0).expect("accepted");
    let running = starts(&std::mem::take(engine.actions())).remove(0);
    let long = engine.submit(&declared(1_000), 0).expect("accepted");
    let short = engine.submit(&declared(100), submission_gap_us).expect("accepted");
    engine.finish(
        running.upstream,
        &finish(running.sequence, End::Done),
        submission_gap_us + 50_000,
    );
    let next = starts(engine.actions()).remove(0);
    assert_eq!(next.job, if first_ms == 100 { short } else { long });
}
