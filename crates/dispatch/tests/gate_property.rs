//! Property test of the gate with arbitrary sequences of connections, starts, recalls, inquiries
//! and ends of calls.

use std::collections::{HashMap, HashSet};

use kingcup_dispatch::{
    code::{Code, Execution},
    document::{Document, Kind, Urgency},
    gate::{Effect, Gate, Outcome, Peer, Report, Settings, Slot, Start, Status},
};
use proptest::{prelude::*, sample::Index};

const SLOTS: u16 = 3;
const KINDS: [&str; 3] = ["a", "b", "gone"];
const ENTRIES: usize = 3;

#[derive(Debug, Clone)]
enum Step {
    Hello { entry: usize, generation_step: u32 },
    Start { link: Index, sequence_step: u64, kind: usize, headroom: u8, wait_ms: u32 },
    Repeat { link: Index, sequence: Index },
    Recall { link: Index, sequences: Vec<u64>, stop: bool },
    Inquire { link: Index, sequences: Vec<u64> },
    Disconnect { link: Index },
    End { slot: Index, outcome: Outcome },
    Wait { ms: u64 },
    Apply { revision: u64, kinds: usize },
    Close,
}

fn step() -> impl Strategy<Value = Step> {
    let link = any::<Index>;
    let sequences = || prop::collection::vec(1_u64..40, 1..8);
    let outcome = prop_oneof![
        3 => Just(Outcome::Done),
        1 => Just(Outcome::Failed(Code::TaskFailed)),
        1 => Just(Outcome::Unknown(Code::UpstreamTimeout)),
        1 => Just(Outcome::NotRun(Code::NoUpstream)),
    ];
    prop_oneof![
        4 => (0..ENTRIES, 0_u32..3)
            .prop_map(|(entry, generation_step)| Step::Hello { entry, generation_step }),
        20 => (link(), 1_u64..3, 0..KINDS.len(), 0_u8..3, 0_u32..200).prop_map(
            |(link, sequence_step, kind, headroom, wait_ms)|
                Step::Start { link, sequence_step, kind, headroom, wait_ms }
        ),
        5 => (link(), any::<Index>()).prop_map(|(link, sequence)| Step::Repeat { link, sequence }),
        4 => (link(), sequences(), any::<bool>())
            .prop_map(|(link, sequences, stop)| Step::Recall { link, sequences, stop }),
        4 => (link(), sequences()).prop_map(|(link, sequences)| Step::Inquire { link, sequences }),
        2 => link().prop_map(|link| Step::Disconnect { link }),
        10 => (any::<Index>(), outcome).prop_map(|(slot, outcome)| Step::End { slot, outcome }),
        5 => prop_oneof![0_u64..50, Just(6_000), Just(70_000)].prop_map(|ms| Step::Wait { ms }),
        1 => (1_u64..5, 1..=KINDS.len())
            .prop_map(|(revision, kinds)| Step::Apply { revision, kinds }),
        1 => prop_oneof![9 => Just(Step::Wait { ms: 1 }), 1 => Just(Step::Close)],
    ]
}

fn document(kinds: usize) -> Document {
    let kind = |name: &&str| Kind {
        name: (*name).to_owned(),
        urgency: Urgency::Normal,
        share_percent: 30,
        deadline_ms: 1000,
        timeout_ms: 5000,
        max_waiting: 100,
        idempotent: false,
    };
    Document {
        service: "s".to_owned(),
        team: "t".to_owned(),
        upstream_path: "/".to_owned(),
        quota_per_s: 0,
        max_milli_cpus: 1,
        max_memory_mb: 1,
        kinds: KINDS[..kinds].iter().map(kind).collect(),
    }
}

/// A connection that was opened earlier and may have been replaced since.
#[derive(Debug, Clone, Copy)]
struct Link {
    peer: Peer,
    entry: usize,
}

