//! Requests of callers, of the load balancer's readiness checks and of metrics scrapes.

use std::sync::Arc;

use kingcup_dispatch::plan::{Answer, Submission};
use slotmap::{Key as _, KeyData};
use stakker::CX;
use stakker_mio::Ready;

use super::{explain, Detail, Entry, STOP_MARGIN_US};
use crate::{
    runs::{
        protocol::{Operation, Status},
        refusal::Reason,
    },
    web::{server, Event, Request, Response},
};

impl Entry {
    pub(super) fn accept_callers(&mut self, cx: CX![], _: Ready) {
        let now_us = self.begin_event();
        self.callers.accept(cx, now_us, Self::caller_ready);
    }

    fn caller_ready(&mut self, cx: CX![], id: server::Id, ready: Ready) {
        let now_us = self.begin_event();
        let event = self.callers.read(id, ready, now_us);
        self.handle_events(id, event, now_us);
        self.finish_event(cx, now_us);
    }

    pub(super) fn handle_events(&mut self, id: server::Id, mut event: Option<Event>, now_us: u64) {
        loop {
            match event {
                Some(Event::Request(request)) => {
                    self.handle_request(id, request, now_us, now_us);
                }
                Some(Event::Disconnected(unanswered)) => {
                    self.drop_held(id);
                    self.cancels.leave(id);
                    if let Some(job) = self.job_by_caller.remove(&id).filter(|_| unanswered) {
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

    /// Handles a request that arrived at `arrived_us` and may have been held since.
    pub(super) fn handle_request(
        &mut self,
        id: server::Id,
        request: Request,
        arrived_us: u64,
        now_us: u64,
    ) {
        if !self.is_configured() {
            return self.hold(id, request, Reason::NoConfig, arrived_us, now_us);
        }
        let operation = (self.protocol.parse_request)(&request, self.document.table());
        match operation {
            Operation::Submit { submission, .. } if self.awaits_workers(&submission, now_us) => {
                self.hold(id, request, Reason::NoWorker, arrived_us, now_us);
            }
            Operation::Submit { submission, spec } => {
                self.submit(id, submission, spec, arrived_us, now_us);
            }
            Operation::Unsupported(kind) => {
                let detail = format!(" kind={kind}");
                self.refuse(id, Reason::Unsupported, arrived_us, &detail, now_us);
            }
            Operation::State { id: job } => {
                let status = self.planner.find(&job).map_or(Status::Unknown, |_| Status::Running);
                self.respond(id, status);
            }
            Operation::Cancel { id: job } => self.cancel(id, &job, now_us),
            Operation::Pending { queue } => {
                let pending = self.planner.pending(&queue);
                self.respond(id, Status::Pending(pending));
            }
            Operation::NoQueue => self.refuse(id, Reason::NoQueue, arrived_us, "", now_us),
            Operation::Invalid(fault) => {
                let detail = format!(" fault={fault:?}");
                self.refuse(id, Reason::Invalid, arrived_us, &detail, now_us);
            }
        }
    }

    /// Returns the reason to refuse a submission, if any: it may have arrived before a suspension
    /// that has just ended, or the job may not end before this entry shuts down.
    pub(super) fn must_refuse(&self, submission: &Submission, now_us: u64) -> Option<Reason> {
        if self.has_just_resumed(now_us) {
            return Some(Reason::Suspended);
        }
        let ends_us = now_us + self.planner.expected_run_us(submission) * 3 / 2 + STOP_MARGIN_US;
        let ends_late = self.stop_deadline_us().is_some_and(|deadline_us| ends_us > deadline_us);
        ends_late.then_some(Reason::Stopping)
    }

    fn submit(
        &mut self,
        id: server::Id,
        mut submission: Submission,
        spec: String,
        arrived_us: u64,
        now_us: u64,
    ) {
        self.last_submission_us = now_us;
        if let Some(retry_ms) = self.cancels.refusal_ms(&submission.id, now_us) {
            log::info!("event=cancel_overtook job={} retry_ms={retry_ms}", submission.id);
            return self.respond(id, Status::Answer(Answer::NotRun { retry_ms }));
        }
        if let Some(reason) = self.must_refuse(&submission, now_us) {
            let detail = format!(" job={}", submission.id);
            return self.refuse(id, reason, arrived_us, &detail, now_us);
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
            arrived_us,
        };
        let job = self.planner.submit_held(submission, arrived_us, now_us);
        // A job that was submitted before and continues for a new caller keeps its details.
        if !self.details.contains_key(job) {
            self.details.insert(job, detail);
        }
        self.job_by_caller.insert(id, job);
    }

    /// Responds to a caller with the answer to its job.
    pub(super) fn answer(&mut self, token: u64, answer: Answer, now_us: u64) {
        let id = server::Id::from(KeyData::from_ffi(token));
        if let Some(detail) = self.job_by_caller.remove(&id).and_then(|job| self.details.get(job)) {
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
            self.metrics.answered(answer, took_us);
        }
        self.respond_late(id, Status::Answer(answer), now_us);
    }

    /// Responds to a caller after other events, and handles its next request.
    pub(super) fn respond_late(&mut self, id: server::Id, status: Status, now_us: u64) {
        self.respond(id, status);
        let event = self.callers.next(id);
        self.handle_events(id, event, now_us);
    }

    pub(super) fn respond(&mut self, id: server::Id, status: Status) {
        self.callers.respond(id, &(self.protocol.encode_response)(status));
    }

    pub(super) fn accept_readiness(&mut self, cx: CX![], _: Ready) {
        let now_us = self.begin_event();
        self.readiness_server.accept(cx, now_us, Self::readiness_ready);
    }

    fn readiness_ready(&mut self, _: CX![], id: server::Id, ready: Ready) {
        let now_us = self.begin_event();
        let mut event = self.readiness_server.read(id, ready, now_us);
        while let Some(Event::Request(_)) = event {
            let status = if self.is_ready() { 200 } else { 503 };
            self.readiness_server.respond(id, &Response::empty(status));
            event = self.readiness_server.next(id);
        }
    }

    pub(super) fn accept_control(&mut self, cx: CX![], _: Ready) {
        let now_us = self.begin_event();
        self.control.accept(cx, now_us, Self::control_ready);
    }

    /// Rejects reports: upstreams report to their own sidecar, and an entry cannot act for it.
    fn control_ready(&mut self, _: CX![], id: server::Id, ready: Ready) {
        let now_us = self.begin_event();
        let mut event = self.control.read(id, ready, now_us);
        while let Some(Event::Request(_)) = event {
            self.control.respond(id, &Response::empty(503));
            event = self.control.next(id);
        }
    }

    pub(super) fn accept_metrics(&mut self, cx: CX![], _: Ready) {
        let now_us = self.begin_event();
        self.metrics_server.accept(cx, now_us, Self::metrics_ready);
    }

    fn metrics_ready(&mut self, _: CX![], id: server::Id, ready: Ready) {
        let now_us = self.begin_event();
        let mut event = self.metrics_server.read(id, ready, now_us);
        while let Some(Event::Request(request)) = event {
            let response = match explain::is_explanation(&request) {
                true => self.explain(request, now_us),
                false => Response::of(200, "text/plain", self.metrics_text()),
            };
            self.metrics_server.respond(id, &response);
            event = self.metrics_server.next(id);
        }
    }

    fn metrics_text(&mut self) -> Vec<u8> {
        self.metrics.evacuated(&self.orders);
        self.metrics.set_held(self.holding.len());
        self.metrics.cancel_state(self.cancels.open_questions(), self.cancels.tombstones());
        self.metrics.text(&self.planner, self.callers.len(), self.document.version())
    }
}
