//! Rows of quarantined segments in the platform's table.

use std::{
    sync::Arc,
    time::Duration, //
};

use platform::table::{
    Change,
    Outcome,
    Txn,
    Watch, //
};
use policy::quarantine::trial_delay;
use serde::{
    Deserialize,
    Serialize, //
};
use serde_with::{
    DurationMilliSeconds,
    serde_as, //
};
use state::clock;
use telemetry::{
    emit,
    event, //
};

use super::{
    Claim,
    MAX_RECORDS,
    REPORT_HORIZON,
    Record,
    Source,
    Trial, //
};
use crate::{
    QUARANTINE,
    node::Node,
    protocol::Protocol, //
};

/// Interval at which writes that failed are repeated.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which a row is deleted if no request has claimed the trial that is due.
const UNUSED_HORIZON: Duration = Duration::from_secs(3_600);

/// Row of one quarantined segment.
#[serde_as]
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
struct Row {
    /// Number of trials that were claimed.
    trials: u32,
    /// From when the next trial may be claimed, by the table's clock, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "due_ms")]
    due: Duration,
}

fn key(segment: u64) -> String {
    format!("{QUARANTINE}{segment:016x}")
}

/// Applies a changed row of a quarantined segment; ignores all other rows.
pub fn apply_row<P: Protocol>(node: &Node<P>, change: &Change) {
    let Some(text) = change.key.strip_prefix(QUARANTINE) else {
        return;
    };
    let Ok(segment) = u64::from_str_radix(text, 16) else {
        emit!(warn, event::INSTANCE_UNREADABLE, row = change.key);
        return;
    };
    let now = clock::now();
    let row = match change.value.as_deref().map(serde_json::from_slice::<Row>) {
        Some(Ok(row)) => row,
        Some(Err(reason)) => {
            emit!(warn, event::INSTANCE_UNREADABLE, row = change.key, reason = %reason);
            return;
        }
        None => {
            remove(node, segment, change.revision, now);
            return;
        }
    };
    let local_due = node.exchange.local_time(row.due);
    let table = &node.quarantine;
    let mut state = table.state.lock();
    let is_deleted = |deleted: &(u64, u64)| deleted.0 == segment && change.revision <= deleted.1;
    if state.releases.contains(&segment) || state.deleted.iter().any(is_deleted) {
        return;
    }
    let mut record = Record {
        segment,
        since: now,
        trials: row.trials,
        due: local_due.unwrap_or(now + trial_delay(row.trials, false)),
        revision: Some(change.revision),
        source: Source::Own,
    };
    match state.find(segment) {
        Ok(index) => {
            record.since = state.records[index].since;
            state.records[index] = record;
        }
        Err(index) => state.records.insert(index, record),
    }
    table.publish(&state);
}

/// Ends the quarantine of a segment whose row was deleted at this revision.
fn remove<P: Protocol>(node: &Node<P>, segment: u64, revision: u64, now: Duration) {
    let table = &node.quarantine;
    let mut state = table.state.lock();
    state.evidence.record_answer(segment, now);
    state.deleted.retain(|(deleted, _)| *deleted != segment);
    state.deleted.push((segment, revision));
    if state.deleted.len() > MAX_RECORDS {
        state.deleted.remove(0);
    }
    state.releases.retain(|released| *released != segment);
    if let Ok(index) = state.find(segment) {
        state.records.remove(index);
        table.publish(&state);
    }
}

/// Writes rows until the task is aborted.
pub async fn run<P: Protocol, W: Watch>(node: &Arc<Node<P>>, table: &W) {
    loop {
        let woken = node.quarantine.rows_outdated.notified();
        if tokio::time::timeout(RETRY_INTERVAL, woken).await.is_err()
            && node.quarantine.is_empty()
            && node.quarantine.state.lock().releases.is_empty()
        {
            continue;
        }
        let claims = std::mem::take(&mut node.quarantine.state.lock().claims);
        for claim in claims {
            // The other rows do not wait for a claim that the table leaves without an answer.
            tokio::spawn(grant(node.clone(), table.clone(), claim));
        }
        drop_old_reports(node);
        write_new(node, table).await;
        write_unspent(node, table).await;
        delete_released(node, table).await;
    }
}

/// Drops quarantines that other instances no longer report and whose rows are not in the table.
fn drop_old_reports<P: Protocol>(node: &Node<P>) {
    let now = clock::now();
    let mut state = node.quarantine.state.lock();
    let count = state.records.len();
    state.records.retain(|record| match record.source {
        Source::Report(at) if record.revision.is_none() => at + REPORT_HORIZON > now,
        _ => true,
    });
    if state.records.len() != count {
        node.quarantine.publish(&state);
    }
}

/// Creates the rows of segments that this instance has found.
async fn write_new<P: Protocol, W: Watch>(node: &Node<P>, table: &W) {
    for record in unwritten_records(node) {
        let Some(due) = node.exchange.table_time(record.due) else {
            return;
        };
        let row = Row {
            trials: record.trials,
            due,
        };
        if let Some(revision) = write(table, &[(record.segment, 0, row)]).await {
            set_written(node, record.segment, row.trials, record.due, revision);
        }
    }
}

