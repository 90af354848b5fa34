//! Tests that the proxy forwards unchanged without faults and injects each fault that is set.

use std::{
    io::{self, ErrorKind, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream, UdpSocket},
    thread,
    time::Duration,
};

use kingcup_standin::proxy::{self, Faults, Handle, Rates, Side};
use rstest::rstest;

/// Timeout for what must happen, long enough for a busy machine.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Time during which something that must not happen is waited for.
const SILENCE: Duration = Duration::from_millis(200);
const SEED: u64 = 7;

/// Starts a server that echoes what it receives, over TCP and UDP on the same port.
fn start_echo_server() -> SocketAddr {
    let (listener, datagrams) = loop {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        if let Ok(datagrams) = UdpSocket::bind(listener.local_addr().unwrap()) {
            break (listener, datagrams);
        }
    };
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            thread::spawn(move || io::copy(&mut stream.try_clone().unwrap(), &mut stream));
        }
    });
    thread::spawn(move || {
        let mut buffer = [0; 2048];
        while let Ok((length, from)) = datagrams.recv_from(&mut buffer) {
            datagrams.send_to(&buffer[..length], from).unwrap();
        }
    });
    address
}

fn start() -> Handle {
    proxy::bind("127.0.0.1:0".parse().unwrap(), start_echo_server(), SEED).unwrap()
}

fn connect(proxy: &Handle) -> TcpStream {
    let stream = TcpStream::connect(proxy.address()).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream
}

fn round_trip(stream: &mut TcpStream, text: &[u8]) -> Vec<u8> {
    stream.write_all(text).unwrap();
    let mut answer = vec![0; text.len()];
    stream.read_exact(&mut answer).unwrap();
    answer
}

fn datagram_client(proxy: &Handle) -> UdpSocket {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.connect(proxy.address()).unwrap();
    socket.set_read_timeout(Some(TIMEOUT)).unwrap();
    socket
}

fn receive(socket: &UdpSocket) -> Vec<u8> {
    let mut buffer = [0; 2048];
    let length = socket.recv(&mut buffer).unwrap();
    buffer[..length].to_vec()
}

/// Asserts that nothing arrives until a read times out. A read that is interrupted because the process
/// was suspended shows neither, and is repeated.
fn assert_silent(mut read: impl FnMut() -> io::Result<usize>) {
    let kind = loop {
        match read().unwrap_err().kind() {
            ErrorKind::Interrupted => {}
            kind => break kind,
        }
    };
    assert!(matches!(kind, ErrorKind::WouldBlock | ErrorKind::TimedOut), "{kind}");
}

/// Guards against bytes that are lost or changed although no fault is set, also in large transfers
/// and at the end of a stream.
#[test]
fn forwards_streams_unchanged() {
    let proxy = start();
    let mut stream = connect(&proxy);
    let sent: Vec<u8> = (0..3_000_000_u32).map(|n| (n % 251) as u8).collect();
    let mut writer = stream.try_clone().unwrap();
    let copy = sent.clone();
    let thread = thread::spawn(move || {
        writer.write_all(&copy).unwrap();
        writer.shutdown(std::net::Shutdown::Write).unwrap();
    });
    let mut received = Vec::new();
    stream.read_to_end(&mut received).unwrap();
    thread.join().unwrap();
    assert!(received == sent);
}

/// Guards against responses that are forwarded to the wrong client.
#[test]
fn forwards_datagrams_to_their_clients() {
    let proxy = start();
    let clients: Vec<_> = (0..8).map(|_| datagram_client(&proxy)).collect();
    for (number, client) in clients.iter().enumerate() {
        client.send(&[number as u8; 5]).unwrap();
    }
    for (number, client) in clients.iter().enumerate() {
        assert_eq!(receive(client), [number as u8; 5]);
    }
}

