//! Calls to the upstream by HTTP, on a thread for each slot.

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

/// Largest answer, in bytes.
pub const ANSWER_BYTES: u64 = 1 << 20;
/// Longest time to open a connection; the upstream runs beside the sidecar.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Idle connections are closed after this time. Servers commonly keep them for 5 s or more; a call on
/// a connection that the upstream closes at the same moment "may have run".
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// One task to run.
#[derive(Debug)]
pub struct Call {
    /// Slot that the task runs in.
    pub slot: Slot,
    /// Path at the upstream.
    pub path: Arc<str>,
    /// Job ID.
    pub job: String,
    /// Index of the task in the job.
    pub task: u16,
    /// Longest run time.
    pub timeout: Duration,
    /// Input.
    pub payload: Vec<u8>,
}

/// A task that ended.
#[derive(Debug)]
pub struct Done {
    /// Slot that the task ran in.
    pub slot: Slot,
    /// How it ended.
    pub outcome: Outcome,
    /// Answer, or what the upstream said of the failure.
    pub body: Vec<u8>,
}

/// Running caller threads.
#[derive(Debug)]
pub struct Callers {
    calls: Sender<Call>,
}

impl Callers {
    /// Runs a task on a free thread.
    pub fn call(&self, call: Call) {
        // The threads end only with the process.
        let _ = self.calls.send(call);
    }
}

/// Spawns the threads; results go to `fwd`.
///
/// # Errors
///
/// The error of starting a thread.
pub fn spawn(
    core: &mut Core,
    address: SocketAddr,
    slots: u16,
    fwd: Fwd<Done>,
) -> io::Result<Callers> {
    let (done, guard) = Channel::new(core, fwd);
    std::mem::forget(guard);
    let done = Arc::new(done);
    let (calls, receiver) = channel();
    let receiver = Arc::new(Mutex::new(receiver));
    let agent = agent(slots);
    for _ in 0..slots {
        let (receiver, done, agent) = (receiver.clone(), done.clone(), agent.clone());
        thread::Builder::new()
            .name("upstream-call".into())
            .spawn(move || serve(&receiver, &done, &agent, address))?;
    }
    Ok(Callers { calls })
}

/// Makes an agent for calls to an upstream of this many slots. A call is sent once: redirects are
/// not followed, and proxies from the environment are not used.
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

fn serve(calls: &Mutex<Receiver<Call>>, done: &Channel<Done>, agent: &Agent, address: SocketAddr) {
    loop {
        let call = match calls.lock() {
            Ok(calls) => calls.recv(),
            Err(_) => return,
        };
        let Ok(call) = call else { return };
        let (outcome, body) = run(agent, address, &call);
        done.send(Done { slot: call.slot, outcome, body });
    }
}

/// Calls the upstream and waits for the answer. Gives the answer, or the reason for the outcome.
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
        Err(error) => return (outcome(&error), error.to_string().into_bytes()),
    };
    let status = response.status();
    match response.body_mut().with_config().limit(ANSWER_BYTES).read_to_vec() {
        Ok(body) if status.is_success() => (Outcome::Done, body),
        Ok(body) => (Outcome::Failed(Code::TaskFailed), body),
        Err(Error::BodyExceedsLimit(_)) => (Outcome::Failed(Code::AnswerTooLarge), Vec::new()),
        Err(error) => (outcome(&error), error.to_string().into_bytes()),
    }
}

/// What an error says about whether the task ran. Only errors from before the connection was open
/// prove that it did not.
fn outcome(error: &Error) -> Outcome {
    let code = match error {
        Error::Timeout(Timeout::Connect | Timeout::Resolve) => Code::NoUpstream,
        Error::ConnectionFailed | Error::HostNotFound => Code::NoUpstream,
        Error::Io(error) if is_from_connect(error) => Code::NoUpstream,
        Error::Timeout(_) => Code::UpstreamTimeout,
        _ => Code::UpstreamLost,
    };
    match code.execution() {
        Execution::NotRun => Outcome::NotRun(code),
        _ => Outcome::Unknown(code),
    }
}

/// True for errors that the kernel reports only while a connection is being opened.
fn is_from_connect(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::ConnectionRefused | io::ErrorKind::AddrNotAvailable)
}
