//! The messages themselves.
//!
//! Text and bodies are borrowed from the receive buffer. A start is named by the entry's incarnation
//! (from the connection's `Hello`) and a sequence that only grows on the way to one sidecar.

use serde::{Deserialize, Serialize};

use crate::run;

/// One message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame<'a> {
    /// First frame of a connection, from the side that dialled.
    #[serde(borrow)]
    Hello(Hello<'a>),
    /// Answer to `Hello`.
    Welcome(Welcome<'a>),
    /// Entry to sidecar: run one task.
    Start(Start<'a>),
    /// Sidecar to entry: a task ended.
    Finish(Finish<'a>),
    /// Sidecar to entry: a task was not run and will not be.
    Refuse(Refuse<'a>),
    /// Entry to sidecar: give back what has not started.
    Recall(Recall),
    /// Answer to `Recall`.
    Recalled(Vec<Report>),
    /// Entry to sidecar: what became of these starts. Unknown ones will never start.
    Inquire(Inquire),
    /// Answer to `Inquire`. Finished tasks are reported by `Finish` frames before it.
    Reports(Vec<Report>),
    /// Checks that the connection still carries data. The value is returned in `ProbeAck`.
    Probe(u64),
    /// Answer to `Probe`.
    ProbeAck(u64),
    /// Sidecar to entry: load, when no other frame carries it.
    Load(Load<'a>),
    /// The sender takes no new work on this connection; what has started will end.
    Closing,
    /// Asks for the newest document of a service.
    Fetch(&'a str),
    /// Answer to `Fetch`, or a push of a newer revision.
    Document(Document<'a>),
    /// Entry to entry: a submission for the receiver.
    Forward(Forward<'a>),
    /// Answer to `Forward`.
    Forwarded(Forwarded<'a>),
    /// A stopping entry passes records to its successor.
    Handover(Handover<'a>),
    /// Answer to `Handover`: the part with this number is stored.
    HandoverAck(u32),
    /// Sidecar to entry, by datagram: this upstream is here.
    Announce(Announce<'a>),
    /// Entry to sidecar, by datagram.
    AnnounceAck(AnnounceAck<'a>),
    /// Entry to entry, by datagram, once a second.
    Digest(Digest<'a>),
    /// About runs under leases.
    #[serde(borrow)]
    Run(run::Message<'a>),
}

/// What kind of process is speaking.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// An entry.
    Entry,
    /// A sidecar.
    Sidecar,
}

/// First frame of a connection.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Hello<'a> {
    /// What the sender is.
    pub role: Role,
    /// Name of the sender, unique in the deployment.
    pub name: &'a str,
    /// Changes with every start of the sender.
    pub incarnation: u64,
    /// Grows with every connection of one incarnation to the same peer; the newest alone counts.
    pub generation: u32,
    /// All starts up to this sequence have their final outcome at the sender.
    pub settled: u64,
}

/// Answer to `Hello`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Welcome<'a> {
    /// Name of the sender.
    pub name: &'a str,
    /// Changes with every start of the sender.
    pub incarnation: u64,
    /// Service whose upstream the sidecar fronts; empty from an entry.
    pub service: &'a str,
    /// Availability zone of the sender.
    pub zone: &'a str,
    /// Slots of the upstream; 0 from an entry.
    pub slots: u16,
    /// True if the sender takes no new work.
    pub closing: bool,
    /// Load at this moment.
    #[serde(borrow)]
    pub load: Load<'a>,
}

/// Load of a sidecar.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Load<'a> {
    /// Revision of the document whose order of kinds `running` follows.
    pub revision: u64,
    /// Running tasks by kind, in the document's order; one byte each.
    #[serde(borrow)]
    pub running: &'a [u8],
    /// Tasks in the gate's queue.
    pub queued: u16,
    /// Starts that the receiver may have outstanding at this sidecar.
    pub window: u16,
}

/// Run one task.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Start<'a> {
    /// Number of this start; only grows on the way from one entry incarnation to one sidecar.
    pub sequence: u64,
    /// All starts up to this sequence have their final outcome at the entry.
    pub settled: u64,
    /// Job ID, for logs and the upstream.
    pub job: &'a str,
    /// Index of the task in its job.
    pub task: u16,
    /// Kind of work, by its name in the document.
    pub kind: &'a str,
    /// Slots that must stay free once this task runs; not 0 for work above its kind's share.
    pub headroom: u8,
    /// The entry has more waiting than it can place.
    pub has_backlog: bool,
    /// How long the start may wait in the gate's queue, in milliseconds, before it is refused.
    pub wait_ms: u32,
    /// Input of the task.
    pub payload: &'a [u8],
}

/// How a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It ran and succeeded; the body is its answer.
    Done,
    /// It ran and failed; the number is a result code.
    Failed(u16),
    /// It may have run; the number is a result code.
    Unknown(u16),
}

/// A task ended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Finish<'a> {
    /// The start's sequence.
    pub sequence: u64,
    /// How it ended.
    pub outcome: Outcome,
    /// Time in the gate's queue, in microseconds.
    pub queue_us: u32,
    /// Time in the slot, in microseconds.
    pub run_us: u32,
    /// Load after the end.
    #[serde(borrow)]
    pub load: Load<'a>,
    /// Answer, or what the upstream said of the failure.
    pub body: &'a [u8],
}

/// A task was not run and will not be.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Refuse<'a> {
    /// The start's sequence.
    pub sequence: u64,
    /// Result code.
    pub code: u16,
    /// Load at the refusal.
    #[serde(borrow)]
    pub load: Load<'a>,
}

/// Give back what has not started.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Recall {
    /// Sequences of the starts, ascending.
    pub sequences: Vec<u64>,
    /// Also stop those that run; they are then reported with an unknown outcome.
    pub stop: bool,
}

/// What became of these starts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Inquire {
    /// Sequences of the starts, ascending.
    pub sequences: Vec<u64>,
}

/// State of a start at the gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Status {
    /// Not run, and never will be.
    NotRun,
    /// In the gate's queue.
    Queued,
    /// In a slot.
    Running,
    /// Ended; a `Finish` frame says how.
    Finished,
}

/// What became of one start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The start's sequence.
    pub sequence: u64,
    /// Its state.
    pub status: Status,
}

/// A service's document with its revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Document<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Revision; 0 if the sender has none.
    pub revision: u64,
    /// The stored JSON text; empty in a notice that the sender has this revision.
    pub text: &'a str,
}

/// A submission for another entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Forward<'a> {
    /// Number of this call on the connection.
    pub call: u64,
    /// Job ID, or empty.
    pub job: &'a str,
    /// Idempotency key, or empty.
    pub key: &'a str,
    /// The caller marked this as its first attempt.
    pub first: bool,
    /// Digest of the sender's list of entries.
    pub peers: u64,
    /// What is asked: `submit`, `request`, `show` or `cancel`.
    pub verb: &'a str,
    /// The request's JSON body.
    pub body: &'a [u8],
}

