//! Which engines load next while several versions are named in a row.

use policy::rollout::{
    Weights,
    failed_pause,
    most_loading,
    pick_within, //
};

#[test]
fn a_fifth_of_the_engines_loads_and_never_under_three() {
    assert_eq!(most_loading(18), 3);
    assert_eq!(most_loading(60), 12);
    assert_eq!(most_loading(90), 18);
    assert_eq!(most_loading(0), 3);
}

#[test]
fn engines_load_in_the_order_given() {
    let engines = [Weights::Wanted, Weights::Other, Weights::Loading]
        .into_iter()
        .chain([Weights::Other; 5])
        .collect::<Vec<_>>();
    assert_eq!(pick_within(&engines, 1, 3), [1, 3]);
    assert_eq!(pick_within(&engines, 3, 3), Vec::<usize>::new());
}

#[test]
fn at_most_half_of_the_engines_is_out() {
    let engines = [Weights::Loading, Weights::Other, Weights::Other];
    assert_eq!(pick_within(&engines, 1, 18), Vec::<usize>::new());
}

/// Pattern: a quarter of the engines is silent for a long time; each try holds a place of those
/// that load.
#[test]
fn engines_that_fail_are_tried_less_and_less() {
    let pauses: Vec<u64> = (1..6).map(|n| failed_pause(n).as_secs()).collect();
    assert_eq!(pauses, [2, 4, 8, 8, 8]);
    assert_eq!(failed_pause(u32::MAX).as_secs(), 8);
}
