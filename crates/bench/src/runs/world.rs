//! Entries, sidecars and upstreams that exchange messages in virtual time.

mod event;

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap, HashSet},
    sync::Arc,
};

use fastrand::Rng;
use kingcup_dispatch::{
    plan::{self, Answer, Job, Load, Planner, Submission},
    worker::{self, run, Entry, How, Order, Profile, Reply, Start, Supervisor},
};

use self::event::{EntryNode, Event, Queued, SidecarNode, ToEntry, ToSidecar};
use super::{
    load::Arrival,
    upstream::{Name, Upstream},
};

/// One way between an entry and a sidecar, in microseconds.
const LINK_US: u64 = 1_200;
/// One way between a sidecar and its upstream, in microseconds.
const CALL_US: u64 = 300;
/// Longest sleep of a process, in microseconds.
const SLEEP_US: u64 = 100_000;
/// Shortest time between two renewals, in microseconds.
const RENEW_US: u64 = 60_000;

/// Size and service of a world.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Number of entries.
    pub entries: usize,
    /// Number of sidecars, each with one upstream.
    pub sidecars: usize,
    /// Cores of an upstream, in thousandths.
    pub cores: u32,
}

/// A process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Process {
    /// An entry.
    Entry(usize),
    /// A sidecar.
    Sidecar(usize),
}

/// Something that happens to the world.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    /// A process stands still for this time, in microseconds; what arrives meanwhile waits.
    Freeze(Process, u64),
    /// An upstream's run times are multiplied.
    Slow(usize, f64),
    /// Tasks that an upstream starts stand still, or no longer.
    Hang(usize, bool),
    /// All that an upstream starts fails, or no longer.
    Fail(usize, bool),
    /// A share of the orders to all upstreams gets no answer and is carried out seconds later.
    Delay(f64),
    /// The caller of a job leaves.
    Leave(usize),
    /// A job is submitted again at another entry.
    Resubmit(usize),
    /// Messages between an entry and a sidecar wait for this time, in microseconds, both ways.
    Cut(usize, usize, u64),
}

/// What became of the jobs.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// By arrival: time of the answer and the answer.
    pub answers: HashMap<usize, (u64, Answer)>,
    /// Starts that overlapped another run of their task.
    pub overlaps: u64,
    /// Starts that brought an upstream over its cores.
    pub overfull: u64,
    /// Tasks that were started although their job was said not to have run.
    pub untrue: u64,
    /// Core time of all runs, in thousandths of core-microseconds.
    pub busy: f64,
    /// Starts that upstreams carried out.
    pub starts: u64,
}

/// A world.
pub struct World {
    now_us: u64,
    serial: u64,
    size: Size,
    events: BinaryHeap<Reverse<Queued>>,
    entries: Vec<EntryNode>,
    sidecars: Vec<SidecarNode>,
    arrivals: Vec<Arrival>,
    by_id: HashMap<Arc<str>, usize>,
    late: f64,
    cuts: HashMap<(usize, usize), u64>,
    rng: Rng,
    started: HashSet<usize>,
    left: HashSet<usize>,
    outcome: Outcome,
}

impl World {
    /// Opens a world in which all processes are connected, with these arrivals and faults.
    pub fn open(
        size: Size,
        arrivals: Vec<Arrival>,
        faults: impl IntoIterator<Item = (u64, Fault)>,
        seed: u64,
    ) -> Self {
        let by_id =
            arrivals.iter().enumerate().map(|(at, a)| (a.submission.id.clone(), at)).collect();
        let mut world = Self {
            now_us: 0,
            serial: 0,
            size,
            events: BinaryHeap::new(),
            entries: Vec::new(),
            sidecars: Vec::new(),
            arrivals,
            by_id,
            late: 0.0,
            cuts: HashMap::new(),
            rng: Rng::with_seed(seed),
            started: HashSet::new(),
            left: HashSet::new(),
            outcome: Outcome::default(),
        };
        world.connect(seed);
        for index in 0..world.arrivals.len() {
            let at_us = world.arrivals[index].at_us;
            let entry = world.rng.usize(0..size.entries);
            world.push(at_us, Event::Arrive(entry, index, false));
        }
        for (at_us, fault) in faults {
            world.push(at_us, Event::Fault(fault));
        }
        world
    }

