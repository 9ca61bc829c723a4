//! Instances tell each other that they live, what their callers ask for, and what has changed in
//! the table.
//!
//! Each instance beats to the hubs; each hub tells all others what it has heard
//! and how far its copy of the table goes. What was lost on the way is fetched
//! over a connection.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use parking_lot::Mutex;
use platform::http::Client;
use policy::hub::{
    self,
    Candidate,
    Heard, //
};
use state::clock;
use telemetry::{
    emit,
    event, //
};
use tokio::{
    net::UdpSocket,
    sync::Notify, //
};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    instance::Member,
    message::{
        Alive,
        Beat,
        Deltas,
        Digest,
        Extents,
        Feed,
        MAX_BYTES,
        Message,
        Push, //
    },
    mirror::{
        Delta,
        Mirror, //
    },
    node::Node,
    peer,
    protocol::Protocol, //
};

/// Time between the digests of a hub.
const DIGEST_INTERVAL: Duration = Duration::from_millis(300);
/// Digests between two beats.
const DIGESTS_PER_BEAT: u32 = 3;
/// Time after which what was heard of a hub is dropped.
const HEARD_HORIZON: Duration = Duration::from_secs(5);

/// What was last heard of a hub.
#[derive(Clone, Debug)]
struct HubState {
    name: String,
    at: Duration,
    view_age: Duration,
}

/// What was last heard of an instance, at a hub.
#[derive(Clone, Debug)]
struct Seen {
    beat: Beat,
    at: Duration,
}

#[derive(Debug, Default)]
struct State {
    hubs: Vec<HubState>,
    /// # Invariants
    ///
    /// Sorted by name.
    seen: Vec<Seen>,
    /// When the table last answered this instance.
    table_at: Option<Duration>,
    /// Whether a fetch from a hub is under way.
    fetching: bool,
    demand: Vec<(String, f32)>,
}

/// What this instance has heard of the others.
#[derive(Debug, Default)]
pub struct Exchange {
    state: Mutex<State>,
    /// Wakes whoever waits for the hubs to fall silent.
    pub uncovered: Notify,
}

impl Exchange {
    /// Whether hubs with a fresh view of the table pass on what changes.
    pub fn is_covered(&self, now: Duration) -> bool {
        let state = self.state.lock();
        let heard = state.hubs.iter().map(|hub| Heard {
            ago: now.saturating_sub(hub.at),
            view_age: hub.view_age,
        });
        hub::covers(&heard.collect::<Vec<_>>())
    }

    /// Notes that the table has answered this instance.
    pub fn table_answered(&self, now: Duration) {
        self.state.lock().table_at = Some(now);
    }

    /// Units a second that all callers ask for, by workspace; empty before a hub was heard.
    pub fn demand(&self) -> Vec<(String, f32)> {
        self.state.lock().demand.clone()
    }

    fn hear_hub(&self, digest: &Digest, now: Duration) {
        let mut state = self.state.lock();
        state
            .hubs
            .retain(|hub| hub.name != digest.hub && now.saturating_sub(hub.at) <= HEARD_HORIZON);
        state.hubs.push(HubState {
            name: digest.hub.clone(),
            at: now,
            view_age: Duration::from_millis(u64::from(digest.view_age_ms)),
        });
        state.demand.clone_from(&digest.demand);
    }

    fn hear_beat(&self, beat: Beat, now: Duration) {
        let mut state = self.state.lock();
        let seen = Seen { beat, at: now };
        match state
            .seen
            .binary_search_by(|known| known.beat.name.cmp(&seen.beat.name))
        {
            Ok(index) => state.seen[index] = seen,
            Err(index) => state.seen.insert(index, seen),
        }
    }
}

/// Whether this instance is a hub, and the addresses of the hubs.
fn hubs<P: Protocol>(node: &Node<P>, members: &[Member]) -> (Option<usize>, Vec<SocketAddr>) {
    let candidates: Vec<Candidate<'_>> = members
        .iter()
        .map(|member| Candidate {
            name: &member.name,
            domain: &member.row.domain,
        })
        .collect();
    let picked = hub::pick(&candidates);
    let own = picked
        .iter()
        .position(|&index| *members[index].name == *node.config.name);
    let addresses = picked.iter().map(|&index| members[index].row.exchange);
    (own, addresses.collect())
}

