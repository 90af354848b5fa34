//! Malformed messages at each port of real entries and sidecars, under load.

use std::{net::SocketAddr, thread};

use kingcup_proof::harness::{
    cluster::{document, start, Plan, SERVICE},
    noise, seed,
    workload::{self, Mix},
};

/// Complete responses before and after the malformed messages.
const SOME: u64 = 60;

/// Malformed messages, those for callers' jobs among them; each port gets all of them.
fn corpus() -> Vec<Vec<u8>> {
    let job = format!("POST /v1/jobs/{SERVICE} HTTP/1.1");
    let mut messages = noise::corpus();
    messages.extend([
        noise::http_message(&job, &noise::nested()),
        noise::http_message(&job, r#"{"tasks":[{"kind":"urgent","payload":1e400}]}"#),
        noise::http_message(&job, r#"{"id":18446744073709551616,"tasks":[]}"#),
    ]);
    messages
}

/// Guards against a process that ends, work that is lost or doubled, or a configuration that no
/// longer changes because of malformed messages.
#[test]
fn malformed_messages_at_each_port_disturb_nothing() {
    let plan = Plan { seed: seed(), entries: 2, sidecars: 2, ..Plan::default() };
    let mut cluster = start(plan).unwrap();
    let load = workload::spawn(&cluster, &Mix::default());
    cluster.recorder.wait_complete(SOME).unwrap();
    let entries = cluster
        .entries
        .iter()
        .flat_map(|entry| [entry.settings.internal, entry.settings.callers, entry.settings.admin]);
    let sidecars = cluster
        .sidecars
        .iter()
        .flat_map(|sidecar| [sidecar.settings.internal, sidecar.settings.admin]);
    let targets: Vec<SocketAddr> = entries.chain(sidecars).collect();
    thread::scope(|scope| {
        for target in &targets {
            scope.spawn(|| corpus().iter().for_each(|message| noise::send(*target, message)));
        }
    });
    cluster.recorder.wait_complete(SOME).unwrap();
    let document = kingcup_dispatch::document::Document { quota_per_s: 1_000_000, ..document() };
    let applied = cluster.apply(&document, "second").unwrap();
    cluster.wait_revision(applied.revision.unwrap()).unwrap();
    load.stop();
    cluster.wait_idle().unwrap();
    println!("{:?}", cluster.recorder.codes());
    let entries = cluster.entries.iter_mut().map(|entry| entry.program.as_mut());
    let sidecars = cluster.sidecars.iter_mut().map(|sidecar| sidecar.program.as_mut());
    for program in entries.chain(sidecars) {
        assert!(program.unwrap().is_running(), "a process has ended");
    }
    cluster.finish().unwrap().assert_clean();
}
