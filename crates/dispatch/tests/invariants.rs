//! Property test of the engine's invariants under random event sequences, with a model of the
//! sidecars.

mod common;

use std::{
    collections::{HashMap, HashSet, VecDeque},
    sync::Arc,
};

use common::{engine, idle, job, payloads};
use kingcup_dispatch::{
    code::{Code, Execution},
    engine::{Action, End, Engine, Finish, Held, Report},
    job::{Key, Outcome, Phase},
    route::{Load, Upstream},
};
use proptest::prelude::*;

const SLOTS: u16 = 3;
const MAX_WAITING: usize = 20;

#[derive(Debug, Clone, Copy)]
struct Task {
    sequence: u64,
    job: Key,
    index: u16,
}

#[derive(Debug)]
enum Message {
    Start(Task),
    Recall(Vec<u64>),
}

/// Model of a sidecar. `Simulation::started` outlives it and records which tasks actually ran.
#[derive(Debug, Default)]
struct Sidecar {
    key: Option<Upstream>,
    incarnation: u64,
    connected: bool,
    inbox: VecDeque<Message>,
    queued: Vec<Task>,
    running: Vec<Task>,
    /// Sequence numbers of the starts that ended while the link was lost.
    unreported: Vec<u64>,
}

/// The engine with the modelled sidecars and the history that its answers are checked against.
struct Simulation {
    engine: Engine,
    sidecars: Vec<Sidecar>,
    now_us: u64,
    jobs: Vec<Key>,
    /// Tasks that actually ran.
    started: HashSet<(Key, u16)>,
    /// Sidecar and sequence number of each start that was not reported as "not run".
    possible_starts: HashMap<(Key, u16), (usize, u64)>,
    answered: HashSet<Key>,
    answered_not_run: HashSet<Key>,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let sidecars = (0..3).map(|_| Sidecar::default()).collect();
        Self {
            engine: engine(seed),
            sidecars,
            now_us: 0,
            jobs: Vec::new(),
            started: HashSet::new(),
            possible_starts: HashMap::new(),
            answered: HashSet::new(),
            answered_not_run: HashSet::new(),
        }
    }

    fn step(&mut self, action: u8, selector: u8, detail: u8) {
        self.now_us += u64::from(detail) * 1_000;
        let index = usize::from(selector) % self.sidecars.len();
        match action {
            0 => self.connect(index),
            1..=3 => self.submit(selector, detail),
            4..=6 => self.deliver(index, detail),
            7..=9 => self.start_queued(index),
            10..=12 => self.finish(index, detail),
            13 => self.disconnect(index),
            14 => self.restart(index, detail),
            15 => self.cancel(selector),
            16 => self.engine.tick(self.now_us),
            _ => self.refuse_queued(index),
        }
        self.process_actions();
        self.check();
    }

    fn connect(&mut self, index: usize) {
        let sidecar = &mut self.sidecars[index];
        if sidecar.connected {
            return;
        }
        sidecar.connected = true;
        sidecar.inbox.clear();
        let Some(key) = sidecar.key else {
            let name = format!("u{index}");
            let incarnation = sidecar.incarnation;
            let load = idle(SLOTS);
            let key = self.engine.connected(&name, "a", incarnation, SLOTS, &load, self.now_us);
            self.sidecars[index].key = Some(key);
            return;
        };
        let sequences = self.engine.resumed(key, sidecar.incarnation, self.now_us);
        let ended = std::mem::take(&mut sidecar.unreported);
        for &sequence in &ended {
            self.report(index, sequence, End::Done);
        }
        let reports: Vec<Report> =
            sequences.iter().map(|&sequence| self.inquire(index, sequence, &ended)).collect();
        self.engine.handle_reports(key, &reports, self.now_us);
    }

    fn inquire(&mut self, index: usize, sequence: u64, ended: &[u64]) -> Report {
        let sidecar = &self.sidecars[index];
        let contains = |list: &[Task]| list.iter().any(|task| task.sequence == sequence);
        let held = match () {
            () if contains(&sidecar.queued) => Held::Queued,
            () if contains(&sidecar.running) => Held::Running,
            () if ended.contains(&sequence) => Held::Finished,
            () => Held::Never,
        };
        if held == Held::Never {
            self.remove_start(index, sequence);
        }
        Report { sequence, held }
    }

    fn remove_start(&mut self, index: usize, sequence: u64) {
        self.possible_starts.retain(|_, &mut location| location != (index, sequence));
    }

    fn submit(&mut self, selector: u8, detail: u8) {
        let kind = if selector.is_multiple_of(2) { "retraction" } else { "clarification" };
        let input = payloads(usize::from(detail) % 12);
        if let Ok(key) = self.engine.submit(&job(kind, &input), self.now_us) {
            self.jobs.push(key);
        }
    }

    fn deliver(&mut self, index: usize, detail: u8) {
        let sidecar = &mut self.sidecars[index];
        if !sidecar.connected {
            return;
        }
        match sidecar.inbox.pop_front() {
            Some(Message::Start(task)) if detail.is_multiple_of(4) => self.refuse(index, task),
            Some(Message::Start(task)) => sidecar.queued.push(task),
            Some(Message::Recall(sequences)) => self.handle_recall(index, &sequences),
            None => {}
        }
    }

    fn refuse(&mut self, index: usize, task: Task) {
        self.remove_start(index, task.sequence);
        let key = self.sidecars[index].key.expect("connected");
        let load = Load { running: &[3, 0], ..idle(SLOTS) };
        self.engine.refuse(key, task.sequence, Code::Busy, &load, self.now_us);
    }

    fn refuse_queued(&mut self, index: usize) {
        if self.sidecars[index].connected {
            if let Some(task) = self.sidecars[index].queued.pop() {
                self.refuse(index, task);
            }
        }
    }

    fn handle_recall(&mut self, index: usize, sequences: &[u64]) {
        let mut reports = Vec::new();
        for &sequence in sequences {
            let sidecar = &mut self.sidecars[index];
            let queued = sidecar.queued.len();
            sidecar.queued.retain(|task| task.sequence != sequence);
            let held = match () {
                () if sidecar.queued.len() < queued => Held::Never,
                () if sidecar.running.iter().any(|task| task.sequence == sequence) => Held::Running,
                () => Held::Finished,
            };
            if held == Held::Never {
                self.remove_start(index, sequence);
            }
            reports.push(Report { sequence, held });
        }
        let key = self.sidecars[index].key.expect("connected");
        self.engine.handle_reports(key, &reports, self.now_us);
    }

    fn start_queued(&mut self, index: usize) {
        let sidecar = &mut self.sidecars[index];
        if sidecar.queued.is_empty() {
            return;
        }
        let task = sidecar.queued.remove(0);
        sidecar.running.push(task);
        assert!(self.started.insert((task.job, task.index)), "a task ran twice");
        assert!(
            !self.answered_not_run.contains(&task.job),
            "a task ran after its job was answered as not run"
        );
    }

    fn finish(&mut self, index: usize, detail: u8) {
        let sidecar = &mut self.sidecars[index];
        if sidecar.running.is_empty() {
            return;
        }
        let task = sidecar.running.remove(0);
        if !sidecar.connected {
            sidecar.unreported.push(task.sequence);
            return;
        }
        let end = match detail % 8 {
            0 => End::Failed(Code::TaskFailed),
            1 => End::Unknown(Code::UpstreamTimeout),
            _ => End::Done,
        };
        self.report(index, task.sequence, end);
    }

    fn report(&mut self, index: usize, sequence: u64, end: End) {
        let key = self.sidecars[index].key.expect("connected");
        let body = Arc::from(&b"body"[..]);
        let load = idle(SLOTS);
        let finish = Finish { sequence, end, queue_us: 0, run_us: 100_000, load, body };
        self.engine.finish(key, &finish, self.now_us);
    }

    fn disconnect(&mut self, index: usize) {
        let sidecar = &mut self.sidecars[index];
        if let Some(key) = sidecar.key.filter(|_| sidecar.connected) {
            sidecar.connected = false;
            self.engine.suspended(key, self.now_us);
        }
    }

    fn restart(&mut self, index: usize, detail: u8) {
        let sidecar = &mut self.sidecars[index];
        let Some(key) = sidecar.key else {
            return;
        };
        let incarnation = sidecar.incarnation + 1;
        let key = (detail.is_multiple_of(2)).then_some(key);
        let previous = std::mem::take(sidecar);
        *sidecar = Sidecar { key, incarnation, ..Sidecar::default() };
        match key {
            Some(key) => self.engine.suspended(key, self.now_us),
            None => self
                .engine
                .lost(previous.key.expect("the sidecar has connected before"), self.now_us),
        }
    }

    fn cancel(&mut self, selector: u8) {
        if !self.jobs.is_empty() {
            let key = self.jobs[usize::from(selector) % self.jobs.len()];
            self.engine.cancel(key, self.now_us);
        }
    }

    fn process_actions(&mut self) {
        for action in std::mem::take(self.engine.actions()) {
            match action {
                Action::Start(start) => {
                    let index = self.index_of(start.upstream);
                    let sidecar = &mut self.sidecars[index];
                    assert!(sidecar.connected, "a start was sent on a lost link");
                    assert!(
                        !self.answered.contains(&start.job),
                        "a start was sent after the answer"
                    );
                    let id = (start.job, start.task);
                    let previous = self.possible_starts.insert(id, (index, start.sequence));
                    assert_eq!(previous, None, "a task was sent again without a definite outcome");
                    let task = Task { sequence: start.sequence, job: start.job, index: start.task };
                    sidecar.inbox.push_back(Message::Start(task));
                }
                Action::Recall(recall) => {
                    let index = self.index_of(recall.upstream);
                    assert!(recall.sequences.is_sorted());
                    self.sidecars[index].inbox.push_back(Message::Recall(recall.sequences));
                }
                Action::Answer(answer) => {
                    assert!(self.answered.insert(answer.job), "a job was answered twice");
                    self.check_answer(answer.job, &answer.outcome);
                }
                Action::Decision(_) => {}
            }
        }
    }

    fn index_of(&self, upstream: Upstream) -> usize {
        let mut sidecars = self.sidecars.iter();
        sidecars.position(|sidecar| sidecar.key == Some(upstream)).expect("the upstream is known")
    }

    fn check_answer(&mut self, job: Key, outcome: &Outcome) {
        let ran = self.started.iter().filter(|(key, _)| *key == job).count();
        match outcome {
            Outcome::Complete(bodies) => assert_eq!(bodies.len(), ran, "not all tasks ran"),
            Outcome::Failed { code, .. } => match code.execution() {
                Execution::NotRun => {
                    assert_eq!(ran, 0, "the job was answered as not run, but it ran");
                    self.answered_not_run.insert(job);
                }
                Execution::Failed => {
                    assert!(ran > 0, "the job was answered as failed, but nothing ran");
                }
                Execution::MayHaveRun | Execution::Complete => {}
            },
        }
    }

    /// Checks that each task is in exactly one phase, that the totals agree and that queues are
    /// bounded.
    fn check(&self) {
        let counts = self.engine.counts();
        let (mut waiting, mut sent) = (0, 0);
        for (key, row) in self.engine.jobs().iter() {
            for task in &row.tasks {
                match task.phase {
                    Phase::Waiting => waiting += 1,
                    Phase::Sent { upstream, sequence } => {
                        sent += 1;
                        let row = self.engine.fleet().get(upstream).expect("the upstream is known");
                        let found =
                            row.in_flight.iter().filter(|dispatch| dispatch.sequence == sequence);
                        assert_eq!(found.map(|dispatch| dispatch.job).collect::<Vec<_>>(), [key]);
                    }
                    Phase::Ended(_) => {}
                }
            }
        }
        let in_flight: usize = self.engine.fleet().iter().map(|(_, row)| row.in_flight.len()).sum();
        assert_eq!((counts.waiting, counts.sent, in_flight), (waiting, sent, sent));
        let outstanding: u32 =
            self.engine.shares().classes.iter().map(|class| class.outstanding).sum();
        assert_eq!(outstanding as usize, sent);
        let slots = self.sidecars.len() * usize::from(SLOTS);
        assert!(waiting <= 2 * (MAX_WAITING + slots), "{waiting} tasks wait");
    }

    /// Restores all links and checks that every accepted job is answered without further faults.
    fn recover(&mut self) {
        for index in 0..self.sidecars.len() {
            self.connect(index);
            self.process_actions();
        }
        for _ in 0..1_000 {
            for index in 0..self.sidecars.len() {
                for action in [4, 7, 10] {
                    self.step(action, index as u8, 2);
                }
            }
        }
        let expected = self.jobs.iter().copied().collect::<HashSet<_>>();
        assert_eq!(self.answered, expected, "each accepted job is answered");
        assert_eq!(self.engine.counts().sent, 0);
    }

    /// Loses all sidecars and checks that every job is answered and no state remains.
    fn tear_down(&mut self) {
        for index in 0..self.sidecars.len() {
            if let Some(key) = self.sidecars[index].key.take() {
                self.engine.lost(key, self.now_us);
            }
            self.process_actions();
        }
        self.engine.tick(self.now_us + 10_000_000);
        self.process_actions();
        let expected = self.jobs.iter().copied().collect::<HashSet<_>>();
        assert_eq!(self.answered, expected, "each accepted job is answered once");
        let counts = self.engine.counts();
        assert_eq!((counts.jobs, counts.waiting, counts.sent, counts.bytes), (0, 0, 0, 0));
        assert_eq!((counts.upstreams, counts.free), (0, 0));
        assert!(self.engine.shares().remote.iter().all(|&count| count == 0));
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        ..Default::default()
    })]

    /// Guards against tasks that start twice or are lost or duplicated, incorrect answers,
    /// unbounded queues, jobs without an answer and leaked state.
    #[test]
    fn events_in_any_order_keep_the_invariants(
        seed in any::<u64>(),
        recovers in any::<bool>(),
        events in prop::collection::vec((0u8..18, any::<u8>(), any::<u8>()), 1..300),
    ) {
        let mut simulation = Simulation::new(seed);
        for (action, selector, detail) in events {
            simulation.step(action, selector, detail);
        }
        if recovers {
            simulation.recover();
        }
        simulation.tear_down();
    }
}
