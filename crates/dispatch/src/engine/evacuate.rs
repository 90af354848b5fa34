//! Evacuation of availability zones: excludes the upstreams of evacuated zones from routing.

use crate::{engine::Engine, evacuation::Table, route::Upstream};

impl Engine {
    /// Puts a table of evacuated zones in force. The upstreams of these zones get no starts and
    /// count for no capacity; their running tasks complete.
    pub fn evacuate(&mut self, table: &Table, now_us: u64) {
        if self.evacuations == *table {
            return;
        }
        self.evacuations = table.clone();
        let upstreams: Vec<Upstream> = self.fleet.iter().map(|(upstream, _)| upstream).collect();
        for upstream in upstreams {
            self.apply_evacuation(upstream);
        }
        self.dispatch_waiting(now_us);
    }

    /// Sets whether the zone of one upstream is evacuated.
    pub(super) fn apply_evacuation(&mut self, upstream: Upstream) {
        let Some(row) = self.fleet.get(upstream) else {
            return;
        };
        let evacuated = self.evacuations.contains(&row.zone);
        if row.evacuated != evacuated {
            self.fleet.set_evacuated(upstream, evacuated);
        }
    }
}
