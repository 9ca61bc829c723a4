//! Rollout of a service's version that operators have ordered.
//!
//! Each instance bounds and counts what it sends to the ordered version ([`select`], [`track`]), and
//! tells the instance that holds the lease ([`report`]). That one judges the version by what all have
//! seen, and publishes the stage of the rollout as a row of the table, which all instances follow
//! ([`control`], [`row`]). The decisions are in [`policy::exposure`].

mod begin;
mod control;
mod gate;
mod hold;
mod report;
mod row;
mod rules;
mod select;
mod state;
mod track;

use std::{
    sync::Arc,
    time::Duration, //
};

use self::state::{
    Order,
    Rollout, //
};
use ::state::clock;
use arc_swap::ArcSwap;
use parking_lot::Mutex;
use platform::table::{
    Change,
    Revision,
    Watch, //
};
use policy::exposure::Stage;
use telemetry::{
    emit,
    event, //
};

use crate::{
    EXPOSURES,
    node::Node,
    protocol::{
        Invalid,
        Protocol,
        RolloutOrder, //
    },
    stream::millis, //
};
pub use report::{
    handle_notice,
    handle_report, //
};
pub use rules::{
    allows,
    is_rationed, //
};
pub use select::{
    Reservation,
    reserve,
    retain_sampled, //
};
pub use track::Track;

/// Age that a new order has at most when an instance receives it; confirmations of the rows of operators
/// are seldom older.
const MAX_ORDER_AGE: Duration = Duration::from_secs(2);
/// Period after a restore of the table in which operators write their rows again.
const REWRITE_PERIOD: Duration = Duration::from_secs(5);

/// Rollouts of all services.
#[derive(Debug, Default)]
pub struct Table {
    /// # Invariants
    ///
    /// Sorted by service, each once.
    rollouts: ArcSwap<Vec<Arc<Rollout>>>,
    /// Orders of a restored table that are older than the known ones, with when they count
    /// nonetheless.
    old_orders: Mutex<Vec<(Order, Duration)>>,
    gate: gate::Gate,
}

impl Table {
    /// The rollout of a service; `None` if no order or row is known.
    fn find(&self, service: &str) -> Option<Arc<Rollout>> {
        let rollouts = self.rollouts.load();
        let index = rollouts.binary_search_by(|rollout| (*rollout.service).cmp(service));
        Some(rollouts[index.ok()?].clone())
    }

    fn all(&self) -> Arc<Vec<Arc<Rollout>>> {
        self.rollouts.load_full()
    }

    /// The rollout of a service, added if there is none.
    fn entry(&self, service: &str) -> Arc<Rollout> {
        if let Some(rollout) = self.find(service) {
            return rollout;
        }
        let rollout = Arc::new(Rollout::new(service.into()));
        let mut rollouts = Vec::clone(&self.rollouts.load());
        let index = rollouts.partition_point(|known| known.service < rollout.service);
        rollouts.insert(index, rollout.clone());
        self.rollouts.store(Arc::new(rollouts));
        rollout
    }

    /// Whether the holder of the lease has a rollout to control.
    pub fn has_work(&self) -> bool {
        self.rollouts
            .load()
            .iter()
            .any(|rollout| rollout.is_active())
    }
}

impl Table {
    /// Services with an order, each with the number of its stage and the share of the requests that may
    /// go to the ordered version, in thousandths. The stages are 0 for an order that was not acted on, 1
    /// for the sample, 2 and more for steps of the shift, 100 for a version that has replaced the others,
    /// and 200 for one that was rolled back.
    pub fn stages(&self) -> Vec<(Arc<str>, u64, u64)> {
        let rollouts = self.rollouts.load();
        let stage = |rollout: &Arc<Rollout>| {
            let state = rollout.state.lock();
            state.order.as_ref()?;
            let (number, share) = state.row().map_or((0, 0.0), |row| {
                let number = match row.stage {
                    Stage::Sample => 1,
                    Stage::Shift { step } => 2 + u64::from(step),
                    Stage::Done => 100,
                    Stage::RolledBack => 200,
                };
                (number, row.share)
            });
            Some((rollout.service.clone(), number, (share * 1000.0) as u64))
        };
        rollouts.iter().filter_map(stage).collect()
    }
}

