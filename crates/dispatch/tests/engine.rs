//! Behaviour of the engine in single situations.

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
    let start = |action: &Action| match action {
        Action::Start(start) => Some(start.clone()),
        _ => None,
    };
    actions.iter().filter_map(start).collect()
}

fn recalls(actions: &[Action]) -> Vec<Recall> {
    let recall = |action: &Action| match action {
        Action::Recall(recall) => Some(recall.clone()),
        _ => None,
    };
    actions.iter().filter_map(recall).collect()
}

fn answers(actions: &[Action]) -> Vec<Answer> {
    let answer = |action: &Action| match action {
        Action::Answer(answer) => Some(answer.clone()),
        _ => None,
    };
    actions.iter().filter_map(answer).collect()
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

/// Guards against an answer with bodies in the order of completion or with bodies missing.
#[test]
fn a_job_is_answered_with_all_bodies_in_order() {
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

/// Guards against refusals that rest on the run time assumed before the first ends of a kind: at 300 ms a
/// task, 6 waiting tasks on 2 slots would take 0.9 s of a deadline of 1 s.
#[test]
fn a_guessed_run_time_refuses_no_job() {
    let mut engine = engine(1);
    connect(&mut engine, &["u"], 2);
    let input = payloads(8);
    assert!(engine.submit(&job("retraction", &input), 0).is_ok());
}

/// Guards against refusals that rest on a rate averaged over the idle time before a rush: at 20 starts a
/// second, 10 waiting tasks take 0.5 s of a deadline of 1 s.
#[test]
fn a_new_backlog_is_judged_by_the_rate_since_it_began() {
    const END_US: u64 = 100_000;
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
        let start = sent.pop_front().expect("two tasks run");
        if end % 2 == 0 {
            now_us += END_US;
        }
        engine.finish(start.upstream, &finish(start.sequence, End::Done), now_us);
        sent.extend(starts(&std::mem::take(engine.actions())));
        let taken = engine.submit(&job("retraction", &next), now_us);
        assert!(taken.is_ok(), "refused after {end} ends: {taken:?}");
    }
}

/// Guards against refusals with a return time of 30 s by an entry that got no slot for a second because
/// another entry was faster: a rate of no starts says little.
#[test]
fn an_entry_that_got_no_slot_for_a_second_still_accepts() {
    let mut engine = engine(1);
    connect(&mut engine, &["u"], 2);
    let one = payloads(1);
    let half_taken = Load { revision: 2, running: &[1, 0], queued: 0, window: 2 };
    for run in 0..20 {
        let now_us = run * 100_000;
        engine.submit(&job("retraction", &one), now_us).expect("accepted");
        let start = starts(&std::mem::take(engine.actions())).remove(0);
        let mut finish = finish(start.sequence, End::Done);
        if run == 19 {
            finish.load = half_taken;
        }
        engine.finish(start.upstream, &finish, now_us + 100_000);
        engine.actions().clear();
    }
    engine.submit(&job("retraction", &one), 2_050_000).expect("accepted");
    assert_eq!(starts(&std::mem::take(engine.actions())).len(), 1, "the kind's own slot is used");
    for now_us in [2_100_000, 3_300_000] {
        let taken = engine.submit(&job("retraction", &one), now_us);
        assert!(taken.is_ok(), "refused at {now_us}: {taken:?}");
        assert!(starts(&std::mem::take(engine.actions())).is_empty(), "no slot is free");
    }
}

/// Guards against a failed job whose other tasks go on waiting or running.
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
    assert_eq!(recalled.iter().map(|r| r.sequences.len()).sum::<usize>(), sent.len() - 1);
    assert_eq!(engine.counts().waiting, 0);
}

/// Guards against "not run" for a cancelled job of which a task ran, and against a late answer for
/// one of which none did.
#[rstest]
#[case(Held::Never, Code::Cancelled)]
#[case(Held::Running, Code::Stopped)]
fn a_cancelled_job_tells_whether_it_ran(#[case] held: Held, #[case] expected: Code) {
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

/// Guards against a task that stays lost after a definite refusal, or goes to the same full gate.
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

/// Guards against new work on a lost link and against a second run of what the old sidecar had.
#[rstest]
#[case(1, 1)]
#[case(2, 0)]
fn a_resumed_link_is_asked_about_the_same_incarnation(#[case] again: u64, #[case] asked: usize) {
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
    assert_eq!(engine.resumed(upstreams[0], again, 2_000).len(), asked);
    let lost = (asked == 0).then_some(Code::UpstreamLost);
    assert_eq!(failed_with(&answers(engine.actions())), lost);
}

/// Guards against accepting what cannot be served, and against a code that permits no retry.
#[rstest]
#[case("nonesuch", 1, None, 0, Code::UnknownKind)]
#[case("retraction", 0, None, 0, Code::BadRequest)]
#[case("retraction", 111, None, 0, Code::TooLarge)]
#[case("retraction", 1, Some(2_000), 0, Code::NeverRunnable)]
#[case("retraction", 100, None, 0, Code::QueueFull)]
#[case("retraction", 100, None, 6_000_000, Code::NeverRunnable)]
fn a_submission_is_refused_whole(
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

/// Guards against a flood of one kind that fills the slots which another kind's share needs.
#[test]
fn a_flood_leaves_headroom_for_a_kind_within_its_share() {
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

/// Guards against work that waits past its deadline without an answer.
#[test]
fn waiting_work_expires() {
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

/// Guards against a worker that fails at once and draws all work, and against probes without end.
#[test]
fn a_worker_that_fails_every_task_is_ejected_and_probed() {
    let mut engine = engine(1);
    let upstreams = connect(&mut engine, &["u", "v", "w", "x", "y"], 8);
    let input = payloads(1);
    let mut failed_at = Vec::new();
    let mut running = VecDeque::new();
    for step in 0..4_000 {
        let now_us = step * 10_000;
        if running.len() > 28 {
            let good: Start = running.pop_front().expect("not empty");
            engine.finish(good.upstream, &finish(good.sequence, End::Done), now_us);
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

/// Guards against a second run of a task of a job, of a kind that is not idempotent, or at the
/// upstream that failed.
#[rstest]
#[case(true, true, 1)]
#[case(true, false, 0)]
#[case(false, true, 0)]
fn only_single_idempotent_requests_run_again(
    #[case] idempotent: bool,
    #[case] single: bool,
    #[case] again: usize,
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
    assert_eq!(second.len(), again);
    assert!(second.iter().all(|start| start.upstream != first.upstream));
    assert_eq!(answers(engine.actions()).len(), 1 - again);
}

/// Guards against lost work when a new document removes its kind.
#[test]
fn work_of_a_removed_kind_is_still_done() {
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

/// Guards against a long task that waits for ever behind short ones, and against a short one that
/// waits behind many long ones although its caller declared it.
#[rstest]
#[case(100_000, 100)]
#[case(600_000, 1_000)]
fn waits_are_weighed_against_learned_run_times(#[case] apart_us: u64, #[case] first_ms: u32) {
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
    let short = engine.submit(&declared(100), apart_us).expect("accepted");
    engine.finish(running.upstream, &finish(running.sequence, End::Done), apart_us + 50_000);
    let next = starts(engine.actions()).remove(0);
    assert_eq!(next.job, if first_ms == 100 { short } else { long });
}
