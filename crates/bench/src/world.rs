//! Entries and gates in virtual time, with delayed messages between them.

use std::{
    cmp::{Ordering, Reverse},
    collections::BinaryHeap,
    sync::Arc,
};

use kingcup_dispatch::{
    code::{Code, Execution},
    engine::{self, Action, Engine, Submission},
    gate::{self, Effect, Gate},
    job,
    route::{Load, Upstream},
};
use rustc_hash::FxHashMap;

use crate::{
    report::{Figures, Tally},
    work::{self, Arrival, Flow},
};

/// Delay of a message, in microseconds.
pub const DELAY_US: u64 = 1_000;
/// Availability zones; entries and upstreams are spread over them.
const ZONES: [&str; 4] = ["a", "b", "c", "d"];
/// Interval of the entries' ticks, in microseconds.
const TICK_US: u64 = 10_000;
/// Run time of a task at the failing upstream, in microseconds.
const FAIL_US: u64 = 2_000;
/// Part of the run in which late runs at the failing upstream are counted, in microseconds.
const LATE_US: u64 = 30_000_000;

/// What is run.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Decides all random choices.
    pub seed: u64,
    /// Entries.
    pub entries: usize,
    /// Upstreams.
    pub upstreams: usize,
    /// Slots of each upstream.
    pub slots: u16,
    /// Work.
    pub flows: Vec<Flow>,
    /// Jobs that arrive before this time are not counted, in microseconds.
    pub warmup_us: u64,
    /// End of the run, in microseconds.
    pub until_us: u64,
    /// An upstream that fails every task.
    pub failing: Option<usize>,
    /// Interval at which all jobs of the last flow are cancelled, in microseconds.
    pub cancel_us: Option<u64>,
}

impl Plan {
    /// Slots of the fleet.
    pub fn fleet_slots(&self) -> usize {
        self.upstreams * usize::from(self.slots)
    }

    /// Part of an interval that lies in the counted part of the run.
    pub fn overlap_us(&self, begin_us: u64, end_us: u64) -> u64 {
        end_us.min(self.until_us).saturating_sub(begin_us.max(self.warmup_us))
    }

    /// Fraction of slot time that was used.
    pub fn busy(&self, used_us: u64) -> f64 {
        let span_us = self.until_us - self.warmup_us;
        used_us as f64 / (span_us as f64 * self.fleet_slots() as f64)
    }

    /// Arrivals of the plan's flows.
    pub fn arrivals(&self) -> Vec<Arrival> {
        work::arrivals(&self.flows, self.fleet_slots(), self.entries, self.until_us, self.seed)
    }
}

#[derive(Debug)]
enum Event {
    Arrive(usize),
    ToGate { entry: usize, gate: usize, message: ToGate },
    ToEntry { entry: usize, gate: usize, message: Effect },
    RunEnd { gate: usize, slot: gate::Slot },
    EntryTick(usize),
    GateTick(usize),
    Cancel,
}

#[derive(Debug)]
enum ToGate {
    Start(engine::Start),
    Recall(engine::Recall),
}

#[derive(Debug)]
struct Timed {
    at_us: u64,
    number: u64,
    event: Event,
}

impl PartialEq for Timed {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl Eq for Timed {}

impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Timed {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at_us, self.number).cmp(&(other.at_us, other.number))
    }
}

/// A sidecar: its gate and its connections.
struct Sidecar {
    gate: Gate,
    peers: Vec<gate::Peer>,
    tick_us: u64,
    fails: bool,
}

/// An entry: its engine and where it stands with each sidecar.
struct Entry {
    engine: Engine,
    upstreams: Vec<Upstream>,
    jobs: FxHashMap<job::Key, usize>,
}

struct World<'a> {
    plan: &'a Plan,
    arrivals: &'a [Arrival],
    entries: Vec<Entry>,
    sidecars: Vec<Sidecar>,
    events: BinaryHeap<Reverse<Timed>>,
    number: u64,
    now_us: u64,
    used_us: u64,
    figures: Figures,
}

/// Runs the plan with the library's engines and gates.
pub fn run(plan: &Plan, arrivals: &[Arrival]) -> Figures {
    let mut world = World::open(plan, arrivals);
    while let Some(Reverse(timed)) = world.events.pop() {
        if timed.at_us >= plan.until_us {
            break;
        }
        world.now_us = timed.at_us;
        world.handle(timed.event);
    }
    world.figures.busy = plan.busy(world.used_us);
    world.figures
}