    fn connect(&mut self, seed: u64) {
        for entry in 0..self.size.entries {
            let mut planner = Planner::open(seed + entry as u64);
            planner.set_entries(self.size.entries);
            let workers = (0..self.size.sidecars)
                .map(|sidecar| planner.joined(&format!("sidecar-{sidecar}"), 1, 1, &[], 0))
                .map(|worker| worker.expect("the first connection is the newest"))
                .collect();
            self.entries.push(EntryNode {
                planner,
                workers,
                jobs: HashMap::new(),
                grants: vec![0; self.size.sidecars],
                renewed_us: vec![0; self.size.sidecars],
                frozen_until_us: 0,
            });
            self.push(1, Event::Tick(Process::Entry(entry)));
        }
        for sidecar in 0..self.size.sidecars {
            let mut supervisor = Supervisor::open();
            let entries = (0..self.size.entries)
                .map(|entry| supervisor.greet(&format!("entry-{entry}"), 1, 0).0)
                .collect();
            let profile = Profile {
                life: 1,
                name: format!("upstream-{sidecar}").into(),
                service: "service".into(),
                cores: self.size.cores,
                memory_mb: 65_536,
                ready: true,
                ..Profile::default()
            };
            supervisor.report(profile, 1, Upstream::clock_ms(0), 0);
            self.sidecars.push(SidecarNode {
                supervisor,
                entries,
                upstream: Upstream::open(1),
                waiting: None,
                look: 0,
                frozen_until_us: 0,
            });
            self.push(1, Event::Tick(Process::Sidecar(sidecar)));
        }
    }

    /// Runs to the end of a time, in microseconds.
    pub fn run(mut self, to_us: u64) -> (Vec<Arrival>, Outcome) {
        while let Some(Reverse(next)) = self.events.pop() {
            if next.at_us > to_us {
                break;
            }
            self.now_us = next.at_us;
            if let Some(until_us) = self.frozen_until(&next.event) {
                self.push(until_us, next.event);
                continue;
            }
            self.handle(next.event);
        }
        (self.arrivals, self.outcome)
    }

    fn push(&mut self, at_us: u64, event: Event) {
        self.serial += 1;
        self.events.push(Reverse(Queued { at_us, serial: self.serial, event }));
    }

    fn frozen_until(&self, event: &Event) -> Option<u64> {
        let until_us = match event {
            Event::Arrive(entry, ..)
            | Event::Entry(_, entry, _)
            | Event::Tick(Process::Entry(entry)) => self.entries[*entry].frozen_until_us,
            Event::Sidecar(_, sidecar, _)
            | Event::Reply(sidecar, ..)
            | Event::LookReply(sidecar, ..)
            | Event::Tick(Process::Sidecar(sidecar)) => self.sidecars[*sidecar].frozen_until_us,
            _ => 0,
        };
        (until_us > self.now_us).then_some(until_us)
    }

    fn handle(&mut self, event: Event) {
        let now_us = self.now_us;
        if let Event::Arrive(entry, ..)
        | Event::Entry(_, entry, _)
        | Event::Tick(Process::Entry(entry)) = event
        {
            if self.entries[entry].planner.wake(now_us) {
                self.settle_entry(entry);
            }
        }
        match event {
            // The entry sees that the caller has left when it reads the request.
            Event::Arrive(_, index, false) if self.left.contains(&index) => {}
            Event::Arrive(entry, index, _) => {
                let submission =
                    Submission { token: index as u64, ..self.arrivals[index].submission.clone() };
                let node = &mut self.entries[entry];
                let job = node.planner.submit(submission, now_us);
                node.jobs.insert(job, index);
                self.settle_entry(entry);
            }
            Event::Sidecar(entry, sidecar, message) => self.sidecar_hears(entry, sidecar, message),
            Event::Entry(sidecar, entry, message) => self.entry_hears(sidecar, entry, message),
            Event::Order(sidecar, key, order, answered) => {
                self.order(sidecar, key, order, answered);
            }
            Event::Reply(sidecar, key, order, reply, clock_ms) => {
                let supervisor = &mut self.sidecars[sidecar].supervisor;
                let clock_ms = (reply != Reply::Unanswered).then_some(clock_ms);
                supervisor.replied(key, &order, reply, clock_ms, now_us);
                self.settle_sidecar(sidecar);
            }
            Event::Look(sidecar, number, deadline_ms, fence, last_end, wait_us) => {
                self.look(sidecar, number, deadline_ms, fence, last_end, wait_us);
            }
            Event::LookEnd(sidecar, number) => {
                if self.sidecars[sidecar].waiting.is_some_and(|(waiting, _)| waiting == number) {
                    self.answer_look(sidecar);
                }
            }
            Event::LookReply(sidecar, number, look) => {
                let supervisor = &mut self.sidecars[sidecar].supervisor;
                match look {
                    Some(look) => supervisor.looked(number, look, now_us),
                    None => supervisor.look_failed(number, Reply::Unanswered, None, now_us),
                }
                self.settle_sidecar(sidecar);
            }
            Event::TaskEnd(sidecar, name) => {
                let upstream = &mut self.sidecars[sidecar].upstream;
                let how = if upstream.failing { How::Failed } else { How::Done };
                upstream.finish(&name, how);
                self.wake_look(sidecar);
            }
            Event::Lease(sidecar) => {
                self.sidecars[sidecar].upstream.expire(now_us);
                self.wake_look(sidecar);
            }
            Event::Tick(process) => self.tick(process),
            Event::Fault(fault) => self.fault(fault),
        }
    }

