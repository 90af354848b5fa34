//! Cancels of jobs that may be at any entry.
//!
//! Callers choose job IDs, so an ID does not tell which entry has the job. The entry that receives
//! a cancel asks all others, each of which cancels its own job of that ID and refuses one that
//! arrives later.

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
};

/// Time for which an entry waits for the answers of the others, in microseconds: several hundred
/// round trips, and a third of the time that the platform allows for a cancel.
pub const QUESTION_US: u64 = 1_000_000;
/// Time for which a job is refused after its cancel, in microseconds. It covers a request that is
/// delayed by retransmission or held while its entry has no configuration, and a resubmission after
/// 1.3 s.
pub const TOMBSTONE_US: u64 = 2_000_000;
/// Time for which an answer is given again without asking, in microseconds. Tombstones, which last
/// longer, keep the answer true.
pub const REMEMBER_US: u64 = 1_000_000;
/// Time for which an entry out of contact may still have jobs, in microseconds. One that any other
/// entry reaches is named by it every 5 s at the latest, and the runs of one that is lost end by
/// their leases within 1.2 s.
pub const KNOWN_US: u64 = 6_500_000;
/// Maximum number of open questions about jobs that are not at the asking entry. While another entry
/// is frozen, each stays open for `QUESTION_US`; a quarter of the jobs of a busy entry are cancelled
/// at a rate of up to 100 a second.
pub const MAX_QUESTIONS: usize = 256;
/// Maximum number of open questions, including those about jobs found at the asking entry. A flood
/// of unknown IDs leaves room for these.
pub const MAX_ALL_QUESTIONS: usize = 512;
/// Shortest mean time between two questions about jobs that are not at the asking entry, in
/// microseconds. Tombstones for twelve entries that ask at this rate fit into `MAX_TOMBSTONES`.
pub const QUESTION_INTERVAL_US: u64 = 2_000;
/// Maximum number of tombstones. The oldest ones are dropped first.
pub const MAX_TOMBSTONES: usize = 16_384;
/// Maximum length of a job ID that other entries are asked about, in bytes. No caller's protocol
/// has longer ones.
pub const MAX_ID_BYTES: usize = 64;
/// Time after which a caller may repeat a cancel whose result is uncertain, in milliseconds.
const RETRY_MS: u64 = 1_000;

/// Another entry, as seen by the asking one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Contact<P> {
    /// It can be asked over this connection.
    Connected(P),
    /// It cannot be asked, and was last reached or named by another entry at this time.
    Lost {
        /// Time in microseconds.
        since_us: u64,
    },
}

/// Result of a cancel.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The job was found and cancelled. No task of it starts any more.
    Cancelled,
    /// No entry has the job.
    Unknown,
    /// An entry that may have the job was not asked or has not answered.
    Uncertain {
        /// Time after which the cancel may be repeated, in milliseconds.
        retry_ms: u64,
    },
}

/// Message or answer to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect<P, W> {
    /// Ask an entry to cancel a job.
    Ask {
        /// Connection to the entry.
        peer: P,
        /// ID of the job.
        id: Arc<str>,
    },
    /// Tell an entry that asked whether the job was here.
    Reply {
        /// Connection to the entry.
        peer: P,
        /// ID of the job.
        id: Arc<str>,
        /// Whether the job was found and cancelled.
        found: bool,
    },
    /// Answer a caller.
    Answer {
        /// Caller that requested the cancel.
        waiter: W,
        /// Result.
        verdict: Verdict,
    },
    /// A question has been decided.
    Decided {
        /// ID of the job.
        id: Arc<str>,
        /// Result.
        verdict: Verdict,
        /// Number of entries asked.
        asked: usize,
        /// Number of entries that answered.
        answered: usize,
        /// Time since the first cancel, in microseconds.
        took_us: u64,
    },
}

/// Question to other entries that has not been decided.
#[derive(Debug)]
struct Question<P, W> {
    /// Entries that have not answered.
    pending: BTreeSet<P>,
    asked: BTreeSet<P>,
    answered: usize,
    /// Whether an entry that may have the job could not be asked.
    incomplete: bool,
    found: bool,
    began_us: u64,
    waiters: Vec<W>,
}

/// Memory of a cancel.
#[derive(Debug)]
struct Tombstone<P> {
    expires_us: u64,
    result: Option<Memory<P>>,
}

/// Definite result of a cancel, which is given again for a short time.
#[derive(Debug)]
struct Memory<P> {
    verdict: Verdict,
    until_us: u64,
    /// Entries that were asked and so have tombstones. After a restart or a new connection an entry
    /// is another one here.
    asked: BTreeSet<P>,
}

