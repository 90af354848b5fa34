//! The configuration: read from the store, watched there, and passed between processes.

use kingcup_dispatch::routes::Table;

use super::protocol::Fetch;

/// Time that a watch waits at the store, in milliseconds. A connection that has gone silent is
/// noticed within this time and `CALL_MS`.
pub const WATCH_MS: u64 = 3_000;
/// Time limit of a call to the store, beyond the time that a watch waits, in milliseconds. The store
/// answers in a few milliseconds, and in half a second when it is slow.
pub const CALL_MS: u64 = 700;
/// Time between a failed call and the next one, in microseconds.
const RETRY_US: u64 = 250_000;

/// A call that is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Call {
    /// Read the configuration.
    Read,
    /// Wait for one after this revision.
    Watch(u64),
}

/// The newest configuration that a process knows, and what it asks the store.
#[derive(Debug, Default)]
pub struct Document {
    table: Table,
    text: Vec<u8>,
    /// Revision from which to watch; `None` before the first answer and after the history was lost.
    revision: Option<u64>,
    calling: bool,
    due_us: u64,
}

impl Document {
    /// Queues in force.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Version in force; 0 for none.
    pub fn version(&self) -> u64 {
        self.table.version()
    }

    /// The document as it was read.
    pub fn text(&self) -> &[u8] {
        &self.text
    }

    /// Puts a configuration into force if it is newer; a version never goes back.
    pub fn offer(&mut self, table: Table, text: &[u8]) -> bool {
        if table.version() <= self.table.version() {
            return false;
        }
        self.table = table;
        self.text = text.to_vec();
        true
    }

    /// Call to make now, if one is due.
    pub fn next_call(&mut self, now_us: u64) -> Option<Call> {
        if self.calling || now_us < self.due_us {
            return None;
        }
        self.calling = true;
        Some(self.revision.map_or(Call::Read, Call::Watch))
    }

    /// Takes the answer to the call; gives the document that it brought.
    pub fn answered(&mut self, stored: Fetch, now_us: u64) -> Option<Vec<u8>> {
        self.calling = false;
        self.due_us = now_us;
        match stored {
            Fetch::Text { text, revision } => {
                self.revision = Some(revision);
                return Some(text);
            }
            Fetch::Unchanged { revision } => self.revision = Some(revision),
            Fetch::Compacted => self.revision = None,
            Fetch::Failed(reason) => {
                log::info!("event=store_failed reason=\"{reason}\" version={}", self.version());
                self.due_us = now_us + RETRY_US;
            }
        }
        None
    }
}
