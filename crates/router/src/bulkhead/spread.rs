//! Tells all instances which services are brittle, and the granting ones what is in flight.

use std::time::Duration;

use policy::bulkhead::STATEMENT_HORIZON;
use state::clock;

use super::Table;
use crate::{
    exchange::{
        self,
        whole_millis, //
    },
    limit,
    message::{
        BrittleService,
        Message,
        RoomReport, //
    },
    node::Node,
    protocol::Protocol, //
};

/// Largest number of services in a message.
const MAX_SERVICES: usize = 64;

impl Table {
    /// Statements that still count.
    fn statements(&self, now: Duration) -> Vec<BrittleService> {
        let services = self.services.lock();
        let services = services.iter().map(|(name, tolerance, at)| BrittleService {
            service: name.to_string(),
            tolerance: *tolerance,
            age_ms: whole_millis(now.saturating_sub(*at)),
        });
        let horizon = whole_millis(STATEMENT_HORIZON);
        let live = services.filter(|service| service.age_ms < horizon);
        live.take(MAX_SERVICES).collect()
    }
}

/// Tells the hubs at once which services are brittle.
pub(super) fn tell_hubs<P: Protocol>(node: &Node<P>) {
    let statements = node.bulkheads.statements(clock::now());
    let message = Message::BrittleServices(statements);
    for hub in exchange::other_hubs(node) {
        exchange::try_send(&node.exchange.socket, &message, hub);
    }
}

/// Tells the hubs, or from a hub all instances, which services are brittle, and the granting
/// instances what this one has in flight at their endpoints.
pub async fn announce<P: Protocol>(node: &Node<P>) {
    let statements = node.bulkheads.statements(clock::now());
    if statements.is_empty() {
        return;
    }
    report_all(node, &statements);
    let message = Message::BrittleServices(statements);
    if node.hub_rank().is_some() {
        exchange::send_all(node, &message).await;
    } else {
        exchange::send_to_hubs(node, &message).await;
    }
}

/// Reports the requests in flight at the endpoints of brittle services.
fn report_all<P: Protocol>(node: &Node<P>, statements: &[BrittleService]) {
    let now = clock::now();
    let fleet = node.endpoints.fleet();
    for BrittleService {
        service, tolerance, ..
    } in statements
    {
        for endpoint in fleet.of_service(service) {
            let registration = &endpoint.registration;
            let held = match node.health.find(&registration.name) {
                Some(health) => health.in_flight.held(),
                None => 0,
            };
            if held == 0 {
                continue;
            }
            let report = RoomReport {
                endpoint: registration.name.to_string(),
                held,
                slots: registration.slots,
                tolerance: *tolerance,
                is_rejected: false,
            };
            for granter in limit::granters(node, &registration.name, now) {
                match granter {
                    None => {
                        let own = node.config.listen.exchange;
                        node.bulkheads.record_report(&report, own, now);
                    }
                    Some(granter) => {
                        let message = Message::RoomReport(report.clone());
                        exchange::try_send(&node.exchange.socket, &message, granter);
                    }
                }
            }
        }
    }
}

/// Handles another instance's statement of which services are brittle.
pub fn handle_statements<P: Protocol>(node: &Node<P>, statements: &[BrittleService]) {
    let now = clock::now();
    for statement in statements {
        let age = Duration::from_millis(u64::from(statement.age_ms));
        if age < STATEMENT_HORIZON {
            node.bulkheads.record_statement(
                &statement.service,
                statement.tolerance,
                now.saturating_sub(age),
            );
        }
    }
}
