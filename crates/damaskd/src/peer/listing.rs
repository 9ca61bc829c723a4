//! Polls the platform's list of instances and endpoints.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
};

use platform::instances::{
    Entry,
    Instances,
    Role, //
};
use rand::Rng;
use state::member::Listing;
use telemetry::{
    emit,
    event, //
};

use crate::node::Node;

/// Interval between reads of the list once it has named an instance.
const LIST_INTERVAL: Duration = Duration::from_secs(2);

/// Polls the list until the process ends.
pub async fn run(node: Arc<Node>) {
    loop {
        match node.instances.list().await {
            Ok(list) => {
                if let Some(reason) = list.unreadable {
                    emit!(warn, event::INSTANCE_UNREADABLE, reason);
                }
                record(&node, &list.entries);
            }
            Err(fault) => emit!(warn, event::INSTANCES_FAULT, reason = %fault),
        }
        let interval = match node.members.listings().is_empty() {
            true => node.config.limits.exchange_interval,
            false => LIST_INTERVAL,
        };
        let jitter = rand::rng().random_range(0.8..1.2);
        tokio::time::sleep(interval.mul_f64(jitter)).await;
    }
}

fn record(node: &Node, entries: &[Entry]) {
    let live_instances = entries
        .iter()
        .filter(|entry| entry.role == Role::Instance && !entry.leaving);
    let listings = live_instances.map(|entry| Listing {
        name: entry.name.clone(),
        peer: entry.address,
    });
    node.members.set_listings(listings.collect());
    let now = Instant::now();
    for entry in entries {
        if entry.role == Role::Endpoint && entry.leaving {
            node.leaving.record(&entry.name, now);
        }
    }
}
