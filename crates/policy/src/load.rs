//! What is learnt of one endpoint: its pace, its eviction time and its queue.

use std::time::Duration;

use crate::{
    backlog::Backlog,
    belief::Millis,
    breaker::Breaker,
    inflow::Inflow, //
};

/// Time for a block before any answer was timed, in seconds.
const START_BLOCK_SECONDS: f32 = 0.05;
/// Time after which half of the blocks are taken for evicted, before any was seen.
const START_HORIZON: Millis = 5_000;
/// Bounds of the learnt eviction time.
const HORIZONS: (Millis, Millis) = (200, 600_000);
/// Weight of an answer that was faster than expected.
const FASTER: f32 = 0.2;
/// Weight of a slower one, which may have waited behind work of others.
const SLOWER: f32 = 0.02;
/// Weight of a new sample of the eviction time.
const HORIZON_WEIGHT: f32 = 0.2;
/// Weight of a new sample of the work that a request brings.
const WORK_WEIGHT: f32 = 0.05;
/// Age at which a load report counts half.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(1_500);

/// A load report, taken at some time before it was read.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Report {
    /// Requests that wait or compute their prompts, those of other instances only.
    pub waiting: u32,
    /// Requests that generate tokens.
    pub running: u32,
    /// When it was read.
    pub at: Millis,
}

/// What is learnt of one endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Time to compute one block, in seconds.
    pub block_seconds: f32,
    /// Age at which half of the blocks are evicted.
    pub horizon: Millis,
    /// Blocks that one request has computed, on average.
    pub work: f32,
    /// The newest load report.
    pub report: Report,
    /// Work at its link, if it is a store.
    pub link: Backlog,
    /// Tokens that were given to it.
    pub inflow: Inflow,
    /// Failures in a row.
    pub breaker: Breaker,
}

impl Default for Estimate {
    fn default() -> Self {
        Self {
            block_seconds: START_BLOCK_SECONDS,
            horizon: START_HORIZON,
            work: 1.0,
            report: Report::default(),
            link: Backlog::default(),
            inflow: Inflow::default(),
            breaker: Breaker::default(),
        }
    }
}

impl Estimate {
    /// Learns from an answer that began `seconds` after it was sent, behind `ahead` blocks of our
    /// own, and had `missed` blocks computed.
    pub fn began(&mut self, seconds: f32, ahead: f32, missed: f32) {
        self.work += (missed - self.work) * WORK_WEIGHT;
        let blocks = ahead + missed;
        if blocks < 0.5 {
            return;
        }
        let sample = seconds / blocks;
        let weight = if sample < self.block_seconds {
            FASTER
        } else {
            SLOWER
        };
        self.block_seconds += (sample - self.block_seconds) * weight;
    }

    /// Learns that a block used `age` ago was still cached.
    pub fn survived(&mut self, age: Millis) {
        if age > self.horizon {
            self.learn_horizon(age);
        }
    }

    /// Learns that a block used `age` ago was gone.
    pub fn evicted(&mut self, age: Millis) {
        if age < self.horizon {
            self.learn_horizon(age);
        }
    }

    fn learn_horizon(&mut self, sample: Millis) {
        let old = self.horizon as f32;
        let new = old + (sample as f32 - old) * HORIZON_WEIGHT;
        self.horizon = (new as Millis).clamp(HORIZONS.0, HORIZONS.1);
    }

    /// Blocks of other instances that wait here, as far as the report tells.
    pub fn reported_blocks(&self, now: Millis) -> f32 {
        let age = now.saturating_sub(self.report.at) as f32;
        let decay = (-age / REPORT_HALF_LIFE.as_millis() as f32).exp2();
        self.report.waiting as f32 * self.work.max(0.5) * decay
    }
}
