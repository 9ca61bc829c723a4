//! Engines kept for short urgent requests.

use std::time::Duration;

use policy::lane::{
    Level,
    Load,
    size, //
};

const BLOCK_SECONDS: f32 = 0.045;

fn running(running: f32) -> Load {
    Load {
        running,
        blocks: 0.0,
    }
}

/// Pattern: hundreds of short requests a second beside tens of long prompts.
#[test]
fn engines_are_kept_by_what_runs() {
    let size = |load, engines| size(load, 32, BLOCK_SECONDS, engines);
    assert_eq!(size(running(0.0), 18), 2);
    assert_eq!(size(running(65.0), 18), 3);
    assert_eq!(size(running(130.0), 18), 6);
    // Long prompts keep half of the engines whatever comes.
    assert_eq!(size(running(10_000.0), 18), 9);
}

/// Pattern: 183 short requests a second of 380 tokens each, whose answers are short too: slots are
/// free while the engine has no time left.
#[test]
fn engines_are_kept_by_what_they_compute() {
    let load = Load {
        running: 30.0,
        blocks: 183.0 * 380.0 / 2_048.0,
    };
    assert_eq!(size(load, 32, BLOCK_SECONDS, 18), 4);
    assert_eq!(size(load, 64, BLOCK_SECONDS, 18), 4);
}

/// Pattern: all engines but one are gone or load weights.
#[test]
fn a_last_engine_serves_everybody() {
    let size = |engines| size(running(100.0), 32, BLOCK_SECONDS, engines);
    assert_eq!(size(1), 0);
    assert_eq!(size(0), 0);
    assert_eq!(size(2), 1);
}

#[test]
fn what_runs_moves_engines_slowly() {
    let mut level = Level::default();
    let at = Duration::from_millis;
    // Sixty a second for 160 ms each: about ten run at a time.
    for count in 0..60 {
        level.ended(at(count * 16), at(160));
    }
    assert!(level.average(at(1_000)).running < 4.0);
    for count in 60..1_200 {
        level.ended(at(count * 16), at(160));
    }
    assert!((level.average(at(19_200)).running - 10.0).abs() < 1.0);
    assert!(level.average(at(60_000)).running < 0.1);
}

/// Pattern: two and a half times as many users come at once, with prompts that keep an engine busy
/// for eight milliseconds each.
#[test]
fn a_burst_takes_engines_within_a_second() {
    let mut level = Level::default();
    let at = Duration::from_millis;
    let mut now = 0;
    for _ in 0..1_000 {
        now += 9;
        level.came(at(now), 0.19);
    }
    let calm = size(level.average(at(now)), 64, BLOCK_SECONDS, 18);
    for _ in 0..220 {
        now += 4;
        level.came(at(now), 0.19);
    }
    let burst = size(level.average(at(now)), 64, BLOCK_SECONDS, 18);
    assert_eq!((calm, burst), (3, 5));
    // It is over at once, but the engines stay for a while.
    assert!(level.average(at(now + 600)).blocks > 20.0);
}

/// Pattern: a quarter of the engines fall silent, so that requests hang there until they are given
/// up. Those that are left must not all be kept for the short ones.
#[test]
fn requests_that_hang_take_no_engines_from_long_prompts() {
    let mut level = Level::default();
    let at = Duration::from_millis;
    for count in 0..1_000 {
        let hangs = count % 4 == 0;
        level.ended(at(count * 10), at(if hangs { 3_000 } else { 160 }));
    }
    // A hundred a second; counted in full they would be about ninety.
    assert!(level.average(at(10_000)).running < 30.0);
}
