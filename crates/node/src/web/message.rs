//! HTTP requests and responses.

use std::fmt::Write;

use super::MAX_HEADERS;

/// Size limits on received messages, in bytes.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum size of the head: the request or status line and the headers.
    pub head_bytes: usize,
    /// Maximum size of the body.
    pub body_bytes: usize,
}

/// An HTTP request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Request {
    /// Method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers; names in lower case.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

/// An HTTP response.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Response {
    /// Status.
    pub status: u16,
    /// Headers; names in lower case.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

/// Why a received message is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Invalid {
    /// The message is not valid HTTP/1.1.
    Malformed,
    /// The head or the body exceeds its limit.
    TooLarge,
    /// The body has no `Content-Length`.
    NoLength,
}

fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
}

fn to_owned_headers(headers: &[httparse::Header<'_>]) -> Vec<(String, String)> {
    headers
        .iter()
        .map(|header| {
            let value = String::from_utf8_lossy(header.value).trim().to_owned();
            (header.name.to_ascii_lowercase(), value)
        })
        .collect()
}

fn body_len(headers: &[(String, String)], limits: Limits) -> Result<usize, Invalid> {
    if header(headers, "transfer-encoding").is_some() {
        return Err(Invalid::NoLength);
    }
    let Some(text) = header(headers, "content-length") else { return Ok(0) };
    let len: usize = text.parse().map_err(|_| Invalid::Malformed)?;
    if len > limits.body_bytes {
        return Err(Invalid::TooLarge);
    }
    Ok(len)
}

/// Returns the body after a head of this length, with the length of the whole message, or `None` if
/// it is incomplete.
fn body(data: &[u8], head: usize, len: usize) -> Option<(usize, Vec<u8>)> {
    let body = data.get(head..head + len)?;
    Some((head + len, body.to_vec()))
}

/// Returns the length of the head, or `None` if it is incomplete.
fn head_len(
    parsed: httparse::Result<usize>,
    data: &[u8],
    limits: Limits,
) -> Result<Option<usize>, Invalid> {
    match parsed {
        Ok(httparse::Status::Complete(head)) => Ok(Some(head)),
        Ok(httparse::Status::Partial) if data.len() > limits.head_bytes => Err(Invalid::TooLarge),
        Ok(httparse::Status::Partial) => Ok(None),
        Err(_) => Err(Invalid::Malformed),
    }
}

impl Request {
    /// Returns the value of a header, whose name is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    /// Returns true if the sender requests that the connection be closed after the response.
    pub fn closes(&self) -> bool {
        self.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }

    /// Parses the first request in `data` and returns it with its length in bytes, or `None` if it
    /// is incomplete.
    ///
    /// # Errors
    ///
    /// The reason why the message is rejected. Nothing more can be read from the connection.
    pub fn parse(data: &[u8], limits: Limits) -> Result<Option<(usize, Self)>, Invalid> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut headers);
        let Some(head) = head_len(parsed.parse(data), data, limits)? else { return Ok(None) };
        let headers = to_owned_headers(parsed.headers);
        let len = body_len(&headers, limits)?;
        let Some((used, body)) = body(data, head, len) else { return Ok(None) };
        let method = parsed.method.ok_or(Invalid::Malformed)?.to_owned();
        let path = parsed.path.ok_or(Invalid::Malformed)?.to_owned();
        Ok(Some((used, Self { method, path, headers, body })))
    }

    /// Appends the request to `out`.
    pub fn write(&self, out: &mut Vec<u8>) {
        let mut head = format!("{} {} HTTP/1.1\r\n", self.method, self.path);
        write_headers(&mut head, &self.headers, self.body.len());
        out.extend_from_slice(head.as_bytes());
        out.extend_from_slice(&self.body);
    }
}

impl Response {
    /// Creates a response with a body of this content type.
    pub fn of(status: u16, content_type: &str, body: impl Into<Vec<u8>>) -> Self {
        let headers = vec![("content-type".to_owned(), content_type.to_owned())];
        Self { status, headers, body: body.into() }
    }

    /// Creates a response without a body.
    pub fn empty(status: u16) -> Self {
        Self { status, ..Self::default() }
    }

    /// Returns the value of a header, whose name is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    /// Parses the first response in `data` and returns it with its length in bytes, or `None` if it
    /// is incomplete.
    ///
    /// # Errors
    ///
    /// The reason why the message is rejected. Nothing more can be read from the connection.
    pub fn parse(data: &[u8], limits: Limits) -> Result<Option<(usize, Self)>, Invalid> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Response::new(&mut headers);
        let Some(head) = head_len(parsed.parse(data), data, limits)? else { return Ok(None) };
        let headers = to_owned_headers(parsed.headers);
        let len = body_len(&headers, limits)?;
        let Some((used, body)) = body(data, head, len) else { return Ok(None) };
        let status = parsed.code.ok_or(Invalid::Malformed)?;
        Ok(Some((used, Self { status, headers, body })))
    }

    /// Appends the response to `out`.
    pub fn write(&self, out: &mut Vec<u8>, close: bool) {
        let reason = match self.status {
            200 => "OK",
            400 => "Bad Request",
            404 => "Not Found",
            410 => "Gone",
            429 => "Too Many Requests",
            503 => "Service Unavailable",
            504 => "Gateway Timeout",
            _ => "Status",
        };
        let mut head = format!("HTTP/1.1 {} {reason}\r\n", self.status);
        if close {
            head.push_str("connection: close\r\n");
        }
        write_headers(&mut head, &self.headers, self.body.len());
        out.extend_from_slice(head.as_bytes());
        out.extend_from_slice(&self.body);
    }
}

fn write_headers(head: &mut String, headers: &[(String, String)], body_len: usize) {
    for (name, value) in headers {
        // Writing to a `String` never fails.
        let _ = write!(head, "{name}: {value}\r\n");
    }
    let _ = write!(head, "content-length: {body_len}\r\n\r\n");
}
