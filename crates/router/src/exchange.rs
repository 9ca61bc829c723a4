//! Instances tell each other that they live, what their callers ask for, and what has changed in
//! the table.
//!
//! Each instance beats to the hubs; each hub tells all others what it has heard
//! and how far its copy of the table goes. What was lost on the way is fetched
//! over a connection.

mod fetch;

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use anyhow::Context;
use parking_lot::Mutex;
use policy::hub::{
    self,
    Candidate,
    Observation, //
};
use state::clock;
use telemetry::{
    emit,
    event, //
};
use tokio::{
    net::UdpSocket,
    sync::{
        Notify,
        oneshot, //
    }, //
};

use crate::{
    instance::{
        Member,
        name_hash, //
    },
    message::{
        Alive,
        Beat,
        Digest,
        Extents,
        Feed,
        MAX_BYTES,
        Message,
        Push, //
    },
    node::Node,
    planner,
    protocol::Protocol,
    quota, //
};
use fetch::{
    fetch,
    mirror,
    take, //
};

/// Time between the digests of a hub.
const DIGEST_INTERVAL: Duration = Duration::from_millis(300);
/// Digests between two beats.
const DIGESTS_PER_BEAT: u32 = 3;
/// Time for which changes that a hub has may be missing before this instance reads the table.
const BEHIND_TIME: Duration = Duration::from_millis(600);
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
    /// What the table's clock said, and when by this instance's clock.
    table_clock: Option<(Duration, Duration)>,
    /// Whether a fetch from a hub is under way.
    fetching: bool,
    /// Since when changes that a hub has are missing here.
    behind_since: Option<Duration>,
    /// Questions to other instances that wait for their answers.
    asked: Vec<(u32, oneshot::Sender<Message>)>,
    last_id: u32,
}

/// What this instance has heard of the others, and how it tells them.
#[derive(Debug)]
pub struct Exchange {
    /// Where datagrams come and go.
    pub socket: Arc<UdpSocket>,
    state: Mutex<State>,
    /// Wakes whoever waits for the hubs to fall silent.
    pub uncovered: Notify,
}

impl Exchange {
    /// Listens at `address`; needs a runtime.
    ///
    /// # Errors
    ///
    /// If the address cannot be listened at; names it.
    pub fn bind(address: SocketAddr) -> anyhow::Result<Self> {
        let bind = || {
            let socket = std::net::UdpSocket::bind(address)?;
            socket.set_nonblocking(true)?;
            UdpSocket::from_std(socket)
        };
        let socket = bind().with_context(|| {
            format!("listen.exchange: cannot listen at {address}; choose a free address")
        })?;
        Ok(Self {
            socket: Arc::new(socket),
            state: Mutex::default(),
            uncovered: Notify::new(),
        })
    }

    /// Whether hubs with a fresh view of the table pass on what changes.
    pub fn is_covered(&self, now: Duration) -> bool {
        let state = self.state.lock();
        let missing = |since| now.saturating_sub(since) > BEHIND_TIME;
        if state.behind_since.is_some_and(missing) {
            return false;
        }
        let heard = state.hubs.iter().map(|hub| Observation {
            age: now.saturating_sub(hub.at),
            view_age: hub.view_age,
        });
        hub::is_any_fresh(&heard.collect::<Vec<_>>())
    }

    /// Notes that the table has answered this instance, with what its clock said.
    pub fn table_answered(&self, now: Duration, clock: Option<Duration>) {
        let mut state = self.state.lock();
        state.table_at = Some(now);
        if let Some(clock) = clock {
            state.table_clock = Some((clock, now));
        }
    }

    /// The time by this instance's clock at which the table's clock said `time`.
    pub fn local_time(&self, time: Duration) -> Option<Duration> {
        let (clock, at) = self.state.lock().table_clock?;
        Some((at + time).saturating_sub(clock))
    }

