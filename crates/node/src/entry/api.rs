//! Callers' requests and answers in JSON.

use kingcup_dispatch::{code::Code, document::JOB_TASKS};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::http::{Answer, Call, Fault};

/// A submission: a job, or a request as a job of one task.
#[derive(Debug)]
pub struct Submission {
    /// Name of the service.
    pub service: String,
    /// Tasks in order.
    pub tasks: Vec<Task>,
    /// A single request.
    pub single: bool,
}

/// One task.
#[derive(Debug)]
pub struct Task {
    /// Kind of work.
    pub kind: String,
    /// Input for the upstream.
    pub payload: Vec<u8>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct JobBody<'a> {
    service: String,
    #[serde(borrow)]
    tasks: Vec<TaskBody<'a>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TaskBody<'a> {
    kind: String,
    #[serde(borrow)]
    payload: &'a RawValue,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RequestBody<'a> {
    service: String,
    kind: String,
    #[serde(borrow)]
    payload: &'a RawValue,
}

#[derive(Serialize)]
struct AnswerBody<'a> {
    job: &'a str,
    code: u16,
    fate: String,
    message: String,
    answers: Vec<&'a RawValue>,
}

/// Reads a submission.
///
/// # Errors
///
/// `BadRequest` or `TooLarge`.
pub fn parse(call: &Call) -> Result<Submission, Code> {
    if call.path == "/v1/requests" {
        let body: RequestBody<'_> =
            serde_json::from_slice(&call.body).map_err(|_| Code::BadRequest)?;
        let task = Task { kind: body.kind, payload: body.payload.get().into() };
        return Ok(Submission { service: body.service, tasks: vec![task], single: true });
    }
    let body: JobBody<'_> = serde_json::from_slice(&call.body).map_err(|_| Code::BadRequest)?;
    if body.tasks.is_empty() {
        return Err(Code::BadRequest);
    }
    if body.tasks.len() > JOB_TASKS {
        return Err(Code::TooLarge);
    }
    let task = |task: TaskBody<'_>| Task { kind: task.kind, payload: task.payload.get().into() };
    let tasks = body.tasks.into_iter().map(task).collect();
    Ok(Submission { service: body.service, tasks, single: false })
}

/// Makes the answer to a complete job. An answer that is not JSON is passed on as a JSON string.
pub fn complete(job: &str, answers: &[Vec<u8>]) -> Answer {
    let raw: Vec<Box<RawValue>> = answers.iter().map(|answer| raw(answer)).collect();
    let body = AnswerBody {
        job,
        code: Code::Complete.number(),
        fate: Code::Complete.fate().to_string(),
        message: Code::Complete.to_string(),
        answers: raw.iter().map(AsRef::as_ref).collect(),
    };
    Answer::json(200, encode(&body))
}

/// Makes a refusal or failure.
pub fn refusal(code: Code, retry_ms: u32) -> Answer {
    let body = AnswerBody {
        job: "",
        code: code.number(),
        fate: code.fate().to_string(),
        message: code.to_string(),
        answers: Vec::new(),
    };
    Answer { retry_ms, ..Answer::json(code.status(), encode(&body)) }
}

/// Code for a request that did not reach the handler.
pub fn code_of(fault: Fault) -> Code {
    match fault {
        Fault::TooLarge => Code::TooLarge,
        Fault::Broken => Code::BadRequest,
        Fault::Overloaded => Code::Overloaded,
    }
}

fn raw(answer: &[u8]) -> Box<RawValue> {
    if let Ok(value) = serde_json::from_slice(answer) {
        return value;
    }
    let text = serde_json::Value::String(String::from_utf8_lossy(answer).into_owned());
    serde_json::value::to_raw_value(&text).unwrap_or_default()
}

fn encode(body: &AnswerBody<'_>) -> Vec<u8> {
    serde_json::to_vec(body).unwrap_or_default()
}
