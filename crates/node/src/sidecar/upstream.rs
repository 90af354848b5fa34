//! Calls to the upstream by HTTP, on a thread for each slot.

use std::{
    io,
    net::SocketAddr,
    sync::{
        mpsc::{channel, Receiver, Sender},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use kingcup_dispatch::code::Code;
use kingcup_wire::Outcome;
use stakker::{sync::Channel, Core, Fwd};
use ureq::{Agent, Error};

use super::outcome;

/// Largest answer, in bytes.
pub const ANSWER_BYTES: u64 = 1 << 20;

/// One task to run.
#[derive(Debug)]
pub struct Call {
    /// Number that `Done` carries back.
    pub number: u64,
    /// Path at the upstream.
    pub path: String,
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
    /// Number of the call.
    pub number: u64,
    /// How it ended.
    pub outcome: Outcome,
    /// Time in the slot, in microseconds.
    pub run_us: u32,
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
    let agent = Agent::new_with_config(
        Agent::config_builder()
            .http_status_as_error(false)
            .max_idle_connections(usize::from(slots))
            .max_idle_connections_per_host(usize::from(slots))
            .build(),
    );
    for _ in 0..slots {
        let (receiver, done, agent) = (receiver.clone(), done.clone(), agent.clone());
        thread::Builder::new()
            .name("upstream-call".into())
            .spawn(move || serve(&receiver, &done, &agent, address))?;
    }
    Ok(Callers { calls })
}

fn serve(calls: &Mutex<Receiver<Call>>, done: &Channel<Done>, agent: &Agent, address: SocketAddr) {
    loop {
        let call = match calls.lock() {
            Ok(calls) => calls.recv(),
            Err(_) => return,
        };
        let Ok(call) = call else { return };
        let started = Instant::now();
        let (outcome, body) = run(agent, address, &call);
        let run_us = started.elapsed().as_micros().min(u128::from(u32::MAX)) as u32;
        done.send(Done { number: call.number, outcome, run_us, body });
    }
}

fn run(agent: &Agent, address: SocketAddr, call: &Call) -> (Outcome, Vec<u8>) {
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
        Err(error) => return (outcome(code_of(&error)), error.to_string().into_bytes()),
    };
    let status = response.status();
    match response.body_mut().with_config().limit(ANSWER_BYTES).read_to_vec() {
        Ok(body) if status.is_success() => (Outcome::Done, body),
        Ok(body) => (outcome(Code::TaskFailed), body),
        Err(Error::BodyExceedsLimit(_)) => (outcome(Code::AnswerTooLarge), Vec::new()),
        Err(error) => (outcome(code_of(&error)), error.to_string().into_bytes()),
    }
}

fn code_of(error: &Error) -> Code {
    match error {
        Error::Timeout(_) => Code::UpstreamTimeout,
        _ => Code::UpstreamLost,
    }
}
