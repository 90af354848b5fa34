//! Malformed messages at each port of real entries and sidecars, under load.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpStream, UdpSocket},
    thread,
    time::Duration,
};

use kingcup_proof::harness::{
    cluster::{document, start, Plan, SERVICE},
    seed,
    workload::{self, Mix},
};

/// Complete responses before and after the malformed messages.
const SOME: u64 = 60;
/// Longest wait for an answer to a malformed message.
const ANSWER: Duration = Duration::from_millis(50);

fn http_message(head: &str, body: &str) -> Vec<u8> {
    format!("{head}\r\nHost: h\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// Malformed messages of several protocols; each port gets all of them.
fn corpus() -> Vec<Vec<u8>> {
    let nested = "[".repeat(100_000);
    let job = format!("POST /v1/jobs/{SERVICE} HTTP/1.1");
    let mut messages: Vec<Vec<u8>> = vec![
        Vec::new(),
        vec![0; 1],
        vec![0xff; 1_400],
        vec![0xff; 1 << 20],
        b"GET".to_vec(),
        b"GET / HTTP/9.9\r\n\r\n".to_vec(),
        b"\r\n\r\n\r\n".to_vec(),
        b"\xff\xfe / HTTP/1.1\r\n\r\n".to_vec(),
        b"POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n".to_vec(),
        b"POST / HTTP/1.1\r\nContent-Length: 16777216\r\n\r\n".to_vec(),
        b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\n".to_vec(),
        format!("GET / HTTP/1.1\r\nX: {}\r\n\r\n", "a".repeat(1 << 20)).into_bytes(),
        http_message("POST / HTTP/1.1", &"a".repeat(16 << 20)),
        http_message(&job, &nested),
        http_message(&job, r#"{"tasks":[{"kind":"urgent","payload":1e400}]}"#),
        http_message(&job, r#"{"id":18446744073709551616,"tasks":[]}"#),
        http_message("GET /status HTTP/1.1", &nested),
    ];
    // Frames and datagrams: length, version, checksum and body.
    for length in [0_u32, 1, 100, 4 << 20, u32::MAX] {
        for version in [0, 3, 4, 255] {
            let mut frame = length.to_le_bytes().to_vec();
            frame.push(version);
            frame.extend([7; 200]);
            messages.push(frame.clone());
            messages.push(frame.split_off(4));
        }
    }
    messages
}

/// Sends a message over TCP and, if it is short enough, as a datagram.
fn send(address: SocketAddr, message: &[u8]) {
    if message.len() <= 1_400 {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a port is free");
        // Nothing may listen for datagrams there.
        let _ = socket.send_to(message, address);
    }
    let timeout = Duration::from_secs(1);
    let Ok(mut stream) = TcpStream::connect_timeout(&address, timeout) else { return };
    let _ = stream.set_write_timeout(Some(ANSWER));
    let _ = stream.set_read_timeout(Some(ANSWER));
    let _ = stream.write_all(message);
    let _ = stream.shutdown(Shutdown::Write);
    let _ = stream.read(&mut [0; 100]);
}

/// Guards against a process that ends, work that is lost or doubled, or a configuration that no
/// longer changes because of malformed messages.
#[test]
fn malformed_messages_at_each_port_disturb_nothing() {
    let plan = Plan { seed: seed(), entries: 2, sidecars: 2, ..Plan::default() };
    let mut cluster = start(plan).unwrap();
    let load = workload::spawn(&cluster, &Mix::default());
    cluster.recorder.wait_complete(SOME).unwrap();
    let entries = cluster
        .entries
        .iter()
        .flat_map(|entry| [entry.settings.internal, entry.settings.callers, entry.settings.admin]);
    let sidecars = cluster
        .sidecars
        .iter()
        .flat_map(|sidecar| [sidecar.settings.internal, sidecar.settings.admin]);
    let targets: Vec<SocketAddr> = entries.chain(sidecars).collect();
    thread::scope(|scope| {
        for target in &targets {
            scope.spawn(|| corpus().iter().for_each(|message| send(*target, message)));
        }
    });
    cluster.recorder.wait_complete(SOME).unwrap();
    let document = kingcup_dispatch::document::Document { quota_per_s: 1_000_000, ..document() };
    let applied = cluster.apply(&document, "second").unwrap();
    cluster.wait_revision(applied.revision.unwrap()).unwrap();
    load.stop();
    cluster.wait_idle().unwrap();
    println!("{:?}", cluster.recorder.codes());
    let entries = cluster.entries.iter_mut().map(|entry| entry.program.as_mut());
    let sidecars = cluster.sidecars.iter_mut().map(|sidecar| sidecar.program.as_mut());
    for program in entries.chain(sidecars) {
        assert!(program.unwrap().is_running(), "a process has ended");
    }
    cluster.finish().unwrap().assert_clean();
}
