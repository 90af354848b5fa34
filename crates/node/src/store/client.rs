//! Calls to the store.

use std::{io, time::Duration};

use serde::{de::DeserializeOwned, Serialize};
use ureq::{http::Response, typestate::WithBody, Agent, Body, RequestBuilder, Timeout};

use super::{
    gateway::{
        prefix_end, Base64, Compare, CreateRequest, Operation, PutRequest, RangeRequest,
        RangeResponse, TxnRequest, TxnResponse, WatchRequest,
    },
    watch::Watch,
    Fault, Listing, Stored, Swap,
};

/// Largest answer, in bytes: the documents of about a hundred services at their largest size, in
/// base64.
const ANSWER_BYTES: u64 = 128 << 20;
/// Longest part of an error's body that is shown, in bytes.
const SHOWN_BYTES: u64 = 200;

/// Time limits of calls.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// To open a connection, in milliseconds.
    pub connect_ms: u64,
    /// From the start of a call to the end of its answer, in milliseconds; for a watch to the start
    /// of its answer. Well above the answer time of a store that is slow but works.
    pub call_ms: u64,
    /// Life of a watch from the start of its answer, in milliseconds. A watch is renewed well within the time in which a
    /// configuration must be in effect, because a silent connection cannot be told from a quiet one.
    pub watch_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self { connect_ms: 1_000, call_ms: 5_000, watch_ms: 3_000 }
    }
}

/// Access to one store. Each call opens its own connection, so that no call is lost on a pooled
/// connection that has gone silent.
#[derive(Debug, Clone)]
pub struct Client {
    agent: Agent,
    url: String,
    limits: Limits,
}

fn shown(error: &impl ToString) -> String {
    error.to_string().replace(['\n', '\r'], " ")
}

/// True if the request that failed in this way cannot have reached the other side.
pub fn is_unsent(error: &ureq::Error) -> bool {
    use ureq::Error;
    match error {
        Error::HostNotFound
        | Error::BadUri(_)
        | Error::Http(_)
        | Error::ConnectionFailed
        | Error::RequireHttpsOnly(_)
        | Error::TlsRequired
        | Error::Timeout(Timeout::Resolve | Timeout::Connect) => true,
        Error::Io(io) => io.kind() == io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}

fn sort(error: &ureq::Error) -> Fault {
    match is_unsent(error) {
        true => Fault::Unavailable(shown(error)),
        false => Fault::Unanswered(shown(error)),
    }
}

/// Sorts an answer by its status. The store answers 4xx without an effect; after 5xx a write may
/// still be carried out by its replicas.
fn accept(mut response: Response<Body>) -> Result<Response<Body>, Fault> {
    let status = response.status();
    if status.is_success() {
        return Ok(response);
    }
    let body = response.body_mut().with_config().limit(SHOWN_BYTES).read_to_string();
    let reason = shown(&format!("status {status}: {}", body.unwrap_or_default()));
    match status.is_client_error() {
        true => Err(Fault::Rejected(reason)),
        false => Err(Fault::Unanswered(reason)),
    }
}

impl Client {
    /// Prepares access to the gateway at `url`, such as `http://10.0.0.1:2379`. Makes no call.
    pub fn open(url: &str, limits: Limits) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .max_idle_connections(0)
            .proxy(None)
            .timeout_connect(Some(Duration::from_millis(limits.connect_ms)))
            .build();
        Self { agent: config.into(), url: url.trim_end_matches('/').to_owned(), limits }
    }

    fn send(
        &self,
        call: RequestBuilder<WithBody>,
        request: &impl Serialize,
    ) -> Result<Response<Body>, Fault> {
        let body = serde_json::to_vec(request).map_err(|error| Fault::Rejected(shown(&error)))?;
        let call = call.header("Content-Type", "application/json");
        accept(call.send(&body[..]).map_err(|error| sort(&error))?)
    }

    fn call<T: DeserializeOwned>(&self, path: &str, request: &impl Serialize) -> Result<T, Fault> {
        let limit = Duration::from_millis(self.limits.call_ms);
        let call = self.agent.post(format!("{}{path}", self.url)).config();
        let mut response = self.send(call.timeout_global(Some(limit)).build(), request)?;
        let body = response.body_mut().with_config().limit(ANSWER_BYTES).read_to_vec();
        let body = body.map_err(|error| Fault::Unanswered(shown(&error)))?;
        serde_json::from_slice(&body).map_err(|error| Fault::Unanswered(shown(&error)))
    }

    /// Reads a value.
    ///
    /// # Errors
    ///
    /// Any `Fault`; the value is then unknown.
    pub fn get(&self, key: &str) -> Result<Option<Stored>, Fault> {
        let request = RangeRequest { key: Base64(key.as_bytes()), range_end: None };
        let response: RangeResponse = self.call("/v3/kv/range", &request)?;
        Ok(response.kvs.into_iter().next().map(Stored::from))
    }

    /// Reads all values whose keys start with a prefix.
    ///
    /// # Errors
    ///
    /// Any `Fault`; the values are then unknown.
    pub fn list(&self, prefix: &str) -> Result<Listing, Fault> {
        let end = prefix_end(prefix);
        let request =
            RangeRequest { key: Base64(prefix.as_bytes()), range_end: Some(Base64(&end)) };
        let response: RangeResponse = self.call("/v3/kv/range", &request)?;
        let values = response.kvs.into_iter().map(Stored::from).collect();
        Ok(Listing { values, revision: response.header.revision })
    }

    /// Writes a value if the present one is of the expected `mod_revision`; 0 for a key that does
    /// not exist.
    ///
    /// # Errors
    ///
    /// `Unanswered` if the value may have been written; otherwise it was not.
    pub fn put_if(&self, key: &str, value: &str, mod_revision: u64) -> Result<Swap, Fault> {
        let key = Base64(key.as_bytes());
        let compare =
            Compare { key, target: "MOD", result: "EQUAL", mod_revision: mod_revision.to_string() };
        let put = PutRequest { key, value: Base64(value.as_bytes()) };
        let request = TxnRequest {
            compare: [compare],
            success: [Operation::RequestPut(put)],
            failure: [Operation::RequestRange(RangeRequest { key, range_end: None })],
        };
        let response: TxnResponse = self.call("/v3/kv/txn", &request)?;
        if response.succeeded {
            return Ok(Swap::Written(response.header.revision));
        }
        let ranges = response.responses.into_iter().filter_map(|one| one.response_range);
        let present = ranges.flat_map(|range| range.kvs).next();
        Ok(Swap::Changed(present.map(Stored::from)))
    }

    /// Watches all keys with a prefix for values written after the revision `after` of the store.
    /// The watch ends by itself after `Limits::watch_ms`.
    ///
    /// # Errors
    ///
    /// Any `Fault` if the store does not accept the watch.
    pub fn watch(&self, prefix: &str, after: u64) -> Result<Watch, Fault> {
        let end = prefix_end(prefix);
        let create_request = CreateRequest {
            key: Base64(prefix.as_bytes()),
            range_end: Base64(&end),
            start_revision: (after + 1).to_string(),
        };
        let request = WatchRequest { create_request };
        let answer = Duration::from_millis(self.limits.call_ms);
        let life = Duration::from_millis(self.limits.watch_ms);
        let call = self.agent.post(format!("{}/v3/watch", self.url)).config();
        let call = call.timeout_recv_response(Some(answer)).timeout_recv_body(Some(life));
        let response = self.send(call.build(), &request)?;
        Ok(Watch::new(response.into_body(), after))
    }
}
