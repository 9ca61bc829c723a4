//! Endpoints by the key of their row.

use std::{
    sync::Arc,
    time::Duration, //
};

use telemetry::{
    emit,
    event, //
};

use super::{
    departures::Departures,
    grace::Grace, //
};
use crate::{
    exchange::whole_millis,
    fleet::{
        Endpoint,
        Registration, //
    },
    protocol::Invalid, //
};

/// Period after a restore of the table in which endpoints write their rows again, and in which the
/// platform deletes the rows of endpoints that are gone.
const REWRITE_PERIOD: Duration = Duration::from_secs(5);
/// Age of a removal at which it is forgotten; copies of the table are not older.
const REMOVAL_HORIZON: Duration = Duration::from_secs(60);
/// Maximum number of removals that are remembered.
const MAX_REMOVALS: usize = 4_096;

/// An endpoint and the era of the table in which its row was last written.
#[derive(Debug)]
struct Entry {
    key: Box<str>,
    endpoint: Arc<Endpoint>,
    era: u64,
}

/// A deleted row whose endpoint stays in use until it is removed.
#[derive(Debug)]
struct Deletion {
    key: Box<str>,
    remove_at: Duration,
    /// Era of the deletion.
    era: u64,
    /// Whether the row was not deleted but is missing in the copy that the table was restored from.
    is_restore: bool,
}

/// An endpoint that was removed.
#[derive(Debug)]
struct Removal {
    key: Box<str>,
    registration: Registration,
    era: u64,
    removed_at: Duration,
}

/// A row of a restored table that is older than what is known of its endpoint.
#[derive(Debug)]
struct OldRow {
    key: Box<str>,
    registration: Registration,
    era: u64,
    /// When it counts nonetheless, if the endpoint has not written another one.
    valid_at: Duration,
}

/// Endpoints by the key of their row.
#[derive(Debug, Default)]
pub(super) struct Registry {
    /// # Invariants
    ///
    /// Sorted by key.
    entries: Vec<Entry>,
    deletions: Vec<Deletion>,
    /// # Invariants
    ///
    /// Sorted by key.
    removals: Vec<Removal>,
    old_rows: Vec<OldRow>,
    departures: Departures,
    pub(super) grace: Grace,
}

impl Registry {
    /// Applies a row that was written in `era`.
    pub(super) fn put(
        &mut self,
        key: &str,
        row: Result<Registration, Invalid>,
        era: u64,
        now: Duration,
    ) {
        self.old_rows.retain(|old| *old.key != *key);
        let registration = match row {
            Ok(registration) => registration,
            Err(reason) => {
                emit!(warn, event::ENDPOINT_UNREADABLE, row = key, reason = %reason);
                self.deletions.retain(|deletion| *deletion.key != *key);
                self.remove(key);
                return;
            }
        };
        if self.is_old(key, &registration, era) {
            emit!(info, event::ENDPOINT_ROW_OLD, row = key, era = era);
            self.old_rows.push(OldRow {
                key: key.into(),
                registration,
                era,
                valid_at: now + REWRITE_PERIOD,
            });
            return;
        }
        self.register(key, registration, era);
    }

    /// Whether a row is older than what an earlier era of the table had of its endpoint.
    fn is_old(&self, key: &str, registration: &Registration, era: u64) -> bool {
        if let Ok(index) = self.find(key) {
            let known = &self.entries[index];
            let position = known.endpoint.registration.position();
            return known.era < era && registration.position() < position;
        }
        let Ok(index) = self.find_removal(key) else {
            return false;
        };
        let removal = &self.removals[index];
        removal.era < era && registration.position() <= removal.registration.position()
    }

    /// Records that an endpoint has stated that it leaves; returns whether that is new.
    pub(super) fn record_departure(&mut self, endpoint: &Registration, now: Duration) -> bool {
        let (name, incarnation) = (&endpoint.name, endpoint.incarnation);
        if !self.departures.add(name, incarnation, now) {
            return false;
        }
        for entry in &mut self.entries {
            let known = &entry.endpoint.registration;
            if known.name == *name && known.incarnation == incarnation {
                let registration = Registration {
                    leaving: true,
                    ..known.clone()
                };
                entry.endpoint = Arc::new(entry.endpoint.with_registration(registration));
            }
        }
        true
    }

