//! The peer plane: digests, settings and loans exchanged between instances by capnp-rpc.
//!
//! capnp-rpc objects are not `Send`, so client and server run on one dedicated thread;
//! they share data with the rest of the daemon only through the tables of the node.

mod borrow;
mod broadcast;
mod client;
mod job;
mod link;
mod listing;
mod server;
mod warm;

use std::{
    sync::Arc,
    thread,
    time::Instant, //
};

pub use job::{
    Jobs,
    Replication, //
};

use anyhow::Context;
use capnp_rpc::twoparty::VatNetwork;
use futures::AsyncReadExt;
use rand::seq::IndexedRandom;
use settings::Tree;
use state::{
    delta::Delta,
    member,
    settings::Settings, //
};
use telemetry::{
    emit,
    event, //
};
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    task::LocalSet, //
};
use tokio_util::compat::TokioAsyncReadCompatExt;

use crate::{
    node::{
        LEAVING_HORIZON,
        Node, //
    },
    sync, //
};

/// Number of members in a digest besides the sender and the members that are leaving.
const MAX_SAMPLED_MEMBERS: usize = 4;

/// Starts the thread of the peer plane, which runs until the process ends.
///
/// # Errors
///
/// If the thread or its runtime cannot be started.
pub fn start(node: Arc<Node>, listener: std::net::TcpListener) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("cannot start the runtime of the peer plane")?;
    thread::Builder::new()
        .name("peer".to_owned())
        .spawn(move || {
            LocalSet::new().block_on(&runtime, async move {
                let Ok(listener) = TcpListener::from_std(listener) else {
                    return;
                };
                tokio::task::spawn_local(server::run(node.clone(), listener));
                tokio::task::spawn_local(borrow::run(node.clone()));
                tokio::task::spawn_local(listing::run(node.clone()));
                if let Some(jobs) = node.peers.take_receiver() {
                    tokio::task::spawn_local(broadcast::run(node.clone(), jobs));
                }
                tokio::task::spawn_local(warm::run(node.clone()));
                client::run(node).await;
            });
        })
        .context("cannot start the thread of the peer plane")?;
    Ok(())
}

type Network = VatNetwork<futures::io::BufReader<futures::io::ReadHalf<Stream>>>;
type Stream = tokio_util::compat::Compat<TcpStream>;

/// The capnp network over one TCP connection.
fn network(stream: TcpStream, side: capnp_rpc::rpc_twoparty_capnp::Side) -> Network {
    // A failure costs only latency.
    stream.set_nodelay(true).ok();
    let (reader, writer) = stream.compat().split();
    VatNetwork::new(
        futures::io::BufReader::new(reader),
        futures::io::BufWriter::new(writer),
        side,
        capnp::message::ReaderOptions::default(),
    )
}

/// The digest that this instance sends to its peers.
fn digest(node: &Node) -> wire::Digest {
    let now = Instant::now();
    let members = digest_members(node);
    // Read before the revision: settings that arrive in between make the revision newer than the
    // age says, never older.
    let age = node.freshness.age();
    let leaving = node.leaving.live(now, LEAVING_HORIZON);
    wire::Digest {
        name: node.config.name.clone(),
        revision: node.settings.load().tree.revision,
        settings_age: age,
        settled: node.freshness.is_settled(),
        members: members.iter().map(|m| to_wire(m, now)).collect(),
        leaving_endpoints: leaving
            .into_iter()
            .map(|(name, age)| wire::LeavingEndpoint { name, age })
            .collect(),
        withdrawn: withdrawn(node),
    }
}

/// The members to include in a digest: this one, those that are leaving, and a random sample.
///
/// The sample bounds the length of a digest in a fleet of any size; other digests include the
/// members that one omits.
fn digest_members(node: &Node) -> Vec<member::Member> {
    let members = node.live_members();
    let is_always_included = |m: &member::Member| m.name == node.config.name || m.leaving;
    let (mut included, others): (Vec<_>, Vec<_>) =
        members.into_iter().partition(is_always_included);
    let sample = others.choose_multiple(&mut rand::rng(), MAX_SAMPLED_MEMBERS);
    included.extend(sample.cloned());
    included
}

