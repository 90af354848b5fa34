//! A small deployment on loopback: the project's daemons with the templates and commands of its
//! deploy file, and the stand-ins around them.

use std::{
    fs,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    thread,
    time::{Duration, Instant},
};

use crate::{http, process::Process, record::Record, relay::Relay, store::Store};

/// Host and queue of the configuration.
pub const HOST: &str = "desk.example";
pub const PREFIX: &str = "/lookup/";
pub const SERVICE: &str = "desk";

/// Cores of an executor, in thousandths.
pub const CPU: u64 = 32_000;

const PORT: u16 = 7_720;
const METRICS_PORT: u16 = 9_464;
const CALLERS_PORT: u16 = 8_161;
const READY_PORT: u16 = 8_167;
const CONTROL_PORT: u16 = 8_166;
const APP_PORT: u16 = 8_165;
const STORE_PORT: u16 = 8_169;

/// Groups of addresses: the third byte.
const ENTRIES: u8 = 1;
const SIDECARS: u8 = 2;
const STORE: u8 = 3;
const RELAYS: u8 = 4;
const APPS: u8 = 5;

/// What a case needs.
pub struct Plan {
    pub entries: usize,
    pub sidecars: usize,
    /// Whether each entry reaches the store through a relay of its own.
    pub relays: bool,
    /// Cores of the executors at the start, in thousandths.
    pub cpu: u64,
    /// How long the executors have been up at the start, in milliseconds.
    pub up_ms: u64,
    /// Time from listening to the first heartbeat of an executor, in milliseconds.
    pub register_ms: u64,
    /// Whether each sidecar reaches its executor through a relay.
    pub app_relays: bool,
}

/// A running deployment.
pub struct World {
    pub entries: Vec<Process>,
    pub sidecars: Vec<Process>,
    pub executors: Vec<Process>,
    pub relays: Vec<Relay>,
    pub app_relays: Vec<Relay>,
    pub store: Store,
    pub record: Record,
    plan: Plan,
    net: u8,
    folder: PathBuf,
    programs: PathBuf,
}

