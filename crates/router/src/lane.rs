//! Load that short urgent requests of this instance cause, by service.

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

/// Load meters of the short urgent requests, by service.
#[derive(Debug, Default)]
pub struct Table {
    /// # Invariants
    ///
    /// Sorted by service, without duplicates.
    meters: Mutex<Vec<(Arc<str>, Meter)>>,
}

/// A running short urgent request; dropping it records its end and duration.
#[derive(Debug)]
pub struct Slot {
    table: Arc<Table>,
    service: Arc<str>,
    started_at: Duration,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = clock::now();
        let duration = now.saturating_sub(self.started_at);
        self.table
            .with_meter(&self.service, |meter| meter.record_end(now, duration));
    }
}

impl Table {
    /// Records the arrival of a request with `blocks` of prompt. The caller must hold the slot
    /// until the request ends.
    pub fn enter(self: &Arc<Self>, service: &Arc<str>, blocks: f32) -> Slot {
        let now = clock::now();
        self.with_meter(service, |meter| meter.record_arrival(now, blocks));
        Slot {
            table: self.clone(),
            service: service.clone(),
            started_at: now,
        }
    }

    /// Average load that the short urgent requests of the service put on its engines.
    pub fn load(&self, service: &Arc<str>) -> Load {
        let now = clock::now();
        self.with_meter(service, |meter| meter.load(now))
    }

    fn with_meter<T>(&self, service: &Arc<str>, update: impl FnOnce(&mut Meter) -> T) -> T {
        let mut meters = self.meters.lock();
        let index = match meters.binary_search_by(|(name, _)| name.cmp(service)) {
            Ok(index) => index,
            Err(index) => {
                meters.insert(index, (service.clone(), Meter::default()));
                index
            }
        };
        update(&mut meters[index].1)
    }
}
