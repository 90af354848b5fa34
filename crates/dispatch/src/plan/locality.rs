//! Places where a job's data is or its tasks run together: the run time away from them, and how
//! long a wait for a near place pays.

use std::sync::Arc;

use super::{
    cost::{Cost, Market},
    job::{Record, Task},
    worker::Member,
    Job, Planner,
};
use crate::worker::Profile;

/// Most places that are told apart; others are ignored.
const MAX_PLACES: usize = 256;
/// Time over which the work that wants a place is averaged, in microseconds.
const WANTED_WINDOW_US: f64 = 2_000_000.0;
/// Cost of a place that is wanted for all of its cores to work that could run anywhere, in run
/// times.
const WANTED_COST: f64 = 0.5;
/// Age from which a load report raises the expected wait, in microseconds: three intervals.
const STALE_US: u64 = 300_000;

/// How long a task waits for a near place before it runs elsewhere.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Patience {
    /// Not at all.
    Never,
    /// A fixed time, in microseconds.
    Fixed(u64),
    /// Until capacity elsewhere has been declined this many times.
    Offers(u32),
    /// As long as the cost near is lower by the estimate, at most for the difference in cost.
    Priced,
    /// Until a near worker has capacity.
    Always,
}

/// Settings of places.
#[derive(Debug, Clone, Copy)]
pub struct Places {
    /// Run time away from the data or the group as a multiple of that near it.
    pub remote_factor: f64,
    /// Returns the place of a worker.
    pub place: fn(&Profile) -> Option<Arc<str>>,
    /// How long a task waits for a near place.
    pub patience: Patience,
}

/// A place of workers.
#[derive(Debug)]
pub(super) struct Place {
    name: Arc<str>,
    /// Work that wants the place, decayed over `WANTED_WINDOW_US`, in thousandths of
    /// core-microseconds.
    wanted: f64,
    wanted_at_us: u64,
    /// Cores of its workers, in thousandths.
    cores: u64,
}

impl Place {
    fn wanted_at(&self, now_us: u64) -> f64 {
        let age = now_us.saturating_sub(self.wanted_at_us) as f64;
        self.wanted * (-age / WANTED_WINDOW_US).exp()
    }
}

impl Planner {
    /// Enables places. A factor of 1 or less has no effect.
    pub fn set_places(&mut self, places: Places) {
        self.places = Some(places).filter(|places| places.remote_factor > 1.0);
    }

    /// Returns the number of a place that some worker has had.
    pub(super) fn find_place(&self, name: &str) -> Option<usize> {
        self.place_states.iter().position(|place| *place.name == *name)
    }

    /// Returns the number of a worker's place, or `None` if there are too many.
    pub(super) fn add_place(&mut self, name: &str) -> Option<usize> {
        let known = self.find_place(name);
        if known.is_none() && self.place_states.len() < MAX_PLACES {
            let place = Place { name: name.into(), wanted: 0.0, wanted_at_us: 0, cores: 0 };
            self.place_states.push(place);
            return Some(self.place_states.len() - 1);
        }
        known
    }

    /// Updates the cores of all places after a change of a worker.
    pub(super) fn count_places(&mut self) {
        for place in &mut self.place_states {
            place.cores = 0;
        }
        for member in self.workers.values().filter(|member| member.is_accepting()) {
            if let Some(place) = member.place {
                self.place_states[place].cores += u64::from(member.profile.cores);
            }
        }
    }

    /// Records the work of an arriving job that wants a place.
    pub(super) fn record_wanted(&mut self, key: Job, now_us: u64) {
        let job = &self.jobs[key];
        let (Some(near), work) = (job.near, job.work()) else { return };
        let place = &mut self.place_states[near];
        place.wanted = place.wanted_at(now_us) + work;
        place.wanted_at_us = now_us;
    }

    /// Returns the run time of a job's tasks at a worker as a multiple of that near its data and
    /// group.
    pub(super) fn distance(&self, job: &Record, member: &Member) -> f64 {
        let Some(places) = &self.places else { return 1.0 };
        match job.target() {
            Some(target) if member.place != Some(target) => places.remote_factor,
            _ => 1.0,
        }
    }

    /// Returns the price of using a worker's place for work that could run anywhere, in run times.
    pub(super) fn reserve(&self, job: &Record, member: &Member, now_us: u64) -> f64 {
        let place = member.place.filter(|place| job.target() != Some(*place));
        let Some(place) = place.map(|place| &self.place_states[place]) else { return 0.0 };
        let capacity = place.cores as f64 * WANTED_WINDOW_US;
        WANTED_COST * (place.wanted_at(now_us) / capacity.max(1.0)).min(1.0)
    }