/// Returns a configuration with one route for each prefix.
pub fn config(version: u64, prefixes: &[&str]) -> String {
    let routes: Vec<String> = prefixes
        .iter()
        .enumerate()
        .map(|(index, prefix)| {
            format!(
                "{{\"name\":\"queue-{index}\",\"hostname\":\"{HOST}\",\"path_prefix\":\"{prefix}\",\
                 \"service\":\"{SERVICE}\",\"priority\":0,\"max_attempts\":4,\"stretch\":1.6,\
                 \"timeout_ms\":1500,\"target_duration_ms\":60}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{SERVICE}\",\
         \"enforces_capacity\":false}}],\"limits\":{{}}}}",
        routes.join(",")
    )
}

impl World {
    /// Starts a deployment and waits until it is ready.
    pub fn open(plan: Plan, record: &Record, root: &Path) -> Result<Self, String> {
        let net = find_net().ok_or("no free addresses")?;
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let store = Store::open(address(net, STORE, 1, STORE_PORT)).ok_or("no store")?;
        store.put(&config(1, &[PREFIX]));
        let mut world = Self {
            entries: Vec::new(),
            sidecars: Vec::new(),
            executors: Vec::new(),
            relays: Vec::new(),
            app_relays: Vec::new(),
            store,
            record: record.clone(),
            net,
            folder,
            programs: root.join("target/release"),
            plan,
        };
        if world.plan.relays {
            for index in 0..world.plan.entries {
                let listen = address(net, RELAYS, index, STORE_PORT);
                let relay = Relay::open(listen, address(net, STORE, 1, STORE_PORT));
                world.relays.push(relay.ok_or("no relay")?);
            }
        }
        for index in 0..world.plan.entries {
            world.write_entry(index, root)?;
            let entry = world.start_entry(index)?;
            world.entries.push(entry);
        }
        for index in 0..world.plan.sidecars {
            world.write_sidecar(index, root)?;
            if world.plan.app_relays {
                let listen = address(net, SIDECARS, index, APP_PORT);
                let relay = Relay::open(listen, address(net, APPS, index, APP_PORT));
                world.app_relays.push(relay.ok_or("no relay")?);
            }
            let sidecar = world.start_sidecar(index)?;
            world.sidecars.push(sidecar);
            let executor =
                world.start_executor(index, world.plan.up_ms, "i-first", world.plan.cpu)?;
            world.executors.push(executor);
        }
        world.wait_ready()?;
        Ok(world)
    }

    /// Fills a template of the project with the fields that it uses.
    fn write(
        &self,
        root: &Path,
        template: &str,
        name: &str,
        fields: &[(&str, String)],
    ) -> Result<(), String> {
        let path = root.join(template);
        let text = fs::read_to_string(path).map_err(|error| error.to_string())?;
        let mut text = without_sections(&text);
        for (field, value) in fields {
            text = text.replace(&format!("{{{{{field}}}}}"), value);
        }
        if text.contains("{{") {
            return Err(format!("a field of {template} has no value"));
        }
        fs::write(self.folder.join(name), text).map_err(|error| error.to_string())
    }

    fn seeds(&self) -> String {
        let entries = 0..self.plan.entries.min(3);
        let seeds: Vec<String> = entries
            .map(|index| address(self.net, ENTRIES, index, CONTROL_PORT).to_string())
            .collect();
        seeds.join(",")
    }

    fn write_entry(&self, index: usize, root: &Path) -> Result<(), String> {
        let at = |port| address(self.net, ENTRIES, index, port);
        let store = if self.plan.relays {
            address(self.net, RELAYS, index, STORE_PORT)
        } else {
            address(self.net, STORE, 1, STORE_PORT)
        };
        let fields = [
            ("node_name", format!("edge-{index}")),
            ("zone", "zone-a".to_owned()),
            ("ip", at(0).ip().to_string()),
            ("port_range.0", PORT.to_string()),
            ("listen_addrs.frontend", at(CALLERS_PORT).to_string()),
            ("listen_addrs.ready", at(READY_PORT).to_string()),
            ("listen_addrs.control_plane", at(CONTROL_PORT).to_string()),
            ("seed_nodes", self.seeds()),
            ("platform.address", store.to_string()),
        ];
        self.write(root, "deploy/entry.ini", &format!("edge-{index}.ini"), &fields)
    }

    fn write_sidecar(&self, index: usize, root: &Path) -> Result<(), String> {
        let at = |port| address(self.net, SIDECARS, index, port);
        let fields = [
            ("node_name", format!("side-{index}")),
            ("zone", "zone-a".to_owned()),
            ("ip", at(0).ip().to_string()),
            ("port_range.0", PORT.to_string()),
            ("listen_addrs.control_plane", at(CONTROL_PORT).to_string()),
            ("seed_nodes", self.seeds()),
            ("app", at(APP_PORT).to_string()),
        ];
        self.write(root, "deploy/sidecar.ini", &format!("side-{index}.ini"), &fields)
    }

    fn start_daemon(&self, program: &str, name: &str) -> Result<Process, String> {
        let settings = self.folder.join(format!("{name}.ini"));
        let arguments = ["--settings", &*settings.to_string_lossy()];
        let log = self.folder.join(format!("{name}.log"));
        self.record.line(&format!("{name} started"));
        Process::daemon(&self.programs.join(program), &arguments, &log)
            .map_err(|error| format!("{program}: {error}"))
    }

    /// Sets the time from listening to the first heartbeat for executors that are started later.
    pub fn set_register_ms(&mut self, register_ms: u64) {
        self.plan.register_ms = register_ms;
    }

    pub fn start_entry(&self, index: usize) -> Result<Process, String> {
        self.start_daemon("kingcup-platform-entry", &format!("edge-{index}"))
    }

    pub fn start_sidecar(&self, index: usize) -> Result<Process, String> {
        self.start_daemon("kingcup-platform-sidecar", &format!("side-{index}"))
    }

    /// Starts an executor whose life has lasted for `up_ms` already.
    pub fn start_executor(
        &self,
        index: usize,
        up_ms: u64,
        life: &str,
        cpu: u64,
    ) -> Result<Process, String> {
        let own = std::env::current_exe().map_err(|error| error.to_string())?;
        let group = if self.plan.app_relays { APPS } else { SIDECARS };
        let app = address(self.net, group, index, APP_PORT).to_string();
        let control = address(self.net, SIDECARS, index, CONTROL_PORT).to_string();
        let (id, up_ms) = (format!("{life}-{index}"), up_ms.to_string());
        let register_ms = self.plan.register_ms.to_string();
        let cpu = cpu.to_string();
        let arguments = [
            "executor",
            &id,
            SERVICE,
            "zone-a",
            &app,
            &control,
            &cpu,
            "131072",
            &up_ms,
            &register_ms,
        ];
        Process::standin(&own, &arguments, &format!("executor-{index}"), &self.record)
            .map_err(|error| error.to_string())
    }

    /// Returns the address at which clients reach an entry.
    pub fn callers(&self, entry: usize) -> SocketAddr {
        address(self.net, ENTRIES, entry, CALLERS_PORT)
    }

    /// Waits until all entries are ready and know all sidecars.
    fn wait_ready(&self) -> Result<(), String> {
        let deadline = Instant::now() + Duration::from_secs(20);
        for entry in 0..self.plan.entries {
            while !self.is_ready(entry) {
                if Instant::now() > deadline {
                    return Err(format!(
                        "edge-{entry} is not ready; logs in {}",
                        self.folder.display()
                    ));
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        Ok(())
    }

    fn is_ready(&self, entry: usize) -> bool {
        let timeout = Duration::from_millis(300);
        let ready = address(self.net, ENTRIES, entry, READY_PORT);
        let metrics = address(self.net, ENTRIES, entry, METRICS_PORT);
        let host = [("Host", "balancer")];
        let response = http::call(ready, "GET", "/ready", &host, "", timeout);
        let metrics = http::call(metrics, "GET", "/metrics", &host, "", timeout);
        let text =
            metrics.map(|m| String::from_utf8_lossy(&m.body).into_owned()).unwrap_or_default();
        let line = text.lines().find(|line| line.starts_with("kingcup_workers"));
        let workers = line.and_then(|line| line.rsplit(' ').next()?.parse().ok());
        response.is_some_and(|r| r.status() == 200) && workers == Some(self.plan.sidecars)
    }

    /// Ends all processes and removes the folder, unless logs are to be kept.
    pub fn close(mut self) {
        self.entries.clear();
        self.sidecars.clear();
        self.executors.clear();
        match std::env::var_os("KEEP_LOGS") {
            Some(_) => println!("logs in {}", self.folder.display()),
            None => {
                let _ = fs::remove_dir_all(&self.folder);
            }
        }
    }
}

fn address(net: u8, group: u8, index: usize, port: u16) -> SocketAddr {
    SocketAddr::from(([127, net, group, 1 + index as u8], port))
}

/// Returns a part of the loopback range in which the ports that a case needs are free.
fn find_net() -> Option<u8> {
    let first = std::process::id() % 200;
    (0..200_u32).map(|offset| 20 + ((first + offset) % 200) as u8).find(|net| {
        let ports =
            [PORT, METRICS_PORT, CALLERS_PORT, READY_PORT, CONTROL_PORT, APP_PORT, STORE_PORT];
        let is_free = |group, port| TcpListener::bind(address(*net, group, 0, port)).is_ok();
        (1..=5).all(|group| ports.iter().all(|port| is_free(group, *port)))
    })
}

/// Leaves out the sections of a template that are rendered only for some deployments.
fn without_sections(template: &str) -> String {
    let mut is_inside = false;
    let mut text = String::new();
    for line in template.lines() {
        if line.starts_with("{{#") || line.starts_with("{{/") {
            is_inside = line.starts_with("{{#");
        } else if !is_inside {
            text.push_str(line);
            text.push('\n');
        }
    }
    text
}
