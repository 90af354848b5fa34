//! Guards against a submission that runs twice, and against refusals that state falsely whether it
//! ran.

use std::collections::{HashMap, HashSet};

use kingcup_dispatch::{
    code::{Code, Execution},
    id::{Home, Job},
    key::{
        window::{Seen, Window},
        Digest, Fault, Imported, Ledger, Limits, Owners, Part, Record, Request, Successor, Verdict,
        WINDOW,
    },
};
use proptest::prelude::*;
use rstest::rstest;

const SECOND: u64 = 1_000_000;
const ENTRIES: [&str; 3] = ["a", "b", "c"];

fn owners() -> Owners {
    Owners::new(ENTRIES.map(str::to_owned))
}

fn ledger(entry: &str, incarnation: u64) -> Ledger {
    Ledger::new(entry, incarnation, owners(), Limits::default(), 0)
}

fn job(home: &Home, sequence: u64) -> Job {
    Job { home: home.clone(), sequence }
}

fn record(code: Code, bytes: usize) -> Record {
    Record { code, body: vec![7; bytes].into() }
}

fn request(key: &str, first: bool) -> Request<'_> {
    Request { key, first, peers: owners().digest() }
}

fn successor(entry: &str, incarnation: u64) -> Successor<'_> {
    Successor { entry, incarnation }
}

/// Returns the keys that an entry owns.
fn keys_owned_by(entry: &str) -> impl Iterator<Item = String> + '_ {
    let owned = move |key: &String| owners().owner(key) == Some(entry);
    (0..).map(|number| format!("key{number}")).filter(owned)
}

fn key_owned_by(entry: &str) -> String {
    keys_owned_by(entry).next().unwrap()
}

/// Hands over all records to a successor, through the encoding used on the wire.
fn hand_over(
    from: &mut Ledger,
    (to, name): (&mut Ledger, &str),
    max: usize,
    now: u64,
) -> Result<Imported, Fault> {
    let mut parts = from.export(max, now);
    parts.extend(from.seal(successor(name, 1), now));
    let mut last = Ok(Imported::Stored);
    for part in parts {
        let bytes = postcard::to_allocvec(&part).unwrap();
        assert!(bytes.len() <= max, "part of {} bytes", bytes.len());
        last = to.import(postcard::from_bytes(&bytes).unwrap(), now);
    }
    last
}

/// Guards against a repeated submission that starts again, before or after its job has finished.
#[test]
fn a_repeated_submission_attaches_to_the_run_and_then_returns_its_answer() {
    let mut ledger = ledger("a", 1);
    let job = job(&ledger.issue_home(0), 5);
    assert_eq!(ledger.submit(&job, Digest(1), 0), Verdict::Fresh);
    assert_eq!(ledger.submit(&job, Digest(1), 1), Verdict::Running);
    assert_eq!(ledger.submit(&job, Digest(2), 1), Verdict::Refused(Code::BadRequest));
    let answer = record(Code::Complete, 10);
    assert!(ledger.finish(&job, answer.clone(), 2));
    assert!(!ledger.finish(&job, answer.clone(), 2));
    assert_eq!(ledger.submit(&job, Digest(1), 599 * SECOND), Verdict::Finished(answer));
    assert_eq!(ledger.submit(&job, Digest(1), 601 * SECOND), Verdict::Refused(Code::AnswerExpired));
}

