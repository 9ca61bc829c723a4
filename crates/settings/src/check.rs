//! Checks a tree as a whole and builds its snapshot.

use std::{
    io,
    time::Duration, //
};

use serde::{
    Serialize,
    de::DeserializeOwned, //
};
use serde_json::Value;

use crate::{
    Digest,
    Document,
    Path,
    Route,
    RouteKind,
    Row,
    Snapshot,
    Tree,
    Workspace,
    snapshot::Entry, //
};

/// Maximum number of rows in a tree.
pub const MAX_ROWS: usize = 131_072;
/// Maximum size of one row's document, in bytes of JSON.
pub const MAX_ROW_BYTES: usize = 16 << 10;
/// Maximum size of a tree, in bytes of paths and JSON. Instances send it to each other
/// as a whole.
pub const MAX_TREE_BYTES: usize = 32 << 20;
/// Maximum rate of a workspace, in tokens per second, and maximum burst, in tokens. Keeps sums over
/// instances and time from overflowing.
pub const MAX_TOKENS: u64 = 1_000_000_000_000;
/// Maximum deadline of a route.
pub const MAX_DEADLINE: Duration = Duration::from_secs(24 * 3600);

/// One reason to refuse a tree.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Serialize, serde::Deserialize)]
pub struct Problem {
    /// Path of the invalid row; `/` for the whole tree.
    pub path: String,
    /// What is wrong and what to do about it.
    pub message: String,
}

impl Problem {
    fn new(path: &Path, message: impl Into<String>) -> Self {
        Self {
            path: path.to_string(),
            message: message.into(),
        }
    }

    fn of_tree(message: String) -> Self {
        Self {
            path: "/".to_owned(),
            message,
        }
    }
}

/// A row that is valid by itself.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ValidRow {
    pub(crate) entry: Entry,
    /// Size of the path and of the JSON document together, in bytes.
    size: usize,
}

/// Checks `tree` as a whole. Of rows shared with a tree checked earlier, only the references
/// and the conflicts with other rows are checked again.
///
/// # Errors
///
/// Every problem found, sorted by path.
pub fn check(tree: &Tree) -> Result<Snapshot, Vec<Problem>> {
    let mut problems = Vec::new();
    let mut entries = Vec::with_capacity(tree.rows().len());
    let mut total_size = 0_usize;
    for cached in tree.cached_rows() {
        match cached.check() {
            Ok(valid) => {
                total_size = total_size.saturating_add(valid.size);
                entries.push((&cached.row.path, &valid.entry));
            }
            Err(found) => problems.extend_from_slice(found),
        }
    }
    check_size(tree, total_size, &mut problems);
    let snapshot = Snapshot::build(tree.revision, entries.iter().map(|(_, entry)| *entry));
    for (path, entry) in &entries {
        check_references(tree, &snapshot, path, entry, &mut problems);
    }
    check_prefixes(&entries, &mut problems);
    check_digests(&entries, &mut problems);
    if problems.is_empty() {
        return Ok(snapshot);
    }
    problems.sort_by(|a, b| a.path.cmp(&b.path));
    Err(problems)
}

/// Checks that `new` may replace `old`: a withdrawn key must not become valid again.
pub fn check_transition(old: &Tree, new: &Tree) -> Vec<Problem> {
    let mut withdrawn: Vec<Digest> = keys(old)
        .filter(|(_, key)| key.withdrawn)
        .map(|(_, key)| key.digest)
        .collect();
    withdrawn.sort_unstable();
    keys(new)
        .filter(|(_, key)| !key.withdrawn && withdrawn.binary_search(&key.digest).is_ok())
        .map(|(path, _)| Problem::new(path, "this key was withdrawn; give a new key instead"))
        .collect()
}

fn keys(tree: &Tree) -> impl Iterator<Item = (&Path, &crate::Key)> {
    tree.cached_rows().iter().filter_map(|cached| {
        let Entry::Key(entry) = &cached.check().ok()?.entry else {
            return None;
        };
        Some((&cached.row.path, &entry.key))
    })
}

