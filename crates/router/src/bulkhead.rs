//! Bulkheads of brittle endpoints, which hold for all instances together.
//!
//! While an endpoint is brittle, the first instance in rendezvous hash order grants each request to it
//! from what all instances report to have in flight there, and the second one while the first does
//! not answer.

mod permit;
mod spread;

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use parking_lot::Mutex;
use policy::bulkhead::{
    Bulkhead,
    STATEMENT_HORIZON, //
};
use state::clock;
use telemetry::{
    emit,
    event, //
};

pub use permit::Permit;
pub use spread::{
    announce,
    handle_statements, //
};

use crate::{
    choose::decide::Decision,
    exchange::{
        self,
        whole_millis, //
    },
    fleet::Registration,
    limit::{
        self,
        ANSWER_TIMEOUT,
        SILENCE_BACKOFF, //
    },
    message::{
        LimitGrant,
        Message,
        RoomReport,
        RoomRequest, //
    },
    node::Node,
    protocol::Protocol, //
};

/// Shortest time for which an endpoint is not asked for again after a refusal.
const MIN_PAUSE: Duration = Duration::from_millis(5);
/// Time for which an endpoint is not asked for again after a rejection, until the granting instance
/// knows of it.
const REJECTION_PAUSE: Duration = Duration::from_millis(50);
/// Time without a request or report after which the bulkhead of an endpoint is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// Bulkheads that this instance grants from, and the services whose endpoints are brittle.
#[derive(Debug, Default)]
pub struct Table {
    /// # Invariants
    ///
    /// Sorted by endpoint, each once.
    bulkheads: Mutex<Vec<(Arc<str>, Bulkhead)>>,
    /// Rejections in a second that the endpoints of a service can take, and when one of them said so.
    ///
    /// # Invariants
    ///
    /// Sorted by service, each once.
    services: Mutex<Vec<(Arc<str>, f64, Duration)>>,
}

impl Table {
    /// Calls `update` with the bulkhead of an endpoint, which is added if absent.
    fn update<T>(
        &self,
        endpoint: &str,
        slots: u32,
        now: Duration,
        update: impl FnOnce(&mut Bulkhead) -> T,
    ) -> T {
        let mut bulkheads = self.bulkheads.lock();
        let index = match bulkheads.binary_search_by(|(known, _)| (**known).cmp(endpoint)) {
            Ok(index) => index,
            Err(_) => {
                bulkheads
                    .retain(|(_, known)| now.saturating_sub(known.updated_at()) < FORGET_AFTER);
                let index = bulkheads.partition_point(|(known, _)| **known < *endpoint);
                bulkheads.insert(index, (endpoint.into(), Bulkhead::new(slots, now)));
                index
            }
        };
        update(&mut bulkheads[index].1)
    }

    /// Records what an instance reports.
    fn record_report(&self, report: &RoomReport, from: SocketAddr, now: Duration) {
        self.update(&report.endpoint, report.slots, now, |bulkhead| {
            bulkhead.report(from, report.held, now);
            if report.is_rejected {
                bulkhead.record_rejection(report.tolerance, now);
            }
        });
    }

    /// Whether endpoints of a service have lately stated that they are brittle.
    pub fn is_brittle(&self, service: &str, now: Duration) -> bool {
        self.statement(service)
            .is_some_and(|(_, at)| now.saturating_sub(at) < STATEMENT_HORIZON)
    }

    /// The latest statement of a brittle endpoint of a service.
    fn statement(&self, service: &str) -> Option<(f64, Duration)> {
        let services = self.services.lock();
        let index = services.binary_search_by(|(known, ..)| (**known).cmp(service));
        let (_, tolerance, at) = services[index.ok()?];
        Some((tolerance, at))
    }

    /// Records a statement of a brittle endpoint of a service; returns whether none was known that
    /// counts.
    fn record_statement(&self, service: &str, tolerance: f64, at: Duration) -> bool {
        let mut services = self.services.lock();
        match services.binary_search_by(|(known, ..)| (**known).cmp(service)) {
            Ok(index) => {
                let (_, known, known_at) = &mut services[index];
                let is_new = at.saturating_sub(*known_at) >= STATEMENT_HORIZON;
                if at > *known_at {
                    (*known, *known_at) = (tolerance, at);
                }
                is_new
            }
            Err(index) => {
                services.insert(index, (service.into(), tolerance, at));
                true
            }
        }
    }
}

