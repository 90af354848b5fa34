//! Whole jobs over several entries, sidecars and availability zones.

use std::{collections::BTreeSet, thread};

use kingcup_dispatch::code::Code;
use kingcup_proof::harness::{
    caller::End,
    cluster::{start, Cluster, Plan, NON_IDEMPOTENT, SHORT_TIMEOUT},
    seed,
};

/// Most tasks of a job.
const TASKS: usize = 110;

fn large() -> Cluster {
    let plan =
        Plan { seed: seed(), entries: 3, sidecars: 10, zones: 4, slots: 8, ..Plan::default() };
    start(plan).unwrap()
}

/// Guards against a job whose tasks are lost, doubled or answered in the wrong order when there are
/// more of them than slots, and against upstreams that are left idle meanwhile.
#[test]
fn largest_jobs_complete_over_all_sidecars() {
    let mut cluster = large();
    thread::scope(|scope| {
        for target in cluster.targets() {
            let mut caller = cluster.caller();
            scope.spawn(move || {
                caller.request_home(&target).unwrap();
                let job = caller.next_job(NON_IDEMPOTENT, TASKS, 50);
                let outcome = caller.submit(&target, &job);
                assert!(outcome.is_complete(), "{outcome:?} at {}", target.name);
            });
        }
    });
    for number in 0..cluster.sidecars.len() {
        assert!(!cluster.starts(number).unwrap().is_empty(), "upstream{number} got no task");
    }
    let verdict = cluster.finish().unwrap();
    verdict.assert_clean();
    assert_eq!(verdict.starts, 3 * TASKS);
}

/// Guards against one more task than the limit being cut off or run.
#[test]
fn larger_jobs_are_refused_whole() {
    let mut cluster = start(Plan { seed: seed(), ..Plan::default() }).unwrap();
    let (mut caller, target) = (cluster.caller(), cluster.target(0));
    caller.request_home(&target).unwrap();
    let job = caller.next_job(NON_IDEMPOTENT, TASKS + 1, 1);
    assert_eq!(caller.submit(&target, &job).code(), Some(Code::TooLarge));
    let verdict = cluster.finish().unwrap();
    verdict.assert_clean();
    assert_eq!(verdict.starts, 0);
}

/// Guards against a failed task that leaves its job partial, or that lets the job's waiting tasks
/// start all the same.
#[test]
fn failed_task_fails_its_job_and_stops_the_rest() {
    let plan = Plan { seed: seed(), sidecars: 1, slots: 2, entries: 1, ..Plan::default() };
    let mut cluster = start(plan).unwrap();
    let (mut caller, target) = (cluster.caller(), cluster.target(0));
    caller.request_home(&target).unwrap();
    // Few enough that the estimated wait on two slots stays within the kind's deadline.
    let tasks = 40;
    let mut job = caller.next_job(NON_IDEMPOTENT, tasks, 100);
    job.tasks[0].end = End::Fail;
    let code = caller.submit(&target, &job).code();
    assert!(matches!(code, Some(Code::TaskFailed | Code::SiblingFailed)), "{code:?}");
    cluster.wait_idle().unwrap();
    let started: BTreeSet<_> =
        cluster.starts(0).unwrap().into_iter().map(|start| start.task).collect();
    assert!(started.len() < tasks / 2, "{} of {tasks} tasks started", started.len());
    cluster.finish().unwrap().assert_clean();
}

/// Guards against a hanging upstream that holds a caller beyond the kind's time limit, and against
/// the claim that the task did not run.
#[test]
fn hanging_task_ends_at_the_time_limit_of_its_kind() {
    let mut cluster = start(Plan { seed: seed(), ..Plan::default() }).unwrap();
    let (mut caller, target) = (cluster.caller(), cluster.target(0));
    caller.request_home(&target).unwrap();
    let mut job = caller.next_job(SHORT_TIMEOUT, 1, 0);
    job.tasks[0].end = End::Hang;
    assert_eq!(caller.submit(&target, &job).code(), Some(Code::UpstreamTimeout));
    cluster.finish().unwrap().assert_clean();
}
