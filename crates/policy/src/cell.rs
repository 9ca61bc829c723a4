//! Cells of engines, each with an instance of its own that places long requests.
//!
//! A placement looks at all engines of its cell, so that its cost does not grow
//! with the fleet.

/// Most engines of one cell: a placement then takes some tens of microseconds.
const MAX_ENGINES: usize = 128;

/// Cells into which so many engines are divided.
pub fn count(engines: usize) -> u64 {
    engines.div_ceil(MAX_ENGINES).max(1) as u64
}

/// The cell, of `count`, of an engine or a prefix with this hash.
pub fn of(hash: u64, count: u64) -> u64 {
    hash % count.max(1)
}
