//! Drivers of the review's cases and the stand-ins that they start.
//!
//! `review-cases CASE FOLDER` plays a case in the repository's root and writes `record.txt` into the
//! folder. The status is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
//! With `TROUBLE=0` in the environment the case is played without its disruption.

mod client;
mod executor;
mod http;
mod json;
mod process;
mod record;
mod relay;
mod store;
mod world;

mod cancel;
mod limit;
mod outage;
mod recover;
mod silent;
mod twice;

use std::{env, path::Path, process::ExitCode};

use record::Record;

/// Result of a case: whether the rule was broken, or why the case could not run.
type Outcome = Result<bool, String>;

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["executor", options @ ..] => match parse_executor(options).map(executor::run) {
            Some(true) => ExitCode::SUCCESS,
            _ => ExitCode::from(2),
        },
        [case, folder] => play(case, Path::new(folder)),
        _ => ExitCode::from(2),
    }
}

fn parse_executor(words: &[&str]) -> Option<executor::Options> {
    let [id, service, zone, address, sidecar, cpu, mem_mb, up_ms, register_ms] = words else {
        return None;
    };
    Some(executor::Options {
        id: (*id).to_owned(),
        service: (*service).to_owned(),
        zone: (*zone).to_owned(),
        address: address.parse().ok()?,
        sidecar: sidecar.parse().ok()?,
        cpu: cpu.parse().ok()?,
        mem_mb: mem_mb.parse().ok()?,
        up_ms: up_ms.parse().ok()?,
        register_ms: register_ms.parse().ok()?,
    })
}

fn play(case: &str, folder: &Path) -> ExitCode {
    let Ok(record) = Record::create(&folder.join("record.txt")) else { return ExitCode::from(2) };
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let outcome = match case {
        "recover" => recover::play(&record, trouble),
        "silent" => silent::play(&record, trouble),
        "cancel" => cancel::play(&record, trouble),
        "twice" => twice::play(&record, trouble),
        "limit" => limit::play(&record, trouble),
        _ => Err(format!("unknown case {case}")),
    };
    match outcome {
        Ok(true) => {
            record.say("result: the rule was broken");
            ExitCode::from(1)
        }
        Ok(false) => {
            record.say("result: the rule held");
            ExitCode::SUCCESS
        }
        Err(reason) => {
            record.say(&format!("result: the case could not run: {reason}"));
            ExitCode::from(2)
        }
    }
}
