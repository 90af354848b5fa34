//! Calls to entries and sidecars.

use std::time::Duration;

use kingcup_node::store::is_unsent;
use ureq::{http::Response, Agent, Body};

/// Longest time to open a connection.
const CONNECT: Duration = Duration::from_secs(2);
/// Largest response body, in bytes.
const BODY_BYTES: u64 = 64 << 20;

/// A response.
#[derive(Debug)]
pub(super) struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
}

/// Why there is no response.
#[derive(Debug)]
pub(super) struct Failure {
    /// True if the request may have reached the other side.
    pub sent: bool,
    pub reason: String,
}

/// One header with its value.
#[derive(Debug, Clone, Copy)]
pub(super) struct Header<'a> {
    pub name: &'static str,
    pub value: &'a str,
}

fn agent(limit: Duration) -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_idle_connections(0)
        .proxy(None)
        .timeout_connect(Some(CONNECT))
        .timeout_global(Some(limit));
    config.build().into()
}

fn url(address: &str, path: &str) -> String {
    match address.contains("://") {
        true => format!("{}{path}", address.trim_end_matches('/')),
        false => format!("http://{address}{path}"),
    }
}

fn answer(result: Result<Response<Body>, ureq::Error>) -> Result<Answer, Failure> {
    let broken = |error: ureq::Error| Failure { sent: true, reason: error.to_string() };
    let mut response =
        result.map_err(|error| Failure { sent: !is_unsent(&error), reason: error.to_string() })?;
    let status = response.status().as_u16();
    let body = response.body_mut().with_config().limit(BODY_BYTES).read_to_vec();
    Ok(Answer { status, body: body.map_err(broken)? })
}

/// Sends a GET request.
pub(super) fn get(address: &str, path: &str, limit: Duration) -> Result<Answer, Failure> {
    answer(agent(limit).get(url(address, path)).call())
}

/// Sends a POST request.
pub(super) fn post(
    address: &str,
    path: &str,
    body: &[u8],
    header: Option<Header<'_>>,
    limit: Duration,
) -> Result<Answer, Failure> {
    let mut request = agent(limit).post(url(address, path));
    request = request.header("Content-Type", "application/json");
    if let Some(header) = header {
        request = request.header(header.name, header.value);
    }
    answer(request.send(body))
}
