//! Deletes claims whose retention period has ended.
//!
//! Any instance may sweep at any time. A claim is deleted in one transaction
//! with the index row that names it, and only if that row is unchanged, so a
//! newer claim under the same key is not deleted.

use std::time::Duration;

use platform::{
    http::Fault,
    table::{
        Outcome,
        Revision,
        Row,
        Table,
        Txn, //
    }, //
};
use state::claim::{
    self,
    BUCKET_WIDTH,
    RETENTION,
    ROW_PREFIX,
    SWEPT_ROW, //
};

use crate::node::Node;

/// Mean interval between the passes of all instances together.
const MEAN_INTERVAL: Duration = Duration::from_secs(60);
/// Maximum number of buckets in one pass.
const MAX_PASS_BUCKETS: u64 = 64;
/// Maximum number of rows that one transaction deletes, unless a single index row names more.
const MAX_DELETES: usize = 100;

/// Sweeps periodically. The interval grows with the number of live instances and has jitter.
pub async fn run(node: &Node) {
    loop {
        let instances = u32::try_from(node.live_members().len()).unwrap_or(u32::MAX);
        let mean_interval = MEAN_INTERVAL.saturating_mul(instances.max(1));
        tokio::time::sleep(mean_interval.mul_f64(rand::random_range(0.5..1.5))).await;
        // A later pass sweeps what this one failed to.
        delete_expired(&node.table, claim::unix_time_ms())
            .await
            .ok();
    }
}

/// Runs one pass: deletes claims that have expired at `now_ms`, in Unix milliseconds, and returns
/// how many.
///
/// # Errors
///
/// Any [`Fault`]; a later pass continues where this one stopped.
pub async fn delete_expired<T: Table>(table: &T, now_ms: u64) -> Result<usize, Fault> {
    let retained_buckets = RETENTION.as_secs() / BUCKET_WIDTH.as_secs();
    let end = claim::bucket(now_ms).saturating_sub(retained_buckets);
    let swept = table.get(SWEPT_ROW).await?;
    let revision = swept.as_ref().map_or(Revision::ABSENT, |row| row.revision);
    let from = swept.and_then(|row| next_bucket(&row)).unwrap_or(end);
    let to = end.min(from + MAX_PASS_BUCKETS);
    let mut deleted = 0;
    for bucket in from..to {
        let Some(count) = sweep_bucket(table, bucket).await? else {
            // Another instance is sweeping; it or a later pass finishes the bucket.
            return Ok(deleted);
        };
        deleted += count;
    }
    if to > from || revision.is_absent() {
        let txn = Txn::default().when(SWEPT_ROW, revision);
        table.transact(txn.put(SWEPT_ROW, to.to_string())).await?;
    }
    Ok(deleted)
}

/// The first bucket that has not been swept, from the row [`SWEPT_ROW`].
fn next_bucket(row: &Row) -> Option<u64> {
    str::from_utf8(&row.value).ok()?.parse().ok()
}

/// Sweeps one bucket; returns the number of deleted claims, or `None` after a conflict with another
/// instance.
async fn sweep_bucket<T: Table>(table: &T, bucket: u64) -> Result<Option<usize>, Fault> {
    let index = table.range(&claim::bucket_prefix(bucket)).await?;
    let mut deleted = 0;
    let mut txn = Txn::default();
    for row in &index.rows {
        let names: Vec<String> = serde_json::from_slice(&row.value).unwrap_or_default();
        if txn.ops.len() + names.len() >= MAX_DELETES {
            let Some(count) = delete(table, std::mem::take(&mut txn)).await? else {
                return Ok(None);
            };
            deleted += count;
        }
        txn = txn.when(&row.key, row.revision).delete(&row.key);
        for name in names {
            txn = txn.delete(format!("{ROW_PREFIX}{name}"));
        }
    }
    Ok(delete(table, txn).await?.map(|count| deleted + count))
}

/// Commits a transaction; returns the number of deleted claims, or `None` after a conflict.
async fn delete<T: Table>(table: &T, txn: Txn) -> Result<Option<usize>, Fault> {
    let claims = txn.ops.len() - txn.compares.len();
    if txn.ops.is_empty() {
        return Ok(Some(0));
    }
    match table.transact(txn).await? {
        Outcome::Applied(_) => Ok(Some(claims)),
        Outcome::Conflict(_) => Ok(None),
    }
}
