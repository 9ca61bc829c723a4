//! Rows of quarantined segments in the platform's table.

use std::{
    sync::Arc,
    time::Duration, //
};

use platform::table::{
    Change,
    Outcome,
    Revision,
    Txn,
    Watch, //
};
use policy::{
    quarantine::{
        self,
        RESTORE_PAUSE,
        is_joint,
        trial_delay, //
    },
    suspect::id::is_request, //
};
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
    Deletion,
    LoggedId,
    MAX_RECORDS,
    REPORT_HORIZON,
    Record,
    Source,
    Trial, //
};
use crate::{
    QUARANTINE,
    node::Node,
    protocol::{
        Invalid,
        Protocol, //
    }, //
};

/// Interval at which writes that failed are repeated.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which a row is deleted if no request has claimed the trial that is due, or would be
/// if there were more.
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
    /// The same for a trial with other quarantined segments.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "joint_due_ms")]
    joint_due: Duration,
    /// Whether other segments were present in the same crashes.
    #[serde(rename = "ambiguous")]
    is_ambiguous: bool,
}

/// A row to write, with the state that it gives the record.
#[derive(Clone, Copy, Debug)]
struct Write {
    /// Record after the write; its revision is that of the row to replace.
    record: Record,
    row: Row,
}

impl Write {
    /// `None` while the table's clock is unknown.
    fn new<P: Protocol>(node: &Node<P>, record: Record) -> Option<Self> {
        let row = Row {
            trials: record.trials,
            due: node.exchange.table_time(record.due)?,
            joint_due: node.exchange.table_time(record.joint_due)?,
            is_ambiguous: record.is_ambiguous,
        };
        Some(Self { record, row })
    }
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
            emit!(warn, event::INSTANCE_UNREADABLE, row = change.key, reason = %Invalid::from(reason));
            return;
        }
        None => {
            apply_deletion(node, segment, change.revision, now);
            return;
        }
    };
    // No later than after a claim at this moment: the clock of a restored table may have started again.
    let latest = now + trial_delay(row.trials, row.is_ambiguous);
    let due = node.exchange.local_time(row.due).unwrap_or(latest);
    let due = due.min(latest);
    let joint_due = node.exchange.local_time(row.joint_due);
    let joint_due = joint_due.unwrap_or(quarantine::joint_due(due));
    let table = &node.quarantine;
    let mut state = table.state.lock();
    if state.releases.iter().any(|release| release.0 == segment) {
        return;
    }
    let deleted = state.deleted.iter().find(|d| d.segment == segment).copied();
    if let Some(deleted) = deleted {
        if change.revision <= deleted.revision {
            return;
        }
        if deleted.is_undone_by(change.revision) {
            let at = now + node.rewrite_delay(deleted.is_writer);
            state.releases.push((segment, at));
            drop(state);
            table.rows_outdated.notify_one();
            return;
        }
    }
    let mut record = Record {
        segment,
        since: now,
        crashes: 0,
        trials: row.trials,
        is_ambiguous: row.is_ambiguous,
        due,
        joint_due: joint_due.min(quarantine::joint_due(latest)),
        revision: Some(change.revision),
        source: Source::Own,
        rewrite_at: None,
        is_writer: false,
    };
    match state.find(segment) {
        Ok(index) => {
            let known = &mut state.records[index];
            if known.revision.is_some_and(|known| known > change.revision) {
                return;
            }
            record.since = known.since;
            record.crashes = known.crashes;
            record.is_writer = known.is_writer && known.revision == record.revision;
            let is_restored = known.rewrite_at.is_some()
                || known.revision.is_some_and(|r| r.era < change.revision.era);
            if is_restored && record.keep(known) {
                let at = known.rewrite_at;
                record.rewrite_at = at.or(Some(now + node.rewrite_delay(known.is_writer)));
                record.is_writer = known.is_writer;
            }
            *known = record;
        }
        Err(index) => state.records.insert(index, record),
    }
    table.publish(&state);
    drop(state);
    table.rows_outdated.notify_one();
}

