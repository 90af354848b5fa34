//! Settings from a file and from the command line, which takes precedence.

use std::time::Duration;

use ini::Ini;
use kingcup_dispatch::code::Code;
use kingcup_node::store::{Client, Limits};

use super::{args::Arguments, report::Report};

/// Section of the settings file that is read.
const SECTION: &str = "kingcupctl";
/// Keys that the section may have.
const KEYS: &[&str] = &["store", "processes", "entries", "author", "timeout_s"];
/// Default time limit for retries, in seconds.
const TIMEOUT_S: u64 = 30;

/// Settings of a command.
#[derive(Debug)]
pub(super) struct Settings {
    store: Option<String>,
    processes: Vec<String>,
    entries: Vec<String>,
    pub author: String,
    pub timeout: Duration,
}

/// Returns the report on invalid settings.
fn invalid(message: impl Into<String>) -> Report {
    Report::new(Code::SettingsInvalid).message(message)
}

/// Reads the section of a settings file and rejects unknown keys.
fn load_file(path: &str) -> Result<ini::Properties, Report> {
    let file = Ini::load_from_file(path).map_err(|error| invalid(format!("{path}: {error}")))?;
    let section = file.section(Some(SECTION));
    let section = section.ok_or_else(|| invalid(format!("{path}: no section [{SECTION}]")))?;
    if let Some((key, _)) = section.iter().find(|(key, _)| !KEYS.contains(key)) {
        let allowed = KEYS.join(", ");
        return Err(invalid(format!("{path}: {key}: unknown key; allowed: {allowed}")));
    }
    Ok(section.clone())
}

/// Splits a comma-separated list, without empty parts.
fn list(text: Option<&str>) -> Vec<String> {
    let parts = text.unwrap_or_default().split(',').map(str::trim);
    parts.filter(|part| !part.is_empty()).map(str::to_owned).collect()
}

impl Settings {
    /// Reads the settings file, if one is given, and overrides it with the command line.
    pub(super) fn load(arguments: &Arguments) -> Result<Self, Report> {
        let file = match &arguments.settings {
            Some(path) => load_file(path)?,
            None => ini::Properties::new(),
        };
        let timeout_s = match (arguments.timeout_s, file.get("timeout_s")) {
            (Some(seconds), _) => seconds,
            (None, Some(text)) => text.parse().map_err(|_| {
                invalid(format!("timeout_s: {text:?} is not valid; allowed: a whole number"))
            })?,
            (None, None) => TIMEOUT_S,
        };
        let user = std::env::var("USER").ok();
        let author = arguments.author.as_deref().or(file.get("author")).or(user.as_deref());
        Ok(Self {
            store: arguments.store.clone().or(file.get("store").map(str::to_owned)),
            processes: list(arguments.processes.as_deref().or(file.get("processes"))),
            entries: list(arguments.entries.as_deref().or(file.get("entries"))),
            author: author.filter(|name| !name.is_empty()).unwrap_or("unknown").to_owned(),
            timeout: Duration::from_secs(timeout_s),
        })
    }

    /// Returns a client of the store.
    pub(super) fn store(&self) -> Result<Client, Report> {
        let url = self.store.as_deref().ok_or_else(|| {
            invalid("address of the store is not set; use --store or `store` in the settings")
        })?;
        Ok(Client::open(url, Limits::default()))
    }

    /// Returns the operator addresses of entries and sidecars, of which there must be at least one.
    pub(super) fn processes(&self) -> Result<&[String], Report> {
        if self.processes.is_empty() {
            let hint = "use --processes or `processes` in the settings";
            return Err(invalid(format!("addresses of entries and sidecars are not set; {hint}")));
        }
        Ok(&self.processes)
    }

    /// Returns the addresses of entries for callers, of which there must be at least one.
    pub(super) fn entries(&self) -> Result<&[String], Report> {
        if self.entries.is_empty() {
            let hint = "use --entry or `entries` in the settings";
            return Err(invalid(format!("addresses of entries are not set; {hint}")));
        }
        Ok(&self.entries)
    }
}
