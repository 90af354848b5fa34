//! The entry daemon.

use std::process::ExitCode;

use kingcup_node::{entry, options, settings::entry::Settings};

fn main() -> ExitCode {
    options::main("kingcup-entry", Settings::read, |settings| &settings.process.name, entry::spawn)
}
