//! Guards against an older document that comes into force, at a running process or at one that
//! starts while the store is down.

use kingcup_dispatch::config::{
    is_watcher, watchers, Source, Store, Verdict, Version, FETCH_TIMEOUT_MS,
};
use proptest::prelude::*;
use serde_json::json;

const SETTLE_MS: u64 = 1_000;

fn version(revision: u64) -> Version {
    let kind = json!({"name": "push", "urgency": "high", "share_percent": 50, "deadline_ms": 500,
                      "timeout_ms": 2000, "max_waiting": 100});
    let document = json!({"service": "log-desk", "team": "desk", "upstream_path": "/run",
                          "kinds": [kind]});
    let text = json!({"revision": revision, "changes": [], "document": document}).to_string();
    Version::parse(&text).unwrap()
}

fn peers_asked(store: &mut Store, now_ms: u64) -> Vec<(String, u64)> {
    store.fetches(now_ms).into_iter().map(|fetch| (fetch.peer, fetch.revision)).collect()
}

#[test]
fn a_process_that_starts_while_the_store_is_down_applies_its_peers_highest_revision() {
    let mut store = Store::open(0, SETTLE_MS, 0);
    store.report("a", "log-desk", 5);
    assert_eq!(store.offer(version(5), Source::Peer, 10), Verdict::Kept);
    store.report("b", "log-desk", 6);
    assert!(store.fetches(SETTLE_MS - 1).is_empty());
    assert!(store.tick(SETTLE_MS).is_empty(), "5 is known to be superseded");
    assert_eq!(peers_asked(&mut store, SETTLE_MS), [("b".to_owned(), 6)]);
    assert_eq!(store.offer(version(5), Source::Peer, SETTLE_MS), Verdict::Kept);
    assert_eq!(store.offer(version(6), Source::Peer, SETTLE_MS), Verdict::Applied);
    assert!(store.fetches(SETTLE_MS + FETCH_TIMEOUT_MS).is_empty());
}

#[test]
fn a_starting_process_does_not_wait_for_a_peer_that_has_left() {
    let mut store = Store::open(0, SETTLE_MS, 0);
    store.report("a", "log-desk", 5);
    store.report("b", "log-desk", 6);
    store.offer(version(5), Source::Peer, 10);
    store.forget("b");
    assert_eq!(store.tick(SETTLE_MS), ["log-desk"]);
}

#[test]
fn reports_from_all_peers_end_the_settle_time() {
    let mut store = Store::open(0, SETTLE_MS, 2);
    store.report("a", "log-desk", 5);
    store.report("b", "log-desk", 0);
    assert!(store.fetches(1).is_empty());
    store.report("b", "log-desk", 5);
    assert_eq!(peers_asked(&mut store, 1), [("a".to_owned(), 5)]);
}

#[test]
fn an_unanswered_fetch_goes_to_another_peer() {
    let mut store = Store::open(0, 0, 0);
    store.report("a", "log-desk", 2);
    store.report("b", "log-desk", 2);
    assert_eq!(peers_asked(&mut store, 0), [("a".to_owned(), 2)]);
    assert!(store.fetches(FETCH_TIMEOUT_MS - 1).is_empty());
    assert_eq!(peers_asked(&mut store, FETCH_TIMEOUT_MS), [("b".to_owned(), 2)]);
    store.note_unreachable("log-desk", "b");
    assert_eq!(peers_asked(&mut store, FETCH_TIMEOUT_MS + 1), [("a".to_owned(), 2)]);
}

#[test]
fn a_document_from_the_store_is_in_force_at_once() {
    let mut store = Store::open(0, SETTLE_MS, 0);
    assert_eq!(store.offer(version(3), Source::Store, 0), Verdict::Applied);
    assert_eq!(store.offer(version(2), Source::Store, 0), Verdict::Stale);
    assert_eq!(store.revisions(), [("log-desk", 3)]);
}

#[test]
fn the_two_entries_with_the_lowest_names_watch_the_store() {
    assert_eq!(watchers(["c", "a", "b"]), ["a", "b"]);
    assert!(is_watcher("b", ["c", "a"]));
    assert!(!is_watcher("c", ["a", "b"]));
}

proptest! {
    /// In any order of documents, reports and pauses, the revision in force never decreases, and
    /// the newest reported revision comes into force once it was fetched.
    #[test]
    fn the_revision_in_force_never_decreases(
        steps in proptest::collection::vec((0u8..5, 1u64..20, 0u64..400), 1..80),
    ) {
        let mut store = Store::open(0, SETTLE_MS, 0);
        let (mut now_ms, mut last) = (0, 0);
        for (step, revision, wait_ms) in steps {
            now_ms += wait_ms;
            match step {
                0 => drop(store.offer(version(revision), Source::Store, now_ms)),
                1 => drop(store.offer(version(revision), Source::Peer, now_ms)),
                2 => store.report("a", "log-desk", revision),
                3 => store.report("b", "log-desk", revision),
                _ => drop(store.tick(now_ms)),
            }
            let revision = store.revision("log-desk");
            prop_assert!(revision >= last);
            last = revision;
        }
        now_ms += SETTLE_MS;
        for fetch in store.fetches(now_ms + FETCH_TIMEOUT_MS) {
            prop_assert!(fetch.revision > last);
            store.offer(version(fetch.revision), Source::Peer, now_ms + FETCH_TIMEOUT_MS);
            prop_assert_eq!(store.revision("log-desk"), fetch.revision);
        }
    }
}