/// Records what an endpoint states in an answer: the rejections in a second that it can take, if it is
/// brittle.
pub fn record_statement<P: Protocol>(
    node: &Node<P>,
    endpoint: &Registration,
    tolerance: Option<f64>,
) {
    let now = clock::now();
    let health = node.health.endpoint(&endpoint.name);
    let mut is_new = false;
    health.update_estimate(|estimate| {
        is_new = estimate.brittle.record_statement(tolerance, now);
    });
    if is_new {
        emit!(
            info,
            event::ENDPOINT_BRITTLE,
            endpoint = &*endpoint.name,
            tolerance = tolerance,
        );
    }
    if let Some(tolerance) = tolerance
        && node
            .bulkheads
            .record_statement(&endpoint.service, tolerance, now)
    {
        spread::tell_hubs(node);
    }
}

/// No request to the endpoint is granted now.
#[derive(Clone, Copy, Debug)]
pub struct Full;

/// Asks for one request to the endpoint of a decision, if it is brittle; `None` if it is not.
///
/// # Errors
///
/// If none is granted; the endpoint is then avoided until one may be.
pub async fn acquire<P: Protocol>(
    node: &Node<P>,
    decision: &Decision,
) -> Result<Option<Permit>, Full> {
    let view = decision.health.view("", node.beliefs.now());
    let registration = &decision.endpoint.registration;
    let stated = node.bulkheads.statement(&registration.service);
    let brittle = view.estimate.brittle;
    let Some(tolerance) = brittle.tolerance(stated, clock::now()) else {
        return Ok(None);
    };
    let permit = Permit::new(node, decision, tolerance);
    let Err(wait) = ask(node, &permit).await else {
        return Ok(Some(permit));
    };
    permit.record_refusal(node, wait.max(MIN_PAUSE));
    Err(Full)
}

/// Asks the instances that grant requests to the endpoint, one after the other.
async fn ask<P: Protocol>(node: &Node<P>, permit: &Permit) -> Result<(), Duration> {
    for granter in permit.granters() {
        let now = clock::now();
        let own = node.config.listen.exchange;
        if granter == own {
            return permit.grant_here(node, now);
        }
        if node.limits.is_silent(granter, now) {
            continue;
        }
        let request = |id| {
            Message::RoomRequest(RoomRequest {
                id,
                report: permit.report(false),
            })
        };
        let answer = exchange::query(node, granter, request);
        match tokio::time::timeout(ANSWER_TIMEOUT, answer).await {
            Ok(Some(Message::LimitGrant(grant))) => {
                return match grant.wait_ms {
                    None => Ok(()),
                    Some(wait) => Err(Duration::from_millis(u64::from(wait))),
                };
            }
            _ => limit::record_silence(node, permit.endpoint(), granter),
        }
    }
    // One request at a time from an instance that reaches neither.
    if permit.held() > 1 {
        return Err(SILENCE_BACKOFF);
    }
    Ok(())
}

/// Handles another instance's request for a request to a brittle endpoint.
pub fn handle_request<P: Protocol>(
    node: &Node<P>,
    request: &RoomRequest,
    from: SocketAddr,
) -> LimitGrant {
    let now = clock::now();
    let RoomReport {
        endpoint,
        held,
        slots,
        tolerance,
        ..
    } = &request.report;
    let role = limit::role(node, endpoint, now);
    let result = node.bulkheads.update(endpoint, *slots, now, |bulkhead| {
        bulkhead.grant(role, *tolerance, (from, *held), now)
    });
    LimitGrant {
        id: request.id,
        wait_ms: result.err().map(whole_millis),
    }
}

/// Handles another instance's report of its requests at a brittle endpoint.
pub fn handle_report<P: Protocol>(node: &Node<P>, report: &RoomReport, from: SocketAddr) {
    node.bulkheads.record_report(report, from, clock::now());
}
