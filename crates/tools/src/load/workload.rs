//! The workload file.

use serde::{Deserialize, Serialize};

use kingcup_dispatch::document::{Urgency, MAX_JOB_TASKS};

use super::Fault;

/// Longest workload, in seconds.
const SECONDS: f64 = 86_400.0;

/// What to send, and when.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// Name of the service.
    pub service: String,
    /// Seed of all that is drawn.
    pub seed: u64,
    /// Slots of all upstreams together, for the ideal time of large jobs.
    pub slots: u32,
    /// Kinds of work.
    pub kinds: Vec<Kind>,
    /// Phases in order.
    pub phases: Vec<Phase>,
}

/// One kind of work.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Name in the service's document.
    pub name: String,
    /// Urgency in the document; labels the report and orders the flood's rows.
    pub urgency: Urgency,
    /// Submissions a second, over all entries.
    pub rate_per_s: f64,
    /// Fewest tasks of a job.
    #[serde(default = "one")]
    pub min_tasks: usize,
    /// Most tasks of a job.
    #[serde(default = "one")]
    pub max_tasks: usize,
    /// Sends single requests instead of jobs.
    #[serde(default)]
    pub single: bool,
    /// Run times; one range is drawn by weight for each task.
    pub run_ms: Vec<Range>,
}

/// A range of run times, drawn from evenly.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Range {
    /// How often this range is drawn, relative to the others.
    pub weight: f64,
    /// Shortest, in milliseconds.
    pub min: f64,
    /// Longest, in milliseconds.
    pub max: f64,
}

/// A stretch of time with its own rates.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Phase {
    /// Name in the report.
    pub name: String,
    /// Length, in seconds.
    pub seconds: f64,
    /// Factors on the rates of kinds; 1 for those that are not named.
    #[serde(default)]
    pub factors: Vec<Factor>,
    /// Leaves the phase out of the report.
    #[serde(default)]
    pub warm_up: bool,
}

/// Factor on the rate of one kind.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Factor {
    /// Name of the kind.
    pub kind: String,
    /// Factor.
    pub factor: f64,
}

fn one() -> usize {
    1
}

impl Workload {
    /// Reads and checks a workload in JSON.
    ///
    /// # Errors
    ///
    /// `Workload` with the first fault found.
    pub fn read(text: &str) -> Result<Self, Fault> {
        let workload: Self =
            serde_json::from_str(text).map_err(|error| Fault::Workload(error.to_string()))?;
        workload.check()?;
        Ok(workload)
    }

    fn check(&self) -> Result<(), Fault> {
        let fault = |what: String| Err(Fault::Workload(what));
        if self.kinds.is_empty() || self.phases.is_empty() || self.slots == 0 {
            return fault("kinds, phases and slots must not be empty".to_owned());
        }
        for kind in &self.kinds {
            let name = &kind.name;
            let sizes = 1 <= kind.min_tasks && kind.min_tasks <= kind.max_tasks;
            if !sizes || kind.max_tasks > MAX_JOB_TASKS {
                return fault(format!("{name}: tasks must be from 1 to {MAX_JOB_TASKS}"));
            }
            if kind.single && kind.max_tasks != 1 {
                return fault(format!("{name}: a single request has one task"));
            }
            if !(kind.rate_per_s >= 0.0 && kind.rate_per_s.is_finite()) {
                return fault(format!("{name}: rate must be a number from 0"));
            }
            let lawful = |r: &Range| r.weight > 0.0 && 0.0 <= r.min && r.min <= r.max;
            if kind.run_ms.is_empty() || !kind.run_ms.iter().all(lawful) {
                return fault(format!("{name}: run times must be ranges with a weight"));
            }
        }
        for phase in &self.phases {
            if !(phase.seconds > 0.0 && phase.seconds <= SECONDS) {
                return fault(format!("{}: length must be from 0 to {SECONDS} s", phase.name));
            }
            let known = |factor: &&Factor| self.kinds.iter().all(|kind| kind.name != factor.kind);
            if let Some(factor) = phase.factors.iter().find(known) {
                return fault(format!("{}: no kind {}", phase.name, factor.kind));
            }
        }
        Ok(())
    }
}

impl Phase {
    /// Factor on a kind's rate.
    pub fn factor(&self, kind: &str) -> f64 {
        let mut factors = self.factors.iter().filter(|factor| factor.kind == kind);
        factors.next().map_or(1.0, |factor| factor.factor)
    }
}