/// Expected state of the gate and its entries.
#[derive(Debug, Default)]
struct Model {
    links: Vec<Link>,
    current: HashMap<usize, Peer>,
    generation: [u32; ENTRIES],
    sequence: [u64; ENTRIES],
    /// Starts whose final outcome the entry has received; they determine the watermark.
    settled: HashSet<(usize, u64)>,
    called: HashSet<(usize, u64)>,
    not_run: HashSet<(usize, u64)>,
    /// Starts whose call ended before anything was sent to the upstream.
    unsent: HashSet<(usize, u64)>,
    open: Vec<(Slot, (usize, u64))>,
    ended: Vec<Slot>,
    closed: bool,
    now: u64,
}

impl Model {
    fn entry(&self, peer: Peer) -> usize {
        self.links.iter().find(|link| link.peer == peer).expect("peer was opened").entry
    }

    fn link(&self, index: &Index) -> Option<Link> {
        (!self.links.is_empty()).then(|| *index.get(&self.links))
    }

    fn watermark(&self, entry: usize) -> u64 {
        (1..=self.sequence[entry])
            .take_while(|&sequence| self.settled.contains(&(entry, sequence)))
            .last()
            .unwrap_or(0)
    }

    fn start(&self, gate: &mut Gate, link: Link, sequence: u64, options: (usize, u8, u32)) {
        let (kind, headroom, wait_ms) = options;
        let start = Start {
            sequence,
            settled: self.watermark(link.entry),
            job: "e-1-1-1",
            task: 0,
            kind: KINDS[kind],
            headroom,
            has_backlog: headroom == 0,
            wait_ms,
            payload: &[],
        };
        gate.start(link.peer, &start, self.now);
    }

    fn apply(&mut self, gate: &mut Gate, step: &Step) {
        match step {
            Step::Hello { entry, generation_step } => self.hello(gate, *entry, *generation_step),
            Step::Start { link, sequence_step, kind, headroom, wait_ms } => {
                let Some(link) = self.link(link) else { return };
                let sequence = self.sequence[link.entry] + sequence_step;
                if self.current.get(&link.entry) == Some(&link.peer) {
                    self.sequence[link.entry] = sequence;
                }
                self.start(gate, link, sequence, (*kind, *headroom, *wait_ms));
            }
            Step::Repeat { link, sequence } => {
                let Some(link) = self.link(link) else { return };
                let sequence = 1 + sequence.index(40) as u64;
                self.start(gate, link, sequence, (0, 0, 100));
            }
            Step::Recall { link, sequences, stop } => {
                let Some(link) = self.link(link) else { return };
                gate.recall(link.peer, sequences, *stop, self.now);
            }
            Step::Inquire { link, sequences } => {
                let Some(link) = self.link(link) else { return };
                gate.inquire(link.peer, sequences, self.now);
            }
            Step::Disconnect { link } => {
                let Some(link) = self.link(link) else { return };
                gate.disconnected(link.peer, self.now);
                if self.current.get(&link.entry) == Some(&link.peer) {
                    self.current.remove(&link.entry);
                }
            }
            Step::End { slot, outcome } => self.end(gate, slot, *outcome),
            Step::Wait { ms } => {
                self.now += ms * 1000;
                gate.tick(self.now);
            }
            Step::Apply { revision, kinds } => {
                gate.apply(&document(*kinds), *revision, self.now);
            }
            Step::Close => {
                gate.close(self.now);
                self.closed = true;
            }
        }
    }

    fn hello(&mut self, gate: &mut Gate, entry: usize, generation_step: u32) {
        let generation = self.generation[entry] + generation_step;
        let watermark = self.watermark(entry);
        let name = format!("e{entry}");
        match gate.hello(&name, 1, generation, watermark, self.now) {
            Ok(peer) => {
                assert!(generation_step > 0, "an equal generation was accepted");
                self.generation[entry] = generation;
                self.links.push(Link { peer, entry });
                self.current.insert(entry, peer);
            }
            Err(code) => assert_eq!((generation_step, code), (0, Code::Fenced)),
        }
    }

