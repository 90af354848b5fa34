//! Guards against faults on the links of an entry to sidecars and other entries: starts that are
//! sent twice or lost, work reported as not run that may have run, and invalid connections.

mod common;

use std::{
    io::{Read, Write},
    net::{TcpStream, UdpSocket},
};

use common::{
    connect_as_peer, key, loopback, wait_for, Connection, Fixture, Greeting, Peer, Sidecar,
};
use kingcup_wire::{Fate, Forward, Forwarded, Frame, Held, Hello, Key, Role, Writer};
use rstest::rstest;

const JOB: &str = r#"{"service":"desk","tasks":[{"kind":"push","payload":1}]}"#;

/// Waits for an inquiry and returns its sequences.
fn next_inquiry(connection: &mut Connection) -> Vec<u64> {
    let select = |frame: &Frame<'_>| match frame {
        Frame::Inquire(inquire) => Some(inquire.sequences.clone()),
        _ => None,
    };
    connection.next(select).expect("inquiry")
}

/// Guards against a start that is sent again after a lost connection although the task may be
/// running, and against a sequence that is used twice.
#[test]
fn starts_in_flight_are_inquired_about_on_the_next_connection() {
    let entry = Fixture::open(&[]);
    let mut sidecar = Sidecar::open("s1", 5);
    sidecar.announce(&entry);
    let (mut connection, old) = sidecar.accept();
    let (one, two, three) = (entry.submit("", JOB), entry.submit("", JOB), entry.submit("", JOB));
    let sent = [connection.start().0, connection.start().0, connection.start().0];
    drop(connection);
    let (mut connection, new) = sidecar.accept();
    assert!(new.generation > old.generation && new.settled < sent[0], "{old:?} {new:?}");
    assert_eq!(next_inquiry(&mut connection), sent);
    connection.finish(sent[0], b"\"ran before\"");
    connection.send(&Frame::Fates(vec![
        Fate { sequence: sent[0], held: Held::Finished },
        Fate { sequence: sent[1], held: Held::Running },
        Fate { sequence: sent[2], held: Held::Never },
    ]));
    let (again, _) = connection.start();
    assert!(again > sent[2], "{again} {sent:?}");
    connection.finish(sent[1], b"\"ran on\"");
    connection.finish(again, b"\"ran again\"");
    let bodies: Vec<String> = [one, two, three]
        .into_iter()
        .map(|job| job.join().unwrap().body["answers"][0].as_str().unwrap_or("").to_owned())
        .collect();
    for expected in ["ran before", "ran on", "ran again"] {
        assert!(bodies.iter().any(|body| body == expected), "{bodies:?}");
    }
}

/// Guards against work at a restarted sidecar that is answered as not run, or not at all.
#[test]
fn starts_at_a_restarted_sidecar_may_have_run() {
    let entry = Fixture::open(&[]);
    let mut sidecar = Sidecar::open("s1", 5);
    let mut connection = sidecar.join(&entry);
    let job = entry.submit("", JOB);
    connection.start();
    drop(connection);
    sidecar.incarnation = 6;
    let (mut connection, _) = sidecar.accept();
    let response = job.join().unwrap();
    assert_eq!((response.code(), &response.body["may_resubmit"]), (200, &false.into()));
    let job = entry.submit("", JOB);
    let (sequence, _) = connection.start();
    connection.finish(sequence, b"1");
    assert_eq!(job.join().unwrap().code(), 0);
}

/// Guards against waiting on a connection on which nothing arrives any more.
#[test]
fn a_silent_connection_is_probed_and_replaced() {
    let entry = Fixture::open(&[]);
    let mut sidecar = Sidecar::open("s1", 5);
    sidecar.announce(&entry);
    let (mut silent, old) = sidecar.accept();
    let job = entry.submit("", JOB);
    let (sequence, _) = silent.start();
    let probe = |frame: &Frame<'_>| matches!(frame, Frame::Probe(_)).then_some(());
    silent.next(probe).expect("probe");
    let (mut connection, new): (Connection, Greeting) = sidecar.accept();
    assert!(new.generation > old.generation);
    assert_eq!(next_inquiry(&mut connection), [sequence]);
    connection.finish(sequence, b"1");
    assert_eq!(job.join().unwrap().code(), 0);
    assert!(silent.next(|_| None::<()>).is_none(), "the old connection stays open");
}

