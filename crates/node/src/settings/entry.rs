//! Settings of an entry.

use std::{net::SocketAddr, path::Path};

use super::{distinct, read_peers, Fault, Peer, Process, Source};

/// Settings of an entry.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Identity.
    pub process: Process,
    /// Internal address, UDP and TCP.
    pub internal: SocketAddr,
    /// Callers' HTTP address.
    pub callers: SocketAddr,
    /// Operators' HTTP address: health, status, drain, metrics.
    pub admin: SocketAddr,
    /// Addresses of the platform's store; empty for none.
    pub store: Vec<SocketAddr>,
    /// All entries, this one included.
    pub entries: Vec<Peer>,
    /// Time between readiness going off and the refusal of new work, in milliseconds.
    pub drain_delay_ms: u64,
    /// Longest time that a stop waits for work in flight, in milliseconds.
    pub stop_timeout_ms: u64,
    /// How long records of finished jobs are kept, in seconds.
    pub record_retention_s: u64,
    /// Most bytes of answers kept for resubmissions.
    pub record_bytes: u64,
    /// Largest request body, in bytes.
    pub body_bytes: u64,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// The first fault found.
    pub fn open(path: &Path) -> Result<Self, Fault> {
        Self::read(Source::open(path)?)
    }

    /// Checks settings.
    ///
    /// # Errors
    ///
    /// The first fault found.
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
        distinct(&source, &addresses)?;
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
