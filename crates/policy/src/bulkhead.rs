//! Bulkhead of a brittle endpoint: a limit on the requests that all instances together have in flight
//! there.
//!
//! A brittle endpoint falls over when it turns too many requests away. The instance that rendezvous
//! hashing ranks first for it grants each request, up to a limit that begins at the endpoint's slots,
//! decreases to what was in flight, by half at most, when the endpoint rejects a request, and increases
//! slowly again.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use crate::{
    belief::Millis,
    limit::Role, //
};

/// Window in which an endpoint counts its rejections, with a margin for the way of requests.
const REJECTION_WINDOW: Duration = Duration::from_millis(1_100);
/// Time after a grant in which a rejection of the request may not be known here.
const FEEDBACK_TIME: Duration = Duration::from_millis(25);
/// Time in which the limit increases by one request; it doubles with each rejection.
const INCREASE_INTERVAL: Duration = Duration::from_secs(2);
/// Longest such time.
const MAX_INCREASE_INTERVAL: Duration = Duration::from_secs(32);
/// Time after which all instances have reported what they had in flight when the endpoint became
/// brittle; rejections in it say nothing about its room.
const LEARNING_TIME: Duration = Duration::from_secs(1);
/// Fraction of the limit that is granted for some time after a rejection.
const REDUCED_FRACTION: f64 = 0.5;
/// Age at which the report of an instance no longer counts: it sends several in this time.
const REPORT_HORIZON: Duration = Duration::from_millis(1_500);
/// Fraction of the limit that is granted by an instance that is not the first by its own view, or
/// has not been for long.
const DEPUTY_FRACTION: f64 = 0.5;
/// Age at which a statement that came from other instances no longer counts.
pub const STATEMENT_HORIZON: Duration = Duration::from_secs(15);

/// What an instance knows of a statement: the rejections in a second that the endpoint can take, if
/// it is brittle, and when it said so.
pub type Statement = (Option<f64>, Duration);

/// What one endpoint has stated to this instance, and the pause after a refused grant.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Brittle {
    stated: Option<Statement>,
    refused_until: Millis,
}

impl Brittle {
    /// Records what an answer states at `now`; returns whether that is new.
    pub fn record_statement(&mut self, tolerance: Option<f64>, now: Duration) -> bool {
        let before = self.stated.and_then(|(tolerance, _)| tolerance);
        self.stated = Some((tolerance, now));
        before != tolerance
    }

    /// Rejections in a second that the endpoint can take; `None` if it is not brittle. `service` is
    /// the latest statement of any brittle endpoint of the service: they become so together.
    pub fn tolerance(&self, service: Option<(f64, Duration)>, now: Duration) -> Option<f64> {
        let service = service.filter(|(_, at)| now.saturating_sub(*at) < STATEMENT_HORIZON);
        match (self.stated, service) {
            (Some((_, at)), Some((tolerance, service_at))) if service_at > at => Some(tolerance),
            (Some((own, _)), _) => own,
            (None, service) => service.map(|(tolerance, _)| tolerance),
        }
    }

    /// Records that a request was not granted, and is not to be asked for until `until`.
    pub fn record_refusal(&mut self, until: Millis) {
        self.refused_until = self.refused_until.max(until);
    }

    /// Time for which no request is asked for; zero if one may be.
    pub fn remaining(&self, now: Millis) -> Duration {
        Duration::from_millis(self.refused_until.saturating_sub(now))
    }
}

/// Requests of one instance in flight at the endpoint, as it reported them.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Use {
    instance: SocketAddr,
    held: u32,
    updated_at: Duration,
}

/// The bulkhead of one endpoint, at an instance that grants requests to it.
///
/// # Invariants
///
/// A request beyond the first is granted only if all that are known to be in flight and this one are
/// within the limit.
#[derive(Clone, Debug, PartialEq)]
pub struct Bulkhead {
    created_at: Duration,
    slots: u32,
    limit: u32,
    limit_changed_at: Duration,
    increase_interval: Duration,
    /// Sorted by instance, each once.
    uses: Vec<Use>,
    /// Times of the grants whose rejection may not be known yet, oldest first, with the number in
    /// flight then.
    unconfirmed: Vec<(Duration, u32)>,
    /// Largest number in flight of a grant since the last rejection that was not rejected.
    confirmed: u32,
    /// Times of the rejections within [`REJECTION_WINDOW`], oldest first.
    rejections: Vec<Duration>,
    reduced_until: Duration,
    closed_until: Duration,
    updated_at: Duration,
}