/// Schedules the writes of rows that a restored table lacks, once all its rows are applied.
pub fn restore_rows<P: Protocol>(node: &Node<P>) {
    let era = node.mirrors.instances.revision().era;
    let now = clock::now();
    let table = &node.quarantine;
    let mut state = table.state.lock();
    let is_lost = |record: &Record| record.revision.is_some_and(|r| r.era < era);
    if !state.records.iter().any(is_lost) {
        return;
    }
    for record in state.records.iter_mut().filter(|record| is_lost(record)) {
        record.revision = None;
        record.rewrite_at = Some(now + node.rewrite_delay(record.is_writer));
    }
    table.publish(&state);
    drop(state);
    table.rows_outdated.notify_one();
}

/// Applies the deletion of the row of a segment, which ends its quarantine unless only the restore
/// of the table from an older copy has deleted the row.
fn apply_deletion<P: Protocol>(node: &Node<P>, segment: u64, revision: Revision, now: Duration) {
    let state = node.quarantine.state.lock();
    let known = state.find(segment).ok().map(|index| state.records[index]);
    drop(state);
    let is_lost = |r: Revision| r.era < revision.era;
    if known
        .and_then(|record| record.revision)
        .is_some_and(is_lost)
    {
        return;
    }
    let deletion = Deletion {
        segment,
        revision,
        is_writer: false,
    };
    remove(node, deletion, now);
}

