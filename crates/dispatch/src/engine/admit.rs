//! Admission control: accepts and refuses submissions.

use crate::{
    admission::{retry_ms, Demand, Verdict},
    code::Code,
    document::MAX_JOB_TASKS,
    engine::{Engine, Refusal, Submission},
    estimate::bucket,
    job,
};

/// Time after the first upstream connected from which the fleet is complete enough to tell that a
/// job can never run, in microseconds.
const FLEET_COMPLETE_US: u64 = 5_000_000;
/// Age of a backlog from which the measured rate of starts is used for its kind, in microseconds.
const BACKLOG_US: u64 = 1_000_000;
/// Number of starts from which the measured rate is accurate to within a quarter.
const BACKLOG_STARTS: u32 = 16;
/// Age of a backlog from which its measured rate is used even after few starts, in microseconds. By
/// then, few starts mean a low rate instead of too few samples.
const SLOW_BACKLOG_US: u64 = 3_000_000;
/// Suggested retry delay when there is no upstream or document, or when the limit on held bytes is
/// reached, in milliseconds.
const ABSENT_RETRY_MS: f32 = 1_000.0;

impl Engine {
    /// Accepts or refuses a job or a single request as a whole.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the submission is not accepted. In that case, none of its tasks will
    /// run.
    pub fn submit(
        &mut self,
        submission: &Submission<'_>,
        now_us: u64,
    ) -> Result<job::Key, Refusal> {
        let class = self.check_runnable(submission, now_us)?;
        self.admit(class, submission, now_us)?;
        let kind = &self.kinds[class];
        let deadline_us = now_us + u64::from(kind.deadline_ms) * 1_000;
        let mut row = job::Row::new(class as u16, submission.payloads, now_us, deadline_us);
        row.retryable = submission.single && kind.idempotent;
        if row.retryable {
            self.retries.record_first(now_us);
        }
        row.bucket = bucket(submission.declared_ms);
        let waiting = u32::from(row.waiting);
        let key = self.jobs.add(row);
        self.add_waiting(class, waiting, now_us);
        self.dispatch_waiting(now_us);
        Ok(key)
    }

    /// Returns the kind of a submission, and refuses submissions that are invalid or can never run.
    pub(super) fn check_runnable(
        &mut self,
        submission: &Submission<'_>,
        now_us: u64,
    ) -> Result<usize, Refusal> {
        let Some(document) = &self.document else {
            return Err(self.refusal(Code::NoDocument, Some(ABSENT_RETRY_MS)));
        };
        let known = self.kinds.iter().position(|kind| *kind.name == *submission.kind);
        let Some(class) = known.filter(|&class| !self.kinds[class].retired) else {
            return Err(self.refusal(Code::UnknownKind, None));
        };
        let tasks = submission.payloads.len();
        let malformed = tasks == 0 || (submission.single && tasks > 1);
        if malformed {
            return Err(self.refusal(Code::BadRequest, None));
        }
        if tasks > MAX_JOB_TASKS {
            return Err(self.refusal(Code::TooLarge, None));
        }
        let too_big = submission.milli_cpus.is_some_and(|cpus| cpus > document.max_milli_cpus)
            || submission.memory_mb.is_some_and(|memory| memory > document.max_memory_mb);
        let age_us = self.first_connected_us.map_or(0, |since_us| now_us.saturating_sub(since_us));
        // An evacuation ends, so that a job that fits without it is not refused for good.
        let slots = self.fleet.slots() + self.fleet.evacuated_slots();
        let capacity = self.kinds[class].max_waiting + slots;
        let never_fits = tasks as u32 > capacity && age_us >= FLEET_COMPLETE_US;
        if too_big || never_fits {
            return Err(self.refusal(Code::NeverRunnable, None));
        }
        Ok(class)
    }

    /// Refuses a submission that exceeds the limits or cannot be completed before its deadline.
    pub(super) fn admit(
        &mut self,
        class: usize,
        submission: &Submission<'_>,
        now_us: u64,
    ) -> Result<(), Refusal> {
        if self.fleet.slots() == 0 {
            return Err(self.refusal(Code::NoUpstream, Some(ABSENT_RETRY_MS)));
        }
        let bytes: usize = submission.payloads.iter().map(|payload| payload.len()).sum();
        if self.jobs.bytes() + bytes > self.settings.max_bytes {
            return Err(self.refusal(Code::Overloaded, Some(ABSENT_RETRY_MS)));
        }
        let demand = Demand {
            tasks: submission.payloads.len() as u32,
            waiting: self.queue.classes[class].waiting,
            max_waiting: self.kinds[class].max_waiting,
            free_slots: self.usable_free(class),
            starts_per_s: self.rate(class, bucket(submission.declared_ms), now_us),
            rate_known: self.kinds[class].durations.is_learned(),
            deadline_ms: self.kinds[class].deadline_ms,
        };
        match demand.decide() {
            Verdict::Accept => Ok(()),
            Verdict::Refuse { code, after_ms } => Err(self.refusal(code, Some(after_ms))),
        }
    }

    /// Creates a refusal with a randomized retry delay.
    pub(super) fn refusal(&mut self, code: Code, after_ms: Option<f32>) -> Refusal {
        let retry_ms = after_ms.map_or(0, |after_ms| retry_ms(after_ms, &mut self.rng));
        Refusal { code, retry_ms }
    }

    /// Returns the number of free slots that a kind may use now.
    pub(super) fn usable_free(&self, class: usize) -> u32 {
        let slots = self.fleet.slots();
        if !self.queue.must_leave_headroom(class, slots) {
            return self.fleet.free();
        }
        let headroom = slots * crate::route::HEADROOM_SLOTS / crate::route::HEADROOM_BASIS_SLOTS;
        self.fleet.free().saturating_sub(headroom)
    }

    /// Returns the number of starts per second that a kind can expect at this entry.
    ///
    /// Once the kind has had a backlog for a while, this is the measured rate. Before that, its
    /// share and the free slots may permit more than the kind has used so far.
    pub(super) fn rate(&self, class: usize, bucket: u8, now_us: u64) -> f32 {
        let kind = &self.kinds[class];
        let measured = kind.backlog.filter(|backlog| {
            let age_us = now_us.saturating_sub(backlog.since_us);
            let enough = backlog.count >= BACKLOG_STARTS || age_us > SLOW_BACKLOG_US;
            age_us > BACKLOG_US && enough
        });
        if let Some(backlog) = measured {
            return backlog.starts.per_second_since(backlog.since_us, now_us);
        }
        let share = f32::from(self.queue.classes[class].share_percent.max(1)) / 100.0;
        let usable_slots = self.queue.classes[class].outstanding + self.usable_free(class);
        let slots = (share * self.fleet.slots() as f32).max(usable_slots as f32);
        let run_us = kind.durations.mean_us(bucket).max(1);
        kind.starts.per_second(now_us).max(slots * 1_000_000.0 / run_us as f32)
    }
}
