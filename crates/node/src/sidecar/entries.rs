//! Entries that this sidecar announces its upstream to.

use std::{collections::BTreeMap, net::SocketAddr};

use kingcup_wire::AnnounceAck;

use crate::settings::Peer;

/// Interval of announcements until an entry asks for another, in milliseconds.
const INTERVAL_MS: u64 = 1_000;
/// Bounds of the interval that an entry may ask for, in milliseconds.
const INTERVALS_MS: (u64, u64) = (200, 60_000);
/// Intervals without an acknowledgement after which a learned entry is forgotten.
const MISSED: u64 = 10;
/// Most entries; more are not learned.
const ENTRIES: usize = 256;

/// One entry.
#[derive(Debug)]
struct Row {
    address: SocketAddr,
    from_settings: bool,
    interval_ms: u64,
    due_ms: u64,
    heard_ms: u64,
}

/// Table of entries by name.
#[derive(Debug)]
pub struct Entries {
    rows: BTreeMap<String, Row>,
}

impl Entries {
    /// Starts with the entries of the settings, which are never forgotten.
    pub fn open(settings: &[Peer]) -> Self {
        let mut entries = Self { rows: BTreeMap::new() };
        for peer in settings {
            entries.rows.insert(peer.name.clone(), Row::open(peer.address, true, 0));
        }
        entries
    }

    /// Takes an acknowledgement: the sender's address and interval, and the entries it knows.
    pub fn acknowledged(&mut self, ack: &AnnounceAck<'_>, now_ms: u64) {
        self.learn(ack.from.name, ack.from.address, now_ms);
        if let Some(row) = self.rows.get_mut(ack.from.name) {
            let (least, most) = INTERVALS_MS;
            row.interval_ms = u64::from(ack.interval_ms).clamp(least, most);
            row.due_ms = row.due_ms.min(now_ms + row.interval_ms);
            row.heard_ms = now_ms;
            if let Ok(address) = ack.from.address.parse() {
                row.address = address;
            }
        }
        for entry in &ack.entries {
            self.learn(entry.name, entry.address, now_ms);
        }
    }

    fn learn(&mut self, name: &str, address: &str, now_ms: u64) {
        if self.rows.contains_key(name) || self.rows.len() >= ENTRIES {
            return;
        }
        if let Ok(address) = address.parse() {
            log::info!("event=entry_learned entry={name} address={address}");
            self.rows.insert(name.to_owned(), Row::open(address, false, now_ms));
        }
    }

    /// Addresses that an announcement is due to. With `all`, it is due to every entry.
    pub fn due(&mut self, all: bool, now_ms: u64) -> Vec<SocketAddr> {
        let mut due = Vec::new();
        for row in self.rows.values_mut() {
            if all || row.due_ms <= now_ms {
                row.due_ms = now_ms + row.interval_ms;
                due.push(row.address);
            }
        }
        due
    }

    /// Names of the entries that no longer answer. Those that were learned are forgotten here; what
    /// those of the settings reported no longer counts either.
    pub fn forget_silent(&mut self, now_ms: u64) -> Vec<String> {
        let silent = |row: &Row| now_ms >= row.heard_ms + MISSED * row.interval_ms;
        let names: Vec<String> =
            self.rows.iter().filter(|(_, row)| silent(row)).map(|(name, _)| name.clone()).collect();
        for name in &names {
            if self.rows.get(name).is_some_and(|row| !row.from_settings) {
                self.rows.remove(name);
                log::info!("event=entry_forgotten entry={name}");
            }
        }
        names
    }

    /// Time at which the entry last acknowledged an announcement, in milliseconds.
    pub fn heard_ms(&self, name: &str) -> u64 {
        self.rows.get(name).map_or(0, |row| row.heard_ms)
    }

    /// Names and the times at which they were last heard, in milliseconds.
    pub fn iter(&self) -> impl Iterator<Item = (&str, u64)> {
        self.rows.iter().map(|(name, row)| (name.as_str(), row.heard_ms))
    }
}

impl Row {
    fn open(address: SocketAddr, from_settings: bool, now_ms: u64) -> Self {
        Self { address, from_settings, interval_ms: INTERVAL_MS, due_ms: now_ms, heard_ms: now_ms }
    }
}
