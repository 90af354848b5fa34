//! Two faults at once, drawn from the seed.

use fastrand::Rng;
use kingcup_proof::harness::{
    chaos::{self, Fault},
    cluster::{start, Plan},
    seed,
    workload::{self, Mix},
};

/// Complete responses between two steps of a test.
const SOME: u64 = 40;
/// Pairs of faults in one run.
const PAIRS: usize = 3;

/// Guards against faults that are survived alone and not together: doubled starts, crossed or
/// partial answers, untrue refusals, a standstill.
#[test]
fn pairs_of_faults() {
    let plan = Plan { seed: seed(), entries: 3, sidecars: 4, zones: 3, ..Plan::default() };
    let mut rng = Rng::with_seed(plan.seed);
    let mut cluster = start(Plan { proxies: true, entry_proxies: true, ..plan }).unwrap();
    let crowd = workload::spawn(&cluster, &Mix::default());
    cluster.recorder.wait_complete(SOME).unwrap();
    for _ in 0..PAIRS {
        let first = Fault::draw(&cluster, &mut rng);
        let second = Fault::draw(&cluster, &mut rng);
        chaos::inject(&mut cluster, &first).unwrap();
        chaos::inject(&mut cluster, &second).unwrap();
        cluster.recorder.wait_complete(SOME).unwrap();
        chaos::repair(&mut cluster).unwrap();
        cluster.recorder.wait_complete(SOME).unwrap();
    }
    crowd.stop();
    cluster.wait_idle().unwrap();
    println!("{:?}", cluster.recorder.codes());
    cluster.finish().unwrap().assert_clean();
}
