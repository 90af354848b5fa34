//! Jobs from submission to answer.

use std::sync::Arc;

use slotmap::new_key_type;

use super::{
    action::{Answer, Effect},
    admission::Verdict,
    Planner, Worker, LATE_FACTOR, RETRY_MS,
};
use crate::worker::{End, Outcome};

new_key_type! {
    /// Names a job at its entry.
    pub struct Key;
}

/// Longest wait for what became of the starts of a job that is given up, in microseconds: a few round
/// trips to a sidecar.
const ENDING_US: u64 = 30_000;
/// Slack between two classes in a sidecar's queue, in microseconds; over the longest wait there.
const CLASS_SLACK_US: u64 = 100_000;
/// Part of its allowance for which a job waits that is too dear, in percent. The platform counts a refusal
/// as late from a quarter of it, with the way to the caller and back.
const SURPLUS_PERCENT: u64 = 8;
/// Time for which a job that is too late to earn anything goes on at a time, in microseconds.
const LATE_STEP_US: u64 = 50_000;
/// Position of the class in a rank; times stay below it.
const CLASS_SHIFT: u32 = 60;

/// A job whose answer is its result.
#[derive(Debug, Clone)]
pub struct Submission {
    /// Name that the caller gave.
    pub id: Arc<str>,
    /// Names the caller in the answer.
    pub token: u64,
    /// Queue that it was handed to.
    pub queue: Arc<str>,
    /// Service whose upstreams run it.
    pub service: Arc<str>,
    /// Less is more urgent.
    pub priority: u32,
    /// Number of tasks.
    pub tasks: u16,
    /// Cores of each task, in thousandths.
    pub cores: u32,
    /// Memory of each task, in megabytes.
    pub memory_mb: u32,
    /// Run time of a task as the caller declares it, in microseconds.
    pub declared_us: u64,
    /// The objective is this many thousandths of the run time ...
    pub stretch_permille: u64,
    /// ... and this time more, in microseconds.
    pub allowance_us: u64,
    /// Failures of a task after which the job has failed.
    pub attempts: u32,
    /// Time for which the caller waits, in microseconds.
    pub timeout_us: u64,
    /// Time for which callers of this queue wait at first, in microseconds.
    pub initial_timeout_us: u64,
    /// Label that a worker must have.
    pub requires: Option<Arc<str>>,
}

impl Submission {
    /// Time in which a job whose tasks take this long meets its objective, in microseconds.
    pub fn target_us(&self, work_us: u64) -> u64 {
        work_us * self.stretch_permille / 1000 + self.allowance_us
    }

    /// True if the caller has tried before: some of the time for which it waits has passed. Its objective
    /// counts from its first attempt, so it is served only with room to spare.
    pub fn is_repeated(&self) -> bool {
        self.timeout_us < self.initial_timeout_us
    }
}

/// State of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Task {
    Waiting,
    /// Sent with this run.
    Sent(u64),
    Done,
}

/// A job without an answer.
#[derive(Debug)]
pub(super) struct Record {
    pub submission: Submission,
    pub serial: u64,
    pub tasks: Vec<Task>,
    /// Starts of each task so far.
    pub starts: Vec<u32>,
    pub failures: Vec<u32>,
    /// Worker at which each task failed last.
    pub failed_at: Vec<Option<Worker>>,
    pub arrived_us: u64,
    /// Worker and time of the run of it that takes the shortest time, as far as is known.
    pub shortest_us: Option<(Worker, u64)>,
    /// Rank under which it is in the queue.
    pub queued: Option<u64>,
    /// A task of it has certainly begun.
    pub ran: bool,
    /// It is given up, and its answer waits until this time for what becomes of its starts.
    pub ending_us: Option<u64>,
    /// It can no longer meet its objective.
    pub overdue: bool,
    /// It gets room only when nothing else waits here, until this time.
    pub surplus_us: Option<u64>,
    /// Expected run time of a task, in microseconds.
    pub work_us: u64,
    /// Time at which it has met its objective.
    pub objective_us: u64,
    /// Time from which it earns nothing.
    pub late_us: u64,
    /// Time at which the caller has left.
    pub timeout_us: u64,
    /// Starts whose sidecar has not said that they did not run.
    pub begun: u32,
}

