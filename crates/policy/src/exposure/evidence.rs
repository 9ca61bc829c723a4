//! What instances have seen of both versions, by route.

use std::sync::Arc;

use super::Sample;

/// One of the two versions of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub enum Side {
    /// Any version that was in use before the order.
    Old,
    /// The version that the order names.
    New,
}

/// Both versions on one route.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Pair {
    /// Versions that were in use before the order.
    pub old: Sample,
    /// The version that the order names.
    pub new: Sample,
}

impl Pair {
    /// The sample of one side.
    pub fn side(&mut self, side: Side) -> &mut Sample {
        match side {
            Side::Old => &mut self.old,
            Side::New => &mut self.new,
        }
    }

    pub(super) fn merge(&mut self, other: &Self) {
        self.old.merge(&other.old);
        self.new.merge(&other.new);
    }

    fn join(&mut self, other: &Self) {
        self.old.join(&other.old);
        self.new.join(&other.new);
    }

    fn since(&self, earlier: &Self) -> Self {
        Self {
            old: self.old.since(&earlier.old),
            new: self.new.since(&earlier.new),
        }
    }
}

/// Counts of both versions since the order, by route.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Evidence {
    /// # Invariants
    ///
    /// Sorted by route, each once.
    routes: Vec<(Arc<str>, Pair)>,
}

impl Evidence {
    /// Routes with their samples, sorted by name.
    pub fn routes(&self) -> &[(Arc<str>, Pair)] {
        &self.routes
    }

    /// Samples of a route; empty ones are added if it is new.
    pub fn route(&mut self, route: &str) -> &mut Pair {
        let index = match self.find(route) {
            Ok(index) => index,
            Err(index) => {
                let entry = (Arc::from(route), Pair::default());
                self.routes.insert(index, entry);
                index
            }
        };
        &mut self.routes[index].1
    }

    /// Adds the counts of `other`, which come from other requests.
    pub fn merge(&mut self, other: &Self) {
        for (route, pair) in &other.routes {
            self.route(route).merge(pair);
        }
    }

    /// Raises each count to that of `other`, a report of the same requests.
    pub fn join(&mut self, other: &Self) {
        for (route, pair) in &other.routes {
            self.route(route).join(pair);
        }
    }

    /// Counts that were added since `earlier`.
    pub fn since(&self, earlier: &Self) -> Self {
        let left = |(route, pair): &(Arc<str>, Pair)| {
            let known = earlier.get(route).map(|known| pair.since(known));
            let left = known.unwrap_or_else(|| pair.clone());
            (left != Pair::default()).then(|| (route.clone(), left))
        };
        Self {
            routes: self.routes.iter().filter_map(left).collect(),
        }
    }

    /// The sum over all routes.
    pub fn sum(&self) -> Pair {
        let mut sum = Pair::default();
        for (_, pair) in &self.routes {
            sum.merge(pair);
        }
        sum
    }

    pub(super) fn get(&self, route: &str) -> Option<&Pair> {
        let index = self.find(route).ok()?;
        Some(&self.routes[index].1)
    }

    pub(super) fn find(&self, route: &str) -> Result<usize, usize> {
        self.routes
            .binary_search_by(|(known, _)| (**known).cmp(route))
    }
}

/// Reports of many instances and their sum.
///
/// A reporter is one run of an instance: one that restarts counts from zero under another key, and
/// what it reported before stays.
#[derive(Clone, Debug)]
pub struct Ledger<K> {
    /// # Invariants
    ///
    /// Sorted by reporter, each once.
    reports: Vec<(K, Evidence)>,
    /// Sum of all reports.
    total: Evidence,
}

impl<K> Default for Ledger<K> {
    fn default() -> Self {
        Self {
            reports: Vec::new(),
            total: Evidence::default(),
        }
    }
}

impl<K: Clone + Ord> Ledger<K> {
    /// Records cumulative counts of a reporter. Reports may be lost, repeated and come in any order.
    pub fn record(&mut self, reporter: &K, report: &Evidence) {
        let index = match self
            .reports
            .binary_search_by(|(known, _)| known.cmp(reporter))
        {
            Ok(index) => index,
            Err(index) => {
                let entry = (reporter.clone(), Evidence::default());
                self.reports.insert(index, entry);
                index
            }
        };
        let known = &mut self.reports[index].1;
        self.total.merge(&report.since(known));
        known.join(report);
    }

    /// Sum of the latest counts of all reporters.
    pub fn total(&self) -> &Evidence {
        &self.total
    }
}
