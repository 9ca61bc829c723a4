//! Rate limit of a workspace: one token bucket at the instance that owns the limit, and a small one
//! at each instance for periods in which the owner does not answer.
//!
//! The router package enforces limits in this way; `damaskd` divides them into leased parts
//! instead, see [`rights`](crate::rights).

use std::time::Duration;

use crate::shed::Turns;

/// Fraction of the tolerance that buckets may use. The rest covers periods with two owners, the
/// [`Part`]s of instances that the owner does not know to be silent, and requests that overspend.
const USABLE_TOLERANCE_FRACTION: f64 = 0.5;
/// Fraction of what a window may hold that accrues at a steady rate; the rest may be spent at once.
const STEADY_FRACTION: f64 = 0.7;
/// Fraction of the capacity that a new bucket starts with.
const INITIAL_FRACTION: f64 = 0.2;
/// Fraction of that which the bucket of a later owner within a window starts with.
const LATER_OWNER_FRACTION: f64 = 0.25;
/// Fraction of the capacity that is reserved for the most urgent requests.
const RESERVE_FRACTION: f64 = 0.15;
/// Longest time ahead for which units are promised to urgent requests that were refused; not all of
/// them come back.
const MAX_PROMISED: Duration = Duration::from_secs(2);
/// Longest delay after which a refused request is told to retry, the longest that datagrams express.
/// Clocks cannot express sums with the time that a debt of any size takes to accrue.
const MAX_DELAY: Duration = Duration::from_millis(u32::MAX as u64);
/// Fraction of the tolerance that all instances together may spend before the owner leaves their
/// parts to them.
const ADVANCE_FRACTION: f64 = 0.25;

/// Age of the latest sign of life beyond which the owner leaves an instance's part of the limit to
/// that instance; signs of life that hubs pass on are up to two heartbeats old.
pub const HEARD_HORIZON: Duration = Duration::from_millis(2_200);
/// Delay after which an instance counts on that; longer than [`HEARD_HORIZON`] by more than the
/// time for which it waits for an answer of the owner.
const PART_DELAY: Duration = Duration::from_millis(2_300);

/// How a limit is checked: a window may hold `rate` times its length plus `burst`, plus this
/// tolerance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Length of a window, in seconds.
    pub window: f64,
    /// Fraction of the limit by which a window may exceed it.
    pub over: f64,
    /// Units by which a window may exceed the limit beyond that fraction.
    pub slack: f64,
}

/// The share of a workspace's limit that one bucket enforces.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// Units per second.
    pub rate: f64,
    /// Units that may be saved up.
    pub capacity: f64,
    /// Units that a bucket starts with whose instance does not know what was spent before.
    pub initial: f64,
}

impl Tolerance {
    /// Units that one of `instances` may spend before the owner leaves its part to it.
    pub fn advance(&self, rate: f64, burst: f64, instances: usize) -> f64 {
        let limit = rate * self.window + burst;
        (limit * self.over + self.slack) * ADVANCE_FRACTION / instances.max(1) as f64
    }
}

impl Share {
    /// The whole limit, at its owner.
    ///
    /// Users judge a limit by what a window holds, so a burst is available again within a window,
    /// not only after a pause: any window holds at most `rate` times its length, `burst`, and the
    /// usable fraction of the tolerance.
    pub fn whole(rate: f64, burst: f64, tolerance: Tolerance) -> Self {
        let limit = rate * tolerance.window + burst;
        let extra = (limit * tolerance.over + tolerance.slack) * USABLE_TOLERANCE_FRACTION;
        let steady_rate = (limit + extra) * STEADY_FRACTION / tolerance.window;
        let rate = rate.max(steady_rate);
        let capacity = limit + extra - rate * tolerance.window;
        Self {
            rate,
            capacity,
            initial: capacity * INITIAL_FRACTION,
        }
    }

    /// An equal share of the limit, for one of `instances`.
    pub fn equal(rate: f64, burst: f64, instances: usize) -> Self {
        let count = instances.max(1) as f64;
        let capacity = burst / count;
        Self {
            rate: rate / count,
            capacity,
            initial: capacity * INITIAL_FRACTION,
        }
    }

    /// This fraction of the share.
    pub fn scaled(self, fraction: f64) -> Self {
        Self {
            rate: self.rate * fraction,
            capacity: self.capacity * fraction,
            initial: self.initial * fraction,
        }
    }

    /// The share of an owner that may be one of several within a window: the tolerance covers what the
    /// first of them starts with, not as much for each.
    pub fn of_later_owner(self) -> Self {
        Self {
            initial: self.initial * LATER_OWNER_FRACTION,
            ..self
        }
    }
}

/// Token bucket over a [`Share`].
///
/// A request is admitted while the level is above zero and is charged in full, so that the level
/// may fall below zero; the overspent units accrue again before the next request is admitted. A
/// request larger than the whole capacity is therefore admitted in its turn and never refused for
/// good.
///
/// # Invariants
///
/// The level is never above the capacity of the share that the last call passed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bucket {
    level: f64,
    updated_at: Duration,
    /// Turns of urgent requests that were refused and come back.
    turns: Turns,
}

