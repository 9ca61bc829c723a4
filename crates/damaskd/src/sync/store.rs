//! Stores the settings tree in rows of the platform's table.
//!
//! `settings/live/head` holds the revision and `settings/live/rows<path>` the documents; one
//! range read returns both as of one table revision. `settings/history/<revision>` holds the
//! commit that made the revision, and `settings/writes/<write id>` the record of each write.

use platform::{
    http::Fault,
    table::{
        Revision,
        Row as TableRow,
        Table,
        Txn, //
    }, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::Value;
use settings::{
    Path,
    Row,
    Tree, //
};

const HEAD_KEY: &str = "settings/live/head";
const LIVE_PREFIX: &str = "settings/live/";
const ROW_PREFIX: &str = "settings/live/rows";
const HISTORY_PREFIX: &str = "settings/history/";
const RECORD_PREFIX: &str = "settings/writes/";
/// Revisions in one bucket of the history: their keys differ only in the last two digits, so one
/// range read returns them all.
const REVISIONS_PER_BUCKET: u64 = 100;

/// A change of one row.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Path of the row.
    pub path: Path,
    /// The new document; `None` to remove the row.
    pub value: Option<Value>,
}

/// An accepted set of changes, as stored in the history.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Commit {
    /// Revision that the commit made.
    pub revision: u64,
    /// Name of the operator.
    pub author: String,
    /// Wall-clock time of the writing instance, in milliseconds since 1970.
    #[serde(default)]
    pub at_ms: u64,
    /// Chosen by the writer, to find out whether the write was applied if its answer is lost.
    pub write_id: String,
    /// The changes.
    pub changes: Vec<Change>,
}

/// The record of one write, which holds its outcome.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// The write was accepted.
    Accepted {
        /// Revision that the write made.
        revision: u64,
        /// Digest of the changes, to tell a repeat from another write with the same id.
        changes: String,
    },
    /// The write was cancelled; a delayed transaction of the write fails because of this record.
    Cancelled,
}

/// The settings tree in the table, with the table revision of its head row.
#[derive(Clone, Debug)]
pub struct LiveTree {
    /// The tree.
    pub tree: Tree,
    /// Table revision of the head row.
    pub head_revision: Revision,
}

#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
struct Head {
    revision: u64,
}

/// Reads the settings revision in the table; 0 if there are no settings yet.
///
/// # Errors
///
/// If the table does not answer.
pub async fn read_revision<T: Table>(table: &T) -> Result<u64, Fault> {
    Ok(table
        .get(HEAD_KEY)
        .await?
        .map_or(0, |row| parse_head(&row.value)))
}

/// Reads the whole tree.
///
/// # Errors
///
/// If the table does not answer.
pub async fn read_tree<T: Table>(table: &T) -> Result<LiveTree, Fault> {
    let range = table.range(LIVE_PREFIX).await?;
    let mut revision = 0;
    let mut table_revision = Revision::ABSENT;
    let mut rows = Vec::new();
    for row in range.rows {
        if row.key == HEAD_KEY {
            revision = parse_head(&row.value);
            table_revision = row.revision;
            continue;
        }
        let path = row
            .key
            .strip_prefix(ROW_PREFIX)
            .and_then(|path| path.parse().ok());
        let value = serde_json::from_slice(&row.value).ok();
        if let (Some(path), Some(value)) = (path, value) {
            rows.push(Row { path, value });
        }
    }
    Ok(LiveTree {
        tree: Tree::new(revision, rows),
        head_revision: table_revision,
    })
}

/// The settings revision in the head row; 0 if the row cannot be parsed.
fn parse_head(value: &[u8]) -> u64 {
    serde_json::from_slice::<Head>(value)
        .map(|head| head.revision)
        .unwrap_or_default()
}

/// The tree of the next revision, with the changes applied.
pub fn apply(tree: &Tree, changes: &[Change]) -> Tree {
    let mut tree = tree.clone();
    tree.revision += 1;
    for change in changes {
        match &change.value {
            Some(value) => tree.set(Row {
                path: change.path.clone(),
                value: value.clone(),
            }),
            None => {
                tree.remove(&change.path);
            }
        }
    }
    tree
}

/// Reads the record of the write with this id, and the table revision of the record.
///
/// # Errors
///
/// If the table does not answer.
pub async fn read_record<T: Table>(
    table: &T,
    write_id: &str,
) -> Result<(Option<Record>, Revision), Fault> {
    let Some(row) = table.get(&record_key(write_id)).await? else {
        return Ok((None, Revision::ABSENT));
    };
    Ok((parse_record(&row), row.revision))
}

/// Parses the record of a write; `None` if it is malformed.
pub fn parse_record(row: &TableRow) -> Option<Record> {
    serde_json::from_slice(&row.value).ok()
}

/// The transaction that makes `commit` if neither the head nor the record of the write has
/// changed since these table revisions.
pub fn transaction(
    commit: &Commit,
    record: &Record,
    head_revision: Revision,
    record_revision: Revision,
) -> Txn {
    let head = Head {
        revision: commit.revision,
    };
    let record_key = record_key(&commit.write_id);
    let mut txn = Txn::default()
        .when(HEAD_KEY, head_revision)
        .when(&record_key, record_revision)
        .put(HEAD_KEY, to_json(&head))
        .put(&record_key, to_json(record))
        .put(history_key(commit.revision), to_json(commit));
    for change in &commit.changes {
        let key = format!("{ROW_PREFIX}{}", change.path);
        txn = match &change.value {
            Some(value) => txn.put(key, value.to_string()),
            None => txn.delete(key),
        };
    }
    txn
}

/// The transaction that cancels a write whose answer was lost, unless the write was applied.
pub fn cancellation(write_id: &str, record_revision: Revision) -> Txn {
    let key = record_key(write_id);
    Txn::default()
        .when(&key, record_revision)
        .put(&key, to_json(&Record::Cancelled))
}

fn to_json<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}

fn history_key(revision: u64) -> String {
    format!("{HISTORY_PREFIX}{revision:020}")
}

fn record_key(write_id: &str) -> String {
    format!("{RECORD_PREFIX}{write_id}")
}

/// Reads the commit that made `revision`; `None` if there is none.
///
/// # Errors
///
/// If the table does not answer.
pub async fn read_commit<T: Table>(table: &T, revision: u64) -> Result<Option<Commit>, Fault> {
    let row = table.get(&history_key(revision)).await?;
    Ok(row.and_then(|row| serde_json::from_slice(&row.value).ok()))
}

/// Reads at most `limit` commits up to revision `last`, newest first.
///
/// # Errors
///
/// If the table does not answer.
pub async fn read_commits<T: Table>(
    table: &T,
    last: u64,
    limit: usize,
) -> Result<Vec<Commit>, Fault> {
    let mut commits: Vec<Commit> = Vec::new();
    let mut bucket = last / REVISIONS_PER_BUCKET;
    loop {
        let range = table
            .range(&format!("{HISTORY_PREFIX}{bucket:018}"))
            .await?;
        let parsed = range
            .rows
            .iter()
            .rev()
            .filter_map(|row| serde_json::from_slice::<Commit>(&row.value).ok());
        commits.extend(parsed.filter(|commit| commit.revision <= last));
        if commits.len() >= limit || bucket == 0 {
            commits.truncate(limit);
            return Ok(commits);
        }
        bucket -= 1;
    }
}
