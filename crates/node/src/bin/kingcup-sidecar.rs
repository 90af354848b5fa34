//! The sidecar daemon.

use std::process::ExitCode;

use kingcup_node::{options, settings::sidecar::Settings, sidecar};

fn main() -> ExitCode {
    options::main(
        "kingcup-sidecar",
        Settings::read,
        |settings| &settings.process.name,
        sidecar::spawn,
    )
}
