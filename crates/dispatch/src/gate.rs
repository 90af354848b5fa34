//! Scheduling on one sidecar: upstream slots, the queue, start records, fencing and drain.
//!
//! The caller passes in received messages and the current time in microseconds, then drains the
//! effects with [`Gate::drain`] and carries them out in order. A start is identified by the entry's
//! incarnation and a sequence number; the gate calls the upstream at most once per start.

use std::sync::Arc;

use crate::{
    code::{Code, Execution},
    document::Document,
    gate::{
        fair::{Item, Queue},
        peers::{Entry, Peers},
        record::{Answer, Lookup, State},
        slots::{Call, Slots},
    },
};

mod evacuate;
mod fair;
mod message;
mod peers;
mod record;
mod slots;

pub use message::{Effect, Load, Outcome, Peer, Report, Settings, Slot, Start, Status};

/// Time after which the queued starts of a disconnected entry are dropped, in microseconds.
pub const QUEUE_RETENTION_US: u64 = 5_000_000;
/// Time after which the start records of a disconnected entry are dropped, in microseconds.
pub const RECORD_RETENTION_US: u64 = 60_000_000;
/// Time for which a slot must stay free before it is reported to an entry with a backlog, in
/// microseconds.
pub const IDLE_REPORT_US: u64 = 5_000;
/// Time for which the window stays split between the entries after a start could not run at once,
/// in microseconds.
const CONTENTION_US: u64 = 100_000;
/// Interval between sweeps while calls of an entry past its record retention still run, in
/// microseconds.
const SWEEP_INTERVAL_US: u64 = 250_000;
/// Limit on the answers kept for all entries, in bytes: half of the 32 MB that the daemon may use.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// An entry's request about several of its starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Request {
    Inquire,
    Recall { stop: bool },
}

/// Scheduling state of one sidecar.
#[derive(Debug)]
pub struct Gate {
    settings: Settings,
    incarnation: u64,
    revision: u64,
    closing: bool,
    evacuated: bool,
    peers: Peers,
    slots: Slots,
    queue: Queue,
    /// Time until which the window is split between the entries.
    contended_until_us: u64,
    /// Time of the last end of a call or report of a free slot, from which `IDLE_REPORT_US` counts.
    free_since_us: u64,
    next_sweep_us: u64,
    effects: Vec<Effect>,
}

impl Gate {
    /// Creates a gate with all slots free and no document.
    pub fn open(settings: Settings, incarnation: u64) -> Self {
        Self {
            settings,
            incarnation,
            revision: 0,
            closing: false,
            evacuated: false,
            peers: Peers::default(),
            slots: Slots::new(settings.slots),
            queue: Queue::new(settings.slots, settings.queue),
            contended_until_us: 0,
            free_since_us: 0,
            next_sweep_us: 0,
            effects: Vec::new(),
        }
    }

    /// Returns the incarnation of the sidecar.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the revision of the document in force, or 0 if there is none.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns true once the gate accepts no new work.
    pub fn is_closing(&self) -> bool {
        self.closing
    }

    /// Returns the number of slots of the upstream.
    pub fn slots(&self) -> u16 {
        self.settings.slots
    }

    /// Returns the number of calls that have not ended.
    pub fn running(&self) -> usize {
        self.slots.running()
    }

    /// Returns the number of starts waiting for a slot.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of start records kept.
    pub fn records(&self) -> usize {
        self.peers.rows().map(|row| row.records.len()).sum()
    }

    /// Returns the number of open connections of entries.
    pub fn connected(&self) -> usize {
        self.peers.connected()
    }

