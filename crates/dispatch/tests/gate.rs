//! Tests of the gate, one rule each.

use kingcup_dispatch::{
    code::Code,
    document::{Document, Kind, Urgency},
    gate::{Effect, Gate, Outcome, Peer, Report, Settings, Slot, Start, Status},
};
use rstest::rstest;

fn kind(name: &str, urgency: Urgency, share_percent: u8) -> Kind {
    Kind {
        name: name.to_owned(),
        urgency,
        share_percent,
        deadline_ms: 1000,
        timeout_ms: 5000,
        max_waiting: 100,
        idempotent: false,
    }
}

fn document() -> Document {
    Document {
        service: "ruilbeurs".to_owned(),
        team: "tapijtrest".to_owned(),
        upstream_path: "/run".to_owned(),
        quota_per_s: 0,
        max_milli_cpus: 16_000,
        max_memory_mb: 64_000,
        kinds: vec![kind("stock", Urgency::High, 40), kind("pricing", Urgency::Low, 30)],
    }
}

fn start(sequence: u64) -> Start<'static> {
    Start {
        sequence,
        settled: 0,
        job: "e1-1-1-1",
        task: 0,
        kind: "stock",
        headroom: 0,
        has_backlog: false,
        wait_ms: 100,
        payload: b"in",
    }
}

fn open(slots: u16) -> (Gate, Peer) {
    let mut gate = Gate::new(Settings::with_slots(slots), 7);
    assert!(gate.apply(&document(), 1, 0));
    let peer = gate.hello("e1", 1, 1, 0, 0).unwrap();
    (gate, peer)
}

fn effects(gate: &mut Gate) -> Vec<Effect> {
    gate.drain().collect()
}

fn refusals(gate: &mut Gate) -> Vec<(u64, Code)> {
    let refusal = |effect| match effect {
        Effect::Refuse { sequence, code, .. } => Some((sequence, code)),
        _ => None,
    };
    gate.drain().filter_map(refusal).collect()
}

fn calls(gate: &mut Gate) -> Vec<(Slot, u64)> {
    let call = |effect| match effect {
        Effect::Call { slot, sequence, .. } => Some((slot, sequence)),
        _ => None,
    };
    gate.drain().filter_map(call).collect()
}

fn reports(gate: &mut Gate) -> Vec<Report> {
    let reports = |effect| match effect {
        Effect::Reports { reports, .. } | Effect::Recalled { reports, .. } => Some(reports),
        _ => None,
    };
    gate.drain().filter_map(reports).flatten().collect()
}

fn report(sequence: u64, status: Status) -> Report {
    Report { sequence, status }
}

#[test]
fn a_gate_without_a_document_refuses_starts() {
    let mut gate = Gate::new(Settings::with_slots(2), 7);
    let peer = gate.hello("e1", 1, 1, 0, 0).unwrap();
    gate.start(peer, &start(1), 0);
    assert_eq!(refusals(&mut gate), [(1, Code::NoDocument)]);
}

#[test]
fn an_unknown_kind_is_refused() {
    let (mut gate, peer) = open(2);
    gate.start(peer, &Start { kind: "other", ..start(1) }, 0);
    assert_eq!(refusals(&mut gate), [(1, Code::UnknownKind)]);
}

#[test]
fn only_a_higher_revision_takes_effect() {
    let (mut gate, _) = open(2);
    assert!(!gate.apply(&document(), 1, 0));
    assert!(gate.apply(&document(), 3, 0));
    assert!(!gate.apply(&document(), 2, 0));
    assert_eq!(gate.revision(), 3);
}

#[test]
fn removing_a_kind_refuses_its_queued_starts_and_finishes_its_calls() {
    let (mut gate, peer) = open(1);
    gate.start(peer, &start(1), 0);
    gate.start(peer, &start(2), 0);
    let slot = calls(&mut gate)[0].0;
    let mut next = document();
    next.kinds.remove(0);
    gate.apply(&next, 2, 0);
    assert_eq!(refusals(&mut gate), [(2, Code::UnknownKind)]);
    gate.finished(slot, Outcome::Done, b"out".to_vec(), 10);
    assert!(matches!(effects(&mut gate)[..], [Effect::Finish { sequence: 1, .. }]));
}

