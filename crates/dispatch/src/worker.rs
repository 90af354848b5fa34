//! Decision logic of a sidecar: starts, stops and supervises the runs on its upstream VM.
//!
//! Only the sidecar calls its upstream, so its account of the capacity in use is exact: a run uses
//! its cores and memory from the moment its start is sent until the upstream lists its end or the
//! start can no longer be carried out. Runs continue only while their entry renews its lease with
//! the sidecar, and the upstream ends all runs if the sidecar stops renewing its own lease.

pub mod action;
pub mod clock;
mod entry;
mod evacuation;
mod lease;
mod order;
mod poll;
pub mod run;
mod unanswered;

use std::{collections::BTreeMap, sync::Arc};

use slotmap::SlotMap;

pub use action::{Effect, Grant, Order, Reason, Reply};
pub use entry::Entry;
pub use poll::Listing;
pub use run::{End, Outcome, Progress, Start};

use self::{
    clock::Clock,
    entry::Peer,
    run::{Run, State},
};

/// Lease of an entry, in microseconds: its runs are stopped when this time has passed since the
/// issue of the newest grant that the entry has returned. Four grant intervals, so that three lost
/// grants in a row do no harm.
pub const ENTRY_LEASE_US: u64 = 400_000;
/// Lease that the sidecar holds at its upstream, in microseconds. The sum of this lease,
/// `ENTRY_LEASE_US`, the drift of a clock that is 2% slow and the time to stop a run stays below
/// the 1.3 s after which a caller resubmits a job.
pub const UPSTREAM_LEASE_US: u64 = 700_000;
/// Longest lease that an upstream grants, in microseconds, as specified by the platform. An upstream
/// that restarted counts a deadline on the clock of its earlier incarnation as one far ahead, and
/// grants this instead.
pub const MAX_UPSTREAM_LEASE_US: u64 = 1_000_000;
/// Largest rate by which an upstream's clock may run slow, in thousandths, as specified by the
/// platform.
pub const SLOW_CLOCK_PERMILLE: u64 = 20;
/// Time within which an upstream ends a run after a stop order, in microseconds.
pub const STOP_US: u64 = 50_000;
/// Longest time between two grants to an entry, in microseconds.
pub const GRANT_INTERVAL_US: u64 = 100_000;
/// Time between two grants to an entry at which jobs wait for capacity, in microseconds. It is
/// multiplied by the number of such entries, so that the rate of these messages does not grow with
/// that number.
pub const LOAD_INTERVAL_US: u64 = 2_500;
/// Lower bound of that time, in microseconds.
pub const MIN_LOAD_INTERVAL_US: u64 = 10_000;
/// Time after which a stop is sent again if its run is still listed, in microseconds.
const STOP_RETRY_US: u64 = 60_000;
/// Time after which the first order for a start counts as unanswered, in microseconds. An upstream
/// answers a caller on its own VM in about a millisecond, and a start can be repeated without harm.
/// Each retry doubles the timeout.
const ORDER_TIMEOUT_US: u64 = 20_000;
/// Longest timeout of an order, in microseconds.
const MAX_ORDER_TIMEOUT_US: u64 = 160_000;
/// Number of start orders that are sent for one run before it is stopped or refused.
const MAX_START_TRIES: u32 = 8;
/// Time after which an unanswered order can no longer be carried out, in microseconds. The platform
/// carries out some orders seconds after they were sent.
const MAX_ORDER_DELAY_US: u64 = 15_000_000;
/// Number of consecutive unanswered polls at which the upstream gets no new work: about 0.2 s.
const MISSED_POLL_LIMIT: u32 = 5;
/// Time that the upstream may hold a poll while runs are active, in milliseconds. It bounds the
/// delay with which the sidecar learns of an end when the answer that listed it was lost.
const POLL_WAIT_MS: u32 = 50;
/// Time that the upstream may hold a poll while nothing runs, in milliseconds. Well below the
/// lease at the upstream, which the next poll renews.
const IDLE_POLL_WAIT_MS: u32 = 200;
/// Shortest time between two polls of an upstream that does not answer, in microseconds.
const POLL_RETRY_US: u64 = 50_000;

