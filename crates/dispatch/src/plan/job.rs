//! State of jobs from submission to answer.

use std::sync::Arc;

use slotmap::new_key_type;

use super::{
    action::{Answer, Effect},
    admission::Decision,
    estimate::Estimate,
    Planner, Start, Worker,
};
use crate::worker::{End, Outcome};

new_key_type! {
    /// Identifies a job at its entry.
    pub struct Key;
}

/// Longest wait for reports on the stopped starts of a job that is given up, in microseconds: a few
/// round trips to a sidecar.
const STOP_WAIT_US: u64 = 30_000;
/// Slack between two classes in a sidecar's queue, in microseconds. It exceeds the longest wait
/// there, so that classes do not mix.
const CLASS_SLACK_US: u64 = 100_000;
/// Part of its allowance for which a job waits for surplus capacity, in percent. The platform
/// counts a refusal as late from a quarter of the allowance, including the way to the caller and
/// back.
const SURPLUS_WAIT_PERCENT: u64 = 8;
/// Position of the lowest bit of the class in a rank. The bits below hold the time of arrival.
const CLASS_SHIFT: u32 = 60;

/// A job as submitted by a caller that waits for its answer.
#[derive(Debug, Clone)]
pub struct Submission {
    /// ID that the caller gave to the job.
    pub id: Arc<str>,
    /// Identifies the caller in the answer.
    pub token: u64,
    /// Queue to which the job was submitted.
    pub queue: Arc<str>,
    /// Service whose upstreams run the tasks.
    pub service: Arc<str>,
    /// Priority; lower values are more urgent, and only 0 may wait at full sidecars.
    pub priority: u32,
    /// Number of tasks.
    pub tasks: u16,
    /// Cores that each task needs, in thousandths.
    pub cores: u32,
    /// Memory that each task needs, in megabytes.
    pub memory_mb: u32,
    /// Run time of a task as declared by the caller, in microseconds; 0 if it is unknown.
    pub declared_us: u64,
    /// Part of the objective that depends on the run time, in thousandths of it.
    pub stretch_permille: u64,
    /// Part of the objective that does not depend on the run time, in microseconds.
    pub allowance_us: u64,
    /// Number of failures of one task after which the job has failed.
    pub attempts: u32,
    /// Time for which the caller waits for the answer, in microseconds.
    pub timeout_us: u64,
    /// Time for which a caller of this queue waits on its first attempt, in microseconds.
    pub initial_timeout_us: u64,
    /// Label that a worker must have to run the tasks.
    pub requires: Option<Arc<str>>,
    /// Place where the data of the tasks is.
    pub near: Option<Arc<str>>,
    /// Whether the tasks belong together: they take longer when they run at more than one place.
    pub together: bool,
}

impl Submission {
    /// Returns the time within which a job with this run time of a task meets its objective, in
    /// microseconds.
    pub fn target_us(&self, work_us: u64) -> u64 {
        work_us * self.stretch_permille / 1000 + self.allowance_us
    }

    /// Returns true if the caller has tried before: part of the time for which it waits has passed.
    /// The objective counts from its first attempt, so the job gets only spare capacity.
    pub fn is_repeated(&self) -> bool {
        self.timeout_us < self.initial_timeout_us
    }
}

/// State of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Task {
    /// Waiting to be sent to a worker.
    Waiting,
    /// Sent to a worker as the run with this number.
    Sent(u64),
    /// Completed.
    Done,
}

/// State of a job that has no answer yet.
#[derive(Debug)]
pub(super) struct Record {
    pub submission: Submission,
    /// Breaks ties between jobs of the same rank.
    pub serial: u64,
    pub tasks: Vec<Task>,
    /// Number of starts of each task, without those that were refused.
    pub starts: Vec<u32>,
    /// Number of failures of each task.
    pub failures: Vec<u32>,
    /// Worker on which each task last failed.
    pub failed_at: Vec<Option<Worker>>,
    pub arrived_us: u64,
    /// Worker and run time, in microseconds, of the job's shortest run that has ended or whose run
    /// time was extrapolated from its progress.
    pub shortest_run: Option<(Worker, u64)>,
    /// Number and sum of the measured run times of tasks, converted to a worker of average speed,
    /// in microseconds.
    pub measured_runs: (u32, f64),
    /// Number of the place where the data is.
    pub near: Option<usize>,
    /// Number of the place where the tasks run together.
    pub group: Option<usize>,
    /// Time since which a task waits for a near place, and how often it has declined capacity
    /// elsewhere.
    pub near_wait: Option<(u64, u32)>,
    /// Number of the queue among those of this entry.
    pub kind: usize,
    /// Rank of the job in the queue, if it is queued.
    pub queued_rank: Option<u64>,
    /// True once a run of the job has ended, which shows that a task may have begun.
    pub has_run: bool,
    /// Time until which the answer of a job that is given up waits for reports on its starts.
    pub stop_deadline_us: Option<u64>,
    /// True if the job can no longer meet its objective.
    pub overdue: bool,
    /// True if the job is too late to earn anything and runs only because its caller waits.
    pub worthless: bool,
    /// Time until which the job waits for surplus capacity, if it is restricted to that.
    pub surplus_until_us: Option<u64>,
    /// Expected run time of a task on a worker of average speed, in microseconds.
    pub work_us: u64,
    /// Latest end that meets the objective.
    pub objective_us: u64,
    /// Time from which the job earns nothing, or until which it is extended.
    pub late_us: u64,
    /// Time at which the caller stops waiting.
    pub timeout_us: u64,
    /// Number of starts that were not refused; their tasks may have begun.
    pub unrefused_starts: u32,
}

