//! Waits until a revision is in force at every live instance.

use std::{
    io::{
        IsTerminal,
        Write, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use anyhow::anyhow;
use serde::Deserialize;

use crate::{
    args::Target,
    client,
    exit::{
        Exit,
        Failure,
        Result, //
    }, //
};

/// Delay between polls of the status.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Status of an instance, without the fields that are not used here.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
struct Instance {
    name: String,
    revision: u64,
    leaving: bool,
}

/// Waits until every live instance has `revision` in force; progress goes to standard error.
///
/// # Errors
///
/// Fails with [`Exit::Partial`] if an instance does not have it in force within `timeout`. The
/// error names these instances.
pub async fn in_force(target: &Target, revision: u64, timeout: Duration) -> Result<()> {
    let start = Instant::now();
    let mut last_line = String::new();
    loop {
        // A failed poll does not end the wait, since the next one may be answered.
        let instances = get_instances(target).await.unwrap_or_default();
        let live: Vec<&Instance> = instances.iter().filter(|i| !i.leaving).collect();
        let outdated: Vec<&str> = live
            .iter()
            .filter(|i| i.revision < revision)
            .map(|i| i.name.as_str())
            .collect();
        let count = live.len() - outdated.len();
        let line = format!("revision {revision} in force at {count} of {}", live.len());
        show_progress(&line, &mut last_line);
        if !live.is_empty() && outdated.is_empty() {
            end_progress(&last_line);
            return Ok(());
        }
        if start.elapsed() >= timeout {
            end_progress(&last_line);
            let names = outdated.join(", ");
            let error = anyhow!("{line} after {timeout:?}; not yet at {names}; see status");
            return Err(Failure::new(Exit::Partial, error));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn get_instances(target: &Target) -> Result<Vec<Instance>> {
    let mut status = client::get(target, "/operator/v1/status").await?;
    let instances = serde_json::from_value(status["instances"].take());
    Ok(instances.map_err(|error| anyhow!(error))?)
}

/// Prints a progress line if it differs from the last one. On a terminal it replaces that line,
/// elsewhere it is printed below.
fn show_progress(line: &str, last_line: &mut String) {
    if line == last_line {
        return;
    }
    let mut stderr = std::io::stderr();
    // A failure to print the progress must not end the wait.
    if stderr.is_terminal() {
        write!(stderr, "\r\x1b[K{line}").ok();
        stderr.flush().ok();
    } else {
        writeln!(stderr, "{line}").ok();
    }
    line.clone_into(last_line);
}

/// Ends the progress line on a terminal.
fn end_progress(last_line: &str) {
    if !last_line.is_empty() && std::io::stderr().is_terminal() {
        eprintln!();
    }
}
