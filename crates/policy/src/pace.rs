//! Pace of the engines of one service, learned from the times at which their answers begin.
//!
//! The time from the moment at which an engine turns to a request until its answer begins is
//! modelled as `base + block × computed blocks + fetch × fetched blocks`. A request that waited
//! behind another one is timed from the start of that one's answer, which includes the base
//! already. The coefficients are fitted by least squares, in which old samples lose weight.

use std::time::Duration;

/// Number of coefficients.
const COUNT: usize = 3;
/// Factor by which the weight of all earlier samples shrinks with each new one: about two hundred
/// samples count.
const DECAY: f32 = 0.995;
/// Number of samples that the initial values count for. They never lose their weight, so that a
/// coefficient that no sample shows keeps its value.
const PRIOR_SAMPLES: f32 = 0.25;
/// Largest factor by which a sample may differ from what was expected. One that differs more, as
/// from an engine that hung or from a wrong belief about its cache, counts as this far off.
const MAX_DEVIATION: f32 = 3.0;
/// Number of samples after which the largest factor is twice its final value; it is larger before,
/// since the initial values may be far from the truth.
const DEVIATION_SAMPLES: f32 = 10.0;
/// Bounds of the time to compute one block, in seconds.
const BLOCK_SECONDS_RANGE: (f32, f32) = (0.000_5, 2.0);
/// Longest base, in seconds.
const MAX_BASE_SECONDS: f32 = 2.0;

/// Time that a fetch takes besides the transfer, in seconds: round trips within a region.
const FETCH_SETUP_SECONDS: f32 = 0.002;

/// Longest expected time.
const MAX_EXPECTATION: Duration = Duration::from_secs(3_600);

/// Converts an expected time in seconds to a duration; at most an hour, and zero if it is negative or
/// not a number.
pub fn expectation(seconds: f32) -> Duration {
    let capped = seconds.max(0.0).min(MAX_EXPECTATION.as_secs_f32());
    Duration::from_secs_f32(capped)
}

/// Whether fetching `blocks` is faster than computing them, if an engine computes one in
/// `block_seconds` and fetches it in `fetch_cost` of that time.
pub fn is_fetch_faster(blocks: f32, block_seconds: f32, fetch_cost: f32) -> bool {
    blocks * block_seconds * (1.0 - fetch_cost) > FETCH_SETUP_SECONDS
}

/// Times that engines take, in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// Time until an answer begins, besides computing and fetching.
    pub base: f32,
    /// Time to compute one block.
    pub block: f32,
    /// Time to fetch one block from another engine or a store.
    pub fetch: f32,
}

impl Default for Pace {
    /// Values of a mid-size model, used until answers show others.
    fn default() -> Self {
        Self {
            base: 0.08,
            block: 0.03,
            fetch: 0.005,
        }
    }
}

impl Pace {
    /// Cost of fetching a block relative to computing it; at most 1.
    pub fn relative_fetch_cost(&self) -> f32 {
        (self.fetch / self.block).min(1.0)
    }

    /// Whether fetching `blocks` is faster than computing them.
    pub fn is_fetch_faster(&self, blocks: f32) -> bool {
        is_fetch_faster(blocks, self.block, self.relative_fetch_cost())
    }

    /// Time from the moment at which an engine turns to a request until its answer begins.
    pub fn service_seconds(&self, computed: f32, fetched: f32) -> f32 {
        self.base + self.block * computed + self.fetch * fetched
    }

    /// Time that an answer like `sample` is expected to take.
    pub fn expected_seconds(&self, sample: &Sample) -> f32 {
        dot(&sample.features(), &self.coefficients())
    }

    /// The pace of an engine that takes `factor` of the time.
    pub fn scaled(&self, factor: f32) -> Self {
        Self {
            base: self.base * factor,
            block: self.block * factor,
            fetch: self.fetch * factor,
        }
    }

    /// Base, block and fetch, for messages.
    pub fn coefficients(&self) -> [f32; COUNT] {
        [self.base, self.block, self.fetch]
    }

    /// The pace with these coefficients, limited to what engines can have; `None` if one is not a
    /// number.
    pub fn from_coefficients([base, block, fetch]: [f32; COUNT]) -> Option<Self> {
        if [base, block, fetch].iter().any(|value| value.is_nan()) {
            return None;
        }
        let block = block.clamp(BLOCK_SECONDS_RANGE.0, BLOCK_SECONDS_RANGE.1);
        Some(Self {
            base: base.clamp(0.0, MAX_BASE_SECONDS),
            block,
            fetch: fetch.clamp(0.0, block),
        })
    }
}

