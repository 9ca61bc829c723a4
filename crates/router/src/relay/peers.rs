//! Asks other instances to relay a connection.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use endpoint::{
    Connection,
    Link,
    Target,
    connection::set_options,
    link::Frames, //
};
use futures::{
    StreamExt,
    stream::FuturesUnordered, //
};
use http::{
    HeaderValue,
    Request,
    StatusCode,
    header, //
};
use http_body_util::Empty;
use hyper::client::conn::http1::handshake;
use hyper_util::rt::TokioIo;
use policy::path;
use state::clock;
use telemetry::{
    emit,
    event, //
};
use tokio::{
    net::TcpStream,
    time::Instant, //
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    ENDPOINT,
    HEAD_START,
    INCARNATION,
    PATH,
    PROTOCOL,
    SERVICE, //
};
use crate::{
    fleet::Registration,
    instance::name_hash,
    node::Node,
    protocol::Protocol, //
};

/// Time for which an instance that did not relay a connection is asked after the others.
const AVOID_TIME: Duration = Duration::from_secs(1);
/// Same for an instance of an older build, which cannot.
const UNABLE_TIME: Duration = Duration::from_secs(60);

/// No instance has connected to the endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct Refusal {
    /// Whether one has tried.
    pub(super) is_confirmed: bool,
}

/// Why one instance has not connected to the endpoint.
#[derive(Debug)]
enum Fault {
    /// It could not connect either.
    Unreached,
    /// It does not connect to this endpoint: it does not know it, or the endpoint wants no connections.
    Unwanted,
    /// It relays nothing to this service now.
    Busy,
    /// It cannot relay connections.
    Unable,
    /// It gave no usable answer.
    Lost(String),
}

impl Fault {
    /// No usable answer, for this reason.
    fn lost(reason: impl std::fmt::Display) -> Self {
        Self::Lost(reason.to_string())
    }
}

#[derive(Clone, Debug)]
struct Peer {
    name: Arc<str>,
    hash: u32,
    address: SocketAddr,
}

/// Connects to an endpoint through the first instance that can.
///
/// # Errors
///
/// If none can until `deadline`.
pub(super) async fn open<P: Protocol>(
    node: &Node<P>,
    endpoint: &Registration,
    target: Target,
    deadline: Instant,
) -> Result<Connection, Refusal> {
    // Instances that were asked.
    let mut asked = Vec::new();
    let opened = ask_in_turn(node, endpoint, target, deadline, &mut asked).await;
    let relay = opened.as_ref().ok().map(|(relay, _)| relay.hash);
    for other in asked.into_iter().filter(|other| Some(*other) != relay) {
        let service = Some(&endpoint.service);
        node.avoided_relays.add(other, service, AVOID_TIME);
    }
    let (relay, connection) = opened?;
    emit!(
        info,
        event::CONNECTION_RELAYED,
        endpoint = &*endpoint.name,
        peer = &*relay.name,
    );
    Ok(connection)
}

/// Asks instances one after the other, each with a head start, until one has connected.
async fn ask_in_turn<P: Protocol>(
    node: &Node<P>,
    endpoint: &Registration,
    target: Target,
    deadline: Instant,
    asked: &mut Vec<u32>,
) -> Result<(Peer, Connection), Refusal> {
    let mut is_confirmed = false;
    let mut peers = candidates(node, endpoint).into_iter();
    let mut answers = FuturesUnordered::new();
    loop {
        if let Some(peer) = peers.next() {
            asked.push(peer.hash);
            answers.push(ask(peer, endpoint, target));
        }
        let head_start = tokio::time::sleep(HEAD_START);
        let answer = tokio::select! {
            answer = answers.next() => match answer {
                Some(answer) => answer,
                None => return Err(Refusal { is_confirmed }),
            },
            () = head_start, if peers.len() > 0 => continue,
            () = tokio::time::sleep_until(deadline) => return Err(Refusal { is_confirmed }),
        };
        match answer {
            (peer, Ok(connection)) => return Ok((peer, connection)),
            (peer, Err(fault)) => {
                is_confirmed |= matches!(fault, Fault::Unreached);
                record_fault(node, &peer, &fault);
            }
        }
    }
}

