//! Endpoints that this instance can connect to.
//!
//! A network fault may part one instance from endpoints that the others reach. So a failure to connect
//! tells something about the instance rather than about the endpoint, and is not reported to the
//! planner as a failure of the endpoint unless another instance has failed, too. Each instance avoids
//! what it could not connect to, and tries it again from time to time.

use endpoint::Fault;
use policy::{
    belief::Millis,
    path::Route, //
};

use super::{
    Selection,
    decide::{
        self,
        EligibleEndpoint,
        Query,
        Scope, //
    }, //
};
use crate::{
    message::End,
    node::Node,
    protocol::Protocol, //
};

/// The instance that connects to the endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Sender {
    /// This one.
    This,
    /// Another one, which names those endpoints as tried that it could not connect to.
    Other,
}

/// Retains the endpoints that the sender of a request can connect to. What this instance places for
/// itself alone may also go to one that is due to be tried again, or to any if none is left.
pub fn retain(eligible: &mut Vec<EligibleEndpoint>, query: &Query<'_>, scope: Scope, now: Millis) {
    if query.sender == Sender::Other {
        return;
    }
    let is_due = |e: &EligibleEndpoint| is_due(e, query, now);
    if scope == Scope::Local && eligible.iter().any(is_due) {
        eligible.retain(is_due);
    } else if scope == Scope::AllInstances || eligible.iter().any(|e| e.view.reachable) {
        eligible.retain(|e| e.view.reachable);
    }
}

/// Whether the request may find out if this instance can connect to an endpoint again.
pub fn is_probe_due<P: Protocol>(node: &Node<P>, query: &Query<'_>) -> bool {
    let now = node.beliefs.now();
    let fleet = node.endpoints.fleet();
    let mut failed = fleet
        .of_service(query.service)
        .iter()
        .filter(|endpoint| node.estimate_of(endpoint).path.failures() > 0);
    failed.any(|endpoint| {
        let checked = decide::check_eligible(node, query, endpoint, now);
        checked.is_some_and(|e| is_due(&e, query, now))
    })
}

/// Whether a request should try to connect to an endpoint again; one that has failed before should not.
fn is_due(e: &EligibleEndpoint, query: &Query<'_>, now: Millis) -> bool {
    query.tried.is_empty() && e.view.usable && e.view.estimate.path.is_probe_due(now)
}

impl Selection {
    /// Records that this instance could connect to the endpoint. If it could not before, other
    /// endpoints that it could not connect to may be tried again at once.
    pub(super) fn record_connection<P: Protocol>(&self, node: &Node<P>) {
        let mut had_failed = false;
        self.health.update_estimate(|estimate| {
            had_failed = estimate.path.failures() > 0;
            estimate.path.record_success();
        });
        if !had_failed {
            return;
        }
        let now = node.beliefs.now();
        let fleet = node.endpoints.fleet();
        for endpoint in fleet.of_service(&self.endpoint.registration.service) {
            let health = node.health.endpoint(&endpoint.registration.name);
            health.update_estimate(|estimate| estimate.path.end_pause(now));
        }
    }

    /// Records that this instance could not connect to the endpoint. If another instance could not
    /// either, the endpoint counts as failed for all. An endpoint that was not tried is avoided, but not
    /// for longer and longer.
    pub fn record_unreachable<P: Protocol>(&self, node: &Node<P>, fault: &Fault) {
        let now = node.beliefs.now();
        let was_tried = *fault != Fault::Unreachable;
        self.health.update_estimate(|estimate| {
            if was_tried || estimate.path.failures() == 0 {
                estimate.path.record_failure(now);
            }
        });
        if was_tried && node.paths.route(&self.endpoint.registration) == Route::Unreachable {
            self.record_failure(node);
        } else {
            node.beliefs.lower(&self.levels, self.holder);
            self.report_outcome(End::Abandoned);
        }
    }
}
