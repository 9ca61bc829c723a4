//! The tree as operators wrote it: sorted rows with one revision for the whole tree.

use std::sync::{
    Arc,
    OnceLock, //
};

use serde::{
    Deserialize,
    Serialize,
    Serializer, //
};
use serde_json::Value;

use crate::{
    Path,
    Problem,
    check::{
        self,
        ValidRow, //
    }, //
};

/// A path with its JSON document.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Row {
    /// Path of the document in the tree.
    pub path: Path,
    /// The document, not yet checked.
    pub value: Value,
}

/// A row with the cached result of its check, shared by all trees that contain it.
///
/// Trees of neighbouring revisions differ in a few rows, so that the cache saves the check of all
/// other rows.
#[derive(Debug)]
pub(crate) struct CachedRow {
    pub(crate) row: Row,
    result: OnceLock<Result<ValidRow, Vec<Problem>>>,
}

impl CachedRow {
    fn new(row: Row) -> Arc<Self> {
        Arc::new(Self {
            row,
            result: OnceLock::new(),
        })
    }

    /// Checks the row by itself, without regard to other rows, on the first call only.
    ///
    /// # Errors
    ///
    /// Every problem of the row.
    pub(crate) fn check(&self) -> Result<&ValidRow, &[Problem]> {
        let result = self.result.get_or_init(|| check::check_row(&self.row));
        result.as_ref().map_err(Vec::as_slice)
    }
}

impl PartialEq for CachedRow {
    fn eq(&self, other: &Self) -> bool {
        self.row == other.row
    }
}

/// All settings rows at one revision.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(from = "Unsorted")]
pub struct Tree {
    /// Number of commits accepted so far; 0 is the empty tree.
    pub revision: u64,
    /// # Invariants
    ///
    /// Sorted by path, each path once.
    #[serde(serialize_with = "serialize")]
    rows: Vec<Arc<CachedRow>>,
}

fn serialize<S: Serializer>(rows: &[Arc<CachedRow>], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_seq(rows.iter().map(|cached| &cached.row))
}

/// Serialized form of a tree, whose rows may be in any order.
#[derive(Deserialize)]
struct Unsorted {
    revision: u64,
    rows: Vec<Row>,
}

impl From<Unsorted> for Tree {
    fn from(tree: Unsorted) -> Self {
        Self::new(tree.revision, tree.rows)
    }
}

impl Tree {
    /// Builds a tree; of several rows with the same path, the last one wins.
    pub fn new(revision: u64, rows: impl IntoIterator<Item = Row>) -> Self {
        let mut rows: Vec<Row> = rows.into_iter().collect();
        // The sort is stable, so the last row given for a path is the last of its group.
        rows.sort_by(|a, b| a.path.cmp(&b.path));
        rows.dedup_by(|later, earlier| {
            let same_path = later.path == earlier.path;
            if same_path {
                std::mem::swap(later, earlier);
            }
            same_path
        });
        let rows = rows.into_iter().map(CachedRow::new).collect();
        Self { revision, rows }
    }

    /// Returns the rows, sorted by path.
    pub fn rows(&self) -> impl ExactSizeIterator<Item = &Row> {
        self.rows.iter().map(|cached| &cached.row)
    }

    /// Returns the rows with the cached results of their checks, sorted by path.
    pub(crate) fn cached_rows(&self) -> &[Arc<CachedRow>] {
        &self.rows
    }

    /// Returns the rows that are new or different in `newer`, and the paths that `newer` lacks.
    pub fn diff(&self, newer: &Self) -> (Vec<Row>, Vec<Path>) {
        let (mut set, mut removed) = (Vec::new(), Vec::new());
        let mut old = self.rows.iter().peekable();
        for new in &newer.rows {
            let path = &new.row.path;
            while let Some(missing) = old.next_if(|old| old.row.path < *path) {
                removed.push(missing.row.path.clone());
            }
            let previous = old.next_if(|old| old.row.path == *path);
            if previous.is_none_or(|old| !Arc::ptr_eq(old, new) && old != new) {
                set.push(new.row.clone());
            }
        }
        removed.extend(old.map(|old| old.row.path.clone()));
        (set, removed)
    }

    /// Returns the document at `path`.
    pub fn get(&self, path: &Path) -> Option<&Value> {
        self.get_str(path.as_str())
    }

    /// Returns the document at a path that may be malformed.
    pub(crate) fn get_str(&self, path: &str) -> Option<&Value> {
        let rows = &self.rows;
        let index = rows
            .binary_search_by(|cached| cached.row.path.as_str().cmp(path))
            .ok()?;
        Some(&rows[index].row.value)
    }

    /// Inserts a row, or replaces the row with the same path.
    pub fn set(&mut self, row: Row) {
        match self.find(&row.path) {
            Ok(index) => self.rows[index] = CachedRow::new(row),
            Err(index) => self.rows.insert(index, CachedRow::new(row)),
        }
    }

    /// Removes the row at `path`, if any.
    pub fn remove(&mut self, path: &Path) {
        if let Ok(index) = self.find(path) {
            self.rows.remove(index);
        }
    }

    /// Returns the index of the row at `path`, or else the index at which to insert it.
    fn find(&self, path: &Path) -> Result<usize, usize> {
        self.rows
            .binary_search_by(|cached| cached.row.path.cmp(path))
    }
}
