//! Configuration documents: applying those from the store and from other processes, and sending
//! them to processes that request them.

use kingcup_dispatch::{
    code::Code,
    config::{Source, Verdict, Version, SETTLE_MS},
};
use kingcup_wire::{Document, Frame};
use stakker::CX;

use super::{services, watcher::Event, Entry};
use crate::{
    link::Id,
    reactor,
    store::{Stored, Value, SERVICES},
};

/// Microseconds in a millisecond.
const MS_US: u64 = 1_000;

/// Largest number of keys that are kept because their values cannot be used.
const MAX_UNREADABLE: usize = 64;

/// Parses a stored document. It must be one of the service that its key names.
fn parse_stored(stored: &Stored) -> Result<Version, String> {
    let text = stored.text().ok_or("not UTF-8 text")?;
    let version = Version::parse(text).map_err(|fault| fault.to_string())?;
    let service = &version.envelope.document.service;
    if stored.key.strip_prefix(SERVICES) != Some(service.as_str()) {
        return Err(format!("document of another service, {service}"));
    }
    Ok(version)
}

impl Entry {
    /// Returns the service of this name, and adds it if it is missing. Returns `None` if there are
    /// too many services.
    pub(super) fn ensure_service(&mut self, name: &str, now_us: u64) -> Option<services::Id> {
        let seed = self.rng.u64(..);
        let id = self.services.ensure(name, &self.settings.process.zone, seed)?;
        // A new engine has no table yet.
        let engine = &mut self.services.get_mut(id).engine;
        engine.evacuate(&self.evacuations, now_us);
        Some(id)
    }

    /// Returns the code that refuses a submission to a service without a document.
    ///
    /// `UnknownService` is only certain once the store has been read, or once the settling time has
    /// passed and there are documents; until then the document may still arrive.
    pub(super) fn unknown_service(&self, now_us: u64) -> Code {
        let settled = now_us >= SETTLE_MS * MS_US && !self.documents.revisions().is_empty();
        if settled || self.store.loaded {
            Code::UnknownService
        } else {
            Code::NoDocument
        }
    }

    /// Handles an event of the store's watcher.
    pub(super) fn handle_store_event(&mut self, cx: CX![], event: Event) {
        let now_us = reactor::now_us(cx);
        match event {
            Event::Listed(listing) => {
                self.store.reachable = true;
                self.store.loaded = true;
                let values = &listing.values;
                let is_listed = |key: &String| values.iter().any(|stored| stored.key == *key);
                self.store.unreadable.retain(|key, _| is_listed(key));
                // Before the documents, since work can be accepted once there is a document.
                self.list_evacuations(&listing, now_us);
                for stored in values {
                    self.offer_stored(stored, now_us);
                }
                self.documents.note_store_read();
                self.apply_deferred(now_us);
            }
            Event::Changed(batch) => {
                self.apply_evacuations(&batch, now_us);
                for stored in &batch {
                    self.offer_stored(stored, now_us);
                }
            }
            Event::Failed(reason) => {
                self.store.reachable = false;
                log::warn!("event=store_unavailable reason=\"{reason}\"");
            }
        }
        self.apply_and_flush(now_us);
    }

    /// Applies a stored document, and ignores keys of other kinds. A value that is not a document of the service that its key names is
    /// skipped, and the last good document of that service stays in force.
    fn offer_stored(&mut self, stored: &Stored, now_us: u64) {
        if !stored.key.starts_with(SERVICES) {
            return;
        }
        if stored.value == Value::Deleted {
            self.store.unreadable.remove(&stored.key);
            return;
        }
        match parse_stored(stored) {
            Ok(version) => {
                self.store.unreadable.remove(&stored.key);
                self.offer(version, Source::Store, "store", now_us);
            }
            Err(reason) => self.note_unreadable(stored, &reason),
        }
    }

