//! Passing requests from callers' connections to the event loop.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{Arc, Barrier},
    thread,
    time::{Duration, Instant},
};

use kingcup_node::{
    http::{self, Answer, Call},
    reactor,
};
use stakker::{fwd_do, Stakker};

/// Number of connections that are opened at the same moment.
const BURST: usize = 48;
/// Number of bursts.
const ROUNDS: usize = 5;
/// Maximum time that a test waits, far above the expected time.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Runs the event loop until `done` returns true or the timeout has passed. Returns whether it did.
fn run_until(stakker: &mut Stakker, poll: &stakker_mio::MioPoll, done: impl Fn() -> bool) -> bool {
    let deadline = Instant::now() + TIMEOUT;
    while !done() {
        if Instant::now() > deadline {
            return false;
        }
        stakker.run(Instant::now(), false);
        poll.poll(Duration::from_millis(5)).expect("poll");
        stakker.run(Instant::now(), false);
    }
    true
}

fn open(address: SocketAddr, request: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("connect");
    stream.write_all(request.as_bytes()).expect("write");
    stream.set_read_timeout(Some(TIMEOUT)).expect("timeout");
    stream
}

/// Guards against a connection that the HTTP library has accepted but does not read until another
/// connection ends: callers that connect at the same time would wait for each other's jobs.
#[test]
fn every_connection_of_a_burst_is_read_at_once() {
    let (mut stakker, poll) = reactor::open().expect("loop");
    let calls: std::rc::Rc<std::cell::RefCell<Vec<Call>>> = std::rc::Rc::default();
    let received = calls.clone();
    let fwd = fwd_do!(move |call: Call| received.borrow_mut().push(call));
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    let refusal = |_| Answer::text(500, "");
    let server = http::bind(&mut stakker, loopback, 1024, refusal, fwd).expect("bind");
    for _ in 0..ROUNDS {
        let request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
        let address = server.address;
        let barrier = Arc::new(Barrier::new(BURST));
        let opening: Vec<_> = (0..BURST)
            .map(|_| {
                let barrier = barrier.clone();
                thread::spawn(move || {
                    barrier.wait();
                    open(address, request)
                })
            })
            .collect();
        let opened: Vec<_> =
            opening.into_iter().map(|thread| thread.join().expect("open")).collect();
        assert!(run_until(&mut stakker, &poll, || calls.borrow().len() == BURST));
        for call in calls.borrow_mut().drain(..) {
            call.reply.send(Answer::text(200, "done"));
        }
        for mut stream in opened {
            let mut head = [0; 12];
            stream.read_exact(&mut head).expect("answer");
            assert_eq!(&head, b"HTTP/1.1 200");
        }
    }
}
