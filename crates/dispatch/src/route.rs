//! Selection of the upstream that runs a task.
//!
//! Upstreams are indexed by their number of free slots, so that the cost of a selection does not
//! depend on the size of the fleet.

use std::hash::Hasher;

use rustc_hash::FxHasher;
use slotmap::{new_key_type, SlotMap};

use crate::job;

new_key_type! {
    /// Key of an upstream known to this entry.
    pub struct Upstream;
}

/// Number of fleet slots for which `HEADROOM_SLOTS` are kept free of borrowed work.
pub const HEADROOM_BASIS_SLOTS: u32 = 80;
/// Number of slots in every `HEADROOM_BASIS_SLOTS` that borrowed work must leave free, so that a
/// kind within its share can start without waiting. With 6, slots are 96% busy during a flood; with
/// 8, less than 95%.
pub const HEADROOM_SLOTS: u32 = 6;
/// Number of distinct levels of free slots, one per bit of `Group::occupied`. Upstreams with more
/// free slots share the highest level.
const LEVELS: usize = 128;
/// Round-trip time assumed before the first measurement, in microseconds.
const ROUND_TRIP_US: u32 = 2_000;

/// Whether an upstream may receive work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It may receive work.
    Open,
    /// Its link is lost, and the outcomes of its starts are unknown.
    Suspended,
    /// Its sidecar is shutting down and accepts no new work.
    Closing,
    /// Its failure rate is too high; it receives only probes.
    Ejected,
}

/// A start that was sent and whose outcome is not known yet.
#[derive(Debug, Clone, Copy)]
pub struct Dispatch {
    /// Sequence number of the start at the upstream.
    pub sequence: u64,
    /// Job that the task belongs to.
    pub job: job::Key,
    /// Index of the task in the job.
    pub task: u16,
    /// Index of the kind of work.
    pub class: u16,
    /// When the start was sent, in microseconds.
    pub sent_us: u64,
    /// Expected slot time that was charged to the kind, in microseconds.
    pub charged_us: u32,
}

/// Load report of a sidecar. The fields match those of the `Load` message.
#[derive(Debug, Clone, Copy, Default)]
pub struct Load<'a> {
    /// Revision of the document that defines the order of kinds in `running`.
    pub revision: u64,
    /// Number of running tasks of each kind.
    pub running: &'a [u8],
    /// Number of tasks in the gate's queue.
    pub queued: u16,
    /// Maximum number of starts that this entry may have outstanding at the sidecar.
    pub window: u16,
}

/// Routing state of one upstream.
#[derive(Debug)]
pub struct Row {
    /// Name of the sidecar.
    pub name: Box<str>,
    /// Incarnation of the sidecar.
    pub incarnation: u64,
    /// Whether it may receive work.
    pub state: State,
    /// Availability zone of the upstream.
    pub zone: Box<str>,
    /// True while the zone is evacuated, so that the upstream gets no starts.
    pub evacuated: bool,
    /// Number of slots of the upstream.
    pub slots: u16,
    /// Maximum number of starts that this entry may have outstanding.
    pub window: u16,
    /// Maximum number of outstanding starts that the upstream's health permits.
    pub allowance: u16,
    /// Number of slots that borrowed work must leave free at this upstream.
    pub headroom: u8,
    /// Starts without an outcome, in ascending order of their sequence numbers.
    pub in_flight: Vec<Dispatch>,
    /// Sequence numbers of the starts to recall when the actions are next drained.
    recalls: Vec<u64>,
    /// Last sequence number that was assigned.
    pub sequence: u64,
    /// Number of running tasks of other entries for each kind, as last reported.
    others: Box<[u8]>,
    /// Number of tasks of other entries that are queued at the gate or whose kind is unknown.
    others_unattributed: u16,
    /// When the load was last reported or adjusted, in microseconds.
    reported_us: u64,
    /// Estimated shortest round trip: time between sending a start and receiving its result,
    /// without queueing and running.
    round_trip_us: u32,
    /// True if the upstream is in the entry's availability zone.
    local: bool,
    /// Hash of the name, by which the headroom is distributed.
    rank: u64,
    /// Index of the group that contains the upstream.
    group: u8,
    /// Number of free slots under which the group lists the upstream.
    level: u8,
    /// Position in the list of that level.
    position: u32,
}

