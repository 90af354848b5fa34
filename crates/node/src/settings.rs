//! Settings in INI, each key checked.

pub mod entry;
pub mod sidecar;
pub mod source;

use std::net::SocketAddr;

pub use source::{Fault, Source};

/// Identity of a process.
#[derive(Debug, Clone)]
pub struct Process {
    /// Name, unique in the deployment.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// Secret that all processes of the deployment share.
    pub secret: String,
}

/// An entry that the settings name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Name of the entry.
    pub name: String,
    /// Its internal address, UDP and TCP.
    pub address: SocketAddr,
}

/// Shortest secret, in bytes.
const SECRET_BYTES: usize = 16;

impl Process {
    fn read(source: &mut Source) -> Result<Self, Fault> {
        let name = source.process_name("process", "name")?;
        let zone = source.name("process", "zone")?;
        let region = source.name("process", "region")?;
        let secret = source.text("process", "secret")?;
        if secret.len() < SECRET_BYTES {
            return Err(source.fault("process", "secret", "too short", "at least 16 bytes"));
        }
        Ok(Self { name, zone, region, secret })
    }
}

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

fn distinct(source: &Source, addresses: &[(&str, SocketAddr)]) -> Result<(), Fault> {
    for (at, (key, address)) in addresses.iter().enumerate() {
        let same = |other: &&(&str, SocketAddr)| address.port() != 0 && other.1 == *address;
        if let Some((other, _)) = addresses[..at].iter().find(same) {
            let wrong = format!("same address as {other}");
            return Err(source.fault("listen", key, &wrong, "an address of its own"));
        }
    }
    Ok(())
}
