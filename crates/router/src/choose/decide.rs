//! Decides on an endpoint: for a request of this instance, or, as the planner, for all instances.

use std::{
    cell::RefCell,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::Ordering, //
    },
    time::Duration, //
};

use policy::{
    belief::{
        Holder,
        Millis, //
    },
    cell,
    choice::{
        self,
        Candidate,
        Choice,
        Request,
        Scratch,
        Source,
        Strategy, //
    },
    lane,
    prefix::Chain, //
};
use settings::Class;
use state::{
    clock,
    health, //
};

use super::keep;
use crate::{
    catalog::{
        Catalog,
        Engine, //
    },
    fleet::Endpoint,
    message::Reasons,
    node::{
        Node,
        Rollout, //
    },
    protocol::Protocol,
    request::Call, //
};

/// Part of the objective by which an answer on old weights is held later than it is: the users
/// value it a fifth less.
const OLD_WEIGHTS_PART: f32 = 0.2;
/// Time before the end of the old weights' term in which no request begins on them any more; it
/// may take as long to begin.
const OLD_WEIGHTS_MARGIN: Duration = Duration::from_millis(1_000);
/// Age at which half of the blocks are taken for evicted by an instance that does not place the
/// requests of the others: a fleet under load keeps what was used within a few seconds.
const CACHE_HORIZON: Millis = 8_000;
/// Cost of fetching a block from another engine, as a part of the cost of computing it: the links
/// between engines carry a block's memory about eight times as fast.
const FETCH_COST: f32 = 0.15;
/// Share of the blocks not known to be anywhere that their home is expected to have: other
/// instances send most of their requests with the same prefix there.
const HOME_PRIOR: f32 = 0.95;
/// The same where this instance places all requests, and was not told of those that another one
/// placed before.
const SOLE_HOME_PRIOR: f32 = 0.1;
/// Longest request that counts as short, in blocks.
const MAX_SHORT_BLOCKS: f32 = 1.0;
/// By how much a running request delays others, in blocks: each adds to the time of a step.
const RUNNING_BLOCKS: f32 = 0.05;
/// Least blocks missing for which the store of prefixes is asked although nothing is known of it.
const MIN_ASKED_BLOCKS: f32 = 1.5;
/// Time to compute one block, in seconds. Answers do not tell how much of a prompt was cached, so
/// that engines with more of it would look faster.
pub const BLOCK_SECONDS: f32 = 0.045;

thread_local! {
    static SCRATCH: RefCell<Scratch> = RefCell::default();
}

/// What a decision depends on.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// The configuration that the request is served under.
    pub catalog: &'a Catalog,
    /// Name of the service.
    pub service: &'a Arc<str>,
    /// The model that is to answer.
    pub model: Option<&'a str>,
    /// Urgency.
    pub class: Class,
    /// Time to the first event within which the answer is worth its whole price.
    pub objective: Duration,
    /// Blocks of the prompt.
    pub chain: &'a Chain,
    /// Endpoints that have failed the request.
    pub tried: &'a [Arc<str>],
}

/// Whose requests the decision takes into account.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scope {
    /// Those of this instance; the others decide for themselves.
    Own,
    /// Those of all instances, which ask this one.
    All,
}

/// An endpoint that was decided on.
#[derive(Clone, Debug)]
pub struct Decision {
    /// The endpoint.
    pub endpoint: Arc<Endpoint>,
    /// What this instance has learnt of it.
    pub known: Arc<health::Endpoint>,
    /// Under what beliefs about it are kept.
    pub holder: Holder,
    /// Another engine, or a store, that may have more of the prompt.
    pub source: Option<SocketAddr>,
    /// A store that is to keep the prompt's prefix too.
    pub save_to: Option<SocketAddr>,
    /// What is expected there.
    pub reasons: Reasons,
    /// Blocks that its memory takes in.
    pub given: f32,
}

/// A candidate with what belongs to it.
#[derive(Debug)]
pub struct Eligible {
    /// The endpoint.
    pub endpoint: Arc<Endpoint>,
    /// What this instance has learnt of it.
    pub known: Arc<health::Endpoint>,
    /// A look at that.
    pub view: health::View,
    is_old: bool,
}

impl<'a> Query<'a> {
    /// What the choice for a call depends on.
    pub fn new(call: &'a Call, chain: &'a Chain, tried: &'a [Arc<str>]) -> Self {
        Self {
            catalog: &call.catalog,
            service: &call.service,
            model: call.ask.model.as_deref(),
            class: call.class(),
            objective: call.route.objective,
            chain,
            tried,
        }
    }

    /// What the engines of the service have in common; `None` for plain services.
    pub fn engine(&self) -> Option<Engine> {
        self.catalog.service(self.service)?.engine
    }

    /// Whether the request is urgent and short enough for the engines that are kept for such.
    pub fn is_short(&self) -> bool {
        let chain = self.chain;
        self.class == Class::Urgent && chain.levels.is_empty() && chain.tail < MAX_SHORT_BLOCKS
    }
}

