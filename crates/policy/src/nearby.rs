//! Which instances a caller is told of.
//!
//! Bytes between failure domains are dear, so that callers connect within their
//! own while enough instances of it live; of more than fit into an answer each
//! answer names others.

use crate::mix::mix;

/// Least instances of the caller's failure domain for which the others are left out: one or two may
/// be gone before the caller asks again.
const ENOUGH: usize = 4;

/// Indexes of the instances to name to a caller in `domain`, at most `most`, in a random order that
/// follows from the seed.
pub fn pick(domains: &[&str], domain: &str, most: usize, seed: u64) -> Vec<usize> {
    let near = |index: &usize| domains[*index] == domain;
    let mut picked: Vec<usize> = (0..domains.len()).filter(near).collect();
    if picked.len() < ENOUGH {
        picked = (0..domains.len()).collect();
    }
    let mut random = seed;
    for last in (1..picked.len()).rev() {
        random = mix(random);
        picked.swap(last, (random % (last as u64 + 1)) as usize);
    }
    picked.truncate(most);
    picked
}
