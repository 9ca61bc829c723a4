//! Chooses an endpoint, either for this instance's own requests or, as the planner, for those of
//! all instances.

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
    prefix::{
        Chain,
        total_blocks, //
    },
    weights, //
};
use settings::Class;
use state::{
    clock,
    health, //
};

use super::{
    prefix_store,
    reach::{
        self,
        Sender, //
    }, //
};
use crate::{
    catalog::{
        Catalog,
        Engine, //
    },
    exposure,
    fleet::Endpoint,
    message::Reasons,
    node::Node,
    planner,
    protocol::Protocol,
    request::Call, //
};

/// Delay penalty for an answer on old weights, as a fraction of the objective: users value such
/// an answer a fifth less.
const OLD_WEIGHTS_PENALTY: f32 = 0.2;
/// Age in milliseconds at which half of the blocks are assumed to be evicted, on an instance that
/// does not place the requests of the others: a fleet under load keeps the blocks that were used
/// within the last few seconds.
const ASSUMED_EVICTION_AGE_MS: Millis = 8_000;
/// Fraction of the blocks without a known holder that their home is expected to have cached: other
/// instances send most of their requests with the same prefix there.
const HOME_PRIOR: f32 = 0.95;
/// Same as [`HOME_PRIOR`], on an instance that places all requests but does not know about those
/// that another planner placed before.
const SOLE_HOME_PRIOR: f32 = 0.1;
/// Delay that each running request causes for others, in blocks: each one makes an engine's steps
/// longer.
const RUNNING_REQUEST_BLOCKS: f32 = 0.05;
thread_local! {
    static SCRATCH: RefCell<Scratch> = RefCell::default();
}

/// Inputs of a decision.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// Configuration under which the request is served.
    pub catalog: &'a Catalog,
    /// Name of the service.
    pub service: &'a Arc<str>,
    /// Name of the requested model.
    pub model: Option<&'a str>,
    /// Priority class.
    pub class: Class,
    /// Time to the first event within which the answer keeps its full value.
    pub objective: Duration,
    /// Prefix chain of the prompt.
    pub chain: &'a Chain,
    /// Endpoints that were already tried for the request.
    pub tried: &'a [Arc<str>],
    /// The only build that can serve the request, if it continues a stream.
    pub build: Option<&'a str>,
    /// Instance that sends the request.
    pub sender: Sender,
}

/// Instances whose requests the decision accounts for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scope {
    /// This instance only; the others decide for themselves.
    Local,
    /// All instances, which send their requests' placement to this one.
    AllInstances,
}

/// The chosen endpoint, with the expected hits and transfers.
#[derive(Clone, Debug)]
pub struct Decision {
    /// The endpoint.
    pub endpoint: Arc<Endpoint>,
    /// This instance's estimates of the endpoint.
    pub health: Arc<health::Endpoint>,
    /// Key of the endpoint in the table of beliefs.
    pub holder: Holder,
    /// Engine or prefix store that may have more of the prompt cached.
    pub source: Option<SocketAddr>,
    /// Prefix store that should also save the prompt's prefix.
    pub save_to: Option<SocketAddr>,
    /// Expected hits, misses and wait at the endpoint.
    pub reasons: Reasons,
    /// Blocks that the request adds to the endpoint's cache.
    pub inflow_blocks: f32,
}

/// An endpoint that may serve the request, with this instance's estimates of it.
#[derive(Debug)]
pub struct EligibleEndpoint {
    /// The endpoint.
    pub endpoint: Arc<Endpoint>,
    /// This instance's estimates of the endpoint.
    pub health: Arc<health::Endpoint>,
    /// Snapshot of `health`.
    pub view: health::View,
    has_old_weights: bool,
}

impl<'a> Query<'a> {
    /// Inputs of the decision for one call.
    pub fn new(call: &'a Call, chain: &'a Chain, tried: &'a [Arc<str>]) -> Self {
        Self {
            catalog: &call.catalog,
            service: &call.service,
            model: call.head.model.as_deref(),
            class: call.class(),
            objective: call.route.objective,
            chain,
            tried,
            build: call.origin.as_ref().map(|origin| &*origin.build),
            sender: Sender::This,
        }
    }

