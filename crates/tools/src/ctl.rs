//! `kingcupctl`: manages documents of services, evacuates zones, shows the state of processes, and
//! submits jobs or explains where they would go.
//!
//! `docs/cli.md` describes the commands and exit codes.

mod apply;
mod args;
mod diff;
mod document;
mod evacuate;
mod explain;
mod http;
mod report;
mod settings;
mod status;
mod submit;

use args::{Arguments, Command};
use report::Report;
use settings::Settings;

/// Exit code for an invalid command line.
const USAGE_ERROR: u8 = 64;

/// Runs a command, prints its report and returns the exit code.
pub fn run(arguments: &[String]) -> u8 {
    let arguments = match args::parse(arguments) {
        Ok(arguments) => arguments,
        Err(args::Exit::Help(text)) => {
            print!("{text}");
            return 0;
        }
        Err(args::Exit::Usage(reason)) => {
            eprintln!("kingcupctl: {reason}; see kingcupctl --help");
            return USAGE_ERROR;
        }
    };
    let settings = Settings::load(&arguments);
    let report = settings.and_then(|settings| execute(&arguments, &settings));
    let report = report.unwrap_or_else(|report| report);
    report.print(arguments.json);
    report.exit_code()
}

/// Executes a command. If the command fails early, returns its report as an error.
fn execute(arguments: &Arguments, settings: &Settings) -> Result<Report, Report> {
    match &arguments.command {
        Command::Check { file } => document::check(file),
        Command::Apply { file } => apply::apply(arguments, settings, file),
        Command::Show { service } => document::show(settings, service),
        Command::Diff { service, file } => document::diff(settings, service, file),
        Command::History { service } => document::history(settings, service),
        Command::Status { service } => status::status(settings, service),
        Command::Drain { address } => status::drain(settings, address),
        Command::Evacuate { zone } => evacuate::evacuate(arguments, settings, zone),
        Command::Evacuations => evacuate::evacuations(settings),
        Command::Explain { path, file } => explain::explain(arguments, path, file),
        Command::Submit { file } => submit::submit(arguments, settings, file),
    }
}