/// Guards against a cut that stops forwarding but does not reset the connections.
#[test]
fn cut_resets_connections() {
    let proxy = start();
    let mut stream = connect(&proxy);
    round_trip(&mut stream, b"before");
    assert_eq!(proxy.cut(), 1);
    let error = stream.read(&mut [0; 8]).unwrap_err();
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
    assert_eq!(round_trip(&mut connect(&proxy), b"after"), b"after");
}

/// Guards against a frozen connection that is closed or resumes, and against new connections that
/// are frozen as well.
#[test]
fn freeze_affects_only_open_connections() {
    let proxy = start();
    let mut frozen = connect(&proxy);
    round_trip(&mut frozen, b"before");
    assert_eq!(proxy.freeze(), 1);
    frozen.write_all(b"lost").unwrap();
    assert_eq!(round_trip(&mut connect(&proxy), b"new"), b"new");
    proxy.set_faults(Faults::default());
    proxy.cut();
    frozen.set_read_timeout(Some(SILENCE)).unwrap();
    assert_silent(|| frozen.read(&mut [0; 8]));
}

/// Guards against one-way loss that affects both directions, and against stream bytes that are lost
/// instead of held back.
#[rstest]
#[case(Side::ToTarget)]
#[case(Side::ToClient)]
fn one_way_loss_holds_back_one_direction(#[case] side: Side) {
    let proxy = start();
    let mut stream = connect(&proxy);
    let client = datagram_client(&proxy);
    round_trip(&mut stream, b"before");
    proxy.set_faults(Faults { one_way: Some(side), ..Faults::default() });
    let before = proxy.counts().received;
    stream.write_all(b"held").unwrap();
    client.send(b"lost").unwrap();
    client.set_read_timeout(Some(SILENCE)).unwrap();
    assert_silent(|| client.recv(&mut [0; 8]));
    stream.set_read_timeout(Some(SILENCE)).unwrap();
    assert_silent(|| stream.read(&mut [0; 8]));
    assert!(proxy.counts().received > before);
    proxy.set_faults(Faults::default());
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    let mut answer = [0; 4];
    stream.read_exact(&mut answer).unwrap();
    assert_eq!(&answer, b"held");
}

/// Guards against damage that changes no bit of a chunk or datagram, or more than one.
#[test]
fn damage_flips_one_bit_in_each_direction() {
    let proxy = start();
    let rates = Rates { damage: 1.0, ..Rates::default() };
    proxy.set_faults(Faults { tcp: rates, udp: rates, ..Faults::default() });
    let sent = [0; 1000];
    let client = datagram_client(&proxy);
    client.send(&sent).unwrap();
    let ones = |bytes: &[u8]| bytes.iter().map(|byte| byte.count_ones()).sum::<u32>();
    assert_eq!(ones(&receive(&client)), 2);
    let mut stream = connect(&proxy);
    assert!(ones(&round_trip(&mut stream, &sent)) >= 2);
}

/// Guards against duplicates that never arrive.
#[test]
fn duplicates_are_forwarded_twice() {
    let proxy = start();
    let rates = Rates { duplicate: 1.0, ..Rates::default() };
    proxy.set_faults(Faults { tcp: rates, udp: rates, ..Faults::default() });
    let client = datagram_client(&proxy);
    client.send(b"twice").unwrap();
    for _ in 0..4 {
        assert_eq!(receive(&client), b"twice");
    }
    let mut stream = connect(&proxy);
    stream.write_all(b"twice").unwrap();
    let mut answer = [0; 20];
    stream.read_exact(&mut answer).unwrap();
    assert_eq!(&answer, b"twicetwicetwicetwice");
}

