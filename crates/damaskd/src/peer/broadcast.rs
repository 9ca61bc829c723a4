//! Sends new settings and digests to all members at once.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
};

use futures::{
    StreamExt,
    stream::FuturesUnordered, //
};
use state::member::Listing;
use telemetry::{
    emit,
    event, //
};
use tokio::sync::mpsc;

use super::{
    job::{
        Announcement,
        Job,
        Replication, //
    },
    link::Link, //
};
use crate::node::Node;

/// Timeout for one member to acknowledge a digest.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time in which settings are pushed again to a member that does not hold them yet: one that has
/// just started puts none in force before its first read of the table, which takes no longer.
const PUSH_RETRY_TIME: Duration = Duration::from_millis(1_500);
/// Interval between these pushes.
const PUSH_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Runs jobs until the process ends.
pub async fn run(node: Arc<Node>, mut jobs: mpsc::UnboundedReceiver<Job>) {
    while let Some(job) = jobs.recv().await {
        let node = node.clone();
        tokio::task::spawn_local(async move {
            match job {
                // The submitter of the job may no longer wait.
                Job::Replicate(done) => done.send(replicate(&node).await).is_ok(),
                Job::Announce(done) => done.send(announce(&node).await).is_ok(),
            }
        });
    }
}

/// Pushes the settings in force to all members; returns as soon as a majority holds them.
async fn replicate(node: &Arc<Node>) -> Replication {
    let members = members(node);
    let mut progress = Replication {
        holders: 1,
        members: members.len() + 1,
    };
    // The remaining pushes continue after a majority is reached.
    let mut pushes: FuturesUnordered<_> = members
        .into_iter()
        .map(|member| tokio::task::spawn_local(push_until_held(node.clone(), member.peer)))
        .collect();
    while !progress.is_majority()
        && let Some(result) = pushes.next().await
    {
        if matches!(result, Ok(true)) {
            progress.holders += 1;
        }
    }
    progress
}

/// Sends the digest to all members and waits for each, at most [`ANNOUNCE_TIMEOUT`].
async fn announce(node: &Arc<Node>) -> Announcement {
    let mut announcement = Announcement {
        reached: vec![node.config.name.clone()],
        unreached: Vec::new(),
    };
    let mut calls: FuturesUnordered<_> = members(node)
        .into_iter()
        .map(|member| async move {
            let call = tokio::time::timeout(ANNOUNCE_TIMEOUT, announce_to(node, member.peer));
            (member.name, matches!(call.await, Ok(Ok(()))))
        })
        .collect();
    while let Some((name, acknowledged)) = calls.next().await {
        match acknowledged {
            true => announcement.reached.push(name),
            false => announcement.unreached.push(name),
        }
    }
    announcement.reached.sort();
    announcement.unreached.sort();
    announcement
}

/// Sends the digest to one member, which merges it before it answers.
async fn announce_to(node: &Node, address: SocketAddr) -> anyhow::Result<()> {
    let link = Link::open(node, address).await?;
    let reply = link.exchange(&super::digest(node)).await?;
    super::merge_digest(node, &reply.digest);
    Ok(())
}

/// All other voting members; before the platform's list has named an instance, all other known
/// members that are not leaving.
fn members(node: &Node) -> Vec<Listing> {
    let known_members = |node: &Node| {
        let members = node.members.all().into_iter().filter(|m| !m.leaving);
        let listings = members.map(|m| Listing {
            name: m.name,
            peer: m.peer,
        });
        listings.collect()
    };
    let mut members: Vec<Listing> = node.electorate().unwrap_or_else(|| known_members(node));
    members.retain(|member| member.name != node.config.name);
    members
}

/// Pushes the settings in force until the peer holds them, or for [`PUSH_RETRY_TIME`]; returns
/// whether it does.
async fn push_until_held(node: Arc<Node>, address: SocketAddr) -> bool {
    let deadline = Instant::now() + PUSH_RETRY_TIME;
    loop {
        let reason = match push(&node, address).await {
            Ok(true) => return true,
            Ok(false) => "it does not hold the settings yet".to_owned(),
            Err(error) => error.to_string(),
        };
        emit!(debug, event::PEER_FAULT, peer = %address, reason = %reason);
        if Instant::now() >= deadline {
            return false;
        }
        tokio::time::sleep(PUSH_RETRY_INTERVAL).await;
    }
}

/// Pushes the settings in force; returns whether the peer holds them afterwards.
async fn push(node: &Node, address: SocketAddr) -> anyhow::Result<bool> {
    let link = Link::open(node, address).await?;
    let settings = node.settings.load();
    let revision = settings.tree.revision;
    let peer_revision = link
        .push(&super::settings_reply(
            node,
            &settings,
            revision.saturating_sub(1),
        ))
        .await?;
    if peer_revision >= revision {
        return Ok(true);
    }
    let peer_revision = link
        .push(&super::settings_reply(node, &settings, peer_revision))
        .await?;
    Ok(peer_revision >= revision)
}
