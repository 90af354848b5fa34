//! Handover of the records of a stopping entry to its successor.

use kingcup_dispatch::key::{Imported, Part, Successor};
use kingcup_wire::{Frame, Handover as Message};

use super::{peers::Key, Entry};
use crate::link::Id;

/// Largest part of the records, in bytes.
const PART_BYTES: usize = 1 << 20;
/// Time without an acknowledgement after which another successor is tried, in microseconds.
const ACK_US: u64 = 1_500_000;

/// A handover in progress.
#[derive(Debug)]
pub struct Handover {
    /// The handover is given up after this time, in microseconds.
    deadline_us: u64,
    /// Peers that have failed.
    failed: Vec<Key>,
    attempt: Option<Attempt>,
}

/// A successor and the parts that it is sent.
#[derive(Debug)]
struct Attempt {
    peer: Key,
    incarnation: u64,
    parts: Vec<Vec<u8>>,
    /// Acknowledged parts, in order.
    acked: usize,
    /// The final part is made; from then on no other peer may get it.
    sealed: bool,
    /// When the next acknowledgement is overdue, in microseconds.
    overdue_us: u64,
    /// Connection on which the outstanding part was sent.
    sent: Option<Id>,
}

impl Handover {
    /// A handover that has to end by a time in microseconds.
    pub fn begin(deadline_us: u64) -> Self {
        Self { deadline_us, failed: Vec::new(), attempt: None }
    }
}

impl Entry {
    /// Chooses a successor, sends the next part, or gives up.
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
                self.handover_broken(peer, now_us);
            }
            Some(_) => self.send_part(now_us),
        }
    }

    fn choose_successor(&mut self, now_us: u64) {
        let Some(handover) = self.stop.handover() else { return };
        let failed = handover.failed.clone();
        let open = |key: &Key| self.peers.get(*key).is_some_and(|row| row.contact.is_open());
        let found = self
            .members
            .successors()
            .into_iter()
            .filter_map(|id| self.peers.find(&self.members.get(id)?.name))
            .find(|key| open(key) && !failed.contains(key));
        let Some(peer) = found else {
            log::warn!("event=handover_failed reason=no_successor");
            return self.end_handover(None, now_us);
        };
        let Some(row) = self.peers.get(peer) else { return };
        let (name, incarnation) = (row.name.clone(), row.incarnation);
        let parts: Vec<Vec<u8>> =
            self.ledger.export(PART_BYTES, now_us).iter().map(encode).collect();
        log::info!("event=handover_begun successor={name} parts={}", parts.len());
        let attempt = Attempt {
            peer,
            incarnation,
            parts,
            acked: 0,
            sealed: false,
            overdue_us: now_us + ACK_US,
            sent: None,
        };
        if let Some(handover) = self.stop.handover() {
            handover.attempt = Some(attempt);
        }
        self.send_part(now_us);
    }

    /// Sends the first part that was not acknowledged, unless it is on its way.
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

    /// A part is stored at the successor.
    pub(super) fn handover_acked(&mut self, peer: Key, part: u32, now_us: u64) {
        let Some(handover) = self.stop.handover() else { return };
        let Some(attempt) = &mut handover.attempt else { return };
        if attempt.peer != peer || part as usize != attempt.acked {
            return;
        }
        attempt.acked += 1;
        attempt.sent = None;
        attempt.overdue_us = now_us + ACK_US;
        if attempt.acked < attempt.parts.len() {
            return self.send_part(now_us);
        }
        if attempt.sealed {
            log::info!("event=handover_done");
            return self.end_handover(Some(peer), now_us);
        }
        self.seal(peer, now_us);
    }

    /// Makes the final part, which passes ownership.
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

    /// The connection to the successor broke or it does not answer. Before the final part another
    /// one is tried; afterwards the same part is sent again on the next connection.
    pub(super) fn handover_broken(&mut self, peer: Key, now_us: u64) {
        let Some(handover) = self.stop.handover() else { return };
        let Some(attempt) = handover.attempt.as_mut().filter(|attempt| attempt.peer == peer) else {
            return;
        };
        attempt.sent = None;
        attempt.overdue_us = now_us + ACK_US;
        if !attempt.sealed {
            log::warn!("event=handover_interrupted");
            handover.attempt = None;
            handover.failed.push(peer);
        }
    }

    /// Takes a part of a stopping entry's records. False if the sender is to try another successor.
    pub(super) fn handover_arrived(&mut self, id: Id, message: &Message<'_>, now_us: u64) -> bool {
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
