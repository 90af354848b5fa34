//! Stops that an upstream leaves unanswered while it answers polls: bounds on the runs that were to
//! end.

use std::sync::Arc;

use kingcup_dispatch::worker::{
    Effect, Entry, Listing, Order, Profile, Reason, Reply, Start, Supervisor, UPSTREAM_LEASE_US,
};
use rstest::rstest;

const NOW_US: u64 = 1_000_000;
/// Time on the upstream's clock at time 0, in milliseconds.
const CLOCK_MS: u64 = 70_000;
/// Time between two events, in microseconds.
const STEP_US: u64 = 5_000;
/// Time after which a call counts as unanswered, in microseconds.
const TIMEOUT_US: u64 = 60_000;

/// A supervisor and its upstream, which answers polls and starts but no stop.
struct Upstream {
    supervisor: Supervisor,
    entry: Entry,
    now_us: u64,
    running: Vec<(Arc<str>, u32, u32)>,
    /// Stops that wait for their timeout, with the time at which they were sent.
    stops: Vec<(Effect, u64)>,
    answers_stops: bool,
    /// Whether the upstream ends its runs with the lease.
    holds_lease: bool,
    refused: Vec<Reason>,
    /// Latest deadline that a call has named, in milliseconds on the upstream's clock.
    deadline_ms: u64,
    started: usize,
}

fn clock_ms(now_us: u64) -> u64 {
    CLOCK_MS + now_us / 1000
}

fn start(run: u64, now_us: u64) -> Start {
    Start {
        run,
        task: format!("task-{run}").into(),
        attempt: 1,
        spec: "".into(),
        cores: 100,
        memory_mb: 1,
        grant: now_us,
        slack_us: 0,
        wait_us: 50_000,
    }
}

/// Opens an upstream on which these tasks of an earlier sidecar process run.
fn open(unknown: &[&str]) -> Upstream {
    let mut supervisor = Supervisor::open();
    let (entry, _) = supervisor.connected("entry", 1, NOW_US);
    let profile = Profile {
        incarnation: 1,
        name: "upstream".into(),
        cores: 100_000,
        memory_mb: 1_000,
        ready: true,
        ..Profile::default()
    };
    supervisor.report(profile, 1, clock_ms(NOW_US), NOW_US);
    let running = unknown.iter().map(|task| ((*task).into(), 1, 0)).collect();
    Upstream {
        supervisor,
        entry,
        now_us: NOW_US,
        running,
        stops: Vec::new(),
        answers_stops: false,
        holds_lease: false,
        refused: Vec::new(),
        deadline_ms: 0,
        started: 0,
    }
}

impl Upstream {
    /// Lets time pass. The entry keeps its lease if `renews`.
    fn run_for(&mut self, time_us: u64, renews: bool) {
        let until_us = self.now_us + time_us;
        while self.now_us < until_us {
            self.now_us += STEP_US;
            if renews {
                self.supervisor.renew(self.entry, self.now_us);
            }
            self.fail_stops();
            if self.holds_lease && clock_ms(self.now_us) >= self.deadline_ms {
                self.running.clear();
            }
            self.supervisor.tick(self.now_us);
            for effect in self.supervisor.drain() {
                self.handle(effect);
            }
        }
    }

    fn fail_stops(&mut self) {
        let (due, waiting) = std::mem::take(&mut self.stops)
            .into_iter()
            .partition(|(_, sent_us)| sent_us + TIMEOUT_US <= self.now_us);
        self.stops = waiting;
        for (effect, _) in due {
            let Effect::Order { key, order, .. } = effect else { continue };
            self.supervisor.replied(key, &order, Reply::Unanswered, None, self.now_us);
        }
    }

    fn handle(&mut self, effect: Effect) {
        let clock = clock_ms(self.now_us);
        match effect {
            Effect::Poll { number, deadline_ms, .. } => {
                self.deadline_ms = self.deadline_ms.max(deadline_ms.unwrap_or(0));
                let running = self.running.clone();
                let listing = Listing { incarnation: 1, clock_ms: clock, running, ended: vec![] };
                self.supervisor.poll_answered(number, listing, self.now_us);
            }
            Effect::Order { key, order: order @ Order::Start { .. }, .. } => {
                let Order::Start { task, attempt, deadline_ms, .. } = &order else { return };
                assert!(*deadline_ms > clock, "the upstream rejects a start that is late");
                self.deadline_ms = self.deadline_ms.max(*deadline_ms);
                self.running.push((task.clone(), *attempt, 0));
                self.started += 1;
                self.supervisor.replied(key, &order, Reply::Done, Some(clock), self.now_us);
            }
            Effect::Order { key, order, .. } if self.answers_stops => {
                let Order::Stop { task, .. } = &order else { return };
                self.running.retain(|(running, _, _)| running != task);
                self.supervisor.replied(key, &order, Reply::Done, Some(clock), self.now_us);
            }
            Effect::Refused { reason, .. } => self.refused.push(reason),
            stop @ Effect::Order { .. } => self.stops.push((stop, self.now_us)),
            _ => {}
        }
    }

