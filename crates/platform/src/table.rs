//! Client for the transactional table, in the JSON form of the etcd v3 key-value protocol.

use std::{
    fmt,
    future::Future,
    net::SocketAddr,
    num::ParseIntError,
    str::FromStr,
    time::Duration, //
};

use bytes::Bytes;
use http::Method;
use serde::{
    Deserialize,
    Serialize,
    de::DeserializeOwned, //
};
use thiserror::Error;

use crate::http::{
    Client,
    Fault, //
};

pub mod message;

/// Position in the history of the table.
///
/// Ordered by era, then by number.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct Revision {
    /// Number of times that the table was restored from an older copy, counted from any start; 0 if
    /// the table does not count them. A new era gives out numbers again.
    pub era: u64,
    /// Number of the last transaction; 0 before the first.
    pub number: u64,
}

impl Revision {
    /// Revision of a row that does not exist, in any era.
    pub const ABSENT: Self = Self { era: 0, number: 0 };

    /// Whether the row does not exist at this revision.
    pub fn is_absent(self) -> bool {
        self.number == 0
    }
}

/// A revision of a table that does not count eras.
impl From<u64> for Revision {
    fn from(number: u64) -> Self {
        Self { era: 0, number }
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.number)
    }
}

/// Parses the form that [`fmt::Display`] writes.
impl FromStr for Revision {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (era, number) = text.split_once('.').unwrap_or(("0", text));
        Ok(Self {
            era: era.parse()?,
            number: number.parse()?,
        })
    }
}

/// One row of the table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Row {
    /// Key. All keys of the router are UTF-8.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
    /// Table revision of the last change to the row.
    pub revision: Revision,
}

/// Result of a read: rows in order of keys, at one table revision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Range {
    /// Table revision at which the rows were read.
    pub revision: Revision,
    /// The rows.
    pub rows: Vec<Row>,
    /// Reading of the table's monotonic clock, if the table reports it.
    pub clock: Option<Duration>,
}

/// Result of a read of one row.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Reading {
    /// The row; `None` if it does not exist.
    pub row: Option<Row>,
    /// Era of the table at the read.
    pub era: u64,
    /// Reading of the table's monotonic clock at the read, if the table reports it.
    pub clock: Option<Duration>,
}

/// A condition of a transaction: the row was last changed at `revision`, or does not exist if
/// `revision` is absent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Compare {
    /// Key of the row.
    pub key: String,
    /// Table revision of its last change, or [`Revision::ABSENT`].
    pub revision: Revision,
}

/// A change to one row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Op {
    /// Writes a row.
    Put {
        /// Key of the row.
        key: String,
        /// New value.
        value: Vec<u8>,
    },
    /// Deletes a row.
    Delete {
        /// Key of the row.
        key: String,
    },
}

/// A transaction: all changes are applied if every condition holds, otherwise none.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Txn {
    /// Conditions.
    pub compares: Vec<Compare>,
    /// Changes.
    pub ops: Vec<Op>,
}

impl Txn {
    /// Adds the condition that `key` was last changed at `revision`, or does not exist if that is
    /// absent.
    pub fn when(mut self, key: impl Into<String>, revision: impl Into<Revision>) -> Self {
        self.compares.push(Compare {
            key: key.into(),
            revision: revision.into(),
        });
        self
    }

    /// Adds a write.
    pub fn put(mut self, key: impl Into<String>, value: impl Into<Vec<u8>>) -> Self {
        self.ops.push(Op::Put {
            key: key.into(),
            value: value.into(),
        });
        self
    }

    /// Adds a deletion.
    pub fn delete(mut self, key: impl Into<String>) -> Self {
        self.ops.push(Op::Delete { key: key.into() });
        self
    }
}

/// Result of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// All changes were applied at this table revision.
    Applied(Revision),
    /// A condition failed. Holds the current rows of all keys named in conditions.
    Conflict(Vec<Row>),
}

