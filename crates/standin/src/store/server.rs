//! HTTP server of the store.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, ToSocketAddrs},
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use displaydoc::Display;
use serde::{de::DeserializeOwned, Serialize};
use tiny_http::{Header, Method, Request, Response};

use super::{
    control::{Control, Counters, Faults, Lost, Mode},
    gateway::{
        Error, GrantRequest, Int, KeepaliveRequest, LeaseResponse, RangeRequest, Streamed,
        TxnRequest, WatchRequest, WatchResponse,
    },
    keyspace::Keyspace,
};

/// Limit on a request body, in bytes: enough for a value of one megabyte in base64 and the other
/// fields.
const MAX_BODY_BYTES: u64 = 2 << 20;
/// Upper bound of the interval at which waiting calls and watches check the state, in
/// milliseconds.
const MAX_STEP_MS: u64 = 1_000;
/// Timeout of [`Server::wait_for`], in milliseconds.
const COUNTERS_WAIT_MS: u64 = 30_000;
/// The gateway's error code for an invalid argument.
const INVALID_ARGUMENT: u32 = 3;
/// The gateway's error code for a path that does not exist.
const NOT_FOUND: u32 = 5;
/// The gateway's error code for a store without a leader.
const UNAVAILABLE: u32 = 14;

/// Reason why the server could not be started.
#[derive(Debug, Display)]
pub enum Fault {
    /// {0} is not a loopback address
    NotLoopback(String),
    /// could not listen: {0}
    Listen(String),
}

impl std::error::Error for Fault {}

#[derive(Debug, Default)]
struct State {
    keyspace: Keyspace,
    faults: Faults,
    counters: Counters,
    stopped: bool,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    started: Instant,
}

/// Answer to a call.
enum Answer {
    /// HTTP status and JSON body.
    Json(u16, Vec<u8>),
    Lost(Lost),
    Watch(WatchRequest),
}

/// A running store. Dropping it stops the server.
pub struct Server {
    address: SocketAddr,
    shared: Arc<Shared>,
    http: Arc<tiny_http::Server>,
    thread: Option<JoinHandle<()>>,
}

