//! Local copies of the table's rows; their revision never decreases.
//!
//! A table that was restored from an older copy is in a later era: all its rows are read again, and
//! changes of the earlier era are ignored.

use std::collections::VecDeque;

use bytes::Bytes;
use parking_lot::Mutex;
use platform::table::{
    Change,
    Changes,
    Range,
    Revision, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use serde_with::{
    base64::Base64,
    serde_as, //
};

/// One row, as stored here and sent to other instances.
#[serde_as]
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
struct Entry {
    key: String,
    #[serde_as(as = "Base64")]
    value: Vec<u8>,
    revision: Revision,
}

/// Deleted rows that are remembered, so that deltas for other instances can contain the deletions.
const MAX_TOMBSTONES: usize = 256;

/// All rows under one prefix, at one revision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Snapshot {
    revision: Revision,
    /// Revision up to which rows may have changed; none has between it and `revision`.
    changed: Revision,
    /// Keys of deleted rows with the revisions of the deletions, oldest first.
    #[serde(skip)]
    tombstones: VecDeque<(String, Revision)>,
    /// Revision up to which tombstones may be missing.
    #[serde(skip)]
    forgotten: Revision,
    /// # Invariants
    ///
    /// Sorted by key; keys are unique.
    rows: Vec<Entry>,
    /// Whether all rows have been read. A table that was never written to has the default revision.
    #[serde(skip)]
    is_read: bool,
}

/// Replication position of a mirror.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Position {
    /// Revision up to which the mirror is complete.
    pub revision: Revision,
    /// Revision up to which rows may have changed; none has between it and `revision`.
    pub changed: Revision,
}

/// Changes since a revision, for another instance.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Delta {
    /// Revision up to which the receiving mirror must be complete; `None` if the delta contains
    /// all rows and fits any mirror.
    pub base: Option<Revision>,
    /// Position of a mirror to which the delta has been applied.
    #[serde(rename = "extent")]
    pub position: Position,
    /// The changes since `base`, or all rows.
    pub changes: Vec<Change>,
}

/// Replica of the rows under one prefix.
#[derive(Debug, Default)]
pub struct Mirror {
    snapshot: Mutex<Snapshot>,
}

impl Mirror {
    /// Whether the rows have been read.
    pub fn is_read(&self) -> bool {
        let snapshot = self.snapshot.lock();
        snapshot.is_read || snapshot.revision > Revision::default()
    }

    /// Revision up to which the rows are complete; the default before the first read.
    pub fn revision(&self) -> Revision {
        self.snapshot.lock().revision
    }

