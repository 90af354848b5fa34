//! Assignment of tasks to workers.

use std::{ops::Bound, sync::Arc};

use super::{
    action::Effect,
    cost::{Cost, Market},
    job::{Record, Task},
    worker::{Member, Worker},
    Item, Job, Planner, Start, SIDECAR_WAIT_US, URGENT_WAIT_US, WAITING_HOLD_US,
};

/// Result of the search for a worker for a task.
pub(super) enum Choice {
    /// This worker has capacity for the task.
    Worker(Worker),
    /// This worker is full, but the task may wait there, ahead of less urgent ones.
    Wait(Worker),
    /// There is capacity, but a wait for a near place is expected to pay.
    Near,
    /// There is capacity, but not at a worker that is suitable for the task.
    Unsuitable,
    /// No worker of the service has capacity.
    Full,
}

impl Planner {
    /// Sends tasks to workers while there is capacity, in the order of the queue. A job that finds
    /// no suitable worker with capacity does not hold up the jobs behind it.
    pub(super) fn dispatch(&mut self, now_us: u64) {
        let mut full: Vec<Arc<str>> = Vec::new();
        let mut after = None;
        while let Some((position, key)) = self.next_job(after, &full) {
            after = Some(position);
            if matches!(self.send_tasks(key, now_us), Choice::Full) {
                full.push(self.jobs[key].submission.service.clone());
            }
        }
        if !self.queue.is_empty() {
            self.waiting_until_us = now_us + WAITING_HOLD_US;
        }
    }

    /// Returns the position and key of the first job after a position in the queue, skipping
    /// services without capacity.
    fn next_job(
        &self,
        after: Option<(u64, u64, Job)>,
        full: &[Arc<str>],
    ) -> Option<((u64, u64, Job), Job)> {
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut jobs = self.queue.range((from, Bound::Unbounded));
        jobs.find(|(_, _, key)| !full.contains(&self.jobs[*key].submission.service))
            .map(|position| (*position, position.2))
    }

    /// Sends the waiting tasks of a job. If some still wait, returns the reason; otherwise returns
    /// `Choice::Unsuitable`, which does not mark the service as full.
    fn send_tasks(&mut self, key: Job, now_us: u64) -> Choice {
        let market = self.market(&self.jobs[key], now_us);
        self.choose_group(key, market, now_us);
        let mut blocked = None;
        for task in 0..self.jobs[key].tasks.len() {
            if self.jobs[key].tasks[task] != Task::Waiting {
                continue;
            }
            match self.choose(&self.jobs[key], task, market, now_us) {
                Choice::Worker(worker) => self.send(key, task, worker, SIDECAR_WAIT_US, now_us),
                Choice::Wait(worker) => self.send(key, task, worker, URGENT_WAIT_US, now_us),
                Choice::Near => {
                    let (_, offers) = self.jobs[key].near_wait.get_or_insert((now_us, 0));
                    *offers += 1;
                    blocked = Some(Choice::Unsuitable);
                    break;
                }
                other => {
                    blocked = Some(other);
                    break;
                }
            }
        }
        let Some(reason) = blocked else {
            self.dequeue(key);
            return Choice::Unsuitable;
        };
        // A job that has begun ranks before those that have not.
        if self.jobs[key].queued_rank != Some(self.jobs[key].rank()) {
            self.enqueue(key);
        }
        reason
    }

    /// Chooses the suitable worker with the lowest cost for a task. If all workers of the service
    /// are full and the job is urgent, it includes the wait for capacity.
    pub(super) fn choose(&self, job: &Record, task: usize, market: Market, now_us: u64) -> Choice {
        let submission = &job.submission;
        let has_capacity = |member: &Member| {
            *member.profile.service == *submission.service
                && member.fits(submission.cores, submission.memory_mb, now_us)
        };
        let is_suitable = |worker: Worker, member: &Member, cost: &Cost| {
            (now_us + cost.end_us() as u64 <= job.end_us()
                || !member.is_slow(job.kind, self.usual, now_us))
                && job.failed_at[task] != Some(worker)
                && submission
                    .requires
                    .as_ref()
                    .is_none_or(|label| member.profile.labels.contains(label))
        };
        let mut full = true;
        let mut best: Option<(Cost, Worker)> = None;
        for (worker, member) in self.workers.iter().filter(|(_, member)| has_capacity(member)) {
            full = false;
            let cost = self.cost(job, member, 0, market, now_us);
            let is_best = best.is_none_or(|(other, _)| cost.total_us() < other.total_us());
            if is_best && is_suitable(worker, member, &cost) {
                best = Some((cost, worker));
            }
        }
        match best {
            Some((cost, _))
                if cost.distance_us > 0.0
                    && self.near_wait(job, &cost, market, now_us).is_some() =>
            {
                return Choice::Near;
            }
            Some((_, worker)) => return Choice::Worker(worker),
            None if !full => return Choice::Unsuitable,
            None => {}
        }
        if !job.is_urgent() {
            return Choice::Full;
        }
        let candidates = self.workers.iter().filter(|(_, member)| {
            *member.profile.service == *submission.service
                && member.accepts_waiting_start(URGENT_WAIT_US, now_us)
        });
        let mut best: Option<(f64, Worker)> = None;
        for (worker, member) in candidates {
            let wait_us = member.available_in_us(now_us);
            let cost = self.cost(job, member, wait_us, market, now_us);
            let is_best = best.is_none_or(|(other, _)| cost.total_us() < other);
            if is_best && is_suitable(worker, member, &cost) {
                best = Some((cost.total_us(), worker));
            }
        }
        best.map_or(Choice::Full, |(_, worker)| Choice::Wait(worker))
    }

    /// Requests the start of a task at a worker and records it.
    fn send(&mut self, key: Job, task: usize, worker: Worker, wait_us: u64, now_us: u64) {
        let run = self.next_run;
        self.next_run += 1;
        let job = &mut self.jobs[key];
        job.tasks[task] = Task::Sent(run);
        job.starts[task] += 1;
        job.unrefused_starts += 1;
        let slack_us = job.queue_slack_us();
        let (cores, memory_mb) = (job.submission.cores, job.submission.memory_mb);
        let attempt = job.starts[task];
        let index = task as u16;
        let item = Item { job: key, task: index };
        let distance = self.distance(&self.jobs[key], &self.workers[worker]);
        let start = Start {
            item,
            worker,
            sent_us: now_us,
            total_us: None,
            moving: false,
            distance,
            measured: false,
        };
        self.runs.insert(run, start);
        self.workers[worker].record_start(run, cores, memory_mb, now_us);
        let start =
            Effect::Start { worker, job: key, task: index, run, attempt, slack_us, wait_us };
        self.effects.push(start);
    }
}
