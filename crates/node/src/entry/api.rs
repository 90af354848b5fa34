//! Callers' requests and answers in JSON.

use std::sync::Arc;

use kingcup_dispatch::{
    code::Code,
    document::MAX_JOB_TASKS,
    id::{is_name, Job, MAX_NAME_BYTES},
    key::MAX_KEY_BYTES,
};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::http::{Answer, Call, Fault};

/// Longest idempotency key, in bytes. The ledger's key also holds the service's name and a separator.
pub const CALLER_KEY_BYTES: usize = MAX_KEY_BYTES - MAX_NAME_BYTES - 1;
/// Most jobs in one cancellation.
pub const CANCELLED_JOBS: usize = 1_000;
/// Longest declared time, in milliseconds.
pub const TIME_MS: u32 = 3_600_000;
/// Longest part of what an upstream said that is passed on in a message, in bytes.
const SAID_BYTES: usize = 200;

/// Header with the job ID.
const JOB_HEADER: &str = "Kingcup-Job-Id";
/// Header with the idempotency key.
const KEY_HEADER: &str = "Idempotency-Key";
/// Header that marks the first attempt under a key.
const FIRST_HEADER: &str = "Kingcup-First-Attempt";
/// Prefix of the system's own headers.
const OWN_PREFIX: &str = "kingcup-";

/// Why a request is refused, and what exactly is wrong with it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Result code.
    pub code: Code,
    /// What is wrong, or empty.
    pub detail: String,
}

/// Name under which a submission is made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Identity {
    /// Job ID.
    Job(Job),
    /// Idempotency key.
    Key(String),
    /// Neither; each HTTP request is a submission of its own.
    Plain,
}

/// Headers of a submission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Head {
    /// Name of the submission.
    pub identity: Identity,
    /// The caller marked this as its first attempt.
    pub first: bool,
}

/// A submission: a job, or a request as a job of one task.
#[derive(Debug)]
pub struct Submission {
    /// Name of the service.
    pub service: String,
    /// Kind of work of all tasks.
    pub kind: String,
    /// Inputs of the tasks in order.
    pub payloads: Vec<Arc<[u8]>>,
    /// A single request.
    pub single: bool,
    /// Longest declared run time of a task, in milliseconds.
    pub declared_ms: Option<u32>,
    /// Most declared processors of a task, in thousandths of a core.
    pub milli_cpus: Option<u32>,
    /// Most declared memory of a task, in megabytes.
    pub memory_mb: Option<u32>,
    /// Longest time from acceptance to start, in milliseconds, below the kind's own limit.
    pub deadline_ms: Option<u32>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct JobBody<'a> {
    service: String,
    #[serde(default)]
    deadline_ms: Option<u32>,
    #[serde(borrow)]
    tasks: Vec<TaskBody<'a>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TaskBody<'a> {
    kind: String,
    #[serde(borrow)]
    payload: &'a RawValue,
    #[serde(default)]
    declared_ms: Option<u32>,
    #[serde(default)]
    milli_cpus: Option<u32>,
    #[serde(default)]
    memory_mb: Option<u32>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RequestBody<'a> {
    service: String,
    kind: String,
    #[serde(borrow)]
    payload: &'a RawValue,
    #[serde(default)]
    deadline_ms: Option<u32>,
    #[serde(default)]
    declared_ms: Option<u32>,
    #[serde(default)]
    milli_cpus: Option<u32>,
    #[serde(default)]
    memory_mb: Option<u32>,
}

/// Jobs to cancel.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CancelBody {
    /// Job IDs.
    pub jobs: Vec<String>,
}

#[derive(Serialize)]
struct AnswerBody<'a> {
    job: &'a str,
    code: u16,
    fate: String,
    message: String,
    may_resubmit: bool,
    answers: Vec<&'a RawValue>,
}

/// State of one job in the answer to a cancellation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Job ID.
    pub job: String,
    /// Number of the result code.
    pub code: u16,
}

impl Refusal {
    /// A refusal without detail.
    pub fn of(code: Code) -> Self {
        Self { code, detail: String::new() }
    }

    /// A malformed request.
    pub fn bad(detail: impl Into<String>) -> Self {
        Self { code: Code::BadRequest, detail: detail.into() }
    }
}

