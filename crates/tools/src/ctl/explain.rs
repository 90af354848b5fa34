//! The `explain` command, which shows where a job would go now without submitting it.

use std::time::Duration;

use kingcup_dispatch::code::Code;
use serde_json::Value;

use super::{
    args::Arguments,
    document::read_file,
    http::{self, Header},
    report::Report,
};

/// Timeout of the request. An entry answers at once.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Terms of a candidate's cost, with their names in the text.
const TERMS: [(&str, &str); 7] = [
    ("wait", "wait_us"),
    ("run", "run_us"),
    ("distance", "distance_us"),
    ("capacity", "capacity_us"),
    ("reserve", "reserve_us"),
    ("spread", "spread_us"),
    ("failures", "failures_us"),
];

/// Returns the report on an invalid command line.
fn invalid(message: impl Into<String>) -> Report {
    Report::new(Code::SettingsInvalid).message(message)
}

/// Returns true if a text can be part of the head of a request.
fn is_plain(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_graphic())
}

/// Returns a time in microseconds as milliseconds, or `-` if there is none.
fn ms(value: &Value) -> String {
    value.as_f64().map_or("-".to_owned(), |us| format!("{:.1}", us / 1000.0))
}

/// Returns a text, or `-` if there is none.
fn text(value: &Value) -> &str {
    value.as_str().unwrap_or("-")
}

/// Returns the line on a candidate.
fn candidate_line(candidate: &Value) -> String {
    let state = match (candidate["chosen"].as_bool(), &candidate["excluded"]) {
        (Some(true), _) => "chosen".to_owned(),
        (_, Value::Null) => "possible".to_owned(),
        (_, rule) => format!("excluded by rule {} {}", rule["number"], text(&rule["name"])),
    };
    let cost = &candidate["cost"];
    let has_wait = candidate["wait_known"].as_bool() == Some(true);
    let terms = TERMS.iter().map(|(name, key)| match *name {
        "wait" if !has_wait => "wait ?".to_owned(),
        _ => format!("{name} {}", ms(&cost[*key])),
    });
    let terms = terms.collect::<Vec<_>>().join(", ");
    format!(
        "{} {} {state}: total {} = {terms}; load report {} old, speed {} old",
        text(&candidate["worker"]),
        text(&candidate["zone"]),
        ms(&candidate["total_us"]),
        ms(&candidate["load_age_us"]),
        ms(&candidate["speed_age_us"]),
    )
}

/// Returns the lines on what would have to change for another answer.
fn change_lines(change: &Value) -> Vec<String> {
    let mut lines = Vec::new();
    if !change["wait_below_us"].is_null() {
        lines.push(format!("accepted if the wait falls to {}", ms(&change["wait_below_us"])));
    }
    let cheapest = &change["cheapest_excluded"];
    if !cheapest.is_null() {
        let effect = match cheapest["would_be_chosen"].as_bool() {
            Some(true) => "cheapest if",
            _ => "not cheaper, even if",
        };
        lines.push(format!(
            "{} with total {}: {effect} rule {} {} did not apply",
            text(&cheapest["worker"]),
            ms(&cheapest["total_us"]),
            cheapest["excluded"]["number"],
            text(&cheapest["excluded"]["name"])
        ));
    }
    lines
}

/// Returns the lines of an answer; all times are in milliseconds.
fn lines(answer: &Value) -> Vec<String> {
    let explanation = &answer["explanation"];
    let admission = &explanation["admission"];
    let mut lines = vec![
        format!(
            "job {} of queue {}, service {}: {} tasks, run {}, objective {} (times in ms)",
            text(&explanation["job"]),
            text(&explanation["queue"]),
            text(&explanation["service"]),
            explanation["tasks"],
            ms(&explanation["expected_run_us"]),
            ms(&explanation["target_us"])
        ),
        format!("entry {}, configuration {}", text(&answer["entry"]), answer["config"]),
        format!(
            "admission: {}; wait {}, price {}, slack {}, accepted up to {}",
            text(&admission["verdict"]),
            ms(&admission["wait_us"]),
            ms(&admission["price_us"]),
            ms(&admission["slack_us"]),
            ms(&admission["accepted_up_to_us"])
        ),
        format!(
            "placement: {}; jobs ahead {}, scarcity {:.2}; {}",
            text(&explanation["placement"]),
            explanation["jobs_ahead"],
            explanation["scarcity"].as_f64().unwrap_or_default(),
            text(&explanation["scope"])
        ),
    ];
    if !answer["refused"].is_null() {
        lines.push(format!("refused by the entry before placement: {}", text(&answer["refused"])));
    }
    if !explanation["near_wait_us"].is_null() {
        lines.push(format!("waits for a near worker at most {}", ms(&explanation["near_wait_us"])));
    }
    let candidates = explanation["candidates"].as_array().into_iter().flatten();
    lines.extend(candidates.map(candidate_line));
    if explanation["others"].as_u64().is_some_and(|others| others > 0) {
        lines.push(format!("{} further workers", explanation["others"]));
    }
    lines.extend(change_lines(&explanation["change"]));
    lines
}

/// Asks an entry where a job would go.
pub(super) fn explain(arguments: &Arguments, path: &str, file: &str) -> Result<Report, Report> {
    // The addresses in the settings file are those for callers.
    let address = arguments.entries.as_deref().filter(|address| is_plain(address));
    let address = address
        .filter(|address| !address.contains(','))
        .ok_or_else(|| invalid("--entry: the operator address of one entry is needed"))?;
    let host = arguments.host.as_deref().filter(|host| is_plain(host));
    let host = host.ok_or_else(|| invalid("--host: the host name of the queue is needed"))?;
    if !path.starts_with('/') || !is_plain(path) {
        return Err(invalid(format!("{path:?} is not a path; it must begin with /")));
    }
    let body = read_file(file).map_err(|error| Report::new(Code::BadRequest).message(error))?;
    let header = Header { name: "Host", value: host };
    let answer = http::post(address, &format!("/explain{path}"), &body, Some(header), TIMEOUT);
    let silent =
        |reason: &str| Report::new(Code::ProcessSilent).message(format!("{address}: {reason}"));
    let answer = answer.map_err(|failure| silent(&failure.reason))?;
    let value: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
    let code = value["code"].as_u64().and_then(|code| Code::from_number(code.try_into().ok()?));
    match code {
        Some(Code::Complete) if value["explanation"].is_object() => {
            let report = lines(&value).iter().fold(Report::new(Code::Complete), Report::line);
            let keys = ["entry", "config", "refused", "explanation"];
            Ok(keys.iter().fold(report, |report, key| report.with(key, &value[*key])))
        }
        Some(code) if code != Code::Complete => {
            Err(Report::new(code).message(format!("{address}: {}", text(&value["message"]))))
        }
        _ => Err(silent("the answer is not an explanation; is this an entry's operator address?")),
    }
}
