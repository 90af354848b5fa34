//! Decisions of a sidecar about the runs on its upstream VM.
//!
//! Only the sidecar calls its upstream, so room is exact: a run takes its cores and memory from the
//! moment its start is sent until its end is listed or it can no longer begin. Runs last only while
//! their entry renews its lease, and the upstream ends all runs if the sidecar stops renewing its
//! own.

pub mod action;
pub mod clock;
mod entry;
mod look;
mod order;
pub mod run;

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use slotmap::SlotMap;

pub use action::{Effect, Grant, Order, Reason, Reply};
pub use entry::Entry;
pub use look::Listing;
pub use run::{End, Outcome, Progress, Start};

use self::{clock::Clock, entry::Peer, run::Run};

/// Time after the issue of the newest grant that an entry has returned until its runs are stopped,
/// in microseconds. Four intervals of grants, so that three lost ones do no harm.
pub const ENTRY_LEASE_US: u64 = 400_000;
/// Lease that the sidecar takes at its upstream, in microseconds. Together with `ENTRY_LEASE_US`,
/// a clock that is 2% slow and the time of a stop it stays below the 1.3 s after which a caller
/// submits a job again.
pub const UPSTREAM_LEASE_US: u64 = 700_000;
/// Part by which an upstream's clock may be slow, in thousandths; from the platform's description.
pub const SLOW_CLOCK_PERMILLE: u64 = 20;
/// Time in which an upstream ends a run that it is told to stop, in microseconds.
pub const STOP_US: u64 = 50_000;
/// Longest time between two grants to an entry, in microseconds.
pub const GRANT_INTERVAL_US: u64 = 100_000;
/// Shortest time between two grants because of changed load, in microseconds, for each connected
/// entry: messages about load then do not grow with the number of entries.
pub const LOAD_INTERVAL_US: u64 = 2_500;
/// Time after which a stop whose run is still listed is sent again, in microseconds.
const STOP_RETRY_US: u64 = 60_000;
/// Time after which the first order for a start counts as unanswered, in microseconds. An upstream answers
/// its own VM in about a millisecond, and a start can be repeated without harm; each repetition doubles it.
const ORDER_TIMEOUT_US: u64 = 20_000;
/// Longest time for an answer to an order, in microseconds.
const MAX_ORDER_TIMEOUT_US: u64 = 160_000;
/// Starts of one run that may stay unanswered before it is stopped.
const START_TRIES: u32 = 8;
/// Time after which an unanswered order is no longer carried out, in microseconds; the platform carries
/// some out seconds later.
const LATE_ORDER_US: u64 = 15_000_000;
/// Looks in a row that may stay unanswered before the upstream is given no new work: about 0.2 s.
const SILENT_LOOKS: u32 = 5;
/// Wait of a look while runs are active, in milliseconds: bounds the delay of an end whose answer
/// was lost.
const LOOK_WAIT_MS: u32 = 25;
/// Wait of a look while nothing runs, in milliseconds. Well below the upstream's lease, which the
/// next look renews.
const IDLE_WAIT_MS: u32 = 200;
/// Least time from one look to the next at an upstream that does not answer, in microseconds.
const LOOK_RETRY_US: u64 = 50_000;

/// What an upstream VM reported about itself.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Profile {
    /// Changes when the upstream starts again; what ran before is gone.
    pub incarnation: u64,
    /// Name of the upstream.
    pub name: Arc<str>,
    /// Service whose tasks it runs.
    pub service: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Labels that a task may require.
    pub labels: Vec<Arc<str>>,
    /// Cores, in thousandths.
    pub cores: u32,
    /// Memory, in megabytes.
    pub memory_mb: u32,
    /// False once it drains.
    pub ready: bool,
}

/// What the sidecar knows about the runs on its upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// No look has been answered in this life of the upstream.
    Unknown,
    /// Runs are listed that this sidecar did not start.
    Clearing,
    /// All runs are known.
    Open,
}

