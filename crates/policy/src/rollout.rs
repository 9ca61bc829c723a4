//! Which engines to order to load new weights.

/// Engines that may load at the same time; the weight store is slower for more.
pub const MAX_LOADING: usize = 3;

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
    pick_within(engines, loading, MAX_LOADING, seed)
}

/// Engines that may load at the same time where weights come from a store that serves a fifth of
/// the fleet at full speed.
pub fn most_loading(engines: usize) -> usize {
    (engines / 5).max(MAX_LOADING)
}

/// As [`pick`], with at most `most_loading` engines that load at the same time.
pub fn pick_within(
    engines: &[Weights],
    loading: usize,
    most_loading: usize,
    seed: usize,
) -> Vec<usize> {
    let out = engines
        .iter()
        .filter(|w| matches!(w, Weights::Loading | Weights::Unknown))
        .count();
    let most = (engines.len() / 2).max(1);
    let room = most_loading
        .saturating_sub(loading)
        .min(most.saturating_sub(out));
    let length = engines.len().max(1);
    let rotated = (0..engines.len()).map(|index| (index + seed % length) % length);
    let others = rotated.filter(|&index| engines[index] == Weights::Other);
    others.take(room).collect()
}
