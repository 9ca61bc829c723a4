//! The retry budget that all instances share.

use policy::retry_share::{
    Allowance,
    Budget, //
};
use quickcheck::quickcheck;

const ALLOWANCE: Allowance = Allowance {
    ratio: 0.2,
    slack: 52.0,
};

quickcheck! {
    /// Guards against retries that multiply the load while endpoints fail and callers retry at once
    /// and often.
    fn retries_stay_within_ratio_and_slack(steps: Vec<bool>, instances: u8) -> bool {
        let instances = usize::from(instances % 90) + 1;
        let mut budget = Budget::default();
        let (mut first_attempts, mut retries) = (0.0, 0.0);
        let share = (ALLOWANCE.slack / instances as f64).max(1.0);
        steps.into_iter().all(|is_first| {
            if is_first {
                first_attempts += 1.0;
                budget.earn(ALLOWANCE);
            } else if budget.spend(ALLOWANCE, instances) {
                retries += 1.0;
            }
            retries <= ALLOWANCE.ratio * first_attempts + share
        })
    }
}

#[test]
fn an_instance_without_first_attempts_has_a_few_retries() {
    let mut budget = Budget::default();
    let retries = (0..100).filter(|_| budget.spend(ALLOWANCE, 6)).count();
    assert_eq!(retries, 6);
}
