//! Reads settings from a directory tree and compares them with the settings of an instance.

use std::{
    fs,
    path::Path as FilePath, //
};

use anyhow::Context;
use serde_json::Value;
use settings::{
    Path,
    Row,
    Tree, //
};
use similar::TextDiff;

use crate::{
    args::Scope,
    client::Change, //
};

/// Unchanged lines that a diff shows before and after a change.
const CONTEXT_LINES: usize = 3;

/// Reads the documents below a directory; `a/b.json` holds the document of path `/a/b`.
///
/// # Errors
///
/// Fails if a file cannot be read, is not JSON, or its name does not give a valid path. The
/// error names the file.
pub fn read(directory: &FilePath) -> anyhow::Result<Tree> {
    let mut rows = Vec::new();
    read_rows(directory, "", &mut rows)?;
    Ok(Tree::new(0, rows))
}

fn read_rows(directory: &FilePath, prefix: &str, rows: &mut Vec<Row>) -> anyhow::Result<()> {
    let read_error = || format!("{}: cannot be read", directory.display());
    for entry in fs::read_dir(directory).with_context(read_error)? {
        let file = entry.with_context(read_error)?.path();
        if file.is_dir() {
            let name = file.file_name().unwrap_or_default().to_string_lossy();
            read_rows(&file, &format!("{prefix}/{name}"), rows)?;
        } else if file.extension().is_some_and(|e| e == "json") {
            let stem = file.file_stem().unwrap_or_default().to_string_lossy();
            let rename_hint = || format!("{}: rename the file", file.display());
            let path: Path = format!("{prefix}/{stem}")
                .parse()
                .with_context(rename_hint)?;
            let value = read_document(&file)?;
            rows.push(Row { path, value });
        }
    }
    Ok(())
}

/// Reads one JSON document; `-` reads standard input.
///
/// # Errors
///
/// Fails if the file cannot be read or is not JSON. The error names the file and, for invalid
/// JSON, the line and column.
pub fn read_document(file: &FilePath) -> anyhow::Result<Value> {
    let text = if file == FilePath::new("-") {
        std::io::read_to_string(std::io::stdin())
    } else {
        fs::read_to_string(file)
    };
    let text = text.with_context(|| format!("{}: cannot be read", file.display()))?;
    serde_json::from_str(&text).with_context(|| format!("{}: not valid JSON", file.display()))
}

/// Returns the changes that turn `settings` into `desired` within the scope. Rows missing from
/// `desired` are removed only if the scope prunes.
pub fn compare(settings: &Tree, desired: &Tree, scope: &Scope) -> Vec<Change> {
    let within = |row: &&Row| row.path.is_under(&scope.under);
    let mut changes: Vec<Change> = desired
        .rows()
        .filter(within)
        .filter(|row| settings.get(&row.path) != Some(&row.value))
        .map(|row| Change {
            path: row.path.clone(),
            value: Some(row.value.clone()),
        })
        .collect();
    if scope.prune {
        let removed = settings.rows().filter(within);
        let removed = removed.filter(|row| desired.get(&row.path).is_none());
        changes.extend(removed.map(|row| Change {
            path: row.path.clone(),
            value: None,
        }));
        changes.sort_by(|a, b| a.path.cmp(&b.path));
    }
    changes
}

/// Formats the changes as a unified diff.
pub fn format_diff(settings: &Tree, changes: &[Change]) -> String {
    let mut text = String::new();
    for change in changes {
        let old = format_document(settings.get(&change.path));
        let new = format_document(change.value.as_ref());
        let path = change.path.as_str();
        let header = |document: &str, side: &str| match document.is_empty() {
            true => "/dev/null".to_owned(),
            false => format!("{side}{path}"),
        };
        let diff = TextDiff::from_lines(&old, &new);
        let mut unified = diff.unified_diff();
        unified.context_radius(CONTEXT_LINES);
        unified.header(&header(&old, "a"), &header(&new, "b"));
        text.push_str(&unified.to_string());
    }
    text
}

fn format_document(value: Option<&Value>) -> String {
    value.map_or_else(String::new, |value| format!("{value:#}\n"))
}
