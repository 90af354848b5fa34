//! Calls to the store's gateway.

use std::{io, time::Duration};

use serde::{de::DeserializeOwned, Serialize};
use ureq::{http::Response, typestate::WithBody, Agent, Body, RequestBuilder, Timeout};

use super::{
    gateway::{
        prefix_end, Base64, Compare, CreateRequest, DeleteRequest, Operation, PutRequest,
        RangeRequest, RangeResponse, TxnRequest, TxnResponse, WatchRequest,
    },
    watch::Watch,
    Fault, Listing, Stored, Swap,
};

/// Maximum size of a response, in bytes. Holds the base64-encoded documents of about 100 services
/// at their maximum size.
const MAX_RESPONSE_BYTES: u64 = 128 << 20;
/// Maximum size of an error response's body in an error message, in bytes.
const MAX_ERROR_BYTES: u64 = 200;

/// Time limits of calls.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Time to open a connection, in milliseconds.
    pub connect_ms: u64,
    /// Time from the start of a call to the end of its response, or for a watch to the start of its
    /// response, in milliseconds. Must be well above the response time of a store that is slow but
    /// works.
    pub call_ms: u64,
    /// Lifetime of a watch from the start of its response, in milliseconds. A broken connection
    /// cannot be told from one without changes, so a watch must be renewed well within the time in
    /// which a new configuration must take effect.
    pub watch_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self { connect_ms: 1_000, call_ms: 5_000, watch_ms: 3_000 }
    }
}

/// Client of one store. Each call opens its own connection, so that no call is lost on a pooled
/// connection that has broken without notice.
#[derive(Debug, Clone)]
pub struct Client {
    agent: Agent,
    url: String,
    limits: Limits,
}

fn single_line(error: &impl ToString) -> String {
    error.to_string().replace(['\n', '\r'], " ")
}

/// Returns true if a request that failed with this error cannot have reached the server.
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

/// Converts an error of the HTTP client by whether the request may have been sent.
fn classify_error(error: &ureq::Error) -> Fault {
    match is_unsent(error) {
        true => Fault::Unavailable(single_line(error)),
        false => Fault::Unanswered(single_line(error)),
    }
}

/// Converts an error status to a fault. A call with a 4xx response had no effect; after a 5xx
/// response the store's replicas may still perform a write.
fn check_status(mut response: Response<Body>) -> Result<Response<Body>, Fault> {
    let status = response.status();
    if status.is_success() {
        return Ok(response);
    }
    let body = response.body_mut().with_config().limit(MAX_ERROR_BYTES).read_to_string();
    let reason = single_line(&format!("status {status}: {}", body.unwrap_or_default()));
    match status.is_client_error() {
        true => Err(Fault::Rejected(reason)),
        false => Err(Fault::Unanswered(reason)),
    }
}

impl Client {
    /// Creates a client of the gateway at `url`, such as `http://10.0.0.1:2379`. Does not connect.
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
        let body =
            serde_json::to_vec(request).map_err(|error| Fault::Rejected(single_line(&error)))?;
        let call = call.header("Content-Type", "application/json");
        check_status(call.send(&body[..]).map_err(|error| classify_error(&error))?)
    }

    fn call<T: DeserializeOwned>(&self, path: &str, request: &impl Serialize) -> Result<T, Fault> {
        let timeout = Duration::from_millis(self.limits.call_ms);
        let call = self.agent.post(format!("{}{path}", self.url)).config();
        let mut response = self.send(call.timeout_global(Some(timeout)).build(), request)?;
        let body = response.body_mut().with_config().limit(MAX_RESPONSE_BYTES).read_to_vec();
        let body = body.map_err(|error| Fault::Unanswered(single_line(&error)))?;
        serde_json::from_slice(&body).map_err(|error| Fault::Unanswered(single_line(&error)))
    }

    /// Reads the value of a key; `None` if the key does not exist.
    ///
    /// # Errors
    ///
    /// Returns the reason why the call failed. The value is then unknown.
    pub fn get(&self, key: &str) -> Result<Option<Stored>, Fault> {
        let request = RangeRequest { key: Base64(key.as_bytes()), range_end: None };
        let response: RangeResponse = self.call("/v3/kv/range", &request)?;
        Ok(response.kvs.into_iter().next().map(Stored::from))
    }

    /// Reads all values whose keys start with a prefix.
    ///
    /// # Errors
    ///
    /// Returns the reason why the call failed. The values are then unknown.
    pub fn list(&self, prefix: &str) -> Result<Listing, Fault> {
        let end = prefix_end(prefix);
        let request =
            RangeRequest { key: Base64(prefix.as_bytes()), range_end: Some(Base64(&end)) };
        let response: RangeResponse = self.call("/v3/kv/range", &request)?;
        let values = response.kvs.into_iter().map(Stored::from).collect();
        Ok(Listing { values, revision: response.header.revision })
    }

    /// Writes a value if the stored one has the given `mod_revision`; 0 means that the key must not
    /// exist.
    ///
    /// # Errors
    ///
    /// Returns `Unanswered` if the value may have been written. After any other fault it was not.
    pub fn put_if(&self, key: &str, value: &str, mod_revision: u64) -> Result<Swap, Fault> {
        let put = PutRequest { key: Base64(key.as_bytes()), value: Base64(value.as_bytes()) };
        self.change_if(key, Operation::Put(put), mod_revision)
    }

    /// Deletes a key if its value has the given `mod_revision`.
    ///
    /// # Errors
    ///
    /// Returns `Unanswered` if the key may have been deleted. After any other fault it was not.
    pub fn delete_if(&self, key: &str, mod_revision: u64) -> Result<Swap, Fault> {
        let delete = DeleteRequest { key: Base64(key.as_bytes()) };
        self.change_if(key, Operation::DeleteRange(delete), mod_revision)
    }

    fn change_if(
        &self,
        key: &str,
        change: Operation<'_>,
        mod_revision: u64,
    ) -> Result<Swap, Fault> {
        let key = Base64(key.as_bytes());
        let compare =
            Compare { key, target: "MOD", result: "EQUAL", mod_revision: mod_revision.to_string() };
        let request = TxnRequest {
            compare: [compare],
            success: [change],
            failure: [Operation::Range(RangeRequest { key, range_end: None })],
        };
        let response: TxnResponse = self.call("/v3/kv/txn", &request)?;
        if response.succeeded {
            return Ok(Swap::Written(response.header.revision));
        }
        let ranges =
            response.responses.into_iter().filter_map(|operation| operation.response_range);
        let stored = ranges.flat_map(|range| range.kvs).next();
        Ok(Swap::Changed(stored.map(Stored::from)))
    }

    /// Watches all keys with a prefix for values written after revision `after` of the store. The
    /// watch ends after `Limits::watch_ms`.
    ///
    /// # Errors
    ///
    /// Returns the reason why the call failed if the store does not accept the watch.
    pub fn watch(&self, prefix: &str, after: u64) -> Result<Watch, Fault> {
        let end = prefix_end(prefix);
        let create_request = CreateRequest {
            key: Base64(prefix.as_bytes()),
            range_end: Base64(&end),
            start_revision: (after + 1).to_string(),
        };
        let request = WatchRequest { create_request };
        let response_timeout = Duration::from_millis(self.limits.call_ms);
        let lifetime = Duration::from_millis(self.limits.watch_ms);
        let call = self.agent.post(format!("{}/v3/watch", self.url)).config();
        let call =
            call.timeout_recv_response(Some(response_timeout)).timeout_recv_body(Some(lifetime));
        let response = self.send(call.build(), &request)?;
        Ok(Watch::new(response.into_body(), after))
    }
}
