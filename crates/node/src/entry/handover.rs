//! Handover of the records of a stopping entry to its successor.

use kingcup_dispatch::key::{Imported, Part, Successor};
use kingcup_wire::{Frame, Handover as Message};

use super::{peers::Key, Entry};
use crate::link::Id;

/// Maximum size of one part of the records, in bytes.
const MAX_PART_BYTES: usize = 1 << 20;
/// Time without an acknowledgement after which the connection counts as broken, in microseconds.
/// Before the final part, another successor is tried then.
const ACK_TIMEOUT_US: u64 = 1_500_000;

/// A handover in progress.
#[derive(Debug)]
pub struct Handover {
    /// Time at which the handover is given up, in microseconds.
    deadline_us: u64,
    /// Candidates that have not acknowledged a part in time or whose connection broke.
    failed: Vec<Key>,
    attempt: Option<Attempt>,
}

/// Transfer of the records to one candidate.
#[derive(Debug)]
struct Attempt {
    peer: Key,
    incarnation: u64,
    parts: Vec<Vec<u8>>,
    /// Number of parts acknowledged so far, in order.
    acked: usize,
    /// True once the final part is built. It transfers ownership, so from then on no other
    /// candidate may receive one.
    sealed: bool,
    /// Time at which the next acknowledgement is overdue, in microseconds.
    overdue_us: u64,
    /// Connection on which the unacknowledged part was sent; `None` if it must be sent again.
    sent: Option<Id>,
}

impl Handover {
    /// Creates a handover that is given up at `deadline_us`.
    pub fn new(deadline_us: u64) -> Self {
        Self { deadline_us, failed: Vec::new(), attempt: None }
    }
}

impl Entry {
    /// Chooses a successor, sends the next part, or gives up after the deadline.
    pub(super) fn tick_handover(&mut self, now_us: u64) {
        let Some(handover) = self.stop.handover() else { return };
        if now_us >= handover.deadline_us {
            log::warn!("event=handover_failed reason=timeout");
            return self.end_handover(None, now_us);
        }
        match &handover.attempt {
            None => self.choose_successor(now_us),
            Some(attempt) if now_us >= attempt.overdue_us => {
                let peer = attempt.peer;
                self.handover_interrupted(peer, now_us);
            }
            Some(_) => self.send_part(now_us),
        }
    }

    /// Exports the records and starts sending them to the first connected candidate that has not
    /// failed. Ends the handover if there is none.
    fn choose_successor(&mut self, now_us: u64) {
        let Some(handover) = self.stop.handover() else { return };
        let failed = handover.failed.clone();
        let is_open = |key: &Key| self.peers.get(*key).is_some_and(|row| row.contact.is_open());
        let candidate = self
            .members
            .successors()
            .into_iter()
            .filter_map(|id| self.peers.find(&self.members.get(id)?.name))
            .find(|key| is_open(key) && !failed.contains(key));
        let Some(peer) = candidate else {
            log::warn!("event=handover_failed reason=no_successor");
            return self.end_handover(None, now_us);
        };
        let Some(row) = self.peers.get(peer) else { return };
        let (name, incarnation) = (row.name.clone(), row.incarnation);
        let parts: Vec<Vec<u8>> =
            self.ledger.export(MAX_PART_BYTES, now_us).iter().map(encode).collect();
        log::info!("event=handover_begun successor={name} parts={}", parts.len());
        let attempt = Attempt {
            peer,
            incarnation,
            parts,
            acked: 0,
            sealed: false,
            overdue_us: now_us + ACK_TIMEOUT_US,
            sent: None,
        };
        if let Some(handover) = self.stop.handover() {
            handover.attempt = Some(attempt);
        }
        self.send_part(now_us);
    }

