//! Events of a world, and its processes.

use std::collections::HashMap;

use kingcup_dispatch::{
    plan::{self, Job, Planner},
    worker::{self, run, End, Entry, Order, Profile, Reply, Start, Supervisor},
};

use super::{Fault, Process};
use crate::runs::upstream::{Name, Upstream};

pub(super) enum ToSidecar {
    Renew(u64),
    Waiting(bool),
    Start(Start),
    Stop(u64),
}

pub(super) enum ToEntry {
    Grant(worker::Grant),
    Ended(End),
    Refused(u64),
    Progress(Vec<worker::Progress>),
    Profile(Profile),
}

pub(super) enum Event {
    /// Entry, arrival, and whether it is submitted again.
    Arrive(usize, usize, bool),
    Sidecar(usize, usize, ToSidecar),
    Entry(usize, usize, ToEntry),
    Order(usize, run::Key, Order, bool),
    Reply(usize, run::Key, Order, Reply, u64),
    Look(usize, u64, Option<u64>, u64, u64, u64),
    LookEnd(usize, u64),
    LookReply(usize, u64, Result<worker::Listing, (Reply, Option<u64>)>),
    /// Sidecar, incarnation of its upstream, and the run that ends there.
    TaskEnd(usize, u64, Name),
    /// An incarnation of an upstream reports to its sidecar.
    Report(usize, u64),
    Lease(usize),
    Tick(Process),
    Fault(Fault),
}

pub(super) struct Queued {
    pub(super) at_us: u64,
    pub(super) serial: u64,
    pub(super) event: Event,
}

impl PartialEq for Queued {
    fn eq(&self, other: &Self) -> bool {
        self.serial == other.serial
    }
}

impl Eq for Queued {}

impl PartialOrd for Queued {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Queued {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at_us, self.serial).cmp(&(other.at_us, other.serial))
    }
}

pub(super) struct EntryNode {
    pub(super) planner: Planner,
    pub(super) workers: Vec<Option<plan::Worker>>,
    pub(super) jobs: HashMap<Job, usize>,
    pub(super) grants: Vec<u64>,
    pub(super) renewed_us: Vec<u64>,
    pub(super) announced_waiting: bool,
    pub(super) frozen_until_us: u64,
}

pub(super) struct SidecarNode {
    pub(super) supervisor: Supervisor,
    pub(super) entries: Vec<Option<Entry>>,
    pub(super) upstream: Upstream,
    /// Number of reports of the upstream.
    pub(super) reports: u64,
    /// The look that waits at the upstream: its number and the time until which it waits.
    pub(super) waiting: Option<(u64, u64)>,
    pub(super) look: u64,
    pub(super) frozen_until_us: u64,
}
