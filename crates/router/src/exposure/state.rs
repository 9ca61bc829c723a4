//! State of the rollout of one service at this instance.

use std::{
    sync::Arc,
    time::Duration, //
};

use parking_lot::Mutex;
use platform::table::Revision;
use policy::exposure::{
    Evidence,
    Hold,
    Ledger,
    Ration,
    Trend, //
};

use super::{
    report::Reporter,
    row::{
        Known,
        Row, //
    }, //
};
use crate::protocol::RolloutOrder;

/// An order as this instance knows it.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Order {
    pub(super) order: RolloutOrder,
    /// Revision of its row.
    pub(super) revision: Revision,
    /// When it was given at the earliest, by the table's clock.
    pub(super) given_at: Option<Duration>,
}

/// Counts of this instance since an order.
#[derive(Debug)]
pub(super) struct Counts {
    pub(super) ration: Ration,
    pub(super) evidence: Evidence,
    pub(super) hold: Hold,
    pub(super) trend: Trend,
}

impl Default for Counts {
    fn default() -> Self {
        Self {
            ration: Ration::new(rand::random()),
            evidence: Evidence::default(),
            hold: Hold::default(),
            trend: Trend::default(),
        }
    }
}

/// What the instances have told this one since an order.
#[derive(Debug, Default)]
pub(super) struct Reports {
    pub(super) ledger: Ledger<(u32, u64)>,
    pub(super) trend: Trend,
    /// Since when this instance controls the rollout.
    pub(super) since: Option<Duration>,
    /// When `trend` was updated.
    pub(super) updated_at: Option<Duration>,
    /// # Invariants
    ///
    /// Sorted by instance, each once.
    pub(super) reporters: Vec<Reporter>,
}

/// What the instance that controls the rollout has told this one last.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Heard {
    /// Highest fencing number.
    pub(super) number: u64,
    /// When; `None` before the first time.
    pub(super) at: Option<Duration>,
    /// Where it sent from.
    pub(super) from: Option<std::net::SocketAddr>,
}

#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) order: Option<Order>,
    /// The row, which may be that of an earlier order.
    pub(super) known: Option<Known>,
    pub(super) heard: Heard,
    /// Whether the ordered version is known to be bad; it gets no more requests.
    pub(super) is_bad: bool,
    /// Whether it is bad by this instance's own observations alone. It gets no more requests from this
    /// instance; a slow path to the endpoints looks the same, so that others may go on.
    pub(super) is_bad_here: bool,
    /// Whether an absence of the instance in control was logged.
    pub(super) is_silent: bool,
    pub(super) counts: Counts,
    pub(super) reports: Reports,
    /// Versions of the service's endpoints.
    pub(super) registered: Vec<Arc<str>>,
    /// Replaced versions that have had no endpoint since the rollout was complete. Operators may use
    /// them again without an order.
    pub(super) gone: Vec<Arc<str>>,
}

impl State {
    /// The row, if it is that of the order.
    pub(super) fn row(&self) -> Option<&Row> {
        let to = &self.order.as_ref()?.order.to;
        let known = self.known.as_ref()?;
        (known.row.to == *to).then_some(&known.row)
    }

    /// Revision of the order that was acted on.
    pub(super) fn acted_on(&self) -> Option<Revision> {
        self.row().map(|row| row.order)
    }

    /// Forgets what was counted and told since an earlier order.
    fn restart(&mut self) {
        *self = Self {
            order: self.order.take(),
            known: self.known.take(),
            registered: std::mem::take(&mut self.registered),
            ..Self::default()
        };
    }

    /// Whether the order is neither finished nor lost from a restored table.
    pub(super) fn is_active(&self) -> bool {
        let is_lost = self.known.as_ref().is_some_and(|known| known.is_lost);
        self.order.is_some() && (is_lost || self.row().is_none_or(|row| !row.is_finished))
    }

