//! Callers: they submit work, check the form of each answer and record what they saw.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use kingcup_dispatch::code::{Code, Execution};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use ureq::Agent;

use super::{
    http::{self, Reply},
    record::Recorder,
    Fault, Result,
};
use crate::history::{Form, Response};

/// How long a caller waits for a response; longer than any work of the tests.
const TIMEOUT: Duration = Duration::from_secs(30);

/// An entry as a caller knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Name of the entry.
    pub name: String,
    /// Callers' address.
    pub address: SocketAddr,
}

/// How a task ends at the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// With its marker as the answer.
    Answer,
    /// With a failure.
    Fail,
    /// Never.
    Hang,
}

/// One task.
#[derive(Debug, Clone)]
pub struct Task {
    /// Kind of work.
    pub kind: String,
    /// Text that the upstream returns; unique, so that an answer shows whose it is.
    pub marker: String,
    /// Run time, in milliseconds.
    pub sleep_ms: u64,
    /// What the upstream is told to do after the sleep.
    pub end: End,
}

/// An idempotency key.
#[derive(Debug, Clone, Copy)]
pub struct Key<'a> {
    /// The key.
    pub text: &'a str,
    /// The caller marks this as its first attempt under the key.
    pub first: bool,
}

/// A job, ready to be submitted as often as the caller likes.
#[derive(Debug, Clone)]
pub struct Job {
    /// Job ID.
    pub id: String,
    /// Its tasks.
    pub tasks: Vec<Task>,
}

/// What became of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// A whole response arrived.
    Answered {
        /// Its code.
        code: Code,
        /// Its `Retry-After` header, in seconds.
        retry_after_s: Option<u64>,
    },
    /// None did.
    Broken,
}

impl Outcome {
    /// The code, if a response arrived.
    pub fn code(&self) -> Option<Code> {
        match self {
            Self::Answered { code, .. } => Some(*code),
            Self::Broken => None,
        }
    }

    /// True if the response is complete.
    pub fn is_complete(&self) -> bool {
        self.code() == Some(Code::Complete)
    }

    /// True if the caller may submit the same work again without risk.
    pub fn is_not_run(&self) -> bool {
        self.code().is_some_and(Code::may_resubmit)
    }
}

#[derive(Serialize)]
struct JobBody<'a> {
    service: &'a str,
    tasks: Vec<TaskBody<'a>>,
}

#[derive(Serialize)]
struct TaskBody<'a> {
    kind: &'a str,
    payload: Value,
}

#[derive(Serialize)]
struct RequestBody<'a> {
    service: &'a str,
    kind: &'a str,
    payload: Value,
}

#[derive(Deserialize)]
struct AnswerBody {
    code: u16,
    fate: String,
    answers: Vec<Value>,
}

#[derive(Deserialize)]
struct HomeBody {
    home: String,
}

/// A caller of one service.
#[derive(Debug)]
pub struct Caller {
    recorder: Arc<Recorder>,
    agent: Agent,
    service: String,
    home: String,
    sequence: u64,
}

impl Task {
    /// A task that sleeps and then returns its marker.
    pub fn new(kind: &str, marker: impl Into<String>, sleep_ms: u64) -> Self {
        Self { kind: kind.to_owned(), marker: marker.into(), sleep_ms, end: End::Answer }
    }

    fn payload(&self) -> Value {
        let (fail, hang) = (self.end == End::Fail, self.end == End::Hang);
        json!({ "sleep_ms": self.sleep_ms, "echo": self.marker, "fail": fail, "hang": hang })
    }
}

/// The marker in an answer of the upstream stand-in; of any other answer, its whole text.
fn marker(answer: &Value) -> String {
    match answer.get("echo") {
        Some(Value::String(marker)) => marker.clone(),
        _ => answer.to_string(),
    }
}

impl Caller {
    /// Makes a caller without a home token.
    pub fn new(recorder: Arc<Recorder>, service: &str) -> Self {
        let (service, home) = (service.to_owned(), String::new());
        Self { recorder, agent: http::agent(TIMEOUT), service, home, sequence: 0 }
    }

