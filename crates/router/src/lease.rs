//! The lease for control work: one row of the table, acquired and renewed by compare-and-set.
//!
//! After a restore of the table from an older copy, the row may be older than one that is gone, and a
//! write of the era before may still be applied to it. So a row counts only in the era of the read
//! that its write followed. The holder goes on until the end of its term, and writes the row again
//! meanwhile; all others wait for a term.

mod row;

use std::{
    net::SocketAddr,
    time::Duration, //
};

use platform::{
    http::Fault,
    table::{
        Outcome,
        Revision,
        Table,
        Txn, //
    }, //
};
use policy::rights::term::{
    Observation,
    holder_deadline,
    table_deadline, //
};
use row::{
    Row,
    next_number,
    parse,
    revision, //
};
pub use row::{
    Sighting,
    rank, //
};
use state::{
    clock,
    lease::{
        Grant,
        Lease, //
    }, //
};
use telemetry::{
    emit,
    event, //
};

/// Renewals per term; with several, a few may fail.
pub const RENEWALS_PER_TERM: u32 = 4;

/// Why a contender may write the row.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Claim {
    /// It wrote the row itself and goes on with the same number.
    Renewal,
    /// Its term goes on, though the table was restored from a copy and may not have its row.
    Restored,
    /// An earlier process of this instance wrote the row, and has ended, or this process did and did
    /// not see that the write was applied.
    Own,
    /// There is no row, and never was: the table counts no eras.
    Absent,
    /// The previous holder has released the lease.
    Released,
    /// The table's clock has passed the end of the term that the row states.
    Ended,
    /// The row, or its absence, has been unchanged for a term within one era.
    Unchanged,
}

impl Claim {
    fn reason(self) -> &'static str {
        match self {
            Self::Renewal => "renewal",
            Self::Restored => "held over a restore",
            Self::Own => "own row",
            Self::Absent => "absent",
            Self::Released => "released",
            Self::Ended => "ended by the table's clock",
            Self::Unchanged => "unchanged for a term",
        }
    }
}

/// A write of the row; its grant takes effect once the table has applied it.
#[derive(Clone, Copy, Debug)]
struct Write {
    id: u64,
    /// Era of the read that the write followed.
    era: u64,
    grant: Grant,
    claim: Claim,
}

/// The read of the row that a write follows.
#[derive(Clone, Copy, Debug)]
struct Basis {
    /// Table revision of the row, in the era of the read; its number is 0 if there is no row.
    revision: Revision,
    /// Reading of the table's clock, if the table reports it.
    table_time: Option<Duration>,
    /// Local time just before the read was sent.
    asked_at: Duration,
}

/// Acquires and renews the lease for one contender.
#[derive(Debug)]
pub struct Contender<T> {
    table: T,
    /// Key of the lease's row.
    key: &'static str,
    name: String,
    /// # Invariants
    ///
    /// This process is bound to it, so that every other process that was has ended.
    address: Option<SocketAddr>,
    created_at: Duration,
    term: Duration,
    /// The last write, whether applied or not.
    last_write: Option<Write>,
    /// The last write that was applied, while no other instance has taken the lease since.
    held: Option<Write>,
    observation: Option<Observation<Revision>>,
}

impl<T: Table> Contender<T> {
    /// Creates a contender that does not hold the lease.
    pub fn new(table: T, key: &'static str, name: &str, term: Duration) -> Self {
        Self {
            table,
            key,
            name: name.to_owned(),
            address: None,
            created_at: clock::now(),
            term,
            last_write: None,
            held: None,
            observation: None,
        }
    }

    /// Sets an address that this process is bound to and that no other machine has. A row that was
    /// written at this address under the same name is that of an earlier process, which has ended.
    pub fn bound_to(mut self, address: SocketAddr) -> Self {
        self.address = Some(address).filter(|address| !address.ip().is_unspecified());
        self
    }

