//! Lost, duplicated, damaged and delayed data between entries and sidecars.

use kingcup_proof::harness::{
    cluster::{start, Plan},
    seed, until,
    workload::{self, Mix},
};
use kingcup_standin::proxy::{Faults, Rates};
use rstest::rstest;

/// Complete responses between two steps of a test.
const SOME: u64 = 60;
/// Faults that each proxy must have injected before the test ends.
const FAULTS: u64 = 3;

/// Guards against data that is changed, repeated or missing on a stream and is taken for valid
/// frames: doubled starts, crossed answers, untrue refusals or a standstill.
#[rstest]
#[case::lost(Rates { drop: 0.02, ..Rates::default() })]
#[case::duplicated(Rates { duplicate: 0.02, ..Rates::default() })]
#[case::damaged(Rates { damage: 0.02, ..Rates::default() })]
#[case::delayed(Rates { delay: 0.2, delay_min_ms: 1, delay_max_ms: 40, ..Rates::default() })]
#[case::all(Rates { drop: 0.01, duplicate: 0.01, damage: 0.01, ..Rates::default() })]
fn bad_streams_are_survived(#[case] tcp: Rates) {
    let plan = Plan { seed: seed(), entries: 2, sidecars: 3, proxies: true, ..Plan::default() };
    let mut cluster = start(plan).unwrap();
    let crowd = workload::spawn(&cluster, &Mix::default());
    cluster.recorder.wait_complete(SOME).unwrap();
    cluster.recorder.fault(format!("{tcp:?}"));
    for sidecar in &cluster.sidecars {
        sidecar.proxy.as_ref().unwrap().set_faults(Faults { tcp, ..Faults::default() });
    }
    cluster.recorder.wait_complete(SOME).unwrap();
    let injected = || {
        let proxies = cluster.sidecars.iter().filter_map(|sidecar| sidecar.proxy.as_ref());
        let counts = proxies.map(|proxy| proxy.counts());
        counts.map(|c| c.dropped + c.duplicated + c.damaged + c.delayed).sum::<u64>()
    };
    until("injected faults", || (injected() >= FAULTS).then_some(())).unwrap();
    for sidecar in &cluster.sidecars {
        sidecar.proxy.as_ref().unwrap().set_faults(Faults::default());
    }
    cluster.recorder.wait_complete(SOME).unwrap();
    crowd.stop();
    cluster.wait_idle().unwrap();
    println!("{:?}", cluster.recorder.codes());
    cluster.finish().unwrap().assert_clean();
}
