//! An entry's view of workers, which it shares with other entries and knows from delayed reports.

use std::sync::Arc;

use slotmap::new_key_type;

use super::{speed::Speed, Effect, Job, Planner, RUN_EXPIRY_US, SETTLE_US};
use crate::worker::Profile;

/// Slowness, as a multiple of the usual one, from which a worker gets only tasks that it can end in
/// time, and its runs may be moved. Errors of measurement stay below it.
const SLOW_RATIO: f64 = 1.3;
/// Weight of one ended run in a worker's share of failures.
const FAILURE_WEIGHT: f64 = 0.3;
/// Share of failures from which a worker gets only one task per `PROBE_INTERVAL_US`.
const FAILING_SHARE: f64 = 0.5;
/// Least time between two starts at a failing worker, in microseconds.
const PROBE_INTERVAL_US: u64 = 500_000;
/// Time for which a worker gets no new work after it has refused a start, in microseconds.
const REFUSAL_PAUSE_US: u64 = 5_000;

new_key_type! {
    /// Identifies a worker at one entry, from the connection to its sidecar until its runs have
    /// expired.
    pub struct Worker;
}

/// Load of a worker as reported by its sidecar.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Highest run number of this entry for which the load accounts.
    pub last_run: u64,
    /// Free cores, in thousandths; negative if more work waits than fits.
    pub free_cores: i32,
    /// Free memory, in megabytes.
    pub free_memory_mb: i32,
    /// Time until capacity for one more start is expected, in microseconds.
    pub available_in_us: Option<u32>,
    /// Number of entries that share the worker; 0 if unknown.
    pub entries: u16,
}

/// Capacity of the workers that an entry is connected to.
#[derive(Debug, Clone, Copy)]
pub(super) struct Capacity {
    /// Cores, in thousandths.
    pub cores: u64,
    /// Mean number of entries that share a core, including this one.
    pub sharers: f64,
}

/// State of one worker.
#[derive(Debug)]
pub(super) struct Member {
    pub name: Arc<str>,
    pub incarnation: u64,
    /// Number of the newest connection.
    pub connection: u64,
    pub profile: Profile,
    /// Number of its place.
    pub place: Option<usize>,
    pub load: Load,
    load_received_us: u64,
    /// Number, cores and memory of each run that was sent and is not included in the load yet.
    pub unreported: Vec<(u64, u32, u32)>,
    pub connected: bool,
    /// Whether the worker's availability zone is evacuated.
    pub evacuated: bool,
    /// Time at which the runs of an unreachable or replaced worker have certainly ended.
    pub expires_us: Option<u64>,
    speed: Speed,
    /// Share of recent runs that failed.
    failures: f64,
    /// Job that failed here last. Its further failures are not counted, as they may be its own
    /// fault.
    last_failed_job: Option<Job>,
    /// Time until which the worker gets no new work.
    pub avoid_until_us: u64,
    /// Number of runs that were sent here and have neither ended nor been refused.
    pub runs: usize,
}

impl Member {
    /// Returns the free cores by the last report and the later starts, in thousandths.
    pub fn free_cores(&self) -> i64 {
        let unreported: i64 = self.unreported.iter().map(|(_, cores, _)| i64::from(*cores)).sum();
        i64::from(self.load.free_cores) - unreported
    }

    /// Returns the free memory by the last report and the later starts, in megabytes.
    fn free_memory_mb(&self) -> i64 {
        let unreported: i64 = self.unreported.iter().map(|(_, _, memory)| i64::from(*memory)).sum();
        i64::from(self.load.free_memory_mb) - unreported
    }

    /// Returns true if the worker is connected and accepts work, and its zone is not evacuated.
    pub fn is_accepting(&self) -> bool {
        self.connected && self.profile.ready && !self.evacuated
    }

