//! The `apply` command, which writes a document.

use std::time::{Duration, Instant};

use kingcup_dispatch::{code::Code, document::Document};
use kingcup_node::publish::{self, Accepted, Fault, Proposal};

use super::{
    args::Arguments,
    diff::compare,
    document::{fault_report, load},
    report::Report,
    settings::Settings,
    status,
};

/// Interval at which `--wait` polls the processes, in milliseconds.
const POLL_INTERVAL_MS: u64 = 200;

/// Returns a random change ID.
pub(super) fn new_change_id() -> String {
    format!("ctl-{:016x}", fastrand::u64(..))
}

/// Returns the report on a change that was not accepted.
fn rejection(fault: &Fault, document: &Document, id: &str) -> Report {
    let report = fault_report(fault).with("change_id", id);
    match fault {
        Fault::Conflict { base, found, present, .. } => {
            let mut report = report.with("base", base).with("revision", found);
            let Some(present) = present.as_ref() else {
                return report;
            };
            let differences = compare(&present.envelope.document, document);
            report = report.line(format!("differences from revision {found} to yours:"));
            for difference in &differences {
                report = report.line(format!("  {}", difference.line()));
            }
            report.with("changes", &present.envelope.changes).with("differences", differences)
        }
        Fault::Unknown { revision, .. } => {
            let base = revision.saturating_sub(1);
            let hint = format!("repeat with --change-id {id} --base {base} to find out");
            report.message(format!("{fault}; {hint}")).with("base", base)
        }
        _ => report,
    }
}

/// Polls the processes until the revision is in force everywhere or the timeout is over.
fn wait_until_in_force(
    settings: &Settings,
    service: &str,
    revision: u64,
) -> Result<Report, Report> {
    let deadline = Instant::now() + settings.timeout;
    loop {
        let report = status::of_revision(settings, service, revision)?;
        if report.code() == Code::Complete || Instant::now() >= deadline {
            return Ok(report);
        }
        std::thread::sleep(Duration::from_millis(POLL_INTERVAL_MS));
    }
}

/// Writes a document and, with `--wait`, waits until its revision is in force everywhere.
pub(super) fn apply(
    arguments: &Arguments,
    settings: &Settings,
    file: &str,
) -> Result<Report, Report> {
    let document = load(file)?;
    if arguments.wait {
        settings.processes()?;
    }
    let id = arguments.change_id.clone().unwrap_or_else(new_change_id);
    let proposal =
        Proposal { document: &document, id: &id, author: &settings.author, base: arguments.base };
    let store = settings.store()?;
    if arguments.change_id.is_none() {
        // Printed before the write, so that the operator can repeat the change if this process is
        // stopped.
        eprintln!("kingcupctl: change ID {id}");
    }
    let accepted = publish::apply(&store, &proposal, settings.timeout);
    let Accepted { revision, found } =
        accepted.map_err(|fault| rejection(&fault, &document, &id))?;
    let service = &document.service;
    let result = if found { "was already accepted" } else { "is accepted" };
    let message = format!("change {id} {result} as revision {revision} of service {service}");
    let report = match arguments.wait {
        true => {
            let report = wait_until_in_force(settings, service, revision)?;
            let state = match report.code() {
                Code::Complete => "it is in force everywhere",
                _ => "it is not in force everywhere",
            };
            report.message(format!("{message}; {state}"))
        }
        false => Report::new(Code::Complete).message(message),
    };
    Ok(report.with("change_id", &id).with("revision", revision).with("found", found))
}