/// Decides on an endpoint; `None` if none can take the request.
pub fn decide<P: Protocol>(node: &Node<P>, query: &Query<'_>, scope: Scope) -> Option<Decision> {
    let now = node.beliefs.now();
    let mut eligible = eligible(node, query, now);
    // An endpoint that may be down is better than none.
    if eligible.iter().any(|e| e.view.usable) {
        eligible.retain(|e| e.view.usable);
    }
    if eligible.iter().any(|e| !e.endpoint.is_loading()) {
        eligible.retain(|e| !e.endpoint.is_loading());
    }
    if node.config.choice.strategy() == Strategy::Cost {
        keep_lane(node, query, &mut eligible);
    }
    if scope == Scope::All {
        keep_cell(node, query, &mut eligible);
    }
    let is_sole = scope == Scope::All;
    let request = Request {
        levels: &query.chain.levels,
        tail: query.chain.tail,
        now,
        seed: rand::random(),
        fetch_cost: Some(FETCH_COST),
        home_prior: if is_sole { SOLE_HOME_PRIOR } else { HOME_PRIOR },
        is_sole,
    };
    let choice = pick(node, query, &eligible, &request)?;
    let (source, save_to) = places(node, query, &choice, &eligible);
    let Eligible {
        endpoint,
        known,
        view,
        ..
    } = eligible.swap_remove(choice.index);
    Some(Decision {
        endpoint,
        known,
        holder: view.holder,
        source,
        save_to,
        reasons: Reasons {
            hits: choice.hits,
            missed: choice.missed,
            wait: choice.wait,
        },
        given: (query.chain.levels.len() as f32 - choice.hits).max(0.0) + query.chain.tail,
    })
}

/// Where the endpoint may fetch the prompt's prefix from, and where it is to be kept.
fn places<P: Protocol>(
    node: &Node<P>,
    query: &Query<'_>,
    choice: &Choice,
    eligible: &[Eligible],
) -> (Option<SocketAddr>, Option<SocketAddr>) {
    let endpoint = &eligible[choice.index].endpoint;
    let missing = query.chain.levels.len() as f32 - choice.hits;
    let other = match choice.source {
        Some(Source::Endpoint(index)) => Some(&eligible[index].endpoint),
        _ => None,
    };
    // Another version's memory is of no use.
    let other = other.filter(|other| other.version() == endpoint.version());
    let other = other.map(|other| other.registration.address);
    let source = match choice.source {
        Some(Source::Store) => keep::fetch(node, query, endpoint, choice.source_hits),
        // A home that is only expected to have the prefix comes after the store.
        _ if choice.source_hits == 0.0 && missing > MIN_ASKED_BLOCKS => {
            keep::fetch(node, query, endpoint, 0.0).or(other)
        }
        _ => other,
    };
    let computed = missing - choice.source_hits;
    (source, keep::save(node, query, endpoint, computed))
}

/// Leaves the engines that are kept for short urgent requests, or the others.
fn keep_lane<P: Protocol>(node: &Node<P>, query: &Query<'_>, eligible: &mut Vec<Eligible>) {
    let Some(engine) = query.engine() else {
        return;
    };
    let own = node.lanes.average(query.service);
    let load = own.scaled(node.instance_count() as f32);
    let size = lane::size(load, engine.slots, BLOCK_SECONDS, eligible.len());
    if size == 0 {
        return;
    }
    // Those with the newest weights first; else in an order that all instances agree on.
    eligible.sort_by_key(|e| (e.is_old, e.known.hash));
    if query.is_short() {
        eligible.truncate(size);
    } else {
        eligible.drain(..size);
    }
}

/// Leaves the engines of the cell that the prefix belongs to, if any of them can take the request.
fn keep_cell<P: Protocol>(node: &Node<P>, query: &Query<'_>, eligible: &mut Vec<Eligible>) {
    let (cell, count) = cell_of(node, query);
    let is_of_cell = |e: &Eligible| cell::index(e.known.hash, count) == cell;
    if count > 1 && eligible.iter().any(is_of_cell) {
        eligible.retain(is_of_cell);
    }
}

/// The cell that the prefix belongs to, and how many there are.
pub fn cell_of<P: Protocol>(node: &Node<P>, query: &Query<'_>) -> (u64, u64) {
    let count = cell::count(node.endpoints.fleet().of_service(query.service).len());
    // Prompts without a prefix are spread by their length.
    let tail = u64::from(query.chain.tail.to_bits());
    let key = query.chain.levels.first().copied().unwrap_or(tail);
    (cell::index(key, count), count)
}

fn eligible<P: Protocol>(node: &Node<P>, query: &Query<'_>, now: Millis) -> Vec<Eligible> {
    let fleet = node.endpoints.fleet();
    let wanted = query.model.and_then(|model| node.rollout(model));
    let of_service = fleet.of_service(query.service).iter();
    let look = |endpoint| admit(node, query, wanted.as_ref(), endpoint, now);
    of_service.filter_map(look).collect()
}

