//! Engines kept for short urgent requests.

use std::time::Duration;

use policy::lane::{
    Level,
    size, //
};

/// Pattern: hundreds of short requests a second beside tens of long prompts.
#[test]
fn engines_are_kept_by_what_runs() {
    assert_eq!(size(0.0, 32, 18), 2);
    assert_eq!(size(65.0, 32, 18), 3);
    assert_eq!(size(130.0, 32, 18), 6);
    // Long prompts keep half of the engines whatever comes.
    assert_eq!(size(10_000.0, 32, 18), 9);
}

/// Pattern: all engines but one are gone or load weights.
#[test]
fn a_last_engine_serves_everybody() {
    assert_eq!(size(100.0, 32, 1), 0);
    assert_eq!(size(100.0, 32, 0), 0);
    assert_eq!(size(100.0, 32, 2), 1);
}

#[test]
fn a_burst_moves_engines_slowly() {
    let mut level = Level::default();
    let at = Duration::from_secs;
    for _ in 0..10 {
        level.enter(at(1));
    }
    assert!(level.average(at(1)) < 0.1);
    assert!(level.average(at(4)) > 5.0);
    for _ in 0..10 {
        level.leave(at(20));
    }
    assert!(level.average(at(20)) > 9.0);
    assert!(level.average(at(60)) < 0.1);
}
