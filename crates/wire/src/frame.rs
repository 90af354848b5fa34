//! Message types.
//!
//! Texts and bodies are borrowed from the receive buffer. A start is identified by the entry's
//! incarnation, given in the connection's `Hello`, and a sequence number that increases with each
//! start sent to one sidecar.

use serde::{Deserialize, Serialize};

use crate::run;

/// Message between two processes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame<'a> {
    /// First frame of a connection, sent by the side that opened it.
    #[serde(borrow)]
    Hello(Hello<'a>),
    /// Answer to `Hello`.
    Welcome(Welcome<'a>),
    /// Entry to sidecar: starts one task.
    Start(Start<'a>),
    /// Sidecar to entry: reports that a task ended.
    Finish(Finish<'a>),
    /// Sidecar to entry: refuses a start; the task did not run and never will.
    Refuse(Refuse<'a>),
    /// Entry to sidecar: withdraws starts that have not begun to run.
    Recall(Recall),
    /// Answer to `Recall`: the status of the starts.
    Recalled(Vec<Report>),
    /// Entry to sidecar: asks for the status of starts. The sidecar will never run those that it
    /// does not know.
    Inquire(Inquire),
    /// Answer to `Inquire`. `Finish` frames for the tasks that ended are sent before it.
    Reports(Vec<Report>),
    /// Checks that the connection still works. `ProbeAck` returns the value.
    Probe(u64),
    /// Answer to `Probe`.
    ProbeAck(u64),
    /// Sidecar to entry: reports the load when no other frame carries it.
    Load(Load<'a>),
    /// The sender accepts no new work on this connection; tasks that have started run to their end.
    Closing,
    /// Requests the newest document of a service, by name.
    Fetch(&'a str),
    /// Answer to `Fetch`, or an unsolicited push of a newer revision.
    Document(Document<'a>),
    /// Entry to entry: forwards a caller's request to the receiver.
    Forward(Forward<'a>),
    /// Answer to `Forward`.
    Forwarded(Forwarded<'a>),
    /// Entry to entry: a stopping entry passes records to its successor.
    Handover(Handover<'a>),
    /// Answer to `Handover`: the receiver has stored the part with this number.
    HandoverAck(u32),
    /// Sidecar to entry, by datagram: announces the sidecar and its upstream.
    Announce(Announce<'a>),
    /// Entry to sidecar, by datagram: answer to `Announce`.
    AnnounceAck(AnnounceAck<'a>),
    /// Entry to entry, by datagram, once a second: exchanges state.
    Digest(Digest<'a>),
    /// Message about runs under leases.
    #[serde(borrow)]
    Run(run::Message<'a>),
    /// The evacuated zones as the sender knows them. Sent after `Hello` and `Welcome`, before any
    /// start, and at each change.
    Evacuations(Evacuations<'a>),
}

/// Availability zones that get no new starts, at one revision of the store. The table with the
/// higher revision replaces the other as a whole.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Evacuations<'a> {
    /// Revision of the store.
    pub revision: u64,
    /// Names of the zones.
    #[serde(borrow)]
    pub zones: Vec<&'a str>,
}

/// Role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// Entry.
    Entry,
    /// Sidecar.
    Sidecar,
}

/// First frame of a connection.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Hello<'a> {
    /// Role of the sender.
    pub role: Role,
    /// Name of the sender, unique in the deployment.
    pub name: &'a str,
    /// Identifies one execution of the sender's process; changes with every restart.
    pub incarnation: u64,
    /// Increases with every connection that one incarnation opens to the same peer; only the newest
    /// connection is valid.
    pub generation: u32,
    /// Watermark: the sender has the final outcome of every start up to this sequence.
    pub settled: u64,
}

/// Answer to `Hello`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Welcome<'a> {
    /// Name of the sender.
    pub name: &'a str,
    /// Identifies one execution of the sender's process; changes with every restart.
    pub incarnation: u64,
    /// Service of the sidecar's upstream; empty if the sender is an entry.
    pub service: &'a str,
    /// Availability zone of the sender.
    pub zone: &'a str,
    /// Number of slots of the upstream; 0 if the sender is an entry.
    pub slots: u16,
    /// True if the sender accepts no new work.
    pub closing: bool,
    /// Current load.
    #[serde(borrow)]
    pub load: Load<'a>,
}

/// Load of a sidecar.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Load<'a> {
    /// Revision of the document whose order of kinds `running` uses.
    pub revision: u64,
    /// Number of running tasks of each kind, in the document's order; one byte per kind.
    #[serde(borrow)]
    pub running: &'a [u8],
    /// Number of tasks in the gate's queue.
    pub queued: u16,
    /// Number of starts that the receiver may have outstanding at this sidecar.
    pub window: u16,
}

/// Start of one task.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Start<'a> {
    /// Sequence number of this start; increases with each start that one entry incarnation sends
    /// to one sidecar.
    pub sequence: u64,
    /// Watermark: the entry has the final outcome of every start up to this sequence.
    pub settled: u64,
    /// Job ID, for logs and the upstream.
    pub job: &'a str,
    /// Index of the task in its job.
    pub task: u16,
    /// Name of the task's kind in the document.
    pub kind: &'a str,
    /// Number of slots that must stay free once this task runs; greater than 0 for borrowed slots,
    /// that is, for work above the kind's guaranteed share.
    pub headroom: u8,
    /// True if the entry has more waiting tasks than it can place.
    pub has_backlog: bool,
    /// Maximum time in the gate's queue, in milliseconds; after that the start is refused.
    pub wait_ms: u32,
    /// Input of the task.
    pub payload: &'a [u8],
}

/// Outcome of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The task ran and succeeded; the body is its answer.
    Done,
    /// The task ran and failed; the number is a result code.
    Failed(u16),
    /// The task may have run; the number is a result code.
    Unknown(u16),
}

/// End of a task.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Finish<'a> {
    /// Sequence number of the start.
    pub sequence: u64,
    /// Outcome.
    pub outcome: Outcome,
    /// Time in the gate's queue, in microseconds.
    pub queue_us: u32,
    /// Time in a slot, in microseconds.
    pub run_us: u32,
    /// Load after the task ended.
    #[serde(borrow)]
    pub load: Load<'a>,
    /// Answer of the task, or the upstream's description of the failure.
    pub body: &'a [u8],
}

/// Refusal of a start: the task did not run and never will.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Refuse<'a> {
    /// Sequence number of the start.
    pub sequence: u64,
    /// Result code.
    pub code: u16,
    /// Load at the time of the refusal.
    #[serde(borrow)]
    pub load: Load<'a>,
}

/// Withdrawal of starts that have not begun to run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Recall {
    /// Sequence numbers of the starts, ascending.
    pub sequences: Vec<u64>,
    /// True to stop running tasks as well; their outcome is then reported as unknown.
    pub stop: bool,
}

/// Request for the status of starts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Inquire {
    /// Sequence numbers of the starts, ascending.
    pub sequences: Vec<u64>,
}

/// Status of a start at the gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Status {
    /// Did not run and never will.
    NotRun,
    /// Waiting in the gate's queue.
    Queued,
    /// Running in a slot.
    Running,
    /// Ended; a `Finish` frame carries the outcome.
    Finished,
}

/// Status report about one start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Sequence number of the start.
    pub sequence: u64,
    /// Status of the start.
    pub status: Status,
}

/// Document of a service, with its revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Document<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Revision of the document; 0 if the sender has none.
    pub revision: u64,
    /// Stored JSON text; empty if the frame only reports which revision the sender has.
    pub text: &'a str,
}

/// Caller's request, forwarded to another entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Forward<'a> {
    /// Number of the call on this connection.
    pub call: u64,
    /// Job ID; empty if there is none.
    pub job: &'a str,
    /// Idempotency key; empty if there is none.
    pub key: &'a str,
    /// True if the caller marked the request as its first attempt.
    pub first: bool,
    /// Hash of the sender's list of entries.
    pub peers: u64,
    /// Operation: `submit`, `request`, `show` or `cancel`.
    pub verb: &'a str,
    /// JSON body of the request.
    pub body: &'a [u8],
}

