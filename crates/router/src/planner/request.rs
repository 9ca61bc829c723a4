//! Requests to planners.

use std::sync::Arc;

use policy::pace::Pace;

use crate::{
    choose::decide::Query,
    message::PlacementRequest, //
};

/// Request to a planner that places the query, without the `excluded` endpoints.
pub(super) fn placement(
    query: &Query<'_>,
    excluded: &[Arc<str>],
    id: u32,
    must_place: bool,
    pace: Option<Pace>,
) -> PlacementRequest {
    let objective = query.objective.as_millis();
    PlacementRequest {
        id,
        service: query.service.to_string(),
        model: query.model.map(str::to_owned),
        class: query.class,
        objective_ms: u32::try_from(objective).unwrap_or(u32::MAX),
        levels: query
            .chain
            .levels
            .iter()
            .map(|l| (l.hash, l.blocks))
            .collect(),
        tail: query.chain.tail,
        tried: query
            .tried
            .iter()
            .chain(excluded)
            .map(|name| name.to_string())
            .collect(),
        must_go: must_place,
        pace: pace.map(|pace| pace.coefficients()),
    }
}
