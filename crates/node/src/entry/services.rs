//! Services at this entry: the engine of each, its upstreams and its jobs in progress.

use std::sync::Arc;

use kingcup_dispatch::{
    engine::{Engine, Settings},
    id, job,
    route::Upstream,
};
use rustc_hash::FxHashMap;
use slotmap::SecondaryMap;

use super::{sidecars, waiter::Waiter};

/// Most bytes of payloads and answers of one service's jobs in progress.
const SERVICE_BYTES: usize = 256 << 20;
/// Services that one entry serves.
const SERVICES: usize = 256;
/// Callers that wait for the answer of one job.
const WAITERS: usize = 16;

/// Names a service in its table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Id(pub(super) usize);

/// Name under which a submission is recorded in the ledger.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Name {
    /// Job ID.
    Job(id::Job),
    /// Idempotency key, after the service's name.
    Key(String),
    /// Number of a plain submission, which is not recorded.
    Plain(u64),
}

/// A job in progress.
pub struct Running {
    /// Its name in the ledger.
    pub name: Name,
    /// Its name for logs, upstreams and callers.
    pub label: Arc<str>,
    /// Kind of work.
    pub kind: Arc<str>,
    /// When it was accepted, in microseconds.
    pub accepted_us: u64,
    /// A task of it was sent to a sidecar.
    pub started: bool,
    /// Its own deadline has passed.
    pub expired: bool,
    /// Who waits for its answer.
    pub waiters: Vec<Waiter>,
}

/// A service.
pub struct Service {
    /// Name.
    pub name: String,
    /// Decisions.
    pub engine: Engine,
    /// Sidecar of each upstream.
    pub upstreams: SecondaryMap<Upstream, sidecars::Key>,
    /// Jobs in progress.
    pub running: SecondaryMap<job::Key, Running>,
}

/// A job in progress and its service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Handle {
    /// Service.
    pub service: Id,
    /// Job.
    pub job: job::Key,
}

/// All services.
#[derive(Default)]
pub struct Table {
    rows: Vec<Service>,
    names: FxHashMap<String, Id>,
    /// Recorded jobs in progress.
    places: FxHashMap<Name, Handle>,
}

impl Running {
    /// Adds a caller. Gives it back if too many wait already.
    pub fn attach(&mut self, waiter: Waiter) -> Option<Waiter> {
        if self.waiters.len() >= WAITERS {
            return Some(waiter);
        }
        self.waiters.push(waiter);
        None
    }
}

impl Table {
    /// Finds a service.
    pub fn find(&self, name: &str) -> Option<Id> {
        self.names.get(name).copied()
    }

    /// Finds a service or makes one without document. `None` if there are too many.
    pub fn ensure(&mut self, name: &str, zone: &str, seed: u64) -> Option<Id> {
        if let Some(id) = self.find(name) {
            return Some(id);
        }
        if self.rows.len() >= SERVICES {
            return None;
        }
        let settings = Settings { zone: zone.to_owned(), max_bytes: SERVICE_BYTES };
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

    /// The service.
    pub fn get(&self, id: Id) -> &Service {
        &self.rows[id.0]
    }

    /// The service.
    pub fn get_mut(&mut self, id: Id) -> &mut Service {
        &mut self.rows[id.0]
    }

    /// All services.
    pub fn ids(&self) -> impl Iterator<Item = Id> {
        (0..self.rows.len()).map(Id)
    }

    /// All services.
    pub fn iter(&self) -> impl Iterator<Item = &Service> {
        self.rows.iter()
    }

    /// Records a job in progress.
    pub fn insert(&mut self, place: Handle, running: Running) {
        if !matches!(running.name, Name::Plain(_)) {
            self.places.insert(running.name.clone(), place);
        }
        self.get_mut(place.service).running.insert(place.job, running);
    }

    /// Finds a recorded job in progress.
    pub fn find_job(&self, name: &Name) -> Option<Handle> {
        self.places.get(name).copied()
    }

    /// The job, if it has not been answered.
    pub fn running(&mut self, place: Handle) -> Option<&mut Running> {
        self.get_mut(place.service).running.get_mut(place.job)
    }

    /// Takes a job out once it is answered.
    pub fn remove(&mut self, place: Handle) -> Option<Running> {
        let running = self.get_mut(place.service).running.remove(place.job)?;
        self.places.remove(&running.name);
        Some(running)
    }

    /// Jobs without answer.
    pub fn job_count(&self) -> usize {
        self.rows.iter().map(|service| service.running.len()).sum()
    }
}