/// Guards against codes that say "not run" for an ID that may have run, and against `Fresh` for an
/// unknown ID.
#[rstest]
#[case::evicted(Limits { clients: 1, ..Limits::default() }, 1, 9, Code::RecordExpired)]
#[case::never_issued(Limits::default(), 3, 9, Code::UnknownJob)]
#[case::zero(Limits::default(), 0, 9, Code::UnknownJob)]
#[case::below_the_window(Limits::default(), 2, 2_000 - 1_024, Code::RecordExpired)]
#[case::too_many_running(Limits { running: 1, ..Limits::default() }, 2, 9_999, Code::Overloaded)]
fn a_refusal_has_the_code_of_its_reason(
    #[case] limits: Limits,
    #[case] client: u64,
    #[case] sequence: u64,
    #[case] code: Code,
) {
    let mut ledger = Ledger::new("a", 1, owners(), limits, 0);
    ledger.issue_home(0);
    let home = ledger.issue_home(0);
    assert_eq!(ledger.submit(&job(&home, 2_000), Digest(1), 0), Verdict::Fresh);
    let job = job(&Home { client, ..home }, sequence);
    assert_eq!(ledger.submit(&job, Digest(1), 0), Verdict::Refused(code));
}

/// Guards against an outcome "not run" after which the same ID or key is refused.
#[test]
fn a_submission_that_did_not_run_may_be_repeated() {
    let mut ledger = ledger("a", 1);
    let (job, key) = (job(&ledger.issue_home(0), 1), key_owned_by("a"));
    for _ in 0..3 {
        assert_eq!(ledger.submit(&job, Digest(1), 0), Verdict::Fresh);
        assert!(ledger.finish(&job, record(Code::QueueFull, 10), 0));
        assert_eq!(ledger.lookup(&job, 0), Verdict::Refused(Code::UnknownJob));
        assert_eq!(ledger.submit_key(request(&key, true), Digest(1), 0), Verdict::Fresh);
        assert!(ledger.finish_key(&key, record(Code::QueueFull, 10), 0));
    }
    assert_eq!((ledger.running(), ledger.answer_bytes()), (0, 0));
}

/// Guards against answers above the size limit, and against a job that starts again once its answer
/// was dropped.
#[test]
fn the_oldest_answers_are_dropped_first_and_their_jobs_stay_known() {
    let limits = Limits { answer_bytes: 10_000, ..Limits::default() };
    let mut ledger = Ledger::new("a", 1, owners(), limits, 0);
    let home = ledger.issue_home(0);
    for sequence in 0..10 {
        ledger.submit(&job(&home, sequence), Digest(1), sequence);
        ledger.finish(&job(&home, sequence), record(Code::Complete, 3_000), sequence);
        assert!(ledger.answer_bytes() <= 10_000);
    }
    let expired = Verdict::Refused(Code::AnswerExpired);
    assert_eq!(ledger.submit(&job(&home, 0), Digest(1), 20), expired);
    assert!(matches!(ledger.submit(&job(&home, 9), Digest(1), 20), Verdict::Finished(_)));
}

/// Guards against a recently started owner that starts a key which an earlier incarnation ran, and
/// against a key's run by two owners whose lists of entries differ.
#[test]
fn a_recently_started_owner_starts_only_marked_first_attempts() {
    let keys: Vec<String> = keys_owned_by("a").take(3).collect();
    let (key, other) = (&keys[0], key_owned_by("b"));
    let mut ledger = ledger("a", 1);
    let too_recent = Verdict::Refused(Code::RecordExpired);
    assert_eq!(ledger.submit_key(request(key, false), Digest(1), SECOND), too_recent);
    assert_eq!(ledger.submit_key(request(key, true), Digest(1), SECOND), Verdict::Fresh);
    assert_eq!(ledger.submit_key(request(key, false), Digest(1), SECOND), Verdict::Running);
    let foreign = Verdict::Refused(Code::HomeUnreachable);
    assert_eq!(ledger.submit_key(request(&other, true), Digest(1), SECOND), foreign);
    let verdict = ledger.submit_key(request(&keys[1], false), Digest(1), 601 * SECOND);
    assert_eq!(verdict, Verdict::Fresh);
    let other_list = Request { peers: 0, ..request("new", false) };
    let refused = Verdict::Refused(Code::PeersDiffer);
    assert_eq!(ledger.submit_key(other_list, Digest(1), 700 * SECOND), refused);
    let digest = Digest(1);
    assert_eq!(ledger.submit_key(request(&keys[2], false), digest, 701 * SECOND), too_recent);
    ledger.mark_replaced();
    assert_eq!(ledger.submit_key(request(&keys[2], true), digest, 2_000 * SECOND), too_recent);
}

