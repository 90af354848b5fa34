//! Command line shared by all daemons.

use std::{env, io, path::PathBuf, process::ExitCode};

use getopts::Options;
use stakker::{ActorOwn, Stakker};

use crate::{
    logs, reactor,
    settings::{Fault, Source},
};

/// Exit status for an invalid command line (`EX_USAGE` of sysexits.h).
const EXIT_USAGE: u8 = 64;
/// Exit status for invalid settings (`EX_CONFIG` of sysexits.h).
const EXIT_CONFIG: u8 = 78;

/// A setting given on the command line, which replaces that of the file.
struct Override {
    section: String,
    key: String,
    value: String,
}

/// Where the settings come from.
struct Input {
    path: PathBuf,
    overrides: Vec<Override>,
}

/// Command given on the command line.
enum Command {
    /// Run the daemon with these settings.
    Run(Input),
    /// Validate these settings.
    Check(Input),
    /// Print a text and exit.
    Print(String),
    /// Report that the command line is invalid.
    Invalid(String),
}

/// Reads the command line and the settings, then runs the daemon until it stops.
pub fn main<S, A: 'static>(
    program: &str,
    read: impl Fn(Source) -> Result<S, Fault>,
    name: impl Fn(&S) -> &String,
    spawn: impl FnOnce(&mut Stakker, S) -> ActorOwn<A>,
) -> ExitCode {
    let (input, check) = match parse(program, env::args().skip(1)) {
        Command::Run(input) => (input, false),
        Command::Check(input) => (input, true),
        Command::Print(text) => {
            println!("{text}");
            return ExitCode::SUCCESS;
        }
        Command::Invalid(text) => {
            eprintln!("{program}: {text}");
            return EXIT_USAGE.into();
        }
    };
    let settings = match load(&input, read) {
        Ok(settings) => settings,
        Err(fault) => {
            eprintln!("{program}: {fault}");
            return EXIT_CONFIG.into();
        }
    };
    if check {
        println!("{}: settings are valid", input.path.display());
        return ExitCode::SUCCESS;
    }
    logs::open(name(&settings));
    let code = match run(settings, spawn) {
        Ok(code) => code,
        Err(error) => {
            log::error!("event=failed error={error:?}");
            ExitCode::FAILURE
        }
    };
    logs::flush();
    code
}

/// Reads the settings file, replaces the settings given on the command line, and checks all.
fn load<S>(input: &Input, read: impl Fn(Source) -> Result<S, Fault>) -> Result<S, Fault> {
    let mut source = Source::open(&input.path)?;
    for Override { section, key, value } in &input.overrides {
        source.set(section, key, value);
    }
    read(source)
}

/// Parses `SECTION.KEY=VALUE`. A value that is empty replaces nothing, so that a deployment can pass
/// figures that it may not have.
fn parse_override(text: &str) -> Result<Option<Override>, String> {
    let (name, value) = text.split_once('=').unwrap_or((text, ""));
    let parts = name.split_once('.').filter(|_| text.contains('='));
    match parts {
        Some((section, key)) if !section.is_empty() && !key.is_empty() => {
            let new = Override {
                section: section.to_owned(),
                key: key.to_owned(),
                value: value.to_owned(),
            };
            Ok(Some(new).filter(|new| !new.value.is_empty()))
        }
        _ => Err(format!("--set: {text:?} is not valid; allowed: SECTION.KEY=VALUE")),
    }
}

fn run<S, A: 'static>(
    settings: S,
    spawn: impl FnOnce(&mut Stakker, S) -> ActorOwn<A>,
) -> io::Result<ExitCode> {
    let (mut stakker, poll) = reactor::open()?;
    let _actor = spawn(&mut stakker, settings);
    reactor::run(&mut stakker, &poll)?;
    Ok(match stakker.shutdown_reason() {
        Some(stakker::StopCause::Stopped) => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    })
}

fn parse(program: &str, args: impl Iterator<Item = String>) -> Command {
    let mut options = Options::new();
    options.reqopt("s", "settings", "settings file", "FILE");
    options.optmulti("", "set", "replace a setting of the file", "SECTION.KEY=VALUE");
    options.optflag("c", "check", "check the settings and exit");
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    let args: Vec<String> = args.collect();
    if args.iter().any(|arg| arg == "-h" || arg == "--help") {
        return Command::Print(
            options.usage(&format!("Usage: {program} --settings FILE [options]")),
        );
    }
    if args.iter().any(|arg| arg == "-V" || arg == "--version") {
        return Command::Print(format!("{program} {}", env!("CARGO_PKG_VERSION")));
    }
    let matches = match options.parse(&args) {
        Ok(matches) => matches,
        Err(error) => return Command::Invalid(error.to_string()),
    };
    if let Some(extra) = matches.free.first() {
        return Command::Invalid(format!("unexpected argument {extra}"));
    }
    let Some(path) = matches.opt_str("s").map(PathBuf::from) else {
        return Command::Invalid("--settings is required".to_owned());
    };
    let overrides: Result<Vec<Option<Override>>, String> =
        matches.opt_strs("set").iter().map(|text| parse_override(text)).collect();
    let overrides = match overrides {
        Ok(overrides) => overrides.into_iter().flatten().collect(),
        Err(reason) => return Command::Invalid(reason),
    };
    let input = Input { path, overrides };
    if matches.opt_present("c") {
        Command::Check(input)
    } else {
        Command::Run(input)
    }
}
