//! Command-line client for operators and teams.

use std::process::ExitCode;

fn main() -> ExitCode {
    env_logger::init();
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    ExitCode::from(kingcup_tools::ctl::run(&arguments))
}
