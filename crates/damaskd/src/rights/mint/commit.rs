//! Changes of parts: several workspaces in one transaction, each row by compare-and-set.

use std::{
    sync::Arc,
    time::Duration, //
};

use platform::{
    http::Fault,
    table::{
        Outcome,
        Row as TableRow,
        Table,
        Txn, //
    }, //
};
use policy::rights::{
    Limit,
    share::{
        Grant,
        Holder,
        Row, //
    }, //
};
use state::right::Entry;
use telemetry::{
    emit,
    event, //
};

use super::{
    ATTEMPTS,
    Minter,
    TICK, //
};
use crate::rights::{
    limit,
    store, //
};

/// Workspaces changed in one transaction.
const BATCH: usize = 32;

/// A workspace's row as last seen.
#[derive(Clone, Debug)]
pub(super) struct Cached {
    pub(super) workspace: Arc<str>,
    /// Table revision; 0 if it did not exist.
    pub(super) revision: u64,
    pub(super) row: Row,
    /// When it was last read because it showed nothing free.
    pub(super) read_at: Duration,
    /// Whether a change of ours may or may not have been applied.
    pub(super) doubtful: bool,
}

#[derive(Clone, Copy, Debug)]
pub(super) enum Change {
    Claim(u32),
    Release(u32),
    /// Writes the parts held here, which puts an end to doubt.
    Confirm,
}

/// One workspace's part of a transaction.
#[derive(Debug)]
pub(super) struct Item {
    pub(super) entry: Arc<Entry>,
    pub(super) limit: Limit,
    pub(super) change: Change,
}

/// What an item has done to the row, to be made good once the outcome is known.
#[derive(Debug)]
enum Effect {
    Granted(Grant),
    Released { parts: u32, tokens: u64 },
    Confirmed,
}

struct Written {
    entry: Arc<Entry>,
    row: Row,
    effect: Effect,
}

impl Minter {
    pub(super) fn cached(&self, workspace: &str) -> Option<&Cached> {
        let index = self.index(workspace).ok()?;
        Some(&self.cache[index])
    }

    fn index(&self, workspace: &str) -> Result<usize, usize> {
        self.cache
            .binary_search_by(|cached| (*cached.workspace).cmp(workspace))
    }

    pub(super) async fn commit(&mut self, mut items: Vec<Item>) {
        // Two claims of one workspace may wait; in one transaction both would be
        // granted the same parts.
        items.sort_by(|a, b| a.entry.workspace.cmp(&b.entry.workspace));
        items.dedup_by(|a, b| a.entry.workspace == b.entry.workspace);
        for batch in items.chunks(BATCH) {
            if let Err(fault) = self.commit_batch(batch).await {
                return self.failed(&fault);
            }
        }
    }

    async fn commit_batch(&mut self, items: &[Item]) -> Result<(), Fault> {
        self.refresh(items).await?;
        for _ in 0..ATTEMPTS {
            let (txn, written) = self.prepare(items);
            if written.is_empty() {
                return Ok(());
            }
            match self.node.table.transact(txn.clone()).await {
                Ok(Outcome::Applied(revision)) => {
                    self.applied(written, revision);
                    return Ok(());
                }
                Ok(Outcome::Conflict(rows)) => {
                    undo(written, self.now());
                    if !self.conflict(&txn, &rows) {
                        return Ok(());
                    }
                }
                Err(fault) => {
                    if fault.may_have_applied() {
                        self.doubt(written);
                    } else {
                        undo(written, self.now());
                    }
                    return Err(fault);
                }
            }
        }
        Ok(())
    }

    /// Reads the rows that show too little to claim, since others may have freed parts.
    async fn refresh(&mut self, items: &[Item]) -> Result<(), Fault> {
        for item in items {
            let Change::Claim(_) = item.change else {
                continue;
            };
            let now = self.now();
            let stale = self
                .cached(&item.entry.workspace)
                .is_some_and(|c| c.row.free_parts() == 0 && now.saturating_sub(c.read_at) >= TICK);
            if stale {
                let key = store::share_key(&item.entry.workspace);
                let row = self.node.table.get(&key).await?;
                self.remember(&item.entry.workspace, row.as_ref(), item.limit);
            }
        }
        Ok(())
    }

