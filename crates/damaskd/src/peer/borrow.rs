//! Borrows tokens from peers for requests of this instance.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use capnp_rpc::{
    RpcSystem,
    rpc_twoparty_capnp::Side, //
};
use rand::seq::IndexedRandom;
use state::right::Entry;
use telemetry::{
    emit,
    event, //
};
use tokio::{
    net::TcpStream,
    sync::mpsc, //
};
use wire::peer_capnp::gate;

use crate::{
    node::Node,
    rights::Borrow, //
};

/// Number of peers asked in parallel.
const FANOUT: usize = 8;
/// Maximum number of rounds for one request.
const MAX_ROUNDS: usize = 4;
/// Timeout of a round, after which it ends without the slow peers.
const ROUND_TIMEOUT: Duration = Duration::from_millis(30);
/// Timeout of one peer's answer.
const LOAN_TIMEOUT: Duration = Duration::from_millis(300);

/// Serves the borrow requests of this instance until the process ends.
pub async fn run(node: Arc<Node>) {
    loop {
        for request in node.rights.borrows.recv_all().await {
            tokio::task::spawn_local(serve(node.clone(), request));
        }
    }
}

/// Requests an equal amount from several peers, then more from those that lent all of it.
async fn serve(node: Arc<Node>, request: Borrow) {
    let own_address = node.addresses.peer;
    let members = node.live_members();
    let peers: Vec<SocketAddr> = members
        .iter()
        .filter(|member| member.peer != own_address && !member.leaving)
        .map(|member| member.peer)
        .collect();
    let peers: Vec<SocketAddr> = peers
        .choose_multiple(&mut rand::rng(), FANOUT)
        .copied()
        .collect();
    let (mut missing, mut peers) = (request.tokens, peers);
    for _ in 0..MAX_ROUNDS {
        if missing == 0 || peers.is_empty() {
            break;
        }
        let amount = missing.div_ceil(peers.len() as u64);
        let (borrowed, full_lenders) =
            borrow_round(&node, &request.entry, &peers, amount, missing).await;
        missing = missing.saturating_sub(borrowed);
        peers = full_lenders;
    }
    // Fails only if the request no longer waits.
    request.done.send(()).ok();
}

/// Requests `amount` tokens from each peer until `needed` are borrowed; returns the number borrowed
/// and the peers that lent all of `amount`.
async fn borrow_round(
    node: &Arc<Node>,
    entry: &Arc<Entry>,
    peers: &[SocketAddr],
    amount: u64,
    needed: u64,
) -> (u64, Vec<SocketAddr>) {
    let (sender, mut answers) = mpsc::unbounded_channel();
    for peer in peers.iter().copied() {
        let (node, entry, sender) = (node.clone(), entry.clone(), sender.clone());
        tokio::task::spawn_local(async move {
            let tokens = borrow(&node, &entry, peer, amount).await;
            // Fails only if the round has ended, with enough tokens or by its timeout.
            sender.send((peer, tokens)).ok();
        });
    }
    drop(sender);
    let (mut borrowed, mut full_lenders) = (0, Vec::new());
    let deadline = tokio::time::Instant::now() + ROUND_TIMEOUT;
    while let Ok(Some((peer, tokens))) = tokio::time::timeout_at(deadline, answers.recv()).await {
        borrowed += tokens;
        if tokens == amount {
            full_lenders.push(peer);
        }
        if borrowed >= needed {
            break;
        }
    }
    (borrowed, full_lenders)
}

/// Borrows from one peer; a loan that arrives after the end of the round is still added to the
/// bucket.
async fn borrow(node: &Node, entry: &Entry, peer: SocketAddr, tokens: u64) -> u64 {
    // Read before the request is sent, so that the loan ends here before it does at the peer.
    let requested_at = node.rights.table.now();
    let exchange = exchange(node, entry, peer, tokens);
    let result = match tokio::time::timeout(LOAN_TIMEOUT, exchange).await {
        Ok(result) => result,
        Err(_) => Err(anyhow::anyhow!("no answer within {LOAN_TIMEOUT:?}")),
    };
    match result {
        Ok(tokens) => {
            node.rights.table.receive(entry, tokens, requested_at);
            tokens
        }
        Err(error) => {
            emit!(debug, event::PEER_FAULT, peer = %peer, reason = %error);
            0
        }
    }
}

async fn exchange(
    node: &Node,
    entry: &Entry,
    peer: SocketAddr,
    tokens: u64,
) -> anyhow::Result<u64> {
    let stream = TcpStream::connect(peer).await?;
    let network = super::network(stream, Side::Client);
    let mut system = RpcSystem::new(Box::new(network), None);
    let gate: gate::Client = system.bootstrap(Side::Server);
    let running = tokio::task::spawn_local(system);
    let result = request_loan(node, entry, &gate, tokens).await;
    running.abort();
    result
}

async fn request_loan(
    node: &Node,
    entry: &Entry,
    gate: &gate::Client,
    tokens: u64,
) -> anyhow::Result<u64> {
    let mut enter = gate.enter_request();
    enter.get().set_secret(node.config.peer_secret.as_bytes());
    let peer = enter.send().promise.await?.get()?.get_peer()?;
    let mut request = peer.lend_request();
    let mut want = request.get().init_want();
    want.set_workspace(&*entry.workspace);
    want.set_tokens(tokens);
    let response = request.send().promise.await?;
    Ok(response.get()?.get_lent()?.get_tokens())
}
