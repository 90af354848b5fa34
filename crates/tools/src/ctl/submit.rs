//! Submitting a job and waiting for its response.

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
/// Sequence of a job under a token that is used for one job only.
const SEQUENCE: u64 = 1;
/// Time for an entry to give a home token.
const TOKEN: Duration = Duration::from_secs(2);
/// Time for one try. A connection that stays silent for longer may be lost, and a repetition under
/// the same ID is safe.
const TRY: Duration = Duration::from_secs(5);
/// Wait before a submission that is still running is repeated, in milliseconds.
const PAUSE_MS: u64 = 200;

#[derive(Debug, Deserialize)]
struct Token {
    home: String,
}

#[derive(Debug, Deserialize)]
struct Coded {
    code: u16,
}

/// Where the submission stands after a try.
enum Step {
    /// The answer is final.
    Answered(Code, Answer),
    /// To be tried again, through the next entry.
    Next(Code, String),
}

fn not_run(message: String) -> Report {
    Report::new(Code::HomeUnreachable).message(message)
}

fn take_token(address: &str) -> Result<Home, String> {
    let answer = http::get(address, "/v1/home", TOKEN).map_err(|failure| failure.reason)?;
    if answer.status != 200 {
        return Err(format!("status {}", answer.status));
    }
    let token: Token = serde_json::from_slice(&answer.body).map_err(|error| error.to_string())?;
    token.home.parse().map_err(|error| format!("{:?}: {error}", token.home))
}

/// Takes a home token from the first entry that gives one.
fn take_home(entries: &[String]) -> Result<Home, Report> {
    let mut reason = String::new();
    for address in entries {
        match take_token(address) {
            Ok(home) => return Ok(home),
            Err(fault) => reason = format!("{address}: {fault}"),
        }
    }
    Err(not_run(format!("not run: no entry gave a home token: {reason}")))
}

/// Code of an answer: the number in its body or, without one, what its status says.
fn code(answer: &Answer) -> Code {
    let coded = serde_json::from_slice::<Coded>(&answer.body).ok();
    let known = coded.and_then(|coded| Code::from_number(coded.code));
    known.unwrap_or(match answer.status {
        200..=299 => Code::Complete,
        400 => Code::BadRequest,
        _ => Code::HomeSilent,
    })
}

fn step(result: Result<Answer, Failure>) -> Step {
    let answer = match result {
        Ok(answer) => answer,
        Err(Failure { sent: true, reason }) => return Step::Next(Code::HomeSilent, reason),
        Err(Failure { sent: false, reason }) => return Step::Next(Code::HomeUnreachable, reason),
    };
    match code(&answer) {
        // Another entry may still reach the home, or the job may end.
        code @ (Code::HomeUnreachable | Code::HomeSilent | Code::Closing | Code::InProgress) => {
            Step::Next(code, code.to_string())
        }
        code => Step::Answered(code, answer),
    }
}

fn answered(job: &str, code: Code, answer: &Answer) -> Report {
    let text = String::from_utf8_lossy(&answer.body);
    let body = serde_json::from_slice(&answer.body).unwrap_or(Value::String(text.to_string()));
    let report = Report::new(code).message(format!("job {job}: {code}")).line(text.trim_end());
    report.with("status", answer.status).with("answer", body)
}

/// Submits under one ID until there is a final answer or the time is over.
///
/// Once a submission may have reached its home, a later one that was not run proves nothing about
/// it, so that the result is then "may have run". `may_have_run` is the code of such a submission.
fn send(
    entries: &[String],
    job: &str,
    body: &[u8],
    mut may_have_run: Option<Code>,
    timeout: Duration,
) -> Report {
    let ends = Instant::now() + timeout;
    let header = Header { name: JOB_HEADER, value: job };
    let mut unreached = 0;
    for address in entries.iter().cycle() {
        let left = ends.saturating_duration_since(Instant::now());
        let result = http::post(address, "/v1/jobs", body, Some(header), left.min(TRY));
        let (code, reason) = match step(result) {
            Step::Answered(code, answer) => {
                let report = answered(job, code, &answer);
                return match may_have_run {
                    Some(earlier) if code.execution() == Execution::NotRun => report
                        .recode(earlier)
                        .message(format!("job {job}: {earlier}; the last try: {code}")),
                    _ => report,
                };
            }
            Step::Next(code, reason) => (code, reason),
        };
        log::warn!("job {job}: {address}: {reason}; trying another entry");
        match code.execution() {
            Execution::NotRun => unreached += 1,
            _ => may_have_run = Some(code),
        }
        let code = may_have_run.unwrap_or(code);
        let all_refused = may_have_run.is_none() && unreached >= entries.len();
        if all_refused || Instant::now() + Duration::from_millis(PAUSE_MS) >= ends {
            return Report::new(code).message(format!("job {job}: {code}: {address}: {reason}"));
        }
        std::thread::sleep(Duration::from_millis(PAUSE_MS));
    }
    not_run("not run: no entries".to_owned())
}

fn parse_job(text: &str) -> Result<Job, Report> {
    text.parse().map_err(|error| {
        Report::new(Code::BadRequest).message(format!("--job-id: {text:?}: {error}"))
    })
}

pub(super) fn submit(
    arguments: &Arguments,
    settings: &Settings,
    file: &str,
) -> Result<Report, Report> {
    let body = read_file(file).map_err(|error| Report::new(Code::BadRequest).message(error))?;
    let entries = settings.entries()?;
    let (job, earlier) = match &arguments.job_id {
        // The caller names a job because an earlier run of this tool may have submitted it.
        Some(text) => (parse_job(text)?, Some(Code::HomeSilent)),
        None => (Job { home: take_home(entries)?, sequence: SEQUENCE }, None),
    };
    let job = job.to_string();
    Ok(send(entries, &job, &body, earlier, settings.timeout).with("job", &job))
}