impl Record {
    /// True if no task has begun or may have.
    pub fn is_untouched(&self) -> bool {
        self.begun == 0
    }

    /// Core time that it takes, in thousandths of core-microseconds.
    pub fn work(&self) -> f64 {
        f64::from(self.submission.cores) * self.work_us as f64 * self.tasks.len() as f64
    }

    /// True if its tasks may wait at full workers, ahead of what is less urgent.
    pub fn is_urgent(&self) -> bool {
        self.submission.priority == 0 && !self.overdue && self.surplus_us.is_none()
    }

    /// Order in the queue, less first: what has begun, what is most urgent, then by arrival. What can no
    /// longer meet its objective comes last.
    pub fn rank(&self) -> u64 {
        let last = self.overdue || self.surplus_us.is_some();
        let class = match (last, self.is_untouched(), self.submission.priority) {
            (true, _, _) => 3,
            (_, false, _) => 0,
            (_, _, 0) => 1,
            _ => 2,
        };
        class << CLASS_SHIFT | self.arrived_us
    }

    /// Highest rank of its class.
    pub fn class_end(&self) -> u64 {
        ((self.rank() >> CLASS_SHIFT) + 1) << CLASS_SHIFT
    }

    /// Slack that puts it in order in a sidecar's queue, where starts wait for a few milliseconds.
    pub fn queue_slack_us(&self) -> u64 {
        (self.rank() >> CLASS_SHIFT) * CLASS_SLACK_US
    }

    /// Latest start that meets the objective.
    pub fn latest_us(&self) -> u64 {
        self.objective_us.saturating_sub(self.work_us)
    }

    /// Time at which something is to be done about it.
    pub fn due_us(&self) -> u64 {
        let end = self.late_us.min(self.timeout_us);
        match (self.ending_us, self.is_untouched()) {
            (Some(ending_us), _) => ending_us,
            (None, false) => end,
            (None, true) if self.surplus_us.is_some() => self.surplus_us.unwrap_or(end).min(end),
            (None, true) if self.overdue => end.saturating_sub(self.work_us),
            (None, true) => end.min(self.latest_us()),
        }
    }
}

impl Planner {
    /// Expected run time of a task of a job that is not submitted yet, in microseconds.
    pub fn expected_run_us(&self, submission: &Submission) -> u64 {
        let declared_us = submission.declared_us;
        let estimate = self.estimates.get(&submission.queue);
        estimate.map_or(declared_us, |estimate| estimate.expect_us(declared_us))
    }

    /// Takes a job, or refuses it at once. A job that is submitted again while it is here goes on, for
    /// its new caller.
    pub fn submit(&mut self, submission: Submission, now_us: u64) -> Key {
        if let Some(key) = self.find(&submission.id) {
            let job = &mut self.jobs[key];
            let token = std::mem::replace(&mut job.submission.token, submission.token);
            job.timeout_us = now_us + submission.timeout_us;
            self.effects.push(Effect::Answer { token, answer: Answer::GaveUp });
            return key;
        }
        let work_us = self.expected_run_us(&submission);
        let target_us = submission.target_us(work_us);
        let tasks = usize::from(submission.tasks);
        let repeated = submission.is_repeated();
        self.next_job += 1;
        let record = Record {
            serial: self.next_job,
            tasks: vec![Task::Waiting; tasks],
            starts: vec![0; tasks],
            failures: vec![0; tasks],
            failed_at: vec![None; tasks],
            arrived_us: now_us,
            shortest_us: None,
            queued: None,
            ran: false,
            ending_us: None,
            overdue: repeated,
            surplus_us: None,
            work_us,
            objective_us: now_us + if repeated { 0 } else { target_us },
            late_us: now_us
                + if repeated { submission.timeout_us } else { target_us * LATE_FACTOR },
            timeout_us: now_us + submission.timeout_us,
            begun: 0,
            submission,
        };
        let id = record.submission.id.clone();
        let key = self.jobs.insert(record);
        self.by_name.insert(id, key);
        let verdict = if repeated { Verdict::Take } else { self.admit(key, now_us) };
        match verdict {
            Verdict::Take => {}
            Verdict::Dear => {
                let wait_us = self.jobs[key].submission.allowance_us * SURPLUS_PERCENT / 100;
                self.jobs[key].surplus_us = Some(now_us + wait_us);
            }
            Verdict::Hopeless => {
                self.give_up(key, now_us);
                return key;
            }
        }
        self.enqueue(key);
        self.dispatch(now_us);
        if repeated && self.jobs.get(key).is_some_and(Record::is_untouched) {
            self.give_up(key, now_us);
        }
        key
    }

