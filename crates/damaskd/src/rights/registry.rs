//! Holders registered in the table, as this instance last read their rows.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use platform::table::{
    Revision,
    Row, //
};
use policy::rights::{
    share::Holder,
    term::Observation, //
};

use super::store::{
    self,
    HolderRow, //
};

/// One holder's row, as last read.
#[derive(Clone, Debug)]
pub struct Registration {
    /// The holder.
    pub holder: Holder,
    /// Value of its row.
    pub row: HolderRow,
    /// Revision of the row and when it was first seen.
    pub observation: Observation<Revision>,
}

/// All registered holders at the last read.
///
/// # Invariants
///
/// Sorted by holder, each once.
#[derive(Debug, Default)]
pub struct Registry(Vec<Registration>);

impl Registry {
    /// Replaces the registrations with `rows`, a read of all rows answered by `now`.
    pub fn record_all(&mut self, rows: Vec<Row>, now: Duration) {
        let mut registrations: Vec<Registration> =
            rows.iter().filter_map(|row| self.merge(row, now)).collect();
        registrations.sort_unstable_by_key(|registration| registration.holder);
        self.0 = registrations;
    }

    /// Records one row, returned with a failed condition of a transaction.
    pub fn record(&mut self, row: &Row, now: Duration) {
        let Some(registration) = self.merge(row, now) else {
            return;
        };
        match self.index(registration.holder) {
            Ok(index) => self.0[index] = registration,
            Err(index) => self.0.insert(index, registration),
        }
    }

    fn merge(&self, row: &Row, now: Duration) -> Option<Registration> {
        let holder = store::holder_from_key(&row.key)?;
        let first_observation = Observation {
            revision: row.revision,
            since: now,
        };
        let known_observation = self
            .index(holder)
            .ok()
            .map(|index| self.0[index].observation);
        let mut observation = known_observation.unwrap_or(first_observation);
        observation.observe(row.revision, now);
        Some(Registration {
            holder,
            row: serde_json::from_slice(&row.value).ok()?,
            observation,
        })
    }

    /// Whether `holder` was registered at the last read.
    pub fn contains(&self, holder: Holder) -> bool {
        self.index(holder).is_ok()
    }

    /// Removes a holder whose row was deleted.
    pub fn remove(&mut self, holder: Holder) {
        self.0.retain(|registration| registration.holder != holder);
    }

    /// Holders other than `own_holder` whose rights have ended: their term passed without a
    /// renewal, or their process is gone, since this one now listens at their `address`.
    pub fn expired(
        &self,
        own_holder: Holder,
        address: Option<SocketAddr>,
        now: Duration,
    ) -> Vec<Registration> {
        let has_expired = |registration: &&Registration| {
            let unrenewed = registration
                .observation
                .is_expired(registration.row.term, now);
            let replaced = address.is_some() && registration.row.listens == address;
            registration.holder != own_holder && (unrenewed || replaced)
        };
        self.0.iter().filter(has_expired).cloned().collect()
    }

    fn index(&self, holder: Holder) -> Result<usize, usize> {
        self.0.binary_search_by_key(&holder, |r| r.holder)
    }
}
