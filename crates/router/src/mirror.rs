//! Copies of the table's rows, which only ever move forward.

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

/// All rows under one prefix, at one revision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Copy {
    revision: u64,
    /// # Invariants
    ///
    /// Sorted by key, each once.
    rows: Vec<Kept>,
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
        let rows = other.rows.into_iter().map(|kept| platform::table::Row {
            key: kept.key,
            value: kept.value,
            revision: kept.revision,
        });
        self.replace(Range {
            revision: other.revision,
            rows: rows.collect(),
        })
    }
}

impl Copy {
    fn take_in(&mut self, changes: Vec<Change>, revision: u64) -> Vec<Change> {
        self.revision = self.revision.max(revision);
        let mut news = changes;
        news.retain(|change| self.put(change));
        news
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
                self.rows.remove(index);
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
