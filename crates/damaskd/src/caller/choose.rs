//! Chooses the endpoint for a request and updates estimates and beliefs from the outcome.

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
    freshness,
    key, //
};
use crate::node::Node;

/// Status with which an engine that serves another weights version rejects a request.
const VERSION_CONFLICT: u16 = 409;
/// Penalty of an endpoint that, by its last answer, serves another weights version: the number of
/// blocks that a request would rather wait for elsewhere.
const VERSION_PENALTY_BLOCKS: f32 = 2.0;
/// Retry delay when a route has no endpoint left to try.
const NO_ENDPOINT_RETRY_DELAY: Duration = Duration::from_secs(1);

thread_local! {
    static SCRATCH: RefCell<Scratch> = RefCell::default();
}

/// The endpoint chosen for one attempt, with the guard that counts the request as in flight there.
#[derive(Debug)]
pub struct Selection {
    /// The endpoint.
    pub entry: Arc<EndpointEntry>,
    guard: Guard,
    health: Arc<Endpoint>,
    holder: Holder,
    choice: Choice,
    weights_version: String,
    levels: Vec<u64>,
    /// Age of the belief in each level at the endpoint before this request.
    ages: Vec<Option<Millis>>,
    /// Length of the prompt, in blocks.
    prompt_blocks: f64,
    sent_at: Instant,
    /// Time from sending to the first token.
    time_to_first_token: OnceLock<Duration>,
}

/// An endpoint that may serve the request, with this instance's estimates of it.
#[derive(Debug)]
struct EligibleEndpoint<'a> {
    entry: &'a Arc<EndpointEntry>,
    health: Arc<Endpoint>,
    view: View,
}

/// Chooses an endpoint of `route` that is not in `tried`.
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
) -> Result<Selection, Refusal> {
    // Repeated for each attempt: the request may have waited, or the process may have been frozen.
    freshness::check(node, route)?;
    key::check(node, call, route)?;
    if tried.is_empty() {
        node.health.record_first_attempt();
    }
    let mut eligible = eligible_endpoints(node, call, route, tried);
    // Endpoints that may be down are used only if there are no others.
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
        tolerance: 0.0,
    };
    let Some(choice) = pick(node, route, &eligible, &request) else {
        let message = format!("route {} has no endpoint left to try", route.name);
        return Err(
            Refusal::not_run(Code::NoEndpoint, message).retry_after(NO_ENDPOINT_RETRY_DELAY)
        );
    };
    let EligibleEndpoint {
        entry,
        health,
        view,
    } = eligible.swap_remove(choice.index);
    health.update_estimate(|estimate| estimate.breaker.record_sent(request.now));
    let levels = chain.hashes();
    let ages = node.beliefs.raise(&levels, view.holder);
    Ok(Selection {
        guard: health.in_flight.enter(route.class(), choice.missed),
        entry: entry.clone(),
        health,
        holder: view.holder,
        choice,
        weights_version: weights_version(call, route).to_owned(),
        levels,
        ages,
        prompt_blocks: f64::from(chain.total_blocks()),
        sent_at: Instant::now(),
        time_to_first_token: OnceLock::new(),
    })
}

/// Spends one retry of the instance's retry budget; `false` if the budget is exhausted.
pub fn spend_retry(node: &Node) -> bool {
    node.health.spend_retry()
}

fn eligible_endpoints<'a>(
    node: &Node,
    call: &'a Call,
    route: &RouteEntry,
    tried: &[Arc<str>],
) -> Vec<EligibleEndpoint<'a>> {
    let version = weights_version(call, route);
    let now = node.beliefs.now();
    let entries = route.route.endpoints.iter();
    entries
        .filter_map(|name| call.snapshot().endpoint(name))
        .filter(|entry| !tried.contains(&entry.name) && !node.is_leaving(&entry.name))
        .map(|entry| {
            let health = node.health.endpoint(&entry.name);
            let view = health.view(version, now);
            EligibleEndpoint {
                entry,
                health,
                view,
            }
        })
        .collect()
}

/// Configured weights version of the route's model; empty for plain services.
fn weights_version<'a>(call: &'a Call, route: &RouteEntry) -> &'a str {
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
    eligible: &[EligibleEndpoint<'_>],
    request: &Request<'_>,
) -> Option<Choice> {
    let class = route.class();
    let candidates: Vec<Candidate<'_>> = eligible
        .iter()
        .map(|EligibleEndpoint { health, view, .. }| Candidate {
            name: &health.name,
            hash: health.hash,
            holder: view.holder,
            in_flight: health.in_flight.running(),
            local_backlog: health.in_flight.blocks_ahead(class),
            remote_backlog: view.estimate.reported_blocks(request.now),
            block_seconds: view.estimate.block_seconds,
            eviction_age: view.estimate.eviction_age,
            version_penalty: if view.version_mismatch {
                VERSION_PENALTY_BLOCKS
            } else {
                0.0
            },
            store_hits: 0.0,
            store_wait: 0.0,
            delay_penalty: health.in_flight.more_urgent(class) as f32,
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

impl Selection {
    /// Records the first token, which came with an answer with `headers`.
    pub fn record_first_token(&self, node: &Node, headers: &HeaderMap) {
        let holder = match (
            header_text(headers, INCARNATION),
            header_text(headers, WEIGHTS_VERSION),
        ) {
            (Some(incarnation), Some(version)) => self.health.identify(incarnation, version),
            _ => self.holder,
        };
        self.health
            .update_estimate(|estimate| estimate.breaker.record_success());
        // Fails if the first token of a resumed stream has been recorded already.
        self.time_to_first_token.set(self.sent_at.elapsed()).ok();
        if self.guard.record_first_token() {
            node.beliefs.raise(&self.levels, holder);
        }
    }

    /// Updates the estimate of the endpoint from the number of cached tokens that it reports.
    pub fn record_usage(&self, node: &Node, usage: &Usage) {
        if node.strategy != Strategy::Cost {
            return;
        }
        let cached_fraction =
            usage.prompt_tokens_details.cached_tokens as f64 / usage.prompt_tokens.max(1) as f64;
        let cached_blocks = cached_fraction * self.prompt_blocks;
        let missed_blocks = (self.prompt_blocks - cached_blocks) as f32;
        let cached_levels = cached_blocks.round() as usize;
        self.health.update_estimate(|estimate| {
            if let Some(time) = self.time_to_first_token.get() {
                estimate.record_first_token(time.as_secs_f32(), self.choice.wait, missed_blocks);
            }
            for age in self.ages.iter().take(cached_levels).flatten() {
                estimate.record_hit(*age);
            }
            if let Some(Some(age)) = self.ages.get(cached_levels) {
                estimate.record_eviction(*age);
            }
        });
    }

    /// Records a failure and lowers the beliefs, since the endpoint may not have cached the prompt.
    pub fn record_failure(&self, node: &Node, failure: &Failure) {
        let now = node.beliefs.now();
        node.beliefs.lower(&self.levels, self.holder);
        if failure.fault == Fault::ErrorStatus(VERSION_CONFLICT) {
            self.health
                .record_version_rejection(&self.weights_version, now);
            if failure.verdict == Verdict::NotRun {
                node.health.refund_retry();
            }
            return;
        }
        self.health
            .update_estimate(|estimate| estimate.breaker.record_failure(now));
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
