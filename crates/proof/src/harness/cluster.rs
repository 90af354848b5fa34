//! Starts and controls a deployment of the real programs.

mod faults;
mod observe;

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};

use kingcup_dispatch::document::{Document, Kind, Urgency};
use kingcup_standin::{proxy, store::Server};
use serde::Deserialize;
use ureq::Agent;

use super::{
    caller::{Caller, Target},
    http, port,
    process::{self, Program},
    record::Recorder,
    settings, until, Fault, Result,
};
use crate::{
    check::{self, Violation},
    history::{now_us, Event},
};

/// Timeout of the harness's HTTP calls to programs.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Processes to start, with their options.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of entries.
    pub entries: usize,
    /// Number of sidecars; each has its own upstream.
    pub sidecars: usize,
    /// Number of availability zones; processes are assigned to them round-robin.
    pub zones: usize,
    /// Slots of each upstream.
    pub slots: u16,
    /// Puts a fault-injecting proxy in front of each sidecar's TCP port.
    pub proxies: bool,
    /// Puts a fault-injecting proxy in front of each entry's internal TCP and UDP port.
    pub entry_proxies: bool,
    /// Setting `drain_delay_ms` of the entries.
    pub drain_delay_ms: u64,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            seed: 1,
            entries: 2,
            sidecars: 3,
            zones: 2,
            slots: 8,
            proxies: false,
            entry_proxies: false,
            drain_delay_ms: 500,
        }
    }
}

/// Name of the service that the document configures.
pub const SERVICE: &str = "log-desk";
/// Kind whose tasks must not run twice.
pub const NON_IDEMPOTENT: &str = "correction";
/// Idempotent kind.
pub const IDEMPOTENT: &str = "lookup";
/// Kind with a short queue, which tests fill up.
pub const SHORT_QUEUE: &str = "clarification";
/// Kind with a short time limit for runs at the upstream.
pub const SHORT_TIMEOUT: &str = "retraction";
/// Time limit of kind `SHORT_TIMEOUT`, in milliseconds.
pub const SHORT_TIMEOUT_MS: u32 = 1_000;
/// Time limit of the other kinds, in milliseconds.
const TIMEOUT_MS: u32 = 20_000;
/// Maximum number of waiting tasks of kind `SHORT_QUEUE` at one entry.
pub const SHORT_QUEUE_LENGTH: u32 = 20;
/// Maximum number of waiting tasks of each other kind at one entry.
const MAX_WAITING: u32 = 5_000;
/// Deadline for the start of a task after its acceptance, in milliseconds.
const DEADLINE_MS: u32 = 20_000;

/// Returns the document that `start` applies.
pub fn document() -> Document {
    let kind = |name: &str, urgency, share_percent| Kind {
        name: name.to_owned(),
        urgency,
        share_percent,
        deadline_ms: DEADLINE_MS,
        timeout_ms: TIMEOUT_MS,
        max_waiting: MAX_WAITING,
        idempotent: false,
    };
    let kinds = vec![
        kind(NON_IDEMPOTENT, Urgency::Normal, 40),
        Kind { idempotent: true, ..kind(IDEMPOTENT, Urgency::High, 20) },
        Kind { max_waiting: SHORT_QUEUE_LENGTH, ..kind(SHORT_QUEUE, Urgency::Low, 20) },
        Kind { timeout_ms: SHORT_TIMEOUT_MS, ..kind(SHORT_TIMEOUT, Urgency::Critical, 20) },
    ];
    Document {
        service: SERVICE.to_owned(),
        team: "desk".to_owned(),
        upstream_path: "/run".to_owned(),
        quota_per_s: 0,
        max_milli_cpus: 16_000,
        max_memory_mb: 64_000,
        kinds,
    }
}

/// Result of a change of the document, as `kingcupctl apply` reports it.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Applied {
    /// Result code.
    pub code: u16,
    /// Revision that the change created, if it is known.
    #[serde(default)]
    pub revision: Option<u64>,
    /// Message of the tool.
    #[serde(default)]
    pub message: String,
}

/// An entry that the harness controls.
#[derive(Debug)]
pub struct Entry {
    /// The running program; `None` after a kill or stop.
    pub program: Option<Program>,
    /// Settings.
    pub settings: settings::Entry,
    /// Proxy between the other processes and the entry.
    pub proxy: Option<proxy::Handle>,
}

