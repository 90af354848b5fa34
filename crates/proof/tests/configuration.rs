//! Real entries and sidecars with a store that fails: an accepted configuration comes into force
//! everywhere and never reverts.

use std::{
    collections::BTreeMap,
    fs,
    net::SocketAddr,
    path::PathBuf,
    process::Command,
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::Duration,
};

use base64::{prelude::BASE64_STANDARD, Engine};
use kingcup_proof::harness::{
    http, port,
    process::{binary, spawn, Program},
    settings, until, POLL_INTERVAL,
};
use kingcup_standin::store::{Control, Lost, Mode, Server};
use rstest::rstest;
use serde_json::{json, Value};

const SERVICE: &str = "log-desk";
const CALL: Duration = Duration::from_secs(5);

struct Process {
    binary: &'static str,
    name: String,
    admin: SocketAddr,
    settings: String,
    program: Option<Program>,
}

/// Three entries, two sidecars and a store.
struct Deployment {
    store: Server,
    processes: Vec<Process>,
    folder: PathBuf,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.processes.clear();
        if !thread::panicking() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn start() -> Deployment {
    let store = Server::open("127.0.0.1:0").unwrap();
    let find = || port::find().unwrap();
    let entries: Vec<(String, SocketAddr)> =
        (0..3).map(|number| (format!("entry{number}"), find())).collect();
    let mut processes = Vec::new();
    for (name, internal) in &entries {
        let settings = settings::Entry {
            name: name.clone(),
            zone: "zone0".to_owned(),
            internal: *internal,
            callers: find(),
            admin: find(),
            store: Some(store.address()),
            entries: entries.clone(),
            drain_delay_ms: 0,
        };
        processes.push(process("kingcup-entry", name, settings.admin, settings.text()));
    }
    for number in 0..2 {
        let name = format!("sidecar{number}");
        let settings = settings::Sidecar {
            name: name.clone(),
            zone: "zone0".to_owned(),
            internal: find(),
            advertise: None,
            admin: find(),
            service: SERVICE.to_owned(),
            upstream: find(),
            slots: 8,
            entries: entries.clone(),
        };
        processes.push(process("kingcup-sidecar", &name, settings.admin, settings.text()));
    }
    let folder =
        std::env::temp_dir().join(format!("kingcup-configuration-{}", entries[0].1.port()));
    fs::create_dir_all(&folder).unwrap();
    let mut deployment = Deployment { store, processes, folder };
    for number in 0..deployment.processes.len() {
        deployment.spawn(number);
    }
    deployment
}

fn process(binary: &'static str, name: &str, admin: SocketAddr, settings: String) -> Process {
    Process { binary, name: name.to_owned(), admin, settings, program: None }
}

/// Incarnation of a process and its revision; `None` if it does not answer.
fn look(admin: SocketAddr) -> Option<(String, u64)> {
    let reply = http::get(&http::agent(CALL), admin, "/status").ok()?;
    let status: Value = serde_json::from_slice(&reply.body).ok()?;
    let revision = status["revisions"][SERVICE].as_u64().unwrap_or(0);
    Some((status["incarnation"].to_string(), revision))
}

impl Deployment {
    fn spawn(&mut self, number: usize) {
        let process = &mut self.processes[number];
        let file = self.folder.join(format!("{}.ini", process.name));
        fs::write(&file, &process.settings).unwrap();
        let arguments = ["--settings".to_owned(), file.to_str().unwrap().to_owned()];
        let program = spawn(process.binary, &process.name, &arguments, &self.folder).unwrap();
        process.program = Some(program);
    }

    fn kill(&mut self, numbers: impl IntoIterator<Item = usize>) {
        for number in numbers {
            self.processes[number].program = None;
        }
    }

    fn set(&self, mode: Mode) {
        self.store.control(&Control { mode: Some(mode), ..Control::default() });
    }

    fn document(&self, quota: usize) -> PathBuf {
        let path = self.folder.join(format!("{quota}.json"));
        let kind = json!({"name": "push", "urgency": "high", "share_percent": 50,
                          "deadline_ms": 500, "timeout_ms": 2000, "max_waiting": 100});
        let document = json!({"service": SERVICE, "team": "desk", "upstream_path": "/run",
                              "quota_per_s": quota, "kinds": [kind]});
        fs::write(&path, document.to_string()).unwrap();
        path
    }

