//! Synchronizes this instance's settings with the table and commits changes by operators.

pub mod commit;
mod start;
pub mod store;
pub mod withdrawal;

use std::sync::Arc;

use platform::http::Fault;
use rand::Rng;
use settings::{
    Tree,
    check, //
};
use state::{
    clock,
    delta::Delta, //
};
use telemetry::{
    emit,
    event, //
};

use crate::node::Node;

/// Polls the table for new settings until the task is aborted.
pub async fn run(node: Arc<Node>) {
    start::load_initial(&node).await;
    loop {
        let interval = node.config.limits.table_interval * node.table_interval_factor();
        let jitter = rand::rng().random_range(0.8..1.2);
        tokio::select! {
            () = tokio::time::sleep(interval.mul_f64(jitter)) => {}
            () = node.refresh.notified() => {}
        }
        match refresh(&node).await {
            Ok(()) => withdrawal::persist_all(&node).await,
            Err(fault) => emit!(warn, event::TABLE_FAULT, reason = %fault),
        }
    }
}

/// Puts the table's settings in force if they are newer, and confirms the freshness of the view.
///
/// # Errors
///
/// If the table does not answer.
pub async fn refresh(node: &Node) -> Result<(), Fault> {
    // Taken before the request: the answer may be delayed, so it proves freshness only as of
    // this time.
    let requested_at = clock::now();
    let known = node.settings.load().tree.revision;
    let revision = store::read_revision(&node.table).await?;
    if revision > known {
        adopt(node, store::read_tree(&node.table).await?.tree);
    } else if revision < known {
        emit!(error, event::TABLE_BEHIND, revision, known);
    }
    if node.settings.load().tree.revision >= revision {
        node.freshness.confirm(requested_at);
    }
    Ok(())
}

/// Puts a peer's tree in force if it is newer; until the first read of the table has ended,
/// only stores it as an offer.
pub fn offer(node: &Node, tree: Tree) {
    if let Some(tree) = node.offers.put(tree) {
        adopt(node, tree);
    }
}

/// Puts a tree in force if it is newer and passes the checks; returns whether it did.
pub fn adopt(node: &Node, tree: Tree) -> bool {
    let revision = tree.revision;
    match check(&tree) {
        Ok(snapshot) => {
            let previous = node.settings.load();
            let delta = Delta::between(&previous.tree, &tree);
            let advanced = node.settings.advance(tree, snapshot);
            if advanced {
                node.deltas.add(delta);
                emit!(info, event::SETTINGS_IN_FORCE, revision);
            }
            advanced
        }
        Err(problems) => {
            let first = problems
                .first()
                .map(|problem| format!("{}: {}", problem.path, problem.message));
            emit!(error, event::SETTINGS_REFUSED, revision, problem = first);
            false
        }
    }
}
