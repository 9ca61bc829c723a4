//! The first settings after a start: what peers offer, the table, or the object store.
//!
//! Until the first look at the table ends, settings from peers are held back: a
//! peer may be stale, and an earlier life of this instance may have served a
//! newer revision. If the look finds what a peer has offered already, the
//! tree is not read from the table.

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

/// Longest wait for peers in a small fleet.
const PEER_PATIENCE: Duration = Duration::from_millis(100);
/// Added for each listed instance, so that a herd does not fall on the table.
const PATIENCE_PER_INSTANCE: Duration = Duration::from_millis(2);
/// Longest wait for the table before a peer's settings come into force.
const TABLE_PATIENCE: Duration = Duration::from_secs(1);
/// Time between looks at whether a peer has offered settings.
const STEP: Duration = Duration::from_millis(10);

/// Puts the first settings in force, each instance after another wait for peers.
pub async fn begin(node: &Node) {
    await_offer(node).await;
    match tokio::time::timeout(TABLE_PATIENCE, look(node)).await {
        Ok(Ok(())) => {}
        Ok(Err(fault)) => emit!(warn, event::TABLE_FAULT, reason = %fault),
        Err(_) => emit!(warn, event::TABLE_FAULT, reason = "slow at start"),
    }
    if let Some(tree) = node.offers.settle() {
        adopt(node, tree);
    }
    if node.settings.load().tree.revision == 0 {
        // Of several instances that start like this the highest revision wins.
        snapshot::load(node).await;
    }
}

async fn await_offer(node: &Node) {
    let answered = async {
        while !node.members.list_received() {
            tokio::time::sleep(STEP).await;
        }
    };
    // Without a list there may be seeds.
    tokio::time::timeout(PEER_PATIENCE, answered).await.ok();
    let own = |name: &String| *name == node.config.name;
    let listed = node.members.listings();
    let others = listed.iter().filter(|member| !own(&member.name)).count();
    if others == 0 && node.config.peer_seeds.is_empty() {
        return;
    }
    let listed = u32::try_from(others).unwrap_or(u32::MAX);
    let most = PEER_PATIENCE + PATIENCE_PER_INSTANCE * listed;
    let patience = most.mul_f64(rand::rng().random_range(0.5..1.0));
    let offered = async {
        while node.offers.revision() == 0 {
            tokio::time::sleep(STEP).await;
        }
    };
    // Without an offer the table is asked for the whole tree.
    tokio::time::timeout(patience, offered).await.ok();
}

async fn look(node: &Node) -> Result<(), Fault> {
    let asked = clock::now();
    let revision = store::revision(&node.table).await?;
    if node.offers.revision() < revision {
        return refresh(node).await;
    }
    if let Some(tree) = node.offers.settle() {
        adopt(node, tree);
    }
    if node.settings.load().tree.revision >= revision {
        node.freshness.confirm(asked);
    }
    Ok(())
}
