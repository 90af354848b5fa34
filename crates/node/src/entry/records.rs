//! Submissions whose records this entry keeps: starting, showing, cancelling and answering them.

use std::sync::Arc;

use kingcup_dispatch::{
    code::{Code, Execution},
    engine,
    id::Job,
    job::Outcome,
    key::{Digest, Record, Request, Verdict},
};

use super::{
    api::{self, Refusal, State, Submission},
    services::{Handle, Name, Running},
    waiter::Waiter,
    Entry,
};
use crate::http::Answer;

/// What the sender of a submission states about it.
#[derive(Debug, Clone, Copy)]
pub struct Claim {
    /// True if the caller marked this as its first attempt.
    pub first: bool,
    /// Digest of the list of entries from which the sender computed the key's owner.
    pub peers: u64,
}

impl Claim {
    /// Returns the code with which to refuse a submission that has not reached the entry that keeps
    /// its record.
    ///
    /// Unless the caller marked the first attempt, an earlier attempt may have run, so the code
    /// must not say "not run".
    pub fn refusal_code(&self, name: &Name, code: Code) -> Code {
        let elsewhere = matches!(code, Code::HomeUnreachable | Code::PeersDiffer);
        match name {
            Name::Key(_) if elsewhere && !self.first => Code::RecordExpired,
            Name::Job(_) if elsewhere && !self.first => Code::HomeLost,
            _ => code,
        }
    }
}

/// Returns the digest of a submission. Distinguishes a repetition from another submission under the
/// same job ID or idempotency key.
fn digest(body: &[u8], single: bool) -> Digest {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&[u8::from(single)]);
    hasher.update(body);
    let mut short = [0; 16];
    short.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    Digest(u128::from_le_bytes(short))
}

impl Entry {
    /// Handles a submission whose record this entry keeps.
    pub(super) fn submit_home(
        &mut self,
        waiter: Waiter,
        name: Name,
        claim: Claim,
        body: &[u8],
        single: bool,
        now_us: u64,
    ) {
        let label = self.label(&name);
        let submission = match api::submission(body, single) {
            Ok(submission) => submission,
            Err(refusal) => return self.refuse(waiter, &label, &refusal),
        };
        let digest = digest(body, single);
        let verdict = match &name {
            Name::Job(job) => self.ledger.submit(job, digest, now_us),
            Name::Key(key) => {
                let Claim { first, peers } = claim;
                self.ledger.submit_key(Request { key, first, peers }, digest, now_us)
            }
            Name::Anonymous(_) => Verdict::Fresh,
        };
        if self.stop.refuses_new() && self.is_new(&name, &verdict, now_us) {
            return self.defer(waiter, name, claim.first, body, single, now_us);
        }
        match verdict {
            Verdict::Fresh => self.start(waiter, name, label, &submission, now_us),
            Verdict::Running => self.attach(waiter, &name),
            Verdict::Finished(record) => self.answer(waiter, stored_answer(&record)),
            Verdict::Refused(code) => {
                let code = claim.refusal_code(&name, code);
                self.refuse(waiter, &label, &Refusal::new(code));
            }
        }
    }

    /// Returns true if a submission that arrives while the entry stops has no record yet. Withdraws
    /// the record of a submission that the ledger has just added.
    fn is_new(&mut self, name: &Name, verdict: &Verdict, now_us: u64) -> bool {
        match verdict {
            Verdict::Fresh => {
                self.record(name, Code::Closing, &[], now_us);
                true
            }
            Verdict::Refused(code) => matches!(code, Code::Closing | Code::HomeLost),
            Verdict::Running | Verdict::Finished(_) => false,
        }
    }

    /// Returns the name of a submission for logs, upstreams and callers.
    fn label(&self, name: &Name) -> Arc<str> {
        match name {
            Name::Job(job) => job.to_string().into(),
            Name::Key(key) => key.as_str().into(),
            Name::Anonymous(number) => {
                let name = &self.settings.process.name;
                format!("{name}-{:x}-0-{number:x}", self.incarnation).into()
            }
        }
    }

