//! Changes between revisions of the settings tree, for peers that lag by a few revisions.

use std::collections::VecDeque;

use parking_lot::Mutex;
use serde::{
    Deserialize,
    Serialize, //
};
use settings::{
    Path,
    Row,
    Tree, //
};

/// Maximum number of changes in the log.
const MAX_CHANGES: usize = 256;

/// The difference between two revisions, as rows.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Delta {
    /// Revision that the delta applies to.
    pub from: u64,
    /// Revision that the delta results in.
    pub to: u64,
    /// Rows that are new or have a different document.
    pub set: Vec<Row>,
    /// Paths of the removed rows.
    pub removed: Vec<Path>,
}

impl Delta {
    /// Computes the difference in one pass over both trees, in order of paths.
    pub fn between(from: &Tree, to: &Tree) -> Self {
        let (set, removed) = from.diff(to);
        Self {
            from: from.revision,
            to: to.revision,
            set,
            removed,
        }
    }

    /// The tree after the change; `None` if `tree` is not at revision `from`.
    pub fn apply(&self, tree: &Tree) -> Option<Tree> {
        if tree.revision != self.from {
            return None;
        }
        let mut tree = tree.clone();
        tree.revision = self.to;
        for path in &self.removed {
            tree.remove(path);
        }
        for row in &self.set {
            tree.set(row.clone());
        }
        Some(tree)
    }
}

/// Log of the latest changes.
#[derive(Debug, Default)]
pub struct Log {
    /// # Invariants
    ///
    /// Each delta applies to the revision that the previous one results in.
    deltas: Mutex<VecDeque<Delta>>,
}

impl Log {
    /// Appends a change; clears the log first if the change does not follow the last one.
    pub fn add(&self, delta: Delta) {
        let mut deltas = self.deltas.lock();
        if deltas.back().is_some_and(|last| last.to != delta.from) {
            deltas.clear();
        }
        deltas.push_back(delta);
        if deltas.len() > MAX_CHANGES {
            deltas.pop_front();
        }
    }

    /// The changes that lead from revision `from` to `to`, if the log has all of them.
    pub fn between(&self, from: u64, to: u64) -> Option<Vec<Delta>> {
        let deltas = self.deltas.lock();
        let first = deltas.iter().position(|delta| delta.from == from)?;
        let last = deltas.iter().position(|delta| delta.to == to)?;
        (first <= last).then(|| deltas.range(first..=last).cloned().collect())
    }
}
