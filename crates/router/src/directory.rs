//! Which instances a caller should connect to.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use policy::nearby;
use state::clock;

use crate::{
    node::Node,
    protocol::{
        Lookup, //
        Protocol,
    }, //
};

/// Most addresses in one answer.
const MAX_ADDRESSES: usize = 64;
/// How long callers may keep an answer: shorter than an instance goes on after it began to stop.
const KEEP: Duration = Duration::from_secs(2);

/// Addresses of the instances that `caller` should use.
pub fn addresses<P: Protocol>(node: &Node<P>, caller: &Lookup) -> Vec<SocketAddr> {
    let config = &node.config;
    let mut named = node.members.named(&config.name, clock::now());
    named.retain(|member| *member.name != *config.name);
    let others = named.iter().map(|m| (&*m.row.domain, m.row.callers));
    let own = (&*config.domain, config.listen.callers);
    let all: Vec<(&str, SocketAddr)> = others.chain(node.is_ready().then_some(own)).collect();
    let domains: Vec<&str> = all.iter().map(|(domain, _)| *domain).collect();
    let picked = nearby::pick(&domains, &caller.domain, MAX_ADDRESSES, rand::random());
    picked.into_iter().map(|index| all[index].1).collect()
}

/// How long callers may keep an answer.
pub fn keep<P: Protocol>(node: &Node<P>) -> Duration {
    KEEP.min(node.config.bounds.address_ttl)
}
