//! Pace of one engine as a factor on the pace of its service, learned from its own answers.
//!
//! The factor is the time that the engine took for its recent answers, relative to that of all engines
//! of the service. Few samples count little, and old samples lose weight with time, so that the factor
//! returns to 1 once an engine gets no more requests.
//!
//! A request that has not begun for long is no sign of a slow engine: it may be its sender that does
//! not reach the engine, which must go on to serve the others.

use crate::{
    belief::Millis,
    pace::{
        Pace,
        Sample, //
    }, //
};

/// Bounds of the factor: what engines of one service differ by.
const FACTOR_RANGE: (f32, f32) = (0.25, 4.0);
/// Number of samples of factor 1 that the factor is shrunk by.
const PRIOR_SAMPLES: f32 = 10.0;
/// Time constant at which samples lose weight: several times as long as an engine is slow for a
/// spell, and short enough that an engine that is avoided for its factor is tried again.
const DECAY_MS: f32 = 4_000.0;
/// Largest factor by which a sample may differ from the factor so far. One that differs more, as from
/// an engine that hung for a moment, counts as this far off.
const MAX_DEVIATION: f32 = 2.0;
/// Time that the answers of all engines of a service took lately, over what its pace expected.
///
/// It is not 1 while the pace is being learned. What engines took is compared with it: compared with the
/// pace, the first engine with answers would count as faster or slower than those without.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Reference {
    /// Seconds that the answers took, decayed up to `updated_at`.
    actual: f32,
    /// Seconds that they take at the pace of the service, likewise.
    expected: f32,
    updated_at: Millis,
}

impl Reference {
    /// Records an answer of any engine of the service that began at `now`; `pace` is that of the
    /// service.
    pub fn record(&mut self, now: Millis, sample: &Sample, pace: &Pace) {
        let expected = pace.expected_seconds(sample);
        if expected <= 0.0 || !sample.seconds.is_finite() {
            return;
        }
        let decay = decay(now, self.updated_at);
        self.actual = self.actual * decay + sample.seconds;
        self.expected = self.expected * decay + expected;
        self.updated_at = now.max(self.updated_at);
    }

    /// Time that the answers took over what was expected.
    pub fn ratio(&self) -> f32 {
        if self.expected <= 0.0 {
            return 1.0;
        }
        (self.actual / self.expected).max(f32::MIN_POSITIVE)
    }
}

/// Time that the answers of one engine took, compared with what was expected of them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Speed {
    /// Number of samples, decayed up to `updated_at`; the other sums likewise.
    samples: f32,
    /// Seconds that the answers took.
    actual: f32,
    /// Seconds that they take at the pace of the service.
    expected: f32,
    updated_at: Millis,
}

impl Speed {
    /// Records an answer of the engine that began at `now`; `pace` is that of the service and
    /// `typical` its [`Reference::ratio`].
    pub fn record(&mut self, now: Millis, sample: &Sample, pace: &Pace, typical: f32) {
        let expected = pace.expected_seconds(sample);
        if expected <= 0.0 || !sample.seconds.is_finite() {
            return;
        }
        let likely = expected * typical * self.factor(now, typical);
        let actual = sample
            .seconds
            .clamp(likely / MAX_DEVIATION, likely * MAX_DEVIATION);
        let decay = decay(now, self.updated_at);
        self.samples = self.samples * decay + 1.0;
        self.actual = self.actual * decay + actual;
        self.expected = self.expected * decay + expected;
        self.updated_at = now.max(self.updated_at);
    }

    /// Time that the engine takes for a request, relative to all engines of the service.
    pub fn factor(&self, now: Millis, typical: f32) -> f32 {
        if self.expected <= 0.0 {
            return 1.0;
        }
        let samples = self.samples * decay(now, self.updated_at);
        let ratio = self.actual / self.expected / typical;
        let factor = (PRIOR_SAMPLES + samples * ratio) / (PRIOR_SAMPLES + samples);
        factor.clamp(FACTOR_RANGE.0, FACTOR_RANGE.1)
    }
}

/// Factor at which the own work of a request counts at an engine with this `factor`. A fast engine gets
/// no credit for it: prefixes that slower engines hold would be computed anew at fast ones, a tenth
/// more work in all, and more requests would start late under load.
pub fn cost_factor(factor: f32) -> f32 {
    factor.max(1.0)
}

fn decay(now: Millis, updated_at: Millis) -> f32 {
    let age = now.saturating_sub(updated_at) as f32;
    (-age / DECAY_MS).exp()
}
