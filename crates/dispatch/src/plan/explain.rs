//! Explains where a job would go now, and why, without submitting it.
//!
//! The decision is computed by the functions that also decide on submitted jobs. Nothing is
//! recorded: no means, no counters and no random numbers.

use std::sync::Arc;

use serde::Serialize;

use super::{
    admission::{Decision, FREE_WAIT_US},
    cost::{Cost, Market},
    job::{Record, Task},
    place::Choice,
    worker::Member,
    Planner, Submission, Worker, URGENT_WAIT_US,
};

/// Most candidates in an explanation. Others are only counted, which bounds its size.
pub const MAX_CANDIDATES: usize = 32;
/// What the explanation is about.
const SCOPE: &str =
    "first task; all tasks of a job are alike, and each takes capacity from the next";

/// Rule by which a worker is excluded. Numbers are stable.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(into = "Numbered")]
pub enum Rule {
    /// The worker is not connected.
    NotConnected = 1,
    /// The worker does not accept work.
    NotAccepting = 2,
    /// The worker's availability zone is evacuated.
    Evacuated = 3,
    /// The worker runs tasks of another service.
    OtherService = 4,
    /// The worker lacks the label that the job requires.
    MissingLabel = 5,
    /// The worker has no capacity for the task now, nor soon enough for a waiting start.
    NoCapacity = 6,
    /// The worker has refused a start a moment ago.
    Paused = 7,
    /// The worker is slower than usual and would end the task too late.
    Slow = 8,
    /// Most starts at the worker fail, and it has got its task for the interval.
    Failing = 9,
}

/// Serialised form of a rule.
#[derive(Debug, Serialize)]
struct Numbered {
    number: u8,
    name: &'static str,
}

impl From<Rule> for Numbered {
    fn from(rule: Rule) -> Self {
        Self { number: rule as u8, name: rule.name() }
    }
}

impl Rule {
    /// Returns the name of the rule.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotConnected => "not_connected",
            Self::NotAccepting => "not_accepting",
            Self::Evacuated => "evacuated",
            Self::OtherService => "other_service",
            Self::MissingLabel => "missing_label",
            Self::NoCapacity => "no_capacity",
            Self::Paused => "paused",
            Self::Slow => "slow",
            Self::Failing => "failing",
        }
    }
}

/// Decision of admission control.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The job is queued by its urgency.
    Accepted,
    /// The job gets only capacity that no other waiting job needs.
    Surplus,
    /// No worker accepts work for the job's service.
    Unavailable,
    /// The caller has tried before, so admission control is not asked: the job runs only if it is
    /// placed at once.
    Repeated,
}

/// Admission of the job. Times are in microseconds.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Admission {
    /// Decision.
    pub verdict: Verdict,
    /// Expected wait; none if no worker accepts work for the service.
    pub wait_us: Option<u64>,
    /// Longest wait that a job of its kind is worth, with which the expected wait is compared.
    pub price_us: f64,
    /// Longest wait that still meets the objective.
    pub slack_us: u64,
    /// Wait up to which the job is accepted.
    pub accepted_up_to_us: u64,
    /// False for a moment after a change of the workers, in which every job is accepted.
    pub settled: bool,
}

/// What would happen to the first task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Placement {
    /// It is sent to the chosen worker, which has capacity.
    Sent,
    /// It is sent to the chosen worker and waits there, as all are full and the job is urgent.
    SentToWait,
    /// It waits at the entry for a worker near its data or group.
    WaitsNear,
    /// It waits at the entry, as no worker with capacity is suitable.
    WaitsSuitable,
    /// It waits at the entry, as no worker has capacity.
    WaitsCapacity,
    /// It waits at the entry behind other work of the service that finds no capacity.
    WaitsBehind,
    /// The request is held, as workers of the service are expected back.
    Held,
    /// The job is refused.
    Refused,
    /// The job is here already and continues for the new caller.
    Continues,
}

