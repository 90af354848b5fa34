//! `kingcupctl submit` through real entries whose connections break and which die.

use std::{
    fs,
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
};

use kingcup_proof::harness::{
    cluster::{start, Cluster, Plan, NON_IDEMPOTENT, SERVICE},
    port,
    process::binary,
};
use kingcup_standin::proxy;
use rstest::rstest;
use serde_json::{json, Value};

fn job(name: &str, sleep_ms: u64) -> PathBuf {
    let task = |echo: &str| json!({"kind": NON_IDEMPOTENT, "payload": {"sleep_ms": sleep_ms, "echo": echo}});
    let body = json!({"service": SERVICE, "tasks": [task("one"), task("two")]});
    let path = std::env::temp_dir().join(format!("kingcup-submit-{:x}-{name}", fastrand::u64(..)));
    fs::write(&path, body.to_string()).unwrap();
    path
}

fn submit(entries: &[SocketAddr], job: &PathBuf) -> Child {
    let entries: Vec<String> = entries.iter().map(SocketAddr::to_string).collect();
    Command::new(binary("kingcupctl").unwrap())
        .args(["--json", "--entry", &entries.join(","), "submit"])
        .arg(job)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap()
}

fn finish(child: Child, job: &PathBuf) -> (i32, Value) {
    let output = child.wait_with_output().unwrap();
    fs::remove_file(job).unwrap();
    (output.status.code().unwrap(), serde_json::from_slice(&output.stdout).unwrap())
}

fn callers(cluster: &Cluster, number: usize) -> SocketAddr {
    cluster.entries[number].settings.callers
}

fn proxied(cluster: &Cluster, number: usize) -> proxy::Handle {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    proxy::bind(any, callers(cluster, number), 1).unwrap()
}

/// Guards against a job that is not submitted because the first entry is down.
#[test]
fn a_dead_entry_is_passed_over() {
    let cluster = start(Plan::default()).unwrap();
    let job = job("dead", 1);
    let child = submit(&[port::find().unwrap(), callers(&cluster, 1)], &job);
    let (exit, report) = finish(child, &job);
    assert_eq!((exit, &report["code"]), (0, &json!(0)), "{report}");
    assert_eq!(report["answer"]["answers"].as_array().unwrap().len(), 2);
}

/// Guards against a job that runs twice, or whose answer is lost, when the caller's connection
/// breaks or falls silent and the tool submits again.
#[rstest]
#[case::broken(proxy::Handle::cut)]
#[case::silent(proxy::Handle::freeze)]
fn a_lost_connection_is_followed_by_the_answer_of_the_same_run(
    #[case] lose: fn(&proxy::Handle) -> u64,
) {
    let cluster = start(Plan::default()).unwrap();
    let proxy = proxied(&cluster, 0);
    let job = job("lost", 1_000);
    let child = submit(&[proxy.address(), callers(&cluster, 1)], &job);
    cluster.wait_starts(2).unwrap();
    assert!(lose(&proxy) > 0);
    let (exit, report) = finish(child, &job);
    assert_eq!(exit, 0, "{report}");
    assert_eq!(report["answer"]["answers"].as_array().unwrap().len(), 2, "{report}");
    assert_eq!(cluster.count_starts().unwrap(), 2);
}

/// Guards against a job reported as not run, or run again, when its home dies while it runs.
#[test]
fn a_job_whose_home_dies_may_have_run() {
    let mut cluster = start(Plan::default()).unwrap();
    let job = job("home", 2_000);
    let child = submit(&[callers(&cluster, 0), callers(&cluster, 1)], &job);
    cluster.wait_starts(2).unwrap();
    cluster.kill_entry(0);
    let (exit, report) = finish(child, &job);
    assert_eq!(exit, 2, "{report}");
    assert_eq!(cluster.count_starts().unwrap(), 2);
}
