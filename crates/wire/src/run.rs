//! Messages about runs: tasks that an upstream executes under a lease of the requesting entry.
//!
//! A sidecar numbers the leases that it grants. The entry returns the newest number with each start
//! and renewal, so that the sidecar alone decides, by its own clock, whether the lease is valid.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::frame::Role;

/// Message about runs, or about the processes that exchange such messages.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message<'a> {
    /// First message of a connection, sent by both sides.
    #[serde(borrow)]
    Greeting(Greeting<'a>),
    /// Sidecar to entry: properties of its upstream VM, and whether it accepts work.
    Profile(Profile<'a>),
    /// Sidecar to entry: grants a lease and reports the load.
    Grant(Grant),
    /// Entry to sidecar: renews the lease with the number of the newest grant received.
    Renew(u64),
    /// Entry to sidecar: whether jobs wait for capacity at the sender, so that it needs to hear of
    /// changes of the load soon.
    Waiting(bool),
    /// Entry to sidecar: starts tasks of one job.
    Start(Start<'a>),
    /// Entry to sidecar: stops these runs, or prevents their start.
    Stop(Vec<u64>),
    /// Sidecar to entry: reports runs that ended.
    Ended(Vec<End>),
    /// Sidecar to entry: reports the progress of runs.
    Progress(Vec<Progress>),
    /// Sidecar to entry: rejects starts; these runs did not start and never will.
    Refused(Vec<u64>),
    /// Sidecar to entry, after the greeting: all runs that the sidecar has for this entry.
    Held(Vec<u64>),
    /// Newest configuration, as read from the store.
    Config(Config<'a>),
    /// From an entry: version of its configuration.
    Version(u64),
    /// To an entry: requests its configuration.
    Fetch,
    /// From an entry: the entries that it is connected to, and itself. An empty list only shows
    /// that the sender is alive.
    #[serde(borrow)]
    Peers(Vec<Member<'a>>),
    /// The evacuated availability zones at a revision of the store, all of them. Of two such
    /// messages the one with the higher revision counts.
    Evacuations {
        /// Revision of the store.
        revision: u64,
        /// Names of the evacuated zones.
        #[serde(borrow)]
        zones: Vec<&'a str>,
    },
    /// Entry to entry: cancels a job there, and prevents its start if it arrives later.
    Cancel {
        /// Job ID that the caller chose.
        id: &'a str,
    },
    /// Entry to entry: answer to `Cancel`, sent after the stops of the job's runs.
    Cancelled {
        /// Job ID of the cancel.
        id: &'a str,
        /// Whether the job was there.
        found: bool,
    },
}

/// An entry of the deployment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Member<'a> {
    /// Internal address.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: &'a str,
}

/// First message of a connection.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Greeting<'a> {
    /// Role of the sender.
    pub role: Role,
    /// Name of the sender, unique in the deployment.
    pub name: &'a str,
    /// Internal address of the sender.
    pub address: SocketAddr,
    /// Availability zone of the sender.
    pub zone: &'a str,
    /// Identifies one execution of the sender's process; changes with every restart.
    pub incarnation: u64,
    /// Increases with every connection that one incarnation of the sender opens. For logs only.
    pub generation: u64,
    /// Version of the sender's configuration; 0 if it has none.
    pub config: u64,
}

/// Properties of an upstream VM.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Profile<'a> {
    /// Service whose tasks the upstream runs.
    pub service: &'a str,
    /// Availability zone.
    pub zone: &'a str,
    /// Labels that a task may require, including the rack.
    #[serde(borrow)]
    pub labels: Vec<&'a str>,
    /// Cores, in thousandths.
    pub cores: u32,
    /// Memory, in megabytes.
    pub memory_mb: u32,
    /// True if the upstream accepts work; false while it drains, shuts down or is not known to be
    /// ready.
    pub accepting: bool,
}

/// Lease of an entry at a sidecar, with the sidecar's load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Number of the grant; increases within one sidecar incarnation.
    pub number: u64,
    /// Highest run number that the sidecar has received from this entry; the load includes its runs
    /// up to this number.
    pub highest_run: u64,
    /// Cores used by neither runs nor waiting starts, in thousandths; negative if waiting starts
    /// need more than is free.
    pub free_cores: i32,
    /// Memory used by neither runs nor waiting starts, in megabytes; negative if waiting starts
    /// need more than is free.
    pub free_memory_mb: i32,
    /// Time until capacity for one more start is expected, estimated from the progress of the runs,
    /// in microseconds; `None` if unknown.
    pub available_in_us: Option<u32>,
    /// Number of entries that are connected to the sidecar.
    pub entries: u16,
}

/// Request to start tasks of one job on one upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Start<'a> {
    /// Number of the newest grant that the sender has received.
    pub grant: u64,
    /// Job ID that the caller chose.
    pub job: &'a str,
    /// Specification of the job, passed on to the upstream.
    pub spec: &'a str,
    /// Index of the step in its job.
    pub step: u16,
    /// Cores that each task needs, in thousandths.
    pub cores: u32,
    /// Memory that each task needs, in megabytes.
    pub memory_mb: u32,
    /// Position in the sidecar's queue; lower ranks start first.
    pub rank: u64,
    /// Maximum wait for capacity, in milliseconds; after that the sidecar refuses the start.
    pub wait_ms: u32,
    /// Tasks to start.
    pub tasks: Vec<Task>,
}

/// Task to start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// Number of the run; increases within one entry incarnation.
    pub run: u64,
    /// Index of the task in its step.
    pub index: u16,
    /// Number of this attempt at the task, from 1.
    pub attempt: u32,
}

/// Outcome of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The task completed.
    Done,
    /// The task failed.
    Failed,
    /// The run was stopped before it completed.
    Stopped,
    /// The upstream was lost, or the sidecar's lease there expired.
    Lost,
}

/// End of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// Number of the run.
    pub run: u64,
    /// Outcome.
    pub outcome: Outcome,
    /// Time from start to end, in microseconds.
    pub ran_us: u32,
}

/// Progress of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Number of the run.
    pub run: u64,
    /// Time since the start of the run, in microseconds.
    pub elapsed_us: u32,
    /// Completed part of the work, in percent.
    pub percent: u8,
}

/// Configuration with its version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Config<'a> {
    /// Version of the configuration.
    pub version: u64,
    /// Configuration document in the platform's format.
    pub text: &'a [u8],
}
