//! Which upstream gets a task.
//!
//! Upstreams are grouped by the number of their free slots, so that the cost of a choice does not
//! depend on the size of the fleet.

use std::hash::Hasher;

use rustc_hash::FxHasher;
use slotmap::{new_key_type, SlotMap};

use crate::job;

new_key_type! {
    /// An upstream at this entry.
    pub struct Upstream;
}

/// Slots of a fleet, of which `HEADROOM_SLOTS` are kept from lent work.
pub const HEADROOM_OF_SLOTS: u32 = 80;
/// Slots of every `HEADROOM_OF_SLOTS` that lent work may not take. They let a kind within its share
/// start without waiting. With 6, slots are 96% busy in a flood; with 8 it is less than 95%.
pub const HEADROOM_SLOTS: u32 = 6;
/// Free slots are told apart up to this number.
const LEVELS: usize = 128;
/// Round trip assumed before the first is measured, in microseconds.
const ROUND_TRIP_US: u32 = 2_000;

/// Whether an upstream may get work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It may.
    Open,
    /// Its link is lost; the outcomes of its starts are unknown.
    Suspended,
    /// It is leaving.
    Closing,
    /// It fails too much; only probes are sent.
    Ejected,
}

/// A start whose outcome is not known yet.
#[derive(Debug, Clone, Copy)]
pub struct Dispatch {
    /// Its sequence.
    pub sequence: u64,
    /// Its job.
    pub job: job::Key,
    /// Index of the task in the job.
    pub task: u16,
    /// Index of the kind.
    pub class: u16,
    /// When it was sent.
    pub sent_us: u64,
    /// Slot time charged to the kind.
    pub charged_us: u32,
}

/// Load of a sidecar; fields as in the message of that name.
#[derive(Debug, Clone, Copy, Default)]
pub struct Load<'a> {
    /// Revision of the document whose order of kinds `running` follows.
    pub revision: u64,
    /// Running tasks by kind.
    pub running: &'a [u8],
    /// Tasks in the gate's queue.
    pub queued: u16,
    /// Starts that this entry may have outstanding at the sidecar.
    pub window: u16,
}

/// One upstream.
#[derive(Debug)]
pub struct Row {
    /// Name of the sidecar.
    pub name: Box<str>,
    /// Incarnation of the sidecar.
    pub incarnation: u64,
    /// Whether it may get work.
    pub state: State,
    /// Slots of the upstream.
    pub slots: u16,
    /// Starts that this entry may have outstanding.
    pub window: u16,
    /// Starts that the upstream's health permits to be outstanding.
    pub allowance: u16,
    /// Slots that lent work must leave free here.
    pub headroom: u8,
    /// Starts without outcome, ascending by sequence.
    pub in_flight: Vec<Dispatch>,
    /// Starts to be recalled with the next drain of the actions.
    recalls: Vec<u64>,
    /// Last sequence that was used.
    pub sequence: u64,
    /// Tasks of other entries by kind, as last reported.
    others: Box<[u8]>,
    /// Tasks of other entries in the gate's queue or of unknown kind.
    others_unsorted: u16,
    /// When the load was last reported or adjusted.
    reported_us: u64,
    /// Shortest measured time between sending a start and its report beyond queueing and running.
    round_trip_us: u32,
    local: bool,
    rank: u64,
    group: u8,
    level: u8,
    position: u32,
}

/// The choice of an upstream, and what it was chosen from.
#[derive(Debug, Clone, Copy)]
pub struct Choice {
    /// The chosen upstream.
    pub upstream: Upstream,
    /// Free slots there before the start.
    pub free: u8,
    /// It is in the entry's availability zone.
    pub local: bool,
    /// Upstreams with as many free slots in the same group.
    pub tied: u32,
    /// Most free slots at an upstream in the entry's zone.
    pub best_local: u8,
    /// Most free slots at an upstream in another zone.
    pub best_remote: u8,
}

