//! Copies of the table's rows, which only ever move forward.

use std::collections::VecDeque;

use bytes::Bytes;
use parking_lot::Mutex;
use platform::table::{
    Change,
    Changes,
    Range, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use serde_with::{
    base64::Base64,
    serde_as, //
};

/// One row as it is kept and passed to other instances.
#[serde_as]
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
struct Kept {
    key: String,
    #[serde_as(as = "Base64")]
    value: Vec<u8>,
    revision: u64,
}

/// Rows that were deleted, kept so that others can be told of them.
const MAX_DELETED: usize = 256;

/// All rows under one prefix, at one revision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Copy {
    revision: u64,
    /// Revision of the last change; nothing has changed between it and `revision`.
    changed: u64,
    /// Rows that were deleted, oldest first.
    #[serde(skip)]
    deleted: VecDeque<(String, u64)>,
    /// Deletions up to this revision are not known any more.
    #[serde(skip)]
    forgotten: u64,
    /// # Invariants
    ///
    /// Sorted by key, each once.
    rows: Vec<Kept>,
}

/// How far a copy goes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Extent {
    /// Revision up to which it is complete.
    pub revision: u64,
    /// Revision of the last change; nothing has changed between the two.
    pub changed: u64,
}

/// What follows a revision that another instance has.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Delta {
    /// Whom this is for: complete copies up to this revision, or any if all rows are here.
    pub base: Option<u64>,
    /// How far the copy goes with it.
    pub extent: Extent,
    /// The changes, or all rows.
    pub changes: Vec<Change>,
}

/// The rows under one prefix.
#[derive(Debug, Default)]
pub struct Mirror {
    copy: Mutex<Copy>,
}

impl Mirror {
    /// Revision up to which the rows are complete; 0 before the first read.
    pub fn revision(&self) -> u64 {
        self.copy.lock().revision
    }

    /// How far the copy goes.
    pub fn extent(&self) -> Extent {
        let copy = self.copy.lock();
        Extent {
            revision: copy.revision,
            changed: copy.changed,
        }
    }

    /// What an instance lacks whose copy is complete up to `base`.
    pub fn since(&self, base: u64) -> Delta {
        let copy = self.copy.lock();
        let whole = base < copy.forgotten || base == 0;
        let rows = copy
            .rows
            .iter()
            .filter(|kept| whole || kept.revision > base);
        let mut changes: Vec<Change> = rows
            .map(|kept| Change {
                key: kept.key.clone(),
                value: Some(kept.value.clone()),
                revision: kept.revision,
            })
            .collect();
        let deleted = copy.deleted.iter().filter(|(_, at)| !whole && *at > base);
        changes.extend(deleted.map(|(key, revision)| Change {
            key: key.clone(),
            value: None,
            revision: *revision,
        }));
        Delta {
            base: (!whole).then_some(base),
            extent: Extent {
                revision: copy.revision,
                changed: copy.changed,
            },
            changes,
        }
    }

    /// Takes in what another instance passes on and returns what is news; `None` if changes
    /// between the two copies are missing.
    pub fn take(&self, delta: Delta) -> Option<Vec<Change>> {
        let mut copy = self.copy.lock();
        let Some(base) = delta.base else {
            drop(copy);
            let rows = delta.changes.into_iter().filter_map(|change| {
                Some(platform::table::Row {
                    key: change.key,
                    value: change.value?,
                    revision: change.revision,
                })
            });
            return Some(self.replace(Range {
                revision: delta.extent.revision,
                rows: rows.collect(),
                clock: None,
            }));
        };
        if copy.revision < base {
            return None;
        }
        Some(copy.take_in(delta.changes, delta.extent.revision))
    }

    /// Notes how far another instance's copy goes; `false` if this one lacks changes.
    pub fn agree(&self, other: Extent) -> bool {
        let mut copy = self.copy.lock();
        if copy.revision < other.changed {
            return false;
        }
        copy.revision = copy.revision.max(other.revision);
        true
    }

