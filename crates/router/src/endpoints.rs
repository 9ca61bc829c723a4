//! Registry of the endpoints, kept up to date with the rows that they write.

use std::{
    sync::Arc,
    time::Duration, //
};

use arc_swap::ArcSwap;
use parking_lot::Mutex;
use platform::table::Change;
use telemetry::{
    emit,
    event, //
};

use crate::{
    fleet::{
        Endpoint,
        Fleet, //
    },
    protocol::Rows, //
};

/// Grace period after an outage of the table, within which endpoints whose rows expired during the
/// outage write them again; the deployment states two seconds.
const GRACE_PERIOD: Duration = Duration::from_millis(2_200);

/// Endpoints by the key of their row.
#[derive(Debug, Default)]
struct Registry {
    /// # Invariants
    ///
    /// Sorted by key of the row.
    entries: Vec<(Box<str>, Arc<Endpoint>)>,
    /// Keys of deleted rows, each with the time at which its endpoint is removed.
    pending_removals: Vec<(Box<str>, Duration)>,
    /// End of the grace period, in which a deleted row does not remove its endpoint.
    grace_until: Duration,
}

/// All registered endpoints.
#[derive(Debug, Default)]
pub struct Endpoints {
    registry: Mutex<Registry>,
    fleet: ArcSwap<Fleet>,
}

impl Endpoints {
    /// Current snapshot of the endpoints.
    pub fn fleet(&self) -> Arc<Fleet> {
        self.fleet.load_full()
    }

    /// Applies changed rows.
    pub fn apply<P: Rows>(&self, changes: &[Change], now: Duration) {
        let mut registry = self.registry.lock();
        for change in changes {
            match &change.value {
                Some(value) => registry.put::<P>(&change.key, value),
                None => registry.delete_row(&change.key, now),
            }
        }
        self.publish(&registry);
    }

    /// Starts the grace period when the table answers again after an outage.
    pub fn table_recovered(&self, now: Duration) {
        self.registry.lock().grace_until = now + GRACE_PERIOD;
    }

    /// Suspends removals while the table does not answer, since rows may expire during the outage.
    pub fn table_lost(&self) {
        self.registry.lock().grace_until = Duration::MAX;
    }

    /// Rest of the grace period.
    pub fn remaining_grace(&self, now: Duration) -> Duration {
        self.registry.lock().grace_until.saturating_sub(now)
    }

    /// Extends the grace period to the rest of it that another instance reports, capped at the
    /// length of one grace period.
    pub fn extend_grace(&self, now: Duration, remaining: Duration) {
        if remaining.is_zero() {
            return;
        }
        let mut registry = self.registry.lock();
        let grace_until = now.saturating_add(remaining.min(GRACE_PERIOD));
        registry.grace_until = registry.grace_until.max(grace_until);
    }

    /// Removes the endpoints whose rows were not written again by the end of the grace period.
    pub fn expire(&self, now: Duration) {
        let mut registry = self.registry.lock();
        if registry
            .pending_removals
            .iter()
            .all(|(_, remove_at)| *remove_at > now)
        {
            return;
        }
        let pending = std::mem::take(&mut registry.pending_removals);
        for (key, remove_at) in pending {
            if remove_at > now {
                registry.pending_removals.push((key, remove_at));
            } else {
                registry.remove(&key);
            }
        }
        self.publish(&registry);
    }

    fn publish(&self, registry: &Registry) {
        let endpoints = registry.entries.iter().map(|(_, e)| e.clone());
        self.fleet.store(Arc::new(Fleet::new(endpoints.collect())));
    }
}

impl Registry {
    fn put<P: Rows>(&mut self, key: &str, value: &[u8]) {
        self.pending_removals
            .retain(|(pending, _)| **pending != *key);
        let registration = match P::read_endpoint_row(key, value) {
            Ok(registration) => registration,
            Err(reason) => {
                emit!(warn, event::ENDPOINT_UNREADABLE, row = key, reason = %reason);
                self.remove(key);
                return;
            }
        };
        match self.find(key) {
            Ok(index) => {
                let endpoint = self.entries[index].1.with_registration(registration);
                self.entries[index].1 = Arc::new(endpoint);
            }
            Err(index) => {
                let endpoint = Arc::new(Endpoint::new(registration));
                self.entries.insert(index, (key.into(), endpoint));
            }
        }
    }

    fn delete_row(&mut self, key: &str, now: Duration) {
        if self.grace_until <= now {
            self.remove(key);
            return;
        }
        let remove_at = self.grace_until.min(now.saturating_add(GRACE_PERIOD));
        self.pending_removals.push((key.into(), remove_at));
    }

    fn remove(&mut self, key: &str) {
        if let Ok(index) = self.find(key) {
            self.entries.remove(index);
        }
    }

    fn find(&self, key: &str) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| (*entry.0).cmp(key))
    }
}
