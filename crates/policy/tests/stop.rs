//! Planned stops: which requests an instance still begins, and its times.

use std::time::{
    Duration,
    Instant, //
};

use policy::{
    delay::Delay,
    stop::{
        Schedule,
        TICK_INTERVAL,
        begin,
        may_begin,
        may_begin_late, //
    }, //
};
use quickcheck::quickcheck;

fn taken(samples_ms: &[u64]) -> Delay {
    let mut taken = Delay::default();
    for sample in samples_ms {
        taken.record(Duration::from_millis(*sample));
    }
    taken
}

/// Guards against a request that may run once and is passed on though others of its kind have taken
/// longer than this instance has left.
#[test]
fn a_request_that_may_run_once_begins_only_if_few_take_longer() {
    let taken = taken(&[400, 1_600, 400, 1_600, 400, 1_600, 400, 1_600]);
    let time_left = Duration::from_millis(1_500);
    assert!(!may_begin(time_left, &taken, false));
    assert!(may_begin(time_left, &taken, true));
    assert!(may_begin(Duration::from_secs(6), &taken, false));
    assert!(!may_begin(Duration::from_millis(300), &taken, true));
}

/// Guards against an instance that refuses what it knows nothing about: while all instances of a
/// fleet stop, there is no other one.
#[test]
fn nothing_is_expected_of_a_kind_without_samples() {
    assert!(may_begin(Duration::ZERO, &Delay::default(), false));
}

/// Guards against a late request that is begun and cut: one of a kind of which a part takes longer than
/// this instance has left, or of which nothing is known.
#[test]
fn a_late_request_begins_only_if_it_is_known_to_end() {
    let differing = taken(&[400, 1_600, 400, 1_600, 400, 1_600, 400, 1_600]);
    assert!(!may_begin_late(Duration::from_millis(1_500), &differing));
    assert!(may_begin_late(Duration::from_secs(6), &differing));
    let unknown = Delay::default();
    assert!(!may_begin_late(Duration::from_secs(60), &unknown));
}

/// Guards against a stop that counts its time from when a process that was held up notices the signal,
/// and against one that begins before its signal in a process that runs.
#[test]
fn a_stop_begins_when_a_held_up_process_last_ran() {
    let ran_at = Instant::now();
    let held_up = ran_at + Duration::from_millis(900);
    assert_eq!(begin(ran_at, held_up), ran_at);
    for now in [ran_at, ran_at + TICK_INTERVAL] {
        assert_eq!(begin(ran_at, now), now);
    }
}

quickcheck! {
    /// All steps of a stop end before the kill, and connections are accepted for a part of the time
    /// in which requests may end.
    fn a_stop_ends_before_the_kill(bound_ms: u32) -> bool {
        let bound = Duration::from_millis(u64::from(bound_ms));
        let schedule = Schedule::new(bound);
        schedule.drain + schedule.save + schedule.answer <= bound
            && schedule.accept <= schedule.drain / 2
    }
}
