//! Guards against a team receiving more than its rate, or much less, while entries join, leave and
//! lose digests.

use kingcup_dispatch::quota::{Quota, Verdict};
use proptest::prelude::*;
use rstest::rstest;

const SECOND_US: u64 = 1_000_000;
const STEP_US: u64 = 10_000;
const RATE: u32 = 1_000;

/// Entries that receive jobs of one team and exchange digests once a second.
struct Entries {
    quotas: Vec<Option<Quota>>,
    /// Number of single-task jobs that arrive at each entry per second.
    demand: Vec<u32>,
    loss_ratio: f64,
    rng: fastrand::Rng,
    now: u64,
}

impl Entries {
    fn new(count: usize, demand: &[u32], loss_ratio: f64, seed: u64) -> Self {
        Self {
            quotas: (0..count).map(|_| Some(Quota::new(RATE, count, 0))).collect(),
            demand: demand.to_vec(),
            loss_ratio,
            rng: fastrand::Rng::with_seed(seed),
            now: 0,
        }
    }

    /// Simulates a number of seconds and returns the starts in each.
    fn run(&mut self, seconds: u64) -> Vec<u32> {
        (0..seconds).map(|_| (0..100).map(|step| self.step(step)).sum()).collect()
    }

    fn step(&mut self, step: u64) -> u32 {
        self.now += STEP_US;
        let mut started = 0;
        for index in 0..self.quotas.len() {
            let Some(quota) = &mut self.quotas[index] else { continue };
            for _ in 0..self.demand[index] / 100 {
                started += u32::from(quota.admit(1, self.now) == Verdict::Accepted);
            }
            if step == index as u64 * 7 % 100 {
                let published = quota.publish_demand(self.now);
                self.send_digest(index, published);
            }
        }
        started
    }

    fn send_digest(&mut self, from: usize, published: u32) {
        for (index, quota) in self.quotas.iter_mut().enumerate() {
            let lost = self.rng.f64() < self.loss_ratio;
            if let Some(quota) = quota.as_mut().filter(|_| index != from && !lost) {
                quota.record_demand(&from.to_string(), published, self.now);
            }
        }
    }
}

fn max_starts(starts: &[u32]) -> u32 {
    starts.iter().copied().max().unwrap_or(0)
}

fn mean_starts(starts: &[u32]) -> u32 {
    starts.iter().sum::<u32>() / starts.len() as u32
}

/// Guards against entries with unequal demand that exceed the rate or leave much of it unused.
#[rstest]
#[case(&[5_000])]
#[case(&[5_000, 5_000, 5_000])]
#[case(&[9_000, 500, 100])]
#[case(&[3_000, 0, 0, 0, 0, 0])]
fn entries_use_the_whole_rate_and_no_more(#[case] demand: &[u32]) {
    let mut entries = Entries::new(demand.len(), demand, 0.0, 1);
    entries.run(20);
    let starts = entries.run(20);
    assert!(max_starts(&starts) <= RATE * 101 / 100, "{starts:?}");
    assert!(mean_starts(&starts) >= RATE * 88 / 100, "{starts:?}");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(40))]

    /// Guards against exceeding the documented bounds when demand moves between entries: the rate
    /// while digests arrive, and twice the rate while they are lost, plus the burst of one second.
    #[test]
    fn lost_digests_at_most_double_the_rate(
        seed in any::<u64>(),
        loss_ratio in prop::sample::select(vec![0.0, 0.3, 1.0]),
        initial_demand in prop::sample::select(vec![100u32, 4_000]),
        demands in prop::collection::vec(prop::collection::vec(0u32..6_000, 4), 1..5),
    ) {
        let mut entries = Entries::new(4, &[initial_demand; 4], 0.0, seed);
        entries.run(10);
        entries.loss_ratio = loss_ratio;
        for demand in demands {
            entries.demand = demand;
            let starts = entries.run(6);
            let sum: f64 = (0..4)
                .map(|at| entries.quotas[at].as_mut().unwrap().share_per_s(entries.now))
                .sum();
            let max_total_share = if loss_ratio == 0.0 { 1.0001 } else { 2.0 } * f64::from(RATE);
            prop_assert!(sum <= max_total_share, "shares add up to {sum}");
            // A bucket that was filled while its share was unused holds one second of that share.
            let limit = max_total_share * 2.0;
            prop_assert!(f64::from(max_starts(&starts)) <= limit, "{starts:?}");
            let total = max_total_share * (starts.len() + 1) as f64;
            prop_assert!(f64::from(starts.iter().sum::<u32>()) <= total, "{starts:?}");
        }
    }
}

