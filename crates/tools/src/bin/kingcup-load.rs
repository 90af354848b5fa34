//! Runs a workload against entries, and prints response times and other measurements.

use std::{env, error::Error, fs, net::SocketAddr, process::ExitCode, time::Duration};

use getopts::Matches;
use kingcup_tools::load::{self, baseline::Limits, workload::Workload, Options};

/// Default maximum number of requests in flight.
const THREADS: usize = 2_000;
/// Default timeout of a request, in seconds.
const TIMEOUT_S: u64 = 60;
/// Default number of tasks that the baseline runs at once at each upstream.
const SLOTS_PER_UPSTREAM: usize = 8;
/// Default number of tasks that the baseline lets wait for each upstream: a tenth of the sum of
/// `max_waiting` over the kinds of the ruilbeurs sample, which has ten upstreams.
const QUEUE_PER_UPSTREAM: usize = 480;

fn main() -> ExitCode {
    env_logger::init();
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("kingcup-load: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), Box<dyn Error>> {
    let mut options = getopts::Options::new();
    options.optopt("w", "workload", "workload file in JSON", "FILE");
    options.optmulti("e", "entry", "callers' address of an entry", "ADDRESS");
    options.optmulti("a", "admin", "operators' address of a daemon, for messages", "ADDRESS");
    options.optmulti("u", "upstream", "address of an upstream stand-in, for starts", "ADDRESS");
    options.optopt("", "threads", "most requests in flight (2000)", "NUMBER");
    options.optopt("", "timeout", "longest wait for a response (60)", "SECONDS");
    options.optflag("", "any-entry", "send jobs to entries in turn, not to their home");
    options.optopt("", "seed", "seed in place of the workload's", "NUMBER");
    options.optflag(
        "",
        "baseline",
        "repeat the run with a plain dispatcher, directly to the upstreams",
    );
    options.optopt("", "slots-per-upstream", "baseline: tasks at once (8)", "NUMBER");
    options.optopt("", "queue-per-upstream", "baseline: most tasks waiting (480)", "NUMBER");
    options.optflag("", "json", "print the report in JSON");
    options.optflag("h", "help", "print this help");
    let usage = options.usage("Usage: kingcup-load --workload FILE --entry ADDRESS [options]");
    let matches =
        options.parse(env::args().skip(1)).map_err(|error| format!("{error}\n{usage}"))?;
    if matches.opt_present("help") {
        print!("{usage}");
        return Ok(());
    }
    let path = matches.opt_str("workload").ok_or(format!("--workload is missing\n{usage}"))?;
    let text = fs::read_to_string(&path).map_err(|error| format!("{path}: {error}"))?;
    let mut workload = Workload::read(&text)?;
    workload.seed = matches.opt_get_default("seed", workload.seed)?;
    let limits = Limits {
        slots_per_upstream: matches.opt_get_default("slots-per-upstream", SLOTS_PER_UPSTREAM)?,
        queue_per_upstream: matches.opt_get_default("queue-per-upstream", QUEUE_PER_UPSTREAM)?,
    };
    let options = Options {
        entries: addresses(&matches, "entry")?,
        admins: addresses(&matches, "admin")?,
        upstreams: addresses(&matches, "upstream")?,
        threads: matches.opt_get_default("threads", THREADS)?,
        timeout: Duration::from_secs(matches.opt_get_default("timeout", TIMEOUT_S)?),
        any_entry: matches.opt_present("any-entry"),
        baseline: matches.opt_present("baseline").then_some(limits),
    };
    let report = load::run(&workload, &options)?;
    match matches.opt_present("json") {
        true => println!("{}", serde_json::to_string_pretty(&report)?),
        false => print!("{report}"),
    }
    Ok(())
}

fn addresses(matches: &Matches, option: &str) -> Result<Vec<SocketAddr>, String> {
    let parse = |text: String| text.parse().map_err(|error| format!("{text}: {error}"));
    matches.opt_strs(option).into_iter().map(parse).collect()
}
