//! Fetches the records of the other instances when this one becomes a hub: it was not told of streams
//! that began before.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use futures::{
    StreamExt,
    stream, //
};
use http::Method;
use serde::{
    Deserialize,
    Serialize, //
};
use state::clock;
use telemetry::{
    emit,
    event, //
};

use super::records::GENERATION;
use crate::{
    exchange::whole_millis,
    message::Origins,
    node::Node,
    protocol::Protocol, //
};

/// Path that returns the records of an instance that the table is not known to have. The maximum age of
/// those that are requested follows after a slash, in milliseconds.
pub const RECORDS_PATH: &str = "/v1/origins";

/// Interval between checks of whether this instance is a hub.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Delay after which the records are fetched once more. Instances tell the hubs that they know, and
/// learn of a new one from its row and its digests.
const REPEAT_DELAY: Duration = Duration::from_secs(2);
/// Maximum number of instances that are asked at once.
const MAX_FETCHES: usize = 8;

/// Records of about the same age.
#[derive(Debug)]
#[derive(Deserialize, Serialize)]
struct Batch {
    age_ms: u32,
    origins: Origins,
}

/// Fetches records whenever this instance becomes a hub, until the task is aborted.
pub(super) async fn run<P: Protocol>(node: &Node<P>) {
    loop {
        wait_until_hub(node, true).await;
        let answered = gather(node, &[]).await;
        tokio::time::sleep(REPEAT_DELAY).await;
        gather(node, &answered).await;
        wait_until_hub(node, false).await;
    }
}

async fn wait_until_hub<P: Protocol>(node: &Node<P>, is_hub: bool) {
    while node.hub_rank().is_some() != is_hub {
        tokio::select! {
            () = node.exchange.hubs_changed.notified() => {}
            () = tokio::time::sleep(CHECK_INTERVAL) => {}
        }
    }
}

/// Fetches the records of all other instances, those included that are stopping, but only those of the
/// last moments from those that have `answered` before; returns the instances that answer now.
async fn gather<P: Protocol>(node: &Node<P>, answered: &[SocketAddr]) -> Vec<SocketAddr> {
    let others = node.members.others(&node.config.name, clock::now());
    let fetches = others.into_iter().map(|member| {
        let address = member.row.peers;
        let max_age = if answered.contains(&address) {
            REPEAT_DELAY * 2
        } else {
            node.record_horizon()
        };
        fetch(node, address, max_age)
    });
    let mut answers = stream::iter(fetches).buffer_unordered(MAX_FETCHES);
    let mut answered = Vec::new();
    let mut learned = 0;
    while let Some(answer) = answers.next().await {
        match answer {
            Ok((address, batches)) => {
                answered.push(address);
                learned += learn(node, batches);
            }
            // One of an older version has no such path; one that is gone does not answer.
            Err(reason) => emit!(debug, event::PEER_FAULT, reason = %reason),
        }
    }
    emit!(
        info,
        event::STREAMS_GATHERED,
        instances = answered.len(),
        streams = learned,
    );
    answered
}

async fn fetch<P: Protocol>(
    node: &Node<P>,
    address: SocketAddr,
    max_age: Duration,
) -> anyhow::Result<(SocketAddr, Vec<Batch>)> {
    let path = format!("{RECORDS_PATH}/{}", max_age.as_millis());
    let response = node.peers.call(Method::GET, address, &path, Bytes::new());
    Ok((address, postcard::from_bytes(&response.await?.body)?))
}

/// Adds the records; returns the number of those that were new.
fn learn<P: Protocol>(node: &Node<P>, batches: Vec<Batch>) -> usize {
    let now = clock::now();
    let mut state = node.origins.state.lock();
    let mut learned = 0;
    for batch in batches {
        let age = Duration::from_millis(u64::from(batch.age_ms));
        for (stream, origin) in batch.origins.into_streams() {
            learned += usize::from(state.learn(stream, origin, now.saturating_sub(age), now));
        }
    }
    learned
}

/// Response to a request for [`RECORDS_PATH`]; `None` if `path` is another path or malformed.
pub fn answer_records<P: Protocol>(node: &Node<P>, path: &str) -> Option<Bytes> {
    let max_age = path.strip_prefix(RECORDS_PATH)?.strip_prefix('/')?;
    let max_age = Duration::from_millis(max_age.parse().ok()?);
    let now = clock::now();
    let state = node.origins.state.lock();
    let generations = state.own.generations().chain(state.known.generations());
    let batches: Vec<Batch> = generations
        .map(|(begins_at, records)| (now.saturating_sub(begins_at), records))
        .filter(|(age, _)| *age <= max_age + GENERATION)
        .map(|(age, records)| {
            let unsaved = records.iter().filter(|record| !state.is_saved(record.0));
            Batch {
                age_ms: whole_millis(age),
                origins: Origins::group(&unsaved.cloned().collect::<Vec<_>>()),
            }
        })
        .collect();
    // Encoding fails only if the records do not fit into memory.
    Some(Bytes::from(
        postcard::to_stdvec(&batches).unwrap_or_default(),
    ))
}
