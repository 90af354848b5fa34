//! Orders to evacuate zones at a sidecar, which is the last gate in its own zone.

use super::Sidecar;
use crate::link::Id;

impl Sidecar {
    /// Applies the table that an entry has sent, and sends it on to the other entries if it changes
    /// something: some may be cut off from the store and from the sender.
    pub(super) fn apply_received_orders(
        &mut self,
        link: Id,
        revision: u64,
        zones: &[&str],
        now_us: u64,
    ) {
        let effect = self.orders.apply_received(revision, zones, "entry");
        if effect.announce {
            let others: Vec<Id> = self.peers.keys().copied().filter(|id| *id != link).collect();
            for other in others {
                self.send_orders(other);
            }
        }
        let evacuated = self.orders.table().contains(&self.settings.process.zone);
        self.supervisor.set_evacuated(evacuated, now_us);
    }

    pub(super) fn send_orders(&mut self, link: Id) {
        if let Some(frame) = self.orders.frame() {
            self.links.send(link, &frame);
        }
    }
}
