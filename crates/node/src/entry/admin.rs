//! Handling of operators' HTTP requests: health, readiness, status, drain and metrics.

use kingcup_dispatch::route::State;
use serde::Serialize;
use stakker::CX;

use super::{
    contact::Contact,
    metrics::{Sample, Scrape},
    Entry,
};
use crate::{
    http::{Answer, Call},
    reactor, status,
};

#[derive(Serialize)]
struct Status<'a> {
    name: &'a str,
    role: &'a str,
    incarnation: String,
    zone: &'a str,
    ready: bool,
    closing: bool,
    store_up: bool,
    unreadable: Vec<&'a str>,
    revisions: std::collections::BTreeMap<&'a str, u64>,
    evacuations: status::Evacuations<'a>,
    sidecars: Vec<SidecarStatus<'a>>,
    entries: Vec<EntryStatus<'a>>,
    tables: std::collections::BTreeMap<String, u64>,
}

#[derive(Serialize)]
struct SidecarStatus<'a> {
    name: &'a str,
    service: &'a str,
    zone: &'a str,
    address: String,
    incarnation: String,
    state: &'a str,
    revision: u64,
    in_flight: usize,
}

#[derive(Serialize)]
struct EntryStatus<'a> {
    name: &'a str,
    address: String,
    incarnation: String,
    state: &'a str,
    closing: bool,
}

impl Entry {
    /// Handles an operator's request.
    pub(super) fn admin_request(&mut self, cx: CX![], call: Call) {
        let now_us = reactor::now_us(cx);
        let answer = match (call.method.as_str(), call.path.as_str()) {
            ("GET", "/healthz") => Answer::text(200, "ok\n"),
            ("GET", "/readyz") => self.readiness(now_us),
            ("GET", "/status") => self.status(now_us),
            ("GET", "/metrics") => self.scrape(),
            ("POST", "/drain") => {
                self.stop("drain", now_us);
                Answer::text(202, "draining\n")
            }
            _ => Answer::text(404, "not found\n"),
        };
        call.reply.send(answer);
        self.apply_and_flush(now_us);
    }

    /// Returns whether callers may be sent to this entry, and if not, the reason.
    fn readiness(&self, now_us: u64) -> Answer {
        if self.stop.is_closing() {
            Answer::text(503, "closing\n")
        } else if self.documents.revisions().is_empty() {
            Answer::text(503, "no document\n")
        } else if !self.evacuations.is_known() {
            Answer::text(503, "evacuated zones not known yet\n")
        } else if !self.has_upstream() {
            Answer::text(503, "no upstream\n")
        } else if !self.knows_peers(now_us) {
            Answer::text(503, "entries not heard yet\n")
        } else {
            Answer::text(200, "ready\n")
        }
    }

    /// Returns true if any service has an upstream that accepts work.
    fn has_upstream(&self) -> bool {
        self.services
            .iter()
            .any(|service| service.engine.fleet().iter().any(|(_, row)| row.accepts()))
    }

    fn status(&self, now_us: u64) -> Answer {
        let status = Status {
            name: &self.settings.process.name,
            role: "entry",
            incarnation: format!("{:x}", self.incarnation),
            zone: &self.settings.process.zone,
            ready: self.readiness(now_us).status == 200,
            closing: self.stop.is_closing(),
            store_up: self.store.reachable,
            unreadable: self.store.unreadable.keys().map(String::as_str).collect(),
            revisions: self.documents.revisions().into_iter().collect(),
            evacuations: status::Evacuations::new(&self.evacuations),
            sidecars: self.sidecar_statuses(),
            entries: self.entry_statuses(),
            tables: self
                .tables()
                .into_iter()
                .map(|row| (row.label.to_string(), row.value))
                .collect(),
        };
        Answer::json(200, crate::http::encode(&status))
    }