/// Guards against a key that starts again because its record was removed together with its answer,
/// before the end of the retention.
#[test]
fn keys_are_kept_without_their_answers_and_are_limited() {
    let limits = Limits { answer_bytes: 100, keys: 1, ..Limits::default() };
    let mut ledger = Ledger::new("a", 1, Owners::new(["a".to_owned()]), limits, 0);
    let peers = ledger.owners().digest();
    let submit = |ledger: &mut Ledger, key, now| {
        ledger.submit_key(Request { key, first: true, peers }, Digest(1), now)
    };
    assert_eq!(submit(&mut ledger, "k", 0), Verdict::Fresh);
    ledger.finish_key("k", record(Code::Complete, 1_000), 0);
    assert_eq!(submit(&mut ledger, "k", SECOND), Verdict::Refused(Code::AnswerExpired));
    assert_eq!(submit(&mut ledger, "l", SECOND), Verdict::Refused(Code::Overloaded));
    assert_eq!(submit(&mut ledger, "l", 600 * SECOND), Verdict::Fresh);
}

/// Guards against two owners of an ID during a handover, and against answers that it loses or
/// changes.
#[test]
fn a_successor_owns_the_ids_after_the_final_part() {
    let (mut a, mut b) = (ledger("a", 1), ledger("b", 1));
    let home = a.issue_home(0);
    for sequence in 0..40 {
        a.submit(&job(&home, sequence), Digest(1), 0);
        a.finish(&job(&home, sequence), record(Code::Complete, 500), 0);
    }
    a.submit(&job(&home, 50), Digest(1), 0);
    let parts = a.export(2_000, SECOND);
    let closing = Verdict::Refused(Code::Closing);
    assert_eq!(a.submit(&job(&home, 60), Digest(1), SECOND), closing);
    let last = a.seal(successor("b", 1), SECOND).unwrap();
    assert_eq!(a.seal(successor("b", 1), SECOND), None);
    assert_eq!(b.import(last.clone(), SECOND), Err(Fault::Incomplete));
    for part in parts.iter().chain(&parts).rev() {
        assert_eq!(b.import(part.clone(), SECOND), Ok(Imported::Stored));
        let lost = Verdict::Refused(Code::HomeLost);
        assert_eq!(b.submit(&job(&home, 0), Digest(1), SECOND), lost);
    }
    for _ in 0..2 {
        assert_eq!(b.import(last.clone(), SECOND), Ok(Imported::Adopted));
    }
    let answer = Verdict::Finished(record(Code::Complete, 500));
    assert_eq!(b.submit(&job(&home, 39), Digest(1), SECOND), answer);
    let unknown = Verdict::Refused(Code::RecordExpired);
    assert_eq!(b.submit(&job(&home, 50), Digest(1), SECOND), unknown);
    assert_eq!(b.submit(&job(&home, 60), Digest(1), SECOND), Verdict::Fresh);
    let lost = Verdict::Refused(Code::HomeLost);
    assert_eq!(a.submit(&job(&home, 60), Digest(1), SECOND), lost);
    let never = Home { client: 99, ..home };
    assert_eq!(b.submit(&job(&never, 0), Digest(1), 0), Verdict::Refused(Code::UnknownJob));
}

/// Guards against a second owner that a copy of the final part creates: another entry, or the
/// successor after a restart, which no longer knows the jobs that it started since.
#[rstest]
#[case::another_entry("c", 1)]
#[case::the_restarted_successor("b", 2)]
fn only_the_named_successor_adopts(#[case] entry: &str, #[case] incarnation: u64) {
    let (mut a, mut b) = (ledger("a", 1), ledger("b", 1));
    let job = job(&a.issue_home(0), 1);
    let mut parts = a.export(1_000, 0);
    parts.extend(a.seal(successor("b", 1), 0));
    assert!(parts.iter().all(|part| b.import(part.clone(), 0).is_ok()));
    assert_eq!(b.submit(&job, Digest(1), 0), Verdict::Fresh);
    let mut other = ledger(entry, incarnation);
    let last = parts.iter().map(|part| other.import(part.clone(), 0)).last().unwrap();
    assert_eq!(last, Err(Fault::Misdirected));
    assert_eq!(other.submit(&job, Digest(1), 0), Verdict::Refused(Code::HomeLost));
}

