//! Shares of a workspace's limit that instances take without asking each other.
//!
//! Each instance publishes what its callers ask for and takes the share of the
//! limit that its part of the published demand gives it. Instances that have
//! read the same numbers take shares that sum up to one.

use std::time::Duration;

/// Part of the limit that is split evenly, so that new demand finds a share before it is published.
const EVEN_PART: f64 = 0.3;

/// Part of the tolerance that is saved up ahead. The rest covers requests that overspend a share
/// and shares that were worked out from different numbers.
const TOLERANCE_PART: f64 = 0.5;

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

/// The share of a limit that one of `instances` may spend when its part of the demand is
/// `fraction`.
///
/// Each instance saves up an even part of the tolerance: shares of many instances are small
/// against single requests.
pub fn share(
    rate: f64,
    burst: f64,
    tolerance: Tolerance,
    fraction: f64,
    instances: usize,
) -> Share {
    let limit = rate * tolerance.window + burst;
    let spare = (limit * tolerance.over + tolerance.slack) * TOLERANCE_PART;
    Share {
        rate: rate * fraction,
        capacity: burst * fraction + spare / instances.max(1) as f64,
    }
}

/// The share of one of `instances`, from 0 to 1.
///
/// `own` is the demand that this instance has published, `others` what all others have together.
pub fn fraction(own: f64, others: f64, instances: usize) -> f64 {
    let count = instances.max(1) as f64;
    let total = own + others;
    if total <= 0.0 {
        return 1.0 / count;
    }
    EVEN_PART / count + (1.0 - EVEN_PART) * own / total
}

/// What an instance may spend now.
///
/// A request is let in while the level is above zero and is charged in full, so that the level may
/// fall below zero; what was overspent is paid back before the next one. A request larger than the
/// whole share therefore waits its turn and is never refused for good.
///
/// # Invariants
///
/// Never above the capacity that the last call gave.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bucket {
    level: f64,
    at: Duration,
}

/// The share of the limit in force, in units and units a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// Units a second.
    pub rate: f64,
    /// Units that may be saved up.
    pub capacity: f64,
}

impl Bucket {
    /// A bucket that is filled to `part` of its capacity, from 0 to 1.
    pub fn new(now: Duration, share: Share, part: f64) -> Self {
        Self {
            level: share.capacity * part,
            at: now,
        }
    }

    /// Takes `cost` units, or tells how long to wait for them.
    ///
    /// # Errors
    ///
    /// The time after which a request would be let in if no other came before.
    pub fn take(&mut self, now: Duration, share: Share, cost: f64) -> Result<(), Duration> {
        self.fill(now, share);
        if self.level > 0.0 {
            self.level -= cost;
            return Ok(());
        }
        let missing = 1.0 - self.level;
        let seconds = missing / share.rate.max(f64::MIN_POSITIVE);
        Err(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
    }

    /// Gives back what a request did not use.
    pub fn give_back(&mut self, units: f64) {
        self.level += units;
    }

    fn fill(&mut self, now: Duration, share: Share) {
        let seconds = now.saturating_sub(self.at).as_secs_f64();
        self.at = now.max(self.at);
        self.level = (self.level + share.rate * seconds).min(share.capacity);
    }
}

/// Demand, averaged so that old demand fades.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    rate: f64,
    at: Duration,
}

/// Time after which demand counts 1/e; a few intervals between publications.
const DEMAND_MEMORY: Duration = Duration::from_secs(4);

impl Demand {
    /// Counts a request.
    pub fn add(&mut self, now: Duration, units: f64) {
        self.fade(now);
        self.rate += units / DEMAND_MEMORY.as_secs_f64();
    }

    /// Units a second.
    pub fn rate(&mut self, now: Duration) -> f64 {
        self.fade(now);
        self.rate
    }

    fn fade(&mut self, now: Duration) {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.rate *= (-age / DEMAND_MEMORY.as_secs_f64()).exp();
        self.at = now.max(self.at);
    }
}
