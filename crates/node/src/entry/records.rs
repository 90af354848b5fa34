//! Submissions whose record this entry holds: start, show, cancel, and the answer.

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
    services::{Name, Place, Running},
    waiter::Waiter,
    Entry,
};
use crate::http::Answer;

/// What a submission under an idempotency key claims.
#[derive(Debug, Clone, Copy)]
pub struct Claim {
    /// The caller marked this as its first attempt.
    pub first: bool,
    /// Digest of the list of entries by which the owner was found.
    pub peers: u64,
}

impl Claim {
    /// Code for a submission that has not reached the place of its record. Only the caller's word
    /// that it is the first attempt makes "not run" true of the work.
    pub fn truthful(&self, name: &Name, code: Code) -> Code {
        let elsewhere = matches!(code, Code::HomeUnreachable | Code::PeersDiffer);
        match name {
            Name::Key(_) if elsewhere && !self.first => Code::RecordExpired,
            Name::Job(_) if elsewhere && !self.first => Code::HomeLost,
            _ => code,
        }
    }
}

/// Digest of a submission, by which a repetition is told from another submission of the same name.
fn digest(body: &[u8], single: bool) -> Digest {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&[u8::from(single)]);
    hasher.update(body);
    let mut short = [0; 16];
    short.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    Digest(u128::from_le_bytes(short))
}

