//! Control work, done by one instance at a time: the holder of the lease.

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

/// Key of the row with the lease for control work.
const LEASE_KEY: &str = "leases/control";

/// Interval between rounds of control work.
const CONTROL_INTERVAL: Duration = Duration::from_millis(500);

/// Acquires and renews the lease and does control work while it is held, until the task is aborted.
pub async fn run(node: Arc<Node>) {
    tokio::join!(maintain_lease(&node), run_control_work(&node));
}

/// Acquires and renews the lease until the task is aborted.
async fn maintain_lease(node: &Node) {
    let term = node.config.limits.lease_term;
    let mut contender = Contender::new(node.table.clone(), LEASE_KEY, &node.config.name, term);
    loop {
        if let Err(fault) = contender.step(&node.lease).await {
            emit!(debug, event::LEASE_FAULT, reason = %fault);
        }
        let interval = match node.lease.check(Duration::ZERO) {
            Some(_) => term / RENEWALS_PER_TERM,
            // The more instances there are, the less often each reads the row, with jitter so that
            // they do not read it at the same time.
            None => term / RENEWALS_PER_TERM * node.table_interval_factor(),
        };
        let jitter = rand::rng().random_range(0.8..1.2);
        tokio::time::sleep(interval.mul_f64(jitter)).await;
    }
}

/// Does control work while the lease is held.
async fn run_control_work(node: &Node) {
    let mut written_revision = 0;
    loop {
        if node.lease.check(Duration::ZERO).is_some() {
            written_revision = snapshot::write(node, written_revision).await;
            rollout::step(node).await;
        }
        tokio::time::sleep(CONTROL_INTERVAL).await;
    }
}