/// All upstreams with the same zone preference and headroom, by free slots.
#[derive(Debug)]
struct Group {
    occupied: u128,
    levels: Vec<Vec<Upstream>>,
}

/// Groups: local or remote, each with or without headroom.
const GROUPS: usize = 4;
/// Order in which a tie is decided: the own zone first.
const CHOICE_ORDER: [usize; GROUPS] = [0, 2, 1, 3];

/// The upstreams of a service.
#[derive(Debug)]
pub struct Fleet {
    zone: Box<str>,
    rows: SlotMap<Upstream, Row>,
    groups: [Group; GROUPS],
    slots: u32,
    free: u32,
    sweep: usize,
}

impl Group {
    fn new() -> Self {
        Self { occupied: 0, levels: Vec::new() }
    }

    /// Most free slots of an upstream in the group.
    fn top(&self) -> u8 {
        (127 - (self.occupied | 1).leading_zeros()) as u8
    }

    fn insert(&mut self, upstream: Upstream, level: u8) -> u32 {
        let index = usize::from(level);
        if self.levels.len() <= index {
            self.levels.resize_with(index + 1, Vec::new);
        }
        self.levels[index].push(upstream);
        self.occupied |= 1 << level;
        (self.levels[index].len() - 1) as u32
    }

    /// Returns the upstream that took the position of the removed one.
    fn remove(&mut self, level: u8, position: u32) -> Option<Upstream> {
        let list = &mut self.levels[usize::from(level)];
        list.swap_remove(position as usize);
        if list.is_empty() {
            self.occupied &= !(1 << level);
        }
        list.get(position as usize).copied()
    }
}

impl Row {
    /// Free slots, as far as this entry knows.
    pub fn free(&self) -> u8 {
        let own = self.in_flight.len();
        let permitted = usize::from(self.window.min(self.allowance)).saturating_sub(own);
        if self.state != State::Open {
            return 0;
        }
        let others: usize = self.others.iter().map(|&count| usize::from(count)).sum();
        let used = own + others + usize::from(self.others_unsorted);
        usize::from(self.slots).saturating_sub(used).min(permitted).min(LEVELS - 1) as u8
    }

    /// All starts up to this sequence have their final outcome.
    pub fn settled(&self) -> u64 {
        self.in_flight.first().map_or(self.sequence, |dispatch| dispatch.sequence - 1)
    }

    /// Removes a start from those without outcome.
    fn resolve(&mut self, sequence: u64) -> Option<Dispatch> {
        let found = self.in_flight.binary_search_by_key(&sequence, |dispatch| dispatch.sequence);
        found.ok().map(|index| self.in_flight.remove(index))
    }

    fn wanted_group(&self) -> u8 {
        u8::from(!self.local) | u8::from(self.headroom > 0) << 1
    }
}

impl Fleet {
    /// An empty fleet, seen from an availability zone.
    pub fn new(zone: &str) -> Self {
        Self {
            zone: zone.into(),
            rows: SlotMap::with_key(),
            groups: std::array::from_fn(|_| Group::new()),
            slots: 0,
            free: 0,
            sweep: 0,
        }
    }

    /// Slots of all upstreams that are not leaving or ejected.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Free slots, as far as this entry knows.
    pub fn free(&self) -> u32 {
        self.free
    }

    /// Number of upstreams.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// True if there are none.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// One upstream.
    pub fn get(&self, upstream: Upstream) -> Option<&Row> {
        self.rows.get(upstream)
    }

    /// All upstreams.
    pub fn iter(&self) -> impl Iterator<Item = (Upstream, &Row)> {
        self.rows.iter()
    }

    /// Finds an upstream by name. Only for rare events; scans the fleet.
    pub fn find(&self, name: &str) -> Option<Upstream> {
        let mut rows = self.rows.iter();
        rows.find(|(_, row)| &*row.name == name).map(|(key, _)| key)
    }

