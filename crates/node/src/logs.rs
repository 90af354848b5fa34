//! Log set-up: one key=value line for each event, to standard output.
//!
//! Lines are collected and written by a thread of their own, so that the event loop makes no system
//! call for a line. A process that is killed loses the lines of the last `WRITE_INTERVAL`.

use std::{
    io::{self, Write},
    mem,
    sync::{Arc, Condvar, Mutex, OnceLock, PoisonError},
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use env_logger::{fmt::Formatter, Builder, Env, Target};

/// Level when `KINGCUP_LOG` is not set.
const DEFAULT_LEVEL: &str = "info";
/// Time between two writes.
const WRITE_INTERVAL: Duration = Duration::from_millis(10);
/// Lines that are not written yet, in bytes; further ones are dropped and counted.
const UNWRITTEN_BYTES: usize = 4 << 20;

/// Lines that are not written yet.
#[derive(Debug, Default)]
struct Pending {
    lines: Vec<u8>,
    dropped: u64,
    writing: bool,
}

#[derive(Debug, Default)]
struct Shared {
    pending: Mutex<Pending>,
    added: Condvar,
    written: Condvar,
}

/// Where the logger puts its lines.
struct Pipe(Arc<Shared>);

static SHARED: OnceLock<Arc<Shared>> = OnceLock::new();

impl Write for Pipe {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut pending = self.0.pending.lock().unwrap_or_else(PoisonError::into_inner);
        if pending.lines.len() + line.len() > UNWRITTEN_BYTES {
            pending.dropped += 1;
        } else {
            pending.lines.extend_from_slice(line);
        }
        if pending.lines.len() == line.len() {
            self.0.added.notify_one();
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Shared {
    fn wait_for_lines(&self) {
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        while pending.lines.is_empty() {
            pending = self.added.wait(pending).unwrap_or_else(PoisonError::into_inner);
        }
    }

    fn write_out(&self, spare: &mut Vec<u8>) {
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        mem::swap(&mut pending.lines, spare);
        let dropped = mem::take(&mut pending.dropped);
        pending.writing = true;
        drop(pending);
        let mut out = io::stdout().lock();
        // Nobody is left to tell of an error.
        let _ = out.write_all(spare);
        if dropped > 0 {
            let _ = writeln!(out, "level=warn event=log_lines_dropped count={dropped}");
        }
        spare.clear();
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        pending.writing = false;
        self.written.notify_all();
    }
}

/// Installs the logger. `KINGCUP_LOG` sets levels by module, as in `warn,kingcup_node::entry=info`.
pub fn open(process: &str) {
    let shared = SHARED.get_or_init(Arc::default).clone();
    let process = process.to_owned();
    let env = Env::new().filter_or("KINGCUP_LOG", DEFAULT_LEVEL);
    let format = move |out: &mut Formatter, record: &log::Record<'_>| {
        let micros =
            SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros());
        let level = match record.level() {
            log::Level::Error => "error",
            log::Level::Warn => "warn",
            log::Level::Info => "info",
            log::Level::Debug => "debug",
            log::Level::Trace => "trace",
        };
        writeln!(
            out,
            "time_us={micros} level={level} process={process} module={} {}",
            record.target(),
            record.args()
        )
    };
    let target = Target::Pipe(Box::new(Pipe(shared.clone())));
    // A second logger in one process, as in tests, keeps the first.
    if Builder::from_env(env).format(format).target(target).try_init().is_err() {
        return;
    }
    let writer = thread::Builder::new().name("log-writer".into());
    let run = move || {
        let mut spare = Vec::new();
        loop {
            shared.wait_for_lines();
            thread::park_timeout(WRITE_INTERVAL);
            shared.write_out(&mut spare);
        }
    };
    if let Err(error) = writer.spawn(run) {
        eprintln!("log writer: {error}");
    }
}

/// Writes out all lines; called before the process ends.
pub fn flush() {
    let Some(shared) = SHARED.get() else { return };
    shared.write_out(&mut Vec::new());
    let mut pending = shared.pending.lock().unwrap_or_else(PoisonError::into_inner);
    while pending.writing {
        pending = shared.written.wait(pending).unwrap_or_else(PoisonError::into_inner);
    }
}