    /// Returns true if the worker accepts work and has capacity for a task now.
    pub fn fits(&self, cores: u32, memory_mb: u32, now_us: u64) -> bool {
        self.is_accepting() && now_us >= self.avoid_until_us && self.has_capacity(cores, memory_mb)
    }

    /// Returns true if the worker has capacity for a task now, whether or not it accepts work.
    pub fn has_capacity(&self, cores: u32, memory_mb: u32) -> bool {
        self.free_cores() >= i64::from(cores) && self.free_memory_mb() >= i64::from(memory_mb)
    }

    /// Returns true if no start is known to wait for capacity there, and capacity is expected
    /// within this time.
    pub fn accepts_waiting_start(&self, wait_us: u64, now_us: u64) -> bool {
        let is_open = self.is_accepting() && now_us >= self.avoid_until_us;
        let is_soon = self.available_in_us(now_us) <= wait_us;
        is_open && !self.is_failing() && self.free_cores() >= 0 && is_soon
    }

    /// Returns the time until capacity for one more task is expected, or a very long time if this
    /// is unknown.
    pub fn available_in_us(&self, now_us: u64) -> u64 {
        let expected_us = self.load.available_in_us.map_or(u64::MAX, u64::from);
        expected_us.saturating_sub(now_us.saturating_sub(self.load_received_us))
    }

    /// Returns the time until capacity for one more task is expected, if it is known. The age of a
    /// report that is older than `stale_us` is added, as the wait is then less certain.
    pub fn expected_wait_us(&self, stale_us: u64, now_us: u64) -> Option<u64> {
        self.load.available_in_us?;
        let age_us = now_us.saturating_sub(self.load_received_us);
        let doubt_us = if age_us > stale_us { age_us } else { 0 };
        Some(self.available_in_us(now_us) + doubt_us)
    }

    /// Returns true if its share of failures is at least `FAILING_SHARE`.
    pub fn is_failing(&self) -> bool {
        self.failures >= FAILING_SHARE
    }

    /// Records a start that was sent.
    pub fn record_start(&mut self, run: u64, cores: u32, memory_mb: u32, now_us: u64) {
        self.unreported.push((run, cores, memory_mb));
        self.runs += 1;
        if self.is_failing() {
            self.avoid_until_us = now_us + PROBE_INTERVAL_US;
        }
    }

    /// Records that a start was refused.
    pub fn record_refusal(&mut self, run: u64, now_us: u64) {
        self.unreported.retain(|(unreported, _, _)| *unreported != run);
        self.avoid_until_us = self.avoid_until_us.max(now_us + REFUSAL_PAUSE_US);
    }

    /// Records a completed run.
    pub fn record_success(&mut self) {
        self.failures *= 1.0 - FAILURE_WEIGHT;
    }

    /// Records a run time of a kind of work as a multiple of a reference run time.
    pub fn record_ratio(&mut self, kind: usize, ratio: f64, weight: f64, now_us: u64) {
        self.speed.record(kind, ratio, weight, now_us);
    }

    /// Returns the age of the load report, in microseconds.
    pub fn load_age_us(&self, now_us: u64) -> u64 {
        now_us.saturating_sub(self.load_received_us)
    }

    /// Returns the age of the last measurement of the speed, in microseconds, if there is one.
    pub fn speed_age_us(&self, kind: usize, now_us: u64) -> Option<u64> {
        self.speed.measured_us(kind).map(|measured_us| now_us.saturating_sub(measured_us))
    }

    /// Returns the run time of a kind of work as a multiple of the expected one.
    pub fn slowness(&self, kind: usize, now_us: u64) -> f64 {
        self.speed.of_kind(kind, now_us)
    }

    /// Returns true if the worker is slower for a kind of work than a worker of this slowness by more
    /// than the errors of measurement explain.
    pub fn is_slow(&self, kind: usize, usual: f64, now_us: u64) -> bool {
        self.slowness(kind, now_us) >= SLOW_RATIO * usual
    }

