//! Configuration while the store is down, slow or loses answers.

use kingcup_dispatch::{code::Code, document::Document};
use kingcup_proof::harness::{
    cluster::{document, start, Cluster, Plan},
    seed,
    workload::{self, Mix},
};
use kingcup_standin::store::{Control, Lost, Mode};
use rstest::rstest;

/// Complete responses while the store is down.
const SOME: u64 = 60;

fn cluster() -> Cluster {
    start(Plan { seed: seed(), entries: 3, sidecars: 3, zones: 3, ..Plan::default() }).unwrap()
}

fn changed(quota_per_s: u32) -> Document {
    Document { quota_per_s, ..document() }
}

/// Guards against a change that is accepted and then not in effect everywhere, and against one that
/// is taken back when processes restart.
#[test]
fn accepted_change_takes_effect_and_survives_restarts() {
    let mut cluster = cluster();
    let applied = cluster.apply(&changed(100_000), "second").unwrap();
    assert_eq!(applied.code, Code::Complete.number(), "{applied:?}");
    let revision = applied.revision.unwrap();
    cluster.wait_revision(revision).unwrap();
    cluster.kill_entry(0);
    cluster.spawn_entry(0).unwrap();
    cluster.kill_sidecar(0);
    cluster.spawn_sidecar(0).unwrap();
    cluster.wait_ready().unwrap();
    cluster.wait_revision(revision).unwrap();
    cluster.finish().unwrap().assert_clean();
}

/// Guards against work that stops, processes that cannot restart and revisions that go back while
/// the store is down.
#[rstest]
#[case::refuses(Mode::Refuse)]
#[case::hangs(Mode::Hang)]
fn work_goes_on_without_the_store(#[case] mode: Mode) {
    let mut cluster = cluster();
    let applied = cluster.apply(&changed(100_000), "second").unwrap();
    cluster.wait_revision(applied.revision.unwrap()).unwrap();
    cluster.store_down(mode);
    let crowd = workload::spawn(&cluster, &Mix::default());
    cluster.recorder.wait_complete(SOME).unwrap();
    cluster.kill_entry(0);
    cluster.spawn_entry(0).unwrap();
    cluster.kill_sidecar(0);
    cluster.spawn_sidecar(0).unwrap();
    cluster.wait_ready().unwrap();
    cluster.wait_revision(applied.revision.unwrap()).unwrap();
    cluster.recorder.wait_complete(SOME).unwrap();
    crowd.stop();
    cluster.store_up();
    let third = cluster.apply(&changed(200_000), "third").unwrap();
    cluster.wait_revision(third.revision.unwrap()).unwrap();
    cluster.wait_idle().unwrap();
    cluster.finish().unwrap().assert_clean();
}

/// Guards against a change that is reported as failed, or made twice, when the store's answer was
/// lost after the write took effect.
#[rstest]
#[case::cut(Lost::Cut)]
#[case::silent(Lost::Silent)]
fn lost_answer_is_resolved(#[case] lost: Lost) {
    let mut cluster = cluster();
    let control = Control { lose_writes: Some(1), lost: Some(lost), ..Control::default() };
    cluster.store.control(&control);
    let applied = cluster.apply(&changed(100_000), "second").unwrap();
    assert_eq!((applied.code, applied.revision), (0, Some(2)), "{applied:?}");
    cluster.wait_revision(2).unwrap();
    let again = cluster.apply(&changed(100_000), "second").unwrap();
    assert_eq!((again.code, again.revision), (0, Some(2)), "{again:?}");
    cluster.finish().unwrap().assert_clean();
}

/// Guards against concurrent operators of whom one overwrites the other.
#[test]
fn concurrent_changes_are_all_kept_or_refused() {
    let mut cluster = cluster();
    let codes: Vec<_> = std::thread::scope(|scope| {
        let apply = |number: u32| {
            let cluster = &cluster;
            scope.spawn(move || {
                let change = format!("change-{number}");
                cluster.apply(&changed(500_000 + number), &change).unwrap()
            })
        };
        let threads: Vec<_> = (0..6).map(apply).collect();
        threads.into_iter().map(|thread| thread.join().unwrap()).collect()
    });
    let conflict = Code::Conflict.number();
    assert!(codes.iter().all(|applied| [0, conflict].contains(&applied.code)), "{codes:?}");
    let accepted = codes.iter().filter(|applied| applied.code == 0);
    let highest = accepted.filter_map(|applied| applied.revision).max().unwrap();
    cluster.wait_revision(highest).unwrap();
    cluster.finish().unwrap().assert_clean();
}
