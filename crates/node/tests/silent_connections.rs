//! Calls of the HTTP client to a server whose open connections go silent.

use std::{
    cell::RefCell,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    rc::Rc,
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc, Barrier,
    },
    thread,
    time::Duration,
};

use kingcup_node::{
    reactor,
    web::{client, message::Limits, Client, Fault, Request, Response},
};
use stakker::{actor, after, call, ret_shutdown, stop, Stakker, CX};
use stakker_mio::Ready;

const LIMITS: Limits = Limits { head_bytes: 1_000, body_bytes: 1_000 };
/// Number of calls that are made at the same time, and so of connections in the pool.
const CONNECTIONS: usize = 8;
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
/// Deadline far beyond the duration of a test, in microseconds.
const DEADLINE_US: u64 = u64::MAX;
/// Deadline of the calls after the silence, and a time that is later, in microseconds.
const SHORT_DEADLINE_US: u64 = 1;
const EXPIRED_US: u64 = 2;
/// Time in which the server answers a call on a connection that is not silent.
const ANSWER_TIME: Duration = Duration::from_millis(200);

/// Calls after the first ones that a server leaves unanswered.
#[derive(Debug, Clone, Copy)]
enum Unanswered {
    /// Those on the connections of the first calls, which have gone silent.
    OnFirstConnections,
    /// Every second one, on any connection.
    EverySecond,
}

/// A server that answers the first `CONNECTIONS` calls together, so that each has a connection of
/// its own.
struct Server {
    address: SocketAddr,
    accepted: Arc<AtomicUsize>,
}

/// Opens a server in threads of its own.
fn open(unanswered: Unanswered) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("bound");
    let accepted = Arc::new(AtomicUsize::new(0));
    let count = accepted.clone();
    let calls = Arc::new(AtomicUsize::new(0));
    let together = Arc::new(Barrier::new(CONNECTIONS));
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let is_first = count.fetch_add(1, Ordering::SeqCst) < CONNECTIONS;
            let (calls, together) = (calls.clone(), together.clone());
            thread::spawn(move || {
                if is_first {
                    read_call(&mut stream);
                    together.wait();
                    stream.write_all(ANSWER).expect("the connection is open");
                }
                while read_call(&mut stream) {
                    let number = calls.fetch_add(1, Ordering::SeqCst);
                    let is_answered = match unanswered {
                        Unanswered::OnFirstConnections => !is_first,
                        Unanswered::EverySecond => number % 2 == 1,
                    };
                    if is_answered && stream.write_all(ANSWER).is_err() {
                        return;
                    }
                }
            });
        }
    });
    Server { address, accepted }
}

/// Reads a call without a body. Returns false if the connection has ended.
fn read_call(stream: &mut TcpStream) -> bool {
    let mut data = Vec::new();
    let mut byte = [0];
    while !data.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => data.push(byte[0]),
            _ => return false,
        }
    }
    true
}

/// Fills its pool, and then makes calls until `answers` of them are answered.
struct Probe {
    client: Client<()>,
    address: SocketAddr,
    filled: usize,
    answers: usize,
    unanswered: Rc<RefCell<usize>>,
}

impl Probe {
    fn init(
        cx: CX![],
        address: SocketAddr,
        answers: usize,
        unanswered: Rc<RefCell<usize>>,
    ) -> Option<Self> {
        let client = Client::open(LIMITS);
        let mut probe = Self { client, address, filled: 0, answers, unanswered };
        for _ in 0..CONNECTIONS {
            probe.call(cx, DEADLINE_US);
        }
        Some(probe)
    }

    fn call(&mut self, cx: CX![], deadline_us: u64) {
        let request = Request {
            method: "GET".to_owned(),
            path: "/".to_owned(),
            headers: Vec::new(),
            body: Vec::new(),
        };
        let opened = self.client.call(cx, self.address, &request, deadline_us, (), Self::ready);
        assert_eq!(opened, Ok(()));
    }

    /// Makes a call that is given up when the server has had time to answer it.
    fn call_briefly(&mut self, cx: CX![]) {
        self.call(cx, SHORT_DEADLINE_US);
        after!(ANSWER_TIME, [cx], expire());
    }

    fn ready(&mut self, cx: CX![], id: client::Id, ready: Ready) {
        let Some(((), outcome)) = self.client.ready(id, ready) else { return };
        assert_eq!(outcome.as_ref().map(|answer: &Response| answer.status), Ok(200));
        self.filled += 1;
        if self.filled == CONNECTIONS {
            call!([cx], call_briefly());
        }
        if self.filled == CONNECTIONS + self.answers {
            stop!(cx);
        }
    }

    fn expire(&mut self, cx: CX![]) {
        for ((), outcome) in self.client.expire(EXPIRED_US) {
            assert_eq!(outcome, Err(Fault::Unanswered));
            *self.unanswered.borrow_mut() += 1;
        }
        self.call_briefly(cx);
    }
}

/// Returns the number of unanswered calls until this number of calls was answered, and the number
/// of connections that the server has accepted.
fn call_until_answered(unanswered: Unanswered, answers: usize) -> (usize, usize) {
    let server = open(unanswered);
    let (mut stakker, poll) = reactor::open().expect("event loop opens");
    let stakker: &mut Stakker = &mut stakker;
    let unanswered = Rc::new(RefCell::new(0));
    let kept = unanswered.clone();
    let _probe =
        actor!(stakker, Probe::init(server.address, answers, kept), ret_shutdown!(stakker));
    reactor::run(stakker, &poll).expect("event loop runs");
    let accepted = server.accepted.load(Ordering::SeqCst);
    let unanswered = *unanswered.borrow();
    (unanswered, accepted)
}

/// Guards against retries of a call that go to one silent connection after the other, so that the
/// time until an answer grows with the number of idle connections; and against a pool that is closed,
/// and opened again, when single calls are left unanswered on connections that work.
///
/// One test, as a process can have event loops on one thread only.
#[test]
fn unanswered_calls_close_idle_connections_if_these_may_be_silent_too() {
    let (unanswered, accepted) = call_until_answered(Unanswered::OnFirstConnections, 1);
    assert_eq!((unanswered, accepted), (2, CONNECTIONS + 1));
    let (unanswered, accepted) = call_until_answered(Unanswered::EverySecond, 4);
    assert_eq!((unanswered, accepted), (4, CONNECTIONS));
}
