//! State of processes.

use std::{collections::BTreeMap, thread, time::Duration};

use kingcup_dispatch::code::Code;
use kingcup_node::publish;
use serde::{Deserialize, Serialize};

use super::{document::faulty, http, report::Report, settings::Settings};

/// Time for one process to answer.
const ANSWER: Duration = Duration::from_secs(2);
/// Processes asked at a time.
const AT_ONCE: usize = 32;

/// What a process says of itself at `GET /status`. Other members are ignored.
#[derive(Debug, Clone, Deserialize)]
struct Status {
    name: String,
    role: String,
    #[serde(default)]
    closing: bool,
    /// Service whose upstream a sidecar fronts.
    #[serde(default)]
    service: Option<String>,
    revisions: BTreeMap<String, u64>,
}

/// Whether a process has a revision in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum State {
    InForce,
    Older,
    NoAnswer,
    NotConcerned,
}

/// One process in the report.
#[derive(Debug, Serialize)]
struct Row {
    address: String,
    state: State,
    #[serde(skip_serializing_if = "Option::is_none")]
    name: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    revision: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    closing: Option<bool>,
    #[serde(skip_serializing_if = "Option::is_none")]
    reason: Option<String>,
}

impl Status {
    /// False for a sidecar of another service. A sidecar that does not say its service and has no
    /// document yet counts as one that should have this one.
    fn is_concerned(&self, service: &str) -> bool {
        let other = match &self.service {
            Some(own) => own != service,
            None => !self.revisions.is_empty() && !self.revisions.contains_key(service),
        };
        self.role != "sidecar" || !other
    }
}

fn ask(address: &str) -> Result<Status, String> {
    let answer = http::get(address, "/status", ANSWER).map_err(|failure| failure.reason)?;
    if answer.status != 200 {
        return Err(format!("status {}", answer.status));
    }
    serde_json::from_slice(&answer.body).map_err(|error| error.to_string())
}

/// Asks all processes, several at a time.
fn ask_all(addresses: &[String]) -> Vec<Result<Status, String>> {
    let mut answers = Vec::new();
    for part in addresses.chunks(AT_ONCE) {
        thread::scope(|scope| {
            let calls: Vec<_> = part.iter().map(|one| scope.spawn(|| ask(one))).collect();
            let panicked = |_| Err("no answer".to_owned());
            answers.extend(calls.into_iter().map(|call| call.join().unwrap_or_else(panicked)));
        });
    }
    answers
}

fn row(address: &str, answer: Result<Status, String>, service: &str, revision: u64) -> Row {
    let address = address.to_owned();
    let status = match answer {
        Ok(status) => status,
        Err(reason) => {
            let (state, reason) = (State::NoAnswer, Some(reason));
            return Row { address, state, name: None, revision: None, closing: None, reason };
        }
    };
    let found = status.revisions.get(service).copied();
    let state = match found {
        _ if !status.is_concerned(service) => State::NotConcerned,
        Some(found) if found >= revision => State::InForce,
        _ => State::Older,
    };
    let closing = Some(status.closing);
    Row { address, state, name: Some(status.name), revision: found, closing, reason: None }
}

fn line(row: &Row) -> String {
    let name = row.name.as_deref().unwrap_or("-");
    let state = match (&row.reason, row.revision) {
        (Some(reason), _) => format!("no answer: {reason}"),
        (None, Some(revision)) => format!("revision {revision}"),
        (None, None) if row.state == State::NotConcerned => "another service".to_owned(),
        (None, None) => "no revision".to_owned(),
    };
    let closing = if row.closing == Some(true) { ", shutting down" } else { "" };
    format!("{} {name}: {state}{closing}", row.address)
}

fn report(service: &str, revision: u64, rows: Vec<Row>) -> Report {
    let missing = |row: &&Row| matches!(row.state, State::Older | State::NoAnswer);
    let concerned = rows.iter().filter(|row| row.state != State::NotConcerned).count();
    let behind = rows.iter().filter(missing).count();
    let (code, message) = match behind {
        0 => (
            Code::Complete,
            format!("revision {revision} of service {service} is in force at all {concerned}"),
        ),
        _ => (
            Code::NotInEffect,
            format!(
                "revision {revision} of service {service} is not in force at {behind} of {concerned}"
            ),
        ),
    };
    let mut report = Report::new(code).message(format!("{message} processes"));
    for row in &rows {
        report = report.line(line(row));
    }
    report.with("service", service).with("revision", revision).with("processes", rows)
}

/// Tells whether a revision is in force at all processes, and where not.
pub(super) fn of_revision(
    settings: &Settings,
    service: &str,
    revision: u64,
) -> Result<Report, Report> {
    let addresses = settings.processes()?;
    let answers = ask_all(addresses);
    let pairs = addresses.iter().zip(answers);
    let rows = pairs.map(|(address, answer)| row(address, answer, service, revision)).collect();
    Ok(report(service, revision, rows))
}

/// Newest revision that a process has in force; stands in for the stored one in an outage.
fn newest(settings: &Settings, service: &str) -> Result<u64, Report> {
    let answers = ask_all(settings.processes()?);
    let revisions = answers.iter().flatten().filter_map(|one| one.revisions.get(service));
    Ok(revisions.copied().max().unwrap_or(0))
}

pub(super) fn status(settings: &Settings, service: &str) -> Result<Report, Report> {
    settings.processes()?;
    match publish::read(&settings.store()?, service) {
        Ok(Some(snapshot)) => of_revision(settings, service, snapshot.envelope.revision),
        Ok(None) => {
            let message = format!("no document of service {service} is stored");
            Err(Report::new(Code::UnknownService).message(message))
        }
        Err(fault @ publish::Fault::ReadFailed(_)) => {
            let revision = newest(settings, service)?;
            let report = of_revision(settings, service, revision)?;
            let state = match report.code() {
                Code::Complete => "is in force everywhere",
                _ => "is not in force everywhere",
            };
            let message =
                format!("{fault}; the newest revision known to a process, {revision}, {state}");
            Ok(report.recode(Code::StoreUnavailable).message(message))
        }
        Err(fault) => Err(faulty(&fault)),
    }
}

pub(super) fn drain(settings: &Settings, address: &str) -> Result<Report, Report> {
    let silent =
        |reason: String| Report::new(Code::ProcessSilent).message(format!("{address}: {reason}"));
    let limit = settings.timeout.min(ANSWER);
    let answer = http::post(address, "/drain", b"", None, limit);
    let answer = answer.map_err(|failure| silent(failure.reason))?;
    if !(200..300).contains(&answer.status) {
        return Err(silent(format!("status {}", answer.status)));
    }
    let message = format!("{address} takes no new work");
    Ok(Report::new(Code::Complete).message(message).with("address", address))
}
