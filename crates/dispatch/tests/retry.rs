//! Guards against retries that run work twice or add load to an overloaded or failing fleet.

use kingcup_dispatch::{
    code::Code,
    retry::{Attempt, Budget, BUDGET_FLOOR, MAX_RETRIES},
};
use proptest::prelude::*;
use rstest::rstest;

const JOB_TASK: Attempt = Attempt { idempotent: false, retries: 0 };
const IDEMPOTENT_REQUEST: Attempt = Attempt { idempotent: true, retries: 0 };

/// Guards against a second run of a job's task or of a non-idempotent request, against retries that
/// cannot succeed, and against unlimited retries of one request.
#[rstest]
#[case(JOB_TASK, Code::Busy, true)]
#[case(JOB_TASK, Code::UpstreamLost, false)]
#[case(JOB_TASK, Code::TaskFailed, false)]
#[case(IDEMPOTENT_REQUEST, Code::UpstreamLost, true)]
#[case(IDEMPOTENT_REQUEST, Code::TaskFailed, true)]
#[case(IDEMPOTENT_REQUEST, Code::BadRequest, false)]
#[case(IDEMPOTENT_REQUEST, Code::Stopped, false)]
#[case(Attempt { retries: MAX_RETRIES, ..IDEMPOTENT_REQUEST }, Code::Busy, false)]
fn only_safe_retries_are_allowed(
    #[case] attempt: Attempt,
    #[case] code: Code,
    #[case] allowed: bool,
) {
    assert_eq!(Budget::new().try_retry(attempt, code, 0), allowed);
}

/// Guards against retries of tasks after a code with which they may have run.
#[test]
fn tasks_that_may_have_run_are_never_retried() {
    for code in Code::ALL.iter().filter(|code| !code.may_resubmit()) {
        assert!(!Budget::new().try_retry(JOB_TASK, *code, 0), "{code}");
    }
}

proptest! {
    /// Guards against more retries within 10 s than the floor plus 10% of the first attempts, and
    /// against more than the floor while all attempts fail.
    #[test]
    fn retries_stay_within_the_budget(
        steps in prop::collection::vec((0u64..300_000, 0u64..30, any::<bool>()), 1..300),
        all_fail in any::<bool>(),
    ) {
        let mut budget = Budget::new();
        let (mut now, mut firsts, mut retries) = (0, Vec::new(), Vec::new());
        for (wait_us, first_attempts, succeeded) in steps {
            now += wait_us;
            for _ in 0..first_attempts {
                budget.record_first(now);
                budget.record_end(succeeded && !all_fail, now);
                firsts.push(now);
            }
            let allowed_retries = (0..9)
                .filter(|_| budget.try_retry(IDEMPOTENT_REQUEST, Code::UpstreamLost, now))
                .count();
            retries.extend(vec![now; allowed_retries]);
            if allowed_retries == 0 {
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
