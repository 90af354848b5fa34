//! Guards against exit codes and messages of `kingcupctl` that mislead an operator or a script
//! about what happened.

use std::{
    collections::VecDeque,
    fs,
    io::Write,
    net::TcpListener,
    path::PathBuf,
    process::Command,
    sync::{Arc, Mutex},
    thread,
};

use kingcup_standin::store::{Control, Lost, Mode, Server};
use rstest::rstest;
use serde_json::{json, Value};

/// Exit code and output of a run of `kingcupctl`.
struct Outcome {
    exit: i32,
    out: String,
    err: String,
}

impl Outcome {
    fn json(&self) -> Value {
        serde_json::from_str(&self.out).unwrap()
    }
}

/// Runs `kingcupctl`.
fn ctl(arguments: &[&str]) -> Outcome {
    let output = Command::new(env!("CARGO_BIN_EXE_kingcupctl"))
        .args(arguments)
        .env("USER", "anna")
        .output()
        .unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    Outcome {
        exit: output.status.code().unwrap(),
        out: text(output.stdout),
        err: text(output.stderr),
    }
}

/// Writes a document to its own file and returns the path.
fn document_file(name: &str, quota: i64) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.json"));
    let kind = json!({"name": "push", "urgency": "high", "share_percent": 50, "deadline_ms": 500,
                      "timeout_ms": 2000, "max_waiting": 100});
    let document = json!({"service": "log-desk", "team": "desk", "upstream_path": "/run",
                          "quota_per_s": quota, "kinds": [kind]});
    fs::write(&path, document.to_string()).unwrap();
    path.to_str().unwrap().to_owned()
}

/// Status that stands for an answer whose connection is closed before the body is complete.
const BROKEN: u16 = 0;

/// A fake process, which records the path and the job ID of each request.
struct Fake {
    address: String,
    requests: Arc<Mutex<Vec<(String, String)>>>,
}

/// Starts a process that gives the answers in order and then repeats the last one.
fn fake(answers: &[(u16, Value)]) -> Fake {
    let server = tiny_http::Server::http("127.0.0.1:0").unwrap();
    let address = server.server_addr().to_string();
    let requests = Arc::new(Mutex::new(Vec::new()));
    let recorded = Arc::clone(&requests);
    let mut answers: VecDeque<(u16, Value)> = answers.iter().cloned().collect();
    thread::spawn(move || {
        for request in server.incoming_requests() {
            let id = request.headers().iter().find(|header| header.field.equiv("Kingcup-Job-Id"));
            let id = id.map(|header| header.value.to_string()).unwrap_or_default();
            recorded.lock().unwrap().push((request.url().to_owned(), id));
            let (status, body) = answers[0].clone();
            if answers.len() > 1 {
                answers.pop_front();
            }
            if status == BROKEN {
                let partial = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\ncut\r\n";
                let mut writer = request.into_writer();
                writer.write_all(partial).unwrap();
                writer.flush().unwrap();
                continue;
            }
            let response = tiny_http::Response::from_string(body.to_string());
            request.respond(response.with_status_code(status)).unwrap();
        }
    });
    Fake { address, requests }
}

/// Returns an address that refuses connections.
fn refusing_address() -> String {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().to_string()
}

/// Returns the answer to a request for a home token.
fn home_answer() -> (u16, Value) {
    (200, json!({"home": "entry.a-1f-2"}))
}

#[rstest]
#[case(&[], "no command")]
#[case(&["launch"], "unknown command \"launch\"")]
#[case(&["show"], "unknown command \"show\", or wrong arguments")]
#[case(&["--base", "x", "apply", "f"], "--base: \"x\" is not valid")]
#[case(&["--colour", "show", "a"], "Unrecognized option: 'colour'")]
fn an_invalid_command_line_exits_64(#[case] arguments: &[&str], #[case] message: &str) {
    let outcome = ctl(arguments);
    assert_eq!(outcome.exit, 64);
    assert!(outcome.err.contains(message), "{}", outcome.err);
}

