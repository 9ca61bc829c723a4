//! The peer plane: exchange of digests between instances, by capnp-rpc.
//!
//! capnp-rpc objects are not `Send`, so both sides run on one thread of their
//! own; the rest of the daemon sees only the shared tables of the node.

mod client;
mod job;
mod lend;
mod link;
mod roster;
mod server;
mod spread;
mod warm;

use std::{
    sync::Arc,
    thread,
    time::Instant, //
};

pub use job::{
    Jobs,
    Spread, //
};

use anyhow::Context;
use capnp_rpc::twoparty::VatNetwork;
use futures::AsyncReadExt;
use rand::seq::IndexedRandom;
use settings::Tree;
use state::{
    delta::Delta,
    member,
    settings::Version, //
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

/// Members that a digest tells of beside its sender and those that are leaving.
const MAX_OTHERS: usize = 4;

/// Starts the thread of the peer plane, which ends with the process.
///
/// # Errors
///
/// If the thread or its runtime cannot be started.
pub fn start(node: Arc<Node>, listener: std::net::TcpListener) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("peer plane: no runtime")?;
    thread::Builder::new()
        .name("peer".to_owned())
        .spawn(move || {
            LocalSet::new().block_on(&runtime, async move {
                let Ok(listener) = TcpListener::from_std(listener) else {
                    return;
                };
                tokio::task::spawn_local(server::run(node.clone(), listener));
                tokio::task::spawn_local(lend::run(node.clone()));
                tokio::task::spawn_local(roster::run(node.clone()));
                if let Some(jobs) = node.peers.take() {
                    tokio::task::spawn_local(spread::run(node.clone(), jobs));
                }
                tokio::task::spawn_local(warm::run(node.clone()));
                client::run(node).await;
            });
        })
        .context("peer plane: no thread")?;
    Ok(())
}

type Network = VatNetwork<futures::io::BufReader<futures::io::ReadHalf<Stream>>>;
type Stream = tokio_util::compat::Compat<TcpStream>;

/// The capnp network over one TCP connection.
fn network(stream: TcpStream, side: capnp_rpc::rpc_twoparty_capnp::Side) -> Network {
    // A refused option costs latency only.
    stream.set_nodelay(true).ok();
    let (reader, writer) = stream.compat().split();
    VatNetwork::new(
        futures::io::BufReader::new(reader),
        futures::io::BufWriter::new(writer),
        side,
        capnp::message::ReaderOptions::default(),
    )
}

/// What this instance tells its peers.
fn digest(node: &Node) -> wire::Digest {
    let now = Instant::now();
    let members = told(node);
    // Read before the revision, which may only be newer than the age says.
    let fresh = node.freshness.age();
    let leaving = node.leaving.live(now, LEAVING_HORIZON);
    wire::Digest {
        name: node.config.name.clone(),
        revision: node.settings.load().tree.revision,
        settings_age: fresh,
        settled: node.freshness.is_settled(),
        members: members.iter().map(|m| to_wire(m, now)).collect(),
        leaving_endpoints: leaving
            .into_iter()
            .map(|(name, age)| wire::LeavingEndpoint { name, age })
            .collect(),
        withdrawn: withdrawn(node),
    }
}

/// The members to tell of: this one, those that are leaving, and a few others at random.
///
/// A digest is as long in a fleet of any size; what one leaves out others tell.
fn told(node: &Node) -> Vec<member::Member> {
    let members = node.live_members();
    let always = |m: &member::Member| m.name == node.config.name || m.leaving;
    let (mut told, others): (Vec<_>, Vec<_>) = members.into_iter().partition(always);
    let sample = others.choose_multiple(&mut rand::rng(), MAX_OTHERS);
    told.extend(sample.cloned());
    told
}

/// Emergency withdrawals that the settings do not hold yet.
fn withdrawn(node: &Node) -> Vec<[u8; 32]> {
    let unkept = node.withdrawals.unstored(&node.settings.load().snapshot);
    unkept.into_iter().map(|digest| digest.0).collect()
}

/// Settings for a peer at revision `held`: what changed if we know it, or the whole tree.
fn news(node: &Node, version: &Version, held: u64) -> wire::Reply {
    let mut news = wire::Reply {
        digest: wire::Digest {
            name: node.config.name.clone(),
            revision: version.tree.revision,
            ..wire::Digest::default()
        },
        ..wire::Reply::default()
    };
    if held >= version.tree.revision {
        return news;
    }
    // Both serialise without fail: their maps have text keys.
    match node.deltas.between(held, version.tree.revision) {
        Some(deltas) => news.delta = serde_json::to_vec(&deltas).unwrap_or_default(),
        None => news.tree = serde_json::to_vec(&version.tree).unwrap_or_default(),
    }
    news
}

/// Takes over newer settings of a peer, if they pass the checks; gives the revision in force.
fn adopt(node: &Node, reply: &wire::Reply) -> u64 {
    match tree(node, reply) {
        Ok(Some(tree)) => sync::offer(node, tree),
        Ok(None) => {}
        Err(error) => emit!(warn, event::PEER_REFUSED, reason = %error),
    }
    node.settings.load().tree.revision
}

fn tree(node: &Node, reply: &wire::Reply) -> serde_json::Result<Option<Tree>> {
    if !reply.tree.is_empty() {
        return serde_json::from_slice(&reply.tree).map(Some);
    }
    if reply.delta.is_empty() {
        return Ok(None);
    }
    let deltas: Vec<Delta> = serde_json::from_slice(&reply.delta)?;
    let version = node.settings.load();
    let mut deltas = deltas.iter();
    let Some(first) = deltas.next().and_then(|d| d.apply(&version.tree)) else {
        return Ok(None);
    };
    Ok(deltas.try_fold(first, |tree, delta| delta.apply(&tree)))
}

/// Takes in what a peer tells.
fn absorb(node: &Node, digest: &wire::Digest) {
    let now = Instant::now();
    for member in &digest.members {
        if member.name != node.config.name {
            node.members.record(from_wire(member, now));
        }
    }
    sync::withdrawal::record(node, digest.withdrawn.iter().copied().map(settings::Digest));
    for leaving in &digest.leaving_endpoints {
        if let Some(seen) = now.checked_sub(leaving.age) {
            node.leaving.record(&leaving.name, seen);
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
        age: now.saturating_duration_since(member.seen),
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
        seen: now.checked_sub(member.age).unwrap_or(now),
    }
}
