//! State of a job on its arrival.

use super::{
    job::{Record, Task},
    Planner, Submission, LATE_FACTOR,
};

impl Planner {
    /// Returns the state of a new job, which has the serial number `next_job`. Does not add it.
    pub(super) fn open_record(
        &self,
        submission: Submission,
        arrived_us: u64,
        now_us: u64,
    ) -> Record {
        let work_us = self.expected_run_us(&submission);
        let known_kind = self.estimates.get(&submission.queue).map(|estimate| estimate.kind);
        let kind = known_kind.unwrap_or(self.estimates.len());
        let near = submission.near.as_deref().and_then(|near| self.find_place(near));
        let target_us = submission.target_us(work_us);
        let tasks = usize::from(submission.tasks);
        let is_repeated = submission.is_repeated();
        let is_late = arrived_us < now_us && arrived_us + target_us < now_us + work_us;
        let timeout_us = arrived_us + submission.timeout_us;
        let target_end_us = arrived_us + target_us;
        Record {
            serial: self.next_job,
            tasks: vec![Task::Waiting; tasks],
            starts: vec![0; tasks],
            failures: vec![0; tasks],
            failed_at: vec![None; tasks],
            arrived_us,
            shortest_run: None,
            measured_runs: (0, 0.0),
            kind,
            near,
            group: None,
            near_wait: None,
            queued_rank: None,
            has_run: false,
            stop_deadline_us: None,
            overdue: is_repeated || is_late,
            worthless: is_late && arrived_us + target_us * LATE_FACTOR < now_us + work_us,
            surplus_until_us: None,
            work_us,
            objective_us: if is_repeated { arrived_us } else { target_end_us },
            late_us: if is_repeated || is_late {
                timeout_us
            } else {
                arrived_us + target_us * LATE_FACTOR
            },
            timeout_us,
            unrefused_starts: 0,
            submission,
        }
    }
}
