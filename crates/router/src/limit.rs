//! Limits of endpoints, which hold for all instances together.
//!
//! For each endpoint that has stated a limit, the first instance in rendezvous hash order grants each
//! request. While it does not answer, the second one is asked.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use parking_lot::Mutex;
use policy::{
    limit::{
        Grants,
        Role, //
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
    choose::decide::Decision,
    exchange::{
        self,
        whole_millis, //
    },
    message::{
        LimitGrant,
        LimitRequest,
        Message, //
    },
    node::Node,
    protocol::Protocol, //
};

/// Timeout for the answer of another instance: many round trips within a region.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);
/// Time for which an instance that does not answer is not asked again.
pub const SILENCE_BACKOFF: Duration = Duration::from_millis(700);
/// Shortest time for which an endpoint is not asked for again after a refusal.
const MIN_PAUSE: Duration = Duration::from_millis(5);
/// Time without requests after which the grants for an endpoint are forgotten. All that could have
/// accrued meanwhile is granted anew.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// Grants of this instance, and the instances that do not answer.
#[derive(Debug, Default)]
pub struct Table {
    /// # Invariants
    ///
    /// Sorted by endpoint, each once.
    grants: Mutex<Vec<(Arc<str>, Grants)>>,
    /// Instances that have not answered, with the time at which they are asked again.
    silent: Mutex<Vec<(SocketAddr, Duration)>>,
}

impl Table {
    /// Grants one request to `endpoint`, whose limit was stated at `stated_at`.
    ///
    /// # Errors
    ///
    /// The delay after which to retry.
    fn grant(
        &self,
        endpoint: &str,
        (limit, stated_at): (f64, Duration),
        role: Role,
        urgent: bool,
        now: Duration,
    ) -> Result<(), Duration> {
        let mut grants = self.grants.lock();
        let index = match grants.binary_search_by(|(known, _)| (**known).cmp(endpoint)) {
            Ok(index) => index,
            Err(_) => {
                grants.retain(|(_, known)| now.saturating_sub(known.updated_at()) < FORGET_AFTER);
                let index = grants.partition_point(|(known, _)| **known < *endpoint);
                grants.insert(index, (endpoint.into(), Grants::new(limit, stated_at)));
                index
            }
        };
        let (_, grants) = &mut grants[index];
        grants.record_statement(limit, stated_at);
        grants.grant(role, urgent, now)
    }

    /// Whether an instance is not asked, since it has not answered.
    pub fn is_silent(&self, address: SocketAddr, now: Duration) -> bool {
        let mut silent = self.silent.lock();
        silent.retain(|(_, retry_at)| *retry_at > now);
        silent.iter().any(|(known, _)| *known == address)
    }
}

/// Asks for one request to the endpoint of a decision, if it has stated a limit; `false` if none is
/// granted, and the endpoint is then avoided until one may be.
pub async fn acquire<P: Protocol>(node: &Node<P>, decision: &Decision, urgent: bool) -> bool {
    let view = decision.health.view("", node.beliefs.now());
    let Some(stated) = view.estimate.limit.stated() else {
        return true;
    };
    let endpoint = &decision.endpoint.registration.name;
    let Err(wait) = ask(node, endpoint, stated, urgent).await else {
        return true;
    };
    let wait = u64::try_from(wait.max(MIN_PAUSE).as_millis()).unwrap_or(u64::MAX);
    let until = node.beliefs.now().saturating_add(wait);
    decision
        .health
        .update_estimate(|estimate| estimate.limit.record_refusal(urgent, until));
    false
}

/// Asks the instances that grant requests to `endpoint`, one after the other.
async fn ask<P: Protocol>(
    node: &Node<P>,
    endpoint: &Arc<str>,
    stated: (f64, Duration),
    urgent: bool,
) -> Result<(), Duration> {
    let (limit, stated_at) = stated;
    for granter in granters(node, endpoint, clock::now()) {
        let now = clock::now();
        let Some(address) = granter else {
            let role = role(node, endpoint, now);
            return node.limits.grant(endpoint, stated, role, urgent, now);
        };
        if node.limits.is_silent(address, now) {
            continue;
        }
        let request = |id| {
            Message::LimitRequest(LimitRequest {
                id,
                endpoint: endpoint.to_string(),
                limit,
                age_ms: whole_millis(now.saturating_sub(stated_at)),
                urgent,
            })
        };
        let answer = exchange::query(node, address, request);
        match tokio::time::timeout(ANSWER_TIMEOUT, answer).await {
            Ok(Some(Message::LimitGrant(grant))) => {
                return match grant.wait_ms {
                    None => Ok(()),
                    Some(wait) => Err(Duration::from_millis(u64::from(wait))),
                };
            }
            _ => record_silence(node, endpoint, address),
        }
    }
    Err(SILENCE_BACKOFF)
}

/// Records that an instance that grants requests to `endpoint` does not answer.
pub fn record_silence<P: Protocol>(node: &Node<P>, endpoint: &str, instance: SocketAddr) {
    emit!(
        info,
        event::ENDPOINT_LIMIT_SILENT,
        endpoint = endpoint,
        instance = %instance,
    );
    let retry_at = clock::now() + SILENCE_BACKOFF;
    node.limits.silent.lock().push((instance, retry_at));
}

/// Handles another instance's request for a request to an endpoint.
pub fn handle_request<P: Protocol>(node: &Node<P>, request: &LimitRequest) -> LimitGrant {
    let now = clock::now();
    let age = Duration::from_millis(u64::from(request.age_ms));
    let stated = (request.limit, now.saturating_sub(age));
    let endpoint = &request.endpoint;
    let role = role(node, endpoint, now);
    let result = node
        .limits
        .grant(endpoint, stated, role, request.urgent, now);
    LimitGrant {
        id: request.id,
        wait_ms: result.err().map(whole_millis),
    }
}

/// The first and the second of the live instances for an endpoint: their addresses, `None` for this
/// instance.
pub fn granters<P: Protocol>(
    node: &Node<P>,
    endpoint: &str,
    now: Duration,
) -> Vec<Option<SocketAddr>> {
    let granters: Vec<_> = node.members.with_live(now, |members| {
        let candidates: Vec<Candidate<'_>> = members
            .iter()
            .map(|member| Candidate {
                name: &member.name,
                domain: "",
                leaving: false,
            })
            .collect();
        let order = rank::rank(endpoint, &candidates);
        let first = order.into_iter().take(2).map(|index| members[index]);
        first
            .map(|member| (*member.name != *node.config.name).then_some(member.row.exchange))
            .collect()
    });
    if granters.is_empty() {
        // No instance is known yet.
        return vec![None];
    }
    granters
}

/// This instance's part in granting the requests to an endpoint.
pub fn role<P: Protocol>(node: &Node<P>, endpoint: &str, now: Duration) -> Role {
    let first = granters(node, endpoint, now).into_iter().next();
    Role {
        is_first: first == Some(None),
        since: node.members.stable_since(now),
        heard: node.members.heard_fraction(&node.config.name, now),
    }
}
