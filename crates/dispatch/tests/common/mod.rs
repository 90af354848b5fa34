//! Fixtures shared by the tests: a document, an engine, loads and submissions.

use kingcup_dispatch::{
    document::{Document, Kind, Urgency},
    engine::{Engine, Settings, Submission},
    route::Load,
};
use std::sync::Arc;

/// Returns a kind with the given urgency and share and default limits.
pub fn kind(name: &str, urgency: Urgency, share_percent: u8) -> Kind {
    Kind {
        name: name.to_owned(),
        urgency,
        share_percent,
        deadline_ms: 1_000,
        timeout_ms: 10_000,
        max_waiting: 20,
        idempotent: false,
    }
}

/// Returns a document with two kinds.
pub fn document() -> Document {
    Document {
        service: "log-desk".to_owned(),
        team: "corrections".to_owned(),
        upstream_path: "/run".to_owned(),
        quota_per_s: 0,
        max_milli_cpus: 1_000,
        max_memory_mb: 1_000,
        kinds: vec![
            kind("retraction", Urgency::Critical, 50),
            kind("clarification", Urgency::Low, 25),
        ],
    }
}

/// Returns an engine with the document in effect and no upstreams.
pub fn engine(seed: u64) -> Engine {
    let settings = Settings { zone: "a".to_owned(), max_bytes: 1_000 };
    let mut engine = Engine::open(settings, seed);
    engine.apply(&document(), 1, 0);
    engine
}

/// Returns the load report of an idle sidecar.
pub fn idle(slots: u16) -> Load<'static> {
    Load { revision: 1, running: &[0, 0], queued: 0, window: slots }
}

/// Returns identical payloads for the tasks of a job.
pub fn payloads(tasks: usize) -> Vec<Arc<[u8]>> {
    vec![Arc::from(&b"x"[..]); tasks]
}

/// Returns a job submission without declarations.
pub fn job<'a>(kind: &'a str, payloads: &'a [Arc<[u8]>]) -> Submission<'a> {
    Submission {
        kind,
        single: false,
        payloads,
        declared_ms: None,
        milli_cpus: None,
        memory_mb: None,
    }
}
