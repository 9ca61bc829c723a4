//! Short urgent requests of this instance that run, by service.

use std::{
    sync::Arc,
    time::Duration, //
};

use parking_lot::Mutex;
use policy::lane::{
    Load,
    Meter, //
};
use state::clock;

/// Running short urgent requests, by service.
#[derive(Debug, Default)]
pub struct Table {
    /// # Invariants
    ///
    /// Sorted by service.
    levels: Mutex<Vec<(Arc<str>, Meter)>>,
}

/// One running request, which is counted when it is dropped.
#[derive(Debug)]
pub struct Slot {
    table: Arc<Table>,
    service: Arc<str>,
    since: Duration,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = clock::now();
        let ran = now.saturating_sub(self.since);
        self.table
            .with(&self.service, |level| level.record_end(now, ran));
    }
}

impl Table {
    /// Counts a request for `blocks` of prompt for as long as it holds the slot.
    pub fn enter(self: &Arc<Self>, service: &Arc<str>, blocks: f32) -> Slot {
        let now = clock::now();
        self.with(service, |level| level.record_arrival(now, blocks));
        Slot {
            table: self.clone(),
            service: service.clone(),
            since: now,
        }
    }

    /// What they ask of engines on average.
    pub fn average(&self, service: &Arc<str>) -> Load {
        let now = clock::now();
        self.with(service, |level| level.load(now))
    }

    fn with<T>(&self, service: &Arc<str>, look: impl FnOnce(&mut Meter) -> T) -> T {
        let mut levels = self.levels.lock();
        let index = match levels.binary_search_by(|(name, _)| name.cmp(service)) {
            Ok(index) => index,
            Err(index) => {
                levels.insert(index, (service.clone(), Meter::default()));
                index
            }
        };
        look(&mut levels[index].1)
    }
}
