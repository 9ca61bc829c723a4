//! One instance places the long requests of all.
//!
//! An instance sees few of the requests with one prefix, so that alone it knows
//! neither which engine has the prefix nor how much work waits there. For each
//! cell of a service's engines one instance, the first in the order that
//! rendezvous hashing gives, is asked by a datagram where a long request goes.
//! Whoever asked checks the answer against its own view of the endpoint, and
//! chooses alone while the planner gives no answer.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            Ordering, //
        }, //
    },
    time::Duration, //
};

use parking_lot::Mutex;
use policy::{
    backlog::Queue,
    belief::Millis,
    prefix::{
        BLOCK_TOKENS,
        Chain, //
    },
    rank::{
        self,
        Candidate, //
    },
    shed, //
};
use state::clock;
use telemetry::{
    emit,
    event, //
};
use tokio::net::UdpSocket;

use crate::{
    choose::decide::{
        self,
        BLOCK_SECONDS,
        Decision,
        Query,
        Scope, //
    },
    exchange,
    message::{
        Destination,
        End,
        Message,
        Outcome,
        PlacementRequest,
        PlacementResponse,
        Reasons, //
    },
    node::Node,
    protocol::Protocol, //
};

/// Longest time for the planner's answer: many round trips within a region.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);
/// Answers missing in a row after which the planner is left alone: one datagram may be lost.
const MAX_MISSES: u32 = 2;
/// Time from the end of a prompt's computation to the first event, on an engine that does little
/// else.
const FIRST_TOKEN_TIME: Duration = Duration::from_millis(120);
/// Time for which a planner that gave no answer is not asked again.
const SILENT_PAUSE: Duration = Duration::from_millis(700);

/// Placing long requests, here or at another instance.
#[derive(Debug, Default)]
pub struct State {
    silence: Silence,
    /// What waits at each engine, where this instance places the requests of all.
    pub queues: Arc<Queues>,
}

/// Answers of the planner that are missing.
#[derive(Debug, Default)]
struct Silence(Mutex<Missing>);

#[derive(Debug, Default)]
struct Missing {
    /// In a row.
    misses: u32,
    until: Duration,
}

impl Silence {
    fn lasts(&self, now: Duration) -> bool {
        self.0.lock().until > now
    }

    fn heard(&self) {
        self.0.lock().misses = 0;
    }

    /// Whether the planner is left alone from now on.
    fn missed(&self, now: Duration) -> bool {
        let mut missing = self.0.lock();
        missing.misses += 1;
        let is_silent = missing.misses >= MAX_MISSES;
        if is_silent {
            missing.until = now + SILENT_PAUSE;
        }
        is_silent
    }
}

/// Requests that were placed and have not begun, by engine.
#[derive(Debug, Default)]
pub struct Queues {
    /// # Invariants
    ///
    /// Sorted by the hash of the engine's name.
    queues: Mutex<Vec<(u64, Queue)>>,
}

impl Queues {
    /// Blocks that wait at an engine.
    pub fn left(&self, engine: u64) -> f32 {
        self.with(engine, |queue, now| queue.remaining(now, BLOCK_SECONDS))
    }

    fn place(&self, engine: u64, ticket: u64, blocks: f32) {
        self.with(engine, |queue, now| queue.push(now, ticket, blocks));
    }

    fn remove(&self, engine: u64, ticket: u64) {
        self.with(engine, |queue, now| queue.remove(now, ticket));
    }

    fn with<T>(&self, engine: u64, change: impl FnOnce(&mut Queue, Millis) -> T) -> T {
        let now = u64::try_from(clock::now().as_millis()).unwrap_or(Millis::MAX);
        let mut queues = self.queues.lock();
        let index = match queues.binary_search_by_key(&engine, |(engine, _)| *engine) {
            Ok(index) => index,
            Err(index) => {
                queues.insert(index, (engine, Queue::default()));
                index
            }
        };
        change(&mut queues[index].1, now)
    }
}

/// A request that was placed; dropping it tells the planner that the request has ended, unless it
/// was told what became of it.
#[derive(Debug)]
pub struct Ticket {
    id: u64,
    endpoint: Arc<str>,
    home: Home,
    told: AtomicBool,
}

/// Whom to tell.
#[derive(Debug)]
enum Home {
    /// This instance, which keeps the queue of the engine with this hash.
    Own(Arc<Queues>, u64),
    /// The planner at this address.
    Other(Arc<UdpSocket>, SocketAddr),
}

