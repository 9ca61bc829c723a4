//! Selection of the instances that a directory response lists for a caller.
//!
//! Traffic between failure domains is expensive, so callers connect within
//! their own domain while it has enough live instances. If more instances
//! qualify than fit into a response, each response lists a random subset.

use crate::mix::mix;

/// Minimum number of instances in the caller's failure domain for which other domains are omitted;
/// one or two of them may fail before the caller asks again.
const MIN_DOMAIN_INSTANCES: usize = 4;

/// Indexes into `domains` of at most `limit` instances to list for a caller in `domain`, in a
/// pseudo-random order that depends only on `seed`.
///
/// `domains` holds the failure domain of each instance.
pub fn pick(domains: &[&str], domain: &str, limit: usize, seed: u64) -> Vec<usize> {
    let is_local = |index: &usize| domains[*index] == domain;
    let mut picked: Vec<usize> = (0..domains.len()).filter(is_local).collect();
    if picked.len() < MIN_DOMAIN_INSTANCES {
        picked = (0..domains.len()).collect();
    }
    let mut random = seed;
    for last in (1..picked.len()).rev() {
        random = mix(random);
        picked.swap(last, (random % (last as u64 + 1)) as usize);
    }
    picked.truncate(limit);
    picked
}
