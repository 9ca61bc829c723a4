//! Which versions of a service may get requests.

use std::time::Duration;

use policy::exposure::Stage;
use state::clock;

use super::{
    begin::Begin,
    state::State, //
};
use crate::{
    node::Node,
    protocol::Protocol, //
};

/// Part of the time within which a bad version must get no more requests for which an instance goes on
/// without word from the one in control. The rest is for reports, their evaluation and the word of it.
const SILENCE_RATIO: f64 = 0.6;

/// Time without word from the instance in control after which nothing is sent to a version on trial;
/// `rollback` is the time within which a bad version must get no more requests.
pub(super) fn longest_silence(rollback: Duration) -> Duration {
    rollback.mul_f64(SILENCE_RATIO)
}

/// What a version may get.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Access {
    /// Any request.
    Free,
    /// Requests within the ration, and streams that it has begun.
    Rationed,
    /// Streams that it has begun.
    Streams,
    /// None.
    Denied,
}

/// Whether an endpoint of this version may get a request; `build` is the version that the request is
/// for, if it continues a stream or was drawn for the ordered version.
pub fn allows<P: Protocol>(
    node: &Node<P>,
    service: &str,
    version: &str,
    build: Option<&str>,
) -> bool {
    let access = match node.exposure.find(service) {
        None => Access::Free,
        Some(rollout) => {
            let silence = longest_silence(node.config.bounds.rollback);
            access(&rollout.state.lock(), version, silence, clock::now())
        }
    };
    let is_named = build == Some(version);
    match access {
        Access::Free => node.exposure.gate.is_open(node, service, version),
        Access::Rationed | Access::Streams => is_named,
        Access::Denied => false,
    }
}

/// Whether a version may get requests within the ration only.
pub fn is_rationed<P: Protocol>(node: &Node<P>, service: &str, version: &str) -> bool {
    node.exposure.find(service).is_some_and(|rollout| {
        let silence = Duration::MAX;
        access(&rollout.state.lock(), version, silence, clock::now()) == Access::Rationed
    })
}

/// Whether the instance in control has been silent for longer than `silence`.
pub(super) fn is_silent(state: &State, silence: Duration, now: Duration) -> bool {
    state
        .heard
        .at
        .is_none_or(|at| now.saturating_sub(at) > silence)
}

fn access(state: &State, version: &str, silence: Duration, now: Duration) -> Access {
    let Some(order) = &state.order else {
        return Access::Free;
    };
    let is_ordered = *order.order.to == *version;
    let Some(row) = state.row() else {
        return access_before(state, &order.order.to, version);
    };
    match row.stage {
        Stage::RolledBack if is_ordered => Access::Denied,
        Stage::Sample | Stage::Shift { .. } if is_ordered => {
            if state.is_bad || state.is_bad_here {
                Access::Denied
            } else if is_silent(state, silence, now) {
                // Streams go on only at the version that began them.
                Access::Streams
            } else {
                Access::Rationed
            }
        }
        _ if is_ordered => Access::Free,
        Stage::Done if row.is_left_out(version) && state.is_reused(version) => Access::Free,
        _ if row.is_denied(version) => Access::Denied,
        Stage::Done if row.is_base(version) && row.is_closed => Access::Denied,
        Stage::Done if row.is_base(version) => Access::Streams,
        _ => Access::Free,
    }
}

/// Access before the order was acted on: the ordered version gets nothing, unless it needs no trial.
fn access_before(state: &State, to: &str, version: &str) -> Access {
    let previous = state.known.as_ref().map(|known| &known.row);
    let begin = Begin::new(previous, to, &state.registered);
    let is_denied = || begin.denied.iter().any(|denied| **denied == *version);
    if *version == *to && begin.stage != Stage::Done || is_denied() {
        return Access::Denied;
    }
    Access::Free
}
