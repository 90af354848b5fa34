//! Invariants of the engine under random sequences of events, against a model of the sidecars.

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

/// What a sidecar does with starts. `began` outlives it and is what really happened.
#[derive(Debug, Default)]
struct Sidecar {
    key: Option<Upstream>,
    incarnation: u64,
    linked: bool,
    mail: VecDeque<Message>,
    queued: Vec<Task>,
    running: Vec<Task>,
    /// Ended while the link was lost.
    unreported: Vec<u64>,
}

struct World {
    engine: Engine,
    sidecars: Vec<Sidecar>,
    now_us: u64,
    jobs: Vec<Key>,
    /// Tasks that really began.
    began: HashSet<(Key, u16)>,
    /// Starts without a definite "not run".
    open: HashMap<(Key, u16), (usize, u64)>,
    answered: HashSet<Key>,
    claimed_not_run: HashSet<Key>,
}

impl World {
    fn new(seed: u64) -> Self {
        let sidecars = (0..3).map(|_| Sidecar::default()).collect();
        Self {
            engine: engine(seed),
            sidecars,
            now_us: 0,
            jobs: Vec::new(),
            began: HashSet::new(),
            open: HashMap::new(),
            answered: HashSet::new(),
            claimed_not_run: HashSet::new(),
        }
    }

    fn step(&mut self, action: u8, which: u8, detail: u8) {
        self.now_us += u64::from(detail) * 1_000;
        let index = usize::from(which) % self.sidecars.len();
        match action {
            0 => self.link(index),
            1..=3 => self.submit(which, detail),
            4..=6 => self.deliver(index, detail),
            7..=9 => self.begin(index),
            10..=12 => self.finish(index, detail),
            13 => self.unlink(index),
            14 => self.restart(index, detail),
            15 => self.cancel(which),
            16 => self.engine.tick(self.now_us),
            _ => self.refuse_queued(index),
        }
        self.take_actions();
        self.check();
    }

    fn link(&mut self, index: usize) {
        let sidecar = &mut self.sidecars[index];
        if sidecar.linked {
            return;
        }
        sidecar.linked = true;
        sidecar.mail.clear();
        let Some(key) = sidecar.key else {
            let name = format!("u{index}");
            let incarnation = sidecar.incarnation;
            let load = idle(SLOTS);
            let key = self.engine.connected(&name, "a", incarnation, SLOTS, &load, self.now_us);
            self.sidecars[index].key = Some(key);
            return;
        };
        let asked = self.engine.resumed(key, sidecar.incarnation, self.now_us);
        let ended = std::mem::take(&mut sidecar.unreported);
        for &sequence in &ended {
            self.report(index, sequence, End::Done);
        }
        let reports: Vec<Report> =
            asked.iter().map(|&sequence| self.inquire(index, sequence, &ended)).collect();
        self.engine.handle_reports(key, &reports, self.now_us);
    }

    fn inquire(&mut self, index: usize, sequence: u64, ended: &[u64]) -> Report {
        let sidecar = &self.sidecars[index];
        let has = |list: &[Task]| list.iter().any(|task| task.sequence == sequence);
        let held = match () {
            () if has(&sidecar.queued) => Held::Queued,
            () if has(&sidecar.running) => Held::Running,
            () if ended.contains(&sequence) => Held::Finished,
            () => Held::Never,
        };
        if held == Held::Never {
            self.close(index, sequence);
        }
        Report { sequence, held }
    }

    fn close(&mut self, index: usize, sequence: u64) {
        self.open.retain(|_, &mut place| place != (index, sequence));
    }

    fn submit(&mut self, which: u8, detail: u8) {
        let kind = if which.is_multiple_of(2) { "retraction" } else { "clarification" };
        let input = payloads(usize::from(detail) % 12);
        if let Ok(key) = self.engine.submit(&job(kind, &input), self.now_us) {
            self.jobs.push(key);
        }
    }

