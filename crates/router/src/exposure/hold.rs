//! The end of a rollout whose version has replaced the others: operators are told once no instance
//! sends anything to the replaced endpoints.

use std::time::Duration;

use policy::exposure::Stage;
use state::clock;

use super::{
    row::Row,
    state::{
        Rollout,
        State, //
    }, //
};
use crate::{
    node::Node,
    protocol::{
        Protocol,
        RolloutState, //
    }, //
};

/// Shortest time until instances that were not heard of count as informed, and the same as a fraction of
/// the order's time if that is shorter.
const MIN_HOLD: Duration = Duration::from_millis(2_000);
const MIN_HOLD_FRACTION: f64 = 0.1;
/// Time beyond the longest request for which requests in progress are waited for.
const HOLD_SLACK: Duration = Duration::from_secs(1);
/// Fraction of the order's time at which requests in progress are not waited for any more.
const LATEST_CLOSE: f64 = 0.92;
/// The same if the stage has just begun: the order must end in its time.
const LAST_CLOSE: f64 = 0.97;
/// Longest time from then until operators are told, and the same as a fraction of the order's time if
/// that is shorter.
const MAX_CLOSING: Duration = Duration::from_millis(1_500);
const MAX_CLOSING_FRACTION: f64 = 0.04;
/// Age at which the report of an instance is too old to show what it does.
const REPORT_HORIZON: Duration = Duration::from_secs(3);

/// The row to write next and what operators are told; `None` while something is waited for.
pub(super) fn next<P: Protocol>(
    node: &Node<P>,
    rollout: &Rollout,
    state: &State,
    row: &Row,
    table_time: Duration,
) -> Option<(Row, Option<RolloutState>)> {
    let in_stage = table_time.saturating_sub(row.stage_at);
    if row.is_finished {
        return None;
    }
    let (elapsed, duration) = state.times(Some(table_time))?;
    if row.is_closed {
        let longest = MAX_CLOSING.min(duration.mul_f64(MAX_CLOSING_FRACTION));
        if !is_quiet(node, state, true) && in_stage < longest {
            return None;
        }
        let row = Row {
            is_finished: true,
            ..row.clone()
        };
        return Some((row, Some(RolloutState::Complete)));
    }
    let min_hold = MIN_HOLD.min(duration.mul_f64(MIN_HOLD_FRACTION));
    let is_late = elapsed >= duration.mul_f64(LATEST_CLOSE) && in_stage >= min_hold
        || elapsed >= duration.mul_f64(LAST_CLOSE);
    let longest = longest_request(node, rollout).max(min_hold) + HOLD_SLACK;
    if !is_quiet(node, state, false) && !is_late && in_stage < longest {
        return None;
    }
    let row = Row {
        is_closed: true,
        stage_at: table_time,
        ..row.clone()
    };
    Some((row, None))
}

/// Whether all live instances know the stage, and none has requests in progress at replaced endpoints.
fn is_quiet<P: Protocol>(node: &Node<P>, state: &State, is_closed: bool) -> bool {
    let now = clock::now();
    node.members.live(now).iter().all(|member| {
        state.reporter(member.hash()).is_some_and(|reporter| {
            now.saturating_sub(reporter.at) <= REPORT_HORIZON
                && reporter.stage == Some(Stage::Done)
                && (reporter.is_closed || !is_closed)
                && reporter.in_flight == 0
        })
    })
}

/// Time that a request to the service takes at most.
fn longest_request<P: Protocol>(node: &Node<P>, rollout: &Rollout) -> Duration {
    let catalog = node.catalog.load();
    let routes = catalog.iter().flat_map(|catalog| catalog.routes());
    let routes = routes.filter(|route| {
        let mut targets = route.targets.iter();
        targets.any(|target| target.service == rollout.service)
    });
    routes.map(|route| route.timeout).max().unwrap_or_default()
}
