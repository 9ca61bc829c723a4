//! Number of writes when many instances know a row that a restored table lacks.

use std::time::Duration;

use policy::rewrite::{
    Writer,
    own_delay,
    row_delay,
    shared_delay, //
};
use quickcheck::quickcheck;

/// Time from a write until all other instances have the row, at most.
const ARRIVAL: Duration = Duration::from_millis(600);
/// Period of the instances' checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

fn draw(seed: u32, index: usize) -> f64 {
    f64::from(
        (seed ^ index as u32)
            .wrapping_mul(0x9e37_79b9)
            .rotate_left(7),
    ) / f64::from(u32::MAX)
}

/// Number of instances that write: those whose time comes before the first write has arrived.
fn writes(writers: &[Writer], seed: u32) -> usize {
    let draws = (0..).map(|index| draw(seed, index));
    let delays = writers
        .iter()
        .zip(draws)
        .map(|(writer, draw)| shared_delay(*writer, writers.len(), draw));
    let delays: Vec<Duration> = delays.collect();
    let first = delays.iter().min().copied().unwrap_or_default();
    let is_late = |delay: &&Duration| **delay >= first + ARRIVAL;
    delays.len() - delays.iter().filter(is_late).count()
}

fn fleet(special: &[Writer], instances: usize) -> Vec<Writer> {
    let others = std::iter::repeat(Writer::Other);
    let special = special.iter().copied();
    special.chain(others).take(instances).collect()
}

quickcheck! {
    /// Guards against a herd: each of 84 or 890 instances knows that the row is lacking.
    fn few_of_many_instances_write_a_row_again(seed: u32) -> bool {
        let hubs = [Writer::Hub(0), Writer::Hub(1), Writer::Hub(2)];
        [84, 890].into_iter().all(|instances| {
            let with_writer = [&[Writer::Last], &hubs[..]].concat();
            writes(&fleet(&with_writer, instances), seed) == 1
                && writes(&fleet(&hubs, instances), seed) == 1
                && writes(&fleet(&hubs[1..], instances), seed) == 1
                // No hub knows the row.
                && writes(&fleet(&[], instances), seed) <= instances / 4
        })
    }

    /// Each instance writes its own row: no more than 150 in a second.
    fn own_rows_are_written_over_time(seed: u32) -> bool {
        [84, 890].into_iter().all(|instances| {
            let draws = (0..instances).map(|index| draw(seed, index));
            let mut delays: Vec<Duration> = draws.map(|draw| own_delay(instances, draw)).collect();
            delays.sort_unstable();
            let mut windows = delays.windows(150);
            windows.all(|window| window[149] - window[0] >= Duration::from_secs(1))
        })
    }
}

#[test]
fn all_have_had_their_turn_within_35_seconds() {
    let latest = shared_delay(Writer::Other, usize::MAX, 1.0) + CHECK_INTERVAL;
    assert!(latest < Duration::from_secs(35), "{latest:?}");
    assert!(own_delay(usize::MAX, 1.0) <= Duration::from_secs(10));
}

/// Load: a fleet in calm, in which each instance writes its own row now and then, and each write wakes
/// the hubs. The writes of the whole fleet stay as many at any size.
#[test]
fn own_rows_are_written_as_often_by_a_large_fleet_as_by_a_small_one() {
    for instances in 1..1_000 {
        let per_second = instances as f64 / row_delay(instances, None).as_secs_f64();
        assert!(per_second <= 0.5, "{instances}: {per_second}");
    }
}

/// Load: the table turns some instances away for seconds while their rows are due. Each used to try ten
/// times a second.
#[test]
fn a_row_that_cannot_be_written_is_tried_less_and_less_often() {
    for instances in [1, 8, 84, 195, 889] {
        let mut attempts = 0;
        let mut elapsed = Duration::ZERO;
        while elapsed < Duration::from_secs(8) {
            attempts += 1;
            elapsed += row_delay(instances, Some(attempts));
        }
        assert!(attempts <= 12, "{instances}: {attempts}");
        // It is written soon after the table's return.
        assert!(row_delay(instances, Some(attempts)) <= Duration::from_secs(5));
    }
}