fn load(load: &gate::Load) -> Load<'_> {
    Load {
        revision: load.revision,
        running: load.running(),
        queued: load.queued,
        window: load.window,
    }
}

impl<'a> World<'a> {
    fn open(plan: &'a Plan, arrivals: &'a [Arrival]) -> Self {
        let document = work::document(&plan.flows);
        let mut sidecars: Vec<Sidecar> = (0..plan.upstreams)
            .map(|index| {
                let mut gate = Gate::new(gate::Settings::with_slots(plan.slots), 1);
                gate.apply(&document, 1, 0);
                let fails = plan.failing == Some(index);
                Sidecar { gate, peers: Vec::new(), tick_us: u64::MAX, fails }
            })
            .collect();
        let mut entries = Vec::new();
        for index in 0..plan.entries {
            let settings =
                engine::Settings { zone: ZONES[index % 4].to_owned(), max_bytes: 64 << 20 };
            let seed = plan.seed.wrapping_mul(97).wrapping_add(index as u64);
            let mut engine = Engine::open(settings, seed);
            engine.apply(&document, 1, 0);
            let mut upstreams = Vec::new();
            for (gate, sidecar) in sidecars.iter_mut().enumerate() {
                let hello = sidecar.gate.hello(&format!("entry{index}"), index as u64 + 1, 1, 0, 0);
                let peer = hello.expect("first connection");
                sidecar.peers.push(peer);
                let report = sidecar.gate.load(peer, 0).expect("connected");
                let zone = ZONES[gate % 4];
                let name = format!("upstream{gate}");
                let key = engine.connected(&name, zone, 1, plan.slots, &load(&report), 0);
                upstreams.push(key);
            }
            entries.push(Entry { engine, upstreams, jobs: FxHashMap::default() });
        }
        let mut figures = Figures::default();
        figures.flows.resize_with(plan.flows.len(), Tally::default);
        figures.bad_runs = vec![0; plan.entries];
        let events = BinaryHeap::new();
        let mut world = Self {
            plan,
            arrivals,
            entries,
            sidecars,
            events,
            number: 0,
            now_us: 0,
            used_us: 0,
            figures,
        };
        world.open_events();
        world
    }

    fn open_events(&mut self) {
        if let Some(first) = self.arrivals.first() {
            self.push(first.at_us, Event::Arrive(0));
        }
        for entry in 0..self.plan.entries {
            self.push(
                TICK_US * (entry as u64 + 1) / self.plan.entries as u64,
                Event::EntryTick(entry),
            );
        }
        if let Some(cancel_us) = self.plan.cancel_us {
            self.push(cancel_us, Event::Cancel);
        }
    }

