//! Services of this entry, each with its engine, its upstreams and its jobs in progress.

use std::sync::Arc;

use kingcup_dispatch::{
    engine::{Engine, Settings},
    id, job,
    route::Upstream,
};
use rustc_hash::FxHashMap;
use slotmap::SecondaryMap;

use super::{sidecars, waiter::Waiter};

/// Maximum size of the payloads and answers of one service's jobs in progress, in bytes.
const MAX_SERVICE_BYTES: usize = 256 << 20;
/// Maximum number of services at one entry.
const MAX_SERVICES: usize = 256;
/// Maximum number of callers that wait for the answer to one job.
const MAX_WAITERS: usize = 16;

/// Identifies a service in the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Id(pub(super) usize);

/// Name under which a submission is recorded in the ledger.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Name {
    /// Job ID.
    Job(id::Job),
    /// Idempotency key, prefixed with the name of its service.
    Key(String),
    /// Number of a submission with neither job ID nor idempotency key, which is not recorded.
    Plain(u64),
}

/// A job in progress.
pub struct Running {
    /// Name of the submission in the ledger.
    pub name: Name,
    /// Name of the job in logs and messages to upstreams and callers.
    pub label: Arc<str>,
    /// Name of the kind of work.
    pub kind: Arc<str>,
    /// Time of acceptance, in microseconds.
    pub accepted_us: u64,
    /// True once the first of its tasks has been dispatched; its waiting time has been recorded
    /// then.
    pub started: bool,
    /// True if the caller's own deadline has passed.
    pub expired: bool,
    /// Recipients of the answer.
    pub waiters: Vec<Waiter>,
}

/// A service and its work at this entry.
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Dispatching engine.
    pub engine: Engine,
    /// Sidecars of the engine's upstreams.
    pub upstreams: SecondaryMap<Upstream, sidecars::Key>,
    /// Jobs in progress.
    pub running: SecondaryMap<job::Key, Running>,
}

/// Identifies a job in progress by its service and its key in the service's engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Handle {
    /// Service of the job.
    pub service: Id,
    /// Key in the engine.
    pub job: job::Key,
}

/// Table of the services and of their recorded jobs in progress.
#[derive(Default)]
pub struct Table {
    rows: Vec<Service>,
    names: FxHashMap<String, Id>,
    /// Recorded jobs in progress, by the name of their submission.
    recorded: FxHashMap<Name, Handle>,
}

impl Running {
    /// Adds a recipient of the answer. Returns it if there are too many already.
    pub fn attach(&mut self, waiter: Waiter) -> Option<Waiter> {
        if self.waiters.len() >= MAX_WAITERS {
            return Some(waiter);
        }
        self.waiters.push(waiter);
        None
    }
}

impl Table {
    /// Returns the service of this name.
    pub fn find(&self, name: &str) -> Option<Id> {
        self.names.get(name).copied()
    }

    /// Returns the service of this name, and adds it without a document if it is missing. Returns
    /// `None` if there are too many.
    pub fn ensure(&mut self, name: &str, zone: &str, seed: u64) -> Option<Id> {
        if let Some(id) = self.find(name) {
            return Some(id);
        }
        if self.rows.len() >= MAX_SERVICES {
            return None;
        }
        let settings = Settings { zone: zone.to_owned(), max_bytes: MAX_SERVICE_BYTES };
        let id = Id(self.rows.len());
        self.rows.push(Service {
            name: name.to_owned(),
            engine: Engine::open(settings, seed),
            upstreams: SecondaryMap::new(),
            running: SecondaryMap::new(),
        });
        self.names.insert(name.to_owned(), id);
        Some(id)
    }

    /// Returns a service.
    pub fn get(&self, id: Id) -> &Service {
        &self.rows[id.0]
    }

    /// Returns a service for modification.
    pub fn get_mut(&mut self, id: Id) -> &mut Service {
        &mut self.rows[id.0]
    }

    /// Iterates over the identifiers of all services.
    pub fn ids(&self) -> impl Iterator<Item = Id> {
        (0..self.rows.len()).map(Id)
    }

    /// Iterates over all services.
    pub fn iter(&self) -> impl Iterator<Item = &Service> {
        self.rows.iter()
    }

    /// Adds a job in progress.
    pub fn insert(&mut self, handle: Handle, running: Running) {
        if !matches!(running.name, Name::Plain(_)) {
            self.recorded.insert(running.name.clone(), handle);
        }
        self.get_mut(handle.service).running.insert(handle.job, running);
    }

    /// Returns the job in progress that is recorded under a name.
    pub fn find_job(&self, name: &Name) -> Option<Handle> {
        self.recorded.get(name).copied()
    }

    /// Returns a job, unless it has been answered.
    pub fn running(&mut self, handle: Handle) -> Option<&mut Running> {
        self.get_mut(handle.service).running.get_mut(handle.job)
    }

    /// Removes and returns a job, in order to answer it.
    pub fn remove(&mut self, handle: Handle) -> Option<Running> {
        let running = self.get_mut(handle.service).running.remove(handle.job)?;
        self.recorded.remove(&running.name);
        Some(running)
    }

    /// Returns the number of jobs in progress.
    pub fn job_count(&self) -> usize {
        self.rows.iter().map(|service| service.running.len()).sum()
    }
}