/// A sidecar that the harness controls, with its upstream.
#[derive(Debug)]
pub struct Sidecar {
    /// The running program; `None` after a kill or stop.
    pub program: Option<Program>,
    /// Settings.
    pub settings: settings::Sidecar,
    /// Name of the upstream.
    pub upstream_name: String,
    /// The upstream stand-in.
    pub upstream: Program,
    /// Proxy between the entries and the sidecar.
    pub proxy: Option<proxy::Handle>,
}

/// The start of a task as the upstream stand-in reports it.
#[derive(Debug, Clone, Deserialize)]
pub struct Start {
    /// Job ID.
    pub job: String,
    /// Index of the task.
    pub task: Option<u16>,
    /// Marker that identifies the task.
    #[serde(default)]
    pub echo: Option<String>,
    /// Time of the start, in microseconds.
    pub start_us: u64,
    /// Time of the end, in microseconds; `None` if the task has not ended.
    pub end_us: Option<u64>,
}

/// A running deployment. Dropping it kills the programs.
pub struct Cluster {
    /// The plan that the deployment was started from.
    pub plan: Plan,
    /// Entries, indexed by number.
    pub entries: Vec<Entry>,
    /// Sidecars, indexed by number.
    pub sidecars: Vec<Sidecar>,
    /// Recorder of the history.
    pub recorder: Arc<Recorder>,
    /// The store stand-in.
    pub store: Server,
    folder: PathBuf,
    agent: Agent,
    keep_folder: bool,
}

/// Result of checking the history of a test run.
#[derive(Debug)]
pub struct Verdict {
    /// Seed of the run.
    pub seed: u64,
    /// Number of events in the history.
    pub events: usize,
    /// Number of starts that the upstreams reported.
    pub starts: usize,
    /// Violations of invariants.
    pub violations: Vec<Violation>,
    /// Descriptions of responses that violated the callers' protocol.
    pub malformed: Vec<String>,
}

impl Verdict {
    /// Panics with a list of all findings, if there are any.
    ///
    /// # Panics
    ///
    /// If an invariant or the callers' protocol was violated.
    pub fn assert_clean(&self) {
        let clean = self.violations.is_empty() && self.malformed.is_empty();
        assert!(clean, "{self}");
    }
}

impl std::fmt::Display for Verdict {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self { seed, events, starts, .. } = self;
        writeln!(f, "KINGCUP_SEED={seed} events={events} starts={starts}")?;
        for violation in &self.violations {
            writeln!(f, "violation: {violation}")?;
        }
        for answer in &self.malformed {
            writeln!(f, "malformed: {answer}")?;
        }
        Ok(())
    }
}

/// Starts all programs, applies the document and waits until every entry and sidecar is ready.
///
/// # Errors
///
/// If a program does not start or does not become ready.
pub fn start(plan: Plan) -> Result<Cluster> {
    let mut cluster = prepare(plan)?;
    for number in 0..cluster.plan.entries {
        cluster.spawn_entry(number)?;
    }
    for number in 0..cluster.plan.sidecars {
        cluster.spawn_sidecar(number)?;
    }
    cluster.apply(&document(), "initial")?;
    cluster.wait_ready()?;
    Ok(cluster)
}

/// Allocates the ports and the folder of a deployment and starts the stand-ins and proxies, but no
/// entry or sidecar.
fn prepare(plan: Plan) -> Result<Cluster> {
    let folder = create_folder(plan.seed)?;
    let (mut peers, mut ports) = (Vec::new(), Vec::new());
    for number in 0..plan.entries {
        let internal = port::find()?;
        let seed = plan.seed.wrapping_sub(number as u64 + 1);
        let proxy = plan.entry_proxies.then(|| bind_proxy(internal, seed)).transpose()?;
        let address = proxy.as_ref().map_or(internal, proxy::Handle::address);
        peers.push((format!("entry{number}"), address));
        ports.push((internal, proxy));
    }
    let store = Server::open("127.0.0.1:0")
        .map_err(|fault| Fault::Unexpected(format!("store stand-in: {fault}")))?;
    let mut entries = Vec::new();
    for (number, (internal, proxy)) in ports.into_iter().enumerate() {
        let settings = settings::Entry {
            name: peers[number].0.clone(),
            zone: zone_name(&plan, number),
            internal,
            callers: port::find()?,
            admin: port::find()?,
            store: Some(store.address()),
            entries: peers.clone(),
            drain_delay_ms: plan.drain_delay_ms,
        };
        entries.push(Entry { program: None, settings, proxy });
    }
    let mut sidecars = Vec::new();
    for number in 0..plan.sidecars {
        sidecars.push(prepare_sidecar(&plan, number, &peers, &folder)?);
    }
    let (recorder, agent) = (Arc::default(), http::agent(CALL_TIMEOUT));
    Ok(Cluster { plan, entries, sidecars, recorder, store, folder, agent, keep_folder: false })
}

