//! Runs on one upstream VM: room, leases, unanswered orders and restarts.

use std::sync::Arc;

use kingcup_dispatch::worker::{
    run, Effect, End, Entry, Listing, Order, Outcome, Profile, Reason, Reply, Start, Supervisor,
    ENTRY_LEASE_US, STOP_US, UPSTREAM_LEASE_US,
};
use rstest::rstest;

const CORES: u32 = 8_000;
const TASK_CORES: u32 = 3_000;
const CLOCK_MS: u64 = 70_000;

fn profile(incarnation: u64, ready: bool) -> Profile {
    Profile {
        incarnation,
        name: "upstream".into(),
        service: "service".into(),
        cores: CORES,
        memory_mb: 1_000,
        ready,
        ..Profile::default()
    }
}

fn start(run: u64, now_us: u64) -> Start {
    Start {
        run,
        task: format!("task-{run}").into(),
        attempt: 1,
        spec: "".into(),
        cores: TASK_CORES,
        memory_mb: 64,
        grant: now_us,
        slack_us: run,
        wait_us: 50_000,
    }
}

/// A sidecar with one entry whose upstream is known and empty.
fn open(now_us: u64) -> (Supervisor, Entry) {
    let mut supervisor = Supervisor::open();
    let (entry, _) = supervisor.connected("entry", 1, now_us);
    supervisor.report(profile(1, true), 1, CLOCK_MS, now_us);
    look(&mut supervisor, vec![], vec![], now_us);
    assert!(supervisor.is_accepting());
    (supervisor, entry)
}

/// Answers the look that is on its way; gives the orders and other effects.
fn look(
    supervisor: &mut Supervisor,
    running: Vec<(Arc<str>, u32, u32)>,
    ended: Vec<(u64, Arc<str>, u32, Outcome)>,
    now_us: u64,
) -> Vec<Effect> {
    let mut effects = supervisor.drain();
    let number = effects.iter().rev().find_map(|effect| match effect {
        Effect::Poll { number, .. } => Some(*number),
        _ => None,
    });
    let look = Listing { incarnation: 1, clock_ms: CLOCK_MS + now_us / 1000, running, ended };
    supervisor.poll_answered(number.expect("a look is on its way"), look, now_us);
    let more = supervisor.drain();
    // The next look is taken by the next call.
    effects.clear();
    for effect in more {
        match effect {
            Effect::Poll { .. } => supervisor.put_back(effect),
            other => effects.push(other),
        }
    }
    effects
}

fn take_orders(supervisor: &mut Supervisor) -> Vec<(run::Key, Order)> {
    let mut orders = Vec::new();
    for effect in supervisor.drain() {
        match effect {
            Effect::Order { key, order, .. } => orders.push((key, order)),
            Effect::Poll { .. } => supervisor.put_back(effect),
            _ => {}
        }
    }
    orders
}

fn refusals(effects: &[Effect]) -> Vec<(u64, Reason)> {
    effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::Refused { run, reason, .. } => Some((*run, *reason)),
            _ => None,
        })
        .collect()
}

fn ends(effects: &[Effect]) -> Vec<(u64, Outcome)> {
    effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::Ended { end: End { run, outcome, .. }, .. } => Some((*run, *outcome)),
            _ => None,
        })
        .collect()
}

/// Starts a run and answers its order.
fn started(supervisor: &mut Supervisor, entry: Entry, run: u64, now_us: u64) -> (run::Key, Order) {
    supervisor.start(entry, start(run, now_us), now_us);
    supervisor.tick(now_us);
    let (key, order) = take_orders(supervisor).remove(0);
    supervisor.replied(key, &order, Reply::Done, None, now_us);
    (key, order)
}

/// Starts the first run, and leaves its order unanswered.
fn start_unanswered(supervisor: &mut Supervisor, entry: Entry, now_us: u64) {
    supervisor.start(entry, start(1, now_us), now_us);
    supervisor.tick(now_us);
    let (key, order) = take_orders(supervisor).remove(0);
    supervisor.replied(key, &order, Reply::Unanswered, None, now_us);
}

