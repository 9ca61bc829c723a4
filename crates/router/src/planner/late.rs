//! Answers of planners, which may be late.

use std::net::SocketAddr;

use crate::{
    exchange,
    message::{
        Destination,
        End,
        Message,
        Outcome,
        PlacementResponse, //
    },
    node::Node,
    protocol::Protocol, //
};

/// Hands a planner's answer to the request that waits for it. If it waits no more, the planner is told,
/// since it counts the request as waiting at the engine.
pub fn handle_placement_response<P: Protocol>(
    node: &Node<P>,
    response: PlacementResponse,
    planner: SocketAddr,
) {
    let ticket = response.ticket;
    let endpoint = match &response.to {
        Destination::Endpoint(name) => Some(name.clone()),
        Destination::RetryAfter(_) | Destination::None => None,
    };
    let id = response.id;
    let message = Message::PlacementResponse(response);
    if !node.exchange.deliver(id, message)
        && let Some(endpoint) = endpoint
    {
        let outcome = Outcome {
            service: String::new(),
            endpoint,
            ticket,
            end: End::Abandoned,
            levels: Vec::new(),
        };
        exchange::try_send(&node.exchange.socket, &Message::Outcome(outcome), planner);
    }
}