fn unwritten_records<P: Protocol>(node: &Node<P>) -> Vec<Record> {
    let state = node.quarantine.state.lock();
    let records = state.records.iter().copied();
    records
        .filter(|record| record.revision.is_none() && record.source == Source::Own)
        .collect()
}

/// Writes rows if they are still at the given revisions; `None` if they are not, or if the table
/// does not answer.
async fn write<W: Watch>(table: &W, rows: &[(u64, u64, Row)]) -> Option<u64> {
    let mut txn = Txn::default();
    for (segment, revision, row) in rows {
        // Numbers always encode.
        let value = serde_json::to_vec(row).unwrap_or_default();
        txn = txn.when(key(*segment), *revision).put(key(*segment), value);
    }
    match table.transact(txn).await {
        Ok(Outcome::Applied(revision)) => Some(revision),
        // The row that another instance wrote arrives with the changes of the table.
        Ok(Outcome::Conflict(_)) => None,
        Err(fault) => {
            emit!(debug, event::TABLE_FAULT, prefix = QUARANTINE, reason = %fault);
            None
        }
    }
}

/// Records that this instance has written a row.
fn set_written<P: Protocol>(
    node: &Node<P>,
    segment: u64,
    trials: u32,
    due: Duration,
    revision: u64,
) {
    let mut state = node.quarantine.state.lock();
    let Ok(index) = state.find(segment) else {
        return;
    };
    let record = &mut state.records[index];
    if record.revision.is_none_or(|known| known < revision) {
        record.trials = trials;
        record.due = due;
        record.revision = Some(revision);
        node.quarantine.publish(&state);
    }
}

/// Claims a trial by moving the time of the next one, so that no other instance sends one.
async fn grant<P: Protocol, W: Watch>(node: Arc<Node<P>>, table: W, claim: Claim) {
    let now = clock::now();
    let rows = claimed_rows(&node, &claim.segments, now);
    let revision = match &rows {
        Some(rows) => write(&table, rows).await,
        None => None,
    };
    let (Some(rows), Some(revision)) = (rows, revision) else {
        return;
    };
    let trial = Trial {
        table: node.quarantine.clone(),
        segments: claim.segments,
        spent: false,
    };
    for (segment, _, row) in &rows {
        let due = now + trial_delay(row.trials, false);
        set_written(&node, *segment, row.trials, due, revision);
        emit!(
            info,
            event::SEGMENT_TRIED,
            segment = format!("{segment:x}"),
            trials = row.trials,
        );
    }
    // Fails if the request no longer waits; the trial is then dropped.
    claim.granted.send(trial).ok();
}

/// Makes the trials available again that reached no endpoint.
async fn write_unspent<P: Protocol, W: Watch>(node: &Node<P>, table: &W) {
    let now = clock::now();
    let segments = std::mem::take(&mut node.quarantine.state.lock().unspent);
    for segment in segments {
        let Some((revision, row)) = unspent_row(node, segment, now) else {
            continue;
        };
        // If the table does not answer, the next trial follows at its time.
        if let Some(written) = write(table, &[(segment, revision, row)]).await {
            set_written(node, segment, row.trials, now, written);
        }
    }
}

fn unspent_row<P: Protocol>(node: &Node<P>, segment: u64, now: Duration) -> Option<(u64, Row)> {
    let state = node.quarantine.state.lock();
    let record = state.records[state.find(segment).ok()?];
    let row = Row {
        trials: record.trials.saturating_sub(1),
        due: node.exchange.table_time(now)?,
    };
    Some((record.revision?, row))
}

/// The rows that claim the next trial of each segment, with the revisions that they replace; `None`
/// unless all trials are due.
fn claimed_rows<P: Protocol>(
    node: &Node<P>,
    segments: &[u64],
    now: Duration,
) -> Option<Vec<(u64, u64, Row)>> {
    let state = node.quarantine.state.lock();
    let rows = segments.iter().map(|segment| {
        let record = state.records[state.find(*segment).ok()?];
        let revision = record.revision.filter(|_| record.due <= now)?;
        let trials = record.trials.saturating_add(1);
        let due = now + trial_delay(trials, false);
        let row = Row {
            trials,
            due: node.exchange.table_time(due)?,
        };
        Some((*segment, revision, row))
    });
    rows.collect()
}

/// Deletes the rows of segments that are no longer quarantined, or that no request holds any more.
async fn delete_released<P: Protocol, W: Watch>(node: &Node<P>, table: &W) {
    let now = clock::now();
    let segments = obsolete_segments(node, now);
    for segment in segments {
        let txn = Txn::default().delete(key(segment));
        match table.transact(txn).await {
            Ok(Outcome::Applied(revision)) => remove(node, segment, revision, now),
            Ok(Outcome::Conflict(_)) => {}
            Err(fault) => {
                emit!(debug, event::TABLE_FAULT, prefix = QUARANTINE, reason = %fault);
            }
        }
    }
}

/// Segments whose rows are to be deleted.
fn obsolete_segments<P: Protocol>(node: &Node<P>, now: Duration) -> Vec<u64> {
    let state = node.quarantine.state.lock();
    let unused = state.records.iter().filter(|record| {
        record.revision.is_some() && record.due.saturating_add(UNUSED_HORIZON) < now
    });
    let unused = unused.map(|record| record.segment);
    unused.chain(state.releases.iter().copied()).collect()
}
