//! Loads of engines as planners have told them, for the time in which no planner answers.

use parking_lot::Mutex;
use policy::{
    belief::Millis,
    spread::{
        Known,
        TOLERANCE_SECONDS, //
    }, //
};
use state::{
    clock,
    sorted, //
};

use crate::{
    choose::decide::{
        EligibleEndpoint,
        Query,
        Scope, //
    },
    config::Choice,
    node::Node,
    protocol::Protocol, //
};

/// What is known of the engines' loads, by the hash of their names.
#[derive(Debug, Default)]
pub struct Views(
    /// # Invariants
    ///
    /// Sorted by the hash of the engine's name, without duplicates.
    Mutex<Vec<(u64, Known)>>,
);

impl Views {
    /// What is known of the engine with this hash.
    pub fn known(&self, engine: u64) -> Known {
        let views = self.0.lock();
        let found = views.binary_search_by_key(&engine, |(hash, _)| *hash);
        found.map_or_else(|_| Known::default(), |index| views[index].1)
    }

    /// Records that a planner has told `seconds` of work at the engine.
    pub(super) fn record_report(&self, engine: u64, now: Millis, seconds: f32) {
        sorted::entry(&mut self.0.lock(), &engine).record_report(now, seconds);
    }

    /// Records that this instance sends work that takes `seconds` to the engine.
    pub fn record_sent(&self, engine: u64, now: Millis, seconds: f32) {
        sorted::entry(&mut self.0.lock(), &engine).record_sent(now, seconds);
    }
}

/// Whether planners place the requests of the query's service.
pub fn is_planned<P: Protocol>(node: &Node<P>, query: &Query<'_>) -> bool {
    node.config.choice == Choice::Planned && query.engine().is_some()
}

/// Seconds by which costs may differ without meaning; not 0 if other instances choose alone, too, while
/// no planner answers.
pub fn tolerance<P: Protocol>(node: &Node<P>, query: &Query<'_>, scope: Scope) -> f32 {
    let has_others = || {
        let now = clock::now();
        node.members.with_live(now, |members| members.len() > 1)
    };
    if scope == Scope::Local && is_planned(node, query) && has_others() {
        TOLERANCE_SECONDS
    } else {
        0.0
    }
}

/// Blocks that an engine computes for other instances, as far as this one was told while planners
/// answered.
pub fn told_blocks<P: Protocol>(
    node: &Node<P>,
    query: &Query<'_>,
    engine: &EligibleEndpoint,
    block_seconds: f32,
) -> f32 {
    if !is_planned(node, query) {
        return 0.0;
    }
    let known = node.planner.views.known(engine.health.hash);
    let blocks = known.load(node.beliefs.now()) / block_seconds;
    let own = engine.health.in_flight.blocks_ahead(query.class);
    (blocks - own).max(0.0)
}
