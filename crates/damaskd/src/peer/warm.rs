//! Fetches prefix beliefs from peers at startup, so that the instance does not start without any.

use std::{
    sync::Arc,
    time::Duration, //
};

use state::belief::Belief;
use telemetry::{
    emit,
    event, //
};

use super::{
    client,
    link::Link, //
};
use crate::node::Node;

/// Maximum number of beliefs requested from one peer.
const MAX_BELIEFS: u32 = 16_384;
/// Number of imports of a peer's beliefs after which the instance asks no more.
const WANTED_SOURCES: usize = 2;
/// Interval between attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of one peer's answer.
const PULL_TIMEOUT: Duration = Duration::from_secs(2);
/// Attempts before the instance continues without beliefs of peers.
const MAX_ATTEMPTS: usize = 40;

/// Imports the beliefs of the first peers that have any.
pub async fn run(node: Arc<Node>) {
    let mut sources = 0;
    for _ in 0..MAX_ATTEMPTS {
        for address in client::select_peers(&node) {
            match tokio::time::timeout(PULL_TIMEOUT, pull(&node, address)).await {
                Ok(Ok(imported)) if imported > 0 => sources += 1,
                Ok(Err(error)) => {
                    emit!(debug, event::PEER_FAULT, peer = %address, reason = %error);
                }
                _ => {}
            }
            if sources == WANTED_SOURCES {
                return;
            }
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

async fn pull(node: &Node, address: std::net::SocketAddr) -> anyhow::Result<usize> {
    let link = Link::open(node, address).await?;
    let beliefs = link.beliefs(MAX_BELIEFS).await?;
    let beliefs: Vec<Belief> = beliefs.into_iter().map(from_wire).collect();
    Ok(node.beliefs.import(&node.health, &beliefs))
}

/// The most recent beliefs of this instance, at most `limit`.
pub fn export(node: &Node, limit: u32) -> Vec<wire::Belief> {
    let limit = usize::try_from(limit.min(wire::MAX_BELIEFS)).unwrap_or(0);
    let beliefs = node.beliefs.export(&node.health, limit);
    beliefs.into_iter().map(to_wire).collect()
}

fn to_wire(belief: Belief) -> wire::Belief {
    wire::Belief {
        endpoint: belief.endpoint,
        incarnation: belief.incarnation,
        level: belief.level,
        age: Duration::from_millis(belief.age),
    }
}

fn from_wire(belief: wire::Belief) -> Belief {
    Belief {
        endpoint: belief.endpoint,
        incarnation: belief.incarnation,
        level: belief.level,
        age: u64::try_from(belief.age.as_millis()).unwrap_or(u64::MAX),
    }
}
