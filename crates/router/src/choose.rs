//! Chooses the endpoint for an attempt and learns from what becomes of it.

pub mod decide;
mod keep;

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use policy::belief::Holder;
use state::{
    flight::Guard,
    health, //
};
use telemetry::{
    emit,
    event, //
};

use crate::{
    config::Choice,
    fleet::Endpoint,
    message::End,
    node::Node,
    planner::{
        self,
        Placement,
        Ticket, //
    },
    protocol::Protocol,
    refusal::{
        Reason,
        Refusal, //
    },
    request::Call,
    stream::millis, //
};
use decide::{
    BLOCK_SECONDS,
    Decision,
    Query,
    Scope,
    decide,
    version_text, //
};

/// When to come back after no endpoint could take a request: engines that load weights are back
/// within about this time.
const NO_ENDPOINT_RETRY: Duration = Duration::from_millis(500);

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
    guard: Guard,
    /// Counts it among the short urgent requests, if it is one.
    _lane: Option<crate::lane::Slot>,
    known: Arc<health::Endpoint>,
    holder: Holder,
    levels: Vec<u64>,
    /// Tells the planner that placed the request what becomes of it.
    ticket: Option<Ticket>,
}

/// Picks an endpoint of the call's service that is not in `tried`.
///
/// # Errors
///
/// If no endpoint can take it, or if it would wait too long and need not go on.
pub async fn choose<P: Protocol>(
    node: &Node<P>,
    call: &Call,
    tried: &[Arc<str>],
    must_go: bool,
) -> Result<Chosen, Refusal> {
    let chain = call.chain();
    let query = Query::new(call, &chain, tried);
    let is_short = query.is_short();
    let tail = chain.tail;
    let mut placement = Placement::Unknown;
    let is_planned = node.config.choice == Choice::Planned;
    if is_planned && query.engine().is_some() && !is_short {
        placement = planner::place(node, &query, must_go).await;
    }
    let (decision, ticket) = match placement {
        Placement::At(decision, ticket) => (Some(decision), Some(ticket)),
        Placement::Later(wait) => {
            let message = "so much work waits that the answer would begin late; come back later";
            return Err(Refusal::not_run(Reason::Overloaded, message).retry_after(wait));
        }
        Placement::Unknown => (decide(node, &query, Scope::Own), None),
    };
    let Some(decision) = decision else {
        let message = format!("service {} has no endpoint to try", call.service);
        let refusal = Refusal::not_run(Reason::NoEndpoint, message);
        return Err(refusal.retry_after(NO_ENDPOINT_RETRY));
    };
    let Decision {
        endpoint,
        known,
        holder,
        source,
        save_to,
        reasons,
        ..
    } = decision;
    emit!(
        info,
        event::REQUEST_PLACED,
        request = call.ask.id.to_str().unwrap_or_default(),
        endpoint = &*endpoint.registration.name,
        service = &*call.service,
        version = endpoint.version(),
        planned = ticket.is_some(),
        hits = reasons.hits,
        missed = reasons.missed,
        wait = reasons.wait,
        source = source.map(|source| source.to_string()),
        tried = tried.len(),
        catalog = call.catalog.version,
        age_ms = millis(call.arrived.elapsed()),
    );
    let wait = Duration::from_secs_f32(reasons.wait * BLOCK_SECONDS);
    node.metrics
        .record_placement(&call.service, reasons.hits, reasons.missed, wait);
    let now = node.beliefs.now();
    known.update_estimate(|estimate| estimate.breaker.record_sent(now));
    node.beliefs.raise(&chain.levels, holder);
    Ok(Chosen {
        version: endpoint.version(),
        source,
        save_to,
        _lane: is_short.then(|| node.lanes.enter(&call.service, tail)),
        guard: known.in_flight.enter(call.class(), reasons.missed),
        endpoint,
        holder,
        known,
        levels: chain.levels,
        ticket,
    })
}

impl Chosen {
    /// Learns from the first byte or event of the answer.
    pub fn began(&self) {
        self.known
            .update_estimate(|estimate| estimate.breaker.record_success());
        self.guard.record_first_token();
        self.tell(End::Began);
    }

    /// Learns that the endpoint could not be used, or broke off.
    pub fn failed<P: Protocol>(&self, node: &Node<P>) {
        let now = node.beliefs.now();
        node.beliefs.lower(&self.levels, self.holder);
        self.known
            .update_estimate(|estimate| estimate.breaker.record_failure(now));
        self.tell(End::Failed);
    }

    /// Learns that the endpoint serves other weights than it was asked for.
    pub fn has_other_weights<P: Protocol>(&self, node: &Node<P>) {
        let now = node.beliefs.now();
        node.beliefs.lower(&self.levels, self.holder);
        self.known
            .record_version_refusal(&version_text(self.version), now);
        self.tell(End::Refused);
    }

    /// Learns that the endpoint had no room; nothing was cached.
    pub fn was_busy<P: Protocol>(&self, node: &Node<P>) {
        node.beliefs.lower(&self.levels, self.holder);
        self.tell(End::Refused);
    }

    fn tell(&self, end: End) {
        if let Some(ticket) = &self.ticket {
            ticket.tell(end, &self.levels);
        }
    }
}