    /// Admits a new submission, or refuses it and withdraws its record.
    fn start(
        &mut self,
        waiter: Waiter,
        name: Name,
        label: Arc<str>,
        submission: &Submission,
        now_us: u64,
    ) {
        match self.admit(submission, now_us) {
            Ok(handle) => {
                let kind: Arc<str> = submission.kind.as_str().into();
                let deadline_us = self.caller_deadline_us(submission, now_us);
                let running = Running {
                    name,
                    label,
                    kind,
                    accepted_us: now_us,
                    started: false,
                    expired: false,
                    waiters: vec![waiter],
                };
                self.metrics.accepted(&running.kind);
                self.services.insert(handle, running);
                if let Some(deadline_us) = deadline_us {
                    self.deadlines.push(deadline_us, handle);
                }
            }
            Err((refusal, retry_ms)) => {
                self.record(&name, refusal.code, &[], now_us);
                self.metrics.refused(refusal.code);
                log::info!(
                    "event=refused job={label} service={} kind={} tasks={} code={} retry_ms={retry_ms}",
                    submission.service,
                    submission.kind,
                    submission.payloads.len(),
                    refusal.code.number()
                );
                self.answer(waiter, api::refusal(&label, &refusal, retry_ms));
            }
        }
    }

    /// Returns the caller's deadline, in microseconds, if it is earlier than the kind's. The engine
    /// enforces the latter itself.
    fn caller_deadline_us(&self, submission: &Submission, now_us: u64) -> Option<u64> {
        let version = self.documents.current(&submission.service)?;
        let mut kinds = version.envelope.document.kinds.iter();
        let kind = kinds.find(|kind| kind.name == submission.kind)?;
        let deadline_ms = submission.deadline_ms.filter(|ms| *ms < kind.deadline_ms)?;
        Some(now_us + u64::from(deadline_ms) * 1_000)
    }

    /// Submits to the engine of the service, if the team's quota allows it. An error holds the wait
    /// before a retry in milliseconds, 0 for none.
    fn admit(&mut self, submission: &Submission, now_us: u64) -> Result<Handle, (Refusal, u32)> {
        if !self.evacuations.is_known() {
            // Any zone may be evacuated. The table arrives with the first answer of the store or of
            // another process, as documents do.
            return Err((Refusal::new(Code::NoDocument), self.retry_ms()));
        }
        let Some(service) = self.services.find(&submission.service) else {
            let code = self.unknown_service(now_us);
            let retry_ms = if code == Code::NoDocument { self.retry_ms() } else { 0 };
            return Err((Refusal::new(code), retry_ms));
        };
        let tasks = submission.payloads.len() as u32;
        if let Err(retry_ms) = self.quotas.admit(&submission.service, tasks, now_us) {
            let jitter_ms = self.rng.u32(0..=retry_ms / 4);
            return Err((Refusal::new(Code::QuotaExceeded), retry_ms + jitter_ms));
        }
        let request = engine::Submission {
            kind: &submission.kind,
            single: submission.single,
            payloads: &submission.payloads,
            declared_ms: submission.declared_ms,
            milli_cpus: submission.milli_cpus,
            memory_mb: submission.memory_mb,
        };
        let engine = &mut self.services.get_mut(service).engine;
        match engine.submit(&request, now_us) {
            Ok(job) => Ok(Handle { service, job }),
            Err(refusal) => {
                self.quotas.refund(&submission.service, tasks);
                Err((Refusal::new(refusal.code), refusal.retry_ms))
            }
        }
    }

    /// Adds a waiter to a job in progress. Refuses it if too many wait already, or if the job is
    /// not in progress here.
    fn attach(&mut self, waiter: Waiter, name: &Name) {
        let handle = self.services.find_job(name);
        let running = handle.and_then(|handle| self.services.running(handle));
        let rejected = match running {
            Some(running) => running.attach(waiter),
            None => Some(waiter),
        };
        if let Some(waiter) = rejected {
            let label = self.label(name);
            self.refuse(waiter, &label, &Refusal::new(Code::InProgress));
        }
    }

    /// Answers with the state or the stored answer of a job whose record this entry keeps.
    pub(super) fn show_home(&mut self, waiter: Waiter, job: &Job, now_us: u64) {
        let label = job.to_string();
        match self.ledger.lookup(job, now_us) {
            Verdict::Finished(record) => self.answer(waiter, stored_answer(&record)),
            Verdict::Running => {
                let body = api::failed(&label, Code::InProgress, "");
                self.answer(waiter, Answer::json(RUNNING_STATUS, body));
            }
            Verdict::Fresh => self.refuse(waiter, &label, &Refusal::new(Code::UnknownJob)),
            Verdict::Refused(code) => self.refuse(waiter, &label, &Refusal::new(code)),
        }
    }

    /// Cancels one job whose record this entry keeps. The caller receives the answer of the job.
    pub(super) fn cancel_one(&mut self, waiter: Waiter, job: &Job, now_us: u64) {
        let name = Name::Job(job.clone());
        let Some(handle) = self.services.find_job(&name) else {
            return self.show_home(waiter, job, now_us);
        };
        self.attach(waiter, &name);
        self.services.get_mut(handle.service).engine.cancel(handle.job, now_us);
    }