/// Largest step of the sequence number between two reports of one incarnation that is taken for
/// genuine: more than a day of reports, one a second.
const MAX_SEQUENCE_JUMP: u64 = 100_000;
/// Largest fencing token: 2 to the power of 53, up to which JSON numbers are exact everywhere.
const MAX_FENCE: u64 = 1 << 53;
/// Time by which the clock in a report may be ahead of the estimate of that clock, in milliseconds.
/// The estimate lags by the age of the last answer, a few seconds at most.
const MAX_CLOCK_LEAD_MS: u64 = 60_000;

/// Description that an upstream VM reports of itself.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Profile {
    /// Incarnation of the upstream: grows with each restart, which loses all earlier runs.
    pub incarnation: u64,
    /// Name of the upstream.
    pub name: Arc<str>,
    /// Service whose tasks the upstream runs.
    pub service: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Labels of the upstream, which tasks may require.
    pub labels: Vec<Arc<str>>,
    /// Total cores, in thousandths.
    pub cores: u32,
    /// Total memory, in megabytes.
    pub memory_mb: u32,
    /// Whether the upstream accepts work; false once it drains.
    pub ready: bool,
}

/// What the sidecar knows about the runs on its upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// It is not known what runs until the next poll is answered.
    Unknown,
    /// The upstream lists runs that this sidecar did not start, and they are being stopped.
    Clearing,
    /// This sidecar started every run that the upstream lists.
    Known,
}

/// Supervises the runs of one upstream VM.
#[derive(Debug)]
pub struct Supervisor {
    profile: Option<Profile>,
    /// Sequence number of the last report.
    sequence: u64,
    /// Incarnation of the upstream.
    incarnation: u64,
    /// Time at which the incarnation became known.
    incarnation_known_us: u64,
    phase: Phase,
    clock: Clock,
    /// Whether the upstream may have restarted since its last answer.
    in_doubt: bool,
    /// Fencing token for the next order; 0 until the upstream's clock is known.
    fence: u64,
    /// Last step by which the fencing token was raised; 0 once the token is accepted.
    fence_step: u64,
    /// Highest number of an end that the upstream has listed.
    last_end: u64,
    poll_pending: bool,
    /// Time that the upstream may hold the last poll, in milliseconds.
    poll_wait_ms: u32,
    /// Whether the last poll renewed the lease at the upstream.
    poll_renews: bool,
    poll_number: u64,
    poll_due_us: u64,
    poll_sent_us: u64,
    missed_polls: u32,
    /// Time by which the upstream has ended all runs unless the sidecar renews its lease.
    lease_end_us: u64,
    /// Latest deadline sent to this incarnation, in milliseconds on its clock.
    deadline_ms: u64,
    /// Whether the lease could not be renewed at the last event and was about to expire.
    lease_expiring: bool,
    runs: SlotMap<run::Key, Run>,
    /// Runs that the upstream lists but this sidecar did not start, by task and attempt, and the
    /// time at which a stop was last sent for each.
    unknown_runs: BTreeMap<(Arc<str>, u32), u64>,
    /// Ended runs with a start order that was never answered.
    unanswered_starts: Vec<unanswered::Start>,
    entries: SlotMap<Entry, Peer>,
    /// Whether starts were accepted according to the last profile sent to entries.
    announced_accepting: bool,
    stopping: bool,
    /// Whether the availability zone of this sidecar is evacuated.
    evacuated: bool,
    effects: Vec<Effect>,
}

impl Default for Supervisor {
    fn default() -> Self {
        Self::open()
    }
}

