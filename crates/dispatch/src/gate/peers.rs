//! Entries and their connections.

use slotmap::{new_key_type, SlotMap};

use crate::{
    code::Code,
    gate::{message::Peer, record::Records},
};

new_key_type! {
    /// One entry incarnation.
    pub(crate) struct Entry;
}

/// Most entry incarnations remembered. About 240 processes restart in a day at the target scale, so
/// an incarnation is remembered for days after it has gone.
const ENTRIES: usize = 1024;
/// An entry counts as active this long after its last start, in microseconds.
const ACTIVE_US: u64 = 1_000_000;
/// Interval between counts of active entries, in microseconds.
const COUNT_US: u64 = 50_000;
/// Smallest window while entries compete.
const MIN_WINDOW: u16 = 2;
/// Starts sent before the entry learned of a smaller window are accepted this long, in microseconds.
const GRACE_US: u64 = 20_000;

/// Starts that an entry may have outstanding.
#[derive(Debug, Default, Clone, Copy)]
struct Grant {
    window: u16,
    before: u16,
    changed_us: u64,
}

/// One entry incarnation.
#[derive(Debug)]
pub(crate) struct Row {
    pub name: String,
    pub incarnation: u64,
    pub generation: u32,
    /// Its connection; none while it is gone.
    pub peer: Option<Peer>,
    /// Time of the disconnection.
    pub gone_us: u64,
    pub records: Records,
    /// Starts queued or running.
    pub outstanding: u16,
    /// Starts queued.
    pub queued: u16,
    /// When the entry said that it has more waiting.
    pub more_us: Option<u64>,
    last_start_us: Option<u64>,
    grant: Grant,
}

impl Row {
    fn is_active(&self, now_us: u64) -> bool {
        let recent = self.last_start_us.is_some_and(|at| at + ACTIVE_US > now_us);
        recent || self.outstanding > 0
    }

    /// Largest window that the entry may still believe to have.
    pub fn allowance(&self, now_us: u64) -> u16 {
        if now_us < self.grant.changed_us + GRACE_US {
            return self.grant.window.max(self.grant.before);
        }
        self.grant.window
    }

    /// Notes the window reported to the entry.
    pub fn grant(&mut self, window: u16, now_us: u64) {
        if window == self.grant.window {
            return;
        }
        let before = self.allowance(now_us);
        self.grant = Grant { window, before, changed_us: now_us };
    }
}

/// Table of entry incarnations and of their connections.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    rows: SlotMap<Entry, Row>,
    connections: SlotMap<Peer, Entry>,
    evicted: bool,
    active: u16,
    counted_us: Option<u64>,
}

impl Peers {
    /// Adds a connection. Gives the connection that it replaces, if any.
    ///
    /// # Errors
    ///
    /// `Fenced` for an older or equal generation, `Overloaded` if the table is full of live entries.
    pub fn connect(
        &mut self,
        name: &str,
        incarnation: u64,
        generation: u32,
    ) -> Result<(Peer, Option<Peer>), Code> {
        let known = self.rows.iter().find(|(_, row)| {
            let same_incarnation = row.incarnation == incarnation;
            same_incarnation && row.name == name
        });
        let entry = match known {
            Some((_, row)) if row.generation >= generation => return Err(Code::Fenced),
            Some((entry, _)) => entry,
            None => self.insert(name, incarnation)?,
        };
        let peer = self.connections.insert(entry);
        let row = &mut self.rows[entry];
        row.generation = generation;
        let replaced = row.peer.replace(peer);
        if let Some(old) = replaced {
            self.connections.remove(old);
        }
        Ok((peer, replaced))
    }

    fn insert(&mut self, name: &str, incarnation: u64) -> Result<Entry, Code> {
        if self.rows.len() >= ENTRIES {
            self.evict()?;
        }
        let records = if self.evicted { Records::after_eviction() } else { Records::default() };
        Ok(self.rows.insert(Row {
            name: name.to_owned(),
            incarnation,
            generation: 0,
            peer: None,
            gone_us: 0,
            records,
            outstanding: 0,
            queued: 0,
            more_us: None,
            last_start_us: None,
            grant: Grant::default(),
        }))
    }

    /// Removes the entry that has been gone longest and has nothing outstanding.
    fn evict(&mut self) -> Result<(), Code> {
        let idle = self.rows.iter().filter(|(_, row)| row.peer.is_none() && row.outstanding == 0);
        let oldest = idle.min_by_key(|(_, row)| row.gone_us).map(|(entry, _)| entry);
        let entry = oldest.ok_or(Code::Overloaded)?;
        self.rows.remove(entry);
        self.evicted = true;
        Ok(())
    }

    /// Removes a connection; `None` if it was replaced or removed before.
    pub fn disconnect(&mut self, peer: Peer, now_us: u64) -> Option<Entry> {
        let entry = self.connections.remove(peer)?;
        let row = &mut self.rows[entry];
        row.peer = None;
        row.gone_us = now_us;
        row.more_us = None;
        Some(entry)
    }

    /// The entry behind a connection; `None` if it was replaced or removed.
    pub fn entry(&self, peer: Peer) -> Option<Entry> {
        self.connections.get(peer).copied()
    }

    /// An entry's row.
    pub fn row(&self, entry: Entry) -> &Row {
        &self.rows[entry]
    }

    /// An entry's row.
    pub fn row_mut(&mut self, entry: Entry) -> &mut Row {
        &mut self.rows[entry]
    }

    /// Entries that are gone.
    pub fn gone(&self) -> impl Iterator<Item = (Entry, &Row)> {
        self.rows.iter().filter(|(_, row)| row.peer.is_none())
    }

    /// All entry incarnations remembered.
    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.rows.values()
    }

    /// Open connections.
    pub fn connected(&self) -> usize {
        self.connections.len()
    }

    /// Notes a start.
    pub fn touch(&mut self, entry: Entry, more: bool, now_us: u64) {
        let row = &mut self.rows[entry];
        let was_active = row.is_active(now_us);
        row.last_start_us = Some(now_us);
        row.more_us = if more { row.more_us.or(Some(now_us)) } else { None };
        if !was_active {
            self.active = self.active.saturating_add(1);
        }
    }

    /// The entry that has waited longest with more to place.
    pub fn hungry(&self) -> Option<Entry> {
        let waiting = self.rows.iter().filter_map(|(entry, row)| Some((row.more_us?, entry)));
        waiting.min().map(|(_, entry)| entry)
    }

    /// Window of an entry when `capacity` starts are split between the active ones.
    pub fn fair_window(&mut self, capacity: u16, now_us: u64) -> u16 {
        if self.counted_us.is_none_or(|at| at + COUNT_US <= now_us) {
            let active = self.rows.values().filter(|row| row.is_active(now_us)).count();
            self.active = u16::try_from(active).unwrap_or(u16::MAX);
            self.counted_us = Some(now_us);
        }
        capacity.div_ceil(self.active.max(1)).max(MIN_WINDOW)
    }
}
