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
    message::Deltas,
    mirror::State,
    node::Node,
    protocol::Protocol, //
};

/// Where an instance tells what it knows.
pub const STATE_PATH: &str = "/v1/state";
/// Where an instance tells what has changed; the revisions that the asking one has of the rows of
/// operators, endpoints and instances follow, each after a slash.
pub const CHANGES_PATH: &str = "/v1/changes";

/// Time for the table to answer before peers are asked.
const TABLE_FIRST: Duration = Duration::from_millis(300);
/// Pause between rounds of questions while nothing is known.
const ROUND_PAUSE: Duration = Duration::from_millis(500);
/// Longest time for one answer.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

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

/// Asks another instance for what this one lacks.
///
/// # Errors
///
/// If no readable answer came.
pub async fn changes<P: Protocol>(
    node: &Node<P>,
    client: &Client,
    address: SocketAddr,
) -> anyhow::Result<Deltas> {
    let mirrors = &node.mirrors;
    let path = format!(
        "{CHANGES_PATH}/{}/{}/{}",
        mirrors.operator.revision(),
        mirrors.endpoints.revision(),
        mirrors.instances.revision(),
    );
    let answer = client.call(Method::GET, address, &path, Bytes::new());
    Ok(postcard::from_bytes(&answer.await?.body)?)
}

/// What the asking instance lacks; `None` if the path is not that of such a question.
pub fn answer_changes<P: Protocol>(node: &Node<P>, path: &str) -> Option<Bytes> {
    let revisions = path.strip_prefix(CHANGES_PATH)?.strip_prefix('/')?;
    let mut revisions = revisions.split('/').map(|text| text.parse().ok());
    let mut next = || revisions.next().flatten();
    let deltas = Deltas {
        operator: node.mirrors.operator.since(next()?),
        endpoints: node.mirrors.endpoints.since(next()?),
        own: node.mirrors.instances.since(next()?),
    };
    // Fails only if it is too large for memory.
    Some(Bytes::from(
        postcard::to_stdvec(&deltas).unwrap_or_default(),
    ))
}
