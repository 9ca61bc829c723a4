//! Which instances a caller should connect to.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use state::clock;

use crate::{
    node::Node,
    protocol::{
        Protocol,
        Whereabouts, //
    }, //
};

/// Most addresses in one answer.
const MAX_ADDRESSES: usize = 64;
/// How long callers may keep an answer: shorter than an instance goes on after it began to stop.
const KEEP: Duration = Duration::from_secs(2);

/// Addresses of the instances that `caller` should use.
pub fn addresses<P: Protocol>(node: &Node<P>, _caller: &Whereabouts) -> Vec<SocketAddr> {
    let mut named = node.members.named(&node.config.name, clock::now());
    named.retain(|member| *member.name != *node.config.name);
    let mut addresses: Vec<SocketAddr> = named.iter().map(|member| member.row.callers).collect();
    if node.is_ready() {
        addresses.push(node.config.listen.callers);
    }
    addresses.truncate(MAX_ADDRESSES);
    addresses
}

/// How long callers may keep an answer.
pub fn keep<P: Protocol>(node: &Node<P>) -> Duration {
    KEEP.min(node.config.bounds.address_ttl)
}
