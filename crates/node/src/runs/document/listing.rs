//! Reading of the orders to evacuate zones, page by page.

use kingcup_dispatch::evacuation;

use super::Orders;

/// State of reading the orders.
#[derive(Debug, Default)]
pub(super) struct Listing {
    /// Revision from which to watch for changes of the orders; `None` until all were read.
    watch_from: Option<u64>,
    /// Revision of the first page that was read.
    began_at: Option<u64>,
    /// Zones on the pages that were read.
    zones: Vec<String>,
    /// Key after which the next page begins.
    after: Option<String>,
    /// Whether the orders are read before the configuration.
    is_next: bool,
}

impl Listing {
    pub fn watch_from(&self) -> Option<u64> {
        self.watch_from
    }

    pub fn after(&self) -> Option<String> {
        self.after.clone()
    }

    pub fn is_next(&self) -> bool {
        self.is_next
    }

    pub fn set_next(&mut self, is_next: bool) {
        self.is_next = is_next;
    }

    /// Adds a page. Returns all orders after the last one. They count as those at the revision of the
    /// first page: changes made while the pages were read are seen again by the watch from there.
    pub fn add(
        &mut self,
        zones: Vec<String>,
        next: Option<String>,
        revision: u64,
    ) -> Option<Orders> {
        let began_at = *self.began_at.get_or_insert(revision);
        self.zones.extend(zones);
        // Further pages could only hold orders beyond the limit on their number.
        let valid = self.zones.iter().filter(|zone| evacuation::check_name(zone).is_ok()).count();
        if next.is_some() && valid <= evacuation::MAX_ZONES {
            self.after = next;
            return None;
        }
        let zones = std::mem::take(&mut self.zones);
        *self = Self { watch_from: Some(began_at), ..Self::default() };
        Some(Orders::All { zones, revision: began_at })
    }

    /// Records that a watch has returned all changes up to a revision.
    pub fn watched(&mut self, revision: u64) {
        self.watch_from = Some(revision);
    }

    /// Drops the pages that were read before a failed call. Pages that are read much later would not
    /// match them.
    pub fn call_failed(&mut self) {
        let is_next = !self.is_next;
        *self = Self { watch_from: self.watch_from, is_next, ..Self::default() };
    }
}
