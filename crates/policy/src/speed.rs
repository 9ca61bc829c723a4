//! Pace of one engine as a factor on the pace of its service, learned from its own answers.
//!
//! The factor is the time that the engine took for its recent answers over the time that the
//! service's pace expects for them. Few samples count little, and old samples lose weight with time,
//! so that the factor returns to 1 once an engine gets no more requests.

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
/// Time that the report of an answer that has begun may take, besides the engine's own time.
const REPORT_SECONDS: f32 = 0.03;
/// Factor by which the first request of a queue must be later than expected before the engine counts
/// as slow at the moment: requests of one kind differ by less.
const LATE_FACTOR: f32 = 2.5;

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
    /// Records an answer of the engine that began at `now`; `pace` is that of the service.
    pub fn record(&mut self, now: Millis, sample: &Sample, pace: &Pace) {
        let expected = pace.expected_seconds(sample);
        if expected <= 0.0 || !sample.seconds.is_finite() {
            return;
        }
        let factor = self.factor(now);
        let actual = sample.seconds.clamp(
            expected * factor / MAX_DEVIATION,
            expected * factor * MAX_DEVIATION,
        );
        let decay = self.decay(now);
        self.samples = self.samples * decay + 1.0;
        self.actual = self.actual * decay + actual;
        self.expected = self.expected * decay + expected;
        self.updated_at = now.max(self.updated_at);
    }

    /// Time that the engine takes for a request, relative to the pace of the service.
    pub fn factor(&self, now: Millis) -> f32 {
        if self.expected <= 0.0 {
            return 1.0;
        }
        let samples = self.samples * self.decay(now);
        let ratio = self.actual / self.expected;
        let factor = (PRIOR_SAMPLES + samples * ratio) / (PRIOR_SAMPLES + samples);
        factor.clamp(FACTOR_RANGE.0, FACTOR_RANGE.1)
    }

    /// Seconds by which the engine's work is expected to be delayed because the answer to `head`, the
    /// first request of its queue, is late. The time of `head` is that since the engine turned to it.
    pub fn delay(&self, now: Millis, head: &Sample, pace: &Pace) -> f32 {
        let expected = pace.expected_seconds(head) * self.factor(now);
        let lateness = head.seconds - expected * LATE_FACTOR - REPORT_SECONDS;
        lateness.clamp(0.0, MAX_DELAY_SECONDS)
    }

    fn decay(&self, now: Millis) -> f32 {
        let age = now.saturating_sub(self.updated_at) as f32;
        (-age / DECAY_MS).exp()
    }
}

/// Longest delay that a late answer suggests: about as long as an engine is slow for a spell.
const MAX_DELAY_SECONDS: f32 = 0.3;
/// Time constant at which recently placed work loses weight.
const RECENT_MS: f32 = 500.0;

/// Blocks of the requests that were placed at one engine lately, whether computed or not.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Recent {
    /// Decayed up to `updated_at`.
    blocks: f32,
    updated_at: Millis,
}

impl Recent {
    /// Adds a request that is placed at `now`.
    pub fn add(&mut self, now: Millis, blocks: f32) {
        self.blocks = self.blocks(now) + blocks.max(0.0);
        self.updated_at = now.max(self.updated_at);
    }

    /// Blocks placed lately, as of `now`.
    pub fn blocks(&self, now: Millis) -> f32 {
        let age = now.saturating_sub(self.updated_at) as f32;
        self.blocks * (-age / RECENT_MS).exp()
    }
}