/// Guards against parts of an entry that died during its handover, which would use up the memory
/// for the imports of others.
#[test]
fn unfinished_imports_are_limited_and_expire() {
    let limits = Limits { answer_bytes: 1_000, clients: 1, keys: 0, ..Limits::default() };
    let mut to = Ledger::new("c", 1, owners(), limits, 0);
    let part = |entry: &str| {
        let mut from = ledger(entry, 1);
        let job = job(&from.issue_home(0), 1);
        from.submit(&job, Digest(1), 0);
        from.finish(&job, record(Code::Complete, 400), 0);
        from.export(10_000, 0).remove(0)
    };
    assert_eq!(to.import(part("a"), 0), Ok(Imported::Stored));
    assert_eq!(to.import(part("b"), 0), Err(Fault::Full));
    assert_eq!(to.import(part("b"), 301 * SECOND), Ok(Imported::Stored));
}

/// Guards against a successor that starts keys of a stopped entry, which a new process with that
/// entry's name would start again.
#[test]
fn a_successor_starts_none_of_the_stopped_entrys_keys() {
    let (mut a, mut b) = (ledger("a", 1), ledger("b", 1));
    assert_eq!(hand_over(&mut a, (&mut b, "b"), 900, 0), Ok(Imported::Adopted));
    let key = key_owned_by("a");
    let now = 2_000 * SECOND;
    let first = b.submit_key(request(&key, true), Digest(1), now);
    assert_eq!(first, Verdict::Refused(Code::HomeUnreachable));
    let unmarked = b.submit_key(request(&key, false), Digest(1), now);
    assert_eq!(unmarked, Verdict::Refused(Code::RecordExpired));
}

/// Guards against parts larger than a frame, and against keys that a handover loses.
#[test]
fn parts_stay_within_the_size_limit_and_contain_the_keys() {
    let (mut a, mut b, mut c) = (ledger("a", 1), ledger("b", 1), ledger("c", 1));
    let key = key_owned_by("a");
    assert_eq!(a.submit_key(request(&key, true), Digest(u128::MAX), 0), Verdict::Fresh);
    assert!(a.finish_key(&key, record(Code::Complete, 100), 0));
    for _ in 0..50 {
        let home = a.issue_home(0);
        for sequence in (u64::MAX - 1_000..=u64::MAX).step_by(50) {
            a.submit(&job(&home, sequence), Digest(u128::MAX), 0);
            let body = (sequence % 1_000) as usize;
            a.finish(&job(&home, sequence), record(Code::TaskFailed, body), SECOND);
        }
    }
    assert_eq!(hand_over(&mut a, (&mut b, "b"), 900, SECOND), Ok(Imported::Adopted));
    assert_eq!(hand_over(&mut b, (&mut c, "c"), 900, 2 * SECOND), Ok(Imported::Adopted));
    let answer = Verdict::Finished(record(Code::Complete, 100));
    assert_eq!(c.submit_key(request(&key, false), Digest(u128::MAX), SECOND), answer);
    let mut adopted: Vec<_> = c.adopted().collect();
    adopted.sort_unstable();
    assert_eq!(adopted, [("a", 1), ("b", 1)]);
}