/// Cancels at one entry. `P` identifies a connection to another entry, `W` a caller.
#[derive(Debug)]
pub struct Cancels<P, W> {
    questions: HashMap<Arc<str>, Question<P, W>>,
    tombstones: HashMap<Arc<str>, Tombstone<P>>,
    by_expiry: BTreeSet<(u64, Arc<str>)>,
    /// Time up to which questions have used their rate, in microseconds.
    rate_used_us: u64,
    refused: u64,
    effects: Vec<Effect<P, W>>,
}

impl<P: Copy + Ord, W: Copy + Eq> Default for Cancels<P, W> {
    fn default() -> Self {
        Self {
            questions: HashMap::new(),
            tombstones: HashMap::new(),
            by_expiry: BTreeSet::new(),
            rate_used_us: 0,
            refused: 0,
            effects: Vec::new(),
        }
    }
}

impl<P: Copy + Ord, W: Copy + Eq> Cancels<P, W> {
    /// Handles a caller's cancel. `found` tells whether the job was here and has been cancelled.
    pub fn request(
        &mut self,
        id: &str,
        waiter: W,
        found: bool,
        contacts: impl IntoIterator<Item = Contact<P>>,
        now_us: u64,
    ) {
        if id.len() > MAX_ID_BYTES {
            let verdict = if found { Verdict::Cancelled } else { Verdict::Unknown };
            return self.effects.push(Effect::Answer { waiter, verdict });
        }
        if let Some(question) = self.questions.get_mut(id) {
            question.found |= found;
            return question.waiters.push(waiter);
        }
        let mut pending = BTreeSet::new();
        let mut incomplete = false;
        for contact in contacts {
            match contact {
                Contact::Connected(peer) => {
                    pending.insert(peer);
                }
                Contact::Lost { since_us } => incomplete |= now_us < since_us + KNOWN_US,
            }
        }
        let remembered = self.remembered(id, &pending, now_us);
        let is_doubtful = |verdict| found || incomplete && verdict == Verdict::Unknown;
        let remembered = remembered.filter(|verdict| !is_doubtful(*verdict));
        if let Some(verdict) = remembered {
            return self.effects.push(Effect::Answer { waiter, verdict });
        }
        if !pending.is_empty() && !self.may_ask(found, now_us) {
            self.refused += 1;
            if found {
                self.bury(id, now_us);
            }
            let verdict = Verdict::Uncertain { retry_ms: RETRY_MS };
            return self.effects.push(Effect::Answer { waiter, verdict });
        }
        self.bury(id, now_us);
        let id: Arc<str> = id.into();
        let asks = pending.iter().map(|peer| Effect::Ask { peer: *peer, id: id.clone() });
        self.effects.extend(asks);
        let question = Question {
            asked: pending.clone(),
            pending,
            answered: 0,
            incomplete,
            found,
            began_us: now_us,
            waiters: vec![waiter],
        };
        self.questions.insert(id.clone(), question);
        self.decide_if_complete(&id, now_us);
    }

    /// Handles another entry's question. `found` tells whether the job was here and has been
    /// cancelled. The reply is to be sent after the stops.
    pub fn asked(&mut self, id: &str, peer: P, found: bool, now_us: u64) {
        self.bury(id, now_us);
        self.effects.push(Effect::Reply { peer, id: id.into(), found });
    }

    /// Handles the answer of another entry. An answer to a question that is already decided changes
    /// nothing.
    pub fn answered(&mut self, id: &str, peer: P, found: bool, now_us: u64) {
        let Some(question) = self.questions.get_mut(id) else { return };
        if question.pending.remove(&peer) {
            question.answered += 1;
            question.found |= found;
            self.decide_if_complete(id, now_us);
        }
    }

    /// Handles the end of a connection to an entry, which will not answer over it any more.
    pub fn lost(&mut self, peer: P, now_us: u64) {
        let concerned = |question: &mut Question<P, W>| question.pending.remove(&peer);
        let ids: Vec<Arc<str>> = self
            .questions
            .iter_mut()
            .filter_map(|(id, question)| concerned(question).then(|| id.clone()))
            .collect();
        for id in ids {
            self.decide_if_complete(&id, now_us);
        }
    }

    /// Forgets a caller that has left. Its cancel continues.
    pub fn leave(&mut self, waiter: W) {
        for question in self.questions.values_mut() {
            question.waiters.retain(|other| *other != waiter);
        }
    }

    /// Returns the time until a job may be submitted, in milliseconds, if it was cancelled before
    /// it arrived.
    pub fn refusal_ms(&self, id: &str, now_us: u64) -> Option<u64> {
        let tombstone = self.tombstones.get(id)?;
        let left_us = tombstone.expires_us.checked_sub(now_us).filter(|left_us| *left_us > 0)?;
        Some(left_us.div_ceil(1000))
    }

