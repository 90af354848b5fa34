//! Numbered result codes, which `docs/errors.md` lists.

use displaydoc::Display;

/// Execution status: what a caller may conclude about whether its work ran.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum Execution {
    /// complete
    Complete,
    /// not run
    NotRun,
    /// may have run
    MayHaveRun,
    /// ran and failed
    Failed,
}

macro_rules! codes {
    ($(
        $(#[doc = $doc:literal])+
        $name:ident = $number:literal, $execution:ident, $status:literal;
    )+) => {
        /// Result of a request, a job or a task.
        #[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash)]
        #[repr(u16)]
        pub enum Code {
            $($(#[doc = $doc])+ $name = $number,)+
        }

        impl Code {
            /// All codes, in order of number.
            pub const ALL: &'static [Self] = &[$(Self::$name),+];

            /// Returns the number of the code.
            pub fn number(self) -> u16 {
                self as u16
            }

            /// Returns the code with this number, if there is one.
            pub fn from_number(number: u16) -> Option<Self> {
                match number {
                    $($number => Some(Self::$name),)+
                    _ => None,
                }
            }

            /// Returns the execution status: whether the work ran.
            pub fn execution(self) -> Execution {
                match self {
                    $(Self::$name => Execution::$execution,)+
                }
            }

            /// Returns the HTTP status of the code.
            pub fn status(self) -> u16 {
                match self {
                    $(Self::$name => $status,)+
                }
            }
        }
    };
}

codes! {
    /// complete
    Complete = 0, Complete, 200;

    /// malformed request
    BadRequest = 100, NotRun, 400;
    /// no such service
    UnknownService = 101, NotRun, 404;
    /// no such kind of work in the service's document
    UnknownKind = 102, NotRun, 404;
    /// request larger than the limit
    TooLarge = 103, NotRun, 413;
    /// queue of this kind of work is full
    QueueFull = 104, NotRun, 429;
    /// estimated wait exceeds the deadline
    DeadlineUnreachable = 105, NotRun, 503;
    /// team's quota is used up
    QuotaExceeded = 106, NotRun, 429;
    /// no worker can ever run this job
    NeverRunnable = 107, NotRun, 422;
    /// no configuration for the service yet
    NoDocument = 108, NotRun, 503;
    /// no upstream available
    NoUpstream = 109, NotRun, 503;
    /// process is shutting down
    Closing = 110, NotRun, 503;
    /// upstream has no free slot
    Busy = 111, NotRun, 503;
    /// cancelled before it started
    Cancelled = 112, NotRun, 409;
    /// deadline passed before it started
    Expired = 113, NotRun, 504;
    /// entries have different lists of each other
    PeersDiffer = 114, NotRun, 503;
    /// entry is overloaded
    Overloaded = 115, NotRun, 503;
    /// start was fenced after a lost connection
    Fenced = 116, NotRun, 503;
    /// no such job at this entry
    UnknownJob = 117, NotRun, 404;
    /// home of the job cannot be reached and this submission was not passed on
    HomeUnreachable = 118, NotRun, 503;
    /// availability zone is evacuated
    Evacuated = 119, NotRun, 503;

    /// upstream or its sidecar was lost
    UpstreamLost = 200, MayHaveRun, 502;
    /// home of the job was lost with its records
    HomeLost = 201, MayHaveRun, 409;
    /// records no longer reach back to this job or key
    RecordExpired = 202, MayHaveRun, 409;
    /// upstream did not answer in time
    UpstreamTimeout = 203, MayHaveRun, 504;
    /// cancelled while it ran
    Stopped = 204, MayHaveRun, 409;
    /// connection to the job's home was lost after the submission was sent
    HomeSilent = 205, MayHaveRun, 504;
    /// another submission under this job ID or key is still running
    InProgress = 206, MayHaveRun, 409;

    /// task failed
    TaskFailed = 300, Failed, 502;
    /// answer larger than the limit
    AnswerTooLarge = 301, Failed, 502;
    /// another task of the job failed
    SiblingFailed = 302, Failed, 502;
    /// job ran; its answer is no longer kept
    AnswerExpired = 303, Failed, 410;

    /// configuration store unavailable
    StoreUnavailable = 400, NotRun, 503;
    /// document is not valid
    DocumentInvalid = 401, NotRun, 422;
    /// document was changed by someone else
    Conflict = 402, NotRun, 409;
    /// change may have been written
    ChangeUnknown = 403, MayHaveRun, 504;
    /// revision is not in effect everywhere yet
    NotInEffect = 404, MayHaveRun, 409;
    /// settings are not valid
    SettingsInvalid = 405, NotRun, 400;
    /// process cannot be reached or did not answer
    ProcessSilent = 406, MayHaveRun, 504;
}

impl Code {
    /// Returns true if the caller may submit the same work again without risking a second run.
    pub fn may_resubmit(self) -> bool {
        self.execution() == Execution::NotRun
    }
}
