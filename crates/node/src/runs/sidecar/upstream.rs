//! Calls of a sidecar to its upstream.

use kingcup_dispatch::worker::{run, Effect, Order, Reply};
use stakker::CX;
use stakker_mio::Ready;

use super::Sidecar;
use crate::web::{client, Fault, Response};

/// Time limit of a look, beyond the time that it waits at the upstream, in microseconds.
const LOOK_US: u64 = 60_000;

/// A call that has no answer yet.
#[derive(Debug)]
pub(super) enum Token {
    Order(run::Key, Order),
    Look(u64),
}

impl Sidecar {
    pub(super) fn call_order(
        &mut self,
        cx: CX![],
        key: run::Key,
        order: Order,
        timeout_us: u64,
        now_us: u64,
    ) {
        log::info!("event=order {} running={}", describe(&order), self.supervisor.running());
        let request = (self.border.order)(&self.upstream_name(), &order);
        let token = Token::Order(key, order);
        let (to, due) = (self.settings.upstream, now_us + timeout_us);
        if let Err((token, result)) =
            self.client.call(cx, to, &request, due, token, Self::upstream_ready)
        {
            self.upstream_answered(token, &result, now_us);
        }
    }

    pub(super) fn call_look(&mut self, cx: CX![], effect: &Effect, now_us: u64) {
        let Effect::Poll { number, deadline_ms, fence, last_end, wait_ms } = *effect else {
            return;
        };
        let request = (self.border.look)(deadline_ms, fence, last_end, wait_ms);
        let due = now_us + u64::from(wait_ms) * 1000 + LOOK_US;
        let to = self.settings.upstream;
        let token = Token::Look(number);
        if let Err((token, result)) =
            self.client.call(cx, to, &request, due, token, Self::upstream_ready)
        {
            self.upstream_answered(token, &result, now_us);
        }
    }

    fn upstream_ready(&mut self, cx: CX![], id: client::Id, _: Ready) {
        let now_us = self.wake();
        if let Some((token, result)) = self.client.ready(id) {
            self.upstream_answered(token, &result, now_us);
        }
        self.settle(cx, now_us);
    }

    /// Ends the calls that were not answered in time.
    pub(super) fn expire_calls(&mut self, now_us: u64) {
        for (token, result) in self.client.expire(now_us) {
            self.upstream_answered(token, &result, now_us);
        }
    }

    fn upstream_answered(&mut self, token: Token, result: &Result<Response, Fault>, now_us: u64) {
        match token {
            Token::Order(key, order) => {
                let (reply, clock_ms) = (self.border.order_reply)(result);
                self.meter.replied(reply);
                if reply != Reply::Done {
                    log::info!("event=order_failed {} reply={reply:?}", describe(&order));
                }
                self.supervisor.replied(key, &order, reply, clock_ms, now_us);
            }
            Token::Look(number) => match (self.border.look_reply)(result) {
                Ok(look) => self.supervisor.poll_answered(number, look, now_us),
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