    fn push(&mut self, at_us: u64, event: Event) {
        self.number += 1;
        self.events.push(Reverse(Timed { at_us, number: self.number, event }));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(index) => self.arrive(index),
            Event::ToGate { entry, gate, message } => self.at_gate(entry, gate, message),
            Event::ToEntry { entry, gate, message } => self.at_entry(entry, gate, &message),
            Event::RunEnd { gate, slot } => self.run_end(gate, slot),
            Event::EntryTick(entry) => {
                self.entries[entry].engine.tick(self.now_us);
                self.take_actions(entry);
                self.push(self.now_us + TICK_US, Event::EntryTick(entry));
            }
            Event::GateTick(gate) => {
                self.sidecars[gate].tick_us = u64::MAX;
                self.sidecars[gate].gate.tick(self.now_us);
                self.take_effects(gate);
            }
            Event::Cancel => self.cancel(),
        }
    }

    fn counted(&self, arrival: &Arrival) -> bool {
        arrival.at_us >= self.plan.warmup_us
    }

    fn arrive(&mut self, index: usize) {
        if let Some(next) = self.arrivals.get(index + 1) {
            self.push(next.at_us, Event::Arrive(index + 1));
        }
        let arrival = &self.arrivals[index];
        let flow = &self.plan.flows[arrival.flow];
        let payload = |run_us: &u32| Arc::from(&run_us.to_le_bytes()[..]);
        let payloads: Vec<Arc<[u8]>> = arrival.runs_us.iter().map(payload).collect();
        let mean_us = arrival.runs_us.iter().sum::<u32>() / arrival.runs_us.len() as u32;
        let declare =
            |factors: [f64; 2]| (f64::from(mean_us) * factors[index % 2] / 1_000.0) as u32;
        let submission = Submission {
            kind: flow.name,
            single: flow.tasks == 1,
            payloads: &payloads,
            declared_ms: flow.declared.map(declare),
            milli_cpus: None,
            memory_mb: None,
        };
        let counted = self.counted(arrival);
        let entry = &mut self.entries[arrival.entry];
        let accepted = entry.engine.submit(&submission, self.now_us);
        let tasks = arrival.runs_us.len() as u64;
        let tally = &mut self.figures.flows[arrival.flow];
        tally.offered += if counted { tasks } else { 0 };
        match accepted {
            Ok(key) => {
                entry.jobs.insert(key, index);
            }
            Err(_) if counted => {
                tally.refused += tasks;
                tally.refusal_us.saturating_record(0);
            }
            Err(_) => {}
        }
        self.take_actions(arrival.entry);
    }

    fn cancel(&mut self) {
        let last = self.plan.flows.len() - 1;
        for entry in 0..self.entries.len() {
            let jobs = self.entries[entry].jobs.iter();
            let mut wave: Vec<job::Key> = jobs
                .filter(|(_, &index)| self.arrivals[index].flow == last)
                .map(|j| *j.0)
                .collect();
            wave.sort_unstable();
            for key in wave {
                self.entries[entry].engine.cancel(key, self.now_us);
            }
            self.take_actions(entry);
        }
        self.push(self.now_us + self.plan.cancel_us.unwrap_or(u64::MAX), Event::Cancel);
    }

    fn take_actions(&mut self, entry: usize) {
        for action in std::mem::take(self.entries[entry].engine.actions()) {
            match action {
                Action::Start(start) => {
                    self.count(|figures| &mut figures.starts);
                    let upstream = start.upstream;
                    self.send(entry, upstream, ToGate::Start(start));
                }
                Action::Recall(recall) => {
                    self.count(|figures| &mut figures.recalls);
                    let upstream = recall.upstream;
                    self.send(entry, upstream, ToGate::Recall(recall));
                }
                Action::Answer(answer) => self.answer(entry, &answer),
                Action::Decision(_) => {}
            }
        }
    }

    fn count(&mut self, field: impl Fn(&mut Figures) -> &mut u64) {
        if self.now_us >= self.plan.warmup_us {
            *field(&mut self.figures) += 1;
        }
    }

    fn send(&mut self, entry: usize, upstream: Upstream, message: ToGate) {
        let mut upstreams = self.entries[entry].upstreams.iter();
        let gate = upstreams.position(|&key| key == upstream).expect("known upstream");
        self.count(|figures| &mut figures.messages);
        self.push(self.now_us + DELAY_US, Event::ToGate { entry, gate, message });
    }

    fn answer(&mut self, entry: usize, answer: &engine::Answer) {
        let index = self.entries[entry].jobs.remove(&answer.job).expect("known job");
        let arrival = &self.arrivals[index];
        if !self.counted(arrival) {
            return;
        }
        let tasks = arrival.runs_us.len() as u64;
        let tally = &mut self.figures.flows[arrival.flow];
        match &answer.outcome {
            job::Outcome::Complete(_) => {
                tally.completed += tasks;
                tally.record(self.now_us - arrival.at_us, arrival.ideal_us());
            }
            job::Outcome::Failed { code, .. } if code.execution() == Execution::NotRun => {
                tally.given_up += tasks;
                tally.refusal_us.saturating_record(self.now_us - arrival.at_us);
            }
            job::Outcome::Failed { .. } => tally.failed += tasks,
        }
    }

    fn at_gate(&mut self, entry: usize, gate: usize, message: ToGate) {
        let sidecar = &mut self.sidecars[gate];
        let peer = sidecar.peers[entry];
        match message {
            ToGate::Start(start) => {
                let start = gate::Start {
                    sequence: start.sequence,
                    settled: start.settled,
                    job: "",
                    task: start.task,
                    kind: &start.kind,
                    headroom: start.headroom,
                    has_backlog: start.more,
                    wait_ms: start.wait_ms,
                    payload: &start.payload,
                };
                sidecar.gate.start(peer, &start, self.now_us);
            }
            ToGate::Recall(recall) => {
                sidecar.gate.recall(peer, &recall.sequences, recall.stop, self.now_us);
            }
        }
        self.take_effects(gate);
    }

    fn run_end(&mut self, gate: usize, slot: gate::Slot) {
        let sidecar = &mut self.sidecars[gate];
        let failed = gate::Outcome::Failed(Code::TaskFailed);
        let outcome = if sidecar.fails { failed } else { gate::Outcome::Done };
        sidecar.gate.finished(slot, outcome, Vec::new(), self.now_us);
        self.take_effects(gate);
    }

    fn take_effects(&mut self, gate: usize) {
        let effects: Vec<Effect> = self.sidecars[gate].gate.drain().collect();
        for effect in effects {
            let peer = match &effect {
                Effect::Call { slot, peer, payload, .. } => {
                    self.call(gate, *slot, *peer, payload);
                    continue;
                }
                // A task that is abandoned ends at once.
                Effect::Stop { slot } => {
                    self.push(self.now_us, Event::RunEnd { gate, slot: *slot });
                    continue;
                }
                Effect::Close { .. } => continue,
                Effect::Finish { peer, .. }
                | Effect::Refuse { peer, .. }
                | Effect::Recalled { peer, .. }
                | Effect::Reports { peer, .. }
                | Effect::Load { peer, .. } => *peer,
            };
            let entry = self.entry_of(gate, peer);
            self.count(|figures| &mut figures.messages);
            self.push(self.now_us + DELAY_US, Event::ToEntry { entry, gate, message: effect });
        }
        let sidecar = &mut self.sidecars[gate];
        if let Some(due_us) = sidecar.gate.next_tick().filter(|&due_us| due_us < sidecar.tick_us) {
            sidecar.tick_us = due_us;
            self.push(due_us.max(self.now_us + 1), Event::GateTick(gate));
        }
    }

    fn entry_of(&self, gate: usize, peer: gate::Peer) -> usize {
        let mut peers = self.sidecars[gate].peers.iter();
        peers.position(|&other| other == peer).expect("known connection")
    }

    fn call(&mut self, gate: usize, slot: gate::Slot, peer: gate::Peer, payload: &[u8]) {
        let run_us = payload.try_into().map_or(0, u32::from_le_bytes);
        let mut end_us = self.now_us + u64::from(run_us);
        if self.sidecars[gate].fails {
            end_us = self.now_us + FAIL_US;
            let entry = self.entry_of(gate, peer);
            self.figures.bad_runs[entry] += 1;
            let late = self.now_us + LATE_US >= self.plan.until_us;
            self.figures.late_bad_runs += u64::from(late);
        }
        self.count(|figures| &mut figures.began);
        self.used_us += self.plan.overlap_us(self.now_us, end_us);
        self.push(end_us, Event::RunEnd { gate, slot });
    }

    fn at_entry(&mut self, entry: usize, gate: usize, message: &Effect) {
        let now_us = self.now_us;
        let upstream = self.entries[entry].upstreams[gate];
        let engine = &mut self.entries[entry].engine;
        match message {
            Effect::Finish { sequence, outcome, queue_us, run_us, load: report, .. } => {
                let end = match *outcome {
                    gate::Outcome::Done => engine::End::Done,
                    gate::Outcome::Failed(code) => engine::End::Failed(code),
                    gate::Outcome::Unknown(code) | gate::Outcome::NotRun(code) => {
                        engine::End::Unknown(code)
                    }
                };
                let finish = engine::Finish {
                    sequence: *sequence,
                    end,
                    queue_us: *queue_us,
                    run_us: *run_us,
                    load: load(report),
                    body: Arc::from(&[][..]),
                };
                engine.finish(upstream, &finish, now_us);
            }
            Effect::Refuse { sequence, code, load: report, .. } => {
                engine.refuse(upstream, *sequence, *code, &load(report), now_us);
                self.count(|figures| &mut figures.refusals);
            }
            Effect::Recalled { reports, .. } | Effect::Reports { reports, .. } => {
                let reports: Vec<engine::Report> = reports.iter().map(report_of).collect();
                engine.handle_reports(upstream, &reports, now_us);
            }
            Effect::Load { load: report, .. } => {
                engine.load(upstream, &load(report), now_us);
                self.count(|figures| &mut figures.loads);
            }
            Effect::Call { .. } | Effect::Stop { .. } | Effect::Close { .. } => {}
        }
        self.take_actions(entry);
    }
}

fn report_of(report: &gate::Report) -> engine::Report {
    let held = match report.status {
        gate::Status::NotRun => engine::Held::Never,
        gate::Status::Queued => engine::Held::Queued,
        gate::Status::Running => engine::Held::Running,
        gate::Status::Finished => engine::Held::Finished,
    };
    engine::Report { sequence: report.sequence, held }
}
