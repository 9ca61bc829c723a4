//! The `settings` commands.

use std::{
    path::Path as FilePath,
    time::{
        Duration,
        SystemTime, //
    }, //
};

use anyhow::anyhow;
use schemars::schema_for;
use serde_json::{
    Value,
    json, //
};
use settings::{
    Path,
    Tree, //
};

use crate::{
    args::{
        Scope,
        Target,
        Write, //
    },
    client::{
        self,
        Accepted,
        Change, //
    },
    directory,
    exit::{
        Exit,
        Failure,
        Result, //
    },
    wait, //
};

/// Latest time since the Unix epoch that the date formatter accepts: the end of the year 9999.
const MAX_TIME: Duration = Duration::from_secs(253_402_300_799);

/// Prints the document at a path.
pub async fn get(target: &Target, path: &Path) -> Result<()> {
    let tree = client::get_tree(target).await?;
    let Some(value) = tree.get(path) else {
        let message = "no such row, or your key may not read it; see settings list";
        return Err(anyhow!("{path}: {message}").into());
    };
    if target.json {
        println!(
            "{}",
            json!({"revision": tree.revision, "path": path, "value": value})
        );
    } else {
        println!("{value:#}");
    }
    Ok(())
}

/// Lists the paths below a prefix.
pub async fn list(target: &Target, prefix: &str) -> Result<()> {
    let tree = client::get_tree(target).await?;
    let rows: Vec<_> = tree
        .rows()
        .filter(|row| row.path.is_under(prefix))
        .collect();
    if target.json {
        println!("{}", json!({"revision": tree.revision, "rows": rows}));
        return Ok(());
    }
    println!("revision {}", tree.revision);
    for row in rows {
        println!("{}", row.path);
    }
    Ok(())
}

/// Writes the document in a file to a path.
pub async fn set(target: &Target, path: Path, file: &FilePath, write: &Write) -> Result<()> {
    let value = Some(directory::read_document(file)?);
    write_changes(target, &[Change { path, value }], write).await
}

/// Removes the document at a path.
pub async fn remove(target: &Target, path: Path, write: &Write) -> Result<()> {
    let tree = client::get_tree(target).await?;
    if tree.get(&path).is_none() {
        return Err(anyhow!("{path}: no such row, or your key may not read it").into());
    }
    write_changes(target, &[Change { path, value: None }], write).await
}

/// Prints the changes that [`apply`] would make, as a diff.
pub async fn diff(target: &Target, scope: &Scope) -> Result<()> {
    let (tree, changes) = compare(target, scope).await?;
    print_changes(target, &tree, &changes);
    Ok(())
}

/// Writes the changes that turn the settings into those of a directory, all or none.
pub async fn apply(target: &Target, scope: &Scope, write: &Write) -> Result<()> {
    let (tree, changes) = compare(target, scope).await?;
    if write.dry_run && !target.json {
        print_changes(target, &tree, &changes);
    }
    if changes.is_empty() {
        let accepted = Accepted {
            revision: tree.revision,
            confirmed: true,
        };
        return report(target, accepted, 0, write).await;
    }
    let write = Write {
        base_revision: Some(write.base_revision.unwrap_or(tree.revision)),
        ..write.clone()
    };
    write_changes(target, &changes, &write).await
}

async fn compare(target: &Target, scope: &Scope) -> Result<(Tree, Vec<Change>)> {
    let desired = directory::read(&scope.directory)?;
    let tree = client::get_tree(target).await?;
    let changes = directory::compare(&tree, &desired, scope);
    Ok((tree, changes))
}

fn print_changes(target: &Target, tree: &Tree, changes: &[Change]) {
    if target.json {
        println!("{}", json!({"revision": tree.revision, "changes": changes}));
        return;
    }
    println!(
        "{} to revision {}",
        format_count(changes.len()),
        tree.revision
    );
    print!("{}", directory::format_diff(tree, changes));
}

/// Writes changes and prints the result.
///
/// # Errors
///
/// Fails if the changes are refused. Fails with [`Exit::Partial`] if they are accepted, but with
/// `--wait` not in force at every live instance in time, or without it not held by a majority of
/// the instances.
pub async fn write_changes(target: &Target, changes: &[Change], write: &Write) -> Result<()> {
    let accepted = client::write_changes(target, changes, write).await?;
    report(target, accepted, changes.len(), write).await
}

async fn report(target: &Target, accepted: Accepted, count: usize, write: &Write) -> Result<()> {
    let Accepted {
        revision,
        confirmed,
    } = accepted;
    if let (Some(timeout), false) = (write.wait_timeout, write.dry_run) {
        wait::in_force(target, revision, timeout).await?;
    }
    if target.json {
        let document = json!({
            "revision": revision,
            "changes": count,
            "confirmed": confirmed,
            "dry_run": write.dry_run,
        });
        println!("{document}");
    } else if write.dry_run {
        println!("{}: checked, nothing was changed", format_count(count));
    } else {
        println!("revision {revision}, {}", format_count(count));
    }
    if confirmed || write.dry_run || write.wait_timeout.is_some() {
        return Ok(());
    }
    let message = "accepted, but no majority of the instances has it yet; see status";
    Err(Failure::new(Exit::Partial, anyhow!(message)))
}

fn format_count(changes: usize) -> String {
    match changes {
        1 => "1 change".to_owned(),
        count => format!("{count} changes"),
    }
}

/// Prints the author, time and paths of at most `limit` commits, newest first, starting with
/// revision `last`.
pub async fn history(target: &Target, last: Option<u64>, limit: Option<u64>) -> Result<()> {
    let query: Vec<String> = [("last", last), ("most", limit)]
        .iter()
        .filter_map(|(name, value)| Some(format!("{name}={}", (*value)?)))
        .collect();
    let path = format!("/operator/v1/settings/history?{}", query.join("&"));
    let document = client::get(target, &path).await?;
    if target.json {
        println!("{document}");
        return Ok(());
    }
    for commit in document["commits"].as_array().into_iter().flatten() {
        let author = commit["author"].as_str().unwrap_or_default();
        let at_ms = commit["at_ms"].as_u64().unwrap_or_default();
        println!(
            "revision {} by {author} at {}",
            commit["revision"],
            format_time(at_ms)
        );
        for change in commit["changes"].as_array().into_iter().flatten() {
            let mark = match change["value"] {
                Value::Null => '-',
                _ => '+',
            };
            println!("  {mark} {}", change["path"].as_str().unwrap_or_default());
        }
    }
    Ok(())
}

/// Formats a wall-clock time in ms since the Unix epoch, such as
/// `Sun, 06 Nov 1994 08:49:37 GMT`.
fn format_time(at_ms: u64) -> String {
    // The formatter panics on later times; only a broken clock produces them.
    let at = Duration::from_millis(at_ms).min(MAX_TIME);
    httpdate::fmt_http_date(SystemTime::UNIX_EPOCH + at)
}

/// Prints the JSON schema of the documents for each kind of path.
pub fn schema() -> Result<()> {
    let schema = json!({
        "/teams/<team>/workspaces/<name>": schema_for!(settings::Workspace),
        "/teams/<team>/keys/<name>": schema_for!(settings::Key),
        "/teams/<team>/routes/<name>": schema_for!(settings::Route),
        "/fleet/endpoints/<name>": schema_for!(settings::Endpoint),
        "/fleet/models/<name>": schema_for!(settings::Model),
        "/operators/<name>": schema_for!(settings::Operator),
    });
    println!("{schema:#}");
    Ok(())
}
