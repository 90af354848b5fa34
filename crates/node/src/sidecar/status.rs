//! Status report for operators.

use std::collections::BTreeMap;

use kingcup_dispatch::{evacuation::Table, gate::Gate};
use serde::Serialize;

use crate::{
    settings::sidecar::Settings,
    sidecar::{entries::Entries, peers::Peers},
    status::Evacuations,
};

/// An entry, as this sidecar sees it.
#[derive(Debug, Serialize)]
pub struct Entry<'a> {
    /// Name of the entry.
    pub name: &'a str,
    /// Whether it has a connection to this sidecar.
    pub connected: bool,
    /// Time since it last acknowledged an announcement, in milliseconds.
    pub silent_ms: u64,
}

/// Answer to `GET /status`.
#[derive(Debug, Serialize)]
pub struct Status<'a> {
    /// Name of the sidecar.
    pub name: &'a str,
    /// Always `sidecar`.
    pub role: &'static str,
    /// Incarnation of the sidecar, in hexadecimal.
    pub incarnation: String,
    /// Service whose upstream it serves.
    pub service: &'a str,
    /// Availability zone.
    pub zone: &'a str,
    /// Address of the upstream.
    pub upstream: String,
    /// Revision of the document in force; 0 if there is none.
    pub revision: u64,
    /// Revision in force by service, in the form that entries report too.
    pub revisions: BTreeMap<&'a str, u64>,
    /// Evacuated zones.
    pub evacuations: Evacuations<'a>,
    /// Whether it refuses starts because its zone is evacuated.
    pub evacuated: bool,
    /// Whether it accepts no new work.
    pub closing: bool,
    /// Whether it accepts no new work and all calls have ended.
    pub drained: bool,
    /// Slots of the upstream.
    pub slots: u16,
    /// Calls that have not ended.
    pub running: usize,
    /// Starts waiting for a slot.
    pub queued: usize,
    /// Start records kept.
    pub records: usize,
    /// Known entries.
    pub entries: Vec<Entry<'a>>,
}

/// Builds the answer to `GET /status`.
pub fn status<'a>(
    settings: &'a Settings,
    gate: &Gate,
    evacuations: &'a Table,
    entries: &'a Entries,
    peers: &Peers,
    now_ms: u64,
) -> Status<'a> {
    let entry = |(name, last_received_us): (&'a str, u64)| Entry {
        name,
        connected: peers.iter().any(|peer| peer.entry == name),
        silent_ms: now_ms.saturating_sub(last_received_us / 1000),
    };
    let revision = Some(gate.revision()).filter(|revision| *revision > 0);
    let revisions = revision.into_iter().map(|revision| (settings.service.as_str(), revision));
    Status {
        name: &settings.process.name,
        role: "sidecar",
        incarnation: format!("{:x}", gate.incarnation()),
        service: &settings.service,
        zone: &settings.process.zone,
        upstream: settings.upstream.to_string(),
        revision: gate.revision(),
        revisions: revisions.collect(),
        evacuations: Evacuations::new(evacuations),
        evacuated: gate.is_evacuated(),
        closing: gate.is_closing(),
        drained: gate.is_closing() && gate.running() == 0,
        slots: gate.slots(),
        running: gate.running(),
        queued: gate.queued(),
        records: gate.records(),
        entries: entries.iter().map(entry).collect(),
    }
}
