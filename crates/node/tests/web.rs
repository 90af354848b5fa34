//! Parsing of HTTP messages that are complete, truncated, too large or malformed.

use kingcup_node::web::{
    message::{Invalid, Limits},
    Request, Response,
};
use rstest::rstest;

const LIMITS: Limits = Limits { head_bytes: 200, body_bytes: 20 };

/// Guards against a request that is returned before it is complete, or with bytes of the next one.
#[test]
fn a_request_is_parsed_once_it_is_complete() {
    let data = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcGET /b";
    let complete_len = data.len() - "GET /b".len();
    for len in 0..complete_len {
        assert_eq!(Request::parse(&data[..len], LIMITS), Ok(None), "{len} bytes");
    }
    let (used, request) = Request::parse(data, LIMITS).expect("valid").expect("complete");
    assert_eq!((used, request.body.as_slice()), (complete_len, b"abc".as_slice()));
    assert_eq!(request.header("host"), Some("h"));
}

/// Guards against a sender that fills memory without bound, and against arbitrary bytes that are
/// accepted as a request.
#[rstest]
#[case::body_too_large("POST / HTTP/1.1\r\nContent-Length: 21\r\n\r\n", Invalid::TooLarge)]
#[case::no_length("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", Invalid::NoLength)]
#[case::bad_length("POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", Invalid::Malformed)]
#[case::not_http("\x01\x02\x03\r\n\r\n", Invalid::Malformed)]
fn an_invalid_request_is_rejected(#[case] data: &str, #[case] expected: Invalid) {
    assert_eq!(Request::parse(data.as_bytes(), LIMITS), Err(expected));
}

/// Guards against a sender whose head never ends.
#[test]
fn a_head_above_its_limit_is_rejected() {
    let data = format!("GET / HTTP/1.1\r\nX: {}", "a".repeat(LIMITS.head_bytes));
    assert_eq!(Request::parse(data.as_bytes(), LIMITS), Err(Invalid::TooLarge));
}

/// Guards against a written response that the parser does not accept.
#[rstest]
#[case(200, "body", false)]
#[case(503, "", true)]
fn a_written_response_is_parsed_unchanged(
    #[case] status: u16,
    #[case] body: &str,
    #[case] close: bool,
) {
    let mut data = Vec::new();
    Response::of(status, "text/plain", body).write(&mut data, close);
    let (used, response) = Response::parse(&data, LIMITS).expect("valid").expect("complete");
    assert_eq!(
        (used, response.status, response.body.as_slice()),
        (data.len(), status, body.as_bytes())
    );
    assert_eq!(response.header("connection").is_some(), close);
}