    /// Whether an endpoint of this build can serve the request.
    pub fn allows_build(&self, build: &str) -> bool {
        self.build.is_none_or(|required| required == build)
    }

    /// Whether the request is of the most urgent class.
    pub fn is_urgent(&self) -> bool {
        self.class == Class::Urgent
    }

    /// Common properties of the service's engines; `None` for plain services.
    pub fn engine(&self) -> Option<Engine> {
        self.catalog.service(self.service)?.engine
    }
}

/// Chooses an endpoint; `None` if no endpoint can accept the request.
pub fn decide<P: Protocol>(node: &Node<P>, query: &Query<'_>, scope: Scope) -> Option<Decision> {
    let now = node.beliefs.now();
    let mut eligible = eligible_endpoints(node, query, now);
    reach::retain(&mut eligible, query, scope, now);
    // Fall back to endpoints that may be down if there are no others.
    if eligible.iter().any(|e| e.view.usable) {
        eligible.retain(|e| e.view.usable);
    }
    if eligible.iter().any(|e| !e.endpoint.is_loading()) {
        eligible.retain(|e| !e.endpoint.is_loading());
    }
    exposure::retain_sampled(node, query, &mut eligible);
    let is_recorded = |e: &EligibleEndpoint| {
        let registration = &e.endpoint.registration;
        node.builds.is_recorded(query.service, &registration.build)
    };
    if eligible.iter().any(is_recorded) {
        eligible.retain(is_recorded);
    }
    if scope == Scope::AllInstances {
        restrict_to_cell(node, query, &mut eligible);
    }
    let is_sole = scope == Scope::AllInstances;
    let pace = node.planner.queues.pace(query.service);
    let request = Request {
        levels: &query.chain.levels,
        tail: query.chain.tail,
        now,
        seed: rand::random(),
        fetch_cost: Some(pace.relative_fetch_cost()),
        home_prior: if is_sole { SOLE_HOME_PRIOR } else { HOME_PRIOR },
        is_sole,
        tolerance: planner::tolerance(node, query, scope),
    };
    let choice = pick(node, query, &eligible, &request)?;
    let (source, save_to) = prefix_transfers(node, query, &choice, &eligible);
    let EligibleEndpoint {
        endpoint,
        health,
        view,
        ..
    } = eligible.swap_remove(choice.index);
    Some(Decision {
        endpoint,
        health,
        holder: view.holder,
        source,
        save_to,
        reasons: Reasons {
            hits: choice.hits,
            missed: choice.missed,
            fetched: choice.fetched,
            wait: choice.wait,
        },
        inflow_blocks: query.chain.total_blocks() - choice.hits,
    })
}

/// Where the endpoint may fetch the prompt's prefix from, and which store should save it.
fn prefix_transfers<P: Protocol>(
    node: &Node<P>,
    query: &Query<'_>,
    choice: &Choice,
    eligible: &[EligibleEndpoint],
) -> (Option<SocketAddr>, Option<SocketAddr>) {
    let endpoint = &eligible[choice.index].endpoint;
    let missing_blocks = query.chain.prefix_blocks() - choice.hits;
    let other_engine = match choice.source {
        Some(Source::Endpoint(index)) => Some(&eligible[index].endpoint),
        _ => None,
    };
    // Blocks computed with another weights version or by another build cannot be used.
    let other_engine = other_engine.filter(|other| {
        other.version() == endpoint.version()
            && other.registration.build == endpoint.registration.build
    });
    let other_engine = other_engine.map(|other| other.registration.address);
    let source = match choice.source {
        Some(Source::Store) => prefix_store::plan_fetch(node, query, endpoint, choice.source_hits),
        // The store is preferred to a home that is only expected to have the prefix.
        _ if choice.source_hits == 0.0 => {
            prefix_store::plan_query(node, query, endpoint, missing_blocks).or(other_engine)
        }
        _ => other_engine,
    };
    let computed_blocks = missing_blocks - choice.source_hits;
    (
        source,
        prefix_store::plan_save(node, query, endpoint, computed_blocks),
    )
}

