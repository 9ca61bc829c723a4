//! Loads the first settings after a start from peers, the table or the object store.
//!
//! Settings offered by peers are held back until the first read of the table ends: a peer may
//! be stale, and an earlier incarnation of this instance may have served a newer revision. If
//! the table's revision is no newer than an offer, the tree is not read from the table.

use std::time::Duration;

use platform::http::Fault;
use rand::Rng;
use state::clock;
use telemetry::{
    emit,
    event, //
};

use super::{
    adopt,
    refresh,
    store, //
};
use crate::{
    control::snapshot,
    node::Node, //
};

/// Timeout for the instance list, and base of the timeout for an offer.
const BASE_OFFER_TIMEOUT: Duration = Duration::from_millis(100);
/// Added for each other listed instance, so that instances that start together do not all read
/// the table at once.
const OFFER_TIMEOUT_PER_INSTANCE: Duration = Duration::from_millis(2);
/// Timeout for the table, after which offered settings are put in force without it.
const TABLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval between checks for the instance list and for offers.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Puts the first settings in force, after a randomized wait for offers.
pub async fn load_initial(node: &Node) {
    wait_for_offer(node).await;
    match tokio::time::timeout(TABLE_TIMEOUT, read_table(node)).await {
        Ok(Ok(())) => {}
        Ok(Err(fault)) => emit!(warn, event::TABLE_FAULT, reason = %fault),
        Err(_) => emit!(warn, event::TABLE_FAULT, reason = "timeout at start"),
    }
    if let Some(tree) = node.offers.settle() {
        adopt(node, tree);
    }
    if node.settings.load().tree.revision == 0 {
        // Instances that start from copies of different age converge on the highest revision.
        snapshot::load(node).await;
    }
}

async fn wait_for_offer(node: &Node) {
    let list_received = async {
        while !node.members.list_received() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    // On a timeout, peers may still be reached through the configured seeds.
    tokio::time::timeout(BASE_OFFER_TIMEOUT, list_received)
        .await
        .ok();
    let is_own = |name: &String| *name == node.config.name;
    let listings = node.members.listings();
    let others = listings
        .iter()
        .filter(|member| !is_own(&member.name))
        .count();
    if others == 0 && node.config.peer_seeds.is_empty() {
        return;
    }
    let count = u32::try_from(others).unwrap_or(u32::MAX);
    let longest = BASE_OFFER_TIMEOUT + OFFER_TIMEOUT_PER_INSTANCE * count;
    let timeout = longest.mul_f64(rand::rng().random_range(0.5..1.0));
    let offer_received = async {
        while node.offers.revision() == 0 {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    // On a timeout, the whole tree is read from the table.
    tokio::time::timeout(timeout, offer_received).await.ok();
}

/// Reads the tree from the table, unless a peer has offered its revision or a newer one.
async fn read_table(node: &Node) -> Result<(), Fault> {
    let requested_at = clock::now();
    let revision = store::read_revision(&node.table).await?;
    if node.offers.revision() < revision {
        return refresh(node).await;
    }
    if let Some(tree) = node.offers.settle() {
        adopt(node, tree);
    }
    if node.settings.load().tree.revision >= revision {
        node.freshness.confirm(requested_at);
    }
    Ok(())
}
