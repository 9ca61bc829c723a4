//! Asks other instances for what they know, for a start while the table gives no answer.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use http::Method;
use platform::http::Client;
use telemetry::{
    emit,
    event, //
};

use crate::{
    mirror::State,
    node::Node,
    protocol::Protocol, //
};

/// Where an instance tells what it knows.
pub const STATE_PATH: &str = "/v1/state";

/// Time for the table to answer before peers are asked.
const TABLE_FIRST: Duration = Duration::from_millis(300);
/// Pause between rounds of questions while nothing is known.
const ROUND_PAUSE: Duration = Duration::from_millis(500);
/// Longest time for one answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Asks the seeds until a configuration is known, from them or from the table.
pub async fn bootstrap<P: Protocol>(node: Arc<Node<P>>) {
    tokio::time::sleep(TABLE_FIRST).await;
    let client = Client::new(ANSWER_TIMEOUT);
    while !node.is_ready() && !node.is_stopping() {
        for seed in &node.config.peer_seeds {
            if *seed != node.config.listen.peers && !node.is_ready() {
                ask(&node, &client, *seed).await;
            }
        }
        tokio::time::sleep(ROUND_PAUSE).await;
    }
}

async fn ask<P: Protocol>(node: &Node<P>, client: &Client, seed: SocketAddr) {
    let answer = client.call(Method::GET, seed, STATE_PATH, Bytes::new());
    let answer = match answer.await {
        Ok(answer) => answer,
        Err(fault) => {
            emit!(debug, event::PEER_FAULT, reason = %fault);
            return;
        }
    };
    match serde_json::from_slice::<State>(&answer.body) {
        Ok(state) => {
            node.import(state);
            emit!(info, event::STATE_IMPORTED, peer = %seed, ready = node.is_ready());
        }
        Err(error) => emit!(warn, event::PEER_FAULT, reason = %error),
    }
}
