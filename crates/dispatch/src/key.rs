//! Records of submissions, by job ID and by idempotency key, so that each runs at most once.

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

/// Longest idempotency key, in bytes. Longer ones are refused as malformed.
pub const MAX_KEY_BYTES: usize = 128;
/// Most incarnations of other entries whose IDs one ledger owns; a day has about 240 restarts.
pub const MAX_ADOPTED: usize = 64;

/// Number of the ledger's own incarnation among its homes.
const OWN: u32 = 0;

/// Bounds of a ledger.
///
/// With the defaults all tables together take at most about 35 MB: clients 3 MB, running submissions
/// 5 MB, finished records and answers 16 MiB, and idempotency keys whose answers were dropped 10 MB
/// (3 MB more if all are of full length). While records of other entries are imported, these take at
/// most as much again until their final part. `docs/measurements-membership.md` has measured sizes.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Clients that are remembered; the least recently used is evicted.
    pub clients: usize,
    /// Submissions that run at the same time.
    pub running: usize,
    /// Idempotency keys that are remembered; further ones are refused until some expire. The default
    /// allows 54 new keys a second over the retention.
    pub keys: usize,
    /// Bytes of finished records, each counted with `answers::RECORD_BYTES`.
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

/// Digest of a submission's body; tells a repetition from another body under the same ID.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Digest(pub u128);

/// How a submission ended.
#[derive(Debug, Clone, PartialEq)]
pub struct Record {
    /// Result.
    pub code: Code,
    /// Answer.
    pub body: Arc<[u8]>,
}

impl Record {
    /// Code that is answered once the record itself is no longer kept.
    pub fn expired(&self) -> Code {
        expired(self.code)
    }
}

/// Code that is answered for a submission whose record is no longer kept.
fn expired(code: Code) -> Code {
    match code.execution() {
        Execution::Complete | Execution::Failed => Code::AnswerExpired,
        Execution::NotRun | Execution::MayHaveRun => Code::RecordExpired,
    }
}

/// What is to be done with a submission.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// Run it now and report its end with `finish` or `finish_key`.
    Fresh,
    /// It is running; attach the caller to it.
    Running,
    /// It has ended; return this.
    Finished(Record),
    /// Return this code. Nothing was started by this submission.
    Refused(Code),
}

/// A submission under an idempotency key.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// The key. The caller of the ledger prefixes it with the service's name.
    pub key: &'a str,
    /// The caller marked this as its first attempt (`Kingcup-First-Attempt`).
    pub first: bool,
    /// Digest of the list of entries by which the sender found the owner.
    pub peers: u64,
}

/// Whether a ledger still starts new submissions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Open,
    /// Records are being exported; nothing new starts, here or elsewhere.
    Exporting,
    /// The final part was made; the successor may be starting submissions.
    Sealed,
}

/// An incarnation whose job IDs the ledger owns.
#[derive(Debug)]
struct Owned {
    number: u32,
    entry: String,
    incarnation: u64,
    next_client: u64,
    since: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ClientName {
    home: u32,
    number: u64,
}

#[derive(Debug)]
struct Client {
    window: Window,
    used: u64,
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

/// Table of submissions that makes each run at most once.
///
/// Job IDs are safe under pauses and partitions, because only the incarnation named in the ID, or
/// the one successor that received its final part, answers `Fresh` for it. An idempotency key is
/// safe within the retention as long as one process at a time uses an entry's name.
#[derive(Debug)]
pub struct Ledger {
    limits: Limits,
    owners: Owners,
    homes: Vec<Owned>,
    clients: BTreeMap<ClientName, Client>,
    used: BTreeMap<u64, ClientName>,
    uses: u64,
    answers: Answers,
    keys_from: i64,
    differed: i64,
    phase: Phase,
    replaced: bool,
    next_home: u32,
    round: u32,
    exported: u32,
    staged: Vec<handover::Staged>,
}

impl Ledger {
    /// Makes an empty ledger for an incarnation of an entry that starts now.
    pub fn new(entry: &str, incarnation: u64, owners: Owners, limits: Limits, now: u64) -> Self {
        let own =
            Owned { number: OWN, entry: entry.to_owned(), incarnation, next_client: 1, since: now };
        Self {
            limits,
            owners,
            homes: vec![own],
            clients: BTreeMap::new(),
            used: BTreeMap::new(),
            uses: 0,
            answers: Answers::default(),
            keys_from: now as i64,
            differed: i64::MIN,
            phase: Phase::Open,
            replaced: false,
            next_home: OWN + 1,
            round: 0,
            exported: 0,
            staged: Vec::new(),
        }
    }

