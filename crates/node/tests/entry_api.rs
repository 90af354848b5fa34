//! Guards against requests that are accepted although they are not what the caller means, that stop
//! the entry, or that are refused without saying what may be done about it.

mod common;

use std::{
    io::{Read, Write},
    net::TcpStream,
};

use common::{Fixture, Sidecar, WAIT};
use kingcup_wire::{Fate, Frame, Held, Load};

const GOOD: &str = r#"{"service":"desk","tasks":[{"kind":"push","payload":1}]}"#;

fn task(fields: &str) -> String {
    format!(r#"{{"service":"desk","tasks":[{{"kind":"push","payload":1{fields}}}]}}"#)
}

fn tasks(count: usize) -> String {
    let tasks = vec![r#"{"kind":"push","payload":1}"#; count].join(",");
    format!(r#"{{"service":"desk","tasks":[{tasks}]}}"#)
}

/// Guards against a malformed or contradictory submission that runs, or that is refused under a code
/// which says something else.
#[test]
fn malformed_submissions_are_refused_with_their_code() {
    let stage = Fixture::open(&[]);
    let deep =
        format!(r#"{{"service":"desk","tasks":{}1{}}}"#, "[".repeat(9_000), "]".repeat(9_000));
    let long_key = format!("Idempotency-Key: {}\r\n", "k".repeat(200));
    let bodies = [
        ("", 100),
        ("not JSON", 100),
        ("null", 100),
        ("[]", 100),
        (r#"{"service":"desk"}"#, 100),
        (r#"{"service":"desk","tasks":[]}"#, 100),
        (r#"{"service":"desk","tasks":[{"kind":"push"}]}"#, 100),
        (r#"{"service":"desk","service":"desk","tasks":[{"kind":"push","payload":1}]}"#, 100),
        (r#"{"service":"desk","extra":1,"tasks":[{"kind":"push","payload":1}]}"#, 100),
        (r#"{"service":5,"tasks":[{"kind":"push","payload":1}]}"#, 100),
        (r#"{"service":"desk","deadline_ms":0,"tasks":[{"kind":"push","payload":1}]}"#, 100),
        (r#"{"service":"desk","deadline_ms":1e99,"tasks":[{"kind":"push","payload":1}]}"#, 100),
        (r#"{"service":"other","tasks":[{"kind":"push","payload":1}]}"#, 101),
        (r#"{"service":"../x","tasks":[{"kind":"push","payload":1}]}"#, 101),
        (r#"{"service":"desk","tasks":[{"kind":"other","payload":1}]}"#, 102),
        (&task(r#","declared_ms":-1"#), 100),
        (&task(r#","declared_ms":1.5"#), 100),
        (&task(r#","declared_ms":99999999999999999999"#), 100),
        (&task(r#","milli_cpus":"many""#), 100),
        (&task(r#","surprise":true"#), 100),
        (&task(r#","milli_cpus":4000000000"#), 107),
        (&tasks(111), 103),
        (&deep, 100),
        (
            r#"{"service":"desk","tasks":[{"kind":"push","payload":1},{"kind":"file","payload":1}]}"#,
            100,
        ),
    ];
    for (body, code) in bodies {
        let response = stage.post("/v1/jobs", "", body);
        let shown = &body[..body.len().min(90)];
        assert_eq!((response.code(), &response.body["fate"]), (code, &"not run".into()), "{shown}");
        assert_eq!(response.body["answers"].as_array().map(Vec::len), Some(0), "{shown}");
    }
    let headers = [
        "Kingcup-Job-Id: e1-1-1-1\r\nKingcup-Job-Id: e1-1-1-1\r\n",
        "Kingcup-Job-Id: e1-1-1-1\r\nkingcup-job-id: e1-1-1-2\r\n",
        "Idempotency-Key: a\r\nIdempotency-Key: a\r\n",
        "Kingcup-Job-Id: e1-1-1-1\r\nIdempotency-Key: a\r\n",
        "Kingcup-Job-Id: e1-1-1\r\n",
        "Kingcup-Job-Id: E1-1-1-1\r\n",
        "Kingcup-Job-Id: e1-01-1-1\r\n",
        "Kingcup-First-Attempt: yes\r\n",
        "Kingcup-Fist-Attempt: true\r\n",
        "Idempotency-Key: with space\r\n",
        "Idempotency-Key: \r\n",
        &long_key,
    ];
    for header in headers {
        assert_eq!(stage.post("/v1/jobs", header, GOOD).code(), 100, "{header}");
    }
    for (method, path) in
        [("PUT", "/v1/jobs"), ("GET", "/v1/jobs"), ("POST", "/v2/jobs"), ("GET", "/v1/jobs/x")]
    {
        assert_eq!(stage.call(method, path, "", "").code(), 100, "{method} {path}");
    }
    let large = "x".repeat(70_000);
    let response = stage.post("/v1/jobs", "", &large);
    assert_eq!((response.status, response.code()), (413, 103));
    assert_eq!(stage.status()["tables"]["jobs"], 0);
}

/// Guards against a temporary refusal without a hint when to come back, and against an answer without
/// one of the fields that callers rely on.
#[test]
fn refusals_say_what_may_be_done() {
    let stage = Fixture::open(&[]);
    let response = stage.post("/v1/jobs", "", GOOD);
    assert_eq!((response.status, response.code()), (503, 109));
    assert!(response.head.contains("Retry-After: "), "{}", response.head);
    for field in ["job", "code", "fate", "message", "may_resubmit", "answers"] {
        assert!(!response.body[field].is_null(), "{field}");
    }
    assert_eq!(response.body["may_resubmit"], true);
}

/// Guards against a response that is delivered to another caller, has answers in the order of their
/// arrival, or is given twice under one ID with different contents.
#[test]
fn each_caller_gets_its_own_whole_response() {
    let stage = Fixture::open(&[]);
    let mut wire = Sidecar::open("s1", 5).join(&stage);
    let home = stage.home();
    let id = format!("Kingcup-Job-Id: {home}-1\r\n");
    let first = stage.submit(&id, &tasks(3));
    let starts = [wire.start(), wire.start(), wire.start()];
    assert!(starts.windows(2).all(|pair| pair[0].0 < pair[1].0), "{starts:?}");
    let again = stage.submit(&id, &tasks(3));
    for (sequence, task) in starts.iter().rev() {
        wire.finish(*sequence, format!("\"answer {task}\"").as_bytes());
        wire.finish(*sequence, b"\"late copy\"");
    }
    wire.finish(999_999_999_999, b"\"unknown\"");
    let answers: serde_json::Value = serde_json::json!(["answer 0", "answer 1", "answer 2"]);
    for response in
        [first.join().unwrap(), again.join().unwrap(), stage.post("/v1/jobs", &id, &tasks(3))]
    {
        assert_eq!((response.status, &response.body["answers"]), (200, &answers));
        assert_eq!(response.body["job"], format!("{home}-1"));
    }
    assert_eq!(stage.show(&format!("/v1/jobs/{home}-1")).body["answers"], answers);
    assert_eq!(stage.post("/v1/jobs", &id, &tasks(2)).code(), 100);
    assert_eq!(stage.show(&format!("/v1/jobs/{home}-2")).code(), 117);
}

/// Guards against a cancelled job that starts later, or whose caller is told that it was not run
/// although it may have been.
#[test]
fn cancelled_jobs_are_answered_truthfully() {
    let stage = Fixture::open(&[]);
    let mut wire = Sidecar::open("s1", 5).join(&stage);
    let home = stage.home();
    let id = |number: u32| format!("Kingcup-Job-Id: {home}-{number}\r\n");
    let (queued, running) = (stage.submit(&id(1), GOOD), stage.submit(&id(2), GOOD));
    let (first, _) = wire.start();
    let (second, _) = wire.start();
    let list = format!(r#"{{"jobs":["{home}-1","{home}-2","{home}-9","nonsense"]}}"#);
    let states = stage.post("/v1/cancel", "", &list);
    let codes: Vec<u64> =
        (0..4).map(|at| states.body["answers"][at]["code"].as_u64().unwrap()).collect();
    assert_eq!(codes, [206, 206, 117, 100]);
    let mut recalled = Vec::new();
    while recalled.len() < 2 {
        let take = |frame: &Frame<'_>| match frame {
            Frame::Recall(recall) => Some(recall.sequences.clone()),
            _ => None,
        };
        recalled.extend(wire.next(take).expect("recall"));
    }
    recalled.sort_unstable();
    assert_eq!(recalled, [first, second]);
    let fates = vec![
        Fate { sequence: first, held: Held::Never },
        Fate { sequence: second, held: Held::Running },
    ];
    wire.send(&Frame::Recalled(fates));
    let mut codes = [queued.join().unwrap().code(), running.join().unwrap().code()];
    codes.sort_unstable();
    assert_eq!(codes, [112, 204]);
}

/// Guards against callers that send slowly and so keep others from being served.
#[test]
fn slow_senders_do_not_stop_others() {
    let stage = Fixture::open(&[]);
    let partial = [
        "POST /v1/jobs HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n{\"ser",
        "POST /v1/jobs HTTP/1.1\r\nHost: h\r\nContent-Len",
    ];
    let slow: Vec<TcpStream> = (0..100)
        .map(|number| {
            let mut stream = TcpStream::connect(stage.callers).unwrap();
            stream.write_all(partial[number % 2].as_bytes()).unwrap();
            stream
        })
        .collect();
    assert!(stage.home().starts_with("e1-"));
    assert_eq!(stage.post("/v1/jobs", "", GOOD).code(), 109);
    drop(slow);
}

/// Guards against a caller that mixes up two requests on one connection.
#[test]
fn requests_on_one_connection_are_answered_in_order() {
    let stage = Fixture::open(&[]);
    let mut stream = TcpStream::connect(stage.callers).unwrap();
    stream.set_read_timeout(Some(WAIT)).unwrap();
    let two = "GET /v1/jobs/e9-1-1-1 HTTP/1.1\r\nHost: h\r\n\r\n\
               GET /v1/home HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    stream.write_all(two.as_bytes()).unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    let (lost, home) = (text.find("\"job\":\"e9-1-1-1\""), text.find("\"home\":\"e1-"));
    assert!(lost.is_some() && lost < home, "{text}");
}

/// Guards against a job that runs after its caller has given it up, and against a deadline that cuts
/// off a job which has started.
#[test]
fn a_callers_deadline_is_kept() {
    let stage = Fixture::open(&[]);
    let mut wire = Sidecar::open("s1", 5).join(&stage);
    let with_deadline = GOOD.replace("\"tasks\"", "\"deadline_ms\":200,\"tasks\"");
    let started = stage.submit("", &with_deadline);
    let (sequence, _) = wire.start();
    // The sidecar takes no second start; once the probe is answered, the entry knows.
    wire.send(&Frame::Load(Load { running: &[1, 0], window: 1, ..common::load() }));
    wire.send(&Frame::Probe(1));
    wire.next(|frame| matches!(frame, Frame::ProbeAck(1)).then_some(())).expect("answer");
    let response = stage.post("/v1/jobs", "", &with_deadline);
    assert_eq!((response.code(), &response.body["fate"]), (113, &"not run".into()));
    wire.finish(sequence, b"1");
    assert_eq!(started.join().unwrap().code(), 0);
}

/// Guards against an entry that takes no callers any more once it has had too many of them.
#[test]
fn too_many_connections_do_not_end_the_service() {
    let stage = Fixture::open_limited(&[], 96);
    let many: Vec<TcpStream> =
        (0..120).filter_map(|_| TcpStream::connect(stage.callers).ok()).collect();
    assert!(many.len() > 96);
    // Only when the limit is reached does the entry refuse to accept.
    common::wait_for("failed accept", || stage.log().contains("accept_failed").then_some(()));
    drop(many);
    assert!(stage.home().starts_with("e1-"));
}
