//! Rows of the table with the records of streams.

use std::{
    sync::{
        Arc,
        atomic::Ordering, //
    },
    time::Duration, //
};

use platform::table::{
    Change,
    Outcome,
    Txn,
    Watch, //
};
use state::clock;
use telemetry::{
    emit,
    event, //
};

use super::{
    Origin,
    Stream,
    writer_rank, //
};
use crate::{
    ORIGINS,
    builds::HUB_STEP,
    message::Origins,
    node::Node,
    protocol::Protocol, //
};

/// Shortest time between two writes of a hub.
const WRITE_INTERVAL: Duration = Duration::from_millis(300);
/// Maximum number of streams in one row: rows hold 64 KiB, and a stream takes 10 bytes at most.
const MAX_STREAMS: usize = 4_000;
/// Maximum number of rows that one transaction writes; a call holds 1 MB.
const MAX_WRITTEN: usize = 12;
/// Maximum number of rows that one transaction deletes.
const MAX_DELETED: usize = 80;
/// Time between deletions of old rows while nothing is written.
const DELETION_INTERVAL: Duration = Duration::from_secs(20);

/// Key of a row that is written at `time` by the table's clock, in milliseconds.
fn key(time: Duration, writer: &str, number: usize) -> String {
    format!("{ORIGINS}{:013}-{writer}-{number}", time.as_millis())
}

/// When the row with this key was written, by the table's clock.
fn written_at(key: &str) -> Option<Duration> {
    let (millis, _) = key.strip_prefix(ORIGINS)?.split_once('-')?;
    Some(Duration::from_millis(millis.parse().ok()?))
}

/// Applies a changed row with records of streams; ignores all other rows. Deletions change nothing,
/// since records expire by their age.
pub fn apply_row<P: Protocol>(node: &Node<P>, change: &Change) {
    if !change.key.starts_with(ORIGINS) {
        return;
    }
    let Some(value) = &change.value else {
        return;
    };
    let origins: Origins = match postcard::from_bytes(value) {
        Ok(origins) => origins,
        Err(reason) => {
            emit!(warn, event::INSTANCE_UNREADABLE, row = change.key, reason = %reason);
            return;
        }
    };
    let now = clock::now();
    // The clock of a restored table may have started again; its rows are not older than the horizon.
    let written_at = written_at(&change.key).and_then(|at| node.exchange.local_time(at));
    let at = written_at.unwrap_or(now);
    let at = at.clamp(now.saturating_sub(node.record_horizon()), now);
    let mut state = node.origins.state.lock();
    for (stream, origin) in origins.into_streams() {
        state.save(stream, origin, at);
    }
}

/// Writes the records while this instance is a hub, and deletes old rows while it is the first one,
/// until the task is aborted.
pub async fn run<P: Protocol, W: Watch>(node: &Node<P>, table: &W) {
    let mut restores = node.era.subscribe();
    loop {
        tokio::select! {
            () = node.origins.pending_added.notified() => write(node, table).await,
            () = restores.next() => node.origins.rewrite(),
            () = tokio::time::sleep(DELETION_INTERVAL) => delete_old(node, table).await,
        }
    }
}

/// Writes the records that the hubs before this one have not written, along with the deletion of old
/// rows.
async fn write<P: Protocol, W: Watch>(node: &Node<P>, table: &W) {
    let due = due_records(node, clock::now());
    if due.is_empty() {
        return;
    }
    let due = &due[..due.len().min(MAX_STREAMS * MAX_WRITTEN)];
    write_rows(node, table, due).await;
    tokio::time::sleep(WRITE_INTERVAL).await;
}

/// Writes all records that the table lacks, for an instance that stops: the hubs may stop before they
/// have written them, or have no reason to while there is one build. Tries until the table has answered.
pub async fn write_unsaved<P: Protocol, W: Watch>(node: &Node<P>, table: &W) {
    let unsaved = node.origins.state.lock().unsaved();
    for streams in unsaved.chunks(MAX_STREAMS * MAX_WRITTEN) {
        while !write_rows(node, table, streams).await {
            tokio::time::sleep(WRITE_INTERVAL).await;
        }
    }
}

/// Writes the records of these streams in one transaction; `false` if it may have failed.
async fn write_rows<P: Protocol, W: Watch>(
    node: &Node<P>,
    table: &W,
    streams: &[(Stream, Arc<Origin>)],
) -> bool {
    let Some(table_time) = node.exchange.table_time(clock::now()) else {
        return false;
    };
    let mut txn = Txn::default();
    for row in streams.chunks(MAX_STREAMS) {
        let number = node.origins.rows_written.fetch_add(1, Ordering::Relaxed);
        // Encoding fails only if the row does not fit into memory.
        let value = postcard::to_stdvec(&Origins::group(row)).unwrap_or_default();
        txn = txn.put(key(table_time, &node.config.name, number), value);
    }
    for key in old_rows(node, table_time) {
        txn = txn.delete(key);
    }
    match table.transact(txn).await {
        Ok(Outcome::Applied(_)) => {
            let now = clock::now();
            let mut state = node.origins.state.lock();
            for (stream, origin) in streams {
                state.save(*stream, origin.clone(), now);
            }
            true
        }
        Ok(Outcome::Conflict(_)) => false,
        Err(fault) => {
            emit!(debug, event::TABLE_FAULT, prefix = ORIGINS, reason = %fault);
            false
        }
    }
}

/// The records that this instance is to write now; none unless it is to write any.
fn due_records<P: Protocol>(node: &Node<P>, now: Duration) -> Vec<(Stream, Arc<Origin>)> {
    let Some(rank) = writer_rank(node) else {
        return Vec::new();
    };
    let step = HUB_STEP.saturating_mul(u32::try_from(rank).unwrap_or(u32::MAX));
    let state = node.origins.state.lock();
    let pending = state.pending.iter();
    let due = pending.filter(|p| p.since.saturating_add(step) <= now);
    due.map(|p| (p.stream, p.origin.clone())).collect()
}

/// Keys of rows that are older than the horizon, if this instance is the first hub.
fn old_rows<P: Protocol>(node: &Node<P>, table_time: Duration) -> Vec<String> {
    if node.hub_rank() != Some(0) {
        return Vec::new();
    }
    let horizon = node.record_horizon();
    // A clock that has started again is behind the times of older rows.
    let is_old = |at: Duration| at.abs_diff(table_time) > horizon;
    let mut keys = node.mirrors.instances.keys(ORIGINS);
    keys.retain(|key| written_at(key).is_none_or(is_old));
    keys.truncate(MAX_DELETED);
    keys
}

async fn delete_old<P: Protocol, W: Watch>(node: &Node<P>, table: &W) {
    let Some(table_time) = node.exchange.table_time(clock::now()) else {
        return;
    };
    let keys = old_rows(node, table_time);
    if keys.is_empty() {
        return;
    }
    let txn = keys.into_iter().fold(Txn::default(), Txn::delete);
    if let Err(fault) = table.transact(txn).await {
        emit!(debug, event::TABLE_FAULT, prefix = ORIGINS, reason = %fault);
    }
}
