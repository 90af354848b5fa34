//! Answers go to their own caller.

use std::{net::TcpStream, thread};

use kingcup_proof::{
    harness::{
        caller::{End, Task},
        cluster::{start, Plan, IDEMPOTENT, NON_IDEMPOTENT, SHORT_TIMEOUT},
        seed,
    },
    history::Form,
};

const CALLERS: usize = 24;
const ROUNDS: usize = 12;

/// Guards against answers that reach another caller when run times differ, when answers come late
/// after a time limit, and when callers go away without waiting.
#[test]
fn answers_are_never_crossed() {
    let plan = Plan { seed: seed(), entries: 2, sidecars: 2, slots: 8, ..Plan::default() };
    let mut cluster = start(plan).unwrap();
    let targets = cluster.targets();
    thread::scope(|scope| {
        for number in 0..CALLERS {
            let (mut caller, target) = (cluster.caller(), &targets[number % targets.len()]);
            let mut rng = fastrand::Rng::with_seed(cluster.plan.seed ^ number as u64);
            scope.spawn(move || {
                caller.request_home(target).unwrap();
                for round in 0..ROUNDS {
                    let sleep_ms = rng.u64(1..80);
                    let marker = format!("{number}.{round}");
                    match rng.u32(..5) {
                        0 => {
                            let task = Task::new(IDEMPOTENT, marker, sleep_ms);
                            caller.request(target, &task, Form::IdempotentRequest, None);
                        }
                        1 => {
                            let task = Task {
                                end: End::Hang,
                                ..Task::new(SHORT_TIMEOUT, marker, sleep_ms)
                            };
                            caller.request(target, &task, Form::Request, None);
                        }
                        2 => abandon(target.address),
                        _ => {
                            let job = caller.next_job(NON_IDEMPOTENT, rng.usize(1..20), sleep_ms);
                            assert!(caller.submit(target, &job).is_complete());
                        }
                    }
                }
            });
        }
    });
    cluster.finish().unwrap().assert_clean();
}

/// Sends a request and closes the connection at once.
fn abandon(address: std::net::SocketAddr) {
    use std::io::Write;
    let body = format!(
        r#"{{"service":"log-desk","kind":"{NON_IDEMPOTENT}","payload":{{"sleep_ms":30,"echo":"left"}}}}"#
    );
    let length = body.len();
    let head = format!("POST /v1/requests HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\n\r\n");
    if let Ok(mut stream) = TcpStream::connect(address) {
        let _ = stream.write_all(format!("{head}{body}").as_bytes());
    }
}
