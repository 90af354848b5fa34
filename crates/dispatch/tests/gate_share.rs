//! Shares of slot time at a saturated gate, simulated in virtual time.

use std::{cmp::Reverse, collections::BinaryHeap};

use kingcup_dispatch::{
    document::{Document, Kind, Urgency},
    gate::{Effect, Gate, Outcome, Peer, Settings, Slot, Start},
};
use proptest::prelude::*;
use rstest::rstest;

const SLOTS: u16 = 8;
/// Length of a simulation, in microseconds of virtual time.
const DURATION_US: u64 = 30_000_000;
/// Interval at which an entry replaces refused and ended starts, in microseconds.
const RESEND_INTERVAL_US: u64 = 2_000;
const KIND_NAMES: [&str; 4] = ["k0", "k1", "k2", "k3"];

/// Load of one kind, sent by an entry of its own.
#[derive(Debug, Clone, Copy)]
struct Load {
    urgency: Urgency,
    share_percent: u8,
    /// Mean run time; each run takes between 0.5 and 1.5 times as long.
    run_us: u64,
    /// Number of starts kept outstanding.
    backlog: usize,
}

#[derive(Debug)]
struct Running {
    kind: usize,
    started_us: u64,
}

/// Runs a simulation and returns the slot time of each kind, in microseconds.
fn simulate(loads: &[Load]) -> Vec<u64> {
    let mut gate = Gate::new(Settings::with_slots(SLOTS), 1);
    gate.apply(&document(loads), 1, 0);
    let connect = |(at, _)| gate.hello(KIND_NAMES[at], 1, 1, 0, 0).expect("first connection");
    let peers: Vec<Peer> = loads.iter().enumerate().map(connect).collect();
    let mut sequences = vec![0; loads.len()];
    let mut outstanding = vec![0_usize; loads.len()];
    let mut slot_time_us = vec![0; loads.len()];
    let mut ends: BinaryHeap<Reverse<(u64, Slot)>> = BinaryHeap::new();
    let mut running: Vec<(Slot, Running)> = Vec::new();
    let mut rng = fastrand::Rng::with_seed(1);
    let mut resend_us = 0;
    let mut now = 0;
    while now < DURATION_US {
        let end_us = ends.peek().map_or(u64::MAX, |end| end.0 .0);
        now = resend_us.min(end_us);
        if end_us <= resend_us {
            let Some(Reverse((_, slot))) = ends.pop() else { break };
            let at = running.iter().position(|call| call.0 == slot).expect("call is running");
            let (_, call) = running.swap_remove(at);
            slot_time_us[call.kind] += now - call.started_us;
            gate.finished(slot, Outcome::Done, Vec::new(), now);
        } else {
            resend_us += RESEND_INTERVAL_US;
            gate.tick(now);
            for (kind, load) in loads.iter().enumerate() {
                while outstanding[kind] < load.backlog {
                    sequences[kind] += 1;
                    outstanding[kind] += 1;
                    gate.start(peers[kind], &start(kind, sequences[kind]), now);
                }
            }
        }
        let effects: Vec<Effect> = gate.drain().collect();
        for effect in effects {
            match effect {
                Effect::Call { slot, kind, .. } => {
                    let kind =
                        KIND_NAMES.iter().position(|name| **name == *kind).expect("known kind");
                    let mean_us = loads[kind].run_us;
                    let run_us = rng.u64(mean_us / 2..=mean_us * 3 / 2);
                    ends.push(Reverse((now + run_us, slot)));
                    running.push((slot, Running { kind, started_us: now }));
                }
                Effect::Finish { peer, .. } | Effect::Refuse { peer, .. } => {
                    let kind = peers.iter().position(|&other| other == peer).expect("known peer");
                    outstanding[kind] -= 1;
                }
                _ => {}
            }
        }
    }
    slot_time_us
}

fn start(kind: usize, sequence: u64) -> Start<'static> {
    Start {
        sequence,
        settled: sequence.saturating_sub(64),
        job: "e-1-1-1",
        task: 0,
        kind: KIND_NAMES[kind],
        headroom: 0,
        has_backlog: true,
        wait_ms: 500,
        payload: &[],
    }
}

