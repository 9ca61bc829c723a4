//! Bound of one instance's sends, and of the sum over many instances.

use policy::exposure::Ration;
use quickcheck::quickcheck;

use crate::fleet::{
    Random,
    SHARE,
    SLACK, //
};

quickcheck! {
    /// Guards against sends that an instance saves up without bound, or that exceed its share by more
    /// than one.
    fn sends_stay_within_the_share_plus_one(steps: Vec<(bool, bool)>, share: u8, seed: u64) -> bool {
        let (share, mut random) = (f64::from(share % 90) / 100.0, Random(seed));
        let mut ration = Ration::new(random.next());
        let (mut requests, mut sent) = (0.0, 0.0);
        steps.into_iter().all(|(is_request, is_wanted)| {
            if is_request {
                requests += 1.0;
                ration.record_request(share);
            }
            if is_wanted && ration.allows(share) {
                sent += 1.0;
                ration.record_sent(random.next());
            }
            sent <= share * requests + 1.0
        })
    }
}

/// Guards against a first send that each instance has for free: 890 of them would exceed the bound
/// alone, and each restart would give another one.
#[test]
fn the_sum_over_instances_with_few_requests_and_restarts_stays_within_the_bound() {
    let share = 0.9 * SHARE;
    let (mut all, mut all_sent) = (0.0, 0.0);
    for seed in 0..200 {
        let mut random = Random(seed);
        let count = [80, 890][seed as usize % 2];
        let mut rations: Vec<Ration> = (0..count).map(|_| Ration::new(random.next())).collect();
        let restarts = [0.0, 0.02, 0.5][seed as usize % 3];
        let (mut requests, mut sent) = (0.0, 0.0);
        for _ in 0..count * [1, 5, 20][random.below(3)] {
            let index = random.below(count);
            if random.next() < restarts {
                rations[index] = Ration::new(random.next());
            }
            requests += 1.0;
            rations[index].record_request(share);
            // The second attempt of the same request has no allowance of its own.
            for _ in 0..2 {
                if rations[index].allows(share) {
                    sent += 1.0;
                    rations[index].record_sent(random.next());
                }
            }
            assert!(
                sent <= SHARE * requests + SLACK,
                "seed {seed}: {sent} of {requests}"
            );
        }
        all += requests;
        all_sent += sent;
    }
    assert!(
        (all_sent / all / share - 1.0).abs() < 0.02,
        "{all_sent} of {all}"
    );
}

#[test]
fn nothing_is_sent_without_a_share_and_everything_may_be_at_the_end() {
    let mut ration = Ration::new(0.0);
    for _ in 0..100 {
        ration.record_request(0.1);
    }
    assert!(ration.allows(0.1));
    assert!(!ration.allows(0.0));
    assert!(Ration::new(0.99).allows(1.0));
}
