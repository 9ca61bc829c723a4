//! Selection of the engines that are ordered to load new weights.

mod plan;
mod times;

use std::time::Duration;

pub use plan::{
    Engine,
    Mode,
    Plan,
    plan, //
};
pub use times::LoadTimes;

/// Number of engines that may load at the same time; the weight store slows down beyond it.
pub const MAX_LOADING: usize = 3;

/// Additional delay of each further instance before it tries to acquire a free lease, so that they do
/// not all try at once.
pub const ACQUIRE_STAGGER: Duration = Duration::from_millis(300);
/// Number of instances that the lease is left to, one after another. Few of the first ones by name
/// are gone without the others knowing, so that the delay need not grow with the fleet.
const MAX_ACQUIRE_STEPS: u32 = 8;

/// Delay after which an instance tries to acquire a free lease; `preceding` live instances precede it.
pub fn acquire_delay(preceding: usize) -> Duration {
    let steps = u32::try_from(preceding).map_or(MAX_ACQUIRE_STEPS, |p| p.min(MAX_ACQUIRE_STEPS));
    ACQUIRE_STAGGER * steps
}

/// Backoff after an engine's first failure to load; it doubles with each further failure.
const MIN_LOAD_BACKOFF: Duration = Duration::from_secs(2);
/// Upper bound of the backoff after failures to load.
const MAX_LOAD_BACKOFF: Duration = Duration::from_secs(8);

/// Least backoff where little time is left.
const MIN_URGENT_BACKOFF: Duration = Duration::from_millis(300);
/// One in this many parts of the time left is the longest backoff.
const BACKOFF_DIVISOR: u32 = 8;

/// Time before an engine that failed to load `failures` times in a row is ordered to load again, if
/// it must have loaded within `time_left`.
pub fn load_backoff(failures: u32, time_left: Duration) -> Duration {
    if time_left.is_zero() {
        return MIN_LOAD_BACKOFF;
    }
    let doublings = failures.saturating_sub(1).min(8);
    let urgent = (time_left / BACKOFF_DIVISOR).max(MIN_URGENT_BACKOFF);
    MIN_LOAD_BACKOFF
        .saturating_mul(1 << doublings)
        .min(MAX_LOAD_BACKOFF)
        .min(urgent)
}

/// One in this many parts of the time left is the longest wait for the answer of an engine.
const ANSWER_DIVISOR: u32 = 20;
/// Shortest and longest wait for the answer of an engine.
const ANSWER_TIMEOUTS: (Duration, Duration) = (Duration::from_millis(300), Duration::from_secs(1));

/// Time to wait for an engine's answer to an order, before it is repeated, or for its report, if it
/// must have loaded within `time_left` and failed to load `failures` times in a row. It doubles with
/// each failure after the second one, so that an engine that answers slowly is waited for in the end.
pub fn answer_timeout(time_left: Duration, failures: u32) -> Duration {
    let (shortest, longest) = ANSWER_TIMEOUTS;
    (time_left / ANSWER_DIVISOR)
        .clamp(shortest, longest)
        .saturating_mul(1 << failures.saturating_sub(2).min(8))
        .min(longest)
}

/// State of an engine's weights.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Weights {
    /// Serves the wanted version.
    Wanted,
    /// Serves another version.
    Other,
    /// Serves another version, and failed to load a short time ago.
    Deferred,
    /// Loads a version.
    Loading,
    /// Does not answer, so it may be loading.
    Unknown,
}

/// Selects engines of one model that may be ordered to load now, as indexes into `engines`.
///
/// `loading` counts the engines of all models that load or may be loading. At
/// most half of the model's engines, but at least one, are unavailable at once.
/// `seed` selects the engine to start from, so that an engine that rejects orders does
/// not block the others.
pub fn pick(engines: &[Weights], loading: usize, seed: usize) -> Vec<usize> {
    let length = engines.len().max(1);
    let first = seed % length;
    let rotated: Vec<Weights> = (0..engines.len())
        .map(|index| engines[(index + first) % length])
        .collect();
    let max_unavailable = (engines.len() / 2).max(1);
    let picked = pick_within(&rotated, loading, MAX_LOADING, max_unavailable).into_iter();
    picked.map(|index| (index + first) % length).collect()
}

/// Number of engines that may load at the same time if the weight store serves a fifth of the fleet
/// at full speed; never below [`MAX_LOADING`].
pub fn max_loading(engines: usize) -> usize {
    (engines / 5).max(MAX_LOADING)
}

/// Like [`pick`], but in the order of `engines` and with at most `max_loading` engines that load
/// and `max_unavailable` that are unavailable at the same time.
pub fn pick_within(
    engines: &[Weights],
    loading: usize,
    max_loading: usize,
    max_unavailable: usize,
) -> Vec<usize> {
    let unavailable = engines
        .iter()
        .filter(|weights| matches!(weights, Weights::Loading | Weights::Unknown))
        .count();
    let available = max_loading
        .saturating_sub(loading)
        .min(max_unavailable.saturating_sub(unavailable));
    let outdated = (0..engines.len()).filter(|&index| engines[index] == Weights::Other);
    outdated.take(available).collect()
}
