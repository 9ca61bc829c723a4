//! Plan of the next orders to the engines of one model.

use std::time::Duration;

use super::{
    LoadTimes,
    Weights,
    pick_within,
    times::Pending, //
};

/// What an engine does with its running requests when it loads weights.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mode {
    /// Finishes them before it loads.
    Finish,
    /// Continues them with the new weights.
    Continue,
}

/// An engine, as the instance that controls the rollout sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Engine {
    /// State of its weights.
    pub weights: Weights,
    /// Time until it must have loaded the wanted version, if it has not.
    pub time_left: Duration,
    /// Time for which it has been absent, if it loads.
    pub absence: Duration,
    /// Number of its latest loads that failed.
    pub failures: u32,
}

impl Engine {
    /// Orders engines by how soon they should be ordered to load: those with the least time first,
    /// but those whose loads fail do not hold up others with as much time.
    fn preference(&self) -> (Duration, u32) {
        (self.time_left, self.failures)
    }
}

/// What to order now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Plan {
    /// Engines to be ordered to load, as indexes, and how.
    pub picked: Vec<(usize, Mode)>,
    /// Number of engines that may be absent at the same time.
    pub max_absent: usize,
}

/// Plans the next orders to the engines of one model. Among engines that are alike, the first ones
/// are preferred.
///
/// `loading_elsewhere` counts the engines of other models that load; `bound` is the time in which the
/// engines have to load a version after it was named.
///
/// While time is ample, no more engines are absent than keep the weight store busy, and they finish
/// their requests. Once that would take longer than the time left, more are absent, up to half of
/// them. If that does not suffice either, they continue their requests with the new weights; then
/// loads that may never end take no engine from the others.
pub fn plan(
    engines: &[Engine],
    times: &LoadTimes,
    loading_elsewhere: usize,
    bound: Duration,
) -> Plan {
    let is_overdue = |engine: &Engine| {
        engine.weights == Weights::Loading && times.is_overdue(engine.absence, bound)
    };
    let mut order: Vec<usize> = (0..engines.len()).collect();
    order.sort_by_key(|&index| engines[index].preference());
    let weights: Vec<Weights> = order
        .iter()
        .map(|&index| match engines[index].weights {
            Weights::Loading if is_overdue(&engines[index]) => Weights::Unknown,
            weights => weights,
        })
        .collect();
    let loading = weights.iter().filter(|w| **w == Weights::Loading).count();
    let overdue = engines.iter().filter(|engine| is_overdue(engine)).count();
    let max_unavailable = (engines.len() / 2).max(1);
    let max_finishing = max_unavailable.saturating_sub(overdue);

    let mut pending = Pending::new(engines, bound);
    pending.time_left.sort_unstable();
    // One of the model's engines may always load, whatever those of other models do.
    let mut needed = 1;
    let mut continue_within = None;
    for (index, &time_left) in pending.time_left.iter().enumerate() {
        let count = index + 1;
        let finishing = times.finishing(count, time_left, &pending);
        if let Some(finishing) = finishing.filter(|n| *n <= max_finishing) {
            let unseen = times.finishing_unseen(count, time_left).min(max_finishing);
            needed = needed.max(finishing.max(unseen).min(count + loading));
        } else {
            let continuing = times.continuing(count, time_left, engines.len());
            needed = needed.max(continuing.min(max_unavailable).min(count + loading));
            continue_within = Some(time_left);
        }
    }
    let ample = times.max_absent(engines.len());
    let max_absent = ample.saturating_sub(loading_elsewhere).max(needed);
    let late = pending.time_left.partition_point(Duration::is_zero);
    let max_unavailable = match continue_within {
        None => max_unavailable,
        Some(Duration::ZERO) => max_unavailable.max(late),
        Some(_) => (max_unavailable + overdue)
            .min(engines.len().saturating_sub(1))
            .max(1),
    };
    let picked = pick_within(&weights, loading, max_absent, max_unavailable);
    let is_urgent =
        |engine: &Engine| continue_within.is_some_and(|within| engine.time_left <= within);
    // Engines that have time leave places to those that have little and wait after a failure.
    let is_waiting = |engine: &&Engine| engine.weights == Weights::Deferred && is_urgent(engine);
    let waiting = engines.iter().filter(is_waiting).count();
    let is_unavailable =
        |weights: &&Weights| matches!(weights, Weights::Loading | Weights::Unknown);
    let unavailable = weights.iter().filter(is_unavailable).count();
    let room = max_unavailable.saturating_sub(unavailable + waiting);
    let picked = picked.into_iter().map(|position| order[position]);
    let picked = picked.enumerate().filter_map(|(position, index)| {
        if is_urgent(&engines[index]) {
            Some((index, Mode::Continue))
        } else {
            (position < room).then_some((index, Mode::Finish))
        }
    });
    Plan {
        picked: picked.collect(),
        max_absent,
    }
}
