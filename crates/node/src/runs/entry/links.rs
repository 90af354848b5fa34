//! The entry's connections to sidecars and other entries.

use std::net::SocketAddr;

use kingcup_wire::{
    run::{self, Member, Message},
    Frame, Role,
};
use stakker::CX;
use stakker_mio::Ready;

use super::{
    Entry, Peer, ENTRY_TIMEOUT_US, IDLE_RENEW_INTERVAL_US, LIST_INTERVAL_US, PEERS_DELAY_US,
    RENEW_INTERVAL_US, SIDECAR_TIMEOUT_US,
};
use crate::{
    link::{Id, Input},
    runs::{
        input::{self, Read},
        mesh::Mesh,
        settings::Process,
        translate,
    },
};

/// Returns the connected entries and this one.
fn members<'a>(mesh: &'a Mesh, process: &'a Process) -> Vec<Member<'a>> {
    let connected = mesh.connected().map(|(address, zone)| Member { address, zone });
    let own = Member { address: process.address(), zone: &process.zone };
    connected.chain([own]).collect()
}

impl Entry {
    pub(super) fn send_greeting(&mut self, link: Id) {
        let greeting = run::Greeting {
            role: Role::Entry,
            name: &self.settings.process.name,
            address: self.settings.process.address(),
            zone: &self.settings.process.zone,
            incarnation: self.incarnation,
            generation: 0,
            config: self.document.version(),
        };
        self.links.send(link, &Frame::Run(Message::Greeting(greeting)));
        self.send_orders(link);
    }

    /// Sends the list of entries to all processes if it has changed or has not been sent for some
    /// time; otherwise sends an empty list to the other entries, which shows that this one lives.
    pub(super) fn send_peers(&mut self, now_us: u64) {
        let members = members(&self.mesh, &self.settings.process);
        let addresses: Vec<SocketAddr> = members.iter().map(|member| member.address).collect();
        let is_due = self.listed_us + LIST_INTERVAL_US <= now_us || addresses != self.listed;
        let frame = if is_due {
            self.listed_us = now_us;
            self.listed = addresses;
            Frame::Run(Message::Peers(members))
        } else {
            Frame::Run(Message::Peers(Vec::new()))
        };
        for (link, peer) in &self.peers {
            let receives = match peer {
                Peer::Unknown { .. } => false,
                Peer::Sidecar { .. } => is_due,
                Peer::Entry { .. } => true,
            };
            if receives {
                self.links.send(*link, &frame);
            }
        }
    }

    /// Tells the sidecars when jobs begin or cease to wait for capacity here.
    pub(super) fn announce_waiting(&mut self, now_us: u64) {
        let waiting = self.planner.is_waiting(now_us);
        if std::mem::replace(&mut self.announced_waiting, waiting) == waiting {
            return;
        }
        for link in self.link_by_worker.values() {
            self.links.send(*link, &Frame::Run(Message::Waiting(waiting)));
        }
    }

    /// Closes the links to peers that have sent nothing or no greeting for too long.
    pub(super) fn close_unresponsive(&mut self, now_us: u64) {
        let timeout_us = |peer: Option<&Peer>| match peer {
            Some(Peer::Entry { .. }) => ENTRY_TIMEOUT_US,
            _ => SIDECAR_TIMEOUT_US,
        };
        let links = self.links.iter();
        let unresponsive: Vec<Id> = links
            .filter(|(id, link)| link.last_received_us + timeout_us(self.peers.get(id)) < now_us)
            .map(|(id, _)| id)
            .collect();
        for link in unresponsive.into_iter().chain(self.mesh.timed_out(now_us)) {
            self.close(link, "silent", now_us);
        }
    }

