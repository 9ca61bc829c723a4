//! Requests of this instance in flight at one endpoint.

use std::sync::{
    Arc,
    atomic::{
        AtomicBool,
        AtomicU32,
        Ordering, //
    }, //
};

use settings::Class;

/// Units into which a block is divided, so that the counters are integers.
const UNITS_PER_BLOCK: f32 = 64.0;
const CLASS_COUNT: usize = 3;

/// Requests of this instance in flight at one endpoint.
#[derive(Debug, Default)]
pub struct Counter {
    running: AtomicU32,
    /// Requests that may be in flight soon.
    reserved: AtomicU32,
    /// Requests without a first token, by class.
    waiting: [AtomicU32; CLASS_COUNT],
    /// Units of blocks that are still to be computed for the waiting requests, by class.
    queued_units: [AtomicU32; CLASS_COUNT],
}

/// Counts one request as in flight until it is dropped.
#[derive(Debug)]
pub struct Guard {
    counter: Arc<Counter>,
    class: usize,
    units: u32,
    first_token_seen: AtomicBool,
}

/// Counts a request that may be in flight soon until it is dropped.
#[derive(Debug)]
pub struct Reservation(Arc<Counter>);

impl Drop for Reservation {
    fn drop(&mut self) {
        self.0.reserved.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Counter {
    /// Counts a request that may be in flight soon until the reservation is dropped.
    pub fn reserve(self: &Arc<Self>) -> Reservation {
        self.reserved.fetch_add(1, Ordering::Relaxed);
        Reservation(self.clone())
    }

    /// Number of requests in flight and of reservations.
    pub fn held(&self) -> u32 {
        self.running() + self.reserved.load(Ordering::Relaxed)
    }

    /// Counts a request with `blocks` to be computed as in flight until the guard is dropped.
    pub fn enter(self: &Arc<Self>, class: Class, blocks: f32) -> Guard {
        let guard = Guard {
            counter: self.clone(),
            class: class as usize,
            units: (blocks.max(0.0) * UNITS_PER_BLOCK) as u32,
            first_token_seen: AtomicBool::new(false),
        };
        self.running.fetch_add(1, Ordering::Relaxed);
        self.waiting[guard.class].fetch_add(1, Ordering::Relaxed);
        self.queued_units[guard.class].fetch_add(guard.units, Ordering::Relaxed);
        guard
    }

    /// Number of requests in flight.
    pub fn running(&self) -> u32 {
        self.running.load(Ordering::Relaxed)
    }

    /// Number of requests without a first token.
    pub fn waiting(&self) -> u32 {
        let load = |count: &AtomicU32| count.load(Ordering::Relaxed);
        self.waiting.iter().map(load).sum()
    }

    /// Blocks to be computed before those of a new request of `class`.
    pub fn blocks_ahead(&self, class: Class) -> f32 {
        let units = self.queued_units[..=class as usize].iter();
        let units: u32 = units.map(|count| count.load(Ordering::Relaxed)).sum();
        units as f32 / UNITS_PER_BLOCK
    }

    /// Number of requests without a first token that are more urgent than `class`.
    pub fn more_urgent(&self, class: Class) -> u32 {
        let more = self.waiting[..class as usize].iter();
        more.map(|count| count.load(Ordering::Relaxed)).sum()
    }
}

impl Guard {
    /// Records that the first token arrived; returns `false` if that was already recorded.
    pub fn record_first_token(&self) -> bool {
        if self.first_token_seen.swap(true, Ordering::Relaxed) {
            return false;
        }
        self.counter.waiting[self.class].fetch_sub(1, Ordering::Relaxed);
        self.counter.queued_units[self.class].fetch_sub(self.units, Ordering::Relaxed);
        true
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.record_first_token();
        self.counter.running.fetch_sub(1, Ordering::Relaxed);
    }
}