    /// Gives up the lease, so that the next holder need not wait for the end of the term; has no effect
    /// if this contender does not hold it.
    ///
    /// # Errors
    ///
    /// If the table gives no answer. No order is permitted any more, but the row says so only once a
    /// later call succeeds.
    pub async fn release(&mut self, lease: &Lease) -> Result<(), Fault> {
        lease.clear();
        let Some(held) = self.held else {
            return Ok(());
        };
        let reading = self.table.read(self.key).await?;
        let now = clock::now();
        let revision = revision(&reading);
        let current = reading.row.as_ref().and_then(parse);
        let is_own =
            |row: &Row| row.number == held.grant.number && row.era == revision.era && !row.released;
        let number = if current.as_ref().is_some_and(is_own) {
            held.grant.number
        } else if self.is_held_over_restore(current.as_ref(), revision, now) {
            next_number(current.as_ref(), revision)
        } else {
            self.held = None;
            return Ok(());
        };
        // If the release is lost, another instance may hold the lease from now on.
        self.held = Some(Write {
            grant: Grant {
                expires_at: Duration::ZERO,
                ..held.grant
            },
            ..held
        });
        let row = Row {
            holder: self.name.clone(),
            number,
            released: true,
            address: self.address,
            ends_ms: None,
            era: revision.era,
            write_id: rand::random(),
        };
        if let Outcome::Conflict(_) = self.put(&row, revision).await? {
            // A renewal may have been applied late; the next call reads the row again.
            return Ok(());
        }
        emit!(info, event::LEASE_RELEASED, number = number);
        self.held = None;
        Ok(())
    }

    /// Why this contender may try to take the lease whose row was received as `sighting`, if it may;
    /// `table_time` is an estimate of the table's clock. Only [`Contender::step`] finds out whether
    /// this holds.
    pub fn claim_to(
        &mut self,
        sighting: &Sighting,
        table_time: Option<Duration>,
        now: Duration,
    ) -> Option<Claim> {
        let seen = sighting.observation;
        // The rows may lag behind what the last step read.
        if self
            .observation
            .is_none_or(|own| own.revision <= seen.revision)
        {
            self.observation = Some(seen);
        }
        self.claim(sighting.row.as_ref(), sighting.observation, table_time, now)
    }

    fn claim(
        &self,
        row: Option<&Row>,
        observation: Observation<Revision>,
        table_time: Option<Duration>,
        now: Duration,
    ) -> Option<Claim> {
        let Observation { revision, .. } = observation;
        if self.is_held_over_restore(row, revision, now) {
            return Some(Claim::Restored);
        }
        let row = row.filter(|row| row.era == revision.era);
        let ends_at = row.and_then(|row| row.ends_ms).map(Duration::from_millis);
        let has_ended = ends_at
            .zip(table_time)
            .is_some_and(|(end, time)| time >= end);
        if revision.is_absent() && revision.era == 0 {
            Some(Claim::Absent)
        } else if row.is_some_and(|row| row.released) {
            Some(Claim::Released)
        } else if row.is_some_and(|row| self.is_own(row)) {
            Some(Claim::Own)
        } else if has_ended {
            Some(Claim::Ended)
        } else if observation.is_expired(self.term, now) {
            Some(Claim::Unchanged)
        } else {
            None
        }
    }

    /// Whether the table does not have this contender's row since a restore, and `now`, after the read,
    /// is within the last term that was granted: no other contender had the lease before the restore,
    /// and one that takes it after that changes the row.
    fn is_held_over_restore(&self, row: Option<&Row>, revision: Revision, now: Duration) -> bool {
        let is_restored = match row {
            Some(row) => row.era < revision.era,
            None => revision.is_absent() && revision.era > 0,
        };
        is_restored && self.held.is_some_and(|held| now <= held.grant.expires_at)
    }

    /// Time until which an order of the previous holder may still be in flight.
    fn quiet_until(
        &self,
        claim: Claim,
        row: Option<&Row>,
        table_time: Option<Duration>,
        now: Duration,
    ) -> Duration {
        let since = self
            .observation
            .map_or(now, |observation| observation.since);
        let ended_at = match claim {
            Claim::Renewal | Claim::Restored => {
                return self.held.map_or(now, |held| held.grant.quiet_until);
            }
            Claim::Own if self.last_write.is_none() => self.created_at,
            Claim::Absent | Claim::Own => now,
            Claim::Released => since,
            Claim::Ended => {
                let end = row.and_then(|row| row.ends_ms).map(Duration::from_millis);
                let age = table_time
                    .zip(end)
                    .map(|(time, end)| time.saturating_sub(end));
                now.saturating_sub(age.unwrap_or_default())
            }
            Claim::Unchanged => since + self.term,
        };
        ended_at + endpoint::order::MAX_DELIVERY_TIME
    }