    /// Records a failed run of a job.
    pub fn record_failure(&mut self, job: Job) {
        if self.last_failed_job.replace(job) != Some(job) {
            self.failures += (1.0 - self.failures) * FAILURE_WEIGHT;
        }
    }
}

impl Planner {
    /// Handles a new connection to a sidecar. `held` lists the runs of this entry that the sidecar
    /// has; all other runs that were sent there are lost. `connection` grows with each connection
    /// that this entry accepts. Returns `None` and changes nothing if a newer connection is known, as
    /// a list that was delayed on an older one lacks runs that were sent later.
    ///
    /// A sidecar sends its list after it has heard from this entry on the same connection. So an
    /// incarnation that had ended before a newer connection was accepted has sent its list on an
    /// older one. The order in which lists arrive and the order of the incarnations, which follow the
    /// time of day, do not tell which incarnation is the newer one.
    pub fn connected(
        &mut self,
        name: &str,
        incarnation: u64,
        connection: u64,
        held: &[u64],
        now_us: u64,
    ) -> Option<Worker> {
        let same_name: Vec<Worker> = self
            .workers
            .iter()
            .filter(|(_, member)| *member.name == *name)
            .map(|(key, _)| key)
            .collect();
        if same_name.iter().any(|key| self.workers[*key].connection > connection) {
            return None;
        }
        let (known, old): (Vec<Worker>, Vec<Worker>) =
            same_name.into_iter().partition(|key| self.workers[*key].incarnation == incarnation);
        let known = known.first().copied();
        if known.is_none() {
            self.extend_settling(now_us);
        }
        let key = known.unwrap_or_else(|| {
            self.workers.insert(Member {
                name: name.into(),
                incarnation,
                connection,
                profile: Profile::default(),
                place: None,
                load: Load::default(),
                load_received_us: now_us,
                unreported: Vec::new(),
                connected: true,
                evacuated: false,
                expires_us: None,
                speed: Speed::usual(now_us),
                failures: 0.0,
                last_failed_job: None,
                avoid_until_us: 0,
                runs: 0,
            })
        });
        // A new incarnation accepts work only once it has ended the runs of the old one.
        for worker in old {
            if let Some(member) = self.workers.get_mut(worker) {
                member.connected = false;
                member.expires_us.get_or_insert(now_us + RUN_EXPIRY_US);
            }
        }
        let member = &mut self.workers[key];
        member.connected = true;
        member.connection = connection;
        member.expires_us = None;
        member.unreported.clear();
        // Starts that were decided for the previous connection but not sent yet are discarded.
        // Their runs are handled as lost with the others, and new starts are decided.
        self.effects
            .retain(|effect| !matches!(effect, Effect::Start { worker, .. } if *worker == key));
        self.lose_runs(key, |run| !held.contains(&run), now_us);
        // Stops that were sent while the sidecar was unreachable are lost and must be sent again.
        let unwanted = held.iter().copied().filter(|run| !self.is_wanted(*run));
        let stops: Vec<Effect> = unwanted.map(|run| Effect::Stop { worker: key, run }).collect();
        self.effects.extend(stops);
        Some(key)
    }

    /// Returns true if a run belongs to a job that still needs it.
    fn is_wanted(&self, run: u64) -> bool {
        let start = self.runs.get(&run).filter(|start| !start.moving);
        let job = start.and_then(|start| self.jobs.get(start.item.job));
        job.is_some_and(|job| job.stop_deadline_us.is_none())
    }

    /// Handles the loss of the connection to a sidecar, to which the last renewal was sent at
    /// `renewed_us`. Its runs may continue until the leases expire.
    pub fn disconnected(&mut self, worker: Worker, renewed_us: u64) {
        if let Some(member) = self.workers.get_mut(worker) {
            member.connected = false;
            member.expires_us = Some(renewed_us + RUN_EXPIRY_US);
            let service = member.profile.service.clone();
            self.extend_settling(renewed_us);
            // The renewal may be a second old if the sidecar fell silent.
            self.note_absence(&service, renewed_us.max(self.last_event_us));
        }
    }

