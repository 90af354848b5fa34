//! Jobs from submission to answer.

use std::sync::Arc;

use slotmap::new_key_type;

use super::{
    action::{Answer, Effect},
    Planner, LATE_FACTOR, RETRY_MS,
};
use crate::worker::{End, How};

new_key_type! {
    /// Names a job at its entry.
    pub struct Key;
}

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
    /// Label that a worker must have.
    pub requires: Option<Arc<str>>,
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

    /// Latest start that meets the objective.
    pub fn latest_us(&self) -> u64 {
        self.objective_us.saturating_sub(self.work_us)
    }

    /// Time at which it is given up.
    pub fn due_us(&self, _now_us: u64) -> u64 {
        let end = self.late_us.min(self.timeout_us);
        if self.is_untouched() {
            end.saturating_sub(self.work_us)
        } else {
            end
        }
    }
}

impl Planner {
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
        let estimate = self.estimates.entry(submission.queue.clone()).or_default();
        let work_us = estimate.expect_us(submission.declared_us);
        let target_us = work_us * submission.stretch_permille / 1000 + submission.allowance_us;
        let tasks = usize::from(submission.tasks);
        self.next_job += 1;
        let record = Record {
            serial: self.next_job,
            tasks: vec![Task::Waiting; tasks],
            starts: vec![0; tasks],
            failures: vec![0; tasks],
            work_us,
            objective_us: now_us + target_us,
            late_us: now_us + target_us * LATE_FACTOR,
            timeout_us: now_us + submission.timeout_us,
            begun: 0,
            submission,
        };
        let id = record.submission.id.clone();
        let key = self.jobs.insert(record);
        self.by_name.insert(id, key);
        if self.is_hopeless(key, now_us) {
            self.answer(key, Answer::NotRun { retry_ms: self.retry_ms() }, now_us);
            return key;
        }
        self.enqueue(key);
        self.dispatch(now_us);
        key
    }

    /// True if the job cannot end before it is too late to earn anything.
    fn is_hopeless(&self, key: Key, now_us: u64) -> bool {
        let job = &self.jobs[key];
        let capacity = self.capacity(&job.submission.service);
        if capacity == 0 {
            return false;
        }
        let own = u64::from(job.submission.cores) * job.work_us * job.tasks.len() as u64;
        let ahead: u64 = self
            .queue
            .iter()
            .take_while(|(latest_us, _, _)| *latest_us <= job.latest_us())
            .filter_map(|(_, _, key)| self.jobs.get(*key))
            .map(|job| {
                let waiting = job.tasks.iter().filter(|task| **task == Task::Waiting).count();
                u64::from(job.submission.cores) * job.work_us * waiting as u64
            })
            .sum();
        if ahead == 0 {
            return false;
        }
        let wait_us = (ahead * self.entries + own) / capacity;
        now_us + wait_us + job.work_us > job.objective_us
    }

    pub(super) fn retry_ms(&self) -> u64 {
        RETRY_MS.0 + (self.random.clone().f64() * (RETRY_MS.1 - RETRY_MS.0) as f64) as u64
    }

    pub(super) fn enqueue(&mut self, key: Key) {
        let job = &self.jobs[key];
        self.queue.insert((job.latest_us(), job.serial, key));
    }

    pub(super) fn dequeue(&mut self, key: Key) {
        let job = &self.jobs[key];
        self.queue.remove(&(job.latest_us(), job.serial, key));
    }

    /// The caller has left or cancelled: stops all that runs and forgets the job without an answer.
    pub fn cancel(&mut self, key: Key, now_us: u64) {
        self.close(key, now_us);
    }

    /// Another caller has cancelled the job: its own caller is told that it may have run.
    pub fn cancel_answered(&mut self, key: Key, now_us: u64) {
        self.answer(key, Answer::GaveUp, now_us);
    }

    /// Finds a job by the caller's name for it.
    pub fn find(&self, id: &str) -> Option<Key> {
        self.by_name.get(id).copied()
    }

    /// Ends a job that cannot be done in time.
    pub(super) fn give_up(&mut self, key: Key, now_us: u64) {
        let Some(job) = self.jobs.get(key) else { return };
        let answer = if job.is_untouched() {
            Answer::NotRun { retry_ms: self.retry_ms() }
        } else {
            Answer::GaveUp
        };
        self.answer(key, answer, now_us);
    }

    /// Gives up all jobs, such as after the entry's VM was suspended.
    pub fn give_up_all(&mut self, now_us: u64) {
        let keys: Vec<Key> = self.jobs.keys().collect();
        for key in keys {
            self.give_up(key, now_us);
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
        let Some(job) = self.jobs.remove(key) else { return };
        self.effects.push(Effect::Closed { job: key });
        if self.by_name.get(&job.submission.id) == Some(&key) {
            self.by_name.remove(&job.submission.id);
        }
        for task in &job.tasks {
            let Task::Sent(run) = task else { continue };
            if let Some(sent) = self.runs.get(run) {
                self.effects.push(Effect::Stop { worker: sent.worker, run: *run });
            }
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
        match end.how {
            How::Done => {
                job.tasks[index] = Task::Done;
                let complete = job.tasks.iter().all(|task| *task == Task::Done);
                let (queue, work_us) = (job.submission.queue.clone(), job.work_us);
                self.learn(worker, &queue, work_us, end.ran_us);
                if complete {
                    self.answer(key, Answer::Completed, now_us);
                }
            }
            How::Failed => {
                job.failures[index] += 1;
                let failed = job.failures[index] >= job.submission.attempts;
                if let Some(member) = self.workers.get_mut(worker) {
                    member.failed();
                }
                if failed {
                    self.answer(key, Answer::Failed, now_us);
                } else {
                    self.again(key, index, now_us);
                }
            }
            How::Stopped | How::Lost => self.again(key, index, now_us),
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
            self.again(sent.place.job, index, now_us);
        }
    }

    /// Puts a task back into the queue.
    fn again(&mut self, key: Key, index: usize, now_us: u64) {
        self.jobs[key].tasks[index] = Task::Waiting;
        self.enqueue(key);
        self.dispatch(now_us);
    }

    fn learn(&mut self, worker: super::Worker, queue: &Arc<str>, work_us: u64, ran_us: u64) {
        let Some(member) = self.workers.get_mut(worker) else { return };
        member.completed((work_us > 0).then(|| ran_us as f64 / work_us as f64));
        let slowness = member.slowness;
        let estimate = self.estimates.entry(queue.clone()).or_default();
        estimate.learn(ran_us, slowness);
    }

    /// Ends runs at a worker that are certainly gone.
    pub(super) fn lose_runs(
        &mut self,
        worker: super::Worker,
        gone: impl Fn(u64) -> bool,
        now_us: u64,
    ) {
        let lost: Vec<u64> = self
            .runs
            .iter()
            .filter(|(run, sent)| sent.worker == worker && gone(**run))
            .map(|(run, _)| *run)
            .collect();
        for run in lost {
            self.ended(&End { run, how: How::Lost, ran_us: 0 }, now_us);
        }
    }
}
