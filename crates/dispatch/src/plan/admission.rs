//! Which jobs are refused on arrival.
//!
//! The wait that a new job would have is the price of room. A job is refused once that price is over
//! what its kind is worth per core: kinds of work count equally over time, so a kind that takes much
//! of the room is worth less per core than one that takes little. All prices stay below the slack of
//! the kind that can wait least, so what is admitted still meets its objective.

use std::{collections::HashMap, sync::Arc};

use super::{job::Task, Job, Planner};

/// Time over which the load of a kind is averaged, in microseconds. Long against a burst, so that a
/// burst of one kind does not make it worthless at once.
const LOAD_WINDOW_US: f64 = 20_000_000.0;
/// Weight of a new job in the mean work and slack of its kind.
const MEAN_WEIGHT: f64 = 0.02;
/// Part of the shortest slack that a wait may take.
const SLACK_SHARE: f64 = 0.8;
/// Wait at which no job is refused, in microseconds: one round trip and the end of a few tasks.
const FREE_WAIT_US: u64 = 10_000;
/// Time over which the work that waits is averaged, in microseconds: a few times the wait that is let
/// happen.
const QUEUED_WINDOW_US: f64 = 200_000.0;
/// Part of a job's worth that does not depend on its size; from the platform's rules on credit.
const FIXED_WORTH: f64 = 0.3;

/// What becomes of a job on arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Verdict {
    /// It is taken.
    Take,
    /// It gets room only if some is to spare.
    Dear,
    /// No worker can take it.
    Hopeless,
}

/// Load of one kind of work.
#[derive(Debug, Default)]
pub(super) struct Kind {
    /// Core time that was asked for, decayed over the window, in thousandths of core-microseconds.
    load: f64,
    load_us: u64,
    mean_work: f64,
    mean_slack_us: f64,
}

impl Kind {
    fn learn(&mut self, work: f64, slack_us: u64, now_us: u64) {
        self.load = self.load_at(now_us) + work;
        self.load_us = now_us;
        if self.mean_work == 0.0 {
            self.mean_work = work;
            self.mean_slack_us = slack_us as f64;
        }
        self.mean_work += (work - self.mean_work) * MEAN_WEIGHT;
        self.mean_slack_us += (slack_us as f64 - self.mean_slack_us) * MEAN_WEIGHT;
    }

    fn load_at(&self, now_us: u64) -> f64 {
        let age = now_us.saturating_sub(self.load_us) as f64;
        self.load * (-age / LOAD_WINDOW_US).exp()
    }

    /// Worth per core of a job of this much work.
    fn density(&self, work: f64, now_us: u64) -> f64 {
        let size = work / self.mean_work.max(1.0);
        (FIXED_WORTH + (1.0 - FIXED_WORTH) * size) / size.max(0.01) / self.load_at(now_us).max(1.0)
    }
}

/// Kinds of work by service and queue.
pub(super) type Kinds = HashMap<(Arc<str>, Arc<str>), Kind>;

impl Planner {
    /// Decides on a job that arrives.
    pub(super) fn admit(&mut self, key: Job, now_us: u64) -> Verdict {
        let job = &self.jobs[key];
        let work = job.work();
        let slack_us = job.latest_us().saturating_sub(now_us);
        let service = job.submission.service.clone();
        let name = (service.clone(), job.submission.queue.clone());
        self.kinds.entry(name.clone()).or_default().learn(work, slack_us, now_us);
        let settled = now_us >= self.settled_us;
        let wait_us = match self.wait_us(key, now_us) {
            Some(wait_us) => wait_us,
            None if settled => return Verdict::Hopeless,
            None => return Verdict::Take,
        };
        if wait_us <= FREE_WAIT_US || !settled {
            return Verdict::Take;
        }
        let kinds = || self.kinds.iter().filter(|((other, _), _)| *other == service);
        let dearest = kinds()
            .map(|(_, kind)| kind.density(kind.mean_work, now_us))
            .fold(f64::MIN_POSITIVE, f64::max);
        let shortest_us = kinds().map(|(_, kind)| kind.mean_slack_us).fold(f64::INFINITY, f64::min);
        let density = self.kinds[&name].density(work, now_us);
        let price_us = SLACK_SHARE * shortest_us * (density / dearest).min(1.0);
        if wait_us > slack_us || wait_us as f64 > price_us {
            return Verdict::Dear;
        }
        Verdict::Take
    }

    /// Time that a job would wait for the work ahead of it at all entries; `None` while no worker is
    /// known.
    fn wait_us(&mut self, key: Job, now_us: u64) -> Option<u64> {
        let job = &self.jobs[key];
        let capacity = self.capacity(&job.submission.service);
        if capacity == 0 {
            return None;
        }
        let (rank, service) = (job.rank(), job.submission.service.clone());
        let ahead = self.queued_work(&service, rank);
        let class_end = job.class_end();
        let others = (self.entries - 1) as f64 * self.mean_queued(&service, class_end, now_us);
        Some(((ahead + others) / capacity as f64) as u64)
    }

    /// Work that waits here for a service, up to a rank, in thousandths of core-microseconds.
    fn queued_work(&self, service: &str, rank: u64) -> f64 {
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

    /// Work that waited here lately for a service, up to the end of a class, which stands for what waits at another entry: what waits
    /// here at one moment is often a single large job.
    fn mean_queued(&mut self, service: &Arc<str>, class_end: u64, now_us: u64) -> f64 {
        let queued = self.queued_work(service, class_end);
        let name = (service.clone(), class_end);
        let (mean, at_us) = self.queued.entry(name).or_insert((0.0, now_us));
        let age = now_us.saturating_sub(*at_us) as f64;
        *mean += (queued - *mean) * (1.0 - (-age / QUEUED_WINDOW_US).exp());
        *at_us = now_us;
        *mean
    }
}
