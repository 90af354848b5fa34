//! Evacuated zones: the orders in the store and the tables of other processes, and passing them on.

use kingcup_dispatch::{
    config::SETTLE_MS,
    evacuation::{check_name, Change, Fault, Table},
    member::Role,
};
use kingcup_wire::{Evacuations, Frame};

use super::Entry;
use crate::{
    link::Id,
    store::{Listing, Stored, Value, EVACUATIONS},
};

/// Microseconds in a millisecond.
const MS_US: u64 = 1_000;

/// Returns the zone that a key orders to evacuate; `None` for a key of another kind.
fn zone_of(stored: &Stored) -> Option<&str> {
    stored.key.strip_prefix(EVACUATIONS)
}

impl Entry {
    /// Puts the orders of a complete listing of the store in force.
    pub(super) fn list_evacuations(&mut self, listing: &Listing, now_us: u64) {
        let orders = self.valid_orders(&listing.values);
        let zones = orders.iter().map(|(_, zone)| *zone);
        let (table, fault) = Table::open(listing.revision, zones);
        self.adopt_evacuations(table, "store", None, now_us);
        self.note_skipped_orders(&orders, fault);
    }

    /// Applies changes of orders that a watch of the store reported together. Changes of other keys
    /// only advance the revision of the table.
    pub(super) fn apply_evacuations(&mut self, batch: &[Stored], now_us: u64) {
        let revision = batch.iter().map(|stored| stored.mod_revision).max().unwrap_or(0);
        let orders = self.valid_orders(batch);
        let changes = orders.iter().map(|(stored, zone)| (*zone, stored.value != Value::Deleted));
        let was_known = self.evacuations.is_known();
        let (changes, faults) = self.evacuations.apply(changes, revision);
        self.evacuations_changed(&changes, was_known, "store", None, now_us);
        self.note_skipped_orders(&orders, faults.first().copied());
    }

    /// Returns the orders whose keys name a zone, and records the other keys as unusable.
    fn valid_orders<'a>(&mut self, values: &'a [Stored]) -> Vec<(&'a Stored, &'a str)> {
        let mut orders = Vec::new();
        for stored in values {
            let Some(zone) = zone_of(stored) else { continue };
            match check_name(zone) {
                _ if stored.value == Value::Deleted => {
                    self.store.unreadable.remove(&stored.key);
                    orders.push((stored, zone));
                }
                Ok(()) => orders.push((stored, zone)),
                Err(fault) => self.note_unreadable(stored, &fault.to_string()),
            }
        }
        orders
    }

    /// Records the orders that were not applied because there are too many.
    fn note_skipped_orders(&mut self, orders: &[(&Stored, &str)], fault: Option<Fault>) {
        let Some(fault) = fault else { return };
        for (stored, zone) in orders {
            if stored.value != Value::Deleted && !self.evacuations.contains(zone) {
                self.note_unreadable(stored, &fault.to_string());
            }
        }
    }

    /// Handles the table of another process, which came on this connection.
    pub(super) fn receive_evacuations(
        &mut self,
        id: Id,
        from: &str,
        evacuations: &Evacuations<'_>,
        now_us: u64,
    ) {
        let (table, fault) = Table::open(evacuations.revision, evacuations.zones.iter().copied());
        if let Some(fault) = fault {
            log::warn!("event=evacuation_rejected source={from} fault=\"{fault}\"");
        }
        self.adopt_evacuations(table, from, Some(id), now_us);
    }

    fn adopt_evacuations(&mut self, table: Table, source: &str, from: Option<Id>, now_us: u64) {
        let was_known = self.evacuations.is_known();
        let changes = self.evacuations.adopt(table);
        self.evacuations_changed(&changes, was_known, source, from, now_us);
    }

    /// Puts a changed table in force, and passes it on to all processes but the one that sent it.
    ///
    /// A table that differs only in its revision is not passed on: each change of a document would
    /// then cost a message per process.
    fn evacuations_changed(
        &mut self,
        changes: &[Change],
        was_known: bool,
        source: &str,
        from: Option<Id>,
        now_us: u64,
    ) {
        if changes.is_empty() && was_known == self.evacuations.is_known() {
            return;
        }
        for change in changes {
            self.log_evacuation(change, source, now_us);
        }
        for service in self.services.ids() {
            self.services.get_mut(service).engine.evacuate(&self.evacuations, now_us);
        }
        let peers = self.peers.iter().map(|(_, row)| &row.contact);
        let sidecars = self.sidecars.iter().map(|(_, row)| &row.contact);
        let open = peers.chain(sidecars).filter(|contact| contact.is_open());
        let links: Vec<Id> = open.filter_map(|contact| contact.link).collect();
        for link in links.into_iter().filter(|link| Some(*link) != from) {
            self.send_evacuations(link);
        }
    }

    fn log_evacuation(&self, change: &Change, source: &str, now_us: u64) {
        let Change { zone, evacuated, .. } = change;
        let revision = self.evacuations.revision();
        log::info!(
            "event=evacuation zone={zone} evacuated={evacuated} revision={revision} source={source}"
        );
        // Before the settling time, sidecars of any zone may not have announced themselves yet.
        let settled = now_us >= SETTLE_MS * MS_US;
        if *evacuated && settled && !self.members.has_zone(Role::Sidecar, zone) {
            log::warn!("event=evacuation_unknown_zone zone={zone}");
        }
    }

    /// Sends the table, if one is known.
    pub(super) fn send_evacuations(&mut self, id: Id) {
        if !self.evacuations.is_known() {
            return;
        }
        // The table is cloned because a frame borrows its texts and sending counts it.
        let table = self.evacuations.clone();
        let zones = table.zones().collect();
        self.send(id, &Frame::Evacuations(Evacuations { revision: table.revision(), zones }));
    }
}
