//! Engines whose pace differs from the initial values: slower and faster ones, fast and slow links,
//! a change in the middle, queues, cached prompts, hung engines.

use policy::{
    backlog::{
        Queue,
        Work, //
    },
    pace::{
        Estimator,
        Pace,
        Sample, //
    }, //
};

/// Pseudo-random numbers from 0 to 1.
struct Random(u64);

impl Random {
    fn next(&mut self) -> f32 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (self.0 >> 40) as f32 / (1_u64 << 24) as f32
    }
}

/// Feeds the estimator with samples of engines that have `pace`, with noise of `noise`.
fn feed(estimator: &mut Estimator, pace: Pace, noise: f32, random: &mut Random, count: usize) {
    for _ in 0..count {
        let was_idle = random.next() < 0.4;
        let computed = 0.2 + 6.0 * random.next() * random.next();
        let fetched = if random.next() < 0.3 {
            4.0 * random.next()
        } else {
            0.0
        };
        let base = if was_idle { pace.base } else { 0.0 };
        let seconds = base + pace.block * computed + pace.fetch * fetched;
        estimator.record(&Sample {
            seconds: seconds * (1.0 + noise * (random.next() - 0.5)),
            was_idle,
            computed,
            fetched,
        });
    }
}

fn assert_close(got: f32, expected: f32, tolerance: f32) {
    let error = (got / expected - 1.0).abs();
    assert!(error < tolerance, "{got} for {expected}");
}

#[test]
fn engines_at_any_pace_are_learned_within_some_tens_of_answers() {
    for factor in [0.1, 0.3, 1.0, 3.0, 10.0] {
        let initial = Pace::default();
        let pace = Pace {
            base: initial.base * factor,
            block: initial.block * factor,
            fetch: initial.fetch * factor,
        };
        let mut estimator = Estimator::default();
        feed(&mut estimator, pace, 0.6, &mut Random(7), 60);
        assert_close(estimator.pace().block, pace.block, 0.2);
        assert_close(
            estimator.pace().service_seconds(2.0, 0.0),
            pace.service_seconds(2.0, 0.0),
            0.2,
        );
    }
}

#[test]
fn links_slower_than_computing_are_noticed() {
    for relative in [0.02, 0.1, 0.5, 0.9] {
        let pace = Pace {
            fetch: relative * 0.02,
            block: 0.02,
            base: 0.05,
        };
        let mut estimator = Estimator::default();
        feed(&mut estimator, pace, 0.2, &mut Random(11), 600);
        let got = estimator.pace().relative_fetch_cost();
        assert!((got - relative).abs() < 0.12, "{got} for {relative}");
    }
}

#[test]
fn a_change_of_pace_in_the_middle_is_followed() {
    let mut random = Random(3);
    let mut estimator = Estimator::default();
    let fast = Pace {
        base: 0.03,
        block: 0.01,
        fetch: 0.002,
    };
    let slow = Pace {
        base: 0.1,
        block: 0.04,
        fetch: 0.008,
    };
    for pace in [fast, slow, fast] {
        feed(&mut estimator, pace, 0.4, &mut random, 900);
        assert_close(estimator.pace().block, pace.block, 0.15);
    }
}

/// One answer in ten takes fifty times as long, as from an engine that hangs, or a tenth as long,
/// since the prompt was cached unknown to us.
#[test]
fn outliers_do_not_move_the_pace_far() {
    let mut random = Random(5);
    let mut estimator = Estimator::default();
    let pace = Pace::default();
    for round in 0..100 {
        feed(&mut estimator, pace, 0.2, &mut random, 9);
        estimator.record(&Sample {
            seconds: if round % 2 == 0 { 5.0 } else { 0.01 },
            was_idle: true,
            computed: 1.0,
            fetched: 0.0,
        });
    }
    assert_close(estimator.pace().block, pace.block, 0.3);
}

#[test]
fn an_instance_that_restarts_goes_on_from_what_others_learned() {
    let learned = Pace {
        base: 0.02,
        block: 0.009,
        fetch: 0.001,
    };
    let mut estimator = Estimator::new(learned);
    assert_eq!(estimator.pace(), learned);
    feed(&mut estimator, learned, 0.4, &mut Random(9), 5);
    assert_close(estimator.pace().block, learned.block, 0.1);
}

/// Requests queue at an engine: each is timed from the start of the answer before it, so that the
/// pace does not seem to fall with the length of the queue.
#[test]
fn long_queues_do_not_look_like_slow_engines() {
    let pace = Pace {
        base: 0.04,
        block: 0.02,
        fetch: 0.004,
    };
    let mut estimator = Estimator::default();
    let mut random = Random(13);
    let mut now_ms = 0_u64;
    for round in 0..60_u64 {
        let mut queue = Queue::default();
        let count = 1 + round % 12;
        let blocks: Vec<f32> = (0..count).map(|_| 0.5 + 4.0 * random.next()).collect();
        for (ticket, blocks) in (0..).zip(&blocks) {
            let work = Work {
                computed: *blocks,
                ..Work::default()
            };
            queue.push(now_ms, ticket, work);
        }
        let mut seconds = pace.base;
        for (ticket, blocks) in (0..).zip(&blocks) {
            seconds += pace.block * blocks;
            let began_ms = now_ms + (seconds * 1_000.0) as u64;
            if let Some(sample) = queue.begin(began_ms, ticket) {
                estimator.record(&sample);
            }
        }
        now_ms += 10_000;
    }
    assert_close(estimator.pace().block, pace.block, 0.15);
    assert_close(estimator.pace().base, pace.base, 0.4);
}
