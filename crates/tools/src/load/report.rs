//! Figures of a run, and their output as text or JSON.

use std::fmt;

use hdrhistogram::Histogram;
use kingcup_dispatch::code::Execution;
use serde::Serialize;

use super::{
    busy::Utilization,
    client::Sample,
    ledger::Ledger,
    metrics::Count,
    schedule::Arrival,
    workload::{Phase, Workload},
};

/// Significant decimal digits that the histograms keep.
const DIGITS: u8 = 3;
/// Largest value that the histograms record; larger ones are clamped to it. In microseconds, this
/// is 10 hours.
const MAX_VALUE: u64 = 36_000_000_000;
/// Factor on ratios, which the histograms record as integers in thousandths.
const RATIO_UNIT: f64 = 1_000.0;

/// Measurements that come from daemons and upstreams rather than from responses.
#[derive(Debug, Clone, Default)]
pub struct Measurements {
    /// Messages between entries and sidecars during the run, if metrics were read.
    pub messages: Option<f64>,
    /// These messages by type.
    pub by_type: Vec<Count>,
    /// Comparison of responses with starts, if the upstreams were read.
    pub ledger: Option<Ledger>,
    /// Utilization of the slots by phase, if the upstreams were read.
    pub busy: Vec<Utilization>,
}

/// Figures of one kind in one phase.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Row {
    /// Name of the phase.
    pub phase: String,
    /// Name of the kind.
    pub kind: String,
    /// Number of submissions.
    pub offered: u64,
    /// Tasks of these submissions.
    pub offered_tasks: u64,
    /// Number of complete responses.
    pub complete: u64,
    /// Tasks of these responses.
    pub complete_tasks: u64,
    /// Answers that say "not run".
    pub not_run: u64,
    /// Answers that say "may have run".
    pub may_have_run: u64,
    /// Answers that say "ran and failed".
    pub failed: u64,
    /// Submissions without a whole response.
    pub broken: u64,
    /// Response time of complete jobs, median, in milliseconds.
    pub response_p50_ms: f64,
    /// Response time of complete jobs, 99th percentile, in milliseconds.
    pub response_p99_ms: f64,
    /// Ratio of response time to the ideal time of the job, median.
    pub ratio_p50: f64,
    /// Ratio of response time to the ideal time, 90th percentile.
    pub ratio_p90: f64,
    /// Ratio of response time to the ideal time, 99th percentile.
    pub ratio_p99: f64,
    /// Ratio of response time to the ideal time, largest.
    pub ratio_max: f64,
    /// Response time of refusals, median, in milliseconds.
    pub refusal_p50_ms: f64,
    /// Response time of refusals, 99th percentile, in milliseconds.
    pub refusal_p99_ms: f64,
}

/// Figures of one kind in a later phase, relative to those in the first phase of the report.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Relative {
    /// Name of the phase.
    pub phase: String,
    /// Name of the kind.
    pub kind: String,
    /// Share of the offered tasks that were complete, divided by that of the first phase.
    pub complete: f64,
    /// 99th percentile of the ratio to the ideal time, divided by that of the first phase.
    pub ratio_p99: f64,
}

/// Figures of a run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// Seed of the workload.
    pub seed: u64,
    /// Figures by phase and kind, and by phase for all kinds together.
    pub rows: Vec<Row>,
    /// Figures of later phases relative to the first.
    pub kept: Vec<Relative>,
    /// Submissions that the tool sent more than 10 ms late.
    pub sent_late: u64,
    /// Messages between entries and sidecars, if known.
    pub messages: Option<f64>,
    /// Messages divided by the number of starts at upstreams, if known.
    pub messages_per_start: Option<f64>,
    /// Messages between entries and sidecars by type.
    pub by_type: Vec<Count>,
    /// Utilization of the slots by phase, if known.
    pub busy: Vec<Utilization>,
    /// Comparison of starts with responses, if known.
    pub ledger: Option<Ledger>,
}

/// Figures of a run, and of the baseline under the same arrivals.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Comparison {
    /// Report on the system under test.
    #[serde(flatten)]
    pub ours: Report,
    /// Report on the baseline, if it was run.
    pub baseline: Option<Report>,
}

