//! Central placement of model requests by one planner per cell.
//!
//! A single instance sees few of the requests with a given prefix, so it knows
//! neither which engine has the prefix cached nor how much work is queued
//! there. Each cell of a service's engines therefore has a planner: the
//! instance that rendezvous hashing ranks first. The other instances ask the
//! planner by datagram where to send a model request. The asking instance checks
//! the answer against its own view of the endpoint, and decides by itself while
//! the planner does not answer.

mod exclusion;
mod late;
mod order;
mod queues;
mod request;
mod silence;
mod speeds;
mod views;

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

use policy::{
    pace::{
        self,
        Pace, //
    },
    prefix::{
        BLOCK_TOKENS,
        Chain,
        Level, //
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
    choose::{
        decide::{
            self,
            Decision,
            Query,
            Scope, //
        },
        reach::Sender, //
    },
    exchange,
    message::{
        Destination,
        End,
        Message,
        Outcome,
        PlacementRequest,
        PlacementResponse,
        Reasons,
        ResumptionRequest, //
    },
    node::Node,
    protocol::Protocol,
    stream::millis, //
};

pub use late::handle_placement_response;
use order::Rank;
pub use queues::Queues;
use silence::Silences;
use views::Views;
pub use views::{
    is_planned,
    told_blocks,
    tolerance, //
};

/// Timeout for the planner's answer: many round trips within a region.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);
/// State of the placement of model requests, as the planner or as its client.
#[derive(Debug, Default)]
pub struct State {
    silences: Silences,
    /// Loads that planners have told.
    pub views: Views,
    /// Backlog of each engine for which this instance is the planner.
    pub queues: Arc<Queues>,
}

/// A placed request. Dropping the ticket reports to the planner that the request has ended, unless
/// an outcome was reported before.
#[derive(Debug)]
pub struct Ticket {
    id: u64,
    service: Arc<str>,
    endpoint: Arc<str>,
    recipient: Recipient,
    /// Rank of the planner that placed the request.
    pub rank: Rank,
    reported: AtomicBool,
}

/// Where to report the outcome.
#[derive(Debug)]
enum Recipient {
    /// This instance's queue of the engine with this hash.
    Local(Arc<Queues>, u64),
    /// The planner at this address.
    Remote(Arc<UdpSocket>, SocketAddr),
}

impl Ticket {
    /// Reports the outcome of the request to the planner; `levels` are those of the prompt.
    pub fn report(&self, end: End, levels: &[u64]) {
        self.reported.store(true, Ordering::Relaxed);
        match &self.recipient {
            Recipient::Local(queues, engine) => match end {
                End::Began => queues.begin(*engine, &self.service, self.id),
                _ => queues.remove(*engine, self.id),
            },
            Recipient::Remote(socket, planner) => {
                let outcome = Outcome {
                    service: self.service.to_string(),
                    endpoint: self.endpoint.to_string(),
                    ticket: self.id,
                    end,
                    levels: match end {
                        End::Began | End::Abandoned => Vec::new(),
                        End::Failed | End::Rejected => levels.to_vec(),
                    },
                };
                exchange::try_send(socket, &Message::Outcome(outcome), *planner);
            }
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if !self.reported.load(Ordering::Relaxed) {
            self.report(End::Abandoned, &[]);
        }
    }
}

/// Result of the placement of a model request.
#[derive(Debug)]
pub enum Placement {
    /// Send the request to this endpoint.
    Endpoint(Decision, Ticket),
    /// Refuse the request; the caller should retry after this delay.
    RetryAfter(Duration),
    /// No usable placement from a planner; decide locally.
    Unplanned,
}

/// The planner of a cell.
enum Planner {
    /// This instance.
    Local,
    /// The instance at this address.
    Remote(SocketAddr),
}

/// Places a model request; with `must_place` it is never refused for its wait.
///
/// The planner that ranks second is asked at once if the first one does not answer. It does not know
/// what the first one has placed, so that the first one is asked again from time to time.
pub async fn place<P: Protocol>(node: &Node<P>, query: &Query<'_>, must_place: bool) -> Placement {
    let mut silent = None;
    for rank in [Rank::First, Rank::Second] {
        match find_planner(node, query, silent) {
            Some(Planner::Local) => return place_here(node, query, must_place, rank),
            Some(Planner::Remote(address)) => {
                if node.planner.silences.allows(address, clock::now())
                    && let Some(placement) =
                        ask_planner(node, query, address, must_place, rank).await
                {
                    return placement;
                }
                silent = Some(address);
            }
            None => return Placement::Unplanned,
        }
    }
    Placement::Unplanned
}

fn place_here<P: Protocol>(
    node: &Node<P>,
    query: &Query<'_>,
    must_place: bool,
    rank: Rank,
) -> Placement {
    match plan(node, query, must_place) {
        Plan::Endpoint(decision, id) => {
            let ticket = Ticket {
                id,
                service: query.service.clone(),
                endpoint: decision.endpoint.registration.name.clone(),
                recipient: Recipient::Local(node.planner.queues.clone(), decision.health.hash),
                rank,
                reported: AtomicBool::new(false),
            };
            Placement::Endpoint(decision, ticket)
        }
        Plan::RetryAfter(wait) => Placement::RetryAfter(wait),
        Plan::None => Placement::Unplanned,
    }
}

/// The planner of the request's cell, or the next one if `silent` does not answer. Instances agree on it
/// as far as they know the same live members.
fn find_planner<P: Protocol>(
    node: &Node<P>,
    query: &Query<'_>,
    silent: Option<SocketAddr>,
) -> Option<Planner> {
    let (cell, _) = decide::cell_of(node, query);
    let subject = format!("{}/{cell}", query.service);
    node.members.with_live(clock::now(), |members| {
        let any_fast_link = members.iter().any(|member| member.has_fast_link());
        let candidates: Vec<Candidate<'_>> = members
            .iter()
            .map(|member| Candidate {
                name: &member.name,
                domain: "",
                // Once any member has a fast link, slow ones are excluded as if they were leaving.
                leaving: (any_fast_link && !member.has_fast_link())
                    || Some(member.row.exchange) == silent,
            })
            .collect();
        let first = members[rank::first(&subject, &candidates)?];
        Some(if *first.name == *node.config.name {
            Planner::Local
        } else {
            Planner::Remote(first.row.exchange)
        })
    })
}

/// Decision of the planner.
enum Plan {
    /// The decision, and the id of the request's ticket.
    Endpoint(Decision, u64),
    RetryAfter(Duration),
    None,
}

/// Decides for any instance, and adds the placed work to the engine's queue.
fn plan<P: Protocol>(node: &Node<P>, query: &Query<'_>, must_place: bool) -> Plan {
    let Some(decision) = decide::decide(node, query, Scope::AllInstances) else {
        return Plan::None;
    };
    let queues = &node.planner.queues;
    let pace = queues.pace(query.service);
    let Reasons {
        missed,
        fetched,
        wait,
        ..
    } = decision.reasons;
    let own_delay = pace::expectation(pace.service_seconds(missed, fetched));
    let wait = pace::expectation(wait * pace.block);
    let retry_after = shed::retry_after(wait, own_delay, query.objective);
    if let Some(delay) = retry_after.filter(|_| !must_place) {
        let engines = node.endpoints.fleet().of_service(query.service).len();
        let work = own_delay / u32::try_from(engines.max(1)).unwrap_or(u32::MAX);
        return Plan::RetryAfter(queues.take_turn(query.service, delay, work));
    }
    let ticket = rand::random();
    queues.push(decision.health.hash, ticket, query.class, &decision.reasons);
    let inflow_tokens = decision.inflow_blocks * BLOCK_TOKENS as f32;
    let now = node.beliefs.now();
    decision
        .health
        .update_estimate(|estimate| estimate.inflow.add(now, inflow_tokens));
    Plan::Endpoint(decision, ticket)
}

/// Asks the planner at this address; `None` if it does not answer.
async fn ask_planner<P: Protocol>(
    node: &Node<P>,
    query: &Query<'_>,
    planner: SocketAddr,
    must_place: bool,
    rank: Rank,
) -> Option<Placement> {
    let pace = node.planner.queues.learned_pace(query.service);
    let Some(excluded) = exclusion::names(node, query) else {
        return Some(Placement::Unplanned);
    };
    let message = |id| {
        let placement = request::placement(query, &excluded, id, must_place, pace);
        match query.build {
            None => Message::PlacementRequest(placement),
            Some(build) => Message::ResumptionRequest(ResumptionRequest {
                placement,
                build: build.to_owned(),
            }),
        }
    };
    let answer = exchange::query(node, planner, message);
    if let Ok(Some(Message::PlacementResponse(response))) =
        tokio::time::timeout(ANSWER_TIMEOUT, answer).await
    {
        if let Some(silence) = node.planner.silences.record_answer(planner, clock::now()) {
            let silent_ms = u64::try_from(silence.as_millis()).unwrap_or(u64::MAX);
            emit!(info, event::PLANNER_RETURNED, planner = %planner, silent_ms = silent_ms);
        }
        if let Some(pace) = Pace::from_coefficients(response.pace) {
            node.planner.queues.adopt_pace(query.service, pace);
        }
        return Some(check_placement(node, query, planner, response, rank));
    }
    if node.planner.silences.record_miss(planner, clock::now()) {
        emit!(
            info,
            event::PLANNER_SILENT,
            service = &**query.service,
            planner = %planner,
            rank = rank.name(),
        );
    }
    None
}

/// Adopts the planner's decision, if the endpoint is eligible by this instance's own view.
fn check_placement<P: Protocol>(
    node: &Node<P>,
    query: &Query<'_>,
    planner: SocketAddr,
    response: PlacementResponse,
    rank: Rank,
) -> Placement {
    let name: Arc<str> = match response.to {
        Destination::Endpoint(name) => name.into(),
        Destination::RetryAfter(wait_ms) => {
            return Placement::RetryAfter(Duration::from_millis(u64::from(wait_ms)));
        }
        Destination::None => return Placement::Unplanned,
    };
    let ticket = Ticket {
        id: response.ticket,
        service: query.service.clone(),
        endpoint: name.clone(),
        recipient: Recipient::Remote(node.exchange.socket.clone(), planner),
        rank,
        reported: AtomicBool::new(false),
    };
    let fleet = node.endpoints.fleet();
    let mut endpoints = fleet.of_service(query.service).iter();
    let endpoint = endpoints.find(|e| e.registration.name == name);
    let now = node.beliefs.now();
    let checked = endpoint.and_then(|e| decide::check_eligible(node, query, e, now));
    let Some(eligible) = checked.filter(|eligible| !eligible.endpoint.is_loading()) else {
        return Placement::Unplanned;
    };
    let seconds = node.planner.queues.pace(query.service).block * response.reasons.wait;
    let views = &node.planner.views;
    views.record_report(eligible.health.hash, now, seconds);
    let decision = Decision {
        endpoint: eligible.endpoint,
        health: eligible.health,
        holder: eligible.view.holder,
        source: response.source,
        save_to: response.save_to,
        reasons: response.reasons,
        inflow_blocks: 0.0,
    };
    Placement::Endpoint(decision, ticket)
}

/// Handles another instance's placement request; that of a stream that goes on names the `build` that
/// began it.
pub fn handle_placement_request<P: Protocol>(
    node: &Node<P>,
    request: &PlacementRequest,
    build: Option<&str>,
) -> Option<PlacementResponse> {
    let catalog = node.catalog.load_full()?;
    let service = catalog.service(&request.service)?;
    let levels = request.levels.iter();
    let mut chain = Chain {
        levels: levels
            .map(|&(hash, blocks)| Level { hash, blocks })
            .collect(),
        tail: request.tail,
    };
    chain.truncate(service.max_prompt_blocks());
    let pace = request.pace.and_then(Pace::from_coefficients);
    if let Some(pace) = pace {
        node.planner.queues.suggest_pace(&service.name, pace);
    }
    let tried: Vec<Arc<str>> = request.tried.iter().map(|name| (**name).into()).collect();
    let query = Query {
        catalog: &catalog,
        service: &service.name,
        model: request.model.as_deref(),
        class: request.class,
        objective: Duration::from_millis(u64::from(request.objective_ms)),
        chain: &chain,
        tried: &tried,
        build,
        sender: Sender::Other,
    };
    let response_to = |to| PlacementResponse {
        id: request.id,
        to,
        ticket: 0,
        source: None,
        save_to: None,
        reasons: Reasons::default(),
        pace: node.planner.queues.pace(&service.name).coefficients(),
    };
    let (decision, ticket) = match plan(node, &query, request.must_go) {
        Plan::Endpoint(decision, ticket) => (decision, ticket),
        Plan::RetryAfter(wait) => {
            let wait = u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
            return Some(response_to(Destination::RetryAfter(wait)));
        }
        Plan::None => return Some(response_to(Destination::None)),
    };
    let now = node.beliefs.now();
    decision.health.update_estimate(|estimate| {
        estimate.breaker.record_sent(now);
        estimate.rejections.record_sent(now);
    });
    node.beliefs.raise(&chain.hashes(), decision.holder);
    Some(PlacementResponse {
        ticket,
        source: decision.source,
        save_to: decision.save_to,
        reasons: decision.reasons,
        ..response_to(Destination::Endpoint(
            decision.endpoint.registration.name.to_string(),
        ))
    })
}

/// Handles the outcome of a request that this instance placed for another.
pub fn handle_outcome<P: Protocol>(node: &Node<P>, outcome: &Outcome) {
    let Some(health) = node.health.find(&outcome.endpoint) else {
        return;
    };
    let queues = &node.planner.queues;
    let service = outcome.service.as_str().into();
    let now = node.beliefs.now();
    let age = queues.age(health.hash, outcome.ticket);
    let sent_at = age.map_or(now, |age| now.saturating_sub(millis(age)));
    match outcome.end {
        End::Began => queues.begin(health.hash, &service, outcome.ticket),
        _ => queues.remove(health.hash, outcome.ticket),
    }
    let (_, holder) = health.incarnation();
    node.beliefs.lower(&outcome.levels, holder);
    health.update_estimate(|estimate| match outcome.end {
        End::Began => {
            estimate.breaker.record_success();
            estimate.rejections.record_success(sent_at);
        }
        End::Failed => estimate.breaker.record_failure(now),
        // A request that is not in the queue any more was placed by another planner, or long ago.
        End::Rejected if age.is_some() => estimate.rejections.record(now, sent_at),
        End::Rejected | End::Abandoned => {}
    });
}
