//! Permits for requests to brittle endpoints.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use policy::bulkhead::Bulkhead;
use state::{
    clock,
    flight::{
        Counter,
        Reservation, //
    },
    health, //
};
use tokio::net::UdpSocket;

use super::{
    REJECTION_PAUSE,
    Table, //
};
use crate::{
    choose::decide::Decision,
    exchange,
    limit,
    message::{
        Message,
        RoomReport, //
    },
    node::Node,
    protocol::Protocol, //
};

/// Permits one request to a brittle endpoint. Dropping it reports to the granting instances what is
/// still in flight.
#[derive(Debug)]
pub struct Permit {
    endpoint: Arc<str>,
    slots: u32,
    tolerance: f64,
    /// Counts the request until it is in flight.
    reservation: Option<Reservation>,
    in_flight: Arc<Counter>,
    health: Arc<health::Endpoint>,
    granters: Vec<SocketAddr>,
    own_address: SocketAddr,
    bulkheads: Arc<Table>,
    socket: Arc<UdpSocket>,
}

impl Permit {
    /// A permit that is not granted yet.
    pub(super) fn new<P: Protocol>(node: &Node<P>, decision: &Decision, tolerance: f64) -> Self {
        let registration = &decision.endpoint.registration;
        let own_address = node.config.listen.exchange;
        let granters = limit::granters(node, &registration.name, clock::now());
        let granters = granters.into_iter();
        Self {
            endpoint: registration.name.clone(),
            slots: registration.slots,
            tolerance,
            reservation: Some(decision.health.in_flight.reserve()),
            in_flight: decision.health.in_flight.clone(),
            health: decision.health.clone(),
            granters: granters
                .map(|granter| granter.unwrap_or(own_address))
                .collect(),
            own_address,
            bulkheads: node.bulkheads.clone(),
            socket: node.exchange.socket.clone(),
        }
    }

    /// Name of the endpoint.
    pub(super) fn endpoint(&self) -> &Arc<str> {
        &self.endpoint
    }

    /// The instances that grant requests to the endpoint, in their order.
    pub(super) fn granters(&self) -> impl Iterator<Item = SocketAddr> {
        self.granters.iter().copied()
    }

    /// Requests of this instance at the endpoint, with those that are about to be sent.
    pub(super) fn held(&self) -> u32 {
        self.in_flight.held()
    }

    /// What this instance reports of the endpoint.
    pub(super) fn report(&self, is_rejected: bool) -> RoomReport {
        RoomReport {
            endpoint: self.endpoint.to_string(),
            held: self.held(),
            slots: self.slots,
            tolerance: self.tolerance,
            is_rejected,
        }
    }

    /// Grants the request at this instance.
    pub(super) fn grant_here<P: Protocol>(
        &self,
        node: &Node<P>,
        now: Duration,
    ) -> Result<(), Duration> {
        let role = limit::role(node, &self.endpoint, now);
        let used = (self.own_address, self.held());
        let grant = |bulkhead: &mut Bulkhead| bulkhead.grant(role, self.tolerance, used, now);
        self.bulkheads
            .update(&self.endpoint, self.slots, now, grant)
    }

    /// Records that the request is not granted for at least `wait`.
    pub(super) fn record_refusal<P: Protocol>(&self, node: &Node<P>, wait: Duration) {
        let wait = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        let until = node.beliefs.now().saturating_add(wait);
        self.health
            .update_estimate(|estimate| estimate.brittle.record_refusal(until));
    }

    /// Records that the request is in flight, and so counted there.
    pub fn record_sent(&mut self) {
        self.reservation = None;
    }

    /// Records that the endpoint rejected the request.
    pub fn record_rejection<P: Protocol>(&self, node: &Node<P>) {
        self.record_refusal(node, REJECTION_PAUSE);
        let mut report = self.report(true);
        report.held = report.held.saturating_sub(1);
        self.send(report);
    }

    fn send(&self, report: RoomReport) {
        for granter in &self.granters {
            if *granter == self.own_address {
                self.bulkheads
                    .record_report(&report, self.own_address, clock::now());
            } else {
                let message = Message::RoomReport(report.clone());
                exchange::try_send(&self.socket, &message, *granter);
            }
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.reservation = None;
        self.send(self.report(false));
    }
}
