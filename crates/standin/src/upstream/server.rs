//! HTTP server of the stand-in.

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

/// Tasks at once; an upstream takes 64 connections.
const TASKS: usize = 64;
/// Threads: those of tasks, and two for `/starts` and `/control`.
const THREADS: usize = TASKS + 2;
/// Most requests left without an answer; the oldest is closed.
const HUNG: usize = 1024;
/// Descriptors that are searched for connections.
const DESCRIPTORS: i32 = 4096;
/// Longest wait until a listener that was dropped is closed, in milliseconds.
const CLOSE_MS: u64 = 1_000;
/// Largest body, in bytes.
const BODY_BYTES: u64 = 8 << 20;
/// Interval between tries to listen again, in milliseconds.
const LISTEN_RETRY_MS: u64 = 10;

/// Interval of connections to the own port, in milliseconds; see `look_at_queue`.
const OWN_CONNECTION_MS: u64 = 20;
/// Interval of connections to the own port while requests arrive, in milliseconds. A request may be
/// the first on its connection, with others queued that were opened with it.
const SPACING_MS: u64 = 1;

/// Why the stand-in could not start.
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
    hung: Vec<Request>,
    /// Time for which connections are to be refused, from the closing of the listener.
    refuse_for: Option<Duration>,
    stopped: bool,
    /// A request has arrived since the last connection to the own port.
    asked: bool,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// A running stand-in. Dropping it stops it.
pub struct Server {
    address: SocketAddr,
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

impl Server {
    /// Listens on a loopback address; port 0 stands for any.
    ///
    /// # Errors
    ///
    /// If the address is not one of loopback or is taken.
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
        let watched = shared.clone();
        thread::spawn(move || look_at_queue(address, &watched));
        Ok(Self { address, shared, thread: Some(thread) })
    }

    /// Address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the behaviour; as `POST /control`.
    pub fn control(&self, control: &Control) {
        self.shared.control(control);
    }

