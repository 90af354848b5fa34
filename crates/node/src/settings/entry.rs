//! Settings of an entry.

use std::{net::SocketAddr, path::Path};

use super::{check_distinct, read_peers, Fault, Peer, Process, Source};

/// Settings of an entry.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Identity of the process and the deployment's secret.
    pub process: Process,
    /// Internal address, for UDP and TCP.
    pub internal: SocketAddr,
    /// HTTP address for callers.
    pub callers: SocketAddr,
    /// HTTP address for operators: health, status, drain and metrics.
    pub admin: SocketAddr,
    /// Addresses of the platform's store; empty if there is no store.
    pub store: Vec<SocketAddr>,
    /// All entries of the deployment, including this one.
    pub entries: Vec<Peer>,
    /// Time between reporting not ready and refusing new work, in milliseconds.
    pub drain_delay_ms: u64,
    /// Maximum time that a shutdown waits for work in flight, in milliseconds.
    pub stop_timeout_ms: u64,
    /// Retention time of the records of finished jobs, in seconds.
    pub record_retention_s: u64,
    /// Maximum size of all answers kept for resubmissions, in bytes.
    pub record_bytes: u64,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: u64,
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns the first fault found.
    pub fn open(path: &Path) -> Result<Self, Fault> {
        Self::read(Source::open(path)?)
    }

    /// Validates settings.
    ///
    /// # Errors
    ///
    /// Returns the first fault found.
    pub fn read(mut source: Source) -> Result<Self, Fault> {
        let s = &mut source;
        let settings = Self {
            process: Process::read(s)?,
            internal: s.address("listen", "internal")?,
            callers: s.address("listen", "callers")?,
            admin: s.address("listen", "admin")?,
            store: read_store(s)?,
            entries: read_peers(s)?,
            drain_delay_ms: s.number("limits", "drain_delay_ms", 5_000, 0..=600_000)?,
            stop_timeout_ms: s.number("limits", "stop_timeout_ms", 30_000, 0..=600_000)?,
            record_retention_s: s.number("limits", "record_retention_s", 600, 1..=86_400)?,
            record_bytes: s.number("limits", "record_bytes", 16 << 20, 0..=(1 << 30))?,
            body_bytes: s.number("limits", "body_bytes", 2 << 20, 1_024..=(3 << 20))?,
        };
        let name = &settings.process.name;
        if !settings.entries.iter().any(|peer| peer.name == *name) {
            return Err(source.fault("entries", name, "missing", "this entry's own address too"));
        }
        let addresses = [
            ("internal", settings.internal),
            ("callers", settings.callers),
            ("admin", settings.admin),
        ];
        check_distinct(&source, &addresses)?;
        source.finish()?;
        Ok(settings)
    }
}

fn read_store(source: &mut Source) -> Result<Vec<SocketAddr>, Fault> {
    let text = source.text("store", "addresses")?;
    if text == "none" {
        return Ok(Vec::new());
    }
    let allowed = "IP addresses and ports with commas between them, or none";
    text.split(',')
        .map(|part| part.trim().parse())
        .collect::<Result<_, _>>()
        .map_err(|_| source.fault("store", "addresses", "not an address", allowed))
}
