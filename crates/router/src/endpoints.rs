//! Keeps the fleet in step with the rows that endpoints write.

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

/// Time after an outage of the table within which endpoints whose rows lapsed meanwhile write
/// them anew; the deployment states two seconds.
const RETURN_TIME: Duration = Duration::from_millis(2_200);

#[derive(Debug, Default)]
struct Registry {
    /// # Invariants
    ///
    /// Sorted by key of the row.
    entries: Vec<(Box<str>, Arc<Endpoint>)>,
    /// Rows that are gone, with when their endpoints are to be taken for gone.
    lapsed: Vec<(Box<str>, Duration)>,
    /// Until when rows that are gone may come back.
    lenient_until: Duration,
}

/// All endpoints, with what is learnt of them.
#[derive(Debug, Default)]
pub struct Endpoints {
    registry: Mutex<Registry>,
    fleet: ArcSwap<Fleet>,
}

impl Endpoints {
    /// The endpoints as they are known now.
    pub fn fleet(&self) -> Arc<Fleet> {
        self.fleet.load_full()
    }

    /// Takes in changed rows.
    pub fn apply<P: Rows>(&self, changes: &[Change], now: Duration) {
        let mut registry = self.registry.lock();
        for change in changes {
            match &change.value {
                Some(value) => registry.put::<P>(&change.key, value),
                None => registry.drop_row(&change.key, now),
            }
        }
        self.publish(&registry);
    }

    /// Notes that the table answers again after an outage.
    pub fn regained(&self, now: Duration) {
        self.registry.lock().lenient_until = now + RETURN_TIME;
    }

    /// Notes that the table gives no answer, so that rows may lapse.
    pub fn lost(&self) {
        self.registry.lock().lenient_until = Duration::MAX;
    }

    /// For how much longer rows that are gone may come back.
    pub fn lenient(&self, now: Duration) -> Duration {
        self.registry.lock().lenient_until.saturating_sub(now)
    }

    /// Notes what another instance says of how much longer rows that are gone may come back.
    pub fn set_lenient(&self, now: Duration, time: Duration) {
        if time.is_zero() {
            return;
        }
        let mut registry = self.registry.lock();
        let until = now.saturating_add(time.min(RETURN_TIME));
        registry.lenient_until = registry.lenient_until.max(until);
    }

    /// Drops the endpoints whose rows have not come back in time.
    pub fn expire(&self, now: Duration) {
        let mut registry = self.registry.lock();
        if registry.lapsed.iter().all(|(_, due)| *due > now) {
            return;
        }
        let lapsed = std::mem::take(&mut registry.lapsed);
        for (key, due) in lapsed {
            if due > now {
                registry.lapsed.push((key, due));
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
        self.lapsed.retain(|(lapsed, _)| **lapsed != *key);
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
                let renewed = self.entries[index].1.renewed(registration);
                self.entries[index].1 = Arc::new(renewed);
            }
            Err(index) => {
                let endpoint = Arc::new(Endpoint::new(registration));
                self.entries.insert(index, (key.into(), endpoint));
            }
        }
    }

    fn drop_row(&mut self, key: &str, now: Duration) {
        if self.lenient_until <= now {
            self.remove(key);
            return;
        }
        let due = self.lenient_until.min(now.saturating_add(RETURN_TIME));
        self.lapsed.push((key.into(), due));
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
