//! Free ports for the programs.

use std::{
    collections::BTreeSet,
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    sync::{Mutex, MutexGuard, PoisonError},
};

use super::{Fault, Result};

/// Ports below the range from which the kernel takes ports for outgoing connections, so that no
/// connection can take the port of a program while the program is down.
const PORTS: std::ops::Range<u16> = 10_000..32_000;
const ATTEMPTS: usize = 1_000;

static TAKEN: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());

/// Finds a loopback address whose port is free for TCP and UDP and not given out before.
///
/// # Errors
///
/// If no port is found.
pub fn find() -> Result<SocketAddr> {
    let mut taken = lock();
    for _ in 0..ATTEMPTS {
        let port = fastrand::u16(PORTS);
        // A look at a port that was given out would keep its program from binding it for a moment.
        if taken.contains(&port) {
            continue;
        }
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        let free = TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok();
        if free && taken.insert(port) {
            return Ok(address);
        }
    }
    Err(Fault::Unexpected("no free port".to_owned()))
}

/// Starts a program while no port is being tried. Between `fork` and `exec` a child holds copies of all
/// descriptors, so a listener that tried a port would stay open after `find` has returned the port.
pub(super) fn without_port_checks<T>(start: impl FnOnce() -> T) -> T {
    let _taken = lock();
    start()
}

fn lock() -> MutexGuard<'static, BTreeSet<u16>> {
    TAKEN.lock().unwrap_or_else(PoisonError::into_inner)
}