/// A worker for the first task.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Candidate {
    /// Name of the worker's sidecar.
    pub worker: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// True if the task would be sent there.
    pub chosen: bool,
    /// Rule by which the worker is excluded.
    pub excluded: Option<Rule>,
    /// Terms of the estimate; none for a worker of another service. For a worker without capacity
    /// whose wait is unknown, the wait is 0.
    pub cost: Option<Cost>,
    /// Sum of the terms, in microseconds.
    pub total_us: Option<f64>,
    /// False if the worker has no capacity and has not reported when it expects some.
    pub wait_known: bool,
    /// Free cores by the last report and later starts, in thousandths.
    pub free_cores: i64,
    /// Age of the load report, in microseconds.
    pub load_age_us: u64,
    /// Age of the last measurement of the worker's speed, preferably for this queue, in
    /// microseconds.
    pub speed_age_us: Option<u64>,
}

/// The excluded worker of the service with the lowest known cost.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Alternative {
    /// Name of the worker's sidecar.
    pub worker: Arc<str>,
    /// Rule that would have to no longer apply.
    pub excluded: Rule,
    /// Its cost, in microseconds.
    pub total_us: f64,
    /// True if the worker would then be chosen, as no other one is cheaper.
    pub would_be_chosen: bool,
}

/// What would have to change for another answer.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Change {
    /// Wait to which the expected one would have to fall for the job to be accepted, in
    /// microseconds; none if it is accepted or no worker accepts work.
    pub wait_below_us: Option<u64>,
    /// The cheapest excluded worker.
    pub cheapest_excluded: Option<Alternative>,
}

/// Where a job would go now, and why.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Explanation {
    /// ID of the job.
    pub job: Arc<str>,
    /// Queue of the job.
    pub queue: Arc<str>,
    /// Service whose workers run the tasks.
    pub service: Arc<str>,
    /// Number of tasks.
    pub tasks: u16,
    /// What the placement and the candidates are about.
    pub scope: &'static str,
    /// Expected run time of a task on a worker of average speed, in microseconds.
    pub expected_run_us: u64,
    /// Objective for the time from arrival to answer, in microseconds.
    pub target_us: u64,
    /// Decision of admission control.
    pub admission: Admission,
    /// What would happen to the first task.
    pub placement: Placement,
    /// Longest time for which the task waits for a near worker, in microseconds.
    pub near_wait_us: Option<u64>,
    /// Number of jobs of the service that wait ahead.
    pub jobs_ahead: usize,
    /// How scarce capacity is: 0 when all is free, 1 when work waits.
    pub scarcity: f64,
    /// Workers that are not excluded, then the others, each by cost.
    pub candidates: Vec<Candidate>,
    /// Number of further workers.
    pub others: usize,
    /// What would have to change for another answer.
    pub change: Change,
}

impl Planner {
    /// Explains what `submit` would do with a job now. Changes nothing.
    pub fn explain(&self, submission: &Submission, now_us: u64) -> Explanation {
        let mut job = self.open_record(submission.clone(), now_us, now_us);
        // Orders the job behind those of the same rank, as its submission would.
        job.serial += 1;
        let admission = self.explain_admission(&job, now_us);
        if admission.verdict == Verdict::Surplus {
            job.restrict_to_surplus(now_us);
        }
        let market = self.market(&job, now_us);
        if self.needs_group(&job) {
            job.group = self.best_group(&job, market, now_us);
        }
        let (placement, worker) = self.explain_placement(&job, &admission, market, now_us);
        let mut candidates = self.explain_candidates(&job, worker, market, now_us);
        let near_wait_us = self.explain_near_wait(&job, placement, &candidates, market, now_us);
        let change = explain_change(&admission, &candidates);
        let others = candidates.len().saturating_sub(MAX_CANDIDATES);
        candidates.truncate(MAX_CANDIDATES);
        Explanation {
            job: submission.id.clone(),
            queue: submission.queue.clone(),
            service: submission.service.clone(),
            tasks: submission.tasks,
            scope: SCOPE,
            expected_run_us: job.work_us,
            target_us: submission.target_us(job.work_us),
            admission,
            placement,
            near_wait_us,
            jobs_ahead: self.jobs_ahead(&job).count(),
            scarcity: market.scarcity,
            candidates,
            others,
            change,
        }
    }