/// Guards against a drop rate that is applied to no datagram or to all, and against draws that do
/// not depend on the seed alone.
#[test]
fn drops_follow_the_seed() {
    let run = || {
        let proxy = start();
        let udp = Rates { drop: 0.3, ..Rates::default() };
        proxy.set_faults(Faults { udp, ..Faults::default() });
        let client = datagram_client(&proxy);
        client.set_read_timeout(Some(SILENCE)).unwrap();
        let is_echoed = |number: u8| {
            client.send(&[number]).unwrap();
            client.recv(&mut [0; 8]).is_ok()
        };
        (0..20).map(is_echoed).collect::<Vec<_>>()
    };
    let first = run();
    assert!(first.contains(&true) && first.contains(&false), "{first:?}");
    assert_eq!(first, run());
}

/// Guards against reordering that keeps the order or loses datagrams.
#[test]
fn reordering_changes_the_order_and_loses_nothing() {
    let proxy = start();
    let udp = Rates { reorder: 0.5, ..Rates::default() };
    proxy.set_faults(Faults { udp, ..Faults::default() });
    let client = datagram_client(&proxy);
    for number in 0..100_u8 {
        client.send(&[number]).unwrap();
    }
    let mut received: Vec<_> = (0..100).map(|_| receive(&client)[0]).collect();
    assert!(!received.is_sorted());
    received.sort_unstable();
    assert!(received.into_iter().eq(0..100));
}

/// Guards against delays that are not applied, and against a delayed chunk that is overtaken.
#[test]
fn delayed_chunks_keep_their_order() {
    let proxy = start();
    let tcp = Rates { delay: 0.5, delay_min_ms: 5, delay_max_ms: 30, ..Rates::default() };
    proxy.set_faults(Faults { tcp, ..Faults::default() });
    let mut stream = connect(&proxy);
    let sent: Vec<u8> = (0..200).collect();
    for byte in &sent {
        stream.write_all(&[*byte]).unwrap();
    }
    let mut received = vec![0; sent.len()];
    stream.read_exact(&mut received).unwrap();
    assert_eq!(received, sent);
    assert!(proxy.counts().delayed > 0);
}

/// Guards against a client's connection that stays open although the target refuses connections.
#[test]
fn refused_target_resets_the_client() {
    let target = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let proxy = proxy::bind("127.0.0.1:0".parse().unwrap(), target, SEED).unwrap();
    let mut stream = connect(&proxy);
    let error = stream.read(&mut [0; 8]).unwrap_err();
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
}

/// Guards against an HTTP interface that ignores or misinterprets settings.
#[test]
fn control_changes_faults_and_reports_counts() {
    use std::sync::Arc;
    let proxy = Arc::new(start());
    let server = Arc::new(tiny_http::Server::http("127.0.0.1:0").unwrap());
    let url = format!("http://{}", server.server_addr());
    let (shared, handle) = (Arc::clone(&server), Arc::clone(&proxy));
    let thread = thread::spawn(move || proxy::control::serve(&shared, &handle));
    let body = r#"{"udp":{"drop":1.0}}"#;
    ureq::put(format!("{url}/faults")).send(body).unwrap();
    let client = datagram_client(&proxy);
    client.send(b"lost").unwrap();
    client.set_read_timeout(Some(SILENCE)).unwrap();
    assert_silent(|| client.recv(&mut [0; 8]));
    let mut state = ureq::get(format!("{url}/state")).call().unwrap();
    let text = state.body_mut().read_to_string().unwrap();
    let state: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert_eq!(state["seed"], SEED);
    assert_eq!(state["counts"]["dropped"], 1);
    assert!(ureq::put(format!("{url}/faults")).send(r#"{"unknown":1}"#).is_err());
    server.unblock();
    thread.join().unwrap();
}

/// Guards against `--help` failing because a required option is absent.
#[test]
fn help_requires_no_other_option() {
    let program = env!("CARGO_BIN_EXE_kingcup-fault-proxy");
    let output = std::process::Command::new(program).arg("--help").output().unwrap();
    assert!(output.status.success());
    assert!(String::from_utf8(output.stdout).unwrap().contains("--target"));
    let output = std::process::Command::new(program).output().unwrap();
    assert!(!output.status.success());
}