/// Supervises the runs of one upstream VM.
#[derive(Debug)]
pub struct Supervisor {
    profile: Option<Profile>,
    sequence: u64,
    incarnation: u64,
    phase: Phase,
    clock: Clock,
    fence: u64,
    last_end: u64,
    looking: bool,
    look_number: u64,
    look_due_us: u64,
    look_sent_us: u64,
    missed_looks: u32,
    /// Time by which the upstream has ended everything unless its lease is renewed.
    lease_end_us: u64,
    runs: SlotMap<run::Key, Run>,
    /// Runs that are listed at the upstream and were not started here, and when each was last
    /// told to stop.
    strangers: BTreeMap<(Arc<str>, u32), u64>,
    /// Time of the end, task and attempt of runs with an unanswered copy of their start.
    unanswered: VecDeque<(u64, Arc<str>, u32)>,
    entries: SlotMap<Entry, Peer>,
    announced: bool,
    load_changed: bool,
    stopping: bool,
    effects: Vec<Effect>,
}

impl Default for Supervisor {
    fn default() -> Self {
        Self::open()
    }
}

impl Supervisor {
    /// Starts with no knowledge of the upstream.
    pub fn open() -> Self {
        Self {
            profile: None,
            sequence: 0,
            incarnation: 0,
            phase: Phase::Unknown,
            clock: Clock::default(),
            fence: 0,
            last_end: 0,
            looking: false,
            look_number: 0,
            look_due_us: 0,
            look_sent_us: 0,
            missed_looks: 0,
            lease_end_us: 0,
            runs: SlotMap::with_key(),
            strangers: BTreeMap::new(),
            unanswered: VecDeque::new(),
            entries: SlotMap::with_key(),
            announced: false,
            load_changed: false,
            stopping: false,
            effects: Vec::new(),
        }
    }

    /// Takes a report of the upstream about itself. `sequence` rises within one life; an older
    /// report is ignored. False if it was ignored.
    pub fn report(&mut self, profile: Profile, sequence: u64, clock_ms: u64, now_us: u64) -> bool {
        if profile.incarnation < self.incarnation {
            return false;
        }
        if profile.incarnation > self.incarnation {
            self.restarted(profile.incarnation, now_us);
        } else if self.profile.is_some() && sequence <= self.sequence {
            return false;
        }
        self.sequence = sequence;
        self.clock.read(clock_ms, now_us);
        self.fence = self.fence.max(if self.fence == 0 { clock_ms.max(1) } else { 0 });
        let changed = self.profile.as_ref() != Some(&profile);
        self.profile = Some(profile);
        if changed {
            self.announced = !self.is_accepting();
            self.effects.push(Effect::Profile);
        }
        self.settle(now_us);
        true
    }

    /// The upstream says that it ends.
    pub fn upstream_leaving(&mut self, now_us: u64) {
        if let Some(profile) = &mut self.profile {
            profile.ready = false;
        }
        self.settle(now_us);
    }

    /// Takes no new work from now on.
    pub fn stop_accepting(&mut self, now_us: u64) {
        self.stopping = true;
        self.settle(now_us);
    }

    /// True if starts are carried out.
    pub fn is_accepting(&self) -> bool {
        let ready = self.profile.as_ref().is_some_and(|profile| profile.ready);
        ready && !self.stopping && self.phase == Phase::Open && self.missed_looks < SILENT_LOOKS
    }

    /// What the upstream last reported, with its readiness as the sidecar sees it.
    pub fn profile(&self) -> Option<Profile> {
        let profile = self.profile.clone()?;
        Some(Profile { ready: self.is_accepting(), ..profile })
    }

    /// Cores that runs take, in thousandths.
    pub fn used_cores(&self) -> u64 {
        self.runs.values().filter(|run| run.takes_room()).map(|run| u64::from(run.cores)).sum()
    }

    /// Number of runs that take room.
    pub fn running(&self) -> usize {
        self.runs.values().filter(|run| run.takes_room()).count()
    }

