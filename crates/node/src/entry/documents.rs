//! Documents in force: from the store, from peers, and passed on to those who ask.

use kingcup_dispatch::{
    code::Code,
    config::{Source, Verdict, Version, SETTLE_MS},
};
use kingcup_wire::{Document, Frame};
use stakker::CX;

use super::{
    services,
    watcher::{Event, Known},
    Entry,
};
use crate::{link::Id, reactor};

/// Microseconds in a millisecond.
const MS_US: u64 = 1_000;

impl Entry {
    /// Finds a service or makes one, with its document if there is one.
    pub(super) fn ensure_service(&mut self, name: &str) -> Option<services::Id> {
        let seed = self.rng.u64(..);
        self.services.ensure(name, &self.settings.process.zone, seed)
    }

    /// Code for a service without document. Before the documents are known, none can be told to be
    /// missing.
    pub(super) fn unknown_service(&self, now_us: u64) -> Code {
        let settled = now_us >= SETTLE_MS * MS_US && !self.documents.revisions().is_empty();
        if settled || self.store.read {
            Code::UnknownService
        } else {
            Code::NoDocument
        }
    }

    /// Takes what the store's watcher has read.
    pub(super) fn stored(&mut self, cx: CX![], event: Event) {
        let now_us = reactor::now_us(cx);
        match event {
            Event::Listed(texts) => {
                self.store = Known { up: true, read: true };
                for text in texts {
                    self.offer(&text, Source::Store, "store", now_us);
                }
                self.documents.note_store_read();
                self.apply_kept(now_us);
            }
            Event::Changed(text) => self.offer(&text, Source::Store, "store", now_us),
            Event::Failed(reason) => {
                self.store.up = false;
                log::warn!("event=store_unavailable reason=\"{reason}\"");
            }
        }
        self.settle(now_us);
    }

    /// Takes a document that another process has sent.
    pub(super) fn document_from(&mut self, from: &str, document: &Document<'_>, now_us: u64) {
        if document.revision == 0 {
            return self.documents.note_unreachable(document.service, from);
        }
        self.offer(document.text, Source::Peer, from, now_us);
    }

    fn offer(&mut self, text: &str, source: Source, from: &str, now_us: u64) {
        let held = match Version::parse(text) {
            Ok(held) => held,
            Err(fault) => {
                return log::warn!("event=document_rejected from={from} fault=\"{fault}\"");
            }
        };
        let service = held.envelope.document.service.clone();
        if self.documents.offer(held, source, now_us / MS_US) == Verdict::Applied {
            self.apply_document(&service, from, now_us);
        }
    }

    fn apply_document(&mut self, service: &str, from: &str, now_us: u64) {
        let Some(held) = self.documents.current(service) else { return };
        let (envelope, revision) = (held.envelope.clone(), held.revision());
        let Some(id) = self.ensure_service(service) else {
            return log::warn!("event=document_rejected service={service} reason=services");
        };
        log::info!("event=document_applied service={service} revision={revision} from={from}");
        self.quotas.apply(&envelope.document, now_us);
        let engine = &mut self.services.get_mut(id).engine;
        engine.apply(&envelope.document, revision, now_us);
        self.notify_sidecars(id, service, revision);
    }

    /// Tells the connected sidecars of a service its new revision. The interval of announcements grows
    /// with the fleet, to 46 s at 1,000 sidecars, so their acknowledgements alone would come too late.
    fn notify_sidecars(&mut self, id: services::Id, service: &str, revision: u64) {
        let links: Vec<Id> = self
            .sidecars
            .iter()
            .filter(|(_, row)| row.service == id && row.contact.is_open())
            .filter_map(|(_, row)| row.contact.link)
            .collect();
        for link in links {
            self.send(link, &Frame::Document(Document { service, revision, text: "" }));
        }
    }

    fn apply_kept(&mut self, now_us: u64) {
        for service in self.documents.tick(now_us / MS_US) {
            self.apply_document(&service, "peer", now_us);
        }
    }

    /// Applies what was kept while settling, and asks peers for newer revisions.
    pub(super) fn tick_documents(&mut self, now_us: u64) {
        self.apply_kept(now_us);
        for fetch in self.documents.fetches(now_us / MS_US) {
            let sent = self
                .link_to(&fetch.peer)
                .is_some_and(|id| self.send(id, &Frame::Fetch(&fetch.service)));
            if !sent {
                self.documents.note_unreachable(&fetch.service, &fetch.peer);
            }
        }
        self.watcher.watch(self.members.watches_store());
    }

    /// The open connection to a process by name.
    fn link_to(&self, name: &str) -> Option<Id> {
        let peer = self.peers.find(name).and_then(|key| self.peers.get(key));
        let sidecar = self.sidecars.find(name).and_then(|key| self.sidecars.get(key));
        let contact = peer.map(|row| &row.contact).or(sidecar.map(|row| &row.contact))?;
        contact.link.filter(|_| contact.is_open())
    }

    /// Answers a request for a document. Without one, the revision is 0.
    pub(super) fn send_document(&mut self, id: Id, service: &str) {
        let held = self.documents.current(service);
        let (revision, text) =
            held.map_or((0, "".into()), |held| (held.revision(), held.text.clone()));
        self.send(id, &Frame::Document(Document { service, revision, text: &text }));
    }
}
