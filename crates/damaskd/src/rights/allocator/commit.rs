//! Writes changes of parts: several workspaces per transaction, each row by compare-and-set.

use std::{
    sync::Arc,
    time::Duration, //
};

use platform::{
    http::Fault,
    table::{
        Outcome,
        Revision,
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
    Allocator,
    MAX_ATTEMPTS,
    TICK, //
};
use crate::rights::{
    limit,
    store, //
};

/// Maximum number of workspaces changed in one transaction.
const MAX_BATCH_SIZE: usize = 32;

/// A workspace's row as last seen.
#[derive(Clone, Debug)]
pub(super) struct CachedRow {
    pub(super) workspace: Arc<str>,
    /// Table revision of the row.
    pub(super) revision: Revision,
    pub(super) row: Row,
    /// When `row` was last read, or assumed at first use; bounds how often a row without free parts
    /// is read again.
    pub(super) read_at: Duration,
    /// Whether a write of this instance may or may not have been applied.
    pub(super) uncertain: bool,
}

/// A change of one workspace's parts; the numbers are parts.
#[derive(Clone, Copy, Debug)]
pub(super) enum Change {
    Acquire(u32),
    Release(u32),
    /// Writes the number of parts held here, which resolves an uncertain write.
    Confirm,
}

/// The change of one workspace within a transaction.
#[derive(Debug)]
pub(super) struct Item {
    pub(super) entry: Arc<Entry>,
    pub(super) limit: Limit,
    pub(super) change: Change,
}

/// Effect of an item on its row. A grant is added to the bucket once it is applied; a
/// release is returned to the bucket if it certainly was not.
#[derive(Debug)]
enum Effect {
    Granted(Grant),
    Released { parts: u32, tokens: u64 },
    Confirmed,
}

/// A row to write, with the effect of the change in it.
struct Write {
    entry: Arc<Entry>,
    row: Row,
    effect: Effect,
}

impl Allocator {
    pub(super) fn cached_row(&self, workspace: &str) -> Option<&CachedRow> {
        let index = self.cache_index(workspace).ok()?;
        Some(&self.cache[index])
    }

    fn cache_index(&self, workspace: &str) -> Result<usize, usize> {
        self.cache
            .binary_search_by(|cached| (*cached.workspace).cmp(workspace))
    }

    pub(super) async fn commit(&mut self, mut items: Vec<Item>) {
        // Several requests for parts of one workspace may be queued; in one transaction all of them
        // would be granted the same parts.
        items.sort_by(|a, b| a.entry.workspace.cmp(&b.entry.workspace));
        items.dedup_by(|a, b| a.entry.workspace == b.entry.workspace);
        for batch in items.chunks(MAX_BATCH_SIZE) {
            if let Err(fault) = self.commit_batch(batch).await {
                return self.record_fault(&fault);
            }
        }
    }

    async fn commit_batch(&mut self, items: &[Item]) -> Result<(), Fault> {
        self.refresh_exhausted(items).await?;
        for _ in 0..MAX_ATTEMPTS {
            let (txn, writes) = self.build_txn(items);
            if writes.is_empty() {
                return Ok(());
            }
            match self.node.table.transact(txn.clone()).await {
                Ok(Outcome::Applied(revision)) => {
                    self.record_applied(writes, revision);
                    return Ok(());
                }
                Ok(Outcome::Conflict(rows)) => {
                    restore_released(writes, self.now());
                    if !self.apply_conflict(&txn, &rows) {
                        return Ok(());
                    }
                }
                Err(fault) => {
                    if fault.may_have_applied() {
                        self.mark_uncertain(writes);
                    } else {
                        restore_released(writes, self.now());
                    }
                    return Err(fault);
                }
            }
        }
        Ok(())
    }

    /// Reads rows without free parts again, since other holders may have released some; each row
    /// at most once per [`TICK`].
    async fn refresh_exhausted(&mut self, items: &[Item]) -> Result<(), Fault> {
        for item in items {
            let Change::Acquire(_) = item.change else {
                continue;
            };
            let now = self.now();
            let stale = self
                .cached_row(&item.entry.workspace)
                .is_some_and(|c| c.row.free_parts() == 0 && now.saturating_sub(c.read_at) >= TICK);
            if stale {
                let key = store::share_key(&item.entry.workspace);
                let row = self.node.table.get(&key).await?;
                self.cache_row(&item.entry.workspace, row.as_ref(), item.limit);
            }
        }
        Ok(())
    }

    fn cache_row(&mut self, workspace: &Arc<str>, row: Option<&TableRow>, limit: Limit) {
        let (revision, row) = match row {
            None => (Revision::ABSENT, Row::unheld(limit)),
            Some(row) => match store::decode(&row.value) {
                Some(decoded) => (row.revision, decoded),
                None => return emit!(error, event::RIGHTS_UNREADABLE, key = row.key),
            },
        };
        let cached = CachedRow {
            workspace: workspace.clone(),
            revision,
            row,
            read_at: self.now(),
            uncertain: self.cached_row(workspace).is_some_and(|c| c.uncertain),
        };
        match self.cache_index(workspace) {
            Ok(index) => self.cache[index] = cached,
            Err(index) => self.cache.insert(index, cached),
        }
    }

    /// Builds the transaction; removes released parts from the buckets before it is sent.
    fn build_txn(&mut self, items: &[Item]) -> (Txn, Vec<Write>) {
        let mut txn = Txn::default().when(store::holder_key(self.holder), self.revision);
        let mut writes = Vec::new();
        let mut missing_holders = Vec::new();
        for item in items {
            if self.cache_index(&item.entry.workspace).is_err() {
                self.cache_row(&item.entry.workspace, None, item.limit);
            }
            let Some(cached) = self.cached_row(&item.entry.workspace) else {
                continue;
            };
            let mut row = cached.row.clone();
            let revision = cached.revision;
            let missing: Vec<Holder> = self.missing_holders_of(&row);
            missing.iter().for_each(|holder| row.remove_holder(*holder));
            let Some(effect) = self.apply_change(item, &mut row) else {
                continue;
            };
            missing_holders.extend(missing);
            let key = store::share_key(&item.entry.workspace);
            txn = txn
                .when(key.clone(), revision)
                .put(key, store::encode(&row));
            writes.push(Write {
                entry: item.entry.clone(),
                row,
                effect,
            });
        }
        missing_holders.sort_unstable();
        missing_holders.dedup();
        // A share may be freed only if its holder's row does not exist when the transaction is
        // applied.
        for holder in missing_holders {
            txn = txn.when(store::holder_key(holder), 0);
        }
        (txn, writes)
    }

    fn missing_holders_of(&self, row: &Row) -> Vec<Holder> {
        let is_registered =
            |holder: Holder| holder == self.holder || self.registry.contains(holder);
        let holders = row.shares.iter().map(|share| share.holder);
        holders.filter(|holder| !is_registered(*holder)).collect()
    }

    /// Applies the change of `item` to `row`; `None` if it has no effect.
    fn apply_change(&self, item: &Item, row: &mut Row) -> Option<Effect> {
        match item.change {
            Change::Acquire(parts) => {
                let grant = row.acquire(self.holder, parts, item.limit);
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

    fn record_applied(&mut self, writes: Vec<Write>, revision: Revision) {
        for write in writes {
            if let Effect::Granted(grant) = write.effect {
                write.entry.grow(grant.parts, grant.tokens, self.now());
            }
            if let Ok(index) = self.cache_index(&write.entry.workspace) {
                let cached = &mut self.cache[index];
                cached.revision = revision;
                cached.row = write.row;
                cached.uncertain = false;
            }
        }
    }

    /// Marks rows whose write may have been applied; released parts stay out of the buckets.
    fn mark_uncertain(&mut self, writes: Vec<Write>) {
        for write in writes {
            if let Ok(index) = self.cache_index(&write.entry.workspace) {
                self.cache[index].uncertain = true;
            }
        }
    }

    /// Caches the rows that the conflict returned; returns whether this holder's row exists.
    fn apply_conflict(&mut self, txn: &Txn, rows: &[TableRow]) -> bool {
        let own_key = store::holder_key(self.holder);
        let now = self.now();
        let settings = self.node.settings.load();
        let find_row = |key: &str| rows.iter().find(|row| row.key == key);
        for compare in &txn.compares {
            let row = find_row(&compare.key);
            if compare.key == own_key {
                let Some(row) = row else {
                    self.reset();
                    return false;
                };
                self.revision = row.revision;
            } else if let Some(workspace) = store::workspace_from_key(&compare.key) {
                let limit = limit(&settings.snapshot, workspace);
                self.cache_row(&workspace.into(), row, limit);
            } else if let Some(row) = row {
                self.registry.record(row, now);
            }
        }
        true
    }
}

/// Returns released parts to the buckets after a transaction that was not applied.
fn restore_released(writes: Vec<Write>, now: Duration) {
    for write in writes {
        if let Effect::Released { parts, tokens } = write.effect {
            write.entry.grow(parts, tokens, now);
        }
    }
}
