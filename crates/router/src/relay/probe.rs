//! Finds out when direct paths are open again, without requests of callers.

use std::{
    sync::Arc,
    time::Duration, //
};

use policy::path::Route;
use tokio::net::TcpStream;

use super::{
    is_reached,
    paths, //
};
use crate::{
    fleet::Registration,
    node::Node,
    protocol::Protocol, //
};

/// Pause between the probes of a service.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Probes the paths that have failed until the task is aborted.
pub async fn run<P: Protocol>(node: Arc<Node<P>>) {
    loop {
        let services = node.paths.failed_services();
        if services.is_empty() {
            node.paths.has_failed.notified().await;
        }
        for service in services {
            probe_service(&node, &service).await;
        }
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
}

/// Probes the endpoints of a service in turn, until one cannot be reached.
async fn probe_service<P: Protocol>(node: &Node<P>, service: &Arc<str>) {
    let fleet = node.endpoints.fleet();
    let mut endpoints = node.paths.failed(service);
    let first = node.paths.next_turn() % endpoints.len().max(1);
    endpoints.rotate_left(first);
    for (key, route) in endpoints {
        let known = fleet.of_service(service).iter();
        let mut staying = known.filter(|known| !known.registration.leaving);
        let Some(endpoint) = staying.find(|known| paths::key(&known.registration) == key) else {
            node.paths.forget(service, key);
            continue;
        };
        if !probe(node, &endpoint.registration, route).await {
            return;
        }
    }
}

/// Whether a direct connection can be made.
async fn probe<P: Protocol>(node: &Node<P>, endpoint: &Registration, route: Route) -> bool {
    let connect = TcpStream::connect(endpoint.address);
    let connected = tokio::time::timeout(PROBE_TIMEOUT, connect).await;
    let is_direct = matches!(connected, Ok(Ok(_)));
    if is_direct {
        node.paths.record_direct(endpoint);
    }
    if is_direct || route == Route::Unreachable && is_reached(node, endpoint, PROBE_TIMEOUT).await {
        let health = node.health.endpoint(&endpoint.name);
        health.update_estimate(|estimate| estimate.path.record_success());
    }
    is_direct
}
