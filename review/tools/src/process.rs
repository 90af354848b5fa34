//! Processes of a case. Each is killed when its handle is dropped or the case ends.

use std::{
    fs::File,
    io::{BufRead, BufReader},
    os::unix::process::CommandExt,
    path::Path,
    process::{Child, Command, Stdio},
    thread,
};

use crate::record::Record;

extern "C" {
    fn prctl(option: i32, value: u64, a: u64, b: u64, c: u64) -> i32;
}

/// `PR_SET_PDEATHSIG`: the kernel sends this signal when the thread that started the process ends.
const PARENT_DEATH_SIGNAL: i32 = 1;
const SIGKILL: u64 = 9;

/// A process that the case started.
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a daemon and appends its output to a file.
    pub fn daemon(program: &Path, arguments: &[&str], log: &Path) -> std::io::Result<Self> {
        let file = File::options().create(true).append(true).open(log)?;
        let errors = file.try_clone()?;
        let child = command(program, arguments).stdout(file).stderr(errors).spawn()?;
        Ok(Self { child })
    }

    /// Starts a stand-in and copies its output to the record, each line after a prefix.
    pub fn standin(
        program: &Path,
        arguments: &[&str],
        prefix: &str,
        record: &Record,
    ) -> std::io::Result<Self> {
        let mut child = command(program, arguments).stdout(Stdio::piped()).spawn()?;
        let output = child.stdout.take();
        let (prefix, record) = (prefix.to_owned(), record.clone());
        thread::spawn(move || {
            let Some(output) = output else { return };
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                record.line(&format!("{prefix} {line}"));
            }
        });
        Ok(Self { child })
    }

    /// Sends SIGKILL and waits for the end.
    pub fn kill(&mut self) {
        // Fails if the process has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns whether the process runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

fn command(program: &Path, arguments: &[&str]) -> Command {
    let mut command = Command::new(program);
    command.args(arguments).stdin(Stdio::null());
    // SAFETY: prctl is async-signal-safe, and the closure touches no memory.
    unsafe {
        command.pre_exec(|| {
            prctl(PARENT_DEATH_SIGNAL, SIGKILL, 0, 0, 0);
            Ok(())
        });
    }
    command
}