    /// Takes over a full read and returns what it changes.
    ///
    /// A read older than what is known changes nothing.
    pub fn replace(&self, range: Range) -> Vec<Change> {
        let mut copy = self.copy.lock();
        if range.revision < copy.revision {
            return Vec::new();
        }
        let gone = copy.rows.iter().filter(|kept| {
            let found = range.rows.binary_search_by(|row| row.key.cmp(&kept.key));
            found.is_err()
        });
        let mut changes: Vec<Change> = gone
            .map(|kept| Change {
                key: kept.key.clone(),
                value: None,
                revision: range.revision,
            })
            .collect();
        changes.extend(range.rows.into_iter().map(|row| Change {
            key: row.key,
            value: Some(row.value),
            revision: row.revision,
        }));
        copy.take_in(changes, range.revision)
    }

    /// Takes in changes and returns those that are news.
    pub fn apply(&self, changes: Changes) -> Vec<Change> {
        self.copy.lock().take_in(changes.rows, changes.revision)
    }

    /// Value of the row with this key.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        let copy = self.copy.lock();
        let place = copy.rows.binary_search_by(|kept| (*kept.key).cmp(key));
        place.ok().map(|index| copy.rows[index].value.clone())
    }

    /// The rows, for another instance.
    pub fn copy(&self) -> Copy {
        self.copy.lock().clone()
    }

    /// Takes over the rows of another instance, unless as much is known, and returns what that
    /// changes.
    pub fn import(&self, other: Copy) -> Vec<Change> {
        if other.revision <= self.revision() {
            return Vec::new();
        }
        self.copy.lock().forgotten = other.revision;
        let rows = other.rows.into_iter().map(|kept| platform::table::Row {
            key: kept.key,
            value: kept.value,
            revision: kept.revision,
        });
        self.replace(Range {
            revision: other.revision,
            rows: rows.collect(),
            clock: None,
        })
    }
}

impl Copy {
    fn take_in(&mut self, changes: Vec<Change>, revision: u64) -> Vec<Change> {
        self.revision = self.revision.max(revision);
        let mut news = changes;
        news.retain(|change| self.put(change));
        for change in &news {
            self.changed = self.changed.max(change.revision);
        }
        news
    }

    fn bury(&mut self, key: String, revision: u64) {
        self.deleted.push_back((key, revision));
        if self.deleted.len() > MAX_DELETED
            && let Some((_, revision)) = self.deleted.pop_front()
        {
            self.forgotten = self.forgotten.max(revision);
        }
    }

    /// Whether the change is news.
    fn put(&mut self, change: &Change) -> bool {
        let place = self.rows.binary_search_by(|kept| kept.key.cmp(&change.key));
        match (place, &change.value) {
            (Ok(index), _) if self.rows[index].revision >= change.revision => false,
            (Ok(index), Some(value)) => {
                self.rows[index].value.clone_from(value);
                self.rows[index].revision = change.revision;
                true
            }
            (Ok(index), None) => {
                let kept = self.rows.remove(index);
                self.bury(kept.key, change.revision);
                true
            }
            (Err(index), Some(value)) => {
                let kept = Kept {
                    key: change.key.clone(),
                    value: value.clone(),
                    revision: change.revision,
                };
                self.rows.insert(index, kept);
                true
            }
            (Err(_), None) => false,
        }
    }
}

/// What one instance tells another that starts: a copy of each prefix.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct State {
    /// What operators wrote.
    pub operator: Copy,
    /// What endpoints wrote.
    pub endpoints: Copy,
    /// What instances wrote.
    pub own: Copy,
}

impl State {
    /// The state as text.
    pub fn encode(&self) -> Bytes {
        // Texts and numbers always encode.
        Bytes::from(serde_json::to_vec(self).unwrap_or_default())
    }
}
