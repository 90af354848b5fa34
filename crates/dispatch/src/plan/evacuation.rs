//! Evacuated availability zones at an entry.

use super::Planner;
use crate::evacuation::Table;

impl Planner {
    /// Replaces the table of evacuated zones. Workers of these zones get no starts and do not count
    /// as capacity; their runs continue.
    pub fn set_evacuations(&mut self, table: Table, now_us: u64) {
        let before = self.accepting();
        self.evacuations = table;
        for member in self.workers.values_mut() {
            member.evacuated = self.evacuations.contains(&member.profile.zone);
        }
        let accepting = self.accepting();
        // Workers that an order excludes are not expected to return soon, so admission must not wait
        // for them as it does after an outage.
        let excluded = before.saturating_sub(accepting);
        self.max_accepting = self.max_accepting.saturating_sub(excluded).max(accepting);
        self.count_places();
        self.dispatch(now_us);
    }

    /// Returns whether a worker of an availability zone is known.
    pub fn knows_zone(&self, zone: &str) -> bool {
        self.workers.values().any(|member| *member.profile.zone == *zone)
    }
}
