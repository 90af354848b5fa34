//! Evacuation of availability zones: an operator's order that the upstreams of a zone get no new
//! starts until the order ends.
//!
//! The orders live in the store. A table is their state at one revision of the store, so of two
//! tables the one with the higher revision is right, whichever way they reached a process.

use std::{collections::BTreeSet, sync::Arc};

use displaydoc::Display;

/// Maximum number of evacuated zones in a table. Far above the zones of a deployment, it bounds
/// what another writer of the store can make all processes keep.
pub const MAX_ZONES: usize = 64;
/// Maximum length of the name of a zone, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Reason why an order is not applied.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// the name of the zone is missing
    NameMissing,
    /// the name of the zone is too long; allowed: at most 64 bytes
    NameTooLong,
    /// the name of the zone has a character that is not allowed; allowed: visible ASCII without slashes
    NameInvalid,
    /// too many zones are evacuated; allowed: at most 64
    TooManyZones,
}

impl std::error::Error for Fault {}

/// Checks the name of a zone in an order.
///
/// # Errors
///
/// Returns the reason why the name cannot be that of a zone.
pub fn check_name(zone: &str) -> Result<(), Fault> {
    if zone.is_empty() {
        return Err(Fault::NameMissing);
    }
    if zone.len() > MAX_NAME_BYTES {
        return Err(Fault::NameTooLong);
    }
    if !zone.bytes().all(|byte| byte.is_ascii_graphic() && byte != b'/') {
        return Err(Fault::NameInvalid);
    }
    Ok(())
}

/// The beginning or the end of an order on one zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Name of the zone.
    pub zone: Arc<str>,
    /// Whether the zone is evacuated from now on.
    pub evacuated: bool,
}

/// The evacuated zones at one revision of the store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Table {
    revision: u64,
    zones: BTreeSet<Arc<str>>,
}

impl Table {
    /// Builds a table from all orders in the store at a revision. Returns with it the first fault
    /// among the orders that were skipped.
    pub fn open<'a>(
        revision: u64,
        zones: impl IntoIterator<Item = &'a str>,
    ) -> (Self, Option<Fault>) {
        let mut table = Self { revision, zones: BTreeSet::new() };
        let mut first_fault = None;
        for zone in zones {
            if let Err(fault) = table.begin(zone) {
                first_fault.get_or_insert(fault);
            }
        }
        (table, first_fault)
    }

    /// Returns the revision of the store that the table shows, or 0 while nothing is known.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns whether the orders are known. A process that does not know them starts nothing.
    pub fn is_known(&self) -> bool {
        self.revision > 0
    }

    /// Returns whether a zone is evacuated.
    pub fn contains(&self, zone: &str) -> bool {
        self.zones.contains(zone)
    }

    /// Returns the evacuated zones in the order of their names.
    pub fn zones(&self) -> impl ExactSizeIterator<Item = &str> {
        self.zones.iter().map(|zone| &**zone)
    }

    /// Replaces the table by one of a higher revision, and returns what changes. A table that is not
    /// newer changes nothing.
    pub fn adopt(&mut self, newer: Self) -> Vec<Change> {
        if newer.revision <= self.revision {
            return Vec::new();
        }
        let old = std::mem::replace(self, newer);
        let ended = old.zones.difference(&self.zones).map(|zone| (zone, false));
        let begun = self.zones.difference(&old.zones).map(|zone| (zone, true));
        ended
            .chain(begun)
            .map(|(zone, evacuated)| Change { zone: zone.clone(), evacuated })
            .collect()
    }

    /// Applies changes in the order in which the store made them, up to a revision. Returns those
    /// that have an effect and, for each that was skipped, the reason. Changes that lead to a
    /// revision that is not newer were applied before and are ignored.
    pub fn apply<'a>(
        &mut self,
        changes: impl IntoIterator<Item = (&'a str, bool)>,
        revision: u64,
    ) -> (Vec<Change>, Vec<Fault>) {
        let mut newer = Self { revision, zones: self.zones.clone() };
        let mut faults = Vec::new();
        for (zone, evacuated) in changes {
            if !evacuated {
                newer.zones.remove(zone);
            } else if let Err(fault) = newer.begin(zone) {
                faults.push(fault);
            }
        }
        (self.adopt(newer), faults)
    }

    fn begin(&mut self, zone: &str) -> Result<(), Fault> {
        check_name(zone)?;
        if self.zones.len() >= MAX_ZONES && !self.zones.contains(zone) {
            return Err(Fault::TooManyZones);
        }
        self.zones.insert(zone.into());
        Ok(())
    }
}