#[test]
fn check_reports_the_path_of_an_invalid_value() {
    assert_eq!(ctl(&["check", &document_file("valid", 0)]).exit, 0);
    let outcome = ctl(&["check", "--json", &document_file("invalid", -1)]);
    assert_eq!((outcome.exit, &outcome.json()["code"]), (4, &json!(401)));
    assert_eq!(outcome.json()["place"], "quota_per_s");
    assert_eq!(ctl(&["check", "/nonexistent"]).exit, 4);
}

#[test]
fn a_change_is_applied_shown_compared_and_listed() {
    let server = Server::open("127.0.0.1:0").unwrap();
    let url = server.url();
    let (one, two) = (document_file("one", 1), document_file("two", 2));
    assert_eq!(ctl(&["--store", &url, "show", "log-desk"]).exit, 1);
    let applied = ctl(&["--store", &url, "--json", "--change-id", "c1", "apply", &one]).json();
    assert_eq!((&applied["revision"], &applied["found"]), (&json!(1), &json!(false)));
    let again = ctl(&["--store", &url, "--json", "--change-id", "c1", "apply", &one]).json();
    assert_eq!((&again["revision"], &again["found"]), (&json!(1), &json!(true)));
    let diff = ctl(&["--store", &url, "diff", "log-desk", &two]);
    assert_eq!((diff.exit, diff.out.as_str()), (0, "quota_per_s: 1 -> 2\n"));
    ctl(&["--store", &url, "--change-id", "c2", "apply", &two]);
    assert_eq!(ctl(&["--store", &url, "history", "log-desk"]).out, "1 anna c1\n2 anna c2\n");
    let conflict = ctl(&["--store", &url, "--base", "1", "apply", &one]);
    assert_eq!(conflict.exit, 4);
    assert!(conflict.err.contains("revision 2 is stored, by anna (change c2)"));
    assert!(conflict.out.contains("quota_per_s: 2 -> 1"));
    let shown: Value =
        serde_json::from_str(&ctl(&["--store", &url, "show", "log-desk"]).out).unwrap();
    assert_eq!(shown["quota_per_s"], 2);
}

#[test]
fn a_lost_answer_to_a_write_is_resolved_and_an_outage_reported() {
    let server = Server::open("127.0.0.1:0").unwrap();
    let url = server.url();
    let document = document_file("lost", 1);
    server.control(&Control { lose_writes: Some(1), lost: Some(Lost::Cut), ..Control::default() });
    let applied = ctl(&["--store", &url, "--json", "apply", &document]);
    assert_eq!((applied.exit, &applied.json()["found"]), (0, &json!(true)));
    server.control(&Control { mode: Some(Mode::Refuse), ..Control::default() });
    let refused = ctl(&["--store", &url, "--timeout", "0", "apply", &document]);
    assert_eq!(refused.exit, 4);
    assert!(refused.err.contains("not written: ") && refused.err.contains("(400)"));
    let unread = ctl(&["--store", &url, "--processes", &refusing_address(), "status", "log-desk"]);
    assert_eq!(unread.exit, 4);
    assert!(unread.err.contains("cannot be read: ") && !unread.err.contains("not written"));
}

