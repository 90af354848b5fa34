//! Lost, doubled, damaged, late and reordered datagrams between sidecars and entries and between
//! entries, and bad connections between entries.

use kingcup_proof::harness::{
    chaos::{self, Fault},
    cluster::{document, start, Cluster, Plan},
    seed, until,
    workload::{self, Mix, Workload},
};
use kingcup_standin::proxy::Side;
use rstest::rstest;

/// Complete responses between two steps of a test.
const SOME: u64 = 60;
/// Datagrams that must have been spoilt before the test ends.
const SPOILT: u64 = 20;

fn busy() -> (Cluster, Workload) {
    let plan =
        Plan { seed: seed(), entries: 3, sidecars: 3, entry_proxies: true, ..Plan::default() };
    let cluster = start(plan).unwrap();
    let crowd = workload::spawn(&cluster, &Mix::default());
    cluster.recorder.wait_complete(SOME).unwrap();
    (cluster, crowd)
}

fn end(mut cluster: Cluster, crowd: Workload) {
    chaos::repair(&mut cluster).unwrap();
    cluster.recorder.wait_complete(SOME).unwrap();
    crowd.stop();
    cluster.wait_idle().unwrap();
    println!("{:?}", cluster.recorder.codes());
    cluster.finish().unwrap().assert_clean();
}

/// Guards against membership, drains and revisions that depend on single datagrams: a sidecar that
/// is taken for gone, a restarted one that is never found, a change that does not arrive.
#[test]
fn bad_datagrams_are_survived() {
    let (mut cluster, crowd) = busy();
    for number in 0..cluster.entries.len() {
        chaos::inject(&mut cluster, &Fault::BadDatagrams(number)).unwrap();
    }
    cluster.stop_sidecar(0).unwrap();
    cluster.spawn_sidecar(0).unwrap();
    cluster.wait_sidecar_ready(0).unwrap();
    let before = cluster.starts(0).unwrap().len();
    until("work at the restarted sidecar", || {
        (cluster.starts(0).unwrap().len() > before).then_some(())
    })
    .unwrap();
    let document = kingcup_dispatch::document::Document { quota_per_s: 1_000_000, ..document() };
    let applied = cluster.apply(&document, "second").unwrap();
    cluster.wait_revision(applied.revision.unwrap()).unwrap();
    until("spoilt datagrams", || {
        let proxies = cluster.entries.iter().filter_map(|entry| entry.proxy.as_ref());
        let counts = proxies.map(|proxy| proxy.counts());
        let spoilt: u64 = counts.map(|c| c.dropped + c.duplicated + c.damaged + c.delayed).sum();
        (spoilt >= SPOILT).then_some(())
    })
    .unwrap();
    end(cluster, crowd);
}

/// Guards against submissions that are lost, doubled or denied on the way from one entry to another
/// when their connection falls silent, breaks or carries data one way only.
#[rstest]
#[case::frozen(Fault::FreezeEntry(0))]
#[case::cut(Fault::CutEntry(0))]
#[case::nothing_arrives(Fault::OneWayEntry(0, Side::ToTarget))]
#[case::nothing_returns(Fault::OneWayEntry(0, Side::ToClient))]
fn bad_connections_between_entries_are_survived(#[case] fault: Fault) {
    let (mut cluster, crowd) = busy();
    chaos::inject(&mut cluster, &fault).unwrap();
    cluster.recorder.wait_complete(2 * SOME).unwrap();
    end(cluster, crowd);
}
