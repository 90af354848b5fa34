//! Callers' HTTP interface of an entry. The tests guard against invalid requests that are accepted,
//! requests that stop the entry, and refusals without the information that a caller needs.

mod common;

use std::{
    io::{Read, Write},
    net::TcpStream,
};

use common::{Fixture, Sidecar, WAIT};
use kingcup_wire::{Fate, Frame, Held, Load};

/// Valid job of one task.
const VALID_JOB: &str = r#"{"service":"desk","tasks":[{"kind":"push","payload":1}]}"#;

/// Returns a job whose only task has additional fields.
fn job_with_fields(fields: &str) -> String {
    format!(r#"{{"service":"desk","tasks":[{{"kind":"push","payload":1{fields}}}]}}"#)
}

/// Returns a job of `count` tasks.
fn job_of_tasks(count: usize) -> String {
    let tasks = vec![r#"{"kind":"push","payload":1}"#; count].join(",");
    format!(r#"{{"service":"desk","tasks":[{tasks}]}}"#)
}

/// Guards against malformed or contradictory submissions that run or are refused with a wrong code.
#[test]
fn malformed_submissions_get_the_code_of_their_fault() {
    let stage = Fixture::open(&[]);
    let nested =
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
        (&job_with_fields(r#","declared_ms":-1"#), 100),
        (&job_with_fields(r#","declared_ms":1.5"#), 100),
        (&job_with_fields(r#","declared_ms":99999999999999999999"#), 100),
        (&job_with_fields(r#","milli_cpus":"many""#), 100),
        (&job_with_fields(r#","surprise":true"#), 100),
        (&job_with_fields(r#","milli_cpus":4000000000"#), 107),
        (&job_of_tasks(111), 103),
        (&nested, 100),
        (
            r#"{"service":"desk","tasks":[{"kind":"push","payload":1},{"kind":"file","payload":1}]}"#,
            100,
        ),
    ];
    for (body, code) in bodies {
        let response = stage.post("/v1/jobs", "", body);
        let excerpt = &body[..body.len().min(90)];
        assert_eq!(
            (response.code(), &response.body["fate"]),
            (code, &"not run".into()),
            "{excerpt}"
        );
        assert_eq!(response.body["answers"].as_array().map(Vec::len), Some(0), "{excerpt}");
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
        assert_eq!(stage.post("/v1/jobs", header, VALID_JOB).code(), 100, "{header}");
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

/// Guards against temporary refusals without a hint when to retry, and against answers that lack a
/// field on which callers rely.
#[test]
fn refusals_have_a_retry_hint_and_all_fields() {
    let stage = Fixture::open(&[]);
    let response = stage.post("/v1/jobs", "", VALID_JOB);
    assert_eq!((response.status, response.code()), (503, 109));
    assert!(response.head.contains("Retry-After: "), "{}", response.head);
    for field in ["job", "code", "fate", "message", "may_resubmit", "answers"] {
        assert!(!response.body[field].is_null(), "{field}");
    }
    assert_eq!(response.body["may_resubmit"], true);
}

/// Guards against a response that goes to the wrong caller, lists answers in order of arrival
/// instead of task order, or differs between two submissions under one ID.
#[test]
fn each_caller_receives_its_own_complete_response() {
    let stage = Fixture::open(&[]);
    let mut sidecar = Sidecar::open("s1", 5).join(&stage);
    let home = stage.home();
    let id = format!("Kingcup-Job-Id: {home}-1\r\n");
    let first = stage.submit(&id, &job_of_tasks(3));
    let starts = [sidecar.start(), sidecar.start(), sidecar.start()];
    assert!(starts.windows(2).all(|pair| pair[0].0 < pair[1].0), "{starts:?}");
    let resubmitted = stage.submit(&id, &job_of_tasks(3));
    for (sequence, task) in starts.iter().rev() {
        sidecar.finish(*sequence, format!("\"answer {task}\"").as_bytes());
        sidecar.finish(*sequence, b"\"late copy\"");
    }
    sidecar.finish(999_999_999_999, b"\"unknown\"");
    let answers: serde_json::Value = serde_json::json!(["answer 0", "answer 1", "answer 2"]);
    for response in [
        first.join().unwrap(),
        resubmitted.join().unwrap(),
        stage.post("/v1/jobs", &id, &job_of_tasks(3)),
    ] {
        assert_eq!((response.status, &response.body["answers"]), (200, &answers));
        assert_eq!(response.body["job"], format!("{home}-1"));
    }
    assert_eq!(stage.show(&format!("/v1/jobs/{home}-1")).body["answers"], answers);
    assert_eq!(stage.post("/v1/jobs", &id, &job_of_tasks(2)).code(), 100);
    assert_eq!(stage.show(&format!("/v1/jobs/{home}-2")).code(), 117);
}

/// Guards against a cancelled job that starts later, or that is answered as "not run" although it
/// may have run.
#[test]
fn cancelled_jobs_are_answered_by_whether_they_started() {
    let stage = Fixture::open(&[]);
    let mut sidecar = Sidecar::open("s1", 5).join(&stage);
    let home = stage.home();
    let id = |number: u32| format!("Kingcup-Job-Id: {home}-{number}\r\n");
    let (queued, running) = (stage.submit(&id(1), VALID_JOB), stage.submit(&id(2), VALID_JOB));
    let (first, _) = sidecar.start();
    let (second, _) = sidecar.start();
    let list = format!(r#"{{"jobs":["{home}-1","{home}-2","{home}-9","nonsense"]}}"#);
    let states = stage.post("/v1/cancel", "", &list);
    let codes: Vec<u64> =
        (0..4).map(|index| states.body["answers"][index]["code"].as_u64().unwrap()).collect();
    assert_eq!(codes, [206, 206, 117, 100]);
    let mut recalled = Vec::new();
    while recalled.len() < 2 {
        let sequences = |frame: &Frame<'_>| match frame {
            Frame::Recall(recall) => Some(recall.sequences.clone()),
            _ => None,
        };
        recalled.extend(sidecar.next(sequences).expect("recall"));
    }
    recalled.sort_unstable();
    assert_eq!(recalled, [first, second]);
    let fates = vec![
        Fate { sequence: first, held: Held::Never },
        Fate { sequence: second, held: Held::Running },
    ];
    sidecar.send(&Frame::Recalled(fates));
    let mut codes = [queued.join().unwrap().code(), running.join().unwrap().code()];
    codes.sort_unstable();
    assert_eq!(codes, [112, 204]);
}

/// Guards against callers that send slowly and thereby block other callers.
#[test]
fn slow_senders_do_not_block_other_callers() {
    let stage = Fixture::open(&[]);
    let partial = [
        "POST /v1/jobs HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n{\"ser",
        "POST /v1/jobs HTTP/1.1\r\nHost: h\r\nContent-Len",
    ];
    let slow_senders: Vec<TcpStream> = (0..100)
        .map(|number| {
            let mut stream = TcpStream::connect(stage.callers).unwrap();
            stream.write_all(partial[number % 2].as_bytes()).unwrap();
            stream
        })
        .collect();
    assert!(stage.home().starts_with("e1-"));
    assert_eq!(stage.post("/v1/jobs", "", VALID_JOB).code(), 109);
    drop(slow_senders);
}

/// Guards against answers on one connection that arrive in another order than the requests, so that
/// a caller assigns them to the wrong requests.
#[test]
fn requests_on_one_connection_are_answered_in_order() {
    let stage = Fixture::open(&[]);
    let mut stream = TcpStream::connect(stage.callers).unwrap();
    stream.set_read_timeout(Some(WAIT)).unwrap();
    let requests = "GET /v1/jobs/e9-1-1-1 HTTP/1.1\r\nHost: h\r\n\r\n\
               GET /v1/home HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    stream.write_all(requests.as_bytes()).unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    let (unknown_job, home) = (text.find("\"job\":\"e9-1-1-1\""), text.find("\"home\":\"e1-"));
    assert!(unknown_job.is_some() && unknown_job < home, "{text}");
}

/// Guards against a job that starts after its caller's deadline, and against a deadline that ends a
/// job which has started.
#[test]
fn a_callers_deadline_limits_the_wait_only() {
    let stage = Fixture::open(&[]);
    let mut sidecar = Sidecar::open("s1", 5).join(&stage);
    let with_deadline = VALID_JOB.replace("\"tasks\"", "\"deadline_ms\":200,\"tasks\"");
    let started = stage.submit("", &with_deadline);
    let (sequence, _) = sidecar.start();
    // The sidecar accepts no second start. The answer to the probe shows that the entry has
    // processed the load.
    sidecar.send(&Frame::Load(Load { running: &[1, 0], window: 1, ..common::load() }));
    sidecar.send(&Frame::Probe(1));
    sidecar.next(|frame| matches!(frame, Frame::ProbeAck(1)).then_some(())).expect("answer");
    let response = stage.post("/v1/jobs", "", &with_deadline);
    assert_eq!((response.code(), &response.body["fate"]), (113, &"not run".into()));
    sidecar.finish(sequence, b"1");
    assert_eq!(started.join().unwrap().code(), 0);
}

/// Guards against an entry that accepts no more callers after it has had too many connections.
#[test]
fn too_many_connections_do_not_end_the_service() {
    let stage = Fixture::open_limited(&[], 96);
    let connections: Vec<TcpStream> =
        (0..120).filter_map(|_| TcpStream::connect(stage.callers).ok()).collect();
    assert!(connections.len() > 96);
    // Accepting fails only once the limit on open files is reached.
    common::wait_for("failed accept", || stage.log().contains("accept_failed").then_some(()));
    drop(connections);
    assert!(stage.home().starts_with("e1-"));
}
