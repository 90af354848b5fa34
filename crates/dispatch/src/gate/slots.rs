//! The upstream's slots.

use slotmap::SlotMap;

use crate::gate::{message::Slot, peers::Entry};

/// One call to the upstream.
#[derive(Debug)]
pub(crate) struct Call {
    pub entry: Entry,
    pub sequence: u64,
    /// Index of the kind, or `None` if the document in force no longer has the kind.
    pub kind: Option<usize>,
    /// Run time charged to the kind when the call started.
    pub charged_us: u64,
    pub queue_us: u32,
    pub started_us: u64,
    /// True if the call was abandoned, so that its outcome has been reported already.
    pub stopped: bool,
}

/// Table of running calls, at most one per slot.
#[derive(Debug)]
pub(crate) struct Slots {
    calls: SlotMap<Slot, Call>,
    capacity: usize,
}

impl Slots {
    /// Creates a table with all slots free.
    pub fn new(capacity: u16) -> Self {
        let capacity = usize::from(capacity);
        Self { calls: SlotMap::with_capacity_and_key(capacity), capacity }
    }

    /// Returns the number of free slots.
    pub fn free(&self) -> usize {
        self.capacity - self.calls.len()
    }

    /// Returns the number of running calls.
    pub fn running(&self) -> usize {
        self.calls.len()
    }

    /// Adds a call. The caller has checked that a slot is free.
    pub fn occupy(&mut self, call: Call) -> Slot {
        debug_assert!(self.free() > 0);
        self.calls.insert(call)
    }

    /// Removes a call and frees its slot. Returns `None` if the call has already ended.
    pub fn release(&mut self, slot: Slot) -> Option<Call> {
        self.calls.remove(slot)
    }

    /// Returns a running call.
    pub fn get_mut(&mut self, slot: Slot) -> Option<&mut Call> {
        self.calls.get_mut(slot)
    }

    /// Returns all running calls.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Call> {
        self.calls.values_mut()
    }
}
