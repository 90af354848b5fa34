//! The sidecar's connections to entries.

use std::{collections::HashMap, sync::Arc};

use kingcup_dispatch::worker::{Effect, End, Entry, Start};
use kingcup_wire::{
    run::{self, Message},
    Frame, Role,
};
use stakker::CX;
use stakker_mio::Ready;

use super::{Sidecar, ENTRY_TIMEOUT_US, LEAVE_US, REQUEST_TIMEOUT_US};
use crate::{
    link::{Id, Input},
    runs::{
        input::{self, Read},
        translate,
    },
};

/// An entry that has sent its greeting on a link.
pub(super) struct Peer {
    pub(super) entry: Entry,
    pub(super) name: String,
    /// Highest version of the configuration that the entry is known to have.
    pub(super) config: u64,
    /// Time since which the connection is not needed any more.
    pub(super) leaving_since_us: Option<u64>,
}

impl Peer {
    /// Returns whether the entry may send starts.
    fn may_start(&self) -> bool {
        self.leaving_since_us.is_none()
    }
}

impl Sidecar {
    /// Tells the entries whose connections are not needed to send no more starts, and those whose
    /// connections are needed again that they may.
    pub(super) fn leave_surplus(&mut self, now_us: u64) {
        let surplus = self.mesh.surplus();
        let mut changed = Vec::new();
        for (link, peer) in &mut self.peers {
            let is_surplus = surplus.contains(link);
            if is_surplus == peer.may_start() {
                peer.leaving_since_us = is_surplus.then_some(now_us);
                changed.push(*link);
            }
        }
        for link in changed {
            self.send_profile(link);
        }
    }

