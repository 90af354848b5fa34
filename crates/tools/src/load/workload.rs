//! Format of workload files.

use serde::{Deserialize, Serialize};

use kingcup_dispatch::document::{Urgency, MAX_JOB_TASKS};

use super::Fault;

/// Maximum length of a phase, in seconds.
const MAX_PHASE_S: f64 = 86_400.0;

/// Description of the load: kinds of work, their rates and the phases of a run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// Name of the service.
    pub service: String,
    /// Seed of the random generators.
    pub seed: u64,
    /// Total number of slots of all upstreams, for the ideal time of large jobs.
    pub slots: u32,
    /// Kinds of work.
    pub kinds: Vec<Kind>,
    /// Phases of the run, in order.
    pub phases: Vec<Phase>,
}

/// One kind of work.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Name in the service's document.
    pub name: String,
    /// Urgency of the kind in the service's document. Validated but not used by the
    /// load tool.
    pub urgency: Urgency,
    /// Submissions per second, over all entries together.
    pub rate_per_s: f64,
    /// Minimum number of tasks of a job.
    #[serde(default = "one")]
    pub min_tasks: usize,
    /// Maximum number of tasks of a job.
    #[serde(default = "one")]
    pub max_tasks: usize,
    /// Sends single requests instead of jobs.
    #[serde(default)]
    pub single: bool,
    /// Ranges of run times. For each task, one range is drawn by weight.
    pub run_ms: Vec<Range>,
}

/// A range of run times, from which values are drawn with uniform distribution.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Range {
    /// How often this range is drawn, relative to the others.
    pub weight: f64,
    /// Shortest run time, in milliseconds.
    pub min: f64,
    /// Longest run time, in milliseconds.
    pub max: f64,
}

/// A period of the run with its own rates.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Phase {
    /// Name in the report.
    pub name: String,
    /// Duration, in seconds.
    pub seconds: f64,
    /// Factors on the rates of kinds. Kinds that aren't listed have a factor of 1.
    #[serde(default)]
    pub factors: Vec<Factor>,
    /// If true, the report leaves the phase out.
    #[serde(default)]
    pub warm_up: bool,
}

/// Factor by which a phase multiplies the rate of one kind.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Factor {
    /// Name of the kind.
    pub kind: String,
    /// Multiplier of the rate.
    pub factor: f64,
}

fn one() -> usize {
    1
}

impl Workload {
    /// Parses and validates a workload in JSON.
    ///
    /// # Errors
    ///
    /// Returns `Fault::Workload` with the first problem found.
    pub fn read(text: &str) -> Result<Self, Fault> {
        let workload: Self =
            serde_json::from_str(text).map_err(|error| Fault::Workload(error.to_string()))?;
        workload.check()?;
        Ok(workload)
    }

    fn check(&self) -> Result<(), Fault> {
        let fault = |reason: String| Err(Fault::Workload(reason));
        if self.kinds.is_empty() || self.phases.is_empty() || self.slots == 0 {
            return fault("there must be at least one kind, one phase and one slot".to_owned());
        }
        for kind in &self.kinds {
            let name = &kind.name;
            let valid_sizes = 1 <= kind.min_tasks && kind.min_tasks <= kind.max_tasks;
            if !valid_sizes || kind.max_tasks > MAX_JOB_TASKS {
                return fault(format!(
                    "{name}: min_tasks and max_tasks must be in order, from 1 to {MAX_JOB_TASKS}"
                ));
            }
            if kind.single && kind.max_tasks != 1 {
                return fault(format!("{name}: single requests must have exactly one task"));
            }
            if !(kind.rate_per_s >= 0.0 && kind.rate_per_s.is_finite()) {
                return fault(format!("{name}: rate_per_s must be a finite number, 0 or greater"));
            }
            let valid =
                |range: &Range| range.weight > 0.0 && 0.0 <= range.min && range.min <= range.max;
            if kind.run_ms.is_empty() || !kind.run_ms.iter().all(valid) {
                return fault(format!(
                    "{name}: run_ms must have ranges with a weight above 0 and 0 <= min <= max"
                ));
            }
        }
        for phase in &self.phases {
            if !(phase.seconds > 0.0 && phase.seconds <= MAX_PHASE_S) {
                return fault(format!(
                    "{}: seconds must be above 0 and at most {MAX_PHASE_S}",
                    phase.name
                ));
            }
            let unknown = |factor: &&Factor| self.kinds.iter().all(|kind| kind.name != factor.kind);
            if let Some(factor) = phase.factors.iter().find(unknown) {
                return fault(format!("{}: factor for unknown kind {}", phase.name, factor.kind));
            }
        }
        Ok(())
    }
}

impl Phase {
    /// Returns the factor on a kind's rate.
    pub fn factor(&self, kind: &str) -> f64 {
        let mut factors = self.factors.iter().filter(|factor| factor.kind == kind);
        factors.next().map_or(1.0, |factor| factor.factor)
    }
}