    /// The time by the table's clock.
    pub fn table_time(&self, now: Duration) -> Option<Duration> {
        let (clock, at) = self.state.lock().table_clock?;
        Some((clock + now).saturating_sub(at))
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
        if let Some(clock) = digest.table_ms {
            state.table_clock = Some((Duration::from_millis(clock), now));
        }
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
            has_fast_link: member.is_wide(),
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
pub async fn run<P: Protocol>(node: Arc<Node<P>>) {
    tokio::join!(listen(&node), tell(&node));
}

async fn listen<P: Protocol>(node: &Arc<Node<P>>) {
    let mut buffer = vec![0; MAX_BYTES];
    loop {
        let (length, from) = match node.exchange.socket.recv_from(&mut buffer).await {
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
            Ok(message) => hear(node, message, from).await,
            Err(reason) => emit!(debug, event::PEER_REFUSED, peer = %from, reason = %reason),
        }
    }
}

async fn hear<P: Protocol>(node: &Arc<Node<P>>, message: Message, from: SocketAddr) {
    let now = clock::now();
    match message {
        Message::Beat(beat) => {
            node.members
                .hear_alive(name_hash(&beat.name), beat.leaving, now);
            node.exchange.hear_beat(beat, now);
        }
        Message::Digest(digest) => hear_digest(node, &digest, from, now),
        Message::Push(push) => {
            node.endpoints.set_lenient(now, millis(push.lenient_ms));
            if !take(node, push.feed, push.delta) {
                fetch(node, from);
            }
        }
        Message::Ask(ask) => {
            if let Some(grant) = quota::grant(node, &ask) {
                send(node, &Message::Grant(grant), from).await;
            }
        }
        Message::Grant(ref grant) => node.exchange.answer(grant.id, message),
        Message::Place(place) => {
            if let Some(placed) = planner::handle_place(node, &place) {
                send(node, &Message::Placed(placed), from).await;
            }
        }
        Message::Placed(ref placed) => node.exchange.answer(placed.id, message),
        Message::Outcome(outcome) => planner::handle_outcome(node, &outcome),
    }
}

impl Exchange {
    fn answer(&self, answered: u32, message: Message) {
        let mut state = self.state.lock();
        let place = state.asked.iter().position(|(id, _)| *id == answered);
        let Some(index) = place else {
            return;
        };
        let (_, asker) = state.asked.swap_remove(index);
        drop(state);
        // Whoever asked may have given up.
        asker.send(message).ok();
    }

    fn register(&self) -> (u32, oneshot::Receiver<Message>) {
        let (sender, receiver) = oneshot::channel();
        let mut state = self.state.lock();
        state.asked.retain(|(_, asker)| !asker.is_closed());
        state.last_id = state.last_id.wrapping_add(1);
        let id = state.last_id;
        state.asked.push((id, sender));
        (id, receiver)
    }
}

/// Asks another instance and waits for its answer, which may never come; the question is given
/// the id under which it is answered.
pub async fn ask<P: Protocol>(
    node: &Node<P>,
    to: SocketAddr,
    question: impl FnOnce(u32) -> Message,
) -> Option<Message> {
    let (id, answer) = node.exchange.register();
    send(node, &question(id), to).await;
    answer.await.ok()
}

/// Sends without waiting; the message is lost if the socket has no room.
pub fn post(socket: &UdpSocket, message: &Message, to: SocketAddr) {
    let Some(bytes) = message.encode() else {
        return;
    };
    if let Err(error) = socket.try_send_to(&bytes, to) {
        emit!(debug, event::PEER_FAULT, peer = %to, reason = %error);
    }
}

fn millis(value: u32) -> Duration {
    Duration::from_millis(u64::from(value))
}

fn hear_digest<P: Protocol>(node: &Arc<Node<P>>, digest: &Digest, from: SocketAddr, now: Duration) {
    node.exchange.hear_hub(digest, now);
    for alive in &digest.alive {
        let ago = Duration::from_millis(u64::from(alive.ago_tenths) * 100);
        let at = now.saturating_sub(ago);
        node.members.hear_alive(alive.name, alive.leaving, at);
    }
    node.endpoints.set_lenient(now, millis(digest.lenient_ms));
    let extents = digest.extents;
    let pairs = [
        (&node.mirrors.operator, extents.operator),
        (&node.mirrors.endpoints, extents.endpoints),
        (&node.mirrors.own, extents.own),
    ];
    let all = pairs
        .iter()
        .fold(true, |all, (mirror, extent)| mirror.agree(*extent) && all);
    let mut state = node.exchange.state.lock();
    if all {
        state.behind_since = None;
        return;
    }
    state.behind_since.get_or_insert(now);
    drop(state);
    fetch(node, from);
}

async fn tell<P: Protocol>(node: &Node<P>) {
    let mut count: u32 = 0;
    loop {
        tokio::time::sleep(DIGEST_INTERVAL).await;
        if !node.has_catalog() {
            continue;
        }
        let now = clock::now();
        // Looked at regularly, so that a change is dated when it happens.
        node.members.stable_since(now);
        node.date_versions();
        let members = node.members.heard(now);
        let (own, hubs) = hubs(node, &members);
        node.set_hub(own);
        let is_full = count.is_multiple_of(DIGESTS_PER_BEAT);
        if is_full {
            beat(node, &hubs, now).await;
        }
        count = count.wrapping_add(1);
        if own.is_some() {
            send_all(node, &Message::Digest(digest(node, now, is_full))).await;
        }
    }
}

/// Tells the hubs at once that this instance is stopping.
pub async fn tell_leaving<P: Protocol>(node: &Node<P>) {
    let now = clock::now();
    let (_, hubs) = hubs(node, &node.members.heard(now));
    beat(node, &hubs, now).await;
}

async fn beat<P: Protocol>(node: &Node<P>, hubs: &[SocketAddr], now: Duration) {
    let beat = Beat {
        name: node.config.name.clone(),
        leaving: node.is_stopping(),
    };
    node.members
        .hear_alive(name_hash(&beat.name), beat.leaving, now);
    node.exchange.hear_beat(beat.clone(), now);
    let message = Message::Beat(beat);
    for hub in hubs {
        if *hub != node.config.listen.exchange {
            send(node, &message, *hub).await;
        }
    }
}

fn digest<P: Protocol>(node: &Node<P>, now: Duration, is_full: bool) -> Digest {
    let table_ms = node.exchange.table_time(now);
    let state = node.exchange.state.lock();
    let view_age = state
        .table_at
        .map_or(Duration::MAX, |at| now.saturating_sub(at));
    let seen = state.seen.iter().filter(|_| is_full).map(|seen| Alive {
        name: name_hash(&seen.beat.name),
        leaving: seen.beat.leaving,
        ago_tenths: tenths(now.saturating_sub(seen.at)),
    });
    Digest {
        hub: node.config.name.clone(),
        view_age_ms: whole_millis(view_age),
        table_ms: table_ms.map(|time| u64::try_from(time.as_millis()).unwrap_or(u64::MAX)),
        lenient_ms: whole_millis(node.endpoints.lenient(now)),
        extents: Extents {
            operator: node.mirrors.operator.extent(),
            endpoints: node.mirrors.endpoints.extent(),
            own: node.mirrors.own.extent(),
        },
        // Long silence says no more than that the instance is gone.
        alive: seen.filter(|alive| alive.ago_tenths < u8::MAX).collect(),
    }
}

fn tenths(time: Duration) -> u8 {
    u8::try_from(time.as_millis() / 100).unwrap_or(u8::MAX)
}

/// Passes changes on, if this instance is the first of the hubs. The others only tell in their
/// digests how far they have come.
pub async fn push<P: Protocol>(node: &Node<P>, feed: Feed, base: u64) {
    if node.hub() != Some(0) {
        return;
    }
    let push = Message::Push(Push {
        lenient_ms: whole_millis(node.endpoints.lenient(clock::now())),
        feed,
        delta: mirror(node, feed).since(base),
    });
    send_all(node, &push).await;
}

async fn send_all<P: Protocol>(node: &Node<P>, message: &Message) {
    let Some(bytes) = message.encode() else {
        return;
    };
    for member in node.members.others(&node.config.name, clock::now()) {
        send_bytes(node, &bytes, member.row.exchange).await;
    }
}

async fn send<P: Protocol>(node: &Node<P>, message: &Message, to: SocketAddr) {
    if let Some(bytes) = message.encode() {
        send_bytes(node, &bytes, to).await;
    }
}

async fn send_bytes<P: Protocol>(node: &Node<P>, bytes: &[u8], to: SocketAddr) {
    if let Err(error) = node.exchange.socket.send_to(bytes, to).await {
        emit!(debug, event::PEER_FAULT, peer = %to, reason = %error);
    }
}

fn whole_millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