    /// Cancels a list of jobs whose records this entry keeps, and answers with the state of each.
    pub(super) fn cancel_home(&mut self, waiter: Waiter, body: &[u8], now_us: u64) {
        let list = match api::cancellation(body) {
            Ok(list) => list,
            Err(refusal) => return self.refuse(waiter, "", &refusal),
        };
        let states = self.cancel_list(list.jobs, now_us);
        self.answer(waiter, Answer::json(Code::Complete.status(), api::cancelled(&states)));
    }

    /// Cancels jobs whose records this entry keeps, and returns the state of each.
    pub(super) fn cancel_list(&mut self, jobs: Vec<String>, now_us: u64) -> Vec<State> {
        let mut rows: Vec<(String, Option<Job>, bool)> = Vec::new();
        for text in jobs {
            let job: Option<Job> = text.parse().ok();
            let handle = job.clone().and_then(|job| self.services.find_job(&Name::Job(job)));
            if let Some(handle) = handle {
                self.services.get_mut(handle.service).engine.cancel(handle.job, now_us);
            }
            rows.push((text, job, handle.is_some()));
        }
        self.apply_actions(now_us);
        let mut states = Vec::new();
        for (text, job, in_progress) in rows {
            let code = job.map_or(Code::BadRequest, |job| self.job_code(&job, now_us));
            // The ledger keeps no record of a job that was cancelled before it started.
            let code = if in_progress && code == Code::UnknownJob { Code::Cancelled } else { code };
            states.push(State { job: text, code: code.number() });
        }
        states
    }

    /// Returns the code that describes the state of a job.
    fn job_code(&mut self, job: &Job, now_us: u64) -> Code {
        match self.ledger.lookup(job, now_us) {
            Verdict::Finished(record) => record.code,
            Verdict::Running => Code::InProgress,
            Verdict::Fresh => Code::UnknownJob,
            Verdict::Refused(code) => code,
        }
    }

    /// Records the outcome of a submission.
    fn record(&mut self, name: &Name, code: Code, body: &[u8], now_us: u64) {
        let record = Record { code, body: Arc::from(body) };
        match name {
            Name::Job(job) => {
                self.ledger.finish(job, record, now_us);
            }
            Name::Key(key) => {
                self.ledger.finish_key(key, record, now_us);
            }
            Name::Anonymous(_) => {}
        }
    }

    /// Records the outcome of a job and answers everyone who waits for it.
    pub(super) fn finish_job(&mut self, handle: Handle, outcome: &Outcome, now_us: u64) {
        let Some(running) = self.services.remove(handle) else { return };
        let (code, body) = match outcome {
            Outcome::Complete(answers) => (Code::Complete, api::complete(&running.label, answers)),
            Outcome::Failed { code, task, body } => {
                let code =
                    if running.expired && *code == Code::Cancelled { Code::Expired } else { *code };
                let text = api::error_text(body);
                let detail = match task {
                    Some(task) if text.is_empty() => format!("task {task}"),
                    Some(task) => format!("task {task}: {text}"),
                    None => text,
                };
                (code, api::failed(&running.label, code, &detail))
            }
        };
        let taken_us = now_us.saturating_sub(running.accepted_us);
        self.metrics.answered(&running.kind, code, taken_us);
        log::info!(
            "event=answered job={} kind={} code={} taken_us={taken_us}",
            running.label,
            running.kind,
            code.number()
        );
        self.record(&running.name, code, &body, now_us);
        let retry_ms = if code.execution() == Execution::NotRun { self.retry_ms() } else { 0 };
        for waiter in running.waiters {
            let answer = Answer::json(code.status(), body.clone());
            self.answer(waiter, Answer { retry_ms, ..answer });
        }
    }

    /// Cancels jobs whose callers' deadlines have passed before all their tasks have started.
    pub(super) fn tick_deadlines(&mut self, now_us: u64) {
        while let Some(handle) = self.deadlines.pop(now_us) {
            let service = self.services.get_mut(handle.service);
            let has_waiting =
                service.engine.jobs().get(handle.job).is_some_and(|row| row.waiting > 0);
            let Some(running) = service.running.get_mut(handle.job).filter(|_| has_waiting) else {
                continue;
            };
            running.expired = true;
            service.engine.cancel(handle.job, now_us);
        }
    }
}

/// HTTP status of the answer that shows a running job. The status of `InProgress` itself, a
/// conflict, is meant for resubmissions.
const RUNNING_STATUS: u16 = 202;

fn stored_answer(record: &Record) -> Answer {
    Answer::json(record.code.status(), record.body.to_vec())
}