    /// Time after which a refused caller may return, spread so that they do not return at once.
    fn retry_ms(&mut self) -> u64 {
        self.random.u64(RETRY_MS.0..=RETRY_MS.1)
    }

    /// Puts a job into the queue, or moves it to its present rank.
    pub(super) fn enqueue(&mut self, key: Key) {
        self.dequeue(key);
        let job = &mut self.jobs[key];
        let rank = job.rank();
        job.queued = Some(rank);
        self.queue.insert((rank, job.serial, key));
    }

    pub(super) fn dequeue(&mut self, key: Key) {
        let job = &mut self.jobs[key];
        if let Some(rank) = job.queued.take() {
            self.queue.remove(&(rank, job.serial, key));
        }
    }

    /// The caller has left or cancelled: stops all that runs and forgets the job without an answer.
    pub fn cancel(&mut self, key: Key, now_us: u64) {
        self.close(key, now_us);
    }

    /// Another caller has cancelled the job: its own caller is told that it may have run.
    pub fn cancel_and_answer(&mut self, key: Key, now_us: u64) {
        self.answer(key, Answer::GaveUp, now_us);
    }

    /// Finds a job by the caller's name for it.
    pub fn find(&self, id: &str) -> Option<Key> {
        self.by_name.get(id).copied()
    }

    /// Does what is due about a job.
    pub(super) fn job_due(&mut self, key: Key, now_us: u64) {
        let Some(job) = self.jobs.get(key) else { return };
        let end = job.late_us.min(job.timeout_us);
        let in_reach = now_us + job.work_us < end;
        let waits = job.ending_us.is_none() && job.is_untouched();
        if waits && !job.overdue && job.surplus_us.is_none() && in_reach {
            self.overdue(key, now_us);
        } else if !waits && job.ending_us.is_none() && now_us < job.timeout_us && !self.is_pressed()
        {
            // The caller still waits, and nobody else needs the room.
            self.jobs[key].late_us = now_us + LATE_STEP_US;
        } else {
            self.give_up(key, now_us);
        }
    }

    /// True if a job waits for room.
    fn is_pressed(&self) -> bool {
        !self.queue.is_empty()
    }

    /// A job can no longer meet its objective. It stays only while no other job waits that can.
    fn overdue(&mut self, key: Key, now_us: u64) {
        self.jobs[key].overdue = true;
        self.enqueue(key);
        let first = self.queue.first().and_then(|(_, _, first)| self.jobs.get(*first));
        if first.is_some_and(|first| !first.overdue) {
            self.give_up(key, now_us);
        }
    }