    /// Starts so far; as `GET /starts`.
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

/// Opens and closes connections to the own port until stopped.
///
/// `tiny_http` queues a connection for an idle thread even if that thread was woken for another one
/// that arrived just before. The second then waits until some connection ends, which with kept
/// connections is never: of 16 connections opened at once, 12 got no answer. A further connection
/// makes the library look at its queue again.
fn look_at_queue(address: SocketAddr, shared: &Shared) {
    let step = Duration::from_millis(OWN_CONNECTION_MS);
    let mut state = shared.lock();
    while !state.stopped {
        state.asked = false;
        drop(state);
        let _ = connect_and_reset(address, step);
        thread::sleep(Duration::from_millis(SPACING_MS));
        state = shared.lock();
        if !state.asked && !state.stopped {
            let waited = shared.changed.wait_timeout(state, step);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

/// A reset connection leaves no port in TIME_WAIT.
fn connect_and_reset(address: SocketAddr, timeout: Duration) -> io::Result<()> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_linger(Some(Duration::ZERO))?;
    socket.connect_timeout(&address.into(), timeout)
}

/// Serves until stopped, with a new listener after each time of refusal.
fn serve(address: SocketAddr, mut http: Arc<tiny_http::Server>, shared: &Arc<Shared>) {
    loop {
        for _ in 0..THREADS {
            let (http, shared) = (Arc::downgrade(&http), shared.clone());
            thread::spawn(move || work(&http, &shared));
        }
        let stopped = shared.wait_for_change();
        for _ in 0..THREADS {
            http.unblock();
        }
        // The listener closes once the last thread has left `recv`.
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

/// Handles requests until the listener is closed. It is not held while a task runs.
fn work(http: &Weak<tiny_http::Server>, shared: &Shared) {
    loop {
        let received = match http.upgrade() {
            Some(http) => http.recv(),
            None => return,
        };
        let Ok(request) = received else { return };
        if !shared.take(request) {
            return;
        }
    }
}

/// Waits until a dropped listener is closed, which its own threads do. A connection accepted before
/// that would get neither an answer nor an end if it were missed by `disconnect`.
fn wait_until_closed(address: SocketAddr) {
    for _ in 0..CLOSE_MS {
        if TcpStream::connect(address).is_err() {
            return;
        }
        thread::sleep(Duration::from_millis(1));
    }
}

/// Shuts down the connections that were accepted on an address. `tiny_http` does not give access to
/// them, so they are found among the process's descriptors by their local address.
fn disconnect(address: SocketAddr) {
    for descriptor in 0..DESCRIPTORS {
        // SAFETY: the stream is never dropped, so the descriptor is not closed here; a descriptor
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

    /// Waits until the listener is to be closed; true if the stand-in is to stop.
    fn wait_for_change(&self) -> bool {
        let mut state = self.lock();
        while !state.stopped && state.refuse_for.is_none() {
            state = self.changed.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
        state.stopped
    }

    fn wait_while_refusing(&self) {
        let begun = Instant::now();
        let mut state = self.lock();
        while let Some(time) = state.refuse_for.filter(|_| !state.stopped) {
            let Some(left) = time.checked_sub(begun.elapsed()).filter(|left| !left.is_zero())
            else {
                state.refuse_for = None;
                return;
            };
            let waited = self.changed.wait_timeout(state, left);
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

    /// Handles one request; false once the thread is to end.
    fn take(&self, mut request: Request) -> bool {
        let mut body = Vec::new();
        let read = request.as_reader().take(BODY_BYTES).read_to_end(&mut body);
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

    /// Runs a task.
    fn run(&self, request: Request, body: &[u8]) {
        let job = header(&request, "Kingcup-Job").unwrap_or_default();
        let task_index = header(&request, "Kingcup-Task").and_then(|text| text.parse().ok());
        let task = Task::parse(body);
        let echo = task.as_ref().ok().and_then(Task::short_echo);
        let (place, hang, slow) = {
            let mut state = self.lock();
            if state.running >= TASKS {
                drop(state);
                return respond(request, 503, b"no connection free");
            }
            state.running += 1;
            state.asked = true;
            self.changed.notify_all();
            let place = state.log.start(job.clone(), task_index, echo);
            (place, state.behaviour.hang, state.behaviour.slow)
        };
        let task = match task {
            Ok(task) => task,
            Err(error) => {
                self.end(place, 400);
                return respond(request, 400, error.to_string().as_bytes());
            }
        };
        if task.hang || hang {
            return self.hang(request);
        }
        task.sleep(slow, || self.lock().behaviour.stalled_until);
        if self.lock().behaviour.hang {
            return self.hang(request);
        }
        let status = task.status(self.lock().behaviour.fail);
        let answer = json(&Answer { echo: &task.echo, job: &job, task: task_index });
        self.end(place, status);
        respond(request, status, &answer);
    }

    /// Keeps a request without an answer. The oldest is closed when there are too many.
    fn hang(&self, request: Request) {
        let mut state = self.lock();
        state.running -= 1;
        if state.hung.len() >= HUNG {
            state.hung.remove(0);
        }
        state.hung.push(request);
    }

    fn end(&self, place: Option<super::log::Place>, status: u16) {
        let mut state = self.lock();
        state.running -= 1;
        state.log.end(place, status);
    }
}

fn header(request: &Request, name: &'static str) -> Option<String> {
    let found = request.headers().iter().find(|header| header.field.equiv(name));
    found.map(|header| header.value.as_str().to_owned())
}

fn json(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).expect("plain values have a JSON form")
}

fn respond(request: Request, status: u16, body: &[u8]) {
    let mut response = Response::from_data(body).with_status_code(status);
    if let Ok(header) = Header::from_bytes("Content-Type", "application/json") {
        response.add_header(header);
    }
    // The caller may have gone.
    let _ = request.respond(response);
}