    pub(super) fn close(&mut self, link: Id, reason: &str, now_us: u64) {
        self.links.close(link);
        self.mesh.closed(link, now_us);
        match self.peers.remove(&link) {
            Some(Peer::Sidecar { name, worker, renewed_us, .. }) => {
                log::info!("event=sidecar_lost sidecar={name} reason={reason}");
                let Some(worker) = worker else { return };
                if self.link_by_worker.get(&worker) == Some(&link) {
                    self.link_by_worker.remove(&worker);
                    self.planner.disconnected(worker, renewed_us);
                }
            }
            Some(Peer::Entry { name }) => {
                log::info!("event=entry_lost entry={name} reason={reason}");
                self.cancels.lost(link, now_us);
            }
            Some(Peer::Unknown { .. }) | None => {}
        }
    }

    pub(super) fn accept_link(&mut self, cx: CX![], _: Ready) {
        let now_us = self.begin_event();
        while let Ok((stream, address)) = self.listener.accept() {
            match self.links.accept(cx, stream, address, now_us, Self::link_ready) {
                Ok(link) => {
                    self.accepted += 1;
                    self.peers.insert(link, Peer::Unknown { connection: self.accepted });
                    self.send_greeting(link);
                }
                Err(error) => log::warn!("event=accept_failed peer={address} error={error:?}"),
            }
        }
        self.finish_event(cx, now_us);
    }

    pub(super) fn link_ready(&mut self, cx: CX![], link: Id, ready: Ready) {
        let now_us = self.begin_event();
        match input::read(&mut self.links, &mut self.mesh, link, ready, now_us) {
            Read::Nothing => return,
            Read::Failed => self.close(link, "write", now_us),
            Read::Messages(mut input) => {
                let expected = self.handle_messages(link, &mut input, now_us);
                if let Some(reason) = input::finish(&mut self.links, link, input, expected) {
                    self.close(link, &reason, now_us);
                }
            }
        }
        self.finish_event(cx, now_us);
    }

    /// Handles the messages of one read. Returns false if the connection is to be closed.
    fn handle_messages(&mut self, link: Id, input: &mut Input, now_us: u64) -> bool {
        while let Some(frame) = input.take_frame() {
            let Frame::Run(message) = frame else { return false };
            let Some(peer) = self.peers.get_mut(&link) else { return false };
            match (message, peer) {
                (Message::Greeting(greeting), Peer::Unknown { connection }) => {
                    let connection = *connection;
                    self.register_peer(link, connection, &greeting, now_us);
                }
                (
                    Message::Held(held),
                    Peer::Sidecar { name, incarnation, connection, worker, .. },
                ) => {
                    let connected =
                        self.planner.connected(name, *incarnation, *connection, &held, now_us);
                    let Some(key) = connected else {
                        log::info!(
                            "event=connection_overtaken sidecar={name} \
                             incarnation={incarnation:x} connection={connection}"
                        );
                        return false;
                    };
                    *worker = Some(key);
                    let name = name.clone();
                    self.link_by_worker.insert(key, link);
                    self.close_overtaken(link, &name, now_us);
                    if self.announced_waiting {
                        self.links.send(link, &Frame::Run(Message::Waiting(true)));
                    }
                }
                (Message::Profile(profile), Peer::Sidecar { name, worker: Some(worker), .. }) => {
                    let profile = translate::profile_from_wire(&profile, name);
                    log::info!("event=worker worker={name} accepting={}", profile.ready);
                    self.planner.profile(*worker, profile, now_us);
                }
                (
                    Message::Grant(grant),
                    Peer::Sidecar { worker, grant: newest_grant, renewed_us, .. },
                ) => {
                    *newest_grant = grant.number;
                    let has_runs = worker.is_some_and(|worker| self.planner.has_runs(worker));
                    let interval_us =
                        if has_runs { RENEW_INTERVAL_US } else { IDLE_RENEW_INTERVAL_US };
                    if *renewed_us + interval_us <= now_us {
                        *renewed_us = now_us;
                        self.links.send(link, &Frame::Run(Message::Renew(grant.number)));
                    }
                    if let Some(worker) = *worker {
                        self.planner.load(worker, translate::load_from_wire(&grant), now_us);
                    }
                }
                (Message::Ended(ends), Peer::Sidecar { .. }) => {
                    for end in &ends {
                        self.planner.ended(&translate::end_from_wire(end), now_us);
                    }
                }
                (Message::Progress(runs), Peer::Sidecar { .. }) => {
                    for progress in &runs {
                        self.planner.progress(&translate::progress_from_wire(progress), now_us);
                    }
                }
                (Message::Refused(runs), Peer::Sidecar { .. }) => {
                    for run in runs {
                        self.planner.refused(run, now_us);
                    }
                }
                (Message::Config(config), Peer::Entry { .. }) => {
                    self.apply_config(config.text, "entry", now_us);
                }
                (Message::Config(config), Peer::Sidecar { .. }) => {
                    self.apply_config(config.text, "sidecar", now_us);
                }
                (Message::Version(version), Peer::Entry { .. }) => {
                    if version > self.document.version() {
                        self.links.send(link, &Frame::Run(Message::Fetch));
                    }
                }
                (Message::Fetch, Peer::Entry { .. } | Peer::Sidecar { .. }) => {
                    self.send_config(link);
                }
                (Message::Peers(peers), Peer::Entry { .. }) => {
                    for peer in peers {
                        self.mesh.learn(peer.address, Some(peer.zone), now_us);
                    }
                }
                (
                    Message::Evacuations { revision, zones },
                    Peer::Entry { .. } | Peer::Sidecar { .. },
                ) => {
                    self.apply_received_orders(link, revision, &zones, now_us);
                }
                (Message::Cancel { id }, Peer::Entry { .. }) => {
                    self.handle_cancel_question(link, id, now_us);
                }
                (Message::Cancelled { id, found }, Peer::Entry { .. }) => {
                    self.cancels.answered(id, link, found, now_us);
                }
                _ => return false,
            }
        }
        true
    }