/// A look at an endpoint that may take the request; `None` if it must not.
pub fn admit<P: Protocol>(
    node: &Node<P>,
    query: &Query<'_>,
    wanted: Option<&Rollout>,
    endpoint: &Arc<Endpoint>,
    now: Millis,
) -> Option<Eligible> {
    let registration = &endpoint.registration;
    let served = endpoint.model().map(|served| &**served);
    let serves = served.is_none() || query.model.is_none() || served == query.model;
    if !serves || registration.leaving || query.tried.contains(&registration.name) {
        return None;
    }
    let replaced = wanted.and_then(|w| w.superseded_at(endpoint.version()));
    if replaced.is_some_and(|since| has_ended(node, since)) {
        return None;
    }
    let known = node.health.endpoint(&registration.name);
    identify(endpoint, &known);
    let version = version_text(endpoint.version());
    let view = known.view(&version, now);
    Some(Eligible {
        endpoint: endpoint.clone(),
        known,
        view,
        is_old: replaced.is_some(),
    })
}

/// Whether no request may begin any more on weights that have been replaced since then.
fn has_ended<P: Protocol>(node: &Node<P>, since: Duration) -> bool {
    let bounds = &node.config.bounds;
    let term = bounds.weights.saturating_sub(OLD_WEIGHTS_MARGIN);
    clock::now().saturating_sub(since) > term
}

/// Tells the table of estimates which life and version of the endpoint is meant, when it changes.
fn identify(endpoint: &Endpoint, known: &health::Endpoint) {
    let version = endpoint.version();
    if endpoint.identified_version.swap(version, Ordering::Relaxed) == version {
        return;
    }
    let incarnation = endpoint.registration.incarnation.to_string();
    known.identify(&incarnation, &version_text(version));
    known.update_estimate(|estimate| estimate.horizon = CACHE_HORIZON);
}

/// Plain services have no version.
pub fn version_text(version: u64) -> String {
    if version == 0 {
        return String::new();
    }
    version.to_string()
}

fn pick<P: Protocol>(
    node: &Node<P>,
    query: &Query<'_>,
    eligible: &[Eligible],
    request: &Request<'_>,
) -> Option<Choice> {
    let class = query.class;
    let old = query.objective.as_secs_f32() * OLD_WEIGHTS_PART / BLOCK_SECONDS;
    let capacity = query.engine().map_or(0.0, |e| e.cache_tokens as f32);
    let mut looks = Vec::new();
    let mut candidates: Vec<Candidate<'_>> = Vec::with_capacity(eligible.len());
    for e in eligible {
        let in_flight = &e.known.in_flight;
        let inflow = &e.view.estimate.inflow;
        let look = look(node, query, &e.endpoint, &mut looks);
        candidates.push(Candidate {
            name: &e.endpoint.registration.name,
            hash: e.known.hash,
            holder: e.view.holder,
            in_flight: in_flight.running(),
            local_backlog: if request.is_sole {
                // Its own requests are among those that it placed.
                0.0
            } else {
                in_flight.blocks_ahead(class) + in_flight.running() as f32 * RUNNING_BLOCKS
            },
            remote_backlog: if request.is_sole {
                node.planner.queues.left(e.known.hash)
            } else {
                0.0
            },
            block_seconds: BLOCK_SECONDS,
            horizon: if request.is_sole {
                inflow.horizon(request.now, capacity)
            } else {
                e.view.estimate.horizon
            },
            store_hits: look.blocks,
            store_wait: look.wait,
            version_penalty: if e.is_old { old } else { 0.0 },
            delay_penalty: in_flight.more_urgent(class) as f32,
        });
    }
    let strategy = node.config.choice.strategy();
    if strategy != Strategy::Cost {
        let turn = node.health.next_turn();
        let index = choice::pick_baseline(strategy, &candidates, request, turn)?;
        return Some(Choice {
            index,
            missed: request.levels.len() as f32 + request.tail,
            ..Choice::default()
        });
    }
    SCRATCH.with_borrow_mut(|scratch| {
        let pick = |beliefs: &_| choice::pick(&candidates, beliefs, request, scratch);
        node.beliefs.read(pick)
    })
}

/// What the store near an endpoint has of the prompt; looked at once for each store and version.
fn look<P: Protocol>(
    node: &Node<P>,
    query: &Query<'_>,
    endpoint: &Endpoint,
    looks: &mut Vec<(Arc<str>, u64, keep::Look)>,
) -> keep::Look {
    if query.chain.levels.is_empty() {
        return keep::Look::default();
    }
    let domain = &endpoint.registration.domain;
    let version = endpoint.version();
    let known = looks.iter().find(|(d, v, _)| d == domain && *v == version);
    if let Some((.., look)) = known {
        return *look;
    }
    let look = keep::look(node, query, domain, version);
    looks.push((domain.clone(), version, look));
    look
}