impl<P: Protocol> Node<P> {
    /// Applies an order as of a revision; returns whether it is new. `confirmed` is a time by the
    /// table's clock at which the table did not have it.
    pub fn order_rollout(
        &self,
        order: RolloutOrder,
        revision: Revision,
        confirmed: Option<Duration>,
    ) -> bool {
        let now = clock::now();
        let table_time = self.exchange.table_time(now);
        // After an outage of the table, nothing is confirmed for long.
        let earliest = table_time.map(|time| time.saturating_sub(MAX_ORDER_AGE));
        let order = Order {
            order,
            revision,
            given_at: confirmed
                .map(|time| time.max(earliest.unwrap_or(time)))
                .or(table_time),
        };
        let rollout = self.exposure.entry(&order.order.service);
        if rollout.is_restored(&order) {
            let valid_at = now + REWRITE_PERIOD;
            self.exposure.old_orders.lock().push((order, valid_at));
            return false;
        }
        set_order(self, &rollout, order)
    }
}

fn set_order<P: Protocol>(node: &Node<P>, rollout: &Rollout, order: Order) -> bool {
    node.exposure
        .old_orders
        .lock()
        .retain(|(old, _)| old.order.service != order.order.service);
    let (to, duration) = (order.order.to.clone(), order.order.duration);
    if !rollout.set_order(order) {
        return false;
    }
    emit!(
        info,
        event::ROLLOUT_ORDERED,
        service = &*rollout.service,
        to = &*to,
        duration_ms = millis(duration),
    );
    refresh(node);
    node.rollout_wakeup.notify_one();
    true
}

/// Applies orders of a restored table that were not replaced in time.
fn apply_old_orders<P: Protocol>(node: &Node<P>, now: Duration) {
    let mut old_orders = node.exposure.old_orders.lock();
    let is_valid = |old: &mut (Order, Duration)| old.1 <= now;
    let valid: Vec<_> = old_orders.extract_if(.., is_valid).collect();
    drop(old_orders);
    for (order, _) in valid {
        let rollout = node.exposure.entry(&order.order.service);
        set_order(node, &rollout, order);
    }
}

/// Applies a changed row of a rollout; ignores all other rows.
pub fn apply_row<P: Protocol>(node: &Node<P>, change: &Change) {
    let Some(service) = change.key.strip_prefix(EXPOSURES) else {
        return;
    };
    let row = match change.value.as_deref().map(serde_json::from_slice) {
        Some(Ok(row)) => Some(row),
        None => None,
        Some(Err(reason)) => {
            emit!(warn, event::INSTANCE_UNREADABLE, row = change.key, reason = %Invalid::from(reason));
            return;
        }
    };
    let rollout = node.exposure.entry(service);
    rollout.apply_row(row, change.revision, clock::now());
    node.rollout_wakeup.notify_one();
}

/// Updates what depends on the registered endpoints.
pub fn refresh<P: Protocol>(node: &Node<P>) {
    node.exposure.gate.refresh(node);
    for rollout in node.exposure.all().iter() {
        rollout.set_registered(registered(node, &rollout.service));
    }
}

/// Versions of a service's endpoints, sorted.
fn registered<P: Protocol>(node: &Node<P>, service: &str) -> Vec<Arc<str>> {
    let fleet = node.endpoints.fleet();
    let endpoints = fleet.of_service(service).iter();
    let mut builds: Vec<_> = endpoints.map(|e| e.registration.build.clone()).collect();
    builds.sort();
    builds.dedup();
    builds
}

/// Counts a request to a service, when its first attempt is sent.
pub fn record_request<P: Protocol>(node: &Node<P>, service: &str) {
    if let Some(rollout) = node.exposure.find(service) {
        rollout.record_request();
    }
}

/// Tells the holder of the lease what this instance has seen, and controls rollouts while it is the
/// holder, until the task is aborted.
pub async fn run<P: Protocol, W: Watch>(node: Arc<Node<P>>, table: W) {
    tokio::join!(report::run(&node), control::run(&node, &table));
}
