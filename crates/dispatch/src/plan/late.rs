//! Jobs that are late: which of them continue, by what they still need and what else waits. Without
//! the setting (`Planner::set_hold`), a late job continues only while no job waits at all.

use super::{
    job::{Record, Task},
    Job, Planner,
};

/// Length of each extension of a job that is too late to earn anything, in microseconds.
const LATE_STEP_US: u64 = 50_000;
/// Least ratio of the work that stopping a late job would waste to the work that it still needs, at
/// which the job continues although others wait. A late answer is worth a fifth of one in time, so
/// the late job must need at most a fifth of its whole work.
const MIN_WASTE_RATIO: u64 = 4;

/// Work of a job in run time of its tasks, which have equal requirements.
#[derive(Debug, Clone, Copy)]
struct Work {
    /// Run time so far, which is wasted if the job is stopped, in microseconds.
    spent_us: u64,
    /// Run time that is still needed, in microseconds.
    remaining_us: u64,
}

impl Planner {
    /// Handles a job whose `due_us` has passed: demotes, extends or gives it up.
    pub(super) fn job_due(&mut self, key: Job, now_us: u64) {
        let Some(job) = self.jobs.get(key) else { return };
        if job.stop_deadline_us.is_some() || now_us >= job.timeout_us {
            return self.give_up(key, now_us);
        }
        if !job.is_untouched() {
            return self.begun_due(key, now_us);
        }
        let end_us = now_us + job.work_us;
        let can_earn = end_us < job.late_us.min(job.timeout_us);
        if job.surplus_until_us.is_some() {
            self.give_up(key, now_us);
        } else if !job.overdue && can_earn {
            self.mark_overdue(key, now_us);
        } else if self.may_keep_waiting(key, end_us, now_us) {
            self.keep_waiting(key, now_us);
        } else {
            self.give_up(key, now_us);
        }
    }

    /// Handles a begun job that is too late to earn anything, whose caller still waits.
    fn begun_due(&mut self, key: Job, now_us: u64) {
        let Work { spent_us, remaining_us } = self.work_of(key, now_us);
        let is_nearly_done = remaining_us.saturating_mul(MIN_WASTE_RATIO) < spent_us;
        if (is_nearly_done && self.absence.is_enabled()) || !self.is_needed_by_others(key) {
            self.jobs[key].late_us = now_us + LATE_STEP_US;
        } else {
            self.give_up(key, now_us);
        }
    }

    /// Marks a job as unable to meet its objective, and gives it up if another job of its service
    /// waits that can still meet its own.
    fn mark_overdue(&mut self, key: Job, now_us: u64) {
        self.jobs[key].overdue = true;
        self.enqueue(key);
        let service = &self.jobs[key].submission.service;
        let mut waiting = self.queue.iter().filter_map(|(_, _, other)| self.jobs.get(*other));
        let is_any = !self.absence.is_enabled();
        let first = waiting.find(|other| is_any || other.submission.service == *service);
        if first.is_some_and(|first| !first.overdue) && !self.expects_capacity(now_us) {
            self.give_up(key, now_us);
        }
    }

    /// Returns whether more workers are expected soon, as after a restart of all processes. A job
    /// that is late by then may still be served, so it is not known to be unservable.
    fn expects_capacity(&self, now_us: u64) -> bool {
        self.absence.is_enabled() && now_us < self.settled_us
    }

    /// Returns whether a job that has not begun and would end at `end_us`, too late to earn anything,
    /// waits on: its caller still waits then, and its service has workers whose capacity no other
    /// job needs, or more of them are expected soon.
    fn may_keep_waiting(&self, key: Job, end_us: u64, now_us: u64) -> bool {
        let job = &self.jobs[key];
        self.absence.is_enabled()
            && end_us + LATE_STEP_US < job.timeout_us
            && self.has_workers(&job.submission.service)
            && (self.expects_capacity(now_us) || !self.is_needed_by_others(key))
    }

    /// Keeps a job that has not begun and is too late to earn anything, behind all others.
    fn keep_waiting(&mut self, key: Job, now_us: u64) {
        let job = &mut self.jobs[key];
        job.overdue = true;
        job.worthless = true;
        job.late_us = now_us + job.work_us + LATE_STEP_US;
        self.enqueue(key);
    }

    /// Returns true if another job that can still earn something waits for capacity of the service.
    fn is_needed_by_others(&self, key: Job) -> bool {
        if !self.absence.is_enabled() {
            return !self.queue.is_empty();
        }
        let service = &self.jobs[key].submission.service;
        let others = self.queue.iter().filter(|(_, _, other)| *other != key);
        let mut others = others.filter_map(|(_, _, other)| self.jobs.get(*other));
        others.any(|other| other.submission.service == *service && !other.worthless)
    }

    /// Returns the work of a begun job so far and the work that it still needs.
    fn work_of(&self, key: Job, now_us: u64) -> Work {
        let job = &self.jobs[key];
        let mut work = Work { spent_us: 0, remaining_us: 0 };
        for task in &job.tasks {
            match task {
                Task::Done => work.spent_us += job.work_us,
                Task::Waiting => work.remaining_us += job.work_us,
                Task::Sent(run) => {
                    let (elapsed_us, left_us) = self.run_times(job, *run, now_us);
                    work.spent_us += elapsed_us;
                    work.remaining_us += left_us;
                }
            }
        }
        work
    }

    /// Returns the time since a run was sent, and the time that it is expected to take from now on,
    /// by its progress if that was reported. A run that exceeds its expected time is expected to take
    /// twice the excess longer, so that one that hangs soon no longer counts as nearly done.
    fn run_times(&self, job: &Record, run: u64, now_us: u64) -> (u64, u64) {
        let Some(start) = self.runs.get(&run) else { return (0, job.work_us) };
        let elapsed_us = now_us.saturating_sub(start.sent_us);
        let worker = self.workers.get(start.worker);
        let slowness = worker.map_or(1.0, |member| member.slowness(job.kind, now_us));
        let usual_us = (job.work_us as f64 * slowness) as u64;
        let total_us = start.total_us.unwrap_or(usual_us);
        let left_us = match total_us.checked_sub(elapsed_us) {
            Some(left_us) => left_us,
            None => (elapsed_us - total_us) * 2,
        };
        (elapsed_us, left_us)
    }
}
