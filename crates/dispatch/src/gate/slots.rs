//! The upstream's slots.

use slotmap::SlotMap;

use crate::gate::{message::Slot, peers::Entry};

/// One call to the upstream.
#[derive(Debug)]
pub(crate) struct Call {
    pub entry: Entry,
    pub sequence: u64,
    /// Index of the kind; none if the document in force no longer has it.
    pub kind: Option<usize>,
    /// Run time that the kind was charged for at the start.
    pub charged_us: u64,
    pub queue_us: u32,
    pub started_us: u64,
    /// The outcome has been reported already.
    pub stopped: bool,
}

/// Table of running calls, at most one for each slot.
#[derive(Debug)]
pub(crate) struct Slots {
    calls: SlotMap<Slot, Call>,
    limit: usize,
}

impl Slots {
    /// Starts with all slots free.
    pub fn open(limit: u16) -> Self {
        let limit = usize::from(limit);
        Self { calls: SlotMap::with_capacity_and_key(limit), limit }
    }

    /// Free slots.
    pub fn free(&self) -> usize {
        self.limit - self.calls.len()
    }

    /// Taken slots.
    pub fn taken(&self) -> usize {
        self.calls.len()
    }

    /// Takes a slot. The caller has checked that one is free.
    pub fn take(&mut self, call: Call) -> Slot {
        debug_assert!(self.free() > 0);
        self.calls.insert(call)
    }

    /// Frees a slot; `None` if the call has ended before.
    pub fn release(&mut self, slot: Slot) -> Option<Call> {
        self.calls.remove(slot)
    }

    /// A running call.
    pub fn get_mut(&mut self, slot: Slot) -> Option<&mut Call> {
        self.calls.get_mut(slot)
    }

    /// All running calls.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Call> {
        self.calls.values_mut()
    }
}