fn prepare_sidecar(
    plan: &Plan,
    number: usize,
    peers: &[(String, SocketAddr)],
    folder: &Path,
) -> Result<Sidecar> {
    let upstream_name = format!("upstream{number}");
    let arguments = ["--listen".to_owned(), "127.0.0.1:0".to_owned()];
    let upstream = process::spawn("kingcup-standin-upstream", &upstream_name, &arguments, folder)?;
    let internal = port::find()?;
    let seed = plan.seed.wrapping_add(number as u64);
    let proxy = plan.proxies.then(|| bind_proxy(internal, seed)).transpose()?;
    let settings = settings::Sidecar {
        name: format!("sidecar{number}"),
        zone: zone_name(plan, number),
        internal,
        advertise: proxy.as_ref().map(proxy::Handle::address),
        admin: port::find()?,
        service: SERVICE.to_owned(),
        upstream: listen_address(&upstream)?,
        slots: plan.slots,
        entries: peers.to_vec(),
    };
    Ok(Sidecar { program: None, settings, upstream_name, upstream, proxy })
}

fn bind_proxy(target: SocketAddr, seed: u64) -> Result<proxy::Handle> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    proxy::bind(any, target, seed).map_err(|error| Fault::Io("proxy".into(), error))
}

fn listen_address(program: &Program) -> Result<SocketAddr> {
    let text = program.wait_line("listening on ")?;
    let unexpected = |_| Fault::Unexpected(format!("{} listens on {text:?}", program.name()));
    text.trim().trim_start_matches("http://").parse().map_err(unexpected)
}

fn zone_name(plan: &Plan, number: usize) -> String {
    format!("zone{}", number % plan.zones.max(1))
}

fn create_folder(seed: u64) -> Result<PathBuf> {
    let name = format!("kingcup-proof-{}-{seed:x}-{:x}", std::process::id(), fastrand::u64(..));
    let path = std::env::temp_dir().join(name);
    fs::create_dir_all(&path).map_err(|error| Fault::Io("temporary folder".into(), error))?;
    Ok(path)
}

impl Cluster {
    /// Starts or restarts an entry, without waiting for its readiness.
    ///
    /// # Errors
    ///
    /// If the program cannot be started.
    pub fn spawn_entry(&mut self, number: usize) -> Result<()> {
        let entry = &mut self.entries[number];
        let settings = &entry.settings;
        entry.program =
            Some(spawn_daemon(&self.folder, "entry", &settings.name, &settings.text())?);
        Ok(())
    }

    /// Starts or restarts a sidecar, without waiting for its readiness.
    ///
    /// # Errors
    ///
    /// If the program cannot be started.
    pub fn spawn_sidecar(&mut self, number: usize) -> Result<()> {
        let sidecar = &mut self.sidecars[number];
        let upstream = sidecar.upstream_name.clone();
        self.recorder.add(Event::Joined { at_us: now_us(), upstream });
        let settings = &sidecar.settings;
        sidecar.program =
            Some(spawn_daemon(&self.folder, "sidecar", &settings.name, &settings.text())?);
        Ok(())
    }

    /// Waits until all running entries and sidecars report that they are ready.
    ///
    /// # Errors
    ///
    /// `Timeout`, or the end of a program.
    pub fn wait_ready(&self) -> Result<()> {
        for entry in self.entries.iter().filter(|entry| entry.program.is_some()) {
            self.wait_ready_at(entry.settings.admin, entry.program.as_ref())?;
        }
        for sidecar in self.sidecars.iter().filter(|sidecar| sidecar.program.is_some()) {
            self.wait_ready_at(sidecar.settings.admin, sidecar.program.as_ref())?;
        }
        Ok(())
    }

    /// Waits until an entry reports that it is ready.
    ///
    /// # Errors
    ///
    /// `Timeout`, or the end of the program.
    pub fn wait_entry_ready(&self, number: usize) -> Result<()> {
        let entry = &self.entries[number];
        self.wait_ready_at(entry.settings.admin, entry.program.as_ref())
    }

