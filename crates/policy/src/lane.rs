//! Engines kept for short urgent requests.
//!
//! An engine that computes long prompts makes a step for every piece of them,
//! and each of its other requests gets one token a step. Short requests that
//! are urgent go to a few engines that compute no long prompts.

use std::time::Duration;

/// Part of an engine's slots that short requests may fill before another engine is kept for them.
const FILL: f32 = 0.75;
/// One in so many engines is kept at least.
const LEAST_PART: usize = 10;
/// At most one in so many engines is kept.
const MOST_PART: usize = 2;
/// Time over which running requests are averaged; engines change sides no faster.
const MEMORY: Duration = Duration::from_secs(3);
/// Longest time for which one request counts. A short one that takes longer waits for an engine
/// that is gone or full, and more engines kept would be taken from the long ones in vain.
const MAX_COUNTED: Duration = Duration::from_millis(500);

/// Part of an engine's time that the prompts of short requests may take before another engine is
/// kept for them; the tokens of their answers take as much again.
const BUSY: f32 = 0.4;

/// Time over which a burst is noticed: some tens of requests.
const BURST_MEMORY: Duration = Duration::from_millis(600);

/// Short urgent requests of late.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Level {
    load: Load,
    /// Blocks of prompt that were asked for in a second, over a shorter time.
    burst: f32,
    at: Duration,
}

/// What short urgent requests ask of engines, on average.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests that run at a time.
    pub running: f32,
    /// Blocks of prompt that are asked for in a second.
    pub blocks: f32,
}

impl Load {
    /// The load if `times` as many requests came.
    pub fn times(self, times: f32) -> Self {
        Self {
            running: self.running * times,
            blocks: self.blocks * times,
        }
    }
}

impl Level {
    /// A request for `blocks` of prompt has come.
    pub fn came(&mut self, now: Duration, blocks: f32) {
        self.fade(now);
        self.load.blocks += blocks / MEMORY.as_secs_f32();
        self.burst += blocks / BURST_MEMORY.as_secs_f32();
    }

    /// A request has ended that ran for `time`.
    pub fn ended(&mut self, now: Duration, time: Duration) {
        self.fade(now);
        self.load.running += time.min(MAX_COUNTED).as_secs_f32() / MEMORY.as_secs_f32();
    }

    /// The load of late: a burst counts at once, and for as long as other load.
    pub fn average(&self, now: Duration) -> Load {
        let mut level = *self;
        level.fade(now);
        Load {
            blocks: level.load.blocks.max(level.burst),
            ..level.load
        }
    }

    fn fade(&mut self, now: Duration) {
        let age = now.saturating_sub(self.at).as_secs_f32();
        self.load = self.load.times((-age / MEMORY.as_secs_f32()).exp());
        self.burst *= (-age / BURST_MEMORY.as_secs_f32()).exp();
        self.at = now.max(self.at);
    }
}

/// How many of `engines` with `slots` each, which take `block_seconds` for a block, are kept for
/// short urgent requests of all instances.
pub fn size(load: Load, slots: u32, block_seconds: f32, engines: usize) -> usize {
    let each = (slots as f32 * FILL).max(1.0);
    let by_slots = load.running / each;
    let by_time = load.blocks * block_seconds / BUSY;
    let needed = by_slots.max(by_time).ceil() as usize;
    let least = engines.div_ceil(LEAST_PART);
    needed.max(least).min(engines / MOST_PART)
}
