//! The `evacuate` and `evacuations` commands.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use kingcup_dispatch::code::Code;
use kingcup_node::evacuations::{self, Accepted, Fault, Order, Proposal};
use serde::Serialize;

use super::{
    apply::new_change_id,
    args::Arguments,
    report::Report,
    settings::Settings,
    status::{fetch_all, Status},
};

/// Interval at which `--wait` polls the processes.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Whether a change or the stored orders are in force at a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum State {
    InForce,
    Older,
    /// The process knows a newer state of the store, in which the change was reversed.
    Superseded,
    NoAnswer,
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
    zones: Option<Vec<String>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    reason: Option<String>,
}

impl Row {
    fn line(&self) -> String {
        let name = self.name.as_deref().unwrap_or("-");
        let state = match (&self.reason, &self.zones) {
            (Some(reason), _) => format!("no answer: {reason}"),
            (None, Some(zones)) if zones.is_empty() => "no zone is evacuated".to_owned(),
            (None, zones) => {
                format!("evacuated: {}", zones.as_deref().unwrap_or_default().join(", "))
            }
        };
        let revision = self.revision.map(|revision| format!(" (revision {revision})"));
        format!("{} {name}: {state}{}", self.address, revision.unwrap_or_default())
    }
}

fn fault_report(fault: &Fault) -> Report {
    Report::new(fault.code()).message(fault.to_string())
}

/// Asks all processes for their tables and judges each by `state`.
fn rows(addresses: &[String], state: impl Fn(&Status) -> State) -> Vec<Row> {
    let row = |(address, answer): (&String, Result<Status, String>)| {
        let address = address.clone();
        match answer {
            Ok(status) => Row {
                address,
                state: state(&status),
                name: Some(status.name),
                revision: Some(status.evacuations.revision),
                zones: Some(status.evacuations.zones),
                reason: None,
            },
            Err(reason) => Row {
                address,
                state: State::NoAnswer,
                name: None,
                revision: None,
                zones: None,
                reason: Some(reason),
            },
        }
    };
    addresses.iter().zip(fetch_all(addresses)).map(row).collect()
}

/// Returns whether a change that stands from a revision on is in force at a process.
fn state_of_change(status: &Status, proposal: &Proposal<'_>, revision: u64) -> State {
    let known = &status.evacuations;
    let agrees = known.zones.iter().any(|zone| zone == proposal.zone) == proposal.evacuated;
    match () {
        () if known.revision == 0 || known.revision < revision => State::Older,
        () if agrees => State::InForce,
        // Without the revision of the change, a process that does not agree may be behind.
        () if revision == 0 => State::Older,
        () => State::Superseded,
    }
}

/// Adds the rows of processes to a report, and sets its code by them.
fn add_rows(report: Report, message: &str, rows: Vec<Row>) -> Report {
    let count = |state: State| rows.iter().filter(|row| row.state == state).count();
    let (all, in_force) = (rows.len(), count(State::InForce));
    let (code, result) = match count(State::Superseded) {
        0 if in_force == all => (Code::Complete, format!("in force at all {all} processes")),
        0 => (Code::NotInEffect, format!("not in force at {} of {all} processes", all - in_force)),
        _ => (Code::Conflict, "reversed by a later change".to_owned()),
    };
    let report = rows.iter().fold(report, |report, row| report.line(row.line()));
    report.recode(code).message(format!("{message}; {result}")).with("processes", rows)
}

