//! Processor time and memory of decisions, measured on the real clock.

use std::{
    alloc::{GlobalAlloc, Layout, System},
    collections::VecDeque,
    sync::{
        atomic::{AtomicIsize, Ordering},
        Arc,
    },
    time::Instant,
};

use kingcup_dispatch::{
    engine::{Action, End, Engine, Finish, Settings, Submission},
    route::{Load, Upstream},
};
use serde_json::json;

use crate::{
    report::Table,
    work::{self, Flow},
};

/// Slots of each upstream.
const SLOTS: u16 = 8;
/// Tasks that are timed.
const TASKS: usize = 200_000;
/// Tasks that wait when their memory is measured.
const WAITING: usize = 900;

/// System allocator that counts the bytes in use.
#[derive(Debug)]
pub struct Counting(AtomicIsize);

impl Counting {
    /// Starts at 0.
    pub const fn new() -> Self {
        Self(AtomicIsize::new(0))
    }

    /// Bytes in use.
    pub fn bytes(&self) -> isize {
        self.0.load(Ordering::Relaxed)
    }
}

impl Default for Counting {
    fn default() -> Self {
        Self::new()
    }
}

// SAFETY: passes every call on to the system allocator unchanged.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        self.0.fetch_add(layout.size() as isize, Ordering::Relaxed);
        // SAFETY: the caller's promises are those that the system allocator asks for.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        self.0.fetch_sub(layout.size() as isize, Ordering::Relaxed);
        // SAFETY: as above.
        unsafe { System.dealloc(pointer, layout) }
    }
}

fn engine(flows: &[Flow], upstreams: usize) -> Engine {
    let settings = Settings { zone: "a".to_owned(), max_bytes: 64 << 20 };
    let mut engine = Engine::open(settings, 1);
    engine.apply(&work::document(flows), 1, 0);
    for index in 0..upstreams {
        let zone = ["a", "b", "c", "d"][index % 4];
        engine.connected(&format!("upstream{index}"), zone, 1, SLOTS, &idle(), 0);
    }
    engine
}

fn idle() -> Load<'static> {
    Load { revision: 1, running: &[0, 0, 0], queued: 0, window: 2 * SLOTS }
}

fn submission<'a>(kind: &'a str, payloads: &'a [Arc<[u8]>]) -> Submission<'a> {
    Submission {
        kind,
        single: true,
        payloads,
        declared_ms: None,
        milli_cpus: None,
        memory_mb: None,
    }
}

/// Nanoseconds from submission to answer of a task, without messages, at 70% of the slots taken and
/// with all slots taken.
fn decision_ns(flows: &[Flow], upstreams: usize, saturated: bool) -> f64 {
    let mut engine = engine(flows, upstreams);
    let payloads: Vec<Arc<[u8]>> = vec![Arc::from(&b"x"[..])];
    let slots = upstreams * usize::from(SLOTS);
    let limit = if saturated { slots + 50 } else { slots * 7 / 10 };
    let mut running: VecDeque<(Upstream, u64)> = VecDeque::new();
    let body: Arc<[u8]> = Arc::from(&b"y"[..]);
    let mut now_us = 0;
    let mut submitted = 0;
    let mut done = 0;
    let begin = Instant::now();
    while done < TASKS {
        now_us += 100;
        while submitted - done < limit {
            let kind = flows[submitted % flows.len()].name;
            submitted += usize::from(engine.submit(&submission(kind, &payloads), now_us).is_ok());
        }
        let starts = engine.actions().drain(..).filter_map(|action| match action {
            Action::Start(start) => Some((start.upstream, start.sequence)),
            _ => None,
        });
        running.extend(starts);
        let (upstream, sequence) = running.pop_front().expect("something runs");
        let finish = Finish {
            sequence,
            end: End::Done,
            queue_us: 0,
            run_us: 300_000,
            load: idle(),
            body: body.clone(),
        };
        engine.finish(upstream, &finish, now_us);
        done += 1;
    }
    begin.elapsed().as_nanos() as f64 / TASKS as f64
}

/// Cost of a task by size of the fleet, and memory.
pub fn table(flows: &[Flow], counting: &Counting) -> Table {
    let columns = [
        "upstreams",
        "ns/task at 70%",
        "ns/task saturated",
        "bytes/upstream",
        "bytes/waiting task",
    ];
    let mut table = Table::new("Cost of a decision", &columns);
    for upstreams in [10, 1_000] {
        let before = counting.bytes();
        let mut small = engine(flows, 0);
        let without = counting.bytes();
        let full = engine(flows, upstreams);
        let fleet_bytes = (counting.bytes() - without) - (without - before);
        drop(full);
        for index in 0..2 {
            small.connected(&format!("upstream{index}"), "a", 1, SLOTS, &idle(), 0);
        }
        let payloads: Vec<Arc<[u8]>> = vec![Arc::from(&b"x"[..])];
        let filled = counting.bytes();
        let mut accepted = 0;
        while accepted < WAITING {
            let kind = flows[accepted % flows.len()].name;
            if small.submit(&submission(kind, &payloads), 0).is_err() {
                break;
            }
            accepted += 1;
        }
        small.actions().clear();
        small.actions().shrink_to_fit();
        let waiting = small.counts().waiting.max(1);
        let waiting_bytes = (counting.bytes() - filled) / waiting as isize;
        table.rows.push(vec![
            json!(upstreams),
            json!(decision_ns(flows, upstreams, false)),
            json!(decision_ns(flows, upstreams, true)),
            json!(fleet_bytes / upstreams as isize),
            json!(waiting_bytes),
        ]);
    }
    table
}
