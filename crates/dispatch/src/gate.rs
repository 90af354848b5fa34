//! Decisions of one sidecar: slots, queue, start records, fencing, drain.
//!
//! The caller passes in what it receives and the present time in microseconds, then drains the
//! effects with [`Gate::drain`] and carries them out in order. A start is named by the entry's
//! incarnation and a sequence; the gate calls the upstream at most once for each.

use std::sync::Arc;

use crate::{
    code::{Code, Fate as Verdict},
    document::Document,
    gate::{
        fair::{Queue, Waiting},
        peers::{Entry, Peers},
        record::{Answer, Lookup, State},
        slots::{Call, Slots},
    },
};

mod fair;
mod message;
mod peers;
mod record;
mod slots;

pub use message::{Effect, Load, Outcome, Peer, Report, Settings, Slot, Start, Status};

/// Queued starts of an entry that is gone are dropped after this time, in microseconds.
pub const QUEUE_GONE_US: u64 = 5_000_000;
/// Records of an entry that is gone are dropped after this time, in microseconds.
pub const RECORDS_GONE_US: u64 = 60_000_000;
/// A slot that stays free this long is reported to an entry that has more waiting, in microseconds.
pub const FREE_US: u64 = 5_000;
/// The window stays split this long after a start had to wait, in microseconds.
const CONTENDED_US: u64 = 100_000;
/// Interval between sweeps while calls of a long gone entry still run, in microseconds.
const SWEEP_US: u64 = 250_000;
/// Answers kept for all entries, in bytes; half of the 32 MB that the daemon may use.
const ANSWER_BYTES: usize = 16 << 20;

/// What a request about several starts does to each.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ask {
    Inquire,
    Recall { stop: bool },
}

/// All decisions of one sidecar.
#[derive(Debug)]
pub struct Gate {
    settings: Settings,
    incarnation: u64,
    revision: u64,
    closing: bool,
    peers: Peers,
    slots: Slots,
    queue: Queue,
    contended_until_us: u64,
    free_since_us: u64,
    next_sweep_us: u64,
    effects: Vec<Effect>,
}

impl Gate {
    /// Starts with all slots free and no document.
    pub fn new(settings: Settings, incarnation: u64) -> Self {
        Self {
            settings,
            incarnation,
            revision: 0,
            closing: false,
            peers: Peers::default(),
            slots: Slots::open(settings.slots),
            queue: Queue::open(settings.slots, settings.queue),
            contended_until_us: 0,
            free_since_us: 0,
            next_sweep_us: 0,
            effects: Vec::new(),
        }
    }

    /// Incarnation of the sidecar.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Revision of the document in force; 0 if there is none.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// True once the gate takes no new work.
    pub fn is_closing(&self) -> bool {
        self.closing
    }

    /// Slots of the upstream.
    pub fn slots(&self) -> u16 {
        self.settings.slots
    }

    /// Calls that have not ended.
    pub fn running(&self) -> usize {
        self.slots.taken()
    }

    /// Starts that wait for a slot.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Start records kept.
    pub fn records(&self) -> usize {
        self.peers.rows().map(|row| row.records.len()).sum()
    }

    /// Open connections of entries.
    pub fn connected(&self) -> usize {
        self.peers.connected()
    }

