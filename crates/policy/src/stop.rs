//! Times of a planned stop: how long an instance takes work, and which requests it still begins.

use std::time::{
    Duration,
    Instant, //
};

use crate::delay::Delay;

/// Fraction of the time between the signal and the kill in which running requests may end.
const DRAIN_FRACTION: f64 = 0.9;
/// Fraction in which records may be written after that.
const SAVE_FRACTION: f64 = 0.05;
/// Fraction in which the requests that still run are answered after that.
const ANSWER_FRACTION: f64 = 0.03;
/// Longest time for which new connections are accepted, since callers cache the directory's responses.
const MAX_ACCEPT_TIME: Duration = Duration::from_millis(2_500);
/// Fraction in which they are accepted at most, so that requests have time to end.
const MAX_ACCEPT_FRACTION: f64 = 0.4;

/// Interval at which an event loop records that it runs.
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Time without a record after which an event loop counts as held up: one tick is missing.
const HELD_UP_TIME: Duration = TICK_INTERVAL.saturating_mul(2);

/// Times of a planned stop, from its begin.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Schedule {
    /// For how long new connections are accepted.
    pub accept: Duration,
    /// When running requests must have ended.
    pub drain: Duration,
    /// For how long records may be written after that.
    pub save: Duration,
    /// For how long requests that have not ended are answered after that.
    pub answer: Duration,
}

impl Schedule {
    /// The times of a stop whose process is killed after `bound`.
    pub fn new(bound: Duration) -> Self {
        Self {
            accept: MAX_ACCEPT_TIME.min(bound.mul_f64(MAX_ACCEPT_FRACTION)),
            drain: bound.mul_f64(DRAIN_FRACTION),
            save: bound.mul_f64(SAVE_FRACTION),
            answer: bound.mul_f64(ANSWER_FRACTION),
        }
    }
}

/// When a stop begins whose signal is noticed at `now` by an event loop that is known to have run at
/// `ran_at`: a process that was held up in between may have got the signal at any time since then.
pub fn begin(ran_at: Instant, now: Instant) -> Instant {
    if now.saturating_duration_since(ran_at) >= HELD_UP_TIME {
        ran_at
    } else {
        now
    }
}

/// Whether a request may begin on an instance whose running requests must end within `time_left`, if
/// requests of its kind have taken `taken` from their arrival to the end of their answers.
///
/// A request that may run once must be very likely to end. One that may be repeated is repeated
/// elsewhere if it does not. Nothing is expected of a kind of which none has ended.
pub fn may_begin(time_left: Duration, taken: &Delay, is_repeatable: bool) -> bool {
    let expected = if is_repeatable {
        taken.mean()
    } else {
        taken.upper_bound()
    };
    expected.is_none_or(|expected| expected <= time_left)
}

/// Same for a request that is whole only after the time in which connections are accepted: it begins only
/// if it is known to end. Its caller does not expect this instance to break off, and has others to go to.
pub fn may_begin_late(time_left: Duration, taken: &Delay) -> bool {
    let expected = taken.upper_bound();
    expected.is_some_and(|expected| expected <= time_left)
}
