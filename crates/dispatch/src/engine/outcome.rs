//! Outcomes of starts and completion of jobs.

use std::sync::Arc;

use slotmap::Key as _;

use crate::{
    code::{Code, Execution},
    engine::{empty_body, Action, Answer, End, Engine, Finish, Held, Report},
    health,
    job::{self, Phase},
    retry::Attempt,
    route::{Dispatch, Load, State, Upstream},
};

impl Engine {
    /// Handles the result of a task.
    pub fn finish(&mut self, upstream: Upstream, finish: &Finish<'_>, now_us: u64) {
        let dispatch = self.resolve(upstream, finish.sequence);
        if let Some(dispatch) = dispatch {
            let class = usize::from(dispatch.class);
            let sidecar_us = u64::from(finish.queue_us) + u64::from(finish.run_us);
            let total_us = now_us.saturating_sub(dispatch.sent_us);
            self.fleet.record_round_trip(upstream, total_us.saturating_sub(sidecar_us));
            self.queue.correct(class, dispatch.charged_us, finish.run_us);
            if finish.end == End::Done {
                let bucket = self.jobs.get(dispatch.job).map_or(0, |row| row.bucket);
                self.kinds[class].durations.record(bucket, finish.run_us);
            }
        }
        self.report_load(upstream, &finish.load, now_us);
        if let Some(dispatch) = dispatch {
            self.record_health(upstream, dispatch.job, finish.end, now_us);
            self.end(upstream, &dispatch, finish.end, finish.body.clone(), now_us);
        }
        self.dispatch_waiting(now_us);
    }

    /// Updates the health of an upstream after a task ended there. Of the failures, only failed
    /// tasks and timeouts count against it.
    pub(super) fn record_health(
        &mut self,
        upstream: Upstream,
        job: job::Key,
        end: End,
        now_us: u64,
    ) {
        let slots = self.fleet.get(upstream).map_or(0, |row| row.slots);
        let job = job.data().as_ffi();
        match end {
            End::Done => {
                self.health.succeeded(upstream, job, slots, now_us);
            }
            End::Failed(Code::TaskFailed) | End::Unknown(Code::UpstreamTimeout) => {
                self.health.failed(upstream, job, now_us);
            }
            End::Failed(_) | End::Unknown(_) => return,
        }
        self.apply_health(upstream, now_us);
    }

    /// Applies the health of an upstream to its routing state.
    pub(super) fn apply_health(&mut self, upstream: Upstream, now_us: u64) {
        let Some(row) = self.fleet.get(upstream) else {
            return;
        };
        let (slots, state, allowance) = (row.slots, row.state, row.allowance);
        let ejected = matches!(self.health.state(upstream), Some(health::State::Ejected { .. }));
        let target = if ejected { State::Ejected } else { State::Open };
        let may_change = matches!(state, State::Open | State::Ejected);
        if may_change && state != target {
            self.ejected.retain(|&other| other != upstream);
            if ejected {
                self.ejected.push(upstream);
            }
            self.fleet.set_state(upstream, target);
        }
        let permitted = self.health.allowance(upstream, slots, now_us);
        // Health limits tasks by slots, while the window also covers the gate's queue. An allowance
        // of all slots therefore means no limit.
        let permitted = if permitted >= slots { u16::MAX } else { permitted };
        if permitted != allowance {
            self.fleet.set_allowance(upstream, permitted);
        }
    }

    /// Handles a refused start, which has not run and never will.
    pub fn refuse(
        &mut self,
        upstream: Upstream,
        sequence: u64,
        code: Code,
        load: &Load<'_>,
        now_us: u64,
    ) {
        let dispatch = self.resolve(upstream, sequence);
        self.report_load(upstream, load, now_us);
        if code == Code::Closing {
            self.fleet.set_state(upstream, State::Closing);
        }
        if let Some(dispatch) = dispatch {
            self.not_run(&dispatch, now_us);
        }
        self.dispatch_waiting(now_us);
    }

    /// Handles reports about starts that were recalled or inquired about.
    pub fn handle_reports(&mut self, upstream: Upstream, reports: &[Report], now_us: u64) {
        for report in reports {
            match report.held {
                Held::Never => {
                    if let Some(dispatch) = self.resolve(upstream, report.sequence) {
                        self.not_run(&dispatch, now_us);
                    }
                }
                Held::Running => self.mark_running(upstream, report.sequence),
                Held::Queued => {}
                Held::Finished => {
                    // Normally the result has arrived before and the start is not in flight any
                    // more. Without the result, it is only known that the task may have run.
                    if let Some(dispatch) = self.resolve(upstream, report.sequence) {
                        self.end(
                            upstream,
                            &dispatch,
                            End::Unknown(Code::UpstreamLost),
                            empty_body(),
                            now_us,
                        );
                    }
                }
            }
        }
        self.dispatch_waiting(now_us);
    }

    /// Handles a start that is known to be running. If its job has failed or was cancelled, it can
    /// now be answered.
    pub(super) fn mark_running(&mut self, upstream: Upstream, sequence: u64) {
        let Some(row) = self.fleet.get(upstream) else {
            return;
        };
        let found = row.in_flight.binary_search_by_key(&sequence, |dispatch| dispatch.sequence);
        let Ok(index) = found else {
            return;
        };
        let job = row.in_flight[index].job;
        if let Some(row) = self.jobs.get_mut(job) {
            row.unknown |= row.is_failing();
        }
        self.conclude(job);
    }

