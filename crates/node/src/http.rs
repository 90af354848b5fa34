//! HTTP for callers and operators: `tiny_http` on bounded threads around the event loop.

mod nudge;

use std::{
    io::{self, Read},
    net::{SocketAddr, TcpListener},
    panic,
    sync::{
        atomic::{AtomicUsize, Ordering},
        mpsc::{sync_channel, Receiver, SyncSender, TrySendError},
        Arc, Mutex, Once,
    },
    thread,
    time::Duration,
};

use stakker::{sync::Channel, Core, Fwd};
use tiny_http::{Header, Method, Request, Response, Server};

use nudge::Nudge;

/// Threads that write responses.
const WRITERS: usize = 8;
/// Responses that wait for a writer.
const WRITER_QUEUE: usize = 4096;
/// Requests whose body is being read at once; one more is refused.
const READERS: usize = 64;
/// Bodies up to this size arrive with the head and are read without a thread, in bytes.
const INLINE_BYTES: usize = 1024;

/// Panics of threads of this process.
static PANICS: AtomicUsize = AtomicUsize::new(0);
/// Time between two looks at whether a thread has panicked.
const LOOK: Duration = Duration::from_millis(500);
/// Pause before connections are accepted again after an error.
const RESTART_PAUSE: Duration = Duration::from_millis(100);

/// A request, read whole.
pub struct Call {
    /// Method in upper case.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers in order of arrival.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
    /// Where the answer goes.
    pub reply: Reply,
}

/// What goes wrong with a request before it reaches the handler.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The body is longer than the limit.
    TooLarge,
    /// The body could not be read.
    Broken,
    /// Too many bodies are being read.
    Overloaded,
}

/// Makes the body of a refusal from its reason: status and JSON text.
pub type Refusal = fn(Fault) -> Answer;

/// An HTTP answer.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Status.
    pub status: u16,
    /// Content type.
    pub content: &'static str,
    /// Wait before another try, in milliseconds; 0 for no hint.
    pub retry_ms: u32,
    /// Body.
    pub body: Vec<u8>,
}

/// Body of an answer. One that cannot be written is empty, and logged: its status still holds.
pub(crate) fn encode(body: &impl serde::Serialize) -> Vec<u8> {
    serde_json::to_vec(body).unwrap_or_else(|error| {
        log::error!("event=answer_unwritable error=\"{error}\"");
        Vec::new()
    })
}

impl Answer {
    /// A JSON answer.
    pub fn json(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self { status, content: "application/json", retry_ms: 0, body: body.into() }
    }

    /// A text answer.
    pub fn text(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self { status, content: "text/plain; version=0.0.4", retry_ms: 0, body: body.into() }
    }
}

/// Where an answer goes; dropped without one, the connection is closed.
pub struct Reply {
    request: Request,
    writers: SyncSender<Job>,
}

struct Job {
    request: Request,
    answer: Answer,
}

/// A running server.
#[derive(Debug)]
pub struct Handle {
    /// Address it is bound to.
    pub address: SocketAddr,
}

impl Call {
    /// Value of a header, if it appears exactly once. `Err` if it appears more than once.
    ///
    /// # Errors
    ///
    /// The name, if the header is repeated: its meaning would depend on who reads it.
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
    /// Sends the answer. It is dropped, and the connection closed, if the writers are far behind.
    pub fn send(self, answer: Answer) {
        let job = Job { request: self.request, answer };
        if let Err(TrySendError::Full(_)) = self.writers.try_send(job) {
            log::warn!("event=answer_dropped reason=writers_behind");
        }
    }
}

/// Binds a server whose requests are sent to `fwd`.
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
    count_panics();
    let listener = TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    let server = serve(&listener)?;
    let (channel, guard) = Channel::new(core, fwd);
    // The server lives as long as the process.
    std::mem::forget(guard);
    let (writers, jobs) = sync_channel(WRITER_QUEUE);
    spawn_writers(jobs)?;
    let nudge = Nudge::spawn(address)?;
    let reading = AtomicUsize::new(0);
    let intake = Intake { channel, writers, body_limit, refusal, reading };
    let intake = Arc::new(intake);
    thread::Builder::new()
        .name("http-intake".into())
        .spawn(move || take_requests(&listener, server, &nudge, &intake))?;
    Ok(Handle { address })
}