/// Answer to `Forward`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Forwarded<'a> {
    /// Number of the call.
    pub call: u64,
    /// HTTP status.
    pub status: u16,
    /// Suggested wait before another try, in milliseconds; 0 if none.
    pub retry_ms: u32,
    /// JSON body.
    pub body: &'a [u8],
}

/// Part of the records of a stopping entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Handover<'a> {
    /// Name of the stopping entry.
    pub name: &'a str,
    /// Incarnation whose records these are.
    pub incarnation: u64,
    /// Digest of the sender's list of entries.
    pub peers: u64,
    /// Number of this part, from 0.
    pub part: u32,
    /// True for the final part; the successor then owns the incarnation's job IDs.
    pub last: bool,
    /// Records in the form of the key ledger.
    pub records: &'a [u8],
}

/// An entry, as others know it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry<'a> {
    /// Name of the entry.
    pub name: &'a str,
    /// Its incarnation.
    pub incarnation: u64,
    /// Address of its internal port, UDP and TCP, as text.
    pub address: &'a str,
}

/// This upstream is here.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Announce<'a> {
    /// Name of the sidecar.
    pub name: &'a str,
    /// Changes with every start of the sidecar.
    pub incarnation: u64,
    /// Grows with every announcement; an older one is ignored.
    pub sequence: u64,
    /// Service whose upstream it fronts.
    pub service: &'a str,
    /// Availability zone.
    pub zone: &'a str,
    /// Address of its internal TCP port, as text.
    pub address: &'a str,
    /// Slots of the upstream.
    pub slots: u16,
    /// True if it takes no new work.
    pub closing: bool,
    /// Revision of the document it has in force.
    pub revision: u64,
}

/// Answer to `Announce`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AnnounceAck<'a> {
    /// The sender.
    #[serde(borrow)]
    pub from: Entry<'a>,
    /// The announcement's sequence.
    pub sequence: u64,
    /// Newest revision of the sidecar's service at the sender.
    pub revision: u64,
    /// Interval at which the sender wants announcements, in milliseconds.
    pub interval_ms: u32,
    /// Other entries that the sender has heard of lately.
    pub entries: Vec<Entry<'a>>,
}

/// Use of a team's quota at one entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Usage<'a> {
    /// Name of the team.
    pub team: &'a str,
    /// Starts asked for in the last second, before the quota was applied.
    pub asked: u32,
}

/// State that entries exchange.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Digest<'a> {
    /// The sender.
    #[serde(borrow)]
    pub from: Entry<'a>,
    /// Grows with every digest of one incarnation.
    pub sequence: u64,
    /// True if the sender is stopping and takes no new work.
    pub closing: bool,
    /// Services with the revision in force at the sender.
    pub revisions: Vec<(&'a str, u64)>,
    /// Teams' use at the sender.
    pub usage: Vec<Usage<'a>>,
    /// Entries whose records the sender has taken over: name and incarnation.
    pub adopted: Vec<(&'a str, u64)>,
    /// Other entries that the sender has heard of lately.
    pub entries: Vec<Entry<'a>>,
}