/// A selected upstream and the alternatives it was selected from.
#[derive(Debug, Clone, Copy)]
pub struct Choice {
    /// The selected upstream.
    pub upstream: Upstream,
    /// Number of free slots of that upstream before the start.
    pub free: u8,
    /// True if the upstream is in the entry's availability zone.
    pub local: bool,
    /// Number of upstreams in the same group with equally many free slots, including the selected
    /// one.
    pub tied: u32,
    /// Largest number of free slots of any upstream in the entry's availability zone.
    pub best_local: u8,
    /// Largest number of free slots of any upstream in other availability zones.
    pub best_remote: u8,
}

/// Upstreams with the same zone preference and headroom, indexed by free slots. Bit `n` of
/// `occupied` is set if `levels[n]` is not empty.
#[derive(Debug)]
struct Group {
    occupied: u128,
    levels: Vec<Vec<Upstream>>,
}

/// Number of groups. Bit 0 of an index is set for remote upstreams, bit 1 for those with headroom.
const GROUPS: usize = 4;
/// Order in which groups are compared, so that ties go to the local availability zone.
const CHOICE_ORDER: [usize; GROUPS] = [0, 2, 1, 3];

/// All upstreams of a service as seen by one entry.
#[derive(Debug)]
pub struct Fleet {
    zone: Box<str>,
    rows: SlotMap<Upstream, Row>,
    groups: [Group; GROUPS],
    slots: u32,
    evacuated_slots: u32,
    free: u32,
    /// Number of the upstream at which `age_reports` continues.
    age_cursor: usize,
}

impl Group {
    fn new() -> Self {
        Self { occupied: 0, levels: Vec::new() }
    }

    /// Returns the largest number of free slots of any upstream in the group.
    fn max_free(&self) -> u8 {
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

    /// Removes the upstream at a position of a level and returns the one moved there, if any.
    fn remove(&mut self, level: u8, position: u32) -> Option<Upstream> {
        let upstreams = &mut self.levels[usize::from(level)];
        upstreams.swap_remove(position as usize);
        if upstreams.is_empty() {
            self.occupied &= !(1 << level);
        }
        upstreams.get(position as usize).copied()
    }
}

impl Row {
    /// Returns whether the upstream may receive work other than probes.
    pub fn accepts(&self) -> bool {
        self.state == State::Open && !self.evacuated
    }

    /// Returns the number of slots that this entry believes to be free.
    pub fn free(&self) -> u8 {
        let own = self.in_flight.len();
        let permitted = usize::from(self.window.min(self.allowance)).saturating_sub(own);
        if !self.accepts() {
            return 0;
        }
        let others: usize = self.others.iter().map(|&count| usize::from(count)).sum();
        let used = own + others + usize::from(self.others_unattributed);
        usize::from(self.slots).saturating_sub(used).min(permitted).min(LEVELS - 1) as u8
    }

    /// Returns the highest sequence number up to which all starts have a final outcome.
    pub fn settled(&self) -> u64 {
        self.in_flight.first().map_or(self.sequence, |dispatch| dispatch.sequence - 1)
    }

    /// Removes a start from those in flight and returns it.
    fn resolve(&mut self, sequence: u64) -> Option<Dispatch> {
        let found = self.in_flight.binary_search_by_key(&sequence, |dispatch| dispatch.sequence);
        found.ok().map(|index| self.in_flight.remove(index))
    }

    fn group_index(&self) -> u8 {
        u8::from(!self.local) | u8::from(self.headroom > 0) << 1
    }
}

impl Fleet {
    /// Creates an empty fleet for an entry in the given availability zone.
    pub fn new(zone: &str) -> Self {
        Self {
            zone: zone.into(),
            rows: SlotMap::with_key(),
            groups: std::array::from_fn(|_| Group::new()),
            slots: 0,
            evacuated_slots: 0,
            free: 0,
            age_cursor: 0,
        }
    }

    /// Returns the number of slots of all upstreams that accept work.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns the number of slots of the open upstreams in evacuated zones.
    pub fn evacuated_slots(&self) -> u32 {
        self.evacuated_slots
    }

