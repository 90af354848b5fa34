//! Runs the real programs for a long time under random faults from a seed and counts violations.

use std::{
    collections::BTreeMap,
    env,
    error::Error,
    process::ExitCode,
    time::{Duration, Instant},
};

use fastrand::Rng;
use getopts::Options;
use kingcup_proof::{
    check::Invariant,
    harness::{
        chaos::{self, Fault},
        cluster::{start, Cluster, Plan, Verdict},
        workload::{self, Mix},
        Result,
    },
};

/// Default length of all runs together, in seconds.
const DEFAULT_SECONDS: u64 = 600;
/// Pairs of faults in a run; each run starts a new deployment.
const FAULT_PAIRS: usize = 6;
/// Number of complete responses to wait for between two steps.
const STEP_RESPONSES: u64 = 40;

/// Counts over all runs. The report prints the names of the fields.
#[derive(Debug, Default)]
struct Figures {
    runs: u64,
    standstills: u64,
    faults: BTreeMap<String, u64>,
    attempts: u64,
    complete: u64,
    starts: u64,
    doubles: u64,
    losses: u64,
    false_refusals: u64,
    other: u64,
    failed_seeds: Vec<u64>,
}

fn main() -> ExitCode {
    match run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("kingcup-soak: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> std::result::Result<bool, Box<dyn Error>> {
    let mut options = Options::new();
    options.optopt("", "seconds", "length of the whole (600)", "NUMBER");
    options.optopt("", "seed", "seed of the first run (random); each run adds one", "NUMBER");
    options.optopt("", "runs", "most runs", "NUMBER");
    options.optflag("h", "help", "print this help");
    let usage = options.usage("Usage: kingcup-soak [options]");
    let matches =
        options.parse(env::args().skip(1)).map_err(|error| format!("{error}\n{usage}"))?;
    if matches.opt_present("help") {
        print!("{usage}");
        return Ok(true);
    }
    let length = Duration::from_secs(matches.opt_get_default("seconds", DEFAULT_SECONDS)?);
    let first = matches.opt_get_default("seed", fastrand::u64(..))?;
    let runs = matches.opt_get_default("runs", u64::MAX)?;
    let end = Instant::now() + length;
    let mut figures = Figures::default();
    while Instant::now() < end && figures.runs < runs {
        let seed = first.wrapping_add(figures.runs);
        figures.runs += 1;
        println!("run {} KINGCUP_SEED={seed}", figures.runs);
        if let Err(fault) = run_seed(seed, end, &mut figures) {
            println!("run with seed {seed} came to a standstill: {fault}");
            figures.standstills += 1;
            figures.failed_seeds.push(seed);
        }
    }
    println!("{figures:#?}");
    Ok(figures.failed_seeds.is_empty())
}

/// Starts a deployment, injects faults from the seed and adds the result to the figures.
fn run_seed(seed: u64, end: Instant, figures: &mut Figures) -> Result<()> {
    let plan = Plan { seed, entries: 3, sidecars: 4, zones: 3, proxies: true, ..Plan::default() };
    let mut cluster = start(plan)?;
    let workload = workload::spawn(&cluster, &Mix::default());
    let outcome = inject_faults(&mut cluster, seed, end, figures);
    workload.stop();
    let idle = cluster.wait_idle();
    let verdict = cluster.finish()?;
    add_result(figures, &cluster, &verdict);
    outcome.and(idle)
}

/// Injects and repairs pairs of faults until `end` or the last pair.
fn inject_faults(
    cluster: &mut Cluster,
    seed: u64,
    end: Instant,
    figures: &mut Figures,
) -> Result<()> {
    let mut rng = Rng::with_seed(seed);
    cluster.recorder.wait_complete(STEP_RESPONSES)?;
    for _ in 0..FAULT_PAIRS {
        if Instant::now() > end {
            break;
        }
        for _ in 0..2 {
            let fault = Fault::draw(cluster, &mut rng);
            let name = format!("{fault:?}");
            let name = name.split('(').next().unwrap_or_default().to_owned();
            *figures.faults.entry(name).or_default() += 1;
            chaos::inject(cluster, &fault)?;
        }
        cluster.recorder.wait_complete(STEP_RESPONSES)?;
        chaos::repair(cluster)?;
        cluster.recorder.wait_complete(STEP_RESPONSES)?;
    }
    Ok(())
}

/// Adds the counts and violations of a run to the figures.
fn add_result(figures: &mut Figures, cluster: &Cluster, verdict: &Verdict) {
    let tally = cluster.recorder.tally();
    figures.attempts += tally.sent;
    figures.complete += tally.complete;
    figures.starts += verdict.starts as u64;
    figures.losses += tally.unanswered;
    figures.other += verdict.malformed.len() as u64;
    for violation in &verdict.violations {
        match violation.invariant {
            Invariant::OneStart | Invariant::OneRun => figures.doubles += 1,
            Invariant::TrueRefusal => figures.false_refusals += 1,
            Invariant::CompleteResponse | Invariant::OwnResponse => figures.losses += 1,
            _ => figures.other += 1,
        }
    }
    let clean = verdict.violations.is_empty() && verdict.malformed.is_empty();
    if !clean || tally.unanswered > 0 {
        figures.failed_seeds.push(verdict.seed);
    }
}
