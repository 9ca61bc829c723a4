//! Takes in changes that hubs pass on, and fetches those that were lost on the way.

use std::{
    net::SocketAddr,
    sync::Arc, //
};

use platform::http::Client;
use telemetry::{
    emit,
    event, //
};

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

/// Takes in changes; `false` if others are missing.
pub(super) fn take<P: Protocol>(node: &Node<P>, feed: Feed, delta: Delta) -> bool {
    let Some(news) = mirror(node, feed).apply_delta(delta) else {
        return false;
    };
    if news.is_empty() {
        return true;
    }
    match feed {
        Feed::Operator => node.operator_changed(&news),
        Feed::Endpoints => node.endpoints_changed(&news),
        Feed::Instances => node.own_changed(&news),
    }
    true
}

pub(super) fn mirror<P>(node: &Node<P>, feed: Feed) -> &Mirror {
    match feed {
        Feed::Operator => &node.mirrors.operator,
        Feed::Endpoints => &node.mirrors.endpoints,
        Feed::Instances => &node.mirrors.own,
    }
}

/// Fetches what is missing from the hub with this address, unless a fetch is under way.
pub(super) fn fetch<P: Protocol>(node: &Arc<Node<P>>, from: SocketAddr) {
    let mut state = node.exchange.state.lock();
    if state.fetching {
        return;
    }
    state.fetching = true;
    drop(state);
    let node = node.clone();
    tokio::spawn(async move {
        if let Some(address) = node.members.peer_plane(from.ip()) {
            fetch_now(&node, address).await;
        }
        node.exchange.state.lock().fetching = false;
    });
}

async fn fetch_now<P: Protocol>(node: &Node<P>, address: SocketAddr) {
    let client: &Client = &node.peers;
    let deltas: Deltas = match peer::fetch_changes(node, client, address).await {
        Ok(deltas) => deltas,
        Err(reason) => {
            emit!(debug, event::PEER_FAULT, peer = %address, reason = %reason);
            return;
        }
    };
    // A hub that restarted meanwhile may know less; what it knows is taken all the same.
    take(node, Feed::Operator, deltas.operator);
    take(node, Feed::Endpoints, deltas.endpoints);
    take(node, Feed::Instances, deltas.instances);
}