/// Guards against starts that are sent to a stopping sidecar.
#[test]
fn a_closing_sidecar_gets_no_new_work() {
    let entry = Fixture::open(&[]);
    let mut sidecar = Sidecar::open("s1", 5);
    let mut connection = sidecar.join(&entry);
    let job = entry.submit("", JOB);
    let (sequence, _) = connection.start();
    connection.send(&Frame::Closing);
    wait_for("closing state", || {
        (entry.status()["sidecars"][0]["state"] == "closing").then_some(())
    });
    assert_eq!(entry.post("/v1/jobs", "", JOB).code(), 109);
    connection.finish(sequence, b"1");
    assert_eq!(job.join().unwrap().code(), 0);
}

/// Guards against invalid, damaged or unauthorized data on the internal port. The entry has to
/// close the connection, reject the datagram and keep running.
#[rstest]
#[case::random_bytes(vec![0xff; 300])]
#[case::http(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n".to_vec())]
#[case::other_version(altered(4, 2))]
#[case::damaged(altered(30, 1))]
#[case::foreign_key(sealed(&Key::derive("another secret, long enough"), 3, Role::Entry))]
#[case::sidecar_connects(sealed(&key(), 3, Role::Sidecar))]
#[case::length_beyond_limit(vec![0xff, 0xff, 0xff, 0x7f, 1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0])]
fn invalid_connections_are_closed(#[case] bytes: Vec<u8>) {
    let entry = Fixture::open(&[]);
    let mut stream = TcpStream::connect(entry.internal).unwrap();
    stream.set_read_timeout(Some(common::WAIT)).unwrap();
    stream.write_all(&bytes).unwrap();
    let mut rest = Vec::new();
    if let Err(error) = stream.read_to_end(&mut rest) {
        assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
    }
    assert!(rest.is_empty());
    let port = UdpSocket::bind(loopback()).unwrap();
    port.send_to(&bytes, entry.internal).unwrap();
    wait_for("count of rejected datagrams", || {
        let rejected = |line: &str| {
            line.starts_with("kingcup_datagrams_rejected_total") && !line.ends_with(" 0")
        };
        entry.metrics().lines().any(rejected).then_some(())
    });
    assert!(entry.home().starts_with("e1-"));
}

/// Returns an encoded `Hello` of another entry.
fn sealed(key: &Key, generation: u32, role: Role) -> Vec<u8> {
    let hello = Hello { role, name: "e2", incarnation: 3, generation, settled: 0 };
    let mut out = Vec::new();
    Writer::open(key.clone()).push(&Frame::Hello(hello), &mut out).unwrap();
    out
}

/// Returns a valid `Hello` with one byte changed.
fn altered(at: usize, by: u8) -> Vec<u8> {
    let mut bytes = sealed(&key(), 3, Role::Entry);
    let at = at.min(bytes.len() - 1);
    bytes[at] = bytes[at].wrapping_add(by);
    bytes
}

/// Guards against connections without `Hello` that stay open and use up the limit on accepted
/// connections.
#[test]
fn a_connection_without_hello_is_closed() {
    let entry = Fixture::open(&[]);
    let mut stream = TcpStream::connect(entry.internal).unwrap();
    stream.set_read_timeout(Some(common::WAIT)).unwrap();
    assert_eq!(stream.read(&mut [0; 8]).unwrap(), 0);
}

