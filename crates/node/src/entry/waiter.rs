//! Who waits for an answer: a caller, another entry, or a list of cancellations.

use kingcup_dispatch::code::Code;
use kingcup_wire::{Forwarded, Frame};

use super::{api, Entry};
use crate::{
    http::{Answer, Reply},
    link::Id,
};

/// Who waits for an answer.
pub enum Waiter {
    /// A caller of this entry.
    Caller(Reply),
    /// Another entry that forwarded its caller's request.
    Peer {
        /// Connection of the request.
        link: Id,
        /// Number of the call on the connection.
        call: u64,
    },
    /// A cancellation of several jobs that this entry has split by home.
    Cancellation(u64),
}

impl Entry {
    /// Sends an answer to who waits for it. A peer whose connection is gone has told its caller.
    pub(super) fn answer(&mut self, waiter: Waiter, answer: Answer) {
        match waiter {
            Waiter::Caller(reply) => reply.send(answer),
            Waiter::Peer { link, call } => {
                let (status, retry_ms) = (answer.status, answer.retry_ms);
                let frame = Forwarded { call, status, retry_ms, body: &answer.body };
                if !self.send(link, &Frame::Forwarded(frame)) {
                    self.answer_too_long(link, call);
                }
            }
            Waiter::Cancellation(id) => self.cancellation_answered(id, &answer.body),
        }
    }
    /// The answer does not fit a frame; the job has run. Without effect if the connection is gone.
    fn answer_too_long(&mut self, link: Id, call: u64) {
        let code = Code::AnswerTooLarge;
        let body = api::failed("", code, "");
        let frame = Forwarded { call, status: code.status(), retry_ms: 0, body: &body };
        self.send(link, &Frame::Forwarded(frame));
    }
}