impl Record {
    /// Returns true if no task has begun or may have begun.
    pub fn is_untouched(&self) -> bool {
        self.unrefused_starts == 0
    }

    /// Returns the expected core time of all tasks, in thousandths of core-microseconds.
    pub fn work(&self) -> f64 {
        f64::from(self.submission.cores) * self.work_us as f64 * self.tasks.len() as f64
    }

    /// Returns the expected core time of the waiting tasks, in thousandths of core-microseconds.
    pub fn waiting_work(&self) -> f64 {
        let waiting = self.tasks.iter().filter(|task| **task == Task::Waiting).count();
        self.work() * waiting as f64 / self.tasks.len() as f64
    }

    /// Returns the number of the place where the tasks take the least time.
    pub fn target(&self) -> Option<usize> {
        self.near.or(self.group)
    }

    /// Returns true if tasks of the job may wait at full workers, ahead of less urgent ones.
    pub fn is_urgent(&self) -> bool {
        self.submission.priority == 0 && !self.overdue && self.surplus_until_us.is_none()
    }

    /// Returns the latest end that still earns something: all of it if the objective can be met.
    pub fn end_us(&self) -> u64 {
        if self.overdue {
            self.late_us
        } else {
            self.objective_us
        }
    }

    /// Returns the order in the queue, lowest first: jobs that may have begun, then urgent jobs,
    /// then others, those that can no longer meet their objective or get only surplus capacity, and
    /// last those that earn nothing. Within a class, jobs are ordered by arrival.
    pub fn rank(&self) -> u64 {
        let is_last = self.overdue || self.surplus_until_us.is_some();
        let class = match (is_last, self.is_untouched(), self.submission.priority) {
            (true, true, _) if self.worthless => 4,
            (true, _, _) => 3,
            (_, false, _) => 0,
            (_, _, 0) => 1,
            _ => 2,
        };
        class << CLASS_SHIFT | self.arrived_us
    }

    /// Returns the end of the rank range of the job's class.
    pub fn class_end(&self) -> u64 {
        ((self.rank() >> CLASS_SHIFT) + 1) << CLASS_SHIFT
    }

    /// Returns the slack that orders the job's starts by class in a sidecar's queue, where they
    /// wait for a few milliseconds.
    pub fn queue_slack_us(&self) -> u64 {
        (self.rank() >> CLASS_SHIFT) * CLASS_SLACK_US
    }

    /// Restricts the job to surplus capacity, for which it waits for a part of its allowance.
    pub fn restrict_to_surplus(&mut self, now_us: u64) {
        let wait_us = self.submission.allowance_us * SURPLUS_WAIT_PERCENT / 100;
        self.surplus_until_us = Some(now_us + wait_us);
    }

    /// Returns the latest start that is expected to meet the objective.
    pub fn latest_start_us(&self) -> u64 {
        self.objective_us.saturating_sub(self.work_us)
    }

    /// Returns the time at which `job_due` must handle the job.
    pub fn due_us(&self) -> u64 {
        let end = self.late_us.min(self.timeout_us);
        match (self.stop_deadline_us, self.is_untouched()) {
            (Some(stop_deadline_us), _) => stop_deadline_us,
            (None, false) => end,
            (None, true) if self.surplus_until_us.is_some() => {
                self.surplus_until_us.unwrap_or(end).min(end)
            }
            (None, true) if self.overdue => end.saturating_sub(self.work_us),
            (None, true) => end.min(self.latest_start_us()),
        }
    }
}

impl Planner {
    /// Returns the expected run time of one task of a submission, in microseconds.
    pub fn expected_run_us(&self, submission: &Submission) -> u64 {
        let declared_us = submission.declared_us;
        let estimate = self.estimates.get(&submission.queue);
        estimate.map_or(declared_us, |estimate| estimate.expected_run_us(declared_us))
    }

