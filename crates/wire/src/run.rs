//! Messages about runs: starts of tasks under the lease of the entry that asked for them.
//!
//! A sidecar numbers its grants. An entry returns the newest number with each start and renewal, so
//! the sidecar alone judges, on its own clock, whether the entry was alive recently enough.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::frame::Role;

/// One message about runs, or about the processes that exchange them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message<'a> {
    /// First message of a connection, from both sides.
    #[serde(borrow)]
    Greeting(Greeting<'a>),
    /// Sidecar to entry: what its upstream VM is and whether it takes work.
    Profile(Profile<'a>),
    /// Sidecar to entry: lease and load.
    Grant(Grant),
    /// Entry to sidecar: the newest grant that arrived.
    Renew(u64),
    /// Entry to sidecar: tasks of one job to start.
    Start(Start<'a>),
    /// Entry to sidecar: end these runs, or never start them.
    Stop(Vec<u64>),
    /// Sidecar to entry: runs that ended.
    Ended(Vec<End>),
    /// Sidecar to entry: how far runs have come.
    Progress(Vec<Progress>),
    /// Sidecar to entry: starts that were not carried out and never will be.
    Refused(Vec<u64>),
    /// Sidecar to entry, after a greeting: all runs that it holds for this entry.
    Held(Vec<u64>),
    /// Newest configuration, as it was read from the store.
    Config(Config<'a>),
    /// Entry to entry: version of the configuration that the sender has.
    Version(u64),
    /// Entry to entry: asks for the configuration.
    Fetch,
    /// Addresses of entries that the sender knows.
    Peers(Vec<SocketAddr>),
}

/// First message of a connection.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Greeting<'a> {
    /// What the sender is.
    pub role: Role,
    /// Name of the sender, unique in the deployment.
    pub name: &'a str,
    /// Internal address of the sender.
    pub address: SocketAddr,
    /// Changes with every start of the sender.
    pub incarnation: u64,
    /// Rises with the connections that one incarnation of the sender opens.
    pub generation: u64,
    /// Version of the configuration that the sender has; 0 for none.
    pub config: u64,
}

/// An upstream VM.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Profile<'a> {
    /// Service whose tasks it runs.
    pub service: &'a str,
    /// Availability zone.
    pub zone: &'a str,
    /// Labels that a task may require; the rack is one of them.
    #[serde(borrow)]
    pub labels: Vec<&'a str>,
    /// Cores, in thousandths.
    pub cores: u32,
    /// Memory, in megabytes.
    pub memory_mb: u32,
    /// False while the upstream drains, leaves or is not known to be ready.
    pub accepting: bool,
}

/// Lease on runs, and load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Number; rises with each grant of one sidecar incarnation.
    pub number: u64,
    /// Highest run of the receiver that has arrived.
    pub highest_run: u64,
    /// Cores that neither runs nor waiting starts take, in thousandths; negative when more waits than
    /// fits.
    pub free_cores: i32,
    /// Memory that neither runs nor waiting starts take, in megabytes.
    pub free_memory_mb: i32,
    /// Time until room is expected for one more start, by the progress of the runs, in microseconds.
    pub available_in_us: Option<u32>,
}

/// Tasks of one job to start on one upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Start<'a> {
    /// Newest grant that the sender has.
    pub grant: u64,
    /// Job, as the caller named it.
    pub job: &'a str,
    /// What the upstream is told about the job.
    pub spec: &'a str,
    /// Step of the job.
    pub step: u16,
    /// Cores of each task, in thousandths.
    pub cores: u32,
    /// Memory of each task, in megabytes.
    pub memory_mb: u32,
    /// Rank in the sidecar's queue, less first.
    pub rank: u64,
    /// Longest wait for room, in milliseconds; then the start is refused.
    pub wait_ms: u32,
    /// Tasks.
    pub tasks: Vec<Task>,
}

/// One task to start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// Number of the run; only grows for one entry incarnation.
    pub run: u64,
    /// Index of the task in its step.
    pub index: u16,
    /// Which start of this task it is, from 1.
    pub attempt: u32,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The task is complete.
    Done,
    /// The task failed.
    Failed,
    /// It was stopped before its end.
    Stopped,
    /// The upstream was lost, or its lease ran out.
    Lost,
}

/// A run that ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// Number of the run.
    pub run: u64,
    /// How it ended.
    pub outcome: Outcome,
    /// Time from its start to its end, in microseconds.
    pub ran_us: u32,
}

/// How far a run has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Number of the run.
    pub run: u64,
    /// Time since its start, in microseconds.
    pub elapsed_us: u32,
    /// Part of its work that is done.
    pub percent: u8,
}

/// A configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Config<'a> {
    /// Version.
    pub version: u64,
    /// Document in the platform's form.
    pub text: &'a [u8],
}