impl Bulkhead {
    /// Bulkhead of an endpoint that runs `slots` requests at once.
    pub fn new(slots: u32, now: Duration) -> Self {
        let slots = slots.max(1);
        Self {
            created_at: now,
            slots,
            limit: slots,
            limit_changed_at: now,
            increase_interval: INCREASE_INTERVAL,
            uses: Vec::new(),
            unconfirmed: Vec::new(),
            confirmed: 0,
            rejections: Vec::new(),
            reduced_until: Duration::ZERO,
            closed_until: Duration::ZERO,
            updated_at: now,
        }
    }

    /// Time of the last request or report.
    pub fn updated_at(&self) -> Duration {
        self.updated_at
    }

    /// Requests that are granted at once.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Records that an instance has `held` requests in flight.
    pub fn report(&mut self, instance: SocketAddr, held: u32, now: Duration) {
        self.updated_at = now;
        let used = Use {
            instance,
            held,
            updated_at: now,
        };
        match self.uses.binary_search_by(|u| u.instance.cmp(&instance)) {
            Ok(index) => self.uses[index] = used,
            Err(index) => self.uses.insert(index, used),
        }
    }

    /// Records that the endpoint has rejected a request, which no longer counts as in flight.
    pub fn record_rejection(&mut self, tolerance: f64, now: Duration) {
        self.expire(now);
        self.rejections.push(now);
        self.confirmed = 0;
        for (_, in_flight) in &mut self.unconfirmed {
            *in_flight = 0;
        }
        // Others that were granted before the last rejection was known say nothing new.
        let is_new = now >= self.closed_until;
        if is_new && now.saturating_sub(self.created_at) >= LEARNING_TIME {
            let least = (self.limit / 2).max(1);
            self.limit = self.limit.min(self.in_flight()).max(least);
            self.limit_changed_at = now;
            self.increase_interval = (self.increase_interval * 2).min(MAX_INCREASE_INTERVAL);
        }
        let rejections = self.rejections.len() as f64;
        if 2.0 * rejections >= tolerance {
            self.reduced_until = now + REJECTION_WINDOW;
        }
        let pause = if rejections + 1.0 > tolerance {
            REJECTION_WINDOW
        } else {
            FEEDBACK_TIME * 2
        };
        self.closed_until = self.closed_until.max(now + pause);
    }

    /// Grants a request to an instance that has `held` in flight with it.
    ///
    /// # Errors
    ///
    /// The delay after which to ask again.
    pub fn grant(
        &mut self,
        role: Role,
        tolerance: f64,
        (instance, held): (SocketAddr, u32),
        now: Duration,
    ) -> Result<(), Duration> {
        self.expire(now);
        self.increase(now);
        self.report(instance, held.saturating_sub(1), now);
        if now < self.closed_until {
            return Err(self.closed_until - now);
        }
        let fraction = if role.is_settled(now) {
            1.0
        } else {
            DEPUTY_FRACTION
        };
        let reduction = if now < self.reduced_until {
            REDUCED_FRACTION
        } else {
            1.0
        };
        let limit = f64::from(self.limit) * fraction * reduction * role.heard;
        let in_flight = self.in_flight() + 1;
        let wanted = f64::from(in_flight);
        if wanted > limit.max(1.0) {
            return Err(FEEDBACK_TIME);
        }
        // The room may have shrunk: the upper half, and what is not confirmed since a rejection, is
        // filled no faster than rejections are heard.
        let may_be_rejected = 2.0 * wanted > limit || in_flight > self.confirmed;
        let max_unconfirmed = (tolerance / 2.0).max(1.0);
        if may_be_rejected && self.unconfirmed.len() as f64 + 1.0 > max_unconfirmed {
            let oldest = self.unconfirmed.first().map_or(now, |(at, _)| *at);
            return Err((oldest + FEEDBACK_TIME).saturating_sub(now));
        }
        self.unconfirmed.push((now, in_flight));
        self.report(instance, held, now);
        Ok(())
    }

    fn in_flight(&self) -> u32 {
        self.uses.iter().map(|used| used.held).sum()
    }

    fn expire(&mut self, now: Duration) {
        let age = |at| now.saturating_sub(at);
        self.uses
            .retain(|used| age(used.updated_at) < REPORT_HORIZON);
        let confirmed = &mut self.confirmed;
        self.unconfirmed.retain(|(at, in_flight)| {
            let is_confirmed = age(*at) >= FEEDBACK_TIME;
            if is_confirmed {
                *confirmed = (*confirmed).max(*in_flight);
            }
            !is_confirmed
        });
        self.rejections.retain(|at| age(*at) < REJECTION_WINDOW);
    }

    fn increase(&mut self, now: Duration) {
        while self.limit < self.slots
            && now.saturating_sub(self.limit_changed_at) >= self.increase_interval
        {
            self.limit += 1;
            self.limit_changed_at += self.increase_interval;
        }
    }
}
