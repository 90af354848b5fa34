//! Refusals are prompt, carry a code and are true.

use std::thread;

use kingcup_dispatch::code::{Code, Execution};
use kingcup_proof::{
    harness::{
        caller::{End, Outcome, Task},
        cluster::{start, Cluster, Plan, FLOOD, FLOOD_WAITING, PLAIN, SERVICE},
        seed, until,
    },
    history::Form,
};
use kingcup_tools::load::metrics;
use rstest::rstest;

fn small() -> Cluster {
    let plan = Plan { seed: seed(), entries: 1, sidecars: 1, slots: 2, ..Plan::default() };
    start(plan).unwrap()
}

/// Guards against work that is accepted beyond the bound of its queue, and against a refusal of work
/// that runs all the same.
#[test]
fn flood_is_refused_truthfully() {
    let mut cluster = small();
    let target = cluster.target(0);
    let outcomes: Vec<_> = thread::scope(|scope| {
        let send = |number: usize| {
            let (caller, target) = (cluster.caller(), &target);
            scope.spawn(move || {
                let task = Task::new(FLOOD, format!("flood-{number}"), 200);
                caller.request(target, &task, Form::Request, None)
            })
        };
        let threads: Vec<_> = (0..3 * FLOOD_WAITING as usize).map(send).collect();
        threads.into_iter().map(|thread| thread.join().unwrap()).collect()
    });
    let refused = outcomes.iter().filter(|outcome| outcome.is_not_run()).count();
    let complete = outcomes.iter().filter(|outcome| outcome.is_complete()).count();
    assert!(refused > 0, "nothing was refused: {:?}", cluster.recorder.codes());
    assert_eq!(refused + complete, outcomes.len(), "{:?}", cluster.recorder.codes());
    let verdict = cluster.finish().unwrap();
    verdict.assert_clean();
    assert_eq!(verdict.starts, complete);
}

/// Guards against work that is lost or run when its service or kind does not exist.
#[test]
fn unknown_kind_is_refused() {
    let mut cluster = small();
    let (mut caller, target) = (cluster.caller(), cluster.target(0));
    caller.open_home(&target).unwrap();
    let job = caller.next_job("no-such-kind", 3, 1);
    assert_eq!(caller.submit(&target, &job).code(), Some(Code::UnknownKind));
    let verdict = cluster.finish().unwrap();
    verdict.assert_clean();
    assert_eq!(verdict.starts, 0);
}

/// Guards against a job that waits for ever, or is called unrunnable, when its upstreams are gone.
#[test]
fn job_without_upstreams_is_refused_or_fails() {
    let mut cluster = small();
    let (mut caller, target) = (cluster.caller(), cluster.target(0));
    caller.open_home(&target).unwrap();
    let job = caller.next_job(PLAIN, 3, 1);
    assert!(caller.submit(&target, &job).is_complete());
    cluster.stop_sidecar(0).unwrap();
    let job = caller.next_job(PLAIN, 3, 1);
    let code = caller.submit(&target, &job).code().unwrap();
    assert_eq!(code.execution(), Execution::NotRun, "{code:?} from {SERVICE}");
    cluster.finish().unwrap().assert_clean();
}

/// Guards against a "not run" for a request whose task had started when its process was lost.
#[rstest]
#[case::form_of_job(true)]
#[case::form_of_request(false)]
fn started_work_of_a_killed_sidecar_is_not_denied(#[case] job: bool) {
    let mut cluster = small();
    let (mut caller, target) = (cluster.caller(), cluster.target(0));
    caller.open_home(&target).unwrap();
    let mut submitted = caller.next_job(PLAIN, 1, 0);
    submitted.tasks[0].end = End::Hang;
    let outcome: Outcome = thread::scope(|scope| {
        let send = scope.spawn(|| match job {
            true => caller.submit(&target, &submitted),
            false => caller.request(&target, &submitted.tasks[0], Form::Request, None),
        });
        cluster.wait_starts(1).unwrap();
        cluster.kill_sidecar(0);
        send.join().unwrap()
    });
    assert_eq!(outcome.code().map(Code::execution), Some(Execution::MayHaveRun), "{outcome:?}");
    cluster.finish().unwrap().assert_clean();
}

/// Guards against a "not run" for work that has run or runs, when it is submitted again while the
/// queue of its kind is full.
#[test]
fn known_work_is_not_denied_when_the_queue_is_full() {
    let mut cluster = small();
    let (mut caller, target) = (cluster.caller(), cluster.target(0));
    caller.open_home(&target).unwrap();
    let finished = caller.next_job(FLOOD, 1, 1);
    assert!(caller.submit(&target, &finished).is_complete());
    let running = caller.next_job(FLOOD, 2, 5_000);
    let filling = caller.next_job(FLOOD, FLOOD_WAITING as usize, 10);
    let refused = caller.next_job(FLOOD, 2, 10);
    thread::scope(|scope| {
        let (caller, target) = (&caller, &target);
        scope.spawn(|| caller.submit(target, &running));
        cluster.wait_starts(3).unwrap();
        scope.spawn(|| caller.submit(target, &filling));
        let admin = cluster.entries[0].settings.admin;
        until("a full queue", || {
            let text = metrics::get(admin, "/metrics").unwrap();
            let waiting = metrics::sum(&text, "kingcup_waiting", |labels| labels.contains(FLOOD));
            (waiting >= f64::from(FLOOD_WAITING)).then_some(())
        })
        .unwrap();
        let outcome = caller.submit(target, &refused);
        assert_eq!(outcome.code(), Some(Code::QueueFull));
        assert!(caller.submit(target, &finished).is_complete());
        let again = caller.submit(target, &running);
        assert!(!again.is_not_run(), "{again:?}");
    });
    cluster.finish().unwrap().assert_clean();
}
