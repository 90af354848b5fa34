//! Entry incarnations and their connections.

use slotmap::{new_key_type, SlotMap};

use crate::{
    code::Code,
    gate::{message::Peer, record::Records},
};

new_key_type! {
    /// Key of one entry incarnation.
    pub(crate) struct Entry;
}

/// Limit on the entry incarnations kept. At the target scale, about 240 processes restart per day,
/// so an incarnation is kept for days after its last connection.
const MAX_ENTRIES: usize = 1024;
/// Time after its last start for which an entry counts as active, in microseconds.
const ACTIVE_US: u64 = 1_000_000;
/// Interval between counts of active entries, in microseconds.
const ACTIVE_COUNT_INTERVAL_US: u64 = 50_000;
/// Smallest window of an entry while the window is split.
const MIN_WINDOW: u16 = 2;
/// Time for which starts beyond a reduced window are still accepted, in microseconds: the entry may
/// have sent them before it received the new window.
const WINDOW_GRACE_US: u64 = 20_000;

/// Number of starts that an entry may have outstanding, and the number before the last change.
#[derive(Debug, Default, Clone, Copy)]
struct Window {
    size: u16,
    previous: u16,
    changed_us: u64,
}

/// State of one entry incarnation.
#[derive(Debug)]
pub(crate) struct Row {
    pub name: String,
    pub incarnation: u64,
    pub generation: u32,
    /// Its connection, or `None` while it is disconnected.
    pub peer: Option<Peer>,
    /// Time of the last disconnection.
    pub disconnected_us: u64,
    pub records: Records,
    /// Number of starts queued or running.
    pub outstanding: u16,
    /// Number of starts queued.
    pub queued: u16,
    /// Time since which the entry has reported a backlog.
    pub backlog_since_us: Option<u64>,
    last_start_us: Option<u64>,
    window: Window,
}

impl Row {
    fn is_active(&self, now_us: u64) -> bool {
        let recent = self.last_start_us.is_some_and(|at| at + ACTIVE_US > now_us);
        recent || self.outstanding > 0
    }

    /// Returns the largest window that the entry may still assume.
    pub fn allowance(&self, now_us: u64) -> u16 {
        if now_us < self.window.changed_us + WINDOW_GRACE_US {
            return self.window.size.max(self.window.previous);
        }
        self.window.size
    }

    /// Records the window reported to the entry.
    pub fn set_window(&mut self, size: u16, now_us: u64) {
        if size == self.window.size {
            return;
        }
        let previous = self.allowance(now_us);
        self.window = Window { size, previous, changed_us: now_us };
    }
}

/// Table of entry incarnations and of their connections.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    rows: SlotMap<Entry, Row>,
    connections: SlotMap<Peer, Entry>,
    evicted: bool,
    active: u16,
    active_counted_us: Option<u64>,
}

impl Peers {
    /// Adds a connection. Returns it and the connection that it replaces, if any.
    ///
    /// # Errors
    ///
    /// `Fenced` for a lower or equal generation, `Overloaded` if the table is full and every entry
    /// is connected or has starts outstanding.
    pub fn connect(
        &mut self,
        name: &str,
        incarnation: u64,
        generation: u32,
    ) -> Result<(Peer, Option<Peer>), Code> {
        let existing = self.rows.iter().find(|(_, row)| {
            let same_incarnation = row.incarnation == incarnation;
            same_incarnation && row.name == name
        });
        let entry = match existing {
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
        if self.rows.len() >= MAX_ENTRIES {
            self.evict()?;
        }
        let records = if self.evicted { Records::after_eviction() } else { Records::default() };
        Ok(self.rows.insert(Row {
            name: name.to_owned(),
            incarnation,
            generation: 0,
            peer: None,
            disconnected_us: 0,
            records,
            outstanding: 0,
            queued: 0,
            backlog_since_us: None,
            last_start_us: None,
            window: Window::default(),
        }))
    }

    /// Removes the entry that has been disconnected longest among those without outstanding starts.
    fn evict(&mut self) -> Result<(), Code> {
        let evictable =
            self.rows.iter().filter(|(_, row)| row.peer.is_none() && row.outstanding == 0);
        let oldest = evictable.min_by_key(|(_, row)| row.disconnected_us).map(|(entry, _)| entry);
        let entry = oldest.ok_or(Code::Overloaded)?;
        self.rows.remove(entry);
        self.evicted = true;
        Ok(())
    }

    /// Removes a connection. Returns `None` if it was already replaced or removed.
    pub fn disconnect(&mut self, peer: Peer, now_us: u64) -> Option<Entry> {
        let entry = self.connections.remove(peer)?;
        let row = &mut self.rows[entry];
        row.peer = None;
        row.disconnected_us = now_us;
        row.backlog_since_us = None;
        Some(entry)
    }

    /// Returns the entry of a connection, or `None` if the connection was replaced or removed.
    pub fn entry(&self, peer: Peer) -> Option<Entry> {
        self.connections.get(peer).copied()
    }

    /// Returns the state of an entry.
    pub fn row(&self, entry: Entry) -> &Row {
        &self.rows[entry]
    }

    /// Returns the state of an entry, mutably.
    pub fn row_mut(&mut self, entry: Entry) -> &mut Row {
        &mut self.rows[entry]
    }

    /// Returns the entries without a connection.
    pub fn disconnected(&self) -> impl Iterator<Item = (Entry, &Row)> {
        self.rows.iter().filter(|(_, row)| row.peer.is_none())
    }

    /// Returns all entry incarnations kept.
    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.rows.values()
    }

    /// Returns the number of open connections.
    pub fn connected(&self) -> usize {
        self.connections.len()
    }

    /// Records that a start was received, and whether the entry has a backlog.
    pub fn record_start(&mut self, entry: Entry, has_backlog: bool, now_us: u64) {
        let row = &mut self.rows[entry];
        let was_active = row.is_active(now_us);
        row.last_start_us = Some(now_us);
        row.backlog_since_us =
            if has_backlog { row.backlog_since_us.or(Some(now_us)) } else { None };
        if !was_active {
            self.active = self.active.saturating_add(1);
        }
    }

    /// Returns the entry that has had a backlog for the longest time.
    pub fn longest_backlogged(&self) -> Option<Entry> {
        let backlogged =
            self.rows.iter().filter_map(|(entry, row)| Some((row.backlog_since_us?, entry)));
        backlogged.min().map(|(_, entry)| entry)
    }

    /// Returns the window of an entry when `capacity` starts are split between the active entries.
    pub fn fair_window(&mut self, capacity: u16, now_us: u64) -> u16 {
        if self.active_counted_us.is_none_or(|at| at + ACTIVE_COUNT_INTERVAL_US <= now_us) {
            let active = self.rows.values().filter(|row| row.is_active(now_us)).count();
            self.active = u16::try_from(active).unwrap_or(u16::MAX);
            self.active_counted_us = Some(now_us);
        }
        capacity.div_ceil(self.active.max(1)).max(MIN_WINDOW)
    }
}