    /// Keys of the rows with this prefix, sorted.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let snapshot = self.snapshot.lock();
        let first = snapshot.rows.partition_point(|row| *row.key < *prefix);
        let rows = snapshot.rows[first..].iter();
        let rows = rows.take_while(|row| row.key.starts_with(prefix));
        rows.map(|row| row.key.clone()).collect()
    }

    /// Replication position.
    pub fn position(&self) -> Position {
        let snapshot = self.snapshot.lock();
        Position {
            revision: snapshot.revision,
            changed: snapshot.changed,
        }
    }

    /// Changes that a mirror complete up to `base` is missing.
    ///
    /// The delta contains all rows if `base` is the default or of another era, or if tombstones after
    /// it may be missing here.
    pub fn since(&self, base: Revision) -> Delta {
        let snapshot = self.snapshot.lock();
        let is_full = base < snapshot.forgotten
            || base == Revision::default()
            || base.era != snapshot.revision.era;
        let rows = snapshot
            .rows
            .iter()
            .filter(|entry| is_full || entry.revision > base);
        let mut changes: Vec<Change> = rows
            .map(|entry| Change {
                key: entry.key.clone(),
                value: Some(entry.value.clone()),
                revision: entry.revision,
            })
            .collect();
        let deletions = snapshot
            .tombstones
            .iter()
            .filter(|(_, revision)| !is_full && *revision > base);
        changes.extend(deletions.map(|(key, revision)| Change {
            key: key.clone(),
            value: None,
            revision: *revision,
        }));
        Delta {
            base: (!is_full).then_some(base),
            position: Position {
                revision: snapshot.revision,
                changed: snapshot.changed,
            },
            changes,
        }
    }

    /// Applies a delta from another instance and returns the changes that were new; `None` if this
    /// mirror ends before the delta's base, so that changes between the two are missing. A delta of an
    /// earlier era has nothing new.
    pub fn apply_delta(&self, delta: Delta) -> Option<Vec<Change>> {
        let mut snapshot = self.snapshot.lock();
        let Some(base) = delta.base else {
            drop(snapshot);
            let rows = delta.changes.into_iter().filter_map(|change| {
                Some(platform::table::Row {
                    key: change.key,
                    value: change.value?,
                    revision: change.revision,
                })
            });
            return Some(self.replace(Range {
                revision: delta.position.revision,
                rows: rows.collect(),
                clock: None,
            }));
        };
        if snapshot.revision < base || snapshot.revision.era < delta.position.revision.era {
            return None;
        }
        Some(snapshot.apply_new(delta.changes, delta.position.revision))
    }

    /// Whether this mirror has all changes that another instance's mirror at this position has.
    pub fn has(&self, other: Position) -> bool {
        self.snapshot.lock().has(other)
    }

    /// Advances the revision to that of another instance's mirror; `false` if this mirror is
    /// missing changes that the other one has.
    pub fn advance(&self, other: Position) -> bool {
        let mut snapshot = self.snapshot.lock();
        if !snapshot.has(other) {
            return false;
        }
        if snapshot.revision.era == other.revision.era {
            snapshot.revision = snapshot.revision.max(other.revision);
        }
        true
    }

    /// Replaces all rows by the result of a full read and returns the changes.
    ///
    /// A read that is older than the mirror changes nothing.
    pub fn replace(&self, range: Range) -> Vec<Change> {
        let mut snapshot = self.snapshot.lock();
        if range.revision < snapshot.revision {
            return Vec::new();
        }
        snapshot.is_read = true;
        let deleted = snapshot.rows.iter().filter(|entry| {
            let found = range.rows.binary_search_by(|row| row.key.cmp(&entry.key));
            found.is_err()
        });
        let mut changes: Vec<Change> = deleted
            .map(|entry| Change {
                key: entry.key.clone(),
                value: None,
                revision: range.revision,
            })
            .collect();
        changes.extend(range.rows.into_iter().map(|row| Change {
            key: row.key,
            value: Some(row.value),
            revision: row.revision,
        }));
        if range.revision > snapshot.revision {
            // Rows that were added and deleted since the last read have no tombstone.
            snapshot.forgotten = range.revision;
            snapshot.changed = range.revision;
        }
        snapshot.apply(changes, range.revision)
    }

    /// Applies changes from the table and returns those that were new.
    pub fn apply(&self, changes: Changes) -> Vec<Change> {
        self.snapshot
            .lock()
            .apply_new(changes.rows, changes.revision)
    }

    /// Value of the row with this key.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        self.row(key).map(|(value, _)| value)
    }

    /// Value of the row with this key, and the revision of its last change.
    pub fn row(&self, key: &str) -> Option<(Vec<u8>, Revision)> {
        let snapshot = self.snapshot.lock();
        let found = snapshot
            .rows
            .binary_search_by(|entry| (*entry.key).cmp(key));
        let entry = &snapshot.rows[found.ok()?];
        Some((entry.value.clone(), entry.revision))
    }

    /// Keys and values of the rows whose key begins with `prefix`.
    pub fn with_prefix(&self, prefix: &str) -> Vec<(String, Vec<u8>)> {
        let snapshot = self.snapshot.lock();
        let first = snapshot.rows.partition_point(|entry| *entry.key < *prefix);
        let rows = snapshot.rows[first..].iter();
        rows.take_while(|entry| entry.key.starts_with(prefix))
            .map(|entry| (entry.key.clone(), entry.value.clone()))
            .collect()
    }

    /// Values of the rows whose key begins with `prefix` and that were last changed before
    /// `revision`.
    pub fn values_before(&self, prefix: &str, revision: Revision) -> Vec<Vec<u8>> {
        let snapshot = self.snapshot.lock();
        let first = snapshot.rows.partition_point(|entry| *entry.key < *prefix);
        let rows = snapshot.rows[first..].iter();
        rows.take_while(|entry| entry.key.starts_with(prefix))
            .filter(|entry| entry.revision < revision)
            .map(|entry| entry.value.clone())
            .collect()
    }

    /// All rows, for another instance.
    pub fn snapshot(&self) -> Snapshot {
        self.snapshot.lock().clone()
    }

    /// Replaces all rows by another instance's snapshot, if it is newer, and returns the changes.
    pub fn import(&self, other: Snapshot) -> Vec<Change> {
        if other.revision <= self.revision() {
            return Vec::new();
        }
        let rows = other.rows.into_iter().map(|entry| platform::table::Row {
            key: entry.key,
            value: entry.value,
            revision: entry.revision,
        });
        self.replace(Range {
            revision: other.revision,
            rows: rows.collect(),
            clock: None,
        })
    }
}