/// Exchanges datagrams until the task is aborted.
pub async fn run<P: Protocol>(node: Arc<Node<P>>, socket: Arc<UdpSocket>) {
    tokio::join!(listen(node.clone(), socket.clone()), tell(&node, &socket));
}

async fn listen<P: Protocol>(node: Arc<Node<P>>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; MAX_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                emit!(warn, event::PEER_FAULT, reason = %error);
                tokio::time::sleep(DIGEST_INTERVAL).await;
                continue;
            }
        };
        if !node.members.is_known(from.ip()) {
            continue;
        }
        match Message::decode(&buffer[..length]) {
            Ok(message) => hear(&node, message, from).await,
            Err(reason) => emit!(debug, event::PEER_REFUSED, peer = %from, reason = %reason),
        }
    }
}

async fn hear<P: Protocol>(node: &Arc<Node<P>>, message: Message, from: SocketAddr) {
    let now = clock::now();
    match message {
        Message::Beat(beat) => {
            node.members
                .hear_alive(xxh3_64(beat.name.as_bytes()), beat.leaving, now);
            node.exchange.hear_beat(beat, now);
        }
        Message::Digest(digest) => hear_digest(node, &digest, from, now),
        Message::Push(push) => {
            node.endpoints.set_lenient(now, millis(push.lenient_ms));
            if !take(node, push.feed, push.delta) {
                fetch(node, from);
            }
        }
    }
}

fn millis(value: u32) -> Duration {
    Duration::from_millis(u64::from(value))
}

fn hear_digest<P: Protocol>(node: &Arc<Node<P>>, digest: &Digest, from: SocketAddr, now: Duration) {
    node.exchange.hear_hub(digest, now);
    for alive in &digest.alive {
        let at = now.saturating_sub(millis(alive.ago_ms));
        node.members.hear_alive(alive.name, alive.leaving, at);
    }
    node.endpoints.set_lenient(now, millis(digest.lenient_ms));
    node.divide_quotas();
    let extents = digest.extents;
    let pairs = [
        (&node.mirrors.operator, extents.operator),
        (&node.mirrors.endpoints, extents.endpoints),
        (&node.mirrors.own, extents.own),
    ];
    let all = pairs
        .iter()
        .fold(true, |all, (mirror, extent)| mirror.agree(*extent) && all);
    if !all {
        fetch(node, from);
    }
}

/// Takes in changes; `false` if others are missing.
fn take<P: Protocol>(node: &Node<P>, feed: Feed, delta: Delta) -> bool {
    let Some(news) = mirror(node, feed).take(delta) else {
        return false;
    };
    if news.is_empty() {
        return true;
    }
    match feed {
        Feed::Operator => node.operator_changed(&news),
        Feed::Endpoints => node.endpoints_changed(&news),
        Feed::Own => node.own_changed(&news),
    }
    true
}

fn mirror<P>(node: &Node<P>, feed: Feed) -> &Mirror {
    match feed {
        Feed::Operator => &node.mirrors.operator,
        Feed::Endpoints => &node.mirrors.endpoints,
        Feed::Own => &node.mirrors.own,
    }
}

/// Fetches what is missing from the hub with this address, unless a fetch is under way.
fn fetch<P: Protocol>(node: &Arc<Node<P>>, from: SocketAddr) {
    let mut state = node.exchange.state.lock();
    if state.fetching {
        return;
    }
    state.fetching = true;
    drop(state);
    let node = node.clone();
    tokio::spawn(async move {
        if let Some(address) = node.members.peer_plane(from.ip()) {
            fetch_now(&node, address).await;
        }
        node.exchange.state.lock().fetching = false;
    });
}

async fn fetch_now<P: Protocol>(node: &Node<P>, address: SocketAddr) {
    let client: &Client = &node.peers;
    let deltas: Deltas = match peer::changes(node, client, address).await {
        Ok(deltas) => deltas,
        Err(reason) => {
            emit!(debug, event::PEER_FAULT, peer = %address, reason = %reason);
            return;
        }
    };
    // A hub that restarted meanwhile may know less; what it knows is taken all the same.
    take(node, Feed::Operator, deltas.operator);
    take(node, Feed::Endpoints, deltas.endpoints);
    take(node, Feed::Own, deltas.own);
}