/// Guards against more cores in use than the upstream has.
#[test]
fn a_start_without_room_waits_and_is_refused_after_its_wait() {
    let now_us = 1_000_000;
    let (mut supervisor, entry) = open(now_us);
    for run in 1..=3 {
        supervisor.start(entry, start(run, now_us), now_us);
    }
    supervisor.tick(now_us);
    assert_eq!(take_orders(&mut supervisor).len(), 2);
    supervisor.renew(entry, now_us + 50_000);
    supervisor.tick(now_us + 50_000);
    assert_eq!(refusals(&supervisor.drain()), [(3, Reason::NoRoom)]);
}

/// Guards against room that is given away while a stopped run may still use it.
#[test]
fn a_stopped_run_takes_room_until_its_end_is_listed() {
    let now_us = 1_000_000;
    let (mut supervisor, entry) = open(now_us);
    started(&mut supervisor, entry, 1, now_us);
    started(&mut supervisor, entry, 2, now_us);
    supervisor.stop(entry, 1, now_us);
    let (key, stop) = take_orders(&mut supervisor).remove(0);
    assert!(matches!(stop, Order::Stop { .. }));
    supervisor.replied(key, &stop, Reply::Done, None, now_us);
    supervisor.start(entry, start(3, now_us), now_us);
    supervisor.tick(now_us);
    assert!(take_orders(&mut supervisor).is_empty());
    let ended = vec![(1, "task-1".into(), 1, Outcome::Stopped)];
    let effects = look(&mut supervisor, vec![("task-2".into(), 1, 5)], ended, now_us);
    assert_eq!(ends(&effects), [(1, Outcome::Stopped)]);
    let orders = effects.iter().filter(|effect| matches!(effect, Effect::Order { .. })).count();
    assert_eq!(orders, 1);
}

/// Guards against runs that outlive their entry.
#[test]
fn runs_stop_when_their_entry_does_not_renew() {
    let now_us = 1_000_000;
    let (mut supervisor, entry) = open(now_us);
    started(&mut supervisor, entry, 1, now_us);
    supervisor.tick(now_us + ENTRY_LEASE_US - 1);
    assert!(take_orders(&mut supervisor).is_empty());
    supervisor.tick(now_us + ENTRY_LEASE_US);
    let orders = take_orders(&mut supervisor);
    assert!(matches!(orders[..], [(_, Order::Stop { .. })]));
}

/// Guards against starts that were held up on the way, or sent by an entry that stood still.
#[test]
fn a_start_under_an_old_grant_is_refused() {
    let now_us = 1_000_000;
    let (mut supervisor, entry) = open(now_us);
    supervisor.drain();
    let late_us = now_us + ENTRY_LEASE_US;
    supervisor.start(entry, start(1, now_us), late_us);
    supervisor.tick(late_us);
    assert_eq!(refusals(&supervisor.drain()), [(1, Reason::StaleGrant)]);
}

/// Guards against a second run where the first start was carried out and its answer was lost.
#[test]
fn an_unanswered_start_is_repeated_under_the_same_number() {
    let now_us = 1_000_000;
    let (mut supervisor, entry) = open(now_us);
    supervisor.start(entry, start(1, now_us), now_us);
    supervisor.tick(now_us);
    let (key, first) = take_orders(&mut supervisor).remove(0);
    supervisor.replied(key, &first, Reply::Unanswered, None, now_us + 60_000);
    let (key, second) = take_orders(&mut supervisor).remove(0);
    let attempts = [&first, &second].map(|order| match order {
        Order::Start { attempt, .. } | Order::Stop { attempt, .. } => *attempt,
    });
    assert_eq!(attempts, [1, 1]);
    // The first one ran to its end meanwhile: nothing starts again.
    supervisor.replied(key, &second, Reply::Old, None, now_us + 61_000);
    assert!(take_orders(&mut supervisor).is_empty());
    let ended = vec![(1, "task-1".into(), 1, Outcome::Done)];
    let effects = look(&mut supervisor, vec![], ended, now_us + 62_000);
    assert_eq!(ends(&effects), [(1, Outcome::Done)]);
}

