//! The budget for repeats that all instances share.

use policy::repeat::{
    Allowance,
    Budget, //
};
use quickcheck::quickcheck;

const ALLOWANCE: Allowance = Allowance {
    ratio: 0.2,
    slack: 52.0,
};

quickcheck! {
    /// Pattern: callers retry at once and often while endpoints fail.
    fn repeats_stay_within_ratio_and_slack(steps: Vec<bool>, instances: u8) -> bool {
        let instances = usize::from(instances % 90) + 1;
        let mut budget = Budget::default();
        let (mut first, mut repeats) = (0.0, 0.0);
        let part = (ALLOWANCE.slack / instances as f64).max(1.0);
        steps.into_iter().all(|is_first| {
            if is_first {
                first += 1.0;
                budget.earn(ALLOWANCE);
            } else if budget.spend(ALLOWANCE, instances) {
                repeats += 1.0;
            }
            repeats <= ALLOWANCE.ratio * first + part
        })
    }
}

#[test]
fn an_instance_that_has_served_nothing_has_a_few_repeats() {
    let mut budget = Budget::default();
    let repeats = (0..100).filter(|_| budget.spend(ALLOWANCE, 6)).count();
    assert_eq!(repeats, 6);
}
