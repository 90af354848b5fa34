//! Cancels of jobs, whichever entry has them.

use kingcup_dispatch::cancel::{Effect, Verdict};
use kingcup_wire::{run::Message, Frame};

use super::Entry;
use crate::{link::Id, runs::protocol::Status, web::server};

impl Entry {
    /// Handles a caller's cancel: cancels the job here, and asks the other entries.
    pub(super) fn cancel(&mut self, caller: server::Id, id: &str, now_us: u64) {
        let found = self.cancel_here(id, now_us);
        self.cancels.request(id, caller, found, self.mesh.contacts(), now_us);
    }

    /// Handles another entry's question about a job to cancel.
    pub(super) fn handle_cancel_question(&mut self, link: Id, id: &str, now_us: u64) {
        let found = self.cancel_here(id, now_us);
        self.metrics.cancel_messages("received", 1);
        if found {
            log::info!("event=cancel_received job={id}");
        }
        self.cancels.asked(id, link, found, now_us);
    }

    /// Cancels a job of this entry. Returns whether there is one.
    fn cancel_here(&mut self, id: &str, now_us: u64) -> bool {
        let Some(job) = self.planner.find(id) else { return false };
        self.planner.cancel_and_answer(job, now_us);
        true
    }

    /// Sends the messages and answers about cancels. Returns false if there are none.
    pub(super) fn execute_cancels(&mut self, now_us: u64) -> bool {
        let effects = self.cancels.drain();
        if effects.is_empty() {
            return false;
        }
        for effect in effects {
            match effect {
                Effect::Ask { peer, id } => {
                    self.metrics.cancel_messages("asked", 1);
                    if !self.links.send(peer, &Frame::Run(Message::Cancel { id: &id })) {
                        self.cancels.lost(peer, now_us);
                    }
                }
                Effect::Reply { peer, id, found } => {
                    self.links.send(peer, &Frame::Run(Message::Cancelled { id: &id, found }));
                }
                Effect::Answer { waiter, verdict } => {
                    self.metrics.cancelled(verdict);
                    let status = match verdict {
                        Verdict::Cancelled => Status::Cancelled,
                        Verdict::Unknown => Status::Unknown,
                        Verdict::Uncertain { retry_ms } => Status::Unavailable(retry_ms),
                    };
                    self.respond_late(waiter, status, now_us);
                }
                Effect::Decided { id, verdict, asked, answered, took_us } => {
                    self.metrics.cancel_messages("answered", answered);
                    log::info!(
                        "event=cancel job={id} verdict={verdict:?} asked={asked} \
                         answered={answered} took_us={took_us}"
                    );
                }
            }
        }
        true
    }

    /// Logs how many cancels were refused by the limits on questions since the last call. One line
    /// for each cancel would let a flood of them fill the log.
    pub(super) fn report_refused_cancels(&mut self) {
        let refused = self.cancels.take_refused();
        if refused > 0 {
            log::warn!("event=cancels_refused count={refused}");
        }
    }
}
