//! Chooses the endpoint for an attempt and feeds the outcome back into the estimates.

pub mod decide;
mod prefix_store;
pub mod reach;

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use endpoint::{
    Failure,
    Fault,
    Verdict, //
};
use policy::{
    belief::Holder,
    pace,
    weights, //
};
use settings::Class;
use state::{
    clock,
    flight::Guard,
    health, //
};
use telemetry::{
    emit,
    event, //
};

use crate::{
    bulkhead::{
        self,
        Permit, //
    },
    exposure::{
        self,
        Reservation,
        Track, //
    },
    fleet::Endpoint,
    limit,
    message::End,
    node::Node,
    partition::{
        self,
        Partition, //
    },
    planner::{
        self,
        Placement,
        Ticket, //
    },
    protocol::Protocol,
    quarantine::Proof,
    refusal::{
        Reason,
        Refusal, //
    },
    request::Call,
    stream::millis, //
};
use decide::{
    Decision,
    Query,
    Scope,
    decide,
    version_text, //
};

/// Retry delay for callers when no endpoint could accept the request: engines that load weights
/// are usually available again within about this time.
const NO_ENDPOINT_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Shortest interval between checks whether the weights of a waiting request were superseded.
const MIN_TERM_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The endpoint chosen for one attempt, with the guard that counts the request as in flight there.
#[derive(Debug)]
pub struct Selection {
    /// The endpoint.
    pub endpoint: Arc<Endpoint>,
    /// Weights version that the endpoint must serve; 0 for plain services.
    pub version: u64,
    /// Partition of the engines' caches for which the endpoint was chosen.
    pub partition: Partition,
    /// Engine or prefix store that may have more of the prompt cached.
    pub source: Option<SocketAddr>,
    /// Prefix store that should also save the prompt's prefix.
    pub save_to: Option<SocketAddr>,
    /// When the request was sent.
    sent_at: Duration,
    guard: Guard,
    health: Arc<health::Endpoint>,
    holder: Holder,
    levels: Vec<u64>,
    /// Reports the outcome to the planner, if the planner placed the request.
    ticket: Option<Ticket>,
    /// Whether the answer has shown that the request does not crash engines.
    pub proof: Proof,
    /// Counts the outcome, while a version of the service is on trial.
    pub track: Option<Track>,
    /// Permits the request, if the endpoint is brittle; dropped after `guard`.
    permit: Option<Permit>,
}

/// Chooses an endpoint of the call's service that is not in `tried`.
///
/// # Errors
///
/// If no endpoint can accept the request, or if it would wait too long and `must_place` is false.
pub async fn choose<P: Protocol>(
    node: &Node<P>,
    call: &Call,
    tried: &[Arc<str>],
    must_place: bool,
) -> Result<Selection, Refusal> {
    let partition = partition::of_call(node, call);
    let chain = call.prefix_chain(partition);
    let query = Query::new(call, &chain, tried);
    let is_resumable = call.route.is_resumable();
    if let Some(reservation) = exposure::reserve(node, &query, is_resumable) {
        let ordered = Query {
            build: Some(reservation.version()),
            ..query
        };
        let chosen = choose_for(
            node,
            call,
            partition,
            &ordered,
            must_place,
            Some(&reservation),
        )
        .await;
        if chosen.is_ok() {
            return chosen;
        }
    }
    choose_for(node, call, partition, &query, must_place, None).await
}

async fn choose_for<P: Protocol>(
    node: &Node<P>,
    call: &Call,
    partition: Partition,
    query: &Query<'_>,
    must_place: bool,
    reservation: Option<&Reservation>,
) -> Result<Selection, Refusal> {
    loop {
        let (decision, ticket) = place(node, query, must_place).await?;
        if limit::acquire(node, &decision, query.is_urgent()).await
            && let Ok(permit) = bulkhead::acquire(node, &decision).await
        {
            let track = Track::begin(node, call, &decision.endpoint, reservation);
            let mut selection = select(node, call, partition, query, decision, ticket, permit);
            selection.track = track;
            return Ok(selection);
        }
        if call.time_left().is_zero() {
            return Err(no_endpoint(node, query));
        }
    }
}

/// Places a request, with the planner's ticket if a planner did so.
async fn place<P: Protocol>(
    node: &Node<P>,
    query: &Query<'_>,
    must_place: bool,
) -> Result<(Decision, Option<Ticket>), Refusal> {
    let mut placement = Placement::Unplanned;
    let is_planned = planner::is_planned(node, query);
    // What may not get there is not placed, since it would count as waiting work for all instances.
    if is_planned && !reach::is_probe_due(node, query) {
        placement = planner::place(node, query, must_place).await;
    }
    match placement {
        Placement::Endpoint(decision, ticket) => Ok((decision, Some(ticket))),
        Placement::RetryAfter(wait) => {
            let message = "so much work waits that the answer would begin late; come back later";
            Err(Refusal::not_run(Reason::Overloaded, message).retry_after(wait))
        }
        Placement::Unplanned => {
            let decision = decide(node, query, Scope::Local);
            let decision = decision.ok_or_else(|| no_endpoint(node, query));
            Ok((decision?, None))
        }
    }
}

