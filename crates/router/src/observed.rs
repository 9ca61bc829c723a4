//! What the answers of each service have shown to this instance.

use std::{
    sync::Arc,
    time::Duration, //
};

use parking_lot::Mutex;
use policy::{
    delay::Delay,
    shed::Lateness, //
};
use settings::Class;
use state::{
    clock,
    sorted, //
};

/// Number of priority classes.
const CLASSES: usize = 3;

/// Observations of one service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Service {
    /// How late the most urgent requests start.
    lateness: Lateness,
    /// Time from the sending of a request to the start of its answer, by class.
    start_delays: [Delay; CLASSES],
    /// Time from the arrival of a request to the end of its answer, by class.
    run_times: [Delay; CLASSES],
}

/// Observations, by service.
#[derive(Debug, Default)]
pub struct Table {
    /// # Invariants
    ///
    /// Sorted by service, without duplicates.
    services: Mutex<Vec<(Arc<str>, Service)>>,
}

impl Table {
    /// Records that one of the most urgent requests at a service started `delay` after its arrival.
    pub fn record_urgent_start(&self, service: &Arc<str>, delay: Duration, objective: Duration) {
        let now = clock::now();
        self.with(service, |s| s.lateness.record(now, delay, objective));
    }

    /// Records that an answer of a service began `delay` after the request was sent.
    pub fn record_start(&self, service: &Arc<str>, class: Class, delay: Duration) {
        self.with(service, |s| s.start_delays[index(class)].record(delay));
    }

    /// Fraction of the less urgent requests at a service to refuse, from 0 to 1.
    pub fn refusal_rate(&self, service: &Arc<str>) -> f64 {
        let now = clock::now();
        self.with(service, |s| s.lateness.refusal_rate(now))
    }

    /// Time in which almost all answers to a class of requests at a service begin after the requests
    /// are sent; `None` before the first one.
    pub fn start_delay(&self, service: &Arc<str>, class: Class) -> Option<Duration> {
        self.with(service, |s| s.start_delays[index(class)].upper_bound())
    }

    /// Records that the answer to a request at a service was complete `time` after its arrival.
    pub fn record_run_time(&self, service: &Arc<str>, class: Class, time: Duration) {
        self.with(service, |s| s.run_times[index(class)].record(time));
    }

    /// Time from the arrival of a class of requests at a service to the end of their answers.
    pub fn run_time(&self, service: &Arc<str>, class: Class) -> Delay {
        self.with(service, |s| s.run_times[index(class)])
    }

    fn with<T>(&self, service: &Arc<str>, update: impl FnOnce(&mut Service) -> T) -> T {
        update(sorted::entry(&mut self.services.lock(), service))
    }
}

fn index(class: Class) -> usize {
    match class {
        Class::Urgent => 0,
        Class::Normal => 1,
        Class::MayWait => 2,
    }
}
