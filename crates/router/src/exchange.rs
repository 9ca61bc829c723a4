//! Datagram exchange between instances: heartbeats, digests, changes of the table, and queries for
//! quota and for the placement of requests.
//!
//! Each instance sends heartbeats to the hubs. Each hub sends all other instances
//! a digest of the heartbeats that it received and of the positions of its
//! mirrors of the table, as does each instance that reads the table in place of a
//! hub. Changes that were lost in transit are fetched over a connection.

mod fetch;
mod freshness;
mod outage;
mod query;
mod roles;
mod send;
mod time;

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use anyhow::Context;
use parking_lot::Mutex;
use platform::table::Revision;
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
    bulkhead,
    exposure,
    instance::name_hash,
    limit,
    message::{
        Digest,
        Feed,
        Heartbeat,
        Liveness,
        MAX_BYTES,
        Message,
        Positions,
        Push, //
    },
    node::Node,
    origin,
    planner,
    protocol::Protocol,
    quarantine,
    quota, //
};
pub use fetch::apply_delta;
pub use outage::{
    judge_outage,
    record_table_answer, //
};
pub use query::{
    other_hubs,
    query,
    record_keepers, //
};
pub use send::{
    send,
    send_all,
    send_to_hubs,
    try_send, //
};

pub use time::whole_millis;
use time::{
    duration_from_millis,
    tenths, //
};

use fetch::{
    fetch,
    mirror, //
};
use roles::{
    Duties,
    pick_hubs, //
};

/// Interval between the digests of a hub.
const DIGEST_INTERVAL: Duration = Duration::from_millis(300);
/// Digest intervals between two heartbeats; one digest of as many lists the live instances.
const DIGESTS_PER_HEARTBEAT: u32 = 3;
/// Time for which this instance may lag behind a hub before it reads the table itself.
const MAX_LAG: Duration = Duration::from_millis(600);
/// Age at which the latest digest of a hub is dropped.
const HUB_HORIZON: Duration = Duration::from_secs(5);

/// Fields of the latest digest of a hub.
#[derive(Clone, Debug)]
struct HubState {
    name: String,
    /// Time at which the digest was received.
    received_at: Duration,
    /// Age of the hub's view of the table when it sent the digest.
    view_age: Duration,
    /// End of the grace period after an outage of the table, if the hub knew of one that had not
    /// ended.
    grace_end: Option<Duration>,
    /// Time at which its view was last stale, as in an outage that the hub may not have noticed.
    stale_at: Option<Duration>,
}

/// Latest heartbeat of an instance, received by this hub.
#[derive(Clone, Debug)]
struct Sighting {
    heartbeat: Heartbeat,
    /// Time at which the heartbeat was received.
    received_at: Duration,
}

#[derive(Debug, Default)]
struct State {
    hubs: Vec<HubState>,
    /// # Invariants
    ///
    /// Sorted by name.
    sightings: Vec<Sighting>,
    /// Time of the latest answer of the table to this instance.
    table_answered_at: Option<Duration>,
    /// A time by the table's clock, and the local time at which it was received.
    table_clock: Option<(Duration, Duration)>,
    /// Time by the table's clock up to which this instance's rows of operators are complete.
    confirmed: Option<Duration>,
    /// Local time up to which they were complete before the last restore of the table.
    complete_until: Option<Duration>,
    /// Who reads the table.
    duties: Duties,
    /// Fetches from hubs that are in progress: address of the hub, and start.
    fetches: Vec<(SocketAddr, Duration)>,
    /// Positions of a hub that this instance has not reached, and when it was told of them.
    unreached: Option<(Positions, Duration)>,
    /// Queries to other instances that have no answer yet, by id.
    pending: Vec<(u32, oneshot::Sender<Message>)>,
    /// Id of the latest query.
    last_id: u32,
}

/// Datagram socket and what was received from the other instances.
#[derive(Debug)]
pub struct Exchange {
    /// Socket for all datagrams.
    pub socket: Arc<UdpSocket>,
    state: Mutex<State>,
    /// Notified when the rank of this instance among the hubs or the readers of the table changes.
    pub hubs_changed: Notify,
}

