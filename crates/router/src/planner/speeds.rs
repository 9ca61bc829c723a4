//! Speed and recent work of each engine that this instance places requests at.

use parking_lot::Mutex;
use policy::{
    belief::Millis,
    pace::{
        Pace,
        Sample, //
    },
    speed::{
        self,
        Recent,
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
    engines: Mutex<Vec<(u64, Engine)>>,
}

#[derive(Debug, Default)]
struct Engine {
    speed: Speed,
    recent: Recent,
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
    /// Seconds of work that were placed at the engine lately, whether done or not.
    pub recent_seconds: f32,
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
        self.with_engine(engine, |engine| {
            engine.speed.record(now, sample, pace, typical);
        });
    }

    /// Records a request that is placed at an engine, which computes `blocks` for it.
    pub(super) fn add(&self, engine: u64, now: Millis, blocks: f32) {
        self.with_engine(engine, |engine| engine.recent.add(now, blocks));
    }

    fn with_engine<T>(&self, engine: u64, update: impl FnOnce(&mut Engine) -> T) -> T {
        update(sorted::entry(&mut self.engines.lock(), &engine))
    }
}

impl Queues {
    /// Load of the engine with this hash before a new request of this class; `pace` is that of its
    /// service, and `typical` its [`speed::Reference::ratio`].
    pub fn load(&self, engine: u64, pace: &Pace, typical: f32, class: Class) -> Load {
        self.with_queue(engine, |queue, now| {
            self.speeds.with_engine(engine, |engine| {
                let factor = engine.speed.factor(now, typical);
                Load {
                    factor,
                    cost_factor: speed::cost_factor(factor),
                    wait_seconds: queue.remaining(now, &pace.scaled(factor), class as u8),
                    recent_seconds: engine.recent.blocks(now) * pace.block * factor,
                }
            })
        })
    }
}