    /// Extends the time in which admission accepts all jobs after a change of the workers. If fewer
    /// than half of the workers are known, others are expected to follow, and admission waits for
    /// them. A single worker that leaves or returns changes the capacity too little for that.
    fn extend_settling(&mut self, changed_us: u64) {
        self.workers_changed_us = self.workers_changed_us.max(changed_us);
        let few_known = self.accepting() * 2 < self.max_accepting;
        if few_known || changed_us < self.settled_us {
            self.settled_us = self.settled_us.max(changed_us + SETTLE_US);
        }
    }

    /// Handles a sidecar's report on its upstream.
    pub fn profile(&mut self, worker: Worker, profile: Profile, now_us: u64) {
        let Some(member) = self.workers.get_mut(worker) else { return };
        let name = member.name.clone();
        let connection = member.connection;
        let accepting = profile.ready;
        member.evacuated = self.evacuations.contains(&profile.zone);
        let service = profile.service.clone();
        member.profile = profile;
        self.update_place(worker);
        self.max_accepting = self.max_accepting.max(self.accepting());
        self.note_absence(&service, now_us);
        // A sidecar that accepts work has ended all runs of its earlier incarnations.
        if accepting {
            let old: Vec<Worker> = self
                .workers
                .iter()
                .filter(|(key, member)| *key != worker && member.name == name)
                .filter(|(_, member)| member.connection < connection)
                .map(|(key, _)| key)
                .collect();
            for key in old {
                self.lose_runs(key, |_| true, now_us);
                self.workers.remove(key);
            }
        }
        self.dispatch(now_us);
    }

    /// Updates the place of a worker from its profile.
    fn update_place(&mut self, worker: Worker) {
        let Some(places) = self.places else { return };
        let name = (places.place)(&self.workers[worker].profile);
        let place = name.and_then(|name| self.add_place(&name));
        self.workers[worker].place = place;
        self.count_places();
    }

    /// Handles a sidecar's report on its load.
    pub fn load(&mut self, worker: Worker, load: Load, now_us: u64) {
        let Some(member) = self.workers.get_mut(worker) else { return };
        let has_more_cores = load.free_cores > member.load.free_cores;
        member.load = load;
        member.load_received_us = now_us;
        member.unreported.retain(|(run, _, _)| *run > load.last_run);
        if has_more_cores {
            self.dispatch(now_us);
        }
    }

    /// Returns the capacity of all connected workers of a service that accept work.
    pub(super) fn capacity(&self, service: &str) -> Capacity {
        let accepting = self
            .workers
            .values()
            .filter(|member| member.is_accepting())
            .filter(|member| *member.profile.service == *service);
        let mut cores = 0;
        let mut shares = 0;
        for member in accepting {
            let member_cores = u64::from(member.profile.cores);
            cores += member_cores;
            shares += member_cores * u64::from(member.load.entries);
        }
        Capacity { cores, sharers: shares as f64 / cores.max(1) as f64 }
    }

    /// Returns the mean slowness of the connected workers that accept work, or 1 without any.
    pub(super) fn mean_slowness(&self, now_us: u64) -> f64 {
        let accepting = self.workers.values().filter(|member| member.is_accepting());
        let slowness = accepting.map(|member| member.speed.overall(now_us));
        let (count, sum) = slowness.fold((0, 0.0), |(count, sum), one| (count + 1, sum + one));
        if count == 0 {
            1.0
        } else {
            sum / f64::from(count)
        }
    }

    /// Returns whether runs at a worker depend on the lease of this entry there.
    pub fn has_runs(&self, worker: Worker) -> bool {
        self.workers.get(worker).is_some_and(|member| member.runs > 0)
    }
}