/// Delay beyond which a submission counts as sent late, in microseconds.
const LATE_US: u64 = 10_000;
/// Kind shown in the row that covers all kinds.
const ALL: &str = "all";

impl Report {
    /// Computes the figures of a run.
    pub fn open(
        workload: &Workload,
        arrivals: &[Arrival],
        samples: &[Sample],
        measurements: Measurements,
    ) -> Self {
        let mut rows = Vec::new();
        for (phase_index, phase) in workload.phases.iter().enumerate() {
            if phase.warm_up {
                continue;
            }
            for kind in (0..workload.kinds.len()).map(Some).chain([None]) {
                let in_row = |sample: &&Sample| {
                    let arrival = &arrivals[sample.arrival];
                    arrival.phase == phase_index && kind.is_none_or(|kind| kind == arrival.kind)
                };
                let name = kind.map_or(ALL, |kind| &workload.kinds[kind].name);
                let in_row = samples.iter().filter(in_row);
                rows.push(row(phase, name, workload.slots, arrivals, in_row));
            }
        }
        let starts = measurements.ledger.map(|ledger| ledger.starts).filter(|starts| *starts > 0);
        let per_start =
            measurements.messages.zip(starts).map(|(messages, starts)| messages / starts as f64);
        Self {
            seed: workload.seed,
            kept: relative_to_first_phase(&rows),
            rows,
            sent_late: samples.iter().filter(|sample| sample.late_us > LATE_US).count() as u64,
            messages: measurements.messages,
            messages_per_start: per_start,
            by_type: measurements.by_type,
            busy: measurements.busy,
            ledger: measurements.ledger,
        }
    }
}

fn row<'a>(
    phase: &Phase,
    kind: &str,
    slots: u32,
    arrivals: &[Arrival],
    samples: impl Iterator<Item = &'a Sample>,
) -> Row {
    let mut row = Row { phase: phase.name.clone(), kind: kind.to_owned(), ..Row::default() };
    let (mut response_us, mut ratio, mut refusal_us) = (histogram(), histogram(), histogram());
    for sample in samples {
        let tasks = sample.tasks as u64;
        row.offered += 1;
        row.offered_tasks += tasks;
        match sample.code.map(|code| code.execution()) {
            Some(Execution::Complete) => {
                row.complete += 1;
                row.complete_tasks += tasks;
                let ideal_us = arrivals[sample.arrival].ideal_us(slots);
                record(&mut response_us, sample.response_us);
                let scaled = sample.response_us as f64 / ideal_us as f64 * RATIO_UNIT;
                record(&mut ratio, scaled as u64);
            }
            Some(Execution::NotRun) => {
                row.not_run += 1;
                record(&mut refusal_us, sample.response_us);
            }
            Some(Execution::MayHaveRun) => row.may_have_run += 1,
            Some(Execution::Failed) => row.failed += 1,
            None => row.broken += 1,
        }
    }
    let ms_at = |histogram: &Histogram<u64>, quantile| value_at(histogram, quantile) / 1e3;
    let ratio_at = |quantile| value_at(&ratio, quantile) / RATIO_UNIT;
    row.response_p50_ms = ms_at(&response_us, 0.5);
    row.response_p99_ms = ms_at(&response_us, 0.99);
    (row.ratio_p50, row.ratio_p90) = (ratio_at(0.5), ratio_at(0.9));
    (row.ratio_p99, row.ratio_max) = (ratio_at(0.99), ratio_at(1.0));
    row.refusal_p50_ms = ms_at(&refusal_us, 0.5);
    row.refusal_p99_ms = ms_at(&refusal_us, 0.99);
    row
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_VALUE, DIGITS).expect("the histogram bounds are valid")
}

fn record(histogram: &mut Histogram<u64>, value: u64) {
    histogram.saturating_record(value);
}

fn value_at(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    match histogram.is_empty() {
        true => 0.0,
        false => histogram.value_at_quantile(quantile) as f64,
    }
}

