//! The estimate by which places for a task are compared: one figure in microseconds.

use serde::Serialize;

use super::{job::Record, worker::Member, Planner};

/// Cost of a fully used worker compared with an idle one, in run times. It spreads tasks over
/// workers of equal speed, which keeps races with other entries rare.
const UTILIZATION_COST: f64 = 0.2;
/// Cost of a worker on which most starts fail, in run times.
const FAILING_COST: f64 = 10.0;

/// Terms of the cost of a task at a worker, in microseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Cost {
    /// Wait for capacity there.
    pub wait_us: f64,
    /// Run time there, by kind of work and speed of the worker.
    pub run_us: f64,
    /// Additional run time away from the task's data or group.
    pub distance_us: f64,
    /// Price of the capacity taken from others: run time beyond that of a usual place, weighted by
    /// how scarce capacity is.
    pub capacity_us: f64,
    /// Price of a place that other work wants, for work that does not want it.
    pub reserve_us: f64,
    /// Price of joining a worker that others use too.
    pub spread_us: f64,
    /// Price of a worker at which most starts fail.
    pub failures_us: f64,
}

impl Cost {
    /// Returns the cost of a task of a job at a worker that has capacity after a wait. `distance` is
    /// the run time there as a multiple of that near the job's data and group, `reserve` the price of
    /// the place in run times.
    pub(super) fn new(
        job: &Record,
        member: &Member,
        wait_us: u64,
        distance: f64,
        reserve: f64,
        market: Market,
        now_us: u64,
    ) -> Self {
        let work_us = job.work_us as f64;
        let run_us = work_us * member.slowness(job.kind, now_us);
        let free = member.free_cores() as f64 / f64::from(member.profile.cores.max(1));
        let distance_us = run_us * (distance - 1.0);
        let excess_us = run_us + distance_us - work_us * market.usual;
        Self {
            wait_us: wait_us as f64,
            run_us,
            distance_us,
            capacity_us: excess_us.max(0.0) * market.scarcity,
            reserve_us: work_us * reserve,
            spread_us: work_us * UTILIZATION_COST * (1.0 - free),
            failures_us: if member.is_failing() { work_us * FAILING_COST } else { 0.0 },
        }
    }

    /// Returns the time until the expected end.
    pub fn end_us(&self) -> f64 {
        self.wait_us + self.run_us + self.distance_us
    }

    /// Returns the sum by which places are compared.
    pub fn total_us(&self) -> f64 {
        self.end_us() + self.capacity_us + self.reserve_us + self.spread_us + self.failures_us
    }
}

/// Conditions that are the same for all places of a task.
#[derive(Debug, Clone, Copy)]
pub(super) struct Market {
    /// How scarce capacity is: 0 when all is free, 1 when work waits.
    pub scarcity: f64,
    /// Slowness of a usual worker.
    pub usual: f64,
}

impl Planner {
    /// Returns the conditions for the tasks of a job.
    pub(super) fn market(&self, job: &Record, now_us: u64) -> Market {
        Market { scarcity: self.scarcity(&job.submission.service, now_us), usual: self.usual }
    }

    /// Returns the cost of a task of a job at a worker that has capacity after a wait.
    pub(super) fn cost(
        &self,
        job: &Record,
        member: &Member,
        wait_us: u64,
        market: Market,
        now_us: u64,
    ) -> Cost {
        let (distance, reserve) = (self.distance(job, member), self.reserve(job, member, now_us));
        Cost::new(job, member, wait_us, distance, reserve, market, now_us)
    }

    /// Returns how scarce capacity of a service is.
    fn scarcity(&self, service: &str, now_us: u64) -> f64 {
        if self.is_waiting(now_us) {
            return 1.0;
        }
        let (mut cores, mut free) = (0, 0);
        let accepting = self
            .workers
            .values()
            .filter(|member| member.is_accepting() && *member.profile.service == *service);
        for member in accepting {
            cores += i64::from(member.profile.cores);
            free += member.free_cores().max(0);
        }
        1.0 - free as f64 / cores.max(1) as f64
    }
}
