//! Start-time fair queue by kind.
//!
//! A kind is within its share while it runs in fewer slots than the whole slots of its share, or
//! while the slot time it was charged lags behind its share. Kinds within their share go first,
//! then the more urgent, then the one with the lowest start tag.

use std::{cmp::Reverse, collections::VecDeque, sync::Arc};

use rustc_hash::FxHashMap;

use crate::{
    document::{Document, Kind, Urgency, MAX_KINDS},
    gate::{message::Peer, peers::Entry},
};

/// Run time assumed for a kind before its first end, in microseconds.
const FIRST_COST_US: u64 = 200_000;
/// Shortest run time that a kind is charged for, in microseconds.
const MIN_COST_US: u64 = 100;
/// A new run time moves the learned one by one part in this many.
const LEARNING: u64 = 8;
/// Share that a kind saves up while nothing of it waits, in microseconds.
const IDLE_SAVED_US: u64 = 250_000;
/// Share that a kind saves up while it waits for a slot, in microseconds. Calls are not interrupted,
/// so a kind may wait for the end of several long ones before it gets a slot that it is owed.
const QUEUED_SAVED_US: u64 = 2_000_000;
/// Binary places of the rates at which charges advance.
const SCALE_BITS: u32 = 16;
/// Classes of urgency.
const URGENCIES: usize = 4;

/// A start in the queue.
#[derive(Debug)]
pub(crate) struct Waiting {
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

#[derive(Debug)]
struct Row {
    name: Arc<str>,
    urgency: Urgency,
    timeout_ms: u32,
    share_percent: u64,
    whole_slots: u64,
    running: u16,
    cost_us: u64,
    due_us: u64,
    tag: u64,
    /// Advance of `due_us` for each microsecond of run time, scaled by `SCALE_BITS`.
    due_rate: u64,
    /// Advance of `tag` for each microsecond of run time, scaled by `SCALE_BITS`.
    tag_rate: u64,
    within: VecDeque<Waiting>,
    lent: VecDeque<Waiting>,
}

impl Row {
    fn open(kind: &Kind) -> Self {
        Self {
            name: Arc::from(kind.name.as_str()),
            urgency: kind.urgency,
            timeout_ms: kind.timeout_ms,
            share_percent: 0,
            whole_slots: 0,
            running: 0,
            cost_us: FIRST_COST_US,
            due_us: 0,
            tag: 0,
            due_rate: 0,
            tag_rate: 0,
            within: VecDeque::new(),
            lent: VecDeque::new(),
        }
    }

    fn waiting(&self) -> usize {
        self.within.len() + self.lent.len()
    }

    fn is_within_share(&self, now_us: u64) -> bool {
        let behind = self.share_percent > 0 && self.due_us <= now_us;
        u64::from(self.running) < self.whole_slots || behind
    }

    /// The queue whose head may take one of `free` slots.
    fn ready(&mut self, free: usize) -> Option<&mut VecDeque<Waiting>> {
        if !self.within.is_empty() {
            return Some(&mut self.within);
        }
        let head = self.lent.front()?;
        (usize::from(head.headroom) < free).then_some(&mut self.lent)
    }

    fn is_ready(&self, free: usize) -> bool {
        let lent_ready = self.lent.front().is_some_and(|head| usize::from(head.headroom) < free);
        !self.within.is_empty() || lent_ready
    }

    /// Takes what a document sets.
    fn configure(&mut self, kind: &Kind, slots: u64) {
        let share_percent = u64::from(kind.share_percent);
        let whole = 100 << SCALE_BITS;
        self.urgency = kind.urgency;
        self.timeout_ms = kind.timeout_ms;
        self.share_percent = share_percent;
        self.whole_slots = share_percent * slots / 100;
        self.due_rate = whole / (share_percent * slots).max(1);
        self.tag_rate = whole / share_percent.max(1);
    }

    /// Time for which the share pays for a run of this length, in microseconds.
    fn due_step(&self, run_us: u64) -> u64 {
        (run_us * self.due_rate) >> SCALE_BITS
    }

