//! Guards against faults on the links between the system's processes: starts that are sent twice or
//! forgotten, refusals that are not true, and connections of strangers.

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

fn inquired(wire: &mut Connection) -> Vec<u64> {
    let take = |frame: &Frame<'_>| match frame {
        Frame::Inquire(inquire) => Some(inquire.sequences.clone()),
        _ => None,
    };
    wire.next(take).expect("inquiry")
}

/// Guards against a start that is sent again after a broken connection although it may run, and
/// against a sequence that is used twice.
#[test]
fn starts_in_flight_are_inquired_about_on_the_next_connection() {
    let stage = Fixture::open(&[]);
    let mut sidecar = Sidecar::open("s1", 5);
    sidecar.announce(&stage);
    let (mut wire, old) = sidecar.accept();
    let (one, two, three) = (stage.submit("", JOB), stage.submit("", JOB), stage.submit("", JOB));
    let sent = [wire.start().0, wire.start().0, wire.start().0];
    drop(wire);
    let (mut wire, new) = sidecar.accept();
    assert!(new.generation > old.generation && new.settled < sent[0], "{old:?} {new:?}");
    assert_eq!(inquired(&mut wire), sent);
    wire.finish(sent[0], b"\"ran before\"");
    wire.send(&Frame::Fates(vec![
        Fate { sequence: sent[0], held: Held::Finished },
        Fate { sequence: sent[1], held: Held::Running },
        Fate { sequence: sent[2], held: Held::Never },
    ]));
    let (again, _) = wire.start();
    assert!(again > sent[2], "{again} {sent:?}");
    wire.finish(sent[1], b"\"ran on\"");
    wire.finish(again, b"\"ran again\"");
    let bodies: Vec<String> = [one, two, three]
        .into_iter()
        .map(|job| job.join().unwrap().body["answers"][0].as_str().unwrap_or("").to_owned())
        .collect();
    for expected in ["ran before", "ran on", "ran again"] {
        assert!(bodies.iter().any(|body| body == expected), "{bodies:?}");
    }
}

/// Guards against work of a lost sidecar that is answered as not run, or never.
#[test]
fn starts_at_a_restarted_sidecar_may_have_run() {
    let stage = Fixture::open(&[]);
    let mut sidecar = Sidecar::open("s1", 5);
    let mut wire = sidecar.join(&stage);
    let job = stage.submit("", JOB);
    wire.start();
    drop(wire);
    sidecar.incarnation = 6;
    let (mut wire, _) = sidecar.accept();
    let response = job.join().unwrap();
    assert_eq!((response.code(), &response.body["may_resubmit"]), (200, &false.into()));
    let job = stage.submit("", JOB);
    let (sequence, _) = wire.start();
    wire.finish(sequence, b"1");
    assert_eq!(job.join().unwrap().code(), 0);
}

/// Guards against a connection that carries nothing any more and is waited for.
#[test]
fn a_silent_connection_is_probed_and_replaced() {
    let stage = Fixture::open(&[]);
    let mut sidecar = Sidecar::open("s1", 5);
    sidecar.announce(&stage);
    let (mut silent, old) = sidecar.accept();
    let job = stage.submit("", JOB);
    let (sequence, _) = silent.start();
    let probe = |frame: &Frame<'_>| matches!(frame, Frame::Probe(_)).then_some(());
    silent.next(probe).expect("probe");
    let (mut wire, new): (Connection, Greeting) = sidecar.accept();
    assert!(new.generation > old.generation);
    assert_eq!(inquired(&mut wire), [sequence]);
    wire.finish(sequence, b"1");
    assert_eq!(job.join().unwrap().code(), 0);
    assert!(silent.next(|_| None::<()>).is_none(), "the old connection stays open");
}

/// Guards against new work for a sidecar that is leaving.
#[test]
fn a_closing_sidecar_gets_no_new_work() {
    let stage = Fixture::open(&[]);
    let mut leaving = Sidecar::open("s1", 5);
    let mut wire = leaving.join(&stage);
    let job = stage.submit("", JOB);
    let (sequence, _) = wire.start();
    wire.send(&Frame::Closing);
    wait_for("closing state", || {
        (stage.status()["sidecars"][0]["state"] == "closing").then_some(())
    });
    assert_eq!(stage.post("/v1/jobs", "", JOB).code(), 109);
    wire.finish(sequence, b"1");
    assert_eq!(job.join().unwrap().code(), 0);
}

/// Guards against strangers, damage and other versions on the internal port: the connection has to be
/// closed and the entry to go on.
#[rstest]
#[case::noise(vec![0xff; 300])]
#[case::http(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n".to_vec())]
#[case::other_version(altered(4, 2))]
#[case::damaged(altered(30, 1))]
#[case::foreign_key(sealed(&Key::derive("another secret, long enough"), 3, Role::Entry))]
#[case::sidecar_dials(sealed(&key(), 3, Role::Sidecar))]
#[case::length_beyond_limit(vec![0xff, 0xff, 0xff, 0x7f, 1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0])]
fn strangers_are_disconnected(#[case] bytes: Vec<u8>) {
    let stage = Fixture::open(&[]);
    let mut stream = TcpStream::connect(stage.internal).unwrap();
    stream.set_read_timeout(Some(common::WAIT)).unwrap();
    stream.write_all(&bytes).unwrap();
    let mut rest = Vec::new();
    if let Err(error) = stream.read_to_end(&mut rest) {
        assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
    }
    assert!(rest.is_empty());
    let port = UdpSocket::bind(loopback()).unwrap();
    port.send_to(&bytes, stage.internal).unwrap();
    wait_for("count of rejected datagrams", || {
        let rejected = |line: &str| {
            line.starts_with("kingcup_datagrams_rejected_total") && !line.ends_with(" 0")
        };
        stage.metrics().lines().any(rejected).then_some(())
    });
    assert!(stage.home().starts_with("e1-"));
}

