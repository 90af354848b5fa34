//! Calls of a sidecar to its upstream.

use kingcup_dispatch::worker::{run, Effect, Order, Reply};
use stakker::CX;
use stakker_mio::Ready;

use super::Sidecar;
use crate::web::{client, Fault, Response};

/// Timeout of a poll, beyond the time for which the upstream may hold it, in microseconds.
const POLL_TIMEOUT_US: u64 = 60_000;

/// A call that is waiting for its response.
#[derive(Debug)]
pub(super) enum Token {
    Order(run::Key, Order),
    /// Poll with its number.
    Poll(u64),
}

impl Sidecar {
    pub(super) fn send_order(
        &mut self,
        cx: CX![],
        key: run::Key,
        order: Order,
        timeout_us: u64,
        now_us: u64,
    ) {
        log::info!("event=order {} running={}", describe(&order), self.supervisor.running());
        let request = (self.protocol.order)(&self.upstream_name(), &order);
        let token = Token::Order(key, order);
        let (address, deadline_us) = (self.settings.upstream, now_us + timeout_us);
        if let Err((token, result)) =
            self.client.call(cx, address, &request, deadline_us, token, Self::upstream_ready)
        {
            self.handle_response(token, &result, now_us);
        }
    }

    pub(super) fn send_poll(&mut self, cx: CX![], effect: &Effect, now_us: u64) {
        let Effect::Poll { number, deadline_ms, fence, last_end, wait_ms } = *effect else {
            return;
        };
        let request = (self.protocol.poll)(deadline_ms, fence, last_end, wait_ms);
        let deadline_us = now_us + u64::from(wait_ms) * 1000 + POLL_TIMEOUT_US;
        let address = self.settings.upstream;
        let token = Token::Poll(number);
        if let Err((token, result)) =
            self.client.call(cx, address, &request, deadline_us, token, Self::upstream_ready)
        {
            self.handle_response(token, &result, now_us);
        }
    }

    fn upstream_ready(&mut self, cx: CX![], id: client::Id, ready: Ready) {
        let now_us = self.begin_event();
        if let Some((token, result)) = self.client.ready(id, ready) {
            self.handle_response(token, &result, now_us);
        }
        self.finish_event(cx, now_us);
    }

    /// Ends the calls whose deadline has passed and handles their results.
    pub(super) fn expire_calls(&mut self, now_us: u64) {
        for (token, result) in self.client.expire(now_us) {
            self.handle_response(token, &result, now_us);
        }
    }

    fn handle_response(&mut self, token: Token, result: &Result<Response, Fault>, now_us: u64) {
        match token {
            Token::Order(key, order) => {
                let (reply, clock_ms) = (self.protocol.order_reply)(result);
                self.metrics.replied(reply);
                if reply != Reply::Done {
                    log::info!("event=order_failed {} reply={reply:?}", describe(&order));
                }
                self.supervisor.replied(key, &order, reply, clock_ms, now_us);
            }
            Token::Poll(number) => match (self.protocol.poll_reply)(result) {
                Ok(listing) => self.supervisor.poll_answered(number, listing, now_us),
                Err((reply, clock_ms)) => {
                    log::info!("event=look_failed reply={reply:?}");
                    self.supervisor.poll_failed(number, reply, clock_ms, now_us);
                }
            },
        }
    }

    fn upstream_name(&self) -> String {
        self.supervisor.profile().map_or_else(String::new, |profile| profile.name.to_string())
    }
}

fn describe(order: &Order) -> String {
    match order {
        Order::Start { task, attempt, .. } => format!("order=start task={task} attempt={attempt}"),
        Order::Stop { task, attempt, .. } => format!("order=stop task={task} attempt={attempt}"),
    }
}
