//! HTTP server of the upstream.

use std::{
    io::{self, Read},
    mem::ManuallyDrop,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    os::fd::FromRawFd,
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError, Weak},
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use displaydoc::Display;
use serde::Serialize;
use socket2::{Domain, Socket, Type};
use tiny_http::{Header, Method, Request, Response};

use super::{
    control::{Behaviour, Control},
    log::{Log, Row, Starts},
    task::{Answer, Task},
};

/// Limit on concurrent tasks: an upstream accepts 64 connections.
const MAX_TASKS: usize = 64;
/// Number of threads: one per task, and two for `/starts` and `/control`.
const THREADS: usize = MAX_TASKS + 2;
/// Limit on requests kept without a response; beyond it, the oldest is closed.
const MAX_HUNG: usize = 1024;
/// Number of file descriptors that are searched for connections.
const MAX_DESCRIPTORS: i32 = 4096;
/// Limit on the checks, one millisecond apart, whether a dropped listener is closed.
const CLOSE_ATTEMPTS: u64 = 1_000;
/// Limit on a request body, in bytes.
const MAX_BODY_BYTES: u64 = 8 << 20;
/// Interval between attempts to listen again, in milliseconds.
const LISTEN_RETRY_MS: u64 = 10;

/// Interval of connections to the server's own port, in milliseconds; see [`wake_queue`].
const SELF_CONNECT_MS: u64 = 20;
/// Interval of connections to the server's own port while requests arrive, in milliseconds.
///
/// It is shorter because a request may be the first one on its connection, and other connections
/// opened at the same time may be queued.
const MIN_SELF_CONNECT_MS: u64 = 1;

/// Reason why the server could not be started.
#[derive(Debug, Display)]
pub enum Fault {
    /// {0} is not a loopback address
    NotLoopback(SocketAddr),
    /// could not listen: {0}
    Listen(io::Error),
}

impl std::error::Error for Fault {}