/// Guards against a task that cannot run because an earlier submission of it ended here.
#[test]
fn a_start_that_is_too_old_takes_the_next_number() {
    let now_us = 1_000_000;
    let (mut supervisor, entry) = open(now_us);
    supervisor.start(entry, start(1, now_us), now_us);
    supervisor.tick(now_us);
    let (key, order) = take_orders(&mut supervisor).remove(0);
    supervisor.replied(key, &order, Reply::Old, None, now_us);
    let orders = take_orders(&mut supervisor);
    assert!(matches!(orders[..], [(_, Order::Start { attempt: 2, .. })]));
}

/// Guards against a stop that is lost and a run that goes on.
#[test]
fn an_unanswered_stop_is_repeated_until_the_end_is_listed() {
    let now_us = 1_000_000;
    let (mut supervisor, entry) = open(now_us);
    started(&mut supervisor, entry, 1, now_us);
    supervisor.stop(entry, 1, now_us);
    for step in 1..=3 {
        let (key, stop) = take_orders(&mut supervisor).remove(0);
        let at_us = now_us + step * 60_000;
        supervisor.replied(key, &stop, Reply::Unanswered, None, at_us);
        supervisor.tick(at_us);
    }
    assert_eq!(supervisor.running(), 1);
    let ended = vec![(1, "task-1".into(), 1, Outcome::Stopped)];
    look(&mut supervisor, vec![], ended, now_us + 200_000);
    assert_eq!(supervisor.running(), 0);
}

/// Guards against starts beside runs of an earlier process, whose room is not known.
#[test]
fn a_new_sidecar_stops_what_it_did_not_start_before_it_accepts() {
    let now_us = 1_000_000;
    let mut supervisor = Supervisor::open();
    supervisor.connected("entry", 1, now_us);
    supervisor.report(profile(1, true), 1, CLOCK_MS, now_us);
    let stranger = vec![("other".into(), 4, 50)];
    let effects = look(&mut supervisor, stranger, vec![], now_us);
    assert!(effects.iter().any(|effect| matches!(
        effect,
        Effect::Order { order: Order::Stop { attempt: 4, .. }, .. }
    )));
    assert!(!supervisor.is_accepting());
    supervisor.tick(now_us + 20_000);
    look(&mut supervisor, vec![], vec![(1, "other".into(), 4, Outcome::Stopped)], now_us + 20_000);
    assert!(supervisor.is_accepting());
}

/// Guards against new work on an upstream that drains, leaves, is silent or has another owner.
#[rstest]
#[case::drains(|s: &mut Supervisor, now_us| { s.report(profile(1, false), 2, CLOCK_MS, now_us); })]
#[case::leaves(|s: &mut Supervisor, now_us| s.upstream_leaving(now_us))]
#[case::sidecar_stops(|s: &mut Supervisor, now_us| s.stop_accepting(now_us))]
#[case::down(|s: &mut Supervisor, now_us| s.poll_failed(2, Reply::Down, None, now_us))]
fn nothing_starts_on_an_upstream_that_goes(#[case] event: fn(&mut Supervisor, u64)) {
    let now_us = 1_000_000;
    let (mut supervisor, entry) = open(now_us);
    supervisor.drain();
    event(&mut supervisor, now_us);
    supervisor.start(entry, start(1, now_us), now_us);
    supervisor.tick(now_us);
    let effects = supervisor.drain();
    assert_eq!(refusals(&effects), [(1, Reason::NotAccepting)]);
}

/// Guards against runs that are held for running after a crash, or given up before they have ended.
#[test]
fn runs_on_a_silent_upstream_are_lost_when_its_lease_has_run_out() {
    let now_us = 1_000_000;
    let (mut supervisor, entry) = open(now_us);
    started(&mut supervisor, entry, 1, now_us);
    let mut at_us = now_us;
    let gone_us = now_us + UPSTREAM_LEASE_US + UPSTREAM_LEASE_US / 50 + STOP_US;
    let mut lost_us = None;
    while at_us < gone_us + 1_000_000 && lost_us.is_none() {
        at_us += 50_000;
        supervisor.renew(entry, at_us);
        supervisor.tick(at_us);
        for effect in supervisor.drain() {
            match effect {
                Effect::Poll { number, .. } => {
                    supervisor.poll_failed(number, Reply::Unanswered, None, at_us);
                }
                Effect::Ended { end, .. } => {
                    assert_eq!(end.outcome, Outcome::Lost);
                    lost_us = Some(at_us);
                }
                _ => {}
            }
        }
    }
    // Each look renews the lease, also one that is not answered.
    assert!(lost_us.is_none_or(|lost_us| lost_us >= gone_us));
}