impl Server {
    /// Listens on a loopback address such as `127.0.0.1:0` and answers calls.
    ///
    /// # Errors
    ///
    /// Fails if the address is not a loopback address or is in use.
    pub fn open(address: &str) -> Result<Self, Fault> {
        let listen_fault = |error: &dyn std::fmt::Display| Fault::Listen(error.to_string());
        let mut addresses = address.to_socket_addrs().map_err(|error| listen_fault(&error))?;
        if !addresses.all(|address| address.ip().is_loopback()) {
            return Err(Fault::NotLoopback(address.to_owned()));
        }
        let http =
            Arc::new(tiny_http::Server::http(address).map_err(|error| listen_fault(&error))?);
        let Some(address) = http.server_addr().to_ip() else {
            return Err(Fault::NotLoopback(address.to_owned()));
        };
        let shared = Arc::new(Shared {
            state: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
        });
        let (accepting, serving) = (Arc::clone(&http), Arc::clone(&shared));
        let thread = thread::spawn(move || accept(&accepting, &serving));
        Ok(Self { address, shared, http, thread: Some(thread) })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the base URL of the gateway, such as `http://127.0.0.1:2379`.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Changes the faults, like `POST /control`.
    pub fn control(&self, control: &Control) {
        self.shared.control(control);
    }

    /// Returns the counters, like `GET /counters`.
    pub fn counters(&self) -> Counters {
        self.shared.lock().counters
    }

    /// Waits until the counters satisfy a condition. Returns false if they do not within
    /// `COUNTERS_WAIT_MS`.
    #[must_use]
    pub fn wait_for(&self, mut condition: impl FnMut(&Counters) -> bool) -> bool {
        let state = self.shared.lock();
        let waiting = |state: &mut State| !condition(&state.counters);
        let limit = Duration::from_millis(COUNTERS_WAIT_MS);
        let wait = self.shared.changed.wait_timeout_while(state, limit, waiting);
        !wait.unwrap_or_else(PoisonError::into_inner).1.timed_out()
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.shared.lock().stopped = true;
        self.shared.changed.notify_all();
        self.http.unblock();
        if let Some(thread) = self.thread.take() {
            drop(thread.join());
        }
    }
}

/// Serves each call on its own thread, because hung calls and watches occupy a thread for long.
fn accept(http: &tiny_http::Server, shared: &Arc<Shared>) {
    while let Ok(request) = http.recv() {
        let shared = Arc::clone(shared);
        thread::spawn(move || {
            if let Err(error) = serve(&shared, request) {
                log::debug!("response was not sent: {error}");
            }
        });
    }
}

fn serve(shared: &Shared, mut request: Request) -> io::Result<()> {
    let mut body = Vec::new();
    request.as_reader().take(MAX_BODY_BYTES).read_to_end(&mut body)?;
    let path = request.url().to_owned();
    let answer = match (request.method(), path.as_str()) {
        (Method::Get, "/counters") => json(&shared.lock().counters),
        (Method::Post, "/control") => match serde_json::from_slice(&body) {
            Ok(control) => {
                shared.control(&control);
                json(&control)
            }
            Err(error) => error_response(400, INVALID_ARGUMENT, &error.to_string()),
        },
        (Method::Post, path) => shared.call(path, &body),
        _ => error_response(404, NOT_FOUND, "Not Found"),
    };
    match answer {
        Answer::Json(status, body) => {
            let header = Header::from_bytes("Content-Type", "application/json")
                .map_err(|()| io::ErrorKind::InvalidData)?;
            let response = Response::from_data(body).with_status_code(status).with_header(header);
            request.respond(response)
        }
        Answer::Lost(Lost::Cut) => {
            let mut writer = request.into_writer();
            // An invalid chunk length lets the caller detect the broken response at once.
            writer.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\ncut\r\n")?;
            writer.flush()
        }
        Answer::Lost(Lost::Silent) => {
            shared.wait_until_stopped();
            Ok(())
        }
        Answer::Watch(watch) => shared.stream(&watch, &mut *request.into_writer()),
    }
}

fn json(body: &impl Serialize) -> Answer {
    match serde_json::to_vec(body) {
        Ok(body) => Answer::Json(200, body),
        Err(error) => error_response(500, INVALID_ARGUMENT, &error.to_string()),
    }
}

fn error_response(status: u16, code: u32, message: &str) -> Answer {
    let body = Error { error: message, code, message };
    Answer::Json(status, serde_json::to_vec(&body).unwrap_or_default())
}

/// Parses a request body and passes it to `call`; answers with status 400 if it is invalid.
fn parse_and_call<T: DeserializeOwned>(body: &[u8], call: impl FnOnce(T) -> Answer) -> Answer {
    match serde_json::from_slice(body) {
        Ok(request) => call(request),
        Err(error) => error_response(400, INVALID_ARGUMENT, &error.to_string()),
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn control(&self, control: &Control) {
        self.lock().faults.apply(control);
        self.changed.notify_all();
    }

    fn wait_until_stopped(&self) {
        let waiting = |state: &mut State| !state.stopped;
        drop(self.changed.wait_while(self.lock(), waiting));
    }

    fn wait<'a>(&self, state: MutexGuard<'a, State>, ms: u64) -> MutexGuard<'a, State> {
        let wait = self.changed.wait_timeout(state, Duration::from_millis(ms));
        wait.unwrap_or_else(PoisonError::into_inner).0
    }

    fn count(&self, path: &str) {
        let counters = &mut self.lock().counters;
        match path {
            "/v3/kv/range" => counters.range += 1,
            "/v3/kv/txn" => counters.txn += 1,
            "/v3/lease/grant" => counters.lease_grant += 1,
            "/v3/lease/keepalive" => counters.lease_keepalive += 1,
            "/v3/watch" => counters.watch += 1,
            _ => {}
        }
        self.changed.notify_all();
    }

