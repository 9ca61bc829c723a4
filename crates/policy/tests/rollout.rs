//! Selection of the engines that load new weights, and backoff after failures.

use policy::rollout::{
    Weights,
    load_backoff,
    max_loading,
    pick_within, //
};

#[test]
fn a_fifth_of_the_engines_and_at_least_three_load() {
    assert_eq!(max_loading(18), 3);
    assert_eq!(max_loading(60), 12);
    assert_eq!(max_loading(90), 18);
    assert_eq!(max_loading(0), 3);
}

#[test]
fn pick_within_keeps_the_order_of_engines() {
    let engines = [Weights::Wanted, Weights::Other, Weights::Loading]
        .into_iter()
        .chain([Weights::Other; 5])
        .collect::<Vec<_>>();
    assert_eq!(pick_within(&engines, 1, 3), [1, 3]);
    assert_eq!(pick_within(&engines, 3, 3), Vec::<usize>::new());
}

#[test]
fn at_most_half_of_the_engines_are_unavailable() {
    let engines = [Weights::Loading, Weights::Other, Weights::Other];
    assert_eq!(pick_within(&engines, 1, 18), Vec::<usize>::new());
}

/// Guards against slow rollouts when a quarter of the engines does not answer for a long time: each
/// attempt counts as one of the engines that may load at the same time.
#[test]
fn load_backoff_doubles_up_to_a_maximum() {
    let backoffs: Vec<u64> = (1..6).map(|n| load_backoff(n).as_secs()).collect();
    assert_eq!(backoffs, [2, 4, 8, 8, 8]);
    assert_eq!(load_backoff(u32::MAX).as_secs(), 8);
}
