//! Starts and watches a program.

use std::{
    collections::VecDeque,
    env,
    fs::File,
    io::{BufRead, BufReader, Read, Write},
    os::unix::process::{CommandExt, ExitStatusExt},
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    sync::{Arc, Condvar, Mutex, PoisonError},
    thread,
    time::Instant,
};

use super::{port, Fault, Result, TIMEOUT};

/// Number of output lines kept for `wait_line`; the log file holds all of them.
const MAX_LINES: usize = 20_000;
/// Number of final log lines shown in an error.
const TAIL_LINES: usize = 15;

#[derive(Debug, Default)]
struct Output {
    lines: VecDeque<String>,
    ended: bool,
}

#[derive(Debug, Default)]
struct Shared {
    output: Mutex<Output>,
    changed: Condvar,
}

/// A program that the harness started. Dropping it kills it.
#[derive(Debug)]
pub struct Program {
    name: String,
    child: Child,
    shared: Arc<Shared>,
    log: PathBuf,
    status: Option<ExitStatus>,
}

/// Environment variable that names the folder of the daemons, to test another build of them.
const DAEMONS: &str = "KINGCUP_DAEMONS";

/// Returns the path of a built binary. Searches the folder of the running executable and its
/// parents up to `target`. If `KINGCUP_DAEMONS` is set, daemons are taken from the folder it names.
///
/// # Errors
///
/// If the binary was not built.
pub fn binary(name: &str) -> Result<PathBuf> {
    let is_daemon = matches!(name, "kingcup-entry" | "kingcup-sidecar");
    if let Some(folder) = env::var_os(DAEMONS).filter(|_| is_daemon) {
        return Ok(PathBuf::from(folder).join(name));
    }
    let own = env::current_exe().map_err(|error| Fault::Io("test executable".into(), error))?;
    let mut folder = own.parent();
    while let Some(path) = folder {
        let candidate = path.join(name);
        if candidate.is_file() {
            return Ok(candidate);
        }
        if path.file_name().is_some_and(|name| name == "target") {
            break;
        }
        folder = path.parent();
    }
    let what = format!("{name} is not built; run `cargo build --workspace --bins` first");
    Err(Fault::Unexpected(what))
}

/// Starts a binary and appends its output to `<name>.log` in `folder`.
///
/// # Errors
///
/// If the binary was not built or cannot be started.
pub fn spawn(
    binary_name: &str,
    name: &str,
    arguments: &[String],
    folder: &Path,
) -> Result<Program> {
    let fault = |error| Fault::Io(name.to_owned(), error);
    let mut command = Command::new(binary(binary_name)?);
    command.args(arguments).stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
    // SAFETY: prctl is async-signal-safe, and the closure touches no memory.
    unsafe {
        command.pre_exec(|| {
            // The kernel kills the program when the thread that started it ends, so that a killed
            // test leaves no programs behind.
            libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL);
            Ok(())
        });
    }
    let mut child = port::without_port_checks(|| command.spawn()).map_err(fault)?;
    let log = folder.join(format!("{name}.log"));
    let file = File::options().create(true).append(true).open(&log).map_err(fault)?;
    let shared = Arc::new(Shared::default());
    if let Some(pipe) = child.stdout.take() {
        copy_output(pipe, file.try_clone().map_err(fault)?, Arc::clone(&shared));
    }
    if let Some(pipe) = child.stderr.take() {
        copy_output(pipe, file, Arc::clone(&shared));
    }
    watch_exit(child.id(), Arc::clone(&shared));
    Ok(Program { name: name.to_owned(), child, shared, log, status: None })
}

/// Copies a pipe to the log file and to `shared`, on a thread of its own.
fn copy_output(pipe: impl Read + Send + 'static, mut file: File, shared: Arc<Shared>) {
    thread::spawn(move || {
        for line in BufReader::new(pipe).lines() {
            let Ok(line) = line else { return };
            let _ = writeln!(file, "{line}");
            let mut output = shared.output.lock().unwrap_or_else(PoisonError::into_inner);
            if output.lines.len() == MAX_LINES {
                output.lines.pop_front();
            }
            output.lines.push_back(line);
            drop(output);
            shared.changed.notify_all();
        }
    });
}

