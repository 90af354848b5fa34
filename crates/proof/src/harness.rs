//! Runs the real programs and records what callers, upstreams and operators see.

pub mod caller;
pub mod chaos;
pub mod cluster;
pub mod http;
pub mod port;
pub mod process;
pub mod record;
pub mod settings;
pub mod workload;

use std::{env, time::Duration};

/// Limit for anything that must happen, generous for a busy machine.
pub const TIMEOUT: Duration = Duration::from_secs(40);
/// Interval between two looks at a state that cannot be waited for.
pub const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Environment variable that sets the seed of a test.
const SEED: &str = "KINGCUP_SEED";

/// What went wrong with the harness itself or with a program it waited for.
#[derive(Debug, displaydoc::Display)]
pub enum Fault {
    /// {0}: {1}
    Io(String, std::io::Error),
    /// {0} did not happen in time
    Timeout(String),
    /// {0}
    Unexpected(String),
}

impl std::error::Error for Fault {}

/// Result of a harness call.
pub type Result<T> = std::result::Result<T, Fault>;

/// Seed for a test: from the environment variable `KINGCUP_SEED`, or random. It is printed.
pub fn seed() -> u64 {
    let given = env::var(SEED).ok().and_then(|text| text.parse().ok());
    let seed = given.unwrap_or_else(|| fastrand::u64(..));
    println!("{SEED}={seed}");
    seed
}

/// Looks at a state again and again until `look` returns a value.
///
/// # Errors
///
/// `Timeout` after `TIMEOUT`.
pub fn until<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> Result<T> {
    let end = std::time::Instant::now() + TIMEOUT;
    loop {
        if let Some(value) = look() {
            return Ok(value);
        }
        if std::time::Instant::now() > end {
            return Err(Fault::Timeout(what.to_owned()));
        }
        std::thread::park_timeout(POLL_INTERVAL);
    }
}
