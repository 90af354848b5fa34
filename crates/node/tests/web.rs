//! HTTP messages: whole, cut, too large and malformed.

use kingcup_node::web::{
    message::{Limits, Wrong},
    Request, Response,
};
use rstest::rstest;

const LIMITS: Limits = Limits { head_bytes: 200, body_bytes: 20 };

/// Guards against a request that is given out before it is whole, or with bytes of the next one.
#[test]
fn a_request_is_read_when_it_is_whole() {
    let data = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcGET /b";
    let whole = data.len() - "GET /b".len();
    for len in 0..whole {
        assert_eq!(Request::parse(&data[..len], LIMITS), Ok(None), "{len} bytes");
    }
    let (used, request) = Request::parse(data, LIMITS).expect("valid").expect("whole");
    assert_eq!((used, request.body.as_slice()), (whole, b"abc".as_slice()));
    assert_eq!(request.header("host"), Some("h"));
}

/// Guards against memory that a sender fills without an end, and against bytes taken for a request.
#[rstest]
#[case::body_too_large("POST / HTTP/1.1\r\nContent-Length: 21\r\n\r\n", Wrong::TooLarge)]
#[case::no_length("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", Wrong::NoLength)]
#[case::bad_length("POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", Wrong::Malformed)]
#[case::no_http("\x01\x02\x03\r\n\r\n", Wrong::Malformed)]
fn a_request_that_cannot_be_read_is_rejected(#[case] data: &str, #[case] wrong: Wrong) {
    assert_eq!(Request::parse(data.as_bytes(), LIMITS), Err(wrong));
}

/// Guards against a head without an end.
#[test]
fn a_head_over_its_limit_is_rejected() {
    let data = format!("GET / HTTP/1.1\r\nX: {}", "a".repeat(LIMITS.head_bytes));
    assert_eq!(Request::parse(data.as_bytes(), LIMITS), Err(Wrong::TooLarge));
}

/// Guards against a response that its receiver cannot read.
#[rstest]
#[case(200, "body", false)]
#[case(503, "", true)]
fn a_response_is_read_as_it_was_written(
    #[case] status: u16,
    #[case] body: &str,
    #[case] close: bool,
) {
    let mut data = Vec::new();
    Response::of(status, "text/plain", body).write(&mut data, close);
    let (used, response) = Response::parse(&data, LIMITS).expect("valid").expect("whole");
    assert_eq!(
        (used, response.status, response.body.as_slice()),
        (data.len(), status, body.as_bytes())
    );
    assert_eq!(response.header("connection").is_some(), close);
}
