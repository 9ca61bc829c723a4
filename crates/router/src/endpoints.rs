//! Registry of the endpoints, kept up to date with the rows that they write.

mod departures;
mod grace;
mod registry;

use std::{
    sync::Arc,
    time::Duration, //
};

use arc_swap::ArcSwap;
use parking_lot::Mutex;
use platform::table::Change;
use policy::outage::{
    GRACE_PERIOD,
    Outage, //
};

use telemetry::{
    emit,
    event, //
};

use crate::{
    fleet::{
        Fleet,
        Registration, //
    },
    protocol::Rows, //
};
use registry::Registry;

/// All registered endpoints.
#[derive(Debug, Default)]
pub struct Endpoints {
    registry: Mutex<Registry>,
    fleet: ArcSwap<Fleet>,
}

impl Endpoints {
    /// No endpoints yet, at an instance that started at `started_at`.
    pub fn new(started_at: Duration) -> Self {
        let endpoints = Self::default();
        endpoints.registry.lock().grace.outage = Outage::new(started_at);
        endpoints
    }

    /// Current snapshot of the endpoints.
    pub fn fleet(&self) -> Arc<Fleet> {
        self.fleet.load_full()
    }

    /// Applies changed rows.
    pub fn apply<P: Rows>(&self, changes: &[Change], now: Duration) {
        let mut registry = self.registry.lock();
        for change in changes {
            let era = change.revision.era;
            match &change.value {
                Some(value) => {
                    let row = P::read_endpoint_row(&change.key, value);
                    registry.put(&change.key, row, era, now);
                }
                None => registry.delete_row(&change.key, era, now),
            }
        }
        self.publish(&registry);
    }

    /// Records that an endpoint has stated in an answer that it leaves: this incarnation gets nothing
    /// new, whatever its rows say.
    pub fn record_departure(&self, endpoint: &Registration, now: Duration) {
        let mut registry = self.registry.lock();
        if registry.record_departure(endpoint, now) {
            emit!(
                info,
                event::ENDPOINT_LEAVES,
                endpoint = &*endpoint.name,
                incarnation = endpoint.incarnation,
            );
            self.publish(&registry);
        }
    }

    /// Records that the table did not give an answer that was due at `due_at`; rows may expire until
    /// it returns.
    pub fn record_table_failure(&self, due_at: Duration) {
        self.registry.lock().grace.outage.record_failure(due_at);
    }

    /// Records that the table gave an answer at `at`, to this instance or another one. `known_end` is
    /// the end of the grace period as other instances know it.
    pub fn record_table_answer(&self, at: Duration, known_end: Option<Duration>) {
        let grace = &mut self.registry.lock().grace;
        grace.outage.record_answer(at, known_end);
    }

    /// Records the earliest end of the grace period among the instances that see the table; `None`
    /// if none is known to.
    pub fn set_witnessed_end(&self, end: Option<Duration>) {
        self.registry.lock().grace.witnessed_end = end;
    }

    /// End of the grace period after the outages that this instance knows; `None` in an outage.
    pub fn known_grace_end(&self) -> Option<Duration> {
        self.registry.lock().grace.outage.grace_end()
    }

    /// Rest of the grace period.
    pub fn remaining_grace(&self, now: Duration) -> Duration {
        self.registry.lock().grace.remaining(now)
    }

    /// Extends the grace period to the rest of it that another instance reports, capped at the
    /// length of one grace period.
    pub fn extend_grace(&self, now: Duration, remaining: Duration) {
        if remaining.is_zero() {
            return;
        }
        let mut registry = self.registry.lock();
        let until = now.saturating_add(remaining.min(GRACE_PERIOD));
        registry.grace.reported_end = registry.grace.reported_end.max(until);
    }

    /// Removes the endpoints whose rows were not written again by the end of the grace period, or
    /// are known not to have expired in an outage.
    pub fn expire(&self, now: Duration) {
        let mut registry = self.registry.lock();
        if registry.expire(now) {
            self.publish(&registry);
        }
    }

    fn publish(&self, registry: &Registry) {
        let endpoints = registry.endpoints().cloned();
        self.fleet.store(Arc::new(Fleet::new(endpoints.collect())));
    }
}
