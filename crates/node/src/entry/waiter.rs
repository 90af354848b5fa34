//! Recipients of answers: callers, other entries, and lists of cancellations.

use kingcup_dispatch::code::Code;
use kingcup_wire::{Forwarded, Frame};

use super::{api, Entry};
use crate::{
    http::{Answer, Reply},
    link::Id,
};

/// Recipient of an answer.
pub enum Waiter {
    /// A caller of this entry.
    Caller(Reply),
    /// Another entry, which has forwarded its caller's request.
    Peer {
        /// Connection on which the request arrived.
        link: Id,
        /// Number of the call on the connection.
        call: u64,
    },
    /// A list of jobs to cancel, by its number in `cancellations::Table`. This entry has divided
    /// the list among the jobs' homes.
    Cancellation(u64),
}

impl Entry {
    /// Sends an answer to its recipient. An answer to a peer whose connection is closed is dropped;
    /// the peer has already refused its caller's request.
    pub(super) fn answer(&mut self, waiter: Waiter, answer: Answer) {
        match waiter {
            Waiter::Caller(reply) => reply.send(answer),
            Waiter::Peer { link, call } => {
                let (status, retry_ms) = (answer.status, answer.retry_ms);
                let frame = Forwarded { call, status, retry_ms, body: &answer.body };
                if !self.send(link, &Frame::Forwarded(frame)) {
                    self.send_answer_too_large(link, call);
                }
            }
            Waiter::Cancellation(id) => self.cancellation_answered(id, &answer.body),
        }
    }

    /// Reports that the job has run but its answer does not fit a frame. Has no effect if the
    /// connection is closed.
    fn send_answer_too_large(&mut self, link: Id, call: u64) {
        let code = Code::AnswerTooLarge;
        let body = api::failed("", code, "");
        let frame = Forwarded { call, status: code.status(), retry_ms: 0, body: &body };
        self.send(link, &Frame::Forwarded(frame));
    }
}