/// Digests of the keys withdrawn in an emergency that the settings do not contain yet.
fn withdrawn(node: &Node) -> Vec<[u8; 32]> {
    let unstored = node.withdrawals.unstored(&node.settings.load().snapshot);
    unstored.into_iter().map(|digest| digest.0).collect()
}

/// The settings for a peer at `peer_revision`: the changes since then if the log has all of them,
/// otherwise the whole tree.
fn settings_reply(node: &Node, settings: &Settings, peer_revision: u64) -> wire::Reply {
    let mut reply = wire::Reply {
        digest: wire::Digest {
            name: node.config.name.clone(),
            revision: settings.tree.revision,
            ..wire::Digest::default()
        },
        ..wire::Reply::default()
    };
    if peer_revision >= settings.tree.revision {
        return reply;
    }
    // Serialization cannot fail: all maps have text keys.
    match node.deltas.between(peer_revision, settings.tree.revision) {
        Some(deltas) => reply.delta = serde_json::to_vec(&deltas).unwrap_or_default(),
        None => reply.tree = serde_json::to_vec(&settings.tree).unwrap_or_default(),
    }
    reply
}

/// Adopts newer settings of a peer if they pass the checks; returns the revision in force.
fn adopt(node: &Node, reply: &wire::Reply) -> u64 {
    match newer_tree(node, reply) {
        Ok(Some(tree)) => sync::offer(node, tree),
        Ok(None) => {}
        Err(error) => emit!(warn, event::PEER_REFUSED, reason = %error),
    }
    node.settings.load().tree.revision
}

/// The settings tree in `reply`, built from its changes if it has no tree; `None` if it has neither
/// or the changes do not apply to the settings in force.
fn newer_tree(node: &Node, reply: &wire::Reply) -> serde_json::Result<Option<Tree>> {
    if !reply.tree.is_empty() {
        return serde_json::from_slice(&reply.tree).map(Some);
    }
    if reply.delta.is_empty() {
        return Ok(None);
    }
    let deltas: Vec<Delta> = serde_json::from_slice(&reply.delta)?;
    let settings = node.settings.load();
    let mut deltas = deltas.iter();
    let Some(first) = deltas.next().and_then(|d| d.apply(&settings.tree)) else {
        return Ok(None);
    };
    Ok(deltas.try_fold(first, |tree, delta| delta.apply(&tree)))
}

/// Merges a peer's digest into the tables of the node.
fn merge_digest(node: &Node, digest: &wire::Digest) {
    let now = Instant::now();
    for member in &digest.members {
        if member.name != node.config.name {
            node.members.record(from_wire(member, now));
        }
    }
    sync::withdrawal::record(node, digest.withdrawn.iter().copied().map(settings::Digest));
    for leaving in &digest.leaving_endpoints {
        if let Some(reported_at) = now.checked_sub(leaving.age) {
            node.leaving.record(&leaving.name, reported_at);
        }
    }
}

fn to_wire(member: &member::Member, now: Instant) -> wire::Member {
    wire::Member {
        name: member.name.clone(),
        incarnation: member.incarnation,
        domain: member.domain.clone(),
        caller: member.caller,
        operator: member.operator,
        peer: member.peer,
        leaving: member.leaving,
        revision: member.revision,
        age: now.saturating_duration_since(member.seen_at),
    }
}

fn from_wire(member: &wire::Member, now: Instant) -> member::Member {
    member::Member {
        name: member.name.clone(),
        incarnation: member.incarnation,
        domain: member.domain.clone(),
        caller: member.caller,
        operator: member.operator,
        peer: member.peer,
        leaving: member.leaving,
        revision: member.revision,
        seen_at: now.checked_sub(member.age).unwrap_or(now),
    }
}
