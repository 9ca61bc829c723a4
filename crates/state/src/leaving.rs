//! Endpoints that are known to be leaving, from any source.

use std::time::{
    Duration,
    Instant, //
};

use parking_lot::RwLock;

/// Names of leaving endpoints, each with the time of the latest report.
#[derive(Debug, Default)]
pub struct Table {
    /// # Invariants
    ///
    /// Sorted by name, each name once.
    names: RwLock<Vec<(String, Instant)>>,
}

impl Table {
    /// Records that an endpoint was reported to be leaving at `reported_at`.
    pub fn record(&self, name: &str, reported_at: Instant) {
        let mut names = self.names.write();
        match names.binary_search_by(|(known, _)| (**known).cmp(name)) {
            Ok(index) => names[index].1 = names[index].1.max(reported_at),
            Err(index) => names.insert(index, (name.to_owned(), reported_at)),
        }
    }

    /// Whether an endpoint was reported as leaving within `horizon` before `now`.
    pub fn contains(&self, name: &str, now: Instant, horizon: Duration) -> bool {
        let names = self.names.read();
        match names.binary_search_by(|(known, _)| (**known).cmp(name)) {
            Ok(index) => now.saturating_duration_since(names[index].1) <= horizon,
            Err(_) => false,
        }
    }

    /// Endpoints reported as leaving within `horizon` before `now`, with the age of the report.
    pub fn live(&self, now: Instant, horizon: Duration) -> Vec<(String, Duration)> {
        let names = self.names.read();
        let recent = |(name, reported_at): &(String, Instant)| {
            let age = now.saturating_duration_since(*reported_at);
            (age <= horizon).then(|| (name.clone(), age))
        };
        names.iter().filter_map(recent).collect()
    }
}
