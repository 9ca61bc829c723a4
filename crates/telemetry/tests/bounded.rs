//! The volume of logs under a flood of events.

use std::time::{
    Duration,
    Instant, //
};

use telemetry::bounded::{
    BURST_LINES,
    Bound,
    LINES_PER_SECOND, //
};

#[test]
fn a_flood_is_bounded_and_counted() {
    let start = Instant::now();
    let bound = Bound::new(start);
    let (mut written, mut dropped) = (0, 0);
    for step in 0..100_000_u64 {
        let now = start + Duration::from_micros(step * 100);
        if let Some(before) = bound.admit(now) {
            written += 1;
            dropped += before;
        }
    }
    let most = u64::from(BURST_LINES + LINES_PER_SECOND * 10) + 1;
    assert!(written <= most, "{written}");
    let later = bound.admit(start + Duration::from_secs(60)).unwrap();
    assert_eq!(written + dropped + later, 100_000);
}
