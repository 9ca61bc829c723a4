//! The holders whose rows stand in the table, as this instance has seen them.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use platform::table::Row;
use policy::rights::{
    share::Holder,
    term::Observation, //
};

use super::store::{
    self,
    HolderRow, //
};

/// One holder's row.
#[derive(Clone, Debug)]
pub struct Standing {
    /// The holder.
    pub holder: Holder,
    /// What its row says.
    pub row: HolderRow,
    /// Since when the row has been unchanged.
    pub sighting: Observation,
}

/// All holders' rows at the last read.
///
/// # Invariants
///
/// Sorted by holder, each once.
#[derive(Debug, Default)]
pub struct Standings(Vec<Standing>);

impl Standings {
    /// Takes in a read of all rows that was answered by `now`.
    pub fn see(&mut self, rows: Vec<Row>, now: Duration) {
        let mut seen: Vec<Standing> = rows.iter().filter_map(|row| self.merge(row, now)).collect();
        seen.sort_unstable_by_key(|standing| standing.holder);
        self.0 = seen;
    }

    /// Takes in one row that a failed condition showed.
    pub fn see_one(&mut self, row: &Row, now: Duration) {
        let Some(standing) = self.merge(row, now) else {
            return;
        };
        match self.index(standing.holder) {
            Ok(index) => self.0[index] = standing,
            Err(index) => self.0.insert(index, standing),
        }
    }

    fn merge(&self, row: &Row, now: Duration) -> Option<Standing> {
        let holder = store::holder_of(&row.key)?;
        let fresh = Observation {
            revision: row.revision,
            since: now,
        };
        let known = self.index(holder).ok().map(|index| self.0[index].sighting);
        let mut sighting = known.unwrap_or(fresh);
        sighting.observe(row.revision, now);
        Some(Standing {
            holder,
            row: serde_json::from_slice(&row.value).ok()?,
            sighting,
        })
    }

    /// Whether the row of `holder` stood at the last read.
    pub fn contains(&self, holder: Holder) -> bool {
        self.index(holder).is_ok()
    }

    /// Forgets a row that was deleted.
    pub fn remove(&mut self, holder: Holder) {
        self.0.retain(|standing| standing.holder != holder);
    }

    /// Holders but `own` whose rights have ended: not renewed over their term,
    /// or gone, since this process listens at `address` in their place.
    pub fn ended(&self, own: Holder, address: Option<SocketAddr>, now: Duration) -> Vec<Standing> {
        let has_ended = |standing: &&Standing| {
            let unrenewed = standing.sighting.is_expired(standing.row.term, now);
            let replaced = address.is_some() && standing.row.listens == address;
            standing.holder != own && (unrenewed || replaced)
        };
        self.0.iter().filter(has_ended).cloned().collect()
    }

    fn index(&self, holder: Holder) -> Result<usize, usize> {
        self.0.binary_search_by_key(&holder, |s| s.holder)
    }
}
