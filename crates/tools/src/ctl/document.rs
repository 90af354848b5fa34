//! Commands on documents that write nothing.

use std::io::Read;

use kingcup_dispatch::{
    code::Code,
    document::{self, Document},
};
use kingcup_node::publish::{self, Snapshot};

use super::{diff::compare, report::Report, settings::Settings};

/// Reads a file, or standard input for `-`.
pub(super) fn read_file(file: &str) -> Result<Vec<u8>, String> {
    if file != "-" {
        return std::fs::read(file).map_err(|error| format!("{file}: {error}"));
    }
    let mut data = Vec::new();
    std::io::stdin().read_to_end(&mut data).map_err(|error| format!("{file}: {error}"))?;
    Ok(data)
}

/// Reads and checks a document.
pub(super) fn load(file: &str) -> Result<Document, Report> {
    let invalid = |message: String| Report::new(Code::DocumentInvalid).message(message);
    let data = read_file(file).map_err(invalid)?;
    let text = String::from_utf8(data);
    let text = text.map_err(|error| invalid(format!("{file}: {}", error.utf8_error())))?;
    document::check(&text).map_err(|fault| {
        invalid(format!("{file}: {fault}")).with("place", &fault.location).with("file", file)
    })
}

/// Reports a fault of a change.
pub(super) fn faulty(fault: &publish::Fault) -> Report {
    Report::new(fault.code()).message(fault.to_string())
}

/// Reads the stored document of a service.
pub(super) fn stored(settings: &Settings, service: &str) -> Result<Snapshot, Report> {
    let snapshot = publish::read(&settings.store()?, service).map_err(|fault| faulty(&fault))?;
    snapshot.ok_or_else(|| {
        let message = format!("no document of service {service} is stored");
        Report::new(Code::UnknownService).message(message)
    })
}

pub(super) fn check(file: &str) -> Result<Report, Report> {
    let document = load(file)?;
    let message = format!("{file}: document of service {} is valid", document.service);
    Ok(Report::new(Code::Complete).message(message).with("service", document.service))
}

pub(super) fn show(settings: &Settings, service: &str) -> Result<Report, Report> {
    let envelope = stored(settings, service)?.envelope;
    let text = serde_json::to_string_pretty(&envelope.document).unwrap_or_default();
    let message = format!("revision {} of service {service}", envelope.revision);
    let report = Report::new(Code::Complete).message(message).line(text);
    Ok(report.with("revision", envelope.revision).with("document", envelope.document))
}

pub(super) fn diff(settings: &Settings, service: &str, file: &str) -> Result<Report, Report> {
    let new = load(file)?;
    if new.service != service {
        let message = format!("{file}: service: the document is of service {}", new.service);
        return Err(Report::new(Code::DocumentInvalid).message(message));
    }
    let envelope = stored(settings, service)?.envelope;
    let differences = compare(&envelope.document, &new);
    let count = differences.len();
    let message = format!("{count} differences from revision {} to {file}", envelope.revision);
    let mut report = Report::new(Code::Complete).message(message);
    for difference in &differences {
        report = report.line(difference.line());
    }
    Ok(report.with("revision", envelope.revision).with("differences", differences))
}

pub(super) fn history(settings: &Settings, service: &str) -> Result<Report, Report> {
    let changes = stored(settings, service)?.envelope.changes;
    let message = format!("{} newest changes of service {service}", changes.len());
    let mut report = Report::new(Code::Complete).message(message);
    for change in &changes {
        report = report.line(format!("{} {} {}", change.revision, change.author, change.id));
    }
    Ok(report.with("changes", changes))
}
