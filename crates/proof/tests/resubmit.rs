//! Jobs that callers submit again.

use std::thread;

use kingcup_dispatch::code::{Code, Execution};
use kingcup_proof::{
    harness::{
        caller::{Key, Target, Task},
        cluster::{start, Cluster, Plan, PLAIN},
        seed,
    },
    history::Form,
};
use rstest::rstest;

const TASKS: usize = 20;

fn cluster() -> Cluster {
    start(Plan { seed: seed(), entries: 3, sidecars: 4, zones: 3, ..Plan::default() }).unwrap()
}

/// Guards against a resubmission, through any entry, that runs a finished job again instead of
/// returning its response.
#[test]
fn finished_job_is_answered_from_its_record() {
    let mut cluster = cluster();
    let mut caller = cluster.caller();
    caller.open_home(&cluster.target(0)).unwrap();
    let job = caller.next_job(PLAIN, TASKS, 20);
    for target in cluster.targets() {
        assert!(caller.submit(&target, &job).is_complete(), "through {}", target.name);
    }
    let verdict = cluster.finish().unwrap();
    verdict.assert_clean();
    assert_eq!(verdict.starts, TASKS);
}

/// Guards against a second run of tasks when a job is resubmitted through the other entries while
/// it runs.
#[test]
fn running_job_is_not_started_again() {
    let mut cluster = cluster();
    let mut caller = cluster.caller();
    caller.open_home(&cluster.target(0)).unwrap();
    let job = caller.next_job(PLAIN, TASKS, 500);
    thread::scope(|scope| {
        let (first, home) = (&caller, cluster.target(0));
        let submitted = scope.spawn({
            let job = &job;
            move || first.submit(&home, job)
        });
        cluster.wait_starts(1).unwrap();
        for number in 1..3 {
            let (again, target, job) = (&caller, cluster.target(number), &job);
            scope.spawn(move || {
                let code = again.submit(&target, job).code();
                let lawful = matches!(code, Some(Code::Complete | Code::InProgress));
                assert!(lawful, "{code:?} through {}", target.name);
            });
        }
        assert!(submitted.join().unwrap().is_complete());
    });
    let verdict = cluster.finish().unwrap();
    verdict.assert_clean();
    assert_eq!(verdict.starts, TASKS);
}

/// Guards against another entry that starts a job whose home was killed while the job ran, and
/// against the claim that the job did not run.
#[rstest]
#[case::home_is_down(false)]
#[case::home_has_a_new_incarnation(true)]
fn job_of_a_lost_home_may_have_run(#[case] restart: bool) {
    let mut cluster = cluster();
    let mut caller = cluster.caller();
    let home = cluster.target(0);
    caller.open_home(&home).unwrap();
    let job = caller.next_job(PLAIN, TASKS, 300);
    thread::scope(|scope| {
        let first = scope.spawn(|| caller.submit(&home, &job));
        cluster.wait_starts(1).unwrap();
        cluster.kill_entry(0);
        assert_eq!(first.join().unwrap().code(), None);
    });
    if restart {
        cluster.spawn_entry(0).unwrap();
        cluster.wait_entry_ready(0).unwrap();
    }
    for number in (1..3).chain(restart.then_some(0)) {
        let outcome = caller.submit(&cluster.target(number), &job);
        let fate = outcome.code().map(Code::execution);
        assert_eq!(fate, Some(Execution::MayHaveRun), "{outcome:?} through entry{number}");
    }
    cluster.wait_idle().unwrap();
    cluster.finish().unwrap().assert_clean();
}

/// Guards against records that are lost when their home stops as planned.
#[test]
fn finished_job_is_answered_after_its_home_stopped() {
    let mut cluster = cluster();
    let mut caller = cluster.caller();
    caller.open_home(&cluster.target(0)).unwrap();
    let job = caller.next_job(PLAIN, TASKS, 20);
    assert!(caller.submit(&cluster.target(0), &job).is_complete());
    cluster.stop_entry(0).unwrap();
    for number in 1..3 {
        let outcome = caller.submit(&cluster.target(number), &job);
        assert!(outcome.is_complete(), "{outcome:?} through entry{number}");
    }
    let verdict = cluster.finish().unwrap();
    verdict.assert_clean();
    assert_eq!(verdict.starts, TASKS);
}

