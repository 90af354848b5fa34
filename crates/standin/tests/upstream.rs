//! Tests of the test double of an upstream, over HTTP.

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use kingcup_standin::upstream::{Control, Server};
use rstest::rstest;
use ureq::{Agent, Error};

fn start() -> (Server, Agent) {
    let server = Server::open(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(Duration::from_millis(500)));
    (server, Agent::new_with_config(config.build()))
}

fn post(server: &Server, agent: &Agent, path: &str, body: &str) -> Result<(u16, String), Error> {
    let mut response = agent
        .post(format!("http://{}{path}", server.address()))
        .header("Kingcup-Job", "e1-1-1-1")
        .header("Kingcup-Task", "3")
        .send(body)?;
    Ok((response.status().as_u16(), response.body_mut().read_to_string()?))
}

/// Guards against a start that is missing from the log or whose times differ from those of the run.
#[test]
fn task_is_answered_and_recorded() {
    let (server, agent) = start();
    let body = r#"{"sleep_ms": 20, "echo": {"a": 1}}"#;
    let (status, text) = post(&server, &agent, "/run", body).unwrap();
    assert_eq!((status, text.as_str()), (200, r#"{"echo":{"a":1},"job":"e1-1-1-1","task":3}"#));
    let starts = server.starts();
    assert_eq!((starts.len(), starts[0].job.as_str(), starts[0].task), (1, "e1-1-1-1", Some(3)));
    assert!(starts[0].end_us.unwrap() - starts[0].start_us >= 20_000);
    let url = format!("http://{}/starts", server.address());
    let listed = agent.get(url).call().unwrap().body_mut().read_to_string().unwrap();
    assert!(listed.contains(r#""job":"e1-1-1-1","task":3"#), "{listed}");
}

/// Guards against failed tasks that are reported as successful, and the reverse.
#[rstest]
#[case("{}", r#"{"fail": true}"#, 500)]
#[case("{}", r#"{"status": 418}"#, 418)]
#[case("{}", "not json", 400)]
#[case(r#"{"fail": true}"#, "{}", 500)]
#[case(r#"{"fail": false}"#, "", 200)]
fn task_ends_with_the_requested_status(
    #[case] control: &str,
    #[case] body: &str,
    #[case] status: u16,
) {
    let (server, agent) = start();
    assert_eq!(post(&server, &agent, "/control", control).unwrap().0, 200);
    assert_eq!(post(&server, &agent, "/run", body).unwrap().0, status);
    assert_eq!(server.starts()[0].status, Some(status));
}

/// Guards against hung tasks that occupy all threads, so that `/control` is not served.
#[test]
fn hung_tasks_get_no_response_and_leave_control_reachable() {
    let (server, agent) = start();
    server.control(&Control { hang: Some(true), ..Control::default() });
    thread::scope(|scope| {
        for _ in 0..70 {
            scope.spawn(|| assert!(post(&server, &agent, "/run", "{}").is_err()));
        }
    });
    assert_eq!(post(&server, &agent, "/control", r#"{"hang": false}"#).unwrap().0, 200);
    assert_eq!(post(&server, &agent, "/run", "{}").unwrap().0, 200);
    assert!(server.starts().iter().filter(|start| start.end_us.is_none()).count() >= 64);
}

/// Guards against a stall during which a task ends, and against a stall that never ends.
#[test]
fn stalled_task_ends_after_the_stall() {
    let (server, agent) = start();
    server.control(&Control { stall_ms: Some(100), ..Control::default() });
    let started = Instant::now();
    assert_eq!(post(&server, &agent, "/run", "{}").unwrap().0, 200);
    assert!(started.elapsed() >= Duration::from_millis(100));
}

/// Guards against a refusal that has no effect, and against a listener that is not opened again.
#[test]
fn connections_are_refused_temporarily() {
    let (server, agent) = start();
    server.control(&Control { refuse_ms: Some(200), ..Control::default() });
    let mut refused = false;
    for _ in 0..100 {
        match post(&server, &agent, "/run", "{}") {
            Err(Error::Io(_)) => refused = true,
            Ok(_) if refused => return,
            _ => {}
        }
        thread::sleep(Duration::from_millis(10));
    }
    panic!("refused: {refused}");
}

/// Guards against connections opened at the same time of which some are served only after others
/// have been closed.
#[test]
fn connections_opened_at_once_are_all_served() {
    use std::{
        io::{Read, Write},
        net::TcpStream,
        sync::Barrier,
    };
    const CONNECTIONS: usize = 32;
    let server = Server::open("127.0.0.1:0".parse().unwrap()).unwrap();
    let (address, all_answered) = (server.address(), Barrier::new(CONNECTIONS));
    thread::scope(|scope| {
        for _ in 0..CONNECTIONS {
            scope.spawn(|| {
                let mut stream = TcpStream::connect(address).unwrap();
                stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
                let request = b"POST /run HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";
                stream.write_all(request).unwrap();
                let answered = stream.read(&mut [0; 64]);
                all_answered.wait();
                assert!(answered.is_ok_and(|length| length > 0));
            });
        }
    });
}

/// Guards against starts that cannot be matched to the work of a caller that received no job ID.
#[test]
fn short_echo_is_recorded() {
    let (server, agent) = start();
    let long = "x".repeat(1_000);
    for body in [r#"{"echo": "mine"}"#, r#"{"echo": 5}"#, &format!(r#"{{"echo": "{long}"}}"#)] {
        assert_eq!(post(&server, &agent, "/run", body).unwrap().0, 200);
    }
    let echoes: Vec<_> = server.starts().into_iter().map(|start| start.echo).collect();
    assert_eq!(echoes, [Some("mine".to_owned()), None, None]);
}
