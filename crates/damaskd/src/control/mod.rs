//! Control work, which one instance does at a time: the holder of the lease.

mod rollout;
pub mod snapshot;

use std::{
    sync::Arc,
    time::Duration, //
};

use rand::Rng;
use router::lease::{
    Contender,
    RENEWALS_PER_TERM, //
};
use telemetry::{
    emit,
    event, //
};

use crate::node::Node;

/// Row of the lease for control work.
const LEASE: &str = "leases/control";

/// Time between looks at what there is to do.
const DUTY_INTERVAL: Duration = Duration::from_millis(500);

/// Keeps or awaits the lease and does the work that it allows, until the task is aborted.
pub async fn run(node: Arc<Node>) {
    tokio::join!(keep_lease(&node), duties(&node));
}

/// Takes or renews the lease until the task is aborted.
async fn keep_lease(node: &Node) {
    let term = node.config.limits.lease_term;
    let mut keeper = Contender::new(node.table.clone(), LEASE, &node.config.name, term);
    loop {
        if let Err(fault) = keeper.step(&node.lease).await {
            emit!(debug, event::LEASE_FAULT, reason = %fault);
        }
        let interval = match node.lease.check(Duration::ZERO) {
            Some(_) => term / RENEWALS_PER_TERM,
            // Fewer looks of each as there are more, and not all at once.
            None => term / RENEWALS_PER_TERM * node.table_interval_factor(),
        };
        let jitter = rand::rng().random_range(0.8..1.2);
        tokio::time::sleep(interval.mul_f64(jitter)).await;
    }
}

async fn duties(node: &Node) {
    let mut written = 0;
    loop {
        if node.lease.check(Duration::ZERO).is_some() {
            written = snapshot::keep(node, written).await;
            rollout::step(node).await;
        }
        tokio::time::sleep(DUTY_INTERVAL).await;
    }
}