/// Guards against a joining entry that uses the whole rate before it has received the others'
/// digests.
#[test]
fn a_joining_entry_exceeds_the_rate_by_little() {
    let mut entries = Entries::new(3, &[4_000; 3], 0.0, 1);
    entries.run(10);
    // The others have just sent their digests; the next ones follow in 0.7 s.
    (0..30).for_each(|step| assert!(entries.step(step) <= RATE));
    entries.quotas.push(Some(Quota::new(RATE, 4, entries.now)));
    entries.demand.push(4_000);
    let before_digests: u32 = (30..100).map(|step| entries.step(step)).sum();
    assert!(before_digests <= RATE * 7 / 10 * 106 / 100, "{before_digests} starts in 0.7 s");
    let starts = entries.run(20);
    assert!(max_starts(&starts) <= RATE * 105 / 100, "{starts:?}");
    assert!(mean_starts(&starts[10..]) >= RATE * 95 / 100, "{starts:?}");
}

/// Guards against the other entries losing more than the failed entry's share, or using it before
/// the entry is removed.
#[test]
fn the_share_of_a_failed_entry_is_unused_until_its_removal() {
    let mut entries = Entries::new(4, &[4_000; 4], 0.0, 1);
    entries.run(10);
    entries.quotas[3] = None;
    let starts = entries.run(10);
    assert!(starts.iter().all(|count| (700..=1_010).contains(count)), "{starts:?}");
    for quota in entries.quotas.iter_mut().flatten() {
        quota.remove_peer("3", entries.now);
    }
    let starts = entries.run(10);
    assert!(max_starts(&starts) <= RATE * 101 / 100, "{starts:?}");
    assert!(mean_starts(&starts[5..]) >= RATE * 95 / 100, "{starts:?}");
}

/// Guards against a job larger than the bucket being refused forever, and against tasks beyond the
/// bucket that are not repaid.
#[test]
fn a_job_larger_than_the_bucket_is_accepted_and_repaid() {
    let mut quota = Quota::new(10, 1, 0);
    let mut now = 5 * SECOND_US;
    quota.publish_demand(now);
    assert_eq!(quota.admit(110, now), Verdict::Accepted);
    let Verdict::Refused { retry_us } = quota.admit(1, now) else { panic!("debt is ignored") };
    assert!(retry_us >= 10 * SECOND_US, "{retry_us}");
    let mut accepted = 0;
    for _ in 0..600 {
        now += 100_000;
        accepted += 110 * u32::from(quota.admit(110, now) == Verdict::Accepted);
    }
    assert!((400..=700).contains(&accepted), "{accepted} tasks in 60 s at 10 a second");
}

/// Guards against refusals for a team without a limit, and against a new limit without effect.
#[test]
fn the_rate_can_change() {
    let mut quota = Quota::new(0, 1, 0);
    assert!((0..10_000).all(|_| quota.admit(1, 0) == Verdict::Accepted));
    quota.set_rate(10, SECOND_US);
    let accepted = (0..100).filter(|_| quota.admit(1, SECOND_US) == Verdict::Accepted).count();
    assert!(accepted <= 10, "{accepted}");
    quota.set_rate(0, SECOND_US);
    assert_eq!(quota.admit(1, SECOND_US), Verdict::Accepted);
}