/// The transactional table.
pub trait Table: Clone + Send + Sync + 'static {
    /// Reads the rows whose keys start with `prefix`.
    ///
    /// # Errors
    ///
    /// Any [`Fault`]; a read has no effect.
    fn range(&self, prefix: &str) -> impl Future<Output = Result<Range, Fault>> + Send;

    /// Reads the row with exactly this key.
    ///
    /// # Errors
    ///
    /// Any [`Fault`]; a read has no effect.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Row>, Fault>> + Send;

    /// Like [`Table::get`], with a reading of the table's clock.
    ///
    /// # Errors
    ///
    /// Any [`Fault`]; a read has no effect.
    fn read(&self, key: &str) -> impl Future<Output = Result<Reading, Fault>> + Send {
        async move {
            let row = self.get(key).await?;
            let era = row.as_ref().map_or(0, |row| row.revision.era);
            Ok(Reading {
                row,
                era,
                clock: None,
            })
        }
    }

    /// Runs a transaction.
    ///
    /// # Errors
    ///
    /// After [`Fault::Lost`] the changes may have been applied, also to rows of a later era, whose
    /// revisions may have the numbers that the conditions name. To find out, the
    /// caller reads back a unique value that the transaction writes.
    fn transact(&self, txn: Txn) -> impl Future<Output = Result<Outcome, Fault>> + Send;
}

/// A change that was made to one row.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Change {
    /// Key of the row.
    pub key: String,
    /// New value; `None` if the row was deleted.
    pub value: Option<Vec<u8>>,
    /// Table revision of the change.
    pub revision: Revision,
}

/// Changes in the order in which they were made.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Changes {
    /// Table revision up to which the changes are complete; pass it as `after` in the next call.
    pub revision: Revision,
    /// The changes; empty if none was made within the wait.
    pub rows: Vec<Change>,
    /// Reading of the table's monotonic clock, if the table reports it.
    pub clock: Option<Duration>,
}

/// Why a watch returned no changes.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Error)]
pub enum WatchFault {
    /// The table has compacted the requested history; the rows must be read again.
    #[error("the table has dropped the history after revision {0}")]
    Compacted(Revision),
    /// The table was restored from an older copy; the rows must be read again.
    #[error("the table was restored from an older copy and is in era {era} after revision {after}")]
    Restored {
        /// Revision after which changes were requested.
        after: Revision,
        /// The table's era.
        era: u64,
    },
    /// The request to the table failed.
    #[error(transparent)]
    Fault(#[from] Fault),
}

/// A table whose changes can be watched.
pub trait Watch: Table {
    /// Waits up to `wait` for changes, after revision `after`, of rows whose keys start with
    /// `prefix`.
    ///
    /// # Errors
    ///
    /// [`WatchFault::Compacted`] or [`WatchFault::Restored`] if changes may have been missed.
    fn changes(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes, WatchFault>> + Send;
}

/// The table behind an HTTP address.
#[derive(Clone, Debug)]
pub struct Remote {
    address: SocketAddr,
    client: Client,
}

impl Remote {
    /// Creates a client for the table at `address`.
    pub fn new(address: SocketAddr, client: Client) -> Self {
        Self { address, client }
    }

    async fn post<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        request: &Q,
    ) -> Result<A, Fault> {
        let address = self.address;
        let body = serde_json::to_vec(request).map_err(|error| Fault::NotSent {
            address,
            reason: error.to_string(),
        })?;
        let answer = self
            .client
            .call(Method::POST, address, path, Bytes::from(body))
            .await?;
        serde_json::from_slice(&answer.body).map_err(|error| Fault::Lost {
            address,
            reason: format!("unreadable answer: {error}"),
        })
    }
}

impl Table for Remote {
    async fn range(&self, prefix: &str) -> Result<Range, Fault> {
        let request = message::RangeRequest::prefix(prefix);
        let answer: message::RangeResponse = self.post("/v3/kv/range", &request).await?;
        Ok(answer.into())
    }

    async fn get(&self, key: &str) -> Result<Option<Row>, Fault> {
        let request = message::RangeRequest::exact(key);
        let answer: message::RangeResponse = self.post("/v3/kv/range", &request).await?;
        Ok(Range::from(answer).rows.pop())
    }

    async fn transact(&self, txn: Txn) -> Result<Outcome, Fault> {
        let request = message::TxnRequest::from(txn);
        let answer: message::TxnResponse = self.post("/v3/kv/txn", &request).await?;
        Ok(answer.into())
    }
}
