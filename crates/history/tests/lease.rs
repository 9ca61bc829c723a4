//! The checkers of the lease detect histories with violations.

use std::time::Duration;

use history::lease::{
    Observation,
    Order,
    Outcome,
    Write,
    is_linearizable,
    late_orders,
    overlaps, //
};

fn write(expected: u64, new: u64, outcome: Outcome, from: u64, to: u64) -> Write {
    Write {
        process: 0,
        expected,
        new,
        outcome,
        span: (Duration::from_secs(from), Duration::from_secs(to)),
    }
}

#[test]
fn only_linearizable_writes_pass() {
    use Outcome::{
        Applied,
        Refused,
        Unknown, //
    };
    let good = [
        write(0, 1, Applied, 1, 2),
        write(0, 2, Refused, 1, 3),
        write(1, 3, Unknown, 4, 5),
        write(3, 4, Applied, 6, 7),
    ];
    assert!(is_linearizable(&good));
    let two_winners = [write(0, 1, Applied, 1, 2), write(0, 2, Applied, 1, 3)];
    assert!(!is_linearizable(&two_winners));
    let refused_without_cause = [write(0, 1, Applied, 1, 2), write(1, 2, Refused, 3, 4)];
    assert!(!is_linearizable(&refused_without_cause));
    let replaced_before_it_was_written = [write(1, 2, Applied, 1, 2), write(0, 1, Applied, 3, 4)];
    assert!(!is_linearizable(&replaced_before_it_was_written));
}

#[test]
fn concurrent_holders_are_detected() {
    let observation = |process, number, at, until| Observation {
        process,
        number,
        at: Duration::from_secs(at),
        until: Duration::from_secs(until),
    };
    let good = [
        observation(0, 1, 1, 5),
        observation(0, 1, 3, 7),
        observation(1, 2, 7, 9),
    ];
    assert!(overlaps(&good).is_empty());
    let bad = [
        observation(0, 1, 1, 5),
        observation(0, 1, 3, 7),
        observation(1, 2, 6, 9),
    ];
    assert_eq!(overlaps(&bad).len(), 1);
    let after_its_term = [
        observation(0, 1, 1, 5),
        observation(1, 2, 7, 9),
        observation(0, 1, 8, 5),
    ];
    assert_eq!(overlaps(&after_its_term).len(), 1);
    let same_number = [observation(0, 1, 1, 2), observation(1, 1, 3, 4)];
    assert!(!overlaps(&same_number).is_empty());
}

#[test]
fn an_order_of_a_previous_holder_that_takes_effect_is_detected() {
    let order = |fencing, taken| Order { fencing, taken };
    let good = [order(1, true), order(2, true), order(1, false)];
    assert!(late_orders(&good).is_empty());
    let bad = [order(1, true), order(2, true), order(1, true)];
    assert_eq!(late_orders(&bad), [order(1, true)]);
}
