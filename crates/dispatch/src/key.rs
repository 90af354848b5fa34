//! Deduplication of submissions by job ID and by idempotency key, so that each runs at most once.

pub mod answers;
pub mod owner;
pub mod part;
pub mod window;

mod handover;

use std::{collections::BTreeMap, sync::Arc};

use answers::{Answers, Name, State};
use displaydoc::Display;
use window::{Seen, Window};

pub use handover::{Imported, Successor};
pub use owner::Owners;
pub use part::Part;
pub use window::WINDOW;

use crate::{
    code::{Code, Execution},
    id::{Home, Job},
};

/// Maximum length of an idempotency key, in bytes. Longer keys are refused as malformed.
pub const MAX_KEY_BYTES: usize = 128;
/// Maximum number of incarnations of other entries whose job IDs one ledger owns. About 240
/// restarts occur in a day.
pub const MAX_ADOPTED: usize = 64;

/// Number that identifies the ledger's own incarnation in `Ledger::homes`.
const OWN_HOME: u32 = 0;

/// Limits on the size of a ledger and on the age of its records.
///
/// With the defaults, all tables together use at most about 35 MB: 3 MB for clients, 5 MB for
/// running submissions, 16 MiB for finished records and answers, and 10 MB for idempotency keys
/// whose answers were dropped (3 MB more if all keys have the maximum length). An import of another
/// entry's records uses at most the same amount again until its final part arrives.
/// `docs/measurements-membership.md` lists measured sizes.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Maximum number of clients; the least recently used one is evicted.
    pub clients: usize,
    /// Maximum number of submissions that run at the same time.
    pub running: usize,
    /// Maximum number of idempotency keys on record; new keys are refused until some expire. The
    /// default allows 54 new keys per second over the retention.
    pub keys: usize,
    /// Maximum size of all finished records, in bytes. Each record counts as its answer plus
    /// `answers::RECORD_BYTES`.
    pub answer_bytes: usize,
    /// How long a finished record is kept, in microseconds.
    pub retention_us: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            clients: 8_192,
            running: 32_768,
            keys: 32_768,
            answer_bytes: 16 << 20,
            retention_us: 600_000_000,
        }
    }
}

/// Digest of a submission's body. Distinguishes a repeated submission from one with the same ID and
/// another body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Digest(pub u128);

/// Outcome of a finished submission.
#[derive(Debug, Clone, PartialEq)]
pub struct Record {
    /// Result code.
    pub code: Code,
    /// Body of the answer.
    pub body: Arc<[u8]>,
}

impl Record {
    /// Returns the code to answer once the record itself is no longer kept.
    pub fn expired(&self) -> Code {
        expired(self.code)
    }
}

/// Returns the code to answer for a submission whose record is no longer kept.
fn expired(code: Code) -> Code {
    match code.execution() {
        Execution::Complete | Execution::Failed => Code::AnswerExpired,
        Execution::NotRun | Execution::MayHaveRun => Code::RecordExpired,
    }
}

/// Decision on a submission.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// Run it now and record its outcome with `finish` or `finish_key`.
    Fresh,
    /// It is already running; attach the caller to that run.
    Running,
    /// It has finished; return this record.
    Finished(Record),
    /// Return this code. This submission started nothing.
    Refused(Code),
}

/// A request under an idempotency key.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// The key, which the ledger's caller has prefixed with the name of the service.
    pub key: &'a str,
    /// True if the caller marked this as its first attempt (`Kingcup-First-Attempt`).
    pub first: bool,
    /// Digest of the list of entries from which the sender computed the key's owner.
    pub peers: u64,
}

/// Stage of a ledger's own handover.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// New submissions may start.
    Open,
    /// Records are being exported; no new submission starts, here or at another entry.
    Exporting,
    /// The final part was built; the successor may already be starting submissions.
    Sealed,
}

/// An entry incarnation whose job IDs the ledger owns.
#[derive(Debug)]
struct Origin {
    number: u32,
    entry: String,
    incarnation: u64,
    next_client: u64,
    owned_since: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ClientName {
    home: u32,
    number: u64,
}

#[derive(Debug)]
struct Client {
    window: Window,
    /// Value of `Ledger::use_counter` when the client was last used.
    last_use: u64,
}

/// reason why a part of another entry's records was not taken
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// this entry is handing over its own records
    Closing,
    /// part is from this incarnation itself
    Own,
    /// final part names another successor
    Misdirected,
    /// part belongs to an export that a newer one has replaced
    Superseded,
    /// final part arrived before the others
    Incomplete,
    /// no room for the records of another entry
    Full,
}

