//! What a workspace may spend: one bucket at the instance that owns the workspace's limit, and a
//! small one at each instance for the time in which the owner gives no answer.

use std::time::Duration;

/// Part of the tolerance that is given out. The rest covers two owners at the same time, and
/// requests that overspend.
const TOLERANCE_PART: f64 = 0.5;
/// Part of what a window may hold that comes evenly; the rest may come at once.
const EVEN_PART: f64 = 0.7;
/// Part of the capacity that a new bucket starts with.
const START_PART: f64 = 0.2;
/// Part of the capacity below which only the most urgent requests are let in.
const RESERVE_PART: f64 = 0.15;

/// What a limit is judged by: a window may hold `rate` times its length and `burst`, and a
/// tolerance beyond that.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Length of a window, in seconds.
    pub window: f64,
    /// Part of the limit by which a window may exceed it.
    pub over: f64,
    /// Units by which it may exceed it beyond that.
    pub slack: f64,
}

/// What one bucket may give out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// Units a second.
    pub rate: f64,
    /// Units that may be saved up.
    pub capacity: f64,
}

impl Share {
    /// The whole limit, at its owner.
    ///
    /// Users judge a limit by what a window holds, so that a burst comes back within a window, not
    /// only after a pause: any window holds at most `rate` times its length, `burst`, and the part
    /// of the tolerance that is given out.
    pub fn whole(rate: f64, burst: f64, tolerance: Tolerance) -> Self {
        let limit = rate * tolerance.window + burst;
        let spare = (limit * tolerance.over + tolerance.slack) * TOLERANCE_PART;
        let even = (limit + spare) * EVEN_PART / tolerance.window;
        let rate = rate.max(even);
        Self {
            rate,
            capacity: limit + spare - rate * tolerance.window,
        }
    }

    /// An even part of the limit, for one of `instances`.
    pub fn even(rate: f64, burst: f64, instances: usize) -> Self {
        let count = instances.max(1) as f64;
        Self {
            rate: rate / count,
            capacity: burst / count,
        }
    }
}

/// What may be spent now.
///
/// A request is let in while the level is above zero and is charged in full, so that the level may
/// fall below zero; what was overspent is paid back before the next one. A request larger than the
/// whole capacity therefore waits its turn and is never refused for good.
///
/// # Invariants
///
/// Never above the capacity that the last call gave.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bucket {
    level: f64,
    at: Duration,
}

impl Bucket {
    /// A bucket that was nearly empty at `since`: what was spent before is not known, but the part
    /// of the tolerance that is not given out allows for some.
    pub fn new(since: Duration, share: Share) -> Self {
        Self {
            level: share.capacity * START_PART,
            at: since,
        }
    }

    /// Takes `cost` units, or tells how long to wait for them. The most urgent requests may use
    /// what is held back from the others.
    ///
    /// # Errors
    ///
    /// The time after which a request would be let in if no other came before.
    pub fn take(
        &mut self,
        now: Duration,
        share: Share,
        cost: f64,
        urgent: bool,
    ) -> Result<(), Duration> {
        self.fill(now, share);
        let reserve = if urgent {
            0.0
        } else {
            share.capacity * RESERVE_PART
        };
        if self.level > reserve {
            self.level -= cost;
            return Ok(());
        }
        let missing = reserve + 1.0 - self.level;
        let seconds = missing / share.rate.max(f64::MIN_POSITIVE);
        Err(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
    }

    /// Takes up to `extra` units for requests to come, as long as half of the capacity is left.
    pub fn take_ahead(&mut self, share: Share, extra: f64) -> f64 {
        let spare = self.level - share.capacity / 2.0;
        let taken = extra.min(spare).max(0.0);
        self.level -= taken;
        taken
    }

    fn fill(&mut self, now: Duration, share: Share) {
        let seconds = now.saturating_sub(self.at).as_secs_f64();
        self.at = now.max(self.at);
        self.level = (self.level + share.rate * seconds).min(share.capacity);
    }
}
