//! Slow runs: measures workers by the progress of their runs, and moves a run to another worker if
//! its job then ends sooner.

use super::{action::Effect, Item, Planner, Worker};
use crate::worker::Progress;

/// Age of a run from which a lack of any progress is taken into account, in microseconds.
const NO_PROGRESS_US: u64 = 150_000;
/// Least ratio of the remaining time of a run to the time of a new run elsewhere at which the run
/// is moved.
const MIN_GAIN: f64 = 1.5;
/// Time to stop a run and start it elsewhere, in microseconds: a stop, two round trips and a wait.
const MOVE_COST_US: u64 = 70_000;

/// Weight of a run time measured against another task of the same job; these take nearly the same
/// time.
const SIBLING_WEIGHT: f64 = 0.15;
/// Most by which a measured run time counts as longer or shorter than the expected one in the
/// reference for other tasks of the job. It bounds the effect of a slow worker that is not known yet.
const MAX_DEVIATION: f64 = 2.0;
/// Weight of a run time measured against the expected one, which is off by up to half.
const EXPECTED_WEIGHT: f64 = 0.03;

impl Planner {
    /// Handles a sidecar's report on the progress of a run.
    pub fn progress(&mut self, progress: &Progress, now_us: u64) {
        let Progress { run, elapsed_us, percent } = *progress;
        let stalled = percent == 0;
        if stalled && elapsed_us < NO_PROGRESS_US {
            return;
        }
        let Some(start) = self.runs.get_mut(&run) else { return };
        let is_first = !std::mem::replace(&mut start.measured, true);
        let (worker, moving, item, distance) =
            (start.worker, start.moving, start.item, start.distance);
        let total_us = elapsed_us * 100 / u64::from(percent.max(1));
        start.total_us = Some(total_us);
        if is_first || stalled {
            // Time lost to the distance is no slowness of the worker.
            self.measure(worker, item, (total_us as f64 / distance) as u64, now_us);
        }
        let (Some(job), Some(member)) = (self.jobs.get(item.job), self.workers.get(worker)) else {
            return;
        };
        let remaining_us = total_us.saturating_sub(elapsed_us);
        let rerun_us =
            job.shortest_run.map_or(job.work_us, |(_, total_us)| total_us) + MOVE_COST_US;
        let in_time = now_us + rerun_us < job.late_us.min(job.timeout_us);
        let misses_objective = now_us + remaining_us > job.objective_us;
        let saves_time = remaining_us as f64 > rerun_us as f64 * MIN_GAIN;
        if member.is_slow(job.kind, self.usual, now_us)
            && saves_time
            && misses_objective
            && in_time
            && !moving
        {
            if let Some(start) = self.runs.get_mut(&run) {
                start.moving = true;
            }
            self.effects.push(Effect::Stop { worker, run });
        }
    }

    /// Measures the slowness of a worker by the total run time of a task there, which is known or
    /// extrapolated. The reference is the mean of the expected run time and of earlier runs of the
    /// same job, each divided by the slowness of its worker.
    pub(super) fn measure(&mut self, worker: Worker, item: Item, total_us: u64, now_us: u64) {
        let (Some(job), Some(member)) = (self.jobs.get_mut(item.job), self.workers.get_mut(worker))
        else {
            return;
        };
        let (count, sum_us) = job.measured_runs;
        let weight = if count == 0 { EXPECTED_WEIGHT } else { SIBLING_WEIGHT };
        let work_us = job.work_us as f64;
        let reference_us = (work_us + sum_us) / f64::from(count + 1);
        if reference_us > 0.0 {
            let slowness = member.slowness(job.kind, now_us);
            let ratio = total_us as f64 / reference_us;
            member.record_ratio(job.kind, ratio, weight, now_us);
            let usual_us = total_us as f64 / slowness;
            let bounded_us = usual_us.clamp(work_us / MAX_DEVIATION, work_us * MAX_DEVIATION);
            job.measured_runs = (count + 1, sum_us + bounded_us);
        }
        if job.shortest_run.is_none_or(|(_, shortest_us)| total_us < shortest_us) {
            job.shortest_run = Some((worker, total_us));
        }
    }
}
