//! HTTP calls to the upstream, on one thread per slot.

use std::{
    io,
    net::SocketAddr,
    sync::{
        mpsc::{channel, Receiver, Sender},
        Arc, Mutex,
    },
    thread,
    time::Duration,
};

use kingcup_dispatch::{
    code::{Code, Execution},
    gate::{Outcome, Slot},
};
use stakker::{sync::Channel, Core, Fwd};
use ureq::{Agent, Error, Timeout};

/// Maximum size of an answer, in bytes.
pub const MAX_ANSWER_BYTES: u64 = 1 << 20;
/// Timeout for opening a connection. The upstream runs next to the sidecar.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time after which idle connections are closed. Servers commonly keep them for 5 s or more; a call
/// on a connection that the upstream closes at the same moment counts as "may have run".
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// One task to run.
#[derive(Debug)]
pub struct Call {
    /// Slot in which the task runs.
    pub slot: Slot,
    /// Path of the upstream to which the call is posted.
    pub path: Arc<str>,
    /// Job ID.
    pub job: String,
    /// Index of the task in the job.
    pub task: u16,
    /// Maximum time for the whole call.
    pub timeout: Duration,
    /// Request body: the payload of the task.
    pub payload: Vec<u8>,
}

/// The end of a call.
#[derive(Debug)]
pub struct Completion {
    /// Slot in which the task ran.
    pub slot: Slot,
    /// Outcome of the call.
    pub outcome: Outcome,
    /// Answer of the upstream, or the text of the error that ended the call.
    pub body: Vec<u8>,
}

/// Handle of the threads that call the upstream.
#[derive(Debug)]
pub struct Pool {
    calls: Sender<Call>,
}

impl Pool {
    /// Queues a call for the next free thread.
    pub fn call(&self, call: Call) {
        // The receiver exists until the process ends, so sending does not fail.
        let _ = self.calls.send(call);
    }
}

/// Spawns one thread per slot. The ends of calls are sent to `fwd`.
///
/// # Errors
///
/// The error of spawning a thread.
pub fn spawn(
    core: &mut Core,
    address: SocketAddr,
    slots: u16,
    fwd: Fwd<Completion>,
) -> io::Result<Pool> {
    let (completions, guard) = Channel::new(core, fwd);
    std::mem::forget(guard);
    let completions = Arc::new(completions);
    let (calls, receiver) = channel();
    let receiver = Arc::new(Mutex::new(receiver));
    let agent = agent(slots);
    for _ in 0..slots {
        let (receiver, completions, agent) = (receiver.clone(), completions.clone(), agent.clone());
        thread::Builder::new()
            .name("upstream-call".into())
            .spawn(move || run_calls(&receiver, &completions, &agent, address))?;
    }
    Ok(Pool { calls })
}

/// Creates an HTTP agent for an upstream with this many slots. Each call is sent exactly once:
/// redirects are not followed, and proxies from the environment are not used.
pub fn agent(slots: u16) -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .proxy(None)
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .max_idle_age(IDLE_TIMEOUT)
        .max_idle_connections(usize::from(slots))
        .max_idle_connections_per_host(usize::from(slots));
    Agent::new_with_config(config.build())
}

fn run_calls(
    calls: &Mutex<Receiver<Call>>,
    completions: &Channel<Completion>,
    agent: &Agent,
    address: SocketAddr,
) {
    loop {
        let call = match calls.lock() {
            Ok(calls) => calls.recv(),
            Err(_) => return,
        };
        let Ok(call) = call else { return };
        let (outcome, body) = run(agent, address, &call);
        completions.send(Completion { slot: call.slot, outcome, body });
    }
}

/// Calls the upstream and waits for the answer. Returns the outcome, with the answer or the text of
/// the error.
pub fn run(agent: &Agent, address: SocketAddr, call: &Call) -> (Outcome, Vec<u8>) {
    let result = agent
        .post(format!("http://{address}{}", call.path))
        .config()
        .timeout_global(Some(call.timeout))
        .build()
        .header("Content-Type", "application/json")
        .header("Kingcup-Job", &call.job)
        .header("Kingcup-Task", call.task.to_string())
        .send(&call.payload);
    let mut response = match result {
        Ok(response) => response,
        Err(error) => return (outcome_of(&error), error.to_string().into_bytes()),
    };
    let status = response.status();
    match response.body_mut().with_config().limit(MAX_ANSWER_BYTES).read_to_vec() {
        Ok(body) if status.is_success() => (Outcome::Done, body),
        Ok(body) => (Outcome::Failed(Code::TaskFailed), body),
        Err(Error::BodyExceedsLimit(_)) => (Outcome::Failed(Code::AnswerTooLarge), Vec::new()),
        Err(error) => (outcome_of(&error), error.to_string().into_bytes()),
    }
}

/// Returns the outcome that an error allows to conclude. Only errors that occur before the
/// connection is open prove that the task did not run.
fn outcome_of(error: &Error) -> Outcome {
    let code = match error {
        Error::Timeout(Timeout::Connect | Timeout::Resolve) => Code::NoUpstream,
        Error::ConnectionFailed | Error::HostNotFound => Code::NoUpstream,
        Error::Io(error) if is_connect_error(error) => Code::NoUpstream,
        Error::Timeout(_) => Code::UpstreamTimeout,
        _ => Code::UpstreamLost,
    };
    match code.execution() {
        Execution::NotRun => Outcome::NotRun(code),
        _ => Outcome::Unknown(code),
    }
}

/// Returns true for errors that the kernel reports only while a connection is being opened.
fn is_connect_error(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::ConnectionRefused | io::ErrorKind::AddrNotAvailable)
}