    /// Closes the connections that are not needed, once the entries have no runs here.
    pub(super) fn close_left(&mut self, now_us: u64) {
        let left: Vec<Id> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.leaving_since_us.is_some_and(|us| us + LEAVE_US <= now_us))
            .filter(|(_, peer)| !self.supervisor.has_runs(peer.entry))
            .map(|(link, _)| *link)
            .collect();
        for link in left {
            self.close(link, "surplus", now_us);
        }
    }

    pub(super) fn send_greeting(&mut self, link: Id) {
        self.generation += 1;
        let greeting = run::Greeting {
            role: Role::Sidecar,
            name: &self.settings.process.name,
            address: self.settings.process.address(),
            zone: &self.settings.process.zone,
            incarnation: self.incarnation,
            generation: self.generation,
            config: self.config.0,
        };
        self.links.send(link, &Frame::Run(Message::Greeting(greeting)));
    }

    /// Closes the links to entries that have sent nothing or no greeting for too long.
    pub(super) fn close_unresponsive(&mut self, now_us: u64) {
        let links = self.links.iter();
        let mut unresponsive: Vec<Id> = links
            .filter(|(id, link)| {
                self.peers.contains_key(id) && link.last_received_us + ENTRY_TIMEOUT_US < now_us
            })
            .map(|(id, _)| id)
            .collect();
        unresponsive.extend(self.mesh.timed_out(now_us));
        for link in unresponsive {
            self.close(link, "silent", now_us);
        }
    }

    pub(super) fn close(&mut self, link: Id, reason: &str, now_us: u64) {
        self.links.close(link);
        self.mesh.closed(link, now_us);
        if let Some(peer) = self.peers.remove(&link) {
            log::info!("event=entry_lost entry={} reason={reason}", peer.name);
            let reconnected = self.peers.values().any(|other| other.entry == peer.entry);
            if !reconnected {
                self.supervisor.disconnected(peer.entry);
            }
        }
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
            let entry = self.peers.get(&link).map(|peer| peer.entry);
            match (message, entry) {
                (Message::Greeting(greeting), None) => self.register_entry(link, &greeting, now_us),
                (Message::Renew(number), Some(entry)) => self.supervisor.renew(entry, number),
                (Message::Waiting(waiting), Some(entry)) => {
                    self.supervisor.set_waiting(entry, waiting);
                }
                (Message::Start(start), Some(entry)) => self.handle_start(entry, &start, now_us),
                (Message::Stop(runs), Some(entry)) => {
                    for run in runs {
                        self.supervisor.stop(entry, run, now_us);
                    }
                }
                (Message::Config(config), Some(_)) => {
                    if config.version > self.config.0 {
                        self.config = (config.version, config.text.to_vec());
                    }
                }
                (Message::Version(version), Some(_)) => self.offered(link, version, now_us),
                (Message::Peers(peers), Some(_)) => {
                    for peer in peers {
                        self.mesh.learn(peer.address, Some(peer.zone), now_us);
                    }
                }
                (Message::Evacuations { revision, zones }, Some(_)) => {
                    self.apply_received_orders(link, revision, &zones, now_us);
                }
                _ => return false,
            }
        }
        true
    }

    /// Handles the version of an entry's configuration: requests it if it is newer than the one kept
    /// here and no other entry has been asked for it.
    fn offered(&mut self, link: Id, version: u64, now_us: u64) {
        if let Some(peer) = self.peers.get_mut(&link) {
            peer.config = peer.config.max(version);
        }
        let is_pending =
            version <= self.requested_version && now_us < self.requested_us + REQUEST_TIMEOUT_US;
        if version > self.config.0 && !is_pending {
            self.requested_version = version;
            self.requested_us = now_us;
            self.links.send(link, &Frame::Run(Message::Fetch));
        }
    }

    /// Registers an entry by its greeting, replacing an older link to it, and sends it the held
    /// runs, the profile and the configuration.
    fn register_entry(&mut self, link: Id, greeting: &run::Greeting<'_>, now_us: u64) {
        self.mesh.greeted(link, greeting.zone, now_us);
        let previous = self.peers.iter().find(|(_, peer)| peer.name == greeting.name);
        if let Some(previous) = previous.map(|(id, _)| *id) {
            self.close(previous, "replaced", now_us);
        }
        let (entry, held) = self.supervisor.connected(greeting.name, greeting.incarnation, now_us);
        log::info!(
            "event=entry_connected entry={} incarnation={:x} held={}",
            greeting.name,
            greeting.incarnation,
            held.len()
        );
        let peer = Peer {
            entry,
            name: greeting.name.to_owned(),
            config: greeting.config,
            leaving_since_us: None,
        };
        self.peers.insert(link, peer);
        self.flush_ends();
        self.links.send(link, &Frame::Run(Message::Held(held)));
        self.send_profile(link);
        self.send_config(link);
        self.send_orders(link);
        self.offered(link, greeting.config, now_us);
    }

    /// Sends the newest configuration to an entry that has an older one.
    fn send_config(&mut self, link: Id) {
        let Some(peer) = self.peers.get_mut(&link) else { return };
        let (version, text) = &self.config;
        if *version > peer.config {
            peer.config = *version;
            let config = run::Config { version: *version, text };
            self.links.send(link, &Frame::Run(Message::Config(config)));
        }
    }

    fn handle_start(&mut self, entry: Entry, start: &run::Start<'_>, now_us: u64) {
        let spec: Arc<str> = start.spec.into();
        for task in &start.tasks {
            let name = (self.protocol.task_name)(start.job, start.step, task.index);
            let start = Start {
                run: task.run,
                task: name.into(),
                attempt: task.attempt,
                spec: spec.clone(),
                cores: start.cores,
                memory_mb: start.memory_mb,
                grant: start.grant,
                slack_us: start.rank,
                wait_us: u64::from(start.wait_ms) * 1000,
            };
            self.supervisor.start(entry, start, now_us);
        }
    }

    pub(super) fn send_profile(&mut self, link: Id) {
        let may_start = self.peers.get(&link).is_some_and(Peer::may_start);
        if let Some(mut profile) = self.supervisor.profile() {
            profile.ready &= may_start;
            let profile = translate::profile_to_wire(&profile);
            self.links.send(link, &Frame::Run(Message::Profile(profile)));
        }
    }

    pub(super) fn link_of(&self, entry: Entry) -> Option<Id> {
        self.peers.iter().find(|(_, peer)| peer.entry == entry).map(|(id, _)| *id)
    }

    /// Sends the ends among the pending effects ahead of the list of held runs: an entry treats a
    /// run that is missing from this list as lost unless it has received the run's end before.
    fn flush_ends(&mut self) {
        let effects = self.supervisor.drain();
        let mut ends: Vec<(Entry, End)> = Vec::new();
        for effect in effects {
            match effect {
                Effect::Ended { entry, end, .. } => ends.push((entry, end)),
                other => self.supervisor.put_back(other),
            }
        }
        self.send_ends(&ends);
    }

    pub(super) fn send_ends(&mut self, ends: &[(Entry, End)]) {
        let mut by_link: HashMap<Id, Vec<run::End>> = HashMap::new();
        for (entry, end) in ends {
            if let Some(link) = self.link_of(*entry) {
                by_link.entry(link).or_default().push(translate::end_to_wire(end));
            }
        }
        for (link, list) in by_link {
            self.links.send(link, &Frame::Run(Message::Ended(list)));
        }
    }
}