async fn tell<P: Protocol>(node: &Node<P>, socket: &UdpSocket) {
    let mut count: u32 = 0;
    loop {
        tokio::time::sleep(DIGEST_INTERVAL).await;
        if !node.has_catalog() {
            continue;
        }
        let now = clock::now();
        let members = node.members.heard(now);
        let (own, hubs) = hubs(node, &members);
        node.set_hub(own);
        if count.is_multiple_of(DIGESTS_PER_BEAT) {
            beat(node, socket, &hubs, now).await;
        }
        count = count.wrapping_add(1);
        if own.is_some() {
            let digest = Message::Digest(digest(node, now));
            send_all(node, socket, &digest).await;
        }
    }
}

/// Tells the hubs at once that this instance is stopping.
pub async fn tell_leaving<P: Protocol>(node: &Node<P>, socket: &UdpSocket) {
    let now = clock::now();
    let (_, hubs) = hubs(node, &node.members.heard(now));
    beat(node, socket, &hubs, now).await;
}

async fn beat<P: Protocol>(node: &Node<P>, socket: &UdpSocket, hubs: &[SocketAddr], now: Duration) {
    let beat = Beat {
        name: node.config.name.clone(),
        leaving: node.is_stopping(),
        demand: node.quotas.publish(now),
    };
    node.members
        .hear_alive(xxh3_64(beat.name.as_bytes()), beat.leaving, now);
    node.exchange.hear_beat(beat.clone(), now);
    let message = Message::Beat(beat);
    let Some(bytes) = message.encode() else {
        return;
    };
    for hub in hubs {
        if *hub != node.config.listen.exchange {
            send(socket, &bytes, *hub).await;
        }
    }
}

fn digest<P: Protocol>(node: &Node<P>, now: Duration) -> Digest {
    let state = node.exchange.state.lock();
    let view_age = state
        .table_at
        .map_or(Duration::MAX, |at| now.saturating_sub(at));
    let counted = node.members.others(&node.config.name, now);
    let is_counted =
        |name: &str| name == node.config.name || counted.iter().any(|member| *member.name == *name);
    let mut demand: Vec<(String, f32)> = Vec::new();
    let mut alive = Vec::with_capacity(state.seen.len());
    for seen in &state.seen {
        if !is_counted(&seen.beat.name) {
            continue;
        }
        alive.push(Alive {
            name: xxh3_64(seen.beat.name.as_bytes()),
            leaving: seen.beat.leaving,
            ago_ms: whole_millis(now.saturating_sub(seen.at)),
        });
        for (workspace, rate) in &seen.beat.demand {
            match demand.binary_search_by(|(name, _)| name.cmp(workspace)) {
                Ok(index) => demand[index].1 += rate,
                Err(index) => demand.insert(index, (workspace.clone(), *rate)),
            }
        }
    }
    Digest {
        hub: node.config.name.clone(),
        view_age_ms: whole_millis(view_age),
        lenient_ms: whole_millis(node.endpoints.lenient(now)),
        extents: Extents {
            operator: node.mirrors.operator.extent(),
            endpoints: node.mirrors.endpoints.extent(),
            own: node.mirrors.own.extent(),
        },
        alive,
        demand,
    }
}

/// Passes changes on, if this instance is the first of the hubs. The others only tell in their
/// digests how far they have come.
pub async fn push<P: Protocol>(node: &Node<P>, socket: &UdpSocket, feed: Feed, base: u64) {
    if node.hub() != Some(0) {
        return;
    }
    let push = Message::Push(Push {
        lenient_ms: whole_millis(node.endpoints.lenient(clock::now())),
        feed,
        delta: mirror(node, feed).since(base),
    });
    send_all(node, socket, &push).await;
}

async fn send_all<P: Protocol>(node: &Node<P>, socket: &UdpSocket, message: &Message) {
    let Some(bytes) = message.encode() else {
        return;
    };
    for member in node.members.others(&node.config.name, clock::now()) {
        send(socket, &bytes, member.row.exchange).await;
    }
}

async fn send(socket: &UdpSocket, bytes: &[u8], to: SocketAddr) {
    if let Err(error) = socket.send_to(bytes, to).await {
        emit!(debug, event::PEER_FAULT, peer = %to, reason = %error);
    }
}

fn whole_millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
