//! Everything is killed at once.

use kingcup_proof::harness::{
    cluster::{start, Plan},
    seed,
    workload::{self, Mix},
};

/// Complete responses before and after each outage.
const SOME: u64 = 60;

/// Guards against a deployment that does not come back, or that doubles or denies work, after all
/// entries and then all sidecars were killed together.
#[test]
fn all_entries_then_all_sidecars_are_killed() {
    let plan = Plan { seed: seed(), entries: 3, sidecars: 4, zones: 3, ..Plan::default() };
    let mut cluster = start(plan).unwrap();
    let crowd = workload::spawn(&cluster, &Mix::default());
    cluster.recorder.wait_complete(SOME).unwrap();
    for number in 0..cluster.entries.len() {
        cluster.kill_entry(number);
    }
    for number in 0..cluster.entries.len() {
        cluster.spawn_entry(number).unwrap();
    }
    cluster.wait_ready().unwrap();
    cluster.recorder.wait_complete(SOME).unwrap();
    for number in 0..cluster.sidecars.len() {
        cluster.kill_sidecar(number);
    }
    for number in 0..cluster.sidecars.len() {
        cluster.spawn_sidecar(number).unwrap();
    }
    cluster.wait_ready().unwrap();
    cluster.recorder.wait_complete(SOME).unwrap();
    crowd.stop();
    cluster.wait_idle().unwrap();
    println!("{:?}", cluster.recorder.codes());
    cluster.finish().unwrap().assert_clean();
}
