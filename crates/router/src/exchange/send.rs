//! Datagrams to other instances. Any may be lost.

use std::net::SocketAddr;

use state::clock;
use telemetry::{
    emit,
    event, //
};
use tokio::net::UdpSocket;

use super::other_hubs;
use crate::{
    message::Message,
    node::Node,
    protocol::Protocol, //
};

/// Sends a message without waiting; drops it if the send buffer of the socket is full.
pub fn try_send(socket: &UdpSocket, message: &Message, to: SocketAddr) {
    let Some(bytes) = message.encode() else {
        return;
    };
    if let Err(error) = socket.try_send_to(&bytes, to) {
        emit!(debug, event::PEER_FAULT, peer = %to, reason = %error);
    }
}

/// Sends a message to the hubs, except to this instance.
pub async fn send_to_hubs<P: Protocol>(node: &Node<P>, message: &Message) {
    for hub in other_hubs(node) {
        send(node, message, hub).await;
    }
}

/// Sends a message to all other instances.
pub async fn send_all<P: Protocol>(node: &Node<P>, message: &Message) {
    let Some(bytes) = message.encode() else {
        return;
    };
    for member in node.members.others(&node.config.name, clock::now()) {
        send_bytes(node, &bytes, member.row.exchange).await;
    }
}

/// Sends a message to another instance; drops it if it is too large.
pub async fn send<P: Protocol>(node: &Node<P>, message: &Message, to: SocketAddr) {
    if let Some(bytes) = message.encode() {
        send_bytes(node, &bytes, to).await;
    }
}

async fn send_bytes<P: Protocol>(node: &Node<P>, bytes: &[u8], to: SocketAddr) {
    if let Err(error) = node.exchange.socket.send_to(bytes, to).await {
        emit!(debug, event::PEER_FAULT, peer = %to, reason = %error);
    }
}
