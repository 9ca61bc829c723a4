//! Beliefs about which prefix levels the endpoints cache.

use std::time::Instant;

use parking_lot::RwLock;
use policy::belief::{
    self,
    Holder,
    Millis, //
};

use crate::health;

/// Value of the clock at the start of an instance, in milliseconds; above zero, so that older
/// beliefs have a timestamp too.
const START_MS: Millis = 3_600_000;

/// A belief as instances exchange it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Belief {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Incarnation of the endpoint that cached the level.
    pub incarnation: String,
    /// The prefix level, which depends on workspace, model, adapter and weights version.
    pub level: u64,
    /// Milliseconds since the level was last seen at the endpoint.
    pub age: Millis,
}

/// Beliefs of this instance, in memory that is allocated once and never grows.
#[derive(Debug)]
pub struct Table {
    started: Instant,
    beliefs: RwLock<belief::Table>,
}

impl Table {
    /// Creates a table for up to `capacity` beliefs.
    pub fn new(capacity: usize) -> Self {
        Self {
            started: Instant::now(),
            beliefs: RwLock::new(belief::Table::new(capacity)),
        }
    }

    /// Current time of the clock for beliefs and estimates about endpoints.
    pub fn now(&self) -> Millis {
        START_MS + u64::try_from(self.started.elapsed().as_millis()).unwrap_or(0)
    }

    /// Calls `read` with the beliefs under the read lock.
    pub fn read<T>(&self, read: impl FnOnce(&belief::Table) -> T) -> T {
        read(&self.beliefs.read())
    }

    /// Records that `holder` has these levels now; returns for each the age of the previous
    /// record, if any.
    pub fn raise(&self, levels: &[u64], holder: Holder) -> Vec<Option<Millis>> {
        let now = self.now();
        let mut beliefs = self.beliefs.write();
        let raise = |&level| beliefs.insert(level, holder, now);
        levels.iter().map(raise).collect()
    }

    /// Removes the beliefs that `holder` has these levels.
    pub fn lower(&self, levels: &[u64], holder: Holder) {
        let mut beliefs = self.beliefs.write();
        for &level in levels {
            beliefs.remove(level, holder);
        }
    }

    /// Number of levels that `holder` is believed to have, for operators; scans all beliefs.
    pub fn count(&self, holder: Holder) -> usize {
        let beliefs = self.beliefs.read();
        beliefs
            .iter(0)
            .filter(|belief| belief.holder == holder)
            .count()
    }

    /// The most recent beliefs about endpoints whose incarnation is known, at most `limit`.
    pub fn export(&self, health: &health::Table, limit: usize) -> Vec<Belief> {
        let now = self.now();
        let mut youngest: Vec<belief::Belief> = self.beliefs.read().iter(now).collect();
        youngest.sort_by_key(|belief| belief.age);
        let endpoints = health.by_slot();
        let known: Vec<_> = endpoints.iter().map(|e| (e, e.incarnation())).collect();
        let resolve = |belief: belief::Belief| {
            let (endpoint, (incarnation, holder)) = known.get(usize::from(belief.holder.slot))?;
            let current = *holder == belief.holder && !incarnation.is_empty();
            current.then(|| Belief {
                endpoint: endpoint.name.to_string(),
                incarnation: incarnation.clone(),
                level: belief.level,
                age: belief.age,
            })
        };
        youngest
            .into_iter()
            .filter_map(resolve)
            .take(limit)
            .collect()
    }

    /// Imports beliefs of another instance; returns the number imported.
    ///
    /// Beliefs about past incarnations are skipped, and existing beliefs of this instance
    /// stay unchanged.
    pub fn import(&self, health: &health::Table, beliefs: &[Belief]) -> usize {
        let now = self.now();
        let mut imported = 0;
        for belief in beliefs.iter().filter(|belief| belief.age < START_MS) {
            let endpoint = health.endpoint(&belief.endpoint.as_str().into());
            let Some(holder) = endpoint.holder_of(&belief.incarnation) else {
                continue;
            };
            let mut table = self.beliefs.write();
            if !table.holders(belief.level, now).any(|b| b.holder == holder) {
                table.insert(belief.level, holder, now - belief.age);
                imported += 1;
            }
        }
        imported
    }
}
