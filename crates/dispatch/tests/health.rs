//! Guards against failing upstreams that keep receiving work, and healthy ones that are ejected.

use std::collections::BTreeSet;

use kingcup_dispatch::health::{Change, Health, State, FAILED_TASKS, PROBE_US};
use proptest::prelude::*;
use rstest::rstest;

const SLOTS: u16 = 8;

fn fleet(count: u32) -> Health<u32> {
    let mut health = Health::new(0);
    (0..count).for_each(|upstream| health.add(upstream));
    health
}

/// Ends one task at every upstream from `first_upstream` on, with this failure ratio.
fn run_background_tasks(
    health: &mut Health<u32>,
    first_upstream: u32,
    count: u32,
    failure_ratio: f64,
    rng: &mut fastrand::Rng,
) {
    for upstream in first_upstream..count {
        let job = rng.u64(..);
        if rng.f64() < failure_ratio {
            health.failed(upstream, job, 0);
        } else {
            health.succeeded(upstream, job, SLOTS, 0);
        }
    }
}

proptest! {
    /// Guards against more than 20 failed tasks at an upstream that fails every task, and against
    /// ejection for failures of fewer than four jobs, for any size of jobs and order of ends.
    #[test]
    fn a_failing_upstream_is_ejected_within_twenty_failed_tasks(
        seed in any::<u64>(),
        tasks in 1u32..110,
        rounds_before in 0u32..200,
        in_order in any::<bool>(),
    ) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut health = fleet(10);
        (0..rounds_before).for_each(|_| run_background_tasks(&mut health, 0, 10, 0.0, &mut rng));
        let (mut outstanding, mut failed) = (Vec::new(), 0);
        let (mut job, mut tasks_left, mut failed_jobs) = (0u64, tasks, BTreeSet::new());
        while !matches!(health.state(0), Some(State::Ejected { .. })) {
            run_background_tasks(&mut health, 1, 10, 0.02, &mut rng);
            if tasks_left == 0 || failed_jobs.contains(&job) {
                (job, tasks_left) = (job + 1, rng.u32(1..=tasks));
            }
            while tasks_left > 0 && outstanding.len() < usize::from(health.allowance(0, SLOTS, 0)) {
                outstanding.push(job);
                tasks_left -= 1;
            }
            if !outstanding.is_empty() {
                let at = if in_order { 0 } else { rng.usize(..outstanding.len()) };
                let job = outstanding.remove(at);
                health.failed(0, job, 0);
                failed_jobs.insert(job);
                failed += 1;
            }
        }
        prop_assert!(failed + outstanding.len() as u32 <= FAILED_TASKS, "{failed} failed");
        prop_assert!(failed_jobs.len() >= 4);
        prop_assert_eq!(health.ejected(), 1);
    }

    /// Guards against ejections when all upstreams have the same failure ratio, which means that
    /// the work is faulty.
    #[test]
    fn equal_failure_ratios_eject_nobody(seed in any::<u64>(), percent in 0u32..95) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut health = fleet(10);
        for round in 0..3_000u64 {
            run_background_tasks(&mut health, 0, 10, f64::from(percent) / 100.0, &mut rng);
            health.tick(round * 20_000);
        }
        prop_assert_eq!(health.ejected(), 0);
    }

    /// Guards against ejecting more than 30% of the fleet, however many upstreams fail.
    #[test]
    fn at_most_thirty_percent_are_ejected(
        count in 1u32..40,
        failing in 0u32..40,
        seed in any::<u64>(),
    ) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut health = fleet(count);
        let failing = failing.min(count);
        for round in 0..200 {
            for upstream in 0..failing {
                health.failed(upstream, rng.u64(..), round);
            }
            run_background_tasks(&mut health, failing, count, 0.0, &mut rng);
            prop_assert!(health.ejected() * 100 <= count as usize * 30);
        }
        let expected = (count as usize * 30 / 100).min(failing as usize);
        if failing * 2 < count {
            prop_assert_eq!(health.ejected(), expected);
        }
    }
}

/// Guards against an ejection by chance while the fleet's ratio is estimated from few tasks. Each
/// case is a seed with which `equal_failure_ratios_eject_nobody` once failed.
#[rstest]
#[case(12_484_816_506_728_049_037, 26)]
fn random_failures_in_few_tasks_eject_nobody(#[case] seed: u64, #[case] percent: u32) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut health = fleet(10);
    for round in 0..3_000u64 {
        run_background_tasks(&mut health, 0, 10, f64::from(percent) / 100.0, &mut rng);
        health.tick(round * 20_000);
    }
    assert_eq!(health.ejected(), 0);
}