impl std::error::Error for Fault {}

/// Table of submissions that ensures that each runs at most once.
///
/// This holds for job IDs even under pauses and partitions, because only the incarnation named in
/// the ID, or the one successor that received its final part, answers `Fresh` for it. For an
/// idempotency key it holds within the retention as long as no two processes use the name of the
/// same entry at the same time.
#[derive(Debug)]
pub struct Ledger {
    limits: Limits,
    owners: Owners,
    homes: Vec<Origin>,
    clients: BTreeMap<ClientName, Client>,
    /// Clients in order of their last use.
    by_last_use: BTreeMap<u64, ClientName>,
    use_counter: u64,
    answers: Answers,
    /// Time since which the records of this entry's own keys are complete.
    keys_since: i64,
    /// Time at which another list of entries was last seen in use.
    peers_differed_at: i64,
    phase: Phase,
    replaced: bool,
    next_home: u32,
    round: u32,
    exported_parts: u32,
    staged: Vec<handover::Import>,
}

impl Ledger {
    /// Creates an empty ledger for an entry incarnation that starts at `now`.
    pub fn new(entry: &str, incarnation: u64, owners: Owners, limits: Limits, now: u64) -> Self {
        let own = Origin {
            number: OWN_HOME,
            entry: entry.to_owned(),
            incarnation,
            next_client: 1,
            owned_since: now,
        };
        Self {
            limits,
            owners,
            homes: vec![own],
            clients: BTreeMap::new(),
            by_last_use: BTreeMap::new(),
            use_counter: 0,
            answers: Answers::default(),
            keys_since: now as i64,
            peers_differed_at: i64::MIN,
            phase: Phase::Open,
            replaced: false,
            next_home: OWN_HOME + 1,
            round: 0,
            exported_parts: 0,
            staged: Vec::new(),
        }
    }

    /// Issues a home token with a client number that no other caller has.
    pub fn issue_home(&mut self, now: u64) -> Home {
        self.answers.expire(&self.limits, now);
        let own = &mut self.homes[0];
        let client = own.next_client;
        own.next_client += 1;
        let home = Home { entry: own.entry.clone(), incarnation: own.incarnation, client };
        self.add_client(ClientName { home: OWN_HOME, number: client }, Window::default());
        home
    }

    /// Decides what to do with a submission under a job ID.
    ///
    /// Refuses with `HomeLost` if another incarnation owns the ID, `UnknownJob` if the client's
    /// number was never issued, `RecordExpired` if the client was evicted, the sequence is below
    /// the window or the outcome is no longer known, `AnswerExpired` if the job ran and its answer
    /// is no longer kept, `BadRequest` if the ID was used with another body, `Overloaded` if the
    /// maximum number of submissions is running, and `Closing` while the records are exported.
    pub fn submit(&mut self, job: &Job, digest: Digest, now: u64) -> Verdict {
        self.answers.expire(&self.limits, now);
        let (client, seen) = match self.locate(job) {
            Ok(found) => found,
            Err(code) => return Verdict::Refused(code),
        };
        self.mark_used(client);
        let name = Name::Job(client.home, client.number, job.sequence);
        match seen {
            Seen::Never => self.start_job(client, name, job.sequence, digest),
            Seen::Below => Verdict::Refused(Code::RecordExpired),
            Seen::Started => self.recorded_verdict(&name, Some(digest), Code::RecordExpired),
            Seen::Ran => self.recorded_verdict(&name, Some(digest), Code::AnswerExpired),
        }
    }

    /// Returns what is known of a job without submitting it; never `Fresh`.
    ///
    /// Refuses as `submit` does, and with `UnknownJob` for a sequence that was not submitted.
    pub fn lookup(&mut self, job: &Job, now: u64) -> Verdict {
        self.answers.expire(&self.limits, now);
        let (client, seen) = match self.locate(job) {
            Ok(found) => found,
            Err(code) => return Verdict::Refused(code),
        };
        let name = Name::Job(client.home, client.number, job.sequence);
        match seen {
            Seen::Never => Verdict::Refused(self.unknown_code()),
            Seen::Below => Verdict::Refused(Code::RecordExpired),
            Seen::Started => self.recorded_verdict(&name, None, Code::RecordExpired),
            Seen::Ran => self.recorded_verdict(&name, None, Code::AnswerExpired),
        }
    }