impl Snapshot {
    /// Changes of a later era do not fit these rows, even if there are none.
    fn has(&self, other: Position) -> bool {
        if self.revision.era != other.revision.era {
            return self.revision > other.revision;
        }
        self.revision >= other.changed
    }

    /// Like [`Snapshot::apply`], but ignores changes up to the present revision: they may be of rows
    /// that were deleted since.
    fn apply_new(&mut self, mut changes: Vec<Change>, revision: Revision) -> Vec<Change> {
        changes.retain(|change| change.revision > self.revision);
        self.apply(changes, revision)
    }

    /// Applies changes, advances to `revision` and returns the changes that were new.
    fn apply(&mut self, changes: Vec<Change>, revision: Revision) -> Vec<Change> {
        if revision.era < self.revision.era {
            return Vec::new();
        }
        self.revision = self.revision.max(revision);
        let mut applied = changes;
        applied.retain(|change| self.apply_change(change));
        for change in &applied {
            self.changed = self.changed.max(change.revision);
        }
        applied
    }

    fn add_tombstone(&mut self, key: String, revision: Revision) {
        self.tombstones.push_back((key, revision));
        if self.tombstones.len() > MAX_TOMBSTONES
            && let Some((_, revision)) = self.tombstones.pop_front()
        {
            self.forgotten = self.forgotten.max(revision);
        }
    }

    /// Returns `true` if the change was new and is applied.
    fn apply_change(&mut self, change: &Change) -> bool {
        let found = self
            .rows
            .binary_search_by(|entry| entry.key.cmp(&change.key));
        match (found, &change.value) {
            (Ok(index), _) if self.rows[index].revision >= change.revision => false,
            (Ok(index), Some(value)) => {
                self.rows[index].value.clone_from(value);
                self.rows[index].revision = change.revision;
                true
            }
            (Ok(index), None) => {
                let entry = self.rows.remove(index);
                self.add_tombstone(entry.key, change.revision);
                true
            }
            (Err(index), Some(value)) => {
                let entry = Entry {
                    key: change.key.clone(),
                    value: value.clone(),
                    revision: change.revision,
                };
                self.rows.insert(index, entry);
                true
            }
            (Err(_), None) => false,
        }
    }
}

/// Response to an instance that starts: a snapshot of each feed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct State {
    /// Rows written by operators.
    pub operator: Snapshot,
    /// Rows written by endpoints.
    pub endpoints: Snapshot,
    /// Rows written by instances.
    #[serde(rename = "own")]
    pub instances: Snapshot,
}

impl State {
    /// Encodes the state as JSON.
    pub fn encode(&self) -> Bytes {
        // Strings and numbers always encode.
        Bytes::from(serde_json::to_vec(self).unwrap_or_default())
    }
}

/// Copies of all rows of the table that this project reads.
#[derive(Debug, Default)]
pub struct Mirrors {
    /// Rows that operators write.
    pub operator: Mirror,
    /// Rows that endpoints write.
    pub endpoints: Mirror,
    /// Rows that instances write.
    pub instances: Mirror,
}
