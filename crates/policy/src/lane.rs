//! Size of the lane: the engines reserved for short urgent requests.
//!
//! An engine computes a long prompt in chunks, one per step, and each of its
//! other requests gets one token per step. Short urgent requests therefore go
//! to a few engines that compute no long prompts.

use std::time::Duration;

/// Fraction of an engine's slots that short requests may fill before the lane gets another engine.
const MAX_SLOT_FILL: f32 = 0.75;
/// The lane has at least one in this many engines.
const MIN_LANE_DIVISOR: usize = 10;
/// The lane has at most one in this many engines.
const MAX_LANE_DIVISOR: usize = 2;
/// Time constant of the load average; the size of the lane changes no faster.
const LOAD_WINDOW: Duration = Duration::from_secs(3);
/// Maximum duration that one request adds to the load. A short request that takes longer waits for
/// an engine that is gone or full, and a larger lane would not help it but slow down long requests.
const MAX_COUNTED_DURATION: Duration = Duration::from_millis(500);

/// Fraction of an engine's time that the prompts of short requests may take before the lane gets
/// another engine; generating their answers takes as much again.
const MAX_PROMPT_FRACTION: f32 = 0.4;

/// Time constant of the burst average, in which some tens of requests arrive.
const BURST_WINDOW: Duration = Duration::from_millis(600);

/// Meter of the recent load of short urgent requests, as exponentially decaying averages.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Meter {
    load: Load,
    /// Prompt blocks requested per second, averaged over [`BURST_WINDOW`].
    burst: f32,
    /// Time of the last decay.
    updated_at: Duration,
}

/// Average load of short urgent requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests that run at the same time.
    pub running: f32,
    /// Prompt blocks requested per second.
    pub blocks: f32,
}

impl Load {
    /// The load of `factor` times as many requests.
    pub fn scaled(self, factor: f32) -> Self {
        Self {
            running: self.running * factor,
            blocks: self.blocks * factor,
        }
    }
}

impl Meter {
    /// Records the arrival of a request with a prompt of `blocks` blocks.
    pub fn record_arrival(&mut self, now: Duration, blocks: f32) {
        self.decay(now);
        self.load.blocks += blocks / LOAD_WINDOW.as_secs_f32();
        self.burst += blocks / BURST_WINDOW.as_secs_f32();
    }

    /// Records the end of a request that ran for `duration`.
    pub fn record_end(&mut self, now: Duration, duration: Duration) {
        self.decay(now);
        self.load.running +=
            duration.min(MAX_COUNTED_DURATION).as_secs_f32() / LOAD_WINDOW.as_secs_f32();
    }

    /// The recent load; a burst counts at once and decays as slowly as other load.
    pub fn load(&self, now: Duration) -> Load {
        let mut meter = *self;
        meter.decay(now);
        Load {
            blocks: meter.load.blocks.max(meter.burst),
            ..meter.load
        }
    }

    fn decay(&mut self, now: Duration) {
        let age = now.saturating_sub(self.updated_at).as_secs_f32();
        self.load = self.load.scaled((-age / LOAD_WINDOW.as_secs_f32()).exp());
        self.burst *= (-age / BURST_WINDOW.as_secs_f32()).exp();
        self.updated_at = now.max(self.updated_at);
    }
}

/// Number of engines, out of `engines`, in the lane for the short urgent requests of all instances.
///
/// Each engine has `slots` slots and computes a block in `block_seconds` seconds.
pub fn size(load: Load, slots: u32, block_seconds: f32, engines: usize) -> usize {
    let slots_per_engine = (slots as f32 * MAX_SLOT_FILL).max(1.0);
    let by_slots = load.running / slots_per_engine;
    let by_time = load.blocks * block_seconds / MAX_PROMPT_FRACTION;
    let needed = by_slots.max(by_time).ceil() as usize;
    let minimum = engines.div_ceil(MIN_LANE_DIVISOR);
    needed.max(minimum).min(engines / MAX_LANE_DIVISOR)
}
