//! Guards against a team getting more than its rate, or much less, as entries come, go and lose
//! digests.

use kingcup_dispatch::quota::{Quota, Verdict};
use proptest::prelude::*;
use rstest::rstest;

const SECOND: u64 = 1_000_000;
const STEP: u64 = 10_000;
const RATE: u32 = 1_000;

/// Entries that get work for one team and exchange digests once a second.
struct Entries {
    quotas: Vec<Option<Quota>>,
    /// Single-task jobs that arrive at each entry in a second.
    demand: Vec<u32>,
    loss: f64,
    rng: fastrand::Rng,
    now: u64,
}

impl Entries {
    fn new(count: usize, demand: &[u32], loss: f64, seed: u64) -> Self {
        Self {
            quotas: (0..count).map(|_| Some(Quota::new(RATE, count, 0))).collect(),
            demand: demand.to_vec(),
            loss,
            rng: fastrand::Rng::with_seed(seed),
            now: 0,
        }
    }

    /// Runs for some seconds and returns the starts of each second.
    fn run(&mut self, seconds: u64) -> Vec<u32> {
        (0..seconds).map(|_| (0..100).map(|step| self.step(step)).sum()).collect()
    }

    fn step(&mut self, step: u64) -> u32 {
        self.now += STEP;
        let mut started = 0;
        for index in 0..self.quotas.len() {
            let Some(quota) = &mut self.quotas[index] else { continue };
            for _ in 0..self.demand[index] / 100 {
                started += u32::from(quota.admit(1, self.now) == Verdict::Accepted);
            }
            if step == index as u64 * 7 % 100 {
                let asked = quota.publish_demand(self.now);
                self.send(index, asked);
            }
        }
        started
    }

    fn send(&mut self, from: usize, asked: u32) {
        for (index, quota) in self.quotas.iter_mut().enumerate() {
            let lost = self.rng.f64() < self.loss;
            if let Some(quota) = quota.as_mut().filter(|_| index != from && !lost) {
                quota.record_demand(&from.to_string(), asked, self.now);
            }
        }
    }
}

fn most(starts: &[u32]) -> u32 {
    starts.iter().copied().max().unwrap_or(0)
}

fn mean(starts: &[u32]) -> u32 {
    starts.iter().sum::<u32>() / starts.len() as u32
}

/// Guards against a rate that entries with unequal demand cannot use or exceed.
#[rstest]
#[case(&[5_000])]
#[case(&[5_000, 5_000, 5_000])]
#[case(&[9_000, 500, 100])]
#[case(&[3_000, 0, 0, 0, 0, 0])]
fn the_whole_rate_is_used_and_not_exceeded(#[case] demand: &[u32]) {
    let mut entries = Entries::new(demand.len(), demand, 0.0, 1);
    entries.run(20);
    let starts = entries.run(20);
    assert!(most(&starts) <= RATE * 101 / 100, "{starts:?}");
    assert!(mean(&starts) >= RATE * 88 / 100, "{starts:?}");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(40))]

    /// Guards against more than the stated error when demand jumps between entries: none while
    /// digests arrive, and twice the rate while they are lost, one second's burst aside.
    #[test]
    fn lost_digests_at_most_double_the_rate(
        seed in any::<u64>(),
        loss in prop::sample::select(vec![0.0, 0.3, 1.0]),
        before in prop::sample::select(vec![100u32, 4_000]),
        changes in prop::collection::vec(prop::collection::vec(0u32..6_000, 4), 1..5),
    ) {
        let mut entries = Entries::new(4, &[before; 4], 0.0, seed);
        entries.run(10);
        entries.loss = loss;
        for demand in changes {
            entries.demand = demand;
            let starts = entries.run(6);
            let sum: f64 = (0..4)
                .map(|at| entries.quotas[at].as_mut().unwrap().share_per_s(entries.now))
                .sum();
            let most_shares = if loss == 0.0 { 1.0001 } else { 2.0 } * f64::from(RATE);
            prop_assert!(sum <= most_shares, "shares add up to {sum}");
            // Buckets that were filled while a share was unused hold one second of it.
            let limit = most_shares * 2.0;
            prop_assert!(f64::from(most(&starts)) <= limit, "{starts:?}");
            let total = most_shares * (starts.len() + 1) as f64;
            prop_assert!(f64::from(starts.iter().sum::<u32>()) <= total, "{starts:?}");
        }
    }
}

/// Guards against a joining entry that takes a full rate of its own before it knows the others.
#[test]
fn a_joining_entry_adds_little() {
    let mut entries = Entries::new(3, &[4_000; 3], 0.0, 1);
    entries.run(10);
    // The others have just sent their digests, and the next come in 0.7 s.
    (0..30).for_each(|step| assert!(entries.step(step) <= RATE));
    entries.quotas.push(Some(Quota::new(RATE, 4, entries.now)));
    entries.demand.push(4_000);
    let unheard: u32 = (30..100).map(|step| entries.step(step)).sum();
    assert!(unheard <= RATE * 7 / 10 * 106 / 100, "{unheard} starts in 0.7 s");
    let starts = entries.run(20);
    assert!(most(&starts) <= RATE * 105 / 100, "{starts:?}");
    assert!(mean(&starts[10..]) >= RATE * 95 / 100, "{starts:?}");
}

/// Guards against the others losing more than the dead entry's share, or taking it before they know.
#[test]
fn a_dead_entry_costs_its_share_until_it_is_removed() {
    let mut entries = Entries::new(4, &[4_000; 4], 0.0, 1);
    entries.run(10);
    entries.quotas[3] = None;
    let starts = entries.run(10);
    assert!(starts.iter().all(|count| (700..=1_010).contains(count)), "{starts:?}");
    for quota in entries.quotas.iter_mut().flatten() {
        quota.remove_peer("3", entries.now);
    }
    let starts = entries.run(10);
    assert!(most(&starts) <= RATE * 101 / 100, "{starts:?}");
    assert!(mean(&starts[5..]) >= RATE * 95 / 100, "{starts:?}");
}

/// Guards against a job larger than the bucket being refused for ever, and against free debt.
#[test]
fn a_large_job_gets_in_and_pays_its_debt() {
    let mut quota = Quota::new(10, 1, 0);
    let mut now = 5 * SECOND;
    quota.publish_demand(now);
    assert_eq!(quota.admit(110, now), Verdict::Accepted);
    let Verdict::Refused { retry_us } = quota.admit(1, now) else { panic!("debt is ignored") };
    assert!(retry_us >= 10 * SECOND, "{retry_us}");
    let mut accepted = 0;
    for _ in 0..600 {
        now += 100_000;
        accepted += 110 * u32::from(quota.admit(110, now) == Verdict::Accepted);
    }
    assert!((400..=700).contains(&accepted), "{accepted} tasks in 60 s at 10 a second");
}

/// Guards against a team without a limit being refused, and against a new limit without effect.
#[test]
fn the_limit_can_change() {
    let mut quota = Quota::new(0, 1, 0);
    assert!((0..10_000).all(|_| quota.admit(1, 0) == Verdict::Accepted));
    quota.set_rate(10, SECOND);
    let accepted = (0..100).filter(|_| quota.admit(1, SECOND) == Verdict::Accepted).count();
    assert!(accepted <= 10, "{accepted}");
    quota.set_rate(0, SECOND);
    assert_eq!(quota.admit(1, SECOND), Verdict::Accepted);
}