#[rstest]
#[case(1)]
#[case(2)]
fn an_older_or_equal_generation_is_refused(#[case] generation: u32) {
    let (mut gate, _) = open(2);
    gate.hello("e1", 1, 2, 0, 0).unwrap();
    assert_eq!(gate.hello("e1", 1, generation, 0, 0), Err(Code::Fenced));
}

#[test]
fn messages_on_a_replaced_connection_have_no_effect() {
    let (mut gate, old) = open(2);
    gate.start(old, &start(1), 0);
    let new = gate.hello("e1", 1, 2, 0, 0).unwrap();
    assert!(matches!(effects(&mut gate)[..], [Effect::Call { .. }, Effect::Close { peer }]
            if peer == old));
    gate.start(old, &start(2), 0);
    gate.recall(old, &[1], true, 0);
    gate.inquire(old, &[3], 0);
    gate.disconnected(old, 0);
    assert!(effects(&mut gate).is_empty());
    gate.inquire(new, &[1, 2], 0);
    assert_eq!(reports(&mut gate), [report(1, Status::Running), report(2, Status::NotRun)]);
}

#[test]
fn a_sequence_at_or_below_the_highest_seen_never_starts() {
    let (mut gate, peer) = open(8);
    gate.start(peer, &start(5), 0);
    gate.start(peer, &start(5), 0);
    gate.start(peer, &start(3), 0);
    let effects = effects(&mut gate);
    assert!(matches!(
        effects[..],
        [Effect::Call { sequence: 5, .. }, Effect::Refuse { sequence: 3, code: Code::Fenced, .. }]
    ));
}

#[test]
fn an_answer_is_kept_until_the_watermark_passes_it() {
    let (mut gate, peer) = open(2);
    gate.start(peer, &start(1), 0);
    let slot = calls(&mut gate)[0].0;
    gate.disconnected(peer, 0);
    gate.finished(slot, Outcome::Done, b"out".to_vec(), 10);
    assert!(effects(&mut gate).is_empty());
    let peer = gate.hello("e1", 1, 2, 0, 20).unwrap();
    gate.inquire(peer, &[1], 20);
    let sent = effects(&mut gate);
    assert!(matches!(&sent[0], Effect::Finish { outcome: Outcome::Done, body, .. }
            if ***body == *b"out"));
    assert!(matches!(&sent[1], Effect::Reports { .. }));
    gate.start(peer, &Start { settled: 1, ..start(2) }, 30);
    assert_eq!(gate.records(), 1);
}

#[test]
fn starts_with_dropped_records_are_reported_as_may_have_run() {
    let (mut gate, peer) = open(2);
    gate.start(peer, &start(1), 0);
    let slot = calls(&mut gate)[0].0;
    gate.disconnected(peer, 0);
    gate.finished(slot, Outcome::Done, Vec::new(), 10);
    gate.tick(59_999_999);
    assert_eq!(gate.records(), 1);
    gate.tick(61_000_000);
    assert_eq!(gate.records(), 0);
    let peer = gate.hello("e1", 1, 2, 0, 61_000_000).unwrap();
    gate.inquire(peer, &[1], 61_000_000);
    let unknown = Outcome::Unknown(Code::RecordExpired);
    assert!(matches!(effects(&mut gate)[0], Effect::Finish { outcome, .. } if outcome == unknown));
}

#[test]
fn queued_starts_of_a_disconnected_entry_are_dropped() {
    let (mut gate, peer) = open(1);
    gate.start(peer, &start(1), 0);
    gate.start(peer, &Start { wait_ms: 60_000, ..start(2) }, 0);
    gate.disconnected(peer, 0);
    gate.tick(4_999_999);
    assert_eq!(gate.queued(), 1);
    gate.tick(5_000_000);
    assert_eq!(gate.queued(), 0);
}

#[test]
fn starts_with_headroom_leave_reserved_slots_free() {
    let (mut gate, peer) = open(2);
    gate.start(peer, &Start { headroom: 1, ..start(1) }, 0);
    gate.start(peer, &Start { headroom: 1, ..start(2) }, 0);
    assert_eq!(calls(&mut gate).len(), 1);
    gate.start(peer, &start(3), 0);
    assert_eq!(calls(&mut gate)[0].1, 3);
}

#[test]
fn a_flood_of_one_kind_leaves_queue_capacity_for_another() {
    let (mut gate, peer) = open(4);
    for sequence in 1..20 {
        gate.start(peer, &start(sequence), 0);
    }
    assert!(gate.queued() <= 2);
    let _ = gate.drain();
    let other = gate.hello("e2", 1, 1, 0, 0).unwrap();
    gate.start(other, &Start { kind: "pricing", ..start(1) }, 0);
    assert!(refusals(&mut gate).is_empty());
}

