//! Chooses the endpoint for an attempt and learns from what becomes of it.

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
    choice::{
        self,
        Candidate,
        Choice,
        Request,
        Scratch, //
    },
    lane,
    prefix::Chain, //
};
use settings::Class;
use state::{
    clock,
    flight::Slot,
    health, //
};

use crate::{
    fleet::Endpoint,
    node::{
        Node,
        Wanted, //
    },
    protocol::Protocol,
    refusal::{
        Reason,
        Refusal, //
    },
    request::Call, //
};

/// When to come back after no endpoint could take a request: engines that load weights are back
/// within about this time.
const NO_ENDPOINT_RETRY: Duration = Duration::from_millis(500);
/// Part of the objective by which an answer on old weights is held later than it is: the users
/// value it a fifth less.
const OLD_WEIGHTS_PART: f32 = 0.2;
/// Time before the end of the old weights' term in which no request begins on them any more; it
/// may take as long to begin.
const OLD_WEIGHTS_MARGIN: Duration = Duration::from_millis(1_000);
/// Age at which half of the blocks are taken for evicted: engines keep what was used within
/// about a minute.
const CACHE_HORIZON: Millis = 30_000;

/// Cost of fetching a block from another engine, as a part of the cost of computing it: the links
/// between engines carry a block's memory about eight times as fast.
const FETCH_COST: f32 = 0.15;
/// Share of the blocks not known to be anywhere that their home is expected to have: other
/// instances send most of their requests with the same prefix there.
const HOME_PRIOR: f32 = 0.95;
/// Longest request that counts as short, in blocks.
const MAX_SHORT_BLOCKS: f32 = 1.0;
/// By how much a running request delays others, in blocks: each adds to the time of a step.
const RUNNING_BLOCKS: f32 = 0.05;
/// Least blocks missing for which the store of prefixes is asked and told.
const MIN_KEPT_BLOCKS: f32 = 1.5;
/// Time to compute one block, in seconds. Answers do not tell how much of a prompt was cached, so
/// that engines with more of it would look faster.
const BLOCK_SECONDS: f32 = 0.036;

thread_local! {
    static SCRATCH: RefCell<Scratch> = RefCell::default();
}

/// An endpoint with the slot that counts the request there.
#[derive(Debug)]
pub struct Chosen {
    /// The endpoint.
    pub endpoint: Arc<Endpoint>,
    /// Weights version that it is asked for; 0 for plain services.
    pub version: u64,
    /// Another engine, or a store, that may have more of the prompt.
    pub source: Option<SocketAddr>,
    /// A store that is to keep the prompt's prefix too.
    pub save_to: Option<SocketAddr>,
    slot: Slot,
    /// Counts it among the short urgent requests, if it is one.
    _lane: Option<crate::lane::Slot>,
    known: Arc<health::Endpoint>,
    holder: Holder,
    levels: Vec<u64>,
}

/// A candidate with what belongs to it.
struct Eligible {
    endpoint: Arc<Endpoint>,
    known: Arc<health::Endpoint>,
    view: health::View,
    is_old: bool,
}

/// Picks an endpoint of the call's service that is not in `tried`.
///
/// # Errors
///
/// If no endpoint can take it.
pub fn choose<P: Protocol>(
    node: &Node<P>,
    call: &Call,
    tried: &[Arc<str>],
) -> Result<Chosen, Refusal> {
    let wanted = call.ask.model.as_deref().and_then(|m| node.wanted(m));
    let now = node.beliefs.now();
    let mut eligible = eligible(node, call, wanted.as_ref(), tried, now);
    // An endpoint that may be down is better than none.
    if eligible.iter().any(|e| e.view.usable) {
        eligible.retain(|e| e.view.usable);
    }
    if eligible.iter().any(|e| !e.endpoint.is_loading()) {
        eligible.retain(|e| !e.endpoint.is_loading());
    }
    let chain = call.chain();
    let is_short = is_short(call, &chain);
    keep_lane(node, call, &mut eligible, is_short);
    let request = Request {
        levels: &chain.levels,
        tail: chain.tail,
        now,
        seed: rand::random(),
        fetch: Some(FETCH_COST),
        home_prior: HOME_PRIOR,
    };
    let objective = call.route.objective.as_secs_f32();
    let Some(choice) = pick(node, call, &eligible, objective, &request) else {
        let message = format!("service {} has no endpoint to try", call.service);
        let refusal = Refusal::not_run(Reason::NoEndpoint, message);
        return Err(refusal.retry_after(NO_ENDPOINT_RETRY));
    };
    let places = Places::new(call, &choice, &eligible, &chain);
    let Eligible {
        endpoint,
        known,
        view,
        ..
    } = eligible.swap_remove(choice.index);
    known.learn(|estimate| estimate.breaker.sent(now));
    node.beliefs.raise(&chain.levels, view.holder);
    Ok(Chosen {
        version: endpoint.version(),
        source: places.source,
        save_to: places.save_to,
        _lane: is_short.then(|| node.lanes.enter(&call.service)),
        slot: known.count.enter(call.class(), choice.missed),
        endpoint,
        holder: view.holder,
        known,
        levels: chain.levels,
    })
}

/// Where a prompt's prefix may be fetched from, and where it is to be kept.
struct Places {
    source: Option<SocketAddr>,
    save_to: Option<SocketAddr>,
}

