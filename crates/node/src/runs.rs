//! Daemons for jobs whose response is their result: an entry and a sidecar that exchange runs under
//! leases. The formats that callers, upstreams and the store use are plugged in through `protocol`.

pub mod document;
pub mod entry;
pub mod evacuation;
mod input;
pub mod mesh;
pub mod metrics;
pub mod protocol;
pub mod refusal;
pub mod settings;
pub mod sidecar;
mod translate;

use rustix::time::{clock_gettime, ClockId};

use crate::reactor;

/// Signals that the daemons handle: two that stop them and one that reloads the settings.
const SIGNALS: [i32; 3] = [reactor::SIGTERM, reactor::SIGINT, reactor::SIGHUP];

/// Returns the time in microseconds on a monotonic clock that keeps counting while the VM is
/// suspended.
pub fn now_us() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1000
}