impl Entry {
    /// Handles a submission whose record belongs here.
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
            Name::Plain(_) => Verdict::Fresh,
        };
        if self.stop.refuses_new() && self.is_new(&name, &verdict, now_us) {
            return self.hold(waiter, name, claim.first, body, single, now_us);
        }
        match verdict {
            Verdict::Fresh => self.start(waiter, name, label, &submission, now_us),
            Verdict::Running => self.attach(waiter, &name),
            Verdict::Finished(record) => self.answer(waiter, stored(&record)),
            Verdict::Refused(code) => {
                let code = claim.truthful(&name, code);
                self.refuse(waiter, &label, &Refusal::of(code));
            }
        }
    }

    /// True if nothing is known of a submission that arrives while the entry stops. One that the
    /// ledger has just recorded as started is taken back.
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

    fn label(&self, name: &Name) -> Arc<str> {
        match name {
            Name::Job(job) => job.to_string().into(),
            Name::Key(key) => key.as_str().into(),
            Name::Plain(number) => {
                let name = &self.settings.process.name;
                format!("{name}-{:x}-0-{number:x}", self.incarnation).into()
            }
        }
    }

    fn start(
        &mut self,
        waiter: Waiter,
        name: Name,
        label: Arc<str>,
        submission: &Submission,
        now_us: u64,
    ) {
        match self.admit(submission, now_us) {
            Ok(place) => {
                let kind: Arc<str> = submission.kind.as_str().into();
                let deadline_us = self.own_deadline_us(submission, now_us);
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
                self.services.insert(place, running);
                if let Some(deadline_us) = deadline_us {
                    self.deadlines.push(deadline_us, place);
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

    /// The caller's deadline, in microseconds, if it is earlier than the kind's, which the engine
    /// keeps.
    fn own_deadline_us(&self, submission: &Submission, now_us: u64) -> Option<u64> {
        let held = self.documents.current(&submission.service)?;
        let mut kinds = held.envelope.document.kinds.iter();
        let kind = kinds.find(|kind| kind.name == submission.kind)?;
        let deadline_ms = submission.deadline_ms.filter(|ms| *ms < kind.deadline_ms)?;
        Some(now_us + u64::from(deadline_ms) * 1_000)
    }

    /// Passes a submission to its service's engine.
    fn admit(&mut self, submission: &Submission, now_us: u64) -> Result<Place, (Refusal, u32)> {
        let Some(service) = self.services.find(&submission.service) else {
            let code = self.unknown_service(now_us);
            let retry_ms = if code == Code::NoDocument { self.retry_ms() } else { 0 };
            return Err((Refusal::of(code), retry_ms));
        };
        let tasks = submission.payloads.len() as u32;
        if let Err(retry_ms) = self.quotas.admit(&submission.service, tasks, now_us) {
            let jitter_ms = self.rng.u32(0..=retry_ms / 4);
            return Err((Refusal::of(Code::QuotaExceeded), retry_ms + jitter_ms));
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
            Ok(job) => Ok(Place { service, job }),
            Err(refusal) => {
                self.quotas.refund(&submission.service, tasks);
                Err((Refusal::of(refusal.code), refusal.retry_ms))
            }
        }
    }

    /// Adds a caller to a job in progress.
    fn attach(&mut self, waiter: Waiter, name: &Name) {
        let place = self.services.place(name);
        let running = place.and_then(|place| self.services.running(place));
        let rest = match running {
            Some(running) => running.attach(waiter),
            None => Some(waiter),
        };
        if let Some(waiter) = rest {
            let label = self.label(name);
            self.refuse(waiter, &label, &Refusal::of(Code::InProgress));
        }
    }

    /// Answers with the state or the stored answer of a job whose record belongs here.
    pub(super) fn show_home(&mut self, waiter: Waiter, job: &Job, now_us: u64) {
        let label = job.to_string();
        match self.ledger.lookup(job, now_us) {
            Verdict::Finished(record) => self.answer(waiter, stored(&record)),
            Verdict::Running => {
                let body = api::failed(&label, Code::InProgress, "");
                self.answer(waiter, Answer::json(SHOWN_RUNNING, body));
            }
            Verdict::Fresh => self.refuse(waiter, &label, &Refusal::of(Code::UnknownJob)),
            Verdict::Refused(code) => self.refuse(waiter, &label, &Refusal::of(code)),
        }
    }

    /// Cancels one job whose record belongs here. The caller gets the job's own answer.
    pub(super) fn cancel_one(&mut self, waiter: Waiter, job: &Job, now_us: u64) {
        let name = Name::Job(job.clone());
        let Some(place) = self.services.place(&name) else {
            return self.show_home(waiter, job, now_us);
        };
        self.attach(waiter, &name);
        self.services.get_mut(place.service).engine.cancel(place.job, now_us);
    }

    /// Cancels the jobs of a list whose records belong here, and answers with the state of each.
    pub(super) fn cancel_home(&mut self, waiter: Waiter, body: &[u8], now_us: u64) {
        let list = match api::cancellation(body) {
            Ok(list) => list,
            Err(refusal) => return self.refuse(waiter, "", &refusal),
        };
        let states = self.cancel_list(list.jobs, now_us);
        self.answer(waiter, Answer::json(Code::Complete.status(), api::cancelled(&states)));
    }

    /// Cancels jobs whose records belong here.
    pub(super) fn cancel_list(&mut self, jobs: Vec<String>, now_us: u64) -> Vec<State> {
        let mut rows: Vec<(String, Option<Job>, bool)> = Vec::new();
        for text in jobs {
            let job: Option<Job> = text.parse().ok();
            let place = job.clone().and_then(|job| self.services.place(&Name::Job(job)));
            if let Some(place) = place {
                self.services.get_mut(place.service).engine.cancel(place.job, now_us);
            }
            rows.push((text, job, place.is_some()));
        }
        self.apply_actions(now_us);
        let mut states = Vec::new();
        for (text, job, ran) in rows {
            let code = job.map_or(Code::BadRequest, |job| self.state_of(&job, now_us));
            // A job that was cancelled before it started leaves no record.
            let code = if ran && code == Code::UnknownJob { Code::Cancelled } else { code };
            states.push(State { job: text, code: code.number() });
        }
        states
    }

    fn state_of(&mut self, job: &Job, now_us: u64) -> Code {
        match self.ledger.lookup(job, now_us) {
            Verdict::Finished(record) => record.code,
            Verdict::Running => Code::InProgress,
            Verdict::Fresh => Code::UnknownJob,
            Verdict::Refused(code) => code,
        }
    }

    /// Stores how a submission ended.
    fn record(&mut self, name: &Name, code: Code, body: &[u8], now_us: u64) {
        let record = Record { code, body: Arc::from(body) };
        match name {
            Name::Job(job) => {
                self.ledger.finish(job, record, now_us);
            }
            Name::Key(key) => {
                self.ledger.finish_key(key, record, now_us);
            }
            Name::Plain(_) => {}
        }
    }

    /// Answers everyone who waits for a job, and stores the answer.
    pub(super) fn finish_job(&mut self, place: Place, outcome: &Outcome, now_us: u64) {
        let Some(running) = self.services.remove(place) else { return };
        let (code, body) = match outcome {
            Outcome::Complete(answers) => (Code::Complete, api::complete(&running.label, answers)),
            Outcome::Failed { code, task, body } => {
                let code =
                    if running.expired && *code == Code::Cancelled { Code::Expired } else { *code };
                let said = api::said(body);
                let detail = match task {
                    Some(task) if said.is_empty() => format!("task {task}"),
                    Some(task) => format!("task {task}: {said}"),
                    None => said,
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

    /// Gives up jobs whose own deadline has passed before all their tasks have started.
    pub(super) fn tick_deadlines(&mut self, now_us: u64) {
        while let Some(place) = self.deadlines.pop(now_us) {
            let service = self.services.get_mut(place.service);
            let waits = service.engine.jobs().get(place.job).is_some_and(|row| row.waiting > 0);
            let Some(running) = service.running.get_mut(place.job).filter(|_| waits) else {
                continue;
            };
            running.expired = true;
            service.engine.cancel(place.job, now_us);
        }
    }
}

/// HTTP status of the answer that shows a running job: it is not a conflict there.
const SHOWN_RUNNING: u16 = 202;

fn stored(record: &Record) -> Answer {
    Answer::json(record.code.status(), record.body.to_vec())
}