impl Exchange {
    /// Binds the socket to `address`. Must be called within a Tokio runtime.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound; the error names it.
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
            hubs_changed: Notify::new(),
        })
    }

    /// Records a digest of a hub with its reading of the table's clock, and drops old ones.
    fn record_hub(&self, digest: &Digest, clock: Option<Duration>, now: Duration) {
        let mut state = self.state.lock();
        let known = state.hubs.iter().find(|hub| hub.name == digest.hub);
        let mut hub = HubState {
            name: digest.hub.clone(),
            received_at: now,
            view_age: duration_from_millis(digest.view_age_ms),
            grace_end: (digest.lenient_ms > 0)
                .then(|| now.saturating_add(duration_from_millis(digest.lenient_ms))),
            stale_at: known.and_then(|hub| hub.stale_at),
        };
        if !hub.observation(now).is_fresh() {
            hub.stale_at = Some(now);
        }
        state.hubs.retain(|hub| {
            hub.name != digest.hub && now.saturating_sub(hub.received_at) <= HUB_HORIZON
        });
        state.hubs.push(hub);
        if let Some(clock) = clock {
            state.record_clock(clock, now);
        }
    }

    /// Records a heartbeat; returns whether the one before said that the instance was stopping.
    fn record_sighting(&self, heartbeat: Heartbeat, now: Duration) -> bool {
        let mut state = self.state.lock();
        let sighting = Sighting {
            heartbeat,
            received_at: now,
        };
        match state
            .sightings
            .binary_search_by(|known| known.heartbeat.name.cmp(&sighting.heartbeat.name))
        {
            Ok(index) => {
                let before = std::mem::replace(&mut state.sightings[index], sighting);
                before.heartbeat.leaving
            }
            Err(index) => {
                state.sightings.insert(index, sighting);
                false
            }
        }
    }
}

/// Exchanges datagrams until the task is aborted.
pub async fn run<P: Protocol>(node: Arc<Node<P>>) {
    tokio::join!(receive(&node), announce(&node));
}

async fn receive<P: Protocol>(node: &Arc<Node<P>>) {
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
        if !node.members.record_contact(from.ip(), clock::now()) {
            continue;
        }
        match Message::decode(&buffer[..length]) {
            Ok(message) => handle(node, message, from).await,
            Err(reason) => emit!(debug, event::PEER_REFUSED, peer = %from, reason = %reason),
        }
    }
}

async fn handle<P: Protocol>(node: &Arc<Node<P>>, message: Message, from: SocketAddr) {
    let now = clock::now();
    match message {
        Message::Heartbeat(heartbeat) => handle_heartbeat(node, heartbeat, now).await,
        Message::Digest(digest) => handle_digest(node, &digest, from, now),
        Message::Push(push) => {
            node.endpoints
                .extend_grace(now, duration_from_millis(push.lenient_ms));
            judge_outage(node, now);
            if !apply_delta(node, push.feed, push.delta) {
                fetch(node, from);
            }
        }
        Message::GrantRequest(request) => {
            if let Some(grant) = quota::grant(node, &request) {
                send(node, &Message::Grant(grant), from).await;
            }
        }
        Message::Grant(ref grant) => node.exchange.answer(grant.id, message),
        Message::PlacementRequest(request) => {
            if let Some(response) = planner::handle_placement_request(node, &request, None) {
                send(node, &Message::PlacementResponse(response), from).await;
            }
        }
        Message::ResumptionRequest(request) => {
            let build = Some(&*request.build);
            let response = planner::handle_placement_request(node, &request.placement, build);
            if let Some(response) = response {
                send(node, &Message::PlacementResponse(response), from).await;
            }
        }
        Message::PlacementResponse(response) => {
            planner::handle_placement_response(node, response, from);
        }
        Message::LimitRequest(request) => {
            let grant = limit::handle_request(node, &request);
            send(node, &Message::LimitGrant(grant), from).await;
        }
        Message::RoomRequest(request) => {
            let grant = bulkhead::handle_request(node, &request, from);
            send(node, &Message::LimitGrant(grant), from).await;
        }
        Message::RoomReport(report) => bulkhead::handle_report(node, &report, from),
        Message::BrittleServices(statements) => bulkhead::handle_statements(node, &statements),
        Message::LimitGrant(ref grant) => node.exchange.answer(grant.id, message),
        Message::Origins(origins) => origin::handle_origins(node, origins),
        Message::OriginRequest(request) => {
            let response = origin::handle_request(node, &request);
            send(node, &Message::OriginResponse(response), from).await;
        }
        Message::OriginResponse(ref response) => node.exchange.answer(response.id, message),
        Message::Outcome(outcome) => planner::handle_outcome(node, &outcome),
        Message::Evidence(evidence) => quarantine::handle_evidence(node, &evidence),
        Message::RolloutReport(report) => exposure::handle_report(node, &report),
        Message::RolloutNotice(notice) => exposure::handle_notice(node, &notice, from),
        Message::Suspects(suspects) => quarantine::handle_suspects(node, &suspects, from).await,
    }
}