/// Counts a placed request as sent to its endpoint.
fn select<P: Protocol>(
    node: &Node<P>,
    call: &Call,
    partition: Partition,
    query: &Query<'_>,
    decision: Decision,
    ticket: Option<Ticket>,
    mut permit: Option<Permit>,
) -> Selection {
    let Decision {
        endpoint,
        health,
        holder,
        source,
        save_to,
        reasons,
        ..
    } = decision;
    let superseded_at = node.superseded_at(&endpoint, endpoint.version());
    let placed_by = ticket.as_ref().map_or("alone", |ticket| ticket.rank.name());
    emit!(
        info,
        event::REQUEST_PLACED,
        request = call.head.id.to_str().unwrap_or_default(),
        endpoint = &*endpoint.registration.name,
        service = &*call.service,
        version = endpoint.version(),
        superseded_ms = superseded_at.map(|at| millis(clock::now().saturating_sub(at))),
        planned = ticket.is_some(),
        placed_by = placed_by,
        hits = reasons.hits,
        missed = reasons.missed,
        wait = reasons.wait,
        source = source.map(|source| source.to_string()),
        tried = query.tried.len(),
        catalog = call.catalog.version,
        partition = %partition,
        age_ms = millis(call.arrived_at.elapsed()),
    );
    let pace = node.planner.queues.pace(&call.service);
    let wait = pace::expectation(reasons.wait * pace.block);
    node.metrics
        .record_placement(&call.service, reasons.hits, reasons.missed, wait);
    let now = node.beliefs.now();
    if query.engine().is_some() {
        let age = node.planner.views.known(health.hash).age(now);
        let view_age = Duration::from_millis(age);
        node.metrics.count_placed(&call.service, placed_by);
        if ticket.is_none() {
            node.metrics.record_view_age(&call.service, view_age);
        }
        let own_seconds = pace.service_seconds(reasons.missed, reasons.fetched);
        node.planner
            .views
            .record_sent(health.hash, now, own_seconds);
    }
    health.update_estimate(|estimate| {
        estimate.breaker.record_sent(now);
        estimate.path.record_sent(now);
        estimate.rest.record_sent(now);
        estimate.rejections.record_sent(now);
    });
    let levels = query.chain.hashes();
    node.beliefs.raise(&levels, holder);
    let guard = health.in_flight.enter(call.class(), reasons.missed);
    if let Some(permit) = &mut permit {
        permit.record_sent();
    }
    Selection {
        version: endpoint.version(),
        partition,
        sent_at: clock::now(),
        source,
        save_to,
        guard,
        endpoint,
        holder,
        health,
        levels,
        ticket,
        proof: Proof::default(),
        track: None,
        permit,
    }
}

/// The refusal of a request that no endpoint can accept.
fn no_endpoint<P: Protocol>(node: &Node<P>, query: &Query<'_>) -> Refusal {
    let service = query.service;
    let Some(pause) = decide::shortest_pause(node, query) else {
        let message = format!("service {service} has no endpoint to try");
        let refusal = Refusal::not_run(Reason::NoEndpoint, message);
        return refusal.retry_after(NO_ENDPOINT_RETRY_DELAY);
    };
    let message = format!("service {service} has no endpoint that takes more requests now");
    let refusal = Refusal::not_run(Reason::NoEndpoint, message);
    // Callers return spread over time, since the endpoints are asked one request at a time at first.
    refusal.retry_after(pause + NO_ENDPOINT_RETRY_DELAY.mul_f64(rand::random()))
}

