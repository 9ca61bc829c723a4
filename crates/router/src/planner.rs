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
    sync::Arc,
    time::Duration, //
};

use parking_lot::Mutex;
use policy::{
    prefix::{
        BLOCK_TOKENS,
        Chain, //
    },
    rank::{
        self,
        Candidate, //
    }, //
};
use state::clock;
use telemetry::{
    emit,
    event, //
};

use crate::{
    choose::decide::{
        self,
        BLOCK_SECONDS,
        Decision,
        Query,
        Scope, //
    },
    exchange,
    fleet::Endpoint,
    message::{
        End,
        Message,
        Outcome,
        Place,
        Placed, //
    },
    node::Node,
    protocol::Protocol, //
};

/// Longest time for the planner's answer: many round trips within a region.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);
/// Answers missing in a row after which the planner is left alone: one datagram may be lost.
const MAX_MISSES: u32 = 2;
/// Time for which a planner that gave no answer is not asked again.
const SILENT_PAUSE: Duration = Duration::from_millis(700);

/// Answers of the planner that are missing.
#[derive(Debug, Default)]
pub struct Silence(Mutex<Missing>);

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

/// Who places the requests of a service.
enum Planner {
    /// This instance.
    Own,
    /// The one at this address.
    Other(SocketAddr),
}

/// Where a long request goes, if a planner tells, and the planner if it is another instance.
pub async fn place<P: Protocol>(
    node: &Node<P>,
    query: &Query<'_>,
) -> (Option<SocketAddr>, Option<Decision>) {
    match planner(node, query.service) {
        Some(Planner::Own) => (None, plan(node, query)),
        Some(Planner::Other(address)) => match ask(node, query, address).await {
            Some(decision) => (Some(address), Some(decision)),
            None => (None, None),
        },
        None => (None, None),
    }
}

/// The instance that all agree on as far as they have heard of the same ones.
fn planner<P: Protocol>(node: &Node<P>, service: &str) -> Option<Planner> {
    node.members.with_heard(clock::now(), |members| {
        let any_wide = members.iter().any(|member| member.is_wide());
        let candidates: Vec<Candidate<'_>> = members
            .iter()
            .map(|member| Candidate {
                name: &member.name,
                domain: "",
                leaving: any_wide && !member.is_wide(),
            })
            .collect();
        let first = members[rank::first(service, &candidates)?];
        Some(if *first.name == *node.config.name {
            Planner::Own
        } else {
            Planner::Other(first.row.exchange)
        })
    })
}

/// Decides for any instance, and counts the work that it places.
fn plan<P: Protocol>(node: &Node<P>, query: &Query<'_>) -> Option<Decision> {
    let decision = decide::decide(node, query, Scope::All)?;
    let now = node.beliefs.now();
    let given = decision.given * BLOCK_TOKENS as f32;
    decision.known.learn(|estimate| {
        estimate
            .placed
            .place(now, BLOCK_SECONDS, decision.reasons.missed);
        estimate.inflow.add(now, given);
    });
    Some(decision)
}

async fn ask<P: Protocol>(
    node: &Node<P>,
    query: &Query<'_>,
    planner: SocketAddr,
) -> Option<Decision> {
    if node.planner.lasts(clock::now()) {
        return None;
    }
    let question = |id| Message::Place(question(query, id));
    let answer = exchange::ask(node, planner, question);
    if let Ok(Some(Message::Placed(placed))) = tokio::time::timeout(ANSWER_TIMEOUT, answer).await {
        node.planner.heard();
        return adopt(node, query, placed);
    }
    if node.planner.missed(clock::now()) {
        emit!(
            info,
            event::PLANNER_SILENT,
            service = &**query.service,
            planner = %planner,
        );
    }
    None
}

fn question(query: &Query<'_>, id: u32) -> Place {
    let objective = query.objective.as_millis();
    Place {
        id,
        service: query.service.to_string(),
        model: query.model.map(str::to_owned),
        class: query.class,
        objective_ms: u32::try_from(objective).unwrap_or(u32::MAX),
        levels: query.chain.levels.clone(),
        tail: query.chain.tail,
        tried: query.tried.iter().map(|name| name.to_string()).collect(),
    }
}

/// The planner's decision, if this instance may send the request there by what it knows itself.
fn adopt<P: Protocol>(node: &Node<P>, query: &Query<'_>, placed: Placed) -> Option<Decision> {
    let name = placed.endpoint?;
    let fleet = node.endpoints.fleet();
    let mut of_service = fleet.of_service(query.service).iter();
    let endpoint = of_service.find(|e| *e.registration.name == *name)?;
    let wanted = query.model.and_then(|model| node.wanted(model));
    let now = node.beliefs.now();
    let eligible = decide::admit(node, query, wanted.as_ref(), endpoint, now)?;
    if eligible.endpoint.is_loading() {
        return None;
    }
    Some(Decision {
        endpoint: eligible.endpoint,
        known: eligible.known,
        holder: eligible.view.holder,
        source: placed.source,
        save_to: placed.save_to,
        reasons: placed.reasons,
        given: 0.0,
    })
}

/// Answers an instance that asks where a request goes.
pub fn answer<P: Protocol>(node: &Node<P>, place: &Place) -> Option<Placed> {
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
    let decision = plan(node, &query);
    if let Some(decision) = &decision {
        let now = node.beliefs.now();
        decision.known.learn(|estimate| estimate.breaker.sent(now));
        node.beliefs.raise(&chain.levels, decision.holder);
    }
    let decision = decision.as_ref();
    Some(Placed {
        id: place.id,
        endpoint: decision.map(|d| d.endpoint.registration.name.to_string()),
        source: decision.and_then(|d| d.source),
        save_to: decision.and_then(|d| d.save_to),
        reasons: decision.map(|d| d.reasons).unwrap_or_default(),
    })
}

/// Tells the planner what became of a request that it placed.
pub fn tell<P: Protocol>(
    node: &Node<P>,
    planner: SocketAddr,
    endpoint: &Endpoint,
    end: End,
    levels: &[u64],
) {
    let outcome = Outcome {
        endpoint: endpoint.registration.name.to_string(),
        end,
        levels: match end {
            End::Began => Vec::new(),
            End::Failed | End::Refused => levels.to_vec(),
        },
    };
    exchange::tell_at_once(node, &Message::Outcome(outcome), planner);
}

/// Learns what became of a request that this instance placed for another.
pub fn learn<P: Protocol>(node: &Node<P>, outcome: &Outcome) {
    let Some(known) = node.health.find(&outcome.endpoint) else {
        return;
    };
    let (_, holder) = known.incarnation();
    node.beliefs.lower(&outcome.levels, holder);
    let now = node.beliefs.now();
    match outcome.end {
        End::Began => known.learn(|estimate| estimate.breaker.succeeded()),
        End::Failed => known.learn(|estimate| estimate.breaker.failed(now)),
        End::Refused => {}
    }
}