/// Guards against an answer that reaches the wrong caller, and against a request that is answered
/// as not run after it was sent on a connection that was lost.
#[test]
fn a_forwarded_request_that_was_sent_may_have_run() {
    let mut peer = Peer::open("e2", 9);
    let entry = Fixture::open(&[("e2", peer.address())]);
    peer.digest(&entry, Vec::new());
    let mut connection = peer.accept();
    let id = |number: u32| format!("Kingcup-Job-Id: e2-9-1-{number}\r\n");
    let (first, second) = (entry.submit(&id(1), JOB), entry.submit(&id(2), JOB));
    let mut calls = Vec::new();
    while calls.len() < 2 {
        let select = |frame: &Frame<'_>| match frame {
            Frame::Forward(forward) => Some((forward.call, forward.job.to_owned())),
            _ => None,
        };
        calls.push(connection.next(select).expect("forward"));
    }
    calls.sort_by(|one, other| one.1.cmp(&other.1));
    let body = br#"{"job":"e2-9-1-1","code":0,"answers":["first"]}"#;
    let (status, retry_ms) = (200, 0);
    for call in [calls[0].0, calls[0].0, 77] {
        connection.send(&Frame::Forwarded(Forwarded { call, status, retry_ms, body }));
    }
    assert_eq!(first.join().unwrap().body["answers"][0], "first");
    drop(connection);
    let response = second.join().unwrap();
    assert_eq!((response.code(), &response.body["may_resubmit"]), (205, &false.into()));
}

/// Guards against a submission that is refused as not run although an earlier attempt may have
/// reached its home through another entry.
#[rstest]
#[case::first_attempt("Kingcup-First-Attempt: true\r\n", 118)]
#[case::unmarked("", 201)]
fn an_unreachable_home_is_reported_by_attempt(#[case] header: &str, #[case] code: u64) {
    let mut peer = Peer::open("e2", 9);
    let entry = Fixture::open(&[("e2", peer.address())]);
    peer.digest(&entry, Vec::new());
    wait_for("peer", || entry.status()["entries"][0]["incarnation"].as_str().map(|_| ()));
    let headers = format!("Kingcup-Job-Id: e2-9-1-1\r\n{header}");
    // The kernel accepts the connection, but nobody sends `Welcome`.
    assert_eq!(entry.post("/v1/jobs", &headers, JOB).code(), code);
}

/// Guards against running a submission that a peer forwards although this entry is not its home.
#[test]
fn a_forward_for_another_home_is_not_run() {
    let entry = Fixture::open(&[]);
    let mut sidecar = Sidecar::open("s1", 5);
    let _connection = sidecar.join(&entry);
    let mut connection = connect_as_peer(&entry, "e2");
    let forward = |call, job, key, verb| {
        let (first, peers, body) = (true, 1, JOB.as_bytes());
        Frame::Forward(Forward { call, job, key, first, peers, verb, body })
    };
    let cases = [
        (forward(1, "e1-1-1-1", "", "submit"), 201),
        (forward(2, "", "desk/key", "submit"), 114),
        (forward(3, "", "", "submit"), 100),
        (forward(4, "e1-1-1-1", "", "destroy"), 100),
    ];
    for (frame, code) in cases {
        connection.send(&frame);
        let select = |frame: &Frame<'_>| match frame {
            Frame::Forwarded(forwarded) => serde_json::from_slice(forwarded.body).ok(),
            _ => None,
        };
        let body: serde_json::Value = connection.next(select).expect("answer");
        assert_eq!(body["code"], code, "{frame:?}");
    }
    assert_eq!(entry.status()["tables"]["tasks_sent"], 0);
}

/// Guards against a graceful stop that leaves callers without an answer or does not end.
#[test]
fn a_stop_completes_running_jobs_and_exits() {
    let mut entry = Fixture::open(&[]);
    let mut connection = Sidecar::open("s1", 5).join(&entry);
    let job = entry.submit("", JOB);
    let (sequence, _) = connection.start();
    let finish = std::thread::spawn(move || {
        connection.finish(sequence, b"1");
        connection
    });
    assert_eq!(entry.stop(), Some(0));
    assert_eq!(job.join().unwrap().code(), 0);
    drop(finish.join().unwrap());
}

/// Guards against sidecars that learn of a new revision only from the acknowledgement of their next
/// announcement, whose interval grows with the number of sidecars.
#[test]
fn a_new_revision_is_announced_on_the_links() {
    let entry = Fixture::open(&[]);
    let mut sidecar = Sidecar::open("s1", 5);
    let mut connection = sidecar.join(&entry);
    entry.store_revision(2);
    let notice = connection.next(|frame| match frame {
        Frame::Document(document) => Some((document.service.to_owned(), document.revision)),
        _ => None,
    });
    assert_eq!(notice, Some(("desk".to_owned(), 2)));
}
