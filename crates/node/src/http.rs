//! HTTP server for callers and operators: `tiny_http` on a bounded number of threads, which pass
//! requests to the event loop.

mod waker;

use std::{
    collections::VecDeque,
    io::{self, Read},
    net::{SocketAddr, TcpListener},
    panic,
    sync::{
        atomic::{AtomicUsize, Ordering},
        mpsc::{sync_channel, Receiver, SyncSender, TrySendError},
        Arc, Mutex, Once,
    },
    thread,
    time::{Duration, Instant},
};

use stakker::{sync::Channel, Core, Fwd};
use tiny_http::{Header, Method, Request, Response, Server};

use waker::Waker;

/// Number of threads that write responses.
const WRITER_THREADS: usize = 8;
/// Maximum number of responses waiting for a writer.
const WRITER_QUEUE: usize = 4096;
/// Maximum number of threads that read request bodies; a further request is refused.
const MAX_BODY_READERS: usize = 64;
/// Size up to which a body arrives with the head and is read without an extra thread, in bytes.
const INLINE_BODY_BYTES: usize = 1024;

/// Number of panics in all threads of this process.
static PANICS: AtomicUsize = AtomicUsize::new(0);
/// Interval at which the number of panics is checked while no request arrives.
const PANIC_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Delay before the server is started again after an error.
const RESTART_PAUSE: Duration = Duration::from_millis(100);
/// Time for which requests are taken from connections that a server accepted before it was replaced.
const RETIRED_TIME: Duration = Duration::from_secs(60);
/// Interval at which replaced servers are asked for requests.
const RETIRED_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum number of replaced servers.
const MAX_RETIRED: usize = 16;

/// A request with its complete body.
pub struct Call {
    /// Method in upper case.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers in order of arrival.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
    /// Handle through which the request is answered.
    pub reply: Reply,
}

/// Why a request is rejected before it reaches the handler.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The body exceeds the limit.
    TooLarge,
    /// The body could not be read.
    Broken,
    /// Too many request bodies are being read.
    Overloaded,
}

/// Creates the answer to a request that is rejected for this reason.
pub type Refusal = fn(Fault) -> Answer;

/// An HTTP answer.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Status.
    pub status: u16,
    /// Content type.
    pub content_type: &'static str,
    /// Time after which the caller may retry, in milliseconds; 0 to send no hint.
    pub retry_ms: u32,
    /// Body.
    pub body: Vec<u8>,
}

/// Encodes the body of an answer as JSON. On an error it logs the error and returns an empty body,
/// as the status of the answer remains valid.
pub(crate) fn encode(body: &impl serde::Serialize) -> Vec<u8> {
    serde_json::to_vec(body).unwrap_or_else(|error| {
        log::error!("event=answer_unwritable error=\"{error}\"");
        Vec::new()
    })
}

impl Answer {
    /// Creates a JSON answer.
    pub fn json(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self { status, content_type: "application/json", retry_ms: 0, body: body.into() }
    }

    /// Creates a text answer.
    pub fn text(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self { status, content_type: "text/plain; version=0.0.4", retry_ms: 0, body: body.into() }
    }
}

/// Handle through which a request is answered. If it is dropped without an answer, `tiny_http`
/// answers with status 500 and no body.
pub struct Reply {
    request: Request,
    writers: SyncSender<Outgoing>,
}

struct Outgoing {
    request: Request,
    answer: Answer,
}

/// Handle of a running server.
#[derive(Debug)]
pub struct Handle {
    /// Address that the server is bound to.
    pub address: SocketAddr,
}

impl Call {
    /// Returns the value of a header, or `None` if the request does not have it.
    ///
    /// # Errors
    ///
    /// The name, if the header appears more than once: its meaning would depend on the reader.
    pub fn header<'a>(&'a self, name: &'static str) -> Result<Option<&'a str>, &'static str> {
        let mut found = self.headers.iter().filter(|(key, _)| key.eq_ignore_ascii_case(name));
        match (found.next(), found.next()) {
            (_, Some(_)) => Err(name),
            (Some((_, value)), None) => Ok(Some(value)),
            (None, None) => Ok(None),
        }
    }
}

