//! Chooses the endpoint for a request and learns from what becomes of it.

use std::{
    cell::RefCell,
    sync::{
        Arc,
        OnceLock, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use endpoint::{
    Failure,
    Fault,
    INCARNATION,
    Verdict,
    WEIGHTS_VERSION,
    chat::Usage, //
};
use http::HeaderMap;
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
        Scratch,
        Strategy, //
    },
    prefix::Chain, //
};
use settings::{
    EndpointEntry,
    RouteEntry,
    RouteKind, //
};
use state::{
    flight::Guard,
    health::{
        Endpoint,
        View, //
    }, //
};

use super::{
    Call,
    Code,
    Refusal,
    fresh,
    key, //
};
use crate::node::Node;

/// Status of an engine that serves other weights.
const CONFLICT: u16 = 409;
/// Blocks that a request would rather wait for than try an endpoint last heard to serve other
/// weights.
const DOUBT_BLOCKS: f32 = 2.0;
/// Pause after which a refused caller should come back.
const COME_BACK: Duration = Duration::from_secs(1);

thread_local! {
    static SCRATCH: RefCell<Scratch> = RefCell::default();
}

/// An endpoint with the slot that counts the request there.
#[derive(Debug)]
pub struct Chosen {
    /// The endpoint.
    pub entry: Arc<EndpointEntry>,
    guard: Guard,
    endpoint: Arc<Endpoint>,
    holder: Holder,
    choice: Choice,
    version: String,
    levels: Vec<u64>,
    /// How long ago each level had been seen there before this request.
    ages: Vec<Option<Millis>>,
    /// Length of the prompt.
    blocks: f64,
    sent: Instant,
    /// Time until the first token.
    first: OnceLock<Duration>,
}

/// A candidate with what belongs to it.
#[derive(Debug)]
struct Eligible<'a> {
    entry: &'a Arc<EndpointEntry>,
    endpoint: Arc<Endpoint>,
    view: View,
}

/// Picks an endpoint of `route` that is not in `tried`.
///
/// # Errors
///
/// If the route has no endpoint left.
pub fn choose(
    node: &Node,
    call: &Call,
    route: &RouteEntry,
    chain: &Chain,
    tried: &[Arc<str>],
) -> Result<Chosen, Refusal> {
    // Again at each attempt: the request may have waited, or the process may have been frozen.
    fresh::check(node, route)?;
    key::check(node, call, route)?;
    if tried.is_empty() {
        node.health.record_first_attempt();
    }
    let mut eligible = eligible(node, call, route, tried);
    // An endpoint that may be down is better than none.
    if eligible.iter().any(|e| e.view.usable) {
        eligible.retain(|e| e.view.usable);
    }
    let request = Request {
        levels: &chain.levels,
        tail: chain.tail,
        now: node.beliefs.now(),
        seed: rand::random(),
        fetch_cost: None,
        home_prior: choice::HOME_PRIOR,
        is_sole: false,
    };
    let Some(choice) = pick(node, route, &eligible, &request) else {
        let message = format!("route {} has no endpoint left to try", route.name);
        return Err(Refusal::not_run(Code::NoEndpoint, message).retry_after(COME_BACK));
    };
    let Eligible {
        entry,
        endpoint,
        view,
    } = eligible.swap_remove(choice.index);
    endpoint.update_estimate(|estimate| estimate.breaker.record_sent(request.now));
    let ages = node.beliefs.raise(&chain.levels, view.holder);
    Ok(Chosen {
        guard: endpoint.in_flight.enter(route.class(), choice.missed),
        entry: entry.clone(),
        endpoint,
        holder: view.holder,
        choice,
        version: version(call, route).to_owned(),
        levels: chain.levels.clone(),
        ages,
        blocks: chain.levels.len() as f64 + f64::from(chain.tail),
        sent: Instant::now(),
        first: OnceLock::new(),
    })
}

/// Whether the budget leaves room for another attempt.
pub fn may_retry(node: &Node) -> bool {
    node.health.spend_retry()
}