impl Selection {
    /// Waits until an answer that has not begun would begin after the term of superseded weights;
    /// forever while the weights are the newest, and for plain services.
    pub fn weights_expired<'a, P: Protocol>(
        &self,
        node: &'a Node<P>,
    ) -> impl Future<Output = Failure> + use<'a, P> {
        let version = self.version;
        let endpoint = self.endpoint.clone();
        let term = node.config.bounds.weights;
        async move {
            loop {
                // A version may turn out to be older than this instance knew at first.
                let changed = node.rollouts_changed.notified();
                let now = clock::now();
                let superseded_at = node.superseded_at(&endpoint, version);
                // The weights may be superseded at any moment from now on.
                let begin_by = weights::begin_by(superseded_at.unwrap_or(now), term);
                let wait = begin_by.saturating_sub(now);
                if superseded_at.is_some() && wait.is_zero() {
                    return superseded(&endpoint, Fault::WeightsExpired);
                }
                let wait = wait.max(MIN_TERM_CHECK_INTERVAL);
                tokio::time::timeout(wait, changed).await.ok();
            }
        }
    }

    /// Waits until the engine should have loaded newer weights, but still finishes its requests
    /// before that, and another engine serves these weights; forever while it need not load.
    pub fn load_overdue<'a, P: Protocol>(
        &self,
        node: &'a Node<P>,
    ) -> impl Future<Output = Failure> + use<'a, P> {
        let version = self.version;
        let endpoint = self.endpoint.clone();
        let bound = node.config.bounds.weights_all();
        async move {
            loop {
                let changed = node.rollouts_changed.notified();
                let Some(superseded_at) = node.superseded_at(&endpoint, version) else {
                    changed.await;
                    continue;
                };
                let now = clock::now();
                // If it does not load yet, it may from now on.
                let since = endpoint.loading_since();
                let due = weights::move_at(superseded_at, since.unwrap_or(now), bound);
                let wait = due.saturating_sub(now);
                if since.is_some()
                    && wait.is_zero()
                    && is_served_elsewhere(node, &endpoint, version)
                {
                    return superseded(&endpoint, Fault::LoadOverdue);
                }
                let wait = wait.max(MIN_TERM_CHECK_INTERVAL);
                tokio::time::timeout(wait, changed).await.ok();
            }
        }
    }

    /// Records the first byte or event of the answer.
    pub fn record_first_token<P: Protocol>(&self, node: &Node<P>, class: Class) {
        let service = &self.endpoint.registration.service;
        let delay = clock::now().saturating_sub(self.sent_at);
        node.observed.record_start(service, class, delay);
        let sent_at = node.beliefs.now().saturating_sub(millis(delay));
        self.health.update_estimate(|estimate| {
            estimate.breaker.record_success();
            estimate.rejections.record_success(sent_at);
        });
        self.record_connection(node);
        self.guard.record_first_token();
        self.report_outcome(End::Began);
    }

    /// Records that the endpoint was not usable or truncated its answer.
    pub fn record_failure<P: Protocol>(&self, node: &Node<P>) {
        let now = node.beliefs.now();
        node.beliefs.lower(&self.levels, self.holder);
        self.health
            .update_estimate(|estimate| estimate.breaker.record_failure(now));
        self.report_outcome(End::Failed);
    }

    /// Records that the endpoint serves another weights version than requested.
    pub fn record_weights_mismatch<P: Protocol>(&self, node: &Node<P>) {
        let now = node.beliefs.now();
        node.beliefs.lower(&self.levels, self.holder);
        self.health
            .record_version_rejection(&version_text(self.version), now);
        self.report_outcome(End::Rejected);
    }

    /// Records that the endpoint rejected the request; nothing was cached.
    pub fn record_rejection<P: Protocol>(&self, node: &Node<P>) {
        node.beliefs.lower(&self.levels, self.holder);
        self.report_outcome(End::Rejected);
    }

    /// Records that the endpoint had no room for the request.
    pub fn record_full<P: Protocol>(&self, node: &Node<P>) {
        if self.version > 0 {
            let now = node.beliefs.now();
            let age = clock::now().saturating_sub(self.sent_at);
            let sent_at = now.saturating_sub(millis(age));
            self.health
                .update_estimate(|estimate| estimate.rejections.record(now, sent_at));
        }
        if let Some(permit) = &self.permit {
            permit.record_rejection(node);
        }
    }

    fn report_outcome(&self, end: End) {
        if let Some(ticket) = &self.ticket {
            ticket.report(end, &self.levels);
        }
    }
}

/// Failure of a request that leaves an endpoint because of its weights.
fn superseded(endpoint: &Endpoint, fault: Fault) -> Failure {
    Failure {
        address: endpoint.registration.address,
        verdict: Verdict::MayHaveRun,
        fault,
    }
}

/// Whether another engine of the same build can serve the endpoint's model with weights newer than
/// `version`.
fn is_served_elsewhere<P: Protocol>(node: &Node<P>, endpoint: &Endpoint, version: u64) -> bool {
    let now = node.beliefs.now();
    let fleet = node.endpoints.fleet();
    let others = fleet.of_service(&endpoint.registration.service).iter();
    let mut newer = others.filter(|other| {
        other.model() == endpoint.model()
            && other.registration.build == endpoint.registration.build
            && other.version() > version
            && !other.registration.leaving
            && !other.is_loading()
    });
    newer.any(|other| {
        let health = node.health.endpoint(&other.registration.name);
        let view = health.view(&version_text(other.version()), now);
        view.usable && view.reachable
    })
}
