//! Start-time fair queueing of starts by kind.
//!
//! A kind is within its share while it occupies fewer slots than the whole slots of its share, or
//! while the slot time charged to it lags behind its share. Kinds within their share go first, then
//! the more urgent ones, then the one with the lowest start tag.

use std::{cmp::Reverse, collections::VecDeque, sync::Arc};

use rustc_hash::FxHashMap;

use crate::{
    document::{Document, Kind, Urgency, MAX_KINDS},
    gate::{message::Peer, peers::Entry},
};

/// Run time assumed for a kind before its first call has ended, in microseconds.
const INITIAL_COST_US: u64 = 200_000;
/// Shortest run time charged to a kind, in microseconds.
const MIN_COST_US: u64 = 100;
/// A measured run time changes the estimate by one part in this many of their difference.
const COST_SMOOTHING: u64 = 8;
/// Limit on the unused share that a kind keeps while none of its starts wait, in microseconds.
const IDLE_CREDIT_US: u64 = 250_000;
/// Limit on the unused share that a kind keeps while its starts wait, in microseconds. Calls are
/// not interrupted, so a kind may wait for the end of several long ones before it gets a slot of
/// its share.
const QUEUED_CREDIT_US: u64 = 2_000_000;
/// Number of fractional bits of `due_rate` and `tag_rate`.
const SCALE_BITS: u32 = 16;
/// Number of urgency classes.
const URGENCIES: usize = 4;

/// A queued start.
#[derive(Debug)]
pub(crate) struct Item {
    pub entry: Entry,
    pub peer: Peer,
    pub sequence: u64,
    pub job: String,
    pub task: u16,
    pub headroom: u8,
    pub queued_us: u64,
    pub expires_us: u64,
    pub payload: Vec<u8>,
}

/// Queues and accounting of one kind.
#[derive(Debug)]
struct Row {
    name: Arc<str>,
    urgency: Urgency,
    timeout_ms: u32,
    share_percent: u64,
    /// Number of whole slots in the guaranteed share.
    whole_slots: u64,
    running: u16,
    /// Estimated run time.
    cost_us: u64,
    /// Time by which the share provides the slot time charged so far.
    due_us: u64,
    /// Start tag: the virtual time at which the kind's next run starts.
    tag: u64,
    /// Advance of `due_us` per microsecond of run time, scaled by `SCALE_BITS`.
    due_rate: u64,
    /// Advance of `tag` per microsecond of run time, scaled by `SCALE_BITS`.
    tag_rate: u64,
    /// Queued starts that need no headroom.
    guaranteed: VecDeque<Item>,
    /// Queued starts that must leave reserved slots free.
    borrowed: VecDeque<Item>,
}

impl Row {
    fn new(kind: &Kind) -> Self {
        Self {
            name: Arc::from(kind.name.as_str()),
            urgency: kind.urgency,
            timeout_ms: kind.timeout_ms,
            share_percent: 0,
            whole_slots: 0,
            running: 0,
            cost_us: INITIAL_COST_US,
            due_us: 0,
            tag: 0,
            due_rate: 0,
            tag_rate: 0,
            guaranteed: VecDeque::new(),
            borrowed: VecDeque::new(),
        }
    }

    fn queued(&self) -> usize {
        self.guaranteed.len() + self.borrowed.len()
    }

    fn is_within_share(&self, now_us: u64) -> bool {
        let behind = self.share_percent > 0 && self.due_us <= now_us;
        u64::from(self.running) < self.whole_slots || behind
    }

    /// Returns the queue whose first start may use one of `free` slots.
    fn ready(&mut self, free: usize) -> Option<&mut VecDeque<Item>> {
        if !self.guaranteed.is_empty() {
            return Some(&mut self.guaranteed);
        }
        let head = self.borrowed.front()?;
        (usize::from(head.headroom) < free).then_some(&mut self.borrowed)
    }

    fn is_ready(&self, free: usize) -> bool {
        let borrowed_ready =
            self.borrowed.front().is_some_and(|head| usize::from(head.headroom) < free);
        !self.guaranteed.is_empty() || borrowed_ready
    }

    /// Applies the settings of a document.
    fn configure(&mut self, kind: &Kind, slots: u64) {
        let share_percent = u64::from(kind.share_percent);
        let full_share = 100 << SCALE_BITS;
        self.urgency = kind.urgency;
        self.timeout_ms = kind.timeout_ms;
        self.share_percent = share_percent;
        self.whole_slots = share_percent * slots / 100;
        self.due_rate = full_share / (share_percent * slots).max(1);
        self.tag_rate = full_share / share_percent.max(1);
    }

    /// Returns the time in which the share provides the slot time of a run of this length, in
    /// microseconds.
    fn due_step(&self, run_us: u64) -> u64 {
        (run_us * self.due_rate) >> SCALE_BITS
    }