    /// Chooses the place for the tasks of a job that belong together, if none of them has been sent:
    /// of the places with room for all, or else with the most room, that of the lowest cost.
    pub(super) fn choose_group(&mut self, key: Job, market: Market, now_us: u64) {
        let job = &self.jobs[key];
        if self.needs_group(job) {
            let group = self.best_group(job, market, now_us);
            self.jobs[key].group = group;
        }
    }

    /// Returns true if the place for the tasks of a job is to be chosen.
    pub(super) fn needs_group(&self, job: &Record) -> bool {
        let begun = job.tasks.iter().any(|task| *task != Task::Waiting);
        self.places.is_some() && job.submission.together && job.near.is_none() && !begun
    }

    /// Returns the best place for the tasks of a job, if any has capacity.
    pub(super) fn best_group(&self, job: &Record, market: Market, now_us: u64) -> Option<usize> {
        let submission = &job.submission;
        let mut rooms = vec![(0_i64, f64::INFINITY); self.place_states.len()];
        let fitting = self.workers.values().filter(|member| {
            *member.profile.service == *submission.service
                && member.fits(submission.cores, submission.memory_mb, now_us)
        });
        for member in fitting {
            let Some(place) = member.place else { continue };
            let cost = Cost::new(job, member, 0, 1.0, 0.0, market, now_us);
            rooms[place].0 += member.free_cores() / i64::from(submission.cores.max(1));
            rooms[place].1 = rooms[place].1.min(cost.total_us());
        }
        let tasks = job.tasks.len() as i64;
        let best = rooms.iter().enumerate().filter(|(_, (room, _))| *room > 0).min_by(
            |(_, (room, cost)), (_, (other_room, other_cost))| {
                let by_room = other_room.min(&tasks).cmp(room.min(&tasks));
                by_room.then(cost.total_cmp(other_cost))
            },
        );
        best.map(|(place, _)| place)
    }

    /// Returns the time until which a task waits for a near place rather than run elsewhere at this
    /// cost, or `None` if it does not wait.
    pub(super) fn near_wait(
        &self,
        job: &Record,
        elsewhere: &Cost,
        market: Market,
        now_us: u64,
    ) -> Option<u64> {
        let patience = self.places.as_ref()?.patience;
        let target = job.target()?;
        let is_near = |member: &&Member| {
            member.place == Some(target)
                && member.is_accepting()
                && !member.is_failing()
                && *member.profile.service == *job.submission.service
        };
        // Without a worker that accepts work, there is nothing to wait for.
        let near = || self.workers.values().filter(is_near);
        near().next()?;
        let since_us = job.near_wait.map_or(now_us, |(since_us, _)| since_us);
        let until_us = match patience {
            Patience::Never => return None,
            Patience::Fixed(wait_us) => since_us + wait_us,
            Patience::Offers(offers) => {
                let declined = job.near_wait.map_or(0, |(_, offers)| offers);
                return (declined < offers).then_some(now_us);
            }
            Patience::Always => u64::MAX,
            Patience::Priced => {
                let ahead_us = self.wait_ahead_us(job, target);
                let costs = near().filter_map(|member| {
                    let wait_us = member.expected_wait_us(STALE_US, now_us)? + ahead_us;
                    Some(Cost::new(job, member, wait_us, 1.0, 0.0, market, now_us))
                });
                let best =
                    costs.min_by(|one, other| one.total_us().total_cmp(&other.total_us()))?;
                if best.total_us() >= elsewhere.total_us() {
                    return None;
                }
                // Repeated estimates do not extend the wait beyond the end elsewhere.
                since_us + (elsewhere.total_us() - (best.total_us() - best.wait_us)) as u64
            }
        };
        (now_us < until_us).then_some(until_us)
    }

    /// Returns the time that the work ahead of a job needs at a place, by what waits here for it and
    /// the number of entries that share it, in microseconds.
    fn wait_ahead_us(&self, job: &Record, target: usize) -> u64 {
        let ahead: f64 = self
            .queue
            .iter()
            .take_while(|(rank, _, _)| *rank <= job.rank())
            .filter(|(_, serial, _)| *serial != job.serial)
            .filter_map(|(_, _, other)| self.jobs.get(*other))
            .filter(|other| other.target() == Some(target))
            .map(Record::waiting_work)
            .sum();
        let sharers = self.capacity(&job.submission.service).sharers.max(1.0);
        (ahead * sharers / self.place_states[target].cores.max(1) as f64) as u64
    }
}
