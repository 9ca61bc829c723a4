//! Settings in force at this instance.

use std::sync::Arc;

use arc_swap::ArcSwap;
use parking_lot::Mutex;
use settings::{
    Snapshot,
    Tree, //
};

/// A settings tree and the snapshot built from it.
///
/// # Invariants
///
/// Both have the same revision.
#[derive(Debug, Default)]
pub struct Settings {
    /// Settings as operators wrote them.
    pub tree: Tree,
    /// Settings as the request path reads them.
    pub snapshot: Snapshot,
}

/// The settings in force. The revision never falls.
#[derive(Debug, Default)]
pub struct Current {
    settings: ArcSwap<Settings>,
    writer: Mutex<()>,
}

impl Current {
    /// The settings in force now.
    pub fn load(&self) -> Arc<Settings> {
        self.settings.load_full()
    }

    /// Puts checked settings in force if they are newer; returns whether they were.
    pub fn advance(&self, tree: Tree, snapshot: Snapshot) -> bool {
        let _writer = self.writer.lock();
        if tree.revision <= self.settings.load().tree.revision {
            return false;
        }
        self.settings.store(Arc::new(Settings { tree, snapshot }));
        true
    }
}

/// Trees that peers offer before the first read of the table has ended.
#[derive(Debug, Default)]
pub struct Offers {
    stage: Mutex<Stage>,
}

#[derive(Debug)]
enum Stage {
    /// Until the first read has ended; holds the newest tree offered so far.
    Waiting(Option<Tree>),
    Settled,
}

impl Default for Stage {
    fn default() -> Self {
        Self::Waiting(None)
    }
}

impl Offers {
    /// Returns `tree` if it may come into force now; otherwise stores it if it is the newest.
    pub fn put(&self, tree: Tree) -> Option<Tree> {
        let mut stage = self.stage.lock();
        let Stage::Waiting(newest) = &mut *stage else {
            return Some(tree);
        };
        if newest
            .as_ref()
            .is_none_or(|newest| newest.revision < tree.revision)
        {
            *newest = Some(tree);
        }
        None
    }

    /// Revision of the newest tree that is held back; 0 if there is none.
    pub fn revision(&self) -> u64 {
        match &*self.stage.lock() {
            Stage::Waiting(Some(tree)) => tree.revision,
            Stage::Waiting(None) | Stage::Settled => 0,
        }
    }

    /// Ends the wait and returns the newest tree offered so far.
    pub fn settle(&self) -> Option<Tree> {
        match std::mem::replace(&mut *self.stage.lock(), Stage::Settled) {
            Stage::Waiting(newest) => newest,
            Stage::Settled => None,
        }
    }
}
