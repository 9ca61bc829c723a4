//! Speed of each engine that this instance places requests at.

use parking_lot::Mutex;
use policy::{
    belief::Millis,
    pace::{
        Pace,
        Sample, //
    },
    speed::{
        self,
        Speed, //
    }, //
};
use settings::Class;
use state::sorted;

use super::Queues;

/// What is known of the engines, by the hash of their names.
#[derive(Debug, Default)]
pub(super) struct Speeds {
    /// # Invariants
    ///
    /// Sorted by the hash of the engine's name, without duplicates.
    engines: Mutex<Vec<(u64, Speed)>>,
}

/// Load of one engine, as its planner knows it.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Time that the engine takes for a request, relative to the others of its service.
    pub factor: f32,
    /// The same, as it counts for a request's own work; see [`speed::cost_factor`].
    pub cost_factor: f32,
    /// Time that the engine's queue takes, in seconds.
    pub wait_seconds: f32,
}

impl Speeds {
    /// Records an answer of an engine that began at `now`; see [`Speed::record`].
    pub(super) fn record(
        &self,
        engine: u64,
        now: Millis,
        sample: &Sample,
        pace: &Pace,
        typical: f32,
    ) {
        self.with_engine(engine, |speed| speed.record(now, sample, pace, typical));
    }

    fn with_engine<T>(&self, engine: u64, update: impl FnOnce(&mut Speed) -> T) -> T {
        update(sorted::entry(&mut self.engines.lock(), &engine))
    }
}

impl Queues {
    /// Load of the engine with this hash before a new request of this class; `pace` is that of its
    /// service, and `typical` its [`speed::Reference::ratio`].
    pub fn load(&self, engine: u64, pace: &Pace, typical: f32, class: Class) -> Load {
        self.with_queue(engine, |queue, now| {
            let factor = self
                .speeds
                .with_engine(engine, |speed| speed.factor(now, typical));
            Load {
                factor,
                cost_factor: speed::cost_factor(factor),
                wait_seconds: queue.remaining(now, &pace.scaled(factor), class as u8),
            }
        })
    }
}
