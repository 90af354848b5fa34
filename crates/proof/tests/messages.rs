//! Messages between the system's processes.

use std::thread;

use kingcup_proof::harness::{
    cluster::{start, Plan, NON_IDEMPOTENT},
    seed,
};

use kingcup_standin::upstream::Control;
use rstest::rstest;

/// Tasks of each job.
const TASKS: usize = 110;
/// Most messages for each start that the test lets pass. The project's target under overload is 2.2;
/// this bound is for what must never happen, such as starts that are sent again and again to gates
/// that are full.
const MESSAGES_PER_START: f64 = 6.0;

/// Guards against entries that keep asking full gates for slots while they have more work than there
/// are slots, also when no slot becomes free for a while.
#[rstest]
#[case::steady(0)]
#[case::stalled(3_000)]
fn waiting_work_costs_few_messages(#[case] stall_ms: u64) {
    let plan =
        Plan { seed: seed(), entries: 3, sidecars: 4, zones: 2, slots: 8, ..Plan::default() };
    let mut cluster = start(plan).unwrap();
    let before = cluster.messages().unwrap();
    let stall = Control { stall_ms: Some(stall_ms), ..Control::default() };
    for number in 0..cluster.sidecars.len() {
        cluster.control_upstream(number, &stall).unwrap();
    }
    thread::scope(|scope| {
        for target in cluster.targets() {
            let mut caller = cluster.caller();
            scope.spawn(move || {
                caller.request_home(&target).unwrap();
                let job = caller.next_job(NON_IDEMPOTENT, TASKS, 100);
                assert!(caller.submit(&target, &job).is_complete());
            });
        }
    });
    let messages = cluster.messages().unwrap() - before;
    let verdict = cluster.finish().unwrap();
    verdict.assert_clean();
    let per_start = messages / verdict.starts as f64;
    println!("{messages} messages for {} starts: {per_start:.2}", verdict.starts);
    assert!(per_start <= MESSAGES_PER_START, "{per_start:.2} messages for each start");
}
