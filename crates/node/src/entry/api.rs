//! Parsing of callers' requests and encoding of their answers, in JSON.

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

/// Maximum length of an idempotency key, in bytes. The ledger's key also contains the service's
/// name and a separator.
pub const MAX_CALLER_KEY_BYTES: usize = MAX_KEY_BYTES - MAX_NAME_BYTES - 1;
/// Maximum number of jobs in one cancellation.
pub const MAX_CANCELLED_JOBS: usize = 1_000;
/// Exclusive upper bound of declared run times and deadlines, in milliseconds.
pub const DURATION_LIMIT_MS: u32 = 3_600_000;
/// Maximum length of an upstream's error text that is included in a message, in bytes.
const MAX_ERROR_TEXT_BYTES: usize = 200;

/// Header with the job ID.
const JOB_HEADER: &str = "Kingcup-Job-Id";
/// Header with the idempotency key.
const KEY_HEADER: &str = "Idempotency-Key";
/// Header that marks the first attempt of a submission.
const FIRST_HEADER: &str = "Kingcup-First-Attempt";
/// Prefix of the headers that this system defines. Unknown headers with this prefix are refused.
const OWN_PREFIX: &str = "kingcup-";

/// Reason for refusing a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Result code.
    pub code: Code,
    /// Explanation of what is wrong with the request; may be empty.
    pub detail: String,
}

/// Identity that a caller gives to a submission, by which a repetition is recognised.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Identity {
    /// Job ID.
    Job(Job),
    /// Idempotency key.
    Key(String),
    /// None. Each HTTP request is a separate submission.
    Plain,
}

/// Parsed headers of a submission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Headers {
    /// Identity of the submission.
    pub identity: Identity,
    /// True if the caller marked this as its first attempt.
    pub first: bool,
}

/// Parsed submission: a job, or a request, which is treated as a job of one task.
#[derive(Debug)]
pub struct Submission {
    /// Name of the service.
    pub service: String,
    /// Kind of work, which all tasks share.
    pub kind: String,
    /// Payloads of the tasks, in order.
    pub payloads: Vec<Arc<[u8]>>,
    /// True for a request, false for a job.
    pub single: bool,
    /// Longest run time that a task declares, in milliseconds.
    pub declared_ms: Option<u32>,
    /// Largest processor demand that a task declares, in thousandths of a core.
    pub milli_cpus: Option<u32>,
    /// Largest memory demand that a task declares, in megabytes.
    pub memory_mb: Option<u32>,
    /// Maximum time from acceptance to start, in milliseconds. Has an effect only if it is shorter
    /// than the kind's.
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

/// Body of a cancellation.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CancelBody {
    /// IDs of the jobs to cancel.
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
    /// Number of the result code of the job.
    pub code: u16,
}

impl Refusal {
    /// Creates a refusal without detail.
    pub fn new(code: Code) -> Self {
        Self { code, detail: String::new() }
    }

    /// Creates a refusal of a malformed request.
    pub fn invalid(detail: impl Into<String>) -> Self {
        Self { code: Code::BadRequest, detail: detail.into() }
    }
}

/// Parses the headers of a submission.
///
/// # Errors
///
/// Returns `BadRequest` if a header is repeated, malformed, unknown, or contradicts another.
pub fn headers(call: &Call) -> Result<Headers, Refusal> {
    for (name, _) in &call.headers {
        let lower = name.to_ascii_lowercase();
        let known =
            [JOB_HEADER, FIRST_HEADER].iter().any(|header| header.eq_ignore_ascii_case(name));
        if lower.starts_with(OWN_PREFIX) && !known {
            return Err(Refusal::invalid(format!("unknown header {lower}")));
        }
    }
    let repeated = |name| Refusal::invalid(format!("header {name} is repeated"));
    let job = call.header(JOB_HEADER).map_err(repeated)?;
    let key = call.header(KEY_HEADER).map_err(repeated)?;
    let first = match call.header(FIRST_HEADER).map_err(repeated)? {
        None | Some("false") => false,
        Some("true") => true,
        Some(_) => return Err(Refusal::invalid(format!("header {FIRST_HEADER}: true or false"))),
    };
    let identity = match (job, key) {
        (Some(_), Some(_)) => {
            return Err(Refusal::invalid(format!("give {JOB_HEADER} or {KEY_HEADER}, not both")))
        }
        (Some(job), None) => Identity::Job(job_id(job)?),
        (None, Some(key)) => Identity::Key(idempotency_key(key)?),
        (None, None) => Identity::Plain,
    };
    Ok(Headers { identity, first })
}

/// Parses a job ID.
///
/// # Errors
///
/// Returns `BadRequest` if it is malformed.
pub fn job_id(text: &str) -> Result<Job, Refusal> {
    text.parse().map_err(|fault| Refusal::invalid(format!("job ID: {fault}")))
}

/// Checks an idempotency key.
fn idempotency_key(text: &str) -> Result<String, Refusal> {
    let printable = text.bytes().all(|byte| byte.is_ascii_graphic());
    if text.is_empty() || text.len() > MAX_CALLER_KEY_BYTES || !printable {
        let allowed =
            format!("1 to {MAX_CALLER_KEY_BYTES} printable ASCII characters without spaces");
        return Err(Refusal::invalid(format!("header {KEY_HEADER}: {allowed}")));
    }
    Ok(text.to_owned())
}

