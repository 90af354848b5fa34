//! Translation between the daemons and the protocols of callers, upstreams and the store.
//!
//! A deployment supplies the functions of `Entry` and `Sidecar`; the daemons know no other details
//! of these protocols.

use std::sync::Arc;

use kingcup_dispatch::{
    plan::{Answer, Submission},
    routes::Table,
    worker::{Listing, Order, Profile, Reply},
};

use crate::web::{Fault, Request, Response};

/// Response to an HTTP call, or the reason why there is none.
pub type Outcome = Result<Response, Fault>;

/// Reply of an upstream, with the upstream's clock in milliseconds if the response gave it.
pub type Receipt = (Reply, Option<u64>);

/// Operation that a caller requests.
#[derive(Debug)]
pub enum Operation {
    /// Run a job and respond with its result. The entry sets the submission's token.
    Submit {
        /// Job to run.
        submission: Submission,
        /// Description of the job for the upstream.
        spec: String,
    },
    /// Run a job of a kind that is not supported; the text names the kind.
    Unsupported(&'static str),
    /// Read the state of a job.
    State {
        /// Name of the job.
        id: String,
    },
    /// Cancel a job.
    Cancel {
        /// Name of the job.
        id: String,
    },
    /// Read the number of waiting jobs in a queue.
    Pending {
        /// Name of the queue.
        queue: String,
    },
    /// Request whose host and path belong to no queue.
    NoQueue,
    /// Request that cannot be parsed; the text gives the reason.
    Invalid(String),
}

/// Result of an operation, which a protocol encodes as a response to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// The job has ended.
    Answer(Answer),
    /// The job is running or waiting at this entry.
    Running,
    /// The job was cancelled.
    Cancelled,
    /// This entry has no such job; after a cancel, no entry has it.
    Unknown,
    /// Number of waiting jobs in the queue.
    Pending(usize),
    /// There is no such queue.
    NoQueue,
    /// There is no configuration yet, the VM has just been suspended, the entry is stopping, or
    /// another entry that may have the job to cancel has not answered. The caller may retry after
    /// this time, in milliseconds.
    Unavailable(u64),
    /// The request is invalid.
    Invalid,
    /// Jobs of this kind are not supported.
    Unsupported,
}

/// Result of reading or watching the configuration in the store.
#[derive(Debug, PartialEq, Eq)]
pub enum Fetch {
    /// The newest configuration.
    Text {
        /// Document as stored.
        text: Vec<u8>,
        /// Revision of the store from which to watch.
        revision: u64,
    },
    /// There is no newer configuration.
    Unchanged {
        /// Revision of the store from which to watch.
        revision: u64,
    },
    /// The store no longer has the history from the requested revision on.
    Compacted,
    /// The store did not respond, or rejected the call; the text gives the reason.
    Failed(String),
}

/// Change of an order to evacuate a zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Name of the zone, which may be invalid.
    pub zone: String,
    /// Whether the zone is to be evacuated from now on.
    pub evacuated: bool,
}

/// Result of reading a page of orders to evacuate zones.
#[derive(Debug, PartialEq, Eq)]
pub enum Page {
    /// Orders in the order of their keys.
    Orders {
        /// Names of the zones, which may be invalid.
        zones: Vec<String>,
        /// Key after which the next page begins; `None` on the last one.
        next: Option<String>,
        /// Revision of the store.
        revision: u64,
    },
    /// The store did not respond, or rejected the call; the text gives the reason.
    Failed(String),
}

/// Result of watching the configuration and the orders to evacuate zones.
#[derive(Debug, PartialEq, Eq)]
pub enum Watch {
    /// Changes since the requested revision, if any.
    Changes {
        /// Newest configuration as stored, if it has changed.
        text: Option<Vec<u8>>,
        /// Changes of orders in the order in which the store made them.
        changes: Vec<Change>,
        /// Revision of the store from which to watch.
        revision: u64,
    },
    /// The store no longer has the history from the requested revision on.
    Compacted,
    /// The store did not respond, or rejected the call; the text gives the reason.
    Failed(String),
}

/// Functions that translate the store's protocol for orders to evacuate zones.
#[derive(Debug, Clone, Copy)]
pub struct Evacuations {
    /// Returns the call that reads the orders, from the first one after a key.
    pub list: fn(Option<&str>) -> Request,
    /// Parses the response to that call.
    pub list_reply: fn(&Outcome) -> Page,
    /// Returns the call that waits for a configuration or orders newer than a revision, for a time
    /// in milliseconds.
    pub watch: fn(u64, u64) -> Request,
    /// Parses the response to that call.
    pub watch_reply: fn(&Outcome) -> Watch,
}

/// Functions that translate the protocols of callers and of the store for an entry.
#[derive(Debug, Clone, Copy)]
pub struct Entry {
    /// Parses a caller's request, given the queues in force.
    pub parse_request: fn(&Request, &Table) -> Operation,
    /// Returns the time for which the caller of a request waits for the response, in milliseconds,
    /// as far as it is known without a configuration.
    pub timeout_ms: fn(&Request) -> u64,
    /// Encodes the response to a caller.
    pub encode_response: fn(Status) -> Response,
    /// Parses a configuration.
    pub parse_config: fn(&[u8]) -> Result<Table, String>,
    /// Returns the call that reads the configuration.
    pub read_config: fn() -> Request,
    /// Returns the call that waits for a configuration newer than a revision, for a time in
    /// milliseconds.
    pub watch_config: fn(u64, u64) -> Request,
    /// Parses the response to either call.
    pub config_reply: fn(&Outcome) -> Fetch,
    /// Orders to evacuate zones.
    pub evacuations: Evacuations,
    /// Returns the place of an upstream, to which the places of submissions refer.
    pub place: fn(&Profile) -> Option<Arc<str>>,
}

/// Call of an upstream to its sidecar.
#[derive(Debug)]
pub enum Notification {
    /// Report of the upstream about itself.
    Report {
        /// Service, zone, labels and capacity of the upstream, and whether it accepts work.
        profile: Profile,
        /// Increases with each report of one incarnation.
        sequence: u64,
        /// Clock of the upstream, in milliseconds.
        clock_ms: u64,
    },
    /// An upstream is shutting down.
    Leave {
        /// Name of the upstream.
        name: String,
    },
    /// Call that cannot be parsed or describes no usable upstream; the text gives the reason.
    Invalid(String),
}

/// Functions that translate the protocol of an upstream for its sidecar.
#[derive(Debug, Clone, Copy)]
pub struct Sidecar {
    /// Parses a call of the upstream.
    pub parse_notification: fn(&Request) -> Notification,
    /// Returns the name of a task at the upstream, given its job, step and index.
    pub task_name: fn(&str, u16, u16) -> String,
    /// Returns the call that carries out an order at the upstream with the given name.
    pub order: fn(&str, &Order) -> Request,
    /// Parses the response to an order.
    pub order_reply: fn(&Outcome) -> Receipt,
    /// Returns the call that polls the upstream for its list of runs, given the lease deadline in
    /// milliseconds on the upstream's clock, the fencing token, the number of the last known end
    /// and the longest wait in milliseconds.
    pub poll: fn(Option<u64>, u64, u64, u32) -> Request,
    /// Parses the response to a poll; the error is the reply that stands for the failure.
    pub poll_reply: fn(&Outcome) -> Result<Listing, Receipt>,
}
