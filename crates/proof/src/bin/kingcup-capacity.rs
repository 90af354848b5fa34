//! Measures the resource usage of each role by number of sidecars and by starts per second, with
//! real processes.

use std::{
    env,
    error::Error,
    fs,
    process::ExitCode,
    thread,
    time::{Duration, Instant},
};

use getopts::Options;
use kingcup_proof::harness::{
    cluster::{document, start, Cluster, Plan},
    http,
    process::Program,
    workload::{self, Mix},
    Result,
};

/// Default numbers of sidecars, one for each run.
const DEFAULT_SIDECARS: &str = "10,50,200";
/// Default length of each sample, in seconds.
const DEFAULT_SECONDS: u64 = 20;
/// Time to wait before a sample until the membership is stable, in seconds.
const SETTLE_SECONDS: u64 = 5;
/// Units per second in which the kernel counts processor time.
const TICKS_PER_SECOND: f64 = 100.0;
/// Timeout of a request for metrics.
const SCRAPE_TIMEOUT: Duration = Duration::from_secs(10);

/// Resource usage of a process so far.
#[derive(Debug, Clone, Copy, Default)]
struct Usage {
    cpu_s: f64,
    resident_kb: f64,
    threads: f64,
    control_bytes: f64,
}

/// Mean resource usage of the processes of a role during a sample.
#[derive(Debug)]
struct Row {
    role: &'static str,
    cpu_percent: f64,
    resident_mb: f64,
    threads: f64,
    control_kb_per_s: f64,
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("kingcup-capacity: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> std::result::Result<(), Box<dyn Error>> {
    let mut options = Options::new();
    options.optopt("", "sidecars", "numbers of sidecars (10,50,200)", "LIST");
    options.optopt("", "seconds", "length of each sample (20)", "NUMBER");
    options.optopt("", "callers", "callers in the loaded sample; 0 for none (16)", "NUMBER");
    options.optflag("h", "help", "print this help");
    let usage = options.usage("Usage: kingcup-capacity [options]");
    let matches =
        options.parse(env::args().skip(1)).map_err(|error| format!("{error}\n{usage}"))?;
    if matches.opt_present("help") {
        print!("{usage}");
        return Ok(());
    }
    let list = matches.opt_str("sidecars").unwrap_or_else(|| DEFAULT_SIDECARS.to_owned());
    let length = Duration::from_secs(matches.opt_get_default("seconds", DEFAULT_SECONDS)?);
    let callers = matches.opt_get_default("callers", 16)?;
    println!("sidecars  load  starts/s  role     cpu %  resident MB  threads  control KB/s");
    for sidecars in list.split(',') {
        let plan = Plan { entries: 3, sidecars: sidecars.parse()?, zones: 3, ..Plan::default() };
        let mut cluster = start(plan)?;
        thread::park_timeout(Duration::from_secs(SETTLE_SECONDS));
        sample(&cluster, "idle", length)?;
        measure_change(&cluster)?;
        if callers > 0 {
            let mix = Mix { callers, max_tasks: 110, max_sleep_ms: 5, retry: true };
            let workload = workload::spawn(&cluster, &mix);
            thread::park_timeout(Duration::from_secs(SETTLE_SECONDS));
            sample(&cluster, "busy", length)?;
            workload.stop();
        }
        cluster.finish()?;
    }
    Ok(())
}

/// Changes the document and prints the time until all processes report the new revision, including
/// the time of the queries.
fn measure_change(cluster: &Cluster) -> Result<()> {
    let started = Instant::now();
    let mut changed = document();
    changed.max_memory_mb += 1;
    let applied = cluster.apply(&changed, "capacity")?;
    cluster.wait_revision(applied.revision.unwrap_or_default())?;
    let (sidecars, ms) = (cluster.sidecars.len(), started.elapsed().as_millis());
    println!("{sidecars:>8}  change in force everywhere after {ms} ms");
    Ok(())
}

/// Measures for the given time and prints a row for each role.
fn sample(cluster: &Cluster, load: &str, length: Duration) -> Result<()> {
    let (before, starts) = (usages(cluster)?, cluster.count_starts()?);
    let started = Instant::now();
    thread::park_timeout(length);
    let seconds = started.elapsed().as_secs_f64();
    let (after, ended) = (usages(cluster)?, cluster.count_starts()?);
    let rate = (ended - starts) as f64 / seconds;
    for (role, from, to) in [("entry", &before.0, &after.0), ("sidecar", &before.1, &after.1)] {
        let row = mean(role, from, to, seconds);
        println!(
            "{:>8}  {load}  {rate:>8.0}  {:<7} {:>6.2}  {:>11.1}  {:>7.0}  {:>12.3}",
            cluster.sidecars.len(),
            row.role,
            row.cpu_percent,
            row.resident_mb,
            row.threads,
            row.control_kb_per_s
        );
    }
    Ok(())
}

fn mean(role: &'static str, before: &[Usage], after: &[Usage], seconds: f64) -> Row {
    let count = after.len().max(1) as f64;
    let rate = |of: fn(&Usage) -> f64| {
        let total = |usages: &[Usage]| usages.iter().map(of).sum::<f64>();
        (total(after) - total(before)) / count / seconds
    };
    let average = |of: fn(&Usage) -> f64| after.iter().map(of).sum::<f64>() / count;
    Row {
        role,
        cpu_percent: rate(|usage| usage.cpu_s) * 100.0,
        resident_mb: average(|usage| usage.resident_kb) / 1_024.0,
        threads: average(|usage| usage.threads),
        control_kb_per_s: rate(|usage| usage.control_bytes) / 1_000.0,
    }
}

/// Returns the usage of all entries and of all sidecars.
fn usages(cluster: &Cluster) -> Result<(Vec<Usage>, Vec<Usage>)> {
    let agent = http::agent(SCRAPE_TIMEOUT);
    let usage = |program: &Option<Program>, admin| {
        let mut usage = program.as_ref().map(read_usage).unwrap_or_default();
        let reply = http::get(&agent, admin, "/metrics");
        usage.control_bytes = reply.map(|reply| control_bytes(&reply.body)).unwrap_or_default();
        usage
    };
    let entries = cluster.entries.iter();
    let sidecars = cluster.sidecars.iter();
    Ok((
        entries.map(|entry| usage(&entry.program, entry.settings.admin)).collect(),
        sidecars.map(|sidecar| usage(&sidecar.program, sidecar.settings.admin)).collect(),
    ))
}

/// Returns the sum of the samples of control bytes, sent and received.
fn control_bytes(metrics: &[u8]) -> f64 {
    String::from_utf8_lossy(metrics)
        .lines()
        .filter(|line| line.starts_with("kingcup_control_bytes"))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}

/// Reads the usage of a process from `/proc`, without its control bytes.
fn read_usage(program: &Program) -> Usage {
    let folder = format!("/proc/{}", program.pid());
    let stat = fs::read_to_string(format!("{folder}/stat")).unwrap_or_default();
    // The name in parentheses may hold spaces; user and system time are fields 14 and 15.
    let fields: Vec<&str> = stat.rsplit(") ").next().unwrap_or("").split(' ').collect();
    let ticks = |at: usize| fields.get(at).and_then(|text| text.parse::<f64>().ok());
    let status = fs::read_to_string(format!("{folder}/status")).unwrap_or_default();
    let value = |key: &str| {
        let line = status.lines().find_map(|line| line.strip_prefix(key))?;
        line.split_whitespace().next()?.parse::<f64>().ok()
    };
    Usage {
        cpu_s: (ticks(11).unwrap_or(0.0) + ticks(12).unwrap_or(0.0)) / TICKS_PER_SECOND,
        resident_kb: value("VmRSS:").unwrap_or(0.0),
        threads: value("Threads:").unwrap_or(0.0),
        control_bytes: 0.0,
    }
}
