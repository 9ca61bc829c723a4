//! The `key` commands.

use anyhow::anyhow;
use http::{
    Method,
    StatusCode, //
};
use serde_json::{
    Value,
    json, //
};
use settings::{
    Digest,
    Key,
    Path, //
};

use crate::{
    args::{
        Target,
        Write, //
    },
    client::{
        self,
        Change, //
    },
    exit::{
        Exit,
        Failure,
        Result, //
    },
    wait, //
};

/// Prefix of every key, by which people and secret scanners recognize one.
const KEY_PREFIX: &str = "damask-";

/// Generates a key, writes its digest to the settings and prints the key once.
pub async fn give(target: &Target, path: Path, workspace: String, write: &Write) -> Result<()> {
    let tree = client::get_tree(target).await?;
    if tree.get(&path).is_some() {
        return Err(anyhow!("{path} exists; withdraw it and give the new key another name").into());
    }
    let random: [u8; 32] = rand::random();
    let key = format!("{KEY_PREFIX}{}", blake3::Hash::from_bytes(random).to_hex());
    let row = Key {
        workspace,
        digest: Digest::of(key.as_bytes()),
        withdrawn: false,
    };
    let value = serde_json::to_value(row).map_err(|error| anyhow!(error))?;
    let change = Change {
        path: path.clone(),
        value: Some(value),
    };
    // The base is the revision in which the path was checked to be free, so that no key written
    // since then is replaced.
    let write = Write {
        base_revision: Some(tree.revision),
        ..write.clone()
    };
    let accepted = client::write_changes(target, &[change], &write).await?;
    let revision = accepted.revision;
    if target.json {
        println!(
            "{}",
            json!({"path": path, "key": key, "revision": revision})
        );
    } else {
        println!("{key}");
        eprintln!("revision {revision}; this key is shown only now");
    }
    match write.wait_timeout {
        Some(timeout) => wait::in_force(target, revision, timeout).await,
        None => Ok(()),
    }
}

/// Withdraws a key at once and prints which instances refuse it.
///
/// # Errors
///
/// Fails if the withdrawal is refused. Fails with [`Exit::Partial`] if an instance was not reached
/// or the withdrawal is not yet written to the settings.
pub async fn withdraw(target: &Target, path: &Path) -> Result<()> {
    let body = json!({"path": path}).to_string();
    let answer = client::send(target, Method::POST, "/operator/v1/withdrawals", body).await?;
    let document = &answer.document;
    let reached = names(&document["in_force"]);
    let not_reached = names(&document["not_reached"]);
    if target.json {
        println!("{document}");
    } else {
        let total = reached.len() + not_reached.len();
        println!(
            "{path} is refused at {} of {total}: {}",
            reached.len(),
            reached.join(" ")
        );
        match document["revision"].as_u64() {
            Some(revision) => println!("kept in revision {revision}"),
            None => println!("not yet kept: {}", as_text(&document["reason"])),
        }
    }
    if answer.status == StatusCode::OK {
        return Ok(());
    }
    let message = match not_reached.is_empty() {
        true => "the instances that refuse the key keep trying to write the withdrawal to the \
                 settings"
            .to_owned(),
        false => format!("not reached: {}; see status", not_reached.join(" ")),
    };
    Err(Failure::new(Exit::Partial, anyhow!(message)))
}

fn names(value: &Value) -> Vec<&str> {
    value
        .as_array()
        .into_iter()
        .flatten()
        .map(as_text)
        .collect()
}

fn as_text(value: &Value) -> &str {
    value.as_str().unwrap_or_default()
}

/// Lists the keys below a prefix.
pub async fn list(target: &Target, prefix: &str) -> Result<()> {
    let tree = client::get_tree(target).await?;
    let keys: Vec<(&Path, Key)> = tree
        .rows()
        .filter(|row| row.path.is_under(prefix) && row.path.segments().nth(2) == Some("keys"))
        .filter_map(|row| Some((&row.path, serde_json::from_value(row.value.clone()).ok()?)))
        .collect();
    if target.json {
        let rows: Vec<Value> = keys
            .iter()
            .map(|(path, key)| {
                json!({"path": path, "workspace": key.workspace, "withdrawn": key.withdrawn})
            })
            .collect();
        println!("{}", json!({"revision": tree.revision, "keys": rows}));
        return Ok(());
    }
    for (path, key) in keys {
        let state = match key.withdrawn {
            true => "withdrawn",
            false => "in force",
        };
        println!("{path}\t{}\t{state}", key.workspace);
    }
    Ok(())
}
