//! Which instances a caller should use: rendezvous hashing over live instances.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// An instance that may be ranked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidate<'a> {
    /// Name of the instance.
    pub name: &'a str,
    /// Its failure domain.
    pub domain: &'a str,
    /// Leaving instances rank after all others.
    pub leaving: bool,
}

/// Ranks the candidates for `subject`, best first, as indexes into `candidates`.
///
/// Neighbours in the ranking are in different failure domains as far as there
/// are several, so that the second choice survives the loss of the first's domain.
pub fn rank(subject: &str, candidates: &[Candidate<'_>]) -> Vec<usize> {
    let seed = xxh3_64_with_seed(subject.as_bytes(), 0);
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    let score = |index: &usize| {
        let candidate = &candidates[*index];
        let score = xxh3_64_with_seed(candidate.name.as_bytes(), seed);
        (candidate.leaving, std::cmp::Reverse(score))
    };
    order.sort_by_key(score);
    spread(&mut order, candidates);
    order
}

/// The best candidate for `subject` that is not leaving, as an index into `candidates`.
pub fn first(subject: &str, candidates: &[Candidate<'_>]) -> Option<usize> {
    let seed = xxh3_64_with_seed(subject.as_bytes(), 0);
    let staying = (0..candidates.len()).filter(|&index| !candidates[index].leaving);
    staying.max_by_key(|&index| xxh3_64_with_seed(candidates[index].name.as_bytes(), seed))
}

/// Moves a candidate of another domain next to each one, where there is one.
fn spread(order: &mut [usize], candidates: &[Candidate<'_>]) {
    for place in 1..order.len() {
        let before = &candidates[order[place - 1]];
        let fits = |index: &usize| {
            let candidate = &candidates[*index];
            candidate.domain != before.domain && candidate.leaving == before.leaving
        };
        if let Some(offset) = order[place..].iter().position(fits) {
            order[place..=place + offset].rotate_right(1);
        }
    }
}
