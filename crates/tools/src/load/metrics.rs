//! Reads metrics of the daemons in Prometheus' text format.

use std::{net::SocketAddr, time::Duration};

use serde::Serialize;
use ureq::Agent;

use super::Fault;

/// Entries' counter of messages that they exchange with entries and sidecars, by type and
/// direction.
pub const MESSAGES: &str = "kingcup_messages_total";
/// Types of messages that entries receive from sidecars. Together with all that entries send, these
/// are all messages; other received ones are counted at the entry that sent them. `welcome` and
/// `probe_ack` messages between entries count twice, but there are few of them.
const FROM_SIDECARS: [&str; 9] =
    ["welcome", "finish", "refuse", "recalled", "fates", "probe_ack", "load", "announce", "fetch"];
/// Timeout of a request.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Number of messages of one type.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Count {
    /// Type of the message.
    pub name: String,
    /// Number of messages.
    pub messages: f64,
}

/// Message counts summed over several daemons.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Reading {
    /// Messages between entries and sidecars.
    pub messages: f64,
    /// These messages by type, sorted by name.
    pub by_type: Vec<Count>,
}

impl Reading {
    /// Returns the messages by type since an earlier reading, without types that had none.
    pub fn since(&self, before: &Self) -> Vec<Count> {
        let messages_before = |name: &str| {
            let found = before.by_type.iter().find(|count| count.name == name);
            found.map_or(0.0, |count| count.messages)
        };
        let counts = self.by_type.iter().map(|count| {
            let messages = count.messages - messages_before(&count.name);
            Count { name: count.name.clone(), messages }
        });
        counts.filter(|count| count.messages > 0.0).collect()
    }

    fn add(&mut self, name: &str, messages: f64) {
        self.messages += messages;
        match self.by_type.binary_search_by(|count| count.name.as_str().cmp(name)) {
            Ok(index) => self.by_type[index].messages += messages,
            Err(index) => {
                self.by_type.insert(index, Count { name: name.to_owned(), messages });
            }
        }
    }
}

/// Reads and sums the metrics of all daemons.
///
/// # Errors
///
/// Returns `Unreachable` if a daemon can't be read.
pub fn read_all(admins: &[SocketAddr]) -> Result<Reading, Fault> {
    let mut reading = Reading::default();
    for admin in admins {
        let text = get(*admin, "/metrics")?;
        for_each_sample(&text, MESSAGES, |labels, value| {
            if is_counted(labels) {
                reading.add(message_type(labels), value);
            }
        });
    }
    Ok(reading)
}

/// Sends a GET request and returns the body of the response as text.
///
/// # Errors
///
/// Returns `Unreachable` if there is no successful response.
pub fn get(address: SocketAddr, path: &str) -> Result<String, Fault> {
    let fault = |error: ureq::Error| Fault::Unreachable(address, error.to_string());
    let config = Agent::config_builder().timeout_global(Some(TIMEOUT)).build();
    let agent = Agent::new_with_config(config);
    let mut response = agent.get(format!("http://{address}{path}")).call().map_err(fault)?;
    response.body_mut().with_config().limit(1 << 30).read_to_string().map_err(fault)
}

/// Returns the number of messages that an entry sent, plus those that it received from sidecars.
pub fn messages(text: &str) -> f64 {
    sum(text, MESSAGES, is_counted)
}

fn is_counted(labels: &str) -> bool {
    let from_sidecar = FROM_SIDECARS.contains(&message_type(labels));
    labels.contains("direction=\"sent\"") || from_sidecar
}

fn message_type(labels: &str) -> &str {
    let rest = labels.split_once("type=\"").map_or("", |(_, rest)| rest);
    rest.split('"').next().unwrap_or_default()
}

/// Sums the samples of a metric whose labels satisfy a condition.
pub fn sum(text: &str, name: &str, matches: impl Fn(&str) -> bool) -> f64 {
    let mut total = 0.0;
    for_each_sample(text, name, |labels, value| {
        if matches(labels) {
            total += value;
        }
    });
    total
}

/// Calls `visit` with the labels and the value of each sample of a metric.
fn for_each_sample(text: &str, name: &str, mut visit: impl FnMut(&str, f64)) {
    for line in text.lines().filter(|line| !line.starts_with('#')) {
        let Some(rest) = line.strip_prefix(name) else { continue };
        // Skips metrics whose names only begin with this name.
        if !rest.starts_with(['{', ' ']) {
            continue;
        }
        let (labels, value) = rest.rsplit_once('}').unwrap_or(("", rest));
        let value = value.split_whitespace().next().and_then(|value| value.parse().ok());
        if let Some(value) = value {
            visit(labels, value);
        }
    }
}