    /// Decides questions that are due and removes expired tombstones.
    pub fn tick(&mut self, now_us: u64) {
        let is_due = |question: &Question<P, W>| question.began_us + QUESTION_US <= now_us;
        let due: Vec<Arc<str>> = self
            .questions
            .iter()
            .filter(|(_, question)| is_due(question))
            .map(|(id, _)| id.clone())
            .collect();
        for id in due {
            self.decide(&id, now_us);
        }
        while self.by_expiry.first().is_some_and(|(expires_us, _)| *expires_us <= now_us) {
            self.drop_oldest();
        }
    }

    /// Returns the time at which `tick` decides a question, or `u64::MAX`.
    pub fn next_tick(&self) -> u64 {
        let due = self.questions.values().map(|question| question.began_us + QUESTION_US);
        due.min().unwrap_or(u64::MAX)
    }

    /// Returns the number of questions that are not decided.
    pub fn open_questions(&self) -> usize {
        self.questions.len()
    }

    /// Returns the number of tombstones.
    pub fn tombstones(&self) -> usize {
        self.tombstones.len()
    }

    /// Returns the number of cancels since the last call that were refused because of the limits on
    /// questions.
    pub fn take_refused(&mut self) -> u64 {
        std::mem::take(&mut self.refused)
    }

    /// Returns the effects requested since the last call.
    pub fn drain(&mut self) -> Vec<Effect<P, W>> {
        std::mem::take(&mut self.effects)
    }

    /// Returns whether the limits allow one more question, and counts it. A cancel of a job that was
    /// here is outside the rate: there are no more of these than jobs.
    fn may_ask(&mut self, found: bool, now_us: u64) -> bool {
        if found {
            return self.questions.len() < MAX_ALL_QUESTIONS;
        }
        let burst_us = QUESTION_INTERVAL_US * MAX_QUESTIONS as u64;
        let used_us = self.rate_used_us.max(now_us.saturating_sub(burst_us)) + QUESTION_INTERVAL_US;
        if self.questions.len() >= MAX_QUESTIONS || used_us > now_us.max(burst_us) {
            return false;
        }
        self.rate_used_us = used_us;
        true
    }

    /// Returns the result of an earlier cancel if all connected entries still have its tombstone.
    fn remembered(&self, id: &str, connected: &BTreeSet<P>, now_us: u64) -> Option<Verdict> {
        let memory = self.tombstones.get(id)?.result.as_ref()?;
        (now_us < memory.until_us && memory.asked == *connected).then_some(memory.verdict)
    }

    /// Adds a tombstone or extends its time. An earlier result is forgotten.
    fn bury(&mut self, id: &str, now_us: u64) {
        let id: Arc<str> = id.into();
        let expires_us = now_us + TOMBSTONE_US;
        let tombstone = Tombstone { expires_us, result: None };
        if let Some(old) = self.tombstones.insert(id.clone(), tombstone) {
            self.by_expiry.remove(&(old.expires_us, id.clone()));
        }
        self.by_expiry.insert((expires_us, id));
        while self.by_expiry.len() > MAX_TOMBSTONES {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some((_, id)) = self.by_expiry.pop_first() {
            self.tombstones.remove(&id);
        }
    }

    fn decide_if_complete(&mut self, id: &str, now_us: u64) {
        if self.questions.get(id).is_some_and(|question| question.pending.is_empty()) {
            self.decide(id, now_us);
        }
    }

    /// Decides a question with the answers that have arrived. If the job was found, entries without
    /// an answer do not matter: a job is submitted again only after its first entry was lost, whose
    /// runs end by their leases before.
    fn decide(&mut self, id: &str, now_us: u64) {
        let Some((id, question)) = self.questions.remove_entry(id) else { return };
        let Question { asked, answered, found, incomplete, began_us, waiters, .. } = question;
        let asked_count = asked.len();
        let all_answered = answered == asked_count && !incomplete;
        let verdict = match (found, all_answered) {
            (true, _) => Verdict::Cancelled,
            (false, true) => Verdict::Unknown,
            (false, false) => Verdict::Uncertain { retry_ms: RETRY_MS },
        };
        if !matches!(verdict, Verdict::Uncertain { .. }) {
            if let Some(tombstone) = self.tombstones.get_mut(&id) {
                let until_us = now_us + REMEMBER_US;
                tombstone.result = Some(Memory { verdict, until_us, asked });
            }
        }
        let answers = waiters.into_iter().map(|waiter| Effect::Answer { waiter, verdict });
        self.effects.extend(answers);
        let took_us = now_us - began_us;
        let asked = asked_count;
        self.effects.push(Effect::Decided { id, verdict, asked, answered, took_us });
    }
}