    fn deliver(&mut self, index: usize, detail: u8) {
        let sidecar = &mut self.sidecars[index];
        if !sidecar.linked {
            return;
        }
        match sidecar.mail.pop_front() {
            Some(Message::Start(task)) if detail.is_multiple_of(4) => self.refuse(index, task),
            Some(Message::Start(task)) => sidecar.queued.push(task),
            Some(Message::Recall(sequences)) => self.recalled(index, &sequences),
            None => {}
        }
    }

    fn refuse(&mut self, index: usize, task: Task) {
        self.close(index, task.sequence);
        let key = self.sidecars[index].key.expect("linked");
        let load = Load { running: &[3, 0], ..idle(SLOTS) };
        self.engine.refuse(key, task.sequence, Code::Busy, &load, self.now_us);
    }

    fn refuse_queued(&mut self, index: usize) {
        if self.sidecars[index].linked {
            if let Some(task) = self.sidecars[index].queued.pop() {
                self.refuse(index, task);
            }
        }
    }

    fn recalled(&mut self, index: usize, sequences: &[u64]) {
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
                self.close(index, sequence);
            }
            reports.push(Report { sequence, held });
        }
        let key = self.sidecars[index].key.expect("linked");
        self.engine.handle_reports(key, &reports, self.now_us);
    }

    fn begin(&mut self, index: usize) {
        let sidecar = &mut self.sidecars[index];
        if sidecar.queued.is_empty() {
            return;
        }
        let task = sidecar.queued.remove(0);
        sidecar.running.push(task);
        assert!(self.began.insert((task.job, task.index)), "a task began twice");
        assert!(!self.claimed_not_run.contains(&task.job), "began after the answer not run");
    }

    fn finish(&mut self, index: usize, detail: u8) {
        let sidecar = &mut self.sidecars[index];
        if sidecar.running.is_empty() {
            return;
        }
        let task = sidecar.running.remove(0);
        if !sidecar.linked {
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
        let key = self.sidecars[index].key.expect("linked");
        let body = Arc::from(&b"body"[..]);
        let load = idle(SLOTS);
        let finish = Finish { sequence, end, queue_us: 0, run_us: 100_000, load, body };
        self.engine.finish(key, &finish, self.now_us);
    }

    fn unlink(&mut self, index: usize) {
        let sidecar = &mut self.sidecars[index];
        if let Some(key) = sidecar.key.filter(|_| sidecar.linked) {
            sidecar.linked = false;
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
        let old = std::mem::take(sidecar);
        *sidecar = Sidecar { key, incarnation, ..Sidecar::default() };
        match key {
            Some(key) => self.engine.suspended(key, self.now_us),
            None => self.engine.lost(old.key.expect("known"), self.now_us),
        }
    }

    fn cancel(&mut self, which: u8) {
        if !self.jobs.is_empty() {
            let key = self.jobs[usize::from(which) % self.jobs.len()];
            self.engine.cancel(key, self.now_us);
        }
    }

    fn take_actions(&mut self) {
        for action in std::mem::take(self.engine.actions()) {
            match action {
                Action::Start(start) => {
                    let index = self.index(start.upstream);
                    let sidecar = &mut self.sidecars[index];
                    assert!(sidecar.linked, "a start on a lost link");
                    assert!(!self.answered.contains(&start.job), "a start after the answer");
                    let id = (start.job, start.task);
                    let old = self.open.insert(id, (index, start.sequence));
                    assert_eq!(old, None, "placed again without a definite outcome");
                    let task = Task { sequence: start.sequence, job: start.job, index: start.task };
                    sidecar.mail.push_back(Message::Start(task));
                }
                Action::Recall(recall) => {
                    let index = self.index(recall.upstream);
                    assert!(recall.sequences.is_sorted());
                    self.sidecars[index].mail.push_back(Message::Recall(recall.sequences));
                }
                Action::Answer(answer) => {
                    assert!(self.answered.insert(answer.job), "answered twice");
                    self.check_answer(answer.job, &answer.outcome);
                }
                Action::Decision(_) => {}
            }
        }
    }

    fn index(&self, upstream: Upstream) -> usize {
        let mut sidecars = self.sidecars.iter();
        sidecars.position(|sidecar| sidecar.key == Some(upstream)).expect("a known upstream")
    }

    fn check_answer(&mut self, job: Key, outcome: &Outcome) {
        let ran = self.began.iter().filter(|(key, _)| *key == job).count();
        match outcome {
            Outcome::Complete(bodies) => assert_eq!(bodies.len(), ran, "complete means all ran"),
            Outcome::Failed { code, .. } => match code.execution() {
                Execution::NotRun => {
                    assert_eq!(ran, 0, "said not run, but it ran");
                    self.claimed_not_run.insert(job);
                }
                Execution::Failed => assert!(ran > 0, "said failed, but nothing ran"),
                Execution::MayHaveRun | Execution::Complete => {}
            },
        }
    }

    /// Each task is in one place, the counts agree, and queues are bounded.
    fn check(&self) {
        let counts = self.engine.counts();
        let (mut waiting, mut sent) = (0, 0);
        for (key, row) in self.engine.jobs().iter() {
            for task in &row.tasks {
                match task.phase {
                    Phase::Waiting => waiting += 1,
                    Phase::Sent { upstream, sequence } => {
                        sent += 1;
                        let row = self.engine.fleet().get(upstream).expect("known upstream");
                        let found = row.in_flight.iter().filter(|f| f.sequence == sequence);
                        assert_eq!(found.map(|f| f.job).collect::<Vec<_>>(), [key]);
                    }
                    Phase::Ended(_) => {}
                }
            }
        }
        let in_flight: usize = self.engine.fleet().iter().map(|(_, row)| row.in_flight.len()).sum();
        assert_eq!((counts.waiting, counts.sent, in_flight), (waiting, sent, sent));
        let own: u32 = self.engine.shares().classes.iter().map(|class| class.outstanding).sum();
        assert_eq!(own as usize, sent);
        let slots = self.sidecars.len() * usize::from(SLOTS);
        assert!(waiting <= 2 * (MAX_WAITING + slots), "{waiting} tasks wait");
    }

    /// With all links back, every accepted job is answered without further faults.
    fn settle(&mut self) {
        for index in 0..self.sidecars.len() {
            self.link(index);
            self.take_actions();
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

    fn end(&mut self) {
        for index in 0..self.sidecars.len() {
            if let Some(key) = self.sidecars[index].key.take() {
                self.engine.lost(key, self.now_us);
            }
            self.take_actions();
        }
        self.engine.tick(self.now_us + 10_000_000);
        self.take_actions();
        let expected = self.jobs.iter().copied().collect::<HashSet<_>>();
        assert_eq!(self.answered, expected, "each accepted job is answered once");
        let counts = self.engine.counts();
        assert_eq!((counts.jobs, counts.waiting, counts.sent, counts.bytes), (0, 0, 0, 0));
        assert_eq!((counts.upstreams, counts.free), (0, 0));
        assert!(self.engine.shares().remote.iter().all(|&count| count == 0));
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..Default::default() })]

    /// Guards against a second start, an untruthful answer, a lost or duplicated task, an unbounded
    /// queue, jobs without answer and rows that stay behind.
    #[test]
    fn events_in_any_order_keep_the_invariants(
        seed in any::<u64>(),
        settles in any::<bool>(),
        events in prop::collection::vec((0u8..18, any::<u8>(), any::<u8>()), 1..300),
    ) {
        let mut world = World::new(seed);
        for (action, which, detail) in events {
            world.step(action, which, detail);
        }
        if settles {
            world.settle();
        }
        world.end();
    }
}
