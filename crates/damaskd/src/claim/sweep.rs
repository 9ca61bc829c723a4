//! Deletes claims whose retention is over.
//!
//! Any instance may do it at any time. A claim is deleted in one transaction
//! with the index row that names it, and only if that row still stands, so a
//! key that was claimed anew in between is not touched.

use std::time::Duration;

use platform::{
    http::Fault,
    table::{
        Outcome,
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

/// Mean time between passes of all instances together.
const INTERVAL: Duration = Duration::from_secs(60);
/// Most buckets that one pass goes through.
const PASS_BUCKETS: u64 = 64;
/// Most rows that one transaction deletes.
const MAX_DELETES: usize = 100;

/// Sweeps again and again; more instances each do it less often.
pub async fn run(node: &Node) {
    loop {
        let instances = u32::try_from(node.live_members().len()).unwrap_or(u32::MAX);
        let mean = INTERVAL.saturating_mul(instances.max(1));
        tokio::time::sleep(mean.mul_f64(rand::random_range(0.5..1.5))).await;
        // What fails now is swept by a later pass.
        pass(&node.table, claim::now_ms()).await.ok();
    }
}

/// Deletes claims that have expired at `now_ms`; returns how many.
///
/// # Errors
///
/// Any [`Fault`]; a later pass goes on where this one stopped.
pub async fn pass<T: Table>(table: &T, now_ms: u64) -> Result<usize, Fault> {
    let kept = RETENTION.as_secs() / BUCKET_WIDTH.as_secs();
    let end = claim::bucket(now_ms).saturating_sub(kept);
    let swept = table.get(SWEPT_ROW).await?;
    let revision = swept.as_ref().map_or(0, |row| row.revision);
    let from = swept.and_then(|row| next_bucket(&row)).unwrap_or(end);
    let to = end.min(from + PASS_BUCKETS);
    let mut deleted = 0;
    for bucket in from..to {
        let Some(count) = sweep_bucket(table, bucket).await? else {
            // Another instance sweeps now; it or a later pass finishes the bucket.
            return Ok(deleted);
        };
        deleted += count;
    }
    if to > from || revision == 0 {
        let txn = Txn::default().when(SWEPT_ROW, revision);
        table.transact(txn.put(SWEPT_ROW, to.to_string())).await?;
    }
    Ok(deleted)
}

/// The first bucket that was not swept.
fn next_bucket(row: &Row) -> Option<u64> {
    str::from_utf8(&row.value).ok()?.parse().ok()
}

/// How many claims were deleted, or `None` if another instance got in between.
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