/// Records the exit of the process without collecting its status. The owner collects it, so that
/// the process ID stays valid for signals until then.
fn watch_exit(pid: u32, shared: Arc<Shared>) {
    thread::spawn(move || {
        // SAFETY: `siginfo_t` may be all zeros, and the pointer to it is valid during the call.
        unsafe {
            let mut info: libc::siginfo_t = std::mem::zeroed();
            libc::waitid(libc::P_PID, pid, &raw mut info, libc::WEXITED | libc::WNOWAIT);
        }
        shared.output.lock().unwrap_or_else(PoisonError::into_inner).ended = true;
        shared.changed.notify_all();
    });
}

impl Program {
    /// Returns the name of the program in the deployment.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the process ID.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, unless the exit status was already collected.
    pub fn signal(&self, signal: i32) {
        if self.status.is_none() {
            // SAFETY: the exit status was not collected yet, so the ID still belongs to the child.
            unsafe { libc::kill(self.child.id() as i32, signal) };
        }
    }

    /// Waits for an output line that contains the text and returns the part of the line after it.
    ///
    /// # Errors
    ///
    /// If the program ends or the line does not appear in time.
    pub fn wait_line(&self, text: &str) -> Result<String> {
        let find = |output: &Output| {
            let mut lines = output.lines.iter();
            lines.find_map(|line| line.split_once(text).map(|(_, rest)| rest.to_owned()))
        };
        let found = self.wait(|output| find(output).map(Some).or(output.ended.then_some(None)));
        match found {
            Some(Some(rest)) => Ok(rest),
            Some(None) => Err(Fault::Unexpected(format!("{} ended:\n{}", self.name, self.tail()))),
            None => Err(Fault::Timeout(format!("{text:?} from {}:\n{}", self.name, self.tail()))),
        }
    }

    /// Waits until the program has ended and returns its exit status.
    ///
    /// # Errors
    ///
    /// `Timeout`.
    pub fn wait_end(&mut self) -> Result<ExitStatus> {
        if let Some(status) = self.status {
            return Ok(status);
        }
        if self.wait(|output| output.ended.then_some(())).is_none() {
            return Err(Fault::Timeout(format!("end of {}:\n{}", self.name, self.tail())));
        }
        let status = self.child.wait().map_err(|error| Fault::Io(self.name.clone(), error))?;
        self.status = Some(status);
        Ok(status)
    }

    /// Kills the program and waits for its end.
    pub fn kill(&mut self) {
        self.signal(libc::SIGKILL);
        if self.status.is_none() {
            self.status = self.child.wait().ok();
        }
    }

    /// Returns true if the program has not ended.
    pub fn is_running(&self) -> bool {
        // After `kill` the status is set, though the watching thread may not have seen the end yet.
        self.status.is_none()
            && !self.shared.output.lock().unwrap_or_else(PoisonError::into_inner).ended
    }

    /// Returns the final lines of the log.
    pub fn tail(&self) -> String {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<_> = text.lines().collect();
        lines[lines.len().saturating_sub(TAIL_LINES)..].join("\n")
    }

    /// Calls `probe` at each change of the output until it returns a value; `None` on a timeout.
    fn wait<T>(&self, mut probe: impl FnMut(&Output) -> Option<T>) -> Option<T> {
        let end = Instant::now() + TIMEOUT;
        let mut output = self.shared.output.lock().unwrap_or_else(PoisonError::into_inner);
        loop {
            if let Some(value) = probe(&output) {
                return Some(value);
            }
            let left = end.checked_duration_since(Instant::now())?;
            let waited = self.shared.changed.wait_timeout(output, left);
            output = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the exit code, or `None` if a signal ended the program.
pub fn exit_code(status: ExitStatus) -> Option<i32> {
    match status.signal() {
        Some(_) => None,
        None => status.code(),
    }
}
