//! The row of the lease, and how instances order their attempts to take it.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use platform::table::{
    self,
    Change,
    Reading,
    Revision, //
};
use policy::rights::term::Observation;
use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Fencing numbers of an era begin at the era times this, and rise with the revisions of the row; a
/// restore that loses fewer transactions gives out none again.
const NUMBERS_PER_ERA: u64 = 1 << 32;

/// The row of the lease.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(super) struct Row {
    pub(super) holder: String,
    pub(super) number: u64,
    /// Whether the holder has released the lease and gives no more orders.
    #[serde(default)]
    pub(super) released: bool,
    /// Address that no two running processes are bound to, if the holder is bound to one.
    #[serde(default)]
    pub(super) address: Option<SocketAddr>,
    /// Time by the table's clock from which the holder gives no more orders, in milliseconds, if it
    /// knows that clock.
    #[serde(default)]
    pub(super) ends_ms: Option<u64>,
    /// Era of the read that the write followed.
    #[serde(default)]
    pub(super) era: u64,
    /// Random per write; shows after a lost response whether the write was applied.
    pub(super) write_id: u64,
}

/// The lease's row as an instance last received it.
#[derive(Clone, Debug)]
pub struct Sighting {
    /// `None` if the row cannot be parsed or does not exist.
    pub(super) row: Option<Row>,
    pub(super) observation: Observation<Revision>,
}

impl Sighting {
    /// Whether the instance named `other` tries to take the lease before the one named `own`: the last
    /// holder is the first, since it has seen how long the engines take to load.
    pub fn precedes(&self, other: &str, own: &str) -> bool {
        let row = self.row.as_ref();
        let number = row.map_or(0, |row| row.number);
        let is_holder = |name| row.is_some_and(|row| row.holder == name);
        let key = |name| (!is_holder(name), rank(name, number));
        key(other) < key(own)
    }

    /// Where the holder receives datagrams, if the row names one that has not released the lease.
    pub fn holder_address(&self) -> Option<SocketAddr> {
        let row = self.row.as_ref().filter(|row| !row.released);
        row?.address
    }

    /// Records a change of the row that was received at `now`.
    pub fn new(change: &Change, now: Duration) -> Self {
        let Some(value) = &change.value else {
            return Self::absent(change.revision.era, now);
        };
        Self {
            row: serde_json::from_slice(value).ok(),
            observation: Observation {
                revision: change.revision,
                since: now,
            },
        }
    }

    /// Records that the table, known to be in `era` since `since`, has no row.
    pub fn absent(era: u64, since: Duration) -> Self {
        Self {
            row: None,
            observation: Observation {
                revision: Revision { era, number: 0 },
                since,
            },
        }
    }
}

/// Order in which instances try to take the lease from the holder with a fencing number; the lowest is
/// the first.
///
/// Differs for each number, so that the lease does not follow instances that are stopped in turn, in
/// whatever order of their names.
pub fn rank(name: &str, number: u64) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), number)
}

/// Revision at which a row was read; its number is 0 if there was none.
pub(super) fn revision(reading: &Reading) -> Revision {
    let absent = Revision {
        era: reading.era,
        number: 0,
    };
    reading.row.as_ref().map_or(absent, |row| row.revision)
}

pub(super) fn parse(row: &table::Row) -> Option<Row> {
    serde_json::from_slice(&row.value).ok()
}

/// Fencing number of a new holder that follows the row, if any, at a revision.
pub(super) fn next_number(row: Option<&Row>, revision: Revision) -> u64 {
    // An unreadable row has no holder, but its fencing number may have been used; the row's revision
    // stands in for it.
    let last = row.map_or(revision.number, |row| row.number);
    if revision.era == 0 {
        return last + 1;
    }
    // The row's number may be lower than one that was given out in this era: a late write of an
    // earlier era can replace a row.
    let first = revision.era.saturating_mul(NUMBERS_PER_ERA);
    first.saturating_add(revision.number).max(last + 1)
}
