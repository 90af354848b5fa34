//! HTTP/1.1 with a thread for each connection, and a base64 encoder.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// A request or a response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The three words of the first line.
    pub first: [String; 3],
    /// Headers; names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        &self.first[0]
    }

    pub fn path(&self) -> &str {
        &self.first[1]
    }

    pub fn status(&self) -> u16 {
        self.first[1].parse().unwrap_or(0)
    }

    /// Returns a parameter of the query.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        let (_, query) = self.path().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

/// Parses the first message in the data and removes it.
fn take_message(data: &mut Vec<u8>) -> Option<Message> {
    let head_len = data.windows(4).position(|bytes| bytes == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&data[..head_len]).into_owned();
    let mut lines = head.split("\r\n");
    let mut words = lines.next()?.splitn(3, ' ').map(str::to_owned);
    let mut word = || words.next().unwrap_or_default();
    let first = [word(), word(), word()];
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let mut message = Message { first, headers, body: Vec::new() };
    let len: usize =
        message.header("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    if data.len() < head_len + len {
        return None;
    }
    message.body = data[head_len..head_len + len].to_vec();
    data.drain(..head_len + len);
    Some(message)
}

/// Handles a request. Returns the status and the body of the response, or `None` to leave the
/// request without one and to close the connection.
pub type Handler = dyn Fn(&Message) -> Option<(u16, String)> + Send + Sync;

/// Serves requests until the process ends. Returns false if the address cannot be bound.
pub fn serve(address: SocketAddr, handler: Arc<Handler>) -> bool {
    let Ok(listener) = TcpListener::bind(address) else { return false };
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
    true
}

fn serve_connection(mut stream: TcpStream, handler: &Handler) {
    let _ = stream.set_nodelay(true);
    let mut data = Vec::new();
    let mut chunk = vec![0; 64 << 10];
    loop {
        while let Some(request) = take_message(&mut data) {
            let Some((status, body)) = handler(&request) else { return };
            let response = format!(
                "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(response.as_bytes()).is_err() {
                return;
            }
        }
        match stream.read(&mut chunk) {
            Ok(len) if len > 0 => data.extend_from_slice(&chunk[..len]),
            _ => return,
        }
    }
}

/// Sends a request on a new connection and waits for the response. Returns `None` if the connection
/// is refused or ends, or if the response is not complete in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<Message> {
    let deadline = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    stream.write_all(text.as_bytes()).ok()?;
    let mut data = Vec::new();
    let mut chunk = vec![0; 64 << 10];
    loop {
        if let Some(response) = take_message(&mut data) {
            return Some(response);
        }
        let left = deadline.checked_duration_since(Instant::now())?;
        stream.set_read_timeout(Some(left.max(Duration::from_millis(1)))).ok()?;
        match stream.read(&mut chunk) {
            Ok(len) if len > 0 => data.extend_from_slice(&chunk[..len]),
            _ => return None,
        }
    }
}

/// Encodes bytes as standard base64 with padding.
pub fn base64(data: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in data.chunks(3) {
        let bytes = [part[0], *part.get(1).unwrap_or(&0), *part.get(2).unwrap_or(&0)];
        let bits = u32::from(bytes[0]) << 16 | u32::from(bytes[1]) << 8 | u32::from(bytes[2]);
        for digit in 0..4 {
            if digit <= part.len() {
                out.push(char::from(DIGITS[(bits >> (18 - 6 * digit) & 63) as usize]));
            } else {
                out.push('=');
            }
        }
    }
    out
}
