//! Group commit: changes to claims that wait at the same time share a transaction.

use std::{
    net::SocketAddr,
    sync::Arc, //
};

use platform::{
    http::Fault,
    table::{
        self,
        Outcome,
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

/// Times that a transaction whose answer was lost is sent again.
const RESENDS: u32 = 2;

/// A change to one claim.
#[derive(Clone, Debug)]
pub enum Change {
    /// Writes a new claim.
    Take(Row),
    /// Writes the outcome of a claim.
    Write(Row),
    /// Deletes a claim whose request was not sent.
    Release,
}

/// How a change ended.
#[derive(Debug)]
pub enum Reply {
    /// It is in the table at this revision.
    Done(u64),
    /// The claim of another request stands under the key.
    Held(Row),
}

/// A change with who waits for it.
#[derive(Debug)]
pub struct Item {
    /// Key of the claim's row.
    pub key: String,
    /// Table revision of the row's last change, or 0 if there must be none.
    pub revision: u64,
    /// What to do.
    pub change: Change,
    /// Where to say how it ended.
    pub reply: oneshot::Sender<Result<Reply, Fault>>,
}

impl Item {
    fn end(self, result: Result<Reply, Fault>) {
        // Whoever waited may have left.
        self.reply.send(result).ok();
    }

    fn add(&self, txn: Txn) -> Txn {
        let txn = txn.when(&self.key, self.revision);
        match &self.change {
            Change::Take(row) | Change::Write(row) => txn.put(&self.key, encode(row)),
            Change::Release => txn.delete(&self.key),
        }
    }

    /// Ends the item if the row that stands under its key says how, or else returns it.
    fn resolve(self, row: Option<&table::Row>) -> Option<Self> {
        if row.map_or(0, |row| row.revision) == self.revision {
            return Some(self);
        }
        let found = row.map(|row| (row.revision, serde_json::from_slice::<Row>(&row.value)));
        let result = match (&self.change, found) {
            // A transaction whose answer was lost had taken effect.
            (Change::Take(own), Some((revision, Ok(row)))) if row.nonce == own.nonce => {
                Ok(Reply::Done(revision))
            }
            (Change::Take(_), Some((_, Ok(row)))) => Ok(Reply::Held(row)),
            (Change::Take(_), Some((_, Err(error)))) => Err(unreadable(&error.to_string())),
            // The change had taken effect, or the claim has expired.
            (Change::Take(_), None) | (Change::Write(_) | Change::Release, _) => {
                Ok(Reply::Done(row.map_or(0, |row| row.revision)))
            }
        };
        self.end(result);
        None
    }
}

/// Commits what waits in the queue until all senders are gone.
pub async fn run<T: Table>(queue: Arc<Mutex<mpsc::Receiver<Item>>>, table: T, batch: usize) {
    loop {
        let mut items = Vec::new();
        if queue.lock().await.recv_many(&mut items, batch).await == 0 {
            return;
        }
        while !items.is_empty() {
            let later = split_repeats(&mut items);
            commit(&table, items).await;
            items = later;
        }
    }
}

/// Takes out the items whose key stands in an earlier item; a transaction names a key once.
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
                    item.end(Ok(Reply::Done(revision)));
                }
            }
            Ok(Outcome::Conflict(rows)) => items = resolve(items, &rows),
            // Sent again it either takes effect now, or its conflict shows our own nonces.
            Err(fault) if fault.may_have_applied() && resends < RESENDS => resends += 1,
            Err(fault) => {
                for item in items.drain(..) {
                    item.end(Err(fault.clone()));
                }
            }
        }
    }
}

fn transaction(items: &[Item], index: &str) -> Txn {
    let mut taken: Vec<&str> = Vec::new();
    let mut txn = Txn::default();
    for item in items {
        txn = item.add(txn);
        if let Change::Take(_) = item.change {
            taken.push(&item.key[claim::ROW_PREFIX.len()..]);
        }
    }
    if taken.is_empty() {
        return txn;
    }
    txn.put(index, serde_json::to_vec(&taken).unwrap_or_default())
}

fn resolve(items: Vec<Item>, rows: &[table::Row]) -> Vec<Item> {
    let count = items.len();
    let mut rest: Vec<Item> = items
        .into_iter()
        .filter_map(|item| {
            let row = rows.iter().find(|row| row.key == item.key);
            item.resolve(row)
        })
        .collect();
    if rest.len() == count {
        for item in rest.drain(..) {
            item.end(Err(unreadable("a conflict without any conflicting row")));
        }
    }
    rest
}

/// A row of its own for each transaction, in the bucket of the present time.
fn index_key() -> String {
    let bucket = claim::bucket(claim::now_ms());
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

/// The instance is stopping.
pub fn stopped() -> Fault {
    Fault::NotSent {
        address: SocketAddr::from(([0, 0, 0, 0], 0)),
        reason: "this instance is stopping".to_owned(),
    }
}
