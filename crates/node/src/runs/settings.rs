//! Settings of the entry and the sidecar that exchange runs.

use std::{
    net::{IpAddr, SocketAddr},
    ops::RangeInclusive,
    path::Path,
};

use crate::settings::{Fault, Source};

/// Range of the time in which orders to evacuate zones are to be applied, in milliseconds. A shorter
/// time would leave none for the store to hold a watch call.
const APPLY_MS: RangeInclusive<u64> = 2_000..=600_000;
/// Least length of the secret, in bytes.
const MIN_SECRET_BYTES: usize = 16;
/// Upper bound of the time for which requests are held, in milliseconds. Callers wait for a few
/// seconds, and a request is held for less than half of that.
const MAX_HOLD_MS: u64 = 10_000;
/// Factors on run times away from the data or the group.
const REMOTE_FACTORS: RangeInclusive<f64> = 1.0..=100.0;

/// Settings that every process has.
#[derive(Debug, Clone)]
pub struct Process {
    /// Path of the settings file.
    pub file: String,
    /// Name of the process, unique in the deployment.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Secret that all processes of the deployment share.
    pub secret: String,
    /// Address for connections between processes. All entries use the same port.
    pub internal: SocketAddr,
    /// Address at which other processes reach an entry, if it differs from the internal address
    /// because of, for example, network address translation or a fault-injecting proxy.
    pub advertise: Option<SocketAddr>,
    /// Address for metrics.
    pub metrics: SocketAddr,
    /// Internal addresses of entries to connect to first; these report the addresses of others.
    pub entries: Vec<SocketAddr>,
    /// Time from the store's acknowledgement in which an order to evacuate a zone is to be applied,
    /// in milliseconds; `None` if such orders are not followed.
    pub apply_ms: Option<u64>,
}

/// Settings of an entry.
#[derive(Debug, Clone)]
pub struct Entry {
    /// Settings that every process has.
    pub process: Process,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for the load balancer's readiness checks.
    pub ready: SocketAddr,
    /// Address for reports of upstreams without a sidecar; all of them are rejected.
    pub control: SocketAddr,
    /// Address of the store.
    pub store: SocketAddr,
    /// Longest time that a shutdown waits for jobs without an answer, in milliseconds.
    pub stop_timeout_ms: u64,
    /// Longest time for which a request is held while the configuration or all workers of its
    /// service are missing, in milliseconds; 0 if such requests are refused at once.
    pub hold_ms: u64,
    /// Run time of a task away from its data or group as a multiple of that near it; 1 if places are
    /// ignored.
    pub remote_factor: f64,
}

/// Settings of a sidecar.
#[derive(Debug, Clone)]
pub struct Sidecar {
    /// Settings that every process has.
    pub process: Process,
    /// Address for the upstream's reports.
    pub control: SocketAddr,
    /// Address of the upstream.
    pub upstream: SocketAddr,
    /// Longest time that a shutdown waits for runs to end, in milliseconds.
    pub stop_timeout_ms: u64,
}

impl Process {
    fn read(source: &mut Source) -> Result<Self, Fault> {
        let secret = source.text("process", "secret")?;
        if secret.len() < MIN_SECRET_BYTES {
            return Err(source.fault("process", "secret", "too short", "at least 16 bytes"));
        }
        let internal = source.address("listen", "internal")?;
        Ok(Self {
            file: source.file().to_owned(),
            name: source.name("process", "name")?,
            zone: source.name("process", "zone")?,
            secret,
            internal,
            advertise: source.optional_address("listen", "advertise")?,
            metrics: source.address("listen", "metrics")?,
            entries: read_entries(source, internal.port())?,
            apply_ms: source.optional_number("evacuation", "apply_ms", APPLY_MS)?,
        })
    }
}

impl Process {
    /// Returns the address at which other processes reach this one.
    pub fn address(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.internal)
    }

    /// Reads the internal addresses of entries from the settings file again.
    ///
    /// # Errors
    ///
    /// Returns the first fault found; the settings in force are unchanged.
    pub fn reload(&self) -> Result<Vec<SocketAddr>, Fault> {
        let mut source = Source::open(Path::new(&self.file))?;
        read_entries(&mut source, self.internal.port())
    }
}

/// Reads the list of entries. Ports in the list are ignored and replaced by `port`.
fn read_entries(source: &mut Source, port: u16) -> Result<Vec<SocketAddr>, Fault> {
    let Some(text) = source.optional_text("entries", "seeds")? else { return Ok(Vec::new()) };
    let mut entries = Vec::new();
    for part in text.split(',').map(str::trim).filter(|part| !part.is_empty()) {
        let ip: Option<IpAddr> = match part.parse::<SocketAddr>() {
            Ok(address) => Some(address.ip()),
            Err(_) => part.parse().ok(),
        };
        let Some(ip) = ip else {
            let allowed = "IP addresses, separated by commas";
            return Err(source.fault("entries", "seeds", "not an address", allowed));
        };
        entries.push(SocketAddr::new(ip, port));
    }
    Ok(entries)
}

impl Entry {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns the first fault found.
    pub fn open(path: &Path) -> Result<Self, Fault> {
        Self::read(Source::open(path)?)
    }

    /// Reads and checks settings from their source.
    ///
    /// # Errors
    ///
    /// Returns the first fault found.
    pub fn read(mut source: Source) -> Result<Self, Fault> {
        let s = &mut source;
        let settings = Self {
            process: Process::read(s)?,
            callers: s.address("listen", "callers")?,
            ready: s.address("listen", "ready")?,
            control: s.address("listen", "control")?,
            store: s.address("store", "address")?,
            stop_timeout_ms: s.number("limits", "stop_timeout_ms", 5_000, 0..=600_000)?,
            hold_ms: s.number("return", "hold_ms", 0, 0..=MAX_HOLD_MS)?,
            remote_factor: s.decimal("places", "remote_factor", 1.0, REMOTE_FACTORS)?,
        };
        source.finish()?;
        Ok(settings)
    }
}

impl Sidecar {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns the first fault found.
    pub fn open(path: &Path) -> Result<Self, Fault> {
        Self::read(Source::open(path)?)
    }

    /// Reads and checks settings from their source.
    ///
    /// # Errors
    ///
    /// Returns the first fault found.
    pub fn read(mut source: Source) -> Result<Self, Fault> {
        let s = &mut source;
        let settings = Self {
            process: Process::read(s)?,
            control: s.address("listen", "control")?,
            upstream: s.address("upstream", "address")?,
            stop_timeout_ms: s.number("limits", "stop_timeout_ms", 5_000, 0..=600_000)?,
        };
        source.finish()?;
        Ok(settings)
    }
}