    fn tag_step(&self, run_us: u64) -> u64 {
        (run_us * self.tag_rate) >> SCALE_BITS
    }
}

/// Queued starts and number of running ones, by kind.
#[derive(Debug)]
pub(crate) struct Queue {
    rows: Vec<Row>,
    names: FxHashMap<Arc<str>, usize>,
    slots: u64,
    limit: usize,
    queued: usize,
    /// Virtual time of each urgency class: the highest start tag among its starts that have run.
    virtual_times: [u64; URGENCIES],
    next_expiry_us: u64,
    /// Kinds with queued starts, one bit each: rows are large and most are idle, so scanning all of
    /// them would cost more.
    waiting_kinds: u32,
    /// Running tasks by kind, as load reports carry them.
    counts: [u8; MAX_KINDS],
}

const _: () =
    assert!(MAX_KINDS <= u32::BITS as usize, "a kind has a bit in `Queue::waiting_kinds`");

impl Queue {
    /// Creates an empty queue without kinds.
    pub fn new(slots: u16, limit: u16) -> Self {
        Self {
            rows: Vec::new(),
            names: FxHashMap::default(),
            slots: u64::from(slots),
            limit: usize::from(limit),
            queued: 0,
            virtual_times: [0; URGENCIES],
            next_expiry_us: u64::MAX,
            waiting_kinds: 0,
            counts: [0; MAX_KINDS],
        }
    }

    /// Recomputes the counts and the bit mask that are kept beside the rows.
    fn rebuild_summaries(&mut self) {
        self.counts = [0; MAX_KINDS];
        self.waiting_kinds = 0;
        for kind in 0..self.rows.len() {
            self.update_count(kind);
            self.update_waiting(kind);
        }
    }

    fn update_count(&mut self, kind: usize) {
        self.counts[kind] = u8::try_from(self.rows[kind].running).unwrap_or(u8::MAX);
    }

    fn update_waiting(&mut self, kind: usize) {
        let bit = 1 << kind;
        if self.rows[kind].queued() > 0 {
            self.waiting_kinds |= bit;
        } else {
            self.waiting_kinds &= !bit;
        }
    }

    /// Applies the kinds of a document. Returns the starts of removed kinds, and the new index of
    /// each kind by its old index.
    pub fn apply(&mut self, document: &Document) -> (Vec<Item>, Vec<Option<usize>>) {
        let mut old: Vec<Option<Row>> =
            std::mem::take(&mut self.rows).into_iter().map(Some).collect();
        let mut new_indices = vec![None; old.len()];
        for kind in document.kinds.iter().take(MAX_KINDS) {
            let old_index = self.names.get(kind.name.as_str()).copied();
            let existing = old_index.and_then(|index| old[index].take());
            if let (Some(index), true) = (old_index, existing.is_some()) {
                new_indices[index] = Some(self.rows.len());
            }
            let mut row = existing.unwrap_or_else(|| Row::new(kind));
            row.configure(kind, self.slots);
            self.rows.push(row);
        }
        let names = self.rows.iter().enumerate().map(|(at, row)| (row.name.clone(), at));
        self.names = names.collect();
        self.rebuild_summaries();
        let removed: Vec<Item> = old
            .into_iter()
            .flatten()
            .flat_map(|row| row.guaranteed.into_iter().chain(row.borrowed))
            .collect();
        self.queued -= removed.len();
        (removed, new_indices)
    }

    /// Returns the index of a kind.
    pub fn kind(&self, name: &str) -> Option<usize> {
        self.names.get(name).copied()
    }

    /// Returns the name of a kind.
    pub fn name(&self, kind: usize) -> Arc<str> {
        self.rows[kind].name.clone()
    }

    /// Returns the longest permitted run time of a kind, in milliseconds.
    pub fn timeout_ms(&self, kind: usize) -> u32 {
        self.rows[kind].timeout_ms
    }

    /// Returns the number of queued starts.
    pub fn len(&self) -> usize {
        self.queued
    }

    /// Returns the number of running tasks of each kind, and the number of kinds.
    pub fn running(&self) -> ([u8; MAX_KINDS], u8) {
        (self.counts, self.rows.len() as u8)
    }

    /// Returns true if the queue accepts another start of this kind. Every kind may queue at least
    /// one start, and its share of the limit. Beyond that, a kind may hold at most half of the
    /// limit and only while the queue is below it.
    pub fn has_capacity(&self, kind: usize) -> bool {
        let row = &self.rows[kind];
        let guaranteed = (row.share_percent as usize * self.limit / 100).max(1);
        let half = self.limit.div_ceil(2);
        row.queued() < guaranteed || (self.queued < self.limit && row.queued() < half)
    }