    /// Returns the number of slots in the fleet that this entry believes to be free.
    pub fn free(&self) -> u32 {
        self.free
    }

    /// Returns the number of upstreams.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns true if there are no upstreams.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns an upstream's routing state.
    pub fn get(&self, upstream: Upstream) -> Option<&Row> {
        self.rows.get(upstream)
    }

    /// Iterates over all upstreams.
    pub fn iter(&self) -> impl Iterator<Item = (Upstream, &Row)> {
        self.rows.iter()
    }

    /// Finds an upstream by name. Scans the whole fleet, so it is meant for rare events only.
    pub fn find(&self, name: &str) -> Option<Upstream> {
        let mut rows = self.rows.iter();
        rows.find(|(_, row)| &*row.name == name).map(|(key, _)| key)
    }

    /// Adds an open upstream without load and returns its key.
    pub fn add(&mut self, name: &str, zone: &str, incarnation: u64, slots: u16) -> Upstream {
        let mut hasher = FxHasher::default();
        hasher.write(name.as_bytes());
        let upstream = self.rows.insert(Row {
            name: name.into(),
            incarnation,
            state: State::Open,
            zone: zone.into(),
            evacuated: false,
            slots,
            window: slots,
            allowance: u16::MAX,
            headroom: 0,
            in_flight: Vec::new(),
            recalls: Vec::new(),
            sequence: 0,
            others: Box::default(),
            others_unattributed: 0,
            reported_us: 0,
            round_trip_us: ROUND_TRIP_US,
            local: *zone == *self.zone,
            rank: hasher.finish(),
            group: 0,
            level: 0,
            position: 0,
        });
        let row = &mut self.rows[upstream];
        row.group = row.group_index();
        row.position = self.groups[usize::from(row.group)].insert(upstream, 0);
        self.assign_headroom();
        self.reindex(upstream);
        upstream
    }

    /// Removes an upstream and returns it.
    pub fn remove(&mut self, upstream: Upstream) -> Option<Row> {
        self.unlink(upstream)?;
        let row = self.rows.remove(upstream);
        self.assign_headroom();
        row
    }

    /// Sets whether an upstream may receive work.
    pub fn set_state(&mut self, upstream: Upstream, state: State) {
        let Some(row) = self.rows.get_mut(upstream) else {
            return;
        };
        row.state = state;
        self.assign_headroom();
        self.reindex(upstream);
    }

    /// Sets whether the zone of an upstream is evacuated.
    pub fn set_evacuated(&mut self, upstream: Upstream, evacuated: bool) {
        if let Some(row) = self.rows.get_mut(upstream) {
            row.evacuated = evacuated;
            self.assign_headroom();
            self.reindex(upstream);
        }
    }

    /// Sets how many outstanding starts the upstream's health permits.
    pub fn set_allowance(&mut self, upstream: Upstream, allowance: u16) {
        if let Some(row) = self.rows.get_mut(upstream) {
            row.allowance = allowance;
            self.reindex(upstream);
        }
    }

    /// Records a new incarnation of an upstream.
    pub fn set_incarnation(&mut self, upstream: Upstream, incarnation: u64) {
        if let Some(row) = self.rows.get_mut(upstream) {
            row.incarnation = incarnation;
        }
    }

    /// Selects the upstream with the most free slots. Ties go to the local availability zone and
    /// are then broken at random. With `leave_headroom`, the headroom of each upstream stays free.
    pub fn choose(&self, leave_headroom: bool, rng: &mut fastrand::Rng) -> Option<Choice> {
        let mut best: Option<(u8, usize)> = None;
        let mut zone_max_free = [0; 2];
        for index in CHOICE_ORDER {
            let group = &self.groups[index];
            let max_free = group.max_free();
            let headroom = u8::from(leave_headroom && index >= 2);
            let zone = index & 1;
            zone_max_free[zone] = max_free.max(zone_max_free[zone]);
            let usable = max_free.saturating_sub(headroom);
            if usable > 0 && best.is_none_or(|(current, _)| usable > current) {
                best = Some((usable, index));
            }
        }
        let (_, index) = best?;
        let group = &self.groups[index];
        let free = group.max_free();
        let candidates = &group.levels[usize::from(free)];
        let upstream = candidates[rng.usize(..candidates.len())];
        Some(Choice {
            upstream,
            free,
            local: index & 1 == 0,
            tied: candidates.len() as u32,
            best_local: zone_max_free[0],
            best_remote: zone_max_free[1],
        })
    }

