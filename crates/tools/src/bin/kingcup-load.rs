//! Load generation and measurement.

use std::{env, error::Error, fs, net::SocketAddr, process::ExitCode, time::Duration};

use getopts::Matches;
use kingcup_tools::load::{self, workload::Workload, Options};

/// Most requests in flight unless told otherwise.
const THREADS: usize = 2_000;
/// Longest wait for a response unless told otherwise, in seconds.
const TIMEOUT_S: u64 = 60;

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
    options.reqopt("w", "workload", "workload file in JSON", "FILE");
    options.optmulti("e", "entry", "callers' address of an entry", "ADDRESS");
    options.optmulti("a", "admin", "operators' address of a daemon, for messages", "ADDRESS");
    options.optmulti("u", "upstream", "address of an upstream stand-in, for starts", "ADDRESS");
    options.optopt("", "threads", "most requests in flight (2000)", "NUMBER");
    options.optopt("", "timeout", "longest wait for a response (60)", "SECONDS");
    options.optflag("", "any-entry", "send jobs to entries in turn, not to their home");
    options.optflag("", "json", "print the report in JSON");
    let usage = options.usage("Usage: kingcup-load --workload FILE --entry ADDRESS [options]");
    let matches =
        options.parse(env::args().skip(1)).map_err(|error| format!("{error}\n{usage}"))?;
    let path = matches.opt_str("workload").ok_or("no workload")?;
    let text = fs::read_to_string(&path).map_err(|error| format!("{path}: {error}"))?;
    let workload = Workload::read(&text)?;
    let options = Options {
        entries: addresses(&matches, "entry")?,
        admins: addresses(&matches, "admin")?,
        upstreams: addresses(&matches, "upstream")?,
        threads: matches.opt_get_default("threads", THREADS)?,
        timeout: Duration::from_secs(matches.opt_get_default("timeout", TIMEOUT_S)?),
        any_entry: matches.opt_present("any-entry"),
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
