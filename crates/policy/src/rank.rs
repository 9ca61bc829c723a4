//! Ranking of the live instances for a subject by rendezvous hashing.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A live instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidate<'a> {
    /// Name of the instance.
    pub name: &'a str,
    /// Failure domain of the instance.
    pub domain: &'a str,
    /// Whether the instance is leaving; such instances rank after all others.
    pub leaving: bool,
}

/// Ranks the candidates for `subject`, best first, as indexes into `candidates`.
///
/// Adjacent candidates are in different failure domains where possible, so that
/// the second choice survives the loss of the first choice's domain.
pub fn rank(subject: &str, candidates: &[Candidate<'_>]) -> Vec<usize> {
    let seed = xxh3_64_with_seed(subject.as_bytes(), 0);
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    let score = |index: &usize| {
        let candidate = &candidates[*index];
        let score = xxh3_64_with_seed(candidate.name.as_bytes(), seed);
        (candidate.leaving, std::cmp::Reverse(score))
    };
    order.sort_by_key(score);
    alternate_domains(&mut order, candidates);
    order
}

/// The best candidate for `subject` that is not leaving, as an index into `candidates`.
pub fn first(subject: &str, candidates: &[Candidate<'_>]) -> Option<usize> {
    let seed = xxh3_64_with_seed(subject.as_bytes(), 0);
    let staying = (0..candidates.len()).filter(|&index| !candidates[index].leaving);
    staying.max_by_key(|&index| xxh3_64_with_seed(candidates[index].name.as_bytes(), seed))
}

/// Reorders `order` so that adjacent candidates are in different failure domains where possible.
fn alternate_domains(order: &mut [usize], candidates: &[Candidate<'_>]) {
    for position in 1..order.len() {
        let previous = &candidates[order[position - 1]];
        let is_next = |index: &usize| {
            let candidate = &candidates[*index];
            candidate.domain != previous.domain && candidate.leaving == previous.leaving
        };
        if let Some(offset) = order[position..].iter().position(is_next) {
            order[position..=position + offset].rotate_right(1);
        }
    }
}