impl Supervisor {
    /// Returns a supervisor that knows nothing of its upstream yet.
    pub fn open() -> Self {
        Self {
            profile: None,
            sequence: 0,
            incarnation: 0,
            incarnation_known_us: 0,
            phase: Phase::Unknown,
            clock: Clock::default(),
            in_doubt: false,
            fence: 0,
            fence_step: 0,
            last_end: 0,
            poll_pending: false,
            poll_wait_ms: 0,
            poll_renews: false,
            poll_number: 0,
            poll_due_us: 0,
            poll_sent_us: 0,
            missed_polls: 0,
            lease_end_us: 0,
            deadline_ms: 0,
            lease_expiring: false,
            runs: SlotMap::with_key(),
            unknown_runs: BTreeMap::new(),
            unanswered_starts: Vec::new(),
            entries: SlotMap::with_key(),
            announced_accepting: false,
            stopping: false,
            evacuated: false,
            effects: Vec::new(),
        }
    }

    /// Applies a report of the upstream about itself. `sequence` grows within one incarnation.
    /// Returns false if the report was ignored: because it is no newer than one applied before, or
    /// because its numbers cannot be those of the upstream, so that later reports would be ignored.
    pub fn report(&mut self, profile: Profile, sequence: u64, clock_ms: u64, now_us: u64) -> bool {
        if profile.incarnation < self.incarnation {
            return false;
        }
        if profile.incarnation > self.incarnation {
            self.upstream_restarted(profile.incarnation, now_us);
        } else if self.is_implausible(sequence, clock_ms, now_us)
            || self.profile.is_some() && sequence <= self.sequence
        {
            return false;
        }
        self.sequence = sequence;
        self.clock.record(clock_ms, now_us);
        let changed = self.profile.as_ref() != Some(&profile);
        self.profile = Some(profile);
        if changed {
            self.announced_accepting = !self.is_accepting();
            self.effects.push(Effect::Profile);
        }
        self.update(now_us);
        true
    }

    /// Returns whether a report of the current incarnation has a clock or sequence number far ahead
    /// of what is known of the upstream.
    fn is_implausible(&self, sequence: u64, clock_ms: u64, now_us: u64) -> bool {
        let is_ahead = |estimate_ms| clock_ms > estimate_ms + MAX_CLOCK_LEAD_MS;
        let is_known = self.profile.is_some();
        is_known && sequence > self.sequence + MAX_SEQUENCE_JUMP
            || self.clock.at_ms(now_us).is_some_and(is_ahead)
    }

    /// Handles the upstream's notice that it is shutting down: it gets no new work.
    pub fn upstream_leaving(&mut self, name: &str, now_us: u64) {
        if let Some(profile) = self.profile.as_mut().filter(|profile| *profile.name == *name) {
            profile.ready = false;
        }
        self.update(now_us);
    }

    /// Stops accepting starts, for good, because the sidecar is shutting down.
    pub fn stop_accepting(&mut self, now_us: u64) {
        self.stopping = true;
        self.update(now_us);
    }

    /// Returns whether starts are accepted.
    pub fn is_accepting(&self) -> bool {
        let ready = self.profile.as_ref().is_some_and(|profile| profile.ready);
        ready
            && !self.stopping
            && !self.evacuated
            && self.phase == Phase::Known
            && self.missed_polls < MISSED_POLL_LIMIT
            && !self.lease_expiring
    }

    /// Returns the upstream's last report, with `ready` set to whether starts are accepted.
    pub fn profile(&self) -> Option<Profile> {
        let profile = self.profile.clone()?;
        Some(Profile { ready: self.is_accepting(), ..profile })
    }

    /// Returns the cores that runs use, in thousandths.
    pub fn used_cores(&self) -> u64 {
        self.runs.values().filter(|run| run.uses_capacity()).map(|run| u64::from(run.cores)).sum()
    }

    /// Returns the number of runs that use capacity.
    pub fn running(&self) -> usize {
        self.runs.values().filter(|run| run.uses_capacity()).count()
    }

    /// Returns the number of starts that wait for capacity.
    pub fn waiting(&self) -> usize {
        self.runs.values().filter(|run| !run.uses_capacity()).count()
    }