    /// Waits until a sidecar reports that it is ready.
    ///
    /// # Errors
    ///
    /// `Timeout`, or the end of the program.
    pub fn wait_sidecar_ready(&self, number: usize) -> Result<()> {
        let sidecar = &self.sidecars[number];
        self.wait_ready_at(sidecar.settings.admin, sidecar.program.as_ref())
    }

    fn wait_ready_at(&self, admin: SocketAddr, program: Option<&Program>) -> Result<()> {
        let name = program.map_or("process", Program::name);
        let ready = until(&format!("readiness of {name}"), || {
            let ready = http::get(&self.agent, admin, "/readyz").is_ok_and(|r| r.status == 200);
            let ended = program.is_some_and(|program| !program.is_running());
            (ready || ended).then_some(ready)
        })?;
        match ready {
            true => Ok(()),
            false => {
                let tail = program.map(Program::tail).unwrap_or_default();
                Err(Fault::Unexpected(format!("{name} ended:\n{tail}")))
            }
        }
    }

    /// Returns the name and callers' address of an entry.
    pub fn target(&self, number: usize) -> Target {
        let settings = &self.entries[number].settings;
        Target { name: settings.name.clone(), address: settings.callers }
    }

    /// Returns the names and callers' addresses of all entries.
    pub fn targets(&self) -> Vec<Target> {
        (0..self.entries.len()).map(|number| self.target(number)).collect()
    }

    /// Creates a caller without a home token.
    pub fn caller(&self) -> Caller {
        Caller::new(Arc::clone(&self.recorder), SERVICE)
    }

    /// Applies a document under a change ID with `kingcupctl` and records its acceptance.
    ///
    /// # Errors
    ///
    /// If the tool cannot be run or prints no report.
    pub fn apply(&self, document: &Document, change: &str) -> Result<Applied> {
        let unexpected = |what: String| Fault::Unexpected(format!("kingcupctl apply: {what}"));
        let path = self.folder.join(format!("{change}.json"));
        let text =
            serde_json::to_string(document).map_err(|error| unexpected(error.to_string()))?;
        fs::write(&path, text).map_err(|error| unexpected(error.to_string()))?;
        let mut command = std::process::Command::new(process::binary("kingcupctl")?);
        command.args(["--json", "--author", "proof", "--timeout", "20", "--change-id", change]);
        command.arg("--store").arg(self.store.url()).arg("apply").arg(path);
        let output = command.output().map_err(|error| unexpected(error.to_string()))?;
        let applied: Applied = serde_json::from_slice(&output.stdout).map_err(|error| {
            let errors = String::from_utf8_lossy(&output.stderr);
            unexpected(format!("{error}; {errors}"))
        })?;
        if let (0, Some(revision)) = (applied.code, applied.revision) {
            let (service, change) = (document.service.clone(), change.to_owned());
            self.recorder.add(Event::Accepted { at_us: now_us(), service, revision, change });
        }
        Ok(applied)
    }

    /// Adds the starts that the upstreams report to the history and checks it.
    ///
    /// # Errors
    ///
    /// If a stand-in does not answer.
    pub fn finish(&mut self) -> Result<Verdict> {
        let mut events = self.recorder.events();
        let mut count = 0;
        for (number, sidecar) in self.sidecars.iter().enumerate() {
            for start in self.starts(number)? {
                count += 1;
                events.push(Event::Ran {
                    upstream: sidecar.upstream_name.clone(),
                    work: self.recorder.work_of(&start.job, start.echo.as_deref()),
                    task: start.task.unwrap_or(u16::MAX),
                    start_us: start.start_us,
                    end_us: start.end_us,
                });
            }
        }
        let verdict = Verdict {
            seed: self.plan.seed,
            events: events.len(),
            starts: count,
            violations: check::violations(&events),
            malformed: self.recorder.malformed_answers(),
        };
        println!("{verdict}{:?}", self.recorder.tally());
        self.keep_folder = !(verdict.violations.is_empty() && verdict.malformed.is_empty());
        Ok(verdict)
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        if self.keep_folder || std::thread::panicking() {
            println!("logs are in {}", self.folder.display());
        } else {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Writes a settings file and starts the entry or sidecar with it.
fn spawn_daemon(folder: &Path, role: &str, name: &str, text: &str) -> Result<Program> {
    let path = folder.join(format!("{name}.ini"));
    fs::write(&path, text).map_err(|error| Fault::Io(path.display().to_string(), error))?;
    let arguments = ["--settings".to_owned(), path.display().to_string()];
    process::spawn(&format!("kingcup-{role}"), name, &arguments, folder)
}
