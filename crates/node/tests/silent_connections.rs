//! Calls of the HTTP client to a server whose open connections go silent.

use std::{
    cell::RefCell,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    rc::Rc,
    sync::{
        atomic::{AtomicUsize, Ordering},
        mpsc, Arc,
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

/// A server that answers the first `CONNECTIONS` calls together, so that each has a connection of
/// its own. These connections are silent from then on; later ones work.
struct Server {
    address: SocketAddr,
    accepted: Arc<AtomicUsize>,
}

/// Opens a server in threads of its own.
fn open() -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("bound");
    let accepted = Arc::new(AtomicUsize::new(0));
    let count = accepted.clone();
    let (sender, arrived) = mpsc::channel();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let number = count.fetch_add(1, Ordering::SeqCst);
            let sender = sender.clone();
            thread::spawn(move || {
                if number < CONNECTIONS {
                    read_call(&mut stream);
                    return sender.send(stream).expect("the calls are answered");
                }
                while read_call(&mut stream) && stream.write_all(ANSWER).is_ok() {}
            });
        }
    });
    thread::spawn(move || {
        let mut streams: Vec<TcpStream> = arrived.iter().take(CONNECTIONS).collect();
        for stream in &mut streams {
            stream.write_all(ANSWER).expect("the connection is open");
        }
        // Keeps the connections open, and reads nothing more.
        let _ = arrived.recv();
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

/// Fills its pool, and then repeats one call until it is answered.
struct Probe {
    client: Client<()>,
    address: SocketAddr,
    filled: usize,
    unanswered: Rc<RefCell<usize>>,
}

impl Probe {
    fn init(cx: CX![], address: SocketAddr, unanswered: Rc<RefCell<usize>>) -> Option<Self> {
        let mut probe = Self { client: Client::open(LIMITS), address, filled: 0, unanswered };
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
        match self.filled {
            0..CONNECTIONS => {}
            CONNECTIONS => call!([cx], call_briefly()),
            _ => stop!(cx),
        }
    }

    fn expire(&mut self, cx: CX![]) {
        for ((), outcome) in self.client.expire(EXPIRED_US) {
            assert_eq!(outcome, Err(Fault::Unanswered));
            *self.unanswered.borrow_mut() += 1;
            self.call_briefly(cx);
        }
    }
}

/// Guards against retries of a call that go to one silent connection after the other, so that the
/// time until an answer grows with the number of idle connections.
#[test]
fn after_an_unanswered_call_the_retry_avoids_connections_that_may_be_silent_too() {
    let server = open();
    let (mut stakker, poll) = reactor::open().expect("event loop opens");
    let stakker: &mut Stakker = &mut stakker;
    let unanswered = Rc::new(RefCell::new(0));
    let kept = unanswered.clone();
    let _probe = actor!(stakker, Probe::init(server.address, kept), ret_shutdown!(stakker));
    reactor::run(stakker, &poll).expect("event loop runs");
    assert_eq!(*unanswered.borrow(), 1);
    assert_eq!(server.accepted.load(Ordering::SeqCst), CONNECTIONS + 1);
}
