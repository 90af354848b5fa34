//! Admission control for arriving jobs.
//!
//! The expected wait of a new job is the capacity price. Once this price exceeds what the job's
//! kind is worth per core, the job gets surplus capacity or is refused. All kinds of work have the
//! same value over time, so a kind that uses much capacity is worth less per core than one that
//! uses little. All accepted prices stay below the slack of the kind that can wait least, so that
//! admitted jobs still meet their objectives.

use std::{collections::HashMap, sync::Arc};

use super::{
    job::{Record, Task},
    worker::Capacity,
    Job, Planner,
};

/// Time over which the load of a kind is averaged, in microseconds. It is longer than a burst, so
/// that one burst does not take away a kind's whole value at once.
const LOAD_WINDOW_US: f64 = 20_000_000.0;
/// Weight of a new job in the mean work and mean slack of its kind.
const MEAN_WEIGHT: f64 = 0.02;
/// Part of the shortest mean slack of all kinds that a wait may use up.
const SLACK_SHARE: f64 = 0.8;
/// Longest wait at which every job is accepted, in microseconds: one round trip and the end of a
/// few tasks.
pub(super) const FREE_WAIT_US: u64 = 10_000;
/// Time over which the backlog is averaged, in microseconds: a few times the longest accepted wait.
const BACKLOG_WINDOW_US: f64 = 200_000.0;
/// Part of a job's value that does not depend on its size, by the platform's rules on credit.
const FIXED_VALUE: f64 = 0.3;

/// Admission decision for an arriving job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Decision {
    /// The job is queued by its urgency.
    Accept,
    /// The job gets only capacity that no other waiting job needs.
    Surplus,
    /// No worker accepts work for the job's service.
    Unavailable,
}

/// Load of one kind of work, which is the work of one queue of a service.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Kind {
    /// Requested core time, decayed over `LOAD_WINDOW_US`, in thousandths of core-microseconds.
    load: f64,
    /// Time of the last update of `load`.
    updated_us: u64,
    mean_work: f64,
    mean_slack_us: f64,
}

impl Kind {
    /// Records an arriving job.
    fn record(&mut self, work: f64, slack_us: u64, now_us: u64) {
        self.load = self.load_at(now_us) + work;
        self.updated_us = now_us;
        if self.mean_work == 0.0 {
            self.mean_work = work;
            self.mean_slack_us = slack_us as f64;
        }
        self.mean_work += (work - self.mean_work) * MEAN_WEIGHT;
        self.mean_slack_us += (slack_us as f64 - self.mean_slack_us) * MEAN_WEIGHT;
    }

    /// Returns the decayed load at this time.
    fn load_at(&self, now_us: u64) -> f64 {
        let age = now_us.saturating_sub(self.updated_us) as f64;
        self.load * (-age / LOAD_WINDOW_US).exp()
    }

    /// Returns the value per core of a job of this much work.
    fn value_density(&self, work: f64, now_us: u64) -> f64 {
        let size = work / self.mean_work.max(1.0);
        (FIXED_VALUE + (1.0 - FIXED_VALUE) * size) / size.max(0.01) / self.load_at(now_us).max(1.0)
    }
}

/// Load of all kinds of work by service and queue.
pub(super) type Kinds = HashMap<(Arc<str>, Arc<str>), Kind>;

/// Figures behind the decision on a job. Computing them changes nothing.
#[derive(Debug, Clone, Copy)]
pub(super) struct Assessment {
    pub decision: Decision,
    /// True if the connected workers are taken to be all workers.
    pub settled: bool,
    /// Expected wait, or `None` if no worker accepts work for the service.
    pub wait_us: Option<u64>,
    /// Longest wait that still meets the objective.
    pub slack_us: u64,
    /// Load of the job's kind with the job.
    kind: Kind,
    /// Mean of the recent backlog up to the end of the job's class, if it was needed.
    mean_backlog: Option<f64>,
}

impl Planner {
    /// Decides on the admission of an arriving job and records its load.
    pub(super) fn admit(&mut self, key: Job, now_us: u64) -> Decision {
        let job = &self.jobs[key];
        let assessment = self.assess(job, now_us);
        let service = job.submission.service.clone();
        let name = (service.clone(), job.submission.queue.clone());
        let class_end = job.class_end();
        self.kinds.insert(name, assessment.kind);
        if let Some(mean) = assessment.mean_backlog {
            self.backlog_means.insert((service, class_end), (mean, now_us));
        }
        assessment.decision
    }

