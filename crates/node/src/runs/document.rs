//! The configuration, which is read and watched in the store and passed between processes, and the
//! calls to the store. These also read the orders to evacuate zones, where the settings enable them.

mod listing;

use kingcup_dispatch::{
    routes::Table,
    watch::{self, Position},
};

use self::listing::Listing;
use super::protocol::{Change, Fetch, Page, Watch};

/// Timeout of a call to the store, beyond the time for which the store holds a watch, in
/// milliseconds. The store responds in a few milliseconds, and in half a second when it is slow.
pub const CALL_MS: u64 = 700;
/// Shortest time between a call that fails and the next one, in microseconds.
const RETRY_US: u64 = 250_000;
/// Shortest time for which the store holds a watch call, in milliseconds.
const MIN_WATCH_MS: u64 = 100;

/// Call to the store that is due.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Read the configuration.
    Read,
    /// Wait for a configuration newer than this revision.
    Watch(u64),
    /// Read the orders to evacuate zones, from the first one after this key.
    List(Option<String>),
    /// Wait for a configuration or orders newer than this revision.
    WatchAll(u64),
}

/// Orders that the store has returned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Orders {
    /// All orders at a revision.
    All {
        /// Names of the zones.
        zones: Vec<String>,
        /// Revision of the store.
        revision: u64,
    },
    /// Changes in the order in which the store made them, up to a revision.
    Changes {
        /// Changes since the revision from which the store was watched.
        changes: Vec<Change>,
        /// Revision of the store.
        revision: u64,
    },
}

/// Newest configuration that a process has received, and the state of its calls to the store.
#[derive(Debug)]
pub struct Document {
    table: Table,
    text: Vec<u8>,
    /// Revision from which to watch; `None` before the first response and after the store discarded
    /// the history.
    revision: Option<u64>,
    /// Reading of the orders to evacuate zones; `None` if the settings do not enable them.
    listing: Option<Listing>,
    /// Longest time for which the store may hold a watch, in milliseconds.
    max_watch_ms: u64,
    in_flight: bool,
    /// Time of the last call.
    called_us: u64,
    next_call_us: u64,
    /// Time from which the ends of the watches are counted.
    anchor_us: u64,
}

impl Default for Document {
    fn default() -> Self {
        Self::open(None)
    }
}

impl Document {
    /// Returns a document whose calls also read the orders to evacuate zones if there is a time in
    /// which these are to be applied, in milliseconds.
    pub fn open(apply_ms: Option<u64>) -> Self {
        Self {
            table: Table::default(),
            text: Vec::new(),
            revision: None,
            listing: apply_ms.map(|_| Listing::default()),
            max_watch_ms: max_watch_ms(apply_ms),
            in_flight: false,
            called_us: 0,
            next_call_us: 0,
            anchor_us: 0,
        }
    }

    /// Returns the queues in force.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Returns the version in force, or 0 if there is no configuration yet.
    pub fn version(&self) -> u64 {
        self.table.version()
    }

    /// Returns the text of the document as received.
    pub fn text(&self) -> &[u8] {
        &self.text
    }

    /// Applies a configuration if its version is higher than the one in force. Returns whether it
    /// was applied.
    pub fn apply(&mut self, table: Table, text: &[u8]) -> bool {
        if table.version() <= self.table.version() {
            return false;
        }
        self.table = table;
        self.text = text.to_vec();
        true
    }

    /// Records the time at which the first entry received the configuration in force. All entries
    /// know it nearly exactly and place the ends of their watches by it.
    pub fn align(&mut self, received_us: u64) {
        self.anchor_us = received_us;
    }

    /// Returns the time for which the store is to hold a watch that begins now, in milliseconds.
    pub fn watch_ms(&self, position: Position, now_us: u64) -> u64 {
        watch::length_ms(position, self.anchor_us, now_us).min(self.max_watch_ms)
    }

    /// Returns the call to make now, if one is due and none is in flight.
    pub fn next_call(&mut self, now_us: u64) -> Option<Call> {
        if self.in_flight || now_us < self.next_call_us {
            return None;
        }
        self.in_flight = true;
        self.called_us = now_us;
        let Some(listing) = &self.listing else {
            return Some(self.revision.map_or(Call::Read, Call::Watch));
        };
        Some(match (self.revision, listing.watch_from()) {
            (Some(config), Some(orders)) => Call::WatchAll(config.min(orders)),
            _ if listing.is_next() => Call::List(listing.after()),
            _ => Call::Read,
        })
    }

    /// Handles the result of the call in flight. Returns the document that it contained, if any.
    pub fn finish_call(&mut self, fetch: Fetch, now_us: u64) -> Option<Vec<u8>> {
        self.end_call(now_us);
        match fetch {
            Fetch::Text { text, revision } => {
                self.config_read(revision);
                return Some(text);
            }
            Fetch::Unchanged { revision } => self.config_read(revision),
            Fetch::Compacted => self.revision = None,
            Fetch::Failed(reason) => self.call_failed(&reason, now_us),
        }
        None
    }

    /// Handles the result of reading a page of orders. Returns all orders once the last page has
    /// been read.
    pub fn finish_page(&mut self, page: Page, now_us: u64) -> Option<Orders> {
        self.end_call(now_us);
        match page {
            Page::Orders { zones, next, revision } => {
                let listing = self.listing.as_mut()?;
                listing.add(zones, next, revision)
            }
            Page::Failed(reason) => {
                self.call_failed(&reason, now_us);
                None
            }
        }
    }

    /// Handles the result of a watch on the configuration and the orders. Returns the configuration
    /// and the changes of orders that it contained.
    pub fn finish_watch(&mut self, watch: Watch, now_us: u64) -> (Option<Vec<u8>>, Option<Orders>) {
        self.end_call(now_us);
        match watch {
            Watch::Changes { text, changes, revision } => {
                self.revision = Some(revision);
                if let Some(listing) = &mut self.listing {
                    listing.watched(revision);
                }
                return (text, Some(Orders::Changes { changes, revision }));
            }
            Watch::Compacted => {
                self.revision = None;
                self.listing = Some(Listing::default());
            }
            Watch::Failed(reason) => self.call_failed(&reason, now_us),
        }
        (None, None)
    }

    fn end_call(&mut self, now_us: u64) {
        self.in_flight = false;
        self.next_call_us = now_us;
    }

    fn config_read(&mut self, revision: u64) {
        self.revision = Some(revision);
        if let Some(listing) = &mut self.listing {
            listing.set_next(true);
        }
    }

    /// Schedules the next call. If the orders were to be read, the configuration is read next and the
    /// other way round, so that a fault of one does not hold up the other.
    fn call_failed(&mut self, reason: &str, now_us: u64) {
        log::info!("event=store_failed reason=\"{reason}\" version={}", self.version());
        self.next_call_us = now_us.max(self.called_us + RETRY_US);
        if let Some(listing) = &mut self.listing {
            listing.call_failed();
        }
    }
}

/// Returns the longest time for which the store may hold a watch, in milliseconds. Where orders to
/// evacuate zones must be applied in time, a watch whose connection has died and the call after it,
/// which may also fail, take less than this time.
fn max_watch_ms(apply_ms: Option<u64>) -> u64 {
    let Some(apply_ms) = apply_ms else { return watch::WATCH_MS };
    apply_ms.saturating_sub(2 * CALL_MS + RETRY_US / 1000).clamp(MIN_WATCH_MS, watch::WATCH_MS)
}