/// Guards against ejection because of a job that fails on every upstream.
#[rstest]
#[case::without_other_work(0)]
#[case::after_successful_work(300)]
fn a_job_that_fails_everywhere_ejects_nobody(#[case] successful_rounds: u32) {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut health = fleet(10);
    (0..successful_rounds).for_each(|_| run_background_tasks(&mut health, 0, 10, 0.0, &mut rng));
    for job in 0..50 {
        for task in 0..80 {
            health.failed(task % 10, job, 0);
        }
    }
    assert_eq!(health.ejected(), 0);
}

/// Guards against three failing upstreams, for example of one rack, staying in service because the
/// jobs that fail on all three are considered faulty.
#[test]
fn failing_upstreams_are_ejected_when_they_fail_the_same_jobs() {
    let mut health = fleet(10);
    for job in 0..40 {
        for upstream in (0..10).rev() {
            match upstream {
                0..3 => health.failed(upstream, job, 0),
                _ => health.succeeded(upstream, job, SLOTS, 0),
            };
        }
    }
    assert_eq!(health.ejected(), 3);
}

/// Guards against keeping an upstream that fails every second task, which never has enough
/// consecutive failures to be ejected for these.
#[test]
fn an_upstream_that_fails_half_its_tasks_is_ejected() {
    let mut rng = fastrand::Rng::with_seed(2);
    let mut health = fleet(10);
    for job in 0..200u64 {
        match job % 2 {
            0 => health.failed(0, job, 0),
            _ => health.succeeded(0, job, SLOTS, 0),
        };
        run_background_tasks(&mut health, 1, 10, 0.02, &mut rng);
    }
    assert!(matches!(health.state(0), Some(State::Ejected { .. })));
}

/// Guards against ejection by comparison with a few tasks that may have succeeded by chance.
#[test]
fn ejection_needs_more_failures_with_few_samples() {
    let mut rng = fastrand::Rng::with_seed(3);
    let mut health = fleet(10);
    (0..3).for_each(|_| run_background_tasks(&mut health, 1, 10, 0.0, &mut rng));
    let failed = (1..).find(|job| health.failed(0, *job, 0).is_some()).unwrap();
    assert!((11..=u64::from(FAILED_TASKS)).contains(&failed), "ejected after {failed} failures");
}

/// Guards against more than one probe within 5 s, and against a recovery with all slots at once.
#[test]
fn an_ejected_upstream_is_probed_and_recovers_gradually() {
    let mut health = fleet(10);
    let mut job = 0..;
    while health.ejected() == 0 {
        health.failed(0, job.next().unwrap(), 0);
    }
    assert_eq!(health.allowance(0, SLOTS, PROBE_US - 1), 0);
    assert_eq!(health.allowance(0, SLOTS, PROBE_US), 1);
    assert_eq!(health.failed(0, job.next().unwrap(), PROBE_US), None);
    assert_eq!(health.allowance(0, SLOTS, 2 * PROBE_US - 1), 0);
    assert_eq!(health.succeeded(0, 900, SLOTS, 2 * PROBE_US), Some(Change::Recovering));
    let mut levels = vec![health.allowance(0, SLOTS, 2 * PROBE_US)];
    for job in 901.. {
        let change = health.succeeded(0, job, SLOTS, 0);
        levels.push(health.allowance(0, SLOTS, 2 * PROBE_US));
        if change == Some(Change::Readmitted) {
            break;
        }
    }
    assert_eq!(levels, [1, 2, 3, 4, 5, 6, 7, 8]);
}

/// Guards against a recovery that continues although the upstream fails again.
#[test]
fn a_failure_during_recovery_ejects_again() {
    let mut health = fleet(10);
    for job in 0..20 {
        health.failed(0, job, 0);
    }
    health.succeeded(0, 100, SLOTS, PROBE_US);
    assert_eq!(health.failed(0, 101, 0), Some(Change::Ejected));
    assert_eq!(health.restarted(0), Some(Change::Recovering));
    assert_eq!((health.ejected(), health.allowance(0, SLOTS, 0)), (0, 1));
}
