//! Runs that are behind: measured by their progress, and moved when that ends their job sooner.

use super::{action::Effect, Place, Planner, Worker};
use crate::worker::Progress;

/// Age of a run at which no progress at all counts, in microseconds.
const NO_PROGRESS_US: u64 = 150_000;
/// The rest of a run must be longer by this factor than a run elsewhere for a move to pay.
const GAIN: f64 = 1.5;
/// Time to stop a run and to start it elsewhere, in microseconds: a stop, two round trips and a wait.
const MOVE_US: u64 = 70_000;

/// Weight of a measurement against the other tasks of the same job, which take nearly the same time.
const SIBLING_WEIGHT: f64 = 0.15;
/// Weight of a measurement against what was expected, which is off by up to half.
const EXPECTED_WEIGHT: f64 = 0.03;

impl Planner {
    /// A sidecar has told how far a run has come.
    pub fn progress(&mut self, progress: &Progress, now_us: u64) {
        let Progress { run, elapsed_us, percent } = *progress;
        let stands = percent == 0;
        if stands && elapsed_us < NO_PROGRESS_US {
            return;
        }
        let Some(sent) = self.runs.get_mut(&run) else { return };
        let first = !std::mem::replace(&mut sent.measured, true);
        let (worker, moving, place) = (sent.worker, sent.moving, sent.place);
        let total_us = elapsed_us * 100 / u64::from(percent.max(1));
        if first || stands {
            self.measure(worker, place, total_us, now_us);
        }
        let (Some(job), Some(member)) = (self.jobs.get(place.job), self.workers.get(worker)) else {
            return;
        };
        let rest_us = total_us.saturating_sub(elapsed_us);
        let again_us = job.shortest_us.map_or(job.work_us, |(_, total_us)| total_us) + MOVE_US;
        let in_time = now_us + again_us < job.late_us.min(job.timeout_us);
        let misses = now_us + rest_us > job.objective_us;
        let gains = rest_us as f64 > again_us as f64 * GAIN;
        if member.is_slow(now_us) && gains && misses && in_time && !moving {
            if let Some(sent) = self.runs.get_mut(&run) {
                sent.moving = true;
            }
            self.effects.push(Effect::Stop { worker, run });
        }
    }

    /// Measures a worker by the whole run time of a task there, known or foreseen: against the tasks of
    /// the same job at other workers where there are any.
    pub(super) fn measure(&mut self, worker: Worker, place: Place, total_us: u64, now_us: u64) {
        let (Some(job), Some(member)) =
            (self.jobs.get_mut(place.job), self.workers.get_mut(worker))
        else {
            return;
        };
        let (usual_us, weight) = match job.shortest_us {
            Some((other, usual_us)) if other != worker => (usual_us, SIBLING_WEIGHT),
            _ => (job.work_us, EXPECTED_WEIGHT),
        };
        if usual_us > 0 {
            member.measured(total_us as f64 / usual_us as f64, weight, now_us);
        }
        if job.shortest_us.is_none_or(|(_, shortest_us)| total_us < shortest_us) {
            job.shortest_us = Some((worker, total_us));
        }
    }
}