    fn start(&mut self, run: u64) {
        self.supervisor.start(self.entry, start(run, self.now_us), self.now_us);
    }
}

/// Guards against a lease at the upstream that is renewed for a run whose stops do not arrive, by
/// polls or by starts, so that the run continues while its task is started elsewhere.
#[rstest]
#[case::of_a_run_that_its_entry_stopped(&[], true)]
#[case::of_a_run_whose_entry_lost_its_lease(&[], false)]
#[case::of_a_run_of_an_earlier_sidecar(&["task-1"], true)]
fn the_lease_is_not_renewed_while_a_stop_is_unanswered(
    #[case] unknown: &[&str],
    #[case] renews: bool,
) {
    let mut upstream = open(unknown);
    upstream.run_for(10 * STEP_US, true);
    if unknown.is_empty() {
        upstream.start(1);
        upstream.run_for(100_000, true);
    }
    if renews && unknown.is_empty() {
        upstream.supervisor.stop(upstream.entry, 1, upstream.now_us);
    }
    while !renews && upstream.stops.is_empty() {
        upstream.run_for(STEP_US, false);
    }
    let stopped_us = upstream.now_us;
    for run in 2..=40 {
        upstream.start(run);
        upstream.run_for(50_000, renews);
    }
    let latest_ms = clock_ms(stopped_us) + UPSTREAM_LEASE_US / 1000;
    assert!(upstream.deadline_ms <= latest_ms, "{} > {latest_ms}", upstream.deadline_ms);
}

/// Guards against an upstream that loses its runs, or gets no starts, because of one stop that it left
/// unanswered for a moment.
#[test]
fn the_lease_is_renewed_again_once_the_stop_is_answered() {
    let mut upstream = open(&[]);
    upstream.run_for(10 * STEP_US, true);
    upstream.start(1);
    upstream.start(2);
    upstream.run_for(100_000, true);
    upstream.supervisor.stop(upstream.entry, 1, upstream.now_us);
    upstream.run_for(2 * TIMEOUT_US, true);
    upstream.start(3);
    upstream.run_for(STEP_US, true);
    assert_eq!(upstream.started, 3, "the lease leaves time for a start");
    upstream.answers_stops = true;
    upstream.run_for(1_000_000, true);
    assert_eq!(upstream.supervisor.running(), 2);
    let expected_ms = clock_ms(upstream.now_us) + UPSTREAM_LEASE_US / 1000;
    assert!(upstream.deadline_ms + 100 > expected_ms, "{} < {expected_ms}", upstream.deadline_ms);
}

/// Guards against starts that wait at an upstream whose lease is about to expire, instead of going
/// elsewhere at once.
#[test]
fn starts_are_refused_at_once_when_the_lease_is_about_to_expire() {
    let mut upstream = open(&[]);
    upstream.run_for(10 * STEP_US, true);
    upstream.start(1);
    upstream.run_for(100_000, true);
    upstream.supervisor.stop(upstream.entry, 1, upstream.now_us);
    upstream.run_for(500_000, true);
    assert!(!upstream.supervisor.is_accepting());
    upstream.start(2);
    upstream.run_for(STEP_US, true);
    assert_eq!(upstream.refused, [Reason::NotAccepting]);
}

/// Guards against an upstream that gets no more work because a stop is never answered, although its
/// run has ended with the lease.
#[test]
fn an_upstream_whose_runs_have_expired_is_used_again() {
    let mut upstream = open(&[]);
    upstream.holds_lease = true;
    upstream.run_for(10 * STEP_US, true);
    upstream.start(1);
    upstream.run_for(100_000, true);
    upstream.supervisor.stop(upstream.entry, 1, upstream.now_us);
    upstream.run_for(UPSTREAM_LEASE_US, true);
    assert_eq!(upstream.supervisor.running(), 1, "it may not have ended yet");
    upstream.run_for(300_000, true);
    assert_eq!(upstream.supervisor.running(), 0);
    assert!(upstream.supervisor.is_accepting());
    upstream.start(2);
    upstream.run_for(STEP_US, true);
    assert_eq!(upstream.started, 2);
}
