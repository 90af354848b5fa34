//! Logger that writes one line of key=value pairs per event to standard output.
//!
//! Lines are buffered and written by a separate thread, so that the event loop makes no system call
//! to write a line. A process that is killed loses the lines of the last `WRITE_INTERVAL`.

use std::{
    io::{self, Write},
    mem,
    sync::{Arc, Condvar, Mutex, OnceLock, PoisonError},
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use env_logger::{fmt::Formatter, Builder, Env, Target};

/// Log level if `KINGCUP_LOG` is not set.
const DEFAULT_LEVEL: &str = "info";
/// Time between two writes.
const WRITE_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum size of the buffer, in bytes. Lines that do not fit are dropped and counted.
const MAX_BUFFER_BYTES: usize = 4 << 20;

/// Lines that are not written yet.
#[derive(Debug, Default)]
struct Buffer {
    lines: Vec<u8>,
    dropped: u64,
    writing: bool,
}

#[derive(Debug, Default)]
struct Shared {
    buffer: Mutex<Buffer>,
    added: Condvar,
    written: Condvar,
}

/// Adapter through which the logger adds lines to the buffer.
struct Sink(Arc<Shared>);

static SHARED: OnceLock<Arc<Shared>> = OnceLock::new();

impl Write for Sink {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut buffer = self.0.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        if buffer.lines.len() + line.len() > MAX_BUFFER_BYTES {
            buffer.dropped += 1;
        } else {
            buffer.lines.extend_from_slice(line);
        }
        if buffer.lines.len() == line.len() {
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
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        while buffer.lines.is_empty() {
            buffer = self.added.wait(buffer).unwrap_or_else(PoisonError::into_inner);
        }
    }

    /// Writes all buffered lines to standard output. `spare` becomes the new buffer.
    fn write_out(&self, spare: &mut Vec<u8>) {
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        mem::swap(&mut buffer.lines, spare);
        let dropped = mem::take(&mut buffer.dropped);
        buffer.writing = true;
        drop(buffer);
        let mut out = io::stdout().lock();
        // An error here cannot be logged anywhere.
        let _ = out.write_all(spare);
        if dropped > 0 {
            let _ = writeln!(out, "level=warn event=log_lines_dropped count={dropped}");
        }
        spare.clear();
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        buffer.writing = false;
        self.written.notify_all();
    }
}

/// Installs the logger. The variable `KINGCUP_LOG` sets the log level by module, for example
/// `warn,kingcup_node::entry=info`.
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
    let target = Target::Pipe(Box::new(Sink(shared.clone())));
    // If a logger is installed already, as in tests, it stays in use.
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

/// Writes all buffered lines. Must be called before the process exits.
pub fn flush() {
    let Some(shared) = SHARED.get() else { return };
    shared.write_out(&mut Vec::new());
    let mut buffer = shared.buffer.lock().unwrap_or_else(PoisonError::into_inner);
    while buffer.writing {
        buffer = shared.written.wait(buffer).unwrap_or_else(PoisonError::into_inner);
    }
}