/// One answer that has begun.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// Time from the moment at which the engine turned to the request.
    pub seconds: f32,
    /// Whether the engine was idle before, so that the time includes the base.
    pub was_idle: bool,
    /// Blocks that the engine was expected to compute.
    pub computed: f32,
    /// Blocks that the engine was expected to fetch.
    pub fetched: f32,
}

impl Sample {
    /// What the coefficients of a [`Pace`] are multiplied by.
    fn features(&self) -> [f32; COUNT] {
        [
            f32::from(u8::from(self.was_idle)),
            self.computed,
            self.fetched,
        ]
    }
}

/// Estimator of a [`Pace`].
///
/// # Invariants
///
/// `moments` is the weighted sum of the outer products of the samples' features and `targets` that
/// of their features times their times; both without the prior.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimator {
    /// Number of samples, of which old ones count less.
    samples: f32,
    moments: [[f32; COUNT]; COUNT],
    targets: [f32; COUNT],
    /// Values that hold as far as samples do not show others.
    prior: Pace,
    pace: Pace,
}

impl Estimator {
    /// Starts from the values that another instance has learned.
    pub fn new(prior: Pace) -> Self {
        Self {
            prior,
            pace: prior,
            ..Self::default()
        }
    }

    /// The pace as learned so far.
    pub fn pace(&self) -> Pace {
        self.pace
    }

    /// The pace, if samples or another instance have shown it.
    pub fn learned(&self) -> Option<Pace> {
        let is_initial = *self == Self::default();
        (!is_initial).then_some(self.pace)
    }

    /// Records an answer that has begun.
    pub fn record(&mut self, sample: &Sample) {
        let features = sample.features();
        let expected = self.pace.expected_seconds(sample);
        if expected <= 0.0 || !sample.seconds.is_finite() {
            return;
        }
        self.samples = self.samples * DECAY + 1.0;
        let deviation = MAX_DEVIATION * (1.0 + DEVIATION_SAMPLES / self.samples);
        let seconds = sample
            .seconds
            .clamp(expected / deviation, expected * deviation);
        // Makes the relative error count, so that long prompts do not outweigh all others.
        let weight = seconds.max(expected).powi(-2);
        for (row, feature) in self.moments.iter_mut().zip(features) {
            for (moment, other) in row.iter_mut().zip(features) {
                *moment = *moment * DECAY + weight * feature * other;
            }
        }
        for (target, feature) in self.targets.iter_mut().zip(features) {
            *target = *target * DECAY + weight * feature * seconds;
        }
        self.solve();
    }

    /// Solves for the coefficients, with the prior as further samples of one coefficient each.
    fn solve(&mut self) {
        let mut moments = self.moments;
        let mut targets = self.targets;
        let typical = self.pace.service_seconds(1.0, 0.0);
        let weight = PRIOR_SAMPLES * typical.powi(-2);
        for (index, value) in self.prior.coefficients().into_iter().enumerate() {
            moments[index][index] += weight;
            targets[index] += weight * value;
        }
        if let Some(pace) = Pace::from_coefficients(solve(moments, targets)) {
            self.pace = pace;
        }
    }
}

fn dot(a: &[f32; COUNT], b: &[f32; COUNT]) -> f32 {
    a.iter().zip(b).map(|(a, b)| a * b).sum()
}

/// Solves the symmetric positive definite system `moments × result = targets` by elimination.
fn solve(mut moments: [[f32; COUNT]; COUNT], mut targets: [f32; COUNT]) -> [f32; COUNT] {
    for pivot in 0..COUNT {
        let (upper, lower) = moments.split_at_mut(pivot + 1);
        let pivot_row = &upper[pivot];
        for (offset, row) in lower.iter_mut().enumerate() {
            let factor = row[pivot] / pivot_row[pivot];
            for (value, other) in row.iter_mut().zip(pivot_row) {
                *value -= factor * other;
            }
            targets[pivot + 1 + offset] -= factor * targets[pivot];
        }
    }
    let mut result = [0.0; COUNT];
    for index in (0..COUNT).rev() {
        let known = dot(&moments[index], &result);
        result[index] = (targets[index] - known) / moments[index][index];
    }
    result
}
