//! HTTP client for calls to entries and sidecars.

use std::time::Duration;

use kingcup_node::store::is_unsent;
use ureq::{http::Response, Agent, Body};

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of a response body, in bytes.
const BODY_BYTES: u64 = 64 << 20;

/// A response whose body was read whole.
#[derive(Debug)]
pub(super) struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
}

/// Reason why there is no whole response.
#[derive(Debug)]
pub(super) struct Failure {
    /// True if the server may have received the request.
    pub maybe_received: bool,
    pub reason: String,
}

/// A header field.
#[derive(Debug, Clone, Copy)]
pub(super) struct Header<'a> {
    pub name: &'static str,
    pub value: &'a str,
}

/// Returns a client for one request, without redirects, proxies or idle connections.
fn agent(timeout: Duration) -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_idle_connections(0)
        .proxy(None)
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .timeout_global(Some(timeout));
    config.build().into()
}

/// Returns the URL of a path. An address without a scheme gets `http`.
fn url(address: &str, path: &str) -> String {
    match address.contains("://") {
        true => format!("{}{path}", address.trim_end_matches('/')),
        false => format!("http://{address}{path}"),
    }
}

/// Reads the response to a request.
fn answer(result: Result<Response<Body>, ureq::Error>) -> Result<Answer, Failure> {
    let failure = |error: ureq::Error| Failure { maybe_received: true, reason: error.to_string() };
    let mut response = result.map_err(|error| Failure {
        maybe_received: !is_unsent(&error),
        reason: error.to_string(),
    })?;
    let status = response.status().as_u16();
    let body = response.body_mut().with_config().limit(BODY_BYTES).read_to_vec();
    Ok(Answer { status, body: body.map_err(failure)? })
}

/// Sends a GET request.
pub(super) fn get(address: &str, path: &str, timeout: Duration) -> Result<Answer, Failure> {
    answer(agent(timeout).get(url(address, path)).call())
}

/// Sends a POST request.
pub(super) fn post(
    address: &str,
    path: &str,
    body: &[u8],
    header: Option<Header<'_>>,
    timeout: Duration,
) -> Result<Answer, Failure> {
    let mut request = agent(timeout).post(url(address, path));
    request = request.header("Content-Type", "application/json");
    if let Some(header) = header {
        request = request.header(header.name, header.value);
    }
    answer(request.send(body))
}
