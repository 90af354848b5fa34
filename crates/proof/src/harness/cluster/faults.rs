//! Injects faults, and drains and stops processes.

use kingcup_standin::{
    store::{Control, Mode},
    upstream,
};

use super::Cluster;
use crate::{
    harness::{
        http,
        process::{exit_code, Program},
        record::Recorder,
        Fault, Result,
    },
    history::{now_us, Event},
};

impl Cluster {
    /// Kills an entry.
    pub fn kill_entry(&mut self, number: usize) {
        self.recorder.fault(format!("kill entry{number}"));
        if let Some(mut program) = self.entries[number].program.take() {
            program.kill();
        }
    }

    /// Kills a sidecar.
    pub fn kill_sidecar(&mut self, number: usize) {
        self.recorder.fault(format!("kill sidecar{number}"));
        if let Some(mut program) = self.sidecars[number].program.take() {
            program.kill();
        }
    }

    /// Pauses an entry.
    pub fn pause_entry(&self, number: usize) {
        self.recorder.fault(format!("pause entry{number}"));
        signal(self.entries[number].program.as_ref(), libc::SIGSTOP);
    }

    /// Resumes an entry.
    pub fn resume_entry(&self, number: usize) {
        self.recorder.fault(format!("resume entry{number}"));
        signal(self.entries[number].program.as_ref(), libc::SIGCONT);
    }

    /// Pauses a sidecar.
    pub fn pause_sidecar(&self, number: usize) {
        self.recorder.fault(format!("pause sidecar{number}"));
        signal(self.sidecars[number].program.as_ref(), libc::SIGSTOP);
    }

    /// Resumes a sidecar.
    pub fn resume_sidecar(&self, number: usize) {
        self.recorder.fault(format!("resume sidecar{number}"));
        signal(self.sidecars[number].program.as_ref(), libc::SIGCONT);
    }

    /// Asks an entry to stop with `SIGTERM` and waits until it has ended.
    ///
    /// # Errors
    ///
    /// `Timeout`.
    pub fn stop_entry(&mut self, number: usize) -> Result<()> {
        let entry = &mut self.entries[number];
        let process = entry.settings.name.clone();
        stop(&self.recorder, entry.program.take(), process, None)
    }

    /// Asks a sidecar to stop with `SIGTERM` and waits until it has ended.
    ///
    /// # Errors
    ///
    /// `Timeout`.
    pub fn stop_sidecar(&mut self, number: usize) -> Result<()> {
        let sidecar = &mut self.sidecars[number];
        let process = sidecar.settings.name.clone();
        let upstream = sidecar.upstream_name.clone();
        let leaving = Event::Leaving { at_us: now_us(), upstream: upstream.clone() };
        self.recorder.add(leaving);
        stop(&self.recorder, sidecar.program.take(), process, Some(upstream))
    }

    /// Makes the store refuse calls or leave them unanswered until `store_up`.
    pub fn store_down(&self, mode: Mode) {
        self.recorder.add(Event::StoreDown { at_us: now_us() });
        self.store.control(&Control { mode: Some(mode), ..Control::default() });
    }

    /// Makes the store answer again.
    pub fn store_up(&self) {
        self.store.control(&Control { mode: Some(Mode::Up), ..Control::default() });
        self.recorder.add(Event::StoreUp { at_us: now_us() });
    }

    /// Makes a sidecar drain, so that it accepts no new work, without stopping it.
    ///
    /// # Errors
    ///
    /// If the sidecar does not accept the request.
    pub fn drain_sidecar(&self, number: usize) -> Result<()> {
        let sidecar = &self.sidecars[number];
        let name = &sidecar.settings.name;
        let unexpected = |what: String| Fault::Unexpected(format!("drain of {name}: {what}"));
        let reply = http::post(&self.agent, sidecar.settings.admin, "/drain", &[], b"");
        let reply = reply.map_err(|error| unexpected(error.to_string()))?;
        if !(200..300).contains(&reply.status) {
            return Err(unexpected(format!("status {}", reply.status)));
        }
        let upstream = sidecar.upstream_name.clone();
        self.recorder.add(Event::Leaving { at_us: now_us(), upstream });
        Ok(())
    }

    /// Changes the behaviour of an upstream stand-in.
    ///
    /// # Errors
    ///
    /// If the stand-in does not accept the change.
    pub fn control_upstream(&self, number: usize, change: &upstream::Control) -> Result<()> {
        let sidecar = &self.sidecars[number];
        self.recorder.fault(format!("{}: {change:?}", sidecar.upstream_name));
        let unexpected =
            |what: String| Fault::Unexpected(format!("{}: {what}", sidecar.upstream_name));
        let body = serde_json::to_vec(change).map_err(|error| unexpected(error.to_string()))?;
        let address = sidecar.settings.upstream;
        match http::post(&self.agent, address, "/control", &[], &body) {
            Ok(reply) if reply.status == 200 => Ok(()),
            Ok(reply) => Err(unexpected(format!("status {}", reply.status))),
            Err(error) => Err(unexpected(error.to_string())),
        }
    }
}

fn signal(program: Option<&Program>, signal: i32) {
    if let Some(program) = program {
        program.signal(signal);
    }
}

/// Stops a program with `SIGTERM` and records the request and the exit.
fn stop(
    recorder: &Recorder,
    program: Option<Program>,
    process: String,
    upstream: Option<String>,
) -> Result<()> {
    let Some(mut program) = program else { return Ok(()) };
    println!("{} stop {process}", now_us());
    recorder.add(Event::Stopping { at_us: now_us(), process: process.clone(), upstream });
    program.signal(libc::SIGTERM);
    let status = program.wait_end()?;
    recorder.add(Event::Stopped { at_us: now_us(), process, exit_code: exit_code(status) });
    Ok(())
}
