//! Measures time and memory of the records, membership, health, quotas and retries.
//!
//! Prints a table. Each time is the median of repeated rounds, and its ratio to a lookup in a
//! standard hash map of 1,000 numbers, measured in the same run, so that machines can be compared.

use std::{
    alloc::{GlobalAlloc, Layout, System},
    collections::HashMap,
    hint::black_box,
    sync::atomic::{AtomicIsize, Ordering},
    time::Instant,
};

use kingcup_dispatch::{
    code::Code,
    health::Health,
    id::{Home, Job},
    key::{answers, Digest, Ledger, Limits, Owners, Record, Request, Successor},
    member::{Announcement, Contact, Members, Report},
    quota::Quota,
    retry::{Attempt, Budget},
};

/// Rounds of a measurement; the median is reported.
const ROUNDS: usize = 7;
/// Operations in a round, where nothing else limits them.
const OPERATIONS: u64 = 20_000;
/// Sizes of the fleet.
const FLEETS: [u64; 3] = [10, 200, 1_000];
/// Largest part of a handover, in bytes.
const PART_BYTES: usize = 1 << 20;

const SECOND_US: u64 = 1_000_000;

/// The system's allocator with a count of the bytes in use.
struct Counting;

static IN_USE: AtomicIsize = AtomicIsize::new(0);

// SAFETY: every call is passed on unchanged to the system's allocator.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        IN_USE.fetch_add(layout.size() as isize, Ordering::Relaxed);
        // SAFETY: the caller's obligations are those of the system's allocator.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        IN_USE.fetch_sub(layout.size() as isize, Ordering::Relaxed);
        // SAFETY: as above.
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

/// Prints rows of the table.
struct Table {
    baseline_ns: f64,
}

impl Table {
    fn time(&self, what: &str, size: u64, mut round: impl FnMut() -> u64) {
        let ns = median(&mut round);
        let ratio = ns / self.baseline_ns;
        println!("| {what} | {size} | {ns:.0} ns | {ratio:.1} |");
    }

    fn memory<T>(&self, what: &str, count: u64, make: impl FnOnce() -> T) -> T {
        let before = IN_USE.load(Ordering::Relaxed);
        let made = make();
        let bytes = IN_USE.load(Ordering::Relaxed) - before;
        println!("| {what} | {count} | {} B each, {bytes} B in all | |", bytes / count as isize);
        made
    }
}

/// Nanoseconds for one operation; a round returns how many it did.
fn median(round: &mut impl FnMut() -> u64) -> f64 {
    let mut times: Vec<f64> = (0..ROUNDS)
        .map(|_| {
            let start = Instant::now();
            let operations = round();
            start.elapsed().as_nanos() as f64 / operations.max(1) as f64
        })
        .collect();
    times.sort_by(f64::total_cmp);
    times[ROUNDS / 2]
}

fn main() {
    if std::env::args().skip(1).any(|argument| argument == "-h" || argument == "--help") {
        println!("Usage: kingcup-bench-membership\n\nMeasures all sizes; there are no options.");
        return;
    }
    let numbers: HashMap<u64, u64> = (0..1_000).map(|number| (number, number)).collect();
    let baseline_ns = median(&mut || {
        (0..OPERATIONS).for_each(|at| {
            black_box(numbers.get(&(at % 1_000)));
        });
        OPERATIONS
    });
    println!("Baseline: {baseline_ns:.1} ns\n");
    println!("| Operation | Size | Result | Ratio |\n|---|---|---|---|");
    let table = Table { baseline_ns };
    ledger(&table);
    keys(&table);
    full(&table);
    handover();
    for size in FLEETS {
        members(&table, size);
        health(&table, size);
    }
    for entries in [3, 10, 200] {
        quota(&table, entries);
    }
    retry(&table);
}

fn open(entry: &str, incarnation: u64) -> Ledger {
    let owners = Owners::new(["a".to_owned()]);
    Ledger::new(entry, incarnation, owners, Limits::default(), 0)
}

fn record(bytes: usize) -> Record {
    Record { code: Code::Complete, body: vec![1; bytes].into() }
}

fn job(home: &Home, sequence: u64) -> Job {
    Job { home: home.clone(), sequence }
}

/// Runs jobs of one client after another, each from start to end.
fn run_jobs(ledger: &mut Ledger, homes: &[Home], from: u64, count: u64, body: usize, now: u64) {
    for number in from..from + count {
        let client = &homes[number as usize % homes.len()];
        let job = job(client, number / homes.len() as u64);
        black_box(ledger.submit(&job, Digest(1), now));
        ledger.finish(&job, record(body), now);
    }
}

