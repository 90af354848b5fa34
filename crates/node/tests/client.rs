//! Calls of the HTTP client on the event loop.

use std::{
    cell::RefCell,
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener},
    rc::Rc,
    sync::mpsc::{self, Receiver},
    thread,
};

use kingcup_node::{
    reactor,
    web::{client, message::Limits, Client, Fault, Request, Response},
};
use stakker::{actor, ret_shutdown, stop, Stakker, CX};
use stakker_mio::Ready;

const LIMITS: Limits = Limits { head_bytes: 1_000, body_bytes: 1_000 };
/// Deadline far beyond the duration of a test, in microseconds.
const DEADLINE_US: u64 = u64::MAX;

type Outcome = Result<Response, Fault>;

/// Makes one call after the other and keeps their outcomes.
struct Probe {
    client: Client<()>,
    servers: Vec<Server>,
    outcomes: Rc<RefCell<Vec<Outcome>>>,
}

/// A server that answers one call. It signals once it has sent its answer and closed its side.
struct Server {
    address: SocketAddr,
    answered: Receiver<()>,
}

impl Probe {
    fn init(cx: CX![], servers: Vec<Server>, outcomes: Rc<RefCell<Vec<Outcome>>>) -> Option<Self> {
        let mut probe = Self { client: Client::open(LIMITS), servers, outcomes };
        probe.call_next(cx);
        Some(probe)
    }

    fn call_next(&mut self, cx: CX![]) {
        let Some(Server { address, answered }) = self.servers.pop() else { return stop!(cx) };
        let request = Request {
            method: "GET".to_owned(),
            path: "/".to_owned(),
            headers: Vec::new(),
            body: Vec::new(),
        };
        let opened = self.client.call(cx, address, &request, DEADLINE_US, (), Self::ready);
        assert_eq!(opened, Ok(()));
        // The whole answer and the end of the connection arrive before the client reads.
        answered.recv().expect("the answer is sent");
    }

    fn ready(&mut self, cx: CX![], id: client::Id, ready: Ready) {
        if let Some(((), outcome)) = self.client.ready(id, ready) {
            self.outcomes.borrow_mut().push(outcome);
            self.call_next(cx);
        }
    }
}

/// Calls each server in turn. A process can have only one event loop.
fn call_all(servers: impl IntoIterator<Item = Server>) -> Vec<Outcome> {
    let (mut stakker, poll) = reactor::open().expect("event loop opens");
    let stakker: &mut Stakker = &mut stakker;
    let outcomes = Rc::new(RefCell::new(Vec::new()));
    let mut servers: Vec<Server> = servers.into_iter().collect();
    servers.reverse();
    let kept = outcomes.clone();
    let _probe = actor!(stakker, Probe::init(servers, kept), ret_shutdown!(stakker));
    reactor::run(stakker, &poll).expect("event loop runs");
    let result = outcomes.borrow().clone();
    result
}

/// Accepts one connection, and sends these bytes and the end of the connection at once.
fn answer_and_close(bytes: &'static [u8]) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("bound");
    let (sender, answered) = mpsc::channel();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a call arrives");
        stream.write_all(bytes).expect("the answer is sent");
        stream.shutdown(Shutdown::Write).expect("the connection is open");
        sender.send(()).expect("the client waits");
        // Until the client has closed its side, so that no reset discards the answer.
        let _ = stream.read_to_end(&mut Vec::new());
    });
    Server { address, answered }
}

/// Guards against an order that counts as unanswered although its whole answer has arrived, because
/// the connection ended right after it; against a part of an answer that is taken for the whole; and
/// against a call without an answer that never ends.
#[test]
fn an_answer_counts_if_it_is_whole_when_its_connection_ends() {
    let answers: [&'static [u8]; 4] = [
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
        b"",
        b"HTTP/1.1 200 OK\r\nContent-Le",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no",
    ];
    let outcomes = call_all(answers.map(answer_and_close));
    let whole = outcomes[0].as_ref().expect("the answer is complete");
    assert_eq!((whole.status, whole.body.as_slice()), (200, b"ok".as_slice()));
    for (outcome, answer) in outcomes[1..].iter().zip(&answers[1..]) {
        assert_eq!(*outcome, Err(Fault::Unanswered), "{answer:?}");
    }
}
