//! Tells callers which instances to connect to.

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

/// Largest number of addresses in one response.
const MAX_ADDRESSES: usize = 64;
/// Longest time for which callers may cache a response; shorter than the time for which a stopping
/// instance still accepts connections.
const MAX_TTL: Duration = Duration::from_secs(2);

/// Addresses of the instances that `caller` should connect to.
pub fn addresses<P: Protocol>(node: &Node<P>, caller: &Lookup) -> Vec<SocketAddr> {
    let config = &node.config;
    let mut members = node.members.advertised(&config.name, clock::now());
    members.retain(|member| *member.name != *config.name);
    let others = members.iter().map(|m| (&*m.row.domain, m.row.callers));
    let own = (&*config.domain, config.listen.callers);
    let all: Vec<(&str, SocketAddr)> = others.chain(node.is_ready().then_some(own)).collect();
    let domains: Vec<&str> = all.iter().map(|(domain, _)| *domain).collect();
    let picked = nearby::pick(&domains, &caller.domain, MAX_ADDRESSES, rand::random());
    picked.into_iter().map(|index| all[index].1).collect()
}

/// Time for which callers may cache a response.
pub fn ttl<P: Protocol>(node: &Node<P>) -> Duration {
    MAX_TTL.min(node.config.bounds.address_ttl)
}