    fn tag_step(&self, run_us: u64) -> u64 {
        (run_us * self.tag_rate) >> SCALE_BITS
    }
}

/// Waiting starts by kind, and the running ones counted.
#[derive(Debug)]
pub(crate) struct Queue {
    rows: Vec<Row>,
    names: FxHashMap<Arc<str>, usize>,
    slots: u64,
    limit: usize,
    queued: usize,
    clocks: [u64; URGENCIES],
    next_expiry_us: u64,
    /// Kinds of which something waits, one bit each; the rows are large, and most are idle.
    waiting: u32,
    /// Running tasks by kind, in the form of load reports.
    counts: [u8; MAX_KINDS],
}

const _: () = assert!(MAX_KINDS <= u32::BITS as usize, "a kind has a bit in `Queue::waiting`");

impl Queue {
    /// Starts empty, without kinds.
    pub fn open(slots: u16, limit: u16) -> Self {
        Self {
            rows: Vec::new(),
            names: FxHashMap::default(),
            slots: u64::from(slots),
            limit: usize::from(limit),
            queued: 0,
            clocks: [0; URGENCIES],
            next_expiry_us: u64::MAX,
            waiting: 0,
            counts: [0; MAX_KINDS],
        }
    }

    /// Derives what is kept beside the rows.
    fn recount(&mut self) {
        self.counts = [0; MAX_KINDS];
        self.waiting = 0;
        for kind in 0..self.rows.len() {
            self.count(kind);
            self.mark(kind);
        }
    }

    fn count(&mut self, kind: usize) {
        self.counts[kind] = u8::try_from(self.rows[kind].running).unwrap_or(u8::MAX);
    }

    fn mark(&mut self, kind: usize) {
        let bit = 1 << kind;
        if self.rows[kind].waiting() > 0 {
            self.waiting |= bit;
        } else {
            self.waiting &= !bit;
        }
    }

    /// Takes the kinds of a document. Gives the starts of removed kinds, and the new index of each
    /// kind by its old one.
    pub fn apply(&mut self, document: &Document) -> (Vec<Waiting>, Vec<Option<usize>>) {
        let mut old: Vec<Option<Row>> =
            std::mem::take(&mut self.rows).into_iter().map(Some).collect();
        let mut moved = vec![None; old.len()];
        for kind in document.kinds.iter().take(MAX_KINDS) {
            let known = self.names.get(kind.name.as_str()).copied();
            let kept = known.and_then(|at| old[at].take());
            if let (Some(at), true) = (known, kept.is_some()) {
                moved[at] = Some(self.rows.len());
            }
            let mut row = kept.unwrap_or_else(|| Row::open(kind));
            row.configure(kind, self.slots);
            self.rows.push(row);
        }
        let names = self.rows.iter().enumerate().map(|(at, row)| (row.name.clone(), at));
        self.names = names.collect();
        self.recount();
        let removed: Vec<Waiting> = old
            .into_iter()
            .flatten()
            .flat_map(|row| row.within.into_iter().chain(row.lent))
            .collect();
        self.queued -= removed.len();
        (removed, moved)
    }

    /// Index of a kind.
    pub fn kind(&self, name: &str) -> Option<usize> {
        self.names.get(name).copied()
    }

    /// Name of a kind.
    pub fn name(&self, kind: usize) -> Arc<str> {
        self.rows[kind].name.clone()
    }

    /// Longest run time of a kind, in milliseconds.
    pub fn timeout_ms(&self, kind: usize) -> u32 {
        self.rows[kind].timeout_ms
    }

    /// Starts in the queue.
    pub fn len(&self) -> usize {
        self.queued
    }

    /// Running tasks of each kind, and the number of kinds.
    pub fn running(&self) -> ([u8; MAX_KINDS], u8) {
        (self.counts, self.rows.len() as u8)
    }

    /// True if the queue takes another start of this kind. Every kind always has one place and its
    /// share of the queue; one kind fills at most half of the rest.
    pub fn has_room(&self, kind: usize) -> bool {
        let row = &self.rows[kind];
        let own = (row.share_percent as usize * self.limit / 100).max(1);
        let half = self.limit.div_ceil(2);
        row.waiting() < own || (self.queued < self.limit && row.waiting() < half)
    }

    /// Makes a kind active of which nothing waits. It loses what it saved up beyond the bound.
    pub fn wake(&mut self, kind: usize, now_us: u64) {
        let row = &mut self.rows[kind];
        if row.waiting() == 0 {
            row.tag = row.tag.max(self.clocks[row.urgency as usize]);
            row.due_us = row.due_us.max(now_us.saturating_sub(IDLE_SAVED_US));
        }
    }

