//! Emergency withdrawals of keys: refused at once, sent to peers, stored in the table when it
//! answers.
//!
//! An instance that receives a withdrawal refuses the key until its process ends. The
//! withdrawal is stored when the key's row is marked as withdrawn. Every instance that received
//! it retries that until its settings contain it, so the withdrawal survives a crash of the
//! instance that received it first.

use settings::{
    Digest,
    Key,
    Path,
    Tree, //
};
use telemetry::{
    emit,
    event, //
};

use super::{
    commit::{
        self,
        Error,
        Proposal, //
    },
    store::{
        self,
        Change, //
    }, //
};
use crate::node::Node;

/// Author of a withdrawal that is stored without the operator's name: by an instance that
/// received it from a peer, or on a retry.
const FALLBACK_AUTHOR: &str = "emergency-withdrawal";
/// Attempts to store one withdrawal while other writers commit first.
const MAX_ATTEMPTS: u32 = 8;

/// Records withdrawals; the keys with these digests are refused from now on.
pub fn record(node: &Node, digests: impl IntoIterator<Item = Digest>) {
    let new = node.withdrawals.add(digests);
    if new > 0 {
        emit!(warn, event::KEY_WITHDRAWN, count = new);
    }
}

/// Tries to store all withdrawals that the settings do not contain yet.
pub async fn persist_all(node: &Node) {
    let settings = node.settings.load();
    for digest in node.withdrawals.unstored(&settings.snapshot) {
        if let Err(error) = persist(node, &digest, FALLBACK_AUTHOR).await {
            emit!(warn, event::WITHDRAWAL_UNKEPT, reason = %error);
        }
    }
}

/// Marks the key with this digest as withdrawn in the table; returns a revision that contains
/// the withdrawal.
///
/// # Errors
///
/// If the change was not committed, or its outcome is not known.
pub async fn persist(node: &Node, digest: &Digest, author: &str) -> Result<u64, Error> {
    let mut attempts = 0;
    loop {
        let tree = store::read_tree(&node.table)
            .await
            .map_err(Error::NotApplied)?
            .tree;
        let base = tree.revision;
        let Some(change) = withdrawal_change(&tree, digest) else {
            super::adopt(node, tree);
            return Ok(base);
        };
        let changes = [change];
        // The same id for all instances that store this withdrawal on this revision, so that it
        // is written once.
        let digest_hex = blake3::Hash::from_bytes(digest.0).to_hex();
        let write_id = format!("w-{}-{base}", &digest_hex[..32]);
        let proposal = Proposal {
            base: Some(base),
            known_revision: node.settings.load().tree.revision,
            ..Proposal::new(author, &write_id, &changes)
        };
        attempts += 1;
        match commit::commit(&node.table, &proposal, |_, _| Ok(())).await {
            Ok((revision, tree)) => {
                super::adopt(node, tree);
                return Ok(revision);
            }
            Err(Error::Conflict { .. }) if attempts < MAX_ATTEMPTS => {}
            Err(error) => return Err(error),
        }
    }
}

/// The change that withdraws the key with this digest; `None` if there is no such key or it is
/// withdrawn already.
fn withdrawal_change(tree: &Tree, digest: &Digest) -> Option<Change> {
    let (path, key) = tree.rows().find_map(|row| {
        let key = key_at(tree, &row.path)?;
        (key.digest == *digest).then_some((&row.path, key))
    })?;
    if key.withdrawn {
        return None;
    }
    let key = Key {
        withdrawn: true,
        ..key
    };
    Some(Change {
        path: path.clone(),
        value: serde_json::to_value(key).ok(),
    })
}

/// The key at `path`, if there is one.
pub fn key_at(tree: &Tree, path: &Path) -> Option<Key> {
    if path.segments().nth(2) != Some("keys") {
        return None;
    }
    serde_json::from_value(tree.get(path)?.clone()).ok()
}
