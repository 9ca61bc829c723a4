//! Endpoints that a planner must not choose for a request.

use std::sync::Arc;

use crate::{
    choose::decide::Query,
    node::Node,
    protocol::Protocol, //
};

/// Maximum number of endpoints that a request to a planner excludes beyond those that were tried.
const MAX_EXCLUDED: usize = 32;

/// Endpoints to which this instance sends nothing new, or cannot connect, which the planner may not
/// know; `None` if it cannot connect to more than can be named.
pub fn names<P: Protocol>(node: &Node<P>, query: &Query<'_>) -> Option<Vec<Arc<str>>> {
    let now = node.beliefs.now();
    let fleet = node.endpoints.fleet();
    let (mut unreachable, mut paused) = (Vec::new(), Vec::new());
    for endpoint in fleet.of_service(query.service) {
        let registration = &endpoint.registration;
        let estimate = node.estimate_of(endpoint);
        if query.tried.contains(&registration.name) {
            continue;
        }
        if estimate.path.failures() > 0 {
            unreachable.push(registration.name.clone());
        } else if registration.leaving || !estimate.pause(query.is_urgent(), now).is_zero() {
            paused.push(registration.name.clone());
        }
    }
    let rest = MAX_EXCLUDED.checked_sub(unreachable.len())?;
    unreachable.extend(paused.into_iter().take(rest));
    Some(unreachable)
}
