//! A small deployment: 4 entries in 4 zones and 11 sidecars, as separate processes, between
//! stand-ins for callers, executors and the platform's store.

use std::{
    fs,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Mutex, PoisonError},
    thread,
    time::{Duration, Instant},
};

use crate::{
    executor::{Executor, History, Run},
    http, log,
    store::Store,
};

pub const ENTRIES: usize = 4;
pub const SIDECARS: usize = 11;
const ZONES: [&str; 4] = ["zone-a", "zone-b", "zone-c", "zone-d"];
/// Command lines of the deploy file, without the path of the settings. `evacuate_ms` is not among the
/// bounds of this deployment, and `remote_factor` is 1.5.
const ENTRY: [&str; 5] = [
    "target/release/kingcup-platform-entry",
    "--set",
    "evacuation.apply_ms=",
    "--set",
    "places.remote_factor=1.5",
];
const SIDECAR: [&str; 3] =
    ["target/release/kingcup-platform-sidecar", "--set", "evacuation.apply_ms="];

pub struct Cluster {
    pub store: Store,
    pub callers: Vec<SocketAddr>,
    ready: Vec<SocketAddr>,
    pub executors: Vec<Executor>,
    pub history: History,
    folder: PathBuf,
}

/// All processes that this case has started.
static PROCESSES: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Ends all processes that this case has started.
pub fn end_processes() {
    let mut processes = PROCESSES.lock().unwrap_or_else(PoisonError::into_inner);
    for process in processes.iter_mut() {
        let _ = process.kill();
        let _ = process.wait();
    }
    processes.clear();
}

/// A port that is free at all addresses of a group.
fn free_port(addresses: &[String]) -> u16 {
    for _ in 0..100 {
        let probe = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
        let port = probe.local_addr().expect("an address").port();
        if addresses.iter().all(|address| TcpListener::bind((address.as_str(), port)).is_ok()) {
            return port;
        }
    }
    crate::give_up("no free port")
}

impl Cluster {
    /// Starts all processes, with this first configuration in the store, and waits until all entries
    /// are ready.
    pub fn open(config: &str) -> Self {
        let group = |third: usize, count: usize| -> Vec<String> {
            (1..=count).map(|last| format!("127.73.{third}.{last}")).collect()
        };
        let all: Vec<String> = [group(1, ENTRIES), group(2, SIDECARS), group(3, ENTRIES)].concat();
        let ports: Vec<u16> = (0..6).map(|_| free_port(&all)).collect();
        let at = |third: usize, index: usize, port: usize| -> SocketAddr {
            format!("127.73.{third}.{}:{}", index + 1, ports[port]).parse().expect("an address")
        };
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let store = Store::open();
        store.put(config);
        let mut cluster = Self {
            store,
            callers: (0..ENTRIES).map(|entry| at(1, entry, 1)).collect(),
            ready: (0..ENTRIES).map(|entry| at(1, entry, 2)).collect(),
            executors: Vec::new(),
            history: History::default(),
            folder,
        };
        let seeds: Vec<String> = (0..3).map(|entry| at(1, entry, 4).to_string()).collect();
        let seeds = seeds.join(",");
        for entry in 0..ENTRIES {
            let store = cluster.store.open_address(entry, at(3, entry, 5));
            let text = format!(
                "[process]\nname = edge-{entry}\nzone = {}\nsecret = kingcuplanding-internal-frames\n\
                 [listen]\ninternal = {}\nmetrics = {}\ncallers = {}\nready = {}\ncontrol = {}\n\
                 [entries]\nseeds = {seeds}\n[store]\naddress = {}\n[return]\nhold_ms = 1000\n",
                ZONES[entry],
                at(1, entry, 0),
                at(1, entry, 3),
                at(1, entry, 1),
                at(1, entry, 2),
                at(1, entry, 4),
                store,
            );
            cluster.spawn(&format!("edge-{entry}"), &ENTRY, &text);
        }
        for sidecar in 0..SIDECARS {
            let zone = ZONES[sidecar % 4];
            let executor = Executor::open(
                sidecar,
                at(2, sidecar, 1),
                at(2, sidecar, 4),
                zone,
                &cluster.history,
            );
            let text = format!(
                "[process]\nname = side-{sidecar}\nzone = {zone}\nsecret = kingcuplanding-internal-frames\n\
                 [listen]\ninternal = {}\nmetrics = {}\ncontrol = {}\n[entries]\nseeds = {seeds}\n\
                 [upstream]\naddress = {}\n",
                at(2, sidecar, 0),
                at(2, sidecar, 3),
                at(2, sidecar, 4),
                executor.address,
            );
            cluster.executors.push(executor);
            cluster.spawn(&format!("side-{sidecar}"), &SIDECAR, &text);
        }
        cluster.wait_ready();
        cluster
    }

    fn spawn(&mut self, name: &str, command: &[&str], settings: &str) {
        let file = self.folder.join(format!("{name}.ini"));
        fs::write(&file, settings).expect("settings can be written");
        let output = fs::File::create(self.folder.join(format!("{name}.log"))).expect("a log");
        let process = Command::new(command[0])
            .arg("--settings")
            .arg(&file)
            .args(&command[1..])
            .stdin(Stdio::null())
            .stdout(output.try_clone().expect("a log"))
            .stderr(output)
            .spawn();
        match process {
            Ok(process) => PROCESSES.lock().unwrap().push(process),
            Err(error) => crate::give_up(&format!("{}: {error}", command[0])),
        }
    }

    fn wait_ready(&self) {
        let until = Instant::now() + Duration::from_secs(20);
        let second = Duration::from_secs(1);
        loop {
            let ready = self.ready.iter().all(|address| {
                http::call(*address, "GET", "/ready", "balancer", "", "", second)
                    .is_some_and(|answer| answer.status == 200)
            });
            if ready {
                break;
            }
            if Instant::now() > until {
                crate::give_up("the entries did not become ready");
            }
            thread::sleep(Duration::from_millis(100));
        }
        // All sidecars connect to all entries well within this time.
        thread::sleep(Duration::from_secs(3));
        log("all entries are ready");
    }

    /// Whether all processes still run.
    pub fn is_running(&self) -> bool {
        PROCESSES.lock().unwrap().iter_mut().all(|process| matches!(process.try_wait(), Ok(None)))
    }

    pub fn runs_of(&self, job: &str) -> Vec<Run> {
        self.history
            .lock()
            .unwrap()
            .iter()
            .filter(|run| run.task.starts_with(job))
            .cloned()
            .collect()
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        end_processes();
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