/// Guards against calls without a pause to an upstream that resets each connection at once.
#[test]
fn looks_that_fail_at_once_are_spaced() {
    let now_us = 1_000_000;
    let (mut supervisor, _) = open(now_us);
    let mut looks = 0;
    for step in 0..1_000 {
        let at_us = now_us + step * 1_000;
        supervisor.tick(at_us);
        for effect in supervisor.drain() {
            if let Effect::Poll { number, .. } = effect {
                looks += 1;
                supervisor.poll_failed(number, Reply::Unanswered, None, at_us);
            }
        }
    }
    assert!(looks <= 21, "{looks} looks in a second");
}

/// Guards against reports that arrive late, also those of an earlier life.
#[test]
fn an_older_report_changes_nothing() {
    let now_us = 1_000_000;
    let (mut supervisor, _) = open(now_us);
    assert!(supervisor.report(profile(1, false), 5, CLOCK_MS, now_us));
    assert!(!supervisor.report(profile(1, true), 4, CLOCK_MS, now_us));
    assert!(!supervisor.is_accepting());
    assert!(supervisor.report(profile(2, true), 1, 100, now_us));
    assert!(!supervisor.report(profile(1, true), 9, CLOCK_MS, now_us));
}

/// Answers looks until one is answered with what runs in the second life of the upstream.
fn look_again(
    supervisor: &mut Supervisor,
    running: Vec<(Arc<str>, u32, u32)>,
    now_us: u64,
) -> Vec<Effect> {
    let mut effects = Vec::new();
    for _ in 0..3 {
        let drained = supervisor.drain();
        let number = drained.iter().rev().find_map(|effect| match effect {
            Effect::Poll { number, .. } => Some(*number),
            _ => None,
        });
        effects.extend(drained);
        let running = running.clone();
        let look = Listing { incarnation: 2, clock_ms: 100, running, ended: vec![] };
        if let Some(number) = number {
            supervisor.poll_answered(number, look, now_us);
        }
    }
    // The next look is taken by the next call.
    for effect in supervisor.drain() {
        match effect {
            Effect::Poll { .. } => supervisor.put_back(effect),
            other => effects.push(other),
        }
    }
    effects
}

/// Guards against runs that are taken for running in a new life of the upstream, and against a second run
/// of a task whose start reached the new life before its report did.
#[rstest]
#[case::lost_with_the_old_life(vec![], vec![(1, Outcome::Lost)])]
#[case::begun_in_the_new_life(vec![("task-1".into(), 1, 5)], vec![])]
fn the_list_of_a_new_life_tells_which_runs_are_lost(
    #[case] running: Vec<(Arc<str>, u32, u32)>,
    #[case] lost: Vec<(u64, Outcome)>,
) {
    let now_us = 1_000_000;
    let (mut supervisor, entry) = open(now_us);
    started(&mut supervisor, entry, 1, now_us);
    supervisor.report(profile(2, true), 1, 100, now_us);
    let effects = supervisor.drain();
    assert_eq!(ends(&effects), [], "the list has not come yet");
    for effect in effects {
        supervisor.put_back(effect);
    }
    let effects = look_again(&mut supervisor, running, now_us + 1_000);
    assert_eq!(ends(&effects), lost);
    assert!(supervisor.is_accepting());
}

/// Guards against a list of an earlier life that arrives after the report of the new one, and is taken for
/// what runs now.
#[test]
fn a_list_of_an_earlier_life_is_ignored() {
    let now_us = 1_000_000;
    let (mut supervisor, entry) = open(now_us);
    started(&mut supervisor, entry, 1, now_us);
    supervisor.report(profile(2, true), 1, 100, now_us);
    let effects = look(&mut supervisor, vec![], vec![], now_us + 1_000);
    assert_eq!(ends(&effects), []);
    assert!(!supervisor.is_accepting());
}

