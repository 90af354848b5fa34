//! The `submit` command, which submits a job and waits for its response.

use std::time::{Duration, Instant};

use kingcup_dispatch::{
    code::{Code, Execution},
    id::{Home, Job},
};
use serde::Deserialize;
use serde_json::Value;

use super::{
    args::Arguments,
    document::read_file,
    http::{self, Answer, Failure, Header},
    report::Report,
    settings::Settings,
};

/// Header that carries the job ID.
const JOB_HEADER: &str = "Kingcup-Job-Id";
/// Sequence number of the job. Each run obtains its own home token and uses it for one job only.
const SEQUENCE: u64 = 1;
/// Timeout of a request for a home token.
const TOKEN_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of one attempt. A connection without a response for longer may be lost, and repeating
/// the submission under the same ID is safe.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay before a submission is repeated, in milliseconds.
const RETRY_DELAY_MS: u64 = 200;

/// Body of the answer to a request for a home token.
#[derive(Debug, Deserialize)]
struct Token {
    home: String,
}

/// Part of an answer's body that holds the result code.
#[derive(Debug, Deserialize)]
struct CodeBody {
    code: u16,
}

/// Result of one attempt to submit the job.
enum Attempt {
    /// The answer is final.
    Answered(Code, Answer),
    /// The attempt gave no final answer; repeat it through the next entry.
    Retry(Code, String),
}

/// Returns the report on a job that was not run because no entry could be reached.
fn not_run(message: String) -> Report {
    Report::new(Code::HomeUnreachable).message(message)
}

/// Requests a home token from an entry.
fn request_token(address: &str) -> Result<Home, String> {
    let answer = http::get(address, "/v1/home", TOKEN_TIMEOUT).map_err(|failure| failure.reason)?;
    if answer.status != 200 {
        return Err(format!("status {}", answer.status));
    }
    let token: Token = serde_json::from_slice(&answer.body).map_err(|error| error.to_string())?;
    token.home.parse().map_err(|error| format!("{:?}: {error}", token.home))
}

/// Returns a home token from the first entry that provides one.
fn obtain_home(entries: &[String]) -> Result<Home, Report> {
    let mut reason = String::new();
    for address in entries {
        match request_token(address) {
            Ok(home) => return Ok(home),
            Err(fault) => reason = format!("{address}: {fault}"),
        }
    }
    Err(not_run(format!("not run: no entry gave a home token: {reason}")))
}

/// Returns the code in the body of an answer or, without a known one, derives it from the status.
fn code(answer: &Answer) -> Code {
    let body = serde_json::from_slice::<CodeBody>(&answer.body).ok();
    let code = body.and_then(|body| Code::from_number(body.code));
    code.unwrap_or(match answer.status {
        200..=299 => Code::Complete,
        400 => Code::BadRequest,
        _ => Code::HomeSilent,
    })
}

/// Classifies the result of a request.
fn classify(result: Result<Answer, Failure>) -> Attempt {
    let answer = match result {
        Ok(answer) => answer,
        Err(Failure { maybe_received: true, reason }) => {
            return Attempt::Retry(Code::HomeSilent, reason)
        }
        Err(Failure { maybe_received: false, reason }) => {
            return Attempt::Retry(Code::HomeUnreachable, reason)
        }
    };
    match code(&answer) {
        // Another entry may reach the home, or the job may end by the next attempt.
        code @ (Code::HomeUnreachable | Code::HomeSilent | Code::Closing | Code::InProgress) => {
            Attempt::Retry(code, code.to_string())
        }
        code => Attempt::Answered(code, answer),
    }
}

/// Returns the report on a final answer.
fn answer_report(job: &str, code: Code, answer: &Answer) -> Report {
    let text = String::from_utf8_lossy(&answer.body);
    let body = serde_json::from_slice(&answer.body).unwrap_or(Value::String(text.to_string()));
    let report = Report::new(code).message(format!("job {job}: {code}")).line(text.trim_end());
    report.with("status", answer.status).with("answer", body)
}

/// Submits the job under one ID until there is a final answer or the timeout is over.
///
/// Once an attempt may have reached the home, a later answer of "not run" doesn't prove that the
/// job was not run, so the result is then "may have run". `may_have_run` is the code of the latest
/// such attempt, if there was one.
fn send(
    entries: &[String],
    job: &str,
    body: &[u8],
    mut may_have_run: Option<Code>,
    timeout: Duration,
) -> Report {
    let deadline = Instant::now() + timeout;
    let header = Header { name: JOB_HEADER, value: job };
    let mut not_run_attempts = 0;
    for address in entries.iter().cycle() {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let result =
            http::post(address, "/v1/jobs", body, Some(header), remaining.min(ATTEMPT_TIMEOUT));
        let (code, reason) = match classify(result) {
            Attempt::Answered(code, answer) => {
                let report = answer_report(job, code, &answer);
                return match may_have_run {
                    Some(earlier) if code.execution() == Execution::NotRun => report
                        .recode(earlier)
                        .message(format!("job {job}: {earlier}; the last try: {code}")),
                    _ => report,
                };
            }
            Attempt::Retry(code, reason) => (code, reason),
        };
        log::warn!("job {job}: {address}: {reason}; trying another entry");
        match code.execution() {
            Execution::NotRun => not_run_attempts += 1,
            _ => may_have_run = Some(code),
        }
        let code = may_have_run.unwrap_or(code);
        let all_not_run = may_have_run.is_none() && not_run_attempts >= entries.len();
        if all_not_run || Instant::now() + Duration::from_millis(RETRY_DELAY_MS) >= deadline {
            return Report::new(code).message(format!("job {job}: {code}: {address}: {reason}"));
        }
        std::thread::sleep(Duration::from_millis(RETRY_DELAY_MS));
    }
    not_run("not run: no entries".to_owned())
}

/// Parses the value of `--job-id`.
fn parse_job(text: &str) -> Result<Job, Report> {
    text.parse().map_err(|error| {
        Report::new(Code::BadRequest).message(format!("--job-id: {text:?}: {error}"))
    })
}

/// Submits a job and waits for its response.
pub(super) fn submit(
    arguments: &Arguments,
    settings: &Settings,
    file: &str,
) -> Result<Report, Report> {
    let body = read_file(file).map_err(|error| Report::new(Code::BadRequest).message(error))?;
    let entries = settings.entries()?;
    let (job, earlier) = match &arguments.job_id {
        // An earlier run of this tool may have submitted the job, so the job may have run.
        Some(text) => (parse_job(text)?, Some(Code::HomeSilent)),
        None => (Job { home: obtain_home(entries)?, sequence: SEQUENCE }, None),
    };
    let job = job.to_string();
    Ok(send(entries, &job, &body, earlier, settings.timeout).with("job", &job))
}