    /// Selects like `choose`, but excludes one upstream.
    pub fn choose_other(
        &mut self,
        except: Upstream,
        leave_headroom: bool,
        rng: &mut fastrand::Rng,
    ) -> Option<Choice> {
        let Some(row) = self.rows.get(except) else {
            return self.choose(leave_headroom, rng);
        };
        let allowance = row.allowance;
        self.set_allowance(except, 0);
        let choice = self.choose(leave_headroom, rng);
        self.set_allowance(except, allowance);
        choice
    }

    /// Selects an ejected upstream for a probe if it has no start in flight.
    pub fn choose_probe(&self, upstream: Upstream) -> Option<Choice> {
        let row = self.rows.get(upstream)?;
        let idle = row.state == State::Ejected && !row.evacuated && row.in_flight.is_empty();
        let group = |index: usize| self.groups[index].max_free();
        idle.then(|| Choice {
            upstream,
            free: 0,
            local: row.local,
            tied: 1,
            best_local: group(0).max(group(2)),
            best_remote: group(1).max(group(3)),
        })
    }

    /// Selects a random open upstream without known free slots.
    ///
    /// Checks only one random upstream of each group, so it may return `None` although there is an
    /// open one.
    pub fn choose_any(&self, rng: &mut fastrand::Rng) -> Option<Choice> {
        let first = rng.usize(..GROUPS);
        let order = (0..GROUPS).map(|step| (first + step) % GROUPS);
        for index in order {
            let Some(candidates) =
                self.groups[index].levels.first().filter(|candidates| !candidates.is_empty())
            else {
                continue;
            };
            let upstream = candidates[rng.usize(..candidates.len())];
            if !self.rows[upstream].accepts() {
                continue;
            }
            return Some(Choice {
                upstream,
                free: 0,
                local: index & 1 == 0,
                tied: candidates.len() as u32,
                best_local: 0,
                best_remote: 0,
            });
        }
        None
    }

    /// Records a start as in flight and returns the sequence number assigned to it.
    pub fn start(&mut self, upstream: Upstream, mut dispatch: Dispatch) -> u64 {
        let row = &mut self.rows[upstream];
        row.sequence += 1;
        dispatch.sequence = row.sequence;
        row.in_flight.push(dispatch);
        self.reindex(upstream);
        dispatch.sequence
    }

    /// Adds starts to be recalled. Returns true if the upstream had none before and has some now.
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

    /// Removes and returns the sequence numbers to be recalled, in ascending order. Returns none
    /// while the link is lost.
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

    /// Removes a start that has its outcome from those in flight. Returns `None` if it is not in
    /// flight.
    pub fn resolve(&mut self, upstream: Upstream, sequence: u64) -> Option<Dispatch> {
        let dispatch = self.rows.get_mut(upstream)?.resolve(sequence)?;
        self.reindex(upstream);
        Some(dispatch)
    }

    /// Records a measured round trip. The estimate follows shorter samples at once and rises by at
    /// most about a sixteenth per sample.
    pub fn record_round_trip(&mut self, upstream: Upstream, round_trip_us: u64) {
        if let Some(row) = self.rows.get_mut(upstream) {
            let sample_us = round_trip_us.min(u64::from(u32::MAX)) as u32;
            let limit_us = row.round_trip_us + row.round_trip_us / 16 + 1;
            row.round_trip_us = sample_us.min(limit_us);
        }
    }

    /// Records a reported load and derives from it the load that other entries cause.
    ///
    /// `order` maps positions in the report to kinds; it is empty if the report is based on another
    /// revision of the document. `totals` holds the tasks of other entries for each kind over the
    /// whole fleet and is updated.
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
        subtract_others(&mut row.others, totals);
        if row.others.len() != totals.len() {
            row.others = vec![0; totals.len()].into();
        }
        row.others.fill(0);
        row.window = load.window;
        row.reported_us = now_us;
        let arrival_limit_us = now_us.saturating_sub(u64::from(row.round_trip_us));
        let arrived = row.in_flight.iter().filter(|dispatch| dispatch.sent_us <= arrival_limit_us);
        if order.is_empty() {
            let running: usize = load.running.iter().map(|&count| usize::from(count)).sum();
            let all = running + usize::from(load.queued);
            row.others_unattributed = all.saturating_sub(arrived.count()) as u16;
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
            row.others_unattributed = load.queued.saturating_sub(own_queued);
        }
        for (total, &count) in totals.iter_mut().zip(&*row.others) {
            *total += u32::from(count);
        }
        self.reindex(upstream);
    }