    /// Ends an open call, or repeats the end of an ended one.
    fn end(&mut self, gate: &mut Gate, slot: &Index, outcome: Outcome) {
        let count = self.open.len() + self.ended.len();
        if count == 0 {
            return;
        }
        let at = slot.index(count);
        let slot = if at < self.open.len() {
            let (slot, start) = self.open.swap_remove(at);
            self.ended.push(slot);
            if matches!(outcome, Outcome::NotRun(_)) {
                self.unsent.insert(start);
            }
            slot
        } else {
            self.ended[at - self.open.len()]
        };
        gate.finished(slot, outcome, vec![1, 2, 3], self.now);
    }

    fn check(&mut self, gate: &mut Gate) {
        let effects: Vec<Effect> = gate.drain().collect();
        for effect in effects {
            self.check_effect(effect);
        }
        assert_eq!(gate.running(), self.open.len());
        assert!(self.open.len() <= usize::from(SLOTS), "more calls than slots");
        assert!(gate.queued() <= usize::from(SLOTS) + KINDS.len(), "queue out of bounds");
    }

    fn check_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Call { slot, peer, sequence, .. } => {
                let start = (self.entry(peer), sequence);
                assert!(!self.closed, "a closed gate called the upstream");
                assert!(self.called.insert(start), "second call for {start:?}");
                assert!(!self.not_run.contains(&start), "call after not run for {start:?}");
                self.open.push((slot, start));
            }
            Effect::Refuse { peer, sequence, code, .. } => {
                assert_eq!(code.execution(), Execution::NotRun);
                self.record_not_run(peer, sequence);
            }
            Effect::Finish { peer, sequence, outcome, .. } => {
                let start = (self.current_entry(peer), sequence);
                let ran = matches!(outcome, Outcome::Done | Outcome::Failed(_));
                assert!(!ran || self.called.contains(&start), "end without a call");
                assert!(!matches!(outcome, Outcome::NotRun(_)));
                self.settled.insert(start);
            }
            Effect::Reports { peer, reports } | Effect::Recalled { peer, reports } => {
                for Report { sequence, status } in reports {
                    if status == Status::NotRun {
                        self.record_not_run(peer, sequence);
                    }
                }
            }
            Effect::Load { peer, .. } => {
                self.current_entry(peer);
            }
            Effect::Stop { slot } => assert!(self.open.iter().any(|call| call.0 == slot)),
            Effect::Close { peer } => assert!(!self.current.values().any(|&now| now == peer)),
        }
    }

    fn current_entry(&self, peer: Peer) -> usize {
        let entry = self.entry(peer);
        assert_eq!(self.current.get(&entry), Some(&peer), "effect for a closed connection");
        entry
    }

    /// Records a start reported as not run. The upstream must not have been called for it, unless
    /// the call ended before anything was sent.
    fn record_not_run(&mut self, peer: Peer, sequence: u64) {
        let start = (self.current_entry(peer), sequence);
        let ran = self.called.contains(&start) && !self.unsent.contains(&start);
        assert!(!ran, "not run after a call: {start:?}");
        self.not_run.insert(start);
        self.settled.insert(start);
    }

    /// Ends all calls and disconnects all entries, after which no state may be left.
    fn finish(&mut self, gate: &mut Gate) {
        while let Some((slot, _)) = self.open.pop() {
            gate.finished(slot, Outcome::Done, Vec::new(), self.now);
            self.check(gate);
        }
        for link in &self.links {
            gate.disconnected(link.peer, self.now);
        }
        self.current.clear();
        self.now += 61_000_000;
        gate.tick(self.now);
        self.check(gate);
        assert_eq!((gate.running(), gate.queued(), gate.records()), (0, 0, 0));
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, ..ProptestConfig::default() })]

    /// Guards against a second call for one start, a call after a report of "not run", effects of
    /// late messages, more calls than slots, an unbounded queue, and state left at the end.
    #[test]
    fn each_start_is_called_at_most_once(steps in prop::collection::vec(step(), 1..120)) {
        let mut gate = Gate::new(Settings::with_slots(SLOTS), 1);
        let mut model = Model::default();
        gate.apply(&document(2), 1, 0);
        for entry in 0..ENTRIES {
            model.hello(&mut gate, entry, 1);
        }
        for step in &steps {
            model.apply(&mut gate, step);
            model.check(&mut gate);
        }
        model.finish(&mut gate);
    }
}
