//! Asks peers: a few at random in each round, all of them when the settings get old.

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

/// Peers asked in one round.
const FANOUT: usize = 2;
/// Deadline of one exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Rounds are up to this fraction of the interval early or late.
const JITTER: f64 = 0.2;

/// Addresses that are being asked now.
type Busy = Rc<RefCell<Vec<SocketAddr>>>;

/// Exchanges digests with peers until the process ends.
pub async fn run(node: Arc<Node>) {
    let busy = Busy::default();
    loop {
        for address in pick(&node) {
            if !busy.borrow().contains(&address) {
                busy.borrow_mut().push(address);
                tokio::task::spawn_local(ask(node.clone(), address, busy.clone()));
            }
        }
        count(&node);
        let jitter = rand::rng().random_range(1.0 - JITTER..1.0 + JITTER);
        tokio::time::sleep(node.config.limits.exchange_interval.mul_f64(jitter)).await;
    }
}

/// Peers to ask in this round.
pub fn pick(node: &Node) -> Vec<SocketAddr> {
    let peers = addresses(node);
    if node.freshness.age() > node.config.limits.stale_after / 2 {
        return peers;
    }
    peers
        .choose_multiple(&mut rand::rng(), FANOUT)
        .copied()
        .collect()
}

/// Peer-plane addresses of all other instances that are known in any way.
fn addresses(node: &Node) -> Vec<SocketAddr> {
    let members = node.live_members();
    let heard = members.iter().map(|member| member.peer);
    let mut peers: Vec<SocketAddr> = match node.electorate() {
        Some(electorate) => electorate
            .into_iter()
            .map(|m| m.peer)
            .chain(heard)
            .collect(),
        None => heard.chain(node.config.peer_seeds.clone()).collect(),
    };
    peers.sort_unstable();
    peers.dedup();
    peers.retain(|address| *address != node.addresses.peer);
    peers
}

async fn ask(node: Arc<Node>, address: SocketAddr, busy: Busy) {
    let result = match tokio::time::timeout(EXCHANGE_TIMEOUT, exchange(&node, address)).await {
        Ok(result) => result,
        Err(_) => Err(anyhow::anyhow!("no answer within {EXCHANGE_TIMEOUT:?}")),
    };
    busy.borrow_mut().retain(|asked| *asked != address);
    if let Err(error) = result {
        emit!(debug, event::PEER_FAULT, peer = %address, reason = %error);
    }
}

async fn exchange(node: &Node, address: SocketAddr) -> anyhow::Result<()> {
    let link = Link::open(node, address).await?;
    // Read before the question goes out: the answer may have waited for us anywhere.
    let asked = clock::now();
    let reply = link.exchange(&super::digest(node)).await?;
    super::absorb(node, &reply.digest);
    let revision = super::adopt(node, &reply);
    let said = &reply.digest;
    ensure!(
        revision >= said.revision,
        "revision {} of {} was not taken over",
        said.revision,
        said.name
    );
    node.freshness
        .confirm(asked.saturating_sub(said.settings_age));
    let settled = said.settled;
    node.freshness.record_report(
        &said.name,
        Report {
            asked_at: asked,
            settled,
        },
    );
    count(node);
    Ok(())
}

/// Concludes from all answers so far whether the settings are current.
fn count(node: &Node) {
    if let Some(electorate) = node.electorate() {
        let now = clock::now();
        node.freshness
            .confirm_by_majority(&node.config.name, &electorate, now);
    }
}