/// Retains the engines of the prefix's cell, if any of them can accept the request.
fn restrict_to_cell<P: Protocol>(
    node: &Node<P>,
    query: &Query<'_>,
    eligible: &mut Vec<EligibleEndpoint>,
) {
    let (cell, count) = cell_of(node, query);
    let is_in_cell = |e: &EligibleEndpoint| cell::index(e.health.hash, count) == cell;
    if count > 1 && eligible.iter().any(is_in_cell) {
        eligible.retain(is_in_cell);
    }
}

/// Index of the cell that the prefix belongs to, and the number of cells.
pub fn cell_of<P: Protocol>(node: &Node<P>, query: &Query<'_>) -> (u64, u64) {
    let count = cell::count(node.endpoints.fleet().of_service(query.service).len());
    // Prompts without a prefix are distributed by their length.
    let tail = u64::from(query.chain.tail.to_bits());
    let key = query.chain.levels.first().map_or(tail, |level| level.hash);
    (cell::index(key, count), count)
}

fn eligible_endpoints<P: Protocol>(
    node: &Node<P>,
    query: &Query<'_>,
    now: Millis,
) -> Vec<EligibleEndpoint> {
    let fleet = node.endpoints.fleet();
    let endpoints = fleet.of_service(query.service).iter();
    let check = |endpoint| check_eligible(node, query, endpoint, now);
    endpoints.filter_map(check).collect()
}

/// Returns the endpoint with its estimates if it may serve the request, else `None`.
pub fn check_eligible<P: Protocol>(
    node: &Node<P>,
    query: &Query<'_>,
    endpoint: &Arc<Endpoint>,
    now: Millis,
) -> Option<EligibleEndpoint> {
    let registration = &endpoint.registration;
    let served = endpoint.model().map(|served| &**served);
    let serves = served.is_none() || query.model.is_none() || served == query.model;
    // A request to such an engine would carry no cache salt.
    let has_unknown_weights = query.engine().is_some() && endpoint.version() == 0;
    if !serves
        || has_unknown_weights
        || registration.leaving
        || query.tried.contains(&registration.name)
        || !query.allows_build(&registration.build)
        || !exposure::allows(node, query.service, &registration.build, query.build)
    {
        return None;
    }
    let superseded_at = node.superseded_at(endpoint, endpoint.version());
    if superseded_at.is_some_and(|at| !may_use_superseded(node, query, at)) {
        return None;
    }
    let health = node.health.endpoint(&registration.name);
    identify(endpoint, &health);
    let version = version_text(endpoint.version());
    let view = health.view(&version, now);
    if !view.estimate.pause(query.is_urgent(), now).is_zero() {
        return None;
    }
    Some(EligibleEndpoint {
        endpoint: endpoint.clone(),
        health,
        view,
        has_old_weights: superseded_at.is_some(),
    })
}

/// Shortest pause of the endpoints of the query's service that rest or have reached their limit;
/// `None` if none does.
pub fn shortest_pause<P: Protocol>(node: &Node<P>, query: &Query<'_>) -> Option<Duration> {
    let now = node.beliefs.now();
    let fleet = node.endpoints.fleet();
    let staying = fleet.of_service(query.service).iter();
    let staying = staying.filter(|endpoint| {
        let registration = &endpoint.registration;
        !registration.leaving && query.allows_build(&registration.build)
    });
    let pauses = staying.map(|e| node.estimate_of(e).pause(query.is_urgent(), now));
    pauses.filter(|pause| !pause.is_zero()).min()
}

/// Whether a request may be sent now to weights that were superseded at `superseded_at`.
fn may_use_superseded<P: Protocol>(
    node: &Node<P>,
    query: &Query<'_>,
    superseded_at: Duration,
) -> bool {
    let delay = node.observed.start_delay(query.service, query.class);
    weights::may_send(
        superseded_at,
        clock::now(),
        node.config.bounds.weights,
        delay,
    )
}

/// Updates the endpoint's incarnation and weights version in the table of estimates, when the
/// version changes.
fn identify(endpoint: &Endpoint, health: &health::Endpoint) {
    let version = endpoint.version();
    if endpoint.identified_version.swap(version, Ordering::Relaxed) == version {
        return;
    }
    let incarnation = endpoint.registration.incarnation.to_string();
    health.identify(&incarnation, &version_text(version));
    health.update_estimate(|estimate| estimate.eviction_age = ASSUMED_EVICTION_AGE_MS);
}

