//! Tells an outage of the table, and its end, from calls that it rejects while it serves other
//! instances.

use std::time::Duration;

use policy::{
    hub::Observation,
    outage::witnessed_end, //
};

use super::{
    Exchange,
    HubState, //
};
use crate::{
    node::Node,
    protocol::Protocol, //
};

impl HubState {
    pub(super) fn observation(&self, now: Duration) -> Observation {
        Observation {
            age: now.saturating_sub(self.received_at),
            view_age: self.view_age,
        }
    }
}

impl Exchange {
    /// Earliest end of the grace period among the hubs that see the table; `None` if none does.
    fn hub_grace_end(&self, now: Duration) -> Option<Duration> {
        let state = self.state.lock();
        let fresh = state.hubs.iter();
        let fresh = fresh.filter(|hub| hub.observation(now).is_fresh());
        fresh
            .map(|hub| witnessed_end(hub.grace_end, hub.stale_at))
            .min()
    }

    /// Latest time at which another hub is known to have seen the table; an instance that is cut off
    /// hears only hubs that are cut off with it.
    pub fn hub_saw_table_at(&self) -> Duration {
        let state = self.state.lock();
        let times = state
            .hubs
            .iter()
            .map(|hub| hub.received_at.saturating_sub(hub.view_age));
        times.max().unwrap_or_default()
    }
}

/// Records that the table gave this instance an answer at `now`.
pub fn record_table_answer<P: Protocol>(node: &Node<P>, now: Duration) {
    let hub_end = node.exchange.hub_grace_end(now);
    node.endpoints.record_table_answer(now, hub_end);
}

/// Derives the end of the grace period after an outage from what this instance and the hubs know.
///
/// An instance that sees the table and knows of no outage shows that the table turned away only the
/// others; one that saw its return first knows best when that was.
pub fn judge_outage<P: Protocol>(node: &Node<P>, now: Duration) {
    let hub_end = node.exchange.hub_grace_end(now);
    let hub_saw_table_at = node.exchange.hub_saw_table_at();
    node.endpoints
        .record_table_answer(hub_saw_table_at, hub_end);
    let own_end = node.endpoints.known_grace_end();
    let own_end = own_end.filter(|_| node.exchange.sees_table(now));
    let ends = own_end.into_iter().chain(hub_end);
    node.endpoints.set_witnessed_end(ends.min());
}
