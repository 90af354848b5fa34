//! Stand-in for the platform's store, with the one key that the daemons read.

use std::{
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use crate::{http, json};

const KEY: &str = "op/config";

#[derive(Default)]
struct State {
    revision: u64,
    /// Revision and text of each write.
    writes: Vec<(u64, String)>,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn open(address: SocketAddr) -> Option<Self> {
        let store = Self { shared: Arc::default() };
        store.lock().revision = 1;
        let server = store.clone();
        http::serve(address, Arc::new(move |request| Some(server.answer(request)))).then_some(store)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes a configuration as the operator does. The write is acknowledged when this returns.
    pub fn put(&self, text: &str) {
        let mut state = self.lock();
        state.revision += 1;
        let revision = state.revision;
        state.writes.push((revision, text.to_owned()));
        self.shared.1.notify_all();
    }

    fn answer(&self, request: &http::Message) -> (u16, String) {
        let path = request.path().split('?').next().unwrap_or_default();
        match (request.method(), path) {
            ("GET", "/kv-key") => self.read(),
            ("GET", "/kv-watch") => {
                let number = |name| {
                    request.parameter(name).and_then(|value| value.parse().ok()).unwrap_or(0_u64)
                };
                self.watch(number("after"), number("wait_ms").min(30_000))
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn read(&self) -> (u16, String) {
        let state = self.lock();
        match state.writes.last() {
            Some((revision, text)) => {
                (200, format!("{{{},\"at_rev\":{}}}", item(*revision, text), state.revision))
            }
            None => (404, format!("{{\"at_rev\":{}}}", state.revision)),
        }
    }

    fn watch(&self, after: u64, wait_ms: u64) -> (u16, String) {
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.lock();
        while state.revision <= after {
            let Some(left) = deadline.checked_duration_since(Instant::now()) else { break };
            let result = self.shared.1.wait_timeout(state, left);
            state = result.unwrap_or_else(PoisonError::into_inner).0;
        }
        let newer = state.writes.iter().filter(|(revision, _)| *revision > after);
        let events: Vec<String> =
            newer.map(|(revision, text)| format!("{{{}}}", item(*revision, text))).collect();
        let body = format!("{{\"events\":[{}],\"at_rev\":{}}}", events.join(","), state.revision);
        (200, body)
    }
}

/// Returns the members of an item.
fn item(revision: u64, text: &str) -> String {
    format!(
        "\"key\":{},\"value\":\"{}\",\"revision\":{revision},\"created\":2,\"lease\":0",
        json::quote(KEY),
        http::base64(text.as_bytes())
    )
}