/// Weights version as text; empty for plain services, which have none.
pub fn version_text(version: u64) -> String {
    if version == 0 {
        return String::new();
    }
    version.to_string()
}

fn pick<P: Protocol>(
    node: &Node<P>,
    query: &Query<'_>,
    eligible: &[EligibleEndpoint],
    request: &Request<'_>,
) -> Option<Choice> {
    let class = query.class;
    let queues = &node.planner.queues;
    let pace = queues.pace(query.service);
    let typical = queues.typical_ratio(query.service);
    let old_weights_penalty = query.objective.as_secs_f32() * OLD_WEIGHTS_PENALTY;
    let capacity = query.engine().map_or(0.0, |e| e.cache_tokens as f32);
    let mut store_hits = Vec::new();
    let mut candidates: Vec<Candidate<'_>> = Vec::with_capacity(eligible.len());
    for e in eligible {
        let in_flight = &e.health.in_flight;
        let inflow = &e.view.estimate.inflow;
        let hit = store_hit(node, query, &e.endpoint, &mut store_hits);
        // An instance that decides alone does not know the queues.
        let load = request
            .is_sole
            .then(|| queues.load(e.health.hash, &pace, typical, class));
        let block_seconds = pace.block * load.map_or(1.0, |load| load.cost_factor);
        candidates.push(Candidate {
            name: &e.endpoint.registration.name,
            hash: e.health.hash,
            holder: e.view.holder,
            in_flight: in_flight.running(),
            local_backlog: if request.is_sole {
                // This instance's requests are included in the planner's queues.
                0.0
            } else {
                in_flight.blocks_ahead(class) + in_flight.running() as f32 * RUNNING_REQUEST_BLOCKS
            },
            remote_backlog: match load {
                Some(load) => load.wait_seconds / block_seconds,
                None => planner::told_blocks(node, query, e, block_seconds),
            },
            block_seconds,
            eviction_age: if request.is_sole {
                inflow.eviction_age(request.now, capacity)
            } else {
                e.view.estimate.eviction_age
            },
            store_hits: hit.blocks,
            store_wait: hit.wait_blocks * pace.block / block_seconds,
            version_penalty: if e.has_old_weights {
                old_weights_penalty / block_seconds
            } else {
                0.0
            },
            delay_penalty: in_flight.more_urgent(class) as f32,
        });
    }
    let strategy = node.config.choice.strategy();
    if strategy != Strategy::Cost {
        let turn = node.health.next_turn();
        let index = choice::pick_baseline(strategy, &candidates, request, turn)?;
        return Some(Choice {
            index,
            missed: total_blocks(request.levels) + request.tail,
            ..Choice::default()
        });
    }
    SCRATCH.with_borrow_mut(|scratch| {
        let pick = |beliefs: &_| choice::pick(&candidates, beliefs, request, scratch);
        let choice = node.beliefs.read(pick)?;
        // Other instances know the service's pace, not the engine's.
        let chosen = &candidates[choice.index];
        if request.is_sole {
            let load = queues.load(chosen.hash, &pace, typical, class);
            node.metrics
                .record_engine_factor(query.service, load.factor);
        }
        let factor = chosen.block_seconds / pace.block;
        Some(Choice {
            wait: choice.wait * factor,
            ..choice
        })
    })
}

/// Expected hit in the prefix store near an endpoint, computed once per store, weights version and
/// build.
fn store_hit<P: Protocol>(
    node: &Node<P>,
    query: &Query<'_>,
    endpoint: &Endpoint,
    store_hits: &mut Vec<(Arc<str>, u64, Arc<str>, prefix_store::Hit)>,
) -> prefix_store::Hit {
    if query.chain.levels.is_empty() {
        return prefix_store::Hit::default();
    }
    let (domain, build) = (&endpoint.registration.domain, &endpoint.registration.build);
    let version = endpoint.version();
    let cached = store_hits
        .iter()
        .find(|(d, v, b, _)| d == domain && *v == version && b == build);
    if let Some((.., hit)) = cached {
        return *hit;
    }
    let hit = prefix_store::estimate_hit(node, query, endpoint);
    store_hits.push((domain.clone(), version, build.clone(), hit));
    hit
}