/// Guards against records that are lost when the successor of a stopped home stops too.
#[test]
fn finished_job_is_answered_after_two_stops() {
    let mut cluster = cluster();
    let mut caller = cluster.caller();
    caller.open_home(&cluster.target(0)).unwrap();
    let job = caller.next_job(PLAIN, TASKS, 20);
    assert!(caller.submit(&cluster.target(0), &job).is_complete());
    cluster.stop_entry(0).unwrap();
    cluster.stop_entry(1).unwrap();
    let outcome = caller.submit(&cluster.target(2), &job);
    assert!(outcome.is_complete(), "{outcome:?}");
    let next = caller.next_job(PLAIN, TASKS, 20);
    let outcome = caller.submit(&cluster.target(2), &next);
    assert!(outcome.is_complete(), "new job under the token of the first home: {outcome:?}");
    let verdict = cluster.finish().unwrap();
    verdict.assert_clean();
    assert_eq!(verdict.starts, 2 * TASKS);
}

/// Guards against a second run of a non-idempotent request under the same idempotency key, sent to
/// several entries at once and again later, and against a first attempt that is turned away.
#[test]
fn request_with_a_key_runs_once() {
    const KEYS: usize = 10;
    let mut cluster = cluster();
    for number in 0..KEYS {
        let name = format!("key-{number}");
        let task = Task::new(PLAIN, name.as_str(), 100);
        let send = |target: &Target, first| {
            let key = Some(Key { text: &name, first });
            cluster.caller().request(target, &task, Form::Request, key)
        };
        thread::scope(|scope| {
            for target in cluster.targets().into_iter().skip(1) {
                scope.spawn(move || send(&target, false));
            }
            let first = scope.spawn(|| send(&cluster.target(0), true));
            let outcome = first.join().unwrap();
            let lawful = matches!(outcome.code(), Some(Code::Complete | Code::InProgress));
            assert!(lawful, "{outcome:?}");
        });
        for target in cluster.targets() {
            let outcome = send(&target, false);
            assert!(outcome.is_complete(), "{outcome:?} from {}", target.name);
        }
    }
    let verdict = cluster.finish().unwrap();
    verdict.assert_clean();
    assert_eq!(verdict.starts, KEYS);
}

/// Guards against an owner of keys that started a moment ago and takes an old key for a new one.
#[test]
fn key_of_a_killed_owner_may_have_run() {
    let mut cluster = cluster();
    let task = Task::new(PLAIN, "old-key", 10);
    let key = |first| Some(Key { text: "old-key", first });
    let outcome = cluster.caller().request(&cluster.target(0), &task, Form::Request, key(true));
    assert!(outcome.is_complete(), "{outcome:?}");
    for number in 0..3 {
        cluster.kill_entry(number);
        cluster.spawn_entry(number).unwrap();
    }
    cluster.wait_ready().unwrap();
    for target in cluster.targets() {
        let outcome = cluster.caller().request(&target, &task, Form::Request, key(false));
        let fate = outcome.code().map(Code::execution);
        assert_eq!(fate, Some(Execution::MayHaveRun), "{outcome:?} from {}", target.name);
    }
    let verdict = cluster.finish().unwrap();
    verdict.assert_clean();
    assert_eq!(verdict.starts, 1);
}

/// Guards against a "not run" for work that has run or runs, when it is submitted again while its
/// home is draining.
#[test]
fn known_job_is_not_denied_while_its_home_drains() {
    let mut cluster = cluster();
    let (mut caller, home) = (cluster.caller(), cluster.target(0));
    caller.open_home(&home).unwrap();
    let finished = caller.next_job(PLAIN, 2, 1);
    assert!(caller.submit(&home, &finished).is_complete());
    let running = caller.next_job(PLAIN, 2, 4_000);
    thread::scope(|scope| {
        let caller = &caller;
        let first = scope.spawn(|| caller.submit(&home, &running));
        cluster.wait_starts(4).unwrap();
        let program = cluster.entries[0].program.as_ref().unwrap();
        program.signal(libc::SIGTERM);
        program.wait_line("event=draining").unwrap();
        for target in cluster.targets() {
            let again = caller.submit(&target, &finished);
            assert!(again.is_complete(), "finished job: {again:?} through {}", target.name);
        }
        for target in cluster.targets() {
            let again = caller.submit(&target, &running);
            assert!(!again.is_not_run(), "running job: {again:?} through {}", target.name);
        }
        assert!(first.join().unwrap().is_complete());
    });
    cluster.stop_entry(0).unwrap();
    let verdict = cluster.finish().unwrap();
    verdict.assert_clean();
    assert_eq!(verdict.starts, 4);
}