#[derive(Debug, Clone)]
enum Step {
    Token { entry: usize },
    Submit { to: usize, id: usize, key: bool },
    Finish { at: usize, id: usize, code: Code },
    Crash { entry: usize },
    Send { from: usize, to: usize, rounds: u8, last: bool },
    Wait { seconds: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let entry = 0..ENTRIES.len();
    let code = prop::sample::select(vec![Code::Complete, Code::UpstreamLost, Code::Overloaded]);
    prop_oneof![
        2 => entry.clone().prop_map(|entry| Step::Token { entry }),
        9 => (entry.clone(), 0usize..64, any::<bool>())
            .prop_map(|(to, id, key)| Step::Submit { to, id, key }),
        5 => (entry.clone(), 0usize..64, code)
            .prop_map(|(at, id, code)| Step::Finish { at, id, code }),
        1 => entry.clone().prop_map(|entry| Step::Crash { entry }),
        2 => (entry.clone(), entry, 1u8..3, any::<bool>())
            .prop_map(|(from, to, rounds, last)| Step::Send { from, to, rounds, last }),
        2 => (0u64..400).prop_map(|seconds| Step::Wait { seconds }),
    ]
}

/// Model of three entries that crash, restart and hand over, with the submissions that they
/// started.
struct Model {
    ledgers: Vec<Ledger>,
    incarnations: Vec<u64>,
    incarnation: u64,
    homes: Vec<Home>,
    /// Incarnations whose records were lost in a crash.
    lost: HashSet<(String, u64)>,
    /// Incarnations whose IDs each entry owns.
    owned: Vec<HashSet<(String, u64)>>,
    /// Jobs that were answered `Fresh` and did not end as not run.
    started: HashSet<Job>,
    attempted: HashSet<String>,
    /// Entry that started a key, and when that run ended; `None` while it runs.
    keys: HashMap<String, (usize, Option<u64>)>,
    /// Parts of the last handover, which the next one repeats.
    replays: Vec<Part>,
    now: u64,
}

impl Model {
    fn new() -> Self {
        let mut model = Self {
            ledgers: Vec::new(),
            incarnations: Vec::new(),
            incarnation: 0,
            homes: Vec::new(),
            lost: HashSet::new(),
            owned: Vec::new(),
            started: HashSet::new(),
            attempted: HashSet::new(),
            keys: HashMap::new(),
            replays: Vec::new(),
            now: 0,
        };
        for entry in ENTRIES {
            let (ledger, owned) = model.start(entry);
            model.ledgers.push(ledger);
            model.owned.push(owned);
            model.incarnations.push(model.incarnation);
        }
        model
    }

    fn start(&mut self, entry: &str) -> (Ledger, HashSet<(String, u64)>) {
        self.incarnation += 1;
        let limits = Limits { clients: 3, answer_bytes: 700, ..Limits::default() };
        let ledger = Ledger::new(entry, self.incarnation, owners(), limits, self.now);
        (ledger, HashSet::from([(entry.to_owned(), self.incarnation)]))
    }

    fn job(&self, id: usize) -> Option<Job> {
        let home = self.homes.get(id / 4 % self.homes.len().max(1))?;
        Some(job(home, [0, 1, 1_500, 900][id % 4]))
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Token { entry } => self.homes.push(self.ledgers[entry].issue_home(self.now)),
            Step::Submit { to, id, key: true } => self.submit_key(to, id),
            Step::Submit { to, id, key: false } => self.submit(to, id),
            Step::Finish { at, id, code } => self.finish(at, id, code),
            Step::Crash { entry } => self.crash(entry),
            Step::Send { from, to, rounds, last } => self.send(from, to, rounds, last),
            Step::Wait { seconds } => self.now += seconds * SECOND,
        }
    }

    fn submit(&mut self, to: usize, id: usize) {
        let Some(job) = self.job(id) else { return };
        if self.ledgers[to].submit(&job, Digest(1), self.now) == Verdict::Fresh {
            let home = (job.home.entry.clone(), job.home.incarnation);
            assert!(!self.lost.contains(&home), "started for a lost incarnation: {job}");
            assert!(self.started.insert(job.clone()), "started twice: {job}");
        }
    }

