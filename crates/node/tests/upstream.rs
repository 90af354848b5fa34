//! Calls to the upstream: guards against an outcome that claims more than is known, and against a
//! call that is sent twice.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

use kingcup_dispatch::{
    code::Code,
    gate::{Outcome, Slot},
};
use kingcup_node::sidecar::upstream::{agent, run, Call, MAX_ANSWER_BYTES};
use kingcup_standin::upstream::{Control, Server};
use rstest::rstest;

const LOOPBACK: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Maximum wait for the start of a task.
const START_TIMEOUT: Duration = Duration::from_secs(10);

fn call(body: &str, timeout_ms: u64) -> Call {
    Call {
        slot: Slot::default(),
        path: "/run".into(),
        job: "e1-1-1-1".to_owned(),
        task: 2,
        timeout: Duration::from_millis(timeout_ms),
        payload: body.as_bytes().to_vec(),
    }
}

#[rstest]
#[case(r#"{"echo": 1}"#, Outcome::Done)]
#[case(r#"{"fail": true}"#, Outcome::Failed(Code::TaskFailed))]
#[case(r#"{"status": 503}"#, Outcome::Failed(Code::TaskFailed))]
#[case(r#"{"status": 302}"#, Outcome::Failed(Code::TaskFailed))]
#[case(r#"{"sleep_ms": 500}"#, Outcome::Unknown(Code::UpstreamTimeout))]
#[case(r#"{"hang": true}"#, Outcome::Unknown(Code::UpstreamTimeout))]
fn the_upstreams_answer_determines_the_outcome(#[case] body: &str, #[case] expected: Outcome) {
    let server = Server::open(LOOPBACK).unwrap();
    let (outcome, answer) = run(&agent(1), server.address(), &call(body, 200));
    assert_eq!(outcome, expected);
    let starts = server.starts();
    assert_eq!((starts.len(), starts[0].job.as_str(), starts[0].task), (1, "e1-1-1-1", Some(2)));
    if outcome == Outcome::Done {
        assert_eq!(answer, br#"{"echo":1,"job":"e1-1-1-1","task":2}"#);
    }
}

#[test]
fn a_refused_connection_means_that_the_task_did_not_run() {
    let listener = TcpListener::bind(LOOPBACK).unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let (outcome, _) = run(&agent(1), address, &call("{}", 200));
    assert_eq!(outcome, Outcome::NotRun(Code::NoUpstream));
}

#[test]
fn a_connection_lost_during_the_task_means_that_it_may_have_run() {
    let server = Server::open(LOOPBACK).unwrap();
    let agent = agent(1);
    let outcome = thread::scope(|scope| {
        let running =
            scope.spawn(|| run(&agent, server.address(), &call(r#"{"sleep_ms": 300}"#, 2_000)));
        let deadline = Instant::now() + START_TIMEOUT;
        while server.starts().is_empty() {
            assert!(Instant::now() < deadline, "the task has not started");
            thread::sleep(Duration::from_millis(1));
        }
        server.control(&Control { refuse_ms: Some(100), ..Control::default() });
        running.join().unwrap().0
    });
    assert_eq!(outcome, Outcome::Unknown(Code::UpstreamLost));
}

#[test]
fn an_answer_above_the_size_limit_fails() {
    let server = Server::open(LOOPBACK).unwrap();
    let echo = "x".repeat(MAX_ANSWER_BYTES as usize);
    let body = format!(r#"{{"echo": "{echo}"}}"#);
    let (outcome, answer) = run(&agent(1), server.address(), &call(&body, 2_000));
    assert_eq!((outcome, answer.len()), (Outcome::Failed(Code::AnswerTooLarge), 0));
}

/// Starts an upstream that answers the first request on a connection and closes the connection
/// after reading the second. Returns its address and the number of requests it has read.
fn closing_upstream() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind(LOOPBACK).unwrap();
    let address = listener.local_addr().unwrap();
    let requests = Arc::new(AtomicUsize::new(0));
    let count = requests.clone();
    thread::spawn(move || {
        while let Ok((mut stream, _)) = listener.accept() {
            let mut buffer = [0; 4096];
            for answer in [&b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"[..], b""] {
                let mut request = Vec::new();
                while !request.ends_with(b"{}") {
                    match stream.read(&mut buffer) {
                        Ok(0) | Err(_) => break,
                        Ok(len) => request.extend_from_slice(&buffer[..len]),
                    }
                }
                count.fetch_add(usize::from(!request.is_empty()), Ordering::SeqCst);
                let _ = stream.write_all(answer);
            }
        }
    });
    (address, requests)
}

#[test]
fn a_call_is_sent_once_when_a_reused_connection_is_lost() {
    let (address, requests) = closing_upstream();
    let agent = agent(1);
    assert_eq!(run(&agent, address, &call("{}", 1_000)).0, Outcome::Done);
    let (outcome, _) = run(&agent, address, &call("{}", 1_000));
    assert_eq!(outcome, Outcome::Unknown(Code::UpstreamLost));
    assert_eq!(requests.load(Ordering::SeqCst), 2);
}
