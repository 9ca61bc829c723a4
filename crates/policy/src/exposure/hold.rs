//! Failures that are held back until it is known that no crash explains them.

use std::{
    sync::Arc,
    time::Duration, //
};

use super::{
    Evidence,
    Side, //
};

/// Time for which a failure is held back. An endpoint that crashes answers some requests with
/// failures just before its connections break.
const HOLD_TIME: Duration = Duration::from_millis(300);
/// Time after a broken connection in which failures of the endpoint are explained by its restart,
/// unless it has answered a request since.
const RESTART_TIME: Duration = Duration::from_secs(5);

#[derive(Clone, Debug)]
struct Failure {
    endpoint: u64,
    at: Duration,
    route: Arc<str>,
    side: Side,
    /// Whether a crash of the endpoint explains it.
    is_explained: bool,
}

/// Failures of the last moments, and endpoints that crashed, at one instance.
#[derive(Clone, Debug, Default)]
pub struct Hold {
    /// # Invariants
    ///
    /// In order of time.
    failures: Vec<Failure>,
    /// When connections of endpoints broke.
    ///
    /// # Invariants
    ///
    /// Sorted by endpoint, each once.
    broken: Vec<(u64, Duration)>,
}

impl Hold {
    /// Records a response of `endpoint` (hash of its name) that states a failure.
    pub fn record_failure(&mut self, now: Duration, endpoint: u64, route: &Arc<str>, side: Side) {
        let broken_at = self.find(endpoint).map(|index| self.broken[index].1);
        self.failures.push(Failure {
            endpoint,
            at: now,
            route: route.clone(),
            side,
            is_explained: broken_at.is_ok_and(|at| now < at + RESTART_TIME),
        });
    }

    /// Records that `endpoint` crashed, broke a connection or could not be reached.
    pub fn record_broken(&mut self, now: Duration, endpoint: u64) {
        match self.find(endpoint) {
            Ok(index) => self.broken[index].1 = now,
            Err(index) => self.broken.insert(index, (endpoint, now)),
        }
        let failures = self.failures.iter_mut();
        for failure in failures.filter(|failure| failure.endpoint == endpoint) {
            failure.is_explained = true;
        }
    }

    /// Records a response of `endpoint` that is no failure.
    pub fn record_answer(&mut self, endpoint: u64) {
        if let Ok(index) = self.find(endpoint) {
            self.broken.remove(index);
        }
    }

    /// Moves the failures that were held long enough to `evidence`.
    pub fn settle(&mut self, now: Duration, evidence: &mut Evidence) {
        let is_due = |failure: &mut Failure| failure.at + HOLD_TIME <= now;
        for failure in self.failures.extract_if(.., is_due) {
            let sample = evidence.route(&failure.route).side(failure.side);
            if failure.is_explained {
                sample.record_broken();
            } else {
                sample.record_failure();
            }
        }
        self.broken.retain(|(_, at)| now < *at + RESTART_TIME);
    }

    fn find(&self, endpoint: u64) -> Result<usize, usize> {
        self.broken.binary_search_by_key(&endpoint, |entry| entry.0)
    }
}