    fn submit_key(&mut self, to: usize, id: usize) {
        let key = format!("k{}", id % 8);
        let first = self.attempted.insert(key.clone());
        if self.ledgers[to].submit_key(request(&key, first), Digest(1), self.now) == Verdict::Fresh
        {
            if let Some((_, end)) = self.keys.insert(key.clone(), (to, None)) {
                let end = end.expect("started while running");
                assert!(end + 600 * SECOND <= self.now, "started twice: {key}");
            }
        }
    }

    fn finish(&mut self, at: usize, id: usize, code: Code) {
        let not_run = code.execution() == Execution::NotRun;
        if let Some(job) = self.job(id) {
            if self.ledgers[at].finish(&job, record(code, 100), self.now) && not_run {
                self.started.remove(&job);
            }
        }
        let key = format!("k{}", id % 8);
        if self.ledgers[at].finish_key(&key, record(code, 100), self.now) {
            let end = (!not_run).then_some(self.now);
            match end {
                Some(_) => drop(self.keys.insert(key, (at, end))),
                None => drop(self.keys.remove(&key)),
            }
        }
    }

    fn crash(&mut self, entry: usize) {
        self.now += 1;
        let (ledger, owned) = self.start(ENTRIES[entry]);
        self.ledgers[entry] = ledger;
        self.incarnations[entry] = self.incarnation;
        self.lost.extend(std::mem::replace(&mut self.owned[entry], owned));
        for (at, end) in self.keys.values_mut() {
            if *at == entry {
                end.get_or_insert(self.now);
            }
        }
    }

    /// Hands over records, after a repetition of the last handover's parts. The sender runs on
    /// until it crashes.
    fn send(&mut self, from: usize, to: usize, rounds: u8, last: bool) {
        if from == to {
            return;
        }
        let mut parts = Vec::new();
        for _ in 0..rounds {
            parts = self.ledgers[from].export(1_000, self.now);
        }
        if last {
            let successor = successor(ENTRIES[to], self.incarnations[to]);
            parts.extend(self.ledgers[from].seal(successor, self.now));
        }
        let sender = (ENTRIES[from], self.incarnations[from]);
        let replays = std::mem::replace(&mut self.replays, parts.clone());
        for part in replays.into_iter().chain(parts) {
            let is_final = part.last.is_some();
            let from_sender = (part.entry.as_str(), part.incarnation) == sender;
            let adopted = self.ledgers[to].import(part, self.now) == Ok(Imported::Adopted);
            if is_final && from_sender && adopted {
                let moved = std::mem::take(&mut self.owned[from]);
                self.owned[to].extend(moved);
            }
        }
    }
}

proptest! {
    /// Guards against a window that loses the state of a sequence it covers, or mixes up two of
    /// them.
    #[test]
    fn a_window_is_exact_for_the_sequences_it_covers(
        steps in prop::collection::vec((0u64..3_000, any::<bool>()), 1..200),
        base in prop::sample::select(vec![0, u64::MAX - 3_000]),
    ) {
        let mut window = Window::default();
        let (mut expected_states, mut highest) = (HashMap::new(), 0);
        for (offset, ran) in steps {
            let sequence = base + offset;
            let seen = if ran { Seen::Ran } else { Seen::Started };
            window.set(sequence, seen);
            highest = highest.max(sequence);
            expected_states.insert(sequence, seen);
            for checked in base..base + 3_000 {
                let expected = match expected_states.get(&checked) {
                    _ if checked <= highest && highest - checked >= WINDOW => Seen::Below,
                    Some(seen) => *seen,
                    None => Seen::Never,
                };
                prop_assert_eq!(window.seen(checked), expected, "sequence {}", checked);
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Guards against a second start of a job or key for any order of submissions, evictions,
    /// crashes and handovers, and against a start for an incarnation that crashed and lost its
    /// records.
    #[test]
    fn nothing_starts_twice(steps in prop::collection::vec(step(), 1..120)) {
        let mut model = Model::new();
        for step in steps {
            model.apply(&step);
        }
    }
}
