//! HTTP client of the harness.

use std::{net::SocketAddr, time::Duration};

use ureq::Agent;

/// Maximum size of a response body, in bytes.
const BODY_BYTES: u64 = 64 << 20;

/// A completely received HTTP response.
#[derive(Debug, Clone)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// `Retry-After` header, in seconds.
    pub retry_after_s: Option<u64>,
    /// Body.
    pub body: Vec<u8>,
}

/// Returns an agent that opens a connection for each call. A stopping server may close a reused
/// connection just as the next request is written to it, which a caller could not tell from a lost
/// request.
pub fn agent(timeout: Duration) -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(timeout))
        .max_idle_connections(0)
        .build();
    Agent::new_with_config(config)
}

/// Sends a `GET` request.
///
/// # Errors
///
/// If the response does not arrive completely.
pub fn get(agent: &Agent, address: SocketAddr, path: &str) -> Result<Reply, ureq::Error> {
    read(agent.get(format!("http://{address}{path}")).call()?)
}

/// Sends a `POST` request with headers and a body.
///
/// # Errors
///
/// If the response does not arrive completely.
pub fn post(
    agent: &Agent,
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Result<Reply, ureq::Error> {
    let mut request = agent.post(format!("http://{address}{path}"));
    request = request.header("Content-Type", "application/json");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    read(request.send(body)?)
}

fn read(mut response: ureq::http::Response<ureq::Body>) -> Result<Reply, ureq::Error> {
    let status = response.status().as_u16();
    let header = response.headers().get("Retry-After");
    let retry_after_s = header.and_then(|value| value.to_str().ok()?.parse().ok());
    let body = response.body_mut().with_config().limit(BODY_BYTES).read_to_vec()?;
    Ok(Reply { status, retry_after_s, body })
}
