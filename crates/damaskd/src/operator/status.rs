//! The status of the whole system as known to this instance.

use std::time::{
    Duration,
    Instant, //
};

use http::{
    Request,
    Response,
    StatusCode, //
};
use hyper::body::Incoming;
use serde_json::{
    Value,
    json, //
};
use settings::EndpointEntry;
use state::member::Member;

use super::{
    Refusal,
    identity, //
};
use crate::{
    http::{
        Body,
        json as answer_json, //
    },
    node::{
        LEAVING_HORIZON,
        Node, //
    }, //
};

/// Answers with the instances, with the revision in force at each, and the endpoints.
///
/// # Errors
///
/// If the operator is not known.
pub fn answer(node: &Node, request: &Request<Incoming>) -> Result<Response<Body>, Refusal> {
    identity::identify(node, request.headers())?;
    let settings = node.settings.load();
    let instances: Vec<Value> = node.live_members().iter().map(instance_status).collect();
    let endpoints: Vec<Value> = settings
        .snapshot
        .endpoints()
        .iter()
        .map(|entry| endpoint_status(node, entry))
        .collect();
    let leaving = node.leaving.live(Instant::now(), LEAVING_HORIZON);
    let leaving: Vec<String> = leaving.into_iter().map(|(name, _)| name).collect();
    let now = node.beliefs.now();
    let body = json!({
        "instance": node.config.name,
        "incarnation": node.incarnation,
        "ready": node.is_ready(),
        "revision": settings.tree.revision,
        "unkept_withdrawals": node.withdrawals.unstored(&settings.snapshot).len(),
        "age_ms": u64::try_from(node.freshness.age().as_millis()).ok(),
        "instances": instances,
        "endpoints": endpoints,
        "leaving_endpoints": leaving,
        "rights": node.rights.table.held_workspaces(),
        "lease": node.lease.check(Duration::ZERO).map(|grant| grant.number),
        "beliefs": node.beliefs.read(|beliefs| beliefs.iter(now).count()),
    });
    Ok(answer_json(StatusCode::OK, &body))
}

/// The state of an endpoint as known to this instance.
fn endpoint_status(node: &Node, entry: &EndpointEntry) -> Value {
    let endpoint = node.health.endpoint(&entry.name);
    let view = endpoint.view("", node.beliefs.now());
    json!({
        "name": &*entry.name,
        "address": entry.endpoint.address,
        "domain": entry.endpoint.domain,
        "running": endpoint.in_flight.running(),
        "incarnation": endpoint.incarnation().0,
        "believed_blocks": node.beliefs.count(view.holder),
        "block_ms": view.estimate.block_seconds * 1e3,
        "eviction_ms": view.estimate.eviction_age,
        "failures": view.estimate.breaker.failures(),
    })
}

fn instance_status(member: &Member) -> Value {
    json!({
        "name": member.name,
        "domain": member.domain,
        "caller": member.caller,
        "operator": member.operator,
        "revision": member.revision,
        "leaving": member.leaving,
    })
}
