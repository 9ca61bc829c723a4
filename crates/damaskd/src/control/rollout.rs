//! Brings the weights version of each model's engines to what the settings say.

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

/// Engines of one model with what they do.
#[derive(Debug)]
struct Group<'a> {
    model: &'a str,
    version: &'a str,
    engines: Vec<(Arc<EndpointEntry>, Weights)>,
}

/// Looks at all engines and gives the orders that may be given now.
pub async fn step(node: &Node) {
    let version = node.settings.load();
    let mut groups = Vec::new();
    for (model, wanted) in version.snapshot.models() {
        let engines = engines(&version.snapshot, model);
        groups.push(look(model, &wanted.version, engines).await);
    }
    let is_out = |w: &Weights| matches!(w, Weights::Loading | Weights::Unknown);
    let all = groups.iter().flat_map(|group| &group.engines);
    let mut loading = all.filter(|(_, weights)| is_out(weights)).count();
    for group in &groups {
        let weights: Vec<Weights> = group.engines.iter().map(|(_, w)| *w).collect();
        for index in pick(&weights, loading, rand::random::<u32>() as usize) {
            give(node, group, &group.engines[index].0).await;
            // It may load even if its answer is lost.
            loading += 1;
        }
    }
}

/// Engines that routes name for `model`, in order of names.
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

async fn look<'a>(model: &'a str, version: &'a str, engines: Vec<Arc<EndpointEntry>>) -> Group<'a> {
    let asked = engines.iter().map(|engine| async {
        match order::query_weights(engine.endpoint.address).await {
            Ok(weights) if weights.loading.is_some() => Weights::Loading,
            Ok(weights) if weights.version == version => Weights::Wanted,
            Ok(_) => Weights::Other,
            Err(_) => Weights::Unknown,
        }
    });
    let weights = futures::future::join_all(asked).await;
    Group {
        model,
        version,
        engines: engines.into_iter().zip(weights).collect(),
    }
}

/// Gives one order if the lease lasts long enough for it.
async fn give(node: &Node, group: &Group<'_>, engine: &EndpointEntry) {
    let Some(grant) = node.lease.check(order::MAX_DELIVERY_TIME) else {
        return;
    };
    let obeys_all = engine.endpoint.fencing == Fencing::Ignores;
    if obeys_all && clock::now() < grant.quiet_until {
        return;
    }
    let order = Order {
        kind: "load",
        model: group.model,
        version: group.version,
        fencing: grant.number,
    };
    // Asked again when the last byte is about to go out.
    let lease = node.lease.clone();
    let in_time = move || {
        let grant_now = lease.check(order::MAX_DELIVERY_TIME);
        grant_now.is_some_and(|now| now.number == grant.number)
    };
    let outcome = order::send(engine.endpoint.address, &order, in_time).await;
    match outcome {
        Ok(Outcome::Accepted) => emit!(
            info,
            event::ORDER_GIVEN,
            endpoint = &*engine.name,
            version = group.version,
            fencing = grant.number,
        ),
        Ok(Outcome::Refused(status)) => emit!(
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