    /// Adds an upstream.
    pub fn add(&mut self, name: &str, zone: &str, incarnation: u64, slots: u16) -> Upstream {
        let mut hasher = FxHasher::default();
        hasher.write(name.as_bytes());
        let upstream = self.rows.insert(Row {
            name: name.into(),
            incarnation,
            state: State::Open,
            slots,
            window: slots,
            allowance: u16::MAX,
            headroom: 0,
            in_flight: Vec::new(),
            recalls: Vec::new(),
            sequence: 0,
            others: Box::default(),
            others_unsorted: 0,
            reported_us: 0,
            round_trip_us: ROUND_TRIP_US,
            local: *zone == *self.zone,
            rank: hasher.finish(),
            group: 0,
            level: 0,
            position: 0,
        });
        let row = &mut self.rows[upstream];
        row.group = row.wanted_group();
        row.position = self.groups[usize::from(row.group)].insert(upstream, 0);
        self.reserve();
        self.place(upstream);
        upstream
    }

    /// Removes an upstream and returns it.
    pub fn remove(&mut self, upstream: Upstream) -> Option<Row> {
        self.unlink(upstream)?;
        let row = self.rows.remove(upstream);
        self.reserve();
        row
    }

    /// Changes whether an upstream may get work.
    pub fn set_state(&mut self, upstream: Upstream, state: State) {
        let Some(row) = self.rows.get_mut(upstream) else {
            return;
        };
        row.state = state;
        self.reserve();
        self.place(upstream);
    }

    /// Changes how many starts the upstream's health permits to be outstanding.
    pub fn set_allowance(&mut self, upstream: Upstream, allowance: u16) {
        if let Some(row) = self.rows.get_mut(upstream) {
            row.allowance = allowance;
            self.place(upstream);
        }
    }

    /// Records a new incarnation of an upstream.
    pub fn set_incarnation(&mut self, upstream: Upstream, incarnation: u64) {
        if let Some(row) = self.rows.get_mut(upstream) {
            row.incarnation = incarnation;
        }
    }

    /// Chooses the upstream with the most free slots: of the own zone on a tie, and at random among
    /// equals. Lent work leaves each upstream's headroom free.
    pub fn choose(&self, lent: bool, rng: &mut fastrand::Rng) -> Option<Choice> {
        let mut best: Option<(u8, usize)> = None;
        let mut tops = [0; 2];
        for index in CHOICE_ORDER {
            let group = &self.groups[index];
            let top = group.top();
            let reserved = u8::from(lent && index >= 2);
            let zone = index & 1;
            tops[zone] = top.max(tops[zone]);
            let usable = top.saturating_sub(reserved);
            if usable > 0 && best.is_none_or(|(least, _)| usable > least) {
                best = Some((usable, index));
            }
        }
        let (_, index) = best?;
        let group = &self.groups[index];
        let free = group.top();
        let list = &group.levels[usize::from(free)];
        let upstream = list[rng.usize(..list.len())];
        Some(Choice {
            upstream,
            free,
            local: index & 1 == 0,
            tied: list.len() as u32,
            best_local: tops[0],
            best_remote: tops[1],
        })
    }

    /// As `choose`, but leaves out one upstream.
    pub fn choose_other(
        &mut self,
        except: Upstream,
        lent: bool,
        rng: &mut fastrand::Rng,
    ) -> Option<Choice> {
        let Some(row) = self.rows.get(except) else {
            return self.choose(lent, rng);
        };
        let allowance = row.allowance;
        self.set_allowance(except, 0);
        let choice = self.choose(lent, rng);
        self.set_allowance(except, allowance);
        choice
    }

    /// A choice of an ejected upstream, for a probe.
    pub fn probe(&self, upstream: Upstream) -> Option<Choice> {
        let row = self.rows.get(upstream)?;
        let idle = row.state == State::Ejected && row.in_flight.is_empty();
        let group = |index: usize| self.groups[index].top();
        idle.then(|| Choice {
            upstream,
            free: 0,
            local: row.local,
            tied: 1,
            best_local: group(0).max(group(2)),
            best_remote: group(1).max(group(3)),
        })
    }