impl Reply {
    /// Queues the answer for a writer. If the queue is full, drops it; `tiny_http` then answers with
    /// status 500 and no body.
    pub fn send(self, answer: Answer) {
        let outgoing = Outgoing { request: self.request, answer };
        if let Err(TrySendError::Full(_)) = self.writers.try_send(outgoing) {
            log::warn!("event=answer_dropped reason=writers_behind");
        }
    }
}

/// Binds a server and starts its threads. Requests are sent to `fwd`.
///
/// # Errors
///
/// The error of binding.
pub fn bind(
    core: &mut Core,
    address: SocketAddr,
    body_limit: usize,
    refusal: Refusal,
    fwd: Fwd<Call>,
) -> io::Result<Handle> {
    install_panic_counter();
    let listener = TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    let server = open_server(&listener)?;
    let (channel, guard) = Channel::new(core, fwd);
    // The server runs until the process ends.
    std::mem::forget(guard);
    let (writers, responses) = sync_channel(WRITER_QUEUE);
    spawn_writers(responses)?;
    let waker = Waker::spawn(address)?;
    let readers = AtomicUsize::new(0);
    let intake = Intake { channel, writers, body_limit, refusal, readers };
    let intake = Arc::new(intake);
    thread::Builder::new()
        .name("http-intake".into())
        .spawn(move || receive_requests(&listener, server, &waker, &intake))?;
    Ok(Handle { address })
}

/// Installs a panic hook that counts panics and then calls the previous hook.
fn install_panic_counter() {
    static ONCE: Once = Once::new();
    ONCE.call_once(|| {
        let previous = panic::take_hook();
        panic::set_hook(Box::new(move |info| {
            PANICS.fetch_add(1, Ordering::Relaxed);
            previous(info);
        }));
    });
}

fn open_server(listener: &TcpListener) -> io::Result<Server> {
    Server::from_listener(listener.try_clone()?, None).map_err(io::Error::other)
}

/// Servers that were replaced after an error. `tiny_http` answers a request with status 500 and no
/// body if its server is dropped before the request was taken, so these are kept for some time.
struct Retired(VecDeque<(Instant, Server)>);

impl Retired {
    fn add(&mut self, server: Server, now: Instant) {
        if self.0.len() >= MAX_RETIRED {
            self.0.pop_front();
        }
        self.0.push_back((now, server));
    }

    /// Takes the requests that have arrived on connections of these servers, and drops the servers
    /// that were replaced long ago.
    fn take_requests(&mut self, intake: &Arc<Intake>, now: Instant) {
        self.0.retain(|(since, _)| now.duration_since(*since) < RETIRED_TIME);
        for (_, server) in &self.0 {
            // An error is that of the accept thread, which may be queued before further requests.
            while let Some(request) = server.try_recv().unwrap_or_default() {
                intake.clone().accept(request);
            }
        }
    }

    /// Returns the longest time to wait for a request of the current server.
    fn check_interval(&self) -> Duration {
        if self.0.is_empty() {
            PANIC_CHECK_INTERVAL
        } else {
            RETIRED_CHECK_INTERVAL
        }
    }
}

/// Receives requests until the process ends. `tiny_http` stops accepting for good after an error of
/// the kernel, such as too many open files; it is then started again on the same port.
fn receive_requests(listener: &TcpListener, first: Server, waker: &Waker, intake: &Arc<Intake>) {
    let mut server = Some(first);
    let mut retired = Retired(VecDeque::new());
    loop {
        if let Some(server) = server.take() {
            let panics = PANICS.load(Ordering::Relaxed);
            // `tiny_http` does not report a panic of its accept thread, which occurs for example
            // when an accepted socket cannot be duplicated.
            while let Ok(request) = server.recv_timeout(retired.check_interval()) {
                if let Some(request) = request {
                    waker.notify();
                    intake.clone().accept(request);
                } else if PANICS.load(Ordering::Relaxed) != panics {
                    break;
                }
                retired.take_requests(intake, Instant::now());
            }
            log::error!("event=accept_failed pause_ms={}", RESTART_PAUSE.as_millis());
            retired.add(server, Instant::now());
        }
        thread::park_timeout(RESTART_PAUSE);
        retired.take_requests(intake, Instant::now());
        server = open_server(listener).ok();
    }
}