    /// Closes the other links to a sidecar, which are older than this one, so that nothing that still
    /// arrives on them replaces what the sidecar has sent here.
    fn close_overtaken(&mut self, newest: Id, name: &str, now_us: u64) {
        let mut older = Vec::new();
        for (link, peer) in &self.peers {
            let Peer::Sidecar { name: other, worker: Some(_), .. } = peer else { continue };
            if other == name && *link != newest {
                older.push(*link);
            }
        }
        for link in older {
            self.close(link, "overtaken", now_us);
        }
    }

    /// Registers the process on a link by its greeting.
    fn register_peer(
        &mut self,
        link: Id,
        connection: u64,
        greeting: &run::Greeting<'_>,
        now_us: u64,
    ) {
        let name = greeting.name.to_owned();
        log::info!(
            "event=greeted peer={name} role={:?} incarnation={:x} generation={} connection={connection} \
             config={}",
            greeting.role,
            greeting.incarnation,
            greeting.generation,
            greeting.config
        );
        let peer = match greeting.role {
            Role::Sidecar => {
                // The sidecar may be connected to only one of the entries in its settings.
                let members = members(&self.mesh, &self.settings.process);
                self.links.send(link, &Frame::Run(Message::Peers(members)));
                Peer::Sidecar {
                    name,
                    incarnation: greeting.incarnation,
                    connection,
                    worker: None,
                    grant: 0,
                    renewed_us: 0,
                }
            }
            Role::Entry => {
                if self.mesh.greeted(link, greeting.zone, now_us) {
                    self.peers_due_us = self.peers_due_us.min(now_us + PEERS_DELAY_US);
                }
                self.mesh.learn(greeting.address, Some(greeting.zone), now_us);
                if greeting.config > self.document.version() {
                    self.links.send(link, &Frame::Run(Message::Fetch));
                }
                Peer::Entry { name }
            }
        };
        self.peers.insert(link, peer);
    }
}
