//! How attempts connect to endpoints.

use std::time::Duration;

use endpoint::{
    Options,
    Target,
    pool::MAX_IDLE, //
};

use crate::{
    choose::Selection,
    node::Node,
    protocol::Protocol,
    relay::Dialer,
    request::Call, //
};

/// Connection timeout for endpoints: many round trips within a region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// One in this many of an endpoint's connections may be idle, summed over all instances.
const IDLE_DIVISOR: usize = 4;

impl Selection {
    /// Where the attempt connects to.
    pub(super) fn target(&self) -> Target {
        Target {
            address: self.endpoint.registration.address,
            echoes_id: true,
        }
    }

    /// How the attempt connects.
    pub(super) fn dialer<'a, P: Protocol>(&'a self, node: &'a Node<P>) -> Dialer<'a, P> {
        Dialer {
            node,
            registration: &self.endpoint.registration,
        }
    }
}

/// How the attempts of a call are sent.
pub(super) fn options<P: Protocol>(node: &Node<P>, call: &Call) -> Options {
    let time_left = call.time_left();
    Options {
        connect_timeout: CONNECT_TIMEOUT.min(time_left),
        head_timeout: time_left,
        reuse: call.is_repeatable(),
        max_idle: max_idle(node, call),
    }
}

/// Maximum number of idle connections per endpoint of the call's service. Requests that may not
/// be repeated never reuse a connection, so theirs are closed.
fn max_idle<P: Protocol>(node: &Node<P>, call: &Call) -> usize {
    if !call.is_repeatable() {
        return 0;
    }
    let service = call.catalog.service(&call.service);
    let max_connections = service.map_or(0, |service| service.max_connections);
    (max_connections / IDLE_DIVISOR / node.instance_count()).clamp(1, MAX_IDLE)
}