struct Intake {
    channel: Channel<Call>,
    writers: SyncSender<Outgoing>,
    body_limit: usize,
    refusal: Refusal,
    readers: AtomicUsize,
}

impl Intake {
    fn accept(self: Arc<Self>, request: Request) {
        let length = request.body_length();
        if length.is_some_and(|length| length <= INLINE_BODY_BYTES) {
            return self.read(request);
        }
        if length.is_some_and(|length| length > self.body_limit) {
            return self.refuse(request, Fault::TooLarge);
        }
        if self.readers.fetch_add(1, Ordering::Relaxed) >= MAX_BODY_READERS {
            self.readers.fetch_sub(1, Ordering::Relaxed);
            return self.refuse(request, Fault::Overloaded);
        }
        let intake = self.clone();
        let spawned = thread::Builder::new().name("http-body".into()).spawn(move || {
            intake.read(request);
            intake.readers.fetch_sub(1, Ordering::Relaxed);
        });
        if spawned.is_err() {
            self.readers.fetch_sub(1, Ordering::Relaxed);
        }
    }

    fn read(&self, mut request: Request) {
        let mut body = Vec::new();
        let limit = self.body_limit as u64 + 1;
        if request.as_reader().take(limit).read_to_end(&mut body).is_err() {
            return self.refuse(request, Fault::Broken);
        }
        if body.len() > self.body_limit {
            return self.refuse(request, Fault::TooLarge);
        }
        let headers = request.headers().iter().map(to_pair).collect();
        let method = method_name(request.method());
        let path = request.url().to_owned();
        let reply = Reply { request, writers: self.writers.clone() };
        self.channel.send(Call { method, path, headers, body, reply });
    }

    fn refuse(&self, request: Request, fault: Fault) {
        let reply = Reply { request, writers: self.writers.clone() };
        reply.send((self.refusal)(fault));
    }
}

fn to_pair(header: &Header) -> (String, String) {
    (header.field.as_str().as_str().to_owned(), header.value.as_str().to_owned())
}

fn method_name(method: &Method) -> String {
    method.to_string().to_ascii_uppercase()
}

fn spawn_writers(responses: Receiver<Outgoing>) -> io::Result<()> {
    let responses = Arc::new(Mutex::new(responses));
    for _ in 0..WRITER_THREADS {
        let responses = responses.clone();
        thread::Builder::new().name("http-writer".into()).spawn(move || loop {
            let outgoing = match responses.lock() {
                Ok(responses) => responses.recv(),
                Err(_) => return,
            };
            let Ok(outgoing) = outgoing else { return };
            write_response(outgoing);
        })?;
    }
    Ok(())
}

fn write_response(outgoing: Outgoing) {
    let mut response =
        Response::from_data(outgoing.answer.body).with_status_code(outgoing.answer.status);
    response.add_header(header("Content-Type", outgoing.answer.content_type));
    if outgoing.answer.retry_ms > 0 {
        // `Retry-After` has whole seconds; the second header has the exact time.
        let seconds = outgoing.answer.retry_ms.div_ceil(1000).to_string();
        response.add_header(header("Retry-After", &seconds));
        response
            .add_header(header("Kingcup-Retry-After-Ms", &outgoing.answer.retry_ms.to_string()));
    }
    // An error means that the caller has disconnected, so that there is nobody to notify.
    let _ = outgoing.request.respond(response);
}

fn header(name: &str, value: &str) -> Header {
    Header::from_bytes(name, value).expect("header names and values of this module are ASCII")
}
