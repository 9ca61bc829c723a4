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

/// Short urgent requests of this instance that run, now and on average.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Level {
    running: u32,
    average: f32,
    at: Duration,
}

impl Level {
    /// One more runs.
    pub fn enter(&mut self, now: Duration) {
        self.note(now);
        self.running += 1;
    }

    /// One has ended.
    pub fn leave(&mut self, now: Duration) {
        self.note(now);
        self.running = self.running.saturating_sub(1);
    }

    /// How many run on average.
    pub fn average(&self, now: Duration) -> f32 {
        let age = now.saturating_sub(self.at).as_secs_f32();
        let kept = (-age / MEMORY.as_secs_f32()).exp();
        let running = self.running as f32;
        running + (self.average - running) * kept
    }

    fn note(&mut self, now: Duration) {
        self.average = self.average(now);
        self.at = now.max(self.at);
    }
}

/// How many of `engines` with `slots` each are kept while `running` short urgent requests run at
/// all of them.
pub fn size(running: f32, slots: u32, engines: usize) -> usize {
    let each = (slots as f32 * FILL).max(1.0);
    let needed = (running / each).ceil() as usize;
    let least = engines.div_ceil(LEAST_PART);
    needed.max(least).min(engines / MOST_PART)
}
