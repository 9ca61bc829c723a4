//! Emergency withdrawals: refused at once, told to peers, kept in the table when it answers.
//!
//! An instance that hears of a withdrawal refuses the key for the rest of its
//! life. The withdrawal is kept when the key's row says so; every instance that
//! heard tries that until its settings show it, so it survives the one that was
//! told first.

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

/// Author of a withdrawal that is kept by an instance which only heard of it.
const AUTHOR: &str = "emergency-withdrawal";
/// Attempts of one round while other writers are faster.
const MAX_ATTEMPTS: u32 = 8;

/// Refuses the keys with these digests from now on.
pub fn hear(node: &Node, digests: impl IntoIterator<Item = Digest>) {
    let new = node.withdrawals.add(digests);
    if new > 0 {
        emit!(warn, event::KEY_WITHDRAWN, count = new);
    }
}

/// Tries to keep what has been heard and is not in the settings yet.
pub async fn keep_all(node: &Node) {
    let version = node.settings.load();
    for digest in node.withdrawals.unstored(&version.snapshot) {
        if let Err(error) = keep(node, &digest, AUTHOR).await {
            emit!(warn, event::WITHDRAWAL_UNKEPT, reason = %error);
        }
    }
}

/// Marks the key with this digest as withdrawn in the table; gives the revision that says so.
///
/// # Errors
///
/// If the table does not take the change.
pub async fn keep(node: &Node, digest: &Digest, author: &str) -> Result<u64, Error> {
    let mut attempts = 0;
    loop {
        let tree = store::read(&node.table)
            .await
            .map_err(Error::NotApplied)?
            .tree;
        let base = tree.revision;
        let Some(change) = withdrawal(&tree, digest) else {
            super::adopt(node, tree);
            return Ok(base);
        };
        let changes = [change];
        // Instances that keep the same withdrawal on the same revision make one write.
        let id = blake3::Hash::from_bytes(digest.0).to_hex();
        let write_id = format!("w-{}-{base}", &id[..32]);
        let proposal = Proposal {
            base: Some(base),
            known: node.settings.load().tree.revision,
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

/// The change that withdraws the key with this digest, unless none is valid.
fn withdrawal(tree: &Tree, digest: &Digest) -> Option<Change> {
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
