//! Reads the daemons' metrics.

use std::{net::SocketAddr, time::Duration};

use serde::Serialize;
use ureq::Agent;

use super::Fault;

/// Entries' counter of messages with other processes of the system, by type and direction.
pub const MESSAGES: &str = "kingcup_messages_total";
/// Types that entries receive from sidecars. With all that entries send, these are all messages;
/// other received ones were counted where another entry sent them. The few welcomes and
/// acknowledgements of probes between entries count twice.
const FROM_SIDECARS: [&str; 9] =
    ["welcome", "finish", "refuse", "recalled", "fates", "probe_ack", "load", "announce", "fetch"];
/// Longest wait for a daemon's metrics.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Messages of one type.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Count {
    /// Type of the message.
    pub name: String,
    /// Number of messages.
    pub messages: f64,
}

/// Sums over several daemons.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Reading {
    /// Messages between the processes of the system.
    pub messages: f64,
    /// The same by type, ordered by name.
    pub by_type: Vec<Count>,
}

impl Reading {
    /// Messages by type since an earlier reading.
    pub fn since(&self, before: &Self) -> Vec<Count> {
        let earlier = |name: &str| {
            let found = before.by_type.iter().find(|count| count.name == name);
            found.map_or(0.0, |count| count.messages)
        };
        let counts = self.by_type.iter().map(|count| {
            let messages = count.messages - earlier(&count.name);
            Count { name: count.name.clone(), messages }
        });
        counts.filter(|count| count.messages > 0.0).collect()
    }

    fn add(&mut self, name: &str, messages: f64) {
        self.messages += messages;
        match self.by_type.binary_search_by(|count| count.name.as_str().cmp(name)) {
            Ok(place) => self.by_type[place].messages += messages,
            Err(place) => {
                self.by_type.insert(place, Count { name: name.to_owned(), messages });
            }
        }
    }
}

/// Reads and sums the metrics of all daemons.
///
/// # Errors
///
/// `Unreachable` if one cannot be read.
pub fn read_all(admins: &[SocketAddr]) -> Result<Reading, Fault> {
    let mut reading = Reading::default();
    for admin in admins {
        let text = get(*admin, "/metrics")?;
        each(&text, MESSAGES, |labels, value| {
            if is_counted(labels) {
                reading.add(type_of(labels), value);
            }
        });
    }
    Ok(reading)
}

/// Gets a text.
///
/// # Errors
///
/// `Unreachable` if there is no response with status 200.
pub fn get(address: SocketAddr, path: &str) -> Result<String, Fault> {
    let fault = |error: ureq::Error| Fault::Unreachable(address, error.to_string());
    let config = Agent::config_builder().timeout_global(Some(TIMEOUT)).build();
    let agent = Agent::new_with_config(config);
    let mut response = agent.get(format!("http://{address}{path}")).call().map_err(fault)?;
    response.body_mut().with_config().limit(1 << 30).read_to_string().map_err(fault)
}

/// Messages that an entry sent, and those that it received from sidecars.
pub fn messages(text: &str) -> f64 {
    sum(text, MESSAGES, is_counted)
}

fn is_counted(labels: &str) -> bool {
    let from_sidecar = FROM_SIDECARS.contains(&type_of(labels));
    labels.contains("direction=\"sent\"") || from_sidecar
}

fn type_of(labels: &str) -> &str {
    let rest = labels.split_once("type=\"").map_or("", |(_, rest)| rest);
    rest.split('"').next().unwrap_or_default()
}

/// Sums the samples of a metric in Prometheus' text format whose labels satisfy a condition.
pub fn sum(text: &str, name: &str, counts: impl Fn(&str) -> bool) -> f64 {
    let mut total = 0.0;
    each(text, name, |labels, value| {
        if counts(labels) {
            total += value;
        }
    });
    total
}

/// Calls a function with the labels and the value of each sample of a metric.
fn each(text: &str, name: &str, mut take: impl FnMut(&str, f64)) {
    for line in text.lines().filter(|line| !line.starts_with('#')) {
        let Some(rest) = line.strip_prefix(name) else { continue };
        // The name may be the start of a longer one.
        if !rest.starts_with(['{', ' ']) {
            continue;
        }
        let (labels, value) = rest.rsplit_once('}').unwrap_or(("", rest));
        let value = value.split_whitespace().next().and_then(|value| value.parse().ok());
        if let Some(value) = value {
            take(labels, value);
        }
    }
}
