//! The entry process: serves callers over HTTP, admits and coordinates jobs, and routes tasks.
//!
//! One actor, `Entry`, owns all state. Each submodule implements the methods for one concern.

mod actions;
mod admin;
pub mod api;
mod callers;
mod cancellations;
pub mod contact;
mod deadlines;
mod documents;
mod evacuations;
mod forward;
mod handover;
mod members;
mod metrics;
mod peers;
mod quotas;
mod records;
mod services;
mod sidecars;
mod stop;
pub mod translate;
mod waiter;
mod watcher;

use std::{io, net::SocketAddr, time::Duration};

use kingcup_dispatch::{
    config::{self, SETTLE_MS},
    evacuation,
    key::{Ledger, Limits, Owners},
    member::{Contact, Members},
};
use kingcup_wire::{Frame, Key};
use slotmap::SecondaryMap;
use stakker::{actor, after, fwd_to, ret_shutdown, sync::ChannelGuard, Stakker, CX};
use stakker_mio::{mio::net::TcpListener, MioSource, Ready};

use crate::{
    datagram::Port,
    http,
    link::{self, Id, Table},
    reactor,
    settings::{entry::Settings, Peer},
};

/// Interval of the entry's housekeeping.
const TICK: Duration = Duration::from_millis(100);
/// `TICK` in microseconds.
const TICK_US: u64 = 100_000;
/// Maximum size of an operator's request body, in bytes.
const ADMIN_BYTES: usize = 64 << 10;
/// Microseconds in a second.
const SECOND_US: u64 = 1_000_000;

/// Owner of a connection.
#[derive(Debug, Clone, Copy)]
enum Owner {
    Sidecar(sidecars::Key),
    Peer(peers::Key),
    Inbound(peers::Inbound),
}

/// State of a running entry.
pub struct Entry {
    settings: Settings,
    incarnation: u64,
    address: SocketAddr,
    links: Table,
    owners: SecondaryMap<Id, Owner>,
    inbound_count: usize,
    listener: MioSource<TcpListener>,
    port: Port,
    members: Members,
    sidecars: sidecars::Table,
    peers: peers::Table,
    services: services::Table,
    documents: config::Store,
    evacuations: evacuation::Table,
    ledger: Ledger,
    forwards: forward::Table,
    cancellations: cancellations::Table,
    deadlines: deadlines::Table,
    quotas: quotas::Table,
    stop: stop::Stop,
    metrics: metrics::Metrics,
    watcher: watcher::Watcher,
    store: watcher::Status,
    rng: fastrand::Rng,
    /// Number of submissions so far without a job ID or an idempotency key.
    anonymous_submissions: u64,
    /// Number of digests sent so far. Each digest goes to all other entries.
    digests_sent: u64,
    next_digest_us: u64,
    /// Demand of each team, as published in the digests.
    demand: Vec<quotas::Demand>,
    _signals: ChannelGuard,
}

/// Starts the entry's actor in the event loop.
pub fn spawn(stakker: &mut Stakker, settings: Settings) -> stakker::ActorOwn<Entry> {
    actor!(stakker, Entry::init(settings), ret_shutdown!(stakker))
}

impl Entry {
    fn init(cx: CX![], settings: Settings) -> Option<Self> {
        match Self::open(cx, settings) {
            Ok(entry) => Some(entry),
            Err(error) => {
                log::error!("event=start_failed error={error:?}");
                stakker::fail!(cx, "{}", error);
                None
            }
        }
    }

    /// Binds all addresses and starts the threads that the entry needs.
    fn open(cx: CX![], settings: Settings) -> io::Result<Self> {
        let key = Key::derive(&settings.process.secret);
        let accept = fwd_to!([cx], accept() as (Ready));
        let listener = link::listen(cx, settings.internal, accept)?;
        let address = listener.local_addr()?;
        let datagrams = fwd_to!([cx], receive_datagrams() as (Ready));
        let port = Port::bind(cx, address, key.clone(), datagrams)?;
        let stored = fwd_to!([cx], handle_store_event() as (watcher::Event));
        let watcher = watcher::Watcher::spawn(cx, &settings.store, stored)?;
        let metrics = metrics::Metrics::open()?;
        Self::open_http(cx, &settings)?;
        let signal = fwd_to!([cx], signal() as (i32));
        let signals = reactor::signals(cx, &[reactor::SIGTERM, reactor::SIGINT], signal)?;
        after!(TICK, [cx], tick());
        let now_us = reactor::now_us(cx);
        let incarnation = reactor::incarnation();
        log::info!("event=started role=entry incarnation={incarnation:x} internal={address}");
        // Announces the address that the settings list for this entry, under which the others
        // connect to it.
        let listed = settings.entries.iter().find(|peer| peer.name == settings.process.name);
        let address = listed.map_or(address, |peer| peer.address);
        Ok(Self {
            incarnation,
            address,
            links: Table::open(key),
            owners: SecondaryMap::new(),
            inbound_count: 0,
            listener,
            port,
            members: new_members(&settings, now_us),
            sidecars: sidecars::Table::default(),
            peers: new_peers(&settings, now_us),
            services: services::Table::default(),
            documents: config::Store::open(now_us / 1_000, SETTLE_MS, 0),
            evacuations: evacuation::Table::default(),
            ledger: new_ledger(&settings, incarnation, now_us),
            forwards: forward::Table::default(),
            cancellations: cancellations::Table::default(),
            deadlines: deadlines::Table::default(),
            quotas: quotas::Table::open(settings.entries.len()),
            stop: stop::Stop::default(),
            metrics,
            watcher,
            store: watcher::Status::default(),
            rng: fastrand::Rng::new(),
            anonymous_submissions: 0,
            digests_sent: 0,
            next_digest_us: now_us,
            demand: Vec::new(),
            settings,
            _signals: signals,
        })
    }

