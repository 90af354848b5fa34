//! Allocates free ports for the programs.

use std::{
    collections::BTreeSet,
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    sync::{Mutex, MutexGuard, PoisonError},
};

use super::{Fault, Result};

/// Ports to allocate. They lie below the kernel's range for outgoing connections, so that no
/// connection can occupy the port of a program while the program is down.
const PORTS: std::ops::Range<u16> = 10_000..32_000;
/// Number of random ports that `find` tries.
const ATTEMPTS: usize = 1_000;

/// Ports that `find` has returned.
static ALLOCATED: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());

/// Returns a loopback address whose port is free for TCP and UDP and was not returned before.
///
/// # Errors
///
/// If none of `ATTEMPTS` random ports is free.
pub fn find() -> Result<SocketAddr> {
    let mut allocated = lock();
    for _ in 0..ATTEMPTS {
        let port = fastrand::u16(PORTS);
        // Even a brief bind of an allocated port could make its program's own bind fail.
        if allocated.contains(&port) {
            continue;
        }
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        let free = TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok();
        if free && allocated.insert(port) {
            return Ok(address);
        }
    }
    Err(Fault::Unexpected("no free port".to_owned()))
}

/// Starts a program while `find` checks no port. Between `fork` and `exec` a child holds copies of
/// all descriptors, so a listener opened by a check would stay open after `find` has returned the
/// port.
pub(super) fn without_port_checks<T>(start: impl FnOnce() -> T) -> T {
    let _guard = lock();
    start()
}

fn lock() -> MutexGuard<'static, BTreeSet<u16>> {
    ALLOCATED.lock().unwrap_or_else(PoisonError::into_inner)
}
