//! Test of a rate against a bound.

/// Events among a number of responses, and the number that the bound accepts.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Excess {
    count: f64,
    observed: f64,
    accepted: f64,
    /// Sum over slices of the squared difference of `observed` and `accepted`.
    squares: f64,
}

impl Excess {
    /// Counts of one stratum.
    pub(super) fn single(count: f64, observed: f64, accepted: f64) -> Self {
        Self {
            count,
            observed,
            accepted,
            squares: 0.0,
        }
    }

    /// Adds another stratum of the same slice.
    pub(super) fn join(&mut self, other: &Self) {
        self.count += other.count;
        self.observed += other.observed;
        self.accepted += other.accepted;
    }

    /// Adds another slice that counts as `weight` observations.
    pub(super) fn add(&mut self, slice: &Self, weight: f64) {
        self.join(slice);
        self.squares += (slice.observed - slice.accepted).powi(2) / weight;
    }

    /// Number of responses.
    pub(super) fn count(&self) -> f64 {
        self.count
    }

    /// Number of events.
    pub(super) fn observed(&self) -> f64 {
        self.observed
    }

    /// Negative logarithm of the Chernoff bound on the chance of so many events if the rate is the
    /// accepted one; negative if there are fewer than accepted.
    pub(super) fn exponent(&self) -> f64 {
        if self.count <= 0.0 {
            return 0.0;
        }
        let rate = self.observed / self.count;
        let accepted = (self.accepted / self.count).min(1.0);
        let exponent = self.count * divergence(rate, accepted);
        exponent.copysign(rate - accepted)
    }

    /// Deviations of the excess from zero if each slice is one observation.
    pub(super) fn spread(&self) -> f64 {
        (self.observed - self.accepted) / self.squares.sqrt().max(f64::MIN_POSITIVE)
    }
}

/// Kullback-Leibler divergence of two rates.
fn divergence(rate: f64, accepted: f64) -> f64 {
    let term = |part: f64, of: f64| {
        if part > 0.0 {
            part * (part / of.max(f64::MIN_POSITIVE)).ln()
        } else {
            0.0
        }
    };
    (term(rate, accepted) + term(1.0 - rate, 1.0 - accepted)).max(0.0)
}