fn document(loads: &[Load]) -> Document {
    let kind = |(at, load): (usize, &Load)| Kind {
        name: KIND_NAMES[at].to_owned(),
        urgency: load.urgency,
        share_percent: load.share_percent,
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
        kinds: loads.iter().enumerate().map(kind).collect(),
    }
}

/// Returns the slot time of a kind as a fraction of its guaranteed slot time.
fn received_share(loads: &[Load], slot_time_us: &[u64], kind: usize) -> f64 {
    let guaranteed = DURATION_US * u64::from(SLOTS) * u64::from(loads[kind].share_percent) / 100;
    slot_time_us[kind] as f64 / guaranteed as f64
}

fn loads_with_flood(flood_urgency: Urgency) -> Vec<Load> {
    let steady =
        |urgency, share_percent, run_us| Load { urgency, share_percent, run_us, backlog: 8 };
    vec![
        Load { urgency: flood_urgency, share_percent: 20, run_us: 300_000, backlog: 200 },
        steady(Urgency::High, 35, 120_000),
        steady(Urgency::Normal, 25, 400_000),
        steady(Urgency::Low, 20, 60_000),
    ]
}

/// Guards against a flood of one kind that takes slots from kinds within their share.
#[rstest]
#[case(Urgency::Low)]
#[case(Urgency::Critical)]
fn shares_hold_under_a_flood_of_lowest_or_highest_urgency(#[case] flood_urgency: Urgency) {
    let loads = loads_with_flood(flood_urgency);
    let slot_time_us = simulate(&loads);
    for kind in 0..loads.len() {
        let share = received_share(&loads, &slot_time_us, kind);
        assert!(share >= 0.95, "kind {kind} received {share:.3} of its share: {slot_time_us:?}");
    }
    let busy = slot_time_us.iter().sum::<u64>() as f64 / (DURATION_US * u64::from(SLOTS)) as f64;
    assert!(busy >= 0.95, "slots were busy for {busy:.3} of the time");
}

/// Guards against idle slots while a kind above its share has waiting tasks.
#[test]
fn unused_shares_are_borrowed() {
    let mut loads = loads_with_flood(Urgency::Low);
    for load in &mut loads[1..] {
        load.backlog = 0;
    }
    let slot_time_us = simulate(&loads);
    let busy = slot_time_us[0] as f64 / (DURATION_US * u64::from(SLOTS)) as f64;
    assert!(busy >= 0.95, "slots were busy for {busy:.3} of the time");
}

/// Guards against borrowed slots being divided among kinds of the same urgency in proportion to run
/// time rather than to share.
#[test]
fn borrowed_slot_time_is_divided_by_share() {
    let load = |share_percent, run_us| Load {
        urgency: Urgency::Normal,
        share_percent,
        run_us,
        backlog: 16,
    };
    let slot_time_us = simulate(&[load(20, 50_000), load(10, 500_000)]);
    let ratio = slot_time_us[0] as f64 / slot_time_us[1] as f64;
    assert!((1.7..=2.3).contains(&ratio), "ratio {ratio:.2}: {slot_time_us:?}");
}

fn load() -> impl Strategy<Value = Load> {
    let urgency = prop_oneof![
        Just(Urgency::Low),
        Just(Urgency::Normal),
        Just(Urgency::High),
        Just(Urgency::Critical)
    ];
    let backlog = prop_oneof![Just(8_usize), Just(100)];
    (urgency, 5_u8..=25, 20_000_u64..800_000, backlog).prop_map(
        |(urgency, share_percent, run_us, backlog)| Load {
            urgency,
            share_percent,
            run_us,
            backlog,
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

    /// Guards against combinations of shares, urgencies and run times for which a busy kind does
    /// not receive its share.
    #[test]
    fn busy_kinds_receive_their_share(loads in prop::collection::vec(load(), 4)) {
        let slot_time_us = simulate(&loads);
        for kind in 0..loads.len() {
            let share = received_share(&loads, &slot_time_us, kind);
            prop_assert!(share >= 0.9, "kind {} received {:.3}: {:?}", kind, share, slot_time_us);
        }
    }
}