    /// Ends a job that cannot be done in time. Whether it has run is known once its sidecars have
    /// answered the stops.
    pub(super) fn give_up(&mut self, key: Key, now_us: u64) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        if job.is_untouched() && !job.ran {
            let answer = Answer::NotRun { retry_ms: self.retry_ms() };
            return self.answer(key, answer, now_us);
        }
        if job.ran || job.ending_us.is_some() {
            return self.answer(key, Answer::GaveUp, now_us);
        }
        job.ending_us = Some(now_us + ENDING_US);
        self.dequeue(key);
        self.stop_runs(key);
    }

    fn stop_runs(&mut self, key: Key) {
        for task in &self.jobs[key].tasks {
            let Task::Sent(run) = task else { continue };
            if let Some(sent) = self.runs.get(run) {
                self.effects.push(Effect::Stop { worker: sent.worker, run: *run });
            }
        }
    }

    pub(super) fn answer(&mut self, key: Key, answer: Answer, now_us: u64) {
        let Some(job) = self.jobs.get(key) else { return };
        let token = job.submission.token;
        self.effects.push(Effect::Answer { token, answer });
        self.close(key, now_us);
    }

    fn close(&mut self, key: Key, now_us: u64) {
        if !self.jobs.contains_key(key) {
            return;
        }
        self.dequeue(key);
        self.stop_runs(key);
        let Some(job) = self.jobs.remove(key) else { return };
        self.effects.push(Effect::Closed { job: key });
        if self.by_name.get(&job.submission.id) == Some(&key) {
            self.by_name.remove(&job.submission.id);
        }
        self.dispatch(now_us);
    }

    /// A sidecar reports the end of a run.
    pub fn ended(&mut self, end: &End, now_us: u64) {
        let Some(sent) = self.runs.remove(&end.run) else { return };
        let worker = sent.worker;
        if let Some(member) = self.workers.get_mut(worker) {
            member.unseen.retain(|(run, _, _)| *run != end.run);
        }
        let key = sent.place.job;
        let index = usize::from(sent.place.task);
        let Some(job) = self.jobs.get_mut(key) else { return };
        job.ran = true;
        if job.ending_us.is_some() {
            return self.answer(key, Answer::GaveUp, now_us);
        }
        match end.outcome {
            Outcome::Done => {
                job.tasks[index] = Task::Done;
                let complete = job.tasks.iter().all(|task| *task == Task::Done);
                let queue = job.submission.queue.clone();
                if !sent.measured {
                    self.measure(worker, sent.place, end.ran_us, now_us);
                }
                self.learn(worker, &queue, end.ran_us, now_us);
                if complete {
                    self.answer(key, Answer::Completed, now_us);
                }
            }
            Outcome::Failed => {
                job.failures[index] += 1;
                let failed = job.failures[index] >= job.submission.attempts;
                job.failed_at[index] = Some(worker);
                let mut elsewhere = job.failed_at.iter().flatten();
                // A job that fails at several workers is bad itself.
                if elsewhere.all(|other| *other == worker) {
                    if let Some(member) = self.workers.get_mut(worker) {
                        member.failed(key);
                    }
                }
                if failed {
                    self.answer(key, Answer::Failed, now_us);
                } else {
                    self.again(key, index, now_us);
                }
            }
            Outcome::Stopped | Outcome::Lost => self.again(key, index, now_us),
        }
    }

    /// A sidecar says that a start was not carried out and never will be.
    pub fn refused(&mut self, run: u64, now_us: u64) {
        let Some(sent) = self.runs.remove(&run) else { return };
        if let Some(member) = self.workers.get_mut(sent.worker) {
            member.refused(run, now_us);
        }
        let index = usize::from(sent.place.task);
        if let Some(job) = self.jobs.get_mut(sent.place.job) {
            job.begun -= 1;
            job.starts[index] -= 1;
            if job.ending_us.is_none() {
                self.again(sent.place.job, index, now_us);
            } else if job.is_untouched() {
                let answer = Answer::NotRun { retry_ms: self.retry_ms() };
                self.answer(sent.place.job, answer, now_us);
            }
        }
    }

    /// Puts a task back into the queue.
    fn again(&mut self, key: Key, index: usize, now_us: u64) {
        self.jobs[key].tasks[index] = Task::Waiting;
        self.enqueue(key);
        self.dispatch(now_us);
    }

    fn learn(&mut self, worker: Worker, queue: &Arc<str>, ran_us: u64, now_us: u64) {
        let Some(member) = self.workers.get_mut(worker) else { return };
        member.completed();
        let slowness = member.slowness(now_us);
        self.estimates.entry(queue.clone()).or_default().learn(ran_us, slowness);
    }

    /// Ends runs at a worker that are certainly gone.
    pub(super) fn lose_runs(&mut self, worker: Worker, gone: impl Fn(u64) -> bool, now_us: u64) {
        let lost: Vec<u64> = self
            .runs
            .iter()
            .filter(|(run, sent)| sent.worker == worker && gone(**run))
            .map(|(run, _)| *run)
            .collect();
        for run in lost {
            self.ended(&End { run, outcome: Outcome::Lost, ran_us: 0 }, now_us);
        }
    }
}
