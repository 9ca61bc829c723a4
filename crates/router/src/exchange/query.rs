//! Queries to other instances, and their answers.

use std::net::SocketAddr;

use policy::hub::HUBS;
use state::clock;
use tokio::sync::oneshot;

use super::{
    Exchange,
    pick_hubs,
    send, //
};
use crate::{
    message::Message,
    node::Node,
    protocol::Protocol, //
};

impl Exchange {
    /// Passes an answer to the query with this id, if it is still pending.
    pub(super) fn answer(&self, query_id: u32, message: Message) {
        self.deliver(query_id, message);
    }

    /// Like [`Exchange::answer`]; returns whether the query still waits for its answer.
    pub fn deliver(&self, query_id: u32, message: Message) -> bool {
        let mut state = self.state.lock();
        let position = state.pending.iter().position(|(id, _)| *id == query_id);
        let Some(index) = position else {
            return false;
        };
        let (_, sender) = state.pending.swap_remove(index);
        drop(state);
        // Fails if the query has timed out.
        sender.send(message).is_ok()
    }

    /// Creates a pending query; returns its id and the receiver of its answer.
    fn register(&self) -> (u32, oneshot::Receiver<Message>) {
        let (sender, receiver) = oneshot::channel();
        let mut state = self.state.lock();
        state.pending.retain(|(_, sender)| !sender.is_closed());
        state.last_id = state.last_id.wrapping_add(1);
        let id = state.last_id;
        state.pending.push((id, sender));
        (id, receiver)
    }
}

/// Sends a query to another instance and waits for the answer, without a timeout.
///
/// `query` builds the message from the id that the answer will carry.
pub async fn query<P: Protocol>(
    node: &Node<P>,
    to: SocketAddr,
    query: impl FnOnce(u32) -> Message,
) -> Option<Message> {
    let (id, answer) = node.exchange.register();
    send(node, &query(id), to).await;
    answer.await.ok()
}

/// Addresses of the hubs other than this instance.
pub fn other_hubs<P: Protocol>(node: &Node<P>) -> Vec<SocketAddr> {
    let (_, mut hubs) = pick_hubs(node, &node.members.live(clock::now()));
    hubs.retain(|hub| *hub != node.config.listen.exchange);
    hubs
}

/// Addresses of the instances other than this one that keep the records of all streams: the hubs, and
/// while there are fewer than usual, instances that are stopping.
pub fn record_keepers<P: Protocol>(node: &Node<P>) -> Vec<SocketAddr> {
    let now = clock::now();
    let (_, mut keepers) = pick_hubs(node, &node.members.live(now));
    if keepers.len() < HUBS {
        let (_, stopping) = pick_hubs(node, &node.members.stopping(now));
        keepers.extend(stopping);
        keepers.truncate(HUBS);
    }
    keepers.retain(|keeper| *keeper != node.config.listen.exchange);
    keepers
}
