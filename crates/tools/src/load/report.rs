//! Figures of a run.

use std::fmt;

use hdrhistogram::Histogram;
use kingcup_dispatch::code::Execution;
use serde::Serialize;

use super::{
    busy::Busy,
    client::Sample,
    ledger::Ledger,
    metrics::Count,
    schedule::Arrival,
    workload::{Phase, Workload},
};

/// Significant digits of the histograms.
const DIGITS: u8 = 3;
/// Largest recorded value; larger ones are recorded as this. As microseconds, 10 hours.
const LARGEST: u64 = 36_000_000_000;
/// Ratios are recorded in thousandths.
const RATIO_UNIT: f64 = 1_000.0;

/// Sums that do not come from responses.
#[derive(Debug, Clone, Default)]
pub struct Sums {
    /// Messages between the system's processes during the run, if metrics were read.
    pub messages: Option<f64>,
    /// The same by type.
    pub by_type: Vec<Count>,
    /// Comparison with the upstreams, if they were read.
    pub ledger: Option<Ledger>,
    /// Use of the slots by phase, if the upstreams were read.
    pub busy: Vec<Busy>,
}

/// Figures of one kind in one phase.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Row {
    /// Name of the phase.
    pub phase: String,
    /// Name of the kind.
    pub kind: String,
    /// Submissions sent.
    pub offered: u64,
    /// Tasks of these.
    pub offered_tasks: u64,
    /// Complete responses.
    pub complete: u64,
    /// Tasks of these.
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
    /// Response time over the ideal, median.
    pub ratio_p50: f64,
    /// Response time over the ideal, 90th percentile.
    pub ratio_p90: f64,
    /// Response time over the ideal, 99th percentile.
    pub ratio_p99: f64,
    /// Response time over the ideal, largest.
    pub ratio_max: f64,
    /// Response time of refusals, median, in milliseconds.
    pub refusal_p50_ms: f64,
    /// Response time of refusals, 99th percentile, in milliseconds.
    pub refusal_p99_ms: f64,
}

/// What one kind keeps in a phase, compared with the first phase that counts.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Kept {
    /// Name of the phase.
    pub phase: String,
    /// Name of the kind.
    pub kind: String,
    /// Complete part of the offered tasks, over that of the first phase.
    pub complete: f64,
    /// 99th percentile of response time over ideal, over that of the first phase.
    pub ratio_p99: f64,
}

/// Figures of a run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// Seed of the workload.
    pub seed: u64,
    /// By phase and kind, and by phase for all kinds together.
    pub rows: Vec<Row>,
    /// What each kind keeps in later phases.
    pub kept: Vec<Kept>,
    /// Submissions that the tool sent more than 10 ms late.
    pub sent_late: u64,
    /// Messages between the system's processes, if known.
    pub messages: Option<f64>,
    /// Messages for each start at an upstream, if known.
    pub messages_per_start: Option<f64>,
    /// Messages by type.
    pub by_type: Vec<Count>,
    /// Use of the slots by phase, if known.
    pub busy: Vec<Busy>,
    /// Comparison of starts with responses, if known.
    pub ledger: Option<Ledger>,
}

/// Figures of a run, and of the baseline under the same arrivals.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Comparison {
    /// Ours.
    #[serde(flatten)]
    pub ours: Report,
    /// The baseline's, if it was run.
    pub baseline: Option<Report>,
}

/// A submission sent later than this counts as late, in microseconds.
const LATE_US: u64 = 10_000;
/// Name of the row over all kinds.
const ALL: &str = "all";

