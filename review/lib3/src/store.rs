//! Stand-in for the platform's store: one key, `op/config`, with its history.
//!
//! A watch returns all changes after a revision as soon as there is one, as `PROTOCOL.md` describes.
//! History older than `retention_s` is gone, and a watch from before it is answered 410.

use std::{
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::{
    http::{self, Action, Request, Response},
    log,
};

/// `retention_s` of the sheet.
const RETENTION: Duration = Duration::from_secs(20);

#[derive(Default)]
struct State {
    revision: u64,
    /// Revision, time and value of each change.
    history: Vec<(u64, Instant, String)>,
    /// Highest revision that was discarded.
    discarded: u64,
    /// Machines that the store turns away with 503.
    turned_away: Vec<usize>,
    largest_answer: usize,
}

#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

fn parameter(path: &str, name: &str) -> Option<u64> {
    let query = path.split_once('?')?.1;
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)?
        .1
        .parse()
        .ok()
}

impl Store {
    pub fn open() -> Self {
        let store = Self::default();
        store.0 .0.lock().unwrap().revision = 1;
        store
    }

    /// Opens the address at which one machine reaches the store.
    pub fn open_address(&self, machine: usize, address: SocketAddr) -> SocketAddr {
        let store = self.clone();
        http::serve(address, move |request| store.answer(machine, request))
    }

    /// Writes the configuration, as the operator does, and returns the time of the acknowledgement.
    pub fn put(&self, text: &str) -> Instant {
        let mut state = self.0 .0.lock().unwrap();
        state.revision += 1;
        let change = (state.revision, Instant::now(), base64(text.as_bytes()));
        state.history.push(change);
        self.0 .1.notify_all();
        Instant::now()
    }

    pub fn turn_away(&self, machines: &[usize]) {
        self.0 .0.lock().unwrap().turned_away = machines.to_vec();
        self.0 .1.notify_all();
    }

    /// Size of the largest answer to a watch, in bytes.
    pub fn largest_answer(&self) -> usize {
        self.0 .0.lock().unwrap().largest_answer
    }

    fn answer(&self, machine: usize, request: &Request) -> Action {
        let mut state = self.0 .0.lock().unwrap();
        if state.turned_away.contains(&machine) {
            return Action::Answer(Response::of(503, "{}"));
        }
        let item = |(revision, _, value): &(u64, Instant, String)| {
            format!("{{\"key\":\"op/config\",\"value\":\"{value}\",\"revision\":{revision},\"created\":1,\"lease\":0")
        };
        if request.path.starts_with("/kv-key") {
            let Some(newest) = state.history.last() else {
                return Action::Answer(Response::of(404, "{}"));
            };
            let body = format!("{},\"at_rev\":{}}}", item(newest), state.revision);
            return Action::Answer(Response::of(200, body));
        }
        if !request.path.starts_with("/kv-watch") {
            return Action::Answer(Response::of(404, "{}"));
        }
        let after = parameter(&request.path, "after").unwrap_or(0);
        let wait_ms = parameter(&request.path, "wait_ms").unwrap_or(0).min(30_000);
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            if state.turned_away.contains(&machine) {
                return Action::Close;
            }
            // The newest value stays; only the history before it is discarded.
            while state.history.len() > 1 && state.history[0].1.elapsed() > RETENTION {
                let (revision, ..) = state.history.remove(0);
                state.discarded = revision;
            }
            if after < state.discarded {
                log(&format!(
                    "store: machine {machine} watches from {after}: 410, history is gone"
                ));
                return Action::Answer(Response::of(410, "{}"));
            }
            let events: Vec<String> = state
                .history
                .iter()
                .filter(|change| change.0 > after)
                .map(|change| item(change) + "}")
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body =
                    format!("{{\"events\":[{}],\"at_rev\":{}}}", events.join(","), state.revision);
                state.largest_answer = state.largest_answer.max(body.len());
                if events.len() > 1 {
                    let size = body.len();
                    log(&format!(
                        "store: machine {machine} watches from {after}: {} events, {size} bytes",
                        events.len()
                    ));
                }
                return Action::Answer(Response::of(200, body));
            }
            state = self.0 .1.wait_timeout(state, left).unwrap().0;
        }
    }
}

/// Encodes bytes as standard base64 with padding.
fn base64(data: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::with_capacity(data.len() * 4 / 3 + 4);
    for three in data.chunks(3) {
        let bytes = [three[0], *three.get(1).unwrap_or(&0), *three.get(2).unwrap_or(&0)];
        let bits = u32::from(bytes[0]) << 16 | u32::from(bytes[1]) << 8 | u32::from(bytes[2]);
        for place in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * place) & 63) as usize] as char;
            out.push(if place <= three.len() { digit } else { '=' });
        }
    }
    out
}