    fn ctl(&self, arguments: &[&str]) -> (i32, Value) {
        let running = self.processes.iter().filter(|one| one.program.is_some());
        let admins: Vec<String> = running.map(|one| one.admin.to_string()).collect();
        let output = Command::new(binary("kingcupctl").unwrap())
            .args(["--json", "--store", &self.store.url(), "--processes", &admins.join(",")])
            .args(arguments)
            .output()
            .unwrap();
        (output.status.code().unwrap(), serde_json::from_slice(&output.stdout).unwrap())
    }

    fn apply(&self, quota: usize) -> (i32, Value) {
        let document = self.document(quota);
        self.ctl(&["--wait", "apply", document.to_str().unwrap()])
    }

    /// Writes a value as another program would.
    fn put(&self, key: &str, value: &[u8]) {
        let encode = |bytes: &[u8]| BASE64_STANDARD.encode(bytes);
        let put = json!({"key": encode(key.as_bytes()), "value": encode(value)});
        let compare = json!({"key": encode(key.as_bytes()), "target": "MOD", "result": "EQUAL",
                             "mod_revision": "0"});
        let body = json!({"compare": [compare], "success": [{"request_put": put}],
                          "failure": []});
        let address = self.store.address();
        let reply =
            http::post(&http::agent(CALL), address, "/v3/kv/txn", &[], body.to_string().as_bytes());
        assert_eq!(reply.unwrap().status, 200);
    }

    fn wait_everywhere(&self, revision: u64) {
        for process in self.processes.iter().filter(|one| one.program.is_some()) {
            let what = format!("revision {revision} at {}", process.name);
            until(&what, || look(process.admin).filter(|(_, found)| *found == revision)).unwrap();
        }
    }

