//! Which requests are sent to the ordered version while it is on trial, and to which of its endpoints.

use std::sync::Arc;

use policy::exposure;
use state::clock;

use super::rules;
use crate::{
    choose::decide::{
        self,
        EligibleEndpoint,
        Query, //
    },
    fleet::Endpoint,
    node::Node,
    protocol::Protocol, //
};

/// Allows one attempt to be sent to the ordered version.
#[derive(Debug)]
pub struct Reservation {
    version: Arc<str>,
}

impl Reservation {
    /// The ordered version.
    pub fn version(&self) -> &str {
        &self.version
    }
}

/// Takes a request to the ordered version from the ration, if one is left and an endpoint is there for
/// it. A reservation that is not used is lost.
///
/// Requests are drawn without regard to what selection would prefer, so that both versions are
/// compared under the same requests. A retry of one that the ordered version has failed is not drawn.
pub fn reserve<P: Protocol>(
    node: &Node<P>,
    query: &Query<'_>,
    is_resumable: bool,
) -> Option<Reservation> {
    let rollout = node.exposure.find(query.service)?;
    if query.build.is_some() {
        return None;
    }
    let mut state = rollout.state.lock();
    let silence = rules::longest_silence(node.config.bounds.rollback);
    if rules::is_silent(&state, silence, clock::now()) {
        return None;
    }
    let share = state.share()?;
    let version = state.row()?.to.clone();
    if !state.counts.ration.allows(share) {
        return None;
    }
    drop(state);
    if is_resumable && !node.builds.is_recorded(query.service, &version) {
        return None;
    }
    let query = Query {
        build: Some(&version),
        ..*query
    };
    if !has_endpoint(node, &query) {
        return None;
    }
    state = rollout.state.lock();
    // Sends of other requests cannot come in between: nothing was awaited.
    state.counts.ration.record_sent(rand::random());
    drop(state);
    Some(Reservation { version })
}

/// Whether an endpoint of the query's version can take a request, and none has failed it.
fn has_endpoint<P: Protocol>(node: &Node<P>, query: &Query<'_>) -> bool {
    let now = node.beliefs.now();
    let fleet = node.endpoints.fleet();
    let endpoints = fleet.of_service(query.service).iter();
    let mut has_any = false;
    for endpoint in endpoints.filter(|e| query.allows_build(&e.registration.build)) {
        if query.tried.contains(&endpoint.registration.name) {
            return false;
        }
        let eligible = decide::check_eligible(node, query, endpoint, now);
        has_any |=
            eligible.is_some_and(|e| e.view.usable && e.view.reachable && !e.endpoint.is_loading());
    }
    has_any
}

/// Retains as many endpoints of a version on trial that each gets about the requests of an old one.
pub fn retain_sampled<P: Protocol>(
    node: &Node<P>,
    query: &Query<'_>,
    eligible: &mut Vec<EligibleEndpoint>,
) {
    let Some(version) = query.build else {
        return;
    };
    let Some(rollout) = node.exposure.find(query.service) else {
        return;
    };
    let state = rollout.state.lock();
    let Some(share) = state.share() else {
        return;
    };
    let times = state.times(node.exchange.table_time(clock::now()));
    drop(state);
    if !rules::is_rationed(node, query.service, version) {
        return;
    }
    let fleet = node.endpoints.fleet();
    let staying = fleet.of_service(query.service).iter();
    let staying = staying.filter(|endpoint| !endpoint.registration.leaving);
    let (new, old): (Vec<_>, Vec<_>) = staying.partition(|e| *e.registration.build == *version);
    let count = exposure::endpoints(share, old.len(), new.len());
    if count < eligible.len() {
        let (elapsed, duration) = times.unwrap_or_default();
        let first = exposure::first_endpoint(elapsed, duration, count, new.len());
        // All instances pick the same ones, as far as they see the same endpoints.
        let name = |e: &&Arc<Endpoint>| e.registration.name.clone();
        let order: Vec<_> = new[first..].iter().chain(&new[..first]).map(name).collect();
        eligible.sort_by_key(|e| {
            order
                .iter()
                .position(|n| *n == e.endpoint.registration.name)
        });
        eligible.truncate(count.max(1));
    }
}
