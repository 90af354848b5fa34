//! Reads the daemons' metrics.

use std::{net::SocketAddr, time::Duration};

use ureq::Agent;

use super::Fault;

/// Counter of messages that a daemon sent to other processes of the system, by type.
pub const MESSAGES: &str = "kingcup_messages_sent_total";
/// Longest wait for a daemon's metrics.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Sums over several daemons.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Reading {
    /// Messages sent.
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
        reading.messages += sum(&text, MESSAGES);
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

/// Sums all samples of a metric in Prometheus' text format, over all labels.
pub fn sum(text: &str, name: &str) -> f64 {
    let samples = text.lines().filter(|line| !line.starts_with('#'));
    let values = samples.filter_map(|line| {
        let rest = line.strip_prefix(name)?;
        // The name may be the start of a longer one.
        if !rest.starts_with(['{', ' ']) {
            return None;
        }
        let value = match rest.rsplit_once('}') {
            Some((_, value)) => value,
            None => rest,
        };
        value.split_whitespace().next()?.parse::<f64>().ok()
    });
    values.sum()
}