fn ledger(table: &Table) {
    let limits = Limits::default();
    let clients = limits.clients as u64;
    let mut ledger = open("a", 1);
    let mut homes: Vec<Home> = Vec::with_capacity(limits.clients);
    table.memory("client, unused, and its token", clients, || {
        homes.extend((0..clients).map(|_| ledger.issue_home(0)));
    });
    table.memory("client's window and one running job", clients, || {
        for home in &homes {
            ledger.submit(&job(home, 0), Digest(1), 0);
        }
    });
    table.memory("one more running job", clients, || {
        for home in &homes {
            ledger.submit(&job(home, 1), Digest(1), 0);
        }
    });
    table.memory("that job's record, without a body", clients, || {
        for home in &homes {
            ledger.finish(&job(home, 1), record(0), 0);
        }
    });
    for clients in [10, 200, 1_000] {
        let mut ledger = open("a", 1);
        let homes: Vec<Home> = (0..clients).map(|_| ledger.issue_home(0)).collect();
        let (mut at, mut now) = (0, 0);
        table.time("job: submit and finish, 100 B of answer", clients, || {
            now += SECOND_US;
            run_jobs(&mut ledger, &homes, at, OPERATIONS, 100, now);
            at += OPERATIONS;
            OPERATIONS
        });
        table.time("job: repetition of a finished one", clients, || {
            for number in 0..OPERATIONS {
                let client = &homes[(number % clients) as usize];
                let sequence = at / clients - 1;
                black_box(ledger.submit(&job(client, sequence), Digest(1), now));
            }
            OPERATIONS
        });
    }
}

fn keys(table: &Table) {
    let mut ledger = open("a", 1);
    let peers = ledger.owners().digest();
    let name = |number: u64| format!("log-desk/{number:027}");
    let count = Limits::default().keys as u64 / 2;
    table.memory("idempotency key of 36 B, finished without a body", count, || {
        for number in 0..count {
            let key = name(number);
            ledger.submit_key(Request { key: &key, first: true, peers }, Digest(1), 0);
            ledger.finish_key(&key, record(0), 0);
        }
    });
    let mut at = count;
    table.time("key: submit and finish", count, || {
        let operations = 2_000;
        for number in at..at + operations {
            let key = name(number);
            black_box(ledger.submit_key(Request { key: &key, first: true, peers }, Digest(1), 0));
            ledger.finish_key(&key, record(0), 0);
        }
        at += operations;
        operations
    });
}

/// Fills every table of a ledger to its limit.
fn full(table: &Table) {
    let limits = Limits::default();
    table.memory("ledger with every table full, records without a body", 1, || {
        let mut ledger = open("a", 1);
        let peers = ledger.owners().digest();
        for number in 0..limits.keys as u64 {
            let key = format!("log-desk/{number:027}");
            ledger.submit_key(Request { key: &key, first: true, peers }, Digest(1), 0);
            ledger.finish_key(&key, record(0), 0);
        }
        let homes: Vec<Home> = (0..limits.clients).map(|_| ledger.issue_home(0)).collect();
        let records = 2 * limits.answer_bytes / answers::RECORD_BYTES;
        run_jobs(&mut ledger, &homes, 0, records as u64, 0, SECOND_US);
        for number in 0..limits.running {
            let home = &homes[number % homes.len()];
            ledger.submit(&job(home, 1_000_000 + number as u64), Digest(1), SECOND_US);
        }
        ledger
    });
}

fn handover() {
    let mut ledger = open("a", 1);
    let homes: Vec<Home> = (0..1_000).map(|_| ledger.issue_home(0)).collect();
    run_jobs(&mut ledger, &homes, 0, 50_000, 1_000, 0);
    println!("| answers kept when 16 MiB are full | 1000 | {} B | |", ledger.answer_bytes());
    let start = Instant::now();
    let parts = ledger.export(PART_BYTES, SECOND_US);
    let exported = start.elapsed();
    let successor = Successor { entry: "b", incarnation: 1 };
    let last = ledger.seal(successor, SECOND_US);
    let mut to = open("b", 1);
    let start = Instant::now();
    let count = parts.len();
    for part in parts.into_iter().chain(last) {
        to.import(part, SECOND_US).expect("parts are complete and in order");
    }
    let imported = start.elapsed();
    println!("| handover of all: export, import | {count} parts | {exported:?}, {imported:?} | |");
}

