//! Requests of callers and of the balancer.

use std::sync::Arc;

use kingcup_dispatch::plan::Answer;
use slotmap::{Key as _, KeyData};
use stakker::CX;
use stakker_mio::Ready;

use super::{Detail, Entry};
use crate::{
    runs::border::{Ask, Told},
    web::{server, Event, Request, Response},
};

/// Time after which callers of an entry that cannot serve now may return, in milliseconds.
const RETURN_MS: u64 = 250;

impl Entry {
    pub(super) fn accept_callers(&mut self, cx: CX![], _: Ready) {
        let now_us = self.wake();
        self.callers.accept(cx, now_us, Self::caller_ready);
    }

    fn caller_ready(&mut self, cx: CX![], id: server::Id, _: Ready) {
        let now_us = self.wake();
        let event = self.callers.read(id, now_us);
        self.caller_events(id, event, now_us);
        self.settle(cx, now_us);
    }

    fn caller_events(&mut self, id: server::Id, mut event: Option<Event>, now_us: u64) {
        loop {
            match event {
                Some(Event::Request(request)) => self.request(id, &request, now_us),
                Some(Event::Gone(waiting)) => {
                    if let Some(job) = self.waiting.remove(&id).filter(|_| waiting) {
                        if let Some(detail) = self.details.get(job) {
                            log::info!("event=caller_left job={}", detail.id);
                        }
                        self.planner.cancel(job, now_us);
                    }
                    return;
                }
                None => return,
            }
            event = self.callers.next(id);
        }
    }

    fn request(&mut self, id: server::Id, request: &Request, now_us: u64) {
        if self.document.version() == 0 {
            return self.tell(id, Told::Unavailable(RETURN_MS));
        }
        let ask = (self.border.ask)(request, self.document.table());
        match ask {
            Ask::Submit { submission, spec } => self.submit(id, submission, spec, now_us),
            Ask::Unsupported(kind) => {
                log::info!("event=job_refused reason=unsupported kind={kind}");
                self.tell(id, Told::Unsupported);
            }
            Ask::State { id: job } => {
                let told = self.planner.find(&job).map_or(Told::Unknown, |_| Told::Running);
                self.tell(id, told);
            }
            Ask::Cancel { id: job } => {
                let told = match self.planner.find(&job) {
                    Some(job) => {
                        self.planner.cancel_and_answer(job, now_us);
                        Told::Cancelled
                    }
                    None => Told::Unknown,
                };
                self.tell(id, told);
            }
            Ask::Pending { queue } => {
                let pending = self.planner.pending(&queue);
                self.tell(id, Told::Pending(pending));
            }
            Ask::NoQueue => self.tell(id, Told::NoQueue),
            Ask::Invalid(reason) => {
                log::info!("event=request_invalid reason=\"{reason}\"");
                self.tell(id, Told::Invalid);
            }
        }
    }

    fn submit(
        &mut self,
        id: server::Id,
        mut submission: kingcup_dispatch::plan::Submission,
        spec: String,
        now_us: u64,
    ) {
        self.asked_us = now_us;
        if self.refuses(&submission, now_us) {
            log::info!("event=job_refused job={} reason=stopping", submission.id);
            return self.tell(id, Told::Unavailable(RETURN_MS));
        }
        submission.token = id.data().as_ffi();
        let work_us = self.planner.expected_run_us(&submission);
        let detail = Detail {
            id: submission.id.clone(),
            queue: submission.queue.clone(),
            starts: 0,
            spec: Arc::from(spec),
            cores: submission.cores,
            memory_mb: submission.memory_mb,
            tasks: submission.tasks,
            work_us,
            target_us: submission.target_us(work_us),
            arrived_us: now_us,
        };
        let job = self.planner.submit(submission, now_us);
        // A job that goes on for a new caller keeps its history.
        if !self.details.contains_key(job) {
            self.details.insert(job, detail);
        }
        self.waiting.insert(id, job);
    }

    /// Gives a caller the outcome of its job.
    pub(super) fn answer(&mut self, token: u64, answer: Answer, now_us: u64) {
        let id = server::Id::from(KeyData::from_ffi(token));
        if let Some(detail) = self.waiting.remove(&id).and_then(|job| self.details.get(job)) {
            let took_us = now_us - detail.arrived_us;
            log::info!(
                "event=job_answered job={} queue={} answer={answer:?} took_us={took_us} \
                 target_us={} starts={} tasks={} cores={} work_us={} config={}",
                detail.id,
                detail.queue,
                detail.target_us,
                detail.starts,
                detail.tasks,
                detail.cores,
                detail.work_us,
                self.document.version()
            );
            self.meter.answered(answer, took_us);
        }
        self.tell(id, Told::Answer(answer));
        let event = self.callers.next(id);
        self.caller_events(id, event, now_us);
    }

    fn tell(&mut self, id: server::Id, told: Told) {
        self.callers.respond(id, &(self.border.tell)(told));
    }

    pub(super) fn accept_ready(&mut self, cx: CX![], _: Ready) {
        let now_us = self.wake();
        self.balancer.accept(cx, now_us, Self::ready_ready);
    }

    fn ready_ready(&mut self, _: CX![], id: server::Id, _: Ready) {
        let now_us = self.wake();
        let mut event = self.balancer.read(id, now_us);
        while let Some(Event::Request(_)) = event {
            let status = if self.is_ready() { 200 } else { 503 };
            self.balancer.respond(id, &Response::empty(status));
            event = self.balancer.next(id);
        }
    }

    pub(super) fn accept_control(&mut self, cx: CX![], _: Ready) {
        let now_us = self.wake();
        self.control.accept(cx, now_us, Self::control_ready);
    }

    /// Upstreams report to their own sidecar; an entry cannot speak for it.
    fn control_ready(&mut self, _: CX![], id: server::Id, _: Ready) {
        let now_us = self.wake();
        let mut event = self.control.read(id, now_us);
        while let Some(Event::Request(_)) = event {
            self.control.respond(id, &Response::empty(503));
            event = self.control.next(id);
        }
    }

    pub(super) fn accept_metrics(&mut self, cx: CX![], _: Ready) {
        let now_us = self.wake();
        self.metrics.accept(cx, now_us, Self::metrics_ready);
    }

    fn metrics_ready(&mut self, _: CX![], id: server::Id, _: Ready) {
        let now_us = self.wake();
        let mut event = self.metrics.read(id, now_us);
        while let Some(Event::Request(_)) = event {
            let text = self.meter.text(&self.planner, self.callers.len(), self.document.version());
            self.metrics.respond(id, &Response::of(200, "text/plain", text));
            event = self.metrics.next(id);
        }
    }
}