fn relative_to_first_phase(rows: &[Row]) -> Vec<Relative> {
    let Some(first_phase) = rows.first().map(|row| row.phase.clone()) else { return Vec::new() };
    let first_phase_row =
        |kind: &str| rows.iter().find(|row| row.phase == first_phase && row.kind == kind);
    let later_rows = rows.iter().filter(|row| row.phase != first_phase);
    let pairs = later_rows.filter_map(|row| Some((row, first_phase_row(&row.kind)?)));
    let relative = pairs.map(|(row, base)| Relative {
        phase: row.phase.clone(),
        kind: row.kind.clone(),
        complete: complete_share(row) / complete_share(base),
        ratio_p99: row.ratio_p99 / base.ratio_p99,
    });
    relative.collect()
}

/// Returns the share of the offered tasks that were complete.
fn complete_share(row: &Row) -> f64 {
    row.complete_tasks as f64 / row.offered_tasks as f64
}

/// Label of the figures of the system under test.
const OURS: &str = "ours";
/// Label of the baseline's figures.
const BASELINE: &str = "baseline";

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_header(f)?;
        self.rows.iter().try_for_each(|row| write_row(f, OURS, row))?;
        self.write_summary(f, OURS)
    }
}

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(baseline) = &self.baseline else { return self.ours.fmt(f) };
        write_header(f)?;
        // Both reports have a row for each phase and kind, in the same order.
        for (ours, theirs) in self.ours.rows.iter().zip(&baseline.rows) {
            write_row(f, OURS, ours)?;
            write_row(f, BASELINE, theirs)?;
        }
        self.ours.write_summary(f, OURS)?;
        baseline.write_summary(f, BASELINE)
    }
}

fn write_header(f: &mut fmt::Formatter<'_>) -> fmt::Result {
    writeln!(
        f,
        "{:8} {:24} {:9} {:>7} {:>8} {:>7} {:>7} {:>6} {:>6} {:>8} {:>8} {:>7} {:>7} {:>7} {:>7} {:>8} {:>8}",
        "phase", "kind", "system", "offered", "complete", "not run", "may run", "failed", "broken",
        "p50 ms", "p99 ms", "x p50", "x p90", "x p99", "x max", "ref. p50", "ref. p99"
    )
}

fn write_row(f: &mut fmt::Formatter<'_>, system: &str, row: &Row) -> fmt::Result {
    writeln!(
        f,
        "{:8} {:24} {:9} {:>7} {:>8} {:>7} {:>7} {:>6} {:>6} {:>8.1} {:>8.1} {:>7.3} {:>7.3} {:>7.3} {:>7.2} {:>8.2} {:>8.2}",
        row.phase, row.kind, system, row.offered, row.complete, row.not_run, row.may_have_run,
        row.failed, row.broken, row.response_p50_ms, row.response_p99_ms, row.ratio_p50,
        row.ratio_p90, row.ratio_p99, row.ratio_max, row.refusal_p50_ms, row.refusal_p99_ms
    )
}

impl Report {
    /// Writes the figures below the table, each line with the label of the system.
    fn write_summary(&self, f: &mut fmt::Formatter<'_>, system: &str) -> fmt::Result {
        writeln!(f, "{system}: seed {}, sent late {}", self.seed, self.sent_late)?;
        for kept in &self.kept {
            let Relative { phase, kind, complete, ratio_p99 } = kept;
            let percent = complete * 100.0;
            writeln!(
                f,
                "{system}: {phase}: {kind} keeps {percent:.1}% complete, p99 times {ratio_p99:.2}"
            )?;
        }
        for Utilization { phase, percent } in &self.busy {
            writeln!(f, "{system}: {phase}: slots busy {percent:.1}%")?;
        }
        if let Some(messages) = self.messages {
            writeln!(f, "{system}: messages {messages}")?;
            for Count { name, messages } in &self.by_type {
                writeln!(f, "{system}: messages of type {name} {messages}")?;
            }
        }
        if let Some(per_start) = self.messages_per_start {
            writeln!(f, "{system}: messages per start {per_start:.3}")?;
        }
        if let Some(ledger) = &self.ledger {
            writeln!(
                f,
                "{system}: starts {}, doubles {}, missing {}, untrue refusals {}, losses {}, wrong answers {}",
                ledger.starts, ledger.doubles, ledger.missing, ledger.untrue_refusals,
                ledger.losses, ledger.wrong_answers
            )?;
        }
        Ok(())
    }
}
