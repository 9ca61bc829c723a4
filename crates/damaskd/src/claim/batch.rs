//! Group commit: changes to claims that wait in the queue together share a transaction.

use std::{
    net::SocketAddr,
    sync::Arc, //
};

use platform::{
    http::Fault,
    table::{
        self,
        Outcome,
        Revision,
        Table,
        Txn, //
    }, //
};
use state::claim::{
    self,
    Row, //
};
use tokio::sync::{
    Mutex,
    mpsc,
    oneshot, //
};

/// Maximum number of times that a transaction whose answer was lost is sent again.
const MAX_RESENDS: u32 = 2;

/// A change to one claim.
#[derive(Clone, Debug)]
pub enum Change {
    /// Writes a new claim.
    Create(Row),
    /// Writes the outcome of a claim.
    Settle(Row),
    /// Deletes a claim whose request has not run.
    Release,
}

/// Result of a change.
#[derive(Debug)]
pub enum Reply {
    /// The change is in the table at this revision.
    Committed(Revision),
    /// The key already has this row, the claim of another request.
    Existing(Row),
}

/// A change in the queue.
#[derive(Debug)]
pub struct Item {
    /// Key of the claim's row.
    pub key: String,
    /// Table revision of the row's last change; absent if the row must not exist.
    pub revision: Revision,
    /// The change to commit.
    pub change: Change,
    /// Receives the result of the change.
    pub reply: oneshot::Sender<Result<Reply, Fault>>,
}

impl Item {
    fn finish(self, result: Result<Reply, Fault>) {
        // Fails if the receiver has been dropped.
        self.reply.send(result).ok();
    }

    fn add_to(&self, txn: Txn) -> Txn {
        let txn = txn.when(&self.key, self.revision);
        match &self.change {
            Change::Create(row) | Change::Settle(row) => txn.put(&self.key, encode(row)),
            Change::Release => txn.delete(&self.key),
        }
    }

    /// Finishes the item if the current row of its key determines the result; otherwise returns it.
    fn resolve(self, row: Option<&table::Row>) -> Option<Self> {
        if row.map_or(Revision::ABSENT, |row| row.revision) == self.revision {
            return Some(self);
        }
        let found = row.map(|row| (row.revision, serde_json::from_slice::<Row>(&row.value)));
        let result = match (&self.change, found) {
            // A transaction whose answer was lost has been applied.
            (Change::Create(new), Some((revision, Ok(row)))) if row.nonce == new.nonce => {
                Ok(Reply::Committed(revision))
            }
            (Change::Create(_), Some((_, Ok(row)))) => Ok(Reply::Existing(row)),
            (Change::Create(_), Some((_, Err(error)))) => Err(unreadable(&error.to_string())),
            // The change has been applied, or the claim has expired.
            (Change::Create(_), None) | (Change::Settle(_) | Change::Release, _) => Ok(
                Reply::Committed(row.map_or(Revision::ABSENT, |row| row.revision)),
            ),
        };
        self.finish(result);
        None
    }
}

/// Commits queued changes, at most `max_items` in one transaction, until all senders are dropped.
pub async fn run<T: Table>(queue: Arc<Mutex<mpsc::Receiver<Item>>>, table: T, max_items: usize) {
    loop {
        let mut items = Vec::new();
        if queue.lock().await.recv_many(&mut items, max_items).await == 0 {
            return;
        }
        while !items.is_empty() {
            let repeats = split_repeats(&mut items);
            commit(&table, items).await;
            items = repeats;
        }
    }
}

/// Removes and returns the items that repeat the key of an earlier item, since a transaction may
/// name each key only once.
fn split_repeats(items: &mut Vec<Item>) -> Vec<Item> {
    let mut seen: Vec<String> = Vec::with_capacity(items.len());
    items
        .extract_if(.., |item| match seen.binary_search(&item.key) {
            Ok(_) => true,
            Err(index) => {
                seen.insert(index, item.key.clone());
                false
            }
        })
        .collect()
}

async fn commit<T: Table>(table: &T, mut items: Vec<Item>) {
    let index = index_key();
    let mut resends = 0;
    while !items.is_empty() {
        match table.transact(transaction(&items, &index)).await {
            Ok(Outcome::Applied(revision)) => {
                for item in items.drain(..) {
                    item.finish(Ok(Reply::Committed(revision)));
                }
            }
            Ok(Outcome::Conflict(rows)) => items = resolve_conflict(items, &rows),
            // If the transaction was applied, sending it again conflicts with rows that carry its nonces.
            Err(fault) if fault.may_have_applied() && resends < MAX_RESENDS => resends += 1,
            Err(fault) => {
                for item in items.drain(..) {
                    item.finish(Err(fault.clone()));
                }
            }
        }
    }
}

fn transaction(items: &[Item], index: &str) -> Txn {
    let mut created: Vec<&str> = Vec::new();
    let mut txn = Txn::default();
    for item in items {
        txn = item.add_to(txn);
        if let Change::Create(_) = item.change {
            created.push(&item.key[claim::ROW_PREFIX.len()..]);
        }
    }
    if created.is_empty() {
        return txn;
    }
    txn.put(index, serde_json::to_vec(&created).unwrap_or_default())
}

/// Finishes the items whose result `rows`, the rows of a conflict, determine; returns the others.
fn resolve_conflict(items: Vec<Item>, rows: &[table::Row]) -> Vec<Item> {
    let count = items.len();
    let mut unresolved: Vec<Item> = items
        .into_iter()
        .filter_map(|item| {
            let row = rows.iter().find(|row| row.key == item.key);
            item.resolve(row)
        })
        .collect();
    if unresolved.len() == count {
        for item in unresolved.drain(..) {
            item.finish(Err(unreadable("a conflict without any conflicting row")));
        }
    }
    unresolved
}

/// Key of a new index row in the bucket of the current time; random, so that each transaction has
/// its own row.
fn index_key() -> String {
    let bucket = claim::bucket(claim::unix_time_ms());
    format!(
        "{}{:016x}",
        claim::bucket_prefix(bucket),
        rand::random::<u64>()
    )
}

fn encode(row: &Row) -> Vec<u8> {
    serde_json::to_vec(row).unwrap_or_default()
}

fn unreadable(reason: &str) -> Fault {
    Fault::Lost {
        address: SocketAddr::from(([0, 0, 0, 0], 0)),
        reason: format!("claims: {reason}"),
    }
}

/// The fault of a change that is submitted while the instance is stopping.
pub fn stopping() -> Fault {
    Fault::NotSent {
        address: SocketAddr::from(([0, 0, 0, 0], 0)),
        reason: "this instance is stopping".to_owned(),
    }
}