    fn open_http(cx: CX![], settings: &Settings) -> io::Result<()> {
        let callers = fwd_to!([cx], caller_request() as (http::Call));
        let limit = settings.body_bytes as usize;
        http::bind(cx, settings.callers, limit, api::fault_answer, callers)?;
        let admin = fwd_to!([cx], admin_request() as (http::Call));
        http::bind(cx, settings.admin, ADMIN_BYTES, api::fault_answer, admin)?;
        Ok(())
    }

    /// Runs the housekeeping of all concerns, and schedules the next tick.
    fn tick(&mut self, cx: CX![]) {
        after!(TICK, [cx], tick());
        let now_us = reactor::now_us(cx);
        self.tick_members(now_us);
        self.tick_sidecars(cx, now_us);
        self.tick_peers(cx, now_us);
        self.tick_forwards(now_us);
        self.tick_documents(now_us);
        self.tick_deadlines(now_us);
        for service in self.services.ids() {
            self.services.get_mut(service).engine.tick(now_us);
        }
        self.apply_and_flush(now_us);
        self.tick_stop(cx, now_us);
        self.apply_and_flush(now_us);
    }

    fn signal(&mut self, cx: CX![], signal: i32) {
        let now_us = reactor::now_us(cx);
        self.stop(if signal == SIGTERM { "sigterm" } else { "sigint" }, now_us);
    }

    /// Handles a readiness event of a connection.
    fn ready(&mut self, cx: CX![], id: Id, ready: Ready) {
        let now_us = reactor::now_us(cx);
        if ready.is_writable() && !self.links.writable(id) {
            self.close(id, "connect or write failed", now_us);
            return self.apply_and_flush(now_us);
        }
        let Some(mut input) = self.links.read(id, ready, now_us) else { return };
        let mut reason = None;
        while let Some(frame) = input.take_frame() {
            self.metrics.received(&frame);
            if !self.handle_frame(id, &frame, now_us) {
                reason = Some("unexpected frame".to_owned());
                break;
            }
        }
        let closed = self.links.put_back(id, input).map(|closed| format!("{closed:?}"));
        if let Some(reason) = reason.or(closed) {
            self.close(id, &reason, now_us);
        }
        self.apply_and_flush(now_us);
    }

    /// Passes a frame to the handler for the connection's owner. Returns false if the connection
    /// must be closed.
    fn handle_frame(&mut self, id: Id, frame: &Frame<'_>, now_us: u64) -> bool {
        match self.owners.get(id).copied() {
            Some(Owner::Sidecar(key)) => self.sidecar_frame(key, id, frame, now_us),
            Some(Owner::Peer(key)) => self.peer_frame(key, id, frame, now_us),
            Some(Owner::Inbound(inbound)) => self.inbound_frame(inbound, id, frame, now_us),
            None => false,
        }
    }

    /// Queues a frame. Returns false if the connection is closed or the frame is too long.
    fn send(&mut self, id: Id, frame: &Frame<'_>) -> bool {
        self.metrics.sent(frame);
        self.links.send(id, frame)
    }

    /// Closes a connection and updates the state of its owner.
    fn close(&mut self, id: Id, reason: &str, now_us: u64) {
        match self.owners.remove(id) {
            Some(Owner::Sidecar(key)) => self.drop_sidecar(key, reason, now_us),
            Some(Owner::Peer(key)) => self.drop_peer(key, reason, now_us),
            Some(Owner::Inbound(inbound)) => {
                self.inbound_count -= 1;
                let address = self.links.get(id).map(|link| link.address.to_string());
                let address = address.unwrap_or_default();
                let greeted = inbound.greeted;
                log::info!("event=visitor_closed from={address} greeted={greeted} reason={reason}");
            }
            None => {}
        }
        self.links.close(id);
    }
}

/// Number of the signal that requests termination.
const SIGTERM: i32 = signal_hook::consts::SIGTERM;

fn other_entries(settings: &Settings) -> impl Iterator<Item = &Peer> {
    settings.entries.iter().filter(|peer| peer.name != settings.process.name)
}

fn new_members(settings: &Settings, now_us: u64) -> Members {
    let contacts = other_entries(settings).map(|peer| Contact {
        name: peer.name.clone(),
        incarnation: 0,
        address: peer.address.to_string(),
        zone: String::new(),
    });
    Members::new(&settings.process.name, &settings.process.zone, contacts, now_us)
}

fn new_peers(settings: &Settings, now_us: u64) -> peers::Table {
    let mut table = peers::Table::default();
    for peer in other_entries(settings) {
        table.ensure(&peer.name, peer.address, now_us);
    }
    table
}

fn new_ledger(settings: &Settings, incarnation: u64, now_us: u64) -> Ledger {
    let owners = Owners::new(settings.entries.iter().map(|peer| peer.name.clone()));
    let limits = Limits {
        answer_bytes: settings.record_bytes as usize,
        retention_us: settings.record_retention_s * SECOND_US,
        ..Limits::default()
    };
    Ledger::new(&settings.process.name, incarnation, owners, limits, now_us)
}
