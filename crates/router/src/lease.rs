//! The lease for control work: one row of the table, acquired and renewed by compare-and-set.

use std::time::Duration;

use platform::{
    http::Fault,
    table::{
        Outcome,
        Row as TableRow,
        Table,
        Txn, //
    }, //
};
use policy::rights::term::{
    Observation,
    holder_deadline, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use state::{
    clock,
    lease::{
        Grant,
        Lease, //
    }, //
};

/// Renewals per term; with several, a few may fail.
pub const RENEWALS_PER_TERM: u32 = 4;

/// The row of the lease.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
struct Row {
    holder: String,
    number: u64,
    /// Whether the holder has released the lease and gives no more orders.
    #[serde(default)]
    released: bool,
    /// Random per write; shows after a lost response whether the write was applied.
    write_id: u64,
}

/// Whether the holder has released the lease, according to the value of the lease's row.
pub fn is_released(value: &[u8]) -> bool {
    serde_json::from_slice(value).is_ok_and(|row: Row| row.released)
}

/// A write of the row; its grant takes effect once the table has applied it.
#[derive(Clone, Copy, Debug)]
struct Write {
    id: u64,
    grant: Grant,
}

/// Acquires and renews the lease for one contender.
#[derive(Debug)]
pub struct Contender<T> {
    table: T,
    /// Key of the lease's row.
    key: &'static str,
    name: String,
    term: Duration,
    /// The last write, whether applied or not.
    last_write: Option<Write>,
    observation: Option<Observation>,
}

impl<T: Table> Contender<T> {
    /// Creates a contender that does not hold the lease.
    pub fn new(table: T, key: &'static str, name: &str, term: Duration) -> Self {
        Self {
            table,
            key,
            name: name.to_owned(),
            term,
            last_write: None,
            observation: None,
        }
    }

    /// Releases the lease if it is held, so that the next holder need not wait for the end of the
    /// term.
    ///
    /// # Errors
    ///
    /// If the table gives no answer; the lease then expires with its term.
    pub async fn release(&mut self, lease: &Lease) -> Result<(), Fault> {
        let Some(grant) = lease.check(Duration::ZERO) else {
            return Ok(());
        };
        lease.clear();
        let Some(found) = self.table.get(self.key).await? else {
            return Ok(());
        };
        let row = Row {
            holder: self.name.clone(),
            number: grant.number,
            released: true,
            write_id: rand::random(),
        };
        let current: Option<Row> = serde_json::from_slice(&found.value).ok();
        if current.is_some_and(|current| current.number == grant.number) {
            let value = serde_json::to_vec(&row).unwrap_or_default();
            let txn = Txn::default().when(self.key, found.revision);
            self.table.transact(txn.put(self.key, value)).await?;
        }
        Ok(())
    }

    /// Sets when this revision of the row was first seen by other means than [`Contender::step`].
    pub fn set_observation(&mut self, observation: Observation) {
        self.observation = Some(observation);
    }

    /// Reads the row, then renews the lease if this contender holds it, or acquires it if it is
    /// free.
    ///
    /// # Errors
    ///
    /// If the table gives no answer. The write may have been applied; the next step detects that by
    /// `write_id`.
    pub async fn step(&mut self, lease: &Lease) -> Result<(), Fault> {
        let found = self.table.get(self.key).await?;
        let now = clock::now();
        let Some(found) = found else {
            return self.write(lease, 0, 1, now).await;
        };
        // An unreadable row has no holder, but its fencing number may have been used; the row's
        // revision stands in for it.
        let row: Option<Row> = serde_json::from_slice(&found.value).ok();
        let number = row.as_ref().map_or(found.revision, |row| row.number);
        let applied = self
            .last_write
            .filter(|last| row.as_ref().is_some_and(|row| row.write_id == last.id));
        if let Some(last) = applied {
            lease.set(last.grant);
            return self
                .write(lease, found.revision, number, last.grant.quiet_until)
                .await;
        }
        lease.clear();
        let released = row.as_ref().is_some_and(|row| row.released);
        if released || self.has_ended(&found, now) {
            // The previous holder gives no order after its term; one may still be in flight.
            let quiet_until = now + endpoint::order::MAX_DELIVERY_TIME;
            return self
                .write(lease, found.revision, number + 1, quiet_until)
                .await;
        }
        Ok(())
    }

    fn has_ended(&mut self, found: &TableRow, now: Duration) -> bool {
        let observation = self.observation.get_or_insert(Observation {
            revision: found.revision,
            since: now,
        });
        observation.observe(found.revision, now);
        observation.is_expired(self.term, now)
    }

    async fn write(
        &mut self,
        lease: &Lease,
        revision: u64,
        number: u64,
        quiet_until: Duration,
    ) -> Result<(), Fault> {
        let row = Row {
            holder: self.name.clone(),
            number,
            released: false,
            write_id: rand::random(),
        };
        // The term begins before the write is sent.
        let grant = Grant {
            number,
            expires_at: holder_deadline(clock::now(), self.term),
            quiet_until,
        };
        let id = row.write_id;
        self.last_write = Some(Write { id, grant });
        let value = serde_json::to_vec(&row).unwrap_or_default();
        let txn = Txn::default().when(self.key, revision).put(self.key, value);
        match self.table.transact(txn).await? {
            Outcome::Applied(_) => lease.set(grant),
            Outcome::Conflict(_) => lease.clear(),
        }
        Ok(())
    }
}
