//! Where tasks go.

use super::{
    action::Effect,
    job::Task,
    worker::{Member, Worker},
    Job, Place, Planner, Sent,
};

impl Planner {
    /// Sends tasks to workers while there is room, most urgent first.
    pub(super) fn dispatch(&mut self, now_us: u64) {
        let mut full = Vec::new();
        while let Some(key) = self.next_job(&full) {
            if !self.send_tasks(key, now_us) {
                self.enqueue(key);
                full.push(self.jobs[key].submission.service.clone());
            }
        }
    }

    /// First job in the queue whose service is not among those that are full.
    fn next_job(&self, full: &[std::sync::Arc<str>]) -> Option<Job> {
        let open = |key: &Job| !full.contains(&self.jobs[*key].submission.service);
        self.queue.iter().map(|(_, _, key)| *key).find(open)
    }

    /// Sends the waiting tasks of a job; false if there is no room for all of them.
    fn send_tasks(&mut self, key: Job, now_us: u64) -> bool {
        for task in 0..self.jobs[key].tasks.len() {
            if self.jobs[key].tasks[task] != Task::Waiting {
                continue;
            }
            let Some(worker) = self.choose(key, now_us) else { return false };
            self.send(key, task, worker, now_us);
        }
        self.dequeue(key);
        true
    }

    /// Chooses the worker on which a task is expected to end first.
    fn choose(&self, key: Job, now_us: u64) -> Option<Worker> {
        let submission = &self.jobs[key].submission;
        let fits = |member: &Member| {
            *member.profile.service == *submission.service
                && member.fits(submission.cores, submission.memory_mb, now_us)
                && submission
                    .requires
                    .as_ref()
                    .is_none_or(|label| member.profile.labels.contains(label))
        };
        let score = |member: &Member| {
            let used = 1.0 - member.free_cores() as f64 / f64::from(member.profile.cores.max(1));
            let failing = if member.is_failing() { FAILING_COST } else { 0.0 };
            member.slowness + used * USED_COST + failing
        };
        self.workers
            .iter()
            .filter(|(_, member)| fits(member))
            .map(|(worker, member)| (score(member), worker))
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, worker)| worker)
    }

    fn send(&mut self, key: Job, task: usize, worker: Worker, now_us: u64) {
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
        self.runs.insert(run, Sent { place, worker });
        self.workers[worker].sent(run, cores, memory_mb, now_us);
        self.effects.push(Effect::Start { worker, job: key, task: index, run, attempt, slack_us });
    }
}

/// Weight of a fully used worker against one that is empty, in run times: tasks spread over workers
/// that are equally fast, which keeps races with other entries rare.
const USED_COST: f64 = 0.2;
/// Weight of a worker that fails what it starts, in run times.
const FAILING_COST: f64 = 10.0;
