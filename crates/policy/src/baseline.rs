//! Simple endpoint selection strategies, used as baselines in measurements.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// An endpoint that could take the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidate<'a> {
    /// Name of the endpoint.
    pub name: &'a str,
    /// Requests of this instance that the endpoint is running.
    pub in_flight: u32,
    /// Requests in the endpoint's last load report.
    pub reported: u32,
}

/// Maximum number of requests that a home may run beyond the least loaded candidate.
const MAX_HOME_EXCESS: u32 = 4;
/// Maximum depth, in blocks, of the prefix whose hash selects the home.
const MAX_HASHED_BLOCKS: usize = 4;
/// Upper bound of a home's load, in percent of the mean.
const MAX_LOAD_PERCENT: u32 = 125;

/// The candidate at position `turn`, modulo the number of candidates.
pub fn round_robin(candidates: &[Candidate<'_>], turn: usize) -> Option<usize> {
    (!candidates.is_empty()).then(|| turn % candidates.len())
}

/// The candidate with the least load, local and reported; `seed` breaks ties.
pub fn least_load(candidates: &[Candidate<'_>], seed: u64) -> Option<usize> {
    (0..candidates.len()).min_by_key(|&index| {
        let candidate = &candidates[index];
        let load = candidate.in_flight + candidate.reported;
        (load, score(candidate.name, seed))
    })
}

/// Rendezvous hashing of the prompt's first blocks with bounded load: the candidate of the highest
/// score whose load is below the bound.
pub fn prefix_hash(candidates: &[Candidate<'_>], levels: &[u64], seed: u64) -> Option<usize> {
    let depth = levels.len().min(MAX_HASHED_BLOCKS);
    let Some(&key) = levels[..depth].last() else {
        return least_load(candidates, seed);
    };
    let total: u32 = candidates.iter().map(|c| c.in_flight + 1).sum();
    let mean = total.div_ceil(u32::try_from(candidates.len()).ok()?);
    let bound = (mean * MAX_LOAD_PERCENT).div_ceil(100);
    (0..candidates.len())
        .filter(|&index| candidates[index].in_flight < bound)
        .max_by_key(|&index| score(candidates[index].name, key))
}

/// The home of the deepest prefix whose home is not overloaded, else the least loaded candidate.
pub fn deepest_home(candidates: &[Candidate<'_>], levels: &[u64], seed: u64) -> Option<usize> {
    let least = candidates.iter().map(|c| c.in_flight).min()?;
    for level in levels.iter().rev() {
        let by_hash = |&index: &usize| score(candidates[index].name, *level);
        let home = (0..candidates.len()).max_by_key(by_hash)?;
        if candidates[home].in_flight <= least + MAX_HOME_EXCESS {
            return Some(home);
        }
    }
    least_load(candidates, seed)
}

fn score(name: &str, seed: u64) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), seed)
}
