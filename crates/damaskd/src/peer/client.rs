//! Exchanges digests with peers: with a few at random per round, or with all if the settings are
//! close to stale.

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use anyhow::ensure;
use policy::freshness::Report;
use rand::{
    Rng,
    seq::IndexedRandom, //
};
use state::clock;
use telemetry::{
    emit,
    event, //
};

use super::link::Link;
use crate::node::Node;

/// Number of peers per round.
const FANOUT: usize = 2;
/// Timeout of one exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest deviation of a round from the interval, as a fraction of it.
const JITTER_RATIO: f64 = 0.2;

/// Addresses with an exchange in flight.
type InFlight = Rc<RefCell<Vec<SocketAddr>>>;

/// Exchanges digests with peers until the process ends.
pub async fn run(node: Arc<Node>) {
    let in_flight = InFlight::default();
    loop {
        for address in select_peers(&node) {
            if !in_flight.borrow().contains(&address) {
                in_flight.borrow_mut().push(address);
                tokio::task::spawn_local(exchange_with(node.clone(), address, in_flight.clone()));
            }
        }
        confirm_by_majority(&node);
        let jitter = rand::rng().random_range(1.0 - JITTER_RATIO..1.0 + JITTER_RATIO);
        tokio::time::sleep(node.config.limits.exchange_interval.mul_f64(jitter)).await;
    }
}

/// Selects the peers for one round.
pub fn select_peers(node: &Node) -> Vec<SocketAddr> {
    let peers = peer_addresses(node);
    if node.freshness.age() > node.config.limits.stale_after / 2 {
        return peers;
    }
    peers
        .choose_multiple(&mut rand::rng(), FANOUT)
        .copied()
        .collect()
}

/// Peer-plane addresses of all other known instances: live members, the voting members and, until
/// the platform's list names an instance, the configured seeds.
fn peer_addresses(node: &Node) -> Vec<SocketAddr> {
    let members = node.live_members();
    let known = members.iter().map(|member| member.peer);
    let mut peers: Vec<SocketAddr> = match node.electorate() {
        Some(electorate) => electorate
            .into_iter()
            .map(|m| m.peer)
            .chain(known)
            .collect(),
        None => known.chain(node.config.peer_seeds.clone()).collect(),
    };
    peers.sort_unstable();
    peers.dedup();
    peers.retain(|address| *address != node.addresses.peer);
    peers
}

async fn exchange_with(node: Arc<Node>, address: SocketAddr, in_flight: InFlight) {
    let result = match tokio::time::timeout(EXCHANGE_TIMEOUT, exchange(&node, address)).await {
        Ok(result) => result,
        Err(_) => Err(anyhow::anyhow!("no answer within {EXCHANGE_TIMEOUT:?}")),
    };
    in_flight.borrow_mut().retain(|other| *other != address);
    if let Err(error) = result {
        emit!(debug, event::PEER_FAULT, peer = %address, reason = %error);
    }
}

async fn exchange(node: &Node, address: SocketAddr) -> anyhow::Result<()> {
    let link = Link::open(node, address).await?;
    // Read before the request is sent: the answer may have been delayed anywhere on its way.
    let requested_at = clock::now();
    let reply = link.exchange(&super::digest(node)).await?;
    super::merge_digest(node, &reply.digest);
    let revision = super::adopt(node, &reply);
    let digest = &reply.digest;
    ensure!(
        revision >= digest.revision,
        "revision {} of peer {} was not adopted",
        digest.revision,
        digest.name
    );
    node.freshness
        .confirm(requested_at.saturating_sub(digest.settings_age));
    let settled = digest.settled;
    node.freshness.record_report(
        &digest.name,
        Report {
            requested_at,
            settled,
        },
    );
    confirm_by_majority(node);
    Ok(())
}

/// Confirms the settings as far as the answers so far allow.
fn confirm_by_majority(node: &Node) {
    if let Some(electorate) = node.electorate() {
        let now = clock::now();
        node.freshness
            .confirm_by_majority(&node.config.name, &electorate, now);
    }
}