    /// Issues a home token with a number that no other caller has.
    pub fn issue_home(&mut self, now: u64) -> Home {
        self.answers.expire(&self.limits, now);
        let own = &mut self.homes[0];
        let client = own.next_client;
        own.next_client += 1;
        let home = Home { entry: own.entry.clone(), incarnation: own.incarnation, client };
        self.add_client(ClientName { home: OWN, number: client }, Window::default());
        home
    }

    /// Decides what to do with a submission under a job ID.
    ///
    /// Refusals: `HomeLost` if another incarnation owns the ID, `UnknownJob` if the client's number
    /// was never issued, `RecordExpired` if the client was evicted, the sequence is below the window
    /// or the outcome is no longer known, `AnswerExpired` if the job ran and its answer is no longer
    /// kept, `BadRequest` if the ID was used with another body, `Overloaded` at the bound of running
    /// submissions, `Closing` while the records are exported.
    pub fn submit(&mut self, job: &Job, digest: Digest, now: u64) -> Verdict {
        self.answers.expire(&self.limits, now);
        let (client, seen) = match self.locate(job) {
            Ok(found) => found,
            Err(code) => return Verdict::Refused(code),
        };
        self.touch(client);
        let row = Name::Job(client.home, client.number, job.sequence);
        match seen {
            Seen::Never => self.start_job(client, row, job.sequence, digest),
            Seen::Below => Verdict::Refused(Code::RecordExpired),
            Seen::Started => self.known(&row, Some(digest), Code::RecordExpired),
            Seen::Ran => self.known(&row, Some(digest), Code::AnswerExpired),
        }
    }

    /// What is known of a job, without submitting it; never `Fresh`.
    ///
    /// Refusals as for `submit`, and `UnknownJob` for a sequence that was not submitted.
    pub fn lookup(&mut self, job: &Job, now: u64) -> Verdict {
        self.answers.expire(&self.limits, now);
        let (client, seen) = match self.locate(job) {
            Ok(found) => found,
            Err(code) => return Verdict::Refused(code),
        };
        let row = Name::Job(client.home, client.number, job.sequence);
        match seen {
            Seen::Never => Verdict::Refused(self.unknown()),
            Seen::Below => Verdict::Refused(Code::RecordExpired),
            Seen::Started => self.known(&row, None, Code::RecordExpired),
            Seen::Ran => self.known(&row, None, Code::AnswerExpired),
        }
    }

    /// Stores how a running job ended. False if the job is not running here.
    ///
    /// A record whose code says "not run" is not kept: the same ID may be submitted again.
    pub fn finish(&mut self, job: &Job, record: Record, now: u64) -> bool {
        let Some(owned) = self.owned(&job.home) else {
            return false;
        };
        let name = ClientName { home: owned.number, number: job.home.client };
        let seen = match record.code.execution() {
            Execution::NotRun => Seen::Never,
            Execution::MayHaveRun => Seen::Started,
            Execution::Complete | Execution::Failed => Seen::Ran,
        };
        let row = Name::Job(name.home, name.number, job.sequence);
        let known = self.end(&row, record, now);
        if known {
            if let Some(client) = self.clients.get_mut(&name) {
                client.window.set(job.sequence, seen);
            }
        }
        known
    }

    /// Decides what to do with a submission under an idempotency key that this entry owns, or that
    /// an entry owned whose records it has taken over.
    ///
    /// Refusals: `PeersDiffer` if the sender has another list of entries, `HomeUnreachable` if the
    /// key belongs to another entry, `RecordExpired` if an earlier attempt cannot be excluded,
    /// `AnswerExpired`, `BadRequest`, `Overloaded` and `Closing` as for `submit`.
    pub fn submit_key(&mut self, keyed: Request<'_>, digest: Digest, now: u64) -> Verdict {
        self.answers.expire(&self.limits, now);
        if keyed.key.is_empty() || keyed.key.len() > MAX_KEY_BYTES {
            return Verdict::Refused(Code::BadRequest);
        }
        if keyed.peers != self.owners.digest() {
            self.note_peers_differ(now);
            return Verdict::Refused(Code::PeersDiffer);
        }
        let owner = self.owners.owner(keyed.key).unwrap_or_default();
        let own = owner == self.homes[0].entry;
        if !own && !self.homes.iter().any(|home| home.entry == owner) {
            return Verdict::Refused(Code::HomeUnreachable);
        }
        let name = Name::Key(Arc::from(keyed.key));
        if self.answers.get(&name).is_some() {
            return self.known(&name, Some(digest), Code::RecordExpired);
        }
        self.start_key(name, keyed.first, own, digest, now)
    }

    /// Stores how a running submission under a key ended; as `finish`.
    pub fn finish_key(&mut self, key: &str, record: Record, now: u64) -> bool {
        self.end(&Name::Key(Arc::from(key)), record, now)
    }

