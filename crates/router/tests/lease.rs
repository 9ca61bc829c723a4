//! Release of the lease for orders at a planned stop.

#![expect(clippy::unwrap_used, reason = "a failed test may panic")]

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration, //
};

use platform::{
    http::Fault,
    table::{
        Op,
        Outcome,
        Range,
        Row,
        Table,
        Txn, //
    }, //
};
use router::lease::Contender;
use state::lease::Lease;

const KEY: &str = "t/lease";
/// Far longer than the test takes, so that no lease expires.
const TERM: Duration = Duration::from_secs(3_600);

/// An in-memory table: rows by key, and the latest revision.
#[derive(Clone, Debug, Default)]
struct Memory(Arc<Mutex<(BTreeMap<String, Row>, u64)>>);

impl Table for Memory {
    async fn range(&self, _: &str) -> Result<Range, Fault> {
        Ok(Range::default())
    }

    async fn get(&self, key: &str) -> Result<Option<Row>, Fault> {
        Ok(self.0.lock().unwrap().0.get(key).cloned())
    }

    async fn transact(&self, txn: Txn) -> Result<Outcome, Fault> {
        let mut guard = self.0.lock().unwrap();
        let (rows, revision) = &mut *guard;
        let is_unchanged = txn.compares.iter().all(|compare| {
            rows.get(&compare.key).map_or(0, |row| row.revision) == compare.revision
        });
        if !is_unchanged {
            return Ok(Outcome::Conflict(Vec::new()));
        }
        *revision += 1;
        for op in txn.ops {
            if let Op::Put { key, value } = op {
                let row = Row {
                    key: key.clone(),
                    value,
                    revision: *revision,
                };
                rows.insert(key, row);
            }
        }
        Ok(Outcome::Applied(*revision))
    }
}

#[tokio::test]
async fn a_released_lease_is_taken_at_once_with_a_higher_number() {
    let table = Memory::default();
    let (first, second) = (Lease::default(), Lease::default());
    let mut holder = Contender::new(table.clone(), KEY, "first", TERM);
    let mut next = Contender::new(table.clone(), KEY, "second", TERM);
    holder.step(&first).await.unwrap();
    next.step(&second).await.unwrap();
    assert!(second.check(Duration::ZERO).is_none());
    holder.release(&first).await.unwrap();
    assert!(first.check(Duration::ZERO).is_none());
    next.step(&second).await.unwrap();
    let grant = second.check(Duration::ZERO).unwrap();
    assert_eq!(grant.number, 2);
}

#[tokio::test]
async fn only_the_holder_can_release_the_lease() {
    let table = Memory::default();
    let (first, second) = (Lease::default(), Lease::default());
    let mut holder = Contender::new(table.clone(), KEY, "first", TERM);
    let mut other = Contender::new(table.clone(), KEY, "second", TERM);
    holder.step(&first).await.unwrap();
    other.release(&second).await.unwrap();
    holder.step(&first).await.unwrap();
    assert_eq!(first.check(Duration::ZERO).unwrap().number, 1);
}