    /// Adds a start.
    pub fn push(&mut self, kind: usize, waiting: Waiting, now_us: u64) {
        self.wake(kind, now_us);
        let row = &mut self.rows[kind];
        self.next_expiry_us = self.next_expiry_us.min(waiting.expires_us);
        self.queued += 1;
        let lane = if waiting.headroom == 0 { &mut row.within } else { &mut row.lent };
        lane.push_back(waiting);
        self.mark(kind);
    }

    /// Removes the start that goes next when `free` slots are free.
    pub fn pop(&mut self, free: usize, now_us: u64) -> Option<(usize, Waiting)> {
        if self.queued == 0 || free == 0 {
            return None;
        }
        let ready = bits(self.waiting).filter(|&kind| self.rows[kind].is_ready(free));
        let rank = |row: &Row| (!row.is_within_share(now_us), Reverse(row.urgency), row.tag);
        let kind = ready.min_by_key(|&kind| rank(&self.rows[kind]))?;
        let waiting = self.rows[kind].ready(free)?.pop_front()?;
        self.queued -= 1;
        self.mark(kind);
        Some((kind, waiting))
    }

    /// Removes one start.
    pub fn remove(&mut self, entry: Entry, sequence: u64) -> Vec<Waiting> {
        self.retain(|waiting| waiting.entry != entry || waiting.sequence != sequence)
    }

    /// Removes the starts that have waited too long.
    pub fn expire(&mut self, now_us: u64) -> Vec<Waiting> {
        if now_us < self.next_expiry_us {
            return Vec::new();
        }
        let expired = self.retain(|waiting| waiting.expires_us > now_us);
        let rows = bits(self.waiting).map(|kind| &self.rows[kind]);
        let lanes = rows.flat_map(|row| row.within.iter().chain(&row.lent));
        self.next_expiry_us = lanes.map(|waiting| waiting.expires_us).min().unwrap_or(u64::MAX);
        expired
    }

    /// Time of the next expiry at the earliest.
    pub fn next_expiry_us(&self) -> u64 {
        self.next_expiry_us
    }

    /// Keeps the starts that fulfil a condition and gives the others.
    pub fn retain(&mut self, keep: impl Fn(&Waiting) -> bool) -> Vec<Waiting> {
        let mut removed = Vec::new();
        for kind in bits(self.waiting) {
            let row = &mut self.rows[kind];
            for lane in [&mut row.within, &mut row.lent] {
                if lane.iter().all(&keep) {
                    continue;
                }
                let (kept, out) = std::mem::take(lane).into_iter().partition(&keep);
                *lane = kept;
                removed.extend::<VecDeque<_>>(out);
            }
            self.mark(kind);
        }
        self.queued -= removed.len();
        removed
    }

    /// Charges a kind for a start. Gives the run time that it was charged for.
    pub fn charge(&mut self, kind: usize, now_us: u64) -> u64 {
        let row = &mut self.rows[kind];
        let clock = &mut self.clocks[row.urgency as usize];
        *clock = (*clock).max(row.tag);
        row.tag += row.tag_step(row.cost_us);
        let saved_us = now_us.saturating_sub(QUEUED_SAVED_US);
        row.due_us = row.due_us.max(saved_us) + row.due_step(row.cost_us);
        row.running += 1;
        let charged_us = row.cost_us;
        self.count(kind);
        charged_us
    }

    /// Corrects the charge once the run time is known, and learns from it.
    pub fn settle(&mut self, kind: usize, charged_us: u64, run_us: u64) {
        let row = &mut self.rows[kind];
        let run_us = run_us.max(MIN_COST_US);
        let adjust = |value: u64, charged: u64, spent: u64| (value + spent).saturating_sub(charged);
        let (charged, spent) = (row.due_step(charged_us), row.due_step(run_us));
        row.due_us = adjust(row.due_us, charged, spent);
        row.tag = adjust(row.tag, row.tag_step(charged_us), row.tag_step(run_us));
        row.cost_us = (row.cost_us * (LEARNING - 1) + run_us) / LEARNING;
        row.running -= 1;
        self.count(kind);
    }
}

/// Positions of the bits that are set, ascending.
fn bits(mut mask: u32) -> impl Iterator<Item = usize> {
    std::iter::from_fn(move || {
        let at = mask.trailing_zeros();
        mask &= mask.checked_sub(1)?;
        Some(at as usize)
    })
}