#[rstest]
#[case(99_999, &[])]
#[case(100_000, &[(2, Code::Expired)])]
fn a_queued_start_expires_after_its_wait_limit(#[case] now: u64, #[case] expected: &[(u64, Code)]) {
    let (mut gate, peer) = open(1);
    gate.start(peer, &start(1), 0);
    gate.start(peer, &start(2), 0);
    let _ = gate.drain();
    gate.tick(now);
    assert_eq!(refusals(&mut gate), expected);
}

#[test]
fn a_recall_removes_queued_starts_and_stops_running_calls() {
    let (mut gate, peer) = open(1);
    gate.start(peer, &start(1), 0);
    gate.start(peer, &start(2), 0);
    let slot = calls(&mut gate)[0].0;
    gate.recall(peer, &[1, 2, 9], true, 10);
    let sent = effects(&mut gate);
    let stopped = Outcome::Unknown(Code::Stopped);
    assert!(matches!(sent[0], Effect::Stop { slot: stopped_slot } if stopped_slot == slot));
    assert!(matches!(sent[1], Effect::Finish { sequence: 1, outcome, .. } if outcome == stopped));
    let expected =
        [report(1, Status::Finished), report(2, Status::NotRun), report(9, Status::NotRun)];
    assert!(matches!(&sent[2], Effect::Recalled { reports, .. } if *reports == expected));
    gate.start(peer, &start(9), 10);
    assert_eq!(refusals(&mut gate), [(9, Code::Fenced)]);
    assert_eq!(gate.running(), 1, "the slot stays occupied until the call ends");
    gate.finished(slot, Outcome::Done, Vec::new(), 20);
    assert!(effects(&mut gate).is_empty());
    assert_eq!(gate.running(), 0);
}

#[test]
fn a_call_that_never_reached_the_upstream_is_refused() {
    let (mut gate, peer) = open(1);
    gate.start(peer, &start(1), 0);
    let slot = calls(&mut gate)[0].0;
    gate.finished(slot, Outcome::NotRun(Code::NoUpstream), Vec::new(), 10);
    assert_eq!(refusals(&mut gate), [(1, Code::NoUpstream)]);
    gate.inquire(peer, &[1], 10);
    assert_eq!(reports(&mut gate), [report(1, Status::NotRun)]);
}

#[test]
fn a_closed_gate_starts_nothing_and_finishes_running_calls() {
    let (mut gate, peer) = open(1);
    gate.start(peer, &start(1), 0);
    gate.start(peer, &start(2), 0);
    let slot = calls(&mut gate)[0].0;
    gate.close(10);
    gate.start(peer, &start(3), 10);
    assert_eq!(refusals(&mut gate), [(2, Code::Closing), (3, Code::Closing)]);
    gate.finished(slot, Outcome::Done, Vec::new(), 20);
    assert!(matches!(effects(&mut gate)[..], [Effect::Finish { sequence: 1, .. }]));
}

#[test]
fn a_free_slot_is_reported_once_to_an_entry_with_a_backlog() {
    let (mut gate, peer) = open(2);
    gate.start(peer, &Start { has_backlog: true, ..start(1) }, 0);
    let _ = gate.drain();
    gate.tick(4_999);
    assert!(effects(&mut gate).is_empty());
    assert_eq!(gate.next_tick(), Some(5_000));
    gate.tick(5_000);
    assert!(matches!(effects(&mut gate)[..], [Effect::Load { .. }]));
    gate.tick(50_000);
    assert!(effects(&mut gate).is_empty());
}

#[test]
fn the_window_is_split_between_competing_entries() {
    let (mut gate, first) = open(4);
    assert_eq!(gate.load(first, 0).unwrap().window, 8);
    let others: Vec<Peer> =
        ["e2", "e3", "e4"].iter().map(|name| gate.hello(name, 1, 1, 0, 0).unwrap()).collect();
    for peer in others.into_iter().chain([first]) {
        gate.start(peer, &start(1), 0);
        gate.start(peer, &start(2), 0);
    }
    assert_eq!(gate.load(first, 60_000).unwrap().window, 2);
    assert_eq!(gate.load(first, 300_000).unwrap().window, 8);
}