/// Parses and checks the body of a submission.
///
/// # Errors
///
/// Returns `BadRequest`, `TooLarge`, `UnknownService` or `UnknownKind`.
pub fn submission(body: &[u8], single: bool) -> Result<Submission, Refusal> {
    let submission = if single { parse_request(body)? } else { parse_job(body)? };
    if !is_name(&submission.service) {
        return Err(Refusal { code: Code::UnknownService, detail: "not a name".to_owned() });
    }
    if !is_name(&submission.kind) {
        return Err(Refusal { code: Code::UnknownKind, detail: "not a name".to_owned() });
    }
    check_duration("declared_ms", submission.declared_ms)?;
    check_duration("deadline_ms", submission.deadline_ms)?;
    Ok(submission)
}

/// Checks that a duration from a request is within the allowed range.
fn check_duration(field: &str, value: Option<u32>) -> Result<(), Refusal> {
    match value {
        Some(0) | Some(DURATION_LIMIT_MS..) => {
            Err(Refusal::invalid(format!("{field}: allowed: 1 to {}", DURATION_LIMIT_MS - 1)))
        }
        _ => Ok(()),
    }
}

fn parse<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, Refusal> {
    serde_json::from_slice(body).map_err(|error| Refusal::invalid(error.to_string()))
}

fn parse_request(body: &[u8]) -> Result<Submission, Refusal> {
    let body: RequestBody<'_> = parse(body)?;
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

fn parse_job(body: &[u8]) -> Result<Submission, Refusal> {
    let body: JobBody<'_> = parse(body)?;
    let Some(first) = body.tasks.first() else {
        return Err(Refusal::invalid("tasks: at least one"));
    };
    if body.tasks.len() > MAX_JOB_TASKS {
        let detail = format!("tasks: at most {MAX_JOB_TASKS}");
        return Err(Refusal { code: Code::TooLarge, detail });
    }
    if body.tasks.iter().any(|task| task.kind != first.kind) {
        return Err(Refusal::invalid("tasks: all tasks of a job are of one kind"));
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

/// Parses and checks the body of a cancellation.
///
/// # Errors
///
/// Returns `BadRequest` or `TooLarge`.
pub fn cancellation(body: &[u8]) -> Result<CancelBody, Refusal> {
    let body: CancelBody = parse(body)?;
    if body.jobs.is_empty() {
        return Err(Refusal::invalid("jobs: at least one"));
    }
    if body.jobs.len() > MAX_CANCELLED_JOBS {
        let detail = format!("jobs: at most {MAX_CANCELLED_JOBS}");
        return Err(Refusal { code: Code::TooLarge, detail });
    }
    Ok(body)
}

/// Encodes the answer to a complete job. A task's answer that is not JSON becomes a JSON string.
pub fn complete(job: &str, answers: &[Arc<[u8]>]) -> Vec<u8> {
    let raw: Vec<Box<RawValue>> = answers.iter().map(|answer| raw_json(answer)).collect();
    encode_body(job, Code::Complete, "", raw.iter().map(AsRef::as_ref).collect())
}

/// Encodes the answer to a cancellation: one state for each job, in the order of the list.
pub fn cancelled(states: &[State]) -> Vec<u8> {
    let raw: Vec<Box<RawValue>> =
        states.iter().filter_map(|state| serde_json::value::to_raw_value(state).ok()).collect();
    encode_body("", Code::Complete, "", raw.iter().map(AsRef::as_ref).collect())
}

/// Parses the states in the answer to a cancellation. Returns an empty list if the body is
/// malformed.
pub fn parse_states(body: &[u8]) -> Vec<State> {
    #[derive(Deserialize)]
    struct Answers {
        answers: Vec<State>,
    }
    serde_json::from_slice::<Answers>(body).map_or_else(|_| Vec::new(), |body| body.answers)
}

/// Encodes the answer to a job that failed or was refused.
pub fn failed(job: &str, code: Code, detail: &str) -> Vec<u8> {
    encode_body(job, code, detail, Vec::new())
}

/// Builds the answer to a refused request. `retry_ms` is the wait before a retry; 0 means no hint.
pub fn refusal(job: &str, refusal: &Refusal, retry_ms: u32) -> Answer {
    let body = failed(job, refusal.code, &refusal.detail);
    Answer { retry_ms, ..Answer::json(refusal.code.status(), body) }
}

/// Builds the answer to a request that did not reach the handler.
pub fn fault_answer(fault: Fault) -> Answer {
    let code = match fault {
        Fault::TooLarge => Code::TooLarge,
        Fault::Broken => Code::BadRequest,
        Fault::Overloaded => Code::Overloaded,
    };
    let retry_ms = if code == Code::Overloaded { OVERLOADED_RETRY_MS } else { 0 };
    refusal("", &Refusal::new(code), retry_ms)
}

/// Wait before a retry that is returned while too many bodies are being read, in milliseconds.
const OVERLOADED_RETRY_MS: u32 = 1_000;

/// Returns the start of an upstream's error answer, as text for a message.
pub fn error_text(body: &[u8]) -> String {
    let text = String::from_utf8_lossy(&body[..body.len().min(MAX_ERROR_TEXT_BYTES)]);
    text.trim().to_owned()
}

/// Encodes the body of an answer. The message is the text of the code, followed by the detail.
fn encode_body(job: &str, code: Code, detail: &str, answers: Vec<&RawValue>) -> Vec<u8> {
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

/// Returns a task's answer as JSON; one that is not JSON becomes a JSON string.
fn raw_json(answer: &[u8]) -> Box<RawValue> {
    if let Ok(value) = serde_json::from_slice(answer) {
        return value;
    }
    let text = serde_json::Value::String(String::from_utf8_lossy(answer).into_owned());
    serde_json::value::to_raw_value(&text).unwrap_or_default()
}
