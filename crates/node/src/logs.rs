//! Log set-up: one key=value line for each event, to standard error.

use std::io::Write;

use env_logger::{Builder, Env};

/// Level when `KINGCUP_LOG` is not set.
const DEFAULT_LEVEL: &str = "info";

/// Installs the logger. `KINGCUP_LOG` sets levels by module, as in `warn,kingcup_node::entry=info`.
pub fn open(process: &str) {
    let process = process.to_owned();
    let env = Env::new().filter_or("KINGCUP_LOG", DEFAULT_LEVEL);
    let format = move |out: &mut env_logger::fmt::Formatter, record: &log::Record<'_>| {
        let micros = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .map_or(0, |since| since.as_micros());
        let level = record.level().as_str().to_ascii_lowercase();
        writeln!(
            out,
            "time_us={micros} level={level} process={process} module={} {}",
            record.target(),
            record.args()
        )
    };
    // A second logger in one process, as in tests, keeps the first.
    let _ = Builder::from_env(env).format(format).try_init();
}
