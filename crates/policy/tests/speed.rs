//! Speed of one engine, learned from its answers.

use policy::{
    belief::Millis,
    pace::{
        Pace,
        Sample, //
    },
    speed::{
        Reference,
        Speed, //
    }, //
};

const PACE: Pace = Pace {
    base: 0.02,
    block: 0.05,
    fetch: 0.0,
};

/// An answer of an engine that takes `factor` of the time.
fn sample(factor: f32) -> Sample {
    Sample {
        seconds: 0.1 * factor,
        was_idle: false,
        computed: 2.0,
        fetched: 0.0,
    }
}

/// Records an answer every 50 ms from `from` to `to`.
fn record(speed: &mut Speed, from: Millis, to: Millis, factor: f32) {
    for now in (from..to).step_by(50) {
        speed.record(now, &sample(factor), &PACE, 1.0);
    }
}

/// Guards against a wrong speed of engines that run steadily, and against trust in few answers.
#[test]
fn the_factor_is_learned_from_many_answers_and_not_from_one() {
    for factor in [0.6, 1.0, 1.6] {
        let mut speed = Speed::default();
        speed.record(0, &sample(factor), &PACE, 1.0);
        assert!((speed.factor(0, 1.0) - 1.0).abs() < 0.1);
        record(&mut speed, 50, 6_000, factor);
        assert!((speed.factor(6_000, 1.0) - factor).abs() < 0.2 * factor);
    }
}

/// Guards against engines that are avoided for seconds after a short slow spell or a single hang, and
/// against a factor that stays once the engine gets no requests.
#[test]
fn short_spells_and_hangs_are_forgotten() {
    let mut speed = Speed::default();
    record(&mut speed, 0, 5_000, 1.0);
    record(&mut speed, 5_000, 5_600, 2.5);
    assert!(speed.factor(5_600, 1.0) < 1.3);
    speed.record(5_600, &sample(1_000.0), &PACE, 1.0);
    assert!(speed.factor(5_600, 1.0) < 1.35);
    record(&mut speed, 5_650, 10_000, 1.0);
    assert!(speed.factor(10_000, 1.0) < 1.1);

    let mut slow = Speed::default();
    record(&mut slow, 0, 10_000, 9.0);
    assert!((2.0..=4.0).contains(&slow.factor(10_000, 1.0)));
    assert!(slow.factor(40_000, 1.0) < 1.05);
}

/// Guards against engines that count as slow because the pace of the service is not learned yet: one
/// engine got all requests, since the answers of the others would have been needed to learn that.
#[test]
fn a_wrong_pace_makes_no_difference_between_engines() {
    for pace in [0.005, 0.5] {
        let pace = Pace {
            block: pace,
            ..PACE
        };
        let (mut reference, mut first) = (Reference::default(), Speed::default());
        for now in (0..2_000).step_by(50) {
            reference.record(now, &sample(1.0), &pace);
            let typical = reference.ratio();
            first.record(now, &sample(1.0), &pace, typical);
            assert!((first.factor(now, typical) - 1.0).abs() < 0.1);
        }
    }
}

/// Guards against values that are not numbers, as from clocks that step.
#[test]
fn odd_samples_change_nothing() {
    let (mut reference, mut speed) = (Reference::default(), Speed::default());
    for seconds in [f32::NAN, f32::INFINITY] {
        let odd = Sample {
            seconds,
            ..sample(1.0)
        };
        reference.record(0, &odd, &PACE);
        speed.record(0, &odd, &PACE, 1.0);
    }
    assert!(reference == Reference::default() && speed == Speed::default());
}
