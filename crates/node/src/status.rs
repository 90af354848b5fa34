//! Parts that the status reports of all daemons have in common.

use kingcup_dispatch::evacuation::Table;
use serde::Serialize;

/// Evacuated zones as a process knows them.
#[derive(Debug, Serialize)]
pub struct Evacuations<'a> {
    /// Revision of the store that the table shows; 0 while none is known.
    pub revision: u64,
    /// Names of the zones, in order.
    pub zones: Vec<&'a str>,
}

impl<'a> Evacuations<'a> {
    /// Reports a table.
    pub fn new(table: &'a Table) -> Self {
        Self { revision: table.revision(), zones: table.zones().collect() }
    }
}