fn sealed(key: &Key, generation: u32, role: Role) -> Vec<u8> {
    let hello = Hello { role, name: "e2", incarnation: 3, generation, settled: 0 };
    let mut out = Vec::new();
    Writer::open(key.clone()).push(&Frame::Hello(hello), &mut out).unwrap();
    out
}

fn altered(at: usize, by: u8) -> Vec<u8> {
    let mut bytes = sealed(&key(), 3, Role::Entry);
    let at = at.min(bytes.len() - 1);
    bytes[at] = bytes[at].wrapping_add(by);
    bytes
}

/// Guards against connections that say nothing and use up the places of peers.
#[test]
fn a_connection_without_hello_is_closed() {
    let stage = Fixture::open(&[]);
    let mut stream = TcpStream::connect(stage.internal).unwrap();
    stream.set_read_timeout(Some(common::WAIT)).unwrap();
    assert_eq!(stream.read(&mut [0; 8]).unwrap(), 0);
}

/// Guards against an answer that is given to a caller whom it does not belong to, and against a
/// broken connection that is answered as not run although the request was sent.
#[test]
fn a_forwarded_request_that_was_sent_may_have_run() {
    let mut peer = Peer::open("e2", 9);
    let stage = Fixture::open(&[("e2", peer.address())]);
    peer.digest(&stage, Vec::new());
    let mut wire = peer.accept();
    let id = |number: u32| format!("Kingcup-Job-Id: e2-9-1-{number}\r\n");
    let (first, second) = (stage.submit(&id(1), JOB), stage.submit(&id(2), JOB));
    let mut calls = Vec::new();
    while calls.len() < 2 {
        let take = |frame: &Frame<'_>| match frame {
            Frame::Forward(forward) => Some((forward.call, forward.job.to_owned())),
            _ => None,
        };
        calls.push(wire.next(take).expect("forward"));
    }
    calls.sort_by(|one, other| one.1.cmp(&other.1));
    let body = br#"{"job":"e2-9-1-1","code":0,"answers":["first"]}"#;
    let (status, retry_ms) = (200, 0);
    for call in [calls[0].0, calls[0].0, 77] {
        wire.send(&Frame::Forwarded(Forwarded { call, status, retry_ms, body }));
    }
    assert_eq!(first.join().unwrap().body["answers"][0], "first");
    drop(wire);
    let response = second.join().unwrap();
    assert_eq!((response.code(), &response.body["may_resubmit"]), (205, &false.into()));
}

/// Guards against a refusal as not run of a submission that may have reached its home by another way.
#[rstest]
#[case::first_attempt("Kingcup-First-Attempt: true\r\n", 118)]
#[case::unmarked("", 201)]
fn a_home_that_is_not_reached(#[case] mark: &str, #[case] code: u64) {
    let mut peer = Peer::open("e2", 9);
    let stage = Fixture::open(&[("e2", peer.address())]);
    peer.digest(&stage, Vec::new());
    wait_for("peer", || stage.status()["entries"][0]["incarnation"].as_str().map(|_| ()));
    let headers = format!("Kingcup-Job-Id: e2-9-1-1\r\n{mark}");
    // The connection is accepted by the kernel, but nobody says `Welcome`.
    assert_eq!(stage.post("/v1/jobs", &headers, JOB).code(), code);
}

/// Guards against a submission that a peer sends for a home that this entry is not.
#[test]
fn a_forward_for_another_home_is_not_run() {
    let stage = Fixture::open(&[]);
    let mut sidecar = Sidecar::open("s1", 5);
    let _wire = sidecar.join(&stage);
    let mut wire = connect_as_peer(&stage, "e2");
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
        wire.send(&frame);
        let take = |frame: &Frame<'_>| match frame {
            Frame::Forwarded(forwarded) => serde_json::from_slice(forwarded.body).ok(),
            _ => None,
        };
        let body: serde_json::Value = wire.next(take).expect("answer");
        assert_eq!(body["code"], code, "{frame:?}");
    }
    assert_eq!(stage.status()["tables"]["tasks_sent"], 0);
}

/// Guards against a stop that leaves callers without answer, or that does not end.
#[test]
fn a_stop_completes_what_runs_and_ends() {
    let mut stage = Fixture::open(&[]);
    let mut wire = Sidecar::open("s1", 5).join(&stage);
    let job = stage.submit("", JOB);
    let (sequence, _) = wire.start();
    let finish = std::thread::spawn(move || {
        wire.finish(sequence, b"1");
        wire
    });
    assert_eq!(stage.stop(), Some(0));
    assert_eq!(job.join().unwrap().code(), 0);
    drop(finish.join().unwrap());
}

/// Guards against a document that reaches sidecars only with the acknowledgement of their next
/// announcement, whose interval grows with the fleet.
#[test]
fn a_new_revision_is_noticed_on_the_links() {
    let stage = Fixture::open(&[]);
    let mut sidecar = Sidecar::open("s1", 5);
    let mut wire = sidecar.join(&stage);
    stage.store_revision(2);
    let notice = wire.next(|frame| match frame {
        Frame::Document(document) => Some((document.service.to_owned(), document.revision)),
        _ => None,
    });
    assert_eq!(notice, Some(("desk".to_owned(), 2)));
}
