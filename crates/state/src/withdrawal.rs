//! Keys withdrawn in an emergency, which may not be stored in the table yet.

use std::sync::Arc;

use arc_swap::ArcSwap;
use parking_lot::Mutex;
use settings::{
    Digest,
    Lookup,
    Snapshot, //
};

/// Digests of withdrawn keys. Never shrinks within an incarnation of the instance.
#[derive(Debug, Default)]
pub struct Set {
    /// # Invariants
    ///
    /// Sorted, each digest once.
    digests: ArcSwap<Vec<Digest>>,
    writer: Mutex<()>,
}

impl Set {
    /// Whether the key with this digest was withdrawn.
    pub fn contains(&self, digest: &Digest) -> bool {
        self.digests.load().binary_search(digest).is_ok()
    }

    /// Adds digests; returns the number of new ones.
    pub fn add(&self, received: impl IntoIterator<Item = Digest>) -> usize {
        let _writer = self.writer.lock();
        let known = self.digests.load();
        let mut new: Vec<Digest> = received
            .into_iter()
            .filter(|digest| known.binary_search(digest).is_err())
            .collect();
        new.sort_unstable();
        new.dedup();
        let count = new.len();
        if count > 0 {
            let mut digests = known.to_vec();
            digests.append(&mut new);
            digests.sort_unstable();
            self.digests.store(Arc::new(digests));
        }
        count
    }

    /// Withdrawn keys that are still valid in `snapshot`, and so not yet stored in the table.
    pub fn unstored(&self, snapshot: &Snapshot) -> Vec<Digest> {
        let digests = self.digests.load();
        let valid = |digest: &&Digest| matches!(snapshot.key(digest), Lookup::Valid(..));
        digests.iter().filter(valid).copied().collect()
    }
}