    fn register(&mut self, key: &str, mut registration: Registration, era: u64) {
        let (name, incarnation) = (&registration.name, registration.incarnation);
        registration.leaving |= self.departures.contains(name, incarnation);
        self.deletions.retain(|deletion| *deletion.key != *key);
        if let Ok(index) = self.find_removal(key) {
            self.removals.remove(index);
        }
        match self.find(key) {
            Ok(index) => {
                let entry = &mut self.entries[index];
                let known = &entry.endpoint;
                // A row of a restored table may be older than what is known.
                let is_corrected =
                    entry.era == era && registration.has_older_weights(&known.registration);
                entry.endpoint = Arc::new(if is_corrected {
                    Endpoint::new(registration)
                } else {
                    known.with_registration(registration)
                });
                entry.era = era;
            }
            Err(index) => {
                let entry = Entry {
                    key: key.into(),
                    endpoint: Arc::new(Endpoint::new(registration)),
                    era,
                };
                self.entries.insert(index, entry);
            }
        }
    }

    /// Applies the deletion of a row, or its absence from an older copy of the table.
    pub(super) fn delete_row(&mut self, key: &str, era: u64, now: Duration) {
        let is_same = |old: &mut OldRow| *old.key == *key;
        let was_in_copy = self.old_rows.extract_if(.., is_same).count() > 0;
        let Ok(index) = self.find(key) else {
            return;
        };
        let is_restore = self.entries[index].era < era && !was_in_copy;
        let grace = if is_restore {
            REWRITE_PERIOD
        } else {
            self.grace.remaining(now)
        };
        if grace.is_zero() {
            self.remove_in(era, key, now);
            return;
        }
        emit!(
            info,
            event::ENDPOINT_KEPT,
            row = key,
            grace_ms = whole_millis(grace),
        );
        self.deletions.push(Deletion {
            key: key.into(),
            remove_at: now + grace,
            era,
            is_restore,
        });
    }

    /// Removes the endpoints whose rows were not written again in time, and applies old rows that
    /// were not replaced; returns whether anything has changed.
    pub(super) fn expire(&mut self, now: Duration) -> bool {
        self.removals
            .retain(|removal| now.saturating_sub(removal.removed_at) <= REMOVAL_HORIZON);
        let is_over = self.grace.remaining(now).is_zero();
        let is_due = |d: &mut Deletion| d.remove_at <= now || (is_over && !d.is_restore);
        let due: Vec<Deletion> = self.deletions.extract_if(.., is_due).collect();
        let is_valid = |old: &mut OldRow| old.valid_at <= now;
        let valid: Vec<OldRow> = self.old_rows.extract_if(.., is_valid).collect();
        let has_changed = !due.is_empty() || !valid.is_empty();
        for deletion in due {
            self.remove_in(deletion.era, &deletion.key, now);
        }
        for old in valid {
            self.register(&old.key, old.registration, old.era);
        }
        has_changed
    }

    pub(super) fn endpoints(&self) -> impl Iterator<Item = &Arc<Endpoint>> {
        self.entries.iter().map(|entry| &entry.endpoint)
    }

    /// Removes an endpoint whose row was deleted in `era`, and remembers it.
    fn remove_in(&mut self, era: u64, key: &str, now: Duration) {
        let Some(entry) = self.remove(key) else {
            return;
        };
        let removal = Removal {
            key: entry.key,
            registration: entry.endpoint.registration.clone(),
            era,
            removed_at: now,
        };
        match self.find_removal(key) {
            Ok(index) => self.removals[index] = removal,
            Err(_) if self.removals.len() >= MAX_REMOVALS => {}
            Err(index) => self.removals.insert(index, removal),
        }
    }

    fn remove(&mut self, key: &str) -> Option<Entry> {
        let index = self.find(key).ok()?;
        Some(self.entries.remove(index))
    }

    fn find(&self, key: &str) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| (*entry.key).cmp(key))
    }

    fn find_removal(&self, key: &str) -> Result<usize, usize> {
        self.removals
            .binary_search_by(|removal| (*removal.key).cmp(key))
    }
}
