//! Settings of a sidecar.

use std::{net::SocketAddr, path::Path};

use super::{distinct, read_peers, Fault, Peer, Process, Source};

/// Settings of a sidecar.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Identity.
    pub process: Process,
    /// Internal address, UDP and TCP.
    pub internal: SocketAddr,
    /// Address that entries are told to dial, if something stands before the internal address, such
    /// as an address translation or a fault-injecting proxy.
    pub advertise: Option<SocketAddr>,
    /// Operators' HTTP address: health, status, drain, metrics.
    pub admin: SocketAddr,
    /// Service whose upstream this sidecar fronts.
    pub service: String,
    /// The upstream's HTTP address.
    pub upstream: SocketAddr,
    /// Tasks that the upstream runs at once.
    pub slots: u16,
    /// Connections that the upstream takes.
    pub connections: u16,
    /// Entries to announce to at first; others are learned.
    pub entries: Vec<Peer>,
    /// Longest time that a stop waits for work in flight, in milliseconds.
    pub stop_timeout_ms: u64,
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
        distinct(&source, &addresses)?;
        source.finish()?;
        Ok(settings)
    }
}
