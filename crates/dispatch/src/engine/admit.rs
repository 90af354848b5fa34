//! Admission: what is accepted, refused or known never to run.

use crate::{
    admission::{retry_ms, Demand, Verdict},
    code::Code,
    document::MAX_JOB_TASKS,
    engine::{Engine, Refusal, Submission},
    estimate::band,
    job,
};

/// Membership is complete enough to judge what can never run after this time, in microseconds.
const MEMBERSHIP_US: u64 = 5_000_000;
/// A kind with waiting tasks for this long is served at its measured rate, in microseconds.
const BACKLOG_US: u64 = 1_000_000;
/// Starts from which that rate is known within a quarter.
const BACKLOG_STARTS: u32 = 16;
/// A backlog of this age has a low rate, not a rate that is not known yet, in microseconds.
const SLOW_BACKLOG_US: u64 = 3_000_000;
/// Retry hint while there is no upstream or no document, in milliseconds.
const ABSENT_RETRY_MS: f32 = 1_000.0;

impl Engine {
    /// Accepts or refuses a job or a single request as a whole.
    ///
    /// # Errors
    ///
    /// A refusal means that nothing of the submission will run.
    pub fn submit(
        &mut self,
        submission: &Submission<'_>,
        now_us: u64,
    ) -> Result<job::Key, Refusal> {
        let class = self.runnable(submission, now_us)?;
        self.admit(class, submission, now_us)?;
        let kind = &self.kinds[class];
        let deadline_us = now_us + u64::from(kind.deadline_ms) * 1_000;
        let mut row = job::Row::new(class as u16, submission.payloads, now_us, deadline_us);
        row.retryable = submission.single && kind.idempotent;
        if row.retryable {
            self.retries.record_first(now_us);
        }
        row.band = band(submission.declared_ms);
        let waiting = u32::from(row.waiting);
        let key = self.jobs.add(row);
        self.add_waiting(class, waiting, now_us);
        self.pump(now_us);
        Ok(key)
    }

    /// Finds the kind, and refuses what can never run.
    pub(super) fn runnable(
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
        let age_us = self.member_us.map_or(0, |since_us| now_us.saturating_sub(since_us));
        let capacity = self.kinds[class].max_waiting + self.fleet.slots();
        let never_fits = tasks as u32 > capacity && age_us >= MEMBERSHIP_US;
        if too_big || never_fits {
            return Err(self.refusal(Code::NeverRunnable, None));
        }
        Ok(class)
    }

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
            starts_per_s: self.rate(class, band(submission.declared_ms), now_us),
            rate_known: self.kinds[class].run.is_learned(),
            deadline_ms: self.kinds[class].deadline_ms,
        };
        match demand.decide() {
            Verdict::Accept => Ok(()),
            Verdict::Refuse { code, after_ms } => Err(self.refusal(code, Some(after_ms))),
        }
    }

    pub(super) fn refusal(&mut self, code: Code, after_ms: Option<f32>) -> Refusal {
        let retry_ms = after_ms.map_or(0, |after_ms| retry_ms(after_ms, &mut self.rng));
        Refusal { code, retry_ms }
    }

    /// Free slots that a kind may use now.
    pub(super) fn usable_free(&self, class: usize) -> u32 {
        let slots = self.fleet.slots();
        if !self.queue.must_leave_headroom(class, slots) {
            return self.fleet.free();
        }
        let reserved = slots * crate::route::HEADROOM_SLOTS / crate::route::HEADROOM_OF_SLOTS;
        self.fleet.free().saturating_sub(reserved)
    }

    /// Starts a second that a kind can count on here. Once it has been waiting for a while, this is
    /// the measured rate; before, its share and free slots may give it more than it has used.
    pub(super) fn rate(&self, class: usize, band: u8, now_us: u64) -> f32 {
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
        let lent = self.queue.classes[class].outstanding + self.usable_free(class);
        let slots = (share * self.fleet.slots() as f32).max(lent as f32);
        let run_us = kind.run.mean_us(band).max(1);
        kind.starts.per_second(now_us).max(slots * 1_000_000.0 / run_us as f32)
    }
}
