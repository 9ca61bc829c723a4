//! A copy of the settings in the object store, for a start without the table and peers.

use std::time::Duration;

use bytes::Bytes;
use platform::objects::Objects;
use settings::Tree;
use telemetry::{
    emit,
    event, //
};

use crate::{
    node::Node,
    sync, //
};

/// Key of the object with the copy.
const OBJECT_KEY: &str = "settings.json";

/// Writes the settings in force if they are newer than `written_revision` and the lease is held;
/// returns the revision of the copy.
pub async fn write(node: &Node, written_revision: u64) -> u64 {
    let settings = node.settings.load();
    let revision = settings.tree.revision;
    if revision <= written_revision || node.lease.check(Duration::ZERO).is_none() {
        return written_revision;
    }
    let tree = serde_json::to_vec(&settings.tree).unwrap_or_default();
    match node.objects.put(OBJECT_KEY, Bytes::from(tree)).await {
        Ok(()) => revision,
        Err(fault) => {
            emit!(warn, event::SNAPSHOT_FAULT, reason = %fault);
            written_revision
        }
    }
}

/// Reads the copy and puts it in force if it is newer than the settings in force.
pub async fn load(node: &Node) {
    match node.objects.get(OBJECT_KEY).await {
        Ok(Some(body)) => match serde_json::from_slice::<Tree>(&body) {
            Ok(tree) => {
                sync::adopt(node, tree);
            }
            Err(error) => emit!(warn, event::SNAPSHOT_FAULT, reason = %error),
        },
        Ok(None) => {}
        Err(fault) => emit!(warn, event::SNAPSHOT_FAULT, reason = %fault),
    }
}