    /// Returns the number of a queue.
    fn kind(&mut self, queue: &Arc<str>) -> usize {
        let kind = self.estimates.len();
        self.estimates.entry(queue.clone()).or_insert_with(|| Estimate::open(kind)).kind
    }

    /// Accepts a job or refuses it at once. If the job is here already, it continues for the new
    /// caller, and the previous caller is answered that it may have run.
    pub fn submit(&mut self, submission: Submission, now_us: u64) -> Key {
        self.submit_held(submission, now_us, now_us)
    }

    /// Accepts or refuses, as `submit` does, a job that arrived earlier and was held. The objective
    /// and the caller's timeout count from its arrival. If it can no longer meet its objective, it
    /// gets spare capacity until the caller stops waiting.
    pub fn submit_held(&mut self, submission: Submission, arrived_us: u64, now_us: u64) -> Key {
        if let Some(key) = self.find(&submission.id) {
            let job = &mut self.jobs[key];
            let token = std::mem::replace(&mut job.submission.token, submission.token);
            job.timeout_us = arrived_us + submission.timeout_us;
            self.effects.push(Effect::Answer { token, answer: Answer::GaveUp });
            return key;
        }
        self.kind(&submission.queue);
        self.next_job += 1;
        let record = self.open_record(submission, arrived_us, now_us);
        let (is_repeated, is_overdue) = (record.submission.is_repeated(), record.overdue);
        let id = record.submission.id.clone();
        let key = self.jobs.insert(record);
        self.by_id.insert(id, key);
        self.record_wanted(key, now_us);
        let decision = if is_overdue { Decision::Accept } else { self.admit(key, now_us) };
        match decision {
            Decision::Accept => {}
            Decision::Surplus => {
                self.jobs[key].restrict_to_surplus(now_us);
            }
            Decision::Unavailable => {
                self.give_up(key, now_us);
                return key;
            }
        }
        self.enqueue(key);
        self.dispatch(now_us);
        if is_repeated && self.jobs.get(key).is_some_and(Record::is_untouched) {
            self.give_up(key, now_us);
        }
        key
    }

    /// Inserts a job into the queue, or moves it to its current rank.
    pub(super) fn enqueue(&mut self, key: Key) {
        self.dequeue(key);
        let job = &mut self.jobs[key];
        let rank = job.rank();
        job.queued_rank = Some(rank);
        self.queue.insert((rank, job.serial, key));
    }

    /// Removes a job from the queue if it is there.
    pub(super) fn dequeue(&mut self, key: Key) {
        let job = &mut self.jobs[key];
        if let Some(rank) = job.queued_rank.take() {
            self.queue.remove(&(rank, job.serial, key));
        }
    }

    /// Stops all runs of a job whose caller has left or cancelled it, and removes the job without
    /// an answer.
    pub fn cancel(&mut self, key: Key, now_us: u64) {
        self.close(key, now_us);
    }

    /// Cancels a job on behalf of another caller. Its own caller is answered that it may have run.
    pub fn cancel_and_answer(&mut self, key: Key, now_us: u64) {
        self.answer(key, Answer::GaveUp, now_us);
    }

    /// Returns the job with this ID, if it has no answer yet.
    pub fn find(&self, id: &str) -> Option<Key> {
        self.by_id.get(id).copied()
    }