async fn handle_heartbeat<P: Protocol>(node: &Node<P>, heartbeat: Heartbeat, now: Duration) {
    let name = name_hash(&heartbeat.name);
    let is_leaving = heartbeat.leaving;
    node.members.record_heartbeat(name, is_leaving, now);
    let was_leaving = node.exchange.record_sighting(heartbeat, now);
    if is_leaving && !was_leaving && node.hub_rank().is_some() {
        // Instances that learn of a stop at different times differ in who owns a limit meanwhile.
        let alive = vec![Liveness {
            name,
            leaving: true,
            ago_tenths: 0,
        }];
        let digest = Digest {
            alive,
            ..digest(node, now, false)
        };
        send_all(node, &Message::Digest(digest)).await;
    }
}

fn handle_digest<P: Protocol>(
    node: &Arc<Node<P>>,
    digest: &Digest,
    from: SocketAddr,
    now: Duration,
) {
    let operator = digest.positions.operator.revision;
    if operator > Revision::default() {
        node.enter_era(operator.era);
    }
    // The clock of an earlier era may be another one.
    let clock = digest.table_ms.map(Duration::from_millis);
    let clock = clock.filter(|_| node.era.is_current(operator.era));
    node.exchange.record_hub(digest, clock, now);
    for alive in &digest.alive {
        let age = Duration::from_millis(u64::from(alive.ago_tenths) * 100);
        let at = now.saturating_sub(age);
        node.members.record_heartbeat(alive.name, alive.leaving, at);
    }
    node.endpoints
        .extend_grace(now, duration_from_millis(digest.lenient_ms));
    judge_outage(node, now);
    let positions = digest.positions;
    if node.mirrors.operator.advance(positions.operator)
        && let Some(clock) = clock
    {
        let view_age = duration_from_millis(digest.view_age_ms);
        node.exchange.confirm(clock.saturating_sub(view_age));
    }
    let pairs = [
        (&node.mirrors.operator, positions.operator),
        (&node.mirrors.endpoints, positions.endpoints),
        (&node.mirrors.instances, positions.instances),
    ];
    let is_current = pairs
        .iter()
        .fold(true, |all, (mirror, other)| mirror.advance(*other) && all);
    node.exchange.record_positions(positions, now, |known| {
        let mirrors = &node.mirrors;
        mirrors.operator.has(known.operator)
            && mirrors.endpoints.has(known.endpoints)
            && mirrors.instances.has(known.instances)
    });
    if !is_current {
        fetch(node, from);
    }
}