/// Counts panics from now on, besides what was done about them before.
fn count_panics() {
    static ONCE: Once = Once::new();
    ONCE.call_once(|| {
        let before = panic::take_hook();
        panic::set_hook(Box::new(move |info| {
            PANICS.fetch_add(1, Ordering::Relaxed);
            before(info);
        }));
    });
}

fn serve(listener: &TcpListener) -> io::Result<Server> {
    Server::from_listener(listener.try_clone()?, None).map_err(io::Error::other)
}

/// Passes requests on for as long as the process runs. `tiny_http` stops accepting for good after an
/// error of the kernel, such as too many open files; it is then started again on the same port.
fn take_requests(listener: &TcpListener, first: Server, nudge: &Nudge, intake: &Arc<Intake>) {
    let mut server = Some(first);
    loop {
        if let Some(server) = &server {
            let panics = PANICS.load(Ordering::Relaxed);
            // An accept thread that panicked, as when an accepted socket cannot be duplicated, says
            // nothing of it.
            while let Ok(request) = server.recv_timeout(LOOK) {
                if let Some(request) = request {
                    nudge.note();
                    intake.clone().take(request);
                } else if PANICS.load(Ordering::Relaxed) != panics {
                    break;
                }
            }
            log::error!("event=accept_failed pause_ms={}", RESTART_PAUSE.as_millis());
        }
        thread::park_timeout(RESTART_PAUSE);
        server = serve(listener).ok();
    }
}

struct Intake {
    channel: Channel<Call>,
    writers: SyncSender<Job>,
    body_limit: usize,
    refusal: Refusal,
    reading: AtomicUsize,
}

impl Intake {
    fn take(self: Arc<Self>, request: Request) {
        let length = request.body_length();
        if length.is_some_and(|length| length <= INLINE_BYTES) {
            return self.read(request);
        }
        if length.is_some_and(|length| length > self.body_limit) {
            return self.refuse(request, Fault::TooLarge);
        }
        if self.reading.fetch_add(1, Ordering::Relaxed) >= READERS {
            self.reading.fetch_sub(1, Ordering::Relaxed);
            return self.refuse(request, Fault::Overloaded);
        }
        let intake = self.clone();
        let spawned = thread::Builder::new().name("http-body".into()).spawn(move || {
            intake.read(request);
            intake.reading.fetch_sub(1, Ordering::Relaxed);
        });
        if spawned.is_err() {
            self.reading.fetch_sub(1, Ordering::Relaxed);
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
        let headers = request.headers().iter().map(pair).collect();
        let method = method(request.method());
        let path = request.url().to_owned();
        let reply = Reply { request, writers: self.writers.clone() };
        self.channel.send(Call { method, path, headers, body, reply });
    }

    fn refuse(&self, request: Request, fault: Fault) {
        let reply = Reply { request, writers: self.writers.clone() };
        reply.send((self.refusal)(fault));
    }
}

fn pair(header: &Header) -> (String, String) {
    (header.field.as_str().as_str().to_owned(), header.value.as_str().to_owned())
}

fn method(method: &Method) -> String {
    method.to_string().to_ascii_uppercase()
}

fn spawn_writers(jobs: Receiver<Job>) -> io::Result<()> {
    let jobs = Arc::new(Mutex::new(jobs));
    for _ in 0..WRITERS {
        let jobs = jobs.clone();
        thread::Builder::new().name("http-writer".into()).spawn(move || loop {
            let job = match jobs.lock() {
                Ok(jobs) => jobs.recv(),
                Err(_) => return,
            };
            let Ok(job) = job else { return };
            write(job);
        })?;
    }
    Ok(())
}

fn write(job: Job) {
    let mut response = Response::from_data(job.answer.body).with_status_code(job.answer.status);
    response.add_header(header("Content-Type", job.answer.content));
    if job.answer.retry_ms > 0 {
        // Retry-After has whole seconds; the exact hint goes beside it.
        let seconds = job.answer.retry_ms.div_ceil(1000).to_string();
        response.add_header(header("Retry-After", &seconds));
        response.add_header(header("Kingcup-Retry-After-Ms", &job.answer.retry_ms.to_string()));
    }
    // The caller may have gone; nobody is left to tell.
    let _ = job.request.respond(response);
}

fn header(name: &str, value: &str) -> Header {
    Header::from_bytes(name, value).expect("header names and values of this module are ASCII")
}
