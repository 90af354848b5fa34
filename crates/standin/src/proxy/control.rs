//! HTTP interface that controls a running proxy.
//!
//! `GET /state` returns the seed and the counts, `PUT /faults` replaces the faults by those of a
//! JSON object of [`Faults`], and `POST /cut` and `POST /freeze` act on the open connections.

use std::io;

use serde::Serialize;
use tiny_http::{Method, Request, Response, Server};

use super::{Counts, Faults, Handle};

/// Limit on the body of a control request, in bytes; the rest is ignored.
const MAX_BODY_BYTES: u64 = 64 * 1024;

#[derive(Debug, Serialize)]
struct State {
    seed: u64,
    address: String,
    counts: Counts,
}

#[derive(Debug, Serialize)]
struct Affected {
    connections: u64,
}

/// Answers control requests until the server is unblocked.
pub fn serve(server: &Server, proxy: &Handle) {
    for mut request in server.incoming_requests() {
        let (status, body) = answer(&mut request, proxy);
        let response = Response::from_string(body).with_status_code(status);
        if let Err(error) = request.respond(response) {
            log::debug!("control response was not sent: {error}");
        }
    }
}

fn answer(request: &mut Request, proxy: &Handle) -> (u16, String) {
    let url = request.url().to_owned();
    match (request.method(), url.as_str()) {
        (Method::Get, "/state") => {
            let address = proxy.address().to_string();
            json(&State { seed: proxy.seed(), address, counts: proxy.counts() })
        }
        (Method::Put, "/faults") => match read_faults(request) {
            Ok(faults) => {
                proxy.set_faults(faults);
                json(&faults)
            }
            Err(error) => (400, error.to_string()),
        },
        (Method::Post, "/cut") => json(&Affected { connections: proxy.cut() }),
        (Method::Post, "/freeze") => json(&Affected { connections: proxy.freeze() }),
        _ => (404, "no such control".to_owned()),
    }
}

fn read_faults(request: &mut Request) -> io::Result<Faults> {
    let mut text = String::new();
    io::Read::read_to_string(&mut io::Read::take(request.as_reader(), MAX_BODY_BYTES), &mut text)?;
    Ok(serde_json::from_str(&text)?)
}

fn json(value: &impl Serialize) -> (u16, String) {
    match serde_json::to_string(value) {
        Ok(text) => (200, text),
        Err(error) => (500, error.to_string()),
    }
}
