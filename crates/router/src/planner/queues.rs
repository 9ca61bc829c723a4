//! Queues of the engines that this instance places requests at, and the pace of the engines.

use std::{
    sync::Arc,
    time::Duration, //
};

use parking_lot::Mutex;
use policy::{
    backlog::{
        Queue,
        Work, //
    },
    belief::Millis,
    pace::{
        Estimator,
        Pace, //
    },
    shed::Turns,
    speed::Reference, //
};
use settings::Class;
use state::{
    clock,
    sorted, //
};

use super::speeds::Speeds;
use crate::message::Reasons;

/// Requests that were placed and have not started, by engine, and what is known of the services.
#[derive(Debug, Default)]
pub struct Queues {
    /// # Invariants
    ///
    /// Sorted by the hash of the engine's name, without duplicates.
    queues: Mutex<Vec<(u64, Queue)>>,
    /// # Invariants
    ///
    /// Sorted by name, without duplicates.
    services: Mutex<Vec<(Arc<str>, Service)>>,
    pub(super) speeds: Speeds,
}

/// What is known of one service.
#[derive(Debug, Default)]
struct Service {
    /// Pace of its engines.
    pace: Estimator,
    /// What the speeds of its engines are relative to.
    reference: Reference,
    /// Turns of the callers that were refused.
    turns: Turns,
}

impl Queues {
    /// Pace of the engines of a service, as far as it is known here.
    pub fn pace(&self, service: &Arc<str>) -> Pace {
        self.with_service(service, |service| service.pace.pace())
    }

    /// Pace of the engines of a service; `None` if no answer has shown it yet.
    pub(super) fn learned_pace(&self, service: &Arc<str>) -> Option<Pace> {
        self.with_service(service, |service| service.pace.learned())
    }

    /// Takes over the pace that the planner of a service has learned.
    pub(super) fn adopt_pace(&self, service: &Arc<str>, pace: Pace) {
        self.with_service(service, |service| service.pace = Estimator::new(pace));
    }

    /// Takes over the pace that another instance knows, unless this one has learned it.
    pub(super) fn suggest_pace(&self, service: &Arc<str>, pace: Pace) {
        self.with_service(service, |service| {
            if service.pace.learned().is_none() {
                service.pace = Estimator::new(pace);
            }
        });
    }

    pub(super) fn push(&self, engine: u64, ticket: u64, class: Class, reasons: &Reasons) {
        let work = Work {
            rank: class as u8,
            computed: reasons.missed,
            fetched: reasons.fetched,
        };
        self.with_queue(engine, |queue, now| queue.push(now, ticket, work));
    }

    /// Removes a request of `service` that has begun, and learns the pace from it.
    pub(super) fn begin(&self, engine: u64, service: &Arc<str>, ticket: u64) {
        let sample = self.with_queue(engine, |queue, now| {
            queue.begin(now, ticket).map(|sample| (now, sample))
        });
        if let Some((now, sample)) = sample {
            let (pace, typical) = self.with_service(service, |service| {
                let pace = service.pace.pace();
                service.reference.record(now, &sample, &pace);
                service.pace.record(&sample);
                (pace, service.reference.ratio())
            });
            self.speeds.record(engine, now, &sample, &pace, typical);
        }
    }

    /// Time since a request was placed; `None` if it is not in the engine's queue.
    pub(super) fn age(&self, engine: u64, ticket: u64) -> Option<Duration> {
        let age =
            |queue: &mut Queue, now: Millis| Some(now.saturating_sub(queue.placed_at(ticket)?));
        self.with_queue(engine, age).map(Duration::from_millis)
    }

    /// Time that the engines of a service took lately, over what its pace expects.
    pub fn typical_ratio(&self, service: &Arc<str>) -> f32 {
        self.with_service(service, |service| service.reference.ratio())
    }

    pub(super) fn remove(&self, engine: u64, ticket: u64) {
        self.with_queue(engine, |queue, now| queue.remove(now, ticket));
    }

    pub(super) fn with_queue<T>(
        &self,
        engine: u64,
        update: impl FnOnce(&mut Queue, Millis) -> T,
    ) -> T {
        let now = u64::try_from(clock::now().as_millis()).unwrap_or(Millis::MAX);
        update(sorted::entry(&mut self.queues.lock(), &engine), now)
    }

    /// Delay after which a refused caller should retry; see [`Turns::take`].
    pub(super) fn take_turn(
        &self,
        service: &Arc<str>,
        delay: Duration,
        work: Duration,
    ) -> Duration {
        let now = clock::now();
        self.with_service(service, |service| service.turns.take(now, delay, work))
    }

    fn with_service<T>(&self, name: &Arc<str>, update: impl FnOnce(&mut Service) -> T) -> T {
        update(sorted::entry(&mut self.services.lock(), name))
    }
}