fn contact(name: &str, zone: &str) -> Contact {
    let address = "127.0.0.1:4000".to_owned();
    Contact { name: name.to_owned(), incarnation: 1, address, zone: zone.to_owned() }
}

fn announcement(name: &str, sequence: u64) -> Announcement<'_> {
    Announcement {
        name,
        incarnation: 1,
        sequence,
        service: "log-desk",
        zone: "tz-east-1",
        address: "127.0.0.1:4000",
        slots: 8,
        closing: false,
        revision: 1,
        bytes: 128,
    }
}

fn members(table: &Table, size: u64) {
    let names: Vec<String> = (0..size).map(|number| format!("sidecar{number:04}")).collect();
    let mut members = Members::new("entry1", "tz-east-1", [], 0);
    table.memory("member", size, || {
        for name in &names {
            members.handle_announcement(&announcement(name, 1), 0);
        }
    });
    let mut sequence = 1;
    table.time("member: announcement", size, || {
        let rounds = OPERATIONS / size;
        for _ in 0..rounds {
            sequence += 1;
            for name in &names {
                black_box(members.handle_announcement(&announcement(name, sequence), SECOND_US));
            }
        }
        rounds * size
    });
    let ids: Vec<_> = names
        .iter()
        .filter_map(|name| members.find(kingcup_dispatch::member::Role::Sidecar, name))
        .collect();
    table.time("member: traffic heard", size, || {
        for number in 0..OPERATIONS {
            black_box(members.note_received(ids[(number % size) as usize], SECOND_US));
        }
        OPERATIONS
    });
    table.time("member: tick of the whole table", size, || {
        for _ in 0..100 {
            black_box(members.tick(SECOND_US));
        }
        100
    });
    println!("| member: interval asked | {size} | {} ms | |", members.interval_us() / 1_000);
    let entries: Vec<Contact> = (0..24)
        .map(|number| contact(&format!("entry{number}"), ["a-1", "b-1", "c-1"][number % 3]))
        .collect();
    let mut sidecar = Members::new("sidecar1", "a-1", entries.iter().cloned(), 0);
    for from in &entries {
        let report = Report {
            from: from.clone(),
            sequence: 1,
            closing: false,
            revisions: &[("log-desk", 1)],
            adopted: &[],
            entries: &[],
        };
        sidecar.handle_digest(&report, 0);
    }
    table.time("member: subset of 24 entries", 24, || {
        (0..100).for_each(|_| drop(black_box(sidecar.subset())));
        100
    });
}

fn health(table: &Table, size: u64) {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut health: Health<u32> = Health::new(0);
    table.memory("health: upstream with eight failing jobs", size, || {
        for upstream in 0..size as u32 {
            health.add(upstream);
            for job in 0..8 {
                health.failed(upstream, u64::from(upstream) * 8 + job, 0);
                health.succeeded(upstream, u64::MAX, 8, 0);
            }
        }
    });
    let mut next_job = 1 << 40;
    table.time("health: success of a new job", size, || {
        for _ in 0..OPERATIONS {
            next_job += 1;
            black_box(health.succeeded(rng.u32(..size as u32), next_job, 8, 0));
        }
        OPERATIONS
    });
    table.time("health: allowance", size, || {
        for _ in 0..OPERATIONS {
            black_box(health.allowance(rng.u32(..size as u32), 8, 0));
        }
        OPERATIONS
    });
    table.time("health: failure of a new job, all upstreams failing", size, || {
        for _ in 0..1_000 {
            next_job += 1;
            black_box(health.failed(rng.u32(..size as u32), next_job, 0));
        }
        1_000
    });
}

fn quota(table: &Table, entries: u64) {
    let mut quota = Quota::new(70_000, entries as usize, 0);
    table.memory("quota: peer", entries, || {
        for peer in 1..entries {
            quota.record_demand(&format!("entry{peer}"), 1_000, 0);
        }
    });
    let mut now = 0;
    table.time("quota: decision on a job", entries, || {
        for _ in 0..OPERATIONS {
            now += 10;
            black_box(quota.admit(1, now));
        }
        OPERATIONS
    });
}

fn retry(table: &Table) {
    let mut budget = Budget::new();
    let attempt = Attempt { idempotent: true, retries: 0 };
    let mut now = 0;
    table.time("retry: first attempt, end and decision", 1, || {
        for _ in 0..OPERATIONS {
            now += 100;
            budget.record_first(now);
            budget.record_end(true, now);
            black_box(budget.try_retry(attempt, Code::UpstreamLost, now));
        }
        OPERATIONS
    });
}