#[test]
fn status_lists_the_processes_without_the_revision() {
    let server = Server::open("127.0.0.1:0").unwrap();
    let url = server.url();
    ctl(&["--store", &url, "apply", &document_file("status", 1)]);
    let status = |name: &str, role: &str, revisions: Value| {
        json!({"name": name, "role": role, "incarnation": 1, "closing": false,
               "revisions": revisions})
    };
    let entry = fake(&[(200, status("entry.a", "entry", json!({"log-desk": 1})))]);
    let other = fake(&[(200, status("side.b", "sidecar", json!({"ruilbeurs": 4})))]);
    let behind = fake(&[(200, status("side.a", "sidecar", json!({})))]);
    let processes = format!("{},{}", entry.address, other.address);
    assert_eq!(ctl(&["--store", &url, "--processes", &processes, "status", "log-desk"]).exit, 0);
    let processes = format!("{processes},{},{}", behind.address, refusing_address());
    let outcome = ctl(&["--store", &url, "--processes", &processes, "status", "log-desk"]);
    assert_eq!(outcome.exit, 4);
    assert!(outcome.err.contains("is not in force at 2 of 3 processes (404)"), "{}", outcome.err);
    assert!(outcome.out.contains("side.a: no revision\n"), "{}", outcome.out);
    let applied = [
        "--store",
        &url,
        "--processes",
        &processes,
        "--timeout",
        "0",
        "--wait",
        "apply",
        &document_file("w", 2),
    ];
    assert_eq!(ctl(&applied).exit, 4);
}

#[test]
fn drain_reports_a_process_that_does_not_answer() {
    let process = fake(&[(200, json!({}))]);
    assert_eq!(ctl(&["drain", &process.address]).exit, 0);
    assert_eq!(process.requests.lock().unwrap()[0].0, "/drain");
    assert_eq!(ctl(&["drain", &refusing_address()]).exit, 4);
}

#[rstest]
#[case(200, json!({"code": 0}), 0)]
#[case(429, json!({"code": 104}), 1)]
#[case(409, json!({"code": 201}), 2)]
#[case(502, json!({"code": 300}), 3)]
#[case(500, json!("no code"), 2)]
fn submit_exits_with_the_group_of_the_answer(
    #[case] status: u16,
    #[case] body: Value,
    #[case] exit: i32,
) {
    let entry = fake(&[home_answer(), (status, body)]);
    let options = ["--timeout", "1", "--entry", &entry.address];
    let outcome = ctl(&[&options[..], &["submit", &document_file("job", 0)]].concat());
    assert_eq!(outcome.exit, exit, "{}", outcome.err);
    let requests = entry.requests.lock().unwrap();
    assert_eq!(requests[1], ("/v1/jobs".to_owned(), "entry.a-1f-2-1".to_owned()));
}

#[test]
fn after_a_broken_connection_the_same_job_is_submitted_to_another_entry() {
    let first = fake(&[home_answer(), (BROKEN, json!(null))]);
    let second = fake(&[(409, json!({"code": 206})), (200, json!({"code": 0}))]);
    let entries = format!("{},{},{}", refusing_address(), first.address, second.address);
    let outcome = ctl(&["--entry", &entries, "--json", "submit", &document_file("resubmit", 0)]);
    assert_eq!((outcome.exit, &outcome.json()["job"]), (0, &json!("entry.a-1f-2-1")));
    let submitted = ("/v1/jobs".to_owned(), "entry.a-1f-2-1".to_owned());
    assert_eq!(first.requests.lock().unwrap()[1..], vec![submitted.clone(); 2]);
    assert_eq!(*second.requests.lock().unwrap(), vec![submitted; 2]);
}

#[test]
fn a_refusal_after_a_broken_connection_is_not_reported_as_not_run() {
    let refusal = fake(&[(429, json!({"code": 104}))]);
    let broken = fake(&[home_answer(), (BROKEN, json!(null))]);
    let entries = format!("{},{}", broken.address, refusal.address);
    let outcome = ctl(&["--entry", &entries, "submit", &document_file("late", 0)]);
    assert_eq!(outcome.exit, 2, "{}", outcome.err);
    assert!(outcome.err.contains("the last try: queue of this kind of work is full"));
}

#[test]
fn a_job_that_reached_no_entry_was_not_run() {
    let outcome = ctl(&["--entry", &refusing_address(), "submit", &document_file("unreached", 0)]);
    assert_eq!(outcome.exit, 1, "{}", outcome.err);
}
