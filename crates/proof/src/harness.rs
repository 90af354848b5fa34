//! Runs the real programs and records what callers, upstreams and operators observe.

pub mod caller;
pub mod chaos;
pub mod cluster;
pub mod http;
pub mod noise;
pub mod port;
pub mod process;
pub mod record;
pub mod settings;
pub mod workload;

use std::{env, time::Duration};

/// Timeout of every wait for an expected event, long enough for a heavily loaded machine.
pub const TIMEOUT: Duration = Duration::from_secs(40);
/// Interval between two checks of a state that sends no notification when it changes.
pub const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Environment variable that sets the seed of a test.
const SEED: &str = "KINGCUP_SEED";

/// An error of the harness or of a program that it waits for.
#[derive(Debug, displaydoc::Display)]
pub enum Fault {
    /// {0}: {1}
    Io(String, std::io::Error),
    /// timed out waiting for {0}
    Timeout(String),
    /// {0}
    Unexpected(String),
}

impl std::error::Error for Fault {}

/// Result of a harness call.
pub type Result<T> = std::result::Result<T, Fault>;

/// Returns the seed of a test, from the environment variable `KINGCUP_SEED` or random, and prints
/// it.
pub fn seed() -> u64 {
    let configured = env::var(SEED).ok().and_then(|text| text.parse().ok());
    let seed = configured.unwrap_or_else(|| fastrand::u64(..));
    println!("{SEED}={seed}");
    seed
}

/// Calls `probe` every `POLL_INTERVAL` until it returns a value, and returns that value.
///
/// # Errors
///
/// `Timeout` after `TIMEOUT`.
pub fn until<T>(what: &str, mut probe: impl FnMut() -> Option<T>) -> Result<T> {
    let end = std::time::Instant::now() + TIMEOUT;
    loop {
        if let Some(value) = probe() {
            return Ok(value);
        }
        if std::time::Instant::now() > end {
            return Err(Fault::Timeout(what.to_owned()));
        }
        std::thread::park_timeout(POLL_INTERVAL);
    }
}