    /// Takes the effects decided since the last call, in order.
    pub fn drain(&mut self) -> impl Iterator<Item = Effect> + '_ {
        self.effects.drain(..)
    }

    /// Puts a document in force; true if its revision is higher than the present one. Queued starts
    /// of kinds that it removes are refused.
    pub fn apply(&mut self, document: &Document, revision: u64, now: u64) -> bool {
        if revision <= self.revision {
            return false;
        }
        self.revision = revision;
        let (removed, moved) = self.queue.apply(document);
        for call in self.slots.iter_mut() {
            call.kind = call.kind.and_then(|kind| moved[kind]);
        }
        for waiting in removed {
            self.give_back(&waiting, Some(Code::UnknownKind), now);
        }
        self.fill(now);
        true
    }

    /// Opens a connection of an entry. A connection of the same incarnation with a lower generation
    /// is replaced: nothing sent on it takes effect afterwards.
    ///
    /// # Errors
    ///
    /// `Fenced` if a connection with this or a higher generation was seen, `Overloaded` if too many
    /// entries are connected.
    pub fn hello(
        &mut self,
        name: &str,
        incarnation: u64,
        generation: u32,
        settled: u64,
        now: u64,
    ) -> Result<Peer, Code> {
        let (peer, replaced) = self.peers.connect(name, incarnation, generation)?;
        if let Some(peer) = replaced {
            self.effects.push(Effect::Close { peer });
        }
        if let Some(entry) = self.peers.entry(peer) {
            self.peers.row_mut(entry).records.settle(settled);
            self.report(entry, now);
        }
        Ok(peer)
    }

    /// Load as reported to one entry; `None` if the connection is closed. The entry is taken to
    /// know the window from then on.
    pub fn load(&mut self, peer: Peer, now: u64) -> Option<Load> {
        let entry = self.peers.entry(peer)?;
        Some(self.report(entry, now))
    }

    fn report(&mut self, entry: Entry, now: u64) -> Load {
        let window = self.window(now);
        self.peers.row_mut(entry).grant(window, now);
        let (counts, kinds) = self.queue.running();
        let queued = u16::try_from(self.queue.len()).unwrap_or(u16::MAX);
        Load { revision: self.revision, queued, window, counts, kinds }
    }

    fn window(&mut self, now: u64) -> u16 {
        let capacity = self.settings.slots.saturating_add(self.settings.queue);
        if now < self.contended_until_us {
            return self.peers.fair_window(capacity, now);
        }
        capacity
    }

    /// Takes a start. It runs now, waits, or is refused; a sequence seen before has no effect.
    pub fn start(&mut self, peer: Peer, start: &Start<'_>, now: u64) {
        let Some(entry) = self.peers.entry(peer) else {
            return;
        };
        self.expire(now);
        let records = &mut self.peers.row_mut(entry).records;
        records.settle(start.settled);
        if !records.is_fresh(start.sequence) {
            if matches!(records.find(start.sequence), Lookup::Never) {
                self.refuse(entry, start.sequence, Code::Fenced, now);
            }
            return;
        }
        records.see(start.sequence);
        self.peers.touch(entry, start.has_backlog, now);
        match self.admit(entry, start, now) {
            Ok(kind) => self.place(entry, peer, kind, start, now),
            Err(code) => self.refuse(entry, start.sequence, code, now),
        }
    }

    /// Index of the start's kind, if the start may be accepted.
    fn admit(&mut self, entry: Entry, start: &Start<'_>, now: u64) -> Result<usize, Code> {
        if self.closing {
            return Err(Code::Closing);
        }
        if self.revision == 0 {
            return Err(Code::NoDocument);
        }
        let kind = self.queue.kind(start.kind).ok_or(Code::UnknownKind)?;
        let row = self.peers.row(entry);
        if row.outstanding >= row.allowance(now) || !row.records.has_room() {
            self.contend(now);
            return Err(Code::Busy);
        }
        if self.can_run(start.headroom) {
            return Ok(kind);
        }
        self.contend(now);
        if start.wait_ms == 0 || !self.queue.has_room(kind) {
            return Err(Code::Busy);
        }
        Ok(kind)
    }

    /// True if a start with this headroom may take a slot now. No queued start can, because the
    /// queue was served when the last slot became free.
    fn can_run(&self, headroom: u8) -> bool {
        self.slots.free() > usize::from(headroom)
    }

    fn contend(&mut self, now: u64) {
        self.contended_until_us = now + CONTENDED_US;
    }

    fn place(&mut self, entry: Entry, peer: Peer, kind: usize, start: &Start<'_>, now: u64) {
        let row = self.peers.row_mut(entry);
        row.outstanding += 1;
        row.queued += 1;
        row.records.push(start.sequence, State::Queued);
        let waiting = Waiting {
            entry,
            peer,
            sequence: start.sequence,
            job: start.job.to_owned(),
            task: start.task,
            headroom: start.headroom,
            queued_us: now,
            expires_us: now + u64::from(start.wait_ms) * 1000,
            payload: start.payload.to_vec(),
        };
        if self.can_run(start.headroom) {
            self.queue.wake(kind, now);
            self.run(kind, waiting, now);
        } else {
            self.queue.push(kind, waiting, now);
        }
    }

    fn run(&mut self, kind: usize, waiting: Waiting, now: u64) {
        let Waiting { entry, peer, sequence, job, task, payload, .. } = waiting;
        let queue_us = saturate(now.saturating_sub(waiting.queued_us));
        let charged_us = self.queue.charge(kind, now);
        let slot = self.slots.take(Call {
            entry,
            sequence,
            kind: Some(kind),
            charged_us,
            queue_us,
            started_us: now,
            stopped: false,
        });
        let row = self.peers.row_mut(entry);
        row.queued -= 1;
        row.records.set(sequence, State::Running(slot));
        let name = self.queue.name(kind);
        let timeout_ms = self.queue.timeout_ms(kind);
        self.effects.push(Effect::Call {
            slot,
            peer,
            sequence,
            job,
            task,
            kind: name,
            timeout_ms,
            payload,
        });
    }

    /// Serves the queue while slots are free.
    fn fill(&mut self, now: u64) {
        self.expire(now);
        while let Some((kind, waiting)) = self.queue.pop(self.slots.free(), now) {
            self.run(kind, waiting, now);
        }
    }

    fn expire(&mut self, now: u64) {
        for waiting in self.queue.expire(now) {
            self.give_back(&waiting, Some(Code::Expired), now);
        }
    }

    /// Marks a start that left the queue as never run, and tells its entry if there is a code.
    fn give_back(&mut self, waiting: &Waiting, code: Option<Code>, now: u64) {
        let row = self.peers.row_mut(waiting.entry);
        row.queued -= 1;
        row.outstanding -= 1;
        row.records.set(waiting.sequence, State::Never);
        if let Some(code) = code {
            self.refuse(waiting.entry, waiting.sequence, code, now);
        }
    }

    fn refuse(&mut self, entry: Entry, sequence: u64, code: Code, now: u64) {
        debug_assert_eq!(code.fate(), Verdict::NotRun);
        let Some(peer) = self.peers.row(entry).peer else {
            return;
        };
        let load = self.report(entry, now);
        self.effects.push(Effect::Refuse { peer, sequence, code, load });
    }

    /// Takes the end of a call. One that has ended before has no effect.
    pub fn finished(&mut self, slot: Slot, outcome: Outcome, body: Vec<u8>, now: u64) {
        let Some(call) = self.slots.release(slot) else {
            return;
        };
        let run_us = now.saturating_sub(call.started_us);
        if let Some(kind) = call.kind {
            self.queue.settle(kind, call.charged_us, run_us);
        }
        self.free_since_us = now;
        self.fill(now);
        if !call.stopped {
            self.conclude(&call, outcome, body, now);
        }
    }

    /// Records how a call ended and tells its entry.
    fn conclude(&mut self, call: &Call, outcome: Outcome, body: Vec<u8>, now: u64) {
        let row = self.peers.row_mut(call.entry);
        row.outstanding -= 1;
        if let Outcome::NotRun(code) = outcome {
            row.records.set(call.sequence, State::Never);
            return self.refuse(call.entry, call.sequence, code, now);
        }
        let run_us = saturate(now.saturating_sub(call.started_us));
        let answer = Answer { outcome, queue_us: call.queue_us, run_us, body: Arc::new(body) };
        row.records.set(call.sequence, State::Finished(answer.clone()));
        let limit = ANSWER_BYTES / self.peers.connected().max(1);
        let records = &mut self.peers.row_mut(call.entry).records;
        if records.body_bytes() > limit {
            records.shed(limit, Outcome::Failed(Code::AnswerExpired));
        }
        self.send_finish(call.entry, call.sequence, answer, now);
    }

    fn send_finish(&mut self, entry: Entry, sequence: u64, answer: Answer, now: u64) {
        let Some(peer) = self.peers.row(entry).peer else {
            return;
        };
        let load = self.report(entry, now);
        let Answer { outcome, queue_us, run_us, body } = answer;
        self.effects.push(Effect::Finish { peer, sequence, outcome, queue_us, run_us, load, body });
    }

    /// Gives back what has not started, and with `stop` abandons what runs. Sequences that were not
    /// seen never start afterwards.
    pub fn recall(&mut self, peer: Peer, sequences: &[u64], stop: bool, now: u64) {
        if let Some(reports) = self.ask(peer, sequences, Ask::Recall { stop }, now) {
            self.effects.push(Effect::Recalled { peer, reports });
        }
    }

    /// Says what became of starts. Sequences that were not seen never start afterwards.
    pub fn inquire(&mut self, peer: Peer, sequences: &[u64], now: u64) {
        if let Some(reports) = self.ask(peer, sequences, Ask::Inquire, now) {
            self.effects.push(Effect::Reports { peer, reports });
        }
    }

    fn ask(&mut self, peer: Peer, sequences: &[u64], ask: Ask, now: u64) -> Option<Vec<Report>> {
        let entry = self.peers.entry(peer)?;
        self.expire(now);
        let report =
            |&sequence| Report { sequence, status: self.resolve(entry, sequence, ask, now) };
        Some(sequences.iter().map(report).collect())
    }

    fn resolve(&mut self, entry: Entry, sequence: u64, ask: Ask, now: u64) -> Status {
        let records = &mut self.peers.row_mut(entry).records;
        records.fence(sequence);
        match records.find(sequence) {
            Lookup::Never => Status::NotRun,
            Lookup::Gone => {
                self.report_gone(entry, sequence, now);
                Status::Finished
            }
            Lookup::Found(State::Queued) if ask == Ask::Inquire => Status::Queued,
            Lookup::Found(State::Queued) => {
                for waiting in self.queue.remove(entry, sequence) {
                    self.give_back(&waiting, None, now);
                }
                Status::NotRun
            }
            Lookup::Found(&State::Running(slot)) if ask == (Ask::Recall { stop: true }) => {
                self.stop(slot, now);
                Status::Finished
            }
            Lookup::Found(State::Running(_)) => Status::Running,
            Lookup::Found(State::Finished(answer)) => {
                if ask == Ask::Inquire {
                    let answer = answer.clone();
                    self.send_finish(entry, sequence, answer, now);
                }
                Status::Finished
            }
            Lookup::Found(State::Never) => Status::NotRun,
        }
    }

    /// Tells the entry that a start without a record may have run.
    fn report_gone(&mut self, entry: Entry, sequence: u64, now: u64) {
        let outcome = Outcome::Unknown(Code::RecordExpired);
        let answer = Answer { outcome, queue_us: 0, run_us: 0, body: Arc::default() };
        self.send_finish(entry, sequence, answer, now);
    }

    /// Abandons a call and reports it as "may have run". Its slot stays taken until the call ends.
    fn stop(&mut self, slot: Slot, now: u64) {
        let Some(call) = self.slots.get_mut(slot) else {
            return;
        };
        call.stopped = true;
        let (entry, sequence) = (call.entry, call.sequence);
        let run_us = saturate(now.saturating_sub(call.started_us));
        let outcome = Outcome::Unknown(Code::Stopped);
        let answer = Answer { outcome, queue_us: call.queue_us, run_us, body: Arc::default() };
        let row = self.peers.row_mut(entry);
        row.outstanding -= 1;
        row.records.set(sequence, State::Finished(answer.clone()));
        self.effects.push(Effect::Stop { slot });
        self.send_finish(entry, sequence, answer, now);
    }

    /// Notes that a connection was closed. Its entry's work continues; see `QUEUE_GONE_US` and
    /// `RECORDS_GONE_US`.
    pub fn disconnected(&mut self, peer: Peer, now: u64) {
        if self.peers.disconnect(peer, now).is_some() {
            self.next_sweep_us = self.next_sweep_us.min(now + QUEUE_GONE_US);
        }
    }

    /// Takes no new work from now on and refuses what has not started. What runs ends.
    pub fn close(&mut self, now: u64) {
        self.closing = true;
        for waiting in self.queue.retain(|_| false) {
            self.give_back(&waiting, Some(Code::Closing), now);
        }
    }

    /// Does what is due by time alone: expiry in the queue, records of entries that are gone, and
    /// the report of a slot that stays free.
    pub fn tick(&mut self, now: u64) {
        self.fill(now);
        if now >= self.next_sweep_us {
            self.sweep(now);
        }
        if self.is_slot_idle() && now >= self.free_since_us + FREE_US {
            self.report_free(now);
        }
    }

    /// Time at which `tick` has something to do at the earliest; `None` if only an event changes
    /// that.
    pub fn next_tick(&self) -> Option<u64> {
        let hungry = self.is_slot_idle() && self.peers.hungry().is_some();
        let free = if hungry { self.free_since_us + FREE_US } else { u64::MAX };
        let due = free.min(self.next_sweep_us).min(self.queue.next_expiry_us());
        (due != u64::MAX).then_some(due)
    }

    fn is_slot_idle(&self) -> bool {
        !self.closing && self.slots.free() > 0 && self.queue.len() == 0
    }

    fn report_free(&mut self, now: u64) {
        let Some(entry) = self.peers.hungry() else {
            return;
        };
        let row = self.peers.row_mut(entry);
        row.more_us = None;
        let Some(peer) = row.peer else {
            return;
        };
        self.free_since_us = now;
        let load = self.report(entry, now);
        self.effects.push(Effect::Load { peer, load });
    }

    /// Drops queued starts and records of entries that have been gone for long.
    fn sweep(&mut self, now: u64) {
        let mut stale_queue = Vec::new();
        let mut stale_records = Vec::new();
        let mut next_us = u64::MAX;
        for (entry, row) in self.peers.gone() {
            let queue_due_us = row.gone_us + QUEUE_GONE_US;
            let records_due_us = row.gone_us + RECORDS_GONE_US;
            if row.queued > 0 && queue_due_us <= now {
                stale_queue.push(entry);
            } else if row.queued > 0 {
                next_us = next_us.min(queue_due_us);
            }
            if row.records.len() > 0 && records_due_us <= now {
                stale_records.push(entry);
                next_us = next_us.min(now + SWEEP_US);
            } else if row.records.len() > 0 {
                next_us = next_us.min(records_due_us);
            }
        }
        for entry in stale_queue {
            for waiting in self.queue.retain(|waiting| waiting.entry != entry) {
                self.give_back(&waiting, None, now);
            }
        }
        for entry in stale_records {
            self.peers.row_mut(entry).records.forget();
        }
        self.next_sweep_us = next_us;
    }
}

/// A duration in microseconds, cut to what a frame carries.
fn saturate(us: u64) -> u32 {
    u32::try_from(us).unwrap_or(u32::MAX)
}
