//! Requests and responses.

use std::fmt::Write;

use super::HEADERS;

/// Limits on a message that is received, in bytes.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Request or status line and headers.
    pub head_bytes: usize,
    /// Body.
    pub body_bytes: usize,
}

/// A request.
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

/// A response.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Response {
    /// Status.
    pub status: u16,
    /// Headers; names in lower case.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

/// Why a message cannot be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wrong {
    /// It is not HTTP/1.1.
    Malformed,
    /// Head or body is over its limit.
    TooLarge,
    /// The body comes without a length.
    NoLength,
}

fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
}

fn owned(headers: &[httparse::Header<'_>]) -> Vec<(String, String)> {
    headers
        .iter()
        .map(|header| {
            let value = String::from_utf8_lossy(header.value).trim().to_owned();
            (header.name.to_ascii_lowercase(), value)
        })
        .collect()
}

fn body_len(headers: &[(String, String)], limits: Limits) -> Result<usize, Wrong> {
    if header(headers, "transfer-encoding").is_some() {
        return Err(Wrong::NoLength);
    }
    let Some(text) = header(headers, "content-length") else { return Ok(0) };
    let len: usize = text.parse().map_err(|_| Wrong::Malformed)?;
    if len > limits.body_bytes {
        return Err(Wrong::TooLarge);
    }
    Ok(len)
}

/// Takes the body that follows a head of this length; `None` if it is not complete.
fn body(data: &[u8], head: usize, len: usize) -> Option<(usize, Vec<u8>)> {
    let body = data.get(head..head + len)?;
    Some((head + len, body.to_vec()))
}

/// Length of a head; `None` if it is not complete.
fn head_len(
    parsed: httparse::Result<usize>,
    data: &[u8],
    limits: Limits,
) -> Result<Option<usize>, Wrong> {
    match parsed {
        Ok(httparse::Status::Complete(head)) => Ok(Some(head)),
        Ok(httparse::Status::Partial) if data.len() > limits.head_bytes => Err(Wrong::TooLarge),
        Ok(httparse::Status::Partial) => Ok(None),
        Err(_) => Err(Wrong::Malformed),
    }
}

impl Request {
    /// Value of a header, whose name is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    /// True if the sender wants the connection closed after the response.
    pub fn closes(&self) -> bool {
        self.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }

    /// Parses the first request in `data`, and gives the number of bytes it took; `None` if it is not
    /// complete.
    ///
    /// # Errors
    ///
    /// `Wrong`; nothing further can be read from the connection.
    pub fn parse(data: &[u8], limits: Limits) -> Result<Option<(usize, Self)>, Wrong> {
        let mut headers = [httparse::EMPTY_HEADER; HEADERS];
        let mut parsed = httparse::Request::new(&mut headers);
        let Some(head) = head_len(parsed.parse(data), data, limits)? else { return Ok(None) };
        let headers = owned(parsed.headers);
        let len = body_len(&headers, limits)?;
        let Some((used, body)) = body(data, head, len) else { return Ok(None) };
        let method = parsed.method.ok_or(Wrong::Malformed)?.to_owned();
        let path = parsed.path.ok_or(Wrong::Malformed)?.to_owned();
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
    /// An answer with a body of this type.
    pub fn of(status: u16, content_type: &str, body: impl Into<Vec<u8>>) -> Self {
        let headers = vec![("content-type".to_owned(), content_type.to_owned())];
        Self { status, headers, body: body.into() }
    }

    /// An answer without a body.
    pub fn empty(status: u16) -> Self {
        Self { status, ..Self::default() }
    }

    /// Value of a header, whose name is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    /// Parses the first response in `data`, and gives the number of bytes it took; `None` if it is
    /// not complete.
    ///
    /// # Errors
    ///
    /// `Wrong`; nothing further can be read from the connection.
    pub fn parse(data: &[u8], limits: Limits) -> Result<Option<(usize, Self)>, Wrong> {
        let mut headers = [httparse::EMPTY_HEADER; HEADERS];
        let mut parsed = httparse::Response::new(&mut headers);
        let Some(head) = head_len(parsed.parse(data), data, limits)? else { return Ok(None) };
        let headers = owned(parsed.headers);
        let len = body_len(&headers, limits)?;
        let Some((used, body)) = body(data, head, len) else { return Ok(None) };
        let status = parsed.code.ok_or(Wrong::Malformed)?;
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

fn write_headers(head: &mut String, headers: &[(String, String)], body: usize) {
    for (name, value) in headers {
        // Writing to a string does not fail.
        let _ = write!(head, "{name}: {value}\r\n");
    }
    let _ = write!(head, "content-length: {body}\r\n\r\n");
}
