//! Application of the changes that hubs forward, and recovery of those that were lost in transit.

use std::{
    net::SocketAddr,
    sync::Arc, //
};

use platform::http::Client;
use policy::hub::may_fetch;
use state::clock;
use telemetry::{
    emit,
    event, //
};

use super::whole_millis;
use crate::{
    message::{
        Deltas,
        Feed, //
    },
    mirror::{
        Delta,
        Mirror, //
    },
    node::Node,
    peer,
    protocol::Protocol, //
};

/// Applies changes of one feed; `false` if earlier changes are missing.
pub fn apply_delta<P: Protocol>(node: &Node<P>, feed: Feed, delta: Delta) -> bool {
    let confirmed = node.exchange.confirmed();
    let base = mirror(node, feed).revision();
    let Some(changes) = mirror(node, feed).apply_delta(delta) else {
        return false;
    };
    let era = mirror(node, feed).revision().era;
    node.enter_era(era);
    // What was complete in an earlier era may be gone.
    let confirmed = confirmed.filter(|_| base.era == era);
    if changes.is_empty() && base.era == era {
        return true;
    }
    match feed {
        Feed::Operator => node.apply_operator_changes(&changes, confirmed),
        Feed::Endpoints => node.apply_endpoint_changes(&changes),
        Feed::Instances => node.apply_instance_changes(&changes),
    }
    true
}

/// The mirror of one feed.
pub(super) fn mirror<P>(node: &Node<P>, feed: Feed) -> &Mirror {
    match feed {
        Feed::Operator => &node.mirrors.operator,
        Feed::Endpoints => &node.mirrors.endpoints,
        Feed::Instances => &node.mirrors.instances,
    }
}

/// A fetch in progress.
struct Fetch<P> {
    node: Arc<Node<P>>,
    from: SocketAddr,
}

impl<P> Drop for Fetch<P> {
    fn drop(&mut self) {
        let mut state = self.node.exchange.state.lock();
        state.fetches.retain(|(from, _)| *from != self.from);
    }
}

/// Starts to fetch the missing changes from the hub at this address, unless a fetch from it is in
/// progress, or one from another hub that may be about to end.
pub(super) fn fetch<P: Protocol>(node: &Arc<Node<P>>, from: SocketAddr) {
    let now = clock::now();
    let mut state = node.exchange.state.lock();
    let in_progress = state.fetches.iter();
    let in_progress = in_progress.map(|(hub, start)| (*hub, now.saturating_sub(*start)));
    if !may_fetch(&from, &in_progress.collect::<Vec<_>>()) {
        return;
    }
    state.fetches.push((from, now));
    drop(state);
    let fetch = Fetch {
        node: node.clone(),
        from,
    };
    tokio::spawn(async move {
        if let Some(address) = fetch.node.members.peer_plane(from.ip()) {
            fetch_deltas(&fetch.node, address).await;
        }
    });
}

async fn fetch_deltas<P: Protocol>(node: &Node<P>, address: SocketAddr) {
    let client: &Client = &node.peers;
    let start = clock::now();
    let fetched = peer::fetch_changes(node, client, address).await;
    let took_ms = whole_millis(clock::now().saturating_sub(start));
    let deltas: Deltas = match fetched {
        Ok(deltas) => deltas,
        Err(reason) => {
            emit!(warn, event::CHANGES_UNFETCHED, peer = %address, took_ms = took_ms, reason = %reason);
            return;
        }
    };
    emit!(
        info,
        event::CHANGES_FETCHED,
        peer = %address,
        took_ms = took_ms,
        operator = deltas.operator.changes.len(),
        endpoints = deltas.endpoints.changes.len(),
        instances = deltas.instances.changes.len(),
    );
    // A hub that restarted meanwhile may have fewer changes; those that it has are applied anyway.
    apply_delta(node, Feed::Operator, deltas.operator);
    apply_delta(node, Feed::Endpoints, deltas.endpoints);
    apply_delta(node, Feed::Instances, deltas.instances);
}