fn check_size(tree: &Tree, total_size: usize, problems: &mut Vec<Problem>) {
    let count = tree.rows().len();
    if count > MAX_ROWS {
        problems.push(Problem::of_tree(format!(
            "{count} rows; at most {MAX_ROWS}"
        )));
    }
    if total_size > MAX_TREE_BYTES {
        problems.push(Problem::of_tree(format!(
            "{total_size} bytes in all; at most {MAX_TREE_BYTES}"
        )));
    }
}

/// Checks a row by itself, without regard to other rows.
pub(crate) fn check_row(row: &Row) -> Result<ValidRow, Vec<Problem>> {
    let size = ByteCounter::count(&row.value);
    if size > MAX_ROW_BYTES {
        let message = format!("document of {size} bytes; at most {MAX_ROW_BYTES}");
        return Err(vec![Problem::new(&row.path, message)]);
    }
    let document = parse_document(row).map_err(|problem| vec![problem])?;
    let mut problems = Vec::new();
    check_document(&row.path, &document, &mut problems);
    if !problems.is_empty() {
        return Err(problems);
    }
    Ok(ValidRow {
        entry: Entry::new(&row.path, document),
        size: size + row.path.as_str().len(),
    })
}

fn parse_document(row: &Row) -> Result<Document, Problem> {
    let mut segments = row.path.segments();
    let first_five: [Option<&str>; 5] = std::array::from_fn(|_| segments.next());
    match first_five {
        [Some("teams"), Some(_), Some("workspaces"), Some(_), None] => {
            parse(row).map(Document::Workspace)
        }
        [Some("teams"), Some(_), Some("keys"), Some(_), None] => parse(row).map(Document::Key),
        [Some("teams"), Some(_), Some("routes"), Some(_), None] => parse(row).map(Document::Route),
        [Some("fleet"), Some("endpoints"), Some(_), None, None] => {
            parse(row).map(Document::Endpoint)
        }
        [Some("fleet"), Some("models"), Some(_), None, None] => parse(row).map(Document::Model),
        [Some("operators"), Some(_), None, None, None] => parse(row).map(Document::Operator),
        _ => Err(Problem::new(
            &row.path,
            "no setting has this path; use /teams/<team>/{workspaces,keys,routes}/<name>, \
             /fleet/{endpoints,models}/<name> or /operators/<name>",
        )),
    }
}

/// Parses the document of a row as a `T`.
fn parse<T: DeserializeOwned>(row: &Row) -> Result<T, Problem> {
    T::deserialize(&row.value).map_err(|error| Problem::new(&row.path, error.to_string()))
}

fn check_document(path: &Path, document: &Document, problems: &mut Vec<Problem>) {
    match document {
        Document::Route(route) => check_route(path, route, problems),
        Document::Workspace(workspace) => check_workspace(path, workspace, problems),
        Document::Operator(operator) => check_subtree(path, &operator.subtree, problems),
        Document::Endpoint(endpoint) if endpoint.slots == 0 => {
            problems.push(Problem::new(path, "slots is 0; use 1 or more"));
        }
        Document::Endpoint(_) | Document::Key(_) | Document::Model(_) => {}
    }
}

/// Reports references to rows that do not exist. A row that exists but is invalid is not reported
/// a second time.
fn check_references(
    tree: &Tree,
    snapshot: &Snapshot,
    path: &Path,
    entry: &Entry,
    problems: &mut Vec<Problem>,
) {
    let mut report_if_missing = |target: String, kind: &str| {
        if tree.get_str(&target).is_none() {
            let message = format!("{kind} {target} does not exist; create it first");
            problems.push(Problem::new(path, message));
        }
    };
    match entry {
        Entry::Key(key) if snapshot.workspace(&key.workspace).is_none() => {
            let team = path.segments().nth(1).unwrap_or_default();
            let target = format!("/teams/{team}/workspaces/{}", key.key.workspace);
            report_if_missing(target, "workspace");
        }
        Entry::Route(route) => {
            for name in &route.route.endpoints {
                if snapshot.endpoint(name).is_none() {
                    report_if_missing(format!("/fleet/endpoints/{name}"), "endpoint");
                }
            }
        }
        _ => {}
    }
}