    /// Chooses any upstream that may get work although none is known to be free.
    pub fn choose_full(&self, rng: &mut fastrand::Rng) -> Option<Choice> {
        let first = rng.usize(..GROUPS);
        let order = (0..GROUPS).map(|step| (first + step) % GROUPS);
        for index in order {
            let Some(list) = self.groups[index].levels.first().filter(|list| !list.is_empty())
            else {
                continue;
            };
            let upstream = list[rng.usize(..list.len())];
            if self.rows[upstream].state != State::Open {
                continue;
            }
            return Some(Choice {
                upstream,
                free: 0,
                local: index & 1 == 0,
                tied: list.len() as u32,
                best_local: 0,
                best_remote: 0,
            });
        }
        None
    }

    /// Records a start and returns its sequence.
    pub fn start(&mut self, upstream: Upstream, mut dispatch: Dispatch) -> u64 {
        let row = &mut self.rows[upstream];
        row.sequence += 1;
        dispatch.sequence = row.sequence;
        row.in_flight.push(dispatch);
        self.place(upstream);
        dispatch.sequence
    }

    /// Notes starts to be recalled. True if they are the first that the upstream has.
    pub fn add_recalls(
        &mut self,
        upstream: Upstream,
        sequences: impl Iterator<Item = u64>,
    ) -> bool {
        let Some(row) = self.rows.get_mut(upstream) else {
            return false;
        };
        let first = row.recalls.is_empty();
        row.recalls.extend(sequences);
        first && !row.recalls.is_empty()
    }

    /// Takes the starts to be recalled, ascending. Empty while the link is lost.
    pub fn take_recalls(&mut self, upstream: Upstream) -> Vec<u64> {
        let Some(row) = self.rows.get_mut(upstream) else {
            return Vec::new();
        };
        let mut sequences = std::mem::take(&mut row.recalls);
        if row.state == State::Suspended {
            return Vec::new();
        }
        sequences.sort_unstable();
        sequences.dedup();
        sequences
    }

    /// Records that a start has its outcome. `None` if there is no such start without outcome.
    pub fn resolve(&mut self, upstream: Upstream, sequence: u64) -> Option<Dispatch> {
        let dispatch = self.rows.get_mut(upstream)?.resolve(sequence)?;
        self.place(upstream);
        Some(dispatch)
    }

    /// Records a measured round trip.
    pub fn measure(&mut self, upstream: Upstream, round_trip_us: u64) {
        if let Some(row) = self.rows.get_mut(upstream) {
            let sample_us = round_trip_us.min(u64::from(u32::MAX)) as u32;
            let risen_us = row.round_trip_us + row.round_trip_us / 16 + 1;
            row.round_trip_us = sample_us.min(risen_us);
        }
    }

    /// Records a reported load. `order` gives the index of each reported kind; it is empty if the
    /// report follows another revision of the document. `totals` are the tasks of other entries by
    /// kind over the fleet, and are adjusted.
    pub fn report(
        &mut self,
        upstream: Upstream,
        load: &Load<'_>,
        order: &[u16],
        totals: &mut [u32],
        now_us: u64,
    ) {
        let Some(row) = self.rows.get_mut(upstream) else {
            return;
        };
        forget(&mut row.others, totals);
        if row.others.len() != totals.len() {
            row.others = vec![0; totals.len()].into();
        }
        row.others.fill(0);
        row.window = load.window;
        row.reported_us = now_us;
        let arrived_us = now_us.saturating_sub(u64::from(row.round_trip_us));
        let arrived = row.in_flight.iter().filter(|dispatch| dispatch.sent_us <= arrived_us);
        if order.is_empty() {
            let running: usize = load.running.iter().map(|&count| usize::from(count)).sum();
            let all = running + usize::from(load.queued);
            row.others_unsorted = all.saturating_sub(arrived.count()) as u16;
        } else {
            for (&class, &count) in order.iter().zip(load.running) {
                row.others[usize::from(class)] += count;
            }
            let mut own_queued = 0;
            for dispatch in arrived {
                match row.others.get_mut(usize::from(dispatch.class)) {
                    Some(count) if *count > 0 => *count -= 1,
                    _ => own_queued += 1,
                }
            }
            row.others_unsorted = load.queued.saturating_sub(own_queued);
        }
        for (total, &count) in totals.iter_mut().zip(&*row.others) {
            *total += u32::from(count);
        }
        self.place(upstream);
    }