    fn explain_admission(&self, job: &Record, now_us: u64) -> Admission {
        let assessment = self.assess(job, now_us);
        let price_us = self.price_us(job, &assessment, now_us);
        let verdict = match assessment.decision {
            _ if job.overdue => Verdict::Repeated,
            Decision::Accept => Verdict::Accepted,
            Decision::Surplus => Verdict::Surplus,
            Decision::Unavailable => Verdict::Unavailable,
        };
        Admission {
            verdict,
            wait_us: assessment.wait_us,
            price_us,
            slack_us: assessment.slack_us,
            accepted_up_to_us: assessment.slack_us.min(price_us as u64).max(FREE_WAIT_US),
            settled: assessment.settled,
        }
    }

    /// Returns the waiting jobs of the same service that come before a job.
    fn jobs_ahead<'a>(&'a self, job: &'a Record) -> impl Iterator<Item = &'a Record> {
        let position = (job.rank(), job.serial);
        self.queue
            .iter()
            .take_while(move |(rank, serial, _)| (*rank, *serial) < position)
            .filter_map(|(_, _, key)| self.jobs.get(*key))
            .filter(|other| other.submission.service == job.submission.service)
    }

    /// Returns true if a job ahead finds no capacity, so that later ones of its service wait.
    fn is_blocked(&self, job: &Record, now_us: u64) -> bool {
        self.jobs_ahead(job).any(|other| {
            let market = self.market(other, now_us);
            let task = other.tasks.iter().position(|task| *task == Task::Waiting);
            task.is_some_and(|task| {
                matches!(self.choose(other, task, market, now_us), Choice::Full)
            })
        })
    }

    fn explain_placement(
        &self,
        job: &Record,
        admission: &Admission,
        market: Market,
        now_us: u64,
    ) -> (Placement, Option<Worker>) {
        if self.find(&job.submission.id).is_some() {
            return (Placement::Continues, None);
        }
        if self.has_expected_workers(&job.submission.service, now_us) {
            return (Placement::Held, None);
        }
        if admission.verdict == Verdict::Unavailable {
            return (Placement::Refused, None);
        }
        let waiting = |placement| match admission.verdict {
            Verdict::Repeated => (Placement::Refused, None),
            _ => (placement, None),
        };
        if self.is_blocked(job, now_us) {
            return waiting(Placement::WaitsBehind);
        }
        match self.choose(job, 0, market, now_us) {
            Choice::Worker(worker) => (Placement::Sent, Some(worker)),
            Choice::Wait(worker) => (Placement::SentToWait, Some(worker)),
            Choice::Near => waiting(Placement::WaitsNear),
            Choice::Unsuitable => waiting(Placement::WaitsSuitable),
            Choice::Full => waiting(Placement::WaitsCapacity),
        }
    }

    /// Returns all workers: those that are not excluded, then the others, each by cost.
    fn explain_candidates(
        &self,
        job: &Record,
        chosen: Option<Worker>,
        market: Market,
        now_us: u64,
    ) -> Vec<Candidate> {
        let submission = &job.submission;
        let is_full = !self.workers.values().any(|member| {
            member.profile.service == submission.service
                && member.fits(submission.cores, submission.memory_mb, now_us)
        });
        // Only urgent jobs may wait at full workers, and only if all are full.
        let may_wait = is_full && job.is_urgent();
        let mut candidates: Vec<Candidate> = self
            .workers
            .iter()
            .map(|(worker, member)| {
                let mut candidate = self.explain_worker(job, member, may_wait, market, now_us);
                candidate.chosen = chosen == Some(worker);
                candidate
            })
            .collect();
        candidates.sort_by(|one, other| {
            let class = |candidate: &Candidate| {
                (candidate.excluded.is_some(), !candidate.wait_known, candidate.cost.is_none())
            };
            let total = |candidate: &Candidate| candidate.total_us.unwrap_or(f64::INFINITY);
            class(one).cmp(&class(other)).then(total(one).total_cmp(&total(other)))
        });
        candidates
    }