    /// Number of starts that wait for room.
    pub fn waiting(&self) -> usize {
        self.runs.values().filter(|run| !run.takes_room()).count()
    }

    /// Does what is due at this time.
    pub fn tick(&mut self, now_us: u64) {
        self.expire(now_us);
        self.settle(now_us);
    }

    /// Time at which `tick` has something to do.
    pub fn next_tick(&self, now_us: u64) -> u64 {
        let mut next = now_us + GRANT_INTERVAL_US;
        if !self.looking {
            next = next.min(self.look_due_us);
        }
        for run in self.runs.values() {
            next = next.min(run.due_us());
        }
        for peer in self.entries.values() {
            next = next.min(self.grant_due(peer));
        }
        next.max(now_us + 1)
    }

    /// Takes what was decided since the last call.
    pub fn drain(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Returns an effect that was drained and is to be carried out later.
    pub fn put_back(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    /// Forgets what an earlier life of the upstream has told. Which runs ended with it is known from the
    /// list of the new one: a start may have reached that before its first report. Starts that an earlier
    /// life left unanswered are stopped, since the new one would carry them out.
    fn restarted(&mut self, incarnation: u64, now_us: u64) {
        self.incarnation = incarnation;
        self.profile = None;
        self.clock = Clock::default();
        self.fence = 0;
        self.last_end = 0;
        self.strangers.clear();
        let unsure = self.runs.iter().filter(|(_, run)| run.takes_room() && run.unsure);
        let unsure: Vec<run::Key> = unsure.map(|(key, _)| key).collect();
        for key in unsure {
            self.send_stop(key, None, now_us);
        }
        self.unanswered.retain(|(ended_us, _, _)| ended_us + LATE_ORDER_US > now_us);
        for (_, task, attempt) in self.unanswered.drain(..) {
            let order = Order::Stop { task, attempt, fence: self.fence };
            let (key, timeout_us) = (run::Key::default(), STOP_RETRY_US);
            self.effects.push(Effect::Order { key, order, timeout_us });
        }
        self.phase = Phase::Unknown;
        self.look_due_us = now_us;
    }

    /// Reports every run that takes room as lost. Used only when the upstream has certainly ended
    /// them.
    fn lose_all(&mut self, now_us: u64) {
        let keys: Vec<run::Key> =
            self.runs.iter().filter(|(_, run)| run.takes_room()).map(|(key, _)| key).collect();
        for key in keys {
            self.end(key, Outcome::Lost, now_us);
        }
    }

    /// Ends leases and waits that have run out, and repeats stops.
    fn expire(&mut self, now_us: u64) {
        if self.lease_end_us != 0 && now_us >= self.lease_end_us && self.missed_looks > 0 {
            self.lease_end_us = 0;
            self.lose_all(now_us);
            self.phase = Phase::Unknown;
        }
        let stale: Vec<run::Key> = self
            .runs
            .iter()
            .filter(|(_, run)| self.entries.get(run.entry).is_none_or(|peer| !peer.lives(now_us)))
            .map(|(key, _)| key)
            .collect();
        for key in stale {
            self.stop_run(key, Reason::EntryLease, now_us);
        }
        self.entries.retain(|_, peer| peer.keep(now_us));
        while self.unanswered.front().is_some_and(|(at, _, _)| at + LATE_ORDER_US < now_us) {
            self.unanswered.pop_front();
        }
        let due: Vec<run::Key> = self
            .runs
            .iter()
            .filter(|(_, run)| run.due_us() <= now_us)
            .map(|(key, _)| key)
            .collect();
        for key in due {
            self.run_due(key, now_us);
        }
    }

    /// Brings all that follows from a change up to date.
    fn settle(&mut self, now_us: u64) {
        if !self.is_accepting() {
            self.refuse_waiting();
        }
        if self.announced != self.is_accepting() {
            self.announced = self.is_accepting();
            self.effects.push(Effect::Profile);
        }
        self.fill(now_us);
        self.look(now_us);
        self.grant(now_us);
    }
}
