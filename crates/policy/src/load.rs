//! Load estimate of one endpoint: compute time per block, cache eviction age and queue length.

use std::time::Duration;

use crate::{
    backlog::Backlog,
    belief::Millis,
    breaker::Breaker,
    bulkhead::Brittle,
    inflow::Inflow,
    limit::Limit,
    rejection::Rejections,
    rest::Rest, //
};

/// Initial estimate of the time to compute one block, in seconds.
const INITIAL_BLOCK_SECONDS: f32 = 0.05;
/// Initial estimate of the age at which half of the blocks are evicted.
const INITIAL_EVICTION_AGE_MS: Millis = 5_000;
/// Lower and upper bound of the estimated eviction age.
const EVICTION_AGE_RANGE_MS: (Millis, Millis) = (200, 600_000);
/// Weight of a response that was faster than the estimate.
const FASTER_SAMPLE_WEIGHT: f32 = 0.2;
/// Weight of a response that was slower than the estimate; it may have queued behind requests of
/// other instances.
const SLOWER_SAMPLE_WEIGHT: f32 = 0.02;
/// Weight of a new sample of the eviction age.
const EVICTION_AGE_SAMPLE_WEIGHT: f32 = 0.2;
/// Weight of a new sample of the blocks computed per request.
const REQUEST_BLOCKS_SAMPLE_WEIGHT: f32 = 0.05;
/// Age at which a load report has half its weight.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(1_500);

/// A load report of an endpoint; the load that it states is somewhat older than `read_at`.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Report {
    /// Requests of other instances that wait or whose prompts are being computed.
    pub waiting: u32,
    /// Requests that generate tokens.
    pub running: u32,
    /// Time at which the report was read.
    pub read_at: Millis,
}

/// Estimates for one endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Time to compute one block, in seconds.
    pub block_seconds: f32,
    /// Age at which half of the blocks are evicted.
    pub eviction_age: Millis,
    /// Average number of blocks that the endpoint computes for one request.
    pub blocks_per_request: f32,
    /// The newest load report.
    pub report: Report,
    /// Backlog of transfers on the link, if the endpoint is a store.
    pub link: Backlog,
    /// Tokens that were recently sent to the endpoint.
    pub inflow: Inflow,
    /// Circuit breaker, driven by consecutive failures of the endpoint, whoever saw them.
    pub breaker: Breaker,
    /// Circuit breaker, driven by consecutive failures of this instance to connect.
    pub path: Breaker,
    /// Rest for which the endpoint has asked.
    pub rest: Rest,
    /// Rejections for want of room.
    pub rejections: Rejections,
    /// Limit that the endpoint has stated.
    pub limit: Limit,
    /// Whether the endpoint has stated that it is brittle.
    pub brittle: Brittle,
}

impl Default for Estimate {
    fn default() -> Self {
        Self {
            block_seconds: INITIAL_BLOCK_SECONDS,
            eviction_age: INITIAL_EVICTION_AGE_MS,
            blocks_per_request: 1.0,
            report: Report::default(),
            link: Backlog::default(),
            inflow: Inflow::default(),
            breaker: Breaker::default(),
            path: Breaker::default(),
            rest: Rest::default(),
            rejections: Rejections::default(),
            limit: Limit::default(),
            brittle: Brittle::default(),
        }
    }
}

impl Estimate {
    /// Forgets what an incarnation has stated about itself.
    pub fn forget_statements(&mut self) {
        self.rest = Rest::default();
        self.rejections = Rejections::default();
        self.limit = Limit::default();
        self.brittle = Brittle::default();
    }

    /// Time for which the endpoint wants no request of this instance, or takes none; zero if one may
    /// be sent or asked for now.
    pub fn pause(&self, urgent: bool, now: Millis) -> Duration {
        let rest = self.rest.remaining(now);
        rest.max(self.limit.remaining(urgent, now))
            .max(self.brittle.remaining(now))
            .max(self.rejections.remaining(now))
    }

    /// Records a response whose first token arrived `seconds` after the request was sent, which
    /// queued behind `backlog` blocks and needed `missed` blocks computed.
    pub fn record_first_token(&mut self, seconds: f32, backlog: f32, missed: f32) {
        self.blocks_per_request +=
            (missed - self.blocks_per_request) * REQUEST_BLOCKS_SAMPLE_WEIGHT;
        let blocks = backlog + missed;
        if blocks < 0.5 {
            return;
        }
        let sample = seconds / blocks;
        let weight = if sample < self.block_seconds {
            FASTER_SAMPLE_WEIGHT
        } else {
            SLOWER_SAMPLE_WEIGHT
        };
        self.block_seconds += (sample - self.block_seconds) * weight;
    }

    /// Records that a block last used `age` ago was still cached.
    pub fn record_hit(&mut self, age: Millis) {
        if age > self.eviction_age {
            self.update_eviction_age(age);
        }
    }

    /// Records that a block last used `age` ago had been evicted.
    pub fn record_eviction(&mut self, age: Millis) {
        if age < self.eviction_age {
            self.update_eviction_age(age);
        }
    }

    fn update_eviction_age(&mut self, sample: Millis) {
        let old = self.eviction_age as f32;
        let new = old + (sample as f32 - old) * EVICTION_AGE_SAMPLE_WEIGHT;
        self.eviction_age = (new as Millis).clamp(EVICTION_AGE_RANGE_MS.0, EVICTION_AGE_RANGE_MS.1);
    }

    /// Estimated backlog of other instances' requests in blocks, from the last report with its
    /// weight decayed by age.
    pub fn reported_blocks(&self, now: Millis) -> f32 {
        let age = now.saturating_sub(self.report.read_at) as f32;
        let decay = (-age / REPORT_HALF_LIFE.as_millis() as f32).exp2();
        self.report.waiting as f32 * self.blocks_per_request.max(0.5) * decay
    }
}
