//! Lists the instances that a caller should use and the models that it has routes for.

use http::{
    Request,
    Response,
    StatusCode, //
};
use policy::rank::{
    Candidate,
    rank, //
};
use serde::Serialize;
use serde_json::json;
use settings::RouteKind;
use state::member::Member;

use super::{
    Call,
    Code,
    Refusal,
    key, //
};
use crate::{
    http::{
        Body,
        json as json_response, //
    },
    node::Node, //
};

/// Time for which callers may cache the ranking, in milliseconds.
const TIME_TO_LIVE_MS: u64 = 5_000;

#[derive(Serialize)]
struct Ranking {
    instances: Vec<Instance>,
    ttl_ms: u64,
    revision: u64,
}

#[derive(Serialize)]
struct Instance {
    name: String,
    address: String,
    domain: String,
}

/// Ranks the instances for the caller's workspace; callers without a valid key share one ranking.
pub fn instances<B>(node: &Node, call: &Call, request: &Request<B>) -> Response<Body> {
    let caller = key::identify(request.headers(), call.snapshot()).ok();
    let workspace = caller.as_ref().map_or("", |caller| &*caller.workspace);
    let members = listed_members(node);
    let candidates: Vec<Candidate<'_>> = members
        .iter()
        .map(|member| Candidate {
            name: &member.name,
            domain: &member.domain,
            leaving: member.leaving,
        })
        .collect();
    let instances = rank(workspace, &candidates)
        .into_iter()
        .map(|index| &members[index])
        .filter(|member| !member.leaving)
        .map(|member| Instance {
            name: member.name.clone(),
            address: member.caller.to_string(),
            domain: member.domain.clone(),
        })
        .collect();
    let ranking = Ranking {
        instances,
        ttl_ms: TIME_TO_LIVE_MS,
        revision: call.snapshot().revision,
    };
    json_response(StatusCode::OK, &ranking)
}

/// Members that serve requests with a key. An instance with stale settings lists the other members
/// that it last knew.
fn listed_members(node: &Node) -> Vec<Member> {
    if !node.is_stale() {
        return node.live_members();
    }
    let mut members = node.members.all();
    members.retain(|member| member.name != node.config.name);
    members
}

/// Lists the models that the caller has routes for; callers without a key see those of open routes.
///
/// # Errors
///
/// If the key is unknown or withdrawn, or if there are several `Authorization` headers.
pub fn models<B>(call: &Call, request: &Request<B>) -> Result<Response<Body>, Refusal> {
    let caller = match key::identify(request.headers(), call.snapshot()) {
        Ok(caller) => Some(caller),
        Err(refusal) if refusal.code == Code::KeyMissing => None,
        Err(refusal) => return Err(refusal),
    };
    let team = caller.as_ref().map(|caller| &*caller.team);
    let mut names: Vec<&str> = Vec::new();
    for entry in call.snapshot().routes() {
        let RouteKind::Model { model } = &entry.route.kind else {
            continue;
        };
        if entry.route.open || team == Some(&*entry.team) {
            names.push(model);
        }
    }
    names.sort_unstable();
    names.dedup();
    let data: Vec<_> = names
        .into_iter()
        .map(|name| json!({"id": name, "object": "model"}))
        .collect();
    let list = json!({"object": "list", "data": data});
    Ok(json_response(StatusCode::OK, &list))
}