impl Places {
    fn new(call: &Call, choice: &Choice, eligible: &[Eligible], chain: &Chain) -> Self {
        let version = eligible[choice.index].endpoint.version();
        let source = choice.source.map(|index| &eligible[index].endpoint);
        // Another version's memory is of no use.
        let source = source.filter(|source| source.version() == version);
        let source = source.map(|source| source.registration.address);
        let missing = chain.levels.len() as f32 - choice.hits;
        let store = call.catalog.prefix_store();
        let store = store.filter(|_| missing > MIN_KEPT_BLOCKS);
        // A home that is only expected to have the prefix comes after the store.
        let believed = source.filter(|_| choice.source_hits > 0.0);
        Self {
            source: believed.or(store).or(source),
            save_to: store,
        }
    }
}

/// Whether the request is urgent and short enough for the engines that are kept for such.
fn is_short(call: &Call, chain: &Chain) -> bool {
    call.class() == Class::Urgent && chain.levels.is_empty() && chain.tail < MAX_SHORT_BLOCKS
}

/// Leaves the engines that are kept for short urgent requests, or the others.
fn keep_lane<P: Protocol>(
    node: &Node<P>,
    call: &Call,
    eligible: &mut Vec<Eligible>,
    is_short: bool,
) {
    let service = call.catalog.service(&call.service);
    let Some(engine) = service.and_then(|service| service.engine) else {
        return;
    };
    let running = node.lanes.average(&call.service) * node.sharers() as f32;
    let size = lane::size(running, engine.slots, eligible.len());
    if size == 0 {
        return;
    }
    // Those with the newest weights first; else in an order that all instances agree on.
    eligible.sort_by_key(|e| (e.is_old, e.known.hash));
    if is_short {
        eligible.truncate(size);
    } else {
        eligible.drain(..size);
    }
}

fn eligible<P: Protocol>(
    node: &Node<P>,
    call: &Call,
    wanted: Option<&Wanted>,
    tried: &[Arc<str>],
    now: Millis,
) -> Vec<Eligible> {
    let fleet = node.endpoints.fleet();
    let term = node
        .config
        .bounds
        .weights
        .saturating_sub(OLD_WEIGHTS_MARGIN);
    let clock = clock::now();
    let has_ended = |since: Duration| clock.saturating_sub(since) > term;
    let of_service = fleet.of_service(&call.service).iter();
    let fits = |endpoint: &&Arc<Endpoint>| {
        let registration = &endpoint.registration;
        let model = call.ask.model.as_deref();
        let served = endpoint.model().map(|served| &**served);
        let serves = served.is_none() || model.is_none() || served == model;
        serves && !registration.leaving && !tried.contains(&registration.name)
    };
    let look = |endpoint: &Arc<Endpoint>| {
        let replaced = wanted.and_then(|w| w.replaced_since(endpoint.version()));
        if replaced.is_some_and(has_ended) {
            return None;
        }
        let known = node.health.endpoint(&endpoint.registration.name);
        identify(endpoint, &known);
        let version = version_text(endpoint.version());
        let view = known.view(&version, now);
        Some(Eligible {
            endpoint: endpoint.clone(),
            known,
            view,
            is_old: replaced.is_some(),
        })
    };
    of_service.filter(fits).filter_map(look).collect()
}

/// Tells the table of estimates which life and version of the endpoint is meant, when it changes.
fn identify(endpoint: &Endpoint, known: &health::Endpoint) {
    let version = endpoint.version();
    if endpoint.identified.swap(version, Ordering::Relaxed) == version {
        return;
    }
    let incarnation = endpoint.registration.incarnation.to_string();
    known.identify(&incarnation, &version_text(version));
    known.learn(|estimate| estimate.horizon = CACHE_HORIZON);
}

/// Plain services have no version.
fn version_text(version: u64) -> String {
    if version == 0 {
        return String::new();
    }
    version.to_string()
}

fn pick<P: Protocol>(
    node: &Node<P>,
    call: &Call,
    eligible: &[Eligible],
    objective: f32,
    request: &Request<'_>,
) -> Option<Choice> {
    let class = call.class();
    let candidate = |e: &Eligible| {
        let block_seconds = BLOCK_SECONDS;
        let old = objective * OLD_WEIGHTS_PART / block_seconds;
        Candidate {
            name: "",
            hash: e.known.hash,
            holder: e.view.holder,
            in_flight: e.known.count.running(),
            ahead: e.known.count.ahead(class) + e.known.count.running() as f32 * RUNNING_BLOCKS,
            reported: 0.0,
            block_seconds,
            horizon: e.view.estimate.horizon,
            doubt: if e.is_old { old } else { 0.0 },
            harm: e.known.count.more_urgent(class) as f32,
        }
    };
    let candidates: Vec<Candidate<'_>> = eligible.iter().map(candidate).collect();
    SCRATCH.with_borrow_mut(|scratch| {
        let pick = |beliefs: &_| choice::pick(&candidates, beliefs, request, scratch);
        node.beliefs.read(pick)
    })
}

impl Chosen {
    /// Learns from the first byte or event of the answer.
    pub fn began(&self) {
        self.known.learn(|estimate| estimate.breaker.succeeded());
        self.slot.began();
    }

    /// Learns that the endpoint could not be used, or broke off.
    pub fn failed<P: Protocol>(&self, node: &Node<P>) {
        let now = node.beliefs.now();
        node.beliefs.lower(&self.levels, self.holder);
        self.known.learn(|estimate| estimate.breaker.failed(now));
    }

    /// Learns that the endpoint serves other weights than it was asked for.
    pub fn has_other_weights<P: Protocol>(&self, node: &Node<P>) {
        let now = node.beliefs.now();
        node.beliefs.lower(&self.levels, self.holder);
        self.known.refused(&version_text(self.version), now);
    }

    /// Learns that the endpoint had no room; nothing was cached.
    pub fn was_busy<P: Protocol>(&self, node: &Node<P>) {
        node.beliefs.lower(&self.levels, self.holder);
    }
}
