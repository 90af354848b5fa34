//! Replacement of every process, one after the other, under load.

use kingcup_proof::harness::{
    cluster::{start, Plan},
    seed,
    workload::{self, Mix},
};

/// Complete responses between two replacements.
const SOME: u64 = 20;

/// Guards against any failed or refused request while all entries and all sidecars are replaced.
#[test]
fn every_process_is_replaced_without_a_failed_request() {
    let plan = Plan { seed: seed(), entries: 3, sidecars: 4, zones: 3, ..Plan::default() };
    let mut cluster = start(plan).unwrap();
    let crowd = workload::spawn(&cluster, &Mix { callers: 6, retry: false, ..Mix::default() });
    cluster.recorder.wait_complete(SOME).unwrap();
    for number in 0..cluster.entries.len() {
        cluster.stop_entry(number).unwrap();
        cluster.recorder.wait_complete(SOME).unwrap();
        cluster.spawn_entry(number).unwrap();
        cluster.wait_entry_ready(number).unwrap();
        cluster.recorder.wait_complete(SOME).unwrap();
    }
    for number in 0..cluster.sidecars.len() {
        cluster.stop_sidecar(number).unwrap();
        cluster.recorder.wait_complete(SOME).unwrap();
        cluster.spawn_sidecar(number).unwrap();
        cluster.wait_sidecar_ready(number).unwrap();
        cluster.recorder.wait_complete(SOME).unwrap();
    }
    crowd.stop();
    let verdict = cluster.finish().unwrap();
    verdict.assert_clean();
    let tally = cluster.recorder.tally();
    let clean = (tally.refused, tally.failed, tally.broken) == (0, 0, 0);
    assert!(clean, "{tally:?} {:?}", cluster.recorder.codes());
}
