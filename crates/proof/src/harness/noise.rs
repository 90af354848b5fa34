//! Malformed messages for the ports of daemons.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpStream, UdpSocket},
    time::Duration,
};

/// Longest wait for a connection.
const CONNECT: Duration = Duration::from_secs(1);
/// Longest wait for an answer to a malformed message.
const ANSWER: Duration = Duration::from_millis(50);
/// Longest message that is also sent as a datagram, in bytes.
const DATAGRAM_BYTES: usize = 1_400;

/// Returns JSON that is nested too deeply for most parsers.
pub fn nested() -> String {
    "[".repeat(100_000)
}

/// Returns an HTTP request with a body.
pub fn http_message(head: &str, body: &str) -> Vec<u8> {
    format!("{head}\r\nHost: h\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// Returns malformed messages of several protocols: HTTP, and frames and datagrams between daemons.
pub fn corpus() -> Vec<Vec<u8>> {
    let mut messages: Vec<Vec<u8>> = vec![
        Vec::new(),
        vec![0; 1],
        vec![0xff; DATAGRAM_BYTES],
        vec![0xff; 1 << 20],
        b"GET".to_vec(),
        b"GET / HTTP/9.9\r\n\r\n".to_vec(),
        b"\r\n\r\n\r\n".to_vec(),
        b"\xff\xfe / HTTP/1.1\r\n\r\n".to_vec(),
        b"POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n".to_vec(),
        b"POST / HTTP/1.1\r\nContent-Length: 16777216\r\n\r\n".to_vec(),
        b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\n".to_vec(),
        format!("GET / HTTP/1.1\r\nX: {}\r\n\r\n", "a".repeat(1 << 20)).into_bytes(),
        format!("GET / HTTP/1.1\r\n{}\r\n", "A: b\r\n".repeat(10_000)).into_bytes(),
        http_message("POST / HTTP/1.1", &"a".repeat(16 << 20)),
        http_message("GET /status HTTP/1.1", &nested()),
    ];
    // Length, version, checksum and body; datagrams have no length.
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

/// Sends a message over TCP and, if it is short, as a datagram, and waits a moment for an answer,
/// which does not matter.
pub fn send(address: SocketAddr, message: &[u8]) {
    if message.len() <= DATAGRAM_BYTES {
        // Nothing may listen for datagrams there.
        let _ = UdpSocket::bind("127.0.0.1:0").and_then(|socket| socket.send_to(message, address));
    }
    let Ok(mut stream) = TcpStream::connect_timeout(&address, CONNECT) else { return };
    let _ = stream.set_write_timeout(Some(ANSWER));
    let _ = stream.set_read_timeout(Some(ANSWER));
    let _ = stream.write_all(message);
    let _ = stream.shutdown(Shutdown::Write);
    let _ = stream.read(&mut [0; 100]);
}
