//! The `status` and `drain` commands.

use std::{collections::BTreeMap, thread, time::Duration};

use kingcup_dispatch::code::Code;
use kingcup_node::publish;
use serde::{Deserialize, Serialize};

use super::{document::fault_report, http, report::Report, settings::Settings};

/// Timeout of a request to a process.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of concurrent requests.
const MAX_CONCURRENT: usize = 32;

/// Answer of a process to `GET /status`. Other members are ignored.
#[derive(Debug, Clone, Deserialize)]
pub(super) struct Status {
    pub name: String,
    role: String,
    #[serde(default)]
    closing: bool,
    /// Service of a sidecar's upstream.
    #[serde(default)]
    service: Option<String>,
    revisions: BTreeMap<String, u64>,
    /// Keys of the store whose values an entry cannot use.
    #[serde(default)]
    unreadable: Vec<String>,
    /// Availability zone.
    #[serde(default)]
    zone: String,
    /// Sidecars that an entry knows.
    #[serde(default)]
    sidecars: Vec<Sidecar>,
    /// Evacuated zones.
    #[serde(default)]
    pub evacuations: Evacuations,
}

/// A sidecar in the status of an entry.
#[derive(Debug, Clone, Deserialize)]
struct Sidecar {
    #[serde(default)]
    zone: String,
}

/// Evacuated zones as a process knows them.
#[derive(Debug, Clone, Default, Deserialize)]
pub(super) struct Evacuations {
    /// Revision of the store that the table shows; 0 while none is known.
    pub revision: u64,
    pub zones: Vec<String>,
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

/// State of one process in the report.
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
    #[serde(skip_serializing_if = "Vec::is_empty")]
    unreadable: Vec<String>,
}

impl Status {
    /// Returns the zones of the process and of the sidecars that it knows.
    pub(super) fn zones(self) -> impl Iterator<Item = String> {
        let sidecars = self.sidecars.into_iter().map(|sidecar| sidecar.zone);
        sidecars.chain([self.zone]).filter(|zone| !zone.is_empty())
    }

    /// Returns whether the process should have the document of a service in force, which is false
    /// only for a sidecar of another service. A sidecar that neither reports its service nor has a
    /// document yet counts as one of this service.
    fn is_concerned(&self, service: &str) -> bool {
        let of_other_service = match &self.service {
            Some(name) => name != service,
            None => !self.revisions.is_empty() && !self.revisions.contains_key(service),
        };
        self.role != "sidecar" || !of_other_service
    }
}

/// Requests the status of one process.
fn fetch_status(address: &str) -> Result<Status, String> {
    let answer =
        http::get(address, "/status", REQUEST_TIMEOUT).map_err(|failure| failure.reason)?;
    if answer.status != 200 {
        return Err(format!("status {}", answer.status));
    }
    serde_json::from_slice(&answer.body).map_err(|error| error.to_string())
}

/// Requests the status of all processes, several at a time.
pub(super) fn fetch_all(addresses: &[String]) -> Vec<Result<Status, String>> {
    let mut answers = Vec::new();
    for chunk in addresses.chunks(MAX_CONCURRENT) {
        thread::scope(|scope| {
            let calls: Vec<_> =
                chunk.iter().map(|address| scope.spawn(|| fetch_status(address))).collect();
            let panicked = |_| Err("no answer".to_owned());
            answers.extend(calls.into_iter().map(|call| call.join().unwrap_or_else(panicked)));
        });
    }
    answers
}

/// Returns the row of a process, given its status or the reason why there is none.
fn row(address: &str, answer: Result<Status, String>, service: &str, revision: u64) -> Row {
    let address = address.to_owned();
    let status = match answer {
        Ok(status) => status,
        Err(reason) => {
            let (state, reason) = (State::NoAnswer, Some(reason));
            return Row {
                address,
                state,
                name: None,
                revision: None,
                closing: None,
                reason,
                unreadable: Vec::new(),
            };
        }
    };
    let in_force = status.revisions.get(service).copied();
    let state = match in_force {
        _ if !status.is_concerned(service) => State::NotConcerned,
        Some(in_force) if in_force >= revision => State::InForce,
        _ => State::Older,
    };
    let closing = Some(status.closing);
    Row {
        address,
        state,
        name: Some(status.name),
        revision: in_force,
        closing,
        reason: None,
        unreadable: status.unreadable,
    }
}