/// Answer to `Forward`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Forwarded<'a> {
    /// Number of the call, copied from `Forward`.
    pub call: u64,
    /// HTTP status of the answer.
    pub status: u16,
    /// Suggested delay before a retry, in milliseconds; 0 if there is none.
    pub retry_ms: u32,
    /// JSON body of the answer.
    pub body: &'a [u8],
}

/// Part of the records that a stopping entry passes to its successor.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Handover<'a> {
    /// Name of the stopping entry.
    pub name: &'a str,
    /// Incarnation that owns the records.
    pub incarnation: u64,
    /// Hash of the sender's list of entries.
    pub peers: u64,
    /// Number of this part, from 0.
    pub part: u32,
    /// True for the last part; the successor then becomes the home of the incarnation's jobs.
    pub last: bool,
    /// Records, in the encoding of the key ledger.
    pub records: &'a [u8],
}

/// Identity and address of an entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry<'a> {
    /// Name of the entry.
    pub name: &'a str,
    /// Incarnation of the entry.
    pub incarnation: u64,
    /// Internal address of the entry, for UDP and TCP, as text.
    pub address: &'a str,
}

/// Announcement of a sidecar and its upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Announce<'a> {
    /// Name of the sidecar.
    pub name: &'a str,
    /// Identifies one execution of the sidecar's process; changes with every restart.
    pub incarnation: u64,
    /// Increases with every announcement; receivers ignore older ones.
    pub sequence: u64,
    /// Service of the upstream.
    pub service: &'a str,
    /// Availability zone of the sidecar.
    pub zone: &'a str,
    /// Internal TCP address of the sidecar, as text.
    pub address: &'a str,
    /// Number of slots of the upstream.
    pub slots: u16,
    /// True if the sidecar accepts no new work.
    pub closing: bool,
    /// Revision of the document in force at the sidecar.
    pub revision: u64,
}

/// Answer to `Announce`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AnnounceAck<'a> {
    /// Sender.
    #[serde(borrow)]
    pub from: Entry<'a>,
    /// Sequence number of the announcement.
    pub sequence: u64,
    /// Newest revision of the service's document that the sender has.
    pub revision: u64,
    /// Interval at which the sidecar should announce itself to the sender, in milliseconds.
    pub interval_ms: u32,
    /// Other entries that the sender considers alive; the list may be incomplete.
    pub entries: Vec<Entry<'a>>,
}

/// Demand of one team at one entry, for sharing the team's quota among entries.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Usage<'a> {
    /// Name of the team.
    pub team: &'a str,
    /// Number of starts requested in the last second, before the quota was applied.
    pub asked: u32,
}

/// State that entries exchange periodically.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Digest<'a> {
    /// Sender.
    #[serde(borrow)]
    pub from: Entry<'a>,
    /// Increases with every digest of one incarnation.
    pub sequence: u64,
    /// True if the sender is stopping and accepts no new work.
    pub closing: bool,
    /// Services, each with the revision of its document in force at the sender.
    pub revisions: Vec<(&'a str, u64)>,
    /// Demand of the teams at the sender.
    pub usage: Vec<Usage<'a>>,
    /// Stopped entries whose records the sender has taken over, by name and incarnation.
    pub adopted: Vec<(&'a str, u64)>,
    /// Other entries that the sender considers alive; the list may be incomplete.
    pub entries: Vec<Entry<'a>>,
}
