//! Evacuated zones: the tables of entries, and passing them on to other entries.

use kingcup_dispatch::evacuation::Table;
use kingcup_wire::{Evacuations, Frame};

use super::Sidecar;
use crate::link::Id;

impl Sidecar {
    /// Handles the table of an entry, which came on this connection. A newer table with other zones
    /// is passed on to the other entries, since they may be cut off from the store and from each
    /// other.
    pub(super) fn receive_evacuations(
        &mut self,
        id: Id,
        source: &str,
        evacuations: &Evacuations<'_>,
        now: u64,
    ) {
        let (table, fault) = Table::open(evacuations.revision, evacuations.zones.iter().copied());
        if let Some(fault) = fault {
            log::warn!("event=evacuation_rejected source={source} fault=\"{fault}\"");
        }
        let was_known = self.evacuations.is_known();
        let changes = self.evacuations.adopt(table);
        if changes.is_empty() && was_known == self.evacuations.is_known() {
            return;
        }
        let revision = self.evacuations.revision();
        for change in &changes {
            log::info!(
                "event=evacuation zone={} evacuated={} revision={revision} source={source}",
                change.zone,
                change.evacuated
            );
        }
        // Other entries get the table before the refusals that follow from it.
        let links: Vec<Id> = self.peers.iter().map(|peer| peer.link).collect();
        for link in links.into_iter().filter(|link| *link != id) {
            self.send_evacuations(link);
        }
        let evacuated = self.evacuations.contains(&self.settings.process.zone);
        if evacuated != self.gate.is_evacuated() {
            self.gate.evacuate(evacuated, now);
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