/// Sends heartbeats to the hubs and, from a hub, digests to all other instances.
async fn announce<P: Protocol>(node: &Node<P>) {
    let mut intervals: u32 = 0;
    loop {
        tokio::time::sleep(DIGEST_INTERVAL).await;
        if !node.has_catalog() {
            continue;
        }
        let now = clock::now();
        // Called at each interval, so that a change is dated when it happens.
        node.members.stable_since(now);
        node.date_versions();
        let members = node.members.live(now);
        let (rank, hubs) = pick_hubs(node, &members);
        node.set_hub_rank(rank);
        let was_reader = node.exchange.reader_rank().is_some();
        roles::update_reader(node, &members, now);
        let is_reader = node.exchange.reader_rank().is_some();
        let is_full = intervals.is_multiple_of(DIGESTS_PER_HEARTBEAT);
        if is_full {
            send_heartbeat(node, &hubs, now).await;
        }
        intervals = intervals.wrapping_add(1);
        // One that has just become a reader has not read the table yet.
        if rank.is_some() || is_reader && was_reader {
            let is_full = is_full && rank.is_some();
            send_all(node, &Message::Digest(digest(node, now, is_full))).await;
        }
        bulkhead::announce(node).await;
    }
}

/// Sends the hubs a heartbeat at once, so that they learn that this instance is stopping.
pub async fn announce_leaving<P: Protocol>(node: &Node<P>) {
    let now = clock::now();
    let (_, hubs) = pick_hubs(node, &node.members.live(now));
    send_heartbeat(node, &hubs, now).await;
}

async fn send_heartbeat<P: Protocol>(node: &Node<P>, hubs: &[SocketAddr], now: Duration) {
    let heartbeat = Heartbeat {
        name: node.config.name.clone(),
        leaving: node.is_stopping(),
    };
    node.members
        .record_heartbeat(name_hash(&heartbeat.name), heartbeat.leaving, now);
    node.exchange.record_sighting(heartbeat.clone(), now);
    let message = Message::Heartbeat(heartbeat);
    for hub in hubs {
        if *hub != node.config.listen.exchange {
            send(node, &message, *hub).await;
        }
    }
}

/// The digest of this hub; lists the live instances only if `is_full`.
fn digest<P: Protocol>(node: &Node<P>, now: Duration, is_full: bool) -> Digest {
    judge_outage(node, now);
    // Receivers take the clock for that of the era of these rows.
    let era = node.mirrors.operator.revision().era;
    let table_ms = node.exchange.table_time(now);
    let table_ms = table_ms.filter(|_| node.era.is_current(era));
    let state = node.exchange.state.lock();
    let view_age = state.view_age(now).unwrap_or(Duration::MAX);
    let alive = state
        .sightings
        .iter()
        .filter(|_| is_full)
        .map(|s| Liveness {
            name: name_hash(&s.heartbeat.name),
            leaving: s.heartbeat.leaving,
            ago_tenths: tenths(now.saturating_sub(s.received_at)),
        });
    Digest {
        hub: node.config.name.clone(),
        view_age_ms: whole_millis(view_age),
        table_ms: table_ms.map(|time| u64::try_from(time.as_millis()).unwrap_or(u64::MAX)),
        lenient_ms: whole_millis(node.endpoints.remaining_grace(now)),
        positions: Positions {
            operator: node.mirrors.operator.position(),
            endpoints: node.mirrors.endpoints.position(),
            instances: node.mirrors.instances.position(),
        },
        // An age of 25.5 s or more does not fit the field; such an instance has long failed.
        alive: alive.filter(|alive| alive.ago_tenths < u8::MAX).collect(),
    }
}

/// Sends the changes of a feed since revision `base` to all other instances, if this instance is the
/// first reader of the table. The other readers only state the positions of their mirrors in digests.
pub async fn push<P: Protocol>(node: &Node<P>, feed: Feed, base: Revision) {
    if node.exchange.reader_rank() != Some(0) {
        return;
    }
    let push = Message::Push(Push {
        lenient_ms: whole_millis(node.endpoints.remaining_grace(clock::now())),
        feed,
        delta: mirror(node, feed).since(base),
    });
    send_all(node, &push).await;
}