    fn is_own(&self, row: &Row) -> bool {
        self.address.is_some() && row.address == self.address && row.holder == self.name
    }

    /// Reads the row, then renews the lease if this contender holds it, or acquires it if it is
    /// free.
    ///
    /// # Errors
    ///
    /// If the table gives no answer. The write may have been applied; the next step detects that by
    /// `write_id`.
    pub async fn step(&mut self, lease: &Lease) -> Result<(), Fault> {
        let asked_at = clock::now();
        let reading = self.table.read(self.key).await?;
        let now = clock::now();
        let revision = revision(&reading);
        let basis = Basis {
            revision,
            table_time: reading.clock,
            asked_at,
        };
        let row = reading.row.as_ref().and_then(parse);
        let row = row.as_ref();
        let stated = row.filter(|row| row.era == revision.era);
        let is_stated = |write: &Write| stated.is_some_and(|row| row.write_id == write.id);
        // The last one may have been refused or lost.
        let applied = self
            .last_write
            .filter(is_stated)
            .or(self.held.filter(is_stated));
        if let Some(applied) = applied {
            self.grant(lease, applied);
            let number = applied.grant.number;
            return self.write(lease, basis, number, row, Claim::Renewal).await;
        }
        let observation = self.observe(revision, now);
        let claim = self.claim(row, observation, reading.clock, now);
        if claim != Some(Claim::Restored) {
            lease.clear();
        }
        let other = stated.filter(|row| !self.is_own(row));
        if let (Some(held), Some(row)) = (self.held, other) {
            self.held = None;
            emit!(
                info,
                event::LEASE_LOST,
                number = held.grant.number,
                holder = row.holder,
            );
        }
        let Some(claim) = claim else {
            return Ok(());
        };
        let number = next_number(row, revision);
        self.write(lease, basis, number, row, claim).await
    }

    /// Records a read of the row; returns since when its revision has been seen.
    fn observe(&mut self, revision: Revision, now: Duration) -> Observation<Revision> {
        let observation = self.observation.get_or_insert(Observation {
            revision,
            since: now,
        });
        observation.observe(revision, now);
        *observation
    }

    /// Records the grant of a write that the table has applied.
    fn grant(&mut self, lease: &Lease, write: Write) {
        lease.set(write.grant);
        let number = write.grant.number;
        let before = self.held.replace(write);
        if before.is_none_or(|before| before.grant.number != number) {
            let reason = write.claim.reason();
            emit!(
                info,
                event::LEASE_TAKEN,
                number = number,
                era = write.era,
                reason = reason,
            );
        }
    }

    async fn write(
        &mut self,
        lease: &Lease,
        basis: Basis,
        number: u64,
        current: Option<&Row>,
        claim: Claim,
    ) -> Result<(), Fault> {
        // The term begins before the write is sent.
        let sent_at = clock::now();
        let quiet_until = self.quiet_until(claim, current, basis.table_time, sent_at);
        let ends_at = basis
            .table_time
            .map(|time| table_deadline(time, basis.asked_at, sent_at, self.term));
        let row = Row {
            holder: self.name.clone(),
            number,
            released: false,
            address: self.address,
            // Rounded up.
            ends_ms: ends_at.and_then(|end| u64::try_from(end.as_millis() + 1).ok()),
            era: basis.revision.era,
            write_id: rand::random(),
        };
        let grant = Grant {
            number,
            expires_at: holder_deadline(sent_at, self.term),
            quiet_until,
        };
        let write = Write {
            id: row.write_id,
            era: row.era,
            grant,
            claim,
        };
        self.last_write = Some(write);
        match self.put(&row, basis.revision).await? {
            Outcome::Applied(revision) if revision.era == row.era => self.grant(lease, write),
            // Applied late, after a restore.
            Outcome::Applied(_) => {}
            Outcome::Conflict(_) if claim == Claim::Restored => {}
            Outcome::Conflict(_) => lease.clear(),
        }
        Ok(())
    }

    /// Writes the row if it is still the one that was read at `basis`.
    async fn put(&self, row: &Row, basis: Revision) -> Result<Outcome, Fault> {
        let basis = match basis.is_absent() {
            true => Revision::ABSENT,
            false => basis,
        };
        let value = serde_json::to_vec(row).unwrap_or_default();
        let txn = Txn::default().when(self.key, basis).put(self.key, value);
        self.table.transact(txn).await
    }
}
