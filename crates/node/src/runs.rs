//! Daemons for jobs whose answer is their result: an entry and a sidecar that exchange runs under
//! leases. What callers, upstreams and the store speak comes from a protocol.

pub mod document;
pub mod entry;
mod input;
pub mod mesh;
pub mod metrics;
pub mod protocol;
pub mod settings;
pub mod sidecar;
mod translate;

use rustix::time::{clock_gettime, ClockId};

use crate::reactor;

/// Signals that the daemons handle: stop, and read the settings again.
const SIGNALS: [i32; 3] = [reactor::SIGTERM, reactor::SIGINT, reactor::SIGHUP];

/// Microseconds on a clock that also counts the time for which the VM was suspended.
pub fn now_us() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1000
}