impl Ticket {
    /// Tells the planner what became of the request; `levels` are those of its prompt.
    pub fn tell(&self, end: End, levels: &[u64]) {
        self.told.store(true, Ordering::Relaxed);
        match &self.home {
            Home::Own(queues, engine) => queues.remove(*engine, self.id),
            Home::Other(socket, planner) => {
                let outcome = Outcome {
                    endpoint: self.endpoint.to_string(),
                    ticket: self.id,
                    end,
                    levels: match end {
                        End::Began | End::Abandoned => Vec::new(),
                        End::Failed | End::Refused => levels.to_vec(),
                    },
                };
                exchange::try_send(socket, &Message::Outcome(outcome), *planner);
            }
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if !self.told.load(Ordering::Relaxed) {
            self.tell(End::Abandoned, &[]);
        }
    }
}

/// Where a long request goes.
#[derive(Debug)]
pub enum Placement {
    /// To this endpoint.
    At(Decision, Ticket),
    /// Nowhere now; it is to come back after this time.
    Later(Duration),
    /// No planner tells.
    Unknown,
}

/// Who places the requests of a service.
enum Planner {
    /// This instance.
    Own,
    /// The one at this address.
    Other(SocketAddr),
}

/// Asks where a long request goes; one that must go on is not put off.
pub async fn place<P: Protocol>(node: &Node<P>, query: &Query<'_>, must_go: bool) -> Placement {
    match planner(node, query) {
        Some(Planner::Own) => match plan(node, query, must_go) {
            Plan::At(decision, id) => {
                let ticket = Ticket {
                    id,
                    endpoint: decision.endpoint.registration.name.clone(),
                    home: Home::Own(node.planner.queues.clone(), decision.known.hash),
                    told: AtomicBool::new(false),
                };
                Placement::At(decision, ticket)
            }
            Plan::Later(wait) => Placement::Later(wait),
            Plan::None => Placement::Unknown,
        },
        Some(Planner::Other(address)) => ask(node, query, address, must_go).await,
        None => Placement::Unknown,
    }
}

/// The instance that all agree on as far as they have heard of the same ones.
fn planner<P: Protocol>(node: &Node<P>, query: &Query<'_>) -> Option<Planner> {
    let (cell, _) = decide::cell_of(node, query);
    let subject = format!("{}/{cell}", query.service);
    node.members.with_live(clock::now(), |members| {
        let any_wide = members.iter().any(|member| member.has_fast_link());
        let candidates: Vec<Candidate<'_>> = members
            .iter()
            .map(|member| Candidate {
                name: &member.name,
                domain: "",
                // Narrow links are passed over as instances that leave are.
                leaving: any_wide && !member.has_fast_link(),
            })
            .collect();
        let first = members[rank::first(&subject, &candidates)?];
        Some(if *first.name == *node.config.name {
            Planner::Own
        } else {
            Planner::Other(first.row.exchange)
        })
    })
}

/// What the planner decides.
enum Plan {
    /// The endpoint, and the ticket of the request.
    At(Decision, u64),
    Later(Duration),
    None,
}

/// Decides for any instance, and counts the work that it places.
fn plan<P: Protocol>(node: &Node<P>, query: &Query<'_>, must_go: bool) -> Plan {
    let Some(decision) = decide::decide(node, query, Scope::All) else {
        return Plan::None;
    };
    let time = |blocks: f32| Duration::from_secs_f32(blocks * BLOCK_SECONDS);
    let own = FIRST_TOKEN_TIME + time(decision.reasons.missed);
    let wait = time(decision.reasons.wait);
    let later = shed::retry_after(wait, own, query.objective, rand::random());
    if let Some(later) = later.filter(|_| !must_go) {
        return Plan::Later(later);
    }
    let ticket = rand::random();
    let queues = &node.planner.queues;
    queues.place(decision.known.hash, ticket, decision.reasons.missed);
    let given = decision.given * BLOCK_TOKENS as f32;
    let now = node.beliefs.now();
    decision
        .known
        .update_estimate(|estimate| estimate.inflow.add(now, given));
    Plan::At(decision, ticket)
}

async fn ask<P: Protocol>(
    node: &Node<P>,
    query: &Query<'_>,
    planner: SocketAddr,
    must_go: bool,
) -> Placement {
    if node.planner.silence.lasts(clock::now()) {
        return Placement::Unknown;
    }
    let question = |id| Message::PlacementRequest(question(query, id, must_go));
    let answer = exchange::query(node, planner, question);
    if let Ok(Some(Message::PlacementResponse(placed))) =
        tokio::time::timeout(ANSWER_TIMEOUT, answer).await
    {
        node.planner.silence.heard();
        return adopt(node, query, planner, placed);
    }
    if node.planner.silence.missed(clock::now()) {
        emit!(
            info,
            event::PLANNER_SILENT,
            service = &**query.service,
            planner = %planner,
        );
    }
    Placement::Unknown
}

fn question(query: &Query<'_>, id: u32, must_go: bool) -> PlacementRequest {
    let objective = query.objective.as_millis();
    PlacementRequest {
        id,
        service: query.service.to_string(),
        model: query.model.map(str::to_owned),
        class: query.class,
        objective_ms: u32::try_from(objective).unwrap_or(u32::MAX),
        levels: query.chain.levels.clone(),
        tail: query.chain.tail,
        tried: query.tried.iter().map(|name| name.to_string()).collect(),
        must_go,
    }
}

/// Does what the planner decided, if this instance may send the request there by what it knows
/// itself.
fn adopt<P: Protocol>(
    node: &Node<P>,
    query: &Query<'_>,
    planner: SocketAddr,
    placed: PlacementResponse,
) -> Placement {
    let name: Arc<str> = match placed.to {
        Destination::Endpoint(name) => name.into(),
        Destination::RetryAfter(wait_ms) => {
            return Placement::Later(Duration::from_millis(u64::from(wait_ms)));
        }
        Destination::None => return Placement::Unknown,
    };
    let ticket = Ticket {
        id: placed.ticket,
        endpoint: name.clone(),
        home: Home::Other(node.exchange.socket.clone(), planner),
        told: AtomicBool::new(false),
    };
    let fleet = node.endpoints.fleet();
    let mut of_service = fleet.of_service(query.service).iter();
    let endpoint = of_service.find(|e| e.registration.name == name);
    let wanted = query.model.and_then(|model| node.rollout(model));
    let now = node.beliefs.now();
    let admitted = endpoint.and_then(|e| decide::admit(node, query, wanted.as_ref(), e, now));
    let Some(eligible) = admitted.filter(|eligible| !eligible.endpoint.is_loading()) else {
        return Placement::Unknown;
    };
    let decision = Decision {
        endpoint: eligible.endpoint,
        known: eligible.known,
        holder: eligible.view.holder,
        source: placed.source,
        save_to: placed.save_to,
        reasons: placed.reasons,
        given: 0.0,
    };
    Placement::At(decision, ticket)
}

/// Answers an instance that asks where a request goes.
pub fn answer<P: Protocol>(node: &Node<P>, place: &PlacementRequest) -> Option<PlacementResponse> {
    let catalog = node.catalog.load_full()?;
    let service = catalog.service(&place.service)?;
    let chain = Chain {
        levels: place.levels.clone(),
        tail: place.tail,
    };
    let tried: Vec<Arc<str>> = place.tried.iter().map(|name| (**name).into()).collect();
    let query = Query {
        catalog: &catalog,
        service: &service.name,
        model: place.model.as_deref(),
        class: place.class,
        objective: Duration::from_millis(u64::from(place.objective_ms)),
        chain: &chain,
        tried: &tried,
    };
    let nowhere = |to| PlacementResponse {
        id: place.id,
        to,
        ticket: 0,
        source: None,
        save_to: None,
        reasons: Reasons::default(),
    };
    let (decision, ticket) = match plan(node, &query, place.must_go) {
        Plan::At(decision, ticket) => (decision, ticket),
        Plan::Later(wait) => {
            let wait = u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
            return Some(nowhere(Destination::RetryAfter(wait)));
        }
        Plan::None => return Some(nowhere(Destination::None)),
    };
    let now = node.beliefs.now();
    decision
        .known
        .update_estimate(|estimate| estimate.breaker.record_sent(now));
    node.beliefs.raise(&chain.levels, decision.holder);
    Some(PlacementResponse {
        ticket,
        source: decision.source,
        save_to: decision.save_to,
        reasons: decision.reasons,
        ..nowhere(Destination::Endpoint(
            decision.endpoint.registration.name.to_string(),
        ))
    })
}

/// Learns what became of a request that this instance placed for another.
pub fn learn<P: Protocol>(node: &Node<P>, outcome: &Outcome) {
    let Some(known) = node.health.find(&outcome.endpoint) else {
        return;
    };
    node.planner.queues.remove(known.hash, outcome.ticket);
    let (_, holder) = known.incarnation();
    node.beliefs.lower(&outcome.levels, holder);
    let now = node.beliefs.now();
    match outcome.end {
        End::Began => known.update_estimate(|estimate| estimate.breaker.record_success()),
        End::Failed => known.update_estimate(|estimate| estimate.breaker.record_failure(now)),
        End::Refused | End::Abandoned => {}
    }
}