    fn explain_worker(
        &self,
        job: &Record,
        member: &Member,
        may_wait: bool,
        market: Market,
        now_us: u64,
    ) -> Candidate {
        let submission = &job.submission;
        let has_capacity = member.has_capacity(submission.cores, submission.memory_mb);
        let wait_known = (!may_wait && has_capacity) || member.load.available_in_us.is_some();
        let wait_us = match !may_wait && has_capacity {
            false if wait_known => member.available_in_us(now_us),
            _ => 0,
        };
        let cost = self.cost(job, member, wait_us, market, now_us);
        let excluded = self.exclusion(job, member, &cost, may_wait, now_us);
        let cost = Some(cost).filter(|_| excluded != Some(Rule::OtherService));
        Candidate {
            worker: member.name.clone(),
            zone: member.profile.zone.clone(),
            chosen: false,
            excluded,
            total_us: cost.map(|cost| cost.total_us()),
            cost,
            wait_known,
            free_cores: member.free_cores(),
            load_age_us: member.load_age_us(now_us),
            speed_age_us: member.speed_age_us(job.kind, now_us),
        }
    }

    /// Returns the first rule that excludes a worker for the first task of a job.
    fn exclusion(
        &self,
        job: &Record,
        member: &Member,
        cost: &Cost,
        may_wait: bool,
        now_us: u64,
    ) -> Option<Rule> {
        let submission = &job.submission;
        let (cores, memory_mb) = (submission.cores, submission.memory_mb);
        let has_label = |label: &Arc<str>| member.profile.labels.contains(label);
        let is_paused = now_us < member.avoid_until_us;
        let has_capacity = match may_wait {
            true => member.accepts_waiting_start(URGENT_WAIT_US, now_us),
            false => member.fits(cores, memory_mb, now_us),
        };
        let is_late = now_us + cost.end_us() as u64 > job.end_us();
        let rules = [
            (member.profile.service != submission.service, Rule::OtherService),
            (!member.connected, Rule::NotConnected),
            // The sidecar of an evacuated zone also reports that it does not accept work.
            (member.evacuated, Rule::Evacuated),
            (!member.profile.ready, Rule::NotAccepting),
            (!submission.requires.as_ref().is_none_or(has_label), Rule::MissingLabel),
            (member.is_failing() && (is_paused || may_wait), Rule::Failing),
            (is_paused, Rule::Paused),
            (!has_capacity, Rule::NoCapacity),
            (is_late && member.is_slow(job.kind, self.usual, now_us), Rule::Slow),
        ];
        rules.into_iter().find(|(applies, _)| *applies).map(|(_, rule)| rule)
    }

    fn explain_near_wait(
        &self,
        job: &Record,
        placement: Placement,
        candidates: &[Candidate],
        market: Market,
        now_us: u64,
    ) -> Option<u64> {
        if placement != Placement::WaitsNear {
            return None;
        }
        let elsewhere = candidates.first()?.cost?;
        let until_us = self.near_wait(job, &elsewhere, market, now_us)?;
        Some(until_us - now_us)
    }
}

/// Returns what would have to change, given all candidates in their order.
fn explain_change(admission: &Admission, candidates: &[Candidate]) -> Change {
    let best = candidates.first().filter(|candidate| candidate.excluded.is_none());
    let best_us = best.and_then(|best| best.total_us).unwrap_or(f64::INFINITY);
    let excluded = candidates.iter().filter(|candidate| candidate.wait_known);
    let cheapest = excluded.filter_map(|candidate| {
        let (excluded, total_us) = (candidate.excluded?, candidate.total_us?);
        let worker = candidate.worker.clone();
        Some(Alternative { worker, excluded, total_us, would_be_chosen: total_us < best_us })
    });
    let is_refused = admission.verdict == Verdict::Surplus;
    Change {
        wait_below_us: is_refused.then_some(admission.accepted_up_to_us),
        cheapest_excluded: cheapest.min_by(|one, other| one.total_us.total_cmp(&other.total_us)),
    }
}