    /// Activates a kind without queued starts: unused share beyond `IDLE_CREDIT_US` is lost.
    pub fn activate(&mut self, kind: usize, now_us: u64) {
        let row = &mut self.rows[kind];
        if row.queued() == 0 {
            row.tag = row.tag.max(self.virtual_times[row.urgency as usize]);
            row.due_us = row.due_us.max(now_us.saturating_sub(IDLE_CREDIT_US));
        }
    }

    /// Queues a start.
    pub fn push(&mut self, kind: usize, item: Item, now_us: u64) {
        self.activate(kind, now_us);
        let row = &mut self.rows[kind];
        self.next_expiry_us = self.next_expiry_us.min(item.expires_us);
        self.queued += 1;
        let queue = if item.headroom == 0 { &mut row.guaranteed } else { &mut row.borrowed };
        queue.push_back(item);
        self.update_waiting(kind);
    }

    /// Removes and returns the next start to run when `free` slots are free.
    pub fn pop(&mut self, free: usize, now_us: u64) -> Option<(usize, Item)> {
        if self.queued == 0 || free == 0 {
            return None;
        }
        let ready = bits(self.waiting_kinds).filter(|&kind| self.rows[kind].is_ready(free));
        let rank = |row: &Row| (!row.is_within_share(now_us), Reverse(row.urgency), row.tag);
        let kind = ready.min_by_key(|&kind| rank(&self.rows[kind]))?;
        let item = self.rows[kind].ready(free)?.pop_front()?;
        self.queued -= 1;
        self.update_waiting(kind);
        Some((kind, item))
    }

    /// Removes and returns one start.
    pub fn remove(&mut self, entry: Entry, sequence: u64) -> Vec<Item> {
        self.retain(|item| item.entry != entry || item.sequence != sequence)
    }

    /// Removes and returns the starts whose time limit in the queue has passed.
    pub fn expire(&mut self, now_us: u64) -> Vec<Item> {
        if now_us < self.next_expiry_us {
            return Vec::new();
        }
        let expired = self.retain(|item| item.expires_us > now_us);
        let rows = bits(self.waiting_kinds).map(|kind| &self.rows[kind]);
        let queues = rows.flat_map(|row| row.guaranteed.iter().chain(&row.borrowed));
        self.next_expiry_us = queues.map(|item| item.expires_us).min().unwrap_or(u64::MAX);
        expired
    }

    /// Returns a lower bound of the time of the next expiry.
    pub fn next_expiry_us(&self) -> u64 {
        self.next_expiry_us
    }

    /// Keeps the starts for which `keep` is true, and removes and returns the others.
    pub fn retain(&mut self, keep: impl Fn(&Item) -> bool) -> Vec<Item> {
        let mut removed = Vec::new();
        for kind in bits(self.waiting_kinds) {
            let row = &mut self.rows[kind];
            for queue in [&mut row.guaranteed, &mut row.borrowed] {
                if queue.iter().all(&keep) {
                    continue;
                }
                let (kept, dropped) = std::mem::take(queue).into_iter().partition(&keep);
                *queue = kept;
                removed.extend::<VecDeque<_>>(dropped);
            }
            self.update_waiting(kind);
        }
        self.queued -= removed.len();
        removed
    }

    /// Charges a kind for a start and returns the run time charged.
    pub fn charge(&mut self, kind: usize, now_us: u64) -> u64 {
        let row = &mut self.rows[kind];
        let virtual_time = &mut self.virtual_times[row.urgency as usize];
        *virtual_time = (*virtual_time).max(row.tag);
        row.tag += row.tag_step(row.cost_us);
        let credit_start_us = now_us.saturating_sub(QUEUED_CREDIT_US);
        row.due_us = row.due_us.max(credit_start_us) + row.due_step(row.cost_us);
        row.running += 1;
        let charged_us = row.cost_us;
        self.update_count(kind);
        charged_us
    }

    /// Corrects a charge once the run time is known, and updates the kind's estimated run time.
    pub fn correct(&mut self, kind: usize, charged_us: u64, run_us: u64) {
        let row = &mut self.rows[kind];
        let run_us = run_us.max(MIN_COST_US);
        let adjust = |value: u64, charged: u64, spent: u64| (value + spent).saturating_sub(charged);
        let (charged, spent) = (row.due_step(charged_us), row.due_step(run_us));
        row.due_us = adjust(row.due_us, charged, spent);
        row.tag = adjust(row.tag, row.tag_step(charged_us), row.tag_step(run_us));
        row.cost_us = (row.cost_us * (COST_SMOOTHING - 1) + run_us) / COST_SMOOTHING;
        row.running -= 1;
        self.update_count(kind);
    }
}

/// Returns the positions of the set bits in ascending order.
fn bits(mut mask: u32) -> impl Iterator<Item = usize> {
    std::iter::from_fn(move || {
        let at = mask.trailing_zeros();
        mask &= mask.checked_sub(1)?;
        Some(at as usize)
    })
}