    /// Reduces the assumed load of other entries at upstreams whose last report is older than
    /// `stale_us`. Otherwise, an upstream that appears full and runs no task of this entry would
    /// never be selected again. Checks `visits` upstreams per call.
    pub fn age_reports(&mut self, totals: &mut [u32], stale_us: u64, visits: usize, now_us: u64) {
        let keys: Vec<Upstream> = self
            .rows
            .keys()
            .cycle()
            .skip(self.age_cursor)
            .take(visits.min(self.rows.len()))
            .collect();
        self.age_cursor = (self.age_cursor + keys.len()) % self.rows.len().max(1);
        for upstream in keys {
            let row = &mut self.rows[upstream];
            if now_us.saturating_sub(row.reported_us) < stale_us {
                continue;
            }
            row.reported_us = now_us;
            row.others_unattributed = row.others_unattributed.saturating_sub(1);
            let busiest = (0..row.others.len()).max_by_key(|&class| row.others[class]);
            if let Some(class) = busiest.filter(|&class| row.others[class] > 0) {
                row.others[class] -= 1;
                if let Some(total) = totals.get_mut(class) {
                    *total = total.saturating_sub(1);
                }
            }
            self.reindex(upstream);
        }
    }

    /// Resets the load of other entries at an upstream and subtracts it from the totals by kind.
    pub fn clear_others(&mut self, upstream: Upstream, totals: &mut [u32]) {
        let Some(row) = self.rows.get_mut(upstream) else {
            return;
        };
        subtract_others(&mut row.others, totals);
        row.others_unattributed = 0;
        self.reindex(upstream);
    }

    /// Distributes the headroom over the upstreams that accept work, in the order of their hashed names, so that
    /// all entries arrive at the same distribution.
    fn assign_headroom(&mut self) {
        let accepting = self.rows.iter().filter(|(_, row)| row.accepts());
        let mut ranked: Vec<(u64, Upstream)> =
            accepting.map(|(key, row)| (row.rank, key)).collect();
        ranked.sort_unstable();
        self.slots = ranked.iter().map(|&(_, key)| u32::from(self.rows[key].slots)).sum();
        let evacuated = self.rows.values().filter(|row| row.evacuated && row.state == State::Open);
        self.evacuated_slots = evacuated.map(|row| u32::from(row.slots)).sum();
        let headroom_slots = (self.slots * HEADROOM_SLOTS).div_ceil(HEADROOM_BASIS_SLOTS) as usize;
        for (position, &(_, upstream)) in ranked.iter().enumerate() {
            let headroom = u8::from(position < headroom_slots && self.rows[upstream].slots > 1);
            if self.rows[upstream].headroom != headroom {
                self.rows[upstream].headroom = headroom;
                self.reindex(upstream);
            }
        }
    }

    /// Removes an upstream from the index of free slots.
    fn unlink(&mut self, upstream: Upstream) -> Option<()> {
        let row = self.rows.get(upstream)?;
        let (group, level, position) = (usize::from(row.group), row.level, row.position);
        self.free -= u32::from(level);
        if let Some(moved) = self.groups[group].remove(level, position) {
            self.rows[moved].position = position;
        }
        Some(())
    }

    /// Moves an upstream to the index position that matches its current state.
    fn reindex(&mut self, upstream: Upstream) {
        let row = &self.rows[upstream];
        let (level, group) = (row.free(), row.group_index());
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

/// Subtracts the counts from the totals and resets them.
fn subtract_others(others: &mut [u8], totals: &mut [u32]) {
    for (total, count) in totals.iter_mut().zip(others.iter_mut()) {
        *total = total.saturating_sub(u32::from(*count));
        *count = 0;
    }
}