/// Reads the headers of a submission.
///
/// # Errors
///
/// `BadRequest` if a header is repeated, malformed, unknown, or contradicts another.
pub fn head(call: &Call) -> Result<Head, Refusal> {
    for (name, _) in &call.headers {
        let lower = name.to_ascii_lowercase();
        let known = [JOB_HEADER, FIRST_HEADER].iter().any(|own| own.eq_ignore_ascii_case(name));
        if lower.starts_with(OWN_PREFIX) && !known {
            return Err(Refusal::bad(format!("unknown header {lower}")));
        }
    }
    let repeated = |name| Refusal::bad(format!("header {name} is repeated"));
    let job = call.header(JOB_HEADER).map_err(repeated)?;
    let key = call.header(KEY_HEADER).map_err(repeated)?;
    let first = match call.header(FIRST_HEADER).map_err(repeated)? {
        None | Some("false") => false,
        Some("true") => true,
        Some(_) => return Err(Refusal::bad(format!("header {FIRST_HEADER}: true or false"))),
    };
    let identity = match (job, key) {
        (Some(_), Some(_)) => {
            return Err(Refusal::bad(format!("give {JOB_HEADER} or {KEY_HEADER}, not both")))
        }
        (Some(job), None) => Identity::Job(job_id(job)?),
        (None, Some(key)) => Identity::Key(caller_key(key)?),
        (None, None) => Identity::Plain,
    };
    Ok(Head { identity, first })
}

/// Reads a job ID.
///
/// # Errors
///
/// `BadRequest` if it is malformed.
pub fn job_id(text: &str) -> Result<Job, Refusal> {
    text.parse().map_err(|fault| Refusal::bad(format!("job ID: {fault}")))
}

fn caller_key(text: &str) -> Result<String, Refusal> {
    let printable = text.bytes().all(|byte| byte.is_ascii_graphic());
    if text.is_empty() || text.len() > CALLER_KEY_BYTES || !printable {
        let allowed = format!("1 to {CALLER_KEY_BYTES} printable ASCII characters without spaces");
        return Err(Refusal::bad(format!("header {KEY_HEADER}: {allowed}")));
    }
    Ok(text.to_owned())
}

/// Reads the body of a submission.
///
/// # Errors
///
/// `BadRequest` or `TooLarge`.
pub fn submission(body: &[u8], single: bool) -> Result<Submission, Refusal> {
    let submission = if single { request(body)? } else { job(body)? };
    if !is_name(&submission.service) {
        return Err(Refusal { code: Code::UnknownService, detail: "not a name".to_owned() });
    }
    if !is_name(&submission.kind) {
        return Err(Refusal { code: Code::UnknownKind, detail: "not a name".to_owned() });
    }
    time("declared_ms", submission.declared_ms)?;
    time("deadline_ms", submission.deadline_ms)?;
    Ok(submission)
}

fn time(field: &str, value: Option<u32>) -> Result<(), Refusal> {
    match value {
        Some(0) | Some(TIME_MS..) => {
            Err(Refusal::bad(format!("{field}: allowed: 1 to {}", TIME_MS - 1)))
        }
        _ => Ok(()),
    }
}

fn json<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, Refusal> {
    serde_json::from_slice(body).map_err(|error| Refusal::bad(error.to_string()))
}

fn request(body: &[u8]) -> Result<Submission, Refusal> {
    let body: RequestBody<'_> = json(body)?;
    Ok(Submission {
        service: body.service,
        kind: body.kind,
        payloads: vec![payload(body.payload)],
        single: true,
        declared_ms: body.declared_ms,
        milli_cpus: body.milli_cpus,
        memory_mb: body.memory_mb,
        deadline_ms: body.deadline_ms,
    })
}

fn job(body: &[u8]) -> Result<Submission, Refusal> {
    let body: JobBody<'_> = json(body)?;
    let Some(first) = body.tasks.first() else {
        return Err(Refusal::bad("tasks: at least one"));
    };
    if body.tasks.len() > MAX_JOB_TASKS {
        let detail = format!("tasks: at most {MAX_JOB_TASKS}");
        return Err(Refusal { code: Code::TooLarge, detail });
    }
    if body.tasks.iter().any(|task| task.kind != first.kind) {
        return Err(Refusal::bad("tasks: all tasks of a job are of one kind"));
    }
    Ok(Submission {
        kind: first.kind.clone(),
        payloads: body.tasks.iter().map(|task| payload(task.payload)).collect(),
        single: false,
        declared_ms: body.tasks.iter().filter_map(|task| task.declared_ms).max(),
        milli_cpus: body.tasks.iter().filter_map(|task| task.milli_cpus).max(),
        memory_mb: body.tasks.iter().filter_map(|task| task.memory_mb).max(),
        deadline_ms: body.deadline_ms,
        service: body.service,
    })
}