fn eligible<'a>(
    node: &Node,
    call: &'a Call,
    route: &RouteEntry,
    tried: &[Arc<str>],
) -> Vec<Eligible<'a>> {
    let version = version(call, route);
    let now = node.beliefs.now();
    let entries = route.route.endpoints.iter();
    entries
        .filter_map(|name| call.snapshot().endpoint(name))
        .filter(|entry| !tried.contains(&entry.name) && !node.is_leaving(&entry.name))
        .map(|entry| {
            let endpoint = node.health.endpoint(&entry.name);
            let view = endpoint.view(version, now);
            Eligible {
                entry,
                endpoint,
                view,
            }
        })
        .collect()
}

/// The weights version that the route's model should have; empty for plain services.
fn version<'a>(call: &'a Call, route: &RouteEntry) -> &'a str {
    let RouteKind::Model { model } = &route.route.kind else {
        return "";
    };
    call.snapshot()
        .model(model)
        .map_or("", |model| &model.version)
}

fn pick(
    node: &Node,
    route: &RouteEntry,
    eligible: &[Eligible<'_>],
    request: &Request<'_>,
) -> Option<Choice> {
    let class = route.class();
    let candidates: Vec<Candidate<'_>> = eligible
        .iter()
        .map(|Eligible { endpoint, view, .. }| Candidate {
            name: &endpoint.name,
            hash: endpoint.hash,
            holder: view.holder,
            in_flight: endpoint.in_flight.running(),
            local_backlog: endpoint.in_flight.blocks_ahead(class),
            remote_backlog: view.estimate.reported_blocks(request.now),
            block_seconds: view.estimate.block_seconds,
            horizon: view.estimate.horizon,
            version_penalty: if view.version_mismatch {
                DOUBT_BLOCKS
            } else {
                0.0
            },
            store_hits: 0.0,
            store_wait: 0.0,
            delay_penalty: endpoint.in_flight.more_urgent(class) as f32,
        })
        .collect();
    if node.strategy != Strategy::Cost {
        let turn = node.health.next_turn();
        let index = choice::pick_baseline(node.strategy, &candidates, request, turn)?;
        return Some(Choice {
            index,
            ..Choice::default()
        });
    }
    SCRATCH.with_borrow_mut(|scratch| {
        let pick = |beliefs: &_| choice::pick(&candidates, beliefs, request, scratch);
        node.beliefs.read(pick)
    })
}

impl Chosen {
    /// Learns from the first token, which came with these headers.
    pub fn began(&self, node: &Node, headers: &HeaderMap) {
        let holder = match (text(headers, INCARNATION), text(headers, WEIGHTS_VERSION)) {
            (Some(incarnation), Some(version)) => self.endpoint.identify(incarnation, version),
            _ => self.holder,
        };
        self.endpoint
            .update_estimate(|estimate| estimate.breaker.record_success());
        // A resumed stream has its first token already.
        self.first.set(self.sent.elapsed()).ok();
        if self.guard.record_first_token() {
            node.beliefs.raise(&self.levels, holder);
        }
    }

    /// Learns from the tokens that the endpoint says were cached.
    pub fn used(&self, node: &Node, usage: &Usage) {
        if node.strategy != Strategy::Cost {
            return;
        }
        let share =
            usage.prompt_tokens_details.cached_tokens as f64 / usage.prompt_tokens.max(1) as f64;
        let cached = share * self.blocks;
        let missed = (self.blocks - cached) as f32;
        let cached = cached.round() as usize;
        self.endpoint.update_estimate(|estimate| {
            if let Some(first) = self.first.get() {
                estimate.record_first_token(first.as_secs_f32(), self.choice.wait, missed);
            }
            for age in self.ages.iter().take(cached).flatten() {
                estimate.record_hit(*age);
            }
            if let Some(Some(age)) = self.ages.get(cached) {
                estimate.record_eviction(*age);
            }
        });
    }

    /// Learns from a failure; what was sent there may not be cached.
    pub fn failed(&self, node: &Node, failure: &Failure) {
        let now = node.beliefs.now();
        node.beliefs.lower(&self.levels, self.holder);
        if failure.fault == Fault::Refused(CONFLICT) {
            self.endpoint.record_version_refusal(&self.version, now);
            if failure.verdict == Verdict::NotRun {
                node.health.refund_retry();
            }
            return;
        }
        self.endpoint
            .update_estimate(|estimate| estimate.breaker.record_failure(now));
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
