//! Limit of an endpoint: the requests a second that it takes from all instances together.
//!
//! The instance that rendezvous hashing ranks first for the endpoint grants each request of all
//! others. Instances that do not reach it turn to the second, which grants a part of the limit in any
//! case. So the limit holds without shares: with one request a second and tens of instances any share
//! is smaller than a request.

use std::time::Duration;

use crate::belief::Millis;

/// Lowest rate that is granted: an endpoint that gets nothing cannot state that its limit has ended.
const MIN_RATE: f64 = 0.1;
/// Requests that may be granted at once, whatever the limit: it may drop at any moment.
const BURST: f64 = 4.0;
/// Requests that are left to urgent ones.
const RESERVE: f64 = 1.0;
/// Fraction of the limit that an instance grants that is not the first by its own view.
const DEPUTY_FRACTION: f64 = 0.25;
/// Time after a change of the instances in which others may still ask the previous first one.
const HANDOVER_TIME: Duration = Duration::from_millis(1_500);
/// Fraction of the limit that the first instance grants in that time.
const HANDOVER_FRACTION: f64 = 0.5;

/// The limit of an endpoint as one instance was told, and what it was refused under it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Limit {
    /// Requests a second as stated last, and when; `None` if the last answer states no limit.
    stated: Option<(f64, Duration)>,
    /// Time until which nothing is asked for, for urgent requests.
    urgent_at: Millis,
    /// The same, for all other requests.
    other_at: Millis,
}

impl Limit {
    /// Records what an answer states at `now`; returns whether that is new.
    pub fn record_statement(&mut self, limit: Option<f64>, now: Duration) -> bool {
        let before = self.stated.map(|(limit, _)| limit);
        if limit.is_none() {
            *self = Self::default();
        } else {
            self.stated = limit.map(|limit| (limit, now));
        }
        before != limit
    }

    /// Requests a second as stated last, and when; `None` if there is no limit.
    pub fn stated(&self) -> Option<(f64, Duration)> {
        self.stated
    }

    /// Records that a request was not granted, and is not to be asked for until `until`.
    pub fn record_refusal(&mut self, urgent: bool, until: Millis) {
        self.other_at = self.other_at.max(until);
        if urgent {
            self.urgent_at = self.urgent_at.max(until);
        }
    }

    /// Time for which no request is granted; zero if one may be asked for.
    pub fn remaining(&self, urgent: bool, now: Millis) -> Duration {
        let next_at = if urgent {
            self.urgent_at
        } else {
            self.other_at
        };
        Duration::from_millis(next_at.saturating_sub(now))
    }
}

/// An instance's part in granting the requests to one endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Role {
    /// Whether it is the first of the live instances by its own view.
    pub is_first: bool,
    /// Time since which the live instances are unchanged.
    pub since: Duration,
    /// Fraction of the instances that it hears; the others may be cut off and grant their own part.
    pub heard: f64,
}

impl Role {
    /// Whether it is the first by its own view, and no other one has been for some time.
    pub fn is_settled(self, now: Duration) -> bool {
        self.is_first && now.saturating_sub(self.since) >= HANDOVER_TIME
    }

    fn fraction(self, now: Duration) -> f64 {
        let fraction = match (self.is_first, self.is_settled(now)) {
            (true, true) => 1.0,
            (true, false) => HANDOVER_FRACTION,
            (false, _) => DEPUTY_FRACTION,
        };
        fraction * self.heard
    }
}

/// Grants of one instance for the requests to one endpoint.
///
/// # Invariants
///
/// In any time the grants are at most the rate of the role times that time, plus the capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Grants {
    /// The limit as stated last, in requests a second.
    limit: f64,
    stated_at: Duration,
    /// Requests that may be granted now.
    level: f64,
    updated_at: Duration,
    /// Start of the role under which `level` has accrued.
    role_since: Duration,
}

impl Grants {
    /// Grants for a limit that the endpoint stated at `stated_at`.
    pub fn new(limit: f64, stated_at: Duration) -> Self {
        Self {
            limit,
            stated_at,
            level: 0.0,
            updated_at: Duration::ZERO,
            role_since: Duration::ZERO,
        }
    }

    /// Records a statement of the endpoint; an older one than known is ignored.
    pub fn record_statement(&mut self, limit: f64, stated_at: Duration) {
        if stated_at >= self.stated_at {
            (self.limit, self.stated_at) = (limit, stated_at);
        }
    }

    /// Time of the last grant or refusal.
    pub fn updated_at(&self) -> Duration {
        self.updated_at
    }

    /// Grants one request.
    ///
    /// # Errors
    ///
    /// The delay after which it would be granted if no other came before it.
    pub fn grant(&mut self, role: Role, urgent: bool, now: Duration) -> Result<(), Duration> {
        let rate = self.limit.max(MIN_RATE) * role.fraction(now);
        let burst = if role.is_first {
            BURST * role.heard
        } else {
            0.0
        };
        let capacity = burst.max(1.0);
        self.accrue(role, rate, capacity, now);
        let reserve = if urgent {
            0.0
        } else {
            RESERVE.min(capacity - 1.0)
        };
        let missing = 1.0 + reserve - self.level;
        if missing <= 0.0 {
            self.level -= 1.0;
            return Ok(());
        }
        let wait = Duration::try_from_secs_f64(missing / rate.max(f64::MIN_POSITIVE));
        Err(wait.unwrap_or(Duration::MAX))
    }

    fn accrue(&mut self, role: Role, rate: f64, capacity: f64, now: Duration) {
        if role.since > self.role_since {
            // What the previous first instance has granted is not known.
            self.level = 0.0;
            self.role_since = role.since;
            self.updated_at = self.updated_at.max(role.since);
        }
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        self.level = (self.level + rate * elapsed).min(capacity);
    }
}
