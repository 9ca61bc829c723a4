//! Whether this instance sees the table, itself or through hubs.

use std::time::Duration;

use policy::hub::{
    self,
    Observation, //
};

use super::{
    Exchange,
    MAX_LAG, //
};
use crate::message::Positions;

impl Exchange {
    /// Whether a hub with a fresh view of the table forwards changes and this instance keeps up.
    pub fn has_fresh_hub(&self, now: Duration) -> bool {
        if self.lag(now).is_some_and(|lag| lag > MAX_LAG) {
            return false;
        }
        let state = self.state.lock();
        let observations = state.hubs.iter().map(|hub| hub.observation(now));
        hub::is_any_fresh(&observations.collect::<Vec<_>>())
    }

    /// Time for which this instance has lacked changes that a hub reported; `None` if it lacks none.
    pub fn lag(&self, now: Duration) -> Option<Duration> {
        let (_, since) = self.state.lock().unreached?;
        Some(now.saturating_sub(since))
    }

    /// Records the positions that a hub has reported. `has` tells whether this instance has reached
    /// positions. What one hub has reported stays unreached whatever others report that are behind.
    pub(super) fn record_positions(
        &self,
        positions: Positions,
        now: Duration,
        has: impl Fn(&Positions) -> bool,
    ) {
        let known = self.state.lock().unreached;
        let known = known.filter(|(positions, _)| !has(positions));
        let unreached = known.or_else(|| (!has(&positions)).then_some((positions, now)));
        self.state.lock().unreached = unreached;
    }

    /// Whether a hub has sent a digest within the last few digest intervals, however old its view
    /// of the table is.
    pub fn hears_hub(&self, now: Duration) -> bool {
        let state = self.state.lock();
        state
            .hubs
            .iter()
            .any(|hub| now.saturating_sub(hub.received_at) <= MAX_LAG)
    }

    /// Whether this instance sees the table, itself or through a hub.
    pub fn is_in_touch(&self, now: Duration) -> bool {
        self.sees_table(now) || self.has_fresh_hub(now)
    }

    /// Whether this instance sees the table itself.
    pub(super) fn sees_table(&self, now: Duration) -> bool {
        let view_age = self.state.lock().view_age(now);
        view_age.is_some_and(|view_age| {
            let own = Observation {
                age: Duration::ZERO,
                view_age,
            };
            own.is_fresh()
        })
    }
}
