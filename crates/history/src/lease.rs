//! Checks that the lease is one register with one holder at a time, and that no order of a
//! previous holder takes effect.

use std::time::Duration;

use todc_utils::{
    linearizability::{
        WGLChecker,
        history::{
            Action,
            History, //
        }, //
    },
    specifications::Specification, //
};

/// Outcome of a compare-and-set.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The write was applied.
    Applied,
    /// The write was refused because the row had changed.
    Refused,
    /// The answer was lost.
    Unknown,
}

/// One compare-and-set of the lease row; rows are distinguished by their write ids.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Write {
    /// Index of the contender.
    pub process: usize,
    /// Write id of the row to be replaced; 0 for none.
    pub expected: u64,
    /// Write id of the new row.
    pub new: u64,
    /// Outcome of the write.
    pub outcome: Outcome,
    /// Times of the call and of its end, by one clock.
    pub span: (Duration, Duration),
}

/// The register whose operations are [`Write`]s.
#[derive(Clone, Copy, Debug)]
struct Register;

impl Specification for Register {
    type State = u64;
    type Operation = Write;

    fn init() -> u64 {
        0
    }

    fn apply(write: &Write, state: &u64) -> (bool, u64) {
        match write.outcome {
            Outcome::Applied if write.expected == *state => (true, write.new),
            Outcome::Refused if write.expected != *state => (true, *state),
            // A write that is assumed not to have been applied.
            Outcome::Unknown => (true, *state),
            _ => (false, *state),
        }
    }
}

/// Whether the writes are linearizable as those of one register, with each write whose answer
/// was lost either applied or not.
pub fn is_linearizable(writes: &[Write]) -> bool {
    let unknown: Vec<usize> = (0..writes.len())
        .filter(|&index| writes[index].outcome == Outcome::Unknown)
        .collect();
    let combinations = 1_u32 << unknown.len();
    (0..combinations).any(|applied_bits| {
        let mut writes = writes.to_vec();
        for (bit, &index) in unknown.iter().enumerate() {
            if applied_bits >> bit & 1 == 1 {
                writes[index].outcome = Outcome::Applied;
            }
        }
        writes.is_empty() || WGLChecker::<Register>::is_linearizable(history(&writes))
    })
}

fn history(writes: &[Write]) -> History<Write> {
    let mut actions = Vec::new();
    // Each write is a process of its own, since one whose answer was lost may overlap later
    // writes of its contender.
    for (process, write) in writes.iter().enumerate() {
        actions.push((write.span.0, process, Action::Call(write.clone())));
        actions.push((write.span.1, process, Action::Response(write.clone())));
    }
    actions.sort_by_key(|(at, _, _)| *at);
    let actions = actions.into_iter().map(|(_, process, a)| (process, a));
    History::from_actions(actions.collect())
}

/// An observation that a contender holds the lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Observation {
    /// Index of the contender.
    pub process: usize,
    /// Fencing number held by the contender.
    pub number: u64,
    /// Time of the observation.
    pub at: Duration,
    /// Time until which the contender may act.
    pub until: Duration,
}

/// Pairs of observations in which a lower number may act after a higher one was held, or in
/// which two contenders hold the same number.
pub fn overlaps(observations: &[Observation]) -> Vec<(Observation, Observation)> {
    let overlap = |old: &Observation, new: &Observation| {
        let shared = old.number == new.number && old.process != new.process;
        let may_act = old.at.max(old.until) > new.at;
        shared || (old.number < new.number && may_act)
    };
    let pairs = observations
        .iter()
        .flat_map(|old| observations.iter().map(move |new| (*old, *new)));
    pairs.filter(|(old, new)| overlap(old, new)).collect()
}

/// An order that reached an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Order {
    /// Fencing number of the sender.
    pub fencing: u64,
    /// Whether the order took effect.
    pub taken: bool,
}

/// Orders that took effect at one endpoint after an order of a newer holder had; `orders` is in
/// order of arrival.
pub fn late_orders(orders: &[Order]) -> Vec<Order> {
    let mut newest = 0;
    let mut late = Vec::new();
    for order in orders.iter().filter(|order| order.taken) {
        if order.fencing < newest {
            late.push(*order);
        }
        newest = newest.max(order.fencing);
    }
    late
}