/// Ends the quarantine of a segment whose row was deleted.
fn remove<P: Protocol>(node: &Node<P>, mut deletion: Deletion, now: Duration) {
    let segment = deletion.segment;
    let table = &node.quarantine;
    let mut state = table.state.lock();
    state.evidence.record_answer(segment, now);
    // The instance's own deletion arrives with the changes of the table, too.
    let is_same = |d: &Deletion| d.segment == segment && d.revision == deletion.revision;
    deletion.is_writer |= state.deleted.iter().any(|d| is_same(d) && d.is_writer);
    state.deleted.retain(|deleted| deleted.segment != segment);
    state.deleted.push(deletion);
    if state.deleted.len() > MAX_RECORDS {
        state.deleted.remove(0);
    }
    state.releases.retain(|release| release.0 != segment);
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

/// Creates the rows of segments that this instance has found, and writes those again that a restored
/// table lacks.
async fn write_new<P: Protocol, W: Watch>(node: &Node<P>, table: &W) {
    for record in unwritten_records(node) {
        let Some(new) = Write::new(node, record) else {
            return;
        };
        write(node, table, &[new]).await;
    }
}

fn unwritten_records<P: Protocol>(node: &Node<P>) -> Vec<Record> {
    let now = clock::now();
    let state = node.quarantine.state.lock();
    let records = state.records.iter().copied();
    let is_unwritten = |record: &Record| match record.rewrite_at {
        Some(at) => at <= now,
        None => record.revision.is_none() && record.source == Source::Own,
    };
    records.filter(is_unwritten).collect()
}

/// Writes rows if they are still at the revisions of their records, and updates the records;
/// `false` if they are not, or if the table does not answer.
async fn write<P: Protocol, W: Watch>(node: &Node<P>, table: &W, writes: &[Write]) -> bool {
    let mut txn = Txn::default();
    for Write { record, row } in writes {
        // Numbers always encode.
        let value = serde_json::to_vec(row).unwrap_or_default();
        let key = key(record.segment);
        txn = txn
            .when(&key, record.revision.unwrap_or(Revision::ABSENT))
            .put(key, value);
    }
    let revision = match table.transact(txn).await {
        Ok(Outcome::Applied(revision)) => revision,
        // The row that another instance wrote arrives with the changes of the table.
        Ok(Outcome::Conflict(_)) => return false,
        Err(fault) => {
            emit!(debug, event::TABLE_FAULT, prefix = QUARANTINE, reason = %fault);
            return false;
        }
    };
    let now = clock::now();
    // A restore may have undone the write before its answer arrived.
    let is_lost = revision.era < node.mirrors.instances.revision().era;
    let mut state = node.quarantine.state.lock();
    for Write { record, .. } in writes {
        let Ok(index) = state.find(record.segment) else {
            continue;
        };
        let known = &mut state.records[index];
        if is_lost {
            if known.keep(record) {
                known.rewrite_at = Some(now);
                known.is_writer = true;
            }
        } else if known.revision.is_none_or(|known| known < revision) {
            *known = Record {
                revision: Some(revision),
                rewrite_at: None,
                is_writer: true,
                ..*record
            };
        }
    }
    node.quarantine.publish(&state);
    true
}

/// Claims a trial by moving the time of the next one, so that no other instance sends one.
async fn grant<P: Protocol, W: Watch>(node: Arc<Node<P>>, table: W, claim: Claim) {
    let writes = claim_writes(&node, &claim.segments, clock::now());
    let is_written = match &writes {
        Some(writes) => write(&*node, &table, writes).await,
        None => false,
    };
    let is_other = |segment: &u64| !claim.segments.contains(segment);
    node.quarantine.state.lock().claimed.retain(is_other);
    let Some(writes) = writes.filter(|_| is_written) else {
        return;
    };
    for Write { row, record } in &writes {
        let id = LoggedId::of(record.segment);
        emit!(
            info,
            id.pick(event::SEGMENT_TRIED, event::REQUEST_TRIED),
            segment = id.segment,
            fingerprint = id.request,
            trials = row.trials,
        );
    }
    let trial = Trial {
        table: node.quarantine.clone(),
        segments: claim.segments,
        spent: false,
    };
    // Fails if the request no longer waits; the trial is then dropped.
    claim.granted.send(trial).ok();
}

/// The rows that claim the next trial of all `segments`; `None` unless it is due.
fn claim_writes<P: Protocol>(
    node: &Node<P>,
    segments: &[u64],
    now: Duration,
) -> Option<Vec<Write>> {
    let is_joint = is_joint(segments);
    // Others may know of a claim that a restored table lacks.
    let restored_at = node.era.restored_at();
    if restored_at.is_some_and(|at| now < at + RESTORE_PAUSE) {
        return None;
    }
    let state = node.quarantine.state.lock();
    let writes = segments.iter().map(|segment| {
        let mut record = state.records[state.find(*segment).ok()?];
        if !record.may_be_tried() {
            return None;
        }
        let is_joint = is_joint && !is_request(*segment);
        let due = if is_joint {
            record.joint_due
        } else {
            record.due
        };
        if due > now {
            return None;
        }
        record.trials = record.trials.saturating_add(1);
        let next = now + trial_delay(record.trials, record.is_ambiguous);
        if !is_joint {
            record.due = next;
        }
        record.joint_due = record.joint_due.max(quarantine::joint_due(next));
        Write::new(node, record)
    });
    writes.collect()
}

/// Makes the trials available again that reached no endpoint.
async fn write_unspent<P: Protocol, W: Watch>(node: &Node<P>, table: &W) {
    let now = clock::now();
    let segments = std::mem::take(&mut node.quarantine.state.lock().unspent);
    for (segment, is_joint) in segments {
        if let Some(unspent) = unspent_write(node, segment, is_joint, now) {
            // If the table does not answer, the next trial follows at its time.
            write(node, table, &[unspent]).await;
        }
    }
}

fn unspent_write<P: Protocol>(
    node: &Node<P>,
    segment: u64,
    is_joint: bool,
    now: Duration,
) -> Option<Write> {
    let state = node.quarantine.state.lock();
    let mut record = state.records[state.find(segment).ok()?];
    record.revision?;
    record.trials = record.trials.saturating_sub(1);
    if is_joint {
        record.joint_due = now;
    } else {
        record.due = now;
    }
    Write::new(node, record)
}

/// Deletes the rows of segments that are no longer quarantined, or that no request holds any more.
async fn delete_released<P: Protocol, W: Watch>(node: &Node<P>, table: &W) {
    let now = clock::now();
    let segments = obsolete_segments(node, now);
    for segment in segments {
        let txn = Txn::default().delete(key(segment));
        match table.transact(txn).await {
            Ok(Outcome::Applied(revision)) => {
                let deletion = Deletion {
                    segment,
                    revision,
                    is_writer: true,
                };
                remove(node, deletion, now);
            }
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
    let deletes_unused = node.hub_rank() == Some(0);
    let unused = state.records.iter().filter(|record| {
        let due = record.due.max(record.joint_due);
        deletes_unused && record.revision.is_some() && due.saturating_add(UNUSED_HORIZON) < now
    });
    let unused = unused.map(|record| record.segment);
    let releases = state.releases.iter().filter(|release| release.1 <= now);
    unused.chain(releases.map(|release| release.0)).collect()
}
