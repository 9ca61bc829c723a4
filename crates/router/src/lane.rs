//! Short urgent requests of this instance that run, by service.

use std::sync::Arc;

use parking_lot::Mutex;
use policy::lane::Level;
use state::clock;

/// Running short urgent requests, by service.
#[derive(Debug, Default)]
pub struct Table {
    /// # Invariants
    ///
    /// Sorted by service.
    levels: Mutex<Vec<(Arc<str>, Level)>>,
}

/// One running request; dropping it ends the count.
#[derive(Debug)]
pub struct Slot {
    table: Arc<Table>,
    service: Arc<str>,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = clock::now();
        self.table.with(&self.service, |level| level.leave(now));
    }
}

impl Table {
    /// Counts a request until the slot is dropped.
    pub fn enter(self: &Arc<Self>, service: &Arc<str>) -> Slot {
        let now = clock::now();
        self.with(service, |level| level.enter(now));
        Slot {
            table: self.clone(),
            service: service.clone(),
        }
    }

    /// How many run on average.
    pub fn average(&self, service: &Arc<str>) -> f32 {
        let now = clock::now();
        self.with(service, |level| level.average(now))
    }

    fn with<T>(&self, service: &Arc<str>, look: impl FnOnce(&mut Level) -> T) -> T {
        let mut levels = self.levels.lock();
        let index = match levels.binary_search_by(|(name, _)| name.cmp(service)) {
            Ok(index) => index,
            Err(index) => {
                levels.insert(index, (service.clone(), Level::default()));
                index
            }
        };
        look(&mut levels[index].1)
    }
}