    /// Notes that some entry uses another list of entries.
    ///
    /// It may have run keys that belong here by this entry's list, so from now on this entry is as
    /// cautious about unmarked keys as one that has just started.
    pub fn note_peers_differ(&mut self, now: u64) {
        self.differed = self.differed.max(now as i64);
    }

    /// Notes that a newer incarnation uses this entry's name. New keys are refused from then on,
    /// since both would own them.
    pub fn mark_replaced(&mut self) {
        self.replaced = true;
    }

    /// Incarnations of other entries whose job IDs this ledger owns, for announcement.
    pub fn adopted(&self) -> impl Iterator<Item = (&str, u64)> {
        self.homes[1..].iter().map(|home| (home.entry.as_str(), home.incarnation))
    }

    /// The settings' list of entries.
    pub fn owners(&self) -> &Owners {
        &self.owners
    }

    /// Number of clients remembered.
    pub fn clients(&self) -> usize {
        self.clients.len()
    }

    /// Number of submissions running.
    pub fn running(&self) -> usize {
        self.answers.running()
    }

    /// Bytes of finished records, as counted against the limit.
    pub fn answer_bytes(&self) -> usize {
        self.answers.bytes()
    }

    fn owned(&self, home: &Home) -> Option<&Owned> {
        let matches = |own: &&Owned| own.incarnation == home.incarnation && own.entry == home.entry;
        self.homes.iter().find(matches)
    }

    /// Finds a job's client and what its window says of the sequence.
    fn locate(&self, job: &Job) -> Result<(ClientName, Seen), Code> {
        let owned = self.owned(&job.home).ok_or(Code::HomeLost)?;
        let name = ClientName { home: owned.number, number: job.home.client };
        if name.number == 0 || name.number >= owned.next_client {
            return Err(self.unknown());
        }
        let client = self.clients.get(&name).ok_or(Code::RecordExpired)?;
        Ok((name, client.window.seen(job.sequence)))
    }

    /// Code for an ID that was never used here. After the final part the successor may use it.
    fn unknown(&self) -> Code {
        match self.phase {
            Phase::Open | Phase::Exporting => Code::UnknownJob,
            Phase::Sealed => Code::HomeLost,
        }
    }

    fn start_job(&mut self, name: ClientName, row: Name, seq: u64, digest: Digest) -> Verdict {
        if let Some(code) = self.no_start(&row) {
            return Verdict::Refused(code);
        }
        if let Some(client) = self.clients.get_mut(&name) {
            client.window.set(seq, Seen::Started);
        }
        self.answers.start(row, digest);
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
        let young = self.key_reach(now) < self.limits.retention_us;
        if !first && (young || !own) || self.replaced {
            return Verdict::Refused(Code::RecordExpired);
        }
        if !own {
            return Verdict::Refused(Code::HomeUnreachable);
        }
        if let Some(code) = self.no_start(&name) {
            return Verdict::Refused(code);
        }
        self.answers.start(name, digest);
        Verdict::Fresh
    }

    /// How far back this entry's records of its own keys reach, in microseconds.
    fn key_reach(&self, now: u64) -> u64 {
        let from = self.keys_from.max(self.differed);
        (now as i64).saturating_sub(from).max(0) as u64
    }

    /// Why nothing new may start under this name.
    fn no_start(&self, name: &Name) -> Option<Code> {
        match self.phase {
            Phase::Exporting => Some(Code::Closing),
            Phase::Sealed => Some(Code::HomeLost),
            Phase::Open if self.answers.has_room(name, &self.limits) => None,
            Phase::Open => Some(Code::Overloaded),
        }
    }

    fn known(&self, name: &Name, digest: Option<Digest>, gone: Code) -> Verdict {
        let Some(row) = self.answers.get(name) else {
            return Verdict::Refused(gone);
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

    fn end(&mut self, name: &Name, record: Record, now: u64) -> bool {
        let known = match record.code.execution() {
            Execution::NotRun => self.answers.cancel(name),
            _ => self.answers.finish(name, record, now),
        };
        self.answers.expire(&self.limits, now);
        known
    }

    fn add_client(&mut self, name: ClientName, window: Window) {
        while self.clients.len() >= self.limits.clients.max(1) {
            let Some((_, oldest)) = self.used.pop_first() else { break };
            self.clients.remove(&oldest);
        }
        self.uses += 1;
        self.used.insert(self.uses, name);
        self.clients.insert(name, Client { window, used: self.uses });
    }

    fn touch(&mut self, name: ClientName) {
        let Some(client) = self.clients.get_mut(&name) else {
            return;
        };
        self.used.remove(&client.used);
        self.uses += 1;
        client.used = self.uses;
        self.used.insert(self.uses, name);
    }
}