    /// Records a key that cannot be used, and logs it unless this value was logged before.
    pub(super) fn note_unreadable(&mut self, stored: &Stored, reason: &str) {
        let unreadable = &mut self.store.unreadable;
        let is_known = unreadable.contains_key(&stored.key);
        if !is_known && unreadable.len() >= MAX_UNREADABLE {
            return;
        }
        let previous = unreadable.insert(stored.key.clone(), stored.mod_revision);
        if previous != Some(stored.mod_revision) {
            let Stored { key, mod_revision, .. } = stored;
            log::warn!("event=value_unreadable key={key:?} at={mod_revision} reason=\"{reason}\"");
        }
    }

    /// Handles a document that another process has sent. Revision 0 means that it has none.
    pub(super) fn receive_document(&mut self, from: &str, document: &Document<'_>, now_us: u64) {
        if document.revision == 0 {
            return self.documents.note_unreachable(document.service, from);
        }
        match Version::parse(document.text) {
            Ok(version) => self.offer(version, Source::Peer, from, now_us),
            Err(fault) => log::warn!("event=document_rejected from={from} fault=\"{fault}\""),
        }
    }

    /// Applies a document if it is the newest revision of its service.
    fn offer(&mut self, version: Version, source: Source, from: &str, now_us: u64) {
        let service = version.envelope.document.service.clone();
        if self.documents.offer(version, source, now_us / MS_US) == Verdict::Applied {
            self.apply_document(&service, from, now_us);
        }
    }

    /// Applies the document in force to its service's quota and engine, and notifies the sidecars.
    fn apply_document(&mut self, service: &str, from: &str, now_us: u64) {
        let Some(version) = self.documents.current(service) else { return };
        let (envelope, revision) = (version.envelope.clone(), version.revision());
        let Some(id) = self.ensure_service(service, now_us) else {
            return log::warn!("event=document_rejected service={service} reason=services");
        };
        log::info!("event=document_applied service={service} revision={revision} from={from}");
        self.quotas.apply(&envelope.document, now_us);
        let engine = &mut self.services.get_mut(id).engine;
        engine.apply(&envelope.document, revision, now_us);
        self.notify_sidecars(id, service, revision);
    }

    /// Notifies the connected sidecars of a service of its new revision.
    ///
    /// The acknowledgements of announcements also carry it, but the interval between announcements
    /// grows with the number of sidecars, to 46 s at 1,000, so that these alone would be too late.
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

    /// Applies the documents whose application was deferred and is now due.
    fn apply_deferred(&mut self, now_us: u64) {
        for service in self.documents.tick(now_us / MS_US) {
            self.apply_document(&service, "peer", now_us);
        }
    }

    /// Applies deferred documents, fetches newer revisions from the processes that have reported
    /// them, and sets whether this entry watches the store.
    pub(super) fn tick_documents(&mut self, now_us: u64) {
        self.apply_deferred(now_us);
        for fetch in self.documents.fetches(now_us / MS_US) {
            let sent = self
                .find_open_link(&fetch.peer)
                .is_some_and(|id| self.send(id, &Frame::Fetch(&fetch.service)));
            if !sent {
                self.documents.note_unreachable(&fetch.service, &fetch.peer);
            }
        }
        self.watcher.watch(self.members.watches_store());
    }

    /// Returns the open connection to the peer or sidecar of this name.
    fn find_open_link(&self, name: &str) -> Option<Id> {
        let peer = self.peers.find(name).and_then(|key| self.peers.get(key));
        let sidecar = self.sidecars.find(name).and_then(|key| self.sidecars.get(key));
        let contact = peer.map(|row| &row.contact).or(sidecar.map(|row| &row.contact))?;
        contact.link.filter(|_| contact.is_open())
    }

    /// Answers a request for a service's document. If there is none, the answer has revision 0 and
    /// an empty text.
    pub(super) fn send_document(&mut self, id: Id, service: &str) {
        let version = self.documents.current(service);
        let (revision, text) =
            version.map_or((0, "".into()), |version| (version.revision(), version.text.clone()));
        self.send(id, &Frame::Document(Document { service, revision, text: &text }));
    }
}
