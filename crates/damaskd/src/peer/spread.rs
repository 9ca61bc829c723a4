//! Hands new settings to all members at once.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use futures::{
    StreamExt,
    stream::FuturesUnordered, //
};
use state::member::Listing;
use tokio::sync::mpsc;

use super::{
    job::{
        Job,
        Spread,
        Told, //
    },
    link::Link, //
};
use crate::node::Node;

/// Longest wait for one member to take in a digest.
const TELL_TIMEOUT: Duration = Duration::from_secs(2);

/// Does jobs until the process ends.
pub async fn run(node: Arc<Node>, mut jobs: mpsc::UnboundedReceiver<Job>) {
    while let Some(job) = jobs.recv().await {
        let node = node.clone();
        tokio::task::spawn_local(async move {
            match job {
                // The asker may have given up waiting.
                Job::Spread(done) => done.send(spread(&node).await).is_ok(),
                Job::Tell(done) => done.send(tell(&node).await).is_ok(),
            }
        });
    }
}

/// Pushes the settings in force to all members; ends as soon as a majority holds them.
async fn spread(node: &Arc<Node>) -> Spread {
    let members = members(node);
    let mut spread = Spread {
        holders: 1,
        members: members.len() + 1,
    };
    // The rest goes on when a majority is reached.
    let mut pushes: FuturesUnordered<_> = members
        .into_iter()
        .map(|member| tokio::task::spawn_local(push(node.clone(), member.peer)))
        .collect();
    while !spread.is_majority()
        && let Some(result) = pushes.next().await
    {
        if matches!(result, Ok(Ok(true))) {
            spread.holders += 1;
        }
    }
    spread
}

/// Tells the digest to all members and waits for each, up to a bound.
async fn tell(node: &Arc<Node>) -> Told {
    let mut told = Told {
        heard: vec![node.config.name.clone()],
        silent: Vec::new(),
    };
    let mut calls: FuturesUnordered<_> = members(node)
        .into_iter()
        .map(|member| async move {
            let call = tokio::time::timeout(TELL_TIMEOUT, tell_one(node, member.peer));
            (member.name, matches!(call.await, Ok(Ok(()))))
        })
        .collect();
    while let Some((name, heard)) = calls.next().await {
        match heard {
            true => told.heard.push(name),
            false => told.silent.push(name),
        }
    }
    told.heard.sort();
    told.silent.sort();
    told
}

/// The peer takes the digest in before it answers.
async fn tell_one(node: &Node, address: SocketAddr) -> anyhow::Result<()> {
    let link = Link::open(node, address).await?;
    let reply = link.exchange(&super::digest(node)).await?;
    super::absorb(node, &reply.digest);
    Ok(())
}

/// All other members whose majority counts, or all that were heard of without a list.
fn members(node: &Node) -> Vec<Listing> {
    let heard = |node: &Node| {
        let members = node.members.all().into_iter().filter(|m| !m.leaving);
        let listed = members.map(|m| Listing {
            name: m.name,
            peer: m.peer,
        });
        listed.collect()
    };
    let mut members: Vec<Listing> = node.electorate().unwrap_or_else(|| heard(node));
    members.retain(|member| member.name != node.config.name);
    members
}

/// Pushes what is in force; tells whether the peer holds it now.
async fn push(node: Arc<Node>, address: SocketAddr) -> anyhow::Result<bool> {
    let link = Link::open(&node, address).await?;
    let version = node.settings.load();
    let revision = version.tree.revision;
    let held = link
        .push(&super::news(&node, &version, revision.saturating_sub(1)))
        .await?;
    if held >= revision {
        return Ok(true);
    }
    let held = link.push(&super::news(&node, &version, held)).await?;
    Ok(held >= revision)
}
