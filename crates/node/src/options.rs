//! Command line that both daemons share.

use std::{
    env, io,
    path::{Path, PathBuf},
    process::ExitCode,
};

use getopts::Options;
use stakker::{ActorOwn, Stakker};

use crate::{logs, reactor, settings::Fault};

/// Exit status for a wrong command line.
const USAGE: u8 = 64;
/// Exit status for wrong settings.
const SETTINGS: u8 = 78;

/// What the command line asks for.
enum Wish {
    Run(PathBuf),
    Check(PathBuf),
    Print(String),
    Wrong(String),
}

/// Reads the command line and the settings, then runs the daemon until it stops.
pub fn main<S, A: 'static>(
    program: &str,
    open: impl Fn(&Path) -> Result<S, Fault>,
    name: impl Fn(&S) -> &String,
    spawn: impl FnOnce(&mut Stakker, S) -> ActorOwn<A>,
) -> ExitCode {
    let (path, check) = match wish(program, env::args().skip(1)) {
        Wish::Run(path) => (path, false),
        Wish::Check(path) => (path, true),
        Wish::Print(text) => {
            println!("{text}");
            return ExitCode::SUCCESS;
        }
        Wish::Wrong(text) => {
            eprintln!("{program}: {text}");
            return USAGE.into();
        }
    };
    let settings = match open(&path) {
        Ok(settings) => settings,
        Err(fault) => {
            eprintln!("{program}: {fault}");
            return SETTINGS.into();
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

fn wish(program: &str, args: impl Iterator<Item = String>) -> Wish {
    let mut options = Options::new();
    options.reqopt("s", "settings", "settings file", "FILE");
    options.optflag("c", "check", "check the settings and exit");
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    let args: Vec<String> = args.collect();
    if args.iter().any(|arg| arg == "-h" || arg == "--help") {
        return Wish::Print(options.usage(&format!("Usage: {program} --settings FILE [--check]")));
    }
    if args.iter().any(|arg| arg == "-V" || arg == "--version") {
        return Wish::Print(format!("{program} {}", env!("CARGO_PKG_VERSION")));
    }
    let matches = match options.parse(&args) {
        Ok(matches) => matches,
        Err(error) => return Wish::Wrong(error.to_string()),
    };
    if let Some(extra) = matches.free.first() {
        return Wish::Wrong(format!("unexpected argument {extra}"));
    }
    let Some(path) = matches.opt_str("s").map(PathBuf::from) else {
        return Wish::Wrong("--settings is required".to_owned());
    };
    if matches.opt_present("c") {
        Wish::Check(path)
    } else {
        Wish::Run(path)
    }
}
