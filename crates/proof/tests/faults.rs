//! Kill, pause, drain and restart of each program while jobs run.

use kingcup_proof::{
    check::DRAIN_LIMIT_US,
    harness::{
        cluster::{start, Cluster, Plan},
        seed,
        workload::{self, Mix, Workload},
    },
    history::now_us,
};
use rstest::rstest;

/// Complete responses between two steps of a test.
const SOME: u64 = 60;

fn busy() -> (Cluster, Workload) {
    busy_with(Mix::default(), SOME)
}

fn busy_with(mix: Mix, complete: u64) -> (Cluster, Workload) {
    let plan = Plan { seed: seed(), entries: 3, sidecars: 4, zones: 3, ..Plan::default() };
    let cluster = start(plan).unwrap();
    let crowd = workload::spawn(&cluster, &mix);
    cluster.recorder.wait_complete(complete).unwrap();
    (cluster, crowd)
}

fn end(cluster: Cluster, crowd: Workload) {
    end_after(cluster, crowd, SOME);
}

fn end_after(mut cluster: Cluster, crowd: Workload, complete: u64) {
    cluster.recorder.wait_complete(complete).unwrap();
    crowd.stop();
    cluster.wait_idle().unwrap();
    println!("{:?}", cluster.recorder.codes());
    cluster.finish().unwrap().assert_clean();
}

/// Guards against doubled starts, untrue answers and a standstill after an entry was killed, and
/// against a restarted entry that gets no work.
#[test]
fn killed_entry() {
    let (mut cluster, crowd) = busy();
    cluster.kill_entry(0);
    cluster.recorder.wait_complete(SOME).unwrap();
    cluster.spawn_entry(0).unwrap();
    cluster.wait_entry_ready(0).unwrap();
    end(cluster, crowd);
}

/// Guards against tasks that are started again elsewhere after their sidecar was killed, and
/// against the claim that they did not run.
#[test]
fn killed_sidecar() {
    let (mut cluster, crowd) = busy();
    cluster.kill_sidecar(0);
    cluster.recorder.wait_complete(SOME).unwrap();
    cluster.spawn_sidecar(0).unwrap();
    cluster.wait_sidecar_ready(0).unwrap();
    let before = cluster.starts(0).unwrap().len();
    end_with_work_at(cluster, crowd, 0, before);
}

fn end_with_work_at(cluster: Cluster, crowd: Workload, sidecar: usize, before: usize) {
    use kingcup_proof::harness::until;
    let more = || cluster.starts(sidecar).unwrap().len() > before;
    until("work at the restarted sidecar", || more().then_some(())).unwrap();
    end(cluster, crowd);
}

/// Guards against a paused process that acts on old knowledge after it resumes.
#[rstest]
#[case::entry(true)]
#[case::sidecar(false)]
fn paused_process(#[case] entry: bool) {
    let (cluster, crowd) = busy();
    match entry {
        true => cluster.pause_entry(0),
        false => cluster.pause_sidecar(0),
    }
    cluster.recorder.wait_complete(3 * SOME).unwrap();
    match entry {
        true => cluster.resume_entry(0),
        false => cluster.resume_sidecar(0),
    }
    end(cluster, crowd);
}

/// Guards against a planned stop that interrupts requests, and against new work for a process that
/// is leaving.
#[rstest]
#[case::entry(true)]
#[case::sidecar(false)]
fn planned_stop(#[case] entry: bool) {
    // Some work in flight must outlast the delays of a stop that does not wait for it.
    let mix = Mix { callers: 16, max_tasks: 2, max_sleep_ms: 3_000, ..Mix::default() };
    let (mut cluster, crowd) = busy_with(mix, SOME / 3);
    match entry {
        true => cluster.stop_entry(0).unwrap(),
        false => cluster.stop_sidecar(0).unwrap(),
    }
    cluster.recorder.wait_complete(SOME / 3).unwrap();
    match entry {
        true => cluster.spawn_entry(0).unwrap(),
        false => cluster.spawn_sidecar(0).unwrap(),
    }
    cluster.wait_ready().unwrap();
    let recorder = cluster.recorder.clone();
    end_after(cluster, crowd, SOME / 3);
    let tally = recorder.tally();
    assert_eq!((tally.failed, tally.broken), (0, 0), "{:?}", recorder.codes());
}

/// Guards against a sidecar that is told twice to stop, or an entry that is killed while it stops.
#[test]
fn stop_is_repeated() {
    let (mut cluster, crowd) = busy();
    if let Some(program) = &cluster.sidecars[0].program {
        program.signal(libc::SIGTERM);
    }
    cluster.stop_sidecar(0).unwrap();
    cluster.recorder.wait_complete(SOME).unwrap();
    end(cluster, crowd);
}

/// Guards against new work for a sidecar that an operator drained and that stays, and against
/// requests that fail because of it.
#[test]
fn drained_sidecar_gets_no_new_work() {
    let (cluster, crowd) = busy();
    cluster.drain_sidecar(0).unwrap();
    let drained_us = now_us();
    while now_us() < drained_us + 2 * DRAIN_LIMIT_US {
        cluster.recorder.wait_complete(SOME).unwrap();
    }
    let recorder = cluster.recorder.clone();
    end(cluster, crowd);
    let tally = recorder.tally();
    assert_eq!((tally.failed, tally.broken), (0, 0), "{:?}", recorder.codes());
}
