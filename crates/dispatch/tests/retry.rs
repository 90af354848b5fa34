//! Guards against retries that run work twice or add load to a fleet in trouble.

use kingcup_dispatch::{
    code::Code,
    retry::{Attempt, Budget, BUDGET_FLOOR, MAX_RETRIES},
};
use proptest::prelude::*;
use rstest::rstest;

const TASK: Attempt = Attempt { idempotent: false, retries: 0 };
const SINGLE: Attempt = Attempt { idempotent: true, retries: 0 };

/// Guards against a second run of a task of a job or a non-idempotent request, against retries that
/// cannot help, and against one request being retried without end.
#[rstest]
#[case(TASK, Code::Busy, true)]
#[case(TASK, Code::UpstreamLost, false)]
#[case(TASK, Code::TaskFailed, false)]
#[case(SINGLE, Code::UpstreamLost, true)]
#[case(SINGLE, Code::TaskFailed, true)]
#[case(SINGLE, Code::BadRequest, false)]
#[case(SINGLE, Code::Stopped, false)]
#[case(Attempt { retries: MAX_RETRIES, ..SINGLE }, Code::Busy, false)]
fn only_safe_retries(#[case] attempt: Attempt, #[case] code: Code, #[case] allowed: bool) {
    assert_eq!(Budget::new().try_retry(attempt, code, 0), allowed);
}

/// Guards against a code that allows a second run being added to those retried.
#[test]
fn what_may_have_run_is_never_retried_unless_idempotent() {
    for code in Code::ALL.iter().filter(|code| !code.may_resubmit()) {
        assert!(!Budget::new().try_retry(TASK, *code, 0), "{code}");
    }
}

proptest! {
    /// Guards against more retries in 10 s than the floor and 10% of first attempts, and against
    /// more than the floor while everything fails.
    #[test]
    fn retries_keep_to_the_budget(
        steps in prop::collection::vec((0u64..300_000, 0u64..30, any::<bool>()), 1..300),
        all_fail in any::<bool>(),
    ) {
        let mut budget = Budget::new();
        let (mut now, mut firsts, mut retries) = (0, Vec::new(), Vec::new());
        for (wait, first, succeeded) in steps {
            now += wait;
            for _ in 0..first {
                budget.record_first(now);
                budget.record_end(succeeded && !all_fail, now);
                firsts.push(now);
            }
            let granted = (0..9).filter(|_| budget.try_retry(SINGLE, Code::UpstreamLost, now)).count();
            retries.extend(vec![now; granted]);
            if granted == 0 {
                continue;
            }
            let second = now / 1_000_000;
            let recent = |times: &[u64]| -> u64 {
                times.iter().filter(|at| **at / 1_000_000 + 10 > second).count() as u64
            };
            let earned = if all_fail { 0 } else { recent(&firsts) / 10 };
            prop_assert!(recent(&retries) <= BUDGET_FLOOR + earned);
        }
    }
}