fn check_route(path: &Path, route: &Route, problems: &mut Vec<Problem>) {
    if route.endpoints.is_empty() {
        problems.push(Problem::new(path, "endpoints is empty; name at least one"));
    }
    if route.deadline.is_zero() || route.deadline > MAX_DEADLINE {
        let max_ms = MAX_DEADLINE.as_millis();
        let message = format!("deadline_ms must be from 1 to {max_ms}");
        problems.push(Problem::new(path, message));
    }
    if let RouteKind::Plain { prefix } = &route.kind
        && !is_valid_prefix(prefix)
    {
        let message = format!(
            "prefix {prefix:?} must be \"/\" and segments of a-z A-Z 0-9 - _ . ~, \
             with no \"/\" at its end, and must not start with \"/v1\""
        );
        problems.push(Problem::new(path, message));
    }
}

fn check_workspace(path: &Path, workspace: &Workspace, problems: &mut Vec<Problem>) {
    if workspace.weight == 0 {
        problems.push(Problem::new(path, "weight is 0; use 1 or more"));
    }
    if workspace.rate > MAX_TOKENS || workspace.burst > MAX_TOKENS {
        let message = format!("rate and burst must be at most {MAX_TOKENS}");
        problems.push(Problem::new(path, message));
    }
}

/// Only the root operator may write `/operators`, so no subtree may contain that path.
fn check_subtree(path: &Path, subtree: &str, problems: &mut Vec<Problem>) {
    let is_allowed = subtree
        .parse::<Path>()
        .is_ok_and(|subtree| subtree.is_under("/teams") || subtree.is_under("/fleet"));
    if !is_allowed {
        let message = format!("subtree {subtree:?} must be /teams or /fleet or a path below");
        problems.push(Problem::new(path, message));
    }
}

/// Checks that no two keys, of callers or operators, have the same digest.
fn check_digests(entries: &[(&Path, &Entry)], problems: &mut Vec<Problem>) {
    let mut digests: Vec<(Digest, &Path)> = entries
        .iter()
        .filter_map(|(path, entry)| match entry {
            Entry::Key(key) => Some((key.key.digest, *path)),
            Entry::Operator(_, operator) => Some((operator.digest, *path)),
            _ => None,
        })
        .collect();
    digests.sort_unstable();
    for pair in digests.windows(2) {
        if pair[0].0 == pair[1].0 {
            // The earlier path may belong to another team, so the message does not name it.
            let message = "another key has this digest; generate a new key";
            problems.push(Problem::new(pair[1].1, message));
        }
    }
}

/// Checks that no two plain routes have the same prefix, even of different teams, since requests
/// to open routes name no team.
fn check_prefixes(entries: &[(&Path, &Entry)], problems: &mut Vec<Problem>) {
    let mut prefixes: Vec<(&str, &Path)> = Vec::new();
    for (path, entry) in entries {
        let Entry::Route(route) = entry else {
            continue;
        };
        if let RouteKind::Plain { prefix } = &route.route.kind {
            prefixes.push((prefix, path));
        }
    }
    prefixes.sort_unstable();
    for pair in prefixes.windows(2) {
        if pair[0].0 == pair[1].0 {
            problems.push(Problem::new(
                pair[1].1,
                format!("prefix {:?} is taken by {}", pair[1].0, pair[0].1),
            ));
        }
    }
}

fn is_valid_prefix(prefix: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | '~');
    let is_segment =
        |segment: &str| !matches!(segment, "" | "." | "..") && segment.chars().all(allowed);
    let Some(rest) = prefix.strip_prefix('/') else {
        return false;
    };
    !prefix.starts_with("/v1") && rest.split('/').all(is_segment)
}

/// A writer that counts bytes and discards them.
#[derive(Debug, Default)]
struct ByteCounter(usize);

impl ByteCounter {
    /// Returns the size of a value as JSON text, in bytes.
    fn count(value: &Value) -> usize {
        let mut counter = Self::default();
        match serde_json::to_writer(&mut counter, value) {
            Ok(()) => counter.0,
            // Unreachable: the writer never fails, and the keys of a JSON value are strings.
            Err(_) => usize::MAX,
        }
    }
}

impl io::Write for ByteCounter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0 += bytes.len();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
