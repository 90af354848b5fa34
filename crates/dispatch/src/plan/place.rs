//! Where tasks go.

use std::{ops::Bound, sync::Arc};

use super::{
    action::Effect,
    job::Task,
    worker::{Member, Worker},
    Job, Place, Planner, Sent, SIDECAR_WAIT_US, URGENT_WAIT_US,
};

/// Where a task can go now.
enum Choice {
    /// To this worker.
    Worker(Worker),
    /// To this worker, which has no room, to wait there ahead of what is less urgent.
    Ahead(Worker),
    /// There is room, but not at a worker that suits the job.
    Unsuitable,
    /// No worker has room.
    Full,
}

impl Planner {
    /// Sends tasks to workers while there is room, most urgent first. A job that no worker with room suits
    /// does not hold up the jobs behind it.
    pub(super) fn dispatch(&mut self, now_us: u64) {
        let mut full: Vec<Arc<str>> = Vec::new();
        let mut after = None;
        while let Some((entry, key)) = self.next_job(after, &full) {
            after = Some(entry);
            if matches!(self.send_tasks(key, now_us), Choice::Full) {
                full.push(self.jobs[key].submission.service.clone());
            }
        }
    }

    /// First job in the queue after a place in it whose service is not among those that are full.
    fn next_job(
        &self,
        after: Option<(u64, u64, Job)>,
        full: &[Arc<str>],
    ) -> Option<((u64, u64, Job), Job)> {
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut jobs = self.queue.range((from, Bound::Unbounded));
        jobs.find(|(_, _, key)| !full.contains(&self.jobs[*key].submission.service))
            .map(|entry| (*entry, entry.2))
    }

    /// Sends the waiting tasks of a job, and says why if some still wait.
    fn send_tasks(&mut self, key: Job, now_us: u64) -> Choice {
        let mut last = None;
        for task in 0..self.jobs[key].tasks.len() {
            if self.jobs[key].tasks[task] != Task::Waiting {
                continue;
            }
            match self.choose(key, task, now_us) {
                Choice::Worker(worker) => self.send(key, task, worker, SIDECAR_WAIT_US, now_us),
                Choice::Ahead(worker) => self.send(key, task, worker, URGENT_WAIT_US, now_us),
                other => {
                    last = Some(other);
                    break;
                }
            }
        }
        let Some(why) = last else {
            self.dequeue(key);
            return Choice::Unsuitable;
        };
        // What has begun comes before what has not.
        if self.jobs[key].queued != Some(self.jobs[key].rank()) {
            self.enqueue(key);
        }
        why
    }

    /// Chooses the worker on which a task is expected to end first.
    fn choose(&self, key: Job, task: usize, now_us: u64) -> Choice {
        let job = &self.jobs[key];
        let submission = &job.submission;
        let end_us = if job.overdue { job.late_us } else { job.objective_us };
        let has_room = |member: &Member| {
            *member.profile.service == *submission.service
                && member.fits(submission.cores, submission.memory_mb, now_us)
        };
        let suits = |worker: Worker, member: &Member| {
            let in_time = now_us + member.run_us(job.work_us, now_us) <= end_us;
            (in_time || !member.is_slow(now_us))
                && job.failed_at[task] != Some(worker)
                && submission
                    .requires
                    .as_ref()
                    .is_none_or(|label| member.profile.labels.contains(label))
        };
        let score = |member: &Member| {
            let used = 1.0 - member.free_cores() as f64 / f64::from(member.profile.cores.max(1));
            let failing = if member.is_failing() { FAILING_COST } else { 0.0 };
            member.slowness(now_us) + used * USED_COST + failing
        };
        let mut full = true;
        let mut best: Option<(f64, Worker)> = None;
        for (worker, member) in self.workers.iter().filter(|(_, member)| has_room(member)) {
            full = false;
            let score = score(member);
            if suits(worker, member) && best.is_none_or(|(other, _)| score < other) {
                best = Some((score, worker));
            }
        }
        match best {
            Some((_, worker)) => return Choice::Worker(worker),
            None if !full => return Choice::Unsuitable,
            None => {}
        }
        if !job.is_urgent() {
            return Choice::Full;
        }
        let ahead = self.workers.iter().filter(|(worker, member)| {
            *member.profile.service == *submission.service
                && member.takes_ahead(URGENT_WAIT_US, now_us)
                && suits(*worker, member)
        });
        let soonest = ahead.min_by_key(|(_, member)| member.room_us(now_us));
        soonest.map_or(Choice::Full, |(worker, _)| Choice::Ahead(worker))
    }

    fn send(&mut self, key: Job, task: usize, worker: Worker, wait_us: u64, now_us: u64) {
        let run = self.next_run;
        self.next_run += 1;
        let job = &mut self.jobs[key];
        job.tasks[task] = Task::Sent(run);
        job.starts[task] += 1;
        job.begun += 1;
        let slack_us = job.queue_slack_us();
        let (cores, memory_mb) = (job.submission.cores, job.submission.memory_mb);
        let attempt = job.starts[task];
        let index = task as u16;
        let place = Place { job: key, task: index };
        self.runs.insert(run, Sent { place, worker, moving: false, measured: false });
        self.workers[worker].sent(run, cores, memory_mb, now_us);
        let start =
            Effect::Start { worker, job: key, task: index, run, attempt, slack_us, wait_us };
        self.effects.push(start);
    }
}

/// Weight of a fully used worker against one that is empty, in run times: tasks spread over workers
/// that are equally fast, which keeps races with other entries rare.
const USED_COST: f64 = 0.2;
/// Weight of a worker that fails what it starts, in run times.
const FAILING_COST: f64 = 10.0;
