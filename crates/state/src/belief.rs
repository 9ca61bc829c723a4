//! Which prefix levels endpoints are believed to cache.

use std::time::Instant;

use parking_lot::RwLock;
use policy::belief::{
    self,
    Holder,
    Millis, //
};

use crate::health;

/// Time at the start of an instance, so that beliefs from before it have a time too.
const START: Millis = 3_600_000;

/// A belief as instances pass it on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Belief {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Incarnation that held the level.
    pub incarnation: String,
    /// The prefix level, which depends on workspace, model, adapter and weights version.
    pub level: u64,
    /// Milliseconds since it was last seen there.
    pub age: Millis,
}

/// Beliefs of this instance, in memory that is taken once and does not grow.
#[derive(Debug)]
pub struct Table {
    started: Instant,
    beliefs: RwLock<belief::Table>,
}

impl Table {
    /// Makes a table for up to `capacity` beliefs.
    pub fn new(capacity: usize) -> Self {
        Self {
            started: Instant::now(),
            beliefs: RwLock::new(belief::Table::new(capacity)),
        }
    }

    /// The time as all that is learnt of endpoints counts it.
    pub fn now(&self) -> Millis {
        START + u64::try_from(self.started.elapsed().as_millis()).unwrap_or(0)
    }

    /// Gives access for one choice.
    pub fn read<T>(&self, look: impl FnOnce(&belief::Table) -> T) -> T {
        look(&self.beliefs.read())
    }

    /// Notes that `holder` has these levels now; returns how long ago that was noted before.
    pub fn raise(&self, levels: &[u64], holder: Holder) -> Vec<Option<Millis>> {
        let now = self.now();
        let mut beliefs = self.beliefs.write();
        let raise = |&level| beliefs.insert(level, holder, now);
        levels.iter().map(raise).collect()
    }

    /// Forgets that `holder` has these levels.
    pub fn lower(&self, levels: &[u64], holder: Holder) {
        let mut beliefs = self.beliefs.write();
        for &level in levels {
            beliefs.remove(level, holder);
        }
    }

    /// Levels that a holder is believed to have, for operators; looks through all beliefs.
    pub fn count(&self, holder: Holder) -> usize {
        let beliefs = self.beliefs.read();
        beliefs
            .iter(0)
            .filter(|belief| belief.holder == holder)
            .count()
    }

    /// The youngest beliefs about endpoints whose incarnation is known, at most `most`.
    pub fn export(&self, health: &health::Table, most: usize) -> Vec<Belief> {
        let now = self.now();
        let mut youngest: Vec<belief::Belief> = self.beliefs.read().iter(now).collect();
        youngest.sort_by_key(|belief| belief.age);
        let endpoints = health.by_slot();
        let known: Vec<_> = endpoints.iter().map(|e| (e, e.incarnation())).collect();
        let name = |belief: belief::Belief| {
            let (endpoint, (incarnation, holder)) = known.get(usize::from(belief.holder.slot))?;
            let current = *holder == belief.holder && !incarnation.is_empty();
            current.then(|| Belief {
                endpoint: endpoint.name.to_string(),
                incarnation: incarnation.clone(),
                level: belief.level,
                age: belief.age,
            })
        };
        youngest.into_iter().filter_map(name).take(most).collect()
    }

    /// Takes over beliefs of another instance and returns how many.
    ///
    /// Those about incarnations that have ended are left out, and what this instance believes
    /// already stays as it is.
    pub fn import(&self, health: &health::Table, beliefs: &[Belief]) -> usize {
        let now = self.now();
        let mut taken = 0;
        for belief in beliefs.iter().filter(|belief| belief.age < START) {
            let endpoint = health.endpoint(&belief.endpoint.as_str().into());
            let Some(holder) = endpoint.holder_of(&belief.incarnation) else {
                continue;
            };
            let mut own = self.beliefs.write();
            if !own.holders(belief.level, now).any(|b| b.holder == holder) {
                own.insert(belief.level, holder, now - belief.age);
                taken += 1;
            }
        }
        taken
    }
}