fn payload(raw: &RawValue) -> Arc<[u8]> {
    Arc::from(raw.get().as_bytes())
}

/// Reads the list of a cancellation.
///
/// # Errors
///
/// `BadRequest` or `TooLarge`.
pub fn cancellation(body: &[u8]) -> Result<CancelBody, Refusal> {
    let body: CancelBody = json(body)?;
    if body.jobs.is_empty() {
        return Err(Refusal::bad("jobs: at least one"));
    }
    if body.jobs.len() > CANCELLED_JOBS {
        let detail = format!("jobs: at most {CANCELLED_JOBS}");
        return Err(Refusal { code: Code::TooLarge, detail });
    }
    Ok(body)
}

/// Body of the answer to a complete job. An answer that is not JSON is passed on as a JSON string.
pub fn complete(job: &str, answers: &[Arc<[u8]>]) -> Vec<u8> {
    let raw: Vec<Box<RawValue>> = answers.iter().map(|answer| raw(answer)).collect();
    body(job, Code::Complete, "", raw.iter().map(AsRef::as_ref).collect())
}

/// Body of the answer to a cancellation: one state for each job, in the order of the list.
pub fn cancelled(states: &[State]) -> Vec<u8> {
    let raw: Vec<Box<RawValue>> =
        states.iter().filter_map(|state| serde_json::value::to_raw_value(state).ok()).collect();
    body("", Code::Complete, "", raw.iter().map(AsRef::as_ref).collect())
}

/// States in the body of the answer to a cancellation.
pub fn states(body: &[u8]) -> Vec<State> {
    #[derive(Deserialize)]
    struct Answers {
        answers: Vec<State>,
    }
    serde_json::from_slice::<Answers>(body).map_or_else(|_| Vec::new(), |body| body.answers)
}

/// Body of the answer to a job that failed or was refused.
pub fn failed(job: &str, code: Code, detail: &str) -> Vec<u8> {
    body(job, code, detail, Vec::new())
}

/// Answer that refuses a request. The wait before another try is in milliseconds, 0 for none.
pub fn refusal(job: &str, refusal: &Refusal, retry_ms: u32) -> Answer {
    let body = failed(job, refusal.code, &refusal.detail);
    Answer { retry_ms, ..Answer::json(refusal.code.status(), body) }
}

/// Answer to a request that did not reach the handler.
pub fn fault(fault: Fault) -> Answer {
    let code = match fault {
        Fault::TooLarge => Code::TooLarge,
        Fault::Broken => Code::BadRequest,
        Fault::Overloaded => Code::Overloaded,
    };
    let retry_ms = if code == Code::Overloaded { OVERLOADED_RETRY_MS } else { 0 };
    refusal("", &Refusal::of(code), retry_ms)
}

/// Wait that a caller is told when too many bodies are being read, in milliseconds.
const OVERLOADED_RETRY_MS: u32 = 1_000;

/// What an upstream said of a failure, shortened for a message.
pub fn said(body: &[u8]) -> String {
    let text = String::from_utf8_lossy(&body[..body.len().min(SAID_BYTES)]);
    text.trim().to_owned()
}

fn body(job: &str, code: Code, detail: &str, answers: Vec<&RawValue>) -> Vec<u8> {
    let message = if detail.is_empty() { code.to_string() } else { format!("{code}: {detail}") };
    let body = AnswerBody {
        job,
        code: code.number(),
        fate: code.execution().to_string(),
        message,
        may_resubmit: code.may_resubmit(),
        answers,
    };
    crate::http::encode(&body)
}

fn raw(answer: &[u8]) -> Box<RawValue> {
    if let Ok(value) = serde_json::from_slice(answer) {
        return value;
    }
    let text = serde_json::Value::String(String::from_utf8_lossy(answer).into_owned());
    serde_json::value::to_raw_value(&text).unwrap_or_default()
}
