//! Settings of a sidecar.

use std::{net::SocketAddr, path::Path};

use super::{check_distinct, read_peers, Fault, Peer, Process, Source};

/// Settings of a sidecar.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Identity of the process and the deployment's secret.
    pub process: Process,
    /// Internal address, for UDP and TCP.
    pub internal: SocketAddr,
    /// Address to which entries connect, if it differs from the internal address, for example
    /// behind network address translation or a fault-injecting proxy.
    pub advertise: Option<SocketAddr>,
    /// HTTP address for operators: health, status, drain and metrics.
    pub admin: SocketAddr,
    /// Service of the upstream.
    pub service: String,
    /// HTTP address of the upstream.
    pub upstream: SocketAddr,
    /// Number of tasks that the upstream runs concurrently.
    pub slots: u16,
    /// Maximum number of connections that the upstream accepts.
    pub connections: u16,
    /// Entries to which the sidecar first announces itself. It learns of others from their answers.
    pub entries: Vec<Peer>,
    /// Maximum time that a shutdown waits for work in flight, in milliseconds.
    pub stop_timeout_ms: u64,
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
            advertise: s.optional_address("listen", "advertise")?,
            admin: s.address("listen", "admin")?,
            service: s.name("upstream", "service")?,
            upstream: s.address("upstream", "address")?,
            slots: s.number("upstream", "slots", 8, 1..=1_024)? as u16,
            connections: s.number("upstream", "connections", 64, 1..=4_096)? as u16,
            entries: read_peers(s)?,
            stop_timeout_ms: s.number("limits", "stop_timeout_ms", 30_000, 0..=600_000)?,
        };
        if settings.connections < settings.slots {
            let allowed = "at least the number of slots";
            return Err(source.fault("upstream", "connections", "fewer than slots", allowed));
        }
        let addresses = [
            ("internal", settings.internal),
            ("admin", settings.admin),
            ("address", settings.upstream),
        ];
        check_distinct(&source, &addresses)?;
        source.finish()?;
        Ok(settings)
    }
}
