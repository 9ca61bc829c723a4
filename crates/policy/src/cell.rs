//! Partition of the engines into cells, each with its own planner instance for model requests.
//!
//! A planner evaluates all engines of its cell for each request. The cells are
//! bounded, so the cost of a placement does not grow with the fleet.

/// Target number of engines per cell; a placement then takes some tens of microseconds.
const ENGINES_PER_CELL: usize = 128;

/// Number of cells for `engines` engines, at least 1.
pub fn count(engines: usize) -> u64 {
    engines.div_ceil(ENGINES_PER_CELL).max(1) as u64
}

/// Index of the cell, out of `count`, that an engine or a prefix with this hash belongs to.
pub fn index(hash: u64, count: u64) -> u64 {
    hash % count.max(1)
}
