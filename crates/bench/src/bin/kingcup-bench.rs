//! Prints the measurements.

use std::{env, process::ExitCode};

use getopts::Options;
use kingcup_bench::{
    cost::{self, Counting},
    report::Table,
    scenario,
};
use serde_json::Value;

const SEED: u64 = 1;
const SECONDS: u64 = 120;

#[global_allocator]
static COUNTING: Counting = Counting::new();

fn main() -> ExitCode {
    let mut options = Options::new();
    options.optopt("", "seed", "seed of all random choices (1)", "N");
    options.optopt("", "seconds", "counted virtual time of each run (120)", "N");
    options.optmulti("", "only", "response, flood, declared, failing, cancelled or cost", "TABLE");
    options.optflag("", "json", "print JSON");
    options.optflag("h", "help", "print this help");
    let matches = match options.parse(env::args().skip(1)) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(2);
        }
    };
    if matches.opt_present("help") {
        println!("{}", options.usage("kingcup-bench [options]"));
        return ExitCode::SUCCESS;
    }
    let (Ok(seed), Ok(seconds)) =
        (matches.opt_get_default("seed", SEED), matches.opt_get_default("seconds", SECONDS))
    else {
        eprintln!("--seed and --seconds take whole numbers");
        return ExitCode::from(2);
    };
    let run = scenario::Options { seed, seconds };
    let only = matches.opt_strs("only");
    let wanted = |name: &str| only.is_empty() || only.iter().any(|other| other == name);
    let mut tables: Vec<Table> = Vec::new();
    for (name, measure) in scenario::ALL {
        if wanted(name) {
            tables.push(measure(run));
        }
    }
    if wanted("cost") {
        tables.push(cost::table(&scenario::flows(0.7), &COUNTING));
    }
    if matches.opt_present("json") {
        let values: Vec<Value> = tables.iter().map(Table::json).collect();
        println!("{}", Value::Array(values));
    } else {
        tables.iter().for_each(|table| println!("{}", table.text()));
    }
    ExitCode::SUCCESS
}
