//! Command line shared by all daemons.

use std::{
    env, io,
    path::{Path, PathBuf},
    process::ExitCode,
};

use getopts::Options;
use stakker::{ActorOwn, Stakker};

use crate::{logs, reactor, settings::Fault};

/// Exit status for an invalid command line (`EX_USAGE` of sysexits.h).
const EXIT_USAGE: u8 = 64;
/// Exit status for invalid settings (`EX_CONFIG` of sysexits.h).
const EXIT_CONFIG: u8 = 78;

/// Command given on the command line.
enum Command {
    /// Run the daemon with this settings file.
    Run(PathBuf),
    /// Validate this settings file.
    Check(PathBuf),
    /// Print a text and exit.
    Print(String),
    /// Report that the command line is invalid.
    Invalid(String),
}

/// Reads the command line and the settings, then runs the daemon until it stops.
pub fn main<S, A: 'static>(
    program: &str,
    open: impl Fn(&Path) -> Result<S, Fault>,
    name: impl Fn(&S) -> &String,
    spawn: impl FnOnce(&mut Stakker, S) -> ActorOwn<A>,
) -> ExitCode {
    let (path, check) = match parse(program, env::args().skip(1)) {
        Command::Run(path) => (path, false),
        Command::Check(path) => (path, true),
        Command::Print(text) => {
            println!("{text}");
            return ExitCode::SUCCESS;
        }
        Command::Invalid(text) => {
            eprintln!("{program}: {text}");
            return EXIT_USAGE.into();
        }
    };
    let settings = match open(&path) {
        Ok(settings) => settings,
        Err(fault) => {
            eprintln!("{program}: {fault}");
            return EXIT_CONFIG.into();
        }
    };
    if check {
        println!("{}: settings are valid", path.display());
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
    options.optflag("c", "check", "check the settings and exit");
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    let args: Vec<String> = args.collect();
    if args.iter().any(|arg| arg == "-h" || arg == "--help") {
        return Command::Print(
            options.usage(&format!("Usage: {program} --settings FILE [--check]")),
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
    if matches.opt_present("c") {
        Command::Check(path)
    } else {
        Command::Run(path)
    }
}