    /// Sends the first unacknowledged part, unless it was sent on this connection already.
    fn send_part(&mut self, now_us: u64) {
        let peers = self.ledger.owners().digest();
        let Some(handover) = self.stop.handover() else { return };
        let Some(attempt) = &mut handover.attempt else { return };
        let Some(row) = self.peers.get_mut(attempt.peer) else { return };
        let Some(id) = row.contact.link.filter(|_| row.contact.is_open()) else { return };
        let Some(records) = attempt.parts.get(attempt.acked) else { return };
        if attempt.sent == Some(id) {
            return;
        }
        attempt.sent = Some(id);
        row.contact.note_sent(now_us);
        let records = records.clone();
        let (part, last) = (attempt.acked as u32, attempt.sealed);
        let name = self.settings.process.name.clone();
        let incarnation = self.incarnation;
        let message = Message { name: &name, incarnation, peers, part, last, records: &records };
        self.send(id, &Frame::Handover(message));
    }

    /// Handles the acknowledgement of a part, which the successor has stored.
    pub(super) fn handover_acked(&mut self, peer: Key, part: u32, now_us: u64) {
        let Some(handover) = self.stop.handover() else { return };
        let Some(attempt) = &mut handover.attempt else { return };
        if attempt.peer != peer || part as usize != attempt.acked {
            return;
        }
        attempt.acked += 1;
        attempt.sent = None;
        attempt.overdue_us = now_us + ACK_TIMEOUT_US;
        if attempt.acked < attempt.parts.len() {
            return self.send_part(now_us);
        }
        if attempt.sealed {
            log::info!("event=handover_done");
            return self.end_handover(Some(peer), now_us);
        }
        self.seal(peer, now_us);
    }

    /// Builds and sends the final part, which transfers ownership of the records.
    fn seal(&mut self, peer: Key, now_us: u64) {
        let Some(row) = self.peers.get(peer) else { return };
        let entry = row.name.clone();
        let Some(handover) = self.stop.handover() else { return };
        let Some(attempt) = &mut handover.attempt else { return };
        let successor = Successor { entry: &entry, incarnation: attempt.incarnation };
        let Some(last) = self.ledger.seal(successor, now_us) else { return };
        attempt.parts.push(encode(&last));
        attempt.sealed = true;
        self.send_part(now_us);
    }

    /// Handles a broken connection to the successor, or a missing acknowledgement. Before the final
    /// part, another successor is tried; afterwards the same part is sent again on the next
    /// connection.
    pub(super) fn handover_interrupted(&mut self, peer: Key, now_us: u64) {
        let Some(handover) = self.stop.handover() else { return };
        let Some(attempt) = handover.attempt.as_mut().filter(|attempt| attempt.peer == peer) else {
            return;
        };
        attempt.sent = None;
        attempt.overdue_us = now_us + ACK_TIMEOUT_US;
        if !attempt.sealed {
            log::warn!("event=handover_interrupted");
            handover.attempt = None;
            handover.failed.push(peer);
        }
    }

    /// Imports a part of a stopping entry's records. Returns false if the connection must be
    /// closed, so that the sender tries another successor.
    pub(super) fn handover_received(&mut self, id: Id, message: &Message<'_>, now_us: u64) -> bool {
        if message.peers != self.ledger.owners().digest() || self.stop.is_closing() {
            log::warn!("event=handover_rejected from={}", message.name);
            return false;
        }
        let part: Part = match postcard::from_bytes(message.records) {
            Ok(part) => part,
            Err(error) => {
                log::warn!("event=handover_rejected from={} error={error:?}", message.name);
                return false;
            }
        };
        match self.ledger.import(part, now_us) {
            Ok(imported) => {
                self.send(id, &Frame::HandoverAck(message.part));
                if message.last && imported == Imported::Adopted {
                    log::info!(
                        "event=records_adopted entry={} incarnation={:x}",
                        message.name,
                        message.incarnation
                    );
                    self.send_digests();
                }
                true
            }
            Err(fault) => {
                log::warn!("event=handover_rejected from={} fault=\"{fault}\"", message.name);
                false
            }
        }
    }
}

fn encode(part: &Part) -> Vec<u8> {
    postcard::to_allocvec(part).unwrap_or_default()
}
