//! Rolls out weights: orders each model's engines to load the version in the settings.

use std::sync::Arc;

use endpoint::order::{
    self,
    Order,
    Outcome, //
};
use policy::rollout::{
    Weights,
    pick, //
};
use settings::{
    EndpointEntry,
    Fencing,
    RouteKind,
    Snapshot, //
};
use state::clock;
use telemetry::{
    emit,
    event, //
};

use crate::node::Node;

/// Engines of one model, with the state of their weights.
#[derive(Debug)]
struct Group<'a> {
    model: &'a str,
    /// Wanted version.
    version: &'a str,
    engines: Vec<(Arc<EndpointEntry>, Weights)>,
}

/// Queries all engines and sends the orders that are permitted now.
pub async fn step(node: &Node) {
    let settings = node.settings.load();
    let mut groups = Vec::new();
    for (name, model) in settings.snapshot.models() {
        let engines = engines(&settings.snapshot, name);
        groups.push(query_group(name, &model.version, engines).await);
    }
    let is_unavailable = |w: &Weights| matches!(w, Weights::Loading | Weights::Unknown);
    let all_engines = groups.iter().flat_map(|group| &group.engines);
    let mut loading = all_engines
        .filter(|(_, weights)| is_unavailable(weights))
        .count();
    for group in &groups {
        let weights: Vec<Weights> = group.engines.iter().map(|(_, w)| *w).collect();
        for index in pick(&weights, loading, rand::random::<u32>() as usize) {
            send_order(node, group, &group.engines[index].0).await;
            // The engine may load even if its answer is lost.
            loading += 1;
        }
    }
}

/// Engines listed in the routes of `model`, sorted by name.
fn engines(snapshot: &Snapshot, model: &str) -> Vec<Arc<EndpointEntry>> {
    let routes = snapshot
        .routes()
        .iter()
        .filter(|entry| matches!(&entry.route.kind, RouteKind::Model { model: m } if m == model));
    let mut names: Vec<&String> = routes.flat_map(|entry| &entry.route.endpoints).collect();
    names.sort_unstable();
    names.dedup();
    names
        .into_iter()
        .filter_map(|name| snapshot.endpoint(name).cloned())
        .collect()
}

/// Queries the weights of a model's engines, all in parallel.
async fn query_group<'a>(
    model: &'a str,
    version: &'a str,
    engines: Vec<Arc<EndpointEntry>>,
) -> Group<'a> {
    let queries = engines.iter().map(|engine| async {
        match order::query_weights(engine.endpoint.address).await {
            Ok(weights) if weights.loading.is_some() => Weights::Loading,
            Ok(weights) if weights.version == version => Weights::Wanted,
            Ok(_) => Weights::Other,
            Err(_) => Weights::Unknown,
        }
    });
    let weights = futures::future::join_all(queries).await;
    Group {
        model,
        version,
        engines: engines.into_iter().zip(weights).collect(),
    }
}

/// Orders one engine to load, if the lease lasts until the order can no longer arrive.
///
/// An engine that ignores fencing numbers gets no order while one of the previous holder may still
/// be in flight.
async fn send_order(node: &Node, group: &Group<'_>, engine: &EndpointEntry) {
    let Some(grant) = node.lease.check(order::MAX_DELIVERY_TIME) else {
        return;
    };
    let ignores_fencing = engine.endpoint.fencing == Fencing::Ignores;
    if ignores_fencing && clock::now() < grant.quiet_until {
        return;
    }
    let order = Order {
        kind: "load",
        model: group.model,
        version: group.version,
        fencing: grant.number,
    };
    // Checked again just before the body of the order is sent.
    let lease = node.lease.clone();
    let may_send = move || {
        let current_grant = lease.check(order::MAX_DELIVERY_TIME);
        current_grant.is_some_and(|current| current.number == grant.number)
    };
    let outcome = order::send(engine.endpoint.address, &order, may_send).await;
    match outcome {
        Ok(Outcome::Accepted) => emit!(
            info,
            event::ORDER_GIVEN,
            endpoint = &*engine.name,
            version = group.version,
            fencing = grant.number,
        ),
        Ok(Outcome::Rejected(status)) => emit!(
            warn,
            event::ORDER_REFUSED,
            endpoint = &*engine.name,
            status = status,
            fencing = grant.number,
        ),
        Err(failure) => emit!(
            warn,
            event::ORDER_REFUSED,
            endpoint = &*engine.name,
            reason = %failure.fault,
            fencing = grant.number,
        ),
    }
}
