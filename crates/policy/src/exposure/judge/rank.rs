//! Comparison of times by rank (Wilcoxon, stratified as by van Elteren).

/// Difference in rank between the times of two versions.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Rank {
    /// Weighted sum over strata of the rank sums' differences from their means.
    sum: f64,
    /// The largest value of that sum, doubled.
    range: f64,
    variance: f64,
    /// Sum over slices of the squared sums.
    squares: f64,
}

impl Rank {
    /// Compares times of one stratum, if those of the old version took `buckets` longer.
    pub(super) fn new(old: &[(u8, u32)], new: &[(u8, u32)], buckets: u8) -> Self {
        let total = |counts: &[(u8, u32)]| counts.iter().map(|(_, n)| f64::from(*n)).sum::<f64>();
        let pairs = total(old) * total(new);
        let size = total(old) + total(new) + 1.0;
        let mut old = old.iter().peekable();
        let mut below = 0.0;
        let mut wins = 0.0;
        for (bucket, count) in new {
            while let Some((_, n)) = old.next_if(|(b, _)| b.saturating_add(buckets) < *bucket) {
                below += f64::from(*n);
            }
            let equal = match old.peek() {
                Some((b, n)) if b.saturating_add(buckets) == *bucket => f64::from(*n),
                _ => 0.0,
            };
            wins += f64::from(*count) * (below + equal / 2.0);
        }
        Self {
            sum: (wins - pairs / 2.0) / size,
            range: pairs / size,
            // Ties make it smaller.
            variance: pairs / size / 12.0,
            squares: 0.0,
        }
    }

    /// Adds another stratum of the same slice.
    pub(super) fn join(&mut self, other: &Self) {
        self.sum += other.sum;
        self.range += other.range;
        self.variance += other.variance;
    }

    /// Adds another slice that counts as `weight` observations.
    pub(super) fn add(&mut self, slice: &Self, weight: f64) {
        self.join(slice);
        self.squares += slice.sum.powi(2) / weight;
    }

    /// Deviations of the sum from zero if all times are independent.
    pub(super) fn deviations(&self) -> f64 {
        self.sum / self.variance.sqrt().max(f64::MIN_POSITIVE)
    }

    /// Deviations of the sum from zero if each slice is one observation.
    pub(super) fn spread(&self) -> f64 {
        self.sum / self.squares.sqrt().max(f64::MIN_POSITIVE)
    }

    /// Chance that a time of the new version is the longer one.
    pub(super) fn chance(&self) -> f64 {
        0.5 + self.sum / self.range.max(f64::MIN_POSITIVE)
    }
}
