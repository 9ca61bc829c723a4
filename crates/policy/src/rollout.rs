//! Which engines to order to load new weights.

use std::time::Duration;

/// Engines that may load at the same time; the weight store is slower for more.
pub const MAX_LOADING: usize = 3;

/// Time for which an engine that failed to load once is left alone; it doubles with each failure.
const FAILED_PAUSE: Duration = Duration::from_secs(2);
/// Longest time for which an engine that failed to load is left alone.
const MAX_FAILED_PAUSE: Duration = Duration::from_secs(8);

/// How long an engine that failed to load `failures` times in a row is left alone.
pub fn failed_pause(failures: u32) -> Duration {
    let doublings = failures.saturating_sub(1).min(8);
    FAILED_PAUSE
        .saturating_mul(1 << doublings)
        .min(MAX_FAILED_PAUSE)
}

/// What an engine does with its weights.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Weights {
    /// Serves the wanted version.
    Wanted,
    /// Serves another version.
    Other,
    /// Loads a version.
    Loading,
    /// Gives no answer, so it may be loading.
    Unknown,
}

/// Engines of one model, by index, that may be ordered to load now.
///
/// `loading` counts the engines of all models that load or may be loading. At
/// most half of the model's engines are out at once, one of a single one. The
/// seed says where to begin, so that one that refuses holds up no others.
pub fn pick(engines: &[Weights], loading: usize, seed: usize) -> Vec<usize> {
    let length = engines.len().max(1);
    let first = seed % length;
    let rotated: Vec<Weights> = (0..engines.len())
        .map(|index| engines[(index + first) % length])
        .collect();
    let picked = pick_within(&rotated, loading, MAX_LOADING).into_iter();
    picked.map(|index| (index + first) % length).collect()
}

/// Engines that may load at the same time where weights come from a store that serves a fifth of
/// the fleet at full speed.
pub fn most_loading(engines: usize) -> usize {
    (engines / 5).max(MAX_LOADING)
}

/// As [`pick`], in the order of `engines` and with at most `most_loading` that load at the same
/// time.
pub fn pick_within(engines: &[Weights], loading: usize, most_loading: usize) -> Vec<usize> {
    let out = engines
        .iter()
        .filter(|w| matches!(w, Weights::Loading | Weights::Unknown))
        .count();
    let most = (engines.len() / 2).max(1);
    let room = most_loading
        .saturating_sub(loading)
        .min(most.saturating_sub(out));
    let others = (0..engines.len()).filter(|&index| engines[index] == Weights::Other);
    others.take(room).collect()
}