    /// Assumes that tasks of other entries end at upstreams that have not reported for so long; a
    /// full upstream without own starts would otherwise never be tried again. Visits a few per call.
    pub fn age(&mut self, totals: &mut [u32], stale_us: u64, visits: usize, now_us: u64) {
        let keys: Vec<Upstream> =
            self.rows.keys().cycle().skip(self.sweep).take(visits.min(self.rows.len())).collect();
        self.sweep = (self.sweep + keys.len()) % self.rows.len().max(1);
        for upstream in keys {
            let row = &mut self.rows[upstream];
            if now_us.saturating_sub(row.reported_us) < stale_us {
                continue;
            }
            row.reported_us = now_us;
            row.others_unsorted = row.others_unsorted.saturating_sub(1);
            let busiest = (0..row.others.len()).max_by_key(|&class| row.others[class]);
            if let Some(class) = busiest.filter(|&class| row.others[class] > 0) {
                row.others[class] -= 1;
                if let Some(total) = totals.get_mut(class) {
                    *total = total.saturating_sub(1);
                }
            }
            self.place(upstream);
        }
    }

    /// Takes an upstream's tasks of other entries out of the totals by kind.
    pub fn discount(&mut self, upstream: Upstream, totals: &mut [u32]) {
        let Some(row) = self.rows.get_mut(upstream) else {
            return;
        };
        forget(&mut row.others, totals);
        row.others_unsorted = 0;
        self.place(upstream);
    }

    /// Spreads the headroom over the upstreams by the hash of their names, so that all entries
    /// arrive at the same distribution.
    fn reserve(&mut self) {
        let open = self.rows.iter().filter(|(_, row)| row.state == State::Open);
        let mut ranked: Vec<(u64, Upstream)> = open.map(|(key, row)| (row.rank, key)).collect();
        ranked.sort_unstable();
        self.slots = ranked.iter().map(|&(_, key)| u32::from(self.rows[key].slots)).sum();
        let reserved = (self.slots * HEADROOM_SLOTS).div_ceil(HEADROOM_OF_SLOTS) as usize;
        for (position, &(_, upstream)) in ranked.iter().enumerate() {
            let headroom = u8::from(position < reserved && self.rows[upstream].slots > 1);
            if self.rows[upstream].headroom != headroom {
                self.rows[upstream].headroom = headroom;
                self.place(upstream);
            }
        }
    }

    fn unlink(&mut self, upstream: Upstream) -> Option<()> {
        let row = self.rows.get(upstream)?;
        let (group, level, position) = (usize::from(row.group), row.level, row.position);
        self.free -= u32::from(level);
        if let Some(moved) = self.groups[group].remove(level, position) {
            self.rows[moved].position = position;
        }
        Some(())
    }

    /// Moves an upstream to the list of its present number of free slots.
    fn place(&mut self, upstream: Upstream) {
        let row = &self.rows[upstream];
        let (level, group) = (row.free(), row.wanted_group());
        if row.level == level && row.group == group {
            return;
        }
        if self.unlink(upstream).is_none() {
            return;
        }
        let position = self.groups[usize::from(group)].insert(upstream, level);
        let row = &mut self.rows[upstream];
        row.level = level;
        row.group = group;
        row.position = position;
        self.free += u32::from(level);
    }
}

fn forget(others: &mut [u8], totals: &mut [u32]) {
    for (total, count) in totals.iter_mut().zip(others.iter_mut()) {
        *total = total.saturating_sub(u32::from(*count));
        *count = 0;
    }
}