fn record_fault<P: Protocol>(node: &Node<P>, peer: &Peer, fault: &Fault) {
    match fault {
        Fault::Unreached | Fault::Unwanted | Fault::Busy => {}
        Fault::Unable => node.avoided_relays.add(peer.hash, None, UNABLE_TIME),
        Fault::Lost(reason) => {
            node.avoided_relays.add(peer.hash, None, AVOID_TIME);
            emit!(debug, event::PEER_FAULT, peer = &*peer.name, reason = %reason);
        }
    }
}

/// Instances to ask, best first.
fn candidates<P: Protocol>(node: &Node<P>, endpoint: &Registration) -> Vec<Peer> {
    let own = &node.config;
    let seed = xxh3_64_with_seed(own.name.as_bytes(), super::paths::key(endpoint));
    node.members.with_live(clock::now(), |members| {
        let others = members.iter().filter(|member| *member.name != *own.name);
        let others: Vec<_> = others.collect();
        let peers = others.iter().map(|member| path::Peer {
            name: &member.name,
            is_near: member.row.domain == own.domain,
            is_avoided: node
                .avoided_relays
                .contains(name_hash(&member.name), &endpoint.service),
        });
        let peers: Vec<_> = peers.collect();
        let ranked = path::rank_peers(&peers, seed).into_iter();
        let ranked = ranked.map(|index| Peer {
            name: others[index].name.clone(),
            hash: name_hash(&others[index].name),
            address: others[index].row.peers,
        });
        ranked.collect()
    })
}

async fn ask(
    peer: Peer,
    endpoint: &Registration,
    target: Target,
) -> (Peer, Result<Connection, Fault>) {
    let connected = connect(peer.address, endpoint, target).await;
    (peer, connected)
}

async fn connect(
    peer: SocketAddr,
    endpoint: &Registration,
    target: Target,
) -> Result<Connection, Fault> {
    let stream = TcpStream::connect(peer).await.map_err(Fault::lost)?;
    set_options(&stream).map_err(Fault::lost)?;
    let name = |text: &str| HeaderValue::from_str(text).map_err(Fault::lost);
    let request = Request::get(PATH)
        .header(header::HOST, peer.to_string())
        .header(header::CONNECTION, "upgrade")
        .header(header::UPGRADE, PROTOCOL)
        .header(SERVICE, name(&endpoint.service)?)
        .header(ENDPOINT, name(&endpoint.name)?)
        .header(INCARNATION, endpoint.incarnation)
        .body(Empty::<Bytes>::new())
        .map_err(Fault::lost)?;
    let (mut sender, connection) = handshake(TokioIo::new(stream)).await.map_err(Fault::lost)?;
    // The request reports the errors of this task, which ends with the sender or the upgrade.
    tokio::spawn(connection.with_upgrades());
    let response = sender.send_request(request).await.map_err(Fault::lost)?;
    match response.status() {
        StatusCode::SWITCHING_PROTOCOLS => {}
        StatusCode::BAD_GATEWAY => return Err(Fault::Unreached),
        StatusCode::GONE => return Err(Fault::Unwanted),
        StatusCode::SERVICE_UNAVAILABLE => return Err(Fault::Busy),
        _ => return Err(Fault::Unable),
    }
    let upgraded = hyper::upgrade::on(response).await.map_err(Fault::lost)?;
    let parts = upgraded
        .downcast::<TokioIo<TcpStream>>()
        .map_err(|_| Fault::lost("unexpected kind of connection"))?;
    if !parts.read_buf.is_empty() {
        return Err(Fault::lost("the endpoint has closed the connection"));
    }
    let link = Link::Relayed(Frames::new(parts.io.into_inner()));
    Connection::over(target, link).await.map_err(Fault::lost)
}
