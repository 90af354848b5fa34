//! Reads the daemons' metrics.

use std::{net::SocketAddr, time::Duration};

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

/// Sums over several daemons.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Reading {
    /// Messages between the processes of the system.
    pub messages: f64,
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
        reading.messages += messages(&text);
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
    let counts = |labels: &str| {
        let is = |label: &str, value: &str| labels.contains(&format!("{label}=\"{value}\""));
        let from_sidecar = FROM_SIDECARS.iter().any(|name| is("type", name));
        is("direction", "sent") || from_sidecar
    };
    sum(text, MESSAGES, counts)
}

/// Sums the samples of a metric in Prometheus' text format whose labels satisfy a condition.
pub fn sum(text: &str, name: &str, counts: impl Fn(&str) -> bool) -> f64 {
    let samples = text.lines().filter(|line| !line.starts_with('#'));
    let values = samples.filter_map(|line| {
        let rest = line.strip_prefix(name)?;
        // The name may be the start of a longer one.
        if !rest.starts_with(['{', ' ']) {
            return None;
        }
        let (labels, value) = rest.rsplit_once('}').unwrap_or(("", rest));
        let value = value.split_whitespace().next()?.parse::<f64>().ok()?;
        counts(labels).then_some(value)
    });
    values.sum()
}