    fn sidecar_statuses(&self) -> Vec<SidecarStatus<'_>> {
        let mut rows: Vec<SidecarStatus<'_>> = self
            .sidecars
            .iter()
            .map(|(_, row)| SidecarStatus {
                name: &row.name,
                service: &self.services.get(row.service).name,
                zone: self.sidecar_zone(&row.name),
                address: row.contact.address.to_string(),
                incarnation: format!("{:x}", row.incarnation),
                state: self.sidecar_state(row),
                revision: self.sidecar_revision(&row.name),
                in_flight: self.in_flight(row),
            })
            .collect();
        rows.sort_unstable_by_key(|row| row.name);
        rows
    }

    fn sidecar_state(&self, row: &super::sidecars::Row) -> &'static str {
        let fleet = self.services.get(row.service).engine.fleet();
        let upstream = row.upstream.and_then(|upstream| fleet.get(upstream));
        let is_evacuated = upstream.is_some_and(|row| row.evacuated) && row.contact.is_open();
        match upstream.map(|row| row.state) {
            _ if row.closing => "closing",
            _ if is_evacuated => "evacuated",
            Some(State::Ejected) => "ejected",
            Some(State::Closing) => "closing",
            _ => link_state(&row.contact),
        }
    }

    fn entry_statuses(&self) -> Vec<EntryStatus<'_>> {
        let mut rows: Vec<EntryStatus<'_>> = self
            .peers
            .iter()
            .map(|(_, row)| EntryStatus {
                name: &row.name,
                address: row.contact.address.to_string(),
                incarnation: format!("{:x}", row.incarnation),
                state: link_state(&row.contact),
                closing: self.peer_closing(&row.name),
            })
            .collect();
        rows.sort_unstable_by_key(|row| row.name);
        rows
    }

    /// Returns the number of rows or bytes in each table.
    fn tables(&self) -> Vec<Sample> {
        let counts: Vec<_> = self.services.iter().map(|service| service.engine.counts()).collect();
        let sum = |field: fn(&kingcup_dispatch::engine::Counts) -> usize| {
            counts.iter().map(field).sum::<usize>() as u64
        };
        let sample = |label: &str, value: u64| Sample { label: label.into(), value };
        vec![
            sample("links", self.links.len() as u64),
            sample("sidecars", self.sidecars.count() as u64),
            sample("entries", self.peers.iter().count() as u64),
            sample("jobs", sum(|counts| counts.jobs)),
            sample("tasks_waiting", sum(|counts| counts.waiting)),
            sample("tasks_sent", sum(|counts| counts.sent)),
            sample("job_bytes", sum(|counts| counts.bytes)),
            sample("forwards", self.forwards.len() as u64),
            sample("clients", self.ledger.clients() as u64),
            sample("records_running", self.ledger.running() as u64),
            sample("record_bytes", self.ledger.answer_bytes() as u64),
            sample("unreadable_values", self.store.unreadable.len() as u64),
        ]
    }

    /// Returns the metrics in text form.
    fn scrape(&mut self) -> Answer {
        let mut scrape = Scrape {
            tables: self.tables(),
            sent_bytes: self.port.sent_bytes,
            received_bytes: self.port.received_bytes,
            rejected: self.port.rejected,
            evacuated_zones: self.evacuations.zones().len() as u64,
            ..Scrape::default()
        };
        for (service, value) in self.documents.revisions() {
            scrape.revisions.push(Sample { label: service.into(), value });
        }
        for service in self.services.iter() {
            for (class, row) in service.engine.shares().classes.iter().enumerate() {
                let Some(kind) = service.engine.kind_name(class as u16) else { continue };
                let (label, value) = (kind.clone(), u64::from(row.waiting));
                scrape.waiting.push(Sample { label: label.clone(), value });
                scrape.running.push(Sample { label, value: u64::from(row.outstanding) });
            }
        }
        Answer::text(200, self.metrics.text(&scrape))
    }
}

fn link_state(contact: &Contact) -> &'static str {
    use super::contact::Phase;
    match contact.phase {
        Phase::Open => "open",
        Phase::Greeting(_) => "connecting",
        Phase::Idle(_) => "down",
    }
}
