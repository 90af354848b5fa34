//! Explanations to operators of where a caller's request would go now, and why.
//!
//! `POST /explain/PATH` at the operator's address contains the request of a caller to `PATH`: its
//! `Host` header and its body are those of the request. Nothing is sent, started or counted.

use kingcup_dispatch::{code::Code, plan::explain::Explanation};
use serde::Serialize;
use serde_json::json;

use super::Entry;
use crate::{
    runs::{protocol::Operation, refusal::Reason},
    web::{Request, Response},
};

/// Path below which requests are explained.
const PREFIX: &str = "/explain";
/// Maximum number of explanations in `WINDOW_US`. One takes about as long as the placement of a
/// job, of which an entry handles hundreds a second.
const MAX_EXPLANATIONS: u32 = 10;
/// Time to which `MAX_EXPLANATIONS` applies, in microseconds.
const WINDOW_US: u64 = 1_000_000;
/// Time after which a refused operator may ask again, in seconds.
const RETRY_AFTER_S: &str = "1";

/// Bounds the rate of explanations.
#[derive(Debug, Default)]
pub(super) struct Limiter {
    began_us: u64,
    count: u32,
}

impl Limiter {
    /// Records a request and returns whether it is within the bound.
    fn admit(&mut self, now_us: u64) -> bool {
        if self.began_us + WINDOW_US <= now_us {
            *self = Self { began_us: now_us, count: 0 };
        }
        self.count += 1;
        self.count <= MAX_EXPLANATIONS
    }
}

/// Body of an answer with an explanation.
#[derive(Debug, Serialize)]
struct Answer<'a> {
    code: u16,
    message: String,
    /// Name of the entry.
    entry: &'a str,
    /// Version of the configuration in force.
    config: u64,
    /// Why the entry would refuse the job before it is placed.
    refused: Option<&'static str>,
    explanation: Explanation,
}

/// Result code and text of an error.
type Fault = (Code, String);

/// Returns true if a request at the operator's address is for an explanation.
pub(super) fn is_explanation(request: &Request) -> bool {
    let rest = request.path.strip_prefix(PREFIX);
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with(['/', '?']))
}

/// Returns the caller's request inside one for its explanation.
fn inner(mut request: Request) -> Result<Request, Fault> {
    if request.method != "POST" {
        return Err((Code::BadRequest, "the method must be POST".to_owned()));
    }
    request.path = request.path.split_off(PREFIX.len());
    if !request.path.starts_with('/') {
        let text = "the path of the caller's request must follow after /explain";
        return Err((Code::BadRequest, text.to_owned()));
    }
    Ok(request)
}

impl Entry {
    /// Returns the answer to a request for an explanation.
    pub(super) fn explain(&mut self, request: Request, now_us: u64) -> Response {
        if !self.explanations.admit(now_us) {
            let text = format!("more than {MAX_EXPLANATIONS} requests to explain in a second");
            let mut response = error(Code::Overloaded, &text);
            response.headers.push(("retry-after".to_owned(), RETRY_AFTER_S.to_owned()));
            return response;
        }
        match inner(request).and_then(|request| self.try_explain(&request, now_us)) {
            Ok(body) => Response::of(200, "application/json", body),
            Err((code, text)) => {
                log::info!("event=explained code={} reason={text:?}", code.number());
                error(code, &text)
            }
        }
    }

    fn try_explain(&self, request: &Request, now_us: u64) -> Result<String, Fault> {
        if !self.is_configured() {
            return Err((Code::NoDocument, "no configuration yet".to_owned()));
        }
        let submission = match (self.protocol.parse_request)(request, self.document.table()) {
            Operation::Submit { submission, .. } => submission,
            Operation::Unsupported(kind) => {
                let text = format!("jobs of this kind are not supported: {kind}");
                return Err((Code::NeverRunnable, text));
            }
            Operation::NoQueue => {
                let text = "the host and path belong to no queue".to_owned();
                return Err((Code::UnknownKind, text));
            }
            Operation::Invalid(reason) => return Err((Code::BadRequest, reason)),
            Operation::State { .. } | Operation::Cancel { .. } | Operation::Pending { .. } => {
                return Err((Code::BadRequest, "the request submits no job".to_owned()));
            }
        };
        let is_cancelled = self.cancels.refusal_ms(&submission.id, now_us).is_some();
        let reason = self.must_refuse(&submission, now_us).map(Reason::name);
        let refused = is_cancelled.then_some("cancelled").or(reason);
        let explanation = self.planner.explain(&submission, now_us);
        let chosen = explanation.candidates.iter().find(|candidate| candidate.chosen);
        log::info!(
            "event=explained code=0 job={} queue={} verdict={:?} placement={:?} sidecar={} \
             refused={}",
            explanation.job,
            explanation.queue,
            explanation.admission.verdict,
            explanation.placement,
            chosen.map_or("-", |candidate| &*candidate.worker),
            refused.unwrap_or("-")
        );
        let answer = Answer {
            code: Code::Complete.number(),
            message: Code::Complete.to_string(),
            entry: &self.settings.process.name,
            config: self.document.version(),
            refused,
            explanation,
        };
        // Serialising plain structs cannot fail.
        Ok(serde_json::to_string(&answer).unwrap_or_default())
    }
}

/// Returns the answer for an error.
fn error(code: Code, text: &str) -> Response {
    let body = json!({"code": code.number(), "message": text});
    Response::of(code.status(), "application/json", body.to_string())
}