    /// Computes the decision on an arriving job that is not in the queue yet.
    pub(super) fn assess(&self, job: &Record, now_us: u64) -> Assessment {
        let slack_us = job.latest_start_us().saturating_sub(now_us);
        let name = (job.submission.service.clone(), job.submission.queue.clone());
        let mut kind = self.kinds.get(&name).copied().unwrap_or_default();
        kind.record(job.work(), slack_us, now_us);
        let settled = now_us >= self.settled_us;
        let (wait_us, mean_backlog) = self.wait_us(job, now_us).unzip();
        let mut assessment = Assessment {
            decision: Decision::Accept,
            settled,
            wait_us,
            slack_us,
            kind,
            mean_backlog,
        };
        assessment.decision = match wait_us {
            None if settled => Decision::Unavailable,
            Some(wait_us) if settled && wait_us > FREE_WAIT_US => {
                let price_us = self.price_us(job, &assessment, now_us);
                if wait_us > slack_us || wait_us as f64 > price_us {
                    Decision::Surplus
                } else {
                    Decision::Accept
                }
            }
            _ => Decision::Accept,
        };
        assessment
    }

    /// Returns the longest wait that a job of its kind is worth, in microseconds.
    pub(super) fn price_us(&self, job: &Record, assessment: &Assessment, now_us: u64) -> f64 {
        let (service, queue) = (&job.submission.service, &job.submission.queue);
        let own = &assessment.kind;
        let others =
            self.kinds.iter().filter(|((other, name), _)| other == service && name != queue);
        let kinds = || others.clone().map(|(_, kind)| kind).chain([own]);
        let max_density = kinds()
            .map(|kind| kind.value_density(kind.mean_work, now_us))
            .fold(f64::MIN_POSITIVE, f64::max);
        let min_slack_us = kinds().map(|kind| kind.mean_slack_us).fold(f64::INFINITY, f64::min);
        let value_density = own.value_density(job.work(), now_us);
        SLACK_SHARE * min_slack_us * (value_density / max_density).min(1.0)
    }

    /// Returns the time that a job would wait for the work ahead of it at all entries that share the
    /// workers, and the mean of the recent backlog, or `None` if no worker accepts work for its
    /// service.
    fn wait_us(&self, job: &Record, now_us: u64) -> Option<(u64, f64)> {
        let service = &job.submission.service;
        let Capacity { cores, sharers } = self.capacity(service);
        if cores == 0 {
            return None;
        }
        let ahead = self.backlog(service, job.rank());
        let mean = self.mean_backlog(service, job.class_end(), now_us);
        let others = (sharers - 1.0).max(0.0) * mean;
        Some((((ahead + others) / cores as f64) as u64, mean))
    }

    /// Returns the time until the work that waits at all entries for a service is expected to be
    /// done, or `None` if no worker accepts work for it. Unlike `wait_us`, changes no mean.
    pub(super) fn expected_wait_us(&self, service: &str) -> Option<u64> {
        let Capacity { cores, sharers } = self.capacity(service);
        let waiting = self.backlog(service, u64::MAX) * sharers.max(1.0);
        (cores > 0).then(|| (waiting / cores as f64) as u64)
    }

    /// Returns the work that waits here for a service up to a rank, in thousandths of
    /// core-microseconds.
    fn backlog(&self, service: &str, rank: u64) -> f64 {
        self.queue
            .iter()
            .take_while(|(other, _, _)| *other <= rank)
            .filter_map(|(_, _, key)| self.jobs.get(*key))
            .filter(|job| *job.submission.service == *service)
            .map(|job| {
                let waiting = job.tasks.iter().filter(|task| **task == Task::Waiting).count();
                job.work() * waiting as f64 / job.tasks.len() as f64
            })
            .sum()
    }

    /// Returns the mean of the recent backlog here for a service, up to the end of a class. It is the
    /// estimate for each other entry; the current backlog would be a poor one, as it is often a
    /// single large job.
    fn mean_backlog(&self, service: &Arc<str>, class_end: u64, now_us: u64) -> f64 {
        let backlog = self.backlog(service, class_end);
        let name = (service.clone(), class_end);
        let (mean, at_us) = self.backlog_means.get(&name).copied().unwrap_or((0.0, now_us));
        let age = now_us.saturating_sub(at_us) as f64;
        mean + (backlog - mean) * (1.0 - (-age / BACKLOG_WINDOW_US).exp())
    }
}