impl Report {
    /// Computes the figures.
    pub fn open(workload: &Workload, arrivals: &[Arrival], samples: &[Sample], sums: Sums) -> Self {
        let mut rows = Vec::new();
        for (number, phase) in workload.phases.iter().enumerate() {
            if phase.warm_up {
                continue;
            }
            for kind in (0..workload.kinds.len()).map(Some).chain([None]) {
                let own = |sample: &&Sample| {
                    let arrival = &arrivals[sample.arrival];
                    arrival.phase == number && kind.is_none_or(|kind| kind == arrival.kind)
                };
                let name = kind.map_or(ALL, |kind| &workload.kinds[kind].name);
                let own = samples.iter().filter(own);
                rows.push(row(phase, name, workload.slots, arrivals, own));
            }
        }
        let starts = sums.ledger.map(|ledger| ledger.starts).filter(|starts| *starts > 0);
        let per_start = sums.messages.zip(starts).map(|(sent, starts)| sent / starts as f64);
        Self {
            seed: workload.seed,
            kept: kept(&rows),
            rows,
            sent_late: samples.iter().filter(|sample| sample.late_us > LATE_US).count() as u64,
            messages: sums.messages,
            messages_per_start: per_start,
            by_type: sums.by_type,
            busy: sums.busy,
            ledger: sums.ledger,
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
    let ms = |histogram: &Histogram<u64>, quantile| at(histogram, quantile) / 1e3;
    let over = |quantile| at(&ratio, quantile) / RATIO_UNIT;
    row.response_p50_ms = ms(&response_us, 0.5);
    row.response_p99_ms = ms(&response_us, 0.99);
    (row.ratio_p50, row.ratio_p90) = (over(0.5), over(0.9));
    (row.ratio_p99, row.ratio_max) = (over(0.99), over(1.0));
    row.refusal_p50_ms = ms(&refusal_us, 0.5);
    row.refusal_p99_ms = ms(&refusal_us, 0.99);
    row
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LARGEST, DIGITS).expect("the bounds are lawful")
}

fn record(histogram: &mut Histogram<u64>, value: u64) {
    histogram.saturating_record(value);
}

fn at(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    match histogram.is_empty() {
        true => 0.0,
        false => histogram.value_at_quantile(quantile) as f64,
    }
}

fn kept(rows: &[Row]) -> Vec<Kept> {
    let Some(first) = rows.first().map(|row| row.phase.clone()) else { return Vec::new() };
    let base_of = |kind: &str| rows.iter().find(|row| row.phase == first && row.kind == kind);
    let later = rows.iter().filter(|row| row.phase != first);
    let pairs = later.filter_map(|row| Some((row, base_of(&row.kind)?)));
    let kept = pairs.map(|(row, base)| Kept {
        phase: row.phase.clone(),
        kind: row.kind.clone(),
        complete: part(row) / part(base),
        ratio_p99: row.ratio_p99 / base.ratio_p99,
    });
    kept.collect()
}

/// Complete part of the offered tasks.
fn part(row: &Row) -> f64 {
    row.complete_tasks as f64 / row.offered_tasks as f64
}

/// Label of our figures in the report.
const OURS: &str = "ours";
/// Label of the baseline's figures in the report.
const BASELINE: &str = "baseline";

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_header(f)?;
        self.rows.iter().try_for_each(|row| write_row(f, OURS, row))?;
        self.write_sums(f, OURS)
    }
}

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(baseline) = &self.baseline else { return self.ours.fmt(f) };
        write_header(f)?;
        // Both reports have a row for each phase and kind, in the same order.
        for (ours, other) in self.ours.rows.iter().zip(&baseline.rows) {
            write_row(f, OURS, ours)?;
            write_row(f, BASELINE, other)?;
        }
        self.ours.write_sums(f, OURS)?;
        baseline.write_sums(f, BASELINE)
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
    /// Writes what does not belong to one kind, each line under a label.
    fn write_sums(&self, f: &mut fmt::Formatter<'_>, system: &str) -> fmt::Result {
        writeln!(f, "{system}: seed {}, sent late {}", self.seed, self.sent_late)?;
        for kept in &self.kept {
            let Kept { phase, kind, complete, ratio_p99 } = kept;
            let percent = complete * 100.0;
            writeln!(
                f,
                "{system}: {phase}: {kind} keeps {percent:.1}% complete, p99 times {ratio_p99:.2}"
            )?;
        }
        for Busy { phase, percent } in &self.busy {
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