    /// Records the outcome of a running job. Returns false if the job is not running here.
    ///
    /// A record whose code says "not run" is not kept, so that the same ID can be submitted again.
    pub fn finish(&mut self, job: &Job, record: Record, now: u64) -> bool {
        let Some(origin) = self.origin(&job.home) else {
            return false;
        };
        let client_name = ClientName { home: origin.number, number: job.home.client };
        let seen = match record.code.execution() {
            Execution::NotRun => Seen::Never,
            Execution::MayHaveRun => Seen::Started,
            Execution::Complete | Execution::Failed => Seen::Ran,
        };
        let name = Name::Job(client_name.home, client_name.number, job.sequence);
        let was_running = self.finish_record(&name, record, now);
        if was_running {
            if let Some(client) = self.clients.get_mut(&client_name) {
                client.window.set(job.sequence, seen);
            }
        }
        was_running
    }

    /// Decides what to do with a request under an idempotency key.
    ///
    /// Answers for keys of this entry and of entries whose records it has adopted. Refuses with
    /// `PeersDiffer` if the sender has another list of entries, `HomeUnreachable` if the key
    /// belongs to another entry, `RecordExpired` if an earlier attempt cannot be ruled out, and
    /// with `AnswerExpired`, `BadRequest`, `Overloaded` and `Closing` as `submit` does.
    pub fn submit_key(&mut self, request: Request<'_>, digest: Digest, now: u64) -> Verdict {
        self.answers.expire(&self.limits, now);
        if request.key.is_empty() || request.key.len() > MAX_KEY_BYTES {
            return Verdict::Refused(Code::BadRequest);
        }
        if request.peers != self.owners.digest() {
            self.note_peers_differ(now);
            return Verdict::Refused(Code::PeersDiffer);
        }
        let owner = self.owners.owner(request.key).unwrap_or_default();
        let own = owner == self.homes[0].entry;
        if !own && !self.homes.iter().any(|home| home.entry == owner) {
            return Verdict::Refused(Code::HomeUnreachable);
        }
        let name = Name::Key(Arc::from(request.key));
        if self.answers.get(&name).is_some() {
            return self.recorded_verdict(&name, Some(digest), Code::RecordExpired);
        }
        self.start_key(name, request.first, own, digest, now)
    }

    /// Records the outcome of a running submission under a key, as `finish` does for a job.
    pub fn finish_key(&mut self, key: &str, record: Record, now: u64) -> bool {
        self.finish_record(&Name::Key(Arc::from(key)), record, now)
    }

    /// Records that another process uses a different list of entries.
    ///
    /// By its list, it may have run keys that this entry owns. From now on this entry therefore
    /// treats requests that are not marked as first attempts as if it had just started.
    pub fn note_peers_differ(&mut self, now: u64) {
        self.peers_differed_at = self.peers_differed_at.max(now as i64);
    }

    /// Records that a newer incarnation uses this entry's name. From then on new keys are refused,
    /// because both incarnations would own them.
    pub fn mark_replaced(&mut self) {
        self.replaced = true;
    }

    /// Returns the incarnations of other entries whose job IDs this ledger owns, to be announced.
    pub fn adopted(&self) -> impl Iterator<Item = (&str, u64)> {
        self.homes[1..].iter().map(|home| (home.entry.as_str(), home.incarnation))
    }

    /// Returns the owners of idempotency keys, as given by the settings' list of entries.
    pub fn owners(&self) -> &Owners {
        &self.owners
    }

    /// Returns the number of clients in the table.
    pub fn clients(&self) -> usize {
        self.clients.len()
    }

    /// Returns the number of running submissions.
    pub fn running(&self) -> usize {
        self.answers.running()
    }

    /// Returns the size of the finished records, in bytes, as counted against the limit.
    pub fn answer_bytes(&self) -> usize {
        self.answers.bytes()
    }

    fn origin(&self, home: &Home) -> Option<&Origin> {
        let matches =
            |origin: &&Origin| origin.incarnation == home.incarnation && origin.entry == home.entry;
        self.homes.iter().find(matches)
    }