/// Polls the processes until the change is in force everywhere, is reversed, or the timeout is over.
fn wait_until_in_force(
    settings: &Settings,
    proposal: &Proposal<'_>,
    revision: u64,
) -> Result<Vec<Row>, Report> {
    let addresses = settings.processes()?;
    let deadline = Instant::now() + settings.timeout;
    loop {
        let rows = rows(addresses, |status| state_of_change(status, proposal, revision));
        let in_force = rows.iter().all(|row| row.state == State::InForce);
        let superseded = rows.iter().any(|row| row.state == State::Superseded);
        if in_force || superseded || Instant::now() >= deadline {
            return Ok(rows);
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Returns a warning if no process that answers knows the zone, so that its name may be misspelt.
fn unknown_zone(settings: &Settings, zone: &str) -> Option<String> {
    let addresses = settings.processes().ok()?;
    let mut known = BTreeSet::new();
    for status in fetch_all(addresses).into_iter().flatten() {
        known.extend(status.zones());
    }
    if known.contains(zone) {
        return None;
    }
    let list = match known.len() {
        0 => "none".to_owned(),
        _ => known.into_iter().collect::<Vec<_>>().join(", "),
    };
    Some(format!("no process is known in zone {zone}; known zones: {list}"))
}

/// Returns the line on what the store holds after a change.
fn describe(proposal: &Proposal<'_>, accepted: &Accepted) -> String {
    let Proposal { zone, id, evacuated, .. } = *proposal;
    let by = |order: &Order| match order.change.as_str() {
        "" => "without a recorded change".to_owned(),
        change => format!("by {} (change {change})", order.author),
    };
    match (evacuated, accepted.found, &accepted.order) {
        (true, true, Some(order)) if !accepted.may_be_own => {
            format!("zone {zone} is evacuated already, {}", by(order))
        }
        (true, true, _) => format!("zone {zone} is evacuated; change {id} was already written"),
        (true, false, _) => format!("zone {zone} is evacuated (change {id})"),
        (false, true, _) if !accepted.may_be_own => {
            format!("zone {zone} is not evacuated, there is no order to end")
        }
        (false, ..) => format!("the evacuation of zone {zone} is ended (change {id})"),
    }
}

/// Orders or ends the evacuation of a zone and, with `--wait`, waits until that is in force.
pub(super) fn evacuate(
    arguments: &Arguments,
    settings: &Settings,
    zone: &str,
) -> Result<Report, Report> {
    if arguments.wait {
        settings.processes()?;
    }
    let id = arguments.change_id.clone().unwrap_or_else(new_change_id);
    let evacuated = !arguments.end;
    let proposal = Proposal { zone, evacuated, id: &id, author: &settings.author };
    let store = settings.store()?;
    let with_ids = |report: Report| report.with("zone", zone).with("change_id", &id);
    let accepted = evacuations::change(&store, &proposal, settings.timeout).map_err(|fault| {
        let report = with_ids(fault_report(&fault));
        match fault {
            Fault::Unknown(_) => report.message(format!("{fault}; repeat the command to find out")),
            _ => report,
        }
    })?;
    // After the write, so that an emergency does not wait for processes that do not answer.
    let warning = evacuated.then(|| unknown_zone(settings, zone)).flatten();
    if let Some(warning) = &warning {
        eprintln!("kingcupctl: warning: {warning}");
    }
    let message = describe(&proposal, &accepted);
    let mut report = with_ids(Report::new(Code::Complete).message(&message))
        .with("evacuated", evacuated)
        .with("revision", accepted.revision)
        .with("found", accepted.found);
    if let Some(warning) = warning {
        report = report.with("warning", warning);
    }
    if !arguments.wait {
        return Ok(report);
    }
    let rows = wait_until_in_force(settings, &proposal, accepted.revision)?;
    Ok(add_rows(report, &message, rows))
}

/// Lists the stored orders and, if addresses of processes are set, where they are not in force.
pub(super) fn evacuations(settings: &Settings) -> Result<Report, Report> {
    let store = settings.store()?;
    let addresses = settings.processes().unwrap_or_default();
    let stored = match evacuations::read(&store) {
        Ok(stored) => stored,
        Err(fault) if addresses.is_empty() => return Err(fault_report(&fault)),
        Err(fault) => return Ok(newest_known(addresses, &fault)),
    };
    let count = stored.orders.len();
    let message = format!("orders of evacuation that stand: {count}");
    let mut report = Report::new(Code::Complete).message(&message);
    for Order { zone, author, change, revision } in &stored.orders {
        let or_dash = |text: &str| if text.is_empty() { "-".to_owned() } else { text.to_owned() };
        report = report.line(format!("{zone} {} {} {revision}", or_dash(author), or_dash(change)));
    }
    for key in &stored.unusable {
        report = report.line(format!("{key:?} names no zone and has no effect"));
    }
    let ordered: BTreeSet<&str> = stored.orders.iter().map(|order| order.zone.as_str()).collect();
    let report = report.with("orders", &stored.orders).with("unusable", &stored.unusable);
    if addresses.is_empty() {
        return Ok(report);
    }
    let state = |status: &Status| {
        let known: BTreeSet<&str> = status.evacuations.zones.iter().map(String::as_str).collect();
        let in_force = status.evacuations.revision > 0 && known == ordered;
        if in_force {
            State::InForce
        } else {
            State::Older
        }
    };
    Ok(add_rows(report, &message, rows(addresses, state)))
}

/// Reports the newest table of a process, for use while the store is unavailable.
fn newest_known(addresses: &[String], fault: &Fault) -> Report {
    let rows = rows(addresses, |_| State::InForce);
    let newest = rows.iter().max_by_key(|row| row.revision);
    let zones = newest.and_then(|row| row.zones.clone()).unwrap_or_default();
    let revision = newest.and_then(|row| row.revision).unwrap_or_default();
    let message = match (revision, zones.is_empty()) {
        (0, _) => format!("{fault}; no process that answers knows the orders"),
        (_, true) => format!("{fault}; none by the newest table known to a process, {revision}"),
        (_, false) => {
            let list = zones.join(", ");
            format!("{fault}; evacuated by the newest table known to a process, {revision}: {list}")
        }
    };
    let report = rows.iter().fold(fault_report(fault), |report, row| report.line(row.line()));
    report.message(message).with("zones", zones).with("revision", revision)
}