impl Bucket {
    /// A bucket that was nearly empty at `since`: what was spent before is not known, but the
    /// unused fraction of the tolerance covers some of it.
    pub fn new(since: Duration, share: Share) -> Self {
        Self {
            level: share.initial,
            updated_at: since,
            turns: Turns::default(),
        }
    }

    /// Restarts the bucket nearly empty at `now`, since another owner spends from the limit.
    pub fn restart(&mut self, now: Duration, share: Share) {
        self.accrue(now, share);
        self.level = self.level.min(share.initial);
    }

    /// Charges `cost` units. Only urgent requests may use the reserve, and what is promised to those
    /// that were refused before.
    ///
    /// # Errors
    ///
    /// The delay after which the request would be admitted if no other came before it; for an urgent
    /// one, none but those that were refused before. At most 2^32 ms.
    pub fn charge(
        &mut self,
        now: Duration,
        share: Share,
        cost: f64,
        urgent: bool,
    ) -> Result<(), Duration> {
        self.accrue(now, share);
        let reserve = if urgent {
            0.0
        } else {
            let promised = self.turns.remaining(now).as_secs_f64() * share.rate;
            share.capacity * RESERVE_FRACTION + promised
        };
        if self.level > reserve {
            self.level -= cost;
            return Ok(());
        }
        let time = |units: f64| {
            let seconds = units / share.rate.max(f64::MIN_POSITIVE);
            Duration::try_from_secs_f64(seconds).map_or(MAX_DELAY, |time| time.min(MAX_DELAY))
        };
        let delay = time(reserve + 1.0 - self.level);
        if !urgent {
            return Err(delay);
        }
        Err(self.turns.take_within(now, delay, time(cost), MAX_PROMISED))
    }

    /// Charges up to `extra` units for future requests, as long as half of the capacity is left;
    /// returns the units charged.
    pub fn charge_ahead(&mut self, share: Share, extra: f64) -> f64 {
        let available = self.level - share.capacity / 2.0;
        let charged = extra.min(available).max(0.0);
        self.level -= charged;
        charged
    }

    /// Lowers the level to `limit`.
    pub fn limit(&mut self, limit: f64) {
        self.level = self.level.min(limit);
    }

    /// Limit of another bucket of this instance: what a request overspent counts there, too.
    pub fn debt(&self) -> f64 {
        if self.level < 0.0 {
            self.level
        } else {
            f64::INFINITY
        }
    }

    fn accrue(&mut self, now: Duration, share: Share) {
        let seconds = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = now.max(self.updated_at);
        self.level = (self.level + share.rate * seconds).min(share.capacity);
    }
}

/// What an instance may spend of a limit while its owner does not answer: at first an advance on
/// the tolerance, since the owner may go on to grant the whole limit, and its equal share once the
/// owner leaves that to it or is known to be gone.
///
/// # Invariants
///
/// Any window holds at most one advance.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Part {
    /// Level, and the time from which on the equal share accrues.
    bucket: Option<Bucket>,
    /// Time of the latest request that was admitted.
    spent_at: Duration,
    /// Whether this instance is known not to be cut off.
    is_resumed: bool,
}

impl Part {
    /// Begins a period without answers of the owner, with an `advance` unless a request was
    /// admitted within the last `window` seconds.
    pub fn begin(&mut self, now: Duration, advance: f64, window: f64) {
        let is_renewed = now.saturating_sub(self.spent_at).as_secs_f64() >= window;
        let level = self.bucket.filter(|_| !is_renewed).map(|b| b.level);
        self.is_resumed = false;
        self.bucket = Some(Bucket {
            level: level.map_or(advance, |level| level.min(advance)),
            updated_at: now + PART_DELAY,
            turns: Turns::default(),
        });
    }

    /// Lets the equal share accrue from `now` on, since this instance is not cut off.
    pub fn resume(&mut self, now: Duration) {
        if let Some(bucket) = &mut self.bucket {
            bucket.updated_at = bucket.updated_at.min(now);
            self.is_resumed = true;
        }
    }

    /// Lowers the level to `limit`.
    pub fn limit(&mut self, limit: f64) {
        if let Some(bucket) = &mut self.bucket {
            bucket.limit(limit);
        }
    }

    /// Limit of the bucket with which this instance becomes the owner: all that is left if it is
    /// cut off, since the owner of before then goes on.
    pub fn rest(&self) -> f64 {
        match self.bucket {
            Some(bucket) if self.is_resumed => bucket.debt(),
            Some(bucket) => bucket.level,
            None => f64::INFINITY,
        }
    }

    /// Charges `cost` units to the advance or the equal `share`.
    ///
    /// # Errors
    ///
    /// The delay after which the request would be admitted if no other came before it.
    pub fn charge(
        &mut self,
        now: Duration,
        share: Share,
        cost: f64,
        urgent: bool,
    ) -> Result<(), Duration> {
        let Some(bucket) = &mut self.bucket else {
            return Err(PART_DELAY);
        };
        if now >= bucket.updated_at {
            bucket.charge(now, share, cost, urgent)?;
        } else if cost <= bucket.level {
            bucket.level -= cost;
        } else {
            return Err(bucket.updated_at - now);
        }
        self.spent_at = now;
        Ok(())
    }
}