    /// Returns a job's client and the state of the job's sequence in the client's window.
    fn locate(&self, job: &Job) -> Result<(ClientName, Seen), Code> {
        let origin = self.origin(&job.home).ok_or(Code::HomeLost)?;
        let name = ClientName { home: origin.number, number: job.home.client };
        if name.number == 0 || name.number >= origin.next_client {
            return Err(self.unknown_code());
        }
        let client = self.clients.get(&name).ok_or(Code::RecordExpired)?;
        Ok((name, client.window.seen(job.sequence)))
    }

    /// Returns the code for an ID that was never used here. Once the final part was built, the
    /// successor may have used it.
    fn unknown_code(&self) -> Code {
        match self.phase {
            Phase::Open | Phase::Exporting => Code::UnknownJob,
            Phase::Sealed => Code::HomeLost,
        }
    }

    fn start_job(
        &mut self,
        client: ClientName,
        name: Name,
        sequence: u64,
        digest: Digest,
    ) -> Verdict {
        if let Some(code) = self.start_refusal(&name) {
            return Verdict::Refused(code);
        }
        if let Some(client) = self.clients.get_mut(&client) {
            client.window.set(sequence, Seen::Started);
        }
        self.answers.start(name, digest);
        Verdict::Fresh
    }

    fn start_key(
        &mut self,
        name: Name,
        first: bool,
        own: bool,
        digest: Digest,
        now: u64,
    ) -> Verdict {
        let incomplete = self.key_coverage_us(now) < self.limits.retention_us;
        if !first && (incomplete || !own) || self.replaced {
            return Verdict::Refused(Code::RecordExpired);
        }
        if !own {
            return Verdict::Refused(Code::HomeUnreachable);
        }
        if let Some(code) = self.start_refusal(&name) {
            return Verdict::Refused(code);
        }
        self.answers.start(name, digest);
        Verdict::Fresh
    }

    /// Returns the time, up to now, for which the records of this entry's own keys are complete, in
    /// microseconds.
    fn key_coverage_us(&self, now: u64) -> u64 {
        let since = self.keys_since.max(self.peers_differed_at);
        (now as i64).saturating_sub(since).max(0) as u64
    }

    /// Returns the code with which to refuse a new submission under this name; `None` if it may
    /// start.
    fn start_refusal(&self, name: &Name) -> Option<Code> {
        match self.phase {
            Phase::Exporting => Some(Code::Closing),
            Phase::Sealed => Some(Code::HomeLost),
            Phase::Open if self.answers.has_capacity(name, &self.limits) => None,
            Phase::Open => Some(Code::Overloaded),
        }
    }

    /// Decides by the record of a submission; refuses with `missing` if there is no record.
    fn recorded_verdict(&self, name: &Name, digest: Option<Digest>, missing: Code) -> Verdict {
        let Some(row) = self.answers.get(name) else {
            return Verdict::Refused(missing);
        };
        if digest.is_some_and(|digest| row.digest != digest) {
            return Verdict::Refused(Code::BadRequest);
        }
        match &row.state {
            State::Running => Verdict::Running,
            State::Done(record) => Verdict::Finished(record.clone()),
            State::Dropped(code) => Verdict::Refused(*code),
        }
    }

    /// Stores the outcome of a running submission. Returns false if it is not running.
    fn finish_record(&mut self, name: &Name, record: Record, now: u64) -> bool {
        let was_running = match record.code.execution() {
            Execution::NotRun => self.answers.cancel(name),
            _ => self.answers.finish(name, record, now),
        };
        self.answers.expire(&self.limits, now);
        was_running
    }

    /// Adds a client; evicts the least recently used one if the table is full.
    fn add_client(&mut self, name: ClientName, window: Window) {
        while self.clients.len() >= self.limits.clients.max(1) {
            let Some((_, oldest)) = self.by_last_use.pop_first() else { break };
            self.clients.remove(&oldest);
        }
        self.use_counter += 1;
        self.by_last_use.insert(self.use_counter, name);
        self.clients.insert(name, Client { window, last_use: self.use_counter });
    }

    /// Marks a client as the most recently used one.
    fn mark_used(&mut self, name: ClientName) {
        let Some(client) = self.clients.get_mut(&name) else {
            return;
        };
        self.by_last_use.remove(&client.last_use);
        self.use_counter += 1;
        client.last_use = self.use_counter;
        self.by_last_use.insert(self.use_counter, name);
    }
}