    fn remember(&mut self, workspace: &Arc<str>, row: Option<&TableRow>, limit: Limit) {
        let (revision, row) = match row {
            None => (0, Row::unclaimed(limit)),
            Some(row) => match store::read(&row.value) {
                Some(read) => (row.revision, read),
                None => return emit!(error, event::RIGHTS_UNREADABLE, key = row.key),
            },
        };
        let cached = Cached {
            workspace: workspace.clone(),
            revision,
            row,
            read_at: self.now(),
            doubtful: self.cached(workspace).is_some_and(|c| c.doubtful),
        };
        match self.index(workspace) {
            Ok(index) => self.cache[index] = cached,
            Err(index) => self.cache.insert(index, cached),
        }
    }

    /// Builds the transaction; what is released is taken out of the buckets first.
    fn prepare(&mut self, items: &[Item]) -> (Txn, Vec<Written>) {
        let mut txn = Txn::default().when(store::holder_key(self.holder), self.revision);
        let mut written = Vec::new();
        let mut gone = Vec::new();
        for item in items {
            if self.index(&item.entry.workspace).is_err() {
                self.remember(&item.entry.workspace, None, item.limit);
            }
            let Some(cached) = self.cached(&item.entry.workspace) else {
                continue;
            };
            let mut row = cached.row.clone();
            let revision = cached.revision;
            let lost: Vec<Holder> = self.lost_holders(&row);
            lost.iter().for_each(|holder| row.remove_holder(*holder));
            let Some(effect) = self.effect(item, &mut row) else {
                continue;
            };
            gone.extend(lost);
            let key = store::share_key(&item.entry.workspace);
            txn = txn.when(key.clone(), revision).put(key, store::write(&row));
            written.push(Written {
                entry: item.entry.clone(),
                row,
                effect,
            });
        }
        gone.sort_unstable();
        gone.dedup();
        // A share is free only if its holder's row is gone when this is applied.
        for holder in gone {
            txn = txn.when(store::holder_key(holder), 0);
        }
        (txn, written)
    }

    fn lost_holders(&self, row: &Row) -> Vec<Holder> {
        let stands = |holder: Holder| holder == self.holder || self.standings.contains(holder);
        let holders = row.shares.iter().map(|share| share.holder);
        holders.filter(|holder| !stands(*holder)).collect()
    }

    fn effect(&self, item: &Item, row: &mut Row) -> Option<Effect> {
        match item.change {
            Change::Claim(parts) => {
                let grant = row.claim(self.holder, parts, item.limit);
                (grant.parts > 0).then_some(Effect::Granted(grant))
            }
            Change::Release(parts) => {
                let (parts, tokens) = item.entry.shrink(parts, self.now());
                row.release(self.holder, parts, tokens, item.limit);
                (parts > 0).then_some(Effect::Released { parts, tokens })
            }
            Change::Confirm => {
                let excess = row.parts(self.holder).saturating_sub(item.entry.parts());
                row.release(self.holder, excess, 0, item.limit);
                Some(Effect::Confirmed)
            }
        }
    }

    fn applied(&mut self, written: Vec<Written>, revision: u64) {
        for item in written {
            if let Effect::Granted(grant) = item.effect {
                item.entry.grow(grant.parts, grant.tokens, self.now());
            }
            if let Ok(index) = self.index(&item.entry.workspace) {
                let cached = &mut self.cache[index];
                cached.revision = revision;
                cached.row = item.row;
                cached.doubtful = false;
            }
        }
    }

    /// Marks rows whose change may have been applied; what was released stays released.
    fn doubt(&mut self, written: Vec<Written>) {
        for item in written {
            if let Ok(index) = self.index(&item.entry.workspace) {
                self.cache[index].doubtful = true;
            }
        }
    }

    /// Takes in the rows as they stand; tells whether the own row is among them.
    fn conflict(&mut self, txn: &Txn, rows: &[TableRow]) -> bool {
        let own = store::holder_key(self.holder);
        let now = self.now();
        let version = self.node.settings.load();
        let find = |key: &str| rows.iter().find(|row| row.key == key);
        for compare in &txn.compares {
            let row = find(&compare.key);
            if compare.key == own {
                let Some(row) = row else {
                    self.lose();
                    return false;
                };
                self.revision = row.revision;
            } else if let Some(workspace) = store::workspace_of(&compare.key) {
                let limit = limit(&version.snapshot, workspace);
                self.remember(&workspace.into(), row, limit);
            } else if let Some(row) = row {
                self.standings.see_one(row, now);
            }
        }
        true
    }
}

/// Puts back what was released by a transaction that had no effect.
fn undo(written: Vec<Written>, now: Duration) {
    for item in written {
        if let Effect::Released { parts, tokens } = item.effect {
            item.entry.grow(parts, tokens, now);
        }
    }
}