/// Guards against a start that was left unanswered by an upstream that crashed, and is carried out in its
/// next life beside the run that replaced it.
#[test]
fn an_unanswered_start_is_stopped_for_good_in_the_next_life() {
    let now_us = 1_000_000;
    let (mut supervisor, entry) = open(now_us);
    start_unanswered(&mut supervisor, entry, now_us);
    let (key, order) = take_orders(&mut supervisor).remove(0);
    supervisor.replied(key, &order, Reply::Done, None, now_us);
    supervisor.report(profile(2, true), 1, 100, now_us);
    let effects = look_again(&mut supervisor, vec![], now_us + 1_000);
    assert_eq!(ends(&effects), [], "the stop has not been answered yet");
    let stop = effects.into_iter().find_map(|effect| match effect {
        Effect::Order { key, order: order @ Order::Stop { .. }, .. } => Some((key, order)),
        _ => None,
    });
    let (key, stop) = stop.expect("a stop in the new incarnation");
    supervisor.replied(key, &stop, Reply::Done, None, now_us + 2_000);
    let effects = look_again(&mut supervisor, vec![], now_us + 3_000);
    assert_eq!(ends(&effects), [(1, Outcome::Stopped)]);
}

/// Guards against the same when the run had ended before the crash.
#[test]
fn an_unanswered_start_of_an_ended_run_is_stopped_in_the_next_life() {
    let now_us = 1_000_000;
    let (mut supervisor, entry) = open(now_us);
    start_unanswered(&mut supervisor, entry, now_us);
    take_orders(&mut supervisor);
    look(&mut supervisor, vec![], vec![(1, "task-1".into(), 1, Outcome::Failed)], now_us);
    supervisor.report(profile(2, true), 1, 100, now_us);
    let orders = take_orders(&mut supervisor);
    assert!(matches!(&orders[..], [(_, Order::Stop { task, .. })] if **task == *"task-1"));
}

/// Guards against ends that are lost with a connection, and runs that go on for an entry that was
/// restarted.
#[test]
fn an_entry_that_connects_again_hears_what_it_missed() {
    let now_us = 1_000_000;
    let (mut supervisor, entry) = open(now_us);
    started(&mut supervisor, entry, 1, now_us);
    started(&mut supervisor, entry, 2, now_us);
    supervisor.disconnected(entry);
    let ended = vec![(1, "task-1".into(), 1, Outcome::Done)];
    look(&mut supervisor, vec![("task-2".into(), 1, 5)], ended, now_us + 1_000);
    let (again, held) = supervisor.connected("entry", 1, now_us + 2_000);
    assert_eq!(again, entry);
    assert_eq!(held, [2]);
    assert_eq!(ends(&supervisor.drain()), [(1, Outcome::Done)]);
    supervisor.connected("entry", 2, now_us + 3_000);
    let orders = take_orders(&mut supervisor);
    assert!(matches!(orders[..], [(_, Order::Stop { .. })]));
}

/// Guards against a guess of when room comes that leaves out what waits already: of two runs at 50% and
/// 20% after 100 ms the first makes room for the start that waits, the second for one more.
#[test]
fn expected_room_follows_from_progress_and_what_waits() {
    let (mut supervisor, entry) = open(1_000_000);
    let names: Vec<Arc<str>> = (1..=2)
        .map(|run| {
            started(&mut supervisor, entry, run, 1_000_000);
            Arc::from(format!("task-{run}"))
        })
        .collect();
    let running = vec![(names[0].clone(), 1, 50), (names[1].clone(), 1, 20)];
    let room = |effects: &[Effect]| {
        effects.iter().rev().find_map(|effect| match effect {
            Effect::Grant { grant, .. } => Some(grant.expected_wait_us),
            _ => None,
        })
    };
    let effects = look(&mut supervisor, running, vec![], 1_100_000);
    assert_eq!(room(&effects), Some(Some(100_000)));
    supervisor.start(entry, start(3, 1_100_000), 1_100_000);
    supervisor.tick(1_103_000);
    assert_eq!(room(&supervisor.drain()), Some(Some(397_000)));
}
