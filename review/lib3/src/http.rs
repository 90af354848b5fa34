//! HTTP/1.1 with one thread per connection, for stand-ins and clients.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// A received request.
pub struct Request {
    pub path: String,
    pub body: String,
}

/// A response: status and JSON body.
#[derive(Debug, Clone)]
pub struct Response {
    pub status: u16,
    pub body: String,
}

impl Response {
    pub fn of(status: u16, body: impl Into<String>) -> Self {
        Self { status, body: body.into() }
    }
}

/// What a server does with a request.
pub enum Action {
    Answer(Response),
    /// No answer; the connection stays open.
    Silence,
    /// Ends the connection without an answer.
    Close,
}

/// Length of the head of the message in `data`, its first line and its content length.
fn head(data: &[u8]) -> Option<(usize, String, usize)> {
    let end = data.windows(4).position(|four| four == b"\r\n\r\n")?;
    let text = String::from_utf8_lossy(&data[..end]).into_owned();
    let mut lines = text.split("\r\n");
    let first = lines.next().unwrap_or_default().to_owned();
    let length = lines.filter_map(|line| line.split_once(':')).find_map(|(name, value)| {
        name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse().ok())?
    });
    Some((end + 4, first, length.unwrap_or(0)))
}

/// Serves requests at an address until the process ends.
pub fn serve(
    address: SocketAddr,
    handler: impl Fn(&Request) -> Action + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind(address)
        .unwrap_or_else(|error| crate::give_up(&format!("bind {address}: {error}")));
    let bound = listener.local_addr().expect("a bound address");
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
    bound
}

fn serve_connection(mut stream: TcpStream, handler: &dyn Fn(&Request) -> Action) {
    let _ = stream.set_nodelay(true);
    let mut data = Vec::new();
    let mut chunk = vec![0; 64 << 10];
    loop {
        while let Some((start, first, length)) = head(&data) {
            if data.len() < start + length {
                break;
            }
            let body = String::from_utf8_lossy(&data[start..start + length]).into_owned();
            data.drain(..start + length);
            let mut words = first.split(' ');
            let path = words.nth(1).unwrap_or_default().to_owned();
            match handler(&Request { path, body }) {
                Action::Answer(Response { status, body }) => {
                    let text = format!(
                        "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n\
                         content-length: {}\r\n\r\n{body}",
                        body.len()
                    );
                    if stream.write_all(text.as_bytes()).is_err() {
                        return;
                    }
                }
                Action::Silence => {}
                Action::Close => return,
            }
        }
        match stream.read(&mut chunk) {
            Ok(length) if length > 0 => data.extend_from_slice(&chunk[..length]),
            _ => return,
        }
    }
}

/// Sends a request on a new connection and returns the response, or `None` without one in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    headers: &str,
    body: &str,
    timeout: Duration,
) -> Option<Response> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let text = format!(
        "{method} {path} HTTP/1.1\r\nhost: {host}\r\ncontent-type: application/json\r\n{headers}\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).ok()?;
    let mut data = Vec::new();
    let mut chunk = vec![0; 16 << 10];
    loop {
        if let Some((start, first, length)) = head(&data) {
            if data.len() >= start + length {
                let status = first.split(' ').nth(1)?.parse().ok()?;
                let body = String::from_utf8_lossy(&data[start..start + length]).into_owned();
                return Some(Response { status, body });
            }
        }
        match stream.read(&mut chunk) {
            Ok(length) if length > 0 => data.extend_from_slice(&chunk[..length]),
            _ => return None,
        }
    }
}

/// Number after `"name":` in a flat JSON object.
pub fn number(body: &str, name: &str) -> Option<u64> {
    let after = body.split_once(&format!("\"{name}\":"))?.1.trim_start();
    let end = after.find(|c: char| !c.is_ascii_digit()).unwrap_or(after.len());
    after[..end].parse().ok()
}

/// String after `"name":` in a flat JSON object; the cases use no escapes.
pub fn text<'a>(body: &'a str, name: &str) -> Option<&'a str> {
    let after = body.split_once(&format!("\"{name}\":"))?.1.trim_start();
    after.strip_prefix('"')?.split('"').next()
}