    /// Applies all timeouts that have passed and sends what is due.
    pub fn tick(&mut self, now_us: u64) {
        self.expire(now_us);
        self.update(now_us);
    }

    /// Returns the time at which `tick` is to be called next.
    pub fn next_tick(&self, now_us: u64) -> u64 {
        let mut next = now_us + GRANT_INTERVAL_US;
        if !self.poll_pending {
            next = next.min(self.poll_due_us);
        }
        for run in self.runs.values() {
            next = next.min(run.due_us());
        }
        next = next.min(self.unanswered_due_us());
        for peer in self.entries.values() {
            next = next.min(self.grant_due_us(peer));
        }
        next.max(now_us + 1)
    }

    /// Removes and returns the effects that have been queued since the last call.
    pub fn drain(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Queues an effect again that was drained but not carried out.
    pub fn put_back(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    /// Discards what an earlier incarnation of the upstream reported, but not the fencing token: the
    /// new incarnation may have received it with a late call.
    ///
    /// Runs are not ended here, because a start may have reached the new incarnation before its
    /// first report; its first listing shows which runs were lost. Runs with a start order that has
    /// not been answered are stopped, since the new incarnation may carry it out late, and may have
    /// less capacity.
    fn upstream_restarted(&mut self, incarnation: u64, now_us: u64) {
        self.incarnation = incarnation;
        self.incarnation_known_us = now_us;
        self.profile = None;
        self.clock = Clock::default();
        self.last_end = 0;
        self.deadline_ms = 0;
        self.unknown_runs.clear();
        for key in self.runs.keys().collect::<Vec<_>>() {
            let run = &self.runs[key];
            if run.may_start_late() {
                self.send_stop(key, None, now_us);
            } else if matches!(run.state, State::Retrying { .. }) {
                self.refuse(key, Reason::Rejected);
            }
        }
        self.stop_unanswered_starts(now_us);
        self.effects.push(Effect::Restarted { incarnation });
        self.phase = Phase::Unknown;
        self.poll_due_us = now_us;
    }

    /// Records the clock of an answer, which tells whether it is that of the known incarnation: the
    /// clock of a later one started later and is behind.
    fn record_clock(&mut self, clock_ms: u64, now_us: u64) {
        let is_behind = self.clock.is_behind(clock_ms, now_us);
        self.clock.record(clock_ms, now_us);
        if is_behind {
            self.doubt_incarnation(now_us);
            self.poll_now(now_us);
        } else {
            self.in_doubt = false;
        }
    }

    /// Handles expired leases and waits, and repeats unanswered stops.
    fn expire(&mut self, now_us: u64) {
        self.expire_lease(now_us);
        let stale: Vec<run::Key> = self
            .runs
            .iter()
            .filter(|(_, run)| {
                self.entries.get(run.entry).is_none_or(|peer| !peer.has_lease(now_us))
            })
            .map(|(key, _)| key)
            .collect();
        for key in stale {
            self.stop_run(key, Reason::EntryLease, now_us);
        }
        self.entries.retain(|_, peer| peer.prune(now_us));
        let due: Vec<run::Key> = self
            .runs
            .iter()
            .filter(|(_, run)| run.due_us() <= now_us)
            .map(|(key, _)| key)
            .collect();
        for key in due {
            self.handle_due_run(key, now_us);
        }
    }

    /// Queues what follows from a change of state: refusals, starts, a poll, grants and a notice
    /// that the profile changed.
    fn update(&mut self, now_us: u64) {
        self.lease_expiring = self.is_lease_expiring(now_us);
        if !self.is_accepting() {
            self.refuse_waiting();
        }
        if self.announced_accepting != self.is_accepting() {
            self.announced_accepting = self.is_accepting();
            self.effects.push(Effect::Profile);
        }
        self.send_due_stops(now_us);
        self.retry_starts(now_us);
        self.start_waiting(now_us);
        self.poll(now_us);
        self.send_grants(now_us);
    }
}
