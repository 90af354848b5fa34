//! Reads the state that the programs and upstreams report, and waits for changes of it.

use std::net::SocketAddr;

use kingcup_tools::load::metrics;
use serde::Deserialize;

use super::{Cluster, Start, SERVICE};
use crate::{
    harness::{http, until, Fault, Result},
    history::{now_us, Event},
};

#[derive(Debug, Deserialize)]
struct Status {
    revisions: std::collections::BTreeMap<String, u64>,
}

#[derive(Debug, Deserialize)]
struct Starts {
    starts: Vec<Start>,
}

impl Cluster {
    /// Records which revision each running process has in effect and returns the lowest. A process
    /// that does not answer counts as revision 0 in the result and is not recorded.
    pub fn observe(&self) -> u64 {
        let entries = self.entries.iter().filter(|entry| entry.program.is_some());
        let sidecars = self.sidecars.iter().filter(|sidecar| sidecar.program.is_some());
        let entries = entries.map(|entry| (&entry.settings.name, entry.settings.admin));
        let sidecars = sidecars.map(|sidecar| (&sidecar.settings.name, sidecar.settings.admin));
        let revisions = entries.chain(sidecars).map(|(name, admin)| self.observe_at(name, admin));
        revisions.min().unwrap_or(0)
    }

    fn observe_at(&self, name: &str, admin: SocketAddr) -> u64 {
        let asked_us = now_us();
        let Ok(reply) = http::get(&self.agent, admin, "/status") else { return 0 };
        let Ok(status) = serde_json::from_slice::<Status>(&reply.body) else { return 0 };
        let revision = status.revisions.get(SERVICE).copied().unwrap_or(0);
        let (process, service) = (name.to_owned(), SERVICE.to_owned());
        let at_us = now_us();
        self.recorder.add(Event::Observed { asked_us, at_us, process, service, revision });
        revision
    }

    /// Waits until all running processes have at least this revision in effect.
    ///
    /// # Errors
    ///
    /// `Timeout`.
    pub fn wait_revision(&self, revision: u64) -> Result<()> {
        let what = format!("revision {revision} everywhere");
        until(&what, || (self.observe() >= revision).then_some(()))
    }

    /// Returns the number of messages between the processes so far, as counted by the running
    /// entries.
    ///
    /// # Errors
    ///
    /// If an entry does not answer.
    pub fn messages(&self) -> Result<f64> {
        let running = self.entries.iter().filter(|entry| entry.program.is_some());
        let admins: Vec<_> = running.map(|entry| entry.settings.admin).collect();
        let reading = metrics::read_all(&admins);
        Ok(reading.map_err(|fault| Fault::Unexpected(fault.to_string()))?.messages)
    }

    /// Returns the starts that an upstream has recorded so far.
    ///
    /// # Errors
    ///
    /// If the stand-in does not answer.
    pub fn starts(&self, number: usize) -> Result<Vec<Start>> {
        let sidecar = &self.sidecars[number];
        let name = &sidecar.upstream_name;
        let unexpected = |what: String| Fault::Unexpected(format!("starts of {name}: {what}"));
        let reply = http::get(&self.agent, sidecar.settings.upstream, "/starts");
        let reply = reply.map_err(|error| unexpected(error.to_string()))?;
        let starts: Starts =
            serde_json::from_slice(&reply.body).map_err(|error| unexpected(error.to_string()))?;
        Ok(starts.starts)
    }

    /// Returns the number of starts that all upstreams have recorded so far.
    ///
    /// # Errors
    ///
    /// If a stand-in does not answer.
    pub fn count_starts(&self) -> Result<usize> {
        let mut count = 0;
        for number in 0..self.sidecars.len() {
            count += self.starts(number)?.len();
        }
        Ok(count)
    }

    /// Waits until the upstreams have recorded at least this many starts.
    ///
    /// # Errors
    ///
    /// `Timeout`, or if a stand-in does not answer.
    pub fn wait_starts(&self, count: usize) -> Result<()> {
        until(&format!("{count} starts"), || match self.count_starts() {
            Ok(started) if started >= count => Some(Ok(())),
            Ok(_) => None,
            Err(fault) => Some(Err(fault)),
        })?
    }

    /// Waits until no task runs at any upstream.
    ///
    /// # Errors
    ///
    /// `Timeout`, or if a stand-in does not answer.
    pub fn wait_idle(&self) -> Result<()> {
        until("end of all tasks", || {
            for number in 0..self.sidecars.len() {
                match self.starts(number) {
                    Ok(starts) if starts.iter().all(|start| start.end_us.is_some()) => {}
                    Ok(_) => return None,
                    Err(fault) => return Some(Err(fault)),
                }
            }
            Some(Ok(()))
        })?
    }
}