    fn tick(&mut self, process: Process) {
        let now_us = self.now_us;
        let next_us = match process {
            Process::Entry(entry) => {
                self.entries[entry].planner.tick(now_us);
                self.settle_entry(entry);
                self.entries[entry].planner.next_tick()
            }
            Process::Sidecar(sidecar) => {
                self.sidecars[sidecar].supervisor.tick(now_us);
                self.settle_sidecar(sidecar);
                self.sidecars[sidecar].supervisor.next_tick(now_us)
            }
        };
        let at_us = next_us.clamp(now_us + 1_000, now_us + SLEEP_US);
        self.push(at_us, Event::Tick(process));
    }

    fn fault(&mut self, fault: Fault) {
        let now_us = self.now_us;
        match fault {
            Fault::Freeze(Process::Entry(entry), for_us) => {
                self.entries[entry].frozen_until_us = now_us + for_us;
            }
            Fault::Freeze(Process::Sidecar(sidecar), for_us) => {
                self.sidecars[sidecar].frozen_until_us = now_us + for_us;
            }
            Fault::Slow(sidecar, slowness) => self.sidecars[sidecar].upstream.slowness = slowness,
            Fault::Hang(sidecar, hanging) => self.sidecars[sidecar].upstream.hanging = hanging,
            Fault::Fail(sidecar, failing) => self.sidecars[sidecar].upstream.failing = failing,
            Fault::Delay(share) => self.late = share,
            Fault::Leave(index) => {
                self.left.insert(index);
                for entry in 0..self.entries.len() {
                    let node = &mut self.entries[entry];
                    let job = node.jobs.iter().find(|(_, at)| **at == index).map(|(job, _)| *job);
                    let awake = node.frozen_until_us <= now_us;
                    if let Some(job) = job.filter(|_| awake) {
                        node.planner.cancel(job, now_us);
                        self.settle_entry(entry);
                    }
                }
            }
            Fault::Resubmit(index) => {
                let suits = |node: &EntryNode| {
                    node.frozen_until_us <= now_us && !node.jobs.values().any(|at| *at == index)
                };
                if let Some(entry) = self.entries.iter().rposition(suits) {
                    self.handle(Event::Arrive(entry, index, true));
                }
            }
            Fault::Cut(entry, sidecar, for_us) => {
                self.cuts.insert((entry, sidecar), now_us + for_us);
            }
        }
    }

    /// Time at which a message that is sent now arrives.
    fn arrives_us(&self, entry: usize, sidecar: usize) -> u64 {
        let healed_us = self.cuts.get(&(entry, sidecar)).copied().unwrap_or(0);
        (self.now_us + LINK_US).max(healed_us)
    }

