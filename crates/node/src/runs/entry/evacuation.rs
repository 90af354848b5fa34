//! Orders to evacuate zones at an entry, and their exchange with other processes.

use super::{Entry, Peer};
use crate::{
    link::Id,
    runs::{document, evacuation::Effect},
};

/// Time from learning of an order until it is logged if no worker is known in its zone, in
/// microseconds. A restarted entry knows its workers by then.
const ZONES_DELAY_US: u64 = 2_000_000;

impl Entry {
    /// Returns whether the configuration and the orders are known. An entry serves nothing before.
    pub(super) fn is_configured(&self) -> bool {
        self.document.version() > 0 && self.orders.may_start()
    }

    pub(super) fn apply_stored_orders(&mut self, orders: &document::Orders, now_us: u64) {
        let effect = self.orders.apply_stored(orders);
        self.orders_applied(&effect, None, now_us);
    }

    /// Applies the table that another process has sent.
    pub(super) fn apply_received_orders(
        &mut self,
        link: Id,
        revision: u64,
        zones: &[&str],
        now_us: u64,
    ) {
        let source = match self.peers.get(&link) {
            Some(Peer::Sidecar { .. }) => "sidecar",
            _ => "entry",
        };
        let effect = self.orders.apply_received(revision, zones, source);
        self.orders_applied(&effect, Some(link), now_us);
    }

    /// Sends the table on before the planner decides on starts, so that a sidecar in an evacuated
    /// zone has it before any start that was decided earlier.
    fn orders_applied(&mut self, effect: &Effect, source: Option<Id>, now_us: u64) {
        if effect.announce {
            if let Some(frame) = self.orders.frame() {
                for link in self.peers.keys().filter(|link| Some(**link) != source) {
                    self.links.send(*link, &frame);
                }
            }
        }
        if effect.changes.is_empty() {
            return;
        }
        self.planner.set_evacuations(self.orders.table().clone(), now_us);
        if effect.changes.iter().any(|change| change.evacuated) {
            self.zones_due_us = Some(now_us + ZONES_DELAY_US);
        }
    }

    /// Sends the table on a new connection, after the greeting and before any start.
    pub(super) fn send_orders(&mut self, link: Id) {
        if let Some(frame) = self.orders.frame() {
            self.links.send(link, &frame);
        }
    }

    /// Logs evacuated zones in which no worker is known, as their names may be misspelt.
    pub(super) fn check_zones(&mut self, now_us: u64) {
        if self.zones_due_us.is_none_or(|due_us| due_us > now_us) {
            return;
        }
        self.zones_due_us = None;
        for zone in self.orders.table().zones().filter(|zone| !self.planner.knows_zone(zone)) {
            log::warn!("event=evacuation_unknown_zone zone={zone}");
        }
    }
}
