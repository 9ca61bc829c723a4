//! Guards against sizes and times from outside that are enormous, negative or not numbers: they must
//! not end the process, nor spread to the expectations for other requests.

use std::time::Duration;

use policy::{
    admission::{
        Capacity,
        average_duration, //
    },
    fair::{
        CLASSES,
        MAY_WAIT, //
    },
    pace::expectation,
    prefix::{
        Chain,
        Level, //
    }, //
};
use quickcheck::quickcheck;

const ODD: [f32; 8] = [
    0.0,
    -1.0,
    1.0,
    1e30,
    f32::MAX,
    f32::INFINITY,
    f32::NEG_INFINITY,
    f32::NAN,
];

fn chain(lengths: &[f32], tail: f32) -> Chain {
    let level = |(hash, blocks): (usize, &f32)| Level {
        hash: hash as u64,
        blocks: *blocks,
    };
    Chain {
        levels: lengths.iter().enumerate().map(level).collect(),
        tail,
    }
}

#[test]
fn an_expected_time_is_bounded() {
    for seconds in ODD {
        assert!(expectation(seconds) <= Duration::from_secs(3_600));
    }
    assert_eq!(expectation(f32::NAN), Duration::ZERO);
    assert_eq!(expectation(-1.0), Duration::ZERO);
    assert_eq!(expectation(0.5), Duration::from_millis(500));
    assert_eq!(expectation(f32::INFINITY), Duration::from_secs(3_600));
}

#[test]
fn a_prompt_is_cut_to_what_an_engine_can_hold() {
    for a in ODD {
        for b in ODD {
            for tail in ODD {
                let mut chain = chain(&[a, b], tail);
                chain.truncate(40.0);
                let lengths = chain.levels.iter().map(|level| level.blocks);
                assert!(lengths.chain([chain.tail]).all(|length| length >= 0.0));
                assert!(chain.total_blocks() <= 40.0, "{a} {b} {tail}");
            }
        }
    }
    let whole = chain(&[2.0, 3.0], 4.0);
    let mut cut = whole.clone();
    cut.truncate(9.0);
    assert_eq!(cut, whole);
    cut.truncate(4.0);
    assert_eq!(cut, chain(&[2.0, 2.0], 0.0));
}

quickcheck! {
    fn segments_of_any_size_give_a_bounded_prompt(segments: Vec<(u64, u64)>) -> bool {
        let enormous = segments.iter().map(|&(id, tokens)| (id, u64::MAX - tokens % 3));
        let mut chain = Chain::from_segments(1, enormous.collect::<Vec<_>>().into_iter());
        chain.truncate(100.0);
        chain.total_blocks() <= 100.0
    }
}

/// Numbers of slots come from outside; in a release build an overflow would wrap.
#[test]
fn any_number_of_slots_gives_a_limit() {
    for slots in [0, 1, 2, 61_356_676, u32::MAX / 70 + 1, u32::MAX] {
        for instances in [0, 1, u32::MAX] {
            for running in [[0; CLASSES], [1; CLASSES], [u32::MAX; CLASSES]] {
                let capacity = Capacity {
                    slots,
                    instances,
                    running,
                };
                let idle = running == [0; CLASSES];
                assert_eq!(capacity.may_start(MAY_WAIT), idle || is_below(&capacity));
                let wait = capacity.wait(MAY_WAIT, usize::MAX, Duration::MAX);
                assert!(wait >= capacity.wait(MAY_WAIT, 0, Duration::from_secs(1)));
            }
        }
    }
    assert!(average_duration(Duration::MAX, Duration::MAX) >= Duration::MAX / 8);
    let average = average_duration(Duration::from_secs(8), Duration::from_secs(16));
    assert_eq!(average, Duration::from_secs(9));
}

/// Whether fewer requests run than this instance's share of 70 % of the slots.
fn is_below(capacity: &Capacity) -> bool {
    let running: u64 = capacity.running.iter().map(|count| u64::from(*count)).sum();
    let share = u64::from(capacity.slots) * 70 / 100 / u64::from(capacity.instances.max(1));
    running < share.max(1)
}