    /// Waits until the delay has passed and calls are not hung. Returns the locked state, or
    /// `None` if the call is to be refused.
    fn admit(&self) -> Option<MutexGuard<'_, State>> {
        let mut state = self.lock();
        let received_ms = self.now_ms();
        loop {
            let now_ms = self.now_ms();
            let ready_ms = received_ms + state.faults.delay_ms;
            if state.stopped || state.faults.mode == Mode::Refuse {
                return None;
            }
            if state.faults.mode == Mode::Up && ready_ms <= now_ms {
                state.keyspace.expire(now_ms);
                return Some(state);
            }
            let wait_ms = ready_ms.saturating_sub(now_ms).clamp(1, MAX_STEP_MS);
            state = self.wait(state, wait_ms);
        }
    }

    fn call(&self, path: &str, body: &[u8]) -> Answer {
        self.count(path);
        let Some(mut state) = self.admit() else {
            return error_response(503, UNAVAILABLE, "etcdserver: no leader");
        };
        let now_ms = self.now_ms();
        match path {
            "/v3/kv/range" => {
                parse_and_call(body, |range: RangeRequest| json(&state.keyspace.range(&range)))
            }
            "/v3/kv/txn" => parse_and_call(body, |txn: TxnRequest| self.txn(&mut state, &txn)),
            "/v3/lease/grant" => parse_and_call(body, |grant: GrantRequest| {
                let id = Int(state.keyspace.grant(grant.id.0, grant.ttl.0, now_ms));
                json(&LeaseResponse { header: state.keyspace.header(), id, ttl: grant.ttl })
            }),
            "/v3/lease/keepalive" => parse_and_call(body, |KeepaliveRequest { id }| {
                let ttl = Int(state.keyspace.keepalive(id.0, now_ms));
                let result = LeaseResponse { header: state.keyspace.header(), id, ttl };
                json(&Streamed { result })
            }),
            "/v3/watch" => parse_and_call(body, Answer::Watch),
            _ => error_response(404, NOT_FOUND, "Not Found"),
        }
    }

    fn txn(&self, state: &mut State, txn: &TxnRequest) -> Answer {
        let (response, wrote) = state.keyspace.txn(txn);
        if wrote {
            state.counters.writes += 1;
            self.changed.notify_all();
        }
        match wrote.then(|| state.faults.consume_loss()).flatten() {
            Some(lost) => Answer::Lost(lost),
            None => json(&response),
        }
    }

    /// Streams the events of a watch until the caller disconnects, calls are refused or the server
    /// stops.
    fn stream(&self, watch: &WatchRequest, writer: &mut dyn Write) -> io::Result<()> {
        let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\
                    Transfer-Encoding: chunked\r\n\r\n";
        writer.write_all(head.as_bytes())?;
        let request = &watch.create_request;
        let mut next_revision = self.lock().keyspace.watch_start(request);
        let header = self.lock().keyspace.header();
        write_object(writer, WatchResponse { header, created: true, events: Vec::new() })?;
        while let Some(mut state) = self.admit() {
            let events = state.keyspace.events(request, next_revision);
            let header = state.keyspace.header();
            if let Some(last) = events.last() {
                next_revision = last.kv.mod_revision.0 + 1;
                drop(state);
                write_object(writer, WatchResponse { header, created: false, events })?;
                continue;
            }
            let now_ms = self.now_ms();
            let expiry_ms = state.keyspace.next_expiry_ms().unwrap_or(u64::MAX);
            let wait_ms = expiry_ms.saturating_sub(now_ms).clamp(1, MAX_STEP_MS);
            state = self.wait(state, wait_ms);
            drop(state);
        }
        writer.write_all(b"0\r\n\r\n")?;
        writer.flush()
    }
}

/// Writes an object as one chunk of a chunked response.
fn write_object(writer: &mut dyn Write, result: WatchResponse) -> io::Result<()> {
    let mut line = serde_json::to_vec(&Streamed { result })?;
    line.push(b'\n');
    write!(writer, "{:x}\r\n", line.len())?;
    writer.write_all(&line)?;
    writer.write_all(b"\r\n")?;
    writer.flush()
}