/// Returns the line of a process in the printed report.
fn line(row: &Row) -> String {
    let name = row.name.as_deref().unwrap_or("-");
    let state = match (&row.reason, row.revision) {
        (Some(reason), _) => format!("no answer: {reason}"),
        (None, Some(revision)) => format!("revision {revision}"),
        (None, None) if row.state == State::NotConcerned => "another service".to_owned(),
        (None, None) => "no revision".to_owned(),
    };
    let closing = if row.closing == Some(true) { ", shutting down" } else { "" };
    let unreadable: String =
        row.unreadable.iter().map(|key| format!(", cannot use the value of {key:?}")).collect();
    format!("{} {name}: {state}{closing}{unreadable}", row.address)
}

/// Returns the report on a revision, with code `Complete` only if all processes concerned have it.
fn report(service: &str, revision: u64, rows: Vec<Row>) -> Report {
    let is_behind = |row: &&Row| matches!(row.state, State::Older | State::NoAnswer);
    let concerned = rows.iter().filter(|row| row.state != State::NotConcerned).count();
    let behind = rows.iter().filter(is_behind).count();
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

/// Reports whether a revision is in force at all processes, and the state of each.
pub(super) fn of_revision(
    settings: &Settings,
    service: &str,
    revision: u64,
) -> Result<Report, Report> {
    let addresses = settings.processes()?;
    let answers = fetch_all(addresses);
    let pairs = addresses.iter().zip(answers);
    let rows = pairs.map(|(address, answer)| row(address, answer, service, revision)).collect();
    Ok(report(service, revision, rows))
}

/// Returns the newest revision that a process has in force, for use instead of the stored one while
/// the store is unavailable.
fn newest_in_force(settings: &Settings, service: &str) -> Result<u64, Report> {
    let statuses = fetch_all(settings.processes()?);
    let revisions = statuses.iter().flatten().filter_map(|status| status.revisions.get(service));
    Ok(revisions.copied().max().unwrap_or(0))
}

/// Reports whether the stored revision of a service's document is in force everywhere.
pub(super) fn status(settings: &Settings, service: &str) -> Result<Report, Report> {
    settings.processes()?;
    match publish::read(&settings.store()?, service) {
        Ok(Some(snapshot)) => of_revision(settings, service, snapshot.envelope.revision),
        Ok(None) => {
            let message = format!("no document of service {service} is stored");
            Err(Report::new(Code::UnknownService).message(message))
        }
        Err(fault @ publish::Fault::ReadFailed(_)) => {
            let revision = newest_in_force(settings, service)?;
            let report = of_revision(settings, service, revision)?;
            let state = match report.code() {
                Code::Complete => "is in force everywhere",
                _ => "is not in force everywhere",
            };
            let message =
                format!("{fault}; the newest revision known to a process, {revision}, {state}");
            Ok(report.recode(Code::StoreUnavailable).message(message))
        }
        Err(fault) => Err(fault_report(&fault)),
    }
}

/// Tells a process to accept no new work.
pub(super) fn drain(settings: &Settings, address: &str) -> Result<Report, Report> {
    let no_answer =
        |reason: String| Report::new(Code::ProcessSilent).message(format!("{address}: {reason}"));
    let timeout = settings.timeout.min(REQUEST_TIMEOUT);
    let answer = http::post(address, "/drain", b"", None, timeout);
    let answer = answer.map_err(|failure| no_answer(failure.reason))?;
    if !(200..300).contains(&answer.status) {
        return Err(no_answer(format!("status {}", answer.status)));
    }
    let message = format!("{address} takes no new work");
    Ok(Report::new(Code::Complete).message(message).with("address", address))
}