#[derive(Default)]
struct State {
    behaviour: Behaviour,
    log: Log,
    running: usize,
    /// Requests kept without a response, oldest first.
    hung: Vec<Request>,
    /// Time for which connections are refused, counted from the closing of the listener.
    refuse_for: Option<Duration>,
    stopped: bool,
    /// Whether a task's request has arrived since the last connection to the server's own port.
    request_arrived: bool,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// A running upstream. Dropping it stops the server.
pub struct Server {
    address: SocketAddr,
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

impl Server {
    /// Listens on a loopback address; with port 0, on any free port.
    ///
    /// # Errors
    ///
    /// Fails if the address is not a loopback address or is in use.
    pub fn open(address: SocketAddr) -> Result<Self, Fault> {
        if !address.ip().is_loopback() {
            return Err(Fault::NotLoopback(address));
        }
        let listener = TcpListener::bind(address).map_err(Fault::Listen)?;
        let address = listener.local_addr().map_err(Fault::Listen)?;
        let http = listen(listener).map_err(Fault::Listen)?;
        let shared = Arc::new(Shared::default());
        let serving = shared.clone();
        let thread = thread::spawn(move || serve(address, http, &serving));
        let waking = shared.clone();
        thread::spawn(move || wake_queue(address, &waking));
        Ok(Self { address, shared, thread: Some(thread) })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the settings, like `POST /control`.
    pub fn control(&self, control: &Control) {
        self.shared.control(control);
    }

    /// Returns the recorded starts, like `GET /starts`.
    pub fn starts(&self) -> Vec<Row> {
        self.shared.lock().log.starts().starts.clone()
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.shared.lock().stopped = true;
        self.shared.changed.notify_all();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn listen(listener: TcpListener) -> io::Result<Arc<tiny_http::Server>> {
    tiny_http::Server::from_listener(listener, None).map(Arc::new).map_err(io::Error::other)
}

/// Opens and resets connections to the server's own port until the server is stopped.
///
/// `tiny_http` queues a connection for an idle thread even if that thread was just woken for
/// another one. The queued connection then waits until some connection ends, which never happens
/// with persistent connections: of 16 connections opened at once, 12 got no response. Each further
/// connection makes the library check its queue again.
fn wake_queue(address: SocketAddr, shared: &Shared) {
    let step = Duration::from_millis(SELF_CONNECT_MS);
    let mut state = shared.lock();
    while !state.stopped {
        state.request_arrived = false;
        drop(state);
        let _ = connect_and_reset(address, step);
        thread::sleep(Duration::from_millis(MIN_SELF_CONNECT_MS));
        state = shared.lock();
        if !state.request_arrived && !state.stopped {
            let waited = shared.changed.wait_timeout(state, step);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

/// Connects and resets the connection at once, so that no port remains in TIME_WAIT.
fn connect_and_reset(address: SocketAddr, timeout: Duration) -> io::Result<()> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_linger(Some(Duration::ZERO))?;
    socket.connect_timeout(&address.into(), timeout)
}

/// Serves requests until the server is stopped. Opens a new listener after each period in which
/// connections are refused.
fn serve(address: SocketAddr, mut http: Arc<tiny_http::Server>, shared: &Arc<Shared>) {
    loop {
        for _ in 0..THREADS {
            let (http, shared) = (Arc::downgrade(&http), shared.clone());
            thread::spawn(move || serve_requests(&http, &shared));
        }
        let stopped = shared.wait_for_change();
        for _ in 0..THREADS {
            http.unblock();
        }
        // The listener is closed once the last thread has returned from `recv`.
        drop(http);
        if stopped {
            return;
        }
        wait_until_closed(address);
        disconnect(address);
        shared.wait_while_refusing();
        http = loop {
            match TcpListener::bind(address).and_then(listen) {
                Ok(http) => break http,
                Err(_) => thread::sleep(Duration::from_millis(LISTEN_RETRY_MS)),
            }
        };
    }
}

/// Handles requests until the listener is closed. Holds no reference to the listener while a task
/// runs, so that a running task does not keep it open.
fn serve_requests(http: &Weak<tiny_http::Server>, shared: &Shared) {
    loop {
        let received = match http.upgrade() {
            Some(http) => http.recv(),
            None => return,
        };
        let Ok(request) = received else { return };
        if !shared.handle(request) {
            return;
        }
    }
}

/// Waits until a dropped listener has been closed by its own threads. A connection accepted before
/// that but missed by [`disconnect`] would get no response and never be closed.
fn wait_until_closed(address: SocketAddr) {
    for _ in 0..CLOSE_ATTEMPTS {
        if TcpStream::connect(address).is_err() {
            return;
        }
        thread::sleep(Duration::from_millis(1));
    }
}

/// Shuts down the connections that were accepted on an address.
///
/// `tiny_http` does not expose them, so they are found by their local address among the process's
/// file descriptors.
fn disconnect(address: SocketAddr) {
    for descriptor in 0..MAX_DESCRIPTORS {
        // SAFETY: the stream is never dropped, so the descriptor is not closed here. A descriptor
        // that is not such a connection has another local address or none.
        let stream = ManuallyDrop::new(unsafe { TcpStream::from_raw_fd(descriptor) });
        let accepted = stream.local_addr().is_ok_and(|local| local == address);
        if accepted && stream.peer_addr().is_ok() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the listener is to be closed. Returns true if the server is to stop.
    fn wait_for_change(&self) -> bool {
        let mut state = self.lock();
        while !state.stopped && state.refuse_for.is_none() {
            state = self.changed.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
        state.stopped
    }

    fn wait_while_refusing(&self) {
        let started = Instant::now();
        let mut state = self.lock();
        while let Some(time) = state.refuse_for.filter(|_| !state.stopped) {
            let Some(remaining) =
                time.checked_sub(started.elapsed()).filter(|remaining| !remaining.is_zero())
            else {
                state.refuse_for = None;
                return;
            };
            let waited = self.changed.wait_timeout(state, remaining);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn control(&self, control: &Control) {
        let now = Instant::now();
        let mut state = self.lock();
        state.behaviour.apply(control, now);
        if control.hang == Some(false) {
            state.hung.clear();
        }
        if control.clear == Some(true) {
            state.log.clear();
        }
        if let Some(ms) = control.refuse_ms {
            state.refuse_for = Some(Duration::from_millis(ms));
        }
        drop(state);
        self.changed.notify_all();
    }

    /// Handles one request. Returns false if the thread is to end.
    fn handle(&self, mut request: Request) -> bool {
        let mut body = Vec::new();
        let read = request.as_reader().take(MAX_BODY_BYTES).read_to_end(&mut body);
        let path = request.url().split('?').next().unwrap_or_default();
        match (request.method(), path) {
            _ if read.is_err() => {}
            (Method::Get, "/starts") => {
                let starts: Starts = self.lock().log.starts().clone();
                respond(request, 200, &json(&starts));
            }
            (Method::Post, "/control") => match serde_json::from_slice(&body) {
                Ok(control) => {
                    self.control(&control);
                    respond(request, 200, b"{}");
                }
                Err(error) => respond(request, 400, error.to_string().as_bytes()),
            },
            (Method::Post, _) => self.run(request, &body),
            _ => respond(request, 404, b""),
        }
        let state = self.lock();
        !state.stopped && state.refuse_for.is_none()
    }

    /// Runs a task and responds to its request.
    fn run(&self, request: Request, body: &[u8]) {
        let job = header(&request, "Kingcup-Job").unwrap_or_default();
        let task_index = header(&request, "Kingcup-Task").and_then(|text| text.parse().ok());
        let task = Task::parse(body);
        let echo = task.as_ref().ok().and_then(Task::short_echo);
        let (position, hang, slowdown) = {
            let mut state = self.lock();
            if state.running >= MAX_TASKS {
                drop(state);
                return respond(request, 503, b"no connection free");
            }
            state.running += 1;
            state.request_arrived = true;
            self.changed.notify_all();
            let position = state.log.start(job.clone(), task_index, echo);
            (position, state.behaviour.hang, state.behaviour.slowdown)
        };
        let task = match task {
            Ok(task) => task,
            Err(error) => {
                self.end(position, 400);
                return respond(request, 400, error.to_string().as_bytes());
            }
        };
        if task.hang || hang {
            return self.hang(request);
        }
        task.sleep(slowdown, || self.lock().behaviour.stalled_until);
        if self.lock().behaviour.hang {
            return self.hang(request);
        }
        let status = task.status(self.lock().behaviour.fail);
        let answer = json(&Answer { echo: &task.echo, job: &job, task: task_index });
        self.end(position, status);
        respond(request, status, &answer);
    }

    /// Keeps a request without a response. Closes the oldest such request if there are too many.
    fn hang(&self, request: Request) {
        let mut state = self.lock();
        state.running -= 1;
        if state.hung.len() >= MAX_HUNG {
            state.hung.remove(0);
        }
        state.hung.push(request);
    }

    fn end(&self, position: Option<super::log::Position>, status: u16) {
        let mut state = self.lock();
        state.running -= 1;
        state.log.end(position, status);
    }
}

fn header(request: &Request, name: &'static str) -> Option<String> {
    let found = request.headers().iter().find(|header| header.field.equiv(name));
    found.map(|header| header.value.as_str().to_owned())
}

fn json(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).expect("the value serializes to JSON")
}

fn respond(request: Request, status: u16, body: &[u8]) {
    let mut response = Response::from_data(body).with_status_code(status);
    if let Ok(header) = Header::from_bytes("Content-Type", "application/json") {
        response.add_header(header);
    }
    // The caller may have disconnected.
    let _ = request.respond(response);
}
