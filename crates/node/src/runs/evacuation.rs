//! Orders to evacuate zones, as a daemon knows them.

use std::collections::BTreeSet;

use kingcup_dispatch::evacuation::{check_name, Change, Table, MAX_ZONES};
use kingcup_wire::{run::Message, Frame};

use super::document;

/// Maximum number of skipped orders that are remembered in order to log each once. Later ones are
/// not logged.
const MAX_SKIPPED: usize = 64;
/// Maximum length of a zone name in a log line, in characters.
const LOGGED_CHARS: usize = 64;

/// What follows from newly received orders.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Effect {
    /// Zones whose evacuation begins or ends.
    pub changes: Vec<Change>,
    /// Whether other processes are to be sent the table.
    pub announce: bool,
}

/// The orders that are in force at a process.
#[derive(Debug)]
pub struct Orders {
    enabled: bool,
    table: Table,
    /// Names of zones in orders that were skipped and logged.
    skipped: BTreeSet<String>,
}

impl Orders {
    /// Returns the orders of a process that knows none yet. Unless they are enabled, it ignores all.
    pub fn open(enabled: bool) -> Self {
        Self { enabled, table: Table::default(), skipped: BTreeSet::new() }
    }

    /// Returns whether the process follows orders.
    pub fn is_enabled(&self) -> bool {
        self.enabled
    }

    /// Returns whether the process may start work: it knows the orders or follows none.
    pub fn may_start(&self) -> bool {
        !self.enabled || self.table.is_known()
    }

    /// Returns the evacuated zones.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Applies orders that the store returned. Other processes are sent the table if the store
    /// reports a change, even one without an effect: the table then has at all processes at least
    /// the revision that the store gave the writer.
    pub fn apply_stored(&mut self, orders: &document::Orders) -> Effect {
        let mut newer = self.table.clone();
        let is_reported = match orders {
            document::Orders::All { zones, revision } => {
                newer = self.listed(zones, *revision);
                false
            }
            document::Orders::Changes { changes, revision } => {
                let pairs = changes.iter().map(|change| (change.zone.as_str(), change.evacuated));
                for (zone, evacuated) in pairs.clone() {
                    self.check(zone, evacuated);
                }
                newer.apply(pairs, *revision);
                self.check_number(
                    &newer,
                    changes
                        .iter()
                        .filter(|change| change.evacuated)
                        .map(|change| change.zone.as_str()),
                );
                !changes.is_empty()
            }
        };
        let is_newer = newer.revision() > self.table.revision();
        let mut effect = self.adopt(newer, "store");
        effect.announce |= is_reported && is_newer;
        effect
    }

    /// Applies the table of another process.
    pub fn apply_received(&mut self, revision: u64, zones: &[&str], source: &str) -> Effect {
        let table = self.listed(zones, revision);
        self.adopt(table, source)
    }

    /// Returns the message with the table, or `None` while nothing is known.
    pub fn frame(&self) -> Option<Frame<'_>> {
        let (revision, zones) = (self.table.revision(), self.table.zones().collect());
        let message = Message::Evacuations { revision, zones };
        (self.enabled && self.table.is_known()).then_some(Frame::Run(message))
    }

    fn listed<T: AsRef<str>>(&mut self, zones: &[T], revision: u64) -> Table {
        for zone in zones {
            self.check(zone.as_ref(), true);
        }
        let (table, _) = Table::open(revision, zones.iter().map(AsRef::as_ref));
        self.check_number(&table, zones.iter().map(AsRef::as_ref));
        table
    }

    /// Logs an order that is skipped because of its name.
    fn check(&mut self, zone: &str, evacuated: bool) {
        if let Err(fault) = check_name(zone).map_err(|fault| fault.to_string()) {
            if evacuated {
                self.log_skipped(zone, &fault);
            }
        }
    }

    /// Logs the valid orders that a table lacks because it is full.
    fn check_number<'a>(&mut self, table: &Table, zones: impl Iterator<Item = &'a str>) {
        if table.zones().len() < MAX_ZONES {
            return;
        }
        for zone in zones.filter(|zone| check_name(zone).is_ok() && !table.contains(zone)) {
            self.log_skipped(zone, "too many zones are evacuated");
        }
    }

    fn log_skipped(&mut self, zone: &str, reason: &str) {
        let zone: String = zone.chars().take(LOGGED_CHARS).collect();
        if self.skipped.len() < MAX_SKIPPED && self.skipped.insert(zone.clone()) {
            log::warn!("event=evacuation_skipped zone={zone:?} reason=\"{reason}\"");
        }
    }

    fn adopt(&mut self, newer: Table, source: &str) -> Effect {
        if !self.enabled {
            return Effect { changes: Vec::new(), announce: false };
        }
        let was_known = self.table.is_known();
        let changes = self.table.adopt(newer);
        let revision = self.table.revision();
        let is_first = !was_known && self.table.is_known();
        if is_first {
            let zones = self.table.zones().len();
            log::info!("event=evacuations_known zones={zones} revision={revision} source={source}");
        }
        for Change { zone, evacuated } in &changes {
            log::info!(
                "event=evacuation zone={zone} evacuated={evacuated} revision={revision} \
                 source={source}"
            );
        }
        let announce = is_first || !changes.is_empty();
        Effect { changes, announce }
    }
}
