//! Settings files in INI format. Every key is validated.

pub mod entry;
pub mod sidecar;
pub mod source;

use std::net::SocketAddr;

pub use source::{Fault, Source};

/// Identity of a process and the deployment's secret.
#[derive(Debug, Clone)]
pub struct Process {
    /// Name, unique in the deployment.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// Secret shared by all processes of the deployment.
    pub secret: String,
}

/// Entry listed in the settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Name of the entry.
    pub name: String,
    /// Internal address of the entry, for UDP and TCP.
    pub address: SocketAddr,
}

/// Minimum length of the secret, in bytes.
const MIN_SECRET_BYTES: usize = 16;

impl Process {
    fn read(source: &mut Source) -> Result<Self, Fault> {
        let name = source.process_name("process", "name")?;
        let zone = source.name("process", "zone")?;
        let region = source.name("process", "region")?;
        let secret = source.text("process", "secret")?;
        if secret.len() < MIN_SECRET_BYTES {
            return Err(source.fault("process", "secret", "too short", "at least 16 bytes"));
        }
        Ok(Self { name, zone, region, secret })
    }
}

/// Reads the entries of the deployment, ordered by name.
fn read_peers(source: &mut Source) -> Result<Vec<Peer>, Fault> {
    let mut peers = Vec::new();
    for name in source.keys("entries")? {
        let address = source.address("entries", &name)?;
        if !kingcup_dispatch::id::is_process_name(&name) {
            return Err(source.fault("entries", &name, "not a name", "letters, digits, _ and ."));
        }
        if peers.iter().any(|peer: &Peer| peer.address == address) {
            return Err(source.fault("entries", &name, "address used twice", "one address each"));
        }
        peers.push(Peer { name, address });
    }
    peers.sort_by(|a, b| a.name.cmp(&b.name));
    Ok(peers)
}

/// Rejects addresses that are used twice. Port 0 is exempt because the system assigns a free port.
fn check_distinct(source: &Source, addresses: &[(&str, SocketAddr)]) -> Result<(), Fault> {
    for (index, (key, address)) in addresses.iter().enumerate() {
        let is_same = |other: &&(&str, SocketAddr)| address.port() != 0 && other.1 == *address;
        if let Some((other, _)) = addresses[..index].iter().find(is_same) {
            let problem = format!("same address as {other}");
            return Err(source.fault("listen", key, &problem, "a different address"));
        }
    }
    Ok(())
}
