//! Connections that fall silent while new ones work.

use kingcup_proof::harness::{
    cluster::{start, Cluster, Plan},
    seed, until,
    workload::{self, Mix, Workload},
};
use kingcup_standin::proxy::{Faults, Side};
use rstest::rstest;

/// Complete responses between two steps of a test.
const SOME: u64 = 16;
/// Longest run time, in milliseconds: some tasks must still run when their connection is replaced.
const MAX_SLEEP_MS: u64 = 4_000;

fn busy() -> (Cluster, Workload) {
    let plan = Plan { seed: seed(), entries: 2, sidecars: 3, proxies: true, ..Plan::default() };
    let cluster = start(plan).unwrap();
    for sidecar in &cluster.sidecars {
        let proxy = sidecar.proxy.as_ref().unwrap();
        let what =
            format!("connections of both entries by way of {}'s proxy", sidecar.settings.name);
        until(&what, || (proxy.counts().accepted >= 2).then_some(())).unwrap();
    }
    let crowd = workload::spawn(
        &cluster,
        &Mix { callers: 16, max_tasks: 2, max_sleep_ms: MAX_SLEEP_MS, ..Mix::default() },
    );
    cluster.recorder.wait_complete(SOME).unwrap();
    (cluster, crowd)
}

fn end(mut cluster: Cluster, crowd: Workload) {
    cluster.recorder.wait_complete(SOME).unwrap();
    crowd.stop();
    cluster.wait_idle().unwrap();
    println!("{:?}", cluster.recorder.codes());
    cluster.finish().unwrap().assert_clean();
}

/// Guards against work that hangs or is doubled when established connections fall silent for good.
#[rstest]
#[case::one_sidecar(1)]
#[case::all_sidecars(3)]
fn frozen_connections_are_replaced(#[case] count: usize) {
    let (cluster, crowd) = busy();
    let proxies = cluster.sidecars.iter().filter_map(|sidecar| sidecar.proxy.as_ref());
    let before: Vec<_> = proxies.clone().map(|proxy| proxy.counts().accepted).collect();
    for proxy in proxies.clone().take(count) {
        cluster.recorder.fault("freeze connections");
        assert!(proxy.freeze() > 0);
    }
    cluster.recorder.wait_complete(SOME).unwrap();
    until("new connections", || {
        let mut pairs = proxies.clone().zip(&before).take(count);
        pairs.all(|(proxy, before)| proxy.counts().accepted > *before).then_some(())
    })
    .unwrap();
    // Nothing may be lost by a silence: what was in flight is found again by inquiry.
    end(cluster, crowd);
}

/// Guards against loss in one direction that passes for a working connection.
#[rstest]
#[case::to_sidecar(Side::ToTarget)]
#[case::to_entry(Side::ToClient)]
fn one_way_loss_ends(#[case] side: Side) {
    let (cluster, crowd) = busy();
    let proxy = cluster.sidecars[0].proxy.as_ref().unwrap();
    cluster.recorder.fault("one-way loss");
    proxy.set_faults(Faults { one_way: Some(side), ..Faults::default() });
    cluster.recorder.wait_complete(2 * SOME).unwrap();
    proxy.set_faults(Faults::default());
    end(cluster, crowd);
}

/// Guards against tasks that run twice or are denied after their connection was reset.
#[test]
fn cut_connections_are_replaced() {
    let (cluster, crowd) = busy();
    for _ in 0..5 {
        for sidecar in &cluster.sidecars {
            cluster.recorder.fault("cut connections");
            sidecar.proxy.as_ref().unwrap().cut();
        }
        cluster.recorder.wait_complete(SOME / 4).unwrap();
    }
    end(cluster, crowd);
}