    /// Removes a start that has its outcome from those in flight and returns it.
    pub(super) fn resolve(&mut self, upstream: Upstream, sequence: u64) -> Option<Dispatch> {
        let dispatch = self.fleet.resolve(upstream, sequence)?;
        self.sent -= 1;
        self.queue.classes[usize::from(dispatch.class)].outstanding -= 1;
        Some(dispatch)
    }

    /// Handles a start that definitely did not run. Its task waits again, unless the job has
    /// failed.
    pub(super) fn not_run(&mut self, dispatch: &Dispatch, now_us: u64) {
        self.queue.correct(usize::from(dispatch.class), dispatch.charged_us, 0);
        let Some(row) = self.jobs.get(dispatch.job) else {
            return;
        };
        if row.is_failing() {
            self.jobs.end(dispatch.job, dispatch.task, Execution::NotRun, empty_body());
            self.conclude(dispatch.job);
        } else {
            self.jobs.put_back(dispatch.job, dispatch.task);
            self.add_waiting(usize::from(dispatch.class), 1, now_us);
        }
    }

    /// Handles the end of a task: retries it if permitted, otherwise records it in its job.
    pub(super) fn end(
        &mut self,
        upstream: Upstream,
        dispatch: &Dispatch,
        end: End,
        body: Arc<[u8]>,
        now_us: u64,
    ) {
        let (fate, code) = match end {
            End::Done => (Execution::Complete, None),
            End::Failed(code) => (Execution::Failed, Some(code)),
            End::Unknown(code) => (Execution::MayHaveRun, Some(code)),
        };
        if self.retry(upstream, dispatch, code, now_us) {
            return;
        }
        let failure_body = if code.is_some() { body.clone() } else { empty_body() };
        self.jobs.end(dispatch.job, dispatch.task, fate, body);
        match code {
            Some(code) => self.fail(dispatch.job, code, Some(dispatch.task), failure_body),
            None => self.conclude(dispatch.job),
        }
    }

    /// Returns a failed single idempotent request to the waiting ones if the retry budget permits
    /// it. Returns true if it will run again.
    pub(super) fn retry(
        &mut self,
        upstream: Upstream,
        dispatch: &Dispatch,
        code: Option<Code>,
        now_us: u64,
    ) -> bool {
        let Some(row) = self.jobs.get_mut(dispatch.job).filter(|row| row.retryable) else {
            return false;
        };
        self.retries.record_end(code.is_none(), now_us);
        let Some(code) = code else {
            return false;
        };
        let attempt = Attempt { idempotent: true, retries: u32::from(row.retries) };
        if row.is_failing() || !self.retries.try_retry(attempt, code, now_us) {
            return false;
        }
        row.retries += 1;
        row.avoid = Some(upstream);
        row.ran |= code.execution() == Execution::Failed;
        row.unknown |= code.execution() == Execution::MayHaveRun;
        self.jobs.put_back(dispatch.job, dispatch.task);
        self.add_waiting(usize::from(dispatch.class), 1, now_us);
        true
    }

    /// Fails a job as a whole: waiting tasks will not run, and sent ones are recalled.
    pub(super) fn fail(&mut self, job: job::Key, code: Code, task: Option<u16>, body: Arc<[u8]>) {
        let Some(row) = self.jobs.get(job) else {
            return;
        };
        if row.is_failing() {
            self.conclude(job);
            return;
        }
        let class = usize::from(row.class);
        let waiting = self.jobs.fail(job, code, task, body);
        self.remove_waiting(class, u32::from(waiting));
        self.recall(job);
        self.conclude(job);
    }

    /// Recalls the starts of a job. At upstreams with a lost link, this happens once it is
    /// restored.
    pub(super) fn recall(&mut self, job: job::Key) {
        let Some(row) = self.jobs.get(job) else {
            return;
        };
        let location = |task: &job::Task| match task.phase {
            Phase::Sent { upstream, sequence } => Some((upstream, sequence)),
            Phase::Waiting | Phase::Ended(_) => None,
        };
        let mut starts: Vec<(Upstream, u64)> = row.tasks.iter().filter_map(location).collect();
        starts.sort_unstable();
        for chunk in starts.chunk_by(|one, other| one.0 == other.0) {
            let sequences: Vec<u64> = chunk.iter().map(|&(_, sequence)| sequence).collect();
            self.add_recalls(chunk[0].0, &sequences);
        }
    }

    /// Adds starts to be recalled when the actions are next drained.
    pub(super) fn add_recalls(&mut self, upstream: Upstream, sequences: &[u64]) {
        if self.fleet.add_recalls(upstream, sequences.iter().copied()) {
            self.pending_recalls.push(upstream);
        }
    }

    /// Answers a job once its outcome is certain, and removes it once no start refers to it.
    pub(super) fn conclude(&mut self, job: job::Key) {
        let Some(row) = self.jobs.get_mut(job) else {
            return;
        };
        if !row.answered {
            let Some(outcome) = row.outcome() else {
                return;
            };
            row.answered = true;
            self.actions.push(Action::Answer(Answer { job, outcome }));
        }
        if row.sent == 0 {
            self.jobs.remove(job);
        }
    }
}
