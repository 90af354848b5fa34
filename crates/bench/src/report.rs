//! Figures of a run, and tables of them.

use hdrhistogram::Histogram;
use serde_json::{json, Value};

/// Scale of a ratio in a histogram.
const RATIO_SCALE: f64 = 1_000.0;
/// Largest value that a histogram tells apart.
const LARGEST: u64 = 1_000_000_000;

/// Figures of one flow.
#[derive(Debug)]
pub struct Tally {
    /// Tasks that arrived.
    pub offered: u64,
    /// Tasks of jobs that were answered as complete.
    pub completed: u64,
    /// Tasks of jobs that were refused on arrival.
    pub refused: u64,
    /// Tasks of jobs that were accepted and answered as not run.
    pub given_up: u64,
    /// Tasks of jobs that failed otherwise.
    pub failed: u64,
    /// Response time over ideal.
    pub ratio: Histogram<u64>,
    /// Time from arrival to an answer that says "not run", in microseconds.
    pub refusal_us: Histogram<u64>,
}

impl Default for Tally {
    fn default() -> Self {
        let histogram = || Histogram::new_with_max(LARGEST, 3).expect("valid bounds");
        Self {
            offered: 0,
            completed: 0,
            refused: 0,
            given_up: 0,
            failed: 0,
            ratio: histogram(),
            refusal_us: histogram(),
        }
    }
}

impl Tally {
    /// Records the response time of a complete job.
    pub fn record(&mut self, response_us: u64, ideal_us: u32) {
        let ratio = response_us as f64 / f64::from(ideal_us);
        self.ratio.saturating_record((ratio * RATIO_SCALE) as u64);
    }

    /// Quantile of response time over ideal.
    pub fn ratio_at(&self, quantile: f64) -> f64 {
        self.ratio.value_at_quantile(quantile) as f64 / RATIO_SCALE
    }

    /// Quantile of the time to a refusal, in milliseconds.
    pub fn refusal_ms_at(&self, quantile: f64) -> f64 {
        self.refusal_us.value_at_quantile(quantile) as f64 / 1_000.0
    }
}

/// Figures of one run.
#[derive(Debug, Default)]
pub struct Figures {
    /// By flow.
    pub flows: Vec<Tally>,
    /// Messages between entries and sidecars.
    pub messages: u64,
    /// Of those, refusals by gates.
    pub refusals: u64,
    /// Of those, load reports.
    pub loads: u64,
    /// Of those, recalls.
    pub recalls: u64,
    /// Starts that entries sent.
    pub starts: u64,
    /// Tasks that began to run.
    pub began: u64,
    /// Fraction of slot time that was used.
    pub busy: f64,
    /// Tasks that ran at the failing upstream.
    pub bad_runs: Vec<u64>,
    /// The same in the last 30 s.
    pub late_bad_runs: u64,
}

impl Figures {
    /// Response time over ideal of all flows together.
    pub fn ratio_at(&self, quantile: f64) -> f64 {
        let mut all: Histogram<u64> = Histogram::new_with_max(LARGEST, 3).expect("valid bounds");
        for flow in &self.flows {
            all.add(&flow.ratio).expect("same precision");
        }
        all.value_at_quantile(quantile) as f64 / RATIO_SCALE
    }

    /// Messages per task that began to run.
    pub fn messages_per_start(&self) -> f64 {
        self.messages as f64 / self.began.max(1) as f64
    }
}

/// A table: its title, the names of its columns, and rows of values.
#[derive(Debug)]
pub struct Table {
    /// What is measured.
    pub title: String,
    /// Names of the columns.
    pub columns: Vec<&'static str>,
    /// Values; as many in each row as there are columns.
    pub rows: Vec<Vec<Value>>,
}

impl Table {
    /// A table without rows.
    pub fn new(title: impl Into<String>, columns: &[&'static str]) -> Self {
        Self { title: title.into(), columns: columns.to_vec(), rows: Vec::new() }
    }

    /// The table as JSON: a list of objects.
    pub fn json(&self) -> Value {
        let object = |row: &Vec<Value>| {
            let pairs = self.columns.iter().zip(row);
            Value::Object(pairs.map(|(&name, value)| (name.to_owned(), value.clone())).collect())
        };
        json!({ "title": self.title, "rows": self.rows.iter().map(object).collect::<Vec<_>>() })
    }

    /// The table as text with aligned columns.
    pub fn text(&self) -> String {
        let cell = |value: &Value| match value {
            Value::String(text) => text.clone(),
            Value::Number(number) if number.is_f64() => {
                format!("{:.3}", number.as_f64().unwrap_or_default())
            }
            other => other.to_string(),
        };
        let head: Vec<String> = self.columns.iter().map(|&name| name.to_owned()).collect();
        let body = self.rows.iter().map(|row| row.iter().map(cell).collect());
        let lines: Vec<Vec<String>> = std::iter::once(head).chain(body).collect();
        let width = |column: usize| lines.iter().map(|line| line[column].len()).max();
        let widths: Vec<usize> = (0..self.columns.len()).filter_map(width).collect();
        let mut text = format!("{}\n", self.title);
        for line in &lines {
            for (value, &width) in line.iter().zip(&widths) {
                text += &format!("  {value:>width$}");
            }
            text.push('\n');
        }
        text
    }
}