    /// Looks at all processes until `ended`, and gives the revisions that fell.
    fn watch_for_falls(&self, ended: &AtomicBool) -> Vec<String> {
        let mut highest = BTreeMap::new();
        let mut falls = Vec::new();
        while !ended.load(Ordering::Relaxed) {
            for process in &self.processes {
                let Some((incarnation, revision)) = look(process.admin) else { continue };
                let last = highest.entry((&process.name, incarnation)).or_insert(revision);
                if revision < *last {
                    falls.push(format!("{}: {revision} after {last}", process.name));
                }
                *last = revision;
            }
            thread::park_timeout(POLL_INTERVAL);
        }
        falls
    }
}

/// Guards against changes that are lost, accepted twice or come into force out of order while
/// operators race and the store loses answers.
#[test]
fn racing_changes_come_into_force_everywhere_in_order() {
    const OPERATORS: usize = 6;
    const ATTEMPTS: usize = 4;
    let deployment = start();
    deployment.store.control(&Control {
        lose_writes: Some(8),
        lost: Some(Lost::Cut),
        ..Control::default()
    });
    let ended = AtomicBool::new(false);
    let (mut accepted, falls) = thread::scope(|scope| {
        let falls = scope.spawn(|| deployment.watch_for_falls(&ended));
        let operate = |operator: usize| {
            let attempts = (0..ATTEMPTS).map(|attempt| operator * ATTEMPTS + attempt);
            let documents: Vec<PathBuf> = attempts.map(|one| deployment.document(one)).collect();
            let outcomes =
                documents.iter().map(|one| deployment.ctl(&["apply", one.to_str().unwrap()]));
            let (done, rest): (Vec<_>, Vec<_>) = outcomes.partition(|(exit, _)| *exit == 0);
            assert!(rest.iter().all(|(_, report)| report["code"] == 402), "{rest:?}");
            done.into_iter().map(|(_, report)| report["revision"].as_u64().unwrap()).collect()
        };
        let operators: Vec<_> =
            (0..OPERATORS).map(|operator| scope.spawn(move || operate(operator))).collect();
        let accepted = operators.into_iter().flat_map(|one| -> Vec<u64> { one.join().unwrap() });
        let accepted: Vec<u64> = accepted.collect();
        deployment.wait_everywhere(accepted.len() as u64);
        ended.store(true, Ordering::Relaxed);
        (accepted, falls.join().unwrap())
    });
    accepted.sort_unstable();
    assert_eq!(accepted, (1..=accepted.len() as u64).collect::<Vec<u64>>());
    assert_eq!(falls, Vec::<String>::new());
    assert_eq!(deployment.ctl(&["status", SERVICE]).0, 0);
}

/// Guards against a value of another writer that keeps all entries from following the store, takes
/// the place of a document, or goes unnoticed.
#[rstest]
#[case::not_text(b"\xff\xfe\0".to_vec())]
#[case::deeply_nested("[".repeat(100_000).into_bytes())]
#[case::number_too_large(br#"{"revision":1e400}"#.to_vec())]
#[case::empty(Vec::new())]
#[case::document_of_another_service(newer_document())]
fn an_odd_value_in_the_store_holds_up_no_document(#[case] odd: Vec<u8>) {
    let mut deployment = start();
    assert_eq!(deployment.apply(1).0, 0);
    deployment.put("/kingcup/services/odd3", &odd);
    let (exit, report) = deployment.apply(2);
    assert_eq!((exit, &report["revision"]), (0, &json!(2)), "{report}");
    // An entry that starts afterwards lists the odd value with the others.
    deployment.kill([0]);
    deployment.spawn(0);
    deployment.wait_everywhere(2);
    let is_named = || {
        let (_, report) = deployment.ctl(&["status", SERVICE]);
        report.to_string().contains("/kingcup/services/odd3").then_some(())
    };
    until("the status names the odd key", is_named).unwrap();
    assert_eq!(deployment.apply(3).0, 0);
}

/// A document of the service with a revision far above the stored one.
fn newer_document() -> Vec<u8> {
    let kind = json!({"name": "push", "urgency": "high", "share_percent": 50,
                      "deadline_ms": 500, "timeout_ms": 2000, "max_waiting": 100});
    let document = json!({"service": SERVICE, "team": "desk", "upstream_path": "/run",
                          "quota_per_s": 9, "kinds": [kind]});
    json!({"revision": 1_000_000, "changes": [], "document": document}).to_string().into_bytes()
}

/// Guards against processes that start during an outage and refuse work for its whole length, or
/// start on an older revision than their peers have.
#[rstest]
#[case::down(Mode::Refuse)]
#[case::hanging(Mode::Hang)]
fn processes_that_start_in_an_outage_take_the_newest_revision(#[case] mode: Mode) {
    let mut deployment = start();
    assert_eq!(deployment.apply(1).0, 0);
    assert_eq!(deployment.apply(2).0, 0);
    deployment.set(mode);
    // One entry and one sidecar learn it from the others.
    deployment.kill([0, 3]);
    deployment.spawn(0);
    deployment.spawn(3);
    deployment.wait_everywhere(2);
    // All entries learn it from the sidecars.
    deployment.kill(0..3);
    (0..3).for_each(|number| deployment.spawn(number));
    deployment.wait_everywhere(2);
    deployment.set(Mode::Up);
    assert_eq!(deployment.apply(3).0, 0);
}

/// Guards against time limits that turn a slow store into one that is down.
#[test]
fn a_slow_store_delays_a_change_but_does_not_stop_it() {
    let deployment = start();
    assert_eq!(deployment.apply(1).0, 0);
    deployment.store.control(&Control { delay_ms: Some(2_500), ..Control::default() });
    let (exit, report) = deployment.apply(2);
    assert_eq!((exit, &report["revision"]), (0, &json!(2)), "{report}");
}

/// Guards against a deployment that stops following the store when both watching entries are gone.
#[test]
fn another_entry_watches_when_both_watchers_are_gone() {
    let mut deployment = start();
    assert_eq!(deployment.apply(1).0, 0);
    deployment.kill([0, 1]);
    assert_eq!(deployment.apply(2).0, 0);
    deployment.wait_everywhere(2);
}