    /// Gives up a job. If it is unknown whether the job has run, it is answered once its sidecars
    /// have answered the stops or `STOP_WAIT_US` has passed.
    pub(super) fn give_up(&mut self, key: Key, now_us: u64) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        if job.is_untouched() && !job.has_run {
            return self.answer_not_run(key, now_us);
        }
        if job.has_run || job.stop_deadline_us.is_some() {
            return self.answer(key, Answer::GaveUp, now_us);
        }
        job.stop_deadline_us = Some(now_us + STOP_WAIT_US);
        self.dequeue(key);
        self.stop_runs(key);
    }

    /// Requests the stop of all runs of a job.
    fn stop_runs(&mut self, key: Key) {
        for task in &self.jobs[key].tasks {
            let Task::Sent(run) = task else { continue };
            if let Some(start) = self.runs.get(run) {
                self.effects.push(Effect::Stop { worker: start.worker, run: *run });
            }
        }
    }

    /// Refuses a job of which no task was started.
    fn answer_not_run(&mut self, key: Key, now_us: u64) {
        let service = self.jobs[key].submission.service.clone();
        let retry_ms = self.retry_ms(&service, now_us);
        self.answer(key, Answer::NotRun { retry_ms }, now_us);
    }

    /// Answers the caller of a job and removes the job.
    pub(super) fn answer(&mut self, key: Key, answer: Answer, now_us: u64) {
        let Some(job) = self.jobs.get(key) else { return };
        let token = job.submission.token;
        self.effects.push(Effect::Answer { token, answer });
        self.close(key, now_us);
    }

    /// Stops all runs of a job and removes it.
    fn close(&mut self, key: Key, now_us: u64) {
        if !self.jobs.contains_key(key) {
            return;
        }
        self.dequeue(key);
        self.stop_runs(key);
        let Some(job) = self.jobs.remove(key) else { return };
        self.effects.push(Effect::Closed { job: key });
        if self.by_id.get(&job.submission.id) == Some(&key) {
            self.by_id.remove(&job.submission.id);
        }
        self.dispatch(now_us);
    }

    /// Handles the end of a run that a sidecar reported.
    pub fn ended(&mut self, end: &End, now_us: u64) {
        let Some(start) = self.remove_run(end.run) else { return };
        let worker = start.worker;
        if let Some(member) = self.workers.get_mut(worker) {
            member.unreported.retain(|(run, _, _)| *run != end.run);
        }
        let key = start.item.job;
        let index = usize::from(start.item.task);
        let Some(job) = self.jobs.get_mut(key) else { return };
        job.has_run = true;
        if job.stop_deadline_us.is_some() {
            return self.answer(key, Answer::GaveUp, now_us);
        }
        match end.outcome {
            Outcome::Done => {
                job.tasks[index] = Task::Done;
                let complete = job.tasks.iter().all(|task| *task == Task::Done);
                let (queue, kind) = (job.submission.queue.clone(), job.kind);
                // Time lost to the distance is no slowness of the worker.
                let ran_us = (end.ran_us as f64 / start.distance) as u64;
                if !start.measured {
                    self.measure(worker, start.item, ran_us, now_us);
                }
                self.record_completion(worker, &queue, kind, ran_us, now_us);
                if complete {
                    self.answer(key, Answer::Completed, now_us);
                }
            }
            Outcome::Failed => {
                job.failures[index] += 1;
                let failed = job.failures[index] >= job.submission.attempts;
                job.failed_at[index] = Some(worker);
                let mut failed_workers = job.failed_at.iter().flatten();
                // If a job fails on several workers, the job and not the workers is at fault.
                if failed_workers.all(|other| *other == worker) {
                    if let Some(member) = self.workers.get_mut(worker) {
                        member.record_failure(key);
                    }
                }
                if failed {
                    self.answer(key, Answer::Failed, now_us);
                } else {
                    self.requeue(key, index, now_us);
                }
            }
            Outcome::Stopped | Outcome::Lost => self.requeue(key, index, now_us),
        }
    }

    /// Handles a sidecar's refusal of a start, which was not carried out and never will be.
    pub fn refused(&mut self, run: u64, now_us: u64) {
        let Some(start) = self.remove_run(run) else { return };
        if let Some(member) = self.workers.get_mut(start.worker) {
            member.record_refusal(run, now_us);
        }
        let index = usize::from(start.item.task);
        if let Some(job) = self.jobs.get_mut(start.item.job) {
            job.unrefused_starts -= 1;
            job.starts[index] -= 1;
            if job.stop_deadline_us.is_none() {
                self.requeue(start.item.job, index, now_us);
            } else if job.is_untouched() {
                self.answer_not_run(start.item.job, now_us);
            }
        }
    }

    /// Removes a run that has ended or was refused.
    fn remove_run(&mut self, run: u64) -> Option<Start> {
        let start = self.runs.remove(&run)?;
        if let Some(member) = self.workers.get_mut(start.worker) {
            member.runs -= 1;
        }
        Some(start)
    }

    /// Marks a task as waiting again and queues its job.
    fn requeue(&mut self, key: Key, index: usize, now_us: u64) {
        self.jobs[key].tasks[index] = Task::Waiting;
        self.enqueue(key);
        self.dispatch(now_us);
    }

    /// Records the run time and success of a completed task.
    fn record_completion(
        &mut self,
        worker: Worker,
        queue: &Arc<str>,
        kind: usize,
        ran_us: u64,
        now_us: u64,
    ) {
        let Some(member) = self.workers.get_mut(worker) else { return };
        member.record_success();
        let slowness = member.slowness(kind, now_us);
        self.estimates.entry(queue.clone()).or_default().record(ran_us, slowness);
    }

    /// Ends as lost the runs at a worker for which `is_lost` returns true. These must have
    /// certainly ended, or must never start.
    pub(super) fn lose_runs(&mut self, worker: Worker, is_lost: impl Fn(u64) -> bool, now_us: u64) {
        let lost: Vec<u64> = self
            .runs
            .iter()
            .filter(|(run, start)| start.worker == worker && is_lost(**run))
            .map(|(run, _)| *run)
            .collect();
        for run in lost {
            self.ended(&End { run, outcome: Outcome::Lost, ran_us: 0 }, now_us);
        }
    }
}