    /// Requests a home token.
    ///
    /// # Errors
    ///
    /// If the entry gives none.
    pub fn open_home(&mut self, at: &Target) -> Result<()> {
        let reply = http::get(&self.agent, at.address, "/v1/home")
            .map_err(|error| Fault::Unexpected(format!("home at {}: {error}", at.name)))?;
        let body: HomeBody = serde_json::from_slice(&reply.body)
            .map_err(|error| Fault::Unexpected(format!("home at {}: {error}", at.name)))?;
        self.home = body.home;
        self.sequence = 0;
        Ok(())
    }

    /// True if the caller has a home token.
    pub fn has_home(&self) -> bool {
        !self.home.is_empty()
    }

    /// Forgets the home token.
    pub fn close_home(&mut self) {
        self.home.clear();
    }

    /// Makes a job under the next ID.
    pub fn next_job(&mut self, kind: &str, tasks: usize, sleep_ms: u64) -> Job {
        self.sequence += 1;
        let id = format!("{}-{:x}", self.home, self.sequence);
        let task = |number: usize| Task::new(kind, format!("{id}/{number}"), sleep_ms);
        let tasks = (0..tasks).map(task).collect();
        Job { id, tasks }
    }

    /// Submits a job, for the first time or again.
    pub fn submit(&self, at: &Target, job: &Job) -> Outcome {
        let tasks = job.tasks.iter();
        let tasks =
            tasks.map(|task| TaskBody { kind: &task.kind, payload: task.payload() }).collect();
        let body = encode(&JobBody { service: &self.service, tasks });
        let headers = [("Kingcup-Job-Id", job.id.as_str())];
        self.send(at, "/v1/jobs", &headers, &body, &job.id, Form::Job, &job.tasks)
    }

    /// Sends a single request, with an idempotency key if one is given.
    pub fn request(&self, at: &Target, task: &Task, form: Form, key: Option<Key<'_>>) -> Outcome {
        let payload = task.payload();
        let body = encode(&RequestBody { service: &self.service, kind: &task.kind, payload });
        let mut headers: Vec<_> = key.iter().map(|key| ("Idempotency-Key", key.text)).collect();
        if key.is_some_and(|key| key.first) {
            headers.push(("Kingcup-First-Attempt", "true"));
        }
        let work = key.map_or(task.marker.as_str(), |key| key.text);
        self.send(at, "/v1/requests", &headers, &body, work, form, std::slice::from_ref(task))
    }

    #[allow(clippy::too_many_arguments)]
    fn send(
        &self,
        at: &Target,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
        work: &str,
        form: Form,
        tasks: &[Task],
    ) -> Outcome {
        let expected: Vec<_> = tasks.iter().map(|task| task.marker.clone()).collect();
        let number = self.recorder.sent(work, form, &at.name, &expected);
        let reply = match http::post(&self.agent, at.address, path, headers, body) {
            Ok(reply) => reply,
            Err(error) => {
                log(&format!("attempt {number} at {}: {error}", at.name));
                let unanswered = matches!(error, ureq::Error::Timeout(_));
                self.recorder.broken(number, unanswered);
                return Outcome::Broken;
            }
        };
        self.judge(number, &reply)
    }

    fn judge(&self, number: u64, reply: &Reply) -> Outcome {
        let parsed = serde_json::from_slice::<AnswerBody>(&reply.body).ok();
        let code = parsed.as_ref().and_then(|body| Code::from_number(body.code));
        let (Some(body), Some(code)) = (parsed, code) else {
            let text = String::from_utf8_lossy(&reply.body);
            let status = reply.status;
            self.recorder.malformed(format!("attempt {number}: status {status}, body {text:?}"));
            self.recorder.broken(number, false);
            return Outcome::Broken;
        };
        if body.fate != code.execution().to_string() || reply.status != code.status() {
            let (status, fate) = (reply.status, &body.fate);
            self.recorder.malformed(format!("attempt {number}: {code} with {status}, {fate:?}"));
        }
        let must_hint = code.execution() == Execution::NotRun && matches!(code.status(), 429 | 503);
        if must_hint && reply.retry_after_s.is_none() {
            self.recorder.malformed(format!("attempt {number}: {code} without Retry-After"));
        }
        let answers = body.answers.iter().map(marker).collect();
        self.recorder.answered(number, Response { code, answers });
        Outcome::Answered { code, retry_after_s: reply.retry_after_s }
    }
}

fn encode(body: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(body).unwrap_or_default()
}

fn log(text: &str) {
    println!("{} {text}", crate::history::now_us());
}