    fn settle_entry(&mut self, entry: usize) {
        let effects = self.entries[entry].planner.drain();
        for effect in effects {
            match effect {
                plan::Effect::Start { worker, job, task, run, attempt, slack_us, wait_us } => {
                    self.send_start(entry, worker, job, task, run, attempt, (slack_us, wait_us));
                }
                plan::Effect::Stop { worker, run } => {
                    let node = &self.entries[entry];
                    if let Some(sidecar) = node.workers.iter().position(|key| *key == worker) {
                        let at_us = self.arrives_us(entry, sidecar);
                        self.push(at_us, Event::Sidecar(entry, sidecar, ToSidecar::Stop(run)));
                    }
                }
                plan::Effect::Closed { job } => {
                    self.entries[entry].jobs.remove(&job);
                }
                plan::Effect::Answer { token, answer } => {
                    let index = token as usize;
                    let untrue =
                        matches!(answer, Answer::NotRun { .. }) && self.started.contains(&index);
                    self.outcome.untrue += u64::from(untrue);
                    self.outcome.answers.insert(index, (self.now_us, answer));
                }
            }
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn send_start(
        &mut self,
        entry: usize,
        worker: plan::Worker,
        job: Job,
        task: u16,
        run: u64,
        attempt: u32,
        (slack_us, wait_us): (u64, u64),
    ) {
        let node = &mut self.entries[entry];
        let Some(sidecar) = node.workers.iter().position(|key| *key == worker) else { return };
        let Some(index) = node.jobs.get(&job).copied() else { return };
        node.renewed_us[sidecar] = self.now_us;
        let submission = &self.arrivals[index].submission;
        let start = Start {
            run,
            task: format!("{}.{task}", submission.id).into(),
            attempt,
            spec: "".into(),
            cores: submission.cores,
            memory_mb: submission.memory_mb,
            grant: node.grants[sidecar],
            slack_us,
            wait_us,
        };
        let at_us = self.arrives_us(entry, sidecar);
        self.push(at_us, Event::Sidecar(entry, sidecar, ToSidecar::Start(start)));
    }

    fn sidecar_hears(&mut self, entry: usize, sidecar: usize, message: ToSidecar) {
        let now_us = self.now_us;
        let node = &mut self.sidecars[sidecar];
        let key = node.entries[entry];
        match message {
            ToSidecar::Renew(number) => node.supervisor.renew(key, number),
            ToSidecar::Start(start) => node.supervisor.start(key, start, now_us),
            ToSidecar::Stop(run) => node.supervisor.stop(key, run, now_us),
        }
        node.supervisor.tick(now_us);
        self.settle_sidecar(sidecar);
    }

    fn entry_hears(&mut self, sidecar: usize, entry: usize, message: ToEntry) {
        let now_us = self.now_us;
        let node = &mut self.entries[entry];
        let worker = node.workers[sidecar];
        match message {
            ToEntry::Grant(grant) => {
                node.grants[sidecar] = node.grants[sidecar].max(grant.number);
                let worker::Grant { seen, free_cores, free_memory_mb, room_us, number } = grant;
                node.planner.load(
                    worker,
                    Load { seen, free_cores, free_memory_mb, room_us },
                    now_us,
                );
                if node.renewed_us[sidecar] + RENEW_US <= now_us {
                    node.renewed_us[sidecar] = now_us;
                    let at_us = self.arrives_us(entry, sidecar);
                    self.push(at_us, Event::Sidecar(entry, sidecar, ToSidecar::Renew(number)));
                }
            }
            ToEntry::Ended(end) => node.planner.ended(&end, now_us),
            ToEntry::Progress(runs) => {
                for progress in &runs {
                    node.planner.progress(progress, now_us);
                }
            }
            ToEntry::Refused(run) => node.planner.refused(run, now_us),
            ToEntry::Profile(profile) => node.planner.profile(worker, profile, now_us),
        }
        self.settle_entry(entry);
    }

    fn settle_sidecar(&mut self, sidecar: usize) {
        loop {
            let effects = self.sidecars[sidecar].supervisor.drain();
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                self.sidecar_effect(sidecar, effect);
            }
        }
    }

    fn sidecar_effect(&mut self, sidecar: usize, effect: worker::Effect) {
        let now_us = self.now_us;
        match effect {
            worker::Effect::Order { key, order, timeout_us } => {
                if self.rng.f64() < self.late {
                    let at_us = now_us + self.rng.u64(2_000_000..12_000_000);
                    self.push(at_us, Event::Order(sidecar, key, order.clone(), false));
                    let reply = Event::Reply(sidecar, key, order, Reply::Unanswered, 0);
                    self.push(now_us + timeout_us, reply);
                } else {
                    self.push(now_us + CALL_US, Event::Order(sidecar, key, order, true));
                }
            }
            worker::Effect::Look { number, deadline_ms, fence, last_end, wait_ms } => {
                let wait_us = u64::from(wait_ms) * 1000;
                let look = Event::Look(sidecar, number, deadline_ms, fence, last_end, wait_us);
                self.push(now_us + CALL_US, look);
            }
            worker::Effect::Grant { entry, grant } => {
                self.tell(sidecar, entry, ToEntry::Grant(grant));
            }
            worker::Effect::Ended { entry, end, .. } => {
                self.tell(sidecar, entry, ToEntry::Ended(end));
            }
            worker::Effect::Refused { entry, run, .. } => {
                self.tell(sidecar, entry, ToEntry::Refused(run));
            }
            worker::Effect::Progress { entry, runs } => {
                self.tell(sidecar, entry, ToEntry::Progress(runs));
            }
            worker::Effect::Profile => {
                let Some(profile) = self.sidecars[sidecar].supervisor.profile() else { return };
                for entry in self.sidecars[sidecar].entries.clone() {
                    self.tell(sidecar, entry, ToEntry::Profile(profile.clone()));
                }
            }
        }
    }

    fn tell(&mut self, sidecar: usize, key: Entry, message: ToEntry) {
        let entry = self.sidecars[sidecar].entries.iter().position(|known| *known == key);
        if let Some(entry) = entry {
            let at_us = self.arrives_us(entry, sidecar);
            self.push(at_us, Event::Entry(sidecar, entry, message));
        }
    }

    fn order(&mut self, sidecar: usize, key: run::Key, order: Order, answered: bool) {
        let now_us = self.now_us;
        let (reply, began) = self.sidecars[sidecar].upstream.order(&order, now_us);
        if let (true, Order::Start { task, attempt, deadline_ms, .. }) = (began, &order) {
            self.began(sidecar, task, *attempt);
            self.push(lease_end_us(*deadline_ms), Event::Lease(sidecar));
        }
        if matches!(order, Order::Stop { .. }) {
            self.wake_look(sidecar);
        }
        if answered {
            let clock_ms = Upstream::clock_ms(now_us);
            self.push(now_us + CALL_US, Event::Reply(sidecar, key, order, reply, clock_ms));
        }
    }

    /// A task has begun at an upstream: checks what must hold, and sets its end.
    fn began(&mut self, sidecar: usize, task: &Arc<str>, attempt: u32) {
        let id = task.split('.').next().unwrap_or_default();
        let index = task.rsplit('.').next().and_then(|text| text.parse().ok()).unwrap_or(0_usize);
        let arrival = self.by_id[id];
        self.started.insert(arrival);
        self.outcome.starts += 1;
        let elsewhere = self
            .sidecars
            .iter()
            .flat_map(|node| node.upstream.running.keys())
            .filter(|(other, _)| other == task)
            .count();
        self.outcome.overlaps += u64::from(elsewhere > 1);
        let upstream = &self.sidecars[sidecar].upstream;
        let cores = |name: &Name| {
            let id = name.0.split('.').next().unwrap_or_default();
            self.arrivals[self.by_id[id]].submission.cores
        };
        let used: u32 = upstream.running.keys().map(cores).sum();
        self.outcome.overfull += u64::from(used > self.size.cores);
        let arrival = &self.arrivals[arrival];
        let ran_us = (arrival.works_us[index] as f64 * upstream.slowness) as u64;
        self.outcome.busy += f64::from(arrival.submission.cores) * ran_us as f64;
        let name = (task.clone(), attempt);
        let now_us = self.now_us;
        let upstream = &mut self.sidecars[sidecar].upstream;
        if upstream.hanging {
            upstream.running.insert(name, (now_us, u64::MAX));
        } else {
            upstream.running.insert(name.clone(), (now_us, ran_us));
            self.push(now_us + ran_us, Event::TaskEnd(sidecar, name));
        }
    }

    fn look(
        &mut self,
        sidecar: usize,
        number: u64,
        deadline_ms: Option<u64>,
        fence: u64,
        last_end: u64,
        wait_us: u64,
    ) {
        let now_us = self.now_us;
        let node = &mut self.sidecars[sidecar];
        node.look = number;
        node.upstream.hold(deadline_ms, fence, last_end);
        if let Some(deadline_ms) = deadline_ms {
            self.push(lease_end_us(deadline_ms), Event::Lease(sidecar));
        }
        let node = &mut self.sidecars[sidecar];
        node.waiting = Some((number, now_us + wait_us));
        if node.upstream.has_ends() || wait_us == 0 {
            self.answer_look(sidecar);
        } else {
            self.push(now_us + wait_us, Event::LookEnd(sidecar, number));
        }
    }

    fn wake_look(&mut self, sidecar: usize) {
        let node = &self.sidecars[sidecar];
        if node.waiting.is_some() && node.upstream.has_ends() {
            self.answer_look(sidecar);
        }
    }

    fn answer_look(&mut self, sidecar: usize) {
        let now_us = self.now_us;
        let node = &mut self.sidecars[sidecar];
        let Some((number, _)) = node.waiting.take() else { return };
        let look = node.upstream.list(now_us);
        self.push(now_us + CALL_US, Event::LookReply(sidecar, number, Some(look)));
    }
}

/// Time at which a lease until a time on an upstream's clock has run out, in microseconds.
fn lease_end_us(deadline_ms: u64) -> u64 {
    (deadline_ms - Upstream::clock_ms(0)) * 1000
}