    /// Removes and returns the effects decided since the last call, in order.
    pub fn drain(&mut self) -> impl Iterator<Item = Effect> + '_ {
        self.effects.drain(..)
    }

    /// Puts a document in force if its revision is higher than the current one, and returns whether
    /// it did. Queued starts of kinds that the document removes are refused.
    pub fn apply(&mut self, document: &Document, revision: u64, now: u64) -> bool {
        if revision <= self.revision {
            return false;
        }
        self.revision = revision;
        let (removed, new_indices) = self.queue.apply(document);
        for call in self.slots.iter_mut() {
            call.kind = call.kind.and_then(|kind| new_indices[kind]);
        }
        for item in removed {
            self.return_unstarted(&item, Some(Code::UnknownKind), now);
        }
        self.serve_queue(now);
        true
    }

    /// Registers a connection of an entry. It replaces a connection of the same incarnation with a
    /// lower generation; messages received on the replaced connection then have no effect.
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
            self.report_load(entry, now);
        }
        Ok(peer)
    }

    /// Returns the load to report to one entry, or `None` if the connection is closed. From then on
    /// the gate assumes that the entry knows its window.
    pub fn load(&mut self, peer: Peer, now: u64) -> Option<Load> {
        let entry = self.peers.entry(peer)?;
        Some(self.report_load(entry, now))
    }

    fn report_load(&mut self, entry: Entry, now: u64) -> Load {
        let window = self.window(now);
        self.peers.row_mut(entry).set_window(window, now);
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

    /// Handles a start: runs, queues or refuses it. A sequence at or below the highest seen starts
    /// nothing; it is refused if it never ran.
    pub fn start(&mut self, peer: Peer, start: &Start<'_>, now: u64) {
        let Some(entry) = self.peers.entry(peer) else {
            return;
        };
        self.expire(now);
        let records = &mut self.peers.row_mut(entry).records;
        records.settle(start.settled);
        if !records.may_start(start.sequence) {
            if matches!(records.find(start.sequence), Lookup::NeverStarted) {
                self.refuse(entry, start.sequence, Code::Fenced, now);
            }
            return;
        }
        records.observe(start.sequence);
        self.peers.record_start(entry, start.has_backlog, now);
        match self.admit(entry, start, now) {
            Ok(kind) => self.accept(entry, peer, kind, start, now),
            Err(code) => self.refuse(entry, start.sequence, code, now),
        }
    }

    /// Returns the index of the start's kind, or the reason to refuse the start.
    fn admit(&mut self, entry: Entry, start: &Start<'_>, now: u64) -> Result<usize, Code> {
        if self.closing {
            return Err(Code::Closing);
        }
        if self.evacuated {
            return Err(Code::Evacuated);
        }
        if self.revision == 0 {
            return Err(Code::NoDocument);
        }
        let kind = self.queue.kind(start.kind).ok_or(Code::UnknownKind)?;
        let row = self.peers.row(entry);
        if row.outstanding >= row.allowance(now) || !row.records.has_capacity() {
            self.mark_contended(now);
            return Err(Code::Busy);
        }
        if self.can_run(start.headroom) {
            return Ok(kind);
        }
        self.mark_contended(now);
        if start.wait_ms == 0 || !self.queue.has_capacity(kind) {
            return Err(Code::Busy);
        }
        Ok(kind)
    }

    /// Returns true if a start with this headroom may use a slot now. It passes no queued start:
    /// the queue was served when the last slot became free, so none of those can run now.
    fn can_run(&self, headroom: u8) -> bool {
        self.slots.free() > usize::from(headroom)
    }

    fn mark_contended(&mut self, now: u64) {
        self.contended_until_us = now + CONTENTION_US;
    }

    fn accept(&mut self, entry: Entry, peer: Peer, kind: usize, start: &Start<'_>, now: u64) {
        let row = self.peers.row_mut(entry);
        row.outstanding += 1;
        row.queued += 1;
        row.records.push(start.sequence, State::Queued);
        let item = Item {
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
            self.queue.activate(kind, now);
            self.run(kind, item, now);
        } else {
            self.queue.push(kind, item, now);
        }
    }

    fn run(&mut self, kind: usize, item: Item, now: u64) {
        let Item { entry, peer, sequence, job, task, payload, .. } = item;
        let queue_us = saturating_u32(now.saturating_sub(item.queued_us));
        let charged_us = self.queue.charge(kind, now);
        let slot = self.slots.occupy(Call {
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

    /// Runs queued starts while slots are free.
    fn serve_queue(&mut self, now: u64) {
        self.expire(now);
        while let Some((kind, item)) = self.queue.pop(self.slots.free(), now) {
            self.run(kind, item, now);
        }
    }

    fn expire(&mut self, now: u64) {
        for item in self.queue.expire(now) {
            self.return_unstarted(&item, Some(Code::Expired), now);
        }
    }

    /// Records a start removed from the queue as not run, and refuses it if there is a code.
    fn return_unstarted(&mut self, item: &Item, code: Option<Code>, now: u64) {
        let row = self.peers.row_mut(item.entry);
        row.queued -= 1;
        row.outstanding -= 1;
        row.records.set(item.sequence, State::NotRun);
        if let Some(code) = code {
            self.refuse(item.entry, item.sequence, code, now);
        }
    }

    fn refuse(&mut self, entry: Entry, sequence: u64, code: Code, now: u64) {
        debug_assert_eq!(code.execution(), Execution::NotRun);
        let Some(peer) = self.peers.row(entry).peer else {
            return;
        };
        let load = self.report_load(entry, now);
        self.effects.push(Effect::Refuse { peer, sequence, code, load });
    }

    /// Handles the end of a call. A repeated end of the same call has no effect.
    pub fn finished(&mut self, slot: Slot, outcome: Outcome, body: Vec<u8>, now: u64) {
        let Some(call) = self.slots.release(slot) else {
            return;
        };
        let run_us = now.saturating_sub(call.started_us);
        if let Some(kind) = call.kind {
            self.queue.correct(kind, call.charged_us, run_us);
        }
        self.free_since_us = now;
        self.serve_queue(now);
        if !call.stopped {
            self.record_outcome(&call, outcome, body, now);
        }
    }

    /// Records the outcome of a call and reports it to its entry.
    fn record_outcome(&mut self, call: &Call, outcome: Outcome, body: Vec<u8>, now: u64) {
        let row = self.peers.row_mut(call.entry);
        row.outstanding -= 1;
        if let Outcome::NotRun(code) = outcome {
            row.records.set(call.sequence, State::NotRun);
            return self.refuse(call.entry, call.sequence, code, now);
        }
        let run_us = saturating_u32(now.saturating_sub(call.started_us));
        let answer = Answer { outcome, queue_us: call.queue_us, run_us, body: Arc::new(body) };
        row.records.set(call.sequence, State::Finished(answer.clone()));
        let limit = MAX_ANSWER_BYTES / self.peers.connected().max(1);
        let records = &mut self.peers.row_mut(call.entry).records;
        if records.body_bytes() > limit {
            records.discard_bodies(limit, Outcome::Failed(Code::AnswerExpired));
        }
        self.send_finish(call.entry, call.sequence, answer, now);
    }

    fn send_finish(&mut self, entry: Entry, sequence: u64, answer: Answer, now: u64) {
        let Some(peer) = self.peers.row(entry).peer else {
            return;
        };
        let load = self.report_load(entry, now);
        let Answer { outcome, queue_us, run_us, body } = answer;
        self.effects.push(Effect::Finish { peer, sequence, outcome, queue_us, run_us, load, body });
    }

    /// Removes starts from the queue, and with `stop` abandons running calls. Sequences not seen
    /// so far are fenced: they never start afterwards.
    pub fn recall(&mut self, peer: Peer, sequences: &[u64], stop: bool, now: u64) {
        if let Some(reports) = self.report_starts(peer, sequences, Request::Recall { stop }, now) {
            self.effects.push(Effect::Recalled { peer, reports });
        }
    }

    /// Reports the status of starts. Sequences not seen so far are fenced: they never start
    /// afterwards.
    pub fn inquire(&mut self, peer: Peer, sequences: &[u64], now: u64) {
        if let Some(reports) = self.report_starts(peer, sequences, Request::Inquire, now) {
            self.effects.push(Effect::Reports { peer, reports });
        }
    }

    fn report_starts(
        &mut self,
        peer: Peer,
        sequences: &[u64],
        request: Request,
        now: u64,
    ) -> Option<Vec<Report>> {
        let entry = self.peers.entry(peer)?;
        self.expire(now);
        let report =
            |&sequence| Report { sequence, status: self.resolve(entry, sequence, request, now) };
        Some(sequences.iter().map(report).collect())
    }

    fn resolve(&mut self, entry: Entry, sequence: u64, request: Request, now: u64) -> Status {
        let records = &mut self.peers.row_mut(entry).records;
        records.fence(sequence);
        match records.find(sequence) {
            Lookup::NeverStarted => Status::NotRun,
            Lookup::Discarded => {
                self.report_unknown(entry, sequence, now);
                Status::Finished
            }
            Lookup::Found(State::Queued) if request == Request::Inquire => Status::Queued,
            Lookup::Found(State::Queued) => {
                for item in self.queue.remove(entry, sequence) {
                    self.return_unstarted(&item, None, now);
                }
                Status::NotRun
            }
            Lookup::Found(&State::Running(slot)) if request == (Request::Recall { stop: true }) => {
                self.stop(slot, now);
                Status::Finished
            }
            Lookup::Found(State::Running(_)) => Status::Running,
            Lookup::Found(State::Finished(answer)) => {
                if request == Request::Inquire {
                    let answer = answer.clone();
                    self.send_finish(entry, sequence, answer, now);
                }
                Status::Finished
            }
            Lookup::Found(State::NotRun) => Status::NotRun,
        }
    }

    /// Reports to the entry that a start whose record was discarded may have run.
    fn report_unknown(&mut self, entry: Entry, sequence: u64, now: u64) {
        let outcome = Outcome::Unknown(Code::RecordExpired);
        let answer = Answer { outcome, queue_us: 0, run_us: 0, body: Arc::default() };
        self.send_finish(entry, sequence, answer, now);
    }

    /// Abandons a call and reports that it may have run. The slot stays occupied until the call
    /// ends.
    fn stop(&mut self, slot: Slot, now: u64) {
        let Some(call) = self.slots.get_mut(slot) else {
            return;
        };
        call.stopped = true;
        let (entry, sequence) = (call.entry, call.sequence);
        let run_us = saturating_u32(now.saturating_sub(call.started_us));
        let outcome = Outcome::Unknown(Code::Stopped);
        let answer = Answer { outcome, queue_us: call.queue_us, run_us, body: Arc::default() };
        let row = self.peers.row_mut(entry);
        row.outstanding -= 1;
        row.records.set(sequence, State::Finished(answer.clone()));
        self.effects.push(Effect::Stop { slot });
        self.send_finish(entry, sequence, answer, now);
    }

    /// Records that a connection was closed. Running calls of the entry continue; its queued starts
    /// and records are kept for `QUEUE_RETENTION_US` and `RECORD_RETENTION_US`.
    pub fn disconnected(&mut self, peer: Peer, now: u64) {
        if self.peers.disconnect(peer, now).is_some() {
            self.next_sweep_us = self.next_sweep_us.min(now + QUEUE_RETENTION_US);
        }
    }

    /// Stops accepting work and refuses queued starts. Running calls continue to their end.
    pub fn close(&mut self, now: u64) {
        self.closing = true;
        for item in self.queue.retain(|_| false) {
            self.return_unstarted(&item, Some(Code::Closing), now);
        }
    }

    /// Does the work due at this time: expires queued starts, drops the state of entries that have
    /// been disconnected for long, and reports a slot that stays free.
    pub fn tick(&mut self, now: u64) {
        self.serve_queue(now);
        if now >= self.next_sweep_us {
            self.sweep(now);
        }
        if self.is_slot_idle() && now >= self.free_since_us + IDLE_REPORT_US {
            self.report_free_slot(now);
        }
    }

    /// Returns the earliest time at which `tick` has work to do, or `None` if it has none until the
    /// next event.
    pub fn next_tick(&self) -> Option<u64> {
        let reportable = self.is_slot_idle() && self.peers.longest_backlogged().is_some();
        let report_us = if reportable { self.free_since_us + IDLE_REPORT_US } else { u64::MAX };
        let due_us = report_us.min(self.next_sweep_us).min(self.queue.next_expiry_us());
        (due_us != u64::MAX).then_some(due_us)
    }

    fn is_slot_idle(&self) -> bool {
        !self.closing && !self.evacuated && self.slots.free() > 0 && self.queue.len() == 0
    }

    fn report_free_slot(&mut self, now: u64) {
        let Some(entry) = self.peers.longest_backlogged() else {
            return;
        };
        let row = self.peers.row_mut(entry);
        row.backlog_since_us = None;
        let Some(peer) = row.peer else {
            return;
        };
        self.free_since_us = now;
        let load = self.report_load(entry, now);
        self.effects.push(Effect::Load { peer, load });
    }

    /// Drops queued starts and records of entries whose retention times have passed.
    fn sweep(&mut self, now: u64) {
        let mut queue_expired = Vec::new();
        let mut records_expired = Vec::new();
        let mut next_us = u64::MAX;
        for (entry, row) in self.peers.disconnected() {
            let queue_due_us = row.disconnected_us + QUEUE_RETENTION_US;
            let records_due_us = row.disconnected_us + RECORD_RETENTION_US;
            if row.queued > 0 && queue_due_us <= now {
                queue_expired.push(entry);
            } else if row.queued > 0 {
                next_us = next_us.min(queue_due_us);
            }
            if row.records.len() > 0 && records_due_us <= now {
                records_expired.push(entry);
                next_us = next_us.min(now + SWEEP_INTERVAL_US);
            } else if row.records.len() > 0 {
                next_us = next_us.min(records_due_us);
            }
        }
        for entry in queue_expired {
            for item in self.queue.retain(|item| item.entry != entry) {
                self.return_unstarted(&item, None, now);
            }
        }
        for entry in records_expired {
            self.peers.row_mut(entry).records.discard_ended();
        }
        self.next_sweep_us = next_us;
    }
}

/// Converts a duration to the width of a frame's field; larger values become `u32::MAX`.
fn saturating_u32(us: u64) -> u32 {
    u32::try_from(us).unwrap_or(u32::MAX)
}