    /// Whether a version that the rollout has replaced is in use again without an order.
    pub(super) fn is_reused(&self, version: &str) -> bool {
        let Some(row) = self.row().filter(|row| row.is_finished) else {
            return false;
        };
        let is_gone = self.gone.iter().any(|gone| **gone == *version);
        is_gone || !self.registered.contains(&row.to)
    }

    /// Time since the order, and the time that it gives; `None` while the order was not acted on, or the
    /// table's clock is not known.
    pub(super) fn times(&self, table_time: Option<Duration>) -> Option<(Duration, Duration)> {
        let elapsed = table_time?.saturating_sub(self.row()?.started_at);
        Some((elapsed, self.order.as_ref()?.order.duration))
    }

    /// Share of the requests that may go to the ordered version while it is on trial.
    pub(super) fn share(&self) -> Option<f64> {
        let row = self.row()?;
        (!row.is_decided()).then_some(row.share)
    }

    /// What an instance has told last, by the hash of its name.
    pub(super) fn reporter(&self, instance: u32) -> Option<&Reporter> {
        let reporters = &self.reports.reporters;
        let index = reporters.binary_search_by_key(&instance, |known| known.instance);
        Some(&reporters[index.ok()?])
    }
}

/// Rollout of the version of one service.
#[derive(Debug)]
pub struct Rollout {
    pub(super) service: Arc<str>,
    pub(super) state: Mutex<State>,
}

impl Rollout {
    pub(super) fn new(service: Arc<str>) -> Self {
        Self {
            service,
            state: Mutex::default(),
        }
    }

    /// Whether an order is from a copy of the table that is older than the known order.
    pub(super) fn is_restored(&self, order: &Order) -> bool {
        let state = self.state.lock();
        state.order.as_ref().is_some_and(|known| {
            order.revision.era > known.revision.era
                && order.revision.number <= known.revision.number
                && order.order.to != known.order.to
        })
    }

    /// Sets the order; returns whether it names another version. A repeated order goes on as it was.
    pub(super) fn set_order(&self, order: Order) -> bool {
        let mut state = self.state.lock();
        let known = state.order.as_mut();
        if known
            .as_ref()
            .is_some_and(|known| known.revision >= order.revision)
        {
            return false;
        }
        if let Some(known) = known.filter(|known| known.order.to == order.order.to) {
            known.order = order.order;
            known.revision = order.revision;
            return false;
        }
        state.order = Some(order);
        state.restart();
        true
    }

    pub(super) fn apply_row(&self, row: Option<Row>, revision: Revision, now: Duration) {
        let mut state = self.state.lock();
        let has_known = state.known.is_some();
        let before = state.acted_on();
        if !Known::apply(&mut state.known, row, revision) || !has_known {
            return;
        }
        if before.is_some() && before != state.acted_on() {
            // The version was ordered again; this instance has missed the order in between.
            state.restart();
        }
        state.heard.at = Some(now);
    }

    pub(super) fn set_registered(&self, registered: Vec<Arc<str>>) {
        let mut state = self.state.lock();
        let finished = state.row().filter(|row| row.is_finished);
        let gone: Vec<_> = finished.map_or_else(Vec::new, |row| {
            let replaced = row.base.iter().chain(&row.denied);
            let gone = replaced.filter(|b| !registered.contains(b) && !state.gone.contains(b));
            gone.cloned().collect()
        });
        state.gone.extend(gone);
        state.registered = registered;
    }

    /// Whether the ordered version is bad and not rolled back yet.
    pub(super) fn is_bad_on_trial(&self) -> bool {
        let state = self.state.lock();
        state.is_bad && state.share().is_some()
    }

    pub(super) fn is_active(&self) -> bool {
        self.state.lock().is_active()
    }

    /// Counts a request to the service.
    pub(super) fn record_request(&self) {
        let mut state = self.state.lock();
        if let Some(share) = state.share() {
            state.counts.ration.record_request(share);
        }
    }
}
